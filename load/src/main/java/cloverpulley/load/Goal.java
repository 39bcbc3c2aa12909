package cloverpulley.load;

/**
 * The operators' service goal G: the worth of responses in time as a fraction of the worth requested, where a request and its retries count
 * once. Weights: 55% the whole run, 15% its worst ten seconds, 5% the worst-served class, 25% the worst-served tenant, measured within
 * its entitlement.
 */
public record Goal(double overall, double worstTenSeconds, int worstTenSecondsFrom, double worstClass, double worstTenant) {

  private static final double OVERALL_WEIGHT = 0.55;
  private static final double WORST_TEN_SECONDS_WEIGHT = 0.15;
  private static final double WORST_CLASS_WEIGHT = 0.05;
  private static final double WORST_TENANT_WEIGHT = 0.25;
  private static final int WINDOW_SECONDS = 10;

  /** G, from 0 to 1. */
  public double g() {
    return OVERALL_WEIGHT * overall + WORST_TEN_SECONDS_WEIGHT * worstTenSeconds + WORST_CLASS_WEIGHT * worstClass
        + WORST_TENANT_WEIGHT * worstTenant;
  }

  /** Computes the goal of a run; a class, tenant or period without requests counts as fully served. */
  public static Goal of(Results r) {
    double worst = 1;
    int worstFrom = 0;
    int lastFrom = Math.max(0, r.seconds.size() - WINDOW_SECONDS);
    for (int from = 0; from <= lastFrom; from++) {
      double requested = 0;
      double inTime = 0;
      for (int s = from; s < Math.min(r.seconds.size(), from + WINDOW_SECONDS); s++) {
        requested += r.seconds.get(s).worthRequested;
        inTime += r.seconds.get(s).worthInTime;
      }
      if (ratio(inTime, requested) < worst) {
        worst = ratio(inTime, requested);
        worstFrom = from;
      }
    }
    double worstClass = r.classes.stream().mapToDouble(t -> ratio(t.worthInTime, t.worthRequested)).min().orElse(1);
    double worstTenant = 1;
    for (int i = 0; i < r.tenants.size(); i++) {
      // A tenant is entitled to its portion of the total worth requested; what it requests beyond that does not count against the goal.
      double portion = r.plan().tenants().get(i).portion();
      double entitled = portion > 0 ? Math.min(r.tenants.get(i).worthRequested, portion * r.all.worthRequested)
          : r.tenants.get(i).worthRequested;
      worstTenant = Math.min(worstTenant, Math.min(1, ratio(r.tenants.get(i).worthInTime, entitled)));
    }
    return new Goal(ratio(r.all.worthInTime, r.all.worthRequested), worst, worstFrom, worstClass, worstTenant);
  }

  private static double ratio(double delivered, double requested) {
    return requested <= 0 ? 1 : delivered / requested;
  }
}
