package cloverpulley.incident.tool;

import cloverpulley.incident.Audit;
import cloverpulley.incident.ChangePointAnalysis;
import cloverpulley.incident.Clocks;
import cloverpulley.incident.Entry;
import cloverpulley.incident.Timeline;
import cloverpulley.incident.Timeline.CounterKey;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;

/**
 * Renders an incident as one self-contained page of HTML, without scripts or external resources. Text from requests is always escaped. The
 * sections on requests, reasons, retries and servers name the query that lists their records.
 */
public final class HtmlReport {

  private static final int WIDTH = 960;
  private static final int CHART_LEFT = 150;
  private static final int CHART_HEIGHT = 150;
  private static final int LANE_HEIGHT = 16;
  /** Maximum number of table rows or lanes; further ones are counted but not drawn. */
  private static final int MAX_ROWS = 200;
  private static final int MAX_INTERVALS = 2000;
  private static final String[] COLOURS = {"#3a9d5d", "#e2a33b", "#c8443c", "#8a8f98"};
  private static final Map<String, String> STATE_COLOURS =
      Map.of("ready", "#3a9d5d", "cold", "#7fb7e6", "draining", "#e2a33b", "gone", "#c9ccd1");
  private static final String CSS = """
      body{font:14px/1.45 system-ui,sans-serif;max-width:1000px;margin:2em auto;padding:0 1em;color:#1f2328}
      table{border-collapse:collapse;margin:.6em 0}td,th{padding:.2em .7em;border-bottom:1px solid #d8dce1;text-align:right}
      td:first-child,th:first-child{text-align:left}code{background:#f2f4f6;padding:.1em .3em;word-break:break-all}
      h2{margin-top:1.8em}.bad{color:#b3261e;font-weight:600}.unsure{color:#8a6100}.gap{background:#fbf0d9}svg{display:block}
      summary{cursor:pointer}text{font-size:11px;fill:#444}""";

  private final IncidentAnalysis analysis;
  private final Timeline timeline;
  private final StringBuilder page = new StringBuilder();
  private final List<Long> intervals;
  private final long from;
  private final long to;
  private final List<Timeline.Gap> gaps;

  public HtmlReport(IncidentAnalysis incidentAnalysis) {
    analysis = incidentAnalysis;
    timeline = incidentAnalysis.timeline;
    List<Long> all = timeline.intervals();
    intervals = all.size() > MAX_INTERVALS ? all.subList(0, MAX_INTERVALS) : all;
    gaps = timeline.gaps(analysis.clocks);
    long earliest = Long.MAX_VALUE;
    long latest = Long.MIN_VALUE;
    for (Timeline.Incarnation l : timeline.incarnations()) {
      long o = analysis.clocks.offset(l.origin.instance(), l.first).midpoint();
      earliest = Math.min(earliest, l.first + o);
      latest = Math.max(latest, l.last + o);
    }
    from = Math.max(earliest, analysis.options.from());
    to = Math.max(from + 1, Math.min(latest, analysis.options.to()));
  }

  private static String formatted(String format, Object... args) {
    return String.format(Locale.ROOT, format, args);
  }

  static String time(long micros) {
    return Instant.ofEpochSecond(Math.floorDiv(micros, 1_000_000L), Math.floorMod(micros, 1_000_000L) * 1000).toString();
  }

  private static String seconds(long micros) {
    return formatted("%.3f s", micros / 1e6);
  }

  /** Renders the page. */
  public String html() {
    page.append("<!DOCTYPE html><html lang=\"en\"><head><meta charset=\"utf-8\"><title>Incident</title><style>").append(CSS)
        .append("</style></head><body><h1>Incident ").append(time(from)).append(" to ").append(time(to)).append("</h1>");
    page.append(formatted("<p>%d records, %d instances, %d requests answered, %d retries, %d requests with an unknown end.</p>",
        analysis.read.records(), analysis.clocks.instances().size(), timeline.count(null, null, null, null),
        timeline.retryOutcomes().values().stream().mapToLong(n -> n).sum(), timeline.unresolvedRequests()));
    unknown();
    rules();
    requests();
    latency();
    table("By class", timeline.classes().stream().toList(), true);
    table("By tenant", timeline.tenants().stream().toList(), false);
    reasons();
    retries();
    lanes();
    causes();
    clocks();
    page.append("</body></html>\n");
    return page.toString();
  }

  private void query(String expression) {
    page.append("<p>Records: <code>ashdeck incident query '").append(Sanitizer.html(expression)).append("' DIR</code></p>");
  }

  // ---- Gaps and unknowns -------------------------------------------------------------------------------

