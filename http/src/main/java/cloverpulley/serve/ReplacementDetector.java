package cloverpulley.serve;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Tells whether another process may have come up at the address of an upstream. Once an upstream has ended all its connections, or refuses one, its
 * process may be gone, and the next one there may belong to another deduplication group. The endpoint list says so later. Confined to the event loop.
 */
final class ReplacementDetector {

  /** What discovery has to tell counts as told after this time at the latest. */
  private static final long UNCERTAIN_NANOS = TimeUnit.SECONDS.toNanos(6);

  private final Map<Long, Integer> openConnections = new HashMap<>();
  private final Map<Long, Long> goneSince = new HashMap<>();

  /** A connection to an upstream has been established. */
  void opened(long upstream) {
    openConnections.merge(upstream, 1, Integer::sum);
  }

  /** An established connection has ended; {@code byUpstream} unless this side has closed it. */
  void closed(long upstream, boolean byUpstream, long now) {
    boolean last = openConnections.merge(upstream, -1, (open, change) -> open + change == 0 ? null : open + change) == null;
    if (last && byUpstream) {
      goneSince.put(upstream, now);
    }
  }

  /** A connection has been refused: nobody listens there. */
  void refused(long upstream, long now) {
    goneSince.put(upstream, now);
  }

  /** Whether the process at the address of an upstream may be another than the one that the list names. */
  boolean mayBeReplaced(long upstream, long now) {
    Long since = goneSince.get(upstream);
    if (since != null && now - since > UNCERTAIN_NANOS) {
      goneSince.remove(upstream);
      return false;
    }
    return since != null;
  }
}
