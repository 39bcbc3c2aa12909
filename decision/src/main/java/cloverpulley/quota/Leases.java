package cloverpulley.quota;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Divides the guarantee of each node of the quota tree ({@link QuotaPlan}) among the instances of an installation, in leases that follow
 * demand and expire. The sum of what instances may use never exceeds the guarantee: a lease grows only by what other instances are known to
 * have released, and an instance that does not report is assumed to use its even share, to which it falls back by itself
 * ({@link LeaseHolder}). The division is max-min fair: an instance that overstates its demand gets no more than what the others leave of
 * their even shares.
 *
 * <p>An installation is the set of instances that share one quota plan. A node is identified by its path in the tree; a lane is one
 * dimension over one window, and has a guarantee of its own in each node ({@link Lane}).
 *
 * <p>A coordinator is a process that runs this class and receives the instances' reports. Several coordinators may be active at a time, because
 * each instance uses the first that it can reach. A coordinator without reports from a majority of the instances gives none of them more than
 * an even share; one that has just gained a majority lets no lease grow until all older leases must have fallen back.
 *
 * <p>Pure logic: reports in, leases out. Times are nanoseconds of one monotonic clock of the coordinator. Not thread-safe.
 */
public final class Leases {

  /** Minimum lease of a reporting instance, as a ratio of its even share: an instance without demand may get requests at any moment. */
  static final double MIN_SHARE_RATIO = 0.2;
  /** A lease exceeds the demand by this factor where enough is available. */
  private static final double HEADROOM = 1.2;
  /** Relative tolerance for rounding errors in a sum of allowances. */
  private static final double ROUNDING_TOLERANCE = 1e-9;

  /**
   * Terms of the leases.
   *
   * @param instances number of instances, reporting or not
   * @param validNanos validity of a lease
   * @param fallNanos fall-back time: after the validity an allowance above the even share falls linearly to it in this time
   * @param reclaimNanos time without a report after which an instance's even share is given to others; 0 for never. The sum then exceeds
   *     the guarantee by that share if the instance is not dead but partitioned
   */
  public record Terms(int instances, long validNanos, long fallNanos, long reclaimNanos) {
    public Terms {
      if (instances < 1 || validNanos <= 0 || fallNanos < 0 || reclaimNanos < 0
          || reclaimNanos > 0 && reclaimNanos < validNanos + fallNanos) {
        throw new IllegalArgumentException("quota leases: expected at least 1 instance, a validity above 0 and reclaiming no earlier than "
            + "the end of validity and fall-back");
      }
    }
  }

  /**
   * Report of an instance.
   *
   * @param seq grows with each report since the instance's start; a report that is not newer is ignored
   * @param heldLease number of the lease that it holds; 0 for none
   * @param demand by path of the node: units requested per window of the lane, in the order of the lanes
   * @param allowances by path of the node: units that it may use per window at present, by its lease or its fall-back
   */
  public record Report(String instance, long seq, long heldLease, Map<String, double[]> demand, Map<String, double[]> allowances) {}

  /** What an instance may use: by path of the node one value per lane, valid for a time from the sending of the report that it answers. */
  public record Lease(long number, long validNanos, Map<String, double[]> allowances) {}

  private static final class InstanceState {
    long seq;
    /** When its last report was processed. */
    long reportedAt;
    long heldLease;
    Map<String, double[]> demand = Map.of();
    /** Upper bound of what it may still be using, from its leases and its reports. */
    Map<String, double[]> maxAllowances = new HashMap<>();
    long lastLease;
    Map<String, double[]> lastAllowances = Map.of();
  }

  private final QuotaPlan plan;
  private final Terms terms;
  private final Map<String, InstanceState> instances = new HashMap<>();
  private final long startedAt;
  /** Since when a majority of the instances has been reporting; the grace period of {@link #issueLease} starts then. */
  private long majoritySince;
  private long lastNumber;

  /** @param initialNumber start of the lease numbers, such as a clock reading, so that no number of an earlier coordinator is used again */
  public Leases(QuotaPlan plan, Terms terms, long now, long initialNumber) {
    this.plan = plan;
    this.terms = terms;
    startedAt = now;
    majoritySince = now;
    lastNumber = initialNumber;
  }