  private void unknown() {
    page.append("<h2>What is not known</h2>");
    Map<String, Long> reasons = new TreeMap<>();
    if (gaps.isEmpty() && analysis.read.corruptBlocks() == 0 && analysis.read.truncatedBytes() == 0 && analysis.read.unread().isEmpty()
        && timeline.callerOnly().isEmpty()) {
      page.append("<p>Nothing: every instance recorded its start and its stop, no record was dropped, none is corrupt.</p>");
      return;
    }
    timeline.callerOnly().forEach((answer, n) -> page.append(formatted(
        "<p class=\"unsure\">%d calls that callers recorded as %s are in no other record: "
            + "the instances that answered them lost their records.</p>", n, Entry.answerName(answer))));
    page.append("<table><tr><th>instance</th><th>from</th><th>to</th><th>requests</th><th>why</th></tr>");
    for (Timeline.Gap g : gaps) {
      page.append("<tr class=\"gap\"><td>").append(Sanitizer.html(g.instance())).append("</td><td>").append(time(g.from())).append("</td><td>")
          .append(time(g.to())).append("</td><td>").append(g.isUnbounded() ? g.minUnknown() + " or more"
              : g.minUnknown() == g.maxUnknown() ? "" + g.maxUnknown() : g.minUnknown() + " to " + g.maxUnknown())
          .append("</td><td>").append(Sanitizer.html(g.reason())).append("</td></tr>");
    }
    page.append("</table>");
    if (analysis.read.corruptBlocks() > 0 || analysis.read.truncatedBytes() > 0) {
      page.append(formatted("<p class=\"unsure\">%d blocks (%d bytes) are corrupt, %d bytes at the ends of segments are truncated.</p>",
          analysis.read.corruptBlocks(), analysis.read.lostBytes(), analysis.read.truncatedBytes()));
    }
    analysis.read.unread().forEach(u -> reasons.merge(String.valueOf(u.problem()), 1L, Long::sum));
    reasons.forEach((reason, n) -> page.append("<p class=\"unsure\">").append(n).append(" segments were not read: ").append(Sanitizer.html(reason))
        .append("</p>"));
  }

  // ---- The rules ---------------------------------------------------------------------------------------

  private static String label(Audit.Check check) {
    return switch (check) {
      case ONE_ANSWER -> "1 one final answer each, in time";
      case NO_EFFECT_TWICE -> "2 no effect twice";
      case NOTHING_TO_DRAINED -> "3 nothing new to a drained server after 2 s";
      case COLD_NOT_PUSHED_OVER -> "4 no server overloaded during slow start";
      case SUMS -> "sums: taken = ended + open, sends = outcomes + in flight";
    };
  }

  private void rules() {
    page.append("<h2>The four rules, from the records alone</h2><table><tr><th>rule</th><th>checked</th><th>broken</th><th>unsettled"
        + "</th></tr>");
    List<Audit.Finding> findings = analysis.audit.findings();
    analysis.audit.checkCounts().forEach((check, n) -> {
      long broken = findings.stream().filter(f -> f.check() == check && f.certain()).count();
      long uncertain = findings.stream().filter(f -> f.check() == check && !f.certain()).count();
      page.append("<tr><td>").append(label(check)).append("</td><td>").append(n == 0 ? "never put to the test" : n).append("</td><td")
          .append(broken > 0 ? " class=\"bad\"" : "").append(">").append(broken).append("</td><td")
          .append(uncertain > 0 ? " class=\"unsure\"" : "").append(">").append(uncertain).append("</td></tr>");
    });
    page.append("</table>");
    if (!findings.isEmpty()) {
      page.append("<details><summary>").append(findings.size()).append(" findings</summary><table>");
      findings.stream().limit(MAX_ROWS).forEach(f -> page.append("<tr><td>").append(f.at() == 0 ? "" : time(f.at())).append("</td><td>")
          .append(Sanitizer.html(f.origin().instance())).append("</td><td><code>").append(Sanitizer.html(f.request())).append("</code></td><td>")
          .append(Sanitizer.html(f.description())).append(f.certain() ? "" : " (missing records could explain it)").append("</td></tr>"));
      page.append("</table></details>");
    }
  }

  // ---- Requests over time ------------------------------------------------------------------------------

  private double x(long at) {
    return CHART_LEFT + (WIDTH - CHART_LEFT - 10.0) * Math.max(0, Math.min(1, (at - from) / (double) (to - from)));
  }

