package cloverpulley.outs;

import java.util.ArrayDeque;

/**
 * The part of an instance's requests that it refused over the last while, out of counts that only grow. A bounded number of samples; nothing is
 * said of a few requests. One thread at a time.
 */
public final class RejectionRate {

  private static final long WINDOW_MILLIS = 10_000;
  private static final int SAMPLES = 20;
  private static final long LEAST_REQUESTS = 20;

  private record Sample(long atMillis, long ended, long refused) {}

  private final ArrayDeque<Sample> samples = new ArrayDeque<>(SAMPLES + 1);

  /** So many requests have ended since the start, of which so many were refused; the part over the last 10 s. */
  public double update(long nowMillis, long ended, long refused) {
    while (samples.size() > 1 && nowMillis - samples.peekFirst().atMillis() > WINDOW_MILLIS) {
      samples.pollFirst();
    }
    if (samples.isEmpty() || nowMillis - samples.peekLast().atMillis() >= WINDOW_MILLIS / SAMPLES) {
      samples.addLast(new Sample(nowMillis, ended, refused));
    }
    Sample from = samples.peekFirst();
    long requests = ended - from.ended();
    return requests < LEAST_REQUESTS ? 0 : Math.min(1, (double) (refused - from.refused()) / requests);
  }
}
