package cloverpulley.outs;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * What who leads the ledger makes of those it hears, and of the list of upstreams it holds: the commands that bring the ledger up to it.
 * Time is any that does not go back; whoever leads anew hears everybody from then on, so that a change of leader takes nobody for silent.
 * One thread at a time.
 */
public final class MembershipReconciler {

  /** One to be enrolled: an instance that looks, or an upstream of the list. */
  public record Registration(MemberKind kind, List<String> groups) {}

  private static final int MOST_HEARD = 5_000;
  /** So many instances at least have to be pressed before all is halted: no one's word does that. */
  private static final int LEAST_PRESSED = 2;

  private final String me;
  private final long silentMillis;
  private final Map<String, InstanceHeartbeats> heard = new TreeMap<>();
  private final Map<String, Long> toldAt = new HashMap<>();
  private Map<String, Registration> upstreams = Map.of();
  private boolean leads;
  private long ledBy;

  /**
   * @param me the name of who leads here
   * @param silentMillis after so long without a word an instance counts as out
   */
  public MembershipReconciler(String me, long silentMillis) {
    this.me = me;
    this.silentMillis = silentMillis;
  }

  /** A process of an instance has looked. */
  public void recordHeartbeat(long nowMillis, String name, Heartbeat look) {
    if (!heard.containsKey(name) && heard.size() >= MOST_HEARD) {
      // Guards the memory, and those who come later, from names that were heard once.
      heard.values().removeIf(h -> nowMillis - h.atMillis() > silentMillis);
    }
    if (heard.containsKey(name) || heard.size() < MOST_HEARD) {
      heard.computeIfAbsent(name, n -> new InstanceHeartbeats()).record(nowMillis, look, silentMillis);
    }
  }

  /** The upstreams that there are; an empty list is no list. */
  public void setUpstreams(Map<String, Registration> all) {
    if (!all.isEmpty()) {
      upstreams = Map.copyOf(all);
    }
  }

  /** What the ledger is to be told now; nothing where this one does not lead. */
  public List<Command> reconcile(long nowMillis, boolean isLeading, LedgerState s) {
    if (!isLeading) {
      leads = false;
      return List.of();
    }
    if (!leads) {
      leads = true;
      ledBy = nowMillis;
      toldAt.clear();
    }
    List<Command> told = new ArrayList<>();
    heard.forEach((name, h) -> enrol(told, s, name, h.as()));
    upstreams.forEach((name, e) -> enrol(told, s, name, e));
    s.members().forEach((name, m) -> {
      if (m.kind() == MemberKind.UPSTREAM && !upstreams.isEmpty() && !upstreams.containsKey(name) && !s.outs().containsKey(name)) {
        told.add(new Command.Strike(name)); // One that is out stays, listed or not: it holds its place until it is seen back.
      } else if (m.kind() == MemberKind.BALANCER) {
        hear(told, nowMillis, s, name, m);
      }
    });
    press(told, nowMillis, s);
    if (!s.queue().isEmpty() || !s.back().isEmpty()) {
      told.add(new Command.Tick());
    }
    return told;
  }

  private static void enrol(List<Command> told, LedgerState s, String name, Registration e) {
    Command.Enrol wanted = new Command.Enrol(name, e.kind(), e.groups());
    LedgerState.Member is = s.members().get(name);
    if (is == null || is.kind() != wanted.kind() || !is.groups().equals(wanted.groups())) {
      told.add(wanted);
    }
  }

  private void hear(List<Command> told, long now, LedgerState s, String name, LedgerState.Member m) {
    InstanceHeartbeats h = heard.get(name);
    long since = h == null ? ledBy : Math.max(ledBy, h.atMillis());
    boolean isSilent = now - since > silentMillis;
    LedgerState.Permit out = s.outs().get(name);
    boolean returning = out != null && out.phase() == Phase.RETURNING;
    boolean news = isSilent != m.unwell() && (isSilent || h != null && h.atMillis() >= ledBy) || returning && !isSilent;
    if (news && now - toldAt.getOrDefault(name, Long.MIN_VALUE / 2) >= silentMillis / 4) {
      toldAt.put(name, now);
      told.add(new Command.Seen(me, name, isSilent ? Health.SILENT : Health.WARM, s.index()));
    }
  }

  /**
   * Where most of the instances that are there refuse too much, nobody is to take out more. The halt is lifted by its name, and comes again
   * while this holds.
   */
  private void press(List<Command> told, long now, LedgerState s) {
    double bound = s.rules().refusedPart();
    if (bound >= 1 || s.halts().containsKey(DisruptionLedger.REJECTION_HALT)) {
      return;
    }
    List<InstanceHeartbeats> there = heard.values().stream().filter(h -> now - h.atMillis() <= silentMillis).toList();
    long pressed = there.stream().filter(h -> h.refused() >= bound).count();
    if (pressed >= LEAST_PRESSED && 2 * pressed > there.size()) {
      told.add(new Command.Halt(DisruptionLedger.REJECTION_HALT, "ledger", pressed + " of " + there.size() + " instances refuse too much"));
    }
  }

  /** Instances in service that have not acted on all up to an index; those that are out or silent are not waited for. */
  public List<String> laggingInstances(long nowMillis, long index, LedgerState s) {
    return s.members().entrySet().stream()
        .filter(e -> e.getValue().kind() == MemberKind.BALANCER && !e.getValue().unwell() && !s.outs().containsKey(e.getKey()))
        .map(Map.Entry::getKey).filter(name -> heard.get(name) == null || !heard.get(name).hasActed(nowMillis, index, silentMillis)).toList();
  }
}
