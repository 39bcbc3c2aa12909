package cloverpulley.quota;

import static cloverpulley.quota.Play.SECOND;
import static cloverpulley.quota.Play.of;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cloverpulley.quota.QuotaPlan.ChildTemplate;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** The decisions on a virtual clock: guarantees, lending, paying back, ceilings, several dimensions, reloads. */
class QuotasTest {

  private static final long SEED = 20261201;
  private static final long START = 77 * SECOND;

  private static QuotaPlan partners() {
    return Play.requestsPerSecond(1000).node("steppe", 5, of(500), null, null).node("agro", 3, of(300), null, null)
        .node("kaspi", 2, of(200), null, null).build();
  }

  /** For ten minutes one never goes quiet; another comes and goes, and each time has its share from its first second on. */
  @Test
  void aBorrowerThatNeverGoesQuietIsHeldToItsGuaranteeWhereALenderComesBack() {
    for (boolean steady : new boolean[] {true, false}) {
      Quotas q = new Quotas(partners(), 100, START);
      Play p = new Play(SEED).client("agro", t -> 5000, steady, 1).client("steppe", t -> (int) (t / 37) % 2 == 1 ? 700 : 0, steady, 1)
          .client("kaspi", t -> 150, steady, 1);
      p.run(q, START, 600);
      for (double window : new double[] {1, 10, 60}) {
        assertTrue(p.worst("steppe", 500, window, 1, 600) >= 0.97, "steppe " + window + ": " + p.worst("steppe", 500, window, 1, 600));
        assertTrue(p.worst("agro", 300, window, 1, 600) >= 0.97, "agro " + window + ": " + p.worst("agro", 300, window, 1, 600));
        assertTrue(p.worst("kaspi", 200, window, 1, 600) >= 0.97, "kaspi " + window + ": " + p.worst("kaspi", 200, window, 1, 600));
      }
      double all = p.given(1, 600);
      assertTrue(all >= 0.98 * 1000 * 599 && all <= 1.01 * 1000 * 599 + 1000, "used " + all / 599);
      // Back within a second of each return.
      for (double back = 37; back < 600; back += 74) {
        double first = p.accounts.get("steppe").given(back, back + 1);
        assertTrue(first >= 0.97 * 500, "at " + back + ": " + first);
      }
    }
  }

  /** What is lent goes to those that ask in proportion to their weights, however hard one of them asks. */
  @Test
  void idleShareIsDividedByWeightAndNotByAsking() {
    Quotas q = new Quotas(partners(), 100, START);
    Play p = new Play(SEED).client("agro", t -> 20_000, false, 1).client("kaspi", t -> 1500, false, 1);
    p.run(q, START, 60);
    double agro = p.accounts.get("agro").given(5, 60) / 55 - 300;
    double kaspi = p.accounts.get("kaspi").given(5, 60) / 55 - 200;
    assertEquals(500, agro + kaspi, 10);
    assertEquals(1.5, agro / kaspi, 0.1, agro + " to " + kaspi);
  }

  /** One group inside a partner floods: its siblings keep their shares, and another partner loses nothing. */
  @Test
  void aFloodInsideAPartnerTouchesNobodyElse() {
    QuotaPlan plan = Play.requestsPerSecond(1000).node("steppe", 1, of(600), null, null).node("steppe/a", 1, of(200), null, null)
        .node("steppe/b", 1, of(200), null, null).node("steppe/c", 1, of(200), null, null).node("agro", 1, of(400), null, null)
        .node("agro/x", 1, of(200), null, null).node("agro/y", 1, of(200), null, null).build();
    Quotas q = new Quotas(plan, 100, START);
    Play p = new Play(SEED).client("steppe/a", t -> 30_000, false, 1).client("steppe/b", t -> 190, true, 1)
        .client("agro/x", t -> 500, false, 1).client("agro/y", t -> 100, true, 1);
    p.run(q, START, 120);
    assertTrue(p.worst("steppe/b", 200, 1, 1, 120) >= 0.97);
    assertTrue(p.worst("agro/x", 200, 1, 1, 120) >= 0.97);
    assertTrue(p.worst("agro/y", 200, 1, 1, 120) >= 0.97);
    // What c does not use stays with steppe, what y does not use with agro: lent inside the same parent first.
    assertEquals(410, p.accounts.get("steppe/a").given(5, 120) / 115, 15);
    assertEquals(300, p.accounts.get("agro/x").given(5, 120) / 115, 15);
  }

