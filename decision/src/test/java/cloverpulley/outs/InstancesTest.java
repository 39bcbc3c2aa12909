package cloverpulley.outs;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** What an instance does about the ledger and reports to it about upstreams, and what the leader reports about instances. */
class InstancesTest {

  private final DisruptionLedger ledger = new DisruptionLedger();
  private long index;
  private long now = 5000;

  private Reply apply(Command c) {
    return ledger.apply(++index, now, c);
  }

  private void applyAll(List<Command> all) {
    all.forEach(this::apply);
  }

  @Test
  void anInstanceAppliesEachChangeOnceAndIgnoresOlderStates() {
    apply(new Command.Rules(1, Map.of(), 1, 10_000, 1, 1));
    apply(new Command.Enrol("s1", MemberKind.UPSTREAM, List.of()));
    apply(new Command.Enrol("b1", MemberKind.BALANCER, List.of()));
    LedgerState before = ledger.state();
    apply(new Command.Ask("a", "s1", "op", "", 0, false));
    apply(new Command.Ask("b", "b1", "op", "", 0, false));
    now += 700;
    apply(new Command.Tick());
    UpstreamReconciler reconciler = new UpstreamReconciler();
    assertEquals(List.of(new UpstreamReconciler.Action.SetOffline("s1", 700)), reconciler.reconcile(ledger.state().instanceView()),
        "a balancer's permit concerns no upstream");
    assertEquals(List.of(), reconciler.reconcile(ledger.state().instanceView()));
    assertEquals(List.of(), reconciler.reconcile(before), "a lagging voter sets nothing online");
    apply(new Command.Return("s1", "op", ledger.state().outs().get("s1").epoch()));
    assertEquals(List.of(new UpstreamReconciler.Action.SetOnline("s1")), reconciler.reconcile(ledger.state().instanceView()));
    assertEquals(index, reconciler.index());
  }

  @Test
  void anInstanceReportsFailingAndRecoveredUpstreams() {
    apply(new Command.Rules(1, Map.of(), 1, 10_000, 1, 1));
    apply(new Command.Enrol("s1", MemberKind.UPSTREAM, List.of()));
    UpstreamHealthMonitor monitor = new UpstreamHealthMonitor("b1", 3000, 1000);
    monitor.recordAttempt(0, "s1", true, false);
    assertEquals(List.of(), monitor.pendingReports(0, ledger.state()), "nothing to report");
    monitor.recordAttempt(1, "s1", false, false);
    monitor.recordAttempt(2, "s1", false, false);
    assertEquals(List.of(), monitor.pendingReports(2, ledger.state()), "two failures are not enough");
    monitor.recordAttempt(3, "s1", false, false);
    List<Command> dead = List.of(new Command.Seen("b1", "s1", Health.DEAD, index));
    assertEquals(dead, monitor.pendingReports(3, ledger.state()));
    assertEquals(List.of(), monitor.pendingReports(4, ledger.state()), "reported already");
    assertEquals(dead, monitor.pendingReports(1003, ledger.state()), "and repeated after the interval");
    applyAll(dead);
    monitor.recordAttempt(1100, "s1", true, false);
    List<Command> warm = List.of(new Command.Seen("b1", "s1", Health.WARM, index));
    assertEquals(warm, monitor.pendingReports(1100, ledger.state()));
    applyAll(warm);
    assertEquals(List.of(), monitor.pendingReports(2200, ledger.state()));
    apply(new Command.Ask("a", "s1", "op", "", 0, false));
    for (int i = 0; i < 5; i++) {
      monitor.recordAttempt(2300, "s1", false, true);
    }
    assertEquals(List.of(), monitor.pendingReports(2300, ledger.state()), "failures are expected while it is out");
    apply(new Command.Return("s1", "op", ledger.state().outs().get("s1").epoch()));
    monitor.recordAttempt(2400, "s1", true, false);
    assertEquals(List.of(), monitor.pendingReports(2400, ledger.state()), "back, in slow start");
    monitor.recordAttempt(6000, "s1", true, false);
    List<Command> again = List.of(new Command.Seen("b1", "s1", Health.WARM, index));
    assertEquals(again, monitor.pendingReports(6000, ledger.state()));
    applyAll(again);
    assertTrue(ledger.state().outs().isEmpty());
  }

