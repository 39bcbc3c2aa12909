package cloverpulley.outs;

import java.util.ArrayDeque;

/**
 * The ratio of requests that an instance rejected within a sliding window, from a bounded number of samples of monotonic counters. It is 0
 * while the window has fewer than 20 requests. Not thread-safe.
 */
public final class RejectionRate {

  private static final long WINDOW_MILLIS = 10_000;
  private static final int SAMPLES_PER_WINDOW = 20;
  private static final long MIN_REQUESTS = 20;

  private record Sample(long atMillis, long ended, long rejected) {}

  private final ArrayDeque<Sample> samples = new ArrayDeque<>(SAMPLES_PER_WINDOW + 1);

  /** Adds a sample of the totals since the start and returns the ratio of rejected requests over the last 10 s. */
  public double update(long nowMillis, long ended, long rejected) {
    while (samples.size() > 1 && nowMillis - samples.peekFirst().atMillis() > WINDOW_MILLIS) {
      samples.pollFirst();
    }
    if (samples.isEmpty() || nowMillis - samples.peekLast().atMillis() >= WINDOW_MILLIS / SAMPLES_PER_WINDOW) {
      samples.addLast(new Sample(nowMillis, ended, rejected));
    }
    Sample oldest = samples.peekFirst();
    long requests = ended - oldest.ended();
    return requests < MIN_REQUESTS ? 0 : Math.min(1, (double) (rejected - oldest.rejected()) / requests);
  }
}