  /** Who lent for long, and comes back for more than its guarantee, has the idle share first, for a bounded time. */
  @Test
  void whatWasLentIsPaidBackOutOfIdleShareAlone() {
    QuotaPlan plan = Play.requestsPerSecond(900).node("a", 1, of(200), null, null).node("b", 1, of(200), null, null)
        .node("c", 1, of(200), null, null).build();
    Quotas q = new Quotas(plan, 100, START);
    Play p = new Play(SEED).client("a", t -> 3000, false, 1).client("b", t -> t < 60 ? 0 : 3000, false, 1);
    // c never asks: 300 of the root and 200 of c's are there to be lent.
    p.run(q, START, 120);
    Play.Account a = p.accounts.get("a");
    Play.Account b = p.accounts.get("b");
    assertTrue(b.given(60, 63) > 1.5 * a.given(60, 63), "it is paid back: " + b.given(60, 63) + " to " + a.given(60, 63));
    assertTrue(p.worst("a", 200, 1, 1, 120) >= 0.97, "out of idle share alone: " + p.worst("a", 200, 1, 1, 120));
    assertEquals(1, a.given(100, 120) / b.given(100, 120), 0.1, "and it ends");
  }

  @Test
  void oneDimensionIsFreeWhileAnotherBinds() {
    List<Lane> lanes = List.of(new Lane(Dimension.REQUESTS, SECOND), new Lane(Dimension.WORK, SECOND), new Lane(Dimension.CONCURRENCY, 0));
    QuotaPlan plan = new QuotaPlan.Builder(lanes, of(1000, 20_000, 100)).node("a", 1, of(500, 5000, 50), null, null)
        .node("b", 1, of(500, 5000, 50), of(600, 6000, 60), null).build();
    Quotas q = new Quotas(plan, 10, START);
    // Heavy ones: work binds long before requests do.
    int given = 0;
    long refused = 0;
    for (int i = 0; i < 400; i++) {
      long grant = q.tryAcquire(START + i, "b", of(1, 60, 0));
      given += Quotas.isRejected(grant) ? 0 : 1;
      refused = Quotas.isRejected(grant) ? grant : refused;
    }
    assertEquals(100, given, "6,000 of work, its ceiling, by 60");
    assertEquals(Dimension.WORK, q.bindingLane(refused).dimension());
    assertTrue(Quotas.isCeilingRejection(refused));
    assertFalse(Quotas.isRejected(q.tryAcquire(START + 500, "a", of(1, 60, 0))), "another's ceiling is its own");
  }

  @Test
  void concurrencyIsGivenBackOnceAndLentLikeAllElse() {
    List<Lane> lanes = List.of(new Lane(Dimension.CONCURRENCY, 0));
    QuotaPlan plan = new QuotaPlan.Builder(lanes, of(100)).node("a", 1, of(50), of(80), null).node("b", 1, of(50), null, null).build();
    Quotas q = new Quotas(plan, 10, START);
    List<Long> open = new ArrayList<>();
    for (int i = 0; i < 200; i++) {
      long g = q.tryAcquire(START, "a", of(1));
      if (!Quotas.isRejected(g)) {
        open.add(g);
      }
    }
    assertEquals(80, open.size(), "its ceiling, 30 of them lent");
    int b = 0;
    for (int i = 0; i < 100; i++) {
      b += Quotas.isRejected(q.tryAcquire(START, "b", of(1))) ? 0 : 1;
    }
    assertEquals(50, b, "its guarantee, whatever was lent");
    open.forEach(g -> q.release(START, "a", g));
    int again = 0;
    for (int i = 0; i < 100; i++) {
      again += Quotas.isRejected(q.tryAcquire(START, "a", of(1))) ? 0 : 1;
    }
    assertEquals(50, again, "while b holds its own 50");
  }