  @Test
  void theLeaderEnrolsInstancesAndReportsUnresponsiveOnes() {
    apply(new Command.Rules(1, Map.of("balancers", new Limit(1, 1, 1)), 1, 10_000, 1, 1));
    MembershipReconciler reconciler = new MembershipReconciler("b1", 1000);
    reconciler.recordHeartbeat(0, "b1", new Heartbeat("p", List.of("balancers"), 0, 0));
    reconciler.recordHeartbeat(0, "b2", new Heartbeat("p", List.of("balancers"), 0, 0));
    reconciler.setUpstreams(Map.of("s1", new MembershipReconciler.Registration(MemberKind.UPSTREAM, List.of("u"))));
    assertEquals(List.of(), reconciler.reconcile(0, false, ledger.state()), "not while another voter leads");
    applyAll(reconciler.reconcile(100, true, ledger.state()));
    assertEquals(3, ledger.state().members().size());
    assertEquals(List.of("b1", "b2"), reconciler.laggingInstances(900, index, ledger.state()));
    reconciler.recordHeartbeat(900, "b1", new Heartbeat("p", List.of("balancers"), index, 0));
    assertEquals(List.of("b2"), reconciler.laggingInstances(900, index, ledger.state()));
    applyAll(reconciler.reconcile(1050, true, ledger.state()));
    assertEquals(false, ledger.state().members().get("b2").unwell());
    reconciler.recordHeartbeat(1100, "b1", new Heartbeat("p", List.of("balancers"), index, 0));
    applyAll(reconciler.reconcile(1200, true, ledger.state()));
    assertEquals(true, ledger.state().members().get("b2").unwell());
    assertEquals(ResultCode.LIMIT, apply(new Command.Ask("a", "b1", "op", "", 0, false)).word(), "the unresponsive one uses the only slot");
    assertEquals(List.of(), reconciler.laggingInstances(1200, 1, ledger.state()), "an unresponsive instance is not waited for");
    reconciler.recordHeartbeat(2000, "b2", new Heartbeat("p", List.of("balancers"), index, 0));
    reconciler.recordHeartbeat(2000, "b1", new Heartbeat("p", List.of("balancers"), index, 0));
    applyAll(reconciler.reconcile(2000, true, ledger.state()));
    assertEquals(false, ledger.state().members().get("b2").unwell());
  }

  /** A new leader has received no heartbeats yet, which must not mark instances as unresponsive. */
  @Test
  void aNewLeaderMarksNobodyAsUnresponsiveAtOnce() {
    apply(new Command.Enrol("b2", MemberKind.BALANCER, List.of()));
    MembershipReconciler reconciler = new MembershipReconciler("b1", 1000);
    assertEquals(List.of(), reconciler.reconcile(500_000, true, ledger.state()));
    assertEquals(List.of(), reconciler.reconcile(500_900, true, ledger.state()));
    assertEquals(List.of(new Command.Seen("b1", "b2", Health.SILENT, index)), reconciler.reconcile(501_100, true, ledger.state()));
  }

  @Test
  void anUpstreamMissingInTheListIsRemovedUnlessItIsOut() {
    apply(new Command.Rules(1, Map.of(), 1, 10_000, 1, 1));
    apply(new Command.Enrol("s1", MemberKind.UPSTREAM, List.of()));
    apply(new Command.Enrol("s2", MemberKind.UPSTREAM, List.of()));
    apply(new Command.Ask("a", "s1", "op", "", 0, false));
    MembershipReconciler reconciler = new MembershipReconciler("b1", 1000);
    reconciler.setUpstreams(Map.of());
    assertEquals(List.of(), reconciler.reconcile(0, true, ledger.state()), "an empty list counts as missing");
    reconciler.setUpstreams(Map.of("s3", new MembershipReconciler.Registration(MemberKind.UPSTREAM, List.of())));
    assertEquals(List.of(new Command.Enrol("s3", MemberKind.UPSTREAM, List.of()), new Command.Strike("s2")),
        reconciler.reconcile(0, true, ledger.state()));
  }

