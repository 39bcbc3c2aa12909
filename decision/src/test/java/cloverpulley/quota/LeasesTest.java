package cloverpulley.quota;

import static cloverpulley.quota.Simulation.SECOND;
import static cloverpulley.quota.Simulation.of;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cloverpulley.quota.Leases.Lease;
import cloverpulley.quota.Leases.Report;
import cloverpulley.quota.Leases.Terms;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Tests of leases among instances on a virtual clock: message loss, failures, partitions, overstated demand and restarts. */
class LeasesTest {

  private static final int INSTANCES = 5;
  private static final Terms TERMS = new Terms(INSTANCES, 10 * SECOND, 10 * SECOND, 0);

  private static QuotaPlan plan() {
    return Simulation.requestsPerSecond(1000).node("a", 1, of(400), null, null).node("b", 1, of(600), null, null).build();
  }

  /** Instances, two coordinators and the messages between them; each instance uses the first coordinator unless set otherwise. */
  private static final class Cluster {
    final QuotaPlan plan = plan();
    final Terms terms;
    final SplittableRandom random;
    final List<LeaseHolder> holders = new ArrayList<>();
    final double[] demand = new double[INSTANCES];
    final boolean[] partitioned = new boolean[INSTANCES];
    final boolean[] dead = new boolean[INSTANCES];
    final Leases[] coordinators = new Leases[2];
    final int[] coordinatorOf = new int[INSTANCES];
    long now = 1000 * SECOND;
    double lossRate;
    double maxUtilisation;

    Cluster(Terms terms, long seed) {
      this.terms = terms;
      random = new SplittableRandom(seed);
      coordinators[0] = new Leases(plan, terms, now, now);
      coordinators[1] = new Leases(plan, terms, now, now + 500_000);
      for (int i = 0; i < INSTANCES; i++) {
        holders.add(new LeaseHolder(plan, terms, "i" + i, now, 0));
      }
    }

    double sum(String path) {
      double sum = 0;
      for (int i = 0; i < INSTANCES; i++) {
        sum += dead[i] ? 0 : holders.get(i).allowances(now).get(path)[0];
      }
      return sum;
    }

    void advanceOneSecond() {
      now += SECOND;
      for (int i = 0; i < INSTANCES; i++) {
        if (partitioned[i] || dead[i] || random.nextDouble() < lossRate) {
          continue;
        }
        Report r = holders.get(i).nextReport(now, Map.of("a", of(demand[i]), "b", of(demand[i]), "", of(2 * demand[i])));
        Lease l = coordinators[coordinatorOf[i]].handleReport(now, r);
        if (l != null && random.nextDouble() >= lossRate) {
          holders.get(i).accept(now, l);
        }
      }
      for (String path : List.of("", "a", "b")) {
        maxUtilisation = Math.max(maxUtilisation, sum(path) / plan.nodes().get(path).guarantee()[0]);
      }
    }

    void advanceSeconds(int n) {
      for (int i = 0; i < n; i++) {
        advanceOneSecond();
      }
    }
  }

  @Test
  void leasesFollowDemandWithinSeconds() {
    Cluster cluster = new Cluster(TERMS, 1);
    cluster.demand[0] = 1000;
    cluster.advanceSeconds(40);
    assertTrue(cluster.holders.get(0).allowance(cluster.now, "a", 0) > 0.7 * 400, "" + cluster.holders.get(0).allowance(cluster.now, "a", 0));
    assertTrue(cluster.sum("a") > 0.98 * 400, "all of the guarantee is in use: " + cluster.sum("a"));
    cluster.demand[0] = 0;
    cluster.demand[3] = 1000;
    cluster.advanceSeconds(5);
    assertTrue(cluster.holders.get(3).allowance(cluster.now, "a", 0) > 0.7 * 400, "" + cluster.holders.get(3).allowance(cluster.now, "a", 0));
    assertTrue(cluster.maxUtilisation <= 1 + 1e-6, "never more than the guarantee: " + cluster.maxUtilisation);
  }

