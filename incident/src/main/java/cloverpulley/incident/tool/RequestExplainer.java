package cloverpulley.incident.tool;

import cloverpulley.incident.Clocks;
import cloverpulley.incident.Entry;
import cloverpulley.incident.Kind;
import cloverpulley.incident.Origin;
import cloverpulley.incident.Query;
import cloverpulley.records.Archive;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Explains the decisions about one request, each with the state its instance had at the time: the state of the server, the number of ready
 * servers, and the attempts in flight to that server and in total. Uses the records alone and reports what they lack.
 */
public final class RequestExplainer {

  private static final long LOOKBACK = 60_000_000L;

  private final Archive archive;
  private final String request;

  public RequestExplainer(Archive archive, String request) {
    this.archive = archive;
    this.request = request;
  }

  /** The state of one instance, replayed from its records up to those of the request. */
  private static final class InstanceState {
    final Map<Long, Entry> servers = new HashMap<>();
    final Map<Long, Integer> inFlight = new HashMap<>();
    int totalInFlight;
    int recentRejections;
    int recentAnswers;
  }

  /** Writes one line for each decision. Returns whether any record of the request was found. */
  public boolean explain(Consumer<String> line) throws IOException {
    List<Entry> records = new ArrayList<>();
    int hash = request.indexOf('#');
    Query q = Query.of(hash < 0 ? "request=\"" + request.replace("\"", "") + "\"" : "");
    archive.read(q, e -> {
      if (request.equals(e.requestId())) {
        records.add(e);
      }
    }, n -> { });
    if (records.isEmpty()) {
      return false;
    }
    Clocks clocks = IncidentAnalysis.clocks(archive, null);
    Map<Origin, List<Entry>> byOrigin = new HashMap<>();
    records.forEach(e -> byOrigin.computeIfAbsent(e.origin(), o -> new ArrayList<>()).add(e));
    // Ordered by reference time where the clock bounds allow it; within an incarnation, by its records.
    List<Origin> order = new ArrayList<>(byOrigin.keySet());
    order.sort((a, b) -> {
      int byClock = clocks.order(a.instance(), byOrigin.get(a).get(0).at(), b.instance(), byOrigin.get(b).get(0).at());
      return byClock != 0 ? byClock : a.compareTo(b);
    });
    for (Origin o : order) {
      List<Entry> ownRecords = byOrigin.get(o);
      line.accept(Sanitizer.printable(o.instance()) + ", started " + HtmlReport.time(o.start()) + ":");
      explainIncarnation(o, ownRecords, line);
    }
    for (int i = 1; i < order.size(); i++) {
      Origin a = order.get(i - 1);
      Origin b = order.get(i);
      if (clocks.order(a.instance(), byOrigin.get(a).get(0).at(), b.instance(), byOrigin.get(b).get(0).at()) == 0) {
        line.accept("the order of " + Sanitizer.printable(a.instance()) + " and " + Sanitizer.printable(b.instance())
            + " cannot be determined from their clocks");
      }
    }
    return true;
  }

  private void explainIncarnation(Origin o, List<Entry> ownRecords, Consumer<String> line) throws IOException {
    InstanceState state = new InstanceState();
    long first = ownRecords.get(0).at();
    long last = ownRecords.get(ownRecords.size() - 1).at();
    int[] next = {0};
    Query stateQuery = Query.of("kind=server and at<" + seconds(first - LOOKBACK));
    archive.read(stateQuery, e -> {
      if (e.origin().equals(o)) {
        update(state, e);
      }
    }, n -> { });
    archive.read(Query.of("at>=" + seconds(first - LOOKBACK) + " and at<=" + seconds(last + 1)), e -> {
      if (!e.origin().equals(o)) {
        return;
      }
      if (next[0] < ownRecords.size() && e.seq() == ownRecords.get(next[0]).seq()) {
        line.accept("  " + HtmlReport.time(e.at()).substring(11) + "  " + describe(e, state, first));
        next[0]++;
      }
      update(state, e);
    }, n -> { });
    if (ownRecords.get(ownRecords.size() - 1).kind() == Kind.SENT || ownRecords.get(ownRecords.size() - 1).kind() == Kind.TAKEN) {
      line.accept("  its end is not recorded");
    }
  }

  private static String seconds(long micros) {
    return String.format(Locale.ROOT, "%d.%06d", Math.max(0, micros) / 1_000_000, Math.max(0, micros) % 1_000_000);
  }

  private static void update(InstanceState state, Entry e) {
    switch (e.kind()) {
      case SERVER -> state.servers.put(e.upstream(), e);
      case SENT -> {
        state.inFlight.merge(e.upstream(), 1, Integer::sum);
        state.totalInFlight++;
      }
      case OUTCOME -> {
        if (state.inFlight.getOrDefault(e.upstream(), 0) > 0) { // An attempt sent before the lookback period was not counted.
          state.inFlight.merge(e.upstream(), -1, Integer::sum);
          state.totalInFlight--;
        }
      }
      case ANSWERED -> {
        if ("caller".equals(e.word())) {
          return;
        }
        state.recentAnswers++;
        state.recentRejections += e.other() == Entry.REFUSED ? 1 : 0;
      }
      default -> { }
    }
  }

  private static String describe(Entry e, InstanceState state, long first) {
    long ready = state.servers.values().stream().filter(s -> s.word().equals("ready")).count();
    String after = String.format(Locale.ROOT, "+%.1f ms: ", (e.at() - first) / 1000.0);
    return after + switch (e.kind()) {
      case TAKEN -> "taken as " + Sanitizer.printable(e.className()) + (e.tenant() == null ? "" : " of " + Sanitizer.printable(e.tenant()))
          + ", deadline after " + e.value() / 1000 + " ms; " + ready + " servers ready, " + state.totalInFlight + " attempts in flight";
      case SENT -> "attempt " + e.attempt() + " to " + server(e, state) + "; " + state.inFlight.getOrDefault(e.upstream(), 0) + " in flight there, "
          + state.totalInFlight + " in total, " + ready + " ready";
      case OUTCOME -> "attempt " + e.attempt() + " at " + server(e, state) + " ended " + Sanitizer.printable(e.word()) + " after "
          + e.value() / 1000.0 + " ms";
      case ENDED -> "ended by the module: " + Entry.answerName(e.other()) + ", " + Sanitizer.printable(e.word());
      case ANSWERED -> "caller".equals(e.word()) ? "recorded by the caller: " + Entry.answerName(e.other()) + " after " + e.value() / 1000.0 + " ms"
          : "answered: " + Entry.answerName(e.other()) + ", " + Sanitizer.printable(e.word()) + "; of " + state.recentAnswers
          + " answers in the minute before " + state.recentRejections + " were refused";
      default -> e.kind().name().toLowerCase(Locale.ROOT);
    };
  }

  private static String server(Entry e, InstanceState state) {
    Entry s = state.servers.get(e.upstream());
    String name = Sanitizer.printable(e.name() == null ? Long.toHexString(e.upstream()) : e.name());
    if (s == null) {
      return name + " (no state received)";
    }
    long age = e.at() / 1000 - s.other();
    return name + " (" + Sanitizer.printable(s.word()) + (s.other() > 0 ? ", up for " + age / 1000 + " s" : "") + ")";
  }
}
