package cloverpulley.outs;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Grants, limits, halts and returns of the ledger, command by command. */
class DisruptionLedgerTest {

  private final DisruptionLedger ledger = new DisruptionLedger();
  private long index;
  private long now = 1_000_000;
  private int lastRequest;

  private Reply apply(Command c) {
    return ledger.apply(++index, ++now, c);
  }

  private Reply ask(String member, long waitMillis) {
    return apply(new Command.Ask("a" + ++lastRequest, member, "op", "why", waitMillis, false));
  }

  private void report(String member, Health health, String... observers) {
    for (String o : observers) {
      apply(new Command.Seen(o, member, health, index));
    }
  }

  private void reportWarm(String member) {
    report(member, Health.WARM, "b1", "b2");
  }

  private Phase phase(String member) {
    LedgerState.Permit out = ledger.state().outs().get(member);
    return out == null ? null : out.phase();
  }

  /** Eight upstreams in two cells of four, three balancers. Limits: a quarter of the upstreams, one in cell 0, two in cell 1, one balancer. */
  @BeforeEach
  void fleet() {
    apply(new Command.Rules(1, Map.of("upstreams", new Limit(100, 0.25, 1), "cell:0", new Limit(1, 1, 1), "cell:1", new Limit(2, 1, 1),
        "balancers", new Limit(1, 1, 1)), 2, 10_000, 1, 1));
    for (int i = 0; i < 8; i++) {
      apply(new Command.Enrol("s" + i, MemberKind.UPSTREAM, List.of("upstreams", "cell:" + i / 4)));
    }
    for (int i = 1; i <= 3; i++) {
      apply(new Command.Enrol("b" + i, MemberKind.BALANCER, List.of("balancers")));
    }
  }

  @Test
  void aPermitIsGrantedOnlyWithinAllLimits() {
    assertEquals(ResultCode.GRANTED, ask("s0", 0).word());
    Reply rejection = ask("s1", 0);
    assertEquals(ResultCode.LIMIT, rejection.word());
    assertEquals("cell:0", rejection.binding());
    assertEquals(List.of("s0"), rejection.holders());
    assertEquals(ResultCode.GRANTED, ask("s4", 0).word());
    assertEquals("upstreams", ask("s5", 0).binding(), "the cell has capacity, the fleet has none");
    assertEquals(ResultCode.GRANTED, ask("b1", 0).word(), "balancers are a group of their own");
    assertEquals(ResultCode.LIMIT, ask("b2", 0).word());
  }

  @Test
  void aRepeatedRequestIsGrantedOnce() {
    Command.Ask a = new Command.Ask("x", "s0", "op", "why", 0, false);
    Reply first = apply(a);
    assertEquals(ResultCode.GRANTED, first.word());
    Reply again = apply(a);
    assertEquals(ResultCode.SAME_AGAIN, again.word());
    assertTrue(again.isSuccess());
    assertEquals(first.epoch(), again.epoch());
    assertEquals(ResultCode.ALREADY_OUT, apply(new Command.Ask("y", "s0", "other", "why", 0, false)).word());
    assertEquals(1, ledger.state().outs().size());
  }

  /** Unwell members count against the limit, as soon as enough observers report them and until enough report them well. */
  @Test
  void unwellMembersUseSlots() {
    report("s1", Health.DEAD, "b1");
    assertEquals(ResultCode.GRANTED, ask("s0", 0).word(), "one report is not enough");
    report("s1", Health.DEAD, "b2");
    assertTrue(ledger.state().members().get("s1").unwell());
    report("s4", Health.SILENT, "b1", "b3");
    assertEquals("upstreams", ask("s5", 0).binding());
    report("s4", Health.WARM, "b1");
    assertEquals(ResultCode.LIMIT, ask("s5", 0).word(), "one report does not make it well");
    report("s4", Health.WARM, "b3");
    assertFalse(ledger.state().members().get("s4").unwell());
    assertEquals("upstreams", ask("s5", 0).binding(), "s0 and s1 still use the two slots");
  }

  @Test
  void anUnwellMemberMayLeaveWithoutUsingASecondSlot() {
    report("s0", Health.DEAD, "b1", "b2");
    assertEquals(ResultCode.GRANTED, ask("s0", 0).word());
    assertEquals("cell:0", ask("s1", 0).binding());
  }

  @Test
  void aReturningMemberCountsAsOutUntilReportedWarm() {
    ask("s0", 0);
    apply(new Command.Return("s0", "op", ledger.state().outs().get("s0").epoch()));
    assertEquals(Phase.RETURNING, phase("s0"));
    assertEquals(ResultCode.LIMIT, ask("s1", 0).word());
    report("s0", Health.COLD, "b1", "b2");
    assertEquals(ResultCode.LIMIT, ask("s1", 0).word());
    reportWarm("s0");
    assertEquals(null, phase("s0"));
    assertEquals(ResultCode.GRANTED, ask("s1", 0).word());
  }

