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

/** Leases among instances on a virtual clock, with losses, deaths, cuts, liars and returns. */
class LeasesTest {

  private static final int N = 5;
  private static final Terms TERMS = new Terms(N, 10 * SECOND, 10 * SECOND, 0);

  private static QuotaPlan plan() {
    return Simulation.requestsPerSecond(1000).node("a", 1, of(400), null, null).node("b", 1, of(600), null, null).build();
  }

  /** Instances and two coordinators, with what passes between them; each turns to the first unless told otherwise. */
  private static final class World {
    final QuotaPlan plan = plan();
    final Terms terms;
    final SplittableRandom random;
    final List<LeaseHolder> holders = new ArrayList<>();
    final double[] demand = new double[N];
    final boolean[] cut = new boolean[N];
    final boolean[] dead = new boolean[N];
    final Leases[] leases = new Leases[2];
    final int[] side = new int[N];
    long now = 1000 * SECOND;
    double loss;
    double worst;

    World(Terms terms, long seed) {
      this.terms = terms;
      random = new SplittableRandom(seed);
      leases[0] = new Leases(plan, terms, now, now);
      leases[1] = new Leases(plan, terms, now, now + 500_000);
      for (int i = 0; i < N; i++) {
        holders.add(new LeaseHolder(plan, terms, "i" + i, now, 0));
      }
    }

    double sum(String path) {
      double sum = 0;
      for (int i = 0; i < N; i++) {
        sum += dead[i] ? 0 : holders.get(i).allowances(now).get(path)[0];
      }
      return sum;
    }

    void second() {
      now += SECOND;
      for (int i = 0; i < N; i++) {
        if (cut[i] || dead[i] || random.nextDouble() < loss) {
          continue;
        }
        Report r = holders.get(i).nextReport(now, Map.of("a", of(demand[i]), "b", of(demand[i]), "", of(2 * demand[i])));
        Lease l = leases[side[i]].handleReport(now, r);
        if (l != null && random.nextDouble() >= loss) {
          holders.get(i).accept(now, l);
        }
      }
      for (String path : List.of("", "a", "b")) {
        worst = Math.max(worst, sum(path) / plan.nodes().get(path).guarantee()[0]);
      }
    }

    void seconds(int n) {
      for (int i = 0; i < n; i++) {
        second();
      }
    }
  }

  @Test
  void leasesFollowDemandWithinSeconds() {
    World w = new World(TERMS, 1);
    w.demand[0] = 1000;
    w.seconds(40);
    assertTrue(w.holders.get(0).allowance(w.now, "a", 0) > 0.7 * 400, "" + w.holders.get(0).allowance(w.now, "a", 0));
    assertTrue(w.sum("a") > 0.98 * 400, "all of it is given: " + w.sum("a"));
    w.demand[0] = 0;
    w.demand[3] = 1000;
    w.seconds(5);
    assertTrue(w.holders.get(3).allowance(w.now, "a", 0) > 0.7 * 400, "" + w.holders.get(3).allowance(w.now, "a", 0));
    assertTrue(w.worst <= 1 + 1e-6, "at every moment no more than there is: " + w.worst);
  }

  @Test
  void oneKilledOneCutOffOneReturned() {
    World w = new World(TERMS, 2);
    w.demand[0] = 1000;
    w.seconds(30);
    w.dead[1] = true;
    w.cut[0] = true; // It held most of it.
    w.demand[2] = 1000;
    w.seconds(60);
    assertEquals(80, w.holders.get(0).allowance(w.now, "a", 0), 1, "cut off, it has fallen to its even part");
    assertTrue(w.holders.get(2).allowance(w.now, "a", 0) >= 150, "the rest is the others': " + w.holders.get(2).allowance(w.now, "a", 0));
    // The dead one comes back under its name, with nothing and an old count; the cut heals.
    w.dead[1] = false;
    w.holders.set(1, new LeaseHolder(w.plan, w.terms, "i1", w.now, 0));
    w.cut[0] = false;
    w.demand[0] = 0;
    w.demand[1] = 1000;
    w.seconds(30);
    assertTrue(w.holders.get(1).allowance(w.now, "a", 0) > 130, "" + w.holders.get(1).allowance(w.now, "a", 0));
    assertTrue(w.worst <= 1 + 1e-6, "at every moment: " + w.worst);
  }

  /** Whoever claims more than it needs has no more than the others leave of their even parts. */
  @Test
  void aLiarGetsNoMoreThanWhatOthersLeave() {
    World w = new World(TERMS, 3);
    w.demand[0] = 1e12;
    for (int i = 1; i < N; i++) {
      w.demand[i] = 150;
    }
    w.seconds(60);
    for (int i = 1; i < N; i++) {
      assertTrue(w.holders.get(i).allowance(w.now, "a", 0) > 79, "its even part: " + w.holders.get(i).allowance(w.now, "a", 0));
    }
    World nan = new World(TERMS, 4);
    nan.demand[0] = Double.NaN;
    nan.demand[1] = -5;
    nan.seconds(60);
    assertTrue(nan.holders.get(2).allowance(nan.now, "a", 0) >= 60);
  }

