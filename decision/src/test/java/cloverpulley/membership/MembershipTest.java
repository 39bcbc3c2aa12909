package cloverpulley.membership;

import static cloverpulley.membership.MembershipFixture.name;
import static cloverpulley.membership.MembershipFixture.server;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cloverpulley.membership.Member.Phase;
import cloverpulley.membership.MembershipFixture.Server;
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

/** Which servers are on the list, in which phase and why, on a virtual clock. */
class MembershipTest {

  private static Server[] fleet(int from, int to) {
    return IntStream.range(from, to).mapToObj(n -> server("s" + n, n)).toArray(Server[]::new);
  }

  private static Server[] with(Server[] servers, Server... more) {
    Server[] all = Arrays.copyOf(servers, servers.length + more.length);
    System.arraycopy(more, 0, all, servers.length, more.length);
    return all;
  }

  private static Server[] without(Server[] servers, String label) {
    return Arrays.stream(servers).filter(s -> !s.label.equals(label)).toArray(Server[]::new);
  }

  // ---- First lists ---------------------------------------------------------------------------------------

  @Test
  void singleResolverIsTrustedAtOnce() {
    MembershipFixture f = new MembershipFixture(1);
    f.answer(0, 1, fleet(0, 10));
    assertEquals(10, f.readyCount());
    assertEquals(0, f.member("s1").upSince(), "servers that ran before this reader are taken as warmed up");
  }

  @Test
  void firstListWaitsForASecondResolverUntilTheFirstWaitIsOver() {
    MembershipFixture f = new MembershipFixture(2);
    f.answer(0, 1, fleet(0, 10));
    assertEquals(0, f.readyCount());
    f.advance(f.rules.firstWaitMillis());
    assertEquals(10, f.readyCount());
    assertEquals(ChangeReason.ONLY_VOICE, f.lastChange().reason());
  }

  @Test
  void twoAgreeingResolversAreTrustedAtOnce() {
    MembershipFixture f = new MembershipFixture(3);
    f.answer(0, 1, fleet(0, 10));
    f.answer(1, 1, fleet(0, 10));
    assertEquals(10, f.readyCount());
    assertEquals(ChangeReason.CORROBORATED, f.lastChange().reason());
  }

  @Test
  void listIsAcceptedIfTheOtherResolverFails() {
    MembershipFixture f = new MembershipFixture(2);
    f.fail(1);
    f.answer(0, 1, fleet(0, 4));
    f.advance(f.rules.firstWaitMillis());
    assertEquals(4, f.readyCount());
  }

  // ---- Drains --------------------------------------------------------------------------------------------

  @Test
  void firstReportOfADrainOverridesOtherResolvers() {
    MembershipFixture f = new MembershipFixture(3);
    for (int r = 0; r < 3; r++) {
      f.answer(r, 1, fleet(0, 5));
    }
    Server[] one = fleet(0, 5);
    one[2].phase("draining");
    f.answer(1, 2, one);
    assertEquals(Phase.DRAINING, f.phase("s2"));
    assertEquals(ChangeReason.DRAINING, f.lastChange().reason());
    assertEquals(1, f.lastChange().resolver());
    f.answer(0, 1, fleet(0, 5));
    f.answer(2, 1, fleet(0, 5));
    f.advance(f.rules.settleMillis() * 3);
    assertEquals(Phase.DRAINING, f.phase("s2"), "reports of ready from others do not cancel the drain");
  }

  @Test
  void flappingServerServesOnlyOnceItIsStable() {
    MembershipFixture f = new MembershipFixture(1);
    f.answer(0, 1, fleet(0, 3));
    for (int i = 0; i < 10; i++) {
      Server[] now = fleet(0, 3);
      now[0].phase(i % 2 == 0 ? "draining" : "ready");
      f.answer(0, 2 + i, now);
      assertEquals(Phase.DRAINING, f.phase("s0"), "round " + i);
      f.advance(1000);
    }
    f.advance(f.rules.settleMillis());
    assertEquals(Phase.READY, f.phase("s0"));
    assertEquals(ChangeReason.READY_AGAIN, f.lastChange().reason());
  }

  @Test
  void unknownPhaseMeansDraining() {
    MembershipFixture f = new MembershipFixture(1);
    Server[] now = fleet(0, 2);
    now[1].phase("maintenance");
    f.answer(0, 1, now);
    assertEquals(Phase.DRAINING, f.phase("s1"));
    assertTrue(f.membership.problems().get(0).contains("maintenance"), f.membership.problems().toString());
  }

