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
 * The decisions of one request, each with what its instance knew then: what it had been told of the server, how many were ready, how much
 * was out there and in all. Out of the records alone; what they don't hold is said.
 */
public final class RequestExplainer {

  private static final long LOOK_BACK = 60_000_000L;

  private final Archive archive;
  private final String request;

  public RequestExplainer(Archive archive, String request) {
    this.archive = archive;
    this.request = request;
  }

  /** What one instance knew, walked through its records up to the request's own. */
  private static final class Known {
    final Map<Long, Entry> servers = new HashMap<>();
    final Map<Long, Integer> out = new HashMap<>();
    int allOut;
    int recentRefusals;
    int recentAnswers;
  }

  /** Tells it, a line a decision; whether anything was found. */
  public boolean explain(Consumer<String> line) throws IOException {
    List<Entry> own = new ArrayList<>();
    int hash = request.indexOf('#');
    Query q = Query.of(hash < 0 ? "request=\"" + request.replace("\"", "") + "\"" : "");
    archive.read(q, e -> {
      if (request.equals(e.requestId())) {
        own.add(e);
      }
    }, n -> { });
    if (own.isEmpty()) {
      return false;
    }
    Clocks clocks = IncidentAnalysis.clocks(archive, null);
    Map<Origin, List<Entry>> lives = new HashMap<>();
    own.forEach(e -> lives.computeIfAbsent(e.origin(), o -> new ArrayList<>()).add(e));
    // In the order of the reference clock as far as it settles it; within a life the records' own.
    List<Origin> order = new ArrayList<>(lives.keySet());
    order.sort((a, b) -> {
      int by = clocks.order(a.instance(), lives.get(a).get(0).at(), b.instance(), lives.get(b).get(0).at());
      return by != 0 ? by : a.compareTo(b);
    });
    for (Origin o : order) {
      List<Entry> mine = lives.get(o);
      line.accept(Sanitizer.printable(o.instance()) + ", started " + HtmlReport.time(o.start()) + ":");
      life(o, mine, line);
    }
    for (int i = 1; i < order.size(); i++) {
      Origin a = order.get(i - 1);
      Origin b = order.get(i);
      if (clocks.order(a.instance(), lives.get(a).get(0).at(), b.instance(), lives.get(b).get(0).at()) == 0) {
        line.accept("the order of " + Sanitizer.printable(a.instance()) + " and " + Sanitizer.printable(b.instance())
            + " is not settled by their clocks");
      }
    }
    return true;
  }

  private void life(Origin o, List<Entry> mine, Consumer<String> line) throws IOException {
    Known k = new Known();
    long first = mine.get(0).at();
    long last = mine.get(mine.size() - 1).at();
    int[] next = {0};
    Query state = Query.of("kind=server and at<" + seconds(first - LOOK_BACK));
    archive.read(state, e -> {
      if (e.origin().equals(o)) {
        know(k, e);
      }
    }, n -> { });
    archive.read(Query.of("at>=" + seconds(first - LOOK_BACK) + " and at<=" + seconds(last + 1)), e -> {
      if (!e.origin().equals(o)) {
        return;
      }
      if (next[0] < mine.size() && e.seq() == mine.get(next[0]).seq()) {
        line.accept("  " + HtmlReport.time(e.at()).substring(11) + "  " + say(e, k, first));
        next[0]++;
      }
      know(k, e);
    }, n -> { });
    if (mine.get(mine.size() - 1).kind() == Kind.SENT || mine.get(mine.size() - 1).kind() == Kind.TAKEN) {
      line.accept("  no end of it is recorded");
    }
  }

  private static String seconds(long micros) {
    return String.format(Locale.ROOT, "%d.%06d", Math.max(0, micros) / 1_000_000, Math.max(0, micros) % 1_000_000);
  }

  private static void know(Known k, Entry e) {
    switch (e.kind()) {
      case SERVER -> k.servers.put(e.upstream(), e);
      case SENT -> {
        k.out.merge(e.upstream(), 1, Integer::sum);
        k.allOut++;
      }
      case OUTCOME -> {
        if (k.out.getOrDefault(e.upstream(), 0) > 0) { // One that was sent before the look back is not counted.
          k.out.merge(e.upstream(), -1, Integer::sum);
          k.allOut--;
        }
      }
      case ANSWERED -> {
        if ("caller".equals(e.word())) {
          return;
        }
        k.recentAnswers++;
        k.recentRefusals += e.other() == Entry.REFUSED ? 1 : 0;
      }
      default -> { }
    }
  }

  private static String say(Entry e, Known k, long first) {
    long ready = k.servers.values().stream().filter(s -> s.word().equals("ready")).count();
    String after = String.format(Locale.ROOT, "+%.1f ms: ", (e.at() - first) / 1000.0);
    return after + switch (e.kind()) {
      case TAKEN -> "taken as " + Sanitizer.printable(e.className()) + (e.tenant() == null ? "" : " of " + Sanitizer.printable(e.tenant()))
          + ", good for " + e.value() / 1000 + " ms; " + ready + " servers ready, " + k.allOut + " attempts out";
      case SENT -> "attempt " + e.attempt() + " to " + server(e, k) + "; " + k.out.getOrDefault(e.upstream(), 0) + " out there, "
          + k.allOut + " in all, " + ready + " ready";
      case OUTCOME -> "attempt " + e.attempt() + " at " + server(e, k) + " ended " + Sanitizer.printable(e.word()) + " after " + e.value() / 1000.0
          + " ms";
      case ENDED -> "ended by the module: " + Entry.answerName(e.other()) + ", " + Sanitizer.printable(e.word());
      case ANSWERED -> "caller".equals(e.word()) ? "its caller had it: " + Entry.answerName(e.other()) + " after " + e.value() / 1000.0 + " ms"
          : "answered: " + Entry.answerName(e.other()) + ", " + Sanitizer.printable(e.word()) + "; of " + k.recentAnswers
          + " answers in the minute before " + k.recentRefusals + " were refusals";
      default -> e.kind().name().toLowerCase(Locale.ROOT);
    };
  }

  private static String server(Entry e, Known k) {
    Entry s = k.servers.get(e.upstream());
    String name = Sanitizer.printable(e.name() == null ? Long.toHexString(e.upstream()) : e.name());
    if (s == null) {
      return name + " (nothing told of it)";
    }
    long age = e.at() / 1000 - s.other();
    return name + " (" + Sanitizer.printable(s.word()) + (s.other() > 0 ? ", up for " + age / 1000 + " s" : "") + ")";
  }
}
