package cloverpulley;

import java.util.SplittableRandom;

/** Back-off of failed calls for the endpoint list, in nanoseconds: doubles with each consecutive failure. */
final class ListBackoff {

  private static final long MIN_NANOS = 500_000_000L;
  private static final long MAX_NANOS = 2_000_000_000L;
  private static final int MAX_DOUBLINGS = 10;

  private int failures;

  /** The pause after a further failure. Full jitter, or all balancers would call the discovery service again at the same time. */
  long nextNanos(SplittableRandom random) {
    long limit = Math.min(MAX_NANOS, MIN_NANOS << Math.min(failures++, MAX_DOUBLINGS));
    return (long) (limit * random.nextDouble());
  }

  /** Restarts from the shortest pause, after a call that succeeded. */
  void reset() {
    failures = 0;
  }
}
