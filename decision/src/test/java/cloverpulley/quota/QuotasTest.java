package cloverpulley.quota;

import static cloverpulley.quota.Simulation.SECOND;
import static cloverpulley.quota.Simulation.of;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cloverpulley.quota.QuotaPlan.ChildTemplate;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Tests of the decisions on a virtual clock: guarantees, lending, paying back, ceilings, several dimensions, plan updates. */
class QuotasTest {

  private static final long SEED = 20261201;
  private static final long START = 77 * SECOND;

  private static QuotaPlan partners() {
    return Simulation.requestsPerSecond(1000).node("steppe", 5, of(500), null, null).node("agro", 3, of(300), null, null)
        .node("kaspi", 2, of(200), null, null).build();
  }

  /** One client requests without pause for ten minutes; another comes and goes, and has its share within a second of each return. */
  @Test
  void permanentBorrowerIsLimitedToItsGuaranteeWhenALenderReturns() {
    for (boolean steady : new boolean[] {true, false}) {
      Quotas q = new Quotas(partners(), 100, START);
      Simulation clients = new Simulation(SEED).client("agro", t -> 5000, steady, 1)
          .client("steppe", t -> (int) (t / 37) % 2 == 1 ? 700 : 0, steady, 1)
          .client("kaspi", t -> 150, steady, 1);
      clients.run(q, START, 600);
      for (double window : new double[] {1, 10, 60}) {
        assertTrue(clients.worstShare("steppe", 500, window, 1, 600) >= 0.97,
            "steppe " + window + ": " + clients.worstShare("steppe", 500, window, 1, 600));
        assertTrue(clients.worstShare("agro", 300, window, 1, 600) >= 0.97,
            "agro " + window + ": " + clients.worstShare("agro", 300, window, 1, 600));
        assertTrue(clients.worstShare("kaspi", 200, window, 1, 600) >= 0.97,
            "kaspi " + window + ": " + clients.worstShare("kaspi", 200, window, 1, 600));
      }
      double all = clients.granted(1, 600);
      assertTrue(all >= 0.98 * 1000 * 599 && all <= 1.01 * 1000 * 599 + 1000, "used " + all / 599);
      // Its share is back within a second of each return.
      for (double returnAt = 37; returnAt < 600; returnAt += 74) {
        double first = clients.usages.get("steppe").granted(returnAt, returnAt + 1);
        assertTrue(first >= 0.97 * 500, "at " + returnAt + ": " + first);
      }
    }
  }

  /** Borrowers get idle share in proportion to their weights, regardless of their request rates. */
  @Test
  void idleShareIsDividedByWeightNotByRequestRate() {
    Quotas q = new Quotas(partners(), 100, START);
    Simulation clients = new Simulation(SEED).client("agro", t -> 20_000, false, 1).client("kaspi", t -> 1500, false, 1);
    clients.run(q, START, 60);
    double agro = clients.usages.get("agro").granted(5, 60) / 55 - 300;
    double kaspi = clients.usages.get("kaspi").granted(5, 60) / 55 - 200;
    assertEquals(500, agro + kaspi, 10);
    assertEquals(1.5, agro / kaspi, 0.1, agro + " to " + kaspi);
  }

  /** A flood in one group leaves the shares of its siblings and of other partners untouched. */
  @Test
  void floodInOneSubtreeDoesNotAffectOtherNodes() {
    QuotaPlan plan = Simulation.requestsPerSecond(1000).node("steppe", 1, of(600), null, null).node("steppe/a", 1, of(200), null, null)
        .node("steppe/b", 1, of(200), null, null).node("steppe/c", 1, of(200), null, null).node("agro", 1, of(400), null, null)
        .node("agro/x", 1, of(200), null, null).node("agro/y", 1, of(200), null, null).build();
    Quotas q = new Quotas(plan, 100, START);
    Simulation clients = new Simulation(SEED).client("steppe/a", t -> 30_000, false, 1).client("steppe/b", t -> 190, true, 1)
        .client("agro/x", t -> 500, false, 1).client("agro/y", t -> 100, true, 1);
    clients.run(q, START, 120);
    assertTrue(clients.worstShare("steppe/b", 200, 1, 1, 120) >= 0.97);
    assertTrue(clients.worstShare("agro/x", 200, 1, 1, 120) >= 0.97);
    assertTrue(clients.worstShare("agro/y", 200, 1, 1, 120) >= 0.97);
    // Idle share of c stays within steppe and that of y within agro: siblings borrow first.
    assertEquals(410, clients.usages.get("steppe/a").granted(5, 120) / 115, 15);
    assertEquals(300, clients.usages.get("agro/x").granted(5, 120) / 115, 15);
  }