  /** Reports made before the return began must not end it. */
  @Test
  void anOldReportDoesNotEndAReturn() {
    reportWarm("s0");
    ask("s0", 0);
    apply(new Command.Return("s0", "op", ledger.state().outs().get("s0").epoch()));
    apply(new Command.Seen("b1", "s0", Health.WARM, index));
    assertEquals(Phase.RETURNING, phase("s0"));
    apply(new Command.Seen("b2", "s0", Health.WARM, index));
    assertEquals(null, phase("s0"));
  }

  /** Late commands, from a paused process or a retry, must not end a later permit of the same member. */
  @Test
  void lateCommandsDoNotEndALaterPermit() {
    long first = ask("s0", 0).epoch();
    long before = index;
    Command.Return late = new Command.Return("s0", "op", first);
    apply(late);
    reportWarm("s0");
    long second = ask("s0", 0).epoch();
    assertEquals(ResultCode.OLD_EPOCH, apply(late).word());
    assertEquals(Phase.GRANTED, phase("s0"));
    apply(new Command.Return("s0", "op", second));
    apply(new Command.Seen("b1", "s0", Health.WARM, before));
    apply(new Command.Seen("b2", "s0", Health.WARM, before));
    assertEquals(Phase.RETURNING, phase("s0"), "observed before it went out");
    apply(new Command.Seen("b1", "s0", Health.WARM, index));
    assertEquals(ResultCode.OLD_EPOCH, apply(new Command.Seen("b1", "s0", Health.DEAD, before)).word(), "superseded by a later report");
    apply(new Command.Seen("b3", "s0", Health.WARM, Long.MAX_VALUE));
    assertEquals(null, phase("s0"));
    assertEquals(ResultCode.NOT_OUT, apply(late).word());
  }

  /** A client that lost the reply and repeats its request succeeds only while the permit is held: others may have ended it meanwhile. */
  @Test
  void aRequestRepeatedAfterItsPermitEndedFails() {
    Command.Ask a = new Command.Ask("lost", "s0", "op", "", 0, false);
    assertEquals(ResultCode.GRANTED, apply(a).word());
    assertEquals(ResultCode.SAME_AGAIN, apply(a).word());
    apply(new Command.Back("", "another"));
    assertEquals(Phase.RETURNING, phase("s0"));
    assertEquals(ResultCode.OLD_EPOCH, apply(a).word());
    reportWarm("s0");
    assertEquals(ResultCode.OLD_EPOCH, apply(a).word());
    assertEquals(false, apply(a).isSuccess());
    ask("s0", 0);
    assertEquals(ResultCode.OLD_EPOCH, apply(a).word(), "the next permit belongs to another request");
  }

  @Test
  void aPermitDoesNotExpire() {
    ask("s0", 0);
    now += 30L * 24 * 3600 * 1000;
    apply(new Command.Tick());
    assertEquals(Phase.GRANTED, phase("s0"));
    assertEquals(ResultCode.LIMIT, ask("s1", 0).word());
  }

  /** Requests of a group are served in order, those of another group are not blocked, and a deadline ends the wait. */
  @Test
  void queuedRequestsAreServedInOrder() {
    ask("s0", 0);
    assertEquals(ResultCode.WAITING, ask("s1", 60_000).word());
    assertEquals(ResultCode.WAITING, ask("s2", 60_000).word());
    assertEquals(ResultCode.LIMIT, ask("s3", 0).word());
    assertEquals(ResultCode.WAITING, ask("s3", 1000).word());
    apply(new Command.Return("s0", "op", ledger.state().outs().get("s0").epoch()));
    reportWarm("s0");
    assertEquals(Phase.GRANTED, phase("s1"));
    assertEquals(null, phase("s2"));
    now += 2000;
    apply(new Command.Tick());
    assertEquals(List.of("s2"), ledger.state().queue().stream().map(LedgerState.QueuedRequest::member).toList(), "s3 has expired");
    assertEquals(ResultCode.EXPIRED, apply(new Command.Ask("a5", "s3", "op", "why", 1000, false)).word(), "and the reply says so");
  }

  @Test
  void aHaltStopsGrantsUntilLiftedByName() {
    apply(new Command.Halt("storm", "op", "refusals"));
    assertEquals(ResultCode.HALTED, ask("s0", 0).word());
    assertEquals(ResultCode.WAITING, ask("s4", 60_000).word());
    assertEquals(ResultCode.NO_SUCH_HALT, apply(new Command.Resume("other", "op")).word());
    assertEquals(ResultCode.DONE, apply(new Command.Resume("storm", "op")).word());
    assertEquals(Phase.GRANTED, phase("s4"), "queued requests are served then");
  }

  @Test
  void tooManyUnwellMembersHaltGrants() {
    apply(new Command.Rules(2, ledger.state().rules().groups(), 2, 10_000, 0.25, 1));
    for (int i = 0; i < 3; i++) {
      report("s" + i, Health.DEAD, "b1");
    }
    assertTrue(ledger.state().halts().isEmpty(), "the reports of one instance are not enough, however many");
    for (int i = 0; i < 3; i++) {
      report("s" + i, Health.DEAD, "b2");
    }
    assertEquals(List.of(DisruptionLedger.DEAD_HALT), List.copyOf(ledger.state().halts().keySet()));
    apply(new Command.Resume(DisruptionLedger.DEAD_HALT, "op"));
    assertFalse(ledger.state().halts().isEmpty(), "not while the condition holds");
    reportWarm("s0");
    apply(new Command.Resume(DisruptionLedger.DEAD_HALT, "op"));
    assertTrue(ledger.state().halts().isEmpty());
  }