  // ---- Withdrawals ---------------------------------------------------------------------------------------

  @Test
  void firstWithdrawalTakesEffectAndAStaleCacheDoesNotUndoIt() {
    MembershipFixture f = new MembershipFixture(2);
    f.answer(0, 1, fleet(0, 5));
    f.answer(1, 1, fleet(0, 5));
    f.answer(0, 2, without(fleet(0, 5), "s3"));
    assertEquals(Phase.DRAINING, f.phase("s3"), "still listed by one resolver: no new work, open requests go on");
    f.advance(20_000);
    f.answer(1, 1, fleet(0, 5));
    f.answer(0, 2, without(fleet(0, 5), "s3"));
    assertEquals(Phase.DRAINING, f.phase("s3"));
    f.answer(1, 2, without(fleet(0, 5), "s3"));
    assertNull(f.phase("s3"));
    assertEquals(ChangeReason.WITHDRAWN, f.lastChange().reason());
  }

  @Test
  void withdrawalByOneResolverIsOverruledAfterTheLongestTtl() {
    MembershipFixture f = new MembershipFixture(3);
    for (int r = 0; r < 3; r++) {
      f.answer(r, 1, fleet(0, 6));
    }
    for (long t = 0; t < 2 * f.rules.longestTtlMillis(); t += 10_000) {
      f.answer(0, 1, without(fleet(0, 6), "s1"));
      f.answer(1, 1, fleet(0, 6));
      f.answer(2, 1, fleet(0, 6));
      assertEquals(t < f.rules.longestTtlMillis() ? Phase.DRAINING : Phase.READY, f.phase("s1"), "after " + t);
      f.advance(10_000);
    }
  }

  @Test
  void emptyAnswerOfOneResolverRemovesNothing() {
    MembershipFixture f = new MembershipFixture(2);
    f.answer(0, 1, fleet(0, 10));
    f.answer(1, 1, fleet(0, 10));
    for (int i = 0; i < 20; i++) {
      f.answer(0, -1);
      f.answer(1, 1, fleet(0, 10));
      assertEquals(10, f.readyCount());
      f.advance(1000);
    }
    f.answer(1, -1);
    assertEquals(0, f.list.size(), "both resolvers agree on the empty list");
  }

  @Test
  void emptyAnswersOfHalfTheResolversRemoveNothing() {
    MembershipFixture f = new MembershipFixture(4);
    for (int r = 0; r < 4; r++) {
      f.answer(r, 1, fleet(0, 10));
    }
    for (int i = 0; i < 20; i++) {
      f.answer(0, -1);
      f.answer(3, -1);
      f.answer(1, 1, fleet(0, 10));
      f.answer(2, 1, fleet(0, 10));
      assertEquals(10, f.readyCount());
      f.advance(1000);
    }
    f.answer(1, -1);
    assertEquals(0, f.readyCount(), "three of four are more than half");
  }

  @Test
  void singleResolverHasToRepeatAnAnswerBelowTheFloor() {
    MembershipFixture f = new MembershipFixture(1);
    f.answer(0, 1, fleet(0, 10));
    f.answer(0, 2, fleet(0, 3));
    assertEquals(10, f.readyCount(), "an answer that removes seven of ten needs confirmation");
    f.advance(f.rules.confirmMillis() / 2);
    f.answer(0, 2, fleet(0, 3));
    assertEquals(10, f.readyCount());
    f.advance(f.rules.confirmMillis() / 2);
    f.answer(0, 2, fleet(0, 3));
    assertEquals(3, f.readyCount());
  }

  @Test
  void singleResolverThatRecoversHasRemovedNothing() {
    MembershipFixture f = new MembershipFixture(1);
    f.answer(0, 1, fleet(0, 10));
    f.answer(0, -1);
    f.advance(f.rules.confirmMillis() - 1);
    f.answer(0, 2, fleet(0, 10));
    f.advance(60_000);
    assertEquals(10, f.readyCount());
    assertTrue(f.changes.stream().allMatch(c -> c.member().phase() == Phase.READY), f.changes.toString());
  }

