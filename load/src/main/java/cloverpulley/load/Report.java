package cloverpulley.load;

import cloverpulley.load.Driver.Outcome;
import cloverpulley.load.Results.RequestStats;
import cloverpulley.load.Results.SecondStats;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.StringWriter;
import java.util.Locale;
import java.util.function.ToDoubleFunction;
import org.HdrHistogram.Histogram;

/** Formats the results of a run as text, as JSON and as a self-contained HTML page. */
public final class Report {

  private static final double[] PERCENTILES = {50, 90, 99, 99.9, 100};
  private static final int WIDTH = 900;
  private static final int HEIGHT = 180;

  private final Results r;
  private final Goal goal;

  public Report(Results results) {
    r = results;
    goal = Goal.of(results);
  }

  private static double ms(Histogram h, double percentile) {
    return h.getTotalCount() == 0 ? 0 : h.getValueAtPercentile(percentile) / 1000.0;
  }

  private static String format(String format, Object... args) {
    return String.format(Locale.ROOT, format, args);
  }

  /** The first line of the report; warns if the generator fell behind its schedule. */
  public String headline() {
    String late = format("lateness p50 %.2f, p99 %.2f, max %.2f ms", ms(r.lateness, 50), ms(r.lateness, 99), ms(r.lateness, 100));
    return r.fellBehind() ? format("FELL BEHIND: the generator's own %s; the figures reflect the generator as well as the server", late)
        : "the generator kept to its schedule: " + late;
  }

  public String text() {
    StringBuilder t = new StringBuilder(headline()).append('\n');
    t.append(format("%d requests in %d attempts, seed %d; G %.3f (whole %.3f, worst 10 s %.3f from second %d, worst class %.3f, "
        + "worst tenant %.3f)%n%n", r.all.requests, r.attempts, r.plan().seed(), goal.g(), goal.overall(), goal.worstTenSeconds(),
        goal.worstTenSecondsFrom(), goal.worstClass(), goal.worstTenant()));
    t.append(format("%-18s %9s %7s  %-35s  %s%n", "", "asked", "in time", "from the intended start, ms", "naive, ms"));
    t.append(format("%-18s %9s %7s  %7s%7s%7s%7s%7s  %7s%7s%7s  outcomes%n", "", "", "", "p50", "p90", "p99", "p99.9", "max",
        "p50", "p99", "max"));
    appendRow(t, "all", r.all);
    for (int i = 0; i < r.classes.size(); i++) {
      appendRow(t, r.plan().classes().get(i).name(), r.classes.get(i));
    }
    for (int i = 0; i < r.tenants.size(); i++) {
      String name = r.plan().tenants().get(i).name();
      if (!name.isEmpty()) {
        appendRow(t, "@" + name, r.tenants.get(i));
      }
    }
    return t.toString();
  }

  private static void appendRow(StringBuilder t, String name, RequestStats stats) {
    t.append(format("%-18s %9d %6.1f%%  ", name, stats.requests, 100.0 * stats.inTime / Math.max(1, stats.requests)));
    for (double p : PERCENTILES) {
      t.append(format("%7.1f", ms(stats.corrected, p)));
    }
    t.append(format("  %7.1f%7.1f%7.1f  ", ms(stats.naive, 50), ms(stats.naive, 99), ms(stats.naive, 100)));
    for (Outcome o : Outcome.values()) {
      if (stats.outcomes[o.ordinal()] > 0) {
        t.append(outcomeName(o)).append('=').append(stats.outcomes[o.ordinal()]).append(' ');
      }
    }
    t.append('\n');
  }

  private static String outcomeName(Outcome o) {
    return o.name().toLowerCase(Locale.ROOT);
  }

