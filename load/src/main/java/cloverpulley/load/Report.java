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

/** A run's results as text, as JSON and as one page of HTML that needs nothing else. */
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

  private static String say(String format, Object... args) {
    return String.format(Locale.ROOT, format, args);
  }

  /** The first line, which says so where the generator fell behind. */
  public String headline() {
    String late = say("late by p50 %.2f, p99 %.2f, most %.2f ms", ms(r.lateness, 50), ms(r.lateness, 99), ms(r.lateness, 100));
    return r.fellBehind() ? say("FELL BEHIND: the generator's own %s; these figures are its own as well as the server's", late)
        : "the generator kept its times: " + late;
  }

  public String text() {
    StringBuilder t = new StringBuilder(headline()).append('\n');
    t.append(say("asked %d requests in %d tries, seed %d; G %.3f (whole %.3f, worst 10 s %.3f from second %d, worst class %.3f, "
        + "worst tenant %.3f)%n%n", r.all.asked, r.tries, r.plan().seed(), goal.g(), goal.whole(), goal.worstTen(),
        goal.worstTenAt(), goal.worstClass(), goal.worstTenant()));
    t.append(say("%-18s %9s %7s  %-35s  %s%n", "", "asked", "in time", "from the intended start, ms", "naive, ms"));
    t.append(say("%-18s %9s %7s  %7s%7s%7s%7s%7s  %7s%7s%7s  outcomes%n", "", "", "", "p50", "p90", "p99", "p99.9", "most",
        "p50", "p99", "most"));
    line(t, "all", r.all);
    for (int i = 0; i < r.types.size(); i++) {
      line(t, r.plan().types().get(i).name(), r.types.get(i));
    }
    for (int i = 0; i < r.tenants.size(); i++) {
      String name = r.plan().tenants().get(i).name();
      if (!name.isEmpty()) {
        line(t, "@" + name, r.tenants.get(i));
      }
    }
    return t.toString();
  }

  private static void line(StringBuilder t, String name, RequestStats tally) {
    t.append(say("%-18s %9d %6.1f%%  ", name, tally.asked, 100.0 * tally.inTime / Math.max(1, tally.asked)));
    for (double p : PERCENTILES) {
      t.append(say("%7.1f", ms(tally.corrected, p)));
    }
    t.append(say("  %7.1f%7.1f%7.1f  ", ms(tally.naive, 50), ms(tally.naive, 99), ms(tally.naive, 100)));
    for (Outcome o : Outcome.values()) {
      if (tally.outcomes[o.ordinal()] > 0) {
        t.append(word(o)).append('=').append(tally.outcomes[o.ordinal()]).append(' ');
      }
    }
    t.append('\n');
  }

  private static String word(Outcome o) {
    return o.name().toLowerCase(Locale.ROOT);
  }

  /** For machines; times in milliseconds. */
  public String json() {
    StringWriter text = new StringWriter();
    try (JsonGenerator g = new JsonFactory().createGenerator(text)) {
      g.writeStartObject();
      g.writeNumberField("version", 1);
      g.writeNumberField("seed", r.plan().seed());
      g.writeNumberField("seconds", r.plan().seconds());
      g.writeNumberField("tries", r.tries);
      g.writeBooleanField("fell_behind", r.fellBehind());
      times(g, "lateness_ms", r.lateness);
      g.writeObjectFieldStart("goal");
      g.writeNumberField("g", goal.g());
      g.writeNumberField("whole", goal.whole());
      g.writeNumberField("worst_10_s", goal.worstTen());
      g.writeNumberField("worst_10_s_from", goal.worstTenAt());
      g.writeNumberField("worst_class", goal.worstClass());
      g.writeNumberField("worst_tenant", goal.worstTenant());
      g.writeEndObject();
      g.writeFieldName("all");
      tally(g, r.all);
      g.writeObjectFieldStart("classes");
      for (int i = 0; i < r.types.size(); i++) {
        g.writeFieldName(r.plan().types().get(i).name());
        tally(g, r.types.get(i));
      }
      g.writeEndObject();
      g.writeObjectFieldStart("tenants");
      for (int i = 0; i < r.tenants.size(); i++) {
        g.writeFieldName(r.plan().tenants().get(i).name());
        tally(g, r.tenants.get(i));
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
        g.writeNumberField("worth_asked", s.worthAsked);
        g.writeNumberField("worth_in_time", s.worthInTime);
        g.writeEndObject();
      }
      g.writeEndArray();
      g.writeEndObject();
    } catch (IOException e) {
      throw new IllegalStateException(e); // A text in memory does not fail.
    }
    return text.toString();
  }

  private static void tally(JsonGenerator g, RequestStats t) throws IOException {
    g.writeStartObject();
    g.writeNumberField("asked", t.asked);
    g.writeNumberField("in_time", t.inTime);
    g.writeNumberField("worth_asked", t.worthAsked);
    g.writeNumberField("worth_in_time", t.worthInTime);
    g.writeObjectFieldStart("outcomes");
    for (Outcome o : Outcome.values()) {
      g.writeNumberField(word(o), t.outcomes[o.ordinal()]);
    }
    g.writeEndObject();
    times(g, "corrected_ms", t.corrected);
    times(g, "naive_ms", t.naive);
    g.writeEndObject();
  }

  private static void times(JsonGenerator g, String name, Histogram h) throws IOException {
    g.writeObjectFieldStart(name);
    for (double p : PERCENTILES) {
      g.writeNumberField(p == 100 ? "max" : "p" + (p == Math.rint(p) ? Long.toString((long) p) : Double.toString(p)), ms(h, p));
    }
    g.writeEndObject();
  }

  // ---- HTML ----------------------------------------------------------------------------------------------

  /** One page with plots, for a browser without a network. */
  public String html(String title) {
    StringBuilder h = new StringBuilder("<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>").append(escape(title))
        .append("</title><style>body{font:14px/1.4 sans-serif;margin:2em auto;max-width:960px;color:#222}table{border-collapse:")
        .append("collapse}td,th{padding:2px 10px;text-align:right;border-bottom:1px solid #ddd}td:first-child,th:first-child{")
        .append("text-align:left}svg{background:#fafafa;border:1px solid #ddd}.bad{color:#b00;font-weight:bold}</style><h1>")
        .append(escape(title)).append("</h1><p").append(r.fellBehind() ? " class=\"bad\"" : "").append('>')
        .append(escape(headline())).append("</p><p>").append(say("G %.3f: whole %.3f, worst 10 s %.3f (from second %d, shaded), "
            + "worst class %.3f, worst tenant %.3f. Seed %d.", goal.g(), goal.whole(), goal.worstTen(), goal.worstTenAt(),
            goal.worstClass(), goal.worstTenant(), r.plan().seed())).append("</p>");
    plot(h, "Requests a second: intended and sent", new String[] {"intended", "sent"}, s -> s.intended, s -> s.sent);
    plot(h, "Latency from the intended start, ms", new String[] {"p50", "p99", "most"}, s -> ms(s.corrected, 50),
        s -> ms(s.corrected, 99), s -> ms(s.corrected, 100));
    plot(h, "Outcomes a second", new String[] {"served", "refused", "other"}, s -> s.outcomes[Outcome.SERVED.ordinal()],
        s -> s.outcomes[Outcome.REFUSED.ordinal()], s -> other(s.outcomes));
    plot(h, "Worth a second: asked for and answered in time", new String[] {"asked", "in time"}, s -> s.worthAsked,
        s -> s.worthInTime);
    h.append("<h2>Classes and tenants</h2><table><tr><th><th>asked<th>in time<th>p50<th>p99<th>most<th>naive p99<th>naive most")
        .append("<th>share of what was served");
    row(h, "all", r.all);
    for (int i = 0; i < r.types.size(); i++) {
      row(h, r.plan().types().get(i).name(), r.types.get(i));
    }
    for (int i = 0; i < r.tenants.size(); i++) {
      row(h, "@" + r.plan().tenants().get(i).name(), r.tenants.get(i));
    }
    return h.append("</table></html>\n").toString();
  }

  private static double other(long[] outcomes) {
    long sum = 0;
    for (Outcome o : Outcome.values()) {
      sum += o == Outcome.SERVED || o == Outcome.REFUSED ? 0 : outcomes[o.ordinal()];
    }
    return sum;
  }

  private void row(StringBuilder h, String name, RequestStats t) {
    long served = t.outcomes[Outcome.SERVED.ordinal()];
    h.append("<tr><td>").append(escape(name)).append(say("<td>%d<td>%.1f%%<td>%.1f<td>%.1f<td>%.1f<td>%.1f<td>%.1f<td>%.1f%%",
        t.asked, 100.0 * t.inTime / Math.max(1, t.asked), ms(t.corrected, 50), ms(t.corrected, 99), ms(t.corrected, 100),
        ms(t.naive, 99), ms(t.naive, 100), 100.0 * served / Math.max(1, r.all.outcomes[Outcome.SERVED.ordinal()])));
  }

  @SafeVarargs
  private void plot(StringBuilder h, String title, String[] names, ToDoubleFunction<SecondStats>... lines) {
    String[] colours = {"#26c", "#e80", "#c22"};
    double most = 1e-9;
    for (SecondStats s : r.seconds) {
      for (ToDoubleFunction<SecondStats> line : lines) {
        most = Math.max(most, line.applyAsDouble(s));
      }
    }
    double step = (double) WIDTH / Math.max(1, r.seconds.size());
    h.append("<h2>").append(escape(title)).append("</h2><svg width=\"").append(WIDTH).append("\" height=\"").append(HEIGHT + 20)
        .append("\" role=\"img\">").append(say("<rect x=\"%.1f\" y=\"0\" width=\"%.1f\" height=\"%d\" fill=\"#fee\"/>",
            goal.worstTenAt() * step, 10 * step, HEIGHT));
    for (int i = 0; i < lines.length; i++) {
      h.append("<polyline fill=\"none\" stroke=\"").append(colours[i]).append("\" points=\"");
      for (int s = 0; s < r.seconds.size(); s++) {
        h.append(say("%.1f,%.1f ", (s + 0.5) * step, HEIGHT - (HEIGHT - 10) * lines[i].applyAsDouble(r.seconds.get(s)) / most));
      }
      h.append("\"/><text x=\"").append(WIDTH - 90).append("\" y=\"").append(16 + 14 * i).append("\" fill=\"").append(colours[i])
          .append("\" font-size=\"12\">").append(escape(names[i])).append("</text>");
    }
    h.append(say("<text x=\"4\" y=\"14\" font-size=\"12\">%.4g</text><text x=\"4\" y=\"%d\" font-size=\"12\">0 s</text>"
        + "<text x=\"%d\" y=\"%d\" font-size=\"12\">%d s</text></svg>", most, HEIGHT + 15, WIDTH - 50, HEIGHT + 15,
        r.seconds.size()));
  }

  static String escape(String text) {
    return text.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;").replace("\"", "&quot;");
  }
}
