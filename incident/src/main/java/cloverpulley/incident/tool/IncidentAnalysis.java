package cloverpulley.incident.tool;

import cloverpulley.incident.Audit;
import cloverpulley.incident.ChangePointAnalysis;
import cloverpulley.incident.Clocks;
import cloverpulley.incident.Correlations;
import cloverpulley.incident.Entry;
import cloverpulley.incident.Origin;
import cloverpulley.incident.Query;
import cloverpulley.incident.Timeline;
import cloverpulley.records.Archive;
import java.io.IOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.LongConsumer;

/**
 * An incident, read: the clocks first, out of what several instances saw; then the course, the rules and what came before the rises,
 * on one clock and between two times of it.
 */
public final class IncidentAnalysis {

  /** An instance's clock is bounded for so long from its start at least, whatever it said. */
  private static final long LEAST_SPAN = 60_000_000L;

  /** What holds from when it is told on. */
  private static final List<String> STATE = List.of("start", "class", "tenant", "server");

  /** What to read, and how. */
  public record Options(long from, long to, long intervalMicros, String reference, Audit.Limits limits) {
    public static Options allRecords() {
      return new Options(Long.MIN_VALUE, Long.MAX_VALUE, 10_000_000L, null, Audit.Limits.DEFAULT);
    }
  }

  public final Clocks clocks;
  public final Timeline timeline;
  public final Audit audit;
  public final ChangePointAnalysis changePoints = new ChangePointAnalysis();
  public final Archive.Read read;
  public final Archive archive;
  public final Options options;

  public IncidentAnalysis(Archive archive, Options options, LongConsumer octetsDone) throws IOException {
    this.archive = archive;
    this.options = options;
    clocks = clocks(archive, options.reference);
    boolean whole = options.from == Long.MIN_VALUE && options.to == Long.MAX_VALUE;
    timeline = new Timeline(options.intervalMicros, whole);
    audit = new Audit(options.limits, whole);
    if (whole) {
      read = archive.all(this::take, octetsDone);
    } else {
      // The state of servers and classes is told before the time asked for: that much of the past is read, by the index.
      for (String kind : STATE) {
        archive.read(Query.of("kind=" + kind), this::takeState, n -> { });
      }
      read = archive.between(options.from, options.to, this::shift, this::take, octetsDone);
    }
  }

  private long shift(Origin o) {
    return clocks.offset(o.instance(), o.start()).midpoint();
  }

  private void takeState(Entry e) {
    long at = e.at() + clocks.offset(e.origin().instance(), e.at()).midpoint();
    if (at < options.from) {
      audit.add(e);
      timeline.add(e, clocks);
    }
  }

  private void take(Entry e) {
    timeline.add(e, clocks);
    audit.add(e);
    changePoints.add(e, e.at() + clocks.offset(e.origin().instance(), e.at()).midpoint());
  }

  /** The clocks of all instances with records, against that of {@code reference}, or of the first that has a caller's records, or the first. */
  static Clocks clocks(Archive archive, String reference) throws IOException {
    Correlations correlations = new Correlations();
    Map<String, long[]> spans = new TreeMap<>();
    archive.lives().forEach((instance, lives) -> {
      long[] span = spans.computeIfAbsent(instance, i -> new long[] {Long.MAX_VALUE, Long.MIN_VALUE});
      lives.forEach(o -> span[0] = Math.min(span[0], o.start()));
    });
    Map<String, Long> callers = new HashMap<>();
    if (spans.size() > 1) {
      archive.read(Query.of("kind=list"), correlations::add, n -> { });
      archive.read(Query.of("word=caller"), e -> {
        callers.merge(e.origin().instance(), 1L, Long::sum);
        correlations.add(e);
      }, n -> { });
      if (!callers.isEmpty()) {
        archive.read(Query.of("kind=answered and word!=caller"), correlations::add, n -> { });
      }
    }
    spans.values().forEach(s -> s[1] = Math.max(s[1], s[0] + LEAST_SPAN));
    for (Clocks.Correlation c : correlations.all()) {
      stretch(spans, c.a(), c.atA());
      stretch(spans, c.b(), c.atB());
    }
    String by = reference != null ? reference : !callers.isEmpty() ? callers.keySet().iterator().next()
        : spans.isEmpty() ? "" : spans.keySet().iterator().next();
    return new Clocks(by, spans, correlations.all());
  }

  private static void stretch(Map<String, long[]> spans, String instance, long at) {
    long[] span = spans.get(instance);
    if (span != null) {
      span[0] = Math.min(span[0], at);
      span[1] = Math.max(span[1], at);
    }
  }
}
