package cloverpulley.quota;

import cloverpulley.quota.Leases.Lease;
import cloverpulley.quota.Leases.Report;
import cloverpulley.quota.Leases.Terms;
import java.util.HashMap;
import java.util.Map;

/**
 * An instance's side of {@link Leases}: what it may use of each node, and what it reports. Without a word from the others it goes on with
 * its last lease while that is good, and then falls to an even part. Pure; one thread.
 */
public final class LeaseHolder {

  private final QuotaPlan plan;
  private final Terms terms;
  private final String instance;
  private final long bornAt;
  private Lease lease;
  private long takenAt;
  private long seq;

  /** @param seqFrom higher than in an earlier life, such as a clock reading */
  public LeaseHolder(QuotaPlan plan, Terms terms, String instance, long now, long seqFrom) {
    bornAt = now;
    this.plan = plan;
    this.terms = terms;
    this.instance = instance;
    seq = seqFrom;
  }

  /** Takes a lease that answers a report sent at {@code sentAt}: from then on it is good. The answer to an older report changes nothing. */
  public boolean accept(long sentAt, Lease next) {
    if (lease != null && sentAt <= takenAt || next.validNanos() <= 0) {
      return false;
    }
    lease = next;
    takenAt = sentAt;
    return true;
  }

  /** What it may use of a node in a lane. */
  public double allowance(long now, String path, int lane) {
    double all = plan.nodes().get(path).guarantee()[lane];
    double even = all / terms.instances();
    double[] held = lease == null ? null : lease.allowances().get(path);
    if (held == null || lane >= held.length || !(held[lane] >= 0)) {
      // An earlier life may have had less than its even part, and others the rest: until they have surely fallen back a little has to do.
      return now - bornAt <= 3 * terms.validNanos() + terms.fallNanos() ? Leases.MIN_SHARE_RATIO * even : even;
    }
    // Never more than there is, whoever gave it.
    double given = Math.min(all, held[lane]);
    long past = now - takenAt - Math.min(lease.validNanos(), terms.validNanos());
    if (past <= 0) {
      return given;
    }
    if (given < even) {
      // One that was given less than its even part must not take it before all others have fallen to theirs.
      return past <= 2 * terms.validNanos() + terms.fallNanos() ? given : even;
    }
    double left = terms.fallNanos() == 0 ? 0 : Math.max(0, 1 - past / (double) terms.fallNanos());
    return even + (given - even) * left;
  }

  /** All that it may use now: by node the figures of the lanes, children's never more than their parent's. */
  public Map<String, double[]> allowances(long now) {
    Map<String, double[]> all = new HashMap<>();
    int lanes = plan.lanes().size();
    for (QuotaPlan.NodeSpec s : plan.nodes().values()) {
      double[] f = new double[lanes];
      for (int i = 0; i < lanes; i++) {
        f[i] = allowance(now, s.path(), i);
      }
      all.put(s.path(), f);
    }
    // Nodes are divided one by one; below a parent that was given less than its children they are cut alike.
    for (String path : plan.nodes().keySet()) {
      for (int i = 0; i < lanes; i++) {
        double sum = 0;
        for (String c : plan.children(path)) {
          sum += all.get(c)[i];
        }
        double most = all.get(path)[i];
        for (String c : sum > most ? plan.children(path) : java.util.List.<String>of()) {
          all.get(c)[i] *= most / sum;
        }
      }
    }
    return all;
  }

  /** What is said next, with what was asked for since the last report in terms of a window. */
  public Report nextReport(long now, Map<String, double[]> asked) {
    return new Report(instance, ++seq, lease == null ? 0 : lease.number(), asked, allowances(now));
  }
}
