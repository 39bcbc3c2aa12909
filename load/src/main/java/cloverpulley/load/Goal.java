package cloverpulley.load;

/**
 * The goal as the operators count it: the worth of answers in time against the worth asked for, a request's retries folded into
 * its first try. Weights: 55% the whole run, 15% its worst ten seconds, 5% the class served worst, 25% the tenant served worst
 * within its share.
 */
public record Goal(double whole, double worstTen, int worstTenAt, double worstClass, double worstTenant) {

  private static final double WHOLE = 0.55;
  private static final double TEN = 0.15;
  private static final double CLASS = 0.05;
  private static final double TENANT = 0.25;
  private static final int WINDOW_S = 10;

  /** G, from 0 to 1. */
  public double g() {
    return WHOLE * whole + TEN * worstTen + CLASS * worstClass + TENANT * worstTenant;
  }

  /** The goal of a run; what nothing was asked of counts as served. */
  public static Goal of(Results r) {
    double worst = 1;
    int worstAt = 0;
    int last = Math.max(0, r.seconds.size() - WINDOW_S);
    for (int from = 0; from <= last; from++) {
      double asked = 0;
      double inTime = 0;
      for (int s = from; s < Math.min(r.seconds.size(), from + WINDOW_S); s++) {
        asked += r.seconds.get(s).worthAsked;
        inTime += r.seconds.get(s).worthInTime;
      }
      if (part(inTime, asked) < worst) {
        worst = part(inTime, asked);
        worstAt = from;
      }
    }
    double worstClass = r.types.stream().mapToDouble(t -> part(t.worthInTime, t.worthAsked)).min().orElse(1);
    double worstTenant = 1;
    for (int i = 0; i < r.tenants.size(); i++) {
      // Within its share: what a tenant asks beyond its portion of all is not owed to it.
      double portion = r.plan().tenants().get(i).portion();
      double owed = portion > 0 ? Math.min(r.tenants.get(i).worthAsked, portion * r.all.worthAsked)
          : r.tenants.get(i).worthAsked;
      worstTenant = Math.min(worstTenant, Math.min(1, part(r.tenants.get(i).worthInTime, owed)));
    }
    return new Goal(part(r.all.worthInTime, r.all.worthAsked), worst, worstAt, worstClass, worstTenant);
  }

  private static double part(double got, double asked) {
    return asked <= 0 ? 1 : got / asked;
  }
}
