package cloverpulley.membership;

import static cloverpulley.membership.Bench.name;
import static cloverpulley.membership.Bench.said;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cloverpulley.membership.Bench.Said;
import cloverpulley.membership.Member.Phase;
import cloverpulley.membership.Observation.Addresses;
import cloverpulley.membership.Observation.Browsed;
import cloverpulley.membership.Observation.ConnectionProbe;
import cloverpulley.membership.Observation.Pushed;
import cloverpulley.membership.Observation.ServiceRecords;
import cloverpulley.membership.Observation.TextRecord;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** What is believed when, on a virtual clock. */
class MembershipTest {

  private static Said[] fleet(int from, int to) {
    return IntStream.range(from, to).mapToObj(n -> said("s" + n, n)).toArray(Said[]::new);
  }

  private static Said[] and(Said[] some, Said... more) {
    Said[] all = Arrays.copyOf(some, some.length + more.length);
    System.arraycopy(more, 0, all, some.length, more.length);
    return all;
  }

  private static Said[] without(Said[] some, String label) {
    return Arrays.stream(some).filter(s -> !s.label.equals(label)).toArray(Said[]::new);
  }

  // ---- First lists ---------------------------------------------------------------------------------------

  @Test
  void oneResolverIsBelievedAtOnce() {
    Bench b = new Bench(1);
    b.answer(0, 1, fleet(0, 10));
    assertEquals(10, b.ready());
    assertEquals(0, b.member("s1").upSince(), "what was there before us is taken as warm");
  }

  @Test
  void aFirstListWaitsForASecondResolverAndNoLongerThanThat() {
    Bench b = new Bench(2);
    b.answer(0, 1, fleet(0, 10));
    assertEquals(0, b.ready());
    b.pass(b.rules.firstWaitMillis());
    assertEquals(10, b.ready());
    assertEquals(ChangeReason.ONLY_VOICE, b.last().reason());
  }

  @Test
  void twoThatAgreeAreBelievedAtOnce() {
    Bench b = new Bench(3);
    b.answer(0, 1, fleet(0, 10));
    b.answer(1, 1, fleet(0, 10));
    assertEquals(10, b.ready());
    assertEquals(ChangeReason.CORROBORATED, b.last().reason());
  }

  @Test
  void aListThatAFailedResolverCanNotConfirmIsTaken() {
    Bench b = new Bench(2);
    b.fail(1);
    b.answer(0, 1, fleet(0, 4));
    b.pass(b.rules.firstWaitMillis());
    assertEquals(4, b.ready());
  }

  // ---- Drains --------------------------------------------------------------------------------------------

  @Test
  void aDrainCountsFromTheFirstWordAgainstAllOthers() {
    Bench b = new Bench(3);
    for (int r = 0; r < 3; r++) {
      b.answer(r, 1, fleet(0, 5));
    }
    Said[] one = fleet(0, 5);
    one[2].phase("draining");
    b.answer(1, 2, one);
    assertEquals(Phase.DRAINING, b.phase("s2"));
    assertEquals(ChangeReason.DRAINING, b.last().reason());
    assertEquals(1, b.last().resolver());
    b.answer(0, 1, fleet(0, 5));
    b.answer(2, 1, fleet(0, 5));
    b.pass(b.rules.settleMillis() * 3);
    assertEquals(Phase.DRAINING, b.phase("s2"), "others that say ready don't undo it");
  }

  @Test
  void oneThatFlapsServesOnlyOnceItIsQuiet() {
    Bench b = new Bench(1);
    b.answer(0, 1, fleet(0, 3));
    for (int i = 0; i < 10; i++) {
      Said[] now = fleet(0, 3);
      now[0].phase(i % 2 == 0 ? "draining" : "ready");
      b.answer(0, 2 + i, now);
      assertEquals(Phase.DRAINING, b.phase("s0"), "round " + i);
      b.pass(1000);
    }
    b.pass(b.rules.settleMillis());
    assertEquals(Phase.READY, b.phase("s0"));
    assertEquals(ChangeReason.READY_AGAIN, b.last().reason());
  }

