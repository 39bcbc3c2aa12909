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
 * Logs what this balancer did in each second in one line, so that effects that are harmless in one balancer and harmful in all can be summed
 * over a fleet. Only counts, with the codes of {@link Reason}, and no line if nothing happened. Confined to the engine's loop.
 */
final class Counts implements EngineListener {

  private static final Logger LOG = Logger.getLogger(Counts.class.getName());

  /** The maximum number of upstreams named per count; the others are only part of the sum. Bounds the line in a fleet of any size. */
  private static final int MAX_NAMED_UPSTREAMS = 12;
  private static final int MAX_NAME_LENGTH = 32;
  private static final Status[] STATUSES = Status.values();
  private static final Reason[] REASONS = Reason.values();

  private final Fleet fleet;
  private final long slowStartNanos;
  private final int[] statuses = new int[STATUSES.length];
  private final int[] rejected = new int[REASONS.length];
  private final int[] failed = new int[REASONS.length];
  private final Map<Long, Integer> connectionsOpened = new HashMap<>();
  private final Map<Long, Integer> newConnectionsRejected = new HashMap<>();
  private final Map<Long, Integer> slowStarting = new HashMap<>();
  private final Map<Long, Integer> surplusReceived = new HashMap<>();
  private final Map<Long, Integer> responsesEarly = new HashMap<>();
  private int responsesLate;
  private int responsesCut;
  private int shortResponsesLate;
  private int notWrittenInTime;
  private int closedForOthers;
  private int closedOnTimeout;
  private int responsesStalled;
  private int idleConnections;
  private int accepted;
  private int sent;
  private int retried;
  private int served;
  private int clientsGone;
  private int listsRequested;
  private int listsUnanswered;
  private int listsIgnored;
  private int listLines;

