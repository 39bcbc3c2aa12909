package cloverpulley.quota;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.DoubleUnaryOperator;

/** Simulates clients on a virtual clock. Each requests at its own rate; requested and granted units are recorded in slots of 100 ms. */
final class Simulation {

  static final long SECOND = 1_000_000_000L;
  static final long SLOT = SECOND / 10;

  /** Units that one leaf requested and was granted, by slot. */
  static final class Usage {
    final double[] requested;
    final double[] granted;
    long rejections;

    Usage(int slots) {
      requested = new double[slots];
      granted = new double[slots];
    }

    double requested(double from, double to) {
      return sum(requested, from, to);
    }

    double granted(double from, double to) {
      return sum(granted, from, to);
    }

    private static double sum(double[] of, double from, double to) {
      double sum = 0;
      for (int i = (int) Math.round(from * 10); i < Math.min(of.length, Math.round(to * 10)); i++) {
        sum += of[i];
      }
      return sum;
    }
  }

  private record Arrival(long at, int leaf) {}

  private final SplittableRandom random;
  private final List<String> paths = new ArrayList<>();
  private final List<DoubleUnaryOperator> rates = new ArrayList<>();
  private final List<double[]> costs = new ArrayList<>();
  private final List<Boolean> steadyClients = new ArrayList<>();
  final Map<String, Usage> usages = new HashMap<>();

  Simulation(long seed) {
    random = new SplittableRandom(seed);
  }

  /**
   * Adds a client whose requests have the given cost each, at a rate per second as a function of the second; {@code steady} at even
   * intervals, else as a Poisson process.
   */
  Simulation client(String path, DoubleUnaryOperator rate, boolean steady, double... cost) {
    paths.add(path);
    rates.add(rate);
    costs.add(cost);
    steadyClients.add(steady);
    return this;
  }

  private long nextArrival(int leaf, long at) {
    double rate = rates.get(leaf).applyAsDouble((at) / (double) SECOND);
    if (rate <= 0) {
      return at + SLOT / 10;
    }
    double interval = steadyClients.get(leaf) ? 1 / rate : -Math.log(1 - random.nextDouble()) / rate;
    return at + Math.max(1, (long) (interval * SECOND));
  }

  /** Runs for the given seconds, starting at clock reading {@code from}. */
  void run(Quotas quotas, long from, double seconds) {
    int slots = (int) Math.ceil(seconds * 10);
    PriorityQueue<Arrival> queue = new PriorityQueue<>((a, b) -> a.at != b.at ? Long.compare(a.at, b.at) : Integer.compare(a.leaf, b.leaf));
    for (int i = 0; i < paths.size(); i++) {
      usages.put(paths.get(i), new Usage(slots));
      queue.add(new Arrival(nextArrival(i, random.nextLong(SLOT / 10)), i));
    }
    long end = (long) (seconds * SECOND);
    for (Arrival n = queue.poll(); n != null && n.at < end; n = queue.poll()) {
      if (rates.get(n.leaf).applyAsDouble(n.at / (double) SECOND) > 0) {
        String path = paths.get(n.leaf);
        Usage usage = usages.get(path);
        double[] cost = costs.get(n.leaf);
        int slot = (int) (n.at / SLOT);
        usage.requested[slot] += cost[0];
        long grant = quotas.tryAcquire(from + n.at, path, cost);
        if (Quotas.isRejected(grant)) {
          usage.rejections++;
        } else {
          usage.granted[slot] += cost[0];
          quotas.release(from + n.at, path, grant);
        }
      }
      queue.add(new Arrival(nextArrival(n.leaf, n.at), n.leaf));
    }
  }

  double granted(double from, double to) {
    return usages.values().stream().mapToDouble(usage -> usage.granted(from, to)).sum();
  }

  static double[] of(double... values) {
    return values;
  }

  /**
   * Returns the lowest ratio of granted to due units of a leaf in any window of the given length where at least 50 units and half of the
   * guarantee are due. Due is what it requested, at most at the rate of its guarantee in each tenth of a second: a burst in the first tenth
   * of the window is due over the whole window, not at once.
   */
  double worstShare(String path, double guarantee, double window, double from, double to) {
    Usage usage = usages.get(path);
    double worstShare = 1;
    for (double t = from; t + window <= to + 1e-9; t += 0.1) {
      double due = 0;
      for (double s = t; s < t + window - 1e-9; s += 0.1) {
        due += Math.min(usage.requested(s, s + 0.1), guarantee / 10);
      }
      if (due >= Math.max(50, guarantee * window / 2)) {
        worstShare = Math.min(worstShare, usage.granted(t, t + window) / due);
      }
    }
    return worstShare;
  }

  static QuotaPlan.Builder requestsPerSecond(double total) {
    return new QuotaPlan.Builder(List.of(new Lane(Dimension.REQUESTS, SECOND)), of(total));
  }

  static double[] copy(double[] of) {
    return Arrays.copyOf(of, of.length);
  }
}
