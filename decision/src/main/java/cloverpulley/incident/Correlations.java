package cloverpulley.incident;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Finds events that several instances recorded, which constrain the offsets between their clocks: the first time an instance received a
 * revision of the endpoint list, and a request that its caller recorded as well as the instance that answered it. Each event counts once
 * per instance, and the number kept is bounded.
 */
public final class Correlations {

  /**
   * Maximum time between two instances' receipt of the same revision. The list is requested at intervals of 10 s at most
   * (Balancer.Contract); a watch delivers it sooner.
   */
  public static final long LIST_SLACK = 2_000_000L;
  private static final int MAX_EVENTS = 200_000;
  private static final int MAX_CORRELATIONS = 200_000;
  /** Beyond this number only one call in eight is kept: between two knots only the tightest correlation has any effect. */
  private static final int SAMPLING_THRESHOLD = 50_000;

  private record Receipt(String instance, long at) {}

  /** A revision of the endpoint list. The content hash is part of the key because two fleets may use the same revision number. */
  private record ListRevision(long revision, long contentHash) {}

  private final Map<ListRevision, List<Receipt>> revisions = new HashMap<>();
  private final Map<String, Entry> callsById = new HashMap<>();
  private final List<Clocks.Correlation> correlations = new ArrayList<>();

  /** Adds a record, of any instance, in any order. */
  public void add(Entry e) {
    if (e.kind() == Kind.LIST && e.value() > 0) {
      List<Receipt> all = revisions.computeIfAbsent(new ListRevision(e.value(), e.key()), r -> new ArrayList<>(2));
      if (revisions.size() <= MAX_EVENTS && all.stream().noneMatch(s -> s.instance.equals(e.origin().instance()))) {
        all.add(new Receipt(e.origin().instance(), e.at()));
      }
    } else if (e.kind() == Kind.ANSWERED && e.id() != null) {
      correlateCall(e);
    }
  }

  /**
   * Correlates a caller's record of a call with the callee's. The call was sent before the callee received it and its answer arrived after
   * the callee sent it, so the caller's interval contains the callee's (Cristian's algorithm).
   */
  private void correlateCall(Entry e) {
    Entry other = callsById.size() < MAX_EVENTS ? callsById.putIfAbsent(e.id(), e) : callsById.get(e.id());
    if (other == null || other == e || other.origin().instance().equals(e.origin().instance()) || correlations.size() >= MAX_CORRELATIONS) {
      return;
    }
    boolean callerFirst = isCaller(other);
    if (callerFirst == isCaller(e)) {
      return; // Two callees of one request: their order is unknown.
    }
    Entry caller = callerFirst ? other : e;
    Entry callee = callerFirst ? e : other;
    if (correlations.size() > SAMPLING_THRESHOLD && (caller.id().hashCode() & 7) != 0) {
      return;
    }
    // Both records have the time of the end and the latency.
    long slack = Math.max(0, caller.value() - callee.value());
    correlations.add(new Clocks.Correlation(caller.origin().instance(), caller.at() - caller.value(), callee.origin().instance(),
        callee.at() - callee.value(), 0, slack, "call " + caller.id()));
  }

  private static boolean isCaller(Entry e) {
    return "caller".equals(e.word());
  }

  /** All correlations found. */
  public List<Clocks.Correlation> all() {
    List<Clocks.Correlation> all = new ArrayList<>(correlations);
    revisions.forEach((revision, receipts) -> {
      for (int i = 1; i < receipts.size(); i++) {
        Receipt a = receipts.get(0);
        Receipt b = receipts.get(i);
        all.add(new Clocks.Correlation(a.instance, a.at, b.instance, b.at, -LIST_SLACK, LIST_SLACK, "revision " + revision.revision));
      }
    });
    return all;
  }
}
