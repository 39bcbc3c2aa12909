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
import cloverpulley.engine.Fleet;
import cloverpulley.engine.ServerList;
import cloverpulley.engine.Transport;
import cloverpulley.engine.Witness;
import cloverpulley.fleet.FleetSource;
import cloverpulley.fleet.HeldList;
import cloverpulley.fleet.WrittenList;
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

/** One DNS front, from start to stop: its sockets, its way to the servers, the engine between them and one loop for all. */
public final class DnsServer implements AutoCloseable {

  private static final Logger LOG = Logger.getLogger(DnsServer.class.getName());

  private static final int DISCOVERY_CONNECT_MILLIS = 2000;
  private static final int BACKLOG = 1024;
  /** Larger datagrams are cut, and then no messages. */
  private static final int MOST_DATAGRAM = 4096;
  private static final int READS = 256;
  /** Room for a burst while the loop is busy: some thousand queries. */
  private static final int RECEIVE_BUFFER = 1 << 20;
  private static final int PORT_TRIES = 20;
  private static final long STOP_CHECK_MILLIS = 10;
  private static final long LAST_WORD_MILLIS = 1000;
  /** How often the zone of the fleet is looked at for servers that get warm. */
  private static final long ZONE_MILLIS = 1000;
  /** After a failed call of the shown fleet's discovery. */
  private static final long ASK_AGAIN_MILLIS = 1000;

  private final DnsConfig config;
  private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final EventLoop loop = group.next();
  private final Clock clock = new Clock();
  private final DnsCounts counts = new DnsCounts();
  private final Fleet fleet = new Fleet(clock);
  private final HeldList held;
  private final Recorder recorder;
  private Engine engine;
  private DnsClient client;
  private Resolver resolver;
  private TcpFrontend tcp;
  private Channel tcpListener;
  private Channel udp;
  private FleetZone fleetZone;
  private LocalZone shownZone;
  private Fleet shown;
  private Engine.ListSource shownDiscovery;
  private boolean wasQuiet;
  private QuotaKeeper quotas;

  private DnsServer(DnsConfig config, Recorder recorder) {
    this.config = config;
    this.recorder = recorder;
    held = new HeldList(config.fleet() == null ? null : config.fleet().stateFile());
  }

  /**
   * Starts a front and returns once it listens over UDP and TCP.
   *
   * @param shown the fleet that is shown as a zone; null where none is
   * @throws IOException where a zone can't be read or the port can't be had
   */
  public static DnsServer start(DnsConfig config, FleetSource shown, long seed) throws IOException {
    return start(config, shown, seed, Recorder.NONE);
  }

  /** The same with somebody who records what happens; whoever made the recorder ends it after this. */
  public static DnsServer start(DnsConfig config, FleetSource shown, long seed, Recorder recorder) throws IOException {
    return start(config, shown, seed, recorder, null);
  }

  /** The same with quotas of its clients; null for none. */
  public static DnsServer start(DnsConfig config, FleetSource shown, long seed, Recorder recorder, QuotaConfig quota)
      throws IOException {
    Settings settings = config.settings();
    return start(config, shown, n -> new Logic(settings, seed + n), recorder, quota);
  }

  /** The same around other decisions; {@code modules} makes the n-th module of this process. */
  static DnsServer start(DnsConfig config, FleetSource shown, LongFunction<Balancer> modules) throws IOException {
    return start(config, shown, modules, Recorder.NONE, null);
  }

