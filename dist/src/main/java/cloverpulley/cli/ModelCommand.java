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

@Command(name = "model", mixinStandardHelpOptions = true, description = "Plays whole installations on a virtual clock around the real module.",
    subcommands = {ModelCommand.Run.class, ModelCommand.Compare.class},
    footer = {"", "Exit status: 1 where a rule was broken by the module."})
final class ModelCommand implements Callable<Integer> {

  private static final int BROKEN = 1;

  @Spec
  private CommandSpec spec;

  @Override
  public Integer call() {
    throw new CommandLine.ParameterException(spec.commandLine(), "expected a subcommand");
  }

  @Command(name = "run", mixinStandardHelpOptions = true, description = "Plays a plan once with each of its policies.")
  static final class Run implements Callable<Integer> {
    @Parameters(paramLabel = "PLAN", description = "a plan file, such as deploy/model-example.toml")
    private Path file;

    @Override
    public Integer call() throws Exception {
      ModelPlan plan = ConfigFile.read(file, ModelPlan::read);
      int status = 0;
      System.out.printf("%-18s %9s %7s %8s %8s %8s %8s %9s  %s%n", "policy", "asked", "G", "served", "refused", "p50 ms", "p99 ms",
          "requests/s", "rules");
      for (Policy p : plan.policies()) {
        long start = System.nanoTime();
        SimulationResult r = new Simulation(plan, p, plan.seed()).run();
        double took = (System.nanoTime() - start) / 1e9;
        System.out.printf(Locale.ROOT, "%-18s %9d %7.4f %7.2f%% %7.2f%% %8.1f %8.1f %9.0f  %s%n", p.name().toLowerCase(Locale.ROOT), r.requests,
            r.g(), 100.0 * r.served / Math.max(1, r.requests), 100.0 * r.rejected / Math.max(1, r.requests),
            r.latency.getValueAtPercentile(50) / 1e3, r.latency.getValueAtPercentile(99) / 1e3, r.requests / took, r.invariantsHold() ? "kept"
                : "BROKEN: without " + r.unanswered + ", second " + r.duplicateAnswers + ", unsafe twice " + r.unsafeReexecutions + ", after drain "
                    + r.sentAfterDrain);
        status = p == Policy.MODULE && !(r.invariantsHold() && r.allRequestsAccountedFor()) ? BROKEN : status;
      }
      return status;
    }
  }

  @Command(name = "compare", mixinStandardHelpOptions = true, description = "Plays two policies with common random numbers, until the "
      + "difference of their G is known well enough.")
  static final class Compare implements Callable<Integer> {
    @Parameters(index = "0", paramLabel = "PLAN")
    private Path file;

    @Parameters(index = "1", paramLabel = "A", description = "a policy: ${COMPLETION-CANDIDATES}")
    private Policy a;

    @Parameters(index = "2", paramLabel = "B")
    private Policy b;

    @Option(names = "--seeds", defaultValue = "40", description = "pairs at the most, 3 to 10000 (default: 40)")
    private int seeds;

    @Option(names = "--within", defaultValue = "0.005", description = "half width of the 95%% interval that is enough (default: 0.005)")
    private double within;

    @Override
    public Integer call() throws Exception {
      if (seeds < 3 || seeds > 10_000 || !(within > 0)) {
        throw new IllegalArgumentException("--seeds has to be 3 to 10000 and --within above 0");
      }
      ModelPlan plan = ConfigFile.read(file, ModelPlan::read);
      PolicyComparison.Difference d = PolicyComparison.compare(plan, a, b, seeds, within, Runtime.getRuntime().availableProcessors());
      System.out.printf(Locale.ROOT, "G %s less %s: %.4f, 95%% interval %.4f to %.4f, %d pairs%n", a.name().toLowerCase(Locale.ROOT),
          b.name().toLowerCase(Locale.ROOT), d.mean(), d.mean() - d.halfWidth(), d.mean() + d.halfWidth(), d.pairs());
      List<Long> broken = d.violatingSeeds();
      if (!broken.isEmpty()) {
        System.out.println("rules broken by the module with seeds " + broken);
      }
      return broken.isEmpty() ? 0 : BROKEN;
    }
  }
}
