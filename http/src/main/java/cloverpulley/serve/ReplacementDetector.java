package cloverpulley.serve;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Tells whether another process may have come up at the address of an upstream. Once an upstream has ended all its connections, or refuses one, its
 * process may be gone, and the next one there may belong to another deduplication group. The endpoint list says so later. Times are those of a
 * monotonic clock, in nanoseconds. Confined to the event loop.
 */
final class ReplacementDetector {

  /** What discovery has to tell counts as told after this time at the latest. */
  private static final long UNCERTAIN_NANOS = TimeUnit.SECONDS.toNanos(6);
  /** The ends of a process's connections may be seen for so long after a connection to its replacement has been established. */
  private static final long SETTLE_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

  /** When the open connections to each upstream were established. */
  private final Map<Long, List<Long>> openSince = new HashMap<>();
  private final Map<Long, Long> goneSince = new HashMap<>();

  /** A connection to an upstream has been established. */
  void opened(long upstream, long now) {
    openSince.computeIfAbsent(upstream, u -> new ArrayList<>()).add(now);
  }

  /** A connection that was established at {@code since} has ended; {@code byUpstream} unless this side has closed it. */
  void closed(long upstream, long since, boolean byUpstream, long now) {
    List<Long> open = openSince.get(upstream);
    open.remove(since);
    boolean noneSettled = open.stream().noneMatch(established -> now - established > SETTLE_NANOS);
    if (byUpstream && noneSettled) {
      goneSince.put(upstream, now);
    }
    if (open.isEmpty()) {
      openSince.remove(upstream);
    }
  }

  /** A connection has been refused: nobody listens there. */
  void refused(long upstream, long now) {
    goneSince.put(upstream, now);
  }

  /** Whether the process at the address of an upstream may be another than the one that the list names. */
  boolean mayBeReplaced(long upstream, long now) {
    Long since = goneSince.get(upstream);
    return since != null && now - since <= UNCERTAIN_NANOS;
  }

  /** Forgets the upstreams about which the list has told by now. */
  void removeExpired(long now) {
    goneSince.values().removeIf(since -> now - since > UNCERTAIN_NANOS);
  }

  /** Upstreams that are remembered. */
  int size() {
    return openSince.size() + goneSince.size();
  }
}
