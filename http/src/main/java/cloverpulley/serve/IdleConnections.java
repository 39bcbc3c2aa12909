package cloverpulley.serve;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.function.LongPredicate;

/** Idle connections by upstream, the most recently used first. Upstreams are identified by their number. Confined to the event loop. */
final class IdleConnections<C extends IdleConnections.Idle> {

  /** A connection as this class needs it; it is idle from {@link #add} to {@link #remove} or its closing. */
  interface Idle {
    /** Number of the upstream that it leads to. */
    long upstream();

    /** When it became idle, as {@link System#nanoTime}. */
    long idleSinceNanos();

    void close();
  }

  private final Map<Long, ArrayDeque<C>> byUpstream = new HashMap<>();

  void add(C connection) {
    byUpstream.computeIfAbsent(connection.upstream(), u -> new ArrayDeque<>()).push(connection);
  }

  /** Removes a connection that is used again or has closed; no effect if it was not idle. */
  void remove(C connection) {
    ArrayDeque<C> connections = byUpstream.get(connection.upstream());
    if (connections != null) {
      connections.remove(connection);
    }
  }

  /** A copy of an upstream's idle connections. */
  List<C> of(long upstream) {
    return List.copyOf(byUpstream.getOrDefault(upstream, new ArrayDeque<>()));
  }

  /** Closes all idle connections to the upstreams whose numbers match. Connections in use are not affected. */
  void close(LongPredicate upstreams) {
    for (Long upstream : List.copyOf(byUpstream.keySet())) {
      if (upstreams.test(upstream)) {
        byUpstream.remove(upstream).forEach(Idle::close);
      }
    }
  }

  /** Closes the connection that has been idle longest; false if there is none. */
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

  /** Closes the connections that have been idle for longer than this. */
  void closeOlderThan(long nanos) {
    long now = System.nanoTime();
    for (Iterator<ArrayDeque<C>> iterator = byUpstream.values().iterator(); iterator.hasNext();) {
      ArrayDeque<C> connections = iterator.next();
      while (!connections.isEmpty() && now - connections.peekLast().idleSinceNanos() > nanos) {
        connections.pollLast().close();
      }
      if (connections.isEmpty()) {
        iterator.remove();
      }
    }
  }

  int size() {
    return byUpstream.values().stream().mapToInt(ArrayDeque::size).sum();
  }
}
