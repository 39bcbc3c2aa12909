package cloverpulley;

/** The published rate curve, by which the admission rate falls as latency rises. */
final class RateCurve {

  private RateCurve() {}

  /** The allowed rate: linear from {@code maxRate} at or below {@code minValue} to {@code minRate} at or above {@code maxValue}. */
  static double allowedRate(double mean, double minValue, double maxValue, double maxRate, double minRate) {
    double ratio = Math.min(1, Math.max(0, (mean - minValue) / (maxValue - minValue)));
    return maxRate + ratio * (minRate - maxRate);
  }
}
