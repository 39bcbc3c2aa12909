package cloverpulley.outs;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Who may be out, command by command. */
class DisruptionLedgerTest {

  private final DisruptionLedger ledger = new DisruptionLedger();
  private long index;
  private long now = 1_000_000;
  private int asks;

  private Reply tell(Command c) {
    return ledger.apply(++index, ++now, c);
  }

  private Reply ask(String member, long waitMillis) {
    return tell(new Command.Ask("a" + ++asks, member, "op", "why", waitMillis, false));
  }

  private void seen(String member, Health health, String... observers) {
    for (String o : observers) {
      tell(new Command.Seen(o, member, health, index));
    }
  }

  private void warm(String member) {
    seen(member, Health.WARM, "b1", "b2");
  }

  private Phase phase(String member) {
    LedgerState.Permit out = ledger.state().outs().get(member);
    return out == null ? null : out.phase();
  }

  /** Eight upstreams in two dedup groups of four, three balancers; a quarter of all, half of a group less one, one balancer. */
  @BeforeEach
  void fleet() {
    tell(new Command.Rules(1, Map.of("upstreams", new Limit(100, 0.25, 1), "cell:0", new Limit(1, 1, 1), "cell:1", new Limit(2, 1, 1),
        "balancers", new Limit(1, 1, 1)), 2, 10_000, 1, 1));
    for (int i = 0; i < 8; i++) {
      tell(new Command.Enrol("s" + i, MemberKind.UPSTREAM, List.of("upstreams", "cell:" + i / 4)));
    }
    for (int i = 1; i <= 3; i++) {
      tell(new Command.Enrol("b" + i, MemberKind.BALANCER, List.of("balancers")));
    }
  }

  @Test
  void aPermitIsGivenOnlyWhereEveryLimitStillHolds() {
    assertEquals(ResultCode.GRANTED, ask("s0", 0).word());
    Reply no = ask("s1", 0);
    assertEquals(ResultCode.LIMIT, no.word());
    assertEquals("cell:0", no.binding());
    assertEquals(List.of("s0"), no.holders());
    assertEquals(ResultCode.GRANTED, ask("s4", 0).word());
    assertEquals("upstreams", ask("s5", 0).binding(), "the group has room, the fleet has none");
    assertEquals(ResultCode.GRANTED, ask("b1", 0).word(), "balancers are another group");
    assertEquals(ResultCode.LIMIT, ask("b2", 0).word());
  }

  @Test
  void theSameAskIsOneGrant() {
    Command.Ask a = new Command.Ask("x", "s0", "op", "why", 0, false);
    Reply first = tell(a);
    assertEquals(ResultCode.GRANTED, first.word());
    Reply again = tell(a);
    assertEquals(ResultCode.SAME_AGAIN, again.word());
    assertTrue(again.isSuccess());
    assertEquals(first.epoch(), again.epoch());
    assertEquals(ResultCode.ALREADY_OUT, tell(new Command.Ask("y", "s0", "other", "why", 0, false)).word());
    assertEquals(1, ledger.state().outs().size());
  }

  /** The dead count beside the drained, as soon as enough have said so, and until enough say otherwise. */
  @Test
  void whatDiesTakesAPlace() {
    seen("s1", Health.DEAD, "b1");
    assertEquals(ResultCode.GRANTED, ask("s0", 0).word(), "one word alone is none");
    seen("s1", Health.DEAD, "b2");
    assertTrue(ledger.state().members().get("s1").unwell());
    seen("s4", Health.SILENT, "b1", "b3");
    assertEquals("upstreams", ask("s5", 0).binding());
    seen("s4", Health.WARM, "b1");
    assertEquals(ResultCode.LIMIT, ask("s5", 0).word(), "one word does not bring it back");
    seen("s4", Health.WARM, "b3");
    assertFalse(ledger.state().members().get("s4").unwell());
    assertEquals("upstreams", ask("s5", 0).binding(), "s0 and s1 still hold the two places");
  }

  @Test
  void anUnwellMemberMayLeaveWithoutTakingASecondPlace() {
    seen("s0", Health.DEAD, "b1", "b2");
    assertEquals(ResultCode.GRANTED, ask("s0", 0).word());
    assertEquals("cell:0", ask("s1", 0).binding());
  }

  @Test
  void oneThatIsBackCountsAsOutUntilItIsSeenWarm() {
    ask("s0", 0);
    tell(new Command.Return("s0", "op", ledger.state().outs().get("s0").epoch()));
    assertEquals(Phase.RETURNING, phase("s0"));
    assertEquals(ResultCode.LIMIT, ask("s1", 0).word());
    seen("s0", Health.COLD, "b1", "b2");
    assertEquals(ResultCode.LIMIT, ask("s1", 0).word());
    warm("s0");
    assertEquals(null, phase("s0"));
    assertEquals(ResultCode.GRANTED, ask("s1", 0).word());
  }

