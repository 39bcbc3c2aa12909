package cloverpulley.quota;

/**
 * A dimension measured over a window. Each node has a guarantee and a ceiling in each lane.
 *
 * @param windowNanos length of the window; 0 for {@link Dimension#CONCURRENCY}, which has none
 */
public record Lane(Dimension dimension, long windowNanos) {

  public Lane {
    if (dimension == Dimension.CONCURRENCY ? windowNanos != 0 : windowNanos < 1_000_000L || windowNanos > 3_600_000_000_000L) {
      throw new IllegalArgumentException("a window of " + windowNanos + " ns for " + dimension.label()
          + ": expected a millisecond to an hour, and none for concurrency");
    }
  }

  boolean isConcurrency() {
    return dimension == Dimension.CONCURRENCY;
  }

  @Override
  public String toString() {
    return isConcurrency() ? dimension.label() : dimension.label() + " in " + windowNanos / 1_000_000 + " ms";
  }
}
