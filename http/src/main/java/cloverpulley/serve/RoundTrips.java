package cloverpulley.serve;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * An upper bound of the round trip to each upstream: the shortest time from a request's first byte to the first byte of its response in the last
 * minutes. Upstreams are identified by their number; times are in nanoseconds of a monotonic clock. Confined to the event loop.
 */
final class RoundTrips {

  /** A bound counts for one to two of these periods. */
  private static final long PERIOD_NANOS = TimeUnit.MINUTES.toNanos(5);

  /** The bounds of the current period and of the one before. */
  private static final class Bound {
    long periodBegan;
    long currentNanos = Long.MAX_VALUE;
    long previousNanos = Long.MAX_VALUE;

    void rotate(long now) {
      if (now - periodBegan >= PERIOD_NANOS) {
        previousNanos = now - periodBegan < 2 * PERIOD_NANOS ? currentNanos : Long.MAX_VALUE;
        currentNanos = Long.MAX_VALUE;
        periodBegan = now;
      }
    }
  }

  private final Map<Long, Bound> bounds = new HashMap<>();

  /** Records the time that a response took to begin. It must not be one that surplus bytes could be mistaken for. */
  void record(long upstream, long now, long elapsedNanos) {
    Bound bound = bounds.computeIfAbsent(upstream, u -> {
      Bound first = new Bound();
      first.periodBegan = now;
      return first;
    });
    bound.rotate(now);
    bound.currentNanos = Math.min(bound.currentNanos, elapsedNanos);
  }

  /** A round trip takes no longer than this; {@link Long#MAX_VALUE} if unknown. */
  long maxNanos(long upstream, long now) {
    Bound bound = bounds.get(upstream);
    if (bound == null) {
      return Long.MAX_VALUE;
    }
    bound.rotate(now);
    return Math.min(bound.currentNanos, bound.previousNanos);
  }

  /** Forgets upstreams without a bound. */
  void removeExpired(long now) {
    bounds.keySet().removeIf(upstream -> maxNanos(upstream, now) == Long.MAX_VALUE);
  }
}