  /** Words of before it came back say nothing of it now. */
  @Test
  void anOldWordDoesNotEndAReturn() {
    warm("s0");
    ask("s0", 0);
    tell(new Command.Return("s0", "op", ledger.state().outs().get("s0").epoch()));
    tell(new Command.Seen("b1", "s0", Health.WARM, index));
    assertEquals(Phase.RETURNING, phase("s0"));
    tell(new Command.Seen("b2", "s0", Health.WARM, index));
    assertEquals(null, phase("s0"));
  }

  /** Words that come late, out of a paused process or sent again, end no permit that they don't speak of. */
  @Test
  void whatComesLateEndsNoLaterPermit() {
    long first = ask("s0", 0).epoch();
    long before = index;
    Command.Return late = new Command.Return("s0", "op", first);
    tell(late);
    warm("s0");
    long second = ask("s0", 0).epoch();
    assertEquals(ResultCode.OLD_EPOCH, tell(late).word());
    assertEquals(Phase.GRANTED, phase("s0"));
    tell(new Command.Return("s0", "op", second));
    tell(new Command.Seen("b1", "s0", Health.WARM, before));
    tell(new Command.Seen("b2", "s0", Health.WARM, before));
    assertEquals(Phase.RETURNING, phase("s0"), "seen before it went out");
    tell(new Command.Seen("b1", "s0", Health.WARM, index));
    assertEquals(ResultCode.OLD_EPOCH, tell(new Command.Seen("b1", "s0", Health.DEAD, before)).word(), "overtaken by a later word");
    tell(new Command.Seen("b3", "s0", Health.WARM, Long.MAX_VALUE));
    assertEquals(null, phase("s0"));
    assertEquals(ResultCode.NOT_OUT, tell(late).word());
  }

  /** Whose answer was lost and who asks again is told yes only while the permit holds: meanwhile others may have ended it. */
  @Test
  void anAskThatIsMadeAgainAfterItsPermitEndedIsNoYes() {
    Command.Ask a = new Command.Ask("lost", "s0", "op", "", 0, false);
    assertEquals(ResultCode.GRANTED, tell(a).word());
    assertEquals(ResultCode.SAME_AGAIN, tell(a).word());
    tell(new Command.Back("", "another"));
    assertEquals(Phase.RETURNING, phase("s0"));
    assertEquals(ResultCode.OLD_EPOCH, tell(a).word());
    warm("s0");
    assertEquals(ResultCode.OLD_EPOCH, tell(a).word());
    assertEquals(false, tell(a).isSuccess());
    ask("s0", 0);
    assertEquals(ResultCode.OLD_EPOCH, tell(a).word(), "the next permit is another's");
  }

  @Test
  void aPermitIsNotGivenBackByTime() {
    ask("s0", 0);
    now += 30L * 24 * 3600 * 1000;
    tell(new Command.Tick());
    assertEquals(Phase.GRANTED, phase("s0"));
    assertEquals(ResultCode.LIMIT, ask("s1", 0).word());
  }

  /** First come, first served within a group; another group's are not held up; a deadline ends the wait. */
  @Test
  void whoWaitsIsServedInTurn() {
    ask("s0", 0);
    assertEquals(ResultCode.WAITING, ask("s1", 60_000).word());
    assertEquals(ResultCode.WAITING, ask("s2", 60_000).word());
    assertEquals(ResultCode.LIMIT, ask("s3", 0).word());
    assertEquals(ResultCode.WAITING, ask("s3", 1000).word());
    tell(new Command.Return("s0", "op", ledger.state().outs().get("s0").epoch()));
    warm("s0");
    assertEquals(Phase.GRANTED, phase("s1"));
    assertEquals(null, phase("s2"));
    now += 2000;
    tell(new Command.Tick());
    assertEquals(List.of("s2"), ledger.state().queue().stream().map(LedgerState.QueuedRequest::member).toList(), "s3 waited no longer");
    assertEquals(ResultCode.EXPIRED, tell(new Command.Ask("a5", "s3", "op", "why", 1000, false)).word(), "and is told so");
  }

  @Test
  void aHaltStopsGrantsAndOnlyItsNameLiftsIt() {
    tell(new Command.Halt("storm", "op", "refusals"));
    assertEquals(ResultCode.HALTED, ask("s0", 0).word());
    assertEquals(ResultCode.WAITING, ask("s4", 60_000).word());
    assertEquals(ResultCode.NO_SUCH_HALT, tell(new Command.Resume("other", "op")).word());
    assertEquals(ResultCode.DONE, tell(new Command.Resume("storm", "op")).word());
    assertEquals(Phase.GRANTED, phase("s4"), "who waited is served then");
  }

  @Test
  void tooManyUnwellHaltByThemselves() {
    tell(new Command.Rules(2, ledger.state().rules().groups(), 2, 10_000, 0.25, 1));
    for (int i = 0; i < 3; i++) {
      seen("s" + i, Health.DEAD, "b1");
    }
    assertTrue(ledger.state().halts().isEmpty(), "one instance's words are not enough, however many");
    for (int i = 0; i < 3; i++) {
      seen("s" + i, Health.DEAD, "b2");
    }
    assertEquals(List.of(DisruptionLedger.DEAD_HALT), List.copyOf(ledger.state().halts().keySet()));
    tell(new Command.Resume(DisruptionLedger.DEAD_HALT, "op"));
    assertFalse(ledger.state().halts().isEmpty(), "not while it still holds");
    warm("s0");
    tell(new Command.Resume(DisruptionLedger.DEAD_HALT, "op"));
    assertTrue(ledger.state().halts().isEmpty());
  }

