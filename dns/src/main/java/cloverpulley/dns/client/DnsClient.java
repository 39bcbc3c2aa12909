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
 * A client for DNS servers over UDP and TCP. It sends a query to a given server once and reports the outcome; server selection and
 * retries are the caller's. Runs on one event loop.
 */
public final class DnsClient {

  final EventLoop loop;
  final Clock clock;
  final ClientConfig config;
  final ServerCapabilities capabilities;
  final BufferedSecureRandom random = new BufferedSecureRandom();
  final ClientCounts counts = new ClientCounts();
  final Flusher flusher;
  private final Map<Long, ServerConnections> servers = new HashMap<>();
  /** Draining servers, until their last connection is closed. */
  private final Set<ServerConnections> draining = new HashSet<>();
  private final Future<?> sweep;

  /** Creates a client. All methods must be called on {@code loop}. */
  public DnsClient(EventLoop loop, Clock clock, ClientConfig config) {
    this.loop = loop;
    this.clock = clock;
    this.config = config;
    flusher = new Flusher(loop);
    capabilities = new ServerCapabilities(config.capabilityTtlNanos());
    long periodNanos = Math.max(TimeUnit.MILLISECONDS.toNanos(10), config.idleTimeoutNanos() / 4);
    sweep = loop.scheduleWithFixedDelay(this::closeIdle, periodNanos, periodNanos, TimeUnit.NANOSECONDS);
  }

  /**
   * Sends a query to a server.
   *
   * @param number the server's number; one that is used again after {@link #drain} is a new server
   * @param timeoutNanos the timeout for all fallbacks together, including connects
   * @param callback called once, possibly before this method returns
   */
  public UpstreamQuery query(long number, InetSocketAddress address, UpstreamQuery.Spec spec, long timeoutNanos, UpstreamQuery.Callback callback) {
    ServerConnections server = servers.get(number);
    if (server != null && !server.address.equals(address)) {
      drain(n -> n == number);
      server = null;
    }
    if (server == null) {
      server = new ServerConnections(this, number, address);
      servers.put(number, server);
    }
    UpstreamQuery query = new UpstreamQuery(spec, server, callback);
    query.timer = loop.schedule(query::timedOut, timeoutNanos, TimeUnit.NANOSECONDS);
    query.start(clock.now());
    return query;
  }

  /** Drains the matching servers: unsent queries complete as not sent, and connections close once nothing is pending on them. */
  public void drain(LongPredicate matcher) {
    for (ServerConnections server : List.copyOf(servers.values())) {
      if (matcher.test(server.number)) {
        servers.remove(server.number);
        draining.add(server);
        server.drain();
      }
    }
    capabilities.retainAll(servers.keySet());
  }

  void removeDrained(ServerConnections server) {
    draining.remove(server);
  }

  private void closeIdle() {
    long now = clock.now();
    servers.values().forEach(s -> s.closeIdle(now));
  }

  public ClientCounts counts() {
    return counts;
  }

  /** The number of open sockets to servers. */
  public int sockets() {
    return servers.values().stream().mapToInt(ServerConnections::sockets).sum()
        + draining.stream().mapToInt(ServerConnections::sockets).sum();
  }

  /** Closes all sockets. Open queries complete with {@link Status#RESET}. */
  public void close() {
    sweep.cancel(false);
    List.copyOf(servers.values()).forEach(ServerConnections::close);
    List.copyOf(draining).forEach(ServerConnections::close);
  }
}