  /** All members return a few at a time, those out longest first, and a restored ledger continues. */
  @Test
  void membersReturnAFewAtATime() {
    ask("s0", 0);
    ask("s4", 0);
    apply(new Command.Ask("f1", "s5", "op", "why", 0, true));
    apply(new Command.Ask("f2", "s1", "op", "why", 0, true));
    apply(new Command.Back("", "op"));
    DisruptionLedger other = new DisruptionLedger();
    other.restore(ledger.state());
    assertEquals(ledger.state(), other.state());
    for (String expected : List.of("s0", "s4", "s5", "s1")) {
      List<String> returning = ledger.state().outs().entrySet().stream().filter(e -> e.getValue().phase() == Phase.RETURNING).map(Map.Entry::getKey)
          .toList();
      assertEquals(List.of(expected), returning, "one upstream at a time");
      reportWarm(expected);
    }
    assertTrue(ledger.state().outs().isEmpty());
    assertTrue(ledger.state().back().isEmpty(), "the return is complete");
    assertEquals(ResultCode.GRANTED, ask("s0", 0).word());
    assertEquals(Phase.GRANTED, phase("s0"), "a later permit is not returned");
  }

  @Test
  void aForcedRequestOverridesLimitsAndIsRecorded() {
    apply(new Command.Halt("storm", "op", ""));
    Reply r = apply(new Command.Ask("f", "s0", "op", "fire", 0, true));
    assertEquals(ResultCode.GRANTED, r.word());
    assertTrue(ledger.state().outs().get("s0").forced());
    assertTrue(ledger.state().history().stream().anyMatch(c -> c.what().equals("forced") && c.why().equals("fire")));
  }

  @Test
  void anOldEpochDoesNotAffectTheNextPermit() {
    long epoch = ask("s0", 0).epoch();
    apply(new Command.Return("s0", "op", ledger.state().outs().get("s0").epoch()));
    reportWarm("s0");
    ask("s0", 0);
    assertEquals(ResultCode.OLD_EPOCH, apply(new Command.Left("s0", epoch)).word());
    assertEquals(Phase.GRANTED, phase("s0"));
  }

  @Test
  void aMemberWithAPermitIsNotRemoved() {
    ask("s0", 0);
    assertEquals(ResultCode.STILL_OUT, apply(new Command.Strike("s0")).word());
    apply(new Command.Strike("s7"));
    assertEquals(ResultCode.UNKNOWN_MEMBER, ask("s7", 0).word());
  }

  @Test
  void aWithdrawnRequestIsRemovedAndAWithdrawnPermitReturns() {
    ask("s0", 0);
    ask("s1", 60_000);
    apply(new Command.Withdraw("a2"));
    assertTrue(ledger.state().queue().isEmpty());
    apply(new Command.Withdraw("a1"));
    assertEquals(Phase.RETURNING, phase("s0"), "instances may have drained it");
  }

  /** A member that changes its groups while it is out is counted in the new groups only. */
  @Test
  void aMemberMayChangeGroupsWhileOut() {
    ask("s0", 0);
    apply(new Command.Return("s0", "op", ledger.state().outs().get("s0").epoch()));
    apply(new Command.Enrol("s0", MemberKind.UPSTREAM, List.of("upstreams", "cell:1")));
    assertEquals(ResultCode.GRANTED, ask("s1", 0).word());
    reportWarm("s0");
    assertEquals(1, ledger.state().outs().size());
    DisruptionLedger other = new DisruptionLedger();
    other.restore(ledger.state());
    assertEquals(ResultCode.GRANTED, other.apply(++index, ++now, new Command.Ask("z", "s4", "op", "", 0, false)).word());
  }

  /** Commands can't grow the ledger without bound. */
  @Test
  void sizesAreBounded() {
    String big = "x".repeat(300);
    assertThrows(IllegalArgumentException.class, () -> new Command.Enrol(big, MemberKind.UPSTREAM, List.of()));
    assertThrows(IllegalArgumentException.class, () -> new Command.Ask("q", "s0", "op", big, 0, false));
    apply(new Command.Halt("h", "op", ""));
    for (int i = 0; i < DisruptionLedger.MAX_QUEUED; i++) {
      apply(new Command.Ask("w" + i, "s0", "op", "", 60_000, false));
    }
    assertEquals(ResultCode.TOO_MANY, apply(new Command.Ask("more", "s0", "op", "", 60_000, false)).word());
    for (int i = 0; i < 2 * DisruptionLedger.MAX_HALTS; i++) {
      apply(new Command.Halt("h" + i, "op", ""));
    }
    assertEquals(DisruptionLedger.MAX_HALTS, ledger.state().halts().size());
    assertTrue(ledger.state().history().size() <= 500);
  }
}