  private static DnsServer start(DnsConfig config, FleetSource shown, LongFunction<Balancer> modules, Recorder recorder,
      QuotaConfig quota) throws IOException {
    DnsServer s = new DnsServer(config, recorder);
    try {
      List<LocalZone> zones = new ArrayList<>();
      for (DnsConfig.ZoneFile z : config.zones()) {
        zones.add(zone(z));
      }
      s.onLoop(() -> {
        s.quotas = quota == null ? null : new QuotaKeeper(quota, s.loop, s.clock::now);
        s.wire(modules, zones, shown);
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

  private static LocalZone zone(DnsConfig.ZoneFile z) throws IOException {
    try {
      return new LocalZone(Names.of(z.origin()), new Zone(Name.fromString(z.origin()), z.file().toString()));
    } catch (IOException | RuntimeException e) {
      throw new IOException("zone " + z.origin() + " in " + z.file() + " can't be read: " + e.getMessage(), e);
    }
  }

  private void wire(LongFunction<Balancer> modules, List<LocalZone> zones, FleetSource shownSource) {
    FleetSource source = config.fleet();
    ServerList first = source == null ? ServerList.NONE : source.first();
    Engine.ListSource lists = source == null || source.isWritten() ? new WrittenList(fleet, (kind, list) -> engine.news(kind, list))
        : open(source, first, fleet, this::news);
    client = new DnsClient(loop, clock, config.upstream());
    engine = new Engine(loop, clock, config.settings(), modules, fleet, lists, (to, data) -> { },
        recorder.isOn() ? recorder : Witness.NONE);
    engine.attach(new Transport() {
      @Override
      public void withdraw(LongPredicate from) {
        client.withdraw(from);
      }
    });
    resolver = new Resolver(loop, clock, config, engine, client, counts, recorder, quotas);
    engine.news(ListKind.CACHED, first);
    zones.forEach(resolver::add);
    if (config.fleetNames() != null && shownSource != null) {
      show(shownSource);
    }
  }

  private Engine.ListSource open(FleetSource source, ServerList first, Fleet of, BiConsumer<ListKind, ServerList> told) {
    return source.opener() != null ? source.opener().open(loop, first, of::revision, told)
        : new Discovery(discoveryBootstrap(), source.discovery(), of::revision, told);
  }

  private Bootstrap discoveryBootstrap() {
    return new Bootstrap().group(group).channel(NioSocketChannel.class)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, DISCOVERY_CONNECT_MILLIS);
  }

  private void news(ListKind kind, ServerList list) {
    engine.news(kind, list);
    if (kind != ListKind.FAILED) {
      held.write(fleet.list());
    }
  }

  // ---- The fleet as a zone -------------------------------------------------------------------------------

  private void show(FleetSource source) {
    shown = new Fleet(clock);
    ServerList first = source.first();
    shown.take(ListKind.CACHED, first);
    fleetZone = new FleetZone(config.fleetNames());
    shownZone = new LocalZone(Names.of(config.fleetNames().origin()), fleetZone.zone(shown.list(), System.currentTimeMillis()));
    resolver.add(shownZone);
    if (!source.isWritten()) {
      shownDiscovery = open(source, first, shown, this::shownNews);
      shownDiscovery.watch(true);
    }
    loop.scheduleWithFixedDelay(this::renew, ZONE_MILLIS, ZONE_MILLIS, TimeUnit.MILLISECONDS);
  }

  private void shownNews(ListKind kind, ServerList list) {
    if (kind == ListKind.FAILED) {
      loop.schedule(() -> shownDiscovery.watch(true), ASK_AGAIN_MILLIS, TimeUnit.MILLISECONDS);
    } else {
      shown.take(kind, list);
      renew();
    }
  }

  private void renew() {
    Zone next = fleetZone.zone(shown.list(), System.currentTimeMillis());
    if (next != null) {
      shownZone.replace(next);
    }
  }

  /** The operators' quotas have changed: what was used and is owed stays. */
  public void updateQuotas(QuotaPlan plan) {
    if (quotas != null) {
      onLoop(() -> {
        quotas.updatePlan(plan);
        return null;
      });
    }
  }

  /** The operators' lists have changed: of the servers that are forwarded to, and of the fleet that is shown. */
  public void updateEndpoints(ServerList servers, ServerList fleetShown) {
    loop.execute(() -> {
      if (servers != null) {
        engine.news(ListKind.FULL, servers);
      }
      if (fleetShown != null && shown != null) {
        shown.take(ListKind.FULL, fleetShown);
        renew();
      }
    });
  }

  // ---- Sockets -------------------------------------------------------------------------------------------

  private void listen() throws IOException {
    Flusher flusher = new Flusher(loop);
    tcp = onLoop(() -> new TcpFrontend(loop, resolver, flusher, config.limits()));
    IOException last = null;
    // Both transports on one port: with port 0 the one that TCP gets may be taken over UDP.
    for (int i = 0; i < (config.listen().getPort() == 0 ? PORT_TRIES : 1); i++) {
      try {
        tcpListener = bindTcp();
        udp = bindUdp(flusher);
        return;
      } catch (IOException e) {
        last = e;
        if (tcpListener != null) {
          tcpListener.close().syncUninterruptibly();
        }
      }
    }
    throw last;
  }

  private Channel bindTcp() throws IOException {
    ServerBootstrap b = new ServerBootstrap().group(group).channel(NioServerSocketChannel.class)
        .option(ChannelOption.SO_BACKLOG, BACKLOG).option(ChannelOption.SO_REUSEADDR, true)
        // All that wait are taken in one turn: those still waiting when the listener closes are reset.
        .option(ChannelOption.RECVBUF_ALLOCATOR, new ServerChannelRecvByteBufAllocator().maxMessagesPerRead(BACKLOG))
        .childOption(ChannelOption.TCP_NODELAY, true).childHandler(tcp);
    if (config.reusePort()) {
      // A successor may listen before its predecessor has gone.
      b.option(NioChannelOption.of(StandardSocketOptions.SO_REUSEPORT), true);
    }
    return bound(b.bind(config.listen()));
  }

  private Channel bindUdp(Flusher flusher) throws IOException {
    Bootstrap b = new Bootstrap().group(group).channel(NioDatagramChannel.class)
        .option(ChannelOption.SO_RCVBUF, RECEIVE_BUFFER)
        .option(ChannelOption.RECVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(MOST_DATAGRAM).maxMessagesPerRead(READS))
        .handler(new io.netty.channel.ChannelInitializer<NioDatagramChannel>() {
          @Override
          protected void initChannel(NioDatagramChannel channel) {
            channel.pipeline().addLast(new UdpFrontend(resolver, flusher, channel));
          }
        });
    if (config.reusePort()) {
      b.option(NioChannelOption.of(StandardSocketOptions.SO_REUSEPORT), true);
    }
    return bound(b.bind(config.listen().getAddress(), address().getPort()));
  }

  private Channel bound(io.netty.channel.ChannelFuture bind) throws IOException {
    bind.awaitUninterruptibly();
    if (!bind.isSuccess()) {
      throw new IOException("can't listen at " + config.listen() + ": " + bind.cause().getMessage(), bind.cause());
    }
    return bind.channel();
  }

  /** Where it listens, over UDP and TCP alike. */
  public InetSocketAddress address() {
    return (InetSocketAddress) tcpListener.localAddress();
  }

  // ---- What is seen of it --------------------------------------------------------------------------------

  /** Runs on its loop, in its turn. */
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

  boolean isLeaving() {
    return resolver.leaving.hasBegun();
  }

  int inHand() {
    return onLoop(engine::inHand);
  }

  int connections() {
    return onLoop(tcp::connections);
  }

  /** Octets of clients' messages that are held and not taken yet. */
  int unread() {
    return onLoop(tcp::unread);
  }

  /** Whether a query that came now could be passed on; asked on its loop. */
  boolean servesNow() {
    return engine.canServe();
  }

  /** One line of all counts. */
  public String report() {
    return onLoop(() -> counts + " " + client.counts() + " cache_entries=" + resolver.cache().size() + " cache_octets="
        + resolver.cache().weight());
  }

  // ---- The end -------------------------------------------------------------------------------------------

  /**
   * Stops in order: goes on for a while, for a successor to come up; takes no more connections; serves what still comes, in the second
   * half of its time only what is in hand; what then has no answer gets one. Returns when all is over.
   */
  public void stop() throws InterruptedException {
    LOG.info("stopping");
    TimeUnit.MILLISECONDS.sleep(config.lameMillis());
    onLoop(() -> {
      leave();
      return null;
    });
    long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(config.drainMillis());
    while (System.nanoTime() < until && !onLoop(this::wentQuietly)) {
      TimeUnit.MILLISECONDS.sleep(STOP_CHECK_MILLIS);
    }
    onLoop(() -> {
      engine.failAll();
      return null;
    });
    until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(LAST_WORD_MILLIS);
    while (System.nanoTime() < until && connections() > 0) {
      TimeUnit.MILLISECONDS.sleep(STOP_CHECK_MILLIS);
    }
    LOG.info("stopped: " + report());
    close();
  }

  /** On the loop: no more connections, and an end to those there are. */
  void leave() {
    tcpListener.close();
    resolver.leave(TimeUnit.MILLISECONDS.toNanos(config.drainMillis()));
    tcp.stop();
  }

  /**
   * With nothing in hand, twice in a row, the socket for datagrams goes: between the two it has been read, and what comes from here on is
   * the successor's.
   */
  private boolean wentQuietly() {
    boolean quiet = engine.inHand() + tcp.connections() == 0;
    boolean goes = quiet && wasQuiet;
    wasQuiet = quiet;
    if (goes) {
      udp.close();
    }
    return goes;
  }

  /** Ends at once, whatever is in hand. */
  @Override
  public void close() {
    if (loop.isShuttingDown()) {
      return;
    }
    Future<?> over = loop.submit(() -> {
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
    over.awaitUninterruptibly(LAST_WORD_MILLIS);
    held.close();
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly(LAST_WORD_MILLIS);
  }

  /** The socket over which datagrams come; for tests. */
  SocketAddress udpAddress() {
    return udp.localAddress();
  }
}