  /** A node that lent for long and returns with a demand above its guarantee is preferred for idle share, for a bounded time. */
  @Test
  void lendersArePaidBackFromIdleShareOnly() {
    QuotaPlan plan = Simulation.requestsPerSecond(900).node("a", 1, of(200), null, null).node("b", 1, of(200), null, null)
        .node("c", 1, of(200), null, null).build();
    Quotas q = new Quotas(plan, 100, START);
    Simulation clients = new Simulation(SEED).client("a", t -> 3000, false, 1).client("b", t -> t < 60 ? 0 : 3000, false, 1);
    // c makes no requests: 300 of the root and 200 of c can be borrowed.
    clients.run(q, START, 120);
    Simulation.Usage a = clients.usages.get("a");
    Simulation.Usage b = clients.usages.get("b");
    assertTrue(b.granted(60, 63) > 1.5 * a.granted(60, 63), "paid back: " + b.granted(60, 63) + " to " + a.granted(60, 63));
    assertTrue(clients.worstShare("a", 200, 1, 1, 120) >= 0.97, "from idle share only: " + clients.worstShare("a", 200, 1, 1, 120));
    assertEquals(1, a.granted(100, 120) / b.granted(100, 120), 0.1, "for a bounded time");
  }

  @Test
  void lanesLimitIndependently() {
    List<Lane> lanes = List.of(new Lane(Dimension.REQUESTS, SECOND), new Lane(Dimension.WORK, SECOND), new Lane(Dimension.CONCURRENCY, 0));
    QuotaPlan plan = new QuotaPlan.Builder(lanes, of(1000, 20_000, 100)).node("a", 1, of(500, 5000, 50), null, null)
        .node("b", 1, of(500, 5000, 50), of(600, 6000, 60), null).build();
    Quotas q = new Quotas(plan, 10, START);
    // Expensive requests: work is exhausted long before the request count.
    int granted = 0;
    long rejected = 0;
    for (int i = 0; i < 400; i++) {
      long grant = q.tryAcquire(START + i, "b", of(1, 60, 0));
      granted += Quotas.isRejected(grant) ? 0 : 1;
      rejected = Quotas.isRejected(grant) ? grant : rejected;
    }
    assertEquals(100, granted, "the ceiling of 6,000 work units, 60 each");
    assertEquals(Dimension.WORK, q.bindingLane(rejected).dimension());
    assertTrue(Quotas.isCeilingRejection(rejected));
    assertFalse(Quotas.isRejected(q.tryAcquire(START + 500, "a", of(1, 60, 0))), "ceilings of other nodes are independent");
  }

  @Test
  void concurrencyIsReleasedAndLent() {
    List<Lane> lanes = List.of(new Lane(Dimension.CONCURRENCY, 0));
    QuotaPlan plan = new QuotaPlan.Builder(lanes, of(100)).node("a", 1, of(50), of(80), null).node("b", 1, of(50), null, null).build();
    Quotas q = new Quotas(plan, 10, START);
    List<Long> grants = new ArrayList<>();
    for (int i = 0; i < 200; i++) {
      long g = q.tryAcquire(START, "a", of(1));
      if (!Quotas.isRejected(g)) {
        grants.add(g);
      }
    }
    assertEquals(80, grants.size(), "the ceiling of 80, of which 30 are borrowed");
    int b = 0;
    for (int i = 0; i < 100; i++) {
      b += Quotas.isRejected(q.tryAcquire(START, "b", of(1))) ? 0 : 1;
    }
    assertEquals(50, b, "its guarantee, regardless of what was lent");
    grants.forEach(g -> q.release(START, "a", g));
    int again = 0;
    for (int i = 0; i < 100; i++) {
      again += Quotas.isRejected(q.tryAcquire(START, "a", of(1))) ? 0 : 1;
    }
    assertEquals(50, again, "while b uses its guarantee of 50");
  }