  /** Creates counts in which an upstream is in slow start for {@code slowStartNanos} after its start. */
  Counts(Fleet fleet, long slowStartNanos) {
    this.fleet = fleet;
    this.slowStartNanos = slowStartNanos;
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

  /** Wraps a list source to count its calls. */
  Engine.ListSource counting(Engine.ListSource lists) {
    return new Engine.ListSource() {
      @Override
      public void watch(boolean on) {
        listsRequested += on ? 1 : 0;
        lists.watch(on);
      }

      @Override
      public void fetch() {
        listsRequested++;
        lists.fetch();
      }
    };
  }

  /** Counts a new connection to an upstream, when it is attempted. */
  void connectionOpened(long upstream) {
    connectionsOpened.merge(upstream, 1, Integer::sum);
  }

  /** Counts a new connection whose first request was rejected: the upstream has reached its connection limit, or is overloaded. */
  void newConnectionRejected(long upstream) {
    newConnectionsRejected.merge(upstream, 1, Integer::sum);
  }

  /** Counts a response that paused before it was complete or passed on. */
  void responseStalled() {
    responsesStalled++;
  }

  /** Counts a response that was incomplete at its client's deadline and could still be long. */
  void responseLate() {
    responsesLate++;
  }

  /** Counts a short response that was complete only after it had been counted as late. */
  void shortResponseLate() {
    shortResponsesLate++;
  }

  /** Counts a response that had begun to be passed on and that this side ended. */
  void responseCut() {
    responsesCut++;
  }

  /** Counts bytes behind a complete response, which no request waits for. */
  void surplusReceived(long upstream) {
    surplusReceived.merge(upstream, 1, Integer::sum);
  }

  /** Counts a response that came sooner than the connection's round trip is known to take: it may belong to an earlier request. */
  void responseEarly(long upstream) {
    responsesEarly.merge(upstream, 1, Integer::sum);
  }

  /** Counts an attempt that was cancelled because its last byte was not written by its send deadline. */
  void notWrittenInTime() {
    notWrittenInTime++;
  }

  /** Counts a client connection that was closed to make room for another, or because it sent no complete request in time. */
  void clientClosed(boolean forAnother) {
    closedForOthers += forAnother ? 1 : 0;
    closedOnTimeout += forAnother ? 0 : 1;
  }

  /** Sets the current number of idle upstream connections. */
  void setIdleConnections(int connections) {
    idleConnections = connections;
  }

  @Override
  public void requestAccepted(Exchange x) {
    accepted++;
  }

  @Override
  public void attemptSent(Attempt attempt) {
    sent++;
    retried += attempt.number() > 0 ? 1 : 0;
    long age = fleet.ageNanos(attempt.upstream());
    if (age >= 0 && age < slowStartNanos) {
      slowStarting.merge(attempt.upstream(), 1, Integer::sum);
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
      case GONE -> clientsGone++;
      case REJECTED -> rejected[reason.ordinal()]++;
      case FAILED -> failed[reason.ordinal()]++;
    }
  }

  @Override
  public void serverListUpdated(ListKind kind, ServerList list, List<NumberedServer> servers) {
    if (kind == ListKind.FAILED) {
      listsUnanswered++;
    } else if (kind != ListKind.CACHED) {
      listLines += list.members().size();
      // A full list without members is ignored, as it would stop the service; a delta without members only advances the revision.
      listsIgnored += servers.isEmpty() && (kind == ListKind.FULL || !list.members().isEmpty()) ? 1 : 0;
    }
  }

  @Override
  public void moduleReplaced(String event) {}

  /** The counts since the last line; empty if there are none. */
  String line() {
    StringBuilder s = new StringBuilder(160);
    put(s, "taken", accepted);
    put(s, "served", served);
    put(s, "gone", clientsGone);
    for (Reason r : REASONS) {
      put(s, "refused_" + r.code(), rejected[r.ordinal()]);
      put(s, "failed_" + r.code(), failed[r.ordinal()]);
      rejected[r.ordinal()] = 0;
      failed[r.ordinal()] = 0;
    }
    put(s, "sent", sent);
    put(s, "again", retried);
    for (Status status : STATUSES) {
      if (status != Status.SERVED && statuses[status.ordinal()] > 0) {
        put(s, "ended_" + status.name().toLowerCase(Locale.ROOT), statuses[status.ordinal()]);
      }
      statuses[status.ordinal()] = 0;
    }
    put(s, "list_asked", listsRequested);
    put(s, "list_unanswered", listsUnanswered);
    put(s, "list_ignored", listsIgnored);
    put(s, "list_lines", listLines);
    put(s, "opened", connectionsOpened);
    put(s, "no_room_for_new", newConnectionsRejected);
    put(s, "cold", slowStarting);
    put(s, "idle", idleConnections);
    put(s, "clients_closed_for_others", closedForOthers);
    put(s, "clients_closed_late", closedOnTimeout);
    put(s, "answers_paused", responsesStalled);
    put(s, "answers_late", responsesLate);
    put(s, "answers_short_late", shortResponsesLate);
    put(s, "answers_cut", responsesCut);
    put(s, "answers_early", responsesEarly);
    put(s, "surplus", surplusReceived);
    put(s, "unwritten_in_window", notWrittenInTime);
    closedForOthers = closedOnTimeout = responsesStalled = 0;
    responsesLate = shortResponsesLate = responsesCut = notWrittenInTime = 0;
    accepted = served = clientsGone = sent = retried = listsRequested = listsUnanswered = listsIgnored = listLines = 0;
    return s.toString();
  }

  private static void put(StringBuilder s, String key, int count) {
    if (count > 0) {
      s.append(s.isEmpty() ? "counts " : " ").append(key).append('=').append(count);
    }
  }

  private void put(StringBuilder s, String key, Map<Long, Integer> upstreams) {
    put(s, key, upstreams.values().stream().mapToInt(n -> n).sum());
    int named = 0;
    for (Map.Entry<Long, Integer> e : upstreams.entrySet()) {
      ServerList.Server server = fleet.server(e.getKey());
      if (server != null && named++ < MAX_NAMED_UPSTREAMS) {
        s.append(named == 1 ? ":" : ",").append(logName(server.id())).append('*').append(e.getValue());
      }
    }
    upstreams.clear();
  }

  /** Sanitizes a name for the log, so that names from discovery cannot inject lines or make them arbitrarily long. */
  static String logName(String id) {
    return id.substring(0, Math.min(MAX_NAME_LENGTH, id.length())).replaceAll("[^\\w.:-]", "?");
  }
}
