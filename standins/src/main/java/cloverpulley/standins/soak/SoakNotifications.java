package cloverpulley.standins.soak;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Records what the balancers were notified of and when, and when notifications could not reach them. {@link SoakChecker} checks their behaviour
 * against these records. Thread-safe.
 */
final class SoakNotifications {

  /** A time span; one that is still open ends at {@code Long.MAX_VALUE}. */
  static final class Span {
    final long fromNanos;
    long toNanos = Long.MAX_VALUE;

    Span(long fromNanos) {
      this.fromNanos = fromNanos;
    }
  }

  /** A restart of a server, of which discovery notified the balancers. */
  record Restart(String server, long atNanos) {}

  private record NodeServer(int node, String server) {}

  /** A balancer counts as notified of a change at the latest this long after discovery became reachable. */
  private static final long MAX_NOTIFICATION_DELAY_NANOS = TimeUnit.SECONDS.toNanos(6);
  /** A watch interruption that ended up to this long before a change may still delay the notification. */
  private static final long WATCH_RECOVERY_NANOS = TimeUnit.SECONDS.toNanos(6);

  private final Map<String, List<Span>> drains = new HashMap<>();
  private final Map<NodeServer, List<Span>> offline = new HashMap<>();
  private final Map<Integer, List<Long>> watchInterruptions = new HashMap<>();
  private final Map<Integer, List<Span>> socketFaults = new HashMap<>();
  private final List<Span> discoveryOutages = new ArrayList<>();
  private final List<Restart> restarts = new ArrayList<>();

  private static Span openSpan(List<Span> spans) {
    Span last = spans == null || spans.isEmpty() ? null : spans.get(spans.size() - 1);
    return last != null && last.toNanos == Long.MAX_VALUE ? last : null;
  }

  private static void endSpan(List<Span> spans) {
    endSpan(spans, System.nanoTime());
  }

  private static void endSpan(List<Span> spans, long nanos) {
    Span openSpan = openSpan(spans);
    if (openSpan != null) {
      openSpan.toNanos = nanos;
    }
  }

  synchronized void draining(String server, long nanos) {
    drains.computeIfAbsent(server, s -> new ArrayList<>()).add(new Span(nanos));
  }

  synchronized void ready(String server) {
    endSpan(drains.get(server));
  }

  /** Records that a balancer confirmed an operator's call to take a server offline. */
  synchronized void offline(int node, String server, long nanos) {
    List<Span> spans = offline.computeIfAbsent(new NodeServer(node, server), p -> new ArrayList<>());
    if (openSpan(spans) == null) {
      spans.add(new Span(nanos));
    }
  }

  synchronized void online(int node, String server) {
    endSpan(offline.get(new NodeServer(node, server)));
  }

  synchronized boolean isOffline(int node, String server) {
    return openSpan(offline.get(new NodeServer(node, server))) != null;
  }

  /** Ends a balancer's offline spans: from this time on, no process is left that knew of the operator's calls. */
  synchronized void forgetOffline(int node, long nanos) {
    offline.forEach((key, spans) -> {
      if (key.node == node) {
        endSpan(spans, nanos);
      }
    });
  }

  /** Records that a balancer may have had no watch until this time. */
  synchronized void watchInterrupted(int node, long nanos) {
    watchInterruptions.computeIfAbsent(node, n -> new ArrayList<>()).add(nanos);
  }

  synchronized void socketFaultsStarted(int node) {
    socketFaults.computeIfAbsent(node, n -> new ArrayList<>()).add(new Span(System.nanoTime()));
  }

  synchronized void socketFaultsEnded(int node) {
    endSpan(socketFaults.get(node));
  }

  synchronized void discoveryDisconnected() {
    discoveryOutages.add(new Span(System.nanoTime()));
  }

  synchronized void discoveryReconnected() {
    endSpan(discoveryOutages);
  }

  synchronized void restarted(String server, long nanos) {
    restarts.add(new Restart(server, nanos));
  }

  synchronized List<Restart> restarts() {
    return List.copyOf(restarts);
  }

  /** Whether socket calls of a balancer were made to fail during a time span, or up to 700 ms before it. */
  synchronized boolean hadSocketFaults(int node, long fromNanos, long toNanos) {
    long after = TimeUnit.MILLISECONDS.toNanos(700);
    return socketFaults.getOrDefault(node, List.of()).stream()
        .anyMatch(s -> s.fromNanos <= toNanos && (s.toNanos == Long.MAX_VALUE || s.toNanos + after >= fromNanos));
  }

  /** Whether a server was draining or offline at any balancer during a time span. Its request count is then no reference for other servers. */
  synchronized boolean wasDrainingOrOffline(String server, long fromNanos, long toNanos) {
    boolean drained = drains.getOrDefault(server, List.of()).stream().anyMatch(s -> s.fromNanos <= toNanos && s.toNanos >= fromNanos);
    return drained || offline.entrySet().stream().filter(e -> e.getKey().server.equals(server)).flatMap(e -> e.getValue().stream())
        .anyMatch(s -> s.fromNanos <= toNanos && s.toNanos >= fromNanos);
  }

  /** Returns why a request sent by a balancer to a server at this time violates the drain rule; null if it does not. */
  synchronized String findDrainViolation(int node, String server, long nanos, long graceNanos) {
    for (Span s : offline.getOrDefault(new NodeServer(node, server), List.of())) {
      if (nanos > s.fromNanos + graceNanos && nanos < s.toNanos) {
        return "offline for " + (nanos - s.fromNanos) / 1_000_000 + " ms";
      }
    }
    for (Span s : drains.getOrDefault(server, List.of())) {
      long notifiedAt = notifiedAt(node, s.fromNanos);
      if (nanos > notifiedAt + graceNanos && nanos < s.toNanos) {
        return "draining for " + (nanos - s.fromNanos) / 1_000_000 + " ms";
      }
    }
    return null;
  }

  /** Returns the time at which a balancer counts as notified of a change. */
  private long notifiedAt(int node, long changedAt) {
    long notifiedAt = changedAt;
    for (Span outage : discoveryOutages) {
      if (outage.fromNanos <= changedAt + MAX_NOTIFICATION_DELAY_NANOS
          && (outage.toNanos == Long.MAX_VALUE || outage.toNanos >= changedAt - WATCH_RECOVERY_NANOS)) {
        notifiedAt = outage.toNanos == Long.MAX_VALUE ? Long.MAX_VALUE / 2 : Math.max(notifiedAt, outage.toNanos + MAX_NOTIFICATION_DELAY_NANOS);
      }
    }
    for (long at : watchInterruptions.getOrDefault(node, List.of())) {
      if (at >= changedAt - WATCH_RECOVERY_NANOS && at <= changedAt + MAX_NOTIFICATION_DELAY_NANOS) {
        notifiedAt = Math.max(notifiedAt, at + MAX_NOTIFICATION_DELAY_NANOS);
      }
    }
    return notifiedAt;
  }
}