  @Test
  void aWordForThePhaseThatNobodyKnowsMeansLeaving() {
    Bench b = new Bench(1);
    Said[] now = fleet(0, 2);
    now[1].phase("maintenance");
    b.answer(0, 1, now);
    assertEquals(Phase.DRAINING, b.phase("s1"));
    assertTrue(b.module.problems().get(0).contains("maintenance"), b.module.problems().toString());
  }

  // ---- Withdrawals ---------------------------------------------------------------------------------------

  @Test
  void aWithdrawalCountsFromTheFirstWordAndAStaleCacheDoesNotUndoIt() {
    Bench b = new Bench(2);
    b.answer(0, 1, fleet(0, 5));
    b.answer(1, 1, fleet(0, 5));
    b.answer(0, 2, without(fleet(0, 5), "s3"));
    assertEquals(Phase.DRAINING, b.phase("s3"), "still named by one: no new work, nothing cut");
    b.pass(20_000);
    b.answer(1, 1, fleet(0, 5));
    b.answer(0, 2, without(fleet(0, 5), "s3"));
    assertEquals(Phase.DRAINING, b.phase("s3"));
    b.answer(1, 2, without(fleet(0, 5), "s3"));
    assertNull(b.phase("s3"));
    assertEquals(ChangeReason.WITHDRAWN, b.last().reason());
  }

  @Test
  void aWithdrawalByOneIsOverruledOnceNoCacheCanBeAtFault() {
    Bench b = new Bench(3);
    for (int r = 0; r < 3; r++) {
      b.answer(r, 1, fleet(0, 6));
    }
    for (long t = 0; t < 2 * b.rules.longestTtlMillis(); t += 10_000) {
      b.answer(0, 1, without(fleet(0, 6), "s1"));
      b.answer(1, 1, fleet(0, 6));
      b.answer(2, 1, fleet(0, 6));
      assertEquals(t < b.rules.longestTtlMillis() ? Phase.DRAINING : Phase.READY, b.phase("s1"), "after " + t);
      b.pass(10_000);
    }
  }

  @Test
  void anEmptyAnswerOfOneTakesNothingAway() {
    Bench b = new Bench(2);
    b.answer(0, 1, fleet(0, 10));
    b.answer(1, 1, fleet(0, 10));
    for (int i = 0; i < 20; i++) {
      b.answer(0, -1);
      b.answer(1, 1, fleet(0, 10));
      assertEquals(10, b.ready());
      b.pass(1000);
    }
    b.answer(1, -1);
    assertEquals(0, b.list.size(), "as many as have to agree do");
  }

  @Test
  void halfOfTheResolversSayThatThereIsNothing() {
    Bench b = new Bench(4);
    for (int r = 0; r < 4; r++) {
      b.answer(r, 1, fleet(0, 10));
    }
    for (int i = 0; i < 20; i++) {
      b.answer(0, -1);
      b.answer(3, -1);
      b.answer(1, 1, fleet(0, 10));
      b.answer(2, 1, fleet(0, 10));
      assertEquals(10, b.ready());
      b.pass(1000);
    }
    b.answer(1, -1);
    assertEquals(0, b.ready(), "three of four are more than half");
  }

  @Test
  void aSingleResolverHasToGoOnSayingIt() {
    Bench b = new Bench(1);
    b.answer(0, 1, fleet(0, 10));
    b.answer(0, 2, fleet(0, 3));
    assertEquals(10, b.ready(), "seven of ten at once");
    b.pass(b.rules.confirmMillis() / 2);
    b.answer(0, 2, fleet(0, 3));
    assertEquals(10, b.ready());
    b.pass(b.rules.confirmMillis() / 2);
    b.answer(0, 2, fleet(0, 3));
    assertEquals(3, b.ready());
  }

  @Test
  void aSingleResolverThatRecoversHasTakenNothing() {
    Bench b = new Bench(1);
    b.answer(0, 1, fleet(0, 10));
    b.answer(0, -1);
    b.pass(b.rules.confirmMillis() - 1);
    b.answer(0, 2, fleet(0, 10));
    b.pass(60_000);
    assertEquals(10, b.ready());
    assertTrue(b.changes.stream().allMatch(c -> c.member().phase() == Phase.READY), b.changes.toString());
  }