  @Test
  void removalInSmallStepsDoesNotBypassTheFloor() {
    MembershipFixture f = new MembershipFixture(3);
    for (int r = 0; r < 3; r++) {
      f.answer(r, 1, fleet(0, 20));
    }
    for (int left = 19; left >= 0; left--) {
      f.answer(0, -1, fleet(0, left));
      f.answer(1, 1, fleet(0, 20));
      f.answer(2, 1, fleet(0, 20));
      assertTrue(f.readyCount() >= 10, left + " listed, " + f.readyCount() + " ready");
      f.advance(5000);
    }
  }

  @Test
  void oneResolverMayRemoveAFewServers() {
    MembershipFixture f = new MembershipFixture(1);
    f.answer(0, 1, fleet(0, 10));
    f.answer(0, 2, fleet(2, 10));
    assertEquals(8, f.readyCount());
    assertEquals(8, f.list.size());
  }

  // ---- Unresponsive resolvers ----------------------------------------------------------------------------

  @Test
  void unresponsiveResolversChangeNothingUntilTheStaleLimit() {
    MembershipFixture f = new MembershipFixture(2);
    f.answer(0, 1, fleet(0, 10));
    f.answer(1, 1, fleet(0, 10));
    f.advance(60_000 + f.rules.staleMillis() - 1);
    assertEquals(10, f.readyCount());
    f.advance(1);
    assertEquals(0, f.list.size());
    assertEquals(ChangeReason.STALE_LIMIT, f.lastChange().reason());
  }

  @Test
  void soleRespondingResolverIsTrustedAfterTheLoneWait() {
    MembershipFixture f = new MembershipFixture(2);
    f.answer(0, 1, fleet(0, 10));
    f.answer(1, 1, fleet(0, 10));
    f.advance(60_001);
    f.answer(0, 2, fleet(0, 20));
    assertEquals(15, f.readyCount(), "plus half of the ten corroborated servers");
    f.advance(f.rules.loneWaitMillis() - 2);
    f.answer(0, 2, fleet(0, 20));
    assertEquals(15, f.readyCount());
    f.advance(f.rules.loneWaitMillis());
    f.answer(0, 2, fleet(0, 20));
    assertEquals(20, f.readyCount());
  }

  // ---- Forged answers ------------------------------------------------------------------------------------

  @Test
  void forgedFleetIsLimitedByTheWeightOfItsResolver() {
    Rules defaults = Rules.of(3);
    Rules rules = new Rules(List.of(0.2, 0.4, 0.4), defaults.floorShare(), 2, 2, defaults.confirmMillis(), defaults.settleMillis(),
        defaults.longestTtlMillis(), defaults.staleMillis(), defaults.clockSkewMillis(), defaults.firstWaitMillis(),
        defaults.loneWaitMillis(), 1, 20_000);
    MembershipFixture f = new MembershipFixture(rules);
    for (int i = 0; i < 30; i++) {
      f.answer(0, 99, fleet(1000, 2000));
      f.answer(1, 1, fleet(0, 10));
      f.answer(2, 1, fleet(0, 10));
      assertEquals(12, f.readyCount(), "round " + i);
      f.advance(10_000);
    }
    for (int n = 0; n < 10; n++) {
      assertEquals(Phase.READY, f.phase("s" + n));
    }
  }

  @Test
  void forgedTargetsUnderGenuineNamesAreLimitedAlike() {
    MembershipFixture f = new MembershipFixture(4);
    for (int r = 0; r < 4; r++) {
      f.answer(r, 1, fleet(0, 20));
    }
    Server[] forged = fleet(0, 20);
    for (Server s : forged) {
      s.port(6666);
    }
    for (int i = 0; i < 10; i++) {
      f.answer(2, 2, forged);
      for (int r : new int[] {0, 1, 3}) {
        f.answer(r, 1, fleet(0, 20));
      }
      assertTrue(f.list.values().stream().filter(m -> m.port() == 6666).count() <= 5, f.list.toString());
      f.advance(5000);
    }
  }

  // ---- Outdated zones ------------------------------------------------------------------------------------

  @Test
  void answersFromAnOutdatedZoneAreIgnored() {
    MembershipFixture f = new MembershipFixture(3);
    f.answer(0, 200, fleet(5, 15));
    f.answer(1, 200, fleet(5, 15));
    f.answer(2, 100, fleet(0, 10));
    f.advance(30_000);
    f.answer(2, 100, fleet(0, 10));
    assertEquals(10, f.readyCount());
    assertTrue(f.list.values().stream().noneMatch(m -> m.instance().equals(name("s0"))));
    assertTrue(f.membership.outdatedAnswers() > 0);
  }

