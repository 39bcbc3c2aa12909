package cloverpulley.outs;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Runs on every voter and is active on the leader: compares the heartbeats of instances and the list of upstreams with the ledger, and
 * proposes the commands that bring the ledger up to date. Time comes from any monotonic clock. A new leader measures silence from the moment
 * it was elected, so that a change of leader marks no instance as unresponsive. Not thread-safe.
 */
public final class MembershipReconciler {

  /** A member to be enrolled: an instance that sends heartbeats, or an upstream of the list. */
  public record Registration(MemberKind kind, List<String> groups) {}

  private static final int MAX_INSTANCES = 5_000;
  /** Minimum number of overloaded instances for a halt, so that a single instance can't cause one. */
  private static final int MIN_OVERLOADED = 2;

  private final String observer;
  private final long silentMillis;
  private final Map<String, InstanceHeartbeats> heartbeats = new TreeMap<>();
  private final Map<String, Long> reportedAt = new HashMap<>();
  private Map<String, Registration> upstreams = Map.of();
  private boolean wasLeading;
  private long leaderSince;

  /**
   * @param observer the name of this voter
   * @param silentMillis an instance counts as unresponsive after this time without a heartbeat
   */
  public MembershipReconciler(String observer, long silentMillis) {
    this.observer = observer;
    this.silentMillis = silentMillis;
  }

  /** Records a heartbeat of a process of an instance. */
  public void recordHeartbeat(long nowMillis, String name, Heartbeat heartbeat) {
    if (!heartbeats.containsKey(name) && heartbeats.size() >= MAX_INSTANCES) {
      // Names that sent a heartbeat only once must not fill the table and lock out later instances.
      heartbeats.values().removeIf(h -> nowMillis - h.atMillis() > silentMillis);
    }
    if (heartbeats.containsKey(name) || heartbeats.size() < MAX_INSTANCES) {
      heartbeats.computeIfAbsent(name, n -> new InstanceHeartbeats()).add(nowMillis, heartbeat, silentMillis);
    }
  }

  /** Sets the current upstreams. An empty list is taken as missing and ignored. */
  public void setUpstreams(Map<String, Registration> listed) {
    if (!listed.isEmpty()) {
      upstreams = Map.copyOf(listed);
    }
  }

  /** Returns the commands to propose now; none where this voter does not lead. */
  public List<Command> reconcile(long nowMillis, boolean isLeading, LedgerState s) {
    if (!isLeading) {
      wasLeading = false;
      return List.of();
    }
    if (!wasLeading) {
      wasLeading = true;
      leaderSince = nowMillis;
      reportedAt.clear();
    }
    List<Command> commands = new ArrayList<>();
    heartbeats.forEach((name, h) -> enrol(commands, s, name, h.registration()));
    upstreams.forEach((name, r) -> enrol(commands, s, name, r));
    s.members().forEach((name, m) -> {
      if (m.kind() == MemberKind.UPSTREAM && !upstreams.isEmpty() && !upstreams.containsKey(name) && !s.outs().containsKey(name)) {
        commands.add(new Command.Strike(name)); // One with a permit stays, listed or not: it uses its slot until it is back.
      } else if (m.kind() == MemberKind.BALANCER) {
        reportHealth(commands, nowMillis, s, name, m);
      }
    });
    haltIfOverloaded(commands, nowMillis, s);
    if (!s.queue().isEmpty() || !s.back().isEmpty()) {
      commands.add(new Command.Tick());
    }
    return commands;
  }

  private static void enrol(List<Command> commands, LedgerState s, String name, Registration r) {
    Command.Enrol wanted = new Command.Enrol(name, r.kind(), r.groups());
    LedgerState.Member current = s.members().get(name);
    if (current == null || current.kind() != wanted.kind() || !current.groups().equals(wanted.groups())) {
      commands.add(wanted);
    }
  }

  private void reportHealth(List<Command> commands, long now, LedgerState s, String name, LedgerState.Member m) {
    InstanceHeartbeats h = heartbeats.get(name);
    long since = h == null ? leaderSince : Math.max(leaderSince, h.atMillis());
    boolean isUnresponsive = now - since > silentMillis;
    LedgerState.Permit permit = s.outs().get(name);
    boolean returning = permit != null && permit.phase() == Phase.RETURNING;
    boolean needsReport = isUnresponsive != m.unwell() && (isUnresponsive || h != null && h.atMillis() >= leaderSince)
        || returning && !isUnresponsive;
    if (needsReport && now - reportedAt.getOrDefault(name, Long.MIN_VALUE / 2) >= silentMillis / 4) {
      reportedAt.put(name, now);
      commands.add(new Command.Seen(observer, name, isUnresponsive ? Health.SILENT : Health.WARM, s.index()));
    }
  }

  /**
   * Halts grants while most responsive instances reject too many requests. The halt is lifted by its name, and is placed again while the
   * condition holds.
   */
  private void haltIfOverloaded(List<Command> commands, long now, LedgerState s) {
    double bound = s.rules().refusedPart();
    if (bound >= 1 || s.halts().containsKey(DisruptionLedger.REJECTION_HALT)) {
      return;
    }
    List<InstanceHeartbeats> responsive = heartbeats.values().stream().filter(h -> now - h.atMillis() <= silentMillis).toList();
    long overloaded = responsive.stream().filter(h -> h.maxRejectionRatio() >= bound).count();
    if (overloaded >= MIN_OVERLOADED && 2 * overloaded > responsive.size()) {
      commands.add(new Command.Halt(DisruptionLedger.REJECTION_HALT, "ledger",
          overloaded + " of " + responsive.size() + " instances refuse too much"));
    }
  }

  /** Instances in service that have not applied the ledger up to the index; those that are out or unresponsive are left out. */
  public List<String> laggingInstances(long nowMillis, long index, LedgerState s) {
    return s.members().entrySet().stream()
        .filter(e -> e.getValue().kind() == MemberKind.BALANCER && !e.getValue().unwell() && !s.outs().containsKey(e.getKey()))
        .map(Map.Entry::getKey)
        .filter(name -> heartbeats.get(name) == null || !heartbeats.get(name).hasApplied(nowMillis, index, silentMillis)).toList();
  }
}