  @Test
  void aCeilingIsNeverPassedInAnyWindow() {
    List<Lane> lanes = List.of(new Lane(Dimension.REQUESTS, SECOND), new Lane(Dimension.REQUESTS, 60 * SECOND));
    QuotaPlan plan = new QuotaPlan.Builder(lanes, of(1000, 60_000)).node("a", 1, of(10, 600), of(100, 2000), null).build();
    Quotas q = new Quotas(plan, 10, START);
    SplittableRandom r = new SplittableRandom(SEED);
    List<Long> given = new ArrayList<>();
    long at = START;
    while (at < START + 200 * SECOND) {
      at += r.nextLong(SECOND / 50);
      if (!Quotas.isRejected(q.tryAcquire(at, "a", of(1, 1)))) {
        given.add(at);
      }
    }
    for (int i = 0, j = 0, k = 0; i < given.size(); i++) {
      while (given.get(j) <= given.get(i) - SECOND) {
        j++;
      }
      while (given.get(k) <= given.get(i) - 60 * SECOND) {
        k++;
      }
      assertTrue(i - j + 1 <= 100, "in a second " + (i - j + 1));
      assertTrue(i - k + 1 <= 2000, "in a minute " + (i - k + 1));
    }
    assertTrue(given.size() > 0.9 * 2000 * 200 / 60, "and nearly all of it was had: " + given.size());
  }

  /** A request of 60 times the usual work passes when all there is has gathered, and is then paid off. */
  @Test
  void aHugeRequestPassesAndIsPaidOff() {
    List<Lane> lanes = List.of(new Lane(Dimension.WORK, SECOND));
    QuotaPlan plan = new QuotaPlan.Builder(lanes, of(1000)).node("a", 1, of(100), null, null).build();
    Quotas q = new Quotas(plan, 10, START);
    assertFalse(Quotas.isRejected(q.tryAcquire(START, "a", of(6000))), "the root has all it can hold");
    assertTrue(Quotas.isRejected(q.tryAcquire(START + SECOND / 2, "a", of(600))));
    assertFalse(Quotas.isRejected(q.tryAcquire(START + 8 * SECOND, "a", of(60))));
    assertFalse(Quotas.isRejected(q.tryAcquire(START + 9 * SECOND, "a", of(1e300))), "a hint that lies is charged to a bound");
    assertFalse(Quotas.isRejected(q.tryAcquire(START + 200 * SECOND, "a", of(60))));
  }

  @Test
  void estimatesAreSettled() {
    List<Lane> lanes = List.of(new Lane(Dimension.BYTES_OUT, SECOND));
    QuotaPlan plan = new QuotaPlan.Builder(lanes, of(1000)).node("a", 1, of(1000), null, null).build();
    Quotas q = new Quotas(plan, 10, START);
    long g = q.tryAcquire(START, "a", of(900));
    q.settle(START, "a", g, START, of(900), of(100));
    assertFalse(Quotas.isRejected(q.tryAcquire(START, "a", of(900))), "what was not used is there again");
    assertTrue(Quotas.isRejected(q.tryAcquire(START, "a", of(100))));
  }

  /** What an answer did not take is there again under a ceiling too, as long as its window holds what was charged. */
  @Test
  void whatWasNotUsedCountsAgainstNoCeiling() {
    List<Lane> lanes = List.of(new Lane(Dimension.BYTES_OUT, SECOND));
    QuotaPlan plan = new QuotaPlan.Builder(lanes, of(10_000)).node("a", 1, of(1000), of(1000), null).build();
    Quotas q = new Quotas(plan, 10, START);
    long g = q.tryAcquire(START, "a", of(900));
    assertTrue(Quotas.isRejected(q.tryAcquire(START, "a", of(900))));
    q.settle(START + SECOND / 10, "a", g, START, of(900), of(0));
    long next = q.tryAcquire(START + SECOND / 10, "a", of(900));
    assertFalse(Quotas.isRejected(next));
    // The first has left the window by now: giving it back again may not make room for more than the ceiling.
    q.settle(START + SECOND * 105 / 100, "a", g, START - SECOND / 5, of(900), of(0));
    assertTrue(Quotas.isRejected(q.tryAcquire(START + SECOND * 105 / 100, "a", of(900))), "900 of 1,000 stand since a tenth of a second");
  }