  @Test
  void serialsWrapAround() {
    assertTrue(Serial.isOlder(0xFFFF_FFF0L, 5));
    assertFalse(Serial.isOlder(5, 0xFFFF_FFF0L));
    assertFalse(Serial.isOlder(7, 7));
    assertFalse(Serial.isOlder(0, 0x8000_0000L), "neither is older if they differ by 2^31 (RFC 1982, 3.2)");
  }

  @Test
  void recreatedZoneWithALowerSerialIsAcceptedAfterTheLongestTtl() {
    MembershipFixture f = new MembershipFixture(1);
    f.answer(0, 500, fleet(0, 4));
    f.answer(0, 3, fleet(0, 5));
    assertEquals(4, f.readyCount());
    f.advance(f.rules.longestTtlMillis());
    f.answer(0, 4, fleet(0, 5));
    assertEquals(5, f.readyCount());
  }

  // ---- Identity ------------------------------------------------------------------------------------------

  @Test
  void successorUnderTheSameNameIsAnotherServerInSlowStart() {
    MembershipFixture f = new MembershipFixture(1);
    Server[] before = fleet(0, 3);
    before[1].bootId(Long.toString(MembershipFixture.START - 86_400_000));
    f.answer(0, 1, before);
    Member old = f.member("s1");
    f.advance(10_000);
    Server[] after = fleet(0, 3);
    after[1].bootId(Long.toString(f.now - 50));
    f.answer(0, 2, after);
    Member now = f.member("s1");
    assertNotEquals(old.id(), now.id());
    assertEquals(f.now, now.upSince());
    assertEquals(ChangeReason.SUCCEEDED, f.lastChange().reason());
    assertFalse(f.list.containsKey(old.id()));
  }

  @Test
  void successorWithoutAStartTimeIsRecognizedByItsPort() {
    MembershipFixture f = new MembershipFixture(1);
    f.answer(0, 1, fleet(0, 3));
    f.advance(10_000);
    Server[] after = fleet(0, 3);
    after[1].port(9000);
    f.answer(0, 2, after);
    assertEquals(9000, f.member("s1").port());
    assertEquals(f.now, f.member("s1").upSince());
  }

  @Test
  void differentBootIdIsAnotherServer() {
    MembershipFixture f = new MembershipFixture(1);
    f.answer(0, 1, server("s0", 0).bootId("b1c2"));
    f.advance(10_000);
    f.answer(0, 2, server("s0", 0).bootId("f00d"));
    assertEquals(f.now, f.member("s0").upSince());
  }

  @Test
  void staleRecordDoesNotRestoreThePredecessor() {
    MembershipFixture f = new MembershipFixture(2);
    f.answer(0, 1, with(fleet(1, 8), server("s0", 0).bootId("b1")));
    f.answer(1, 1, with(fleet(1, 8), server("s0", 0).bootId("b1")));
    f.answer(0, 2, with(fleet(1, 8), server("s0", 0).bootId("b2").address("10.9.9.9")));
    assertTrue(f.member("s0").id().endsWith("|b2"), f.member("s0").id());
    for (int i = 0; i < 10; i++) {
      f.advance(5000);
      f.answer(1, 1, with(fleet(1, 8), server("s0", 0).bootId("b1")));
      f.answer(0, 2, with(fleet(1, 8), server("s0", 0).bootId("b2").address("10.9.9.9")));
      assertTrue(f.member("s0").id().endsWith("|b2"), f.member("s0").id());
      assertEquals("10.9.9.9", f.member("s0").address());
    }
  }

  @Test
  void olderStartNeverReplacesTheNewer() {
    MembershipFixture f = new MembershipFixture(2);
    long old = MembershipFixture.START - 1_000_000;
    Server[] newer = with(fleet(1, 8), server("s0", 0).bootId("" + (old + 5000)));
    Server[] older = with(fleet(1, 8), server("s0", 0).bootId("" + old));
    f.answer(0, 1, newer);
    f.answer(1, 1, older);
    f.advance(3000);
    for (int i = 0; i < 5; i++) {
      f.answer(1, 1, older);
      f.answer(0, 1, newer);
      assertTrue(f.member("s0").id().endsWith("|" + (old + 5000)));
      f.advance(1000);
    }
  }