  @Test
  void killedPartitionedAndReturnedInstances() {
    Cluster cluster = new Cluster(TERMS, 2);
    cluster.demand[0] = 1000;
    cluster.advanceSeconds(30);
    cluster.dead[1] = true;
    cluster.partitioned[0] = true; // It held most of the guarantee.
    cluster.demand[2] = 1000;
    cluster.advanceSeconds(60);
    assertEquals(80, cluster.holders.get(0).allowance(cluster.now, "a", 0), 1, "fallen back to its even share while partitioned");
    assertTrue(cluster.holders.get(2).allowance(cluster.now, "a", 0) >= 150,
        "others get the rest: " + cluster.holders.get(2).allowance(cluster.now, "a", 0));
    // The dead instance restarts under its name, without a lease and with an old sequence number; the partition heals.
    cluster.dead[1] = false;
    cluster.holders.set(1, new LeaseHolder(cluster.plan, cluster.terms, "i1", cluster.now, 0));
    cluster.partitioned[0] = false;
    cluster.demand[0] = 0;
    cluster.demand[1] = 1000;
    cluster.advanceSeconds(30);
    assertTrue(cluster.holders.get(1).allowance(cluster.now, "a", 0) > 130, "" + cluster.holders.get(1).allowance(cluster.now, "a", 0));
    assertTrue(cluster.maxUtilisation <= 1 + 1e-6, "at any time: " + cluster.maxUtilisation);
  }

  /** An instance that overstates its demand gets no more than what the others leave of their even shares. */
  @Test
  void overstatedDemandGetsOnlyWhatOthersLeave() {
    Cluster cluster = new Cluster(TERMS, 3);
    cluster.demand[0] = 1e12;
    for (int i = 1; i < INSTANCES; i++) {
      cluster.demand[i] = 150;
    }
    cluster.advanceSeconds(60);
    for (int i = 1; i < INSTANCES; i++) {
      assertTrue(cluster.holders.get(i).allowance(cluster.now, "a", 0) > 79,
          "its even share: " + cluster.holders.get(i).allowance(cluster.now, "a", 0));
    }
    Cluster invalidDemand = new Cluster(TERMS, 4);
    invalidDemand.demand[0] = Double.NaN;
    invalidDemand.demand[1] = -5;
    invalidDemand.advanceSeconds(60);
    assertTrue(invalidDemand.holders.get(2).allowance(invalidDemand.now, "a", 0) >= 60);
  }

  @Test
  void restartedCoordinatorDoesNotOverallocate() {
    Cluster cluster = new Cluster(TERMS, 5);
    cluster.demand[0] = 1000;
    cluster.advanceSeconds(40);
    for (int round = 0; round < 5; round++) {
      cluster.coordinators[0] = new Leases(cluster.plan, cluster.terms, cluster.now, cluster.now);
      cluster.demand[round % INSTANCES] = 0;
      cluster.demand[(round + 1) % INSTANCES] = 1000;
      cluster.advanceSeconds(7);
    }
    cluster.advanceSeconds(60);
    assertTrue(cluster.maxUtilisation <= 1 + 1e-6, "at any time: " + cluster.maxUtilisation);
    assertTrue(cluster.sum("a") > 0.95 * 400, "reaches a steady state: " + cluster.sum("a"));
  }

  /** Two coordinators in a partition: the side with the majority grows into what the other had, after that has fallen back. */
  @Test
  void partitionedCoordinatorsDoNotOverallocate() {
    Cluster cluster = new Cluster(TERMS, 8);
    cluster.demand[0] = 1000;
    cluster.advanceSeconds(60);
    assertTrue(cluster.holders.get(0).allowance(cluster.now, "a", 0) > 280);
    cluster.coordinatorOf[1] = cluster.coordinatorOf[2] = cluster.coordinatorOf[3] = 1;
    cluster.demand[1] = 1000;
    cluster.advanceSeconds(90);
    assertEquals(80, cluster.holders.get(0).allowance(cluster.now, "a", 0), 1, "the minority has even shares");
    assertTrue(cluster.holders.get(1).allowance(cluster.now, "a", 0) > 150, "" + cluster.holders.get(1).allowance(cluster.now, "a", 0));
    cluster.coordinatorOf[1] = cluster.coordinatorOf[2] = cluster.coordinatorOf[3] = 0;
    cluster.advanceSeconds(90);
    assertTrue(cluster.maxUtilisation <= 1 + 1e-6, "at any time: " + cluster.maxUtilisation);
  }

