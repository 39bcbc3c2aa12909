package cloverpulley.outs;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * What one instance does about the ledger: each upstream that was granted is taken out at its module, each that returns is called back. An
 * older look than the last changes nothing, so that a voter which lags can't bring back what is out. One thread at a time.
 */
public final class UpstreamReconciler {

  /** Something to be done. */
  public sealed interface Action {
    /** Nothing new to it; it was out for so long already. */
    record SetOffline(String upstream, long forMillis) implements Action {}

    /** It may serve again, cold. */
    record SetOnline(String upstream) implements Action {}
  }

  private final Set<String> out = new TreeSet<>();
  private long index;

  /** The ledger as it was looked at; what is to be done now, in order. */
  public List<Action> reconcile(LedgerState s) {
    if (s.index() < index) {
      return List.of();
    }
    index = s.index();
    List<Action> steps = new ArrayList<>();
    Set<String> wanted = new TreeSet<>();
    for (Map.Entry<String, LedgerState.Permit> e : s.outs().entrySet()) {
      LedgerState.Member m = s.members().get(e.getKey());
      if (m != null && m.kind() == MemberKind.UPSTREAM && e.getValue().phase() != Phase.RETURNING) {
        wanted.add(e.getKey());
        if (out.add(e.getKey())) {
          steps.add(new Action.SetOffline(e.getKey(), Math.max(0, s.nowMillis() - e.getValue().sinceMillis())));
        }
      }
    }
    for (String name : List.copyOf(out)) {
      if (!wanted.contains(name)) {
        out.remove(name);
        steps.add(new Action.SetOnline(name));
      }
    }
    return steps;
  }

  /** The look that was acted on last. */
  public long index() {
    return index;
  }
}