  private void svg(int height) {
    page.append(formatted("<svg width=\"%d\" height=\"%d\" viewBox=\"0 0 %d %d\" role=\"img\">", WIDTH, height, WIDTH, height));
  }

  private void shadeGaps(int height) {
    for (Timeline.Gap g : gaps) {
      page.append(formatted("<rect x=\"%.1f\" y=\"0\" width=\"%.1f\" height=\"%d\" fill=\"#f3d9a4\" opacity=\".45\"><title>not known: %s, %s"
          + "</title></rect>", x(g.from()), Math.max(1, x(g.to()) - x(g.from())), height, Sanitizer.html(g.instance()), Sanitizer.html(g.reason())));
    }
  }

  private void axis(int y) {
    for (int i = 0; i <= 6; i++) {
      long at = from + (to - from) * i / 6;
      page.append(formatted("<text x=\"%.0f\" y=\"%d\" text-anchor=\"%s\">%s</text>", x(at), y, i == 6 ? "end" : "middle",
          time(at).substring(11, 19)));
    }
  }

  private void requests() {
    page.append("<h2>Requests by answer, in intervals of ").append(timeline.interval() / 1_000_000.0).append(" s</h2>");
    Map<Long, long[]> bars = new TreeMap<>();
    timeline.answerCounts().forEach((cell, n) -> bars.computeIfAbsent(cell.interval(), k -> new long[4])[Math.min(3, cell.answer())] += n);
    long max = Math.max(1, bars.values().stream().mapToLong(b -> b[0] + b[1] + b[2] + b[3]).max().orElse(1));
    svg(CHART_HEIGHT + 30);
    shadeGaps(CHART_HEIGHT);
    page.append(formatted("<text x=\"5\" y=\"14\">%d per interval</text>", max));
    bars.forEach((interval, counts) -> {
      double x0 = x(interval);
      double w = Math.max(0.5, x(interval + timeline.interval()) - x0 - 0.5);
      double y = CHART_HEIGHT;
      for (int i = 0; i < 4; i++) {
        double height = counts[i] * (CHART_HEIGHT - 10.0) / max;
        y -= height;
        if (counts[i] > 0) {
          page.append(formatted("<rect x=\"%.1f\" y=\"%.1f\" width=\"%.1f\" height=\"%.1f\" fill=\"%s\"><title>%s: %d %s</title></rect>", x0, y, w,
              height, COLOURS[i], time(interval), counts[i], Entry.answerName(i)));
        }
      }
    });
    axis(CHART_HEIGHT + 16);
    page.append("</svg><p>");
    for (int i = 0; i < 4; i++) {
      page.append("<span style=\"color:").append(COLOURS[i]).append("\">&#9632;</span> ").append(Entry.answerName(i)).append("&ensp;");
    }
    page.append("<span style=\"color:#e9c27a\">&#9632;</span> not known</p><details><summary>values</summary><table><tr><th>interval</th>");
    for (int i = 0; i < 4; i++) {
      page.append("<th>").append(Entry.answerName(i)).append("</th>");
    }
    page.append("</tr>");
    int rows = 0;
    for (Map.Entry<Long, long[]> b : bars.entrySet()) {
      if (rows++ >= MAX_ROWS) {
        page.append("<tr><td>").append(bars.size() - MAX_ROWS).append(" more intervals</td></tr>");
        break;
      }
      page.append("<tr><td>").append(time(b.getKey())).append("</td>");
      for (long n : b.getValue()) {
        page.append("<td>").append(n).append("</td>");
      }
      page.append("</tr>");
    }
    page.append("</table></details>");
    query("kind=answered and at>=" + time(from) + " and at<" + time(to));
  }

  private void latency() {
    page.append("<h2>Latency</h2>");
    double max = 1;
    double[] percentiles = {50, 90, 99};
    for (long interval : intervals) {
      max = Math.max(max, timeline.latencyPercentile(interval, 99));
    }
    svg(CHART_HEIGHT + 30);
    shadeGaps(CHART_HEIGHT);
    page.append(formatted("<text x=\"5\" y=\"14\">%.1f ms</text>", max / 1000));
    for (int i = 0; i < percentiles.length; i++) {
      StringBuilder points = new StringBuilder();
      for (long interval : intervals) {
        points.append(formatted("%.1f,%.1f ", x(interval + timeline.interval() / 2),
            CHART_HEIGHT - (CHART_HEIGHT - 10) * Math.sqrt(timeline.latencyPercentile(interval, percentiles[i]) / max)));
      }
      page.append("<polyline fill=\"none\" stroke-width=\"1.5\" stroke=\"").append(COLOURS[i]).append("\" points=\"").append(points)
          .append("\"/>");
    }
    axis(CHART_HEIGHT + 16);
    page.append("</svg><p>p50 green, p90 yellow, p99 red; square-root scale.</p>");
  }