  @Test
  void ceilingIsNotExceededInAnyWindow() {
    List<Lane> lanes = List.of(new Lane(Dimension.REQUESTS, SECOND), new Lane(Dimension.REQUESTS, 60 * SECOND));
    QuotaPlan plan = new QuotaPlan.Builder(lanes, of(1000, 60_000)).node("a", 1, of(10, 600), of(100, 2000), null).build();
    Quotas q = new Quotas(plan, 10, START);
    SplittableRandom r = new SplittableRandom(SEED);
    List<Long> granted = new ArrayList<>();
    long at = START;
    while (at < START + 200 * SECOND) {
      at += r.nextLong(SECOND / 50);
      if (!Quotas.isRejected(q.tryAcquire(at, "a", of(1, 1)))) {
        granted.add(at);
      }
    }
    for (int i = 0, j = 0, k = 0; i < granted.size(); i++) {
      while (granted.get(j) <= granted.get(i) - SECOND) {
        j++;
      }
      while (granted.get(k) <= granted.get(i) - 60 * SECOND) {
        k++;
      }
      assertTrue(i - j + 1 <= 100, "in a second " + (i - j + 1));
      assertTrue(i - k + 1 <= 2000, "in a minute " + (i - k + 1));
    }
    assertTrue(granted.size() > 0.9 * 2000 * 200 / 60, "nearly all of the ceiling was used: " + granted.size());
  }

  /** A request of 60 times the node's guarantee is granted when the root's bucket is full, and is then paid off. */
  @Test
  void oversizedRequestIsGrantedAndPaidOff() {
    List<Lane> lanes = List.of(new Lane(Dimension.WORK, SECOND));
    QuotaPlan plan = new QuotaPlan.Builder(lanes, of(1000)).node("a", 1, of(100), null, null).build();
    Quotas q = new Quotas(plan, 10, START);
    assertFalse(Quotas.isRejected(q.tryAcquire(START, "a", of(6000))), "the root's bucket is full");
    assertTrue(Quotas.isRejected(q.tryAcquire(START + SECOND / 2, "a", of(600))));
    assertFalse(Quotas.isRejected(q.tryAcquire(START + 8 * SECOND, "a", of(60))));
    assertFalse(Quotas.isRejected(q.tryAcquire(START + 9 * SECOND, "a", of(1e300))), "a wrong hint is charged at most the bound");
    assertFalse(Quotas.isRejected(q.tryAcquire(START + 200 * SECOND, "a", of(60))));
  }

  @Test
  void estimatesAreSettled() {
    List<Lane> lanes = List.of(new Lane(Dimension.BYTES_OUT, SECOND));
    QuotaPlan plan = new QuotaPlan.Builder(lanes, of(1000)).node("a", 1, of(1000), null, null).build();
    Quotas q = new Quotas(plan, 10, START);
    long g = q.tryAcquire(START, "a", of(900));
    q.settle(START, "a", g, START, of(900), of(100));
    assertFalse(Quotas.isRejected(q.tryAcquire(START, "a", of(900))), "unused tokens are refunded");
    assertTrue(Quotas.isRejected(q.tryAcquire(START, "a", of(100))));
  }

  /** Unused bytes of a response free the ceiling too, while its window contains the charge. */
  @Test
  void refundsFreeTheCeiling() {
    List<Lane> lanes = List.of(new Lane(Dimension.BYTES_OUT, SECOND));
    QuotaPlan plan = new QuotaPlan.Builder(lanes, of(10_000)).node("a", 1, of(1000), of(1000), null).build();
    Quotas q = new Quotas(plan, 10, START);
    long g = q.tryAcquire(START, "a", of(900));
    assertTrue(Quotas.isRejected(q.tryAcquire(START, "a", of(900))));
    q.settle(START + SECOND / 10, "a", g, START, of(900), of(0));
    long next = q.tryAcquire(START + SECOND / 10, "a", of(900));
    assertFalse(Quotas.isRejected(next));
    // The first charge has left the window by now: refunding it again must not free more than the ceiling.
    q.settle(START + SECOND * 105 / 100, "a", g, START - SECOND / 5, of(900), of(0));
    assertTrue(Quotas.isRejected(q.tryAcquire(START + SECOND * 105 / 100, "a", of(900))), "900 of 1,000 were charged a tenth of a second ago");
  }

  /** A cost known only with the response counts against a ceiling that had no charges before. */
  @Test
  void lateChargesCountAgainstTheCeiling() {
    List<Lane> lanes = List.of(new Lane(Dimension.BYTES_OUT, SECOND));
    QuotaPlan plan = new QuotaPlan.Builder(lanes, of(10_000)).node("a", 1, of(1000), of(1000), null).build();
    Quotas q = new Quotas(plan, 10, START);
    long g = q.tryAcquire(START, "a", of(0));
    q.settle(START, "a", g, START, of(0), of(900));
    long at = START + SECOND * 95 / 100; // Its own tokens have been refilled, the window has not passed.
    assertTrue(Quotas.isRejected(q.tryAcquire(at, "a", of(900))));
  }

