package cloverpulley.incident;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.apache.commons.statistics.distribution.HypergeometricDistribution;
import org.apache.commons.statistics.distribution.PoissonDistribution;

/**
 * Finds rises of the ratio of unserved (rejected or failed) answers and the changes that preceded them. Rises are change points of the
 * ratio by second, found by binary segmentation on the binomial likelihood, where each split must gain more than a penalty (Scott and Knott
 * 1974; penalty as in BIC). A change (of a server's state, a start or a stop, a failed list update) shortly before a rise is reported with
 * two p-values: that of the rise (Fisher's exact test of the seconds before and after) and that of a change of its kind being that close by
 * chance (Poisson). Such a change is reported as having preceded the rise, never as its cause.
 */
public final class ChangePointAnalysis {

  private static final int MIN_SECONDS = 2;
  private static final int MAX_POINTS = 64;
  /** Maximum number of buckets to segment, one second each; longer timelines use wider buckets. */
  private static final int MAX_BUCKETS = 20_000;
  private static final long SECOND = 1_000_000L;
  /** Maximum time from a change to a rise: covers a list poll, an ejection and the longest target latency. */
  private static final long MAX_DISTANCE = 15 * SECOND;
  /** Uncertainty of the position of a rise, in buckets on either side. */
  private static final int POSITION_UNCERTAINTY = 1;

  /** A rise of the ratio of unserved answers; {@code pValue} is the probability that the same ratio produced both sides. */
  public record Rise(long at, double ratioBefore, double ratioAfter, long answers, double pValue) {}

  /** A change that preceded a rise; {@code pValue} is the probability of one of its kind being as close if the two are independent. */
  public record CandidateCause(Rise rise, long at, String description, String instance, double pValue) {}

  private record Change(long at, String kind, String description, String instance) {}

  private final TreeMap<Long, long[]> countsBySecond = new TreeMap<>();
  private final List<Change> changes = new ArrayList<>();
  private long first = Long.MAX_VALUE;
  private long last = Long.MIN_VALUE;

  /** Adds a record; {@code at} is its reference time. */
  public void add(Entry e, long at) {
    first = Math.min(first, at);
    last = Math.max(last, at);
    String instance = e.origin().instance();
    switch (e.kind()) {
      case ANSWERED -> {
        if (!"caller".equals(e.word()) && e.other() != Entry.GONE) {
          long[] n = countsBySecond.computeIfAbsent(Math.floorDiv(at, SECOND), s -> new long[2]);
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
          changes.add(new Change(at, "list failed", "the endpoint list could not be fetched", instance));
        }
      }
      default -> { }
    }
  }

  /** The rises in chronological order. */
  public List<Rise> rises() {
    if (countsBySecond.isEmpty()) {
      return List.of();
    }
    long from = countsBySecond.firstKey();
    long span = countsBySecond.lastKey() - from + 1;
    long width = Math.max(1, (span + MAX_BUCKETS - 1) / MAX_BUCKETS);
    int n = (int) ((span + width - 1) / width);
    long[] all = new long[n + 1];
    long[] unserved = new long[n + 1];
    for (Map.Entry<Long, long[]> e : countsBySecond.entrySet()) {
      int i = (int) ((e.getKey() - from) / width);
      all[i + 1] += e.getValue()[0];
      unserved[i + 1] += e.getValue()[1];
    }
    for (int i = 0; i < n; i++) {
      all[i + 1] += all[i];
      unserved[i + 1] += unserved[i];
    }
    List<Integer> points = new ArrayList<>();
    split(all, unserved, 0, n, 3 * Math.log(Math.max(2, n)), points);
    points.sort(Comparator.naturalOrder());
    points.add(0, 0);
    points.add(n);
    List<Rise> rises = new ArrayList<>();
    for (int i = 1; i + 1 < points.size(); i++) {
      int a = points.get(i - 1);
      int m = points.get(i);
      int b = points.get(i + 1);
      double before = ratio(all, unserved, a, m);
      double after = ratio(all, unserved, m, b);
      if (after > before) {
        rises.add(new Rise((from + m * width) * SECOND, before, after, all[b] - all[m], fisherPValue(all, unserved, a, m, b)));
      }
    }
    return rises;
  }

  private static double ratio(long[] all, long[] unserved, int a, int b) {
    long n = all[b] - all[a];
    return n == 0 ? 0 : (unserved[b] - unserved[a]) / (double) n;
  }

  private static void split(long[] all, long[] unserved, int a, int b, double penalty, List<Integer> points) {
    if (b - a < 2 * MIN_SECONDS || points.size() >= MAX_POINTS) {
      return;
    }
    double whole = likelihood(all, unserved, a, b);
    double best = penalty;
    int at = -1;
    for (int m = a + MIN_SECONDS; m <= b - MIN_SECONDS; m++) {
      double gain = likelihood(all, unserved, a, m) + likelihood(all, unserved, m, b) - whole;
      if (gain > best) {
        best = gain;
        at = m;
      }
    }
    if (at >= 0) {
      points.add(at);
      split(all, unserved, a, at, penalty, points);
      split(all, unserved, at, b, penalty, points);
    }
  }

  private static double likelihood(long[] all, long[] unserved, int a, int b) {
    long n = all[b] - all[a];
    long k = unserved[b] - unserved[a];
    return n == 0 || k == 0 || k == n ? 0 : k * Math.log(k / (double) n) + (n - k) * Math.log(1 - k / (double) n);
  }

  /** Fisher's exact test, one-sided: the probability of at least as many unserved answers after the split, given the total. */
  private static double fisherPValue(long[] all, long[] unserved, int a, int m, int b) {
    // Scales large counts down, as the distribution takes ints; the p-value is negligible by then.
    long scale = Math.max(1, (all[b] - all[a]) / 1_000_000);
    int population = (int) ((all[b] - all[a]) / scale);
    int successes = (int) ((unserved[b] - unserved[a]) / scale);
    int sample = (int) ((all[b] - all[m]) / scale);
    int hits = (int) ((unserved[b] - unserved[m]) / scale);
    if (population == 0 || successes == 0 || sample == 0 || sample > population || successes > population) {
      return 1;
    }
    return HypergeometricDistribution.of(population, successes, sample).survivalProbability(hits - 1);
  }

  /** The changes that preceded each rise, the smallest p-value first; a rise without any has no entry. */
  public List<CandidateCause> candidateCauses() {
    List<CandidateCause> candidateCauses = new ArrayList<>();
    double span = Math.max(1, last - first);
    Map<String, Long> kinds = new TreeMap<>();
    changes.forEach(c -> kinds.merge(c.kind, 1L, Long::sum));
    for (Rise rise : rises()) {
      List<CandidateCause> preceding = new ArrayList<>();
      for (Change c : changes) {
        long distance = rise.at - c.at;
        if (distance >= -POSITION_UNCERTAINTY * SECOND && distance <= MAX_DISTANCE) {
          // The probability that at least one of the changes of its kind, spread evenly over the timeline, is this close before.
          double expected = kinds.get(c.kind) * (Math.max(0, distance) + 2 * POSITION_UNCERTAINTY * SECOND) / span;
          preceding.add(new CandidateCause(rise, c.at, c.description, c.instance, PoissonDistribution.of(expected).survivalProbability(0)));
        }
      }
      preceding.sort(Comparator.comparingDouble(CandidateCause::pValue).thenComparing(CandidateCause::description));
      candidateCauses.addAll(preceding);
    }
    return candidateCauses;
  }
}