  @Test
  void bitByBitIsNoWayAroundTheFloor() {
    Bench b = new Bench(3);
    for (int r = 0; r < 3; r++) {
      b.answer(r, 1, fleet(0, 20));
    }
    for (int left = 19; left >= 0; left--) {
      b.answer(0, -1, fleet(0, left));
      b.answer(1, 1, fleet(0, 20));
      b.answer(2, 1, fleet(0, 20));
      assertTrue(b.ready() >= 10, left + " named, " + b.ready() + " ready");
      b.pass(5000);
    }
  }

  @Test
  void fewAtATimeMayGoOnOneWord() {
    Bench b = new Bench(1);
    b.answer(0, 1, fleet(0, 10));
    b.answer(0, 2, fleet(2, 10));
    assertEquals(8, b.ready());
    assertEquals(8, b.list.size());
  }

  // ---- Silence -------------------------------------------------------------------------------------------

  @Test
  void silenceOfAllChangesNothingUntilItsLimit() {
    Bench b = new Bench(2);
    b.answer(0, 1, fleet(0, 10));
    b.answer(1, 1, fleet(0, 10));
    b.pass(60_000 + b.rules.staleMillis() - 1);
    assertEquals(10, b.ready());
    b.pass(1);
    assertEquals(0, b.list.size());
    assertEquals(ChangeReason.STALE_LIMIT, b.last().reason());
  }

  @Test
  void whoIsLeftAloneIsBelievedInTime() {
    Bench b = new Bench(2);
    b.answer(0, 1, fleet(0, 10));
    b.answer(1, 1, fleet(0, 10));
    b.pass(60_001);
    b.answer(0, 2, fleet(0, 20));
    assertEquals(15, b.ready(), "half of the ten that are sure");
    b.pass(b.rules.loneWaitMillis() - 2);
    b.answer(0, 2, fleet(0, 20));
    assertEquals(15, b.ready());
    b.pass(b.rules.loneWaitMillis());
    b.answer(0, 2, fleet(0, 20));
    assertEquals(20, b.ready());
  }

  // ---- Lies ----------------------------------------------------------------------------------------------

  @Test
  void aForgedFleetIsBelievedAsFarAsItsResolversWeight() {
    Rules usual = Rules.of(3);
    Rules rules = new Rules(List.of(0.2, 0.4, 0.4), usual.floorShare(), 2, 2, usual.confirmMillis(), usual.settleMillis(),
        usual.longestTtlMillis(), usual.staleMillis(), usual.clockSkewMillis(), usual.firstWaitMillis(), usual.loneWaitMillis(), 1, 20_000);
    Bench b = new Bench(rules);
    for (int i = 0; i < 30; i++) {
      b.answer(0, 99, fleet(1000, 2000));
      b.answer(1, 1, fleet(0, 10));
      b.answer(2, 1, fleet(0, 10));
      assertEquals(12, b.ready(), "round " + i);
      b.pass(10_000);
    }
    for (int n = 0; n < 10; n++) {
      assertEquals(Phase.READY, b.phase("s" + n));
    }
  }

  @Test
  void forgedTargetsUnderTrueNamesAreBoundAlike() {
    Bench b = new Bench(4);
    for (int r = 0; r < 4; r++) {
      b.answer(r, 1, fleet(0, 20));
    }
    Said[] forged = fleet(0, 20);
    for (Said s : forged) {
      s.port(6666);
    }
    for (int i = 0; i < 10; i++) {
      b.answer(2, 2, forged);
      for (int r : new int[] {0, 1, 3}) {
        b.answer(r, 1, fleet(0, 20));
      }
      assertTrue(b.list.values().stream().filter(m -> m.port() == 6666).count() <= 5, b.list.toString());
      b.pass(5000);
    }
  }

  // ---- Zones that are older ------------------------------------------------------------------------------

  @Test
  void lastWeeksZoneIsNoNews() {
    Bench b = new Bench(3);
    b.answer(0, 200, fleet(5, 15));
    b.answer(1, 200, fleet(5, 15));
    b.answer(2, 100, fleet(0, 10));
    b.pass(30_000);
    b.answer(2, 100, fleet(0, 10));
    assertEquals(10, b.ready());
    assertTrue(b.list.values().stream().noneMatch(m -> m.instance().equals(name("s0"))));
    assertTrue(b.module.outdatedAnswers() > 0);
  }

