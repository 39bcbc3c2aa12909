package cloverpulley.quota;

/**
 * Sum over a sliding window that advances in slots. The oldest slot counts in full until it leaves, so that no window of the given length
 * exceeds the limit, wherever it starts; in return units are freed up to one slot late.
 */
final class SlidingWindow {

  private static final int SLOTS = 16;

  private final long slotNanos;
  private final double[] counts = new double[SLOTS + 1];
  private long currentSlot;
  private double sum;

  SlidingWindow(long windowNanos, long now) {
    slotNanos = Math.max(1, (windowNanos + SLOTS - 1) / SLOTS);
    currentSlot = Math.floorDiv(now, slotNanos);
  }

  private void move(long now) {
    long targetSlot = Math.floorDiv(now, slotNanos);
    if (targetSlot - currentSlot > SLOTS) {
      java.util.Arrays.fill(counts, 0);
      sum = 0;
      currentSlot = targetSlot;
    }
    while (currentSlot < targetSlot) {
      currentSlot++;
      int i = (int) Math.floorMod(currentSlot, SLOTS + 1);
      sum -= counts[i];
      counts[i] = 0;
    }
    if (sum < 1e-9) {
      sum = 0; // Rounding errors would accumulate.
    }
  }

  void add(long now, double units) {
    move(now);
    counts[(int) Math.floorMod(currentSlot, SLOTS + 1)] += units;
    sum += units;
  }

  /**
   * Removes units that were added at an earlier clock reading and turned out not to be used. They are removed from the oldest slots that
   * may hold them, so that later windows count too much rather than too little. Units that have left the window are not removed.
   */
  void refund(long now, long addedAt, double units) {
    move(now);
    long last = Math.min(currentSlot, Math.floorDiv(addedAt, slotNanos));
    for (long s = currentSlot - SLOTS; s <= last && units > 0; s++) {
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

  /** Returns the time until the given number of units has left the window. */
  long nanosUntilFreed(long now, double units) {
    move(now);
    double freed = 0;
    for (int i = 1; i <= SLOTS + 1; i++) {
      freed += counts[(int) Math.floorMod(currentSlot + i, SLOTS + 1)];
      if (freed >= units - 1e-9) {
        return (currentSlot + i) * slotNanos - now;
      }
    }
    return (SLOTS + 1) * slotNanos;
  }

  boolean isEmpty(long now) {
    return sum(now) == 0;
  }
}
