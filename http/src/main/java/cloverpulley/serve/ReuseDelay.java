package cloverpulley.serve;

import java.util.concurrent.TimeUnit;

/**
 * Tells how long a connection has to rest after a response before it is used again. Surplus bytes, such as a second copy of the response, may come a
 * moment later and would be taken for the response to the next request: over a link of some length they are on their way already when the request
 * is written. How late they come is seen on connections that rest, but only up to the rest itself; so the rest also covers some round trips.
 */
final class ReuseDelay {

  private static final long MIN_NANOS = TimeUnit.MILLISECONDS.toNanos(10);
  /** The longest rest. */
  static final long MAX_NANOS = TimeUnit.MILLISECONDS.toNanos(200);
  /** Others may come later than the latest that was seen. */
  private static final int MARGIN_FACTOR = 4;
  /** A connection rests for so many round trips. */
  private static final int ROUND_TRIPS = 6;
  /** How long it is remembered that surplus bytes came. */
  private static final long MEMORY_NANOS = TimeUnit.MINUTES.toNanos(10);

  private long learnedNanos = MIN_NANOS;
  private long learnedAt;

  /** Records that surplus bytes arrived on a connection that had rested for so long. */
  void recordSurplus(long now, long restedNanos) {
    long delay = Math.min(MAX_NANOS, MARGIN_FACTOR * Math.max(MIN_NANOS, restedNanos));
    if (delay >= nanos(now)) {
      learnedNanos = delay;
      learnedAt = now;
    }
  }

  /** How long a connection has to rest whose round trip is short. */
  long nanos(long now) {
    return now - learnedAt > MEMORY_NANOS ? MIN_NANOS : learnedNanos;
  }

  /** How long a connection has to rest whose round trip takes up to {@code roundTripNanos}; {@link Long#MAX_VALUE} if unknown. */
  long nanos(long now, long roundTripNanos) {
    long roundTrips = roundTripNanos >= MAX_NANOS / ROUND_TRIPS ? MAX_NANOS : ROUND_TRIPS * roundTripNanos;
    return Math.max(nanos(now), roundTrips);
  }
}
