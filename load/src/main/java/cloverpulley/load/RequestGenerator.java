package cloverpulley.load;

import java.util.List;
import java.util.SplittableRandom;

/** Draws the requests of a run ahead of it, one after another, from the plan's seed alone. */
public final class RequestGenerator {

  /**
   * A request.
   *
   * @param at intended start, seconds from the run's
   * @param key from 0, the most popular first; -1 for none
   * @param hintMicros 0 for none
   * @param patienceMillis after this the client gives a try up
   * @param honours whether the client waits as Retry-After says
   */
  public record PlannedRequest(long number, double at, int type, int tenant, int key, long hintMicros, int bytes, double patienceMillis,
      boolean honours) {}

  private final Plan plan;
  private final Arrivals arrivals;
  private final SplittableRandom random;
  private final double[] types;
  private final double[] tenants;
  private final double[] keys;
  private long number;

  public RequestGenerator(Plan plan) {
    this.plan = plan;
    SplittableRandom seeds = new SplittableRandom(plan.seed());
    arrivals = new Arrivals(plan.process(), plan.bursts(), plan.rate(), plan.shape(), plan.seconds(), seeds.nextLong());
    random = seeds.split();
    types = sums(plan.types().stream().map(Plan.RequestClass::share).toList());
    tenants = sums(plan.tenants().stream().map(Plan.Tenant::share).toList());
    keys = zipf(plan.keys());
  }

  private static double[] sums(List<Double> parts) {
    double[] sums = new double[parts.size()];
    double sum = 0;
    for (int i = 0; i < sums.length; i++) {
      sums[i] = sum += parts.get(i);
    }
    return sums;
  }

  private static double[] zipf(Plan.Keys keys) {
    double[] sums = new double[keys.count()];
    double sum = 0;
    for (int i = 0; i < sums.length; i++) {
      sums[i] = sum += Math.pow(i + 1, -keys.exponent());
    }
    return sums;
  }

  private int pick(double[] sums) {
    double at = random.nextDouble() * sums[sums.length - 1];
    int found = java.util.Arrays.binarySearch(sums, at);
    return Math.min(sums.length - 1, found < 0 ? -found - 1 : found + 1);
  }

  /** The next request; null past the run's end. */
  public PlannedRequest next() {
    double at = arrivals.next();
    if (at < 0) {
      return null;
    }
    int type = pick(types);
    Plan.RequestClass t = plan.types().get(type);
    long hint = t.hintMost() == 0 ? 0 : t.hintLeast() + random.nextLong(t.hintMost() - t.hintLeast() + 1);
    double least = plan.clients().patienceLeast();
    return new PlannedRequest(number++, at, type, pick(tenants), keys.length == 0 ? -1 : pick(keys), hint, t.bytes(),
        t.deadlineMillis() * (least + (1 - least) * random.nextDouble()), random.nextDouble() < plan.clients().honour());
  }
}