  @Test
  void aCoordinatorThatBeginsAnewGivesNothingTwice() {
    World w = new World(TERMS, 5);
    w.demand[0] = 1000;
    w.seconds(40);
    for (int round = 0; round < 5; round++) {
      w.leases[0] = new Leases(w.plan, w.terms, w.now, w.now);
      w.demand[round % N] = 0;
      w.demand[(round + 1) % N] = 1000;
      w.seconds(7);
    }
    w.seconds(60);
    assertTrue(w.worst <= 1 + 1e-6, "at every moment: " + w.worst);
    assertTrue(w.sum("a") > 0.95 * 400, "and it settles: " + w.sum("a"));
  }

  /** Two coordinators in a partition: the side that has most grows into what the other had, when that has fallen back. */
  @Test
  void aPartitionBetweenTwoCoordinatorsGivesNothingTwice() {
    World w = new World(TERMS, 8);
    w.demand[0] = 1000;
    w.seconds(60);
    assertTrue(w.holders.get(0).allowance(w.now, "a", 0) > 280);
    w.side[1] = w.side[2] = w.side[3] = 1;
    w.demand[1] = 1000;
    w.seconds(90);
    assertEquals(80, w.holders.get(0).allowance(w.now, "a", 0), 1, "the lesser side has its even parts");
    assertTrue(w.holders.get(1).allowance(w.now, "a", 0) > 150, "" + w.holders.get(1).allowance(w.now, "a", 0));
    w.side[1] = w.side[2] = w.side[3] = 0;
    w.seconds(90);
    assertTrue(w.worst <= 1 + 1e-6, "at every moment: " + w.worst);
  }

  /** Random losses, cuts, deaths, restarts of instances and of the coordinator: never more than there is. */
  @Test
  void seededHistoriesNeverGiveMoreThanThereIs() {
    for (int seed = 1; seed <= 300; seed++) {
      World w = new World(TERMS, seed);
      w.loss = w.random.nextDouble() * 0.6;
      for (int step = 0; step < 60; step++) {
        int i = w.random.nextInt(N);
        switch (w.random.nextInt(7)) {
          case 0 -> w.cut[i] = !w.cut[i];
          case 1 -> {
            w.dead[i] = !w.dead[i];
            if (!w.dead[i]) {
              w.holders.set(i, new LeaseHolder(w.plan, w.terms, "i" + i, w.now, w.now));
            }
          }
          case 2 -> w.leases[w.random.nextInt(2)] = new Leases(w.plan, w.terms, w.now, w.now + w.random.nextInt(900_000));
          case 3 -> w.side[i] = 1 - w.side[i];
          default -> w.demand[i] = w.random.nextInt(2000);
        }
        w.seconds(1 + w.random.nextInt(8));
        assertTrue(w.worst <= 1 + 1e-6, "seed " + seed + ", step " + step + ": " + w.worst);
      }
    }
  }

  @Test
  void withReclaimingTheDeadsPartIsUsed() {
    World w = new World(new Terms(N, 10 * SECOND, 10 * SECOND, 60 * SECOND), 6);
    for (int i = 0; i < N; i++) {
      w.demand[i] = 1000;
    }
    w.seconds(30);
    w.dead[3] = true;
    w.seconds(100);
    assertTrue(w.sum("a") > 0.97 * 400, "" + w.sum("a"));
  }

  @Test
  void oldReportsAndOneInstanceTooManyAreRefused() {
    Leases l = new Leases(plan(), TERMS, 0, 0);
    assertTrue(l.handleReport(0, new Report("i0", 5, 0, Map.of(), Map.of())) != null);
    assertNull(l.handleReport(1, new Report("i0", 5, 0, Map.of(), Map.of())));
    assertNull(l.handleReport(1, new Report("i0", 4, 0, Map.of(), Map.of())));
    for (int i = 1; i < N; i++) {
      l.handleReport(0, new Report("i" + i, 1, 0, Map.of(), Map.of()));
    }
    assertThrows(IllegalArgumentException.class, () -> l.handleReport(0, new Report("i9", 1, 0, Map.of(), Map.of())));
    assertThrows(IllegalArgumentException.class, () -> new Terms(0, 1, 1, 0));
  }

  /** Quotas on leases: what is scaled keeps how full it was, and what was asked is told once. */
  @Test
  void quotasFollowTheirLease() {
    Quotas q = new Quotas(plan(), 10, SECOND);
    q.takeDemand();
    q.scaleGuarantees(SECOND, Map.of("", of(250), "a", of(100), "b", of(150)));
    int given = 0;
    for (int i = 0; i < 400; i++) {
      given += Quotas.isRejected(q.tryAcquire(SECOND, "a", of(1))) ? 0 : 1;
    }
    assertTrue(given >= 100 && given <= 250, "" + given);
    assertEquals(400, q.takeDemand().get("a")[0]);
    assertTrue(q.takeDemand().isEmpty(), "told once");
    q.scaleGuarantees(SECOND, Map.of("", of(1000), "a", of(400), "b", of(600)));
    assertTrue(Quotas.isRejected(q.tryAcquire(SECOND, "a", of(1))) || given < 250, "growing is no gift");
  }
}