  @Test
  void newAddressWithTheSameBootIdIsTheSameServer() {
    MembershipFixture f = new MembershipFixture(1);
    f.answer(0, 1, server("s0", 0).bootId("b1"));
    Member before = f.member("s0");
    f.advance(10_000);
    f.answer(0, 2, server("s0", 0).bootId("b1").address("10.7.7.7"));
    Member after = f.member("s0");
    assertEquals(before.id(), after.id());
    assertEquals(before.upSince(), after.upSince());
    assertEquals("10.7.7.7", after.address());
    assertEquals(ChangeReason.RENUMBERED, f.lastChange().reason());
  }

  @Test
  void reconnectionCountsAsARestartIfNoStartIsReported() {
    MembershipFixture f = new MembershipFixture(1);
    f.answer(0, 1, server("s0", 0), server("s1", 1).bootId("b"));
    f.advance(10_000);
    for (String s : new String[] {"s0", "s1"}) {
      f.observe(new ConnectionProbe(name(s), false));
      f.observe(new ConnectionProbe(name(s), true));
    }
    f.reconcile();
    assertEquals(f.now, f.member("s0").upSince());
    assertEquals(0, f.member("s1").upSince(), "a reported boot ID takes precedence over probes");
  }

  @Test
  void startTimesTolerateClockSkew() {
    MembershipFixture f = new MembershipFixture(1);
    f.answer(0, 1, fleet(0, 3));
    f.advance(60_000);
    // Publishers whose clocks are four minutes behind, then four ahead: both servers have just started and must count so.
    f.answer(0, 2, with(fleet(0, 3), server("s8", 8).bootId("" + (f.now - 240_000))));
    assertEquals(f.now, f.member("s8").upSince());
    f.answer(0, 3, with(fleet(0, 3), server("s8", 8).bootId("" + (f.now - 240_000)), server("s9", 9).bootId("" + (f.now + 240_000))));
    assertEquals(f.now, f.member("s9").upSince());
    f.advance(1000);
    // A successor that reports an earlier start than its predecessor replaces it once no cache can hold the predecessor.
    String ahead = f.member("s9").id();
    String behind = "" + (f.now - 1000);
    f.answer(0, 4, with(fleet(0, 3), server("s9", 9).bootId(behind)));
    assertEquals(ahead, f.member("s9").id());
    f.advance(f.rules.longestTtlMillis());
    f.answer(0, 4, with(fleet(0, 3), server("s9", 9).bootId(behind)));
    assertTrue(f.member("s9").id().endsWith("|" + behind), f.member("s9").id());
  }

  @Test
  void returningServerWithoutAStartTimeIsInSlowStart() {
    MembershipFixture f = new MembershipFixture(1);
    f.answer(0, 1, fleet(0, 5));
    f.answer(0, 2, fleet(1, 5));
    f.advance(30_000);
    f.answer(0, 3, fleet(0, 5));
    f.advance(f.rules.settleMillis());
    assertEquals(Phase.READY, f.phase("s0"));
    assertTrue(f.member("s0").upSince() > MembershipFixture.START, "it may have restarted meanwhile");
  }

  // ---- Incomplete records --------------------------------------------------------------------------------

  @Test
  void instanceWithoutSrvOrAddressRecordIsNotUsed() {
    MembershipFixture f = new MembershipFixture(1);
    f.observe(new Browsed(0, MembershipFixture.DOMAIN, Set.of(name("a"), name("b"), name("c")), 1, 60_000));
    f.observe(new ServiceRecords(0, name("a"), List.of(new SrvRecord(0, 0, "a.example.", 80))));
    f.observe(new Addresses(0, "a.example.", false, List.of("10.0.0.1")));
    f.observe(new ServiceRecords(0, name("b"), List.of(new SrvRecord(0, 0, "b.example.", 80))));
    f.reconcile();
    assertEquals(Set.of(name("a")), Set.copyOf(f.list.values().stream().map(Member::instance).toList()));
    assertTrue(f.membership.explain(f.now, name("c")).get(0).contains("incomplete"));
    f.observe(new Addresses(0, "b.example.", true, List.of("fd00::1")));
    f.reconcile();
    assertEquals("fd00::1", f.member("b").address(), "one address family is enough");
  }

