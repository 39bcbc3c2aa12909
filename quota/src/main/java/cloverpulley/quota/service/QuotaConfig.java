package cloverpulley.quota.service;

import cloverpulley.config.Section;
import cloverpulley.quota.Dimension;
import cloverpulley.quota.Lane;
import cloverpulley.quota.QuotaPlan;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Who may have how much: {@code [quota]} of the operators' file.
 *
 * @param maxDynamicNodes unnamed nodes that are kept
 * @param journal where state is kept over a restart; null for nowhere
 * @param listen where the rate limit service listens; null for nowhere
 * @param domain the domain that its callers name
 * @param leases how it is shared among instances; null where there is one alone
 */
public record QuotaConfig(QuotaPlan plan, int maxDynamicNodes, Path journal, long flushMillis, long maxJournalBytes, boolean force,
    InetSocketAddress listen, String domain, LeaseConfig leases) {

  private static final double MOST = 1e15;
  private static final Map<String, Dimension> DIMENSIONS = new HashMap<>();

  static {
    for (Dimension d : Dimension.values()) {
      DIMENSIONS.put(d.label(), d);
    }
  }

  /** Reads the section; what makes no sense is noted at its key. */
  public static QuotaConfig read(Section s) {
    List<Lane> lanes = new ArrayList<>();
    List<Double> totals = new ArrayList<>();
    for (Section l : s.tables("lane")) {
      Dimension d = l.word("dimension", DIMENSIONS, Dimension.REQUESTS);
      long window = l.whole("window_ms", 1, 3_600_000, d == Dimension.CONCURRENCY ? 0 : 1000);
      if (d == Dimension.CONCURRENCY && window != 0) {
        l.wrong("window_ms", "concurrency has no window");
      }
      lanes.add(new Lane(d, d == Dimension.CONCURRENCY ? 0 : window * 1_000_000));
      totals.add(l.number("total", 1e-6, MOST, 1000));
    }
    QuotaPlan plan = plan(s, lanes, totals);
    Section j = s.table("journal");
    String file = j.text("file", "");
    Section r = s.table("service");
    InetSocketAddress listen = r.has("listen") ? r.address("listen", null) : null;
    if (listen != null && !listen.getAddress().isLoopbackAddress()) {
      r.wrong("listen", "expected a loopback address: the service has no certificates");
    }
    return new QuotaConfig(plan, (int) s.whole("most_nodes", 0, 10_000_000, 100_000), file.isEmpty() ? null : Path.of(file),
        j.whole("flush_ms", 1, 60_000, 100), j.whole("most_mb", 1, 100_000, 64) << 20, j.flag("force", false), listen,
        r.text("domain", "ashdeck"), LeaseConfig.read(s));
  }

  private static QuotaPlan plan(Section s, List<Lane> lanes, List<Double> totals) {
    QuotaPlan.Builder b;
    try {
      b = new QuotaPlan.Builder(lanes, array(totals));
    } catch (IllegalArgumentException e) {
      s.wrong("lane", e.getMessage());
      s.tables("node").forEach(n -> { });
      s.text("others", "");
      return null;
    }
    Map<String, double[]> given = new HashMap<>();
    given.put("", array(totals));
    for (Section n : s.tables("node")) {
      String path = n.text("path");
      int slash = path.lastIndexOf('/');
      double[] above = given.getOrDefault(slash < 0 ? "" : path.substring(0, slash), new double[lanes.size()]);
      double share = n.number("share", 0, 1, 0);
      double[] guarantee = figures(n, "guarantee", lanes.size());
      for (int i = 0; guarantee == null && i < lanes.size(); i++) {
        guarantee = new double[lanes.size()];
      }
      for (int i = 0; i < lanes.size(); i++) {
        guarantee[i] = n.has("guarantee") ? guarantee[i] : share * above[i];
      }
      if (n.has("guarantee") && n.has("share")) {
        n.wrong("share", "expected share or guarantee, not both");
      }
      double[] ceiling = figures(n, "ceiling", lanes.size());
      QuotaPlan.ChildTemplate childTemplate = n.has("child_weight") || n.has("child_share")
          ? new QuotaPlan.ChildTemplate(n.number("child_weight", 1e-6, 1e6, 1), n.number("child_share", 0, 1, 0), null) : null;
      try {
        b.node(path, n.number("weight", 1e-6, 1e6, 1), guarantee, ceiling, childTemplate);
        given.put(path, guarantee);
      } catch (IllegalArgumentException e) {
        n.wrong("path", e.getMessage());
      }
    }
    String others = s.text("others", "");
    try {
      b.others(others);
    } catch (IllegalArgumentException e) {
      s.wrong("others", e.getMessage());
    }
    return b.build();
  }

  /** A figure for each lane, 0 of a ceiling for none; null where the key is missing. */
  private static double[] figures(Section n, String key, int lanes) {
    if (!n.has(key)) {
      return null;
    }
    List<Integer> read = n.wholes(key, 0, Integer.MAX_VALUE, List.of());
    if (read.size() != lanes) {
      n.wrong(key, "expected a figure for each of the " + lanes + " lanes, got " + read.size());
    }
    double[] figures = new double[lanes];
    for (int i = 0; i < lanes; i++) {
      int f = i < read.size() ? read.get(i) : 0;
      figures[i] = key.equals("ceiling") && f == 0 ? Double.POSITIVE_INFINITY : f;
    }
    return figures;
  }

  private static double[] array(List<Double> of) {
    return of.stream().mapToDouble(d -> d).toArray();
  }
}
