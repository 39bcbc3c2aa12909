package cloverpulley;

/** Load in mean requests, by the hint if there is one: a few heavy ones fill an upstream that a count calls
 * half empty. */
final class Hints {

  /** A hinted request counts for this many mean ones at most, and no less than its inverse. */
  private static final double MOST = 4;
  /** And moves what is usual by no more than one of this many usual ones. */
  private static final double TRUST = 20;
  /** Step of the mean of what is usual: some 200 requests. */
  private static final double STEP = 0.005;

  private final long first;
  double usual;

  /** The first hint counts for so many nanoseconds at most. */
  Hints(long firstNanos) {
    first = firstNanos;
  }

  double load(long hintNanos) {
    if (hintNanos <= 0) {
      return 1;
    }
    // Guards against one hint that is out of all proportion: it would make all others light, and for long.
    usual += usual == 0 ? Math.min(hintNanos, first) : (Math.min(hintNanos, TRUST * usual) - usual) * STEP;
    return Math.min(MOST, Math.max(1 / MOST, hintNanos / usual));
  }
}