  /** A few at a time, the longest out first, and on after any break, for it is the ledger's own. */
  @Test
  void allComesBackAtAPace() {
    ask("s0", 0);
    ask("s4", 0);
    tell(new Command.Ask("f1", "s5", "op", "why", 0, true));
    tell(new Command.Ask("f2", "s1", "op", "why", 0, true));
    tell(new Command.Back("", "op"));
    DisruptionLedger other = new DisruptionLedger();
    other.restore(ledger.state());
    assertEquals(ledger.state(), other.state());
    for (String expected : List.of("s0", "s4", "s5", "s1")) {
      List<String> coming = ledger.state().outs().entrySet().stream().filter(e -> e.getValue().phase() == Phase.RETURNING).map(Map.Entry::getKey)
          .toList();
      assertEquals(List.of(expected), coming, "one of all upstreams at a time");
      warm(expected);
    }
    assertTrue(ledger.state().outs().isEmpty());
    assertTrue(ledger.state().back().isEmpty(), "the way back has ended");
    assertEquals(ResultCode.GRANTED, ask("s0", 0).word());
    assertEquals(Phase.GRANTED, phase("s0"), "and brings back nobody who goes later");
  }

  @Test
  void forcingPassesEveryLimitAndIsOnRecord() {
    tell(new Command.Halt("storm", "op", ""));
    Reply r = tell(new Command.Ask("f", "s0", "op", "fire", 0, true));
    assertEquals(ResultCode.GRANTED, r.word());
    assertTrue(ledger.state().outs().get("s0").forced());
    assertTrue(ledger.state().history().stream().anyMatch(c -> c.what().equals("forced") && c.why().equals("fire")));
  }

  @Test
  void anOldPermitSaysNothingOfTheNextOne() {
    long epoch = ask("s0", 0).epoch();
    tell(new Command.Return("s0", "op", ledger.state().outs().get("s0").epoch()));
    warm("s0");
    ask("s0", 0);
    assertEquals(ResultCode.OLD_EPOCH, tell(new Command.Left("s0", epoch)).word());
    assertEquals(Phase.GRANTED, phase("s0"));
  }

  @Test
  void oneThatIsOutKeepsItsPlaceWhateverTheListSays() {
    ask("s0", 0);
    assertEquals(ResultCode.STILL_OUT, tell(new Command.Strike("s0")).word());
    tell(new Command.Strike("s7"));
    assertEquals(ResultCode.UNKNOWN_MEMBER, ask("s7", 0).word());
  }

  @Test
  void aWithdrawnAskIsOverAndAWithdrawnPermitComesBackLikeAnyOther() {
    ask("s0", 0);
    ask("s1", 60_000);
    tell(new Command.Withdraw("a2"));
    assertTrue(ledger.state().queue().isEmpty());
    tell(new Command.Withdraw("a1"));
    assertEquals(Phase.RETURNING, phase("s0"), "modules may have drained it");
  }

  /** A voter that moves to another group while it is out is counted there, and no longer here. */
  @Test
  void groupsMayChangeAtAnyTime() {
    ask("s0", 0);
    tell(new Command.Return("s0", "op", ledger.state().outs().get("s0").epoch()));
    tell(new Command.Enrol("s0", MemberKind.UPSTREAM, List.of("upstreams", "cell:1")));
    assertEquals(ResultCode.GRANTED, ask("s1", 0).word());
    warm("s0");
    assertEquals(1, ledger.state().outs().size());
    DisruptionLedger other = new DisruptionLedger();
    other.restore(ledger.state());
    assertEquals(ResultCode.GRANTED, other.apply(++index, ++now, new Command.Ask("z", "s4", "op", "", 0, false)).word());
  }

  /** What others send is bounded. */
  @Test
  void itIsBounded() {
    String big = "x".repeat(300);
    assertThrows(IllegalArgumentException.class, () -> new Command.Enrol(big, MemberKind.UPSTREAM, List.of()));
    assertThrows(IllegalArgumentException.class, () -> new Command.Ask("q", "s0", "op", big, 0, false));
    tell(new Command.Halt("h", "op", ""));
    for (int i = 0; i < DisruptionLedger.MAX_QUEUED; i++) {
      tell(new Command.Ask("w" + i, "s0", "op", "", 60_000, false));
    }
    assertEquals(ResultCode.TOO_MANY, tell(new Command.Ask("more", "s0", "op", "", 60_000, false)).word());
    for (int i = 0; i < 2 * DisruptionLedger.MAX_HALTS; i++) {
      tell(new Command.Halt("h" + i, "op", ""));
    }
    assertEquals(DisruptionLedger.MAX_HALTS, ledger.state().halts().size());
    assertTrue(ledger.state().history().size() <= 500);
  }
}
