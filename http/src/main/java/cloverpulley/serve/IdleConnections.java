package cloverpulley.serve;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.function.LongPredicate;

/** Connections to upstreams that wait for their next use, the one used last in front. All of it runs on the event loop. */
final class IdleConnections<C extends IdleConnections.Idle> {

  /** A connection that may wait. */
  interface Idle {
    long upstream();

    /** Since when it waits, on the clock of {@link System#nanoTime}. */
    long idleSinceNanos();

    void close();
  }

  private final Map<Long, ArrayDeque<C>> byUpstream = new HashMap<>();

  void add(C connection) {
    byUpstream.computeIfAbsent(connection.upstream(), u -> new ArrayDeque<>()).push(connection);
  }

  /** It is used, or has ended; nothing where it did not wait. */
  void remove(C connection) {
    ArrayDeque<C> connections = byUpstream.get(connection.upstream());
    if (connections != null) {
      connections.remove(connection);
    }
  }

  /** Those of an upstream, as they are now. */
  List<C> of(long upstream) {
    return List.copyOf(byUpstream.getOrDefault(upstream, new ArrayDeque<>()));
  }

  /** Closes all to these upstreams. */
  void close(LongPredicate upstreams) {
    for (Long upstream : List.copyOf(byUpstream.keySet())) {
      if (upstreams.test(upstream)) {
        byUpstream.remove(upstream).forEach(Idle::close);
      }
    }
  }

  /** Closes the one that has waited longest; false if none waits. */
  boolean closeOldest() {
    C oldest = null;
    for (ArrayDeque<C> connections : byUpstream.values()) {
      C last = connections.peekLast();
      oldest = last != null && (oldest == null || last.idleSinceNanos() < oldest.idleSinceNanos()) ? last : oldest;
    }
    if (oldest == null) {
      return false;
    }
    byUpstream.get(oldest.upstream()).removeLast();
    oldest.close();
    return true;
  }

  /** Closes those that have waited for longer than this. */
  void closeOlderThan(long nanos) {
    long now = System.nanoTime();
    for (Iterator<ArrayDeque<C>> all = byUpstream.values().iterator(); all.hasNext();) {
      ArrayDeque<C> connections = all.next();
      while (!connections.isEmpty() && now - connections.peekLast().idleSinceNanos() > nanos) {
        connections.pollLast().close();
      }
      if (connections.isEmpty()) {
        all.remove();
      }
    }
  }

  int size() {
    return byUpstream.values().stream().mapToInt(ArrayDeque::size).sum();
  }
}
