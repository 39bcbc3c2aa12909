package cloverpulley.standins.soak;

import cloverpulley.standins.soak.SoakClients.End;
import cloverpulley.standins.soak.SoakClients.RequestKind;
import cloverpulley.standins.soak.SoakClients.SentRequest;
import cloverpulley.standins.soak.SoakCounts.Breach;
import cloverpulley.standins.soak.SoakProcess.Signal;
import cloverpulley.standins.soak.SoakServer.Received;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** Checks what clients and servers observed against the rules. */
final class SoakChecker {

  /** Tolerance for delays between an event and its observation. */
  private static final long OBSERVATION_SLACK_NANOS = TimeUnit.MILLISECONDS.toNanos(50);
  /** An attempt may still begin this long after its client disconnected. */
  private static final long AFTER_DISCONNECT_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
  /** The expiry sent to a server may exceed the client's remaining time by this much. */
  private static final long EXPIRY_SLACK_MILLIS = 150;
  /** A response that arrives later than this after its deadline counts as lost. */
  private static final long RESPONSE_SLACK_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
  /** A SIGKILL excuses requests that were open within this time before or after it. */
  private static final long KILL_SLACK_NANOS = TimeUnit.MILLISECONDS.toNanos(200);
  /** A restarted server's requests are compared with those of the other servers over this time. */
  private static final long SLOW_START_NANOS = TimeUnit.MILLISECONDS.toNanos(1500);
  private static final int MIN_REQUESTS = 40;
  /** At the end of that time a server in slow start has less than this ratio of its capacity. */
  private static final double SLOW_START_RATIO = 0.75;

  private final StallMonitor stalls;
  private final SoakCounts counts;
  private final SoakNotifications notifications;
  private final List<SoakNode> nodes;
  private final List<SoakServer> servers;
  private final Map<String, SentRequest> requests;

  SoakChecker(SoakCounts counts, SoakNotifications notifications, List<SoakNode> nodes, List<SoakServer> servers, SoakClients clients,
      StallMonitor stalls) {
    this.stalls = stalls;
    this.counts = counts;
    this.notifications = notifications;
    this.nodes = nodes;
    this.servers = servers;
    requests = clients.requests;
  }

  void check() {
    requests.values().forEach(this::checkRequest);
    Map<String, Received> firstReceived = new HashMap<>();
    servers.stream().flatMap(s -> s.received.stream()).sorted((a, b) -> Long.compare(a.atNanos(), b.atNanos()))
        .forEach(r -> checkDuplicate(r, firstReceived));
    for (SoakServer server : servers) {
      server.received.forEach(r -> checkReceived(server, r));
    }
    notifications.restarts().forEach(this::checkSlowStart);
  }

  private void checkRequest(SentRequest a) {
    long deadline = a.sentNanos() + TimeUnit.MILLISECONDS.toNanos(a.expiresMillis()) + RESPONSE_SLACK_NANOS;
    if (a.end() == End.ANSWERED && a.endNanos() <= deadline || a.end() == End.LEFT || isExcused(a)) {
      return;
    }
    if (a.end() == End.NOT_CONNECTED && !hadServingProcess(a)) {
      return; // No process was running that could have accepted it.
    }
    counts.add(Breach.LOST, a.id() + " " + a.kind() + (a.fresh() ? " on a new connection " : " on a kept connection ") + a.end() + " after "
        + (a.endNanos() - a.sentNanos()) / 1_000_000 + " of " + a.expiresMillis() + " ms, at " + a.endNanos());
  }

  /** Whether a node process was killed shortly before, during or after the request, or socket faults were active during it or shortly before. */
  private boolean isExcused(SentRequest a) {
    boolean killed = nodes.get(a.node()).processes.stream().anyMatch(p -> p.signal == Signal.KILL
        && p.signalNanos >= a.sentNanos() - KILL_SLACK_NANOS && p.signalNanos <= a.endNanos() + KILL_SLACK_NANOS);
    return killed || notifications.hadSocketFaults(a.node(), a.sentNanos(), a.endNanos());
  }

