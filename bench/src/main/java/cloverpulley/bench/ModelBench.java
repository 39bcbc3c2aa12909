package cloverpulley.bench;

import cloverpulley.config.BadFileException;
import cloverpulley.config.OperatorsFile;
import cloverpulley.model.ModelPlan;
import cloverpulley.model.Policy;
import cloverpulley.model.PolicyComparison;
import cloverpulley.model.Simulation;
import cloverpulley.model.SimulationResult;
import java.util.Locale;

/** How much the model plays in a second around the real module, what size costs, what cores gain, and whether a seed is a play. */
public final class ModelBench {

  private ModelBench() {}

  private static ModelPlan plan(int servers, double rate, double seconds, int balancers) throws BadFileException {
    return OperatorsFile.parse("bench", """
        [service]
        zone = "a"
        [[class]]
        name = "safe"
        effect = "safe"
        aim_ms = 200
        deadline_ms = 2000
        [[class]]
        name = "unsafe"
        effect = "unsafe"
        aim_ms = 200
        deadline_ms = 2000
        [model]
        servers = %d
        balancers = %d
        rate = %s
        seconds = %s
        [[model.fault]]
        kind = "kill"
        at_s = %s
        part = 0.05
        """.formatted(servers, balancers, rate, seconds, seconds / 2), ModelPlan::read);
  }

  private static double perSecond(ModelPlan plan, Policy policy, SimulationResult[] into) {
    long start = System.nanoTime();
    into[0] = new Simulation(plan, policy, 1).run();
    return into[0].requests / ((System.nanoTime() - start) / 1e9);
  }

  /** No options. */
  public static void main(String[] args) throws Exception {
    SimulationResult[] r = new SimulationResult[1];
    ModelPlan hundred = plan(100, 20_000, 20, 1);
    perSecond(hundred, Policy.MODULE, r); // Compiled code before anything counts.
    double rate = 0;
    long hash = 0;
    boolean repeatable = true;
    long broken = 0;
    for (int i = 0; i < 3; i++) {
      rate = Math.max(rate, perSecond(hundred, Policy.MODULE, r));
      repeatable &= i == 0 || hash == r[0].hash();
      hash = r[0].hash();
      broken += r[0].invariantsHold() && r[0].allRequestsAccountedFor() ? 0 : 1;
    }
    double shell = perSecond(hundred, Policy.TWO_CHOICES, r);
    System.out.printf(Locale.ROOT, "100 servers: %.0f requests a second of the module, %.0f of two choices%n", rate, shell);
    // The same load to each server, a hundred times as many; the time of the start is in it.
    double large = perSecond(plan(10_000, 1_000_000, 0.6, 1), Policy.MODULE, r);
    broken += r[0].invariantsHold() && r[0].allRequestsAccountedFor() ? 0 : 1;
    System.out.printf(Locale.ROOT, "10,000 servers: %.0f requests a second%n", large);
    ModelPlan one = plan(50, 10_000, 6, 1);
    long start = System.nanoTime();
    PolicyComparison.Difference a = PolicyComparison.compare(one, Policy.MODULE, Policy.TWO_CHOICES, 16, 1e-12, 1);
    double single = (System.nanoTime() - start) / 1e9;
    start = System.nanoTime();
    int cores = Math.min(8, Runtime.getRuntime().availableProcessors());
    PolicyComparison.Difference b = PolicyComparison.compare(one, Policy.MODULE, Policy.TWO_CHOICES, 16, 1e-12, cores);
    double all = (System.nanoTime() - start) / 1e9;
    repeatable &= a.mean() == b.mean();
    System.out.printf(Locale.ROOT, "16 pairs: %.2f s on one core, %.2f s on %d; the difference in G %.4f on both%n", single, all, cores, a.mean());
    System.out.println(ChildProcess.json("requests_per_s", ChildProcess.figure(rate), "growth", ChildProcess.figure(rate / large), "speedup_" + cores,
        ChildProcess.figure(single / all), "repeatable", Boolean.toString(repeatable), "module_cost", ChildProcess.figure(shell / rate), "breaks",
        Long.toString(broken)));
    System.exit(0);
  }
}
