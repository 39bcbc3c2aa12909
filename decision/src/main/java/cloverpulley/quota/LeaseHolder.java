package cloverpulley.quota;

import cloverpulley.quota.Leases.Lease;
import cloverpulley.quota.Leases.Report;
import cloverpulley.quota.Leases.Terms;
import java.util.HashMap;
import java.util.Map;

/**
 * An instance's side of {@link Leases}: what it may use of each node, and its reports. Without answers it keeps its last lease while that
 * is valid, and then falls back to an even share. Pure logic; not thread-safe.
 */
public final class LeaseHolder {

  private final QuotaPlan plan;
  private final Terms terms;
  private final String instance;
  private final long startedAt;
  private Lease lease;
  private long validFrom;
  private long seq;

  /** @param initialSeq start of the sequence numbers, higher than any number before a restart, such as a clock reading */
  public LeaseHolder(QuotaPlan plan, Terms terms, String instance, long now, long initialSeq) {
    startedAt = now;
    this.plan = plan;
    this.terms = terms;
    this.instance = instance;
    seq = initialSeq;
  }

  /** Accepts a lease that answers a report sent at {@code sentAt}; its validity starts then. The answer to an older report is ignored. */
  public boolean accept(long sentAt, Lease next) {
    if (lease != null && sentAt <= validFrom || next.validNanos() <= 0) {
      return false;
    }
    lease = next;
    validFrom = sentAt;
    return true;
  }

  /** Returns what the instance may use of a node in a lane. */
  public double allowance(long now, String path, int lane) {
    double total = plan.nodes().get(path).guarantee()[lane];
    double evenShare = total / terms.instances();
    double[] leased = lease == null ? null : lease.allowances().get(path);
    if (leased == null || lane >= leased.length || !(leased[lane] >= 0)) {
      // Before a restart it may have had less than its even share, and others the rest. Until their leases must have fallen back, it uses
      // the minimum share only.
      return now - startedAt <= 3 * terms.validNanos() + terms.fallNanos() ? Leases.MIN_SHARE_RATIO * evenShare : evenShare;
    }
    // Never more than the guarantee, whichever coordinator issued it.
    double allowance = Math.min(total, leased[lane]);
    long expiredFor = now - validFrom - Math.min(lease.validNanos(), terms.validNanos());
    if (expiredFor <= 0) {
      return allowance;
    }
    if (allowance < evenShare) {
      // An instance with less than its even share must not take it before all others have fallen back to theirs.
      return expiredFor <= 2 * terms.validNanos() + terms.fallNanos() ? allowance : evenShare;
    }
    double remaining = terms.fallNanos() == 0 ? 0 : Math.max(0, 1 - expiredFor / (double) terms.fallNanos());
    return evenShare + (allowance - evenShare) * remaining;
  }

  /** Returns what the instance may use now: by node one value per lane. Children never add up to more than their parent. */
  public Map<String, double[]> allowances(long now) {
    Map<String, double[]> allowances = new HashMap<>();
    int lanes = plan.lanes().size();
    for (QuotaPlan.NodeSpec s : plan.nodes().values()) {
      double[] values = new double[lanes];
      for (int i = 0; i < lanes; i++) {
        values[i] = allowance(now, s.path(), i);
      }
      allowances.put(s.path(), values);
    }
    // Nodes are divided independently; children that add up to more than their parent are scaled down in proportion.
    for (String path : plan.nodes().keySet()) {
      for (int i = 0; i < lanes; i++) {
        double sum = 0;
        for (String c : plan.children(path)) {
          sum += allowances.get(c)[i];
        }
        double limit = allowances.get(path)[i];
        for (String c : sum > limit ? plan.children(path) : java.util.List.<String>of()) {
          allowances.get(c)[i] *= limit / sum;
        }
      }
    }
    return allowances;
  }

  /** Returns the next report, with the units requested per window since the last one. */
  public Report nextReport(long now, Map<String, double[]> demand) {
    return new Report(instance, ++seq, lease == null ? 0 : lease.number(), demand, allowances(now));
  }
}
