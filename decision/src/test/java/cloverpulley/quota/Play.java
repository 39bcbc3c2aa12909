package cloverpulley.quota;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.DoubleUnaryOperator;

/** Clients on a virtual clock: each asks at its own rate, and what each was given is kept by slots of 100 ms. */
final class Play {

  static final long SECOND = 1_000_000_000L;
  static final long SLOT = SECOND / 10;

  /** What one leaf asked and was given, by slot. */
  static final class Account {
    final double[] asked;
    final double[] given;
    long refusals;

    Account(int slots) {
      asked = new double[slots];
      given = new double[slots];
    }

    double asked(double from, double to) {
      return sum(asked, from, to);
    }

    double given(double from, double to) {
      return sum(given, from, to);
    }

    private static double sum(double[] of, double from, double to) {
      double sum = 0;
      for (int i = (int) Math.round(from * 10); i < Math.min(of.length, Math.round(to * 10)); i++) {
        sum += of[i];
      }
      return sum;
    }
  }

  private record Next(long at, int leaf) {}

  private final SplittableRandom random;
  private final List<String> paths = new ArrayList<>();
  private final List<DoubleUnaryOperator> rates = new ArrayList<>();
  private final List<double[]> costs = new ArrayList<>();
  private final List<Boolean> even = new ArrayList<>();
  final Map<String, Account> accounts = new HashMap<>();

  Play(long seed) {
    random = new SplittableRandom(seed);
  }

  /** A client that asks so often (a second, by the second), each for that cost; {@code steady} at even distances, else by chance. */
  Play client(String path, DoubleUnaryOperator rate, boolean steady, double... cost) {
    paths.add(path);
    rates.add(rate);
    costs.add(cost);
    even.add(steady);
    return this;
  }

  private long after(int leaf, long at) {
    double rate = rates.get(leaf).applyAsDouble((at) / (double) SECOND);
    if (rate <= 0) {
      return at + SLOT / 10;
    }
    double gap = even.get(leaf) ? 1 / rate : -Math.log(1 - random.nextDouble()) / rate;
    return at + Math.max(1, (long) (gap * SECOND));
  }

  /** Plays so many seconds from clock reading {@code from}. */
  void run(Quotas quotas, long from, double seconds) {
    int slots = (int) Math.ceil(seconds * 10);
    PriorityQueue<Next> queue = new PriorityQueue<>((a, b) -> a.at != b.at ? Long.compare(a.at, b.at) : Integer.compare(a.leaf, b.leaf));
    for (int i = 0; i < paths.size(); i++) {
      accounts.put(paths.get(i), new Account(slots));
      queue.add(new Next(after(i, random.nextLong(SLOT / 10)), i));
    }
    long end = (long) (seconds * SECOND);
    for (Next n = queue.poll(); n != null && n.at < end; n = queue.poll()) {
      if (rates.get(n.leaf).applyAsDouble(n.at / (double) SECOND) > 0) {
        String path = paths.get(n.leaf);
        Account a = accounts.get(path);
        double[] cost = costs.get(n.leaf);
        int slot = (int) (n.at / SLOT);
        a.asked[slot] += cost[0];
        long grant = quotas.tryAcquire(from + n.at, path, cost);
        if (Quotas.isRejected(grant)) {
          a.refusals++;
        } else {
          a.given[slot] += cost[0];
          quotas.release(from + n.at, path, grant);
        }
      }
      queue.add(new Next(after(n.leaf, n.at), n.leaf));
    }
  }

  double given(double from, double to) {
    return accounts.values().stream().mapToDouble(a -> a.given(from, to)).sum();
  }

  static double[] of(double... figures) {
    return figures;
  }

  /**
   * The least part of what a leaf was due in any window of so many seconds, where that is 50 units and half of its guarantee. Due is what it asked, up to its guarantee's
   * pace in each tenth of a second: who asks for a window's worth in its first tenth is owed it over the window, not at once.
   */
  double worst(String path, double guarantee, double window, double from, double to) {
    Account a = accounts.get(path);
    double worst = 1;
    for (double t = from; t + window <= to + 1e-9; t += 0.1) {
      double due = 0;
      for (double s = t; s < t + window - 1e-9; s += 0.1) {
        due += Math.min(a.asked(s, s + 0.1), guarantee / 10);
      }
      if (due >= Math.max(50, guarantee * window / 2)) {
        worst = Math.min(worst, a.given(t, t + window) / due);
      }
    }
    return worst;
  }

  static QuotaPlan.Builder requestsPerSecond(double total) {
    return new QuotaPlan.Builder(List.of(new Lane(Dimension.REQUESTS, SECOND)), of(total));
  }

  static double[] copy(double[] of) {
    return Arrays.copyOf(of, of.length);
  }
}
