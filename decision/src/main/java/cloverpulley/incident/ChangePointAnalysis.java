package cloverpulley.incident;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.apache.commons.statistics.distribution.HypergeometricDistribution;
import org.apache.commons.statistics.distribution.PoissonDistribution;

/**
 * What came before a rise of bad answers. Rises are change points of the part of bad answers by second: binary segmentation on the
 * binomial likelihood, each split worth more than its penalty (Scott and Knott 1974; penalty as in BIC). A change (a server's state, a
 * start or a stop, a failed list) within reach before a rise is told with two figures: how surely the rise is one (Fisher's exact test of
 * the seconds before and after) and how often a change of its kind would lie that near by chance (Poisson). It is said to have come
 * before, never to have caused.
 */
public final class ChangePointAnalysis {

  private static final int LEAST_SECONDS = 2;
  private static final int MOST_POINTS = 64;
  /** Seconds that are segmented; longer courses are looked at in wider buckets. */
  private static final int MOST_BUCKETS = 20_000;
  private static final long SECOND = 1_000_000L;
  /** A change comes this much before a rise at most: a list poll, an ejection and the longest aim lie within. */
  private static final long REACH = 15 * SECOND;
  /** A rise's place is known to a bucket on either side. */
  private static final int PLACE = 1;

  /** A rise: when, from which part of bad answers to which, and the chance that the same part gives both sides. */
  public record Rise(long at, double ratioBefore, double ratioAfter, long answers, double pValue) {}

  /** A change that came before a rise; {@code pValue} is the chance of one of its kind as near without any tie between them. */
  public record CandidateCause(Rise rise, long at, String description, String instance, double pValue) {}

  private record Change(long at, String kind, String description, String instance) {}

  private final TreeMap<Long, long[]> seconds = new TreeMap<>();
  private final List<Change> changes = new ArrayList<>();
  private long first = Long.MAX_VALUE;
  private long last = Long.MIN_VALUE;

  /** Takes a record; {@code at} is its time on the reference's clock. */
  public void add(Entry e, long at) {
    first = Math.min(first, at);
    last = Math.max(last, at);
    String instance = e.origin().instance();
    switch (e.kind()) {
      case ANSWERED -> {
        if (!"caller".equals(e.word()) && e.other() != Entry.GONE) {
          long[] n = seconds.computeIfAbsent(Math.floorDiv(at, SECOND), s -> new long[2]);
          n[0]++;
          n[1] += e.other() == Entry.SERVED ? 0 : 1;
        }
      }
      case SERVER -> changes.add(new Change(at, e.word(), e.name() + " is " + e.word(), instance));
      case START -> changes.add(new Change(at, "start", instance + " starts", instance));
      case STOP -> changes.add(new Change(at, "stop", instance + " stops", instance));
      case REPLACED -> changes.add(new Change(at, "replaced", "the module of " + instance + " failed and was replaced", instance));
      case LIST -> {
        if ("failed".equals(e.word())) {
          changes.add(new Change(at, "list failed", "the list could not be had", instance));
        }
      }
      default -> { }
    }
  }

  /** The rises, in order of time. */
  public List<Rise> rises() {
    if (seconds.isEmpty()) {
      return List.of();
    }
    long from = seconds.firstKey();
    long span = seconds.lastKey() - from + 1;
    long width = Math.max(1, (span + MOST_BUCKETS - 1) / MOST_BUCKETS);
    int n = (int) ((span + width - 1) / width);
    long[] all = new long[n + 1];
    long[] bad = new long[n + 1];
    for (Map.Entry<Long, long[]> e : seconds.entrySet()) {
      int i = (int) ((e.getKey() - from) / width);
      all[i + 1] += e.getValue()[0];
      bad[i + 1] += e.getValue()[1];
    }
    for (int i = 0; i < n; i++) {
      all[i + 1] += all[i];
      bad[i + 1] += bad[i];
    }
    List<Integer> points = new ArrayList<>();
    split(all, bad, 0, n, 3 * Math.log(Math.max(2, n)), points);
    points.sort(Comparator.naturalOrder());
    points.add(0, 0);
    points.add(n);
    List<Rise> rises = new ArrayList<>();
    for (int i = 1; i + 1 < points.size(); i++) {
      int a = points.get(i - 1);
      int m = points.get(i);
      int b = points.get(i + 1);
      double before = part(all, bad, a, m);
      double after = part(all, bad, m, b);
      if (after > before) {
        rises.add(new Rise((from + m * width) * SECOND, before, after, all[b] - all[m], chance(all, bad, a, m, b)));
      }
    }
    return rises;
  }