  @Test
  void allReadersSelectTheSameOfTwoSrvRecords() {
    for (boolean reversed : new boolean[] {false, true}) {
      MembershipFixture f = new MembershipFixture(1);
      SrvRecord x = new SrvRecord(0, 10, "x.example.", 80);
      SrvRecord y = new SrvRecord(0, 20, "y.example.", 80);
      f.observe(new Browsed(0, MembershipFixture.DOMAIN, Set.of(name("a")), 1, 60_000));
      f.observe(new ServiceRecords(0, name("a"), reversed ? List.of(y, x) : List.of(x, y)));
      f.observe(new Addresses(0, "x.example.", false, List.of("10.0.0.1")));
      f.observe(new Addresses(0, "y.example.", false, List.of("10.0.0.3", "10.0.0.2")));
      f.reconcile();
      assertEquals("10.0.0.2", f.member("a").address());
    }
  }

  @Test
  void serverInTwoDomainsIsOneMemberAndDrainsInBoth() {
    MembershipFixture f = new MembershipFixture(1);
    String other = "_quote._tcp.zz.example.";
    f.answer(0, 1, server("s0", 0), server("s1", 1));
    f.answer(other, 0, 1, server("s0", 0));
    assertEquals(2, f.list.size());
    f.answer(other, 0, 2, server("s0", 0).phase("draining"));
    assertEquals(Phase.DRAINING, f.phase("s0"));
  }

  @Test
  void newNameAtAKnownAddressReplacesTheOldName() {
    MembershipFixture f = new MembershipFixture(1);
    f.answer(0, 1, fleet(0, 4));
    f.advance(10_000);
    f.answer(0, 2, with(fleet(0, 4), server("t0", 99).address("10.0.0.0")));
    assertEquals(4, f.list.size(), "an address is listed under one name only");
    assertNull(f.phase("s0"));
    assertEquals(f.now, f.member("t0").upSince());
  }

  // ---- Reserves ------------------------------------------------------------------------------------------

  @Test
  void reservesServeOnlyIfBetterPrioritiesCanNot() {
    MembershipFixture f = new MembershipFixture(1);
    Server[] all = with(fleet(0, 2), server("r0", 50).priority(10), server("r1", 51).priority(20));
    f.answer(0, 1, all);
    assertEquals(2, f.readyCount());
    assertEquals(Phase.DRAINING, f.phase("r0"));
    all[0].phase("draining");
    all[1].phase("draining");
    f.answer(0, 2, all);
    assertEquals(Phase.READY, f.phase("r0"));
    assertEquals(Phase.DRAINING, f.phase("r1"));
    all[0].phase("ready");
    f.answer(0, 3, all);
    f.advance(f.rules.settleMillis());
    assertEquals(Phase.READY, f.phase("s0"));
    assertEquals(Phase.DRAINING, f.phase("r0"));
    assertEquals(ChangeReason.RESERVE, f.changes.stream().filter(c -> c.member().instance().equals(name("r0"))).reduce((x, y) -> y)
        .orElseThrow().reason());
  }

  // ---- Cached list ---------------------------------------------------------------------------------------

  @Test
  void cachedListServesUntilAResolverReportsOtherwise() {
    MembershipFixture first = new MembershipFixture(2);
    first.answer(0, 1, with(fleet(0, 9), server("s9", 9).bootId("b9")));
    first.answer(1, 1, with(fleet(0, 9), server("s9", 9).bootId("b9")));
    MembershipFixture next = new MembershipFixture(2);
    first.list.values().forEach(m -> {
      Membership.CachedDetails details = first.membership.cachedDetails(m);
      next.membership.restoreCached(next.now, m, details.domain(), details.priority(), details.bootId());
    });
    next.reconcile();
    assertEquals(first.list, next.list);
    assertEquals(ChangeReason.HELD_LIST, next.lastChange().reason());
    next.answer(0, -1);
    assertEquals(10, next.readyCount(), "an empty first answer removes nothing");
    next.answer(0, 3, without(with(fleet(0, 9), server("s9", 9).bootId("b9")), "s4"));
    assertEquals(9, next.readyCount());
    next.answer(1, 3, without(with(fleet(0, 9), server("s9", 9).bootId("b10")), "s4"));
    next.answer(0, 3, without(with(fleet(0, 9), server("s9", 9).bootId("b10")), "s4"));
    assertEquals(next.now, next.member("s9").upSince(), "it restarted during our restart");
    assertEquals(0, next.member("s1").upSince());
  }

