package cloverpulley;

/** Counts and sums over a sliding window. */
final class Window {

  /** Counters of a window: offered and admitted requests, samples, the sum of their latencies, the sum of their aims. */
  enum Metric { OFFERED, ADMITTED, SAMPLES, LATENCY_SUM, AIM_SUM }

  /** A window expires in steps of a twelfth of its length. */
  private static final int SLOTS = 12;

  private final long slotNanos;
  private final double[][] slots = new double[Metric.values().length][SLOTS];
  private final double[] totals = new double[Metric.values().length];
  private long slot;

  Window(long lengthNanos, long now) {
    slotNanos = lengthNanos / SLOTS;
    slot = now / slotNanos;
  }

  void add(long now, Metric metric, double amount) {
    totals[metric.ordinal()] = total(now, metric) + amount;
    slots[metric.ordinal()][(int) (slot % SLOTS)] += amount;
  }

  /** Whether all counts have expired. */
  boolean isIdle(long now) {
    return now / slotNanos - slot >= SLOTS;
  }

  double total(long now, Metric metric) {
    long current = now / slotNanos;
    for (long s = Math.max(slot + 1, current - SLOTS + 1); s <= current; s++) {
      for (int m = 0; m < totals.length; m++) {
        totals[m] -= slots[m][(int) (s % SLOTS)];
        slots[m][(int) (s % SLOTS)] = 0;
      }
    }
    slot = current;
    return totals[metric.ordinal()];
  }

  /** Returns all totals in the order of the metrics. */
  double[] totals(long now) {
    total(now, Metric.OFFERED);
    return totals.clone();
  }

  /** Adds saved totals, spread evenly over the slots, so that they expire over the length of the window. */
  void restore(long now, double[] saved) {
    for (Metric m : Metric.values()) {
      totals[m.ordinal()] = total(now, m) + saved[m.ordinal()];
      for (int i = 0; i < SLOTS; i++) {
        slots[m.ordinal()][i] += saved[m.ordinal()] / SLOTS;
      }
    }
  }

  /** Rate per second less one standard deviation of the count: random arrivals alone seldom cause a higher result than the
   * true rate. */
  double lowerBoundRate(long now, Metric metric) {
    double count = total(now, metric);
    return (count - Math.sqrt(count)) * 1e9 / (slotNanos * SLOTS);
  }

  /** Mean of the samples and {@code weight} further ones equal to {@code expected}: few samples move it little. */
  double mean(long now, double expected, double weight) {
    double samples = total(now, Metric.SAMPLES);
    return samples < 0.5 ? 0 : (total(now, Metric.LATENCY_SUM) + expected * weight) / (samples + weight);
  }

  /** Mean of the samples; 0 if there are none, which the rate curve takes for healthy. */
  double mean(long now) {
    double samples = total(now, Metric.SAMPLES);
    return samples < 0.5 ? 0 : total(now, Metric.LATENCY_SUM) / samples;
  }
}