  private static double part(long[] all, long[] bad, int a, int b) {
    long n = all[b] - all[a];
    return n == 0 ? 0 : (bad[b] - bad[a]) / (double) n;
  }

  private static void split(long[] all, long[] bad, int a, int b, double penalty, List<Integer> points) {
    if (b - a < 2 * LEAST_SECONDS || points.size() >= MOST_POINTS) {
      return;
    }
    double whole = likelihood(all, bad, a, b);
    double best = penalty;
    int at = -1;
    for (int m = a + LEAST_SECONDS; m <= b - LEAST_SECONDS; m++) {
      double gain = likelihood(all, bad, a, m) + likelihood(all, bad, m, b) - whole;
      if (gain > best) {
        best = gain;
        at = m;
      }
    }
    if (at >= 0) {
      points.add(at);
      split(all, bad, a, at, penalty, points);
      split(all, bad, at, b, penalty, points);
    }
  }

  private static double likelihood(long[] all, long[] bad, int a, int b) {
    long n = all[b] - all[a];
    long k = bad[b] - bad[a];
    return n == 0 || k == 0 || k == n ? 0 : k * Math.log(k / (double) n) + (n - k) * Math.log(1 - k / (double) n);
  }

  /** Fisher's exact test, one-sided: so many bad ones or more after, of all there were. */
  private static double chance(long[] all, long[] bad, int a, int m, int b) {
    // Counts beyond the distribution's whole numbers are scaled; the chance is then far too small to matter.
    long most = Math.max(1, (all[b] - all[a]) / 1_000_000);
    int population = (int) ((all[b] - all[a]) / most);
    int marked = (int) ((bad[b] - bad[a]) / most);
    int sample = (int) ((all[b] - all[m]) / most);
    int hits = (int) ((bad[b] - bad[m]) / most);
    if (population == 0 || marked == 0 || sample == 0 || sample > population || marked > population) {
      return 1;
    }
    return HypergeometricDistribution.of(population, marked, sample).survivalProbability(hits - 1);
  }

  /** For each rise the changes that came before it, the least likely by chance first; a rise without any is told by nothing. */
  public List<CandidateCause> candidateCauses() {
    List<CandidateCause> candidateCauses = new ArrayList<>();
    double span = Math.max(1, last - first);
    Map<String, Long> kinds = new TreeMap<>();
    changes.forEach(c -> kinds.merge(c.kind, 1L, Long::sum));
    for (Rise rise : rises()) {
      List<CandidateCause> mine = new ArrayList<>();
      for (Change c : changes) {
        long distance = rise.at - c.at;
        if (distance >= -PLACE * SECOND && distance <= REACH) {
          // The chance that at least one of so many of its kind, spread evenly over all the time, lies this near before.
          double expected = kinds.get(c.kind) * (Math.max(0, distance) + 2 * PLACE * SECOND) / span;
          mine.add(new CandidateCause(rise, c.at, c.description, c.instance, PoissonDistribution.of(expected).survivalProbability(0)));
        }
      }
      mine.sort(Comparator.comparingDouble(CandidateCause::pValue).thenComparing(CandidateCause::description));
      candidateCauses.addAll(mine);
    }
    return candidateCauses;
  }
}
