package cloverpulley.serve;

import java.util.concurrent.TimeUnit;

/**
 * Learns from reused connections how long one can be idle and still work. Upstreams and middleboxes may drop idle connections
 * earlier than configured and without closing them; a request written to such a connection may have run and can't always
 * be retried. If connections break for a reason other than their idle time, new ones are opened needlessly until the
 * samples have decayed.
 */
final class IdleReusePolicy {

  /** Idle times are grouped into buckets that double in width, starting at this one. */
  private static final long MIN_AGE_NANOS = TimeUnit.MILLISECONDS.toNanos(16);
  private static final int AGE_BUCKETS = 10;
  /** An idle time is too long if more than this ratio of the connections broke, and at least {@link #MIN_BROKEN} of them. */
  private static final double MAX_BROKEN_RATIO = 0.25;
  private static final double MIN_BROKEN = 2.5;
  /** Time constant of the exponential decay of samples, by which longer idle times are tried again. */
  private static final double DECAY_NANOS = TimeUnit.SECONDS.toNanos(20);

  private final double[] survivedByAge = new double[AGE_BUCKETS];
  private final double[] brokenByAge = new double[AGE_BUCKETS];
  private long decayedAt;

  /** Records whether a connection that was reused after {@code idleNanos} broke before it returned a response. */
  void recordReuse(long now, long idleNanos, boolean brokenOnReuse) {
    double decay = Math.exp((decayedAt - now) / DECAY_NANOS);
    for (int i = 0; i < AGE_BUCKETS; i++) {
      survivedByAge[i] *= decay;
      brokenByAge[i] *= decay;
    }
    decayedAt = now;
    (brokenOnReuse ? brokenByAge : survivedByAge)[bucket(idleNanos)]++;
  }

  /** Whether a connection may be reused after {@code idleNanos}: neither this nor a shorter idle time is known to break connections. */
  boolean isReusable(long now, long idleNanos) {
    double decay = Math.exp((decayedAt - now) / DECAY_NANOS);
    for (int i = 0; i <= bucket(idleNanos); i++) {
      if (brokenByAge[i] * decay >= MIN_BROKEN && brokenByAge[i] > MAX_BROKEN_RATIO * (survivedByAge[i] + brokenByAge[i])) {
        return false;
      }
    }
    return true;
  }

  private static int bucket(long idleNanos) {
    return Math.min(AGE_BUCKETS - 1, Long.SIZE - Long.numberOfLeadingZeros(idleNanos / MIN_AGE_NANOS));
  }
}
