package cloverpulley.quota;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Divides each node's guarantee among the instances of an installation: leases, after demand, for a time. The sum of what instances may
 * use is never more than the guarantee: a lease grows only by what others have been seen to have given up, and an instance that is not
 * heard of is taken to use its even part, to which it falls back by itself ({@link LeaseHolder}). Max-min fair: whoever claims a demand
 * that it has not gets no more than what the others leave of theirs, up to an even part each.
 *
 * <p>Several may divide at a time, as instances turn to the first that they can reach: one that does not hear of more than half of all
 * gives nobody more than an even part, and one that begins to lets nobody grow until all older leases have surely fallen back.
 *
 * <p>Pure: reports in, leases out. One thread.
 */
public final class Leases {

  /** Every instance that is heard of has this part of its even part at least: who asks for nothing now may ask in a moment. */
  static final double LEAST_PART = 0.2;
  /** A lease is this much more than what was asked for, where there is as much. */
  private static final double HEADROOM = 1.2;
  private static final double ROUNDING = 1e-9;

  /**
   * @param instances how many there are in all, heard of or not
   * @param validNanos how long a lease is good
   * @param fallNanos how long after that it takes to fall to an even part
   * @param reclaimNanos after so long without a word an instance's even part is given to others; 0 for never. Where one is cut off, and
   *     not dead, the sum is then over by its even part
   */
  public record Terms(int instances, long validNanos, long fallNanos, long reclaimNanos) {
    public Terms {
      if (instances < 1 || validNanos <= 0 || fallNanos < 0 || reclaimNanos < 0
          || reclaimNanos > 0 && reclaimNanos < validNanos + fallNanos) {
        throw new IllegalArgumentException("quota leases: expected an instance at least, a time for which leases are good, and no reclaiming "
            + "before they have fallen back");
      }
    }
  }

  /**
   * What an instance says.
   *
   * @param seq grows with each report of one life; a report that is not newer is not counted
   * @param holds the number of the lease that it has; 0 for none
   * @param asked by node: units asked for in a lane's window, in the order of the lanes
   * @param uses by node: what it may use as it stands, by its lease or its fall-back
   */
  public record Report(String instance, long seq, long heldLease, Map<String, double[]> demand, Map<String, double[]> allowances) {}

  /** What an instance may use: by node a figure for each lane, good for so long from its coming. */
  public record Lease(long number, long validNanos, Map<String, double[]> allowances) {}

  /** What is known of an instance. */
  private static final class Known {
    long seq;
    long heardAt;
    long holds;
    Map<String, double[]> asked = Map.of();
    /** The most that it may still be using, by what it was given and what it said. */
    Map<String, double[]> most = new HashMap<>();
    long given;
    Map<String, double[]> last = Map.of();
  }

  private final QuotaPlan plan;
  private final Terms terms;
  private final Map<String, Known> instances = new HashMap<>();
  private final long startedAt;
  /** Since when it has been hearing of most instances. */
  private long mostSince;
  private long numbers;

  /** @param numbersFrom leases of a coordinator that was one before never bear a number again: such as a clock reading */
  public Leases(QuotaPlan plan, Terms terms, long now, long numbersFrom) {
    this.plan = plan;
    this.terms = terms;
    startedAt = now;
    mostSince = now;
    numbers = numbersFrom;
  }

  /** Takes a report, and gives the lease that follows from it; null for one that is old. */
  public Lease handleReport(long now, Report r) {
    Known k = instances.get(r.instance);
    if (k == null) {
      if (instances.size() >= terms.instances) {
        forgetGone(now);
      }
      if (instances.size() >= terms.instances) {
        throw new IllegalArgumentException("quota leases: " + r.instance + " is one more than the " + terms.instances + " instances there are");
      }
      k = new Known();
      instances.put(r.instance, k);
    } else if (r.seq <= k.seq && now - k.heardAt <= terms.validNanos) {
      return null; // Of the same life, late or twice. One that was not heard for so long may have begun anew.
    }
    k.seq = r.seq;
    k.heardAt = now;
    k.asked = r.demand;
    // What it holds has been seen: only that counts, and no older lease. One that holds another's lease says what it uses.
    if (r.heldLease == k.given && k.given != 0) {
      k.most = copy(k.last);
    } else {
      for (String path : plan.nodes().keySet()) {
        double[] says = r.allowances.getOrDefault(path, even(path));
        k.most.merge(path, clipped(path, says), (a, b) -> r.heldLease == 0 && r.allowances.containsKey(path) ? b : larger(a, b));
      }
    }
    return lease(now, r.instance, k);
  }

  private static Map<String, double[]> copy(Map<String, double[]> of) {
    Map<String, double[]> copy = new HashMap<>();
    of.forEach((path, f) -> copy.put(path, f.clone()));
    return copy;
  }

  private static double[] larger(double[] a, double[] b) {
    double[] larger = a.clone();
    for (int i = 0; i < larger.length; i++) {
      larger[i] = Math.max(a[i], b[i]);
    }
    return larger;
  }

  /** What somebody says that it uses is never more than there is. */
  private double[] clipped(String path, double[] says) {
    double[] all = plan.nodes().get(path).guarantee();
    double[] clipped = new double[all.length];
    for (int i = 0; i < all.length; i++) {
      double s = i < says.length && says[i] >= 0 ? says[i] : all[i];
      clipped[i] = Math.min(all[i], s);
    }
    return clipped;
  }