  // ---- Tables ------------------------------------------------------------------------------------------

  private void table(String title, List<String> names, boolean classes) {
    page.append("<h2>").append(title).append("</h2><table><tr><th></th><th>answered</th><th>served</th><th>refused</th><th>failed</th>"
        + "<th>gone</th><th>served ratio</th>").append(classes ? "" : "<th>share of all served</th><th>configured share</th>").append("</tr>");
    long allServed = timeline.count(null, null, null, Entry.SERVED);
    int rows = 0;
    for (String name : names) {
      if (rows++ >= MAX_ROWS) {
        page.append("<tr><td>").append(names.size() - MAX_ROWS).append(" more</td></tr>");
        break;
      }
      long[] n = new long[4];
      long all = 0;
      for (int i = 0; i < 4; i++) {
        n[i] = classes ? timeline.count(null, name, null, i) : timeline.count(null, null, name, i);
        all += n[i];
      }
      page.append("<tr><td>").append(name.isEmpty() ? "(none)" : Sanitizer.html(name)).append("</td><td>").append(all).append("</td>");
      for (long count : n) {
        page.append("<td>").append(count).append("</td>");
      }
      page.append(formatted("<td>%.2f%%</td>", all - n[3] == 0 ? 0 : 100.0 * n[0] / (all - n[3])));
      if (!classes) {
        Long configured = timeline.shares().get(name);
        page.append(formatted("<td>%.1f%%</td><td>%s</td>", allServed == 0 ? 0 : 100.0 * n[0] / allServed, configured == null ? "-"
            : formatted("%.1f%%", configured / 1e4)));
      }
      page.append("</tr>");
    }
    page.append("</table>");
  }

  private void reasons() {
    Map<String, Long> counts = new TreeMap<>();
    timeline.answerCounts().forEach((cell, n) -> {
      if (cell.answer() != Entry.SERVED) {
        counts.merge(Entry.answerName(cell.answer()) + " " + cell.word(), n, Long::sum);
      }
    });
    page.append("<h2>Why requests were not served</h2>");
    if (counts.isEmpty()) {
      page.append("<p>All were served.</p>");
      return;
    }
    page.append("<table>");
    counts.forEach((word, n) -> page.append("<tr><td>").append(Sanitizer.html(word)).append("</td><td>").append(n).append("</td></tr>"));
    page.append("</table>");
    query("kind=answered and answer!=served");
  }

  private void retries() {
    page.append("<h2>Retries by class</h2>");
    Map<String, Long> counts = new TreeMap<>();
    for (Map.Entry<CounterKey, Long> e : timeline.retryOutcomes().entrySet()) {
      counts.merge(e.getKey().className() + " ended " + e.getKey().word(), e.getValue(), Long::sum);
    }
    if (counts.isEmpty()) {
      page.append("<p>None.</p>");
      return;
    }
    page.append("<table>");
    counts.forEach((description, n) -> page.append("<tr><td>").append(Sanitizer.html(description)).append("</td><td>").append(n)
        .append("</td></tr>"));
    page.append("</table>");
    query("kind=outcome and attempt>0");
  }

  // ---- The fleet ---------------------------------------------------------------------------------------

  private void lanes() {
    page.append("<h2>The fleet, as seen by each instance</h2>");
    List<Swimlanes.Lane> all = Swimlanes.of(timeline, to, analysis.options.limits().warmUpTime());
    Map<String, List<Swimlanes.Lane>> byServer = all.stream().collect(Collectors.groupingBy(Swimlanes.Lane::server, TreeMap::new,
        Collectors.toList()));
    // Instances that received the same states share one lane.
    List<Swimlanes.Lane> shown = new ArrayList<>();
    byServer.forEach((server, lanes) -> {
      if (lanes.size() > 1 && !Swimlanes.differ(lanes, analysis.options.limits().drainGrace())) {
        shown.add(new Swimlanes.Lane(server, "all " + lanes.size(), lanes.get(0).intervals()));
      } else {
        shown.addAll(lanes);
      }
    });
    int rows = Math.min(MAX_ROWS, shown.size());
    svg(rows * LANE_HEIGHT + 24);
    for (int i = 0; i < rows; i++) {
      Swimlanes.Lane lane = shown.get(i);
      int y = i * LANE_HEIGHT;
      page.append(formatted("<text x=\"0\" y=\"%d\">%s</text>", y + 12, Sanitizer.html(clip(lane.server()) + ", " + clip(lane.instance()))));
      for (Swimlanes.StateInterval p : lane.intervals()) {
        if (p.to() >= from && p.from() <= to) {
          page.append(formatted("<rect x=\"%.1f\" y=\"%d\" width=\"%.1f\" height=\"%d\" fill=\"%s\"><title>%s %s to %s</title></rect>", x(p.from()),
              y + 2, Math.max(0.5, x(p.to()) - x(p.from())), LANE_HEIGHT - 4, STATE_COLOURS.getOrDefault(p.state(), "#999"),
              Sanitizer.html(p.state()), time(p.from()), time(p.to())));
        }
      }
    }
    axis(rows * LANE_HEIGHT + 16);
    page.append("</svg><p>");
    STATE_COLOURS.forEach((state, colour) -> page.append("<span style=\"color:").append(colour).append("\">&#9632;</span> ").append(state)
        .append("&ensp;"));
    page.append(shown.size() > rows ? (shown.size() - rows) + " more lanes are not drawn." : "").append("</p>");
    query("kind=server");
  }

