package cloverpulley.quota;

import static cloverpulley.quota.Simulation.SECOND;
import static cloverpulley.quota.Simulation.of;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/**
 * Against a reference that is slow and obviously right: fluid shares, each node given its guarantee up to its demand, what is left of a
 * parent divided by weight among children that want more, until nobody does. Random trees and steady demands; a failing seed replays.
 * {@code -Dquota.trees=N} plays more than CI does.
 */
class FluidTest {

  private static final int TREES = Integer.getInteger("quota.trees", 150);
  /** Full buckets at the start are spent by then. */
  private static final double SETTLE = 40;
  private static final double SECONDS = 70;
  /** Of the total: what turns, slots of chance and full buckets may make of a steady state. */
  private static final double MARGIN = 0.02;

  /** A tree being filled. */
  private static final class Fluid {
    final Map<String, Double> guarantee = new HashMap<>();
    final Map<String, Double> weight = new HashMap<>();
    final Map<String, List<String>> children = new HashMap<>();
    final Map<String, Double> demand = new HashMap<>();

    double wants(String n) {
      double sum = demand.getOrDefault(n, 0.0);
      for (String c : children.getOrDefault(n, List.of())) {
        sum += wants(c);
      }
      return sum;
    }

    /** Divides so much among a node's leaves. */
    void divide(String n, double supply, Map<String, Double> out) {
      List<String> below = children.getOrDefault(n, List.of());
      if (below.isEmpty()) {
        out.put(n, Math.min(supply, demand.getOrDefault(n, 0.0)));
        return;
      }
      Map<String, Double> given = new HashMap<>();
      double left = supply;
      for (String c : below) {
        given.put(c, Math.min(guarantee.get(c), wants(c)));
        left -= given.get(c);
      }
      for (int round = 0; round < 200 && left > 1e-9; round++) {
        double weights = 0;
        for (String c : below) {
          weights += wants(c) - given.get(c) > 1e-9 ? weight.get(c) : 0;
        }
        if (weights == 0) {
          break;
        }
        double spent = 0;
        for (String c : below) {
          double more = Math.min(wants(c) - given.get(c), left * weight.get(c) / weights);
          if (more > 1e-9) {
            given.merge(c, more, Double::sum);
            spent += more;
          }
        }
        left -= spent;
      }
      below.forEach(c -> divide(c, given.get(c), out));
    }
  }

  @Test
  void sharesAreThoseOfTheFluidReference() {
    double worst = 0;
    double worstUse = 1;
    for (int seed = 1; seed <= TREES; seed++) {
      SplittableRandom random = new SplittableRandom(seed);
      Fluid f = new Fluid();
      double total = 600;
      QuotaPlan.Builder plan = Simulation.requestsPerSecond(total);
      List<String> leaves = new ArrayList<>();
      grow(random, f, plan, "", total, 0, leaves);
      Simulation p = new Simulation(seed);
      for (String leaf : leaves) {
        double rate = random.nextInt(3) == 0 ? 0 : f.guarantee.get(leaf) * random.nextDouble() * 4 + random.nextInt(30);
        f.demand.put(leaf, rate);
        p.client(leaf, t -> rate, true, 1);
      }
      Quotas q = new Quotas(plan.build(), 100, SECOND);
      p.run(q, SECOND, SECONDS);
      Map<String, Double> reference = new HashMap<>();
      f.divide("", total, reference);
      double use = 0;
      double due = 0;
      for (String leaf : leaves) {
        double real = p.usages.get(leaf).granted(SETTLE, SECONDS) / (SECONDS - SETTLE);
        double off = Math.abs(real - reference.get(leaf)) / total;
        worst = Math.max(worst, off);
        assertTrue(off <= MARGIN, "seed " + seed + ", " + leaf + ": " + real + " and " + reference.get(leaf) + " of " + f.demand);
        use += real;
        due += reference.get(leaf);
        double least = Math.min(f.demand.get(leaf), f.guarantee.get(leaf));
        assertTrue(real >= 0.97 * least - 1, "seed " + seed + ", " + leaf + ": " + real + " of its guaranteed " + least);
      }
      if (due > 100) {
        worstUse = Math.min(worstUse, use / due);
        assertTrue(use >= 0.98 * due, "seed " + seed + ": used " + use + " of " + due);
      }
    }
    System.out.printf("quota: %d trees, worst difference %.4f of the total, worst use %.4f%n", TREES, worst, worstUse);
  }

  private static void grow(SplittableRandom random, Fluid f, QuotaPlan.Builder plan, String path, double guarantee, int depth,
      List<String> leaves) {
    int children = depth == 0 ? 2 + random.nextInt(3) : depth >= 3 ? 0 : random.nextInt(4);
    if (children == 0) {
      leaves.add(path);
      return;
    }
    double left = guarantee;
    for (int i = 0; i < children; i++) {
      String child = path.isEmpty() ? "n" + i : path + "/n" + i;
      double g = Math.floor(left * random.nextDouble() * (i == children - 1 ? 1 : 0.7));
      left -= g;
      double w = 1 + random.nextInt(5);
      plan.node(child, w, of(g), null, null);
      f.guarantee.put(child, g);
      f.weight.put(child, w);
      f.children.computeIfAbsent(path, k -> new ArrayList<>()).add(child);
      grow(random, f, plan, child, g, depth + 1, leaves);
    }
  }
}