  /** What is known with the answer alone counts against a ceiling that nothing had counted against before. */
  @Test
  void whatIsChargedLateCountsAgainstACeiling() {
    List<Lane> lanes = List.of(new Lane(Dimension.BYTES_OUT, SECOND));
    QuotaPlan plan = new QuotaPlan.Builder(lanes, of(10_000)).node("a", 1, of(1000), of(1000), null).build();
    Quotas q = new Quotas(plan, 10, START);
    long g = q.tryAcquire(START, "a", of(0));
    q.settle(START, "a", g, START, of(0), of(900));
    long at = START + SECOND * 95 / 100; // Its own tokens are there again, the window is not over.
    assertTrue(Quotas.isRejected(q.tryAcquire(at, "a", of(900))));
  }

  /** A restart between the answer and the next request: what was kept at the grant is not all that is owed. */
  @Test
  void whatIsChargedLateIsKept() {
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
    assertTrue(Quotas.isRejected(next.tryAcquire(START, "a", of(900))), "a restart forgets what an answer took");
  }

  @Test
  void aRefusalSaysWhenTheShareIsThere() {
    Quotas q = new Quotas(Play.requestsPerSecond(100).node("a", 1, of(10), null, null).node("b", 1, of(90), null, null).build(), 10, START);
    long g;
    long at = START;
    do {
      g = q.tryAcquire(at, "a", of(1));
      q.tryAcquire(at, "b", of(1));
    } while (!Quotas.isRejected(g));
    long when = q.retryAt();
    assertTrue(when > at && when <= at + SECOND / 10 + 1, "" + (when - at));
    for (int i = 0; i < 200; i++) {
      q.tryAcquire(when - 1, "b", of(1)); // Takes all that could be lent.
    }
    assertFalse(Quotas.isRejected(q.tryAcquire(when, "a", of(1))));
  }

  /** Clocks that step: back they stand still, forward nobody has more than a window's worth. */
  @Test
  void steppingClocksGiveNothingAway() {
    Quotas q = new Quotas(Play.requestsPerSecond(100).node("a", 1, of(50), null, null).build(), 10, START);
    int given = 0;
    for (int i = 0; i < 1000; i++) {
      given += Quotas.isRejected(q.tryAcquire(START - i * SECOND, "a", of(1))) ? 0 : 1;
    }
    assertTrue(given <= 150, "" + given);
    int more = 0;
    for (int i = 0; i < 1000; i++) {
      more += Quotas.isRejected(q.tryAcquire(START + 1_000_000 * SECOND, "a", of(1))) ? 0 : 1;
    }
    assertTrue(more >= 50 && more <= 150, "" + more);
  }

  @Test
  void aReloadKeepsWhatWasUsedAndSurvivesNodesThatGo() {
    List<Lane> lanes = List.of(new Lane(Dimension.REQUESTS, SECOND), new Lane(Dimension.CONCURRENCY, 0));
    QuotaPlan large = new QuotaPlan.Builder(lanes, of(1000, 100)).node("a", 1, of(500, 50), null, null)
        .node("a/x", 1, of(100, 10), null, null).node("b", 1, of(500, 50), null, null).build();
    QuotaPlan small = new QuotaPlan.Builder(lanes, of(100, 10)).node("a", 1, of(50, 5), of(60, 5), null).node("b", 1, of(50, 5), null, null)
        .build();
    Quotas q = new Quotas(large, 10, START);
    List<Long> open = new ArrayList<>();
    for (int i = 0; i < 40; i++) {
      open.add(q.tryAcquire(START, "a/x", of(1, 1)));
    }
    q.updatePlan(small, START + 1);
    assertTrue(Quotas.isRejected(q.tryAcquire(START + 2, "a", of(1, 1))), "40 are in flight where 5 may be");
    assertFalse(Quotas.isRejected(q.tryAcquire(START + 2, "b", of(1, 1))), "which is not b's matter");
    open.forEach(g -> q.release(START + 3, "a/x", g)); // Their node has gone; whoever is above has their place back.
    assertFalse(Quotas.isRejected(q.tryAcquire(START + 5 * SECOND, "a", of(1, 1))));
    assertThrows(IllegalArgumentException.class, () -> q.updatePlan(partners(), START), "other lanes");
  }

