package cloverpulley.serve;

import java.util.concurrent.TimeUnit;

/**
 * How long a connection may have stood idle and still hold, learned from those that were used again. Guards against upstreams,
 * or what lies between, that forget a connection sooner than they say and without a word: what is written to one may have run,
 * and can't always be sent again. It could do harm where connections break for another reason than their age: then new ones
 * are opened for nothing, until what was seen is forgotten.
 */
final class IdleReusePolicy {

  /** Ages are told apart by their doublings from this on. */
  private static final long LEAST_NANOS = TimeUnit.MILLISECONDS.toNanos(16);
  private static final int AGES = 10;
  /** An age at which more than this part of the connections broke, and no fewer than this many, is too old. */
  private static final double MOST_BROKEN = 0.25;
  private static final double ENOUGH = 2.5;
  /** What was seen counts for less with time, so that longer times are tried again. */
  private static final double KEPT_NANOS = TimeUnit.SECONDS.toNanos(20);

  private final double[] held = new double[AGES];
  private final double[] broken = new double[AGES];
  private long forgottenAt;

  /** A connection used again after standing idle for so long has answered, or broken before it did. */
  void used(long now, long idleNanos, boolean broke) {
    double part = Math.exp((forgottenAt - now) / KEPT_NANOS);
    for (int i = 0; i < AGES; i++) {
      held[i] *= part;
      broken[i] *= part;
    }
    forgottenAt = now;
    (broke ? broken : held)[age(idleNanos)]++;
  }

  /** Whether a connection that has stood idle for so long may be used again: it is no older than what breaks. */
  boolean holds(long now, long idleNanos) {
    double part = Math.exp((forgottenAt - now) / KEPT_NANOS);
    for (int i = 0; i <= age(idleNanos); i++) {
      if (broken[i] * part >= ENOUGH && broken[i] > MOST_BROKEN * (held[i] + broken[i])) {
        return false;
      }
    }
    return true;
  }

  private static int age(long idleNanos) {
    return Math.min(AGES - 1, Long.SIZE - Long.numberOfLeadingZeros(idleNanos / LEAST_NANOS));
  }
}
