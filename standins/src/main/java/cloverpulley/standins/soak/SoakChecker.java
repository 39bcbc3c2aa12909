package cloverpulley.standins.soak;

import cloverpulley.standins.soak.SoakClients.SentRequest;
import cloverpulley.standins.soak.SoakClients.End;
import cloverpulley.standins.soak.SoakClients.RequestKind;
import cloverpulley.standins.soak.SoakCounts.Breach;
import cloverpulley.standins.soak.SoakProcess.Signal;
import cloverpulley.standins.soak.SoakServer.Received;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** Holds what clients and servers saw against the rules. */
final class SoakChecker {

  /** What counts for a rule may come so much later for the observer. */
  private static final long SLACK_NANOS = TimeUnit.MILLISECONDS.toNanos(50);
  /** An attempt may begin so long after its client closed. */
  private static final long LEFT_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
  /** The time told to a server may be so much longer than its client's rest. */
  private static final long TOLD_MILLIS = 150;
  /** An answer later than this after its time is lost. */
  private static final long LATE_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
  /** Whoever died had these connections so long before and after. */
  private static final long KILL_NANOS = TimeUnit.MILLISECONDS.toNanos(200);
  /** From its start a server is looked at for so long, against the others in that time. */
  private static final long SLOW_START_NANOS = TimeUnit.MILLISECONDS.toNanos(1500);
  private static final int ENOUGH_REQUESTS = 40;
  /** At the end of that time a server is known to have less than this part of its capacity. */
  private static final double SLOW_START_PART = 0.75;

  private final SoakCounts counts;
  private final SoakNotifications notices;
  private final List<SoakNode> nodes;
  private final List<SoakServer> servers;
  private final Map<String, SentRequest> asked;

  SoakChecker(SoakCounts counts, SoakNotifications notices, List<SoakNode> nodes, List<SoakServer> servers, SoakClients clients) {
    this.counts = counts;
    this.notices = notices;
    this.nodes = nodes;
    this.servers = servers;
    asked = clients.asked;
  }

  void judge() {
    asked.values().forEach(this::judgeRequest);
    Map<String, Received> first = new HashMap<>();
    servers.stream().flatMap(s -> s.received.stream()).sorted((a, b) -> Long.compare(a.atNanos(), b.atNanos())).forEach(r -> judgeCopy(r, first));
    for (SoakServer server : servers) {
      server.received.forEach(r -> judgeReceived(server, r));
    }
    notices.restarts().forEach(this::judgeSlowStart);
  }

  private void judgeRequest(SentRequest a) {
    long due = a.sentNanos() + TimeUnit.MILLISECONDS.toNanos(a.expiresMillis()) + LATE_NANOS;
    if (a.end() == End.ANSWERED && a.endNanos() <= due || a.end() == End.LEFT || isExcused(a)) {
      return;
    }
    if (a.end() == End.NOT_CONNECTED && !isServed(a)) {
      return; // Nobody was there to take it.
    }
    counts.add(Breach.LOST, a.id() + " " + a.kind() + (a.fresh() ? " on a new connection " : " on a kept connection ") + a.end() + " after "
        + (a.endNanos() - a.sentNanos()) / 1_000_000 + " of " + a.expiresMillis() + " ms, at " + a.endNanos());
  }

  /** Whether a process of the node may have died with it, or its socket calls failed just then. */
  private boolean isExcused(SentRequest a) {
    boolean killed = nodes.get(a.node()).processes.stream().anyMatch(p -> p.signal == Signal.KILL
        && p.signalNanos >= a.sentNanos() - KILL_NANOS && p.signalNanos <= a.endNanos() + KILL_NANOS);
    return killed || notices.isTroubled(a.node(), a.sentNanos(), a.endNanos());
  }

  private boolean isServed(SentRequest a) {
    return nodes.get(a.node()).processes.stream().anyMatch(p -> p.readyNanos > 0 && p.readyNanos < a.sentNanos()
        && (p.signal == Signal.NONE || p.signalNanos > a.endNanos()));
  }

  /** Unsafe requests run once, keyed ones within their window. */
  private void judgeCopy(Received r, Map<String, Received> first) {
    if (!r.ran()) {
      return;
    }
    Received before = first.putIfAbsent(r.id(), r);
    SentRequest a = asked.get(r.id());
    if (before == null || a == null || a.kind() == RequestKind.LOOKUP) {
      return;
    }
    long apart = r.atNanos() - before.atNanos();
    if (a.kind() == RequestKind.ORDER || apart > TimeUnit.MILLISECONDS.toNanos(SoakSettings.WINDOW_MILLIS) + SLACK_NANOS) {
      counts.add(Breach.DUPLICATE, r.id() + " " + a.kind() + " at " + before.server() + " and " + r.server() + " after " + apart / 1_000_000 + " ms, "
          + a.end() + " " + a.status() + ", sent at " + a.sentNanos());
    }
  }

  private void judgeReceived(SoakServer server, Received r) {
    String drain = r.node() < 0 ? null
        : notices.breaks(r.node(), server.id, r.atNanos(), TimeUnit.MILLISECONDS.toNanos(SoakSettings.GRACE_MILLIS) + SLACK_NANOS);
    if (drain != null) {
      counts.add(Breach.DRAIN, server.id + " got " + r.id() + ", " + drain);
    }
    SentRequest a = asked.get(r.id());
    if (a == null) {
      return;
    }
    if ((a.end() == End.LEFT || a.end() == End.UNANSWERED) && r.atNanos() > a.endNanos() + LEFT_NANOS) {
      counts.add(Breach.AFTER_LEAVING, r.id() + " began " + (r.atNanos() - a.endNanos()) / 1_000_000 + " ms after its client left");
    }
    long rest = a.expiresMillis() - (r.atNanos() - a.sentNanos()) / 1_000_000;
    if (r.expiresMillis() > rest + TOLD_MILLIS) {
      counts.add(Breach.TOLD_TIME, r.id() + " told " + r.expiresMillis() + " ms of " + rest);
    }
  }

  private static long count(SoakServer server, long from) {
    return server.received.stream().filter(r -> r.atNanos() >= from && r.atNanos() < from + SLOW_START_NANOS).count();
  }

  private void judgeSlowStart(SoakNotifications.Restart restart) {
    long from = restart.atNanos();
    boolean started = nodes.stream().flatMap(n -> n.processes.stream())
        .anyMatch(p -> p.readyNanos > from - SLOW_START_NANOS && p.readyNanos < from + SLOW_START_NANOS);
    long[] others = servers.stream().filter(s -> !s.id.equals(restart.server()) && !notices.isOut(s.id, from, from + SLOW_START_NANOS))
        .mapToLong(s -> count(s, from)).sorted().toArray();
    long usual = others.length == 0 ? 0 : others[others.length / 2];
    if (started || usual < ENOUGH_REQUESTS) {
      return;
    }
    double n = SLOW_START_PART * usual;
    long got = servers.stream().filter(s -> s.id.equals(restart.server())).mapToLong(s -> count(s, from)).sum();
    if (got > n + 3 * Math.sqrt(n) + 3) {
      counts.add(Breach.SLOW_START, restart.server() + " got " + got + " in its first 1.5 s, the others " + usual);
    }
  }
}
