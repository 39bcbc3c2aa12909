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
 * Compares the shares with a slow and simple reference, a fluid model: each node gets its guarantee up to its demand, and the rest of a
 * parent is divided by weight among the children with more demand until none has any. Random trees and constant demands; a failing seed can
 * be replayed. {@code -Dquota.trees=N} runs more trees than CI does, which uses the default.
 */
class FluidTest {

  private static final int TREES = Integer.getInteger("quota.trees", 150);
  /** The buckets that are full at the start are used up by then. */
  private static final double WARMUP_SECONDS = 40;
  private static final double SECONDS = 70;
  /**
   * Allowed difference in a steady state, as a ratio of the total. It comes from the order of the requests, the slot that each falls into
   * and buckets that are full.
   */
  private static final double TOLERANCE = 0.02;

  /** Reference model of a tree. */
  private static final class FluidModel {
    final Map<String, Double> guarantee = new HashMap<>();
    final Map<String, Double> weight = new HashMap<>();
    final Map<String, List<String>> children = new HashMap<>();
    final Map<String, Double> demand = new HashMap<>();

    double totalDemand(String n) {
      double sum = demand.getOrDefault(n, 0.0);
      for (String c : children.getOrDefault(n, List.of())) {
        sum += totalDemand(c);
      }
      return sum;
    }

    /** Divides the supply of a node among its leaves. */
    void divide(String n, double supply, Map<String, Double> result) {
      List<String> childPaths = children.getOrDefault(n, List.of());
      if (childPaths.isEmpty()) {
        result.put(n, Math.min(supply, demand.getOrDefault(n, 0.0)));
        return;
      }
      Map<String, Double> allocated = new HashMap<>();
      double remaining = supply;
      for (String c : childPaths) {
        allocated.put(c, Math.min(guarantee.get(c), totalDemand(c)));
        remaining -= allocated.get(c);
      }
      for (int round = 0; round < 200 && remaining > 1e-9; round++) {
        double weights = 0;
        for (String c : childPaths) {
          weights += totalDemand(c) - allocated.get(c) > 1e-9 ? weight.get(c) : 0;
        }
        if (weights == 0) {
          break;
        }
        double used = 0;
        for (String c : childPaths) {
          double more = Math.min(totalDemand(c) - allocated.get(c), remaining * weight.get(c) / weights);
          if (more > 1e-9) {
            allocated.merge(c, more, Double::sum);
            used += more;
          }
        }
        remaining -= used;
      }
      childPaths.forEach(c -> divide(c, allocated.get(c), result));
    }
  }

  @Test
  void sharesMatchTheFluidReference() {
    double maxDifference = 0;
    double minUtilisation = 1;
    for (int seed = 1; seed <= TREES; seed++) {
      SplittableRandom random = new SplittableRandom(seed);
      FluidModel model = new FluidModel();
      double total = 600;
      QuotaPlan.Builder plan = Simulation.requestsPerSecond(total);
      List<String> leaves = new ArrayList<>();
      buildTree(random, model, plan, "", total, 0, leaves);
      Simulation clients = new Simulation(seed);
      for (String leaf : leaves) {
        double rate = random.nextInt(3) == 0 ? 0 : model.guarantee.get(leaf) * random.nextDouble() * 4 + random.nextInt(30);
        model.demand.put(leaf, rate);
        clients.client(leaf, t -> rate, true, 1);
      }
      Quotas q = new Quotas(plan.build(), 100, SECOND);
      clients.run(q, SECOND, SECONDS);
      Map<String, Double> reference = new HashMap<>();
      model.divide("", total, reference);
      double used = 0;
      double expected = 0;
      for (String leaf : leaves) {
        double actual = clients.usages.get(leaf).granted(WARMUP_SECONDS, SECONDS) / (SECONDS - WARMUP_SECONDS);
        double difference = Math.abs(actual - reference.get(leaf)) / total;
        maxDifference = Math.max(maxDifference, difference);
        assertTrue(difference <= TOLERANCE, "seed " + seed + ", " + leaf + ": " + actual + " and " + reference.get(leaf) + " of " + model.demand);
        used += actual;
        expected += reference.get(leaf);
        double guaranteed = Math.min(model.demand.get(leaf), model.guarantee.get(leaf));
        assertTrue(actual >= 0.97 * guaranteed - 1, "seed " + seed + ", " + leaf + ": " + actual + " of its guaranteed " + guaranteed);
      }
      if (expected > 100) {
        minUtilisation = Math.min(minUtilisation, used / expected);
        assertTrue(used >= 0.98 * expected, "seed " + seed + ": used " + used + " of " + expected);
      }
    }
    System.out.printf("quota: %d trees, worst difference %.4f of the total, worst use %.4f%n", TREES, maxDifference, minUtilisation);
  }

  private static void buildTree(SplittableRandom random, FluidModel model, QuotaPlan.Builder plan, String path, double guarantee, int depth,
      List<String> leaves) {
    int children = depth == 0 ? 2 + random.nextInt(3) : depth >= 3 ? 0 : random.nextInt(4);
    if (children == 0) {
      leaves.add(path);
      return;
    }
    double remaining = guarantee;
    for (int i = 0; i < children; i++) {
      String child = path.isEmpty() ? "n" + i : path + "/n" + i;
      double childGuarantee = Math.floor(remaining * random.nextDouble() * (i == children - 1 ? 1 : 0.7));
      remaining -= childGuarantee;
      double childWeight = 1 + random.nextInt(5);
      plan.node(child, childWeight, of(childGuarantee), null, null);
      model.guarantee.put(child, childGuarantee);
      model.weight.put(child, childWeight);
      model.children.computeIfAbsent(path, k -> new ArrayList<>()).add(child);
      buildTree(random, model, plan, child, childGuarantee, depth + 1, leaves);
    }
  }
}
