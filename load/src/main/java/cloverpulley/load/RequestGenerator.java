package cloverpulley.load;

import java.util.List;
import java.util.SplittableRandom;

/** Generates the requests of a run one at a time. They depend only on the plan and its seed. */
public final class RequestGenerator {

  /**
   * A request.
   *
   * @param startSeconds intended start, in seconds since the start of the run
   * @param classIndex index in {@link Plan#classes()}
   * @param tenantIndex index in {@link Plan#tenants()}
   * @param key number of the key, from 0 for the most popular one; -1 for none
   * @param hintMicros work hint; 0 for none
   * @param timeoutMillis the client abandons an attempt after this time
   * @param honoursRetryAfter whether the client waits as long as Retry-After says
   */
  public record PlannedRequest(long number, double startSeconds, int classIndex, int tenantIndex, int key, long hintMicros, int bytes,
      double timeoutMillis, boolean honoursRetryAfter) {}

  private final Plan plan;
  private final Arrivals arrivals;
  private final SplittableRandom random;
  private final double[] classShares;
  private final double[] tenantShares;
  private final double[] keyWeights;
  private long number;

  public RequestGenerator(Plan plan) {
    this.plan = plan;
    SplittableRandom seeds = new SplittableRandom(plan.seed());
    arrivals = new Arrivals(plan.process(), plan.bursts(), plan.rate(), plan.shape(), plan.seconds(), seeds.nextLong());
    random = seeds.split();
    classShares = cumulative(plan.classes().stream().map(Plan.RequestClass::share).toList());
    tenantShares = cumulative(plan.tenants().stream().map(Plan.Tenant::share).toList());
    keyWeights = zipfWeights(plan.keys());
  }

  private static double[] cumulative(List<Double> shares) {
    double[] cumulative = new double[shares.size()];
    double sum = 0;
    for (int i = 0; i < cumulative.length; i++) {
      cumulative[i] = sum += shares.get(i);
    }
    return cumulative;
  }

  private static double[] zipfWeights(Plan.Keys keys) {
    double[] cumulative = new double[keys.count()];
    double sum = 0;
    for (int i = 0; i < cumulative.length; i++) {
      cumulative[i] = sum += Math.pow(i + 1, -keys.exponent());
    }
    return cumulative;
  }

  private int sample(double[] cumulative) {
    double point = random.nextDouble() * cumulative[cumulative.length - 1];
    int found = java.util.Arrays.binarySearch(cumulative, point);
    return Math.min(cumulative.length - 1, found < 0 ? -found - 1 : found + 1);
  }

  /** The next request; null after the end of the run. */
  public PlannedRequest next() {
    double startSeconds = arrivals.next();
    if (startSeconds < 0) {
      return null;
    }
    int classIndex = sample(classShares);
    Plan.RequestClass t = plan.classes().get(classIndex);
    long hint = t.maxHintMicros() == 0 ? 0 : t.minHintMicros() + random.nextLong(t.maxHintMicros() - t.minHintMicros() + 1);
    double minTimeoutRatio = plan.clients().minTimeoutRatio();
    return new PlannedRequest(number++, startSeconds, classIndex, sample(tenantShares), keyWeights.length == 0 ? -1 : sample(keyWeights),
        hint, t.bytes(), t.deadlineMillis() * (minTimeoutRatio + (1 - minTimeoutRatio) * random.nextDouble()),
        random.nextDouble() < plan.clients().honourRatio());
  }
}
