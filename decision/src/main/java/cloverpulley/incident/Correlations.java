package cloverpulley.incident;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Finds what several instances saw of one and the same thing, which ties their clocks together: the first telling of a list's revision,
 * and a caller's request that came to two of them, or that the caller itself recorded. Each thing counts once an instance; how many are
 * kept is bounded.
 */
public final class Correlations {

  /** Between two instances' hearing of one revision: a list is asked for every 10 s at most (Balancer.Contract), a watch answers sooner. */
  public static final long LIST_SLACK = 2_000_000L;
  private static final int MOST_SEEN = 200_000;
  private static final int MOST_TIES = 200_000;
  /** Of a caller's calls one in so many is kept once there are enough: each is worth no more than the tightest between two knots. */
  private static final int ENOUGH = 50_000;

  private record Seen(String instance, long at) {}

  /** A list: two fleets may use one number. */
  private record Held(long revision, long holds) {}

  private final Map<Held, List<Seen>> revisions = new HashMap<>();
  private final Map<String, Entry> calls = new HashMap<>();
  private final List<Clocks.Correlation> correlations = new ArrayList<>();

  /** Takes a record, of any instance, in any order. */
  public void add(Entry e) {
    if (e.kind() == Kind.LIST && e.value() > 0) {
      List<Seen> all = revisions.computeIfAbsent(new Held(e.value(), e.key()), r -> new ArrayList<>(2));
      if (revisions.size() <= MOST_SEEN && all.stream().noneMatch(s -> s.instance.equals(e.origin().instance()))) {
        all.add(new Seen(e.origin().instance(), e.at()));
      }
    } else if (e.kind() == Kind.ANSWERED && e.id() != null) {
      answered(e);
    }
  }

  /** A caller's own record of a call holds the callee's whole: sent before it came, answered after it left (Cristian's bound). */
  private void answered(Entry e) {
    Entry other = calls.size() < MOST_SEEN ? calls.putIfAbsent(e.id(), e) : calls.get(e.id());
    if (other == null || other == e || other.origin().instance().equals(e.origin().instance()) || correlations.size() >= MOST_TIES) {
      return;
    }
    boolean callerFirst = isCaller(other);
    if (callerFirst == isCaller(e)) {
      return; // Two callees of one request: nothing is known of their order.
    }
    Entry caller = callerFirst ? other : e;
    Entry callee = callerFirst ? e : other;
    if (correlations.size() > ENOUGH && (caller.id().hashCode() & 7) != 0) {
      return;
    }
    // Both records tell of the end, and of how long it had taken.
    long spare = Math.max(0, caller.value() - callee.value());
    correlations.add(new Clocks.Correlation(caller.origin().instance(), caller.at() - caller.value(), callee.origin().instance(),
        callee.at() - callee.value(), 0, spare, "call " + caller.id()));
  }

  private static boolean isCaller(Entry e) {
    return "caller".equals(e.word());
  }

  /** All ties found. */
  public List<Clocks.Correlation> all() {
    List<Clocks.Correlation> all = new ArrayList<>(correlations);
    revisions.forEach((revision, seen) -> {
      for (int i = 1; i < seen.size(); i++) {
        Seen a = seen.get(0);
        Seen b = seen.get(i);
        all.add(new Clocks.Correlation(a.instance, a.at, b.instance, b.at, -LIST_SLACK, LIST_SLACK, "revision " + revision.revision));
      }
    });
    return all;
  }
}
