package cloverpulley.serve;

import cloverpulley.Balancer.ListKind;
import cloverpulley.Balancer.Status;
import cloverpulley.Reason;
import cloverpulley.engine.Attempt;
import cloverpulley.engine.Engine;
import cloverpulley.engine.EngineListener;
import cloverpulley.engine.Exchange;
import cloverpulley.engine.Fleet;
import cloverpulley.engine.Periodic;
import cloverpulley.engine.ServerList;
import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.logging.Logger;

/**
 * What this balancer did in a second, in one line of its log: what is harmless in one and harmful in all can be added up across
 * a fleet. Counts alone, the words of {@link Reason}, nothing where nothing happened. All of it runs on the engine's loop.
 */
final class Counts implements EngineListener {

  private static final Logger LOG = Logger.getLogger(Counts.class.getName());

  /** Upstreams named in a line; the rest is one figure. Bounds the line in a fleet of any size. */
  private static final int NAMED = 12;
  private static final int LONGEST_NAME = 32;
  private static final Status[] STATUSES = Status.values();
  private static final Reason[] REASONS = Reason.values();

  private final Fleet fleet;
  private final long warmNanos;
  private final int[] statuses = new int[STATUSES.length];
  private final int[] refused = new int[REASONS.length];
  private final int[] failed = new int[REASONS.length];
  private final Map<Long, Integer> opened = new HashMap<>();
  private final Map<Long, Integer> noRoom = new HashMap<>();
  private final Map<Long, Integer> cold = new HashMap<>();
  private int closedForAnother;
  private int closedLate;
  private int turnedAway;
  private int idle;
  private int taken;
  private int sent;
  private int again;
  private int served;
  private int gone;
  private int asked;
  private int unanswered;
  private int ignored;
  private int lines;

  /** {@code warmNanos} is how long after its start an upstream counts as cold. */
  Counts(Fleet fleet, long warmNanos) {
    this.fleet = fleet;
    this.warmNanos = warmNanos;
  }

  /** Writes a line a second for as long as the loop runs. */
  void writeOn(EventLoop loop) {
    Periodic.every(loop, TimeUnit.SECONDS.toMillis(1), () -> {
      String line = line();
      if (!line.isEmpty()) {
        LOG.info(line);
      }
    });
  }

  /** A source of lists whose calls are counted. */
  Engine.ListSource counted(Engine.ListSource lists) {
    return new Engine.ListSource() {
      @Override
      public void watch(boolean on) {
        asked += on ? 1 : 0;
        lists.watch(on);
      }

      @Override
      public void fetch() {
        asked++;
        lists.fetch();
      }
    };
  }

  /** A new connection to an upstream is tried. */
  void connectionOpened(long upstream) {
    opened.merge(upstream, 1, Integer::sum);
  }

  /** The first request on a new connection was turned away: the upstream holds as many connections as it may, or is full. */
  void newConnectionRejected(long upstream) {
    noRoom.merge(upstream, 1, Integer::sum);
  }

  /** A long body found no room in time. */
  void uploadRejected() {
    turnedAway++;
  }

  /** A client's connection was closed for another's, or because nothing whole came on it in time. */
  void clientClosed(boolean forAnother) {
    closedForAnother += forAnother ? 1 : 0;
    closedLate += forAnother ? 0 : 1;
  }

  /** So many connections to upstreams wait for use, as last seen. */
  void setIdleConnections(int connections) {
    idle = connections;
  }

  @Override
  public void requestAccepted(Exchange x) {
    taken++;
  }

  @Override
  public void attemptSent(Attempt attempt) {
    sent++;
    again += attempt.number() > 0 ? 1 : 0;
    long ago = fleet.ageNanos(attempt.upstream());
    if (ago >= 0 && ago < warmNanos) {
      cold.merge(attempt.upstream(), 1, Integer::sum);
    }
  }

  @Override
  public void attemptEnded(Attempt attempt, Status status, long latencyNanos) {
    statuses[status.ordinal()]++;
  }

  @Override
  public void requestEnded(Exchange x, Completion end, Reason reason) {
    switch (end) {
      case SERVED -> served++;
      case GONE -> gone++;
      case REJECTED -> refused[reason.ordinal()]++;
      case FAILED -> failed[reason.ordinal()]++;
    }
  }

  @Override
  public void serverListUpdated(ListKind kind, ServerList list, List<NumberedServer> servers) {
    if (kind == ListKind.FAILED) {
      unanswered++;
    } else if (kind != ListKind.CACHED) {
      lines += list.members().size();
      // A whole list without members would take the service away; a change without any is a version alone.
      ignored += servers.isEmpty() && (kind == ListKind.FULL || !list.members().isEmpty()) ? 1 : 0;
    }
  }

  @Override
  public void moduleReplaced(String event) {}

  /** What was counted since the last line; empty for nothing. */
  String line() {
    StringBuilder s = new StringBuilder(160);
    put(s, "taken", taken);
    put(s, "served", served);
    put(s, "gone", gone);
    for (Reason r : REASONS) {
      put(s, "refused_" + r.code(), refused[r.ordinal()]);
      put(s, "failed_" + r.code(), failed[r.ordinal()]);
      refused[r.ordinal()] = 0;
      failed[r.ordinal()] = 0;
    }
    put(s, "sent", sent);
    put(s, "again", again);
    for (Status status : STATUSES) {
      if (status != Status.SERVED && statuses[status.ordinal()] > 0) {
        put(s, "ended_" + status.name().toLowerCase(Locale.ROOT), statuses[status.ordinal()]);
      }
      statuses[status.ordinal()] = 0;
    }
    put(s, "list_asked", asked);
    put(s, "list_unanswered", unanswered);
    put(s, "list_ignored", ignored);
    put(s, "list_lines", lines);
    put(s, "opened", opened);
    put(s, "no_room_for_new", noRoom);
    put(s, "cold", cold);
    put(s, "idle", idle);
    put(s, "clients_closed_for_others", closedForAnother);
    put(s, "clients_closed_late", closedLate);
    put(s, "uploads_turned_away", turnedAway);
    closedForAnother = closedLate = turnedAway = 0;
    taken = served = gone = sent = again = asked = unanswered = ignored = lines = 0;
    return s.toString();
  }

  private static void put(StringBuilder s, String word, int count) {
    if (count > 0) {
      s.append(s.isEmpty() ? "counts " : " ").append(word).append('=').append(count);
    }
  }

  private void put(StringBuilder s, String word, Map<Long, Integer> upstreams) {
    put(s, word, upstreams.values().stream().mapToInt(n -> n).sum());
    int named = 0;
    for (Map.Entry<Long, Integer> e : upstreams.entrySet()) {
      ServerList.Server server = fleet.server(e.getKey());
      if (server != null && named++ < NAMED) {
        s.append(named == 1 ? ":" : ",").append(name(server.id())).append('*').append(e.getValue());
      }
    }
    upstreams.clear();
  }

  /** A name as the log may hold it. Guards its reader against a discovery that writes lines of its own, or endless ones. */
  static String name(String id) {
    return id.substring(0, Math.min(LONGEST_NAME, id.length())).replaceAll("[^\\w.:-]", "?");
  }
}
