package cloverpulley;

/** Counts and sums over the last window. */
final class Window {

  /** What a window counts: offers, admissions, samples, the sum of their latencies, the sum of their aims. */
  enum Metric { OFFERED, ADMITTED, SAMPLES, SUM, AIMS }

  /** A window forgets in steps of a twelfth. */
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

  /** Whether all that it held is forgotten. */
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

  /** All that it holds, in the order of the metrics. */
  double[] totals(long now) {
    total(now, Metric.OFFERED);
    return totals.clone();
  }

  /** Adds what another one held, evenly over its time: it is forgotten as it would have been there. */
  void inherit(long now, double[] from) {
    for (Metric m : Metric.values()) {
      totals[m.ordinal()] = total(now, m) + from[m.ordinal()];
      for (int i = 0; i < SLOTS; i++) {
        slots[m.ordinal()][i] += from[m.ordinal()] / SLOTS;
      }
    }
  }

  /** A second's events of a kind, less one standard deviation of their count: what chance alone seldom makes. */
  double surely(long now, Metric metric) {
    double count = total(now, metric);
    return (count - Math.sqrt(count)) * 1e9 / (slotNanos * SLOTS);
  }

  /** Mean of the samples and of so many more that are as expected: few samples move it little. */
  double mean(long now, double expected, double weight) {
    double samples = total(now, Metric.SAMPLES);
    return samples < 0.5 ? 0 : (total(now, Metric.SUM) + expected * weight) / (samples + weight);
  }

  /** Mean of the samples; 0 where there are none, which the line takes for healthy. */
  double mean(long now) {
    double samples = total(now, Metric.SAMPLES);
    return samples < 0.5 ? 0 : total(now, Metric.SUM) / samples;
  }
}