  /** Random message loss, partitions, failures, and restarts of instances and coordinators: never more than the guarantee. */
  @Test
  void randomHistoriesNeverExceedTheGuarantee() {
    for (int seed = 1; seed <= 300; seed++) {
      Cluster cluster = new Cluster(TERMS, seed);
      cluster.lossRate = cluster.random.nextDouble() * 0.6;
      for (int step = 0; step < 60; step++) {
        int i = cluster.random.nextInt(INSTANCES);
        switch (cluster.random.nextInt(7)) {
          case 0 -> cluster.partitioned[i] = !cluster.partitioned[i];
          case 1 -> {
            cluster.dead[i] = !cluster.dead[i];
            if (!cluster.dead[i]) {
              cluster.holders.set(i, new LeaseHolder(cluster.plan, cluster.terms, "i" + i, cluster.now, cluster.now));
            }
          }
          case 2 -> cluster.coordinators[cluster.random.nextInt(2)] = new Leases(cluster.plan, cluster.terms, cluster.now,
              cluster.now + cluster.random.nextInt(900_000));
          case 3 -> cluster.coordinatorOf[i] = 1 - cluster.coordinatorOf[i];
          default -> cluster.demand[i] = cluster.random.nextInt(2000);
        }
        cluster.advanceSeconds(1 + cluster.random.nextInt(8));
        assertTrue(cluster.maxUtilisation <= 1 + 1e-6, "seed " + seed + ", step " + step + ": " + cluster.maxUtilisation);
      }
    }
  }

  @Test
  void reclaimedShareOfADeadInstanceIsUsed() {
    Cluster cluster = new Cluster(new Terms(INSTANCES, 10 * SECOND, 10 * SECOND, 60 * SECOND), 6);
    for (int i = 0; i < INSTANCES; i++) {
      cluster.demand[i] = 1000;
    }
    cluster.advanceSeconds(30);
    cluster.dead[3] = true;
    cluster.advanceSeconds(100);
    assertTrue(cluster.sum("a") > 0.97 * 400, "" + cluster.sum("a"));
  }

  @Test
  void outdatedReportsAndExcessInstancesAreRejected() {
    Leases l = new Leases(plan(), TERMS, 0, 0);
    assertTrue(l.handleReport(0, new Report("i0", 5, 0, Map.of(), Map.of())) != null);
    assertNull(l.handleReport(1, new Report("i0", 5, 0, Map.of(), Map.of())));
    assertNull(l.handleReport(1, new Report("i0", 4, 0, Map.of(), Map.of())));
    for (int i = 1; i < INSTANCES; i++) {
      l.handleReport(0, new Report("i" + i, 1, 0, Map.of(), Map.of()));
    }
    assertThrows(IllegalArgumentException.class, () -> l.handleReport(0, new Report("i9", 1, 0, Map.of(), Map.of())));
    assertThrows(IllegalArgumentException.class, () -> new Terms(0, 1, 1, 0));
  }

  /** Quotas with leases: scaled buckets keep their fill ratio, and demand is returned once. */
  @Test
  void guaranteesFollowTheLease() {
    Quotas q = new Quotas(plan(), 10, SECOND);
    q.takeDemand();
    q.scaleGuarantees(SECOND, Map.of("", of(250), "a", of(100), "b", of(150)));
    int granted = 0;
    for (int i = 0; i < 400; i++) {
      granted += Quotas.isRejected(q.tryAcquire(SECOND, "a", of(1))) ? 0 : 1;
    }
    assertTrue(granted >= 100 && granted <= 250, "" + granted);
    assertEquals(400, q.takeDemand().get("a")[0]);
    assertTrue(q.takeDemand().isEmpty(), "demand is returned once");
    q.scaleGuarantees(SECOND, Map.of("", of(1000), "a", of(400), "b", of(600)));
    assertTrue(Quotas.isRejected(q.tryAcquire(SECOND, "a", of(1))) || granted < 250, "a larger guarantee adds no tokens");
  }
}
