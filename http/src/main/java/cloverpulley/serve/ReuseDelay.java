package cloverpulley.serve;

import java.util.concurrent.TimeUnit;

/**
 * Learns how long a connection has to rest after a response before it is used again. Surplus bytes that arrive later, such as a second copy of the
 * response, would be taken for the response to the next request. How late they come is seen on connections that rest.
 */
final class ReuseDelay {

  private static final long MIN_NANOS = TimeUnit.MILLISECONDS.toNanos(10);
  /** The longest rest. */
  static final long MAX_NANOS = TimeUnit.MILLISECONDS.toNanos(200);
  /** Others may come later than the latest that was seen. */
  private static final int MARGIN_FACTOR = 4;
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

  /** How long a connection has to rest. */
  long nanos(long now) {
    return now - learnedAt > MEMORY_NANOS ? MIN_NANOS : learnedNanos;
  }
}