  /** During an upgrade two processes of one name are one member: responsive while one is, and up to date once both are. */
  @Test
  void twoProcessesOfOneNameAreOneMember() {
    apply(new Command.Rules(1, Map.of("balancers", new Limit(1, 1, 1)), 1, 10_000, 1, 1));
    MembershipReconciler reconciler = new MembershipReconciler("b1", 1000);
    reconciler.recordHeartbeat(0, "b1", new Heartbeat("p", List.of("balancers"), 0, 0));
    reconciler.recordHeartbeat(0, "b2", new Heartbeat("old", List.of("balancers"), 0, 0));
    applyAll(reconciler.reconcile(0, true, ledger.state()));
    reconciler.recordHeartbeat(100, "b1", new Heartbeat("p", List.of("balancers"), index, 0));
    reconciler.recordHeartbeat(100, "b2", new Heartbeat("new", List.of("balancers"), index, 0));
    reconciler.recordHeartbeat(110, "b2", new Heartbeat("old", List.of("balancers"), 0, 0));
    assertEquals(2, ledger.state().members().size());
    assertEquals(List.of("b2"), reconciler.laggingInstances(200, index, ledger.state()),
        "a heartbeat of the successor does not count for its predecessor");
    reconciler.recordHeartbeat(300, "b2", new Heartbeat("old", List.of("balancers"), index, 0));
    assertEquals(List.of(), reconciler.laggingInstances(300, index, ledger.state()));
    reconciler.recordHeartbeat(400, "b2", new Heartbeat("old", List.of("balancers"), 0, 0));
    for (long t = 500; t <= 1500; t += 500) {
      reconciler.recordHeartbeat(t, "b1", new Heartbeat("p", List.of("balancers"), index, 0));
      reconciler.recordHeartbeat(t, "b2", new Heartbeat("new", List.of("balancers"), index, 0));
    }
    applyAll(reconciler.reconcile(1500, true, ledger.state()));
    assertEquals(false, ledger.state().members().get("b2").unwell(), "its predecessor ended, the instance did not");
    assertEquals(List.of(), reconciler.laggingInstances(1500, index, ledger.state()), "a process that ended is not waited for");
  }

  /** Grants are halted when most instances reject too many requests, never by a single one; the halt is placed again while that lasts. */
  @Test
  void rejectionsOfMostInstancesHaltGrants() {
    apply(new Command.Rules(1, Map.of(), 1, 10_000, 1, 0.3));
    apply(new Command.Enrol("s1", MemberKind.UPSTREAM, List.of()));
    MembershipReconciler reconciler = new MembershipReconciler("b1", 1000);
    double[][] ratios = {{0.9, 0, 0, 0}, {0.9, 0.9, 0, 0}, {0.9, 0.9, 0.3, 0}};
    for (int i = 0; i < ratios.length; i++) {
      for (int b = 0; b < 4; b++) {
        reconciler.recordHeartbeat(i, "b" + b, new Heartbeat("p", List.of(), 0, ratios[i][b]));
      }
      applyAll(reconciler.reconcile(i, true, ledger.state()));
      assertEquals(i == 2, ledger.state().halts().containsKey(DisruptionLedger.REJECTION_HALT), "at step " + i);
    }
    assertEquals(ResultCode.HALTED, apply(new Command.Ask("a", "s1", "op", "", 0, false)).word());
    apply(new Command.Resume(DisruptionLedger.REJECTION_HALT, "op"));
    applyAll(reconciler.reconcile(4, true, ledger.state()));
    assertTrue(ledger.state().halts().containsKey(DisruptionLedger.REJECTION_HALT), "the condition still holds");
    apply(new Command.Resume(DisruptionLedger.REJECTION_HALT, "op"));
    applyAll(reconciler.reconcile(5000, true, ledger.state()));
    assertEquals(Map.of(), ledger.state().halts(), "old heartbeats do not count");
  }

  @Test
  void theRejectionRateCoversTheLastTenSeconds() {
    RejectionRate r = new RejectionRate();
    assertEquals(0, r.update(0, 0, 0));
    assertEquals(0, r.update(100, 10, 10), "ten requests are too few");
    assertEquals(0.5, r.update(1000, 100, 50));
    for (long t = 1500; t <= 12_000; t += 500) {
      r.update(t, 100 + t / 10, 50);
    }
    assertEquals(0, r.update(12_500, 1500, 50), "older requests do not count");
    for (long t = 13_000; t < 100_000; t += 10) {
      r.update(t, 1500 + t, 50 + t);
    }
    assertEquals(1, r.update(100_000, 101_500, 100_050));
  }
}