  /** A restart between a response and the next request: the snapshot at the grant does not contain the cost of the response. */
  @Test
  void lateChargesAreInTheNextSnapshot() {
    List<Lane> lanes = List.of(new Lane(Dimension.BYTES_OUT, 60 * SECOND));
    QuotaPlan plan = new QuotaPlan.Builder(lanes, of(1000)).node("a", 1, of(1000), of(1000), null).build();
    Quotas q = new Quotas(plan, 10, START);
    q.snapshotChanged(START);
    long g = q.tryAcquire(START, "a", of(0));
    List<Quotas.NodeSnapshot> atTheGrant = q.snapshotChanged(START);
    q.settle(START, "a", g, START, of(0), of(900));
    List<Quotas.NodeSnapshot> after = q.snapshotChanged(START);
    Quotas next = new Quotas(plan, 10, START);
    next.restore(START, 0, atTheGrant);
    next.restore(START, 0, after);
    assertTrue(Quotas.isRejected(next.tryAcquire(START, "a", of(900))), "a restart loses the bytes of a response");
  }

  @Test
  void rejectionStatesWhenToRetry() {
    Quotas q = new Quotas(Simulation.requestsPerSecond(100).node("a", 1, of(10), null, null).node("b", 1, of(90), null, null).build(), 10, START);
    long g;
    long at = START;
    do {
      g = q.tryAcquire(at, "a", of(1));
      q.tryAcquire(at, "b", of(1));
    } while (!Quotas.isRejected(g));
    long when = q.retryAt();
    assertTrue(when > at && when <= at + SECOND / 10 + 1, "" + (when - at));
    for (int i = 0; i < 200; i++) {
      q.tryAcquire(when - 1, "b", of(1)); // Uses all that could be borrowed.
    }
    assertFalse(Quotas.isRejected(q.tryAcquire(when, "a", of(1))));
  }

  /** After a step back time stands still; after a step forward no more than a full bucket is granted. */
  @Test
  void clockStepsGrantNothingExtra() {
    Quotas q = new Quotas(Simulation.requestsPerSecond(100).node("a", 1, of(50), null, null).build(), 10, START);
    int granted = 0;
    for (int i = 0; i < 1000; i++) {
      granted += Quotas.isRejected(q.tryAcquire(START - i * SECOND, "a", of(1))) ? 0 : 1;
    }
    assertTrue(granted <= 150, "" + granted);
    int more = 0;
    for (int i = 0; i < 1000; i++) {
      more += Quotas.isRejected(q.tryAcquire(START + 1_000_000 * SECOND, "a", of(1))) ? 0 : 1;
    }
    assertTrue(more >= 50 && more <= 150, "" + more);
  }

  @Test
  void planUpdateKeepsUsageAndHandlesRemovedNodes() {
    List<Lane> lanes = List.of(new Lane(Dimension.REQUESTS, SECOND), new Lane(Dimension.CONCURRENCY, 0));
    QuotaPlan large = new QuotaPlan.Builder(lanes, of(1000, 100)).node("a", 1, of(500, 50), null, null)
        .node("a/x", 1, of(100, 10), null, null).node("b", 1, of(500, 50), null, null).build();
    QuotaPlan small = new QuotaPlan.Builder(lanes, of(100, 10)).node("a", 1, of(50, 5), of(60, 5), null).node("b", 1, of(50, 5), null, null)
        .build();
    Quotas q = new Quotas(large, 10, START);
    List<Long> grants = new ArrayList<>();
    for (int i = 0; i < 40; i++) {
      grants.add(q.tryAcquire(START, "a/x", of(1, 1)));
    }
    q.updatePlan(small, START + 1);
    assertTrue(Quotas.isRejected(q.tryAcquire(START + 2, "a", of(1, 1))), "40 are in flight, 5 are allowed");
    assertFalse(Quotas.isRejected(q.tryAcquire(START + 2, "b", of(1, 1))), "b is not affected");
    grants.forEach(g -> q.release(START + 3, "a/x", g)); // Their node was removed; its ancestor releases them.
    assertFalse(Quotas.isRejected(q.tryAcquire(START + 5 * SECOND, "a", of(1, 1))));
    assertThrows(IllegalArgumentException.class, () -> q.updatePlan(partners(), START), "other lanes");
  }

