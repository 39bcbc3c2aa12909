package cloverpulley.dns.client;

import cloverpulley.Balancer.Status;
import cloverpulley.engine.Clock;
import cloverpulley.names.ServerCapabilities;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongPredicate;

/**
 * The way to DNS servers over UDP and TCP. It asks the server that it is told to, once, and says how that ended; which server, and
 * whether again, is not decided here. All of it runs on one loop.
 */
public final class DnsClient {

  final EventLoop loop;
  final Clock clock;
  final ClientConfig config;
  final ServerCapabilities traits;
  final BufferedSecureRandom random = new BufferedSecureRandom();
  final ClientCounts counts = new ClientCounts();
  final Flusher flusher;
  private final Map<Long, ServerConnections> servers = new HashMap<>();
  /** Servers that drain, until the last connection to them is closed. */
  private final Set<ServerConnections> leaving = new HashSet<>();
  private final Future<?> sweep;

  /** Makes a client; every method is then to be called on {@code loop}. */
  public DnsClient(EventLoop loop, Clock clock, ClientConfig config) {
    this.loop = loop;
    this.clock = clock;
    this.config = config;
    flusher = new Flusher(loop);
    traits = new ServerCapabilities(config.traitsNanos());
    long every = Math.max(TimeUnit.MILLISECONDS.toNanos(10), config.idleNanos() / 4);
    sweep = loop.scheduleWithFixedDelay(this::closeIdle, every, every, TimeUnit.NANOSECONDS);
  }

  /**
   * Asks a server.
   *
   * @param number whose it is among servers; one that is withdrawn and asked again is a new one
   * @param timeoutNanos for all legs together, connecting included
   * @param done told once, maybe from in here
   */
  public UpstreamQuery query(long number, InetSocketAddress address, UpstreamQuery.Spec asked, long timeoutNanos, UpstreamQuery.Callback done) {
    ServerConnections server = servers.get(number);
    if (server != null && !server.address.equals(address)) {
      withdraw(n -> n == number);
      server = null;
    }
    if (server == null) {
      server = new ServerConnections(this, number, address);
      servers.put(number, server);
    }
    UpstreamQuery ask = new UpstreamQuery(asked, server, done);
    ask.timer = loop.schedule(ask::timedOut, timeoutNanos, TimeUnit.NANOSECONDS);
    ask.start(clock.now());
    return ask;
  }

  /** These servers drain or are gone: what has not been sent comes back, connections close once they are empty. */
  public void withdraw(LongPredicate from) {
    for (ServerConnections server : List.copyOf(servers.values())) {
      if (from.test(server.number)) {
        servers.remove(server.number);
        leaving.add(server);
        server.withdraw();
      }
    }
    traits.retainAll(servers.keySet());
  }

  void forget(ServerConnections server) {
    leaving.remove(server);
  }

  private void closeIdle() {
    long now = clock.now();
    servers.values().forEach(s -> s.closeIdle(now));
  }

  public ClientCounts counts() {
    return counts;
  }

  /** Sockets open towards servers. */
  public int sockets() {
    return servers.values().stream().mapToInt(ServerConnections::sockets).sum()
        + leaving.stream().mapToInt(ServerConnections::sockets).sum();
  }

  /** Closes all; what is open ends as {@link Status#RESET}. */
  public void close() {
    sweep.cancel(false);
    List.copyOf(servers.values()).forEach(ServerConnections::close);
    List.copyOf(leaving).forEach(ServerConnections::close);
  }
}
