package cloverpulley.dns.client;

import cloverpulley.Balancer.Status;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** All that leads to one server: source ports and connections, both bounded. */
final class ServerConnections {

  final DnsClient client;
  final long number;
  final InetSocketAddress address;
  private final List<UdpSocket> ports = new ArrayList<>();
  /** Ports that take no more queries and wait for their last answers. */
  private final Set<UdpSocket> retired = new HashSet<>();
  private final List<TcpConnection> links = new ArrayList<>();
  /** It drains or is gone: no leg begins any more. */
  boolean withdrawn;

  ServerConnections(DnsClient client, long number, InetSocketAddress address) {
    this.client = client;
    this.number = number;
    this.address = address;
  }

  void udp(UpstreamQuery ask, long now) {
    UdpSocket port = null;
    if (ports.size() == client.config.portsPerServer()) {
      // Any of those open, drawn: an attacker has to guess the port as well.
      int first = client.random.below(ports.size());
      for (int i = 0; i < ports.size() && port == null; i++) {
        UdpSocket at = ports.get((first + i) % ports.size());
        port = at.hasRoom(now) ? at : null;
      }
      ports.removeIf(p -> !p.isOpen());
    }
    if (port == null && ports.size() < client.config.portsPerServer()) {
      try {
        port = new UdpSocket(this);
        ports.add(port);
      } catch (Exception e) {
        if (ports.isEmpty()) {
          ask.notSent(Status.CONNECT_FAILED, "no socket: " + e.getMessage());
          return;
        }
        port = ports.get(0);
      }
    }
    if (port == null) {
      ask.notSent(Status.FULL, "all ids are in use");
    } else {
      port.send(ask, now);
    }
  }

  void tcp(UpstreamQuery ask) {
    TcpConnection least = null;
    for (TcpConnection link : links) {
      if (link.hasRoom(ask.asked.raw() != null) && (least == null || link.load() < least.load())) {
        least = link;
      }
    }
    if (least == null && links.size() < client.config.connectionsPerServer()) {
      least = new TcpConnection(this);
      if (!least.isClosed()) {
        links.add(least);
      }
    }
    if (least == null) {
      ask.notSent(Status.FULL, "all connections are in use");
    } else {
      least.send(ask);
    }
  }

  void closed(TcpConnection link) {
    links.remove(link);
    forgetIfDone();
  }

  /** It has been used often enough: the next query gets a port that nobody can know yet. */
  void retire(UdpSocket port) {
    ports.remove(port);
    retired.add(port);
  }

  void closed(UdpSocket port) {
    ports.remove(port);
    retired.remove(port);
    forgetIfDone();
  }

  private void forgetIfDone() {
    if (withdrawn && links.isEmpty() && ports.isEmpty() && retired.isEmpty()) {
      client.forget(this);
    }
  }

  void withdraw() {
    withdrawn = true;
    List.copyOf(links).forEach(TcpConnection::drain);
    List.copyOf(ports).forEach(UdpSocket::letGo);
    List.copyOf(retired).forEach(UdpSocket::letGo);
    forgetIfDone();
  }

  void closeIdle(long now) {
    List.copyOf(links).forEach(l -> l.closeIfIdle(now));
  }

  /** TCP connections, and UDP ports. */
  int sockets() {
    return links.size() + ports.size() + retired.size();
  }

  void close() {
    List.copyOf(links).forEach(l -> l.over(Status.RESET, "the process ends"));
    List.copyOf(ports).forEach(UdpSocket::close);
    List.copyOf(retired).forEach(UdpSocket::close);
  }
}
