package cloverpulley.bench;

import cloverpulley.config.ConfigFile;
import cloverpulley.config.InvalidConfigException;
import cloverpulley.model.ModelPlan;
import cloverpulley.model.Policy;
import cloverpulley.model.PolicyComparison;
import cloverpulley.model.Simulation;
import cloverpulley.model.SimulationResult;
import java.util.Locale;

/**
 * Measures the simulated requests per second around the real decision module, how the rate falls with the size of the fleet, the
 * speed-up from several cores, and whether a seed always gives the same run.
 */
public final class ModelBench {

  private ModelBench() {}

  private static ModelPlan plan(int servers, double rate, double seconds, int balancers) throws InvalidConfigException {
    return ConfigFile.parse("bench", """
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

  private static double requestsPerSecond(ModelPlan plan, Policy policy, SimulationResult[] result) {
    long startNanos = System.nanoTime();
    result[0] = new Simulation(plan, policy, 1).run();
    return result[0].requests / ((System.nanoTime() - startNanos) / 1e9);
  }

  /** Takes no options. */
  public static void main(String[] args) throws Exception {
    SimulationResult[] result = new SimulationResult[1];
    ModelPlan smallPlan = plan(100, 20_000, 20, 1);
    requestsPerSecond(smallPlan, Policy.MODULE, result); // JIT warm-up, not counted.
    double rate = 0;
    long hash = 0;
    boolean repeatable = true;
    long violations = 0;
    for (int i = 0; i < 3; i++) {
      rate = Math.max(rate, requestsPerSecond(smallPlan, Policy.MODULE, result));
      repeatable &= i == 0 || hash == result[0].hash();
      hash = result[0].hash();
      violations += result[0].invariantsHold() && result[0].allRequestsAccountedFor() ? 0 : 1;
    }
    double twoChoicesRate = requestsPerSecond(smallPlan, Policy.TWO_CHOICES, result);
    System.out.printf(Locale.ROOT, "100 servers: %.0f requests/s with the module, %.0f with two choices%n", rate, twoChoicesRate);
    // The same load per server with a hundred times as many servers; includes the start-up time of the simulation.
    double largeRate = requestsPerSecond(plan(10_000, 1_000_000, 0.6, 1), Policy.MODULE, result);
    violations += result[0].invariantsHold() && result[0].allRequestsAccountedFor() ? 0 : 1;
    System.out.printf(Locale.ROOT, "10,000 servers: %.0f requests/s%n", largeRate);
    ModelPlan pairPlan = plan(50, 10_000, 6, 1);
    long startNanos = System.nanoTime();
    PolicyComparison.Difference singleCore = PolicyComparison.compare(pairPlan, Policy.MODULE, Policy.TWO_CHOICES, 16, 1e-12, 1);
    double singleCoreSeconds = (System.nanoTime() - startNanos) / 1e9;
    startNanos = System.nanoTime();
    int cores = Math.min(8, Runtime.getRuntime().availableProcessors());
    PolicyComparison.Difference multiCore = PolicyComparison.compare(pairPlan, Policy.MODULE, Policy.TWO_CHOICES, 16, 1e-12, cores);
    double multiCoreSeconds = (System.nanoTime() - startNanos) / 1e9;
    repeatable &= singleCore.mean() == multiCore.mean();
    System.out.printf(Locale.ROOT, "16 pairs: %.2f s on one core, %.2f s on %d; the difference in G %.4f on both%n", singleCoreSeconds,
        multiCoreSeconds, cores, singleCore.mean());
    System.out.println(ChildProcess.json("requests_per_s", ChildProcess.figure(rate), "growth", ChildProcess.figure(rate / largeRate), "speedup_"
        + cores,
        ChildProcess.figure(singleCoreSeconds / multiCoreSeconds), "repeatable", Boolean.toString(repeatable), "module_cost",
        ChildProcess.figure(twoChoicesRate / rate), "breaks",
        Long.toString(violations)));
    System.exit(0);
  }
}
