package cloverpulley.serve;

import cloverpulley.Balancer;
import cloverpulley.Balancer.ListKind;
import cloverpulley.Balancer.RequestClass;
import cloverpulley.Balancer.Settings;
import cloverpulley.Logic;
import cloverpulley.discovery.Discovery;
import cloverpulley.engine.Clock;
import cloverpulley.engine.CompositeEngineListener;
import cloverpulley.engine.Engine;
import cloverpulley.engine.EngineListener;
import cloverpulley.engine.Fleet;
import cloverpulley.engine.ServerList;
import cloverpulley.engine.SocketBudget;
import cloverpulley.handover.HandoverSnapshot;
import cloverpulley.handover.RequestIdClaims;
import cloverpulley.state.BalancerSnapshot.UpstreamSnapshot;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.function.LongFunction;
import java.util.logging.Logger;
import java.util.stream.Collectors;

/** A balancer from start to stop: wires its components together on one event loop. */
final class Server {

  private static final Logger LOG = Logger.getLogger(Server.class.getName());

  private static final int BACKLOG = 1024;
  /**
   * Buffered bodies, streamed bodies and responses may each take the memory divided by this at one time. Together that is three quarters
   * of what the `run` command gives to buffers: the rest is for reads, for bodies in small steps once their share is used up, for small requests,
   * discovery and the management endpoint.
   */
  private static final int BUFFERED_BODIES_DIVISOR = 32;
  private static final int UPLOADS_DIVISOR = 32;
  private static final int RESPONSES_DIVISOR = 32;
  /** The unwritten bytes of a connection at which reading from its counterpart stops and resumes. */
  private static final WriteBufferWaterMark WATER_MARKS = new WriteBufferWaterMark(8 * 1024, 16 * 1024);
  /** The longest read. */
  static final int MAX_READ = 16 * 1024;
  private static final int DISCOVERY_CONNECT_MILLIS = 2000;
  /** The minimum time between two watches of pushed lists. The engine does not request pushed lists, so this class reopens the watch. */
  private static final long AGENT_RETRY_MILLIS = 200;
  /** How long a start waits for the first pushed list, one retry included; an agent answers at once. Then the cached list is used. */
  private static final long FIRST_LIST_WAIT_MILLIS = 500;
  /** New connections may arrive for up to 0.4 s after SIGTERM; they are accepted for longer than that. */
  private static final long ACCEPT_MILLIS = 700;
  /** The same if short deadlines bring SIGKILL early. */
  private static final long MIN_ACCEPT_MILLIS = 450;
  /**
   * Clients go on using their connections, and other balancers may be stopping as well: this one serves connected clients for at most this
   * long, and uses at least MIN_FINISH_MILLIS of the remaining time to finish the requests in progress.
   */
  private static final long SERVE_MILLIS = 2200;
  private static final long MIN_FINISH_MILLIS = 400;
  /** SIGKILL follows SIGTERM after the longest deadline, up to a maximum, and this delay. All requests are answered a margin before that. */
  private static final long KILL_DELAY_MILLIS = 700;
  private static final long MAX_DEADLINE_MILLIS = 3000;
  private static final long KILL_MARGIN_MILLIS = 300;
  /** The time from the last responses to closing the last connections, so that a client that still sends does not block the stop. */
  private static final long LINGER_MILLIS = 150;
  private static final long STOP_CHECK_MILLIS = 20;
  /** Responses that are being streamed go on after a stop until SIGKILL, or for this long after SIGTERM. */
  private static final long MAX_STOP_MILLIS = 30_000;
  /** Retries of reading an incomplete file, and the delay between them: new settings have to be in effect 1.2 s after SIGHUP. */
  private static final int MAX_REREADS = 3;
  private static final long REREAD_MILLIS = 100;

