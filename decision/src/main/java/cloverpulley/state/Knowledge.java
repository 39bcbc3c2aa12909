package cloverpulley.state;

import java.util.List;
import java.util.Map;

/**
 * What an instance of the decision module knows that a successor beside it needs: ages instead of clock readings, in nanoseconds, so that
 * it means the same in another process. Bounded: upstreams by the list, windows by {@link #MOST_WINDOWS}.
 *
 * @param upstreams of those on the list
 * @param windows what was counted in the last window, by name, the name used last at the end; figures in the order of the module's metrics
 * @param fleet the same for all together
 * @param usualInFlight load that a ready upstream usually has from this balancer
 * @param usualSends sends a second that it usually gets
 * @param usualHint what requests usually say of their work; 0 for unknown
 * @param weightUnit weight of an ordinary upstream; 0 for unknown
 * @param retryTokens what is left of the retry budget
 */
public record Knowledge(List<Known> upstreams, Map<String, double[]> windows, double[] fleet, double usualInFlight, double usualSends,
    double usualHint, double weightUnit, double retryTokens) {

  public static final int MOST_WINDOWS = 1000;
  /** The figures of a window. */
  public static final int METRICS = 5;

  /**
   * What is known of one upstream.
   *
   * @param startedAgo -1 for long ago
   * @param startGuessed whether an operator called it back and its start is not told yet; then it was out for {@code outFor} until now
   * @param ejectedFor how long it stays left out; 0 for not at all
   * @param servingFor since its first answer; -1 for none yet
   */
  public record Known(long upstream, long startedAgo, boolean startGuessed, long outFor, double coldTokens, double slowness,
      int failures, int ejections, long ejectedFor, long servingFor, double[] window) {}
}