  // ---- Pushes and limits ---------------------------------------------------------------------------------

  @Test
  void pushCountsAsAnAnswer() {
    MembershipFixture f = new MembershipFixture(1);
    f.answer(0, 1, fleet(0, 5));
    f.observe(new Pushed(0, MembershipFixture.DOMAIN, name("s1"), false));
    f.reconcile();
    assertNull(f.phase("s1"));
    f.observe(new TextRecord(0, name("s2"), Map.of("phase", "draining")));
    f.reconcile();
    assertEquals(Phase.DRAINING, f.phase("s2"));
  }

  @Test
  void instancesAreBounded() {
    Rules u = Rules.of(1);
    MembershipFixture f = new MembershipFixture(new Rules(u.weights(), 0.5, 1, 1, 1, 1, 1000, 1000, 0, 0, 0, 1, 100));
    f.answer(0, 1, fleet(0, 300));
    assertEquals(100, f.readyCount());
    assertTrue(f.membership.problems().stream().anyMatch(p -> p.endsWith("too_many")));
  }

  @Test
  void removedInstancesAreForgotten() {
    MembershipFixture f = new MembershipFixture(1);
    for (int round = 0; round < 50; round++) {
      f.answer(0, round, fleet(round, round + 10));
      f.advance(f.rules.longestTtlMillis());
    }
    assertTrue(f.membership.instances() <= 12, "known instances: " + f.membership.instances());
  }

  /** Bounds memory against a resolver that returns a new target with each poll, and records of unlisted instances. */
  @Test
  void recordsOfFormerTargetsAndUnlistedInstancesAreNotStored() {
    MembershipFixture f = new MembershipFixture(2);
    f.answer(0, 1, fleet(0, 4));
    f.answer(1, 1, fleet(0, 4));
    int before = f.membership.retainedEntries();
    for (int i = 0; i < 1000; i++) {
      String target = "t" + i + ".example.";
      f.observe(new ServiceRecords(0, name("s1"), List.of(new SrvRecord(0, 0, target, 80))));
      f.observe(new Addresses(0, target, false, List.of("10.9.9." + i % 250)));
      f.observe(new ServiceRecords(0, name("nobody" + i), List.of(new SrvRecord(0, 0, target, 80))));
      f.observe(new TextRecord(1, name("nobody" + i), Map.of("phase", "draining")));
      f.reconcile();
      f.advance(10);
    }
    assertTrue(f.membership.retainedEntries() <= before + 4, before + " before, " + f.membership.retainedEntries() + " after");
  }

  @Test
  void unsatisfiableRulesAreRejected() {
    assertThrows(IllegalArgumentException.class, () -> new Rules(List.of(), 0.5, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1));
    assertThrows(IllegalArgumentException.class, () -> new Rules(List.of(1.0), 0.5, 2, 2, 1, 1, 1, 1, 1, 1, 1, 1, 1));
    assertThrows(IllegalArgumentException.class, () -> new Rules(List.of(1.0), 1.5, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1));
    assertThrows(IllegalArgumentException.class, () -> new Rules(List.of(Double.NaN), 0.5, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1));
  }

  @Test
  void attributesAreParsedAndInvalidValuesReported() {
    TextKeys.Attributes r = TextKeys.DEFAULT.parse(Map.of("locality", "a", "cell", "x", "size", "0", "phase", "draining", "started", "12",
        "rack", "7"));
    assertEquals("a", r.locality());
    assertEquals(0, r.cell());
    assertEquals(0, r.size());
    assertTrue(r.draining());
    assertEquals(12, r.started());
    assertEquals(Map.of("rack", "7"), r.unknownKeys());
    assertEquals(2, r.problems().size(), r.problems().toString());
    assertEquals("", TextKeys.DEFAULT.parse(Map.of("started", "0")).bootId(), "0 means an unknown start");
    assertEquals(Map.of("phase", "x=y", "flag", ""), TextKeys.pairs(List.of("Phase=x=y".getBytes(), "phase=z".getBytes(),
        "flag".getBytes(), "=lost".getBytes(), new byte[0])));
  }
}
