package cloverpulley.dns;

import cloverpulley.Balancer;
import cloverpulley.Balancer.ListKind;
import cloverpulley.Balancer.Settings;
import cloverpulley.Logic;
import cloverpulley.discovery.Discovery;
import cloverpulley.dns.client.ClientCounts;
import cloverpulley.dns.client.DnsClient;
import cloverpulley.dns.client.Flusher;
import cloverpulley.dns.wire.Names;
import cloverpulley.engine.Clock;
import cloverpulley.engine.Engine;
import cloverpulley.engine.EngineListener;
import cloverpulley.engine.Fleet;
import cloverpulley.engine.ServerList;
import cloverpulley.engine.Transport;
import cloverpulley.fleet.FleetSource;
import cloverpulley.fleet.HeldList;
import cloverpulley.fleet.StaticListSource;
import cloverpulley.quota.QuotaPlan;
import cloverpulley.quota.service.QuotaConfig;
import cloverpulley.quota.service.QuotaKeeper;
import cloverpulley.records.Recorder;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.ServerChannelRecvByteBufAllocator;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.channel.socket.nio.NioDatagramChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.net.StandardSocketOptions;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.LongFunction;
import java.util.function.LongPredicate;
import java.util.logging.Logger;
import org.xbill.DNS.Name;
import org.xbill.DNS.Zone;

/** A DNS frontend: its listening sockets, the client for the upstream servers and the engine, all on one event loop. */
public final class DnsServer implements AutoCloseable {

  private static final Logger LOG = Logger.getLogger(DnsServer.class.getName());

  private static final int DISCOVERY_CONNECT_MILLIS = 2000;
  private static final int BACKLOG = 1024;
  /** Larger datagrams are truncated by the read and rejected as malformed. */
  private static final int MAX_DATAGRAM = 4096;
  private static final int MAX_READS = 256;
  /** Holds a burst of some thousand queries while the event loop is busy. */
  private static final int RECEIVE_BUFFER = 1 << 20;
  private static final int BIND_ATTEMPTS = 20;
  private static final long STOP_CHECK_MILLIS = 10;
  private static final long CLOSE_TIMEOUT_MILLIS = 1000;
  /** How often the fleet zone's weights are recomputed for servers in slow start. */
  private static final long ZONE_REFRESH_MILLIS = 1000;
  /** The delay after a failed discovery request for the published fleet. */
  private static final long DISCOVERY_RETRY_MILLIS = 1000;

  private final DnsConfig config;
  private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final EventLoop loop = group.next();
  private final Clock clock = new Clock();
  private final DnsCounts counts = new DnsCounts();
  private final Fleet fleet = new Fleet(clock);
  private final HeldList cachedList;
  private final Recorder recorder;
  private Engine engine;
  private DnsClient client;
  private Resolver resolver;
  private TcpFrontend tcp;
  private Channel tcpListener;
  private Channel udp;
  private FleetZone fleetZone;
  private LocalZone publishedZone;
  private Fleet publishedFleet;
  private Engine.ListSource publishedDiscovery;
  private boolean wasIdle;
  private QuotaKeeper quotas;

  private DnsServer(DnsConfig config, Recorder recorder) {
    this.config = config;
    this.recorder = recorder;
    cachedList = new HeldList(config.fleet() == null ? null : config.fleet().stateFile());
  }

  /**
   * Starts a frontend and returns once it listens on UDP and TCP.
   *
   * @param publishedFleet the fleet to publish as a zone; null for none
   * @throws IOException if a zone file can't be read or the port can't be bound
   */
  public static DnsServer start(DnsConfig config, FleetSource publishedFleet, long seed) throws IOException {
    return start(config, publishedFleet, seed, Recorder.NONE);
  }

  /** Starts with a recorder, which the caller closes after the server. */
  public static DnsServer start(DnsConfig config, FleetSource publishedFleet, long seed, Recorder recorder) throws IOException {
    return start(config, publishedFleet, seed, recorder, null);
  }

  /** Starts with quotas for its clients; null for none. */
  public static DnsServer start(DnsConfig config, FleetSource publishedFleet, long seed, Recorder recorder, QuotaConfig quota)
      throws IOException {
    Settings settings = config.settings();
    return start(config, publishedFleet, n -> new Logic(settings, seed + n), recorder, quota);
  }