  private double[] even(String path) {
    double[] even = plan.nodes().get(path).guarantee().clone();
    for (int i = 0; i < even.length; i++) {
      even[i] /= terms.instances;
    }
    return even;
  }

  private void forgetGone(long now) {
    long most = terms.validNanos + terms.fallNanos;
    instances.values().removeIf(k -> now - k.heardAt > most);
  }

  /** What an instance may be using at this time at most. */
  private double using(Known k, long now, String path, int lane, double even) {
    double most = k.most.containsKey(path) ? k.most.get(path)[lane] : even;
    long past = now - k.heardAt - terms.validNanos;
    // Its lease may have come late by as much as it is good, and falls after that.
    double left = past <= terms.validNanos ? 1 : terms.fallNanos == 0 ? 0 : Math.max(0, 1 - (past - terms.validNanos) / (double) terms.fallNanos);
    return most > even ? even + (most - even) * left : most + (even - most) * (past > 0 ? 1 : 0);
  }

  private Lease lease(long now, String instance, Known k) {
    Map<String, double[]> figures = new HashMap<>();
    boolean most = hasMost(now);
    boolean learning = now - mostSince < 2 * terms.validNanos + terms.fallNanos;
    for (QuotaPlan.NodeSpec s : plan.nodes().values()) {
      double[] given = new double[s.guarantee().length];
      for (int lane = 0; lane < given.length; lane++) {
        given[lane] = figure(now, instance, k, s, lane, learning, most);
      }
      figures.put(s.path(), given);
    }
    k.last = figures;
    k.given = ++numbers;
    // Until it is seen to hold the new one it may use either.
    figures.forEach((path, f) -> k.most.merge(path, f, Leases::larger));
    return new Lease(k.given, terms.validNanos, copy(figures));
  }

  private double figure(long now, String instance, Known k, QuotaPlan.NodeSpec s, int lane, boolean learning, boolean most) {
    double all = s.guarantee()[lane];
    double even = all / terms.instances;
    double others = 0;
    int heard = 0;
    List<Double> demands = new ArrayList<>();
    for (Map.Entry<String, Known> e : instances.entrySet()) {
      Known o = e.getValue();
      boolean gone = terms.reclaimNanos > 0 && now - o.heardAt > terms.reclaimNanos;
      if (!gone) {
        heard++;
        demands.add(demand(o, s.path(), lane, even));
        others += e.getKey().equals(instance) ? 0 : using(o, now, s.path(), lane, even);
      }
    }
    // Those never heard of use their even part: before the end of the learning nobody knows who there is.
    int unheard = terms.instances - heard;
    boolean reclaimed = terms.reclaimNanos > 0 && now - startedAt > terms.reclaimNanos;
    double there = all - (reclaimed ? 0 : unheard * even);
    double wanted = fair(demands, demand(k, s.path(), lane, even), there);
    double own = k.most.containsKey(s.path()) ? k.most.get(s.path())[lane] : even;
    double room = Math.max(0, all - (reclaimed ? 0 : unheard * even) - others);
    // Somebody not heard of may hold more than its even part, of another coordinator: while that may be, nobody grows. Without most of the
    // instances there may be another coordinator that has them: then nobody has more than its even part either.
    double may = !most ? Math.min(Math.min(wanted, own), even) : learning ? Math.min(wanted, own) : wanted;
    return Math.max(0, Math.min(may, room));
  }

  /** Whether more than half of all instances have been heard of lately: no two coordinators can say so for long. */
  private boolean hasMost(long now) {
    int lately = 0;
    for (Known k : instances.values()) {
      lately += now - k.heardAt <= terms.validNanos ? 1 : 0;
    }
    boolean has = 2 * lately > terms.instances;
    if (!has) {
      mostSince = now;
    }
    return has;
  }

  private static double demand(Known k, String path, int lane, double even) {
    double[] asked = k.asked.get(path);
    double said = asked == null || lane >= asked.length || !(asked[lane] >= 0) ? 0 : asked[lane];
    return Math.max(LEAST_PART * even, HEADROOM * said);
  }

  /** Max-min fair: the part of one demand of all, what is left over divided evenly. */
  static double fair(List<Double> demands, double own, double all) {
    double[] sorted = demands.stream().mapToDouble(d -> d).sorted().toArray();
    double left = all;
    double level = Double.POSITIVE_INFINITY;
    for (int i = 0; i < sorted.length; i++) {
      double part = left / (sorted.length - i);
      if (sorted[i] > part) {
        level = part;
        break;
      }
      left -= sorted[i];
    }
    double over = level == Double.POSITIVE_INFINITY && sorted.length > 0 ? Math.max(0, all - Arrays.stream(sorted).sum()) / sorted.length : 0;
    return Math.min(own, level) + over;
  }

  /** Whether leases of a node add up to no more than there is, by what is known here; for tests and figures. */
  public double allocatedUpperBound(String path, int lane, long now) {
    double even = plan.nodes().get(path).guarantee()[lane] / terms.instances;
    double sum = 0;
    for (Known k : instances.values()) {
      sum += using(k, now, path, lane, even);
    }
    return sum * (1 + ROUNDING);
  }
}