  /** 200,000 teams with a request each: what is kept is bounded, and no named guarantee is harmed. */
  @Test
  void endlesslyManyTeamsAreBoundedAndHarmNobody() {
    QuotaPlan plan = Play.requestsPerSecond(10_000).node("steppe", 1, of(5000), null, new ChildTemplate(1, 0.001, null))
        .node("agro", 1, of(5000), null, null).build();
    Quotas q = new Quotas(plan, 20_000, START);
    int agro = 0;
    int asked = 0;
    for (int i = 0; i < 200_000; i++) {
      long at = START + i * (SECOND / 20_000);
      q.tryAcquire(at, "steppe/t" + i, of(1));
      if (i % 5 == 0) {
        asked++;
        agro += Quotas.isRejected(q.tryAcquire(at, "agro", of(1))) ? 0 : 1;
      }
    }
    assertTrue(q.nodeCount() <= 20_003, "" + q.nodeCount());
    assertTrue(agro >= 0.97 * asked, agro + " of " + asked);
    for (int i = 0; i < 40_000; i++) { // Idle ones go as others come.
      q.tryAcquire(START + 100 * SECOND + i * 1_000_000L, "steppe/u" + i, of(1));
    }
    assertTrue(q.nodeCount() <= 20_003, "" + q.nodeCount());
  }

  @Test
  void theUnknownFallUnderTheirNode() {
    QuotaPlan plan = Play.requestsPerSecond(100).node("a", 1, of(50), null, null).node("strangers", 1, of(5), of(5), null)
        .others("strangers").build();
    Quotas q = new Quotas(plan, 10, START);
    int given = 0;
    for (int i = 0; i < 50; i++) {
      given += Quotas.isRejected(q.tryAcquire(START, "nobody" + i, of(1))) ? 0 : 1;
    }
    assertEquals(5, given);
    assertTrue(Quotas.isRejected(q.tryAcquire(START, "", of(1))), "who names nobody is a stranger, and not the root");
    assertEquals(3, q.nodeCount());
  }

  @Test
  void plansThatMakeNoSenseAreRefusedByName() {
    for (Runnable wrong : List.<Runnable>of(() -> Play.requestsPerSecond(10).node("a", 1, of(11), null, null),
        () -> Play.requestsPerSecond(10).node("a", 1, of(6), null, null).node("b", 1, of(6), null, null),
        () -> Play.requestsPerSecond(10).node("a/b", 1, of(1), null, null), () -> Play.requestsPerSecond(10).node("a", 0, of(1), null, null),
        () -> Play.requestsPerSecond(10).node("a", 1, of(5), of(4), null), () -> Play.requestsPerSecond(10).others("x"),
        () -> Play.requestsPerSecond(10).node("a//b", 1, of(1), null, null), () -> Play.requestsPerSecond(-1),
        () -> new Lane(Dimension.CONCURRENCY, 5), () -> new Lane(Dimension.REQUESTS, 0))) {
      String said = assertThrows(IllegalArgumentException.class, wrong::run).getMessage();
      assertTrue(said.startsWith("quota ") || said.startsWith("a window"), said);
    }
  }

  @Test
  void whatIsKeptIsTakenByASuccessor() {
    Quotas first = new Quotas(partners(), 100, START);
    Play p = new Play(SEED).client("agro", t -> 5000, false, 1);
    p.run(first, START, 20);
    long end = START + 20 * SECOND;
    List<Quotas.NodeSnapshot> snapshots = first.snapshot(end);
    Quotas second = new Quotas(partners(), 100, end);
    second.restore(end, 0, snapshots);
    int given = 0;
    while (!Quotas.isRejected(second.tryAcquire(end, "agro", of(1)))) {
      given++;
    }
    assertTrue(given <= 60, "a restart gives no second helping: " + given);
    Quotas old = new Quotas(partners(), 100, end);
    old.restore(end, 60 * SECOND, snapshots);
    int later = 0;
    while (!Quotas.isRejected(old.tryAcquire(end, "agro", of(1)))) {
      later++;
    }
    assertTrue(later >= 500, "a minute later all has been filled: " + later);
  }
}