  @Test
  void serialsGoRound() {
    assertTrue(Serial.isOlder(0xFFFF_FFF0L, 5));
    assertFalse(Serial.isOlder(5, 0xFFFF_FFF0L));
    assertFalse(Serial.isOlder(7, 7));
    assertFalse(Serial.isOlder(0, 0x8000_0000L), "half the circle apart neither is older (RFC 1982, 3.2)");
  }

  @Test
  void aZoneMadeAnewWithALowerSerialIsBelievedInTheEnd() {
    Bench b = new Bench(1);
    b.answer(0, 500, fleet(0, 4));
    b.answer(0, 3, fleet(0, 5));
    assertEquals(4, b.ready());
    b.pass(b.rules.longestTtlMillis());
    b.answer(0, 4, fleet(0, 5));
    assertEquals(5, b.ready());
  }

  // ---- Identity ------------------------------------------------------------------------------------------

  @Test
  void aSuccessorUnderAnOldNameIsAnotherServerAndCold() {
    Bench b = new Bench(1);
    Said[] before = fleet(0, 3);
    before[1].boot(Long.toString(Bench.START - 86_400_000));
    b.answer(0, 1, before);
    Member old = b.member("s1");
    b.pass(10_000);
    Said[] after = fleet(0, 3);
    after[1].boot(Long.toString(b.now - 50));
    b.answer(0, 2, after);
    Member now = b.member("s1");
    assertNotEquals(old.id(), now.id());
    assertEquals(b.now, now.upSince());
    assertEquals(ChangeReason.SUCCEEDED, b.last().reason());
    assertFalse(b.list.containsKey(old.id()));
  }

  @Test
  void aSuccessorWithoutAStartIsKnownByItsPort() {
    Bench b = new Bench(1);
    b.answer(0, 1, fleet(0, 3));
    b.pass(10_000);
    Said[] after = fleet(0, 3);
    after[1].port(9000);
    b.answer(0, 2, after);
    assertEquals(9000, b.member("s1").port());
    assertEquals(b.now, b.member("s1").upSince());
  }

  @Test
  void aBootWordThatDiffersIsAnotherServer() {
    Bench b = new Bench(1);
    b.answer(0, 1, said("s0", 0).boot("b1c2"));
    b.pass(10_000);
    b.answer(0, 2, said("s0", 0).boot("f00d"));
    assertEquals(b.now, b.member("s0").upSince());
  }

  @Test
  void anOldRecordDoesNotBringThePredecessorBack() {
    Bench b = new Bench(2);
    b.answer(0, 1, and(fleet(1, 8), said("s0", 0).boot("b1")));
    b.answer(1, 1, and(fleet(1, 8), said("s0", 0).boot("b1")));
    b.answer(0, 2, and(fleet(1, 8), said("s0", 0).boot("b2").at("10.9.9.9")));
    assertTrue(b.member("s0").id().endsWith("|b2"), b.member("s0").id());
    for (int i = 0; i < 10; i++) {
      b.pass(5000);
      b.answer(1, 1, and(fleet(1, 8), said("s0", 0).boot("b1")));
      b.answer(0, 2, and(fleet(1, 8), said("s0", 0).boot("b2").at("10.9.9.9")));
      assertTrue(b.member("s0").id().endsWith("|b2"), b.member("s0").id());
      assertEquals("10.9.9.9", b.member("s0").address());
    }
  }

  @Test
  void theOlderStartNeverOverwritesTheNewer() {
    Bench b = new Bench(2);
    long old = Bench.START - 1_000_000;
    Said[] newer = and(fleet(1, 8), said("s0", 0).boot("" + (old + 5000)));
    Said[] older = and(fleet(1, 8), said("s0", 0).boot("" + old));
    b.answer(0, 1, newer);
    b.answer(1, 1, older);
    b.pass(3000);
    for (int i = 0; i < 5; i++) {
      b.answer(1, 1, older);
      b.answer(0, 1, newer);
      assertTrue(b.member("s0").id().endsWith("|" + (old + 5000)));
      b.pass(1000);
    }
  }

