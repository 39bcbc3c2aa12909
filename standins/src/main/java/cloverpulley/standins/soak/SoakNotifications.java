package cloverpulley.standins.soak;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** What balancers were notified of and when, and when they could not be: the truth that an observer holds them to. Thread-safe. */
final class SoakNotifications {

  /** A span of time; an open one has no end yet. */
  static final class Span {
    final long fromNanos;
    long toNanos = Long.MAX_VALUE;

    Span(long fromNanos) {
      this.fromNanos = fromNanos;
    }
  }

  /** A start of a server, and that its balancers were told of it. */
  record Restart(String server, long atNanos) {}

  private record Promise(int node, String server) {}

  /** What discovery has to tell counts as told at the latest so long after it could be reached. */
  private static final long TOLD_LATEST_NANOS = TimeUnit.SECONDS.toNanos(6);
  /** Trouble of a watch that ended so long before a change may still keep it from being told. */
  private static final long WATCH_NANOS = TimeUnit.SECONDS.toNanos(6);

  private final Map<String, List<Span>> drains = new HashMap<>();
  private final Map<Promise, List<Span>> offline = new HashMap<>();
  private final Map<Integer, List<Long>> disturbances = new HashMap<>();
  private final Map<Integer, List<Span>> troubles = new HashMap<>();
  private final List<Span> cuts = new ArrayList<>();
  private final List<Restart> restarts = new ArrayList<>();

  private static Span open(List<Span> spans) {
    Span last = spans == null || spans.isEmpty() ? null : spans.get(spans.size() - 1);
    return last != null && last.toNanos == Long.MAX_VALUE ? last : null;
  }

  private static void end(List<Span> spans) {
    end(spans, System.nanoTime());
  }

  private static void end(List<Span> spans, long nanos) {
    Span open = open(spans);
    if (open != null) {
      open.toNanos = nanos;
    }
  }

  synchronized void draining(String server, long nanos) {
    drains.computeIfAbsent(server, s -> new ArrayList<>()).add(new Span(nanos));
  }

  synchronized void ready(String server) {
    end(drains.get(server));
  }

  /** An operator's call was confirmed. */
  synchronized void offline(int node, String server, long nanos) {
    List<Span> spans = offline.computeIfAbsent(new Promise(node, server), p -> new ArrayList<>());
    if (open(spans) == null) {
      spans.add(new Span(nanos));
    }
  }

  synchronized void online(int node, String server) {
    end(offline.get(new Promise(node, server)));
  }

  synchronized boolean isOffline(int node, String server) {
    return open(offline.get(new Promise(node, server))) != null;
  }

  /** No process is left from then on that knew what was promised. */
  synchronized void forget(int node, long nanos) {
    offline.forEach((promise, spans) -> {
      if (promise.node == node) {
        end(spans, nanos);
      }
    });
  }

  /** A balancer's watch may not have stood until then. */
  synchronized void disturbed(int node, long nanos) {
    disturbances.computeIfAbsent(node, n -> new ArrayList<>()).add(nanos);
  }

  synchronized void troubled(int node) {
    troubles.computeIfAbsent(node, n -> new ArrayList<>()).add(new Span(System.nanoTime()));
  }

  synchronized void untroubled(int node) {
    end(troubles.get(node));
  }

  synchronized void discoveryCut() {
    cuts.add(new Span(System.nanoTime()));
  }

  synchronized void discoveryBack() {
    end(cuts);
  }

  synchronized void restarted(String server, long nanos) {
    restarts.add(new Restart(server, nanos));
  }

  synchronized List<Restart> restarts() {
    return List.copyOf(restarts);
  }

  /** Whether a balancer's own socket calls failed within a span, or a moment before or after it. */
  synchronized boolean isTroubled(int node, long fromNanos, long toNanos) {
    long after = TimeUnit.MILLISECONDS.toNanos(700);
    return troubles.getOrDefault(node, List.of()).stream()
        .anyMatch(s -> s.fromNanos <= toNanos && (s.toNanos == Long.MAX_VALUE || s.toNanos + after >= fromNanos));
  }

  /** Whether a server drained or was offline at any balancer at any moment of a span: its share tells nothing of the others'. */
  synchronized boolean isOut(String server, long fromNanos, long toNanos) {
    boolean drained = drains.getOrDefault(server, List.of()).stream().anyMatch(s -> s.fromNanos <= toNanos && s.toNanos >= fromNanos);
    return drained || offline.entrySet().stream().filter(e -> e.getKey().server.equals(server)).flatMap(e -> e.getValue().stream())
        .anyMatch(s -> s.fromNanos <= toNanos && s.toNanos >= fromNanos);
  }

  /** Why something sent by a balancer to a server at this moment is a break of the rule on drains; null where it is none. */
  synchronized String breaks(int node, String server, long nanos, long graceNanos) {
    for (Span s : offline.getOrDefault(new Promise(node, server), List.of())) {
      if (nanos > s.fromNanos + graceNanos && nanos < s.toNanos) {
        return "offline for " + (nanos - s.fromNanos) / 1_000_000 + " ms";
      }
    }
    for (Span s : drains.getOrDefault(server, List.of())) {
      long told = told(node, s.fromNanos);
      if (nanos > told + graceNanos && nanos < s.toNanos) {
        return "draining for " + (nanos - s.fromNanos) / 1_000_000 + " ms";
      }
    }
    return null;
  }

  /** When a change counts as told to a balancer. */
  private long told(int node, long changed) {
    long told = changed;
    for (Span cut : cuts) {
      if (cut.fromNanos <= changed + TOLD_LATEST_NANOS && (cut.toNanos == Long.MAX_VALUE || cut.toNanos >= changed - WATCH_NANOS)) {
        told = cut.toNanos == Long.MAX_VALUE ? Long.MAX_VALUE / 2 : Math.max(told, cut.toNanos + TOLD_LATEST_NANOS);
      }
    }
    for (long at : disturbances.getOrDefault(node, List.of())) {
      if (at >= changed - WATCH_NANOS && at <= changed + TOLD_LATEST_NANOS) {
        told = Math.max(told, at + TOLD_LATEST_NANOS);
      }
    }
    return told;
  }
}