  private static String clip(String name) {
    return name == null ? "" : name.length() <= 14 ? name : name.substring(0, 13) + "…";
  }

  // ---- Change points and clocks ------------------------------------------------------------------------

  private void causes() {
    page.append("<h2>What came before the rises of unserved answers</h2>");
    List<ChangePointAnalysis.Rise> rises = analysis.changePoints.rises();
    if (rises.isEmpty()) {
      page.append("<p>No rise.</p>");
      return;
    }
    List<ChangePointAnalysis.CandidateCause> causes = analysis.changePoints.candidateCauses();
    for (ChangePointAnalysis.Rise r : rises) {
      page.append(formatted("<p>%s: from %.2f%% to %.2f%% of %d answers (p = %.2g).</p>", time(r.at()), 100 * r.ratioBefore(),
          100 * r.ratioAfter(), r.answers(), r.pValue()));
      List<ChangePointAnalysis.CandidateCause> preceding = causes.stream().filter(x -> x.rise().equals(r)).limit(8).toList();
      if (preceding.isEmpty()) {
        page.append("<p class=\"unsure\">No recorded change came before it.</p>");
        continue;
      }
      page.append("<table><tr><th>change</th><th>instance</th><th>time before the rise</th><th>p-value</th></tr>");
      for (ChangePointAnalysis.CandidateCause x : preceding) {
        page.append("<tr><td>").append(Sanitizer.html(x.description())).append("</td><td>").append(Sanitizer.html(x.instance())).append("</td><td>")
            .append(seconds(r.at() - x.at())).append(formatted("</td><td>%.2g</td></tr>", x.pValue()));
      }
      page.append("</table>");
    }
  }

  private void clocks() {
    page.append("<h2>Clocks, against that of ").append(Sanitizer.html(analysis.clocks.reference())).append("</h2><table><tr><th>instance</th>"
        + "<th>offset at the start</th><th>at the end</th><th>uncertainty</th></tr>");
    for (String instance : analysis.clocks.instances()) {
      Timeline.Incarnation first = timeline.incarnations().stream().filter(l -> l.origin.instance().equals(instance)).findFirst().orElse(null);
      if (first == null) {
        continue;
      }
      Clocks.Offset a = analysis.clocks.offset(instance, first.first);
      Clocks.Offset b = analysis.clocks.offset(instance, first.last);
      page.append("<tr><td>").append(Sanitizer.html(instance)).append("</td>");
      if (a.isKnown()) {
        page.append(formatted("<td>%s</td><td>%s</td><td>&plusmn; %s</td></tr>", seconds(a.midpoint()), seconds(b.midpoint()),
            seconds(Math.max(a.width(), b.width()) / 2)));
      } else {
        page.append("<td colspan=\"3\" class=\"unsure\">offset unknown: shown in its own time, its order relative to others is unknown</td></tr>");
      }
    }
    page.append("</table>");
    for (Clocks.Step step : analysis.clocks.steps()) {
      page.append(formatted("<p class=\"unsure\">The clock of %s stepped between %s and %s of its own time: offset from %s to %s.</p>",
          Sanitizer.html(step.instance()), time(step.from()), time(step.to()), seconds(step.before().midpoint()), seconds(step.after().midpoint())));
    }
    if (!analysis.clocks.rejected().isEmpty()) {
      page.append("<p class=\"unsure\">").append(analysis.clocks.rejected().size())
          .append(" contradictory correlations without a clock step as the explanation were ignored.</p>");
    }
  }
}
