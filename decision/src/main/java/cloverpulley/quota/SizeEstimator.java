package cloverpulley.quota;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Estimates the size of a response, which is charged before it is known, from earlier responses of the same kind. The mean moves slowly, so
 * that one large response does not make the next ones expensive. Samples are bounded: one wrong length could otherwise reject a kind for so
 * long that no further response corrects the mean. An unknown kind is estimated at 0: other kinds say nothing about it. The number of kinds
 * is bounded; the least recently used one is evicted. Not thread-safe.
 */
public final class SizeEstimator {

  /** Minimum weight of a sample; the first 16 are averaged equally. */
  private static final double STEP = 1.0 / 16;

  private final Map<String, Mean> kinds;
  private final double bound;

  private static final class Mean {
    private double value;
    private int samples;

    void add(double x) {
      samples = samples < Integer.MAX_VALUE ? samples + 1 : samples;
      value += (x - value) * Math.max(STEP, 1.0 / samples);
    }
  }

  /**
   * @param maxKinds kinds to remember, at least 1
   * @param maxBytes upper bound of a single sample in bytes, above 0
   */
  public SizeEstimator(int maxKinds, double maxBytes) {
    if (maxKinds < 1 || !(maxBytes > 0)) {
      throw new IllegalArgumentException("expected at least 1 kind and bytes above 0, got " + maxKinds + " and " + maxBytes);
    }
    bound = maxBytes;
    kinds = new LinkedHashMap<>(16, 0.75f, true) {
      @Override
      protected boolean removeEldestEntry(Map.Entry<String, Mean> eldest) {
        return size() > maxKinds;
      }
    };
  }

  /** Returns the estimated size in bytes; 0 for a kind without samples. */
  public double estimate(String kind) {
    Mean m = kinds.get(kind);
    return m == null ? 0 : m.value;
  }

  /**
   * Records the size of one response.
   *
   * @throws IllegalArgumentException if the size is negative, infinite or not a number
   */
  public void record(String kind, double bytes) {
    if (!(bytes >= 0) || bytes == Double.POSITIVE_INFINITY) {
      throw new IllegalArgumentException("response size: expected bytes of 0 or more, got " + bytes);
    }
    kinds.computeIfAbsent(kind, k -> new Mean()).add(Math.min(bytes, bound));
  }

  int kindCount() {
    return kinds.size();
  }
}