  /** Processes a report and returns the lease that answers it; null for an outdated report. */
  public Lease handleReport(long now, Report r) {
    InstanceState state = instances.get(r.instance);
    if (state == null) {
      if (instances.size() >= terms.instances) {
        removeExpired(now);
      }
      if (instances.size() >= terms.instances) {
        throw new IllegalArgumentException("quota leases: " + r.instance + " is one more than the " + terms.instances + " instances there are");
      }
      state = new InstanceState();
      instances.put(r.instance, state);
    } else if (r.seq <= state.seq && now - state.reportedAt <= terms.validNanos) {
      return null; // Late or repeated. An instance without reports for longer than the validity may have restarted its sequence.
    }
    state.seq = r.seq;
    state.reportedAt = now;
    state.demand = r.demand;
    // An instance that confirms the last lease can't be using an older one. One with another coordinator's lease reports what it uses.
    if (r.heldLease == state.lastLease && state.lastLease != 0) {
      state.maxAllowances = copy(state.lastAllowances);
    } else {
      for (String path : plan.nodes().keySet()) {
        double[] reported = r.allowances.getOrDefault(path, evenShare(path));
        state.maxAllowances.merge(path, clamp(path, reported), (a, b) -> r.heldLease == 0 && r.allowances.containsKey(path) ? b
            : elementwiseMax(a, b));
      }
    }
    return issueLease(now, r.instance, state);
  }

  private static Map<String, double[]> copy(Map<String, double[]> of) {
    Map<String, double[]> copy = new HashMap<>();
    of.forEach((path, values) -> copy.put(path, values.clone()));
    return copy;
  }

  private static double[] elementwiseMax(double[] a, double[] b) {
    double[] max = a.clone();
    for (int i = 0; i < max.length; i++) {
      max[i] = Math.max(a[i], b[i]);
    }
    return max;
  }

  /** Limits a reported allowance to the guarantee. */
  private double[] clamp(String path, double[] reported) {
    double[] guarantee = plan.nodes().get(path).guarantee();
    double[] clamped = new double[guarantee.length];
    for (int i = 0; i < guarantee.length; i++) {
      double s = i < reported.length && reported[i] >= 0 ? reported[i] : guarantee[i];
      clamped[i] = Math.min(guarantee[i], s);
    }
    return clamped;
  }

  private double[] evenShare(String path) {
    double[] evenShare = plan.nodes().get(path).guarantee().clone();
    for (int i = 0; i < evenShare.length; i++) {
      evenShare[i] /= terms.instances;
    }
    return evenShare;
  }

  /** Removes the instances whose last leases must have expired and fallen back. */
  private void removeExpired(long now) {
    long expiryNanos = terms.validNanos + terms.fallNanos;
    instances.values().removeIf(state -> now - state.reportedAt > expiryNanos);
  }

  /** Returns the upper bound of what an instance may be using now. */
  private double maxInUse(InstanceState state, long now, String path, int lane, double evenShare) {
    double maxAllowance = state.maxAllowances.containsKey(path) ? state.maxAllowances.get(path)[lane] : evenShare;
    long past = now - state.reportedAt - terms.validNanos;
    // The lease may have reached the instance up to one validity late. It counts in full for twice the validity, then falls back linearly.
    double remaining = past <= terms.validNanos ? 1 : terms.fallNanos == 0 ? 0
        : Math.max(0, 1 - (past - terms.validNanos) / (double) terms.fallNanos);
    return maxAllowance > evenShare ? evenShare + (maxAllowance - evenShare) * remaining
        : maxAllowance + (evenShare - maxAllowance) * (past > 0 ? 1 : 0);
  }

  private Lease issueLease(long now, String instance, InstanceState state) {
    Map<String, double[]> allowances = new HashMap<>();
    boolean hasMajority = hasMajority(now);
    // Twice the validity and the fall-back time is how long maxInUse takes a lease to last: those that other coordinators issued are over then.
    boolean inGracePeriod = now - majoritySince < 2 * terms.validNanos + terms.fallNanos;
    for (QuotaPlan.NodeSpec s : plan.nodes().values()) {
      double[] allowance = new double[s.guarantee().length];
      for (int lane = 0; lane < allowance.length; lane++) {
        allowance[lane] = computeAllowance(now, instance, state, s, lane, inGracePeriod, hasMajority);
      }
      allowances.put(s.path(), allowance);
    }
    state.lastAllowances = allowances;
    state.lastLease = ++lastNumber;
    // Until it confirms the new lease, it may be using either.
    allowances.forEach((path, values) -> state.maxAllowances.merge(path, values, Leases::elementwiseMax));
    return new Lease(state.lastLease, terms.validNanos, copy(allowances));
  }

