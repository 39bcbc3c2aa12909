package cloverpulley.outs;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * Applies the ledger to an instance's upstreams: each upstream with a permit is set offline, each that returns is set online. A state older
 * than the last one is ignored, so that a lagging voter can't bring an upstream back too early. Not thread-safe.
 */
public final class UpstreamReconciler {

  /** A change of an upstream's administrative state. */
  public sealed interface Action {
    /** No new requests go to the upstream, which has been out for {@code forMillis} already. */
    record SetOffline(String upstream, long forMillis) implements Action {}

    /** The upstream may serve again, in slow start. */
    record SetOnline(String upstream) implements Action {}
  }

  private final Set<String> offline = new TreeSet<>();
  private long index;

  /** Returns the actions that bring the upstreams in line with a state of the ledger, in order. */
  public List<Action> reconcile(LedgerState s) {
    if (s.index() < index) {
      return List.of();
    }
    index = s.index();
    List<Action> actions = new ArrayList<>();
    Set<String> wanted = new TreeSet<>();
    for (Map.Entry<String, LedgerState.Permit> e : s.outs().entrySet()) {
      LedgerState.Member m = s.members().get(e.getKey());
      if (m != null && m.kind() == MemberKind.UPSTREAM && e.getValue().phase() != Phase.RETURNING) {
        wanted.add(e.getKey());
        if (offline.add(e.getKey())) {
          actions.add(new Action.SetOffline(e.getKey(), Math.max(0, s.nowMillis() - e.getValue().sinceMillis())));
        }
      }
    }
    for (String name : List.copyOf(offline)) {
      if (!wanted.contains(name)) {
        offline.remove(name);
        actions.add(new Action.SetOnline(name));
      }
    }
    return actions;
  }

  /** The log index of the last state that was applied. */
  public long index() {
    return index;
  }
}
