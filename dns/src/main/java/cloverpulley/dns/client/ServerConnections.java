package cloverpulley.dns.client;

import cloverpulley.Balancer.Status;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** The UDP sockets and TCP connections to one server, both bounded in number. */
final class ServerConnections {

  final DnsClient client;
  final long number;
  final InetSocketAddress address;
  private final List<UdpSocket> sockets = new ArrayList<>();
  /** Sockets that get no new queries and wait for their last answers. */
  private final Set<UdpSocket> retired = new HashSet<>();
  private final List<TcpConnection> connections = new ArrayList<>();
  /** Whether the server is draining or gone: it gets no new queries, and no fallbacks of queries that have run. */
  boolean draining;

  ServerConnections(DnsClient client, long number, InetSocketAddress address) {
    this.client = client;
    this.number = number;
    this.address = address;
  }

  void sendOverUdp(UpstreamQuery query, long now) {
    UdpSocket socket = null;
    if (sockets.size() == client.config.portsPerServer()) {
      // A random one of the open sockets, so that an attacker has to guess the port as well.
      int first = client.random.below(sockets.size());
      for (int i = 0; i < sockets.size() && socket == null; i++) {
        UdpSocket candidate = sockets.get((first + i) % sockets.size());
        socket = candidate.hasCapacity(now) ? candidate : null;
      }
      sockets.removeIf(p -> !p.isOpen());
    }
    if (socket == null && sockets.size() < client.config.portsPerServer()) {
      try {
        socket = new UdpSocket(this);
        sockets.add(socket);
      } catch (Exception e) {
        if (sockets.isEmpty()) {
          query.failUnsent(Status.CONNECT_FAILED, "can't open a UDP socket: " + e.getMessage());
          return;
        }
        socket = sockets.get(0);
      }
    }
    if (socket == null) {
      query.failUnsent(Status.FULL, "all ids are in use");
    } else {
      socket.send(query, now);
    }
  }

  void sendOverTcp(UpstreamQuery query) {
    TcpConnection leastLoaded = null;
    for (TcpConnection connection : connections) {
      if (connection.hasCapacity(query.spec.raw() != null) && (leastLoaded == null || connection.load() < leastLoaded.load())) {
        leastLoaded = connection;
      }
    }
    if (leastLoaded == null && connections.size() < client.config.connectionsPerServer()) {
      leastLoaded = new TcpConnection(this);
      if (!leastLoaded.isClosed()) {
        connections.add(leastLoaded);
      }
    }
    if (leastLoaded == null) {
      query.failUnsent(Status.FULL, "all connections are in use");
    } else {
      leastLoaded.send(query);
    }
  }

  void onClosed(TcpConnection connection) {
    connections.remove(connection);
    removeIfDrained();
  }

  /** Retires a socket after its share of queries, so that the next query uses a new, unpredictable port. */
  void retire(UdpSocket socket) {
    sockets.remove(socket);
    retired.add(socket);
  }

  void onClosed(UdpSocket socket) {
    sockets.remove(socket);
    retired.remove(socket);
    removeIfDrained();
  }

  private void removeIfDrained() {
    if (draining && connections.isEmpty() && sockets.isEmpty() && retired.isEmpty()) {
      client.removeDrained(this);
    }
  }

  void drain() {
    draining = true;
    List.copyOf(connections).forEach(TcpConnection::drain);
    List.copyOf(sockets).forEach(UdpSocket::retire);
    List.copyOf(retired).forEach(UdpSocket::retire);
    removeIfDrained();
  }

  void closeIdle(long now) {
    List.copyOf(connections).forEach(c -> c.closeIfIdle(now));
  }

  /** The number of TCP connections and UDP sockets. */
  int sockets() {
    return connections.size() + sockets.size() + retired.size();
  }

  void close() {
    List.copyOf(connections).forEach(c -> c.closeWith(Status.RESET, "shutting down"));
    List.copyOf(sockets).forEach(UdpSocket::close);
    List.copyOf(retired).forEach(UdpSocket::close);
  }
}