  private boolean hadServingProcess(SentRequest a) {
    return nodes.get(a.node()).processes.stream().anyMatch(p -> p.readyNanos > 0 && p.readyNanos < a.sentNanos()
        && (p.signal == Signal.NONE || p.signalNanos > a.endNanos()));
  }

  /** Checks that unsafe requests run at most once, and that repeats of keyed ones stay within the deduplication window. */
  private void checkDuplicate(Received r, Map<String, Received> firstReceived) {
    if (!r.ran()) {
      return;
    }
    Received earlier = firstReceived.putIfAbsent(r.id(), r);
    SentRequest a = requests.get(r.id());
    if (earlier == null || a == null || a.kind() == RequestKind.LOOKUP) {
      return;
    }
    long intervalNanos = r.atNanos() - earlier.atNanos();
    if (a.kind() == RequestKind.ORDER || intervalNanos > TimeUnit.MILLISECONDS.toNanos(SoakSettings.WINDOW_MILLIS) + OBSERVATION_SLACK_NANOS) {
      counts.add(Breach.DUPLICATE, r.id() + " " + a.kind() + " at " + earlier.server() + " and " + r.server() + " after "
          + intervalNanos / 1_000_000 + " ms, " + a.end() + " " + a.status() + ", sent at " + a.sentNanos());
    }
  }

  private void checkReceived(SoakServer server, Received r) {
    String violation = r.node() < 0 ? null
        : notifications.findDrainViolation(r.node(), server.id, r.atNanos(),
            TimeUnit.MILLISECONDS.toNanos(SoakSettings.GRACE_MILLIS) + OBSERVATION_SLACK_NANOS);
    if (violation != null) {
      counts.add(Breach.DRAIN, server.id + " got " + r.id() + ", " + violation);
    }
    SentRequest a = requests.get(r.id());
    if (a == null) {
      return;
    }
    if ((a.end() == End.LEFT || a.end() == End.UNANSWERED) && r.atNanos() > a.endNanos() + AFTER_DISCONNECT_NANOS) {
      counts.add(Breach.AFTER_LEAVING, r.id() + " began " + (r.atNanos() - a.endNanos()) / 1_000_000 + " ms after its client left"
          + stalls.describe(a.endNanos(), r.atNanos()));
    }
    long remainingMillis = a.expiresMillis() - (r.atNanos() - a.sentNanos()) / 1_000_000;
    if (r.expiresMillis() > remainingMillis + EXPIRY_SLACK_MILLIS) {
      counts.add(Breach.TOLD_TIME, r.id() + " told " + r.expiresMillis() + " ms of " + remainingMillis + ", sent " + (r.atNanos() - a.sentNanos()) / 1_000_000
          + " ms before" + stalls.describe(a.sentNanos(), r.atNanos()));
    }
  }

  private static long count(SoakServer server, long fromNanos) {
    return server.received.stream().filter(r -> r.atNanos() >= fromNanos && r.atNanos() < fromNanos + SLOW_START_NANOS).count();
  }

  private void checkSlowStart(SoakNotifications.Restart restart) {
    long fromNanos = restart.atNanos();
    boolean balancerStarted = nodes.stream().flatMap(node -> node.processes.stream())
        .anyMatch(p -> p.readyNanos > fromNanos - SLOW_START_NANOS && p.readyNanos < fromNanos + SLOW_START_NANOS);
    long[] others = servers.stream()
        .filter(s -> !s.id.equals(restart.server()) && !notifications.wasDrainingOrOffline(s.id, fromNanos, fromNanos + SLOW_START_NANOS))
        .mapToLong(s -> count(s, fromNanos)).sorted().toArray();
    long median = others.length == 0 ? 0 : others[others.length / 2];
    if (balancerStarted || median < MIN_REQUESTS) {
      return;
    }
    double expected = SLOW_START_RATIO * median;
    long actual = servers.stream().filter(s -> s.id.equals(restart.server())).mapToLong(s -> count(s, fromNanos)).sum();
    if (actual > expected + 3 * Math.sqrt(expected) + 3) {
      counts.add(Breach.SLOW_START, restart.server() + " got " + actual + " in its first 1.5 s, the others " + median);
    }
  }
}
