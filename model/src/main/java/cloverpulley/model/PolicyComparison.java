package cloverpulley.model;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.apache.commons.statistics.distribution.TDistribution;

/** Compares policies in parallel, one simulation per thread. Each one is deterministic: the number of threads does not change the result. */
public final class PolicyComparison {

  private static final int MIN_PAIRS = 3;
  private static final double QUANTILE = 0.975;

  private PolicyComparison() {}

  /** The mean difference in G of two policies over pairs with common seeds, and the half width of its 95% confidence interval (Student's t). */
  public record Difference(double mean, double halfWidth, int pairs, List<Long> violatingSeeds) {}

  private record Pair(long seed, double difference, boolean invariantsHeld) {}

  /** Runs pairs until the half width of the interval is at most {@code targetHalfWidth}, or until {@code maxPairs} have been run. */
  public static Difference compare(ModelPlan plan, Policy a, Policy b, int maxPairs, double targetHalfWidth, int threads)
      throws InterruptedException {
    ExecutorService pool = Executors.newFixedThreadPool(threads);
    try {
      List<Future<Pair>> running = new ArrayList<>();
      for (int i = 0; i < maxPairs; i++) {
        long seed = plan.seed() + i;
        running.add(pool.submit(() -> runPair(plan, a, b, seed)));
      }
      List<Double> differences = new ArrayList<>();
      List<Long> violating = new ArrayList<>();
      for (Future<Pair> f : running) { // In order of seeds, so that the number of pairs does not depend on which finish first.
        Pair p = f.get();
        differences.add(p.difference);
        if (!p.invariantsHeld) {
          violating.add(p.seed);
        }
        if (differences.size() >= MIN_PAIRS && halfWidth(differences) <= targetHalfWidth) {
          break;
        }
      }
      return new Difference(mean(differences), halfWidth(differences), differences.size(), violating);
    } catch (ExecutionException e) {
      throw new IllegalStateException(e.getCause());
    } finally {
      pool.shutdownNow();
    }
  }

  private static Pair runPair(ModelPlan plan, Policy a, Policy b, long seed) {
    SimulationResult x = new Simulation(plan, a, seed).run();
    SimulationResult y = new Simulation(plan, b, seed).run();
    boolean invariantsHeld = (a != Policy.MODULE || x.invariantsHold() && x.allRequestsAccountedFor())
        && (b != Policy.MODULE || y.invariantsHold() && y.allRequestsAccountedFor());
    return new Pair(seed, x.g() - y.g(), invariantsHeld);
  }

  private static double mean(List<Double> values) {
    return values.stream().mapToDouble(d -> d).average().orElse(0);
  }

  private static double halfWidth(List<Double> values) {
    double mean = mean(values);
    double squares = values.stream().mapToDouble(d -> (d - mean) * (d - mean)).sum();
    double t = TDistribution.of(values.size() - 1).inverseCumulativeProbability(QUANTILE);
    return t * Math.sqrt(squares / (values.size() - 1) / values.size());
  }
}
