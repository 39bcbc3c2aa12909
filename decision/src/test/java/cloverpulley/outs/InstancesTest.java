package cloverpulley.outs;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** What an instance does about the ledger, tells it of upstreams, and what who leads tells it of instances. */
class InstancesTest {

  private final DisruptionLedger ledger = new DisruptionLedger();
  private long index;
  private long now = 5000;

  private Reply tell(Command c) {
    return ledger.apply(++index, now, c);
  }

  private void tellAll(List<Command> all) {
    all.forEach(this::tell);
  }

  @Test
  void anInstanceActsOnEachChangeOnceAndOnNoOlderLook() {
    tell(new Command.Rules(1, Map.of(), 1, 10_000, 1, 1));
    tell(new Command.Enrol("s1", MemberKind.UPSTREAM, List.of()));
    tell(new Command.Enrol("b1", MemberKind.BALANCER, List.of()));
    LedgerState before = ledger.state();
    tell(new Command.Ask("a", "s1", "op", "", 0, false));
    tell(new Command.Ask("b", "b1", "op", "", 0, false));
    now += 700;
    tell(new Command.Tick());
    UpstreamReconciler acting = new UpstreamReconciler();
    assertEquals(List.of(new UpstreamReconciler.Action.SetOffline("s1", 700)), acting.reconcile(ledger.state().instanceView()), "a balancer's out is not the module's business");
    assertEquals(List.of(), acting.reconcile(ledger.state().instanceView()));
    assertEquals(List.of(), acting.reconcile(before), "a voter that lags brings nothing back");
    tell(new Command.Return("s1", "op", ledger.state().outs().get("s1").epoch()));
    assertEquals(List.of(new UpstreamReconciler.Action.SetOnline("s1")), acting.reconcile(ledger.state().instanceView()));
    assertEquals(index, acting.index());
  }

  @Test
  void anInstanceTellsOfWhatFailsAndOfWhatIsWarmAgain() {
    tell(new Command.Rules(1, Map.of(), 1, 10_000, 1, 1));
    tell(new Command.Enrol("s1", MemberKind.UPSTREAM, List.of()));
    UpstreamHealthMonitor watch = new UpstreamHealthMonitor("b1", 3000, 1000);
    watch.recordAttempt(0, "s1", true, false);
    assertEquals(List.of(), watch.pendingReports(0, ledger.state()), "nothing new");
    watch.recordAttempt(1, "s1", false, false);
    watch.recordAttempt(2, "s1", false, false);
    assertEquals(List.of(), watch.pendingReports(2, ledger.state()), "two failures are an accident");
    watch.recordAttempt(3, "s1", false, false);
    List<Command> dead = List.of(new Command.Seen("b1", "s1", Health.DEAD, index));
    assertEquals(dead, watch.pendingReports(3, ledger.state()));
    assertEquals(List.of(), watch.pendingReports(4, ledger.state()), "told already");
    assertEquals(dead, watch.pendingReports(1003, ledger.state()), "and told again after a while");
    tellAll(dead);
    watch.recordAttempt(1100, "s1", true, false);
    List<Command> warm = List.of(new Command.Seen("b1", "s1", Health.WARM, index));
    assertEquals(warm, watch.pendingReports(1100, ledger.state()));
    tellAll(warm);
    assertEquals(List.of(), watch.pendingReports(2200, ledger.state()));
    tell(new Command.Ask("a", "s1", "op", "", 0, false));
    for (int i = 0; i < 5; i++) {
      watch.recordAttempt(2300, "s1", false, true);
    }
    assertEquals(List.of(), watch.pendingReports(2300, ledger.state()), "nobody wonders that one fails which is out");
    tell(new Command.Return("s1", "op", ledger.state().outs().get("s1").epoch()));
    watch.recordAttempt(2400, "s1", true, false);
    assertEquals(List.of(), watch.pendingReports(2400, ledger.state()), "back and cold");
    watch.recordAttempt(6000, "s1", true, false);
    List<Command> again = List.of(new Command.Seen("b1", "s1", Health.WARM, index));
    assertEquals(again, watch.pendingReports(6000, ledger.state()));
    tellAll(again);
    assertTrue(ledger.state().outs().isEmpty());
  }