  private final EventLoopGroup group;
  private final EventLoop loop;
  private final AtomicBoolean stopRequested = new AtomicBoolean();
  /** Open once discovery has delivered the first list. */
  private final CountDownLatch firstListReceived = new CountDownLatch(1);
  private final CountDownLatch stopping = new CountDownLatch(1);
  private final CountDownLatch drained = new CountDownLatch(1);
  private final CountDownLatch stopped = new CountDownLatch(1);
  /** The read sizes of connections to clients and upstreams. */
  private BoundedReceiveAllocator receiveAllocator;
  private Engine engine;
  private Frontend frontend;
  private Discovery discovery;
  /** Replaces discovery as the source of endpoint lists; null for discovery. */
  private EmbeddedBalancer.ListSourceFactory listSourceFactory;
  private EngineListener engineListener = EngineListener.NO_OP;
  /** Upstreams that are offline by agreement of the fleet: a management call alone does not bring them online. */
  private final Set<String> agreedOffline = ConcurrentHashMap.newKeySet();
  private Peers peers;
  private Channel listener;
  private boolean listsPushed;
  /** When the watch of pushed lists was last opened. */
  private long watchedAt;
  private long stopMillis;
  /** Null without a management endpoint. */
  private Operations operations;
  private Operations.Components components;
  private final RequestIdClaims requestIds = new RequestIdClaims();
  private Config config;
  private final AtomicLong reloads = new AtomicLong();

  private Server() {
    group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    loop = group.next();
  }

  /** Starts a balancer and returns once it listens. */
  static Server start(Config config) {
    return start(config, n -> new Logic(config.settings(), config.seed() + n));
  }

  /** Starts a balancer with a custom decision module; {@code modules} creates the n-th module of this process. */
  static Server start(Config config, LongFunction<Balancer> modules) {
    return start(config, modules, null, EngineListener.NO_OP, s -> { });
  }

