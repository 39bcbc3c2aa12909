package cloverpulley.model;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.apache.commons.statistics.distribution.TDistribution;

/** Plays on all cores, a world to a thread: each is repeatable by itself, so the figures are the same on one core and on eight. */
public final class PolicyComparison {

  private static final int LEAST = 3;
  private static final double TAIL = 0.975;

  private PolicyComparison() {}

  /** The mean difference in G of two policies, by pairs with the same seeds, and the half width of its 95% interval (Student's t). */
  public record Difference(double mean, double halfWidth, int pairs, List<Long> brokenSeeds) {}

  private record Pair(long seed, double difference, boolean kept) {}

  /** Plays pairs until the interval is narrow enough, or so many have been played. */
  public static Difference compare(ModelPlan plan, Policy a, Policy b, int most, double within, int threads)
      throws InterruptedException {
    ExecutorService pool = Executors.newFixedThreadPool(threads);
    try {
      List<Future<Pair>> running = new ArrayList<>();
      for (int i = 0; i < most; i++) {
        long seed = plan.seed() + i;
        running.add(pool.submit(() -> pair(plan, a, b, seed)));
      }
      List<Double> differences = new ArrayList<>();
      List<Long> broken = new ArrayList<>();
      for (Future<Pair> f : running) { // In the order of the seeds: how many count does not depend on who was ready first.
        Pair p = f.get();
        differences.add(p.difference);
        if (!p.kept) {
          broken.add(p.seed);
        }
        if (differences.size() >= LEAST && halfWidth(differences) <= within) {
          break;
        }
      }
      return new Difference(mean(differences), halfWidth(differences), differences.size(), broken);
    } catch (ExecutionException e) {
      throw new IllegalStateException(e.getCause());
    } finally {
      pool.shutdownNow();
    }
  }

  private static Pair pair(ModelPlan plan, Policy a, Policy b, long seed) {
    SimulationResult x = new Simulation(plan, a, seed).run();
    SimulationResult y = new Simulation(plan, b, seed).run();
    boolean kept = (a != Policy.MODULE || x.rulesKept() && x.isConserved()) && (b != Policy.MODULE || y.rulesKept() && y.isConserved());
    return new Pair(seed, x.g() - y.g(), kept);
  }

  private static double mean(List<Double> of) {
    return of.stream().mapToDouble(d -> d).average().orElse(0);
  }

  private static double halfWidth(List<Double> of) {
    double mean = mean(of);
    double squares = of.stream().mapToDouble(d -> (d - mean) * (d - mean)).sum();
    double t = TDistribution.of(of.size() - 1).inverseCumulativeProbability(TAIL);
    return t * Math.sqrt(squares / (of.size() - 1) / of.size());
  }
}