  @Test
  void whoLeadsEnrolsThoseThatAreHeardAndTellsOfTheSilent() {
    tell(new Command.Rules(1, Map.of("balancers", new Limit(1, 1, 1)), 1, 10_000, 1, 1));
    MembershipReconciler roll = new MembershipReconciler("b1", 1000);
    roll.recordHeartbeat(0, "b1", new Heartbeat("p", List.of("balancers"), 0, 0));
    roll.recordHeartbeat(0, "b2", new Heartbeat("p", List.of("balancers"), 0, 0));
    roll.setUpstreams(Map.of("s1", new MembershipReconciler.Registration(MemberKind.UPSTREAM, List.of("u"))));
    assertEquals(List.of(), roll.reconcile(0, false, ledger.state()), "not while another leads");
    tellAll(roll.reconcile(100, true, ledger.state()));
    assertEquals(3, ledger.state().members().size());
    assertEquals(List.of("b1", "b2"), roll.laggingInstances(900, index, ledger.state()));
    roll.recordHeartbeat(900, "b1", new Heartbeat("p", List.of("balancers"), index, 0));
    assertEquals(List.of("b2"), roll.laggingInstances(900, index, ledger.state()));
    tellAll(roll.reconcile(1050, true, ledger.state()));
    assertEquals(false, ledger.state().members().get("b2").unwell());
    roll.recordHeartbeat(1100, "b1", new Heartbeat("p", List.of("balancers"), index, 0));
    tellAll(roll.reconcile(1200, true, ledger.state()));
    assertEquals(true, ledger.state().members().get("b2").unwell());
    assertEquals(ResultCode.LIMIT, tell(new Command.Ask("a", "b1", "op", "", 0, false)).word(), "the one place is the silent one's");
    assertEquals(List.of(), roll.laggingInstances(1200, 1, ledger.state()), "nobody waits for one that is silent");
    roll.recordHeartbeat(2000, "b2", new Heartbeat("p", List.of("balancers"), index, 0));
    roll.recordHeartbeat(2000, "b1", new Heartbeat("p", List.of("balancers"), index, 0));
    tellAll(roll.reconcile(2000, true, ledger.state()));
    assertEquals(false, ledger.state().members().get("b2").unwell());
  }

  /** Who begins to lead has heard nobody yet: that is no silence. */
  @Test
  void aChangeOfLeaderTakesNobodyForSilent() {
    tell(new Command.Enrol("b2", MemberKind.BALANCER, List.of()));
    MembershipReconciler roll = new MembershipReconciler("b1", 1000);
    assertEquals(List.of(), roll.reconcile(500_000, true, ledger.state()));
    assertEquals(List.of(), roll.reconcile(500_900, true, ledger.state()));
    assertEquals(List.of(new Command.Seen("b1", "b2", Health.SILENT, index)), roll.reconcile(501_100, true, ledger.state()));
  }

  @Test
  void anUpstreamThatTheListHasNoMoreIsStruckUnlessItIsOut() {
    tell(new Command.Rules(1, Map.of(), 1, 10_000, 1, 1));
    tell(new Command.Enrol("s1", MemberKind.UPSTREAM, List.of()));
    tell(new Command.Enrol("s2", MemberKind.UPSTREAM, List.of()));
    tell(new Command.Ask("a", "s1", "op", "", 0, false));
    MembershipReconciler roll = new MembershipReconciler("b1", 1000);
    roll.setUpstreams(Map.of());
    assertEquals(List.of(), roll.reconcile(0, true, ledger.state()), "no list is not an empty one");
    roll.setUpstreams(Map.of("s3", new MembershipReconciler.Registration(MemberKind.UPSTREAM, List.of())));
    assertEquals(List.of(new Command.Enrol("s3", MemberKind.UPSTREAM, List.of()), new Command.Strike("s2")), roll.reconcile(0, true, ledger.state()));
  }

