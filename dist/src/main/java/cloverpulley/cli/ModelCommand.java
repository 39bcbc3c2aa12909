package cloverpulley.cli;

import cloverpulley.config.ConfigFile;
import cloverpulley.model.ModelPlan;
import cloverpulley.model.Policy;
import cloverpulley.model.PolicyComparison;
import cloverpulley.model.Simulation;
import cloverpulley.model.SimulationResult;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

@Command(name = "model", mixinStandardHelpOptions = true,
    description = "Simulates whole installations around the real decision module on a virtual clock.",
    subcommands = {ModelCommand.Run.class, ModelCommand.Compare.class},
    footer = {"", "Exit status: 1 if the module broke a rule."})
final class ModelCommand implements Callable<Integer> {

  private static final int EXIT_VIOLATION = 1;

  @Spec
  private CommandSpec spec;

  @Override
  public Integer call() {
    throw new CommandLine.ParameterException(spec.commandLine(), "expected a subcommand");
  }

  @Command(name = "run", mixinStandardHelpOptions = true, description = "Runs a plan once with each of its policies.")
  static final class Run implements Callable<Integer> {
    @Parameters(paramLabel = "PLAN", description = "a plan file, such as deploy/model-example.toml")
    private Path file;

    @Override
    public Integer call() throws Exception {
      ModelPlan plan = ConfigFile.read(file, ModelPlan::read);
      int status = 0;
      System.out.printf("%-18s %9s %7s %8s %8s %8s %8s %9s  %s%n", "policy", "asked", "G", "served", "refused", "p50 ms", "p99 ms",
          "requests/s", "rules");
      for (Policy policy : plan.policies()) {
        long startNanos = System.nanoTime();
        SimulationResult result = new Simulation(plan, policy, plan.seed()).run();
        double elapsedSeconds = (System.nanoTime() - startNanos) / 1e9;
        System.out.printf(Locale.ROOT, "%-18s %9d %7.4f %7.2f%% %7.2f%% %8.1f %8.1f %9.0f  %s%n", policy.name().toLowerCase(Locale.ROOT),
            result.requests, result.g(), 100.0 * result.served / Math.max(1, result.requests), 100.0 * result.rejected / Math.max(1, result.requests),
            result.latency.getValueAtPercentile(50) / 1e3, result.latency.getValueAtPercentile(99) / 1e3,
            result.requests / elapsedSeconds, result.invariantsHold() ? "kept"
                : "BROKEN: without " + result.unanswered + ", second " + result.duplicateAnswers + ", unsafe twice "
                    + result.unsafeReexecutions + ", after drain " + result.sentAfterDrain);
        status = policy == Policy.MODULE && !(result.invariantsHold() && result.allRequestsAccountedFor()) ? EXIT_VIOLATION : status;
      }
      return status;
    }
  }

  @Command(name = "compare", mixinStandardHelpOptions = true, description = "Compares two policies with common random numbers until the "
      + "confidence interval of the difference of their G is narrow enough.")
  static final class Compare implements Callable<Integer> {
    @Parameters(index = "0", paramLabel = "PLAN")
    private Path file;

    @Parameters(index = "1", paramLabel = "A", description = "a policy: ${COMPLETION-CANDIDATES}")
    private Policy a;

    @Parameters(index = "2", paramLabel = "B")
    private Policy b;

    @Option(names = "--seeds", defaultValue = "40", description = "maximum number of pairs, 3 to 10000 (default: 40)")
    private int seeds;

    @Option(names = "--within", defaultValue = "0.005", description = "target half-width of the 95%% confidence interval (default: 0.005)")
    private double within;

    @Override
    public Integer call() throws Exception {
      if (seeds < 3 || seeds > 10_000 || !(within > 0)) {
        throw new IllegalArgumentException("--seeds must be 3 to 10000 and --within above 0");
      }
      ModelPlan plan = ConfigFile.read(file, ModelPlan::read);
      PolicyComparison.Difference difference = PolicyComparison.compare(plan, a, b, seeds, within, Runtime.getRuntime().availableProcessors());
      System.out.printf(Locale.ROOT, "G %s minus %s: %.4f, 95%% interval %.4f to %.4f, %d pairs%n", a.name().toLowerCase(Locale.ROOT),
          b.name().toLowerCase(Locale.ROOT), difference.mean(), difference.mean() - difference.halfWidth(),
          difference.mean() + difference.halfWidth(), difference.pairs());
      List<Long> violatingSeeds = difference.violatingSeeds();
      if (!violatingSeeds.isEmpty()) {
        System.out.println("the module broke rules with the seeds " + violatingSeeds);
      }
      return violatingSeeds.isEmpty() ? 0 : EXIT_VIOLATION;
    }
  }
}
