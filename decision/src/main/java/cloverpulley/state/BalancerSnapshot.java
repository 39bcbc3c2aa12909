package cloverpulley.state;

import java.util.List;
import java.util.Map;

/**
 * State of an instance of the decision module that a successor process needs. It has ages in nanoseconds instead of clock readings, so
 * that it means the same in another process. Bounded: upstreams by the list, windows by {@link #MAX_WINDOWS}.
 *
 * @param upstreams the upstreams on the list
 * @param windows totals of the last window by window name, the most recently used at the end; each array is in the order of the metrics
 * @param fleet totals of all requests together, likewise
 * @param baselineInFlight load that a ready upstream usually has from this balancer
 * @param baselineSendRate attempts per second that it usually gets
 * @param meanHint mean work hint of a request; 0 for unknown
 * @param referenceWeight median weight of an upstream; 0 for unknown
 * @param retryTokens what is left of the retry budget
 */
public record BalancerSnapshot(List<UpstreamSnapshot> upstreams, Map<String, double[]> windows, double[] fleet, double baselineInFlight,
    double baselineSendRate, double meanHint, double referenceWeight, double retryTokens) {

  public static final int MAX_WINDOWS = 1000;
  /** Number of totals of a window. */
  public static final int METRICS = 5;

  /**
   * State of one upstream.
   *
   * @param ageNanos time since its start; -1 for long ago
   * @param startEstimated whether an operator brought it back online and the list has not reported its start yet; it was set offline
   *     {@code offlineNanos} ago
   * @param ejectionNanosLeft remaining ejection time; 0 if not ejected
   * @param servingNanos since its first answer; -1 for none yet
   */
  public record UpstreamSnapshot(long upstream, long ageNanos, boolean startEstimated, long offlineNanos, double slowStartTokens, double slowness,
      int failures, int ejections, long ejectionNanosLeft, long servingNanos, double[] window) {}
}