  /**
   * Starts a balancer with a custom source of endpoint lists, unless {@code listSourceFactory} is null; {@code beforeListen} is run before
   * clients can connect.
   */
  static Server start(Config config, LongFunction<Balancer> modules, EmbeddedBalancer.ListSourceFactory listSourceFactory,
      EngineListener engineListener, Consumer<Server> beforeListen) {
    Server server = new Server();
    server.listSourceFactory = listSourceFactory;
    server.engineListener = engineListener;
    server.config = config;
    try {
      if (config.management() != null) {
        server.operations = new Operations(config);
      }
      Warmup.run(config.settings(), server.operations != null && server.operations.hasPredecessor());
      HandoverSnapshot inherited = server.operations == null ? null : server.operations.awaitPredecessorSnapshot();
      server.loop.submit(() -> server.wire(config, modules, inherited)).syncUninterruptibly();
      if (server.operations != null) {
        server.operations.attach(server.components);
      }
      if (config.peerListen() != null && config.settings().limits().peers()) {
        Binding.bind("the peer address", () -> server.peers.listen(server.group, config.peerListen(), server.operations != null, server.engine));
      }
      server.awaitFirstList();
      beforeListen.accept(server);
      ServerBootstrap listen = new ServerBootstrap().group(server.group).channelFactory(Listener::new)
          .option(ChannelOption.SO_BACKLOG, BACKLOG).option(ChannelOption.SO_REUSEADDR, true)
          .childOption(ChannelOption.TCP_NODELAY, true).childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, WATER_MARKS)
          .childOption(ChannelOption.RECVBUF_ALLOCATOR, server.receiveAllocator);
      if (server.operations != null) {
        listen.option(Listener.REUSE_PORT, true);
      }
      server.listener = Binding.bind("the client address", () -> server.frontend.listen(listen, config.listen())).channel();
      server.loop.submit(server.frontend::markReady).syncUninterruptibly();
      if (server.operations != null) {
        server.operations.markServing();
      }
    } catch (Throwable e) {
      server.shutDown();
      throw e;
    }
    LOG.info(() -> config.name() + " serves at " + server.address() + ", " + config.known().members().size()
        + " upstreams known");
    return server;
  }

  /**
   * The schedule of a stop, in milliseconds after SIGTERM: until when new connections are accepted, connected clients are served, and the
   * requests in progress are answered, and when the last connections are closed.
   */
  record StopSchedule(long acceptMillis, long serveMillis, long answerMillis, long closeMillis) {

    /** {@code stopMillis} is the time by which all requests have to be answered; a successor takes over new connections at once. */
    static StopSchedule of(long stopMillis, boolean successorServes) {
      long serveMillis = Math.min(SERVE_MILLIS, stopMillis - MIN_FINISH_MILLIS);
      long acceptMillis = successorServes ? 0 : Math.min(ACCEPT_MILLIS, Math.max(MIN_ACCEPT_MILLIS, serveMillis));
      long answerMillis = Math.max(stopMillis, acceptMillis);
      // Connected clients are served at least while connections are accepted: the stop must not end early because no connection happens to be open.
      return new StopSchedule(acceptMillis, Math.max(serveMillis, acceptMillis), answerMillis, answerMillis + LINGER_MILLIS);
    }
  }

  /** The time after SIGTERM by which all requests are answered; with short deadlines SIGKILL comes early. */
  static long stopMillis(Settings settings) {
    long longest = settings.classes().stream().mapToLong(RequestClass::deadlineNanos).max().orElse(0);
    return Math.min(MAX_DEADLINE_MILLIS, TimeUnit.NANOSECONDS.toMillis(longest)) + KILL_DELAY_MILLIS - KILL_MARGIN_MILLIS;
  }

  /** {@code inherited} is the snapshot of a predecessor that still runs; null for none. */
  private void wire(Config config, LongFunction<Balancer> modules, HandoverSnapshot inherited) {
    stopMillis = stopMillis(config.settings());
    Clock clock = new Clock();
    Fleet fleet = new Fleet(clock);
    SocketBudget sockets = new SocketBudget(config.sockets() - (config.management() == null ? 0 : ManagementServer.MAX_CONNECTIONS));
    Counts counts = new Counts(fleet, config.settings().contract().slowStartNanos());
    counts.writeOn(loop);
    BufferBudget responses = new BufferBudget(config.memoryBytes() / RESPONSES_DIVISOR);
    BufferBudget uploads = new BufferBudget(config.memoryBytes() / UPLOADS_DIVISOR);
    receiveAllocator = new BoundedReceiveAllocator(() -> responses.isExhausted() || uploads.isExhausted());
    Bootstrap connections = new Bootstrap().group(group).channelFactory(UpstreamSocket::new)
        .option(ChannelOption.TCP_NODELAY, true).option(ChannelOption.WRITE_BUFFER_WATER_MARK, WATER_MARKS)
        .option(ChannelOption.RECVBUF_ALLOCATOR, receiveAllocator);
    UpstreamPool pool = new UpstreamPool(connections, sockets, config.settings().limits().connectTimeoutNanos(),
        config.idleNanos(), fleet::isReady, config.loadReports(), responses, counts);
    peers = new Peers(config.settings().selfId(), config.peers(), config.peersAll());
    listsPushed = !config.settings().listOnRequest();
    Engine.ListSource source;
    if (listSourceFactory == null) {
      discovery = new Discovery(
          connections.clone().option(ChannelOption.CONNECT_TIMEOUT_MILLIS, DISCOVERY_CONNECT_MILLIS),
          config.discovery(), listsPushed, fleet::revision, this::listReceived);
      source = discovery;
    } else {
      source = listSourceFactory.open(loop, fleet, this::listReceived);
    }
    engine = new Engine(loop, clock, config.settings(), modules, fleet, counts.counting(source), peers,
        engineListener == EngineListener.NO_OP ? counts : new CompositeEngineListener(counts, engineListener));
    engine.addTransport(pool);
    frontend = new Frontend(new HttpExchange.Context(engine, pool, config.loadReports()), clock, sockets, config.settings(),
        new RequestReader.Budgets(new BufferBudget(config.memoryBytes() / BUFFERED_BODIES_DIVISOR), uploads), requestIds, counts);
    components = new Operations.Components(loop, engine, fleet, sockets, pool, frontend, requestIds, agreedOffline);
    boolean newer = inherited != null && inherited.list().revision() >= config.known().revision();
    if (newer) {
      restoreStartTimes(fleet, inherited);
    }
    engine.serverListUpdated(ListKind.CACHED, newer ? inherited.list() : config.known());
    if (inherited != null) {
      fleet.addPreviouslyListed(inherited.names());
      engine.restoreSnapshot(inherited.balancerSnapshot());
      LOG.info(() -> "took over from a predecessor: " + inherited.list().members().size() + " upstreams, list "
          + inherited.list().revision());
    }
    if (listsPushed) {
      watch();
    }
  }

  /** Takes the servers' start times from the predecessor, independent of the wall clocks. */
  private static void restoreStartTimes(Fleet fleet, HandoverSnapshot inherited) {
    Map<Long, UpstreamSnapshot> known = inherited.balancerSnapshot().upstreams().stream()
        .collect(Collectors.toMap(UpstreamSnapshot::upstream, u -> u, (a, b) -> a));
    for (ServerList.Server server : inherited.list().members()) {
      UpstreamSnapshot snapshot = known.get(fleet.numberOf(server.id()));
      if (snapshot != null) {
        fleet.recordStart(server, snapshot.ageNanos());
      }
    }
  }

  /**
   * Waits for the first pushed list. With pushed lists a balancer is held to the agent's current list from the start of its process, so
   * requests must not go to a server that has drained since the cached list was written.
   */
  private void awaitFirstList() {
    try {
      if (listSourceFactory == null && listsPushed && !firstListReceived.await(FIRST_LIST_WAIT_MILLIS, TimeUnit.MILLISECONDS)) {
        LOG.warning("no endpoint list from the agent in time: serving with the cached list");
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void listReceived(ListKind kind, ServerList list) {
    if (kind != ListKind.FAILED || !listsPushed) {
      engine.serverListUpdated(kind, list);
      firstListReceived.countDown();
    } else {
      loop.schedule(this::watch, retryNanos(System.nanoTime() - watchedAt), TimeUnit.NANOSECONDS);
    }
  }

  private void watch() {
    watchedAt = System.nanoTime();
    discovery.watch(true);
  }

  /**
   * The delay before a failed watch of pushed lists is reopened, from the time since it was opened. A watch that fails at once is retried
   * after a pause, to limit the load on the agent and this process; one that lasted longer is reopened at once, as this balancer is held to
   * the updates that the agent has meanwhile.
   */
  static long retryNanos(long openedAgo) {
    return Math.max(0, TimeUnit.MILLISECONDS.toNanos(AGENT_RETRY_MILLIS) - openedAgo);
  }

  /** Reads a configuration. */
  interface ConfigSource {
    Config read() throws IOException;
  }

  /**
   * Reloads the configuration: moves discovery to its address and applies its settings to the requests that arrive from now on. An invalid
   * one changes nothing. Calls run one at a time, and of those that wait only the last, so that the latest configuration is applied last.
   */
  void reload(ConfigSource source) {
    long sequence = reloads.incrementAndGet();
    synchronized (reloads) {
      if (sequence == reloads.get()) {
        reload(source, sequence);
      }
    }
  }

  private void reload(ConfigSource source, long sequence) {
    Config read;
    try {
      read = readComplete(source, sequence);
      read.checkCanReplace(config);
    } catch (IOException | RuntimeException e) {
      LOG.warning("configuration rejected, the previous one stays in effect: " + Config.describeFailure(e));
      return;
    }
    boolean settingsChanged = !read.settings().equals(config.settings());
    String changes = settingsChanged ? ", settings: " + describeChanges(config.settings(), read.settings()) : "";
    config = read;
    loop.execute(() -> {
      discovery.setAddress(read.discovery());
      if (settingsChanged) {
        applySettings(read);
      }
    });
    LOG.info(() -> "configuration read again, discovery at " + read.discovery() + changes);
  }

  /** Retries an incomplete read, since the file may be in the middle of being written. */
  private Config readComplete(ConfigSource source, long sequence) throws IOException {
    for (int i = 0; ; i++) {
      try {
        return source.read();
      } catch (IOException e) {
        if (i == MAX_REREADS || sequence != reloads.get()) {
          throw e;
        }
      }
      try {
        TimeUnit.MILLISECONDS.sleep(REREAD_MILLIS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        throw new IOException(e);
      }
    }
  }

  private void applySettings(Config to) {
    stopMillis = stopMillis(to.settings());
    components.pool().setTimeouts(to.settings().limits().connectTimeoutNanos(), to.idleNanos());
    frontend.updateSettings(to.settings());
    engine.updateSettings(to.settings());
  }

  /** The changes that matter most to an operator: classes added, removed or changed, and the number of attempts. */
  static String describeChanges(Settings before, Settings after) {
    Map<String, RequestClass> old = before.classes().stream().collect(Collectors.toMap(RequestClass::name, c -> c));
    List<String> changes = new ArrayList<>();
    for (RequestClass c : after.classes()) {
      RequestClass was = old.remove(c.name());
      if (!c.equals(was)) {
        changes.add((was == null ? "+" : "~") + Counts.logName(c.name()));
      }
    }
    old.keySet().forEach(name -> changes.add("-" + Counts.logName(name)));
    if (before.limits().maxAttempts() != after.limits().maxAttempts()) {
      changes.add("attempts " + before.limits().maxAttempts() + " to " + after.limits().maxAttempts());
    }
    return changes.isEmpty() ? "other values" : String.join(" ", changes);
  }

  /** Runs an action on the engine's loop; completes once the module has been notified of its effects. */
  CompletableFuture<Void> runOnLoop(Consumer<Engine> action) {
    CompletableFuture<Void> done = new CompletableFuture<>();
    loop.execute(() -> {
      try {
        action.accept(engine);
        loop.execute(() -> done.complete(null)); // After the engine has delivered the events that the action queued.
      } catch (RuntimeException e) {
        done.completeExceptionally(e);
      }
    });
    return done;
  }

  /** Takes an upstream offline by agreement of the fleet. */
  CompletableFuture<Void> setAgreedOffline(String id, long forNanos) {
    agreedOffline.add(id);
    return runOnLoop(engine -> engine.setOffline(id, forNanos));
  }

  /** Brings an upstream online by agreement of the fleet, unless a call to this balancer's management endpoint has taken it offline as well. */
  CompletableFuture<Void> setAgreedOnline(String id) {
    agreedOffline.remove(id);
    return runOnLoop(engine -> {
      if (operations == null || !operations.isOffline(id)) {
        engine.setOnline(id);
      }
    });
  }

  boolean hasManagement() {
    return operations != null;
  }

  /** The address of the management endpoint. */
  InetSocketAddress managementAddress() {
    return operations.address();
  }

  InetSocketAddress address() {
    return (InetSocketAddress) listener.localAddress();
  }

  /** Waits for the start of {@link #stop}. */
  void awaitStopping() {
    await(stopping);
  }

  /** Waits for the end of {@link #stop}. */
  void await() {
    await(stopped);
  }

  private static void await(CountDownLatch latch) {
    try {
      latch.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /**
   * Shuts down gracefully: accepts requests for a while, answers all that were accepted, and returns when no client is left. If a successor
   * serves at the same address it gets new connections at once, and connected clients move to it after their next response.
   */
  void stop() {
    if (!stopRequested.compareAndSet(false, true)) {
      await(stopped); // A second SIGTERM neither repeats nor hastens the stop.
      return;
    }
    boolean successorServes = operations != null && operations.hasSuccessor();
    LOG.info(successorServes ? "stopping, a successor serves" : "stopping");
    if (operations != null) {
      operations.markLeaving();
    }
    loop.execute(() -> {
      StopSchedule stopSchedule = StopSchedule.of(stopMillis, successorServes);
      if (successorServes) {
        frontend.closeAfterResponses();
        frontend.stopAccepting();
      } else {
        frontend.markStopping();
        loop.schedule(frontend::stopAccepting, stopSchedule.acceptMillis, TimeUnit.MILLISECONDS);
      }
      stopping.countDown();
      loop.schedule(() -> {
        frontend.drain();
        checkDrained();
      }, stopSchedule.serveMillis, TimeUnit.MILLISECONDS);
      loop.schedule(() -> {
        frontend.rejectRequests();
        engine.failUnanswered();
      }, stopSchedule.answerMillis, TimeUnit.MILLISECONDS);
      loop.schedule(this::finishStreams, stopSchedule.closeMillis, TimeUnit.MILLISECONDS);
      loop.schedule(() -> {
        engine.failAll();
        frontend.closeAll();
      }, MAX_STOP_MILLIS, TimeUnit.MILLISECONDS);
    });
    await(drained);
    shutDown();
    LOG.info("stopped");
    stopped.countDown();
  }

  /** Shuts down at once, with requests in progress. */
  void shutDown() {
    if (operations != null) {
      operations.shutDown();
    }
    // Ids are released last: until their connections are closed, requests may still run at upstreams.
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).addListener(f -> requestIds.close());
  }

  /** Closes each connection once no response is being streamed on it. */
  private void finishStreams() {
    frontend.closeAllButReceiving();
    if (frontend.hasConnections()) {
      loop.schedule(this::finishStreams, STOP_CHECK_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  private void checkDrained() {
    if (frontend.hasConnections()) {
      loop.schedule(this::checkDrained, STOP_CHECK_MILLIS, TimeUnit.MILLISECONDS);
    } else {
      drained.countDown();
    }
  }
}