  /** The results as JSON; times are in milliseconds. */
  public String json() {
    StringWriter text = new StringWriter();
    try (JsonGenerator g = new JsonFactory().createGenerator(text)) {
      g.writeStartObject();
      g.writeNumberField("version", 1);
      g.writeNumberField("seed", r.plan().seed());
      g.writeNumberField("seconds", r.plan().seconds());
      g.writeNumberField("tries", r.attempts);
      g.writeBooleanField("fell_behind", r.fellBehind());
      writePercentiles(g, "lateness_ms", r.lateness);
      g.writeObjectFieldStart("goal");
      g.writeNumberField("g", goal.g());
      g.writeNumberField("whole", goal.overall());
      g.writeNumberField("worst_10_s", goal.worstTenSeconds());
      g.writeNumberField("worst_10_s_from", goal.worstTenSecondsFrom());
      g.writeNumberField("worst_class", goal.worstClass());
      g.writeNumberField("worst_tenant", goal.worstTenant());
      g.writeEndObject();
      g.writeFieldName("all");
      writeStats(g, r.all);
      g.writeObjectFieldStart("classes");
      for (int i = 0; i < r.classes.size(); i++) {
        g.writeFieldName(r.plan().classes().get(i).name());
        writeStats(g, r.classes.get(i));
      }
      g.writeEndObject();
      g.writeObjectFieldStart("tenants");
      for (int i = 0; i < r.tenants.size(); i++) {
        g.writeFieldName(r.plan().tenants().get(i).name());
        writeStats(g, r.tenants.get(i));
      }
      g.writeEndObject();
      g.writeArrayFieldStart("by_second");
      for (SecondStats s : r.seconds) {
        g.writeStartObject();
        g.writeNumberField("intended", s.intended);
        g.writeNumberField("sent", s.sent);
        g.writeNumberField("served", s.outcomes[Outcome.SERVED.ordinal()]);
        g.writeNumberField("p50_ms", ms(s.corrected, 50));
        g.writeNumberField("p99_ms", ms(s.corrected, 99));
        g.writeNumberField("worth_asked", s.worthRequested);
        g.writeNumberField("worth_in_time", s.worthInTime);
        g.writeEndObject();
      }
      g.writeEndArray();
      g.writeEndObject();
    } catch (IOException e) {
      throw new IllegalStateException(e); // Cannot happen: a StringWriter does not fail.
    }
    return text.toString();
  }

  private static void writeStats(JsonGenerator g, RequestStats t) throws IOException {
    g.writeStartObject();
    g.writeNumberField("asked", t.requests);
    g.writeNumberField("in_time", t.inTime);
    g.writeNumberField("worth_asked", t.worthRequested);
    g.writeNumberField("worth_in_time", t.worthInTime);
    g.writeObjectFieldStart("outcomes");
    for (Outcome o : Outcome.values()) {
      g.writeNumberField(outcomeName(o), t.outcomes[o.ordinal()]);
    }
    g.writeEndObject();
    writePercentiles(g, "corrected_ms", t.corrected);
    writePercentiles(g, "naive_ms", t.naive);
    g.writeEndObject();
  }

  private static void writePercentiles(JsonGenerator g, String name, Histogram h) throws IOException {
    g.writeObjectFieldStart(name);
    for (double p : PERCENTILES) {
      g.writeNumberField(p == 100 ? "max" : "p" + (p == Math.rint(p) ? Long.toString((long) p) : Double.toString(p)), ms(h, p));
    }
    g.writeEndObject();
  }

  // ---- HTML ----------------------------------------------------------------------------------------------

  /** The results as a page with plots that loads nothing from the network. */
  public String html(String title) {
    StringBuilder h = new StringBuilder("<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>").append(escape(title))
        .append("</title><style>body{font:14px/1.4 sans-serif;margin:2em auto;max-width:960px;color:#222}table{border-collapse:")
        .append("collapse}td,th{padding:2px 10px;text-align:right;border-bottom:1px solid #ddd}td:first-child,th:first-child{")
        .append("text-align:left}svg{background:#fafafa;border:1px solid #ddd}.bad{color:#b00;font-weight:bold}</style><h1>")
        .append(escape(title)).append("</h1><p").append(r.fellBehind() ? " class=\"bad\"" : "").append('>')
        .append(escape(headline())).append("</p><p>").append(format("G %.3f: whole %.3f, worst 10 s %.3f (from second %d, shaded), "
            + "worst class %.3f, worst tenant %.3f. Seed %d.", goal.g(), goal.overall(), goal.worstTenSeconds(), goal.worstTenSecondsFrom(),
            goal.worstClass(), goal.worstTenant(), r.plan().seed())).append("</p>");
    plot(h, "Requests per second: intended and sent", new String[] {"intended", "sent"}, s -> s.intended, s -> s.sent);
    plot(h, "Latency from the intended start, ms", new String[] {"p50", "p99", "max"}, s -> ms(s.corrected, 50),
        s -> ms(s.corrected, 99), s -> ms(s.corrected, 100));
    plot(h, "Outcomes per second", new String[] {"served", "refused", "other"}, s -> s.outcomes[Outcome.SERVED.ordinal()],
        s -> s.outcomes[Outcome.REFUSED.ordinal()], s -> otherOutcomes(s.outcomes));
    plot(h, "Worth per second: requested and answered in time", new String[] {"asked", "in time"}, s -> s.worthRequested,
        s -> s.worthInTime);
    h.append("<h2>Classes and tenants</h2><table><tr><th><th>asked<th>in time<th>p50<th>p99<th>max<th>naive p99<th>naive max")
        .append("<th>share of all served");
    appendHtmlRow(h, "all", r.all);
    for (int i = 0; i < r.classes.size(); i++) {
      appendHtmlRow(h, r.plan().classes().get(i).name(), r.classes.get(i));
    }
    for (int i = 0; i < r.tenants.size(); i++) {
      appendHtmlRow(h, "@" + r.plan().tenants().get(i).name(), r.tenants.get(i));
    }
    return h.append("</table></html>\n").toString();
  }