  @Test
  void aRenumberedAddressWithTheSameStartIsTheSameServerWarm() {
    Bench b = new Bench(1);
    b.answer(0, 1, said("s0", 0).boot("b1"));
    Member before = b.member("s0");
    b.pass(10_000);
    b.answer(0, 2, said("s0", 0).boot("b1").at("10.7.7.7"));
    Member after = b.member("s0");
    assertEquals(before.id(), after.id());
    assertEquals(before.upSince(), after.upSince());
    assertEquals("10.7.7.7", after.address());
    assertEquals(ChangeReason.RENUMBERED, b.last().reason());
  }

  @Test
  void refusedAndBackIsAStartWhereNoneIsGiven() {
    Bench b = new Bench(1);
    b.answer(0, 1, said("s0", 0), said("s1", 1).boot("b"));
    b.pass(10_000);
    for (String s : new String[] {"s0", "s1"}) {
      b.observe(new ConnectionProbe(name(s), false));
      b.observe(new ConnectionProbe(name(s), true));
    }
    b.settle();
    assertEquals(b.now, b.member("s0").upSince());
    assertEquals(0, b.member("s1").upSince(), "who says when it started is believed in that");
  }

  @Test
  void clocksMayDifferByMinutes() {
    Bench b = new Bench(1);
    b.answer(0, 1, fleet(0, 3));
    b.pass(60_000);
    // Its clock is four minutes behind, then four ahead: it has started just now, and counts so.
    b.answer(0, 2, and(fleet(0, 3), said("s8", 8).boot("" + (b.now - 240_000))));
    assertEquals(b.now, b.member("s8").upSince());
    b.answer(0, 3, and(fleet(0, 3), said("s8", 8).boot("" + (b.now - 240_000)), said("s9", 9).boot("" + (b.now + 240_000))));
    assertEquals(b.now, b.member("s9").upSince());
    b.pass(1000);
    // A successor whose start is before its predecessor's by the clocks: believed once nobody can know of the other.
    String ahead = b.member("s9").id();
    String behind = "" + (b.now - 1000);
    b.answer(0, 4, and(fleet(0, 3), said("s9", 9).boot(behind)));
    assertEquals(ahead, b.member("s9").id());
    b.pass(b.rules.longestTtlMillis());
    b.answer(0, 4, and(fleet(0, 3), said("s9", 9).boot(behind)));
    assertTrue(b.member("s9").id().endsWith("|" + behind), b.member("s9").id());
  }

  @Test
  void oneThatCameBackWithoutAStartIsCold() {
    Bench b = new Bench(1);
    b.answer(0, 1, fleet(0, 5));
    b.answer(0, 2, fleet(1, 5));
    b.pass(30_000);
    b.answer(0, 3, fleet(0, 5));
    b.pass(b.rules.settleMillis());
    assertEquals(Phase.READY, b.phase("s0"));
    assertTrue(b.member("s0").upSince() > Bench.START, "it may have restarted meanwhile");
  }

  // ---- Records in parts ----------------------------------------------------------------------------------

  @Test
  void anInstanceWithoutServiceOrAddressIsNotUsed() {
    Bench b = new Bench(1);
    b.observe(new Browsed(0, Bench.DOMAIN, Set.of(name("a"), name("b"), name("c")), 1, 60_000));
    b.observe(new ServiceRecords(0, name("a"), List.of(new SrvRecord(0, 0, "a.example.", 80))));
    b.observe(new Addresses(0, "a.example.", false, List.of("10.0.0.1")));
    b.observe(new ServiceRecords(0, name("b"), List.of(new SrvRecord(0, 0, "b.example.", 80))));
    b.settle();
    assertEquals(Set.of(name("a")), Set.copyOf(b.list.values().stream().map(Member::instance).toList()));
    assertTrue(b.module.explain(b.now, name("c")).get(0).contains("incomplete"));
    b.observe(new Addresses(0, "b.example.", true, List.of("fd00::1")));
    b.settle();
    assertEquals("fd00::1", b.member("b").address(), "one family is enough");
  }

