package cloverpulley.incident;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Aligns the clocks of several instances. Each instance's offset (what to add to its time to get the reference time) is a piecewise linear
 * function with knots {@link #KNOT_INTERVAL} apart. Two readings whose order and maximum distance are known bound the difference of two
 * offsets, and between neighbouring knots an offset changes by the maximum drift at most. This is a system of difference constraints
 * (Cormen et al., Introduction to Algorithms, 24.4): the shortest paths from and to a reference clock give the tightest bounds of each
 * knot, and a knot that no path reaches has an unknown offset. A negative cycle means that constraints contradict one another: a clock
 * stepped, or two readings were correlated wrongly. The drift constraint between the knots that explain the cycle is removed and reported
 * as a clock step; if there is none, a correlation is rejected.
 */
public final class Clocks {

  /** Distance between the knots of an instance in microseconds: a shorter one locates steps more precisely, a longer one is cheaper. */
  public static final long KNOT_INTERVAL = 10_000_000L;
  /** Maximum drift in parts per million, far more than that of a quartz oscillator. */
  public static final long MAX_DRIFT_PPM = 500;
  private static final long INFINITE = Long.MAX_VALUE / 4;
  /** Maximum number of negative cycles removed, after which the remaining ones are left. Each takes a pass. */
  private static final int MAX_CYCLES = 200;

  /**
   * Two events, or one event at two instances, with a known order: {@code b} happened no earlier than {@code minDelta} and no later than
   * {@code maxDelta} microseconds after {@code a}.
   */
  public record Correlation(String a, long atA, String b, long atB, long minDelta, long maxDelta, String description) {}

  /** Inclusive bounds of an offset in microseconds. */
  public record Offset(long min, long max) {
    /** An unbounded offset. */
    public static final Offset UNKNOWN = new Offset(-INFINITE, INFINITE);

    public boolean isKnown() {
      return min > -INFINITE / 2 && max < INFINITE / 2;
    }

    /** The best single estimate; 0 if the offset is unknown. */
    public long midpoint() {
      return isKnown() ? min + (max - min) / 2 : 0;
    }

    public long width() {
      return isKnown() ? max - min : INFINITE;
    }
  }

  /** A clock step between two readings of that clock, with the offsets before and after it. */
  public record Step(String instance, long from, long to, Offset before, Offset after) {}

  /**
   * The constraint {@code offset(to) <= offset(from) + length}, from a correlation or from the drift after a knot.
   * {@code correlationIndex} and {@code knot} name its source; the one that does not apply is -1.
   */
  private record Edge(int from, int to, long length, int correlationIndex, int knot) {}

  private final String reference;
  private final List<String> instances = new ArrayList<>();
  /** Graph node of each knot, by instance and knot number. */
  private final Map<String, TreeMap<Long, Integer>> knots = new TreeMap<>();
  private final List<String> nodeInstance = new ArrayList<>();
  private final List<Long> nodeKnot = new ArrayList<>();
  private final List<Correlation> correlations;
  private final List<Correlation> rejected = new ArrayList<>();
  /** Nodes of the knots after which a clock may have stepped. */
  private final List<Integer> cuts = new ArrayList<>();
  private long[] maxOffset;
  private long[] negatedMin;

  /**
   * Computes the offsets.
   *
   * @param reference the instance whose clock is the reference
   * @param ranges the first and the last reading of each instance
   */
  public Clocks(String reference, Map<String, long[]> ranges, List<Correlation> correlations) {
    this.reference = reference;
    this.correlations = List.copyOf(correlations);
    ranges.forEach((instance, range) -> {
      instances.add(instance);
      for (long k = knotOf(range[0]); k <= knotOf(range[1]) + 1; k++) {
        node(instance, k);
      }
    });
    for (Correlation t : correlations) {
      node(t.a, knotOf(t.atA));
      node(t.b, knotOf(t.atB));
    }
    solve();
  }

  private static long knotOf(long at) {
    return Math.floorDiv(at, KNOT_INTERVAL);
  }

  private int node(String instance, long knot) {
    return knots.computeIfAbsent(instance, i -> new TreeMap<>()).computeIfAbsent(knot, k -> {
      nodeInstance.add(instance);
      nodeKnot.add(k);
      return nodeInstance.size() - 1;
    });
  }

  /** The maximum change of an offset over a duration. By definition the reference's never changes. */
  private long drift(String instance, long micros) {
    return instance.equals(reference) ? 0 : micros * MAX_DRIFT_PPM / 1_000_000 + 1;
  }

  private void solve() {
    List<Edge> edges = new ArrayList<>();
    // Drift between neighbouring knots of one clock, in both directions.
    knots.forEach((instance, byKnot) -> {
      Long before = null;
      for (Map.Entry<Long, Integer> e : byKnot.entrySet()) {
        if (before != null) {
          long d = drift(instance, (e.getKey() - before) * KNOT_INTERVAL);
          int a = byKnot.get(before);
          edges.add(new Edge(a, e.getValue(), d, -1, a));
          edges.add(new Edge(e.getValue(), a, d, -1, a));
        }
        before = e.getKey();
      }
    });
    // Of several correlations between the same two knots only the tightest constraints have any effect.
    Map<Long, Edge> tightest = new HashMap<>();
    for (int i = 0; i < correlations.size(); i++) {
      Correlation t = correlations.get(i);
      int a = node(t.a, knotOf(t.atA));
      int b = node(t.b, knotOf(t.atB));
      long slack = drift(t.a, t.atA - knotOf(t.atA) * KNOT_INTERVAL) + drift(t.b, t.atB - knotOf(t.atB) * KNOT_INTERVAL);
      // atB + offsetB - (atA + offsetA) lies between minDelta and maxDelta.
      keepTightest(tightest, new Edge(a, b, t.maxDelta - t.atB + t.atA + slack, i, -1));
      keepTightest(tightest, new Edge(b, a, t.atB - t.atA - t.minDelta + slack, i, -1));
    }
    edges.addAll(tightest.values());
    for (int removed = 0; removed < MAX_CYCLES; removed++) {
      List<Edge> cycle = negativeCycle(edges);
      if (cycle == null) {
        break;
      }
      breakCycle(edges, cycle);
    }
    Integer start = knots.containsKey(reference) && !knots.get(reference).isEmpty() ? knots.get(reference).firstEntry().getValue() : null;
    maxOffset = start == null ? null : shortestPaths(edges, start, false);
    negatedMin = start == null ? null : shortestPaths(edges, start, true);
  }

  private static void keepTightest(Map<Long, Edge> kept, Edge e) {
    kept.merge(((long) e.from << 32) | e.to, e, (x, y) -> x.length <= y.length ? x : y);
  }

  /**
   * Breaks a negative cycle at its most likely cause: a step of one of the clocks whose drift constraints it contains, or else its loosest
   * correlation.
   */
  private void breakCycle(List<Edge> edges, List<Edge> cycle) {
    Map<Integer, Integer> driftEdges = new HashMap<>();
    for (Edge e : cycle) {
      if (e.knot >= 0 && !nodeInstance.get(e.from).equals(reference)) {
        driftEdges.merge(e.knot, 1, Integer::sum);
      }
    }
    if (!driftEdges.isEmpty()) {
      // Cuts at the median of the knots on the cycle, so that a later cycle moves the cut no further than necessary.
      List<Integer> nodes = driftEdges.keySet().stream().sorted((x, y) -> Long.compare(nodeKnot.get(x), nodeKnot.get(y))).toList();
      int cut = nodes.get(nodes.size() / 2);
      edges.removeIf(e -> e.knot == cut);
      cuts.add(cut);
      return;
    }
    Edge loosest = null;
    for (Edge e : cycle) {
      if (e.correlationIndex >= 0 && (loosest == null || width(e) > width(loosest))) {
        loosest = e;
      }
    }
    if (loosest == null) { // The reference contradicts itself, which no offset can explain.
      edges.removeAll(cycle);
      return;
    }
    Correlation conflicting = correlations.get(loosest.correlationIndex);
    rejected.add(conflicting);
    int correlationIndex = loosest.correlationIndex;
    edges.removeIf(e -> e.correlationIndex == correlationIndex);
  }

  private long width(Edge e) {
    Correlation t = correlations.get(e.correlationIndex);
    return t.maxDelta - t.minDelta;
  }

  /** Bellman-Ford with every node as a source. Returns the edges of a negative cycle, or null. */
  private List<Edge> negativeCycle(List<Edge> edges) {
    int n = nodeInstance.size();
    long[] d = new long[n];
    Edge[] predecessor = new Edge[n];
    int last = -1;
    for (int round = 0; round < n + 1; round++) {
      last = -1;
      for (Edge e : edges) {
        if (d[e.from] + e.length < d[e.to]) {
          d[e.to] = d[e.from] + e.length;
          predecessor[e.to] = e;
          last = e.to;
        }
      }
      if (last < 0) {
        return null;
      }
    }
    for (int i = 0; i < n; i++) {
      last = predecessor[last].from; // After n steps back the node is on the cycle.
    }
    List<Edge> cycle = new ArrayList<>();
    for (int at = last; cycle.isEmpty() || at != last; at = predecessor[at].from) {
      cycle.add(predecessor[at]);
    }
    return cycle;
  }

  /** Shortest paths from a node, or with {@code back} to it; {@link #INFINITE} if there is none. Expects a graph without negative cycles. */
  private long[] shortestPaths(List<Edge> edges, int start, boolean back) {
    long[] d = new long[nodeInstance.size()];
    Arrays.fill(d, INFINITE);
    d[start] = 0;
    for (boolean changed = true; changed;) {
      changed = false;
      for (Edge e : edges) {
        int from = back ? e.to : e.from;
        int to = back ? e.from : e.to;
        if (d[from] < INFINITE && d[from] + e.length < d[to]) {
          d[to] = d[from] + e.length;
          changed = true;
        }
      }
    }
    return d;
  }

  /** The offset to add to a reading of an instance's clock to get the reference time. */
  public Offset offset(String instance, long at) {
    if (instance.equals(reference)) {
      return new Offset(0, 0);
    }
    TreeMap<Long, Integer> own = knots.get(instance);
    if (own == null || maxOffset == null) {
      return Offset.UNKNOWN;
    }
    Map.Entry<Long, Integer> before = own.floorEntry(knotOf(at));
    Map.Entry<Long, Integer> after = own.higherEntry(knotOf(at));
    Offset x = before == null ? Offset.UNKNOWN : boundsFromKnot(instance, before, at);
    Offset y = after == null || before != null && isCut(before.getValue()) ? Offset.UNKNOWN : boundsFromKnot(instance, after, at);
    if (!x.isKnown() || !y.isKnown()) {
      return x.isKnown() ? x : y;
    }
    Offset both = new Offset(Math.max(x.min, y.min), Math.min(x.max, y.max));
    return both.min <= both.max ? both : x;
  }

  /** The bounds that a knot gives for a reading next to it. */
  private Offset boundsFromKnot(String instance, Map.Entry<Long, Integer> knot, long at) {
    int node = knot.getValue();
    if (maxOffset[node] >= INFINITE || negatedMin[node] >= INFINITE) {
      return Offset.UNKNOWN;
    }
    long d = drift(instance, Math.abs(at - knot.getKey() * KNOT_INTERVAL));
    return new Offset(-negatedMin[node] - d, maxOffset[node] + d);
  }

  private boolean isCut(int node) {
    return cuts.contains(node);
  }

  /** Inclusive bounds of the reference time of a reading. */
  public Offset referenceTime(String instance, long at) {
    Offset o = offset(instance, at);
    return o.isKnown() ? new Offset(at + o.min, at + o.max) : Offset.UNKNOWN;
  }

  /** Orders two readings: negative if the first is earlier, positive if the second is; 0 if the bounds overlap or are unknown. */
  public int order(String a, long atA, String b, long atB) {
    if (a.equals(b)) {
      return Long.compare(atA, atB);
    }
    Offset x = referenceTime(a, atA);
    Offset y = referenceTime(b, atB);
    if (!x.isKnown() || !y.isKnown()) {
      return 0;
    }
    return x.max < y.min ? -1 : y.max < x.min ? 1 : 0;
  }

  /** The clock steps found. */
  public List<Step> steps() {
    List<Step> steps = new ArrayList<>();
    for (int cut : cuts) {
      String instance = nodeInstance.get(cut);
      long knot = nodeKnot.get(cut);
      Long next = knots.get(instance).higherKey(knot);
      long to = (next == null ? knot + 1 : next) * KNOT_INTERVAL;
      Offset before = offset(instance, knot * KNOT_INTERVAL);
      Offset after = offset(instance, to);
      if (before.isKnown() && after.isKnown() && before.max >= after.min && after.max >= before.min) {
        continue; // The bounds on both sides overlap, so this cut is no evidence of a step.
      }
      steps.add(new Step(instance, knot * KNOT_INTERVAL, to, before, after));
    }
    return steps;
  }

  /** Correlations that contradict the others without a clock step as the explanation. */
  public List<Correlation> rejected() {
    return List.copyOf(rejected);
  }

  public String reference() {
    return reference;
  }

  /** The instances with readings. */
  public List<String> instances() {
    return List.copyOf(instances);
  }
}
