package cloverpulley.incident;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Brings the clocks of several instances together. Each instance's offset (what is to be added to its time) is a piecewise line with knots
 * {@link #KNOT_INTERVAL} apart; two readings at instants of which it is known which came first, and by how much at most, bound the difference of
 * two offsets; between neighbouring knots it changes by the drift at most. That is a system of difference constraints (Cormen et al.,
 * Introduction to Algorithms, 24.4): shortest paths from and to a reference clock give each knot its tightest bounds, and what no path
 * reaches is unknown. A negative cycle says that the constraints contradict one another: a clock stepped, or two readings were taken for
 * one instant wrongly. The change between knots that explains it is let free and told as a step; failing that, the reading is put aside.
 */
public final class Clocks {

  /** Distance of an instance's knots, microseconds: shorter finds a step's place better, longer is cheaper. */
  public static final long KNOT_INTERVAL = 10_000_000L;
  /** Far more than quartz does: parts in a million. */
  public static final long MAX_DRIFT_PPM = 500;
  private static final long NONE = Long.MAX_VALUE / 4;
  /** Contradictions mended before the rest is given up: each takes a pass. */
  private static final int MOST_MENDS = 200;

  /**
   * One instant at two instances, or two with a known order: {@code b} happened no earlier than {@code minDelta} and no later than
   * {@code maxDelta} microseconds after {@code a}.
   */
  public record Correlation(String a, long atA, String b, long atB, long minDelta, long maxDelta, String description) {}

  /** An offset in microseconds, between its bounds, both included. */
  public record Offset(long min, long max) {
    /** Nothing bounds it. */
    public static final Offset UNKNOWN = new Offset(-NONE, NONE);

    public boolean isKnown() {
      return min > -NONE / 2 && max < NONE / 2;
    }

    /** The best single guess: 0 for an unknown one. */
    public long midpoint() {
      return isKnown() ? min + (max - min) / 2 : 0;
    }

    public long width() {
      return isKnown() ? max - min : NONE;
    }
  }

  /** A clock that stepped somewhere between two of its own readings, by so much. */
  public record Step(String instance, long from, long to, Offset before, Offset after) {}

  private record Edge(int from, int to, long length, int origin, int knot) {}

  private final String reference;
  private final List<String> names = new ArrayList<>();
  /** Knots of each instance by their number; the value is the node. */
  private final Map<String, TreeMap<Long, Integer>> knots = new TreeMap<>();
  private final List<String> nodeInstance = new ArrayList<>();
  private final List<Long> nodeKnot = new ArrayList<>();
  private final List<Correlation> correlations;
  private final List<Correlation> rejected = new ArrayList<>();
  /** Knots after which a clock may have stepped. */
  private final List<Integer> cuts = new ArrayList<>();
  private long[] most;
  private long[] least;

  /**
   * Solves it.
   *
   * @param reference the clock that counts as true
   * @param spans of each instance the first and the last reading
   */
  public Clocks(String reference, Map<String, long[]> spans, List<Correlation> correlations) {
    this.reference = reference;
    this.correlations = List.copyOf(correlations);
    spans.forEach((instance, span) -> {
      names.add(instance);
      for (long k = knotOf(span[0]); k <= knotOf(span[1]) + 1; k++) {
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

  /** The most that an offset changes over so long; the reference's, by definition, never does. */
  private long drift(String instance, long micros) {
    return instance.equals(reference) ? 0 : micros * MAX_DRIFT_PPM / 1_000_000 + 1;
  }

  private void solve() {
    List<Edge> edges = new ArrayList<>();
    // Between neighbouring knots of one clock: both ways.
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
    // Of many ties between the same two knots only the tightest count.
    Map<Long, Edge> tightest = new HashMap<>();
    for (int i = 0; i < correlations.size(); i++) {
      Correlation t = correlations.get(i);
      int a = node(t.a, knotOf(t.atA));
      int b = node(t.b, knotOf(t.atB));
      long slack = drift(t.a, t.atA - knotOf(t.atA) * KNOT_INTERVAL) + drift(t.b, t.atB - knotOf(t.atB) * KNOT_INTERVAL);
      // atB + oB - (atA + oA) lies between least and most.
      tight(tightest, new Edge(a, b, t.maxDelta - t.atB + t.atA + slack, i, -1));
      tight(tightest, new Edge(b, a, t.atB - t.atA - t.minDelta + slack, i, -1));
    }
    edges.addAll(tightest.values());
    for (int mends = 0; mends < MOST_MENDS; mends++) {
      List<Edge> cycle = negativeCycle(edges);
      if (cycle == null) {
        break;
      }
      mend(edges, cycle);
    }
    Integer start = knots.containsKey(reference) && !knots.get(reference).isEmpty() ? knots.get(reference).firstEntry().getValue() : null;
    most = start == null ? null : paths(edges, start, false);
    least = start == null ? null : paths(edges, start, true);
  }

  private static void tight(Map<Long, Edge> kept, Edge e) {
    kept.merge(((long) e.from << 32) | e.to, e, (x, y) -> x.length <= y.length ? x : y);
  }

  /** Takes the likeliest fault out of a contradiction: a step of the clock that the cycle runs along furthest, or else its widest tie. */
  private void mend(List<Edge> edges, List<Edge> cycle) {
    Map<Integer, Integer> along = new HashMap<>();
    for (Edge e : cycle) {
      if (e.knot >= 0 && !nodeInstance.get(e.from).equals(reference)) {
        along.merge(e.knot, 1, Integer::sum);
      }
    }
    if (!along.isEmpty()) {
      // Of the knots that the cycle runs along the one in the middle: a later cycle moves the cut no further than it has to.
      List<Integer> nodes = along.keySet().stream().sorted((x, y) -> Long.compare(nodeKnot.get(x), nodeKnot.get(y))).toList();
      int cut = nodes.get(nodes.size() / 2);
      edges.removeIf(e -> e.knot == cut);
      cuts.add(cut);
      return;
    }
    Edge widest = null;
    for (Edge e : cycle) {
      if (e.origin >= 0 && (widest == null || width(e) > width(widest))) {
        widest = e;
      }
    }
    if (widest == null) { // The reference against itself: nothing can be told of it.
      edges.removeAll(cycle);
      return;
    }
    Correlation wrong = correlations.get(widest.origin);
    rejected.add(wrong);
    int origin = widest.origin;
    edges.removeIf(e -> e.origin == origin);
  }

  private long width(Edge e) {
    Correlation t = correlations.get(e.origin);
    return t.maxDelta - t.minDelta;
  }

  /** Bellman and Ford from everywhere at once; the edges of a cycle of negative length, or null. */
  private List<Edge> negativeCycle(List<Edge> edges) {
    int n = nodeInstance.size();
    long[] d = new long[n];
    Edge[] by = new Edge[n];
    int last = -1;
    for (int round = 0; round < n + 1; round++) {
      last = -1;
      for (Edge e : edges) {
        if (d[e.from] + e.length < d[e.to]) {
          d[e.to] = d[e.from] + e.length;
          by[e.to] = e;
          last = e.to;
        }
      }
      if (last < 0) {
        return null;
      }
    }
    for (int i = 0; i < n; i++) {
      last = by[last].from; // Surely on the cycle after n steps back.
    }
    List<Edge> cycle = new ArrayList<>();
    for (int at = last; cycle.isEmpty() || at != last; at = by[at].from) {
      cycle.add(by[at]);
    }
    return cycle;
  }

  /** Shortest paths from a node, or with {@code back} to it; {@link #NONE} where there is none. No cycle is negative here. */
  private long[] paths(List<Edge> edges, int start, boolean back) {
    long[] d = new long[nodeInstance.size()];
    Arrays.fill(d, NONE);
    d[start] = 0;
    for (boolean changed = true; changed;) {
      changed = false;
      for (Edge e : edges) {
        int from = back ? e.to : e.from;
        int to = back ? e.from : e.to;
        if (d[from] < NONE && d[from] + e.length < d[to]) {
          d[to] = d[from] + e.length;
          changed = true;
        }
      }
    }
    return d;
  }

  /** What is to be added to a reading of an instance's clock to have the reference's. */
  public Offset offset(String instance, long at) {
    if (instance.equals(reference)) {
      return new Offset(0, 0);
    }
    TreeMap<Long, Integer> own = knots.get(instance);
    if (own == null || most == null) {
      return Offset.UNKNOWN;
    }
    Map.Entry<Long, Integer> before = own.floorEntry(knotOf(at));
    Map.Entry<Long, Integer> after = own.higherEntry(knotOf(at));
    Offset x = before == null ? Offset.UNKNOWN : near(instance, before, at);
    Offset y = after == null || before != null && isCut(before.getValue()) ? Offset.UNKNOWN : near(instance, after, at);
    if (!x.isKnown() || !y.isKnown()) {
      return x.isKnown() ? x : y;
    }
    Offset both = new Offset(Math.max(x.min, y.min), Math.min(x.max, y.max));
    return both.min <= both.max ? both : x;
  }

  /** What a knot says of a reading beside it. */
  private Offset near(String instance, Map.Entry<Long, Integer> knot, long at) {
    int node = knot.getValue();
    if (most[node] >= NONE || least[node] >= NONE) {
      return Offset.UNKNOWN;
    }
    long d = drift(instance, Math.abs(at - knot.getKey() * KNOT_INTERVAL));
    return new Offset(-least[node] - d, most[node] + d);
  }

  private boolean isCut(int node) {
    return cuts.contains(node);
  }

  /** When a reading was, on the reference's clock: bounds, both included. */
  public Offset referenceTime(String instance, long at) {
    Offset o = offset(instance, at);
    return o.isKnown() ? new Offset(at + o.min, at + o.max) : Offset.UNKNOWN;
  }

  /** Which came first: below 0 the first reading, above 0 the second; 0 where the bounds do not settle it. */
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

  /** Clocks that were found to have stepped. */
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
        continue; // The bounds on both sides meet: cut on the way to another, and not known to be one.
      }
      steps.add(new Step(instance, knot * KNOT_INTERVAL, to, before, after));
    }
    return steps;
  }

  /** Readings that no step explains: they were not of one instant. */
  public List<Correlation> rejected() {
    return List.copyOf(rejected);
  }

  public String reference() {
    return reference;
  }

  /** The instances of which there are readings. */
  public List<String> instances() {
    return List.copyOf(names);
  }
}
