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
 * The analysis of an incident from an archive: first aligns the clocks by events that several instances recorded, then builds the timeline,
 * audits the rules and finds the change points, for a period of reference time.
 */
public final class IncidentAnalysis {

  /** Minimum time from an instance's start for which its clock offset is computed, even without any correlation. */
  private static final long MIN_SPAN = 60_000_000L;

  /** Kinds of records that stay in effect until a later record changes them. */
  private static final List<String> STATE_KINDS = List.of("start", "class", "tenant", "server");

  /**
   * What to read, and how.
   *
   * @param reference instance whose clock is the reference; null to choose one
   */
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

  public IncidentAnalysis(Archive archive, Options options, LongConsumer bytesDone) throws IOException {
    this.archive = archive;
    this.options = options;
    clocks = clocks(archive, options.reference);
    boolean complete = options.from == Long.MIN_VALUE && options.to == Long.MAX_VALUE;
    timeline = new Timeline(options.intervalMicros, complete);
    audit = new Audit(options.limits, complete);
    if (complete) {
      read = archive.readAll(this::addRecord, bytesDone);
    } else {
      // State still in effect may have been recorded before the requested period: those older records are looked up by the index.
      for (String kind : STATE_KINDS) {
        archive.read(Query.of("kind=" + kind), this::addState, n -> { });
      }
      read = archive.readBetween(options.from, options.to, this::startOffset, this::addRecord, bytesDone);
    }
  }

  private long startOffset(Origin o) {
    return clocks.offset(o.instance(), o.start()).midpoint();
  }

  private void addState(Entry e) {
    long at = e.at() + clocks.offset(e.origin().instance(), e.at()).midpoint();
    if (at < options.from) {
      audit.add(e);
      timeline.add(e, clocks);
    }
  }

  private void addRecord(Entry e) {
    timeline.add(e, clocks);
    audit.add(e);
    changePoints.add(e, e.at() + clocks.offset(e.origin().instance(), e.at()).midpoint());
  }

  /**
   * Aligns the clocks of all instances with records with that of {@code reference}; if it is null, with that of an instance that has a
   * caller's records, or else of the first instance.
   */
  static Clocks clocks(Archive archive, String reference) throws IOException {
    Correlations correlations = new Correlations();
    Map<String, long[]> spans = new TreeMap<>();
    archive.incarnations().forEach((instance, lives) -> {
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
    spans.values().forEach(s -> s[1] = Math.max(s[1], s[0] + MIN_SPAN));
    for (Clocks.Correlation c : correlations.all()) {
      extend(spans, c.a(), c.atA());
      extend(spans, c.b(), c.atB());
    }
    String referenceInstance = reference != null ? reference : !callers.isEmpty() ? callers.keySet().iterator().next()
        : spans.isEmpty() ? "" : spans.keySet().iterator().next();
    return new Clocks(referenceInstance, spans, correlations.all());
  }

  private static void extend(Map<String, long[]> spans, String instance, long at) {
    long[] span = spans.get(instance);
    if (span != null) {
      span[0] = Math.min(span[0], at);
      span[1] = Math.max(span[1], at);
    }
  }
}