  /** 200,000 unconfigured children with one request each: the number of nodes is bounded, and guarantees of configured nodes are kept. */
  @Test
  void dynamicNodesAreBoundedAndDoNotAffectConfiguredOnes() {
    QuotaPlan plan = Simulation.requestsPerSecond(10_000).node("steppe", 1, of(5000), null, new ChildTemplate(1, 0.001, null))
        .node("agro", 1, of(5000), null, null).build();
    Quotas q = new Quotas(plan, 20_000, START);
    int agro = 0;
    int requested = 0;
    for (int i = 0; i < 200_000; i++) {
      long at = START + i * (SECOND / 20_000);
      q.tryAcquire(at, "steppe/t" + i, of(1));
      if (i % 5 == 0) {
        requested++;
        agro += Quotas.isRejected(q.tryAcquire(at, "agro", of(1))) ? 0 : 1;
      }
    }
    assertTrue(q.nodeCount() <= 20_003, "" + q.nodeCount());
    assertTrue(agro >= 0.97 * requested, agro + " of " + requested);
    for (int i = 0; i < 40_000; i++) { // Idle nodes are evicted as others come.
      q.tryAcquire(START + 100 * SECOND + i * 1_000_000L, "steppe/u" + i, of(1));
    }
    assertTrue(q.nodeCount() <= 20_003, "" + q.nodeCount());
  }

  @Test
  void unknownPathsUseTheNodeForOthers() {
    QuotaPlan plan = Simulation.requestsPerSecond(100).node("a", 1, of(50), null, null).node("unknown", 1, of(5), of(5), null)
        .others("unknown").build();
    Quotas q = new Quotas(plan, 10, START);
    int granted = 0;
    for (int i = 0; i < 50; i++) {
      granted += Quotas.isRejected(q.tryAcquire(START, "missing" + i, of(1))) ? 0 : 1;
    }
    assertEquals(5, granted);
    assertTrue(Quotas.isRejected(q.tryAcquire(START, "", of(1))), "an empty path is unknown and not the root");
    assertEquals(3, q.nodeCount());
  }

  @Test
  void invalidPlansAreRejectedNamingTheNode() {
    for (Runnable invalid : List.<Runnable>of(() -> Simulation.requestsPerSecond(10).node("a", 1, of(11), null, null),
        () -> Simulation.requestsPerSecond(10).node("a", 1, of(6), null, null).node("b", 1, of(6), null, null),
        () -> Simulation.requestsPerSecond(10).node("a/b", 1, of(1), null, null),
        () -> Simulation.requestsPerSecond(10).node("a", 0, of(1), null, null),
        () -> Simulation.requestsPerSecond(10).node("a", 1, of(5), of(4), null), () -> Simulation.requestsPerSecond(10).others("x"),
        () -> Simulation.requestsPerSecond(10).node("a//b", 1, of(1), null, null), () -> Simulation.requestsPerSecond(-1),
        () -> new Lane(Dimension.CONCURRENCY, 5), () -> new Lane(Dimension.REQUESTS, 0))) {
      String message = assertThrows(IllegalArgumentException.class, invalid::run).getMessage();
      assertTrue(message.startsWith("quota ") || message.startsWith("a window"), message);
    }
  }

  @Test
  void snapshotsAreRestoredByASuccessor() {
    Quotas first = new Quotas(partners(), 100, START);
    Simulation clients = new Simulation(SEED).client("agro", t -> 5000, false, 1);
    clients.run(first, START, 20);
    long end = START + 20 * SECOND;
    List<Quotas.NodeSnapshot> snapshots = first.snapshot(end);
    Quotas second = new Quotas(partners(), 100, end);
    second.restore(end, 0, snapshots);
    int granted = 0;
    while (!Quotas.isRejected(second.tryAcquire(end, "agro", of(1)))) {
      granted++;
    }
    assertTrue(granted <= 60, "a restart grants nothing twice: " + granted);
    Quotas afterAMinute = new Quotas(partners(), 100, end);
    afterAMinute.restore(end, 60 * SECOND, snapshots);
    int later = 0;
    while (!Quotas.isRejected(afterAMinute.tryAcquire(end, "agro", of(1)))) {
      later++;
    }
    assertTrue(later >= 500, "all buckets are full a minute later: " + later);
  }
}