  @Test
  void ofTwoServiceRecordsEveryReaderTakesTheSame() {
    for (boolean turned : new boolean[] {false, true}) {
      Bench b = new Bench(1);
      SrvRecord x = new SrvRecord(0, 10, "x.example.", 80);
      SrvRecord y = new SrvRecord(0, 20, "y.example.", 80);
      b.observe(new Browsed(0, Bench.DOMAIN, Set.of(name("a")), 1, 60_000));
      b.observe(new ServiceRecords(0, name("a"), turned ? List.of(y, x) : List.of(x, y)));
      b.observe(new Addresses(0, "x.example.", false, List.of("10.0.0.1")));
      b.observe(new Addresses(0, "y.example.", false, List.of("10.0.0.3", "10.0.0.2")));
      b.settle();
      assertEquals("10.0.0.2", b.member("a").address());
    }
  }

  @Test
  void oneServerUnderTwoDomainsIsOneAndDrainsInBoth() {
    Bench b = new Bench(1);
    String other = "_quote._tcp.zz.example.";
    b.answer(0, 1, said("s0", 0), said("s1", 1));
    b.answer(other, 0, 1, said("s0", 0));
    assertEquals(2, b.list.size());
    b.answer(other, 0, 2, said("s0", 0).phase("draining"));
    assertEquals(Phase.DRAINING, b.phase("s0"));
  }

  @Test
  void aNewNameAtAnOldAddressTakesItsPlace() {
    Bench b = new Bench(1);
    b.answer(0, 1, fleet(0, 4));
    b.pass(10_000);
    b.answer(0, 2, and(fleet(0, 4), said("t0", 99).at("10.0.0.0")));
    assertEquals(4, b.list.size(), "an address serves under one name");
    assertNull(b.phase("s0"));
    assertEquals(b.now, b.member("t0").upSince());
  }

  // ---- Reserves ------------------------------------------------------------------------------------------

  @Test
  void aHigherPriorityNumberServesOnlyWhenTheBetterOnesCanNot() {
    Bench b = new Bench(1);
    Said[] all = and(fleet(0, 2), said("r0", 50).priority(10), said("r1", 51).priority(20));
    b.answer(0, 1, all);
    assertEquals(2, b.ready());
    assertEquals(Phase.DRAINING, b.phase("r0"));
    all[0].phase("draining");
    all[1].phase("draining");
    b.answer(0, 2, all);
    assertEquals(Phase.READY, b.phase("r0"));
    assertEquals(Phase.DRAINING, b.phase("r1"));
    all[0].phase("ready");
    b.answer(0, 3, all);
    b.pass(b.rules.settleMillis());
    assertEquals(Phase.READY, b.phase("s0"));
    assertEquals(Phase.DRAINING, b.phase("r0"));
    assertEquals(ChangeReason.RESERVE, b.changes.stream().filter(c -> c.member().instance().equals(name("r0"))).reduce((x, y) -> y)
        .orElseThrow().reason());
  }

  // ---- The list held -------------------------------------------------------------------------------------

  @Test
  void aHeldListServesUntilSomebodySpeaksAgainstIt() {
    Bench first = new Bench(2);
    first.answer(0, 1, and(fleet(0, 9), said("s9", 9).boot("b9")));
    first.answer(1, 1, and(fleet(0, 9), said("s9", 9).boot("b9")));
    Bench next = new Bench(2);
    first.list.values().forEach(m -> {
      Membership.CachedDetails h = first.module.cachedDetails(m);
      next.module.restoreCached(next.now, m, h.domain(), h.priority(), h.bootId());
    });
    next.settle();
    assertEquals(first.list, next.list);
    assertEquals(ChangeReason.HELD_LIST, next.last().reason());
    next.answer(0, -1);
    assertEquals(10, next.ready(), "an empty first answer takes nothing");
    next.answer(0, 3, without(and(fleet(0, 9), said("s9", 9).boot("b9")), "s4"));
    assertEquals(9, next.ready());
    next.answer(1, 3, without(and(fleet(0, 9), said("s9", 9).boot("b10")), "s4"));
    next.answer(0, 3, without(and(fleet(0, 9), said("s9", 9).boot("b10")), "s4"));
    assertEquals(next.now, next.member("s9").upSince(), "it restarted while we did");
    assertEquals(0, next.member("s1").upSince());
  }