  /** Starts with other balancer modules; {@code modules} creates the n-th module of this process. */
  static DnsServer start(DnsConfig config, FleetSource publishedFleet, LongFunction<Balancer> modules) throws IOException {
    return start(config, publishedFleet, modules, Recorder.NONE, null);
  }

  private static DnsServer start(DnsConfig config, FleetSource publishedFleet, LongFunction<Balancer> modules, Recorder recorder,
      QuotaConfig quota) throws IOException {
    DnsServer s = new DnsServer(config, recorder);
    try {
      List<LocalZone> zones = new ArrayList<>();
      for (DnsConfig.ZoneFile z : config.zones()) {
        zones.add(loadZone(z));
      }
      s.onLoop(() -> {
        s.quotas = quota == null ? null : new QuotaKeeper(quota, s.loop, s.clock::now);
        s.assemble(modules, zones, publishedFleet);
        return null;
      });
      s.listen();
    } catch (IOException | RuntimeException e) {
      s.close();
      throw e;
    }
    LOG.info("dns at " + s.address() + ", " + config.zones().size() + " zones, "
        + (config.fleet() == null ? "no servers to forward to" : config.fleet().list().members().size()
        + " servers written in the file"));
    return s;
  }

  private static LocalZone loadZone(DnsConfig.ZoneFile z) throws IOException {
    try {
      return new LocalZone(Names.of(z.origin()), new Zone(Name.fromString(z.origin()), z.file().toString()));
    } catch (IOException | RuntimeException e) {
      throw new IOException("zone " + z.origin() + " in " + z.file() + " can't be read: " + e.getMessage(), e);
    }
  }

  private void assemble(LongFunction<Balancer> modules, List<LocalZone> zones, FleetSource publishedSource) {
    FleetSource source = config.fleet();
    ServerList initial = source == null ? ServerList.EMPTY : source.initialList();
    Engine.ListSource lists = source == null || source.isStatic() ? new StaticListSource(fleet, (kind, list) -> engine.serverListUpdated(kind, list))
        : openSource(source, initial, fleet, this::onEndpoints);
    client = new DnsClient(loop, clock, config.upstream());
    engine = new Engine(loop, clock, config.settings(), modules, fleet, lists, (to, data) -> { },
        recorder.isOn() ? recorder : EngineListener.NO_OP);
    engine.addTransport(new Transport() {
      @Override
      public void drainUpstreams(LongPredicate from) {
        client.drain(from);
      }
    });
    resolver = new Resolver(loop, clock, config, engine, client, counts, recorder, quotas);
    engine.serverListUpdated(ListKind.CACHED, initial);
    zones.forEach(resolver::addZone);
    if (config.fleetZone() != null && publishedSource != null) {
      publishFleet(publishedSource);
    }
  }

  private Engine.ListSource openSource(FleetSource source, ServerList initial, Fleet of, BiConsumer<ListKind, ServerList> listener) {
    return source.sourceFactory() != null ? source.sourceFactory().open(loop, initial, of::revision, listener)
        : new Discovery(discoveryBootstrap(), source.discovery(), of::revision, listener);
  }

