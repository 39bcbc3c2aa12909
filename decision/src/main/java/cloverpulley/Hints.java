package cloverpulley;

/** Estimates the load of a request in units of a mean request, by its work hint if it has one: a few heavy requests can
 * fill an upstream that looks half empty by their number. */
final class Hints {

  /** A request counts as at most this many mean requests and at least the inverse. */
  private static final double MAX_LOAD = 4;
  /** A hint enters the mean as at most this many times the mean. */
  private static final double MAX_HINT_RATIO = 20;
  /** Step of the moving mean: averages about 200 requests. */
  private static final double STEP = 0.005;

  private final long maxFirstHint;
  double mean;

  /** Creates an estimator in which the first hint counts as at most {@code firstNanos}. */
  Hints(long firstNanos) {
    maxFirstHint = firstNanos;
  }

  double load(long hintNanos) {
    if (hintNanos <= 0) {
      return 1;
    }
    // A single huge hint would otherwise make all other requests look light for a long time.
    mean += mean == 0 ? Math.min(hintNanos, maxFirstHint) : (Math.min(hintNanos, MAX_HINT_RATIO * mean) - mean) * STEP;
    return Math.min(MAX_LOAD, Math.max(1 / MAX_LOAD, hintNanos / mean));
  }
}