  // ---- Pushes and limits ---------------------------------------------------------------------------------

  @Test
  void aPushCountsAsAnAnswer() {
    Bench b = new Bench(1);
    b.answer(0, 1, fleet(0, 5));
    b.observe(new Pushed(0, Bench.DOMAIN, name("s1"), false));
    b.settle();
    assertNull(b.phase("s1"));
    b.observe(new TextRecord(0, name("s2"), Map.of("phase", "draining")));
    b.settle();
    assertEquals(Phase.DRAINING, b.phase("s2"));
  }

  @Test
  void instancesAreBounded() {
    Rules u = Rules.of(1);
    Bench b = new Bench(new Rules(u.weights(), 0.5, 1, 1, 1, 1, 1000, 1000, 0, 0, 0, 1, 100));
    b.answer(0, 1, fleet(0, 300));
    assertEquals(100, b.ready());
    assertTrue(b.module.problems().stream().anyMatch(p -> p.endsWith("too_many")));
  }

  @Test
  void whatHasGoneIsForgotten() {
    Bench b = new Bench(1);
    for (int round = 0; round < 50; round++) {
      b.answer(0, round, fleet(round, round + 10));
      b.pass(b.rules.longestTtlMillis());
    }
    assertTrue(b.module.instances() <= 12, "still known: " + b.module.instances());
  }

  /** What a resolver may make us keep: a target for each poll under one name, and records of names that no list has. */
  @Test
  void recordsThatComeAndGoAreNotKept() {
    Bench b = new Bench(2);
    b.answer(0, 1, fleet(0, 4));
    b.answer(1, 1, fleet(0, 4));
    int before = b.module.retainedEntries();
    for (int i = 0; i < 1000; i++) {
      String target = "t" + i + ".example.";
      b.observe(new ServiceRecords(0, name("s1"), List.of(new SrvRecord(0, 0, target, 80))));
      b.observe(new Addresses(0, target, false, List.of("10.9.9." + i % 250)));
      b.observe(new ServiceRecords(0, name("nobody" + i), List.of(new SrvRecord(0, 0, target, 80))));
      b.observe(new TextRecord(1, name("nobody" + i), Map.of("phase", "draining")));
      b.settle();
      b.pass(10);
    }
    assertTrue(b.module.retainedEntries() <= before + 4, before + " before, " + b.module.retainedEntries() + " after");
  }

  @Test
  void rulesThatCouldNeverBeMetAreRefused() {
    assertThrows(IllegalArgumentException.class, () -> new Rules(List.of(), 0.5, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1));
    assertThrows(IllegalArgumentException.class, () -> new Rules(List.of(1.0), 0.5, 2, 2, 1, 1, 1, 1, 1, 1, 1, 1, 1));
    assertThrows(IllegalArgumentException.class, () -> new Rules(List.of(1.0), 1.5, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1));
    assertThrows(IllegalArgumentException.class, () -> new Rules(List.of(Double.NaN), 0.5, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1));
  }

  @Test
  void textsAreReadWithWhatIsWrongNamed() {
    TextKeys.Attributes r = TextKeys.DEFAULT.parse(Map.of("locality", "a", "cell", "x", "size", "0", "phase", "draining", "started", "12", "rack", "7"));
    assertEquals("a", r.locality());
    assertEquals(0, r.cell());
    assertEquals(0, r.size());
    assertTrue(r.draining());
    assertEquals(12, r.started());
    assertEquals(Map.of("rack", "7"), r.unknownKeys());
    assertEquals(2, r.problems().size(), r.problems().toString());
    assertEquals("", TextKeys.DEFAULT.parse(Map.of("started", "0")).bootId(), "0 is no start");
    assertEquals(Map.of("phase", "x=y", "flag", ""), TextKeys.pairs(List.of("Phase=x=y".getBytes(), "phase=z".getBytes(),
        "flag".getBytes(), "=lost".getBytes(), new byte[0])));
  }
}