  private Bootstrap discoveryBootstrap() {
    return new Bootstrap().group(group).channel(NioSocketChannel.class)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, DISCOVERY_CONNECT_MILLIS);
  }

  private void onEndpoints(ListKind kind, ServerList list) {
    engine.serverListUpdated(kind, list);
    if (kind != ListKind.FAILED) {
      cachedList.write(fleet.list());
    }
  }

  // ---- Fleet zone ----------------------------------------------------------------------------------------

  private void publishFleet(FleetSource source) {
    publishedFleet = new Fleet(clock);
    ServerList initial = source.initialList();
    publishedFleet.update(ListKind.CACHED, initial);
    fleetZone = new FleetZone(config.fleetZone());
    publishedZone = new LocalZone(Names.of(config.fleetZone().origin()), fleetZone.zone(publishedFleet.list(), System.currentTimeMillis()));
    resolver.addZone(publishedZone);
    if (!source.isStatic()) {
      publishedDiscovery = openSource(source, initial, publishedFleet, this::onPublishedEndpoints);
      publishedDiscovery.watch(true);
    }
    loop.scheduleWithFixedDelay(this::refreshZone, ZONE_REFRESH_MILLIS, ZONE_REFRESH_MILLIS, TimeUnit.MILLISECONDS);
  }

  private void onPublishedEndpoints(ListKind kind, ServerList list) {
    if (kind == ListKind.FAILED) {
      loop.schedule(() -> publishedDiscovery.watch(true), DISCOVERY_RETRY_MILLIS, TimeUnit.MILLISECONDS);
    } else {
      publishedFleet.update(kind, list);
      refreshZone();
    }
  }

  private void refreshZone() {
    Zone next = fleetZone.zone(publishedFleet.list(), System.currentTimeMillis());
    if (next != null) {
      publishedZone.replace(next);
    }
  }

  /** Applies changed quotas. Recorded usage and debts are kept. */
  public void updateQuotas(QuotaPlan plan) {
    if (quotas != null) {
      onLoop(() -> {
        quotas.updatePlan(plan);
        return null;
      });
    }
  }

  /** Applies changed endpoint lists: the servers to forward to, and the published fleet. Null leaves a list as it is. */
  public void updateEndpoints(ServerList servers, ServerList published) {
    loop.execute(() -> {
      if (servers != null) {
        engine.serverListUpdated(ListKind.FULL, servers);
      }
      if (published != null && publishedFleet != null) {
        publishedFleet.update(ListKind.FULL, published);
        refreshZone();
      }
    });
  }

  // ---- Sockets -------------------------------------------------------------------------------------------

  private void listen() throws IOException {
    Flusher flusher = new Flusher(loop);
    tcp = onLoop(() -> new TcpFrontend(loop, resolver, flusher, config.limits()));
    IOException lastError = null;
    // Both transports use one port: with port 0, the port assigned to TCP may be in use over UDP.
    for (int i = 0; i < (config.listen().getPort() == 0 ? BIND_ATTEMPTS : 1); i++) {
      try {
        tcpListener = bindTcp();
        udp = bindUdp(flusher);
        return;
      } catch (IOException e) {
        lastError = e;
        if (tcpListener != null) {
          tcpListener.close().syncUninterruptibly();
        }
      }
    }
    throw lastError;
  }

  private Channel bindTcp() throws IOException {
    ServerBootstrap b = new ServerBootstrap().group(group).channel(NioServerSocketChannel.class)
        .option(ChannelOption.SO_BACKLOG, BACKLOG).option(ChannelOption.SO_REUSEADDR, true)
        // Accepts the whole backlog in one read: connections still in it when the listener closes are reset.
        .option(ChannelOption.RECVBUF_ALLOCATOR, new ServerChannelRecvByteBufAllocator().maxMessagesPerRead(BACKLOG))
        .childOption(ChannelOption.TCP_NODELAY, true).childHandler(tcp);
    if (config.reusePort()) {
      // Lets a successor listen before its predecessor has stopped.
      b.option(NioChannelOption.of(StandardSocketOptions.SO_REUSEPORT), true);
    }
    return awaitBind(b.bind(config.listen()));
  }

  private Channel bindUdp(Flusher flusher) throws IOException {
    Bootstrap b = new Bootstrap().group(group).channel(NioDatagramChannel.class)
        .option(ChannelOption.SO_RCVBUF, RECEIVE_BUFFER)
        .option(ChannelOption.RECVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(MAX_DATAGRAM).maxMessagesPerRead(MAX_READS))
        .handler(new io.netty.channel.ChannelInitializer<NioDatagramChannel>() {
          @Override
          protected void initChannel(NioDatagramChannel channel) {
            channel.pipeline().addLast(new UdpFrontend(resolver, flusher, channel));
          }
        });
    if (config.reusePort()) {
      b.option(NioChannelOption.of(StandardSocketOptions.SO_REUSEPORT), true);
    }
    return awaitBind(b.bind(config.listen().getAddress(), address().getPort()));
  }

  private Channel awaitBind(io.netty.channel.ChannelFuture bind) throws IOException {
    bind.awaitUninterruptibly();
    if (!bind.isSuccess()) {
      throw new IOException("can't listen at " + config.listen() + ": " + bind.cause().getMessage(), bind.cause());
    }
    return bind.channel();
  }

  /** The listening address, the same for UDP and TCP. */
  public InetSocketAddress address() {
    return (InetSocketAddress) tcpListener.localAddress();
  }

  // ---- Introspection -------------------------------------------------------------------------------------

  /** Runs a task on the event loop and waits for its result. */
  <T> T onLoop(Callable<T> task) {
    try {
      return loop.submit(task).get();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException(e);
    } catch (ExecutionException e) {
      throw new IllegalStateException(e.getCause());
    }
  }

  DnsCounts counts() {
    return counts;
  }

  ClientCounts clientCounts() {
    return client.counts();
  }

  Cache cache() {
    return resolver.cache();
  }

  DnsClient client() {
    return client;
  }

  boolean isShuttingDown() {
    return resolver.shutdown.hasBegun();
  }

  int pendingRequests() {
    return onLoop(engine::pendingRequests);
  }

  int connections() {
    return onLoop(tcp::connections);
  }

  /** Bytes of client messages that have been read from sockets but not handled yet. */
  int unreadBytes() {
    return onLoop(tcp::unreadBytes);
  }

  /** Whether a query that arrives now could be forwarded. Call on the event loop. */
  boolean canServe() {
    return engine.canServe();
  }

  /** All counters on one line. */
  public String report() {
    return onLoop(() -> counts + " " + client.counts() + " cache_entries=" + resolver.cache().size() + " cache_octets="
        + resolver.cache().weight());
  }

  // ---- Shutdown ------------------------------------------------------------------------------------------

  /**
   * Stops gracefully: keeps serving for a while so that a successor can start, then stops accepting connections and drains. In the second
   * half of the drain time new queries are rejected; queries still pending at its end are answered with an error. Returns when stopped.
   */
  public void stop() throws InterruptedException {
    LOG.info("stopping");
    TimeUnit.MILLISECONDS.sleep(config.lameMillis());
    onLoop(() -> {
      beginShutdown();
      return null;
    });
    long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(config.drainMillis());
    while (System.nanoTime() < until && !onLoop(this::closeIfIdle)) {
      TimeUnit.MILLISECONDS.sleep(STOP_CHECK_MILLIS);
    }
    onLoop(() -> {
      engine.failAll();
      return null;
    });
    until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(CLOSE_TIMEOUT_MILLIS);
    while (System.nanoTime() < until && connections() > 0) {
      TimeUnit.MILLISECONDS.sleep(STOP_CHECK_MILLIS);
    }
    LOG.info("stopped: " + report());
    close();
  }

  /** Stops accepting connections and begins to close the open ones. Call on the event loop. */
  void beginShutdown() {
    tcpListener.close();
    resolver.beginShutdown(TimeUnit.MILLISECONDS.toNanos(config.drainMillis()));
    tcp.beginShutdown();
  }

  /**
   * Closes the UDP socket once nothing was pending at two checks in a row: the socket has been read between the two, so later datagrams
   * are the successor's.
   */
  private boolean closeIfIdle() {
    boolean idle = engine.pendingRequests() + tcp.connections() == 0;
    boolean finished = idle && wasIdle;
    wasIdle = idle;
    if (finished) {
      udp.close();
    }
    return finished;
  }

  /** Closes at once, without waiting for pending queries. */
  @Override
  public void close() {
    if (loop.isShuttingDown()) {
      return;
    }
    Future<?> closed = loop.submit(() -> {
      if (tcpListener != null) {
        tcpListener.close();
      }
      if (udp != null) {
        udp.close();
      }
      if (tcp != null) {
        tcp.close();
      }
      if (client != null) {
        client.close();
      }
      if (quotas != null) {
        quotas.close();
      }
    });
    closed.awaitUninterruptibly(CLOSE_TIMEOUT_MILLIS);
    cachedList.close();
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly(CLOSE_TIMEOUT_MILLIS);
  }

  /** The local address of the UDP socket; for tests. */
  SocketAddress udpAddress() {
    return udp.localAddress();
  }
}
