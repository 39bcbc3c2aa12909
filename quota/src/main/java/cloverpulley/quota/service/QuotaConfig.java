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
 * Quotas of an installation: {@code [quota]} of the operators' file.
 *
 * @param maxDynamicNodes maximum number of dynamic nodes, which are not in the plan
 * @param journal file of the state that survives a restart; null for none
 * @param force whether each write of the journal is forced to the disk
 * @param listen address of the rate limit service; null for none
 * @param domain domain that requests to the service have to name
 * @param leases how the quotas are shared among instances; null for a single instance
 */
public record QuotaConfig(QuotaPlan plan, int maxDynamicNodes, Path journal, long flushMillis, long maxJournalBytes, boolean force,
    InetSocketAddress listen, String domain, LeaseConfig leases) {

  private static final double MAX_TOTAL = 1e15;
  private static final Map<String, Dimension> DIMENSIONS = new HashMap<>();

  static {
    for (Dimension d : Dimension.values()) {
      DIMENSIONS.put(d.label(), d);
    }
  }

  /** Reads the section; errors are reported at their key. */
  public static QuotaConfig read(Section s) {
    List<Lane> lanes = new ArrayList<>();
    List<Double> totals = new ArrayList<>();
    for (Section lane : s.tables("lane")) {
      Dimension d = lane.oneOf("dimension", DIMENSIONS, Dimension.REQUESTS);
      long window = lane.integer("window_ms", 1, 3_600_000, d == Dimension.CONCURRENCY ? 0 : 1000);
      if (d == Dimension.CONCURRENCY && window != 0) {
        lane.reportError("window_ms", "concurrency has no window");
      }
      lanes.add(new Lane(d, d == Dimension.CONCURRENCY ? 0 : window * 1_000_000));
      totals.add(lane.number("total", 1e-6, MAX_TOTAL, 1000));
    }
    QuotaPlan plan = plan(s, lanes, totals);
    Section journal = s.table("journal");
    String journalFile = journal.string("file", "");
    Section service = s.table("service");
    InetSocketAddress listen = service.has("listen") ? service.address("listen", null) : null;
    if (listen != null && !listen.getAddress().isLoopbackAddress()) {
      service.reportError("listen", "expected a loopback address: the service has no TLS");
    }
    return new QuotaConfig(plan, (int) s.integer("most_nodes", 0, 10_000_000, 100_000), journalFile.isEmpty() ? null : Path.of(journalFile),
        journal.integer("flush_ms", 1, 60_000, 100), journal.integer("most_mb", 1, 100_000, 64) << 20, journal.bool("force", false), listen,
        service.string("domain", "ashdeck"), LeaseConfig.read(s));
  }

  private static QuotaPlan plan(Section s, List<Lane> lanes, List<Double> totals) {
    QuotaPlan.Builder builder;
    try {
      builder = new QuotaPlan.Builder(lanes, array(totals));
    } catch (IllegalArgumentException e) {
      s.reportError("lane", e.getMessage());
      s.tables("node").forEach(n -> { });
      s.string("others", "");
      return null;
    }
    Map<String, double[]> guarantees = new HashMap<>();
    guarantees.put("", array(totals));
    for (Section n : s.tables("node")) {
      String path = n.string("path");
      int slash = path.lastIndexOf('/');
      double[] parentGuarantee = guarantees.getOrDefault(slash < 0 ? "" : path.substring(0, slash), new double[lanes.size()]);
      double share = n.number("share", 0, 1, 0);
      double[] guarantee = values(n, "guarantee", lanes.size());
      for (int i = 0; guarantee == null && i < lanes.size(); i++) {
        guarantee = new double[lanes.size()];
      }
      for (int i = 0; i < lanes.size(); i++) {
        guarantee[i] = n.has("guarantee") ? guarantee[i] : share * parentGuarantee[i];
      }
      if (n.has("guarantee") && n.has("share")) {
        n.reportError("share", "expected share or guarantee, not both");
      }
      double[] ceiling = values(n, "ceiling", lanes.size());
      QuotaPlan.ChildTemplate childTemplate = n.has("child_weight") || n.has("child_share")
          ? new QuotaPlan.ChildTemplate(n.number("child_weight", 1e-6, 1e6, 1), n.number("child_share", 0, 1, 0), null) : null;
      try {
        builder.node(path, n.number("weight", 1e-6, 1e6, 1), guarantee, ceiling, childTemplate);
        guarantees.put(path, guarantee);
      } catch (IllegalArgumentException e) {
        n.reportError("path", e.getMessage());
      }
    }
    String others = s.string("others", "");
    try {
      builder.others(others);
    } catch (IllegalArgumentException e) {
      s.reportError("others", e.getMessage());
    }
    return builder.build();
  }

  /** Reads one value per lane, where a ceiling of 0 means none; null where the key is missing. */
  private static double[] values(Section n, String key, int lanes) {
    if (!n.has(key)) {
      return null;
    }
    List<Integer> numbers = n.integers(key, 0, Integer.MAX_VALUE, List.of());
    if (numbers.size() != lanes) {
      n.reportError(key, "expected one value for each of the " + lanes + " lanes, got " + numbers.size());
    }
    double[] values = new double[lanes];
    for (int i = 0; i < lanes; i++) {
      int value = i < numbers.size() ? numbers.get(i) : 0;
      values[i] = key.equals("ceiling") && value == 0 ? Double.POSITIVE_INFINITY : value;
    }
    return values;
  }

  private static double[] array(List<Double> of) {
    return of.stream().mapToDouble(d -> d).toArray();
  }
}