  private static double otherOutcomes(long[] outcomes) {
    long sum = 0;
    for (Outcome o : Outcome.values()) {
      sum += o == Outcome.SERVED || o == Outcome.REFUSED ? 0 : outcomes[o.ordinal()];
    }
    return sum;
  }

  private void appendHtmlRow(StringBuilder h, String name, RequestStats t) {
    long served = t.outcomes[Outcome.SERVED.ordinal()];
    h.append("<tr><td>").append(escape(name)).append(format("<td>%d<td>%.1f%%<td>%.1f<td>%.1f<td>%.1f<td>%.1f<td>%.1f<td>%.1f%%",
        t.requests, 100.0 * t.inTime / Math.max(1, t.requests), ms(t.corrected, 50), ms(t.corrected, 99), ms(t.corrected, 100),
        ms(t.naive, 99), ms(t.naive, 100), 100.0 * served / Math.max(1, r.all.outcomes[Outcome.SERVED.ordinal()])));
  }

  @SafeVarargs
  private void plot(StringBuilder h, String title, String[] names, ToDoubleFunction<SecondStats>... series) {
    String[] colors = {"#26c", "#e80", "#c22"};
    double max = 1e-9;
    for (SecondStats s : r.seconds) {
      for (ToDoubleFunction<SecondStats> function : series) {
        max = Math.max(max, function.applyAsDouble(s));
      }
    }
    double step = (double) WIDTH / Math.max(1, r.seconds.size());
    h.append("<h2>").append(escape(title)).append("</h2><svg width=\"").append(WIDTH).append("\" height=\"").append(HEIGHT + 20)
        .append("\" role=\"img\">").append(format("<rect x=\"%.1f\" y=\"0\" width=\"%.1f\" height=\"%d\" fill=\"#fee\"/>",
            goal.worstTenSecondsFrom() * step, 10 * step, HEIGHT));
    for (int i = 0; i < series.length; i++) {
      h.append("<polyline fill=\"none\" stroke=\"").append(colors[i]).append("\" points=\"");
      for (int s = 0; s < r.seconds.size(); s++) {
        h.append(format("%.1f,%.1f ", (s + 0.5) * step, HEIGHT - (HEIGHT - 10) * series[i].applyAsDouble(r.seconds.get(s)) / max));
      }
      h.append("\"/><text x=\"").append(WIDTH - 90).append("\" y=\"").append(16 + 14 * i).append("\" fill=\"").append(colors[i])
          .append("\" font-size=\"12\">").append(escape(names[i])).append("</text>");
    }
    h.append(format("<text x=\"4\" y=\"14\" font-size=\"12\">%.4g</text><text x=\"4\" y=\"%d\" font-size=\"12\">0 s</text>"
        + "<text x=\"%d\" y=\"%d\" font-size=\"12\">%d s</text></svg>", max, HEIGHT + 15, WIDTH - 50, HEIGHT + 15,
        r.seconds.size()));
  }

  static String escape(String text) {
    return text.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;").replace("\"", "&quot;");
  }
}