  /** An upgrade: two processes of one name are one member, which is there while one is, and has acted once both have. */
  @Test
  void twoProcessesOfOneNameAreOneMember() {
    tell(new Command.Rules(1, Map.of("balancers", new Limit(1, 1, 1)), 1, 10_000, 1, 1));
    MembershipReconciler roll = new MembershipReconciler("b1", 1000);
    roll.recordHeartbeat(0, "b1", new Heartbeat("p", List.of("balancers"), 0, 0));
    roll.recordHeartbeat(0, "b2", new Heartbeat("old", List.of("balancers"), 0, 0));
    tellAll(roll.reconcile(0, true, ledger.state()));
    roll.recordHeartbeat(100, "b1", new Heartbeat("p", List.of("balancers"), index, 0));
    roll.recordHeartbeat(100, "b2", new Heartbeat("new", List.of("balancers"), index, 0));
    roll.recordHeartbeat(110, "b2", new Heartbeat("old", List.of("balancers"), 0, 0));
    assertEquals(2, ledger.state().members().size());
    assertEquals(List.of("b2"), roll.laggingInstances(200, index, ledger.state()), "the successor's word is not its predecessor's");
    roll.recordHeartbeat(300, "b2", new Heartbeat("old", List.of("balancers"), index, 0));
    assertEquals(List.of(), roll.laggingInstances(300, index, ledger.state()));
    roll.recordHeartbeat(400, "b2", new Heartbeat("old", List.of("balancers"), 0, 0));
    for (long t = 500; t <= 1500; t += 500) {
      roll.recordHeartbeat(t, "b1", new Heartbeat("p", List.of("balancers"), index, 0));
      roll.recordHeartbeat(t, "b2", new Heartbeat("new", List.of("balancers"), index, 0));
    }
    tellAll(roll.reconcile(1500, true, ledger.state()));
    assertEquals(false, ledger.state().members().get("b2").unwell(), "its predecessor ended, the instance did not");
    assertEquals(List.of(), roll.laggingInstances(1500, index, ledger.state()), "one that has ended is not waited for");
  }

  /** Refusals halt grants by the word of most, never by one instance's; the halt comes again while it holds. */
  @Test
  void mostInstancesRefusingTooMuchHaltGrants() {
    tell(new Command.Rules(1, Map.of(), 1, 10_000, 1, 0.3));
    tell(new Command.Enrol("s1", MemberKind.UPSTREAM, List.of()));
    MembershipReconciler roll = new MembershipReconciler("b1", 1000);
    double[][] told = {{0.9, 0, 0, 0}, {0.9, 0.9, 0, 0}, {0.9, 0.9, 0.3, 0}};
    for (int i = 0; i < told.length; i++) {
      for (int b = 0; b < 4; b++) {
        roll.recordHeartbeat(i, "b" + b, new Heartbeat("p", List.of(), 0, told[i][b]));
      }
      tellAll(roll.reconcile(i, true, ledger.state()));
      assertEquals(i == 2, ledger.state().halts().containsKey(DisruptionLedger.REJECTION_HALT), "at step " + i);
    }
    assertEquals(ResultCode.HALTED, tell(new Command.Ask("a", "s1", "op", "", 0, false)).word());
    tell(new Command.Resume(DisruptionLedger.REJECTION_HALT, "op"));
    tellAll(roll.reconcile(4, true, ledger.state()));
    assertTrue(ledger.state().halts().containsKey(DisruptionLedger.REJECTION_HALT), "it holds still");
    tell(new Command.Resume(DisruptionLedger.REJECTION_HALT, "op"));
    tellAll(roll.reconcile(5000, true, ledger.state()));
    assertEquals(Map.of(), ledger.state().halts(), "words that are old say nothing");
  }

  @Test
  void thePartRefusedIsThatOfTheLastTenSeconds() {
    RejectionRate r = new RejectionRate();
    assertEquals(0, r.update(0, 0, 0));
    assertEquals(0, r.update(100, 10, 10), "ten requests say nothing");
    assertEquals(0.5, r.update(1000, 100, 50));
    for (long t = 1500; t <= 12_000; t += 500) {
      r.update(t, 100 + t / 10, 50);
    }
    assertEquals(0, r.update(12_500, 1500, 50), "what is longer ago is over");
    for (long t = 13_000; t < 100_000; t += 10) {
      r.update(t, 1500 + t, 50 + t);
    }
    assertEquals(1, r.update(100_000, 101_500, 100_050));
  }
}
