package cloverpulley.quota;

/**
 * How much there was in a window that moves on in slots. The oldest slot counts whole until it has left, so that no window of the
 * given length, wherever it begins, ever holds more than was allowed; the price is that a slot's worth comes back up to a slot late.
 */
final class Ceiling {

  private static final int SLOTS = 16;

  private final long slot;
  private final double[] counts = new double[SLOTS + 1];
  private long at;
  private double sum;

  Ceiling(long windowNanos, long now) {
    slot = Math.max(1, (windowNanos + SLOTS - 1) / SLOTS);
    at = Math.floorDiv(now, slot);
  }

  private void move(long now) {
    long to = Math.floorDiv(now, slot);
    if (to - at > SLOTS) {
      java.util.Arrays.fill(counts, 0);
      sum = 0;
      at = to;
    }
    while (at < to) {
      at++;
      int i = (int) Math.floorMod(at, SLOTS + 1);
      sum -= counts[i];
      counts[i] = 0;
    }
    if (sum < 1e-9) {
      sum = 0; // What rounding leaves would add up.
    }
  }

  void add(long now, double units) {
    move(now);
    counts[(int) Math.floorMod(at, SLOTS + 1)] += units;
    sum += units;
  }

  /**
   * What was added at an earlier reading was not used after all. The oldest that may hold it lose it first: a window to come that
   * holds none of them counts too much rather than too little. What has left the window already is not taken back.
   */
  void takeBack(long now, long added, double units) {
    move(now);
    long last = Math.min(at, Math.floorDiv(added, slot));
    for (long s = at - SLOTS; s <= last && units > 0; s++) {
      int i = (int) Math.floorMod(s, SLOTS + 1);
      double back = Math.min(counts[i], units);
      counts[i] -= back;
      sum -= back;
      units -= back;
    }
  }

  double sum(long now) {
    move(now);
    return sum;
  }

  /** In how many nanoseconds so much will have left. */
  long until(long now, double units) {
    move(now);
    double gone = 0;
    for (int i = 1; i <= SLOTS + 1; i++) {
      gone += counts[(int) Math.floorMod(at + i, SLOTS + 1)];
      if (gone >= units - 1e-9) {
        return (at + i) * slot - now;
      }
    }
    return (SLOTS + 1) * slot;
  }

  boolean isEmpty(long now) {
    return sum(now) == 0;
  }
}