  private double computeAllowance(long now, String instance, InstanceState state, QuotaPlan.NodeSpec s, int lane, boolean inGracePeriod,
      boolean hasMajority) {
    double total = s.guarantee()[lane];
    double evenShare = total / terms.instances;
    double others = 0;
    int reporting = 0;
    List<Double> demands = new ArrayList<>();
    for (Map.Entry<String, InstanceState> e : instances.entrySet()) {
      InstanceState other = e.getValue();
      // Without reports for that long, an instance counts as missing.
      boolean unresponsive = terms.reclaimNanos > 0 && now - other.reportedAt > terms.reclaimNanos;
      if (!unresponsive) {
        reporting++;
        demands.add(demand(other, s.path(), lane, evenShare));
        others += e.getKey().equals(instance) ? 0 : maxInUse(other, now, s.path(), lane, evenShare);
      }
    }
    // Instances that never reported use their even share. During the grace period it is unknown which instances exist.
    int missing = terms.instances - reporting;
    // The even shares of missing instances are given to others once the coordinator has run long enough to have heard from them.
    boolean reclaimsMissing = terms.reclaimNanos > 0 && now - startedAt > terms.reclaimNanos;
    // Divided among the reporting instances by demand; unclaimed is what of it the others can't be using now.
    double available = total - (reclaimsMissing ? 0 : missing * evenShare);
    double target = maxMinShare(demands, demand(state, s.path(), lane, evenShare), available);
    double current = state.maxAllowances.containsKey(s.path()) ? state.maxAllowances.get(s.path())[lane] : evenShare;
    double unclaimed = Math.max(0, total - (reclaimsMissing ? 0 : missing * evenShare) - others);
    // An instance that has not reported may hold more than its even share from another coordinator, so no lease grows during the grace
    // period. Without a majority another coordinator may have it, so no instance gets more than its even share.
    double allowed = !hasMajority ? Math.min(Math.min(target, current), evenShare) : inGracePeriod ? Math.min(target, current) : target;
    return Math.max(0, Math.min(allowed, unclaimed));
  }

  /**
   * Whether more than half of all instances reported within the validity; restarts the grace period if not. Two coordinators can't both see
   * that for long.
   */
  private boolean hasMajority(long now) {
    int recent = 0;
    for (InstanceState state : instances.values()) {
      recent += now - state.reportedAt <= terms.validNanos ? 1 : 0;
    }
    boolean has = 2 * recent > terms.instances;
    if (!has) {
      majoritySince = now;
    }
    return has;
  }

  private static double demand(InstanceState state, String path, int lane, double evenShare) {
    double[] demand = state.demand.get(path);
    double units = demand == null || lane >= demand.length || !(demand[lane] >= 0) ? 0 : demand[lane];
    return Math.max(MIN_SHARE_RATIO * evenShare, HEADROOM * units);
  }

  /** Returns the max-min fair share of one demand; what all demands leave is divided evenly. */
  static double maxMinShare(List<Double> demands, double own, double supply) {
    double[] sorted = demands.stream().mapToDouble(d -> d).sorted().toArray();
    double remaining = supply;
    double level = Double.POSITIVE_INFINITY;
    for (int i = 0; i < sorted.length; i++) {
      double part = remaining / (sorted.length - i);
      if (sorted[i] > part) {
        level = part;
        break;
      }
      remaining -= sorted[i];
    }
    double surplus = level == Double.POSITIVE_INFINITY && sorted.length > 0 ? Math.max(0, supply - Arrays.stream(sorted).sum()) / sorted.length : 0;
    return Math.min(own, level) + surplus;
  }

  /** Returns the upper bound of what all known instances may be using of a node in a lane, with a tolerance for rounding errors. */
  public double allocatedUpperBound(String path, int lane, long now) {
    double evenShare = plan.nodes().get(path).guarantee()[lane] / terms.instances;
    double sum = 0;
    for (InstanceState state : instances.values()) {
      sum += maxInUse(state, now, path, lane, evenShare);
    }
    return sum * (1 + ROUNDING_TOLERANCE);
  }
}
