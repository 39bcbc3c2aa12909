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
import cloverpulley.state.BalancerSnapshot.UpstreamSnapshot;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.RecvByteBufAllocator;
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

/** One balancer, from start to stop: wires the parts together on one event loop. */
final class Server {

  private static final Logger LOG = Logger.getLogger(Server.class.getName());

  private static final int BACKLOG = 1024;
  /**
   * The parts of the memory, one in so many, that bodies which are kept, bodies that pass while they come and long answers may take at
   * one time. Together five sixths of what `run` gives to buffers: the rest is for reads, small requests, discovery and the door.
   */
  private static final int BUFFERED_BODIES_DIVISOR = 32;
  private static final int UPLOADS_DIVISOR = 32;
  private static final int RESPONSES_DIVISOR = 24;
  /** What a connection holds unwritten before the other side of it is read no further, and what one read brings at most. */
  private static final WriteBufferWaterMark WATER_MARKS = new WriteBufferWaterMark(8 * 1024, 16 * 1024);
  private static final int MIN_READ = 512;
  private static final int INITIAL_READ = 2048;
  static final int MAX_READ = 16 * 1024;
  private static final int READS_PER_ITERATION = 2;
  private static final int DISCOVERY_CONNECT_MILLIS = 2000;
  /** Where lists are pushed nobody asks for them but this program: it comes to its agent so far apart at least, and at once where it last came before that. */
  private static final long AGENT_RETRY_MILLIS = 200;
  /** An agent answers at once: it is waited for so long, one more try included, and then the list that is known has to do. */
  private static final long FIRST_LIST_WAIT_MILLIS = 500;
  /** After SIGTERM new connections go on coming for up to 0.4 s; they are taken for longer. */
  private static final long ACCEPT_MILLIS = 700;
  /** The same where short deadlines bring SIGKILL early. */
  private static final long MIN_ACCEPT_MILLIS = 450;
  /**
   * Clients go on using the connections that they have, and while this balancer is away others may be too: it serves them for
   * this long at most, and has the rest of the time for what is then in hand.
   */
  private static final long SERVE_MILLIS = 2200;
  private static final long MIN_FINISH_MILLIS = 400;
  /** SIGKILL comes so long after SIGTERM, beyond the longest deadline that counts. What has no answer gets one before. */
  private static final long KILL_DELAY_MILLIS = 700;
  private static final long MAX_DEADLINE_MILLIS = 3000;
  private static final long KILL_MARGIN_MILLIS = 300;
  /** So long after the last answers the last connections end. Guards the end from a client that still sends. */
  private static final long LINGER_MILLIS = 150;
  private static final long STOP_CHECK_MILLIS = 20;
  /** A file that can't be used is read so many times more, so far apart: new settings are to hold 1.2 s after SIGHUP. */
  private static final int MAX_REREADS = 3;
  private static final long REREAD_MILLIS = 100;

  private final EventLoopGroup group;
  private final EventLoop loop;
  private final AtomicBoolean stopRequested = new AtomicBoolean();
  /** Discovery has said what there is. */
  private final CountDownLatch firstListReceived = new CountDownLatch(1);
  private final CountDownLatch stopping = new CountDownLatch(1);
  private final CountDownLatch drained = new CountDownLatch(1);
  private final CountDownLatch stopped = new CountDownLatch(1);
  private Engine engine;
  private Frontend frontend;
  private Discovery discovery;
  /** Where lists come from in place of discovery; null for discovery. */
  private EmbeddedBalancer.ListSourceFactory listSourceFactory;
  private EngineListener engineListener = EngineListener.NO_OP;
  /** Upstreams that are out by agreement of the fleet: the management endpoint's word alone does not bring them back. */
  private final Set<String> agreedOffline = ConcurrentHashMap.newKeySet();
  private Peers peers;
  private Channel listener;
  private boolean listsPushed;
  /** When the watch of pushed lists was opened last. */
  private long watchedAt;
  private long stopMillis;
  /** Null where there is no management endpoint. */
  private Operations operations;
  private Operations.Components components;
  private Config config;
  private final AtomicLong reloads = new AtomicLong();

  private Server() {
    group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    loop = group.next();
  }

  /** How a connection is read. Guards small requests: a long body is read a little in each turn, not all that its socket holds. */
  private static RecvByteBufAllocator receiveAllocator() {
    return new AdaptiveRecvByteBufAllocator(MIN_READ, INITIAL_READ, MAX_READ).maxMessagesPerRead(READS_PER_ITERATION);
  }

  /** Starts a balancer and returns once it listens. */
  static Server start(Config config) {
    return start(config, n -> new Logic(config.settings(), config.seed() + n));
  }

  /** The same around other decisions; {@code modules} makes the n-th module of this process. */
  static Server start(Config config, LongFunction<Balancer> modules) {
    return start(config, modules, null, EngineListener.NO_OP, s -> { });
  }

  /**
   * The same with lists from elsewhere than the platform's discovery, where {@code listSourceFactory} is not null; {@code wired} is run before clients
   * are heard.
   */
  static Server start(Config config, LongFunction<Balancer> modules, EmbeddedBalancer.ListSourceFactory listSourceFactory, EngineListener engineListener, Consumer<Server> beforeListen) {
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
        Binding.bind("the peers' address", () -> server.peers.listen(server.group, config.peerListen(), server.operations != null, server.engine));
      }
      server.awaitFirstList();
      beforeListen.accept(server);
      ServerBootstrap listen = new ServerBootstrap().group(server.group).channelFactory(Listener::new)
          .option(ChannelOption.SO_BACKLOG, BACKLOG).option(ChannelOption.SO_REUSEADDR, true)
          .childOption(ChannelOption.TCP_NODELAY, true).childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, WATER_MARKS)
          .childOption(ChannelOption.RECVBUF_ALLOCATOR, receiveAllocator());
      if (server.operations != null) {
        listen.option(Listener.REUSE_PORT, true);
      }
      server.listener = Binding.bind("the clients' address", () -> server.frontend.listen(listen, config.listen())).channel();
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
   * The course of a stop, in milliseconds after SIGTERM: until when new connections are taken, connected clients are served, and what is in
   * hand has its answer, and when the last connections end.
   */
  record StopSchedule(long acceptMillis, long serveMillis, long answerMillis, long closeMillis) {

    /** {@code stopMillis} is when SIGKILL has to be reckoned with; a successor takes the new connections at once. */
    static StopSchedule of(long stopMillis, boolean successorServes) {
      long serveMillis = Math.min(SERVE_MILLIS, stopMillis - MIN_FINISH_MILLIS);
      long acceptMillis = successorServes ? 0 : Math.min(ACCEPT_MILLIS, Math.max(MIN_ACCEPT_MILLIS, serveMillis));
      long answerMillis = Math.max(stopMillis, acceptMillis);
      // Guards those who still come from an end that finds nobody connected just then.
      return new StopSchedule(acceptMillis, Math.max(serveMillis, acceptMillis), answerMillis, answerMillis + LINGER_MILLIS);
    }
  }

  /** How long after SIGTERM all that is in hand gets its answer. Guards against a SIGKILL that short deadlines bring early. */
  static long stopMillis(Settings settings) {
    long longest = settings.classes().stream().mapToLong(RequestClass::deadlineNanos).max().orElse(0);
    return Math.min(MAX_DEADLINE_MILLIS, TimeUnit.NANOSECONDS.toMillis(longest)) + KILL_DELAY_MILLIS - KILL_MARGIN_MILLIS;
  }

  /** {@code inherited} is what a predecessor beside this process handed over; null for none. */
  private void wire(Config config, LongFunction<Balancer> modules, HandoverSnapshot inherited) {
    stopMillis = stopMillis(config.settings());
    Clock clock = new Clock();
    Fleet fleet = new Fleet(clock);
    SocketBudget sockets = new SocketBudget(config.sockets() - (config.management() == null ? 0 : ManagementServer.MAX_CONNECTIONS));
    Counts counts = new Counts(fleet, config.settings().contract().slowStartNanos());
    counts.writeOn(loop);
    Bootstrap connections = new Bootstrap().group(group).channelFactory(UpstreamSocket::new)
        .option(ChannelOption.TCP_NODELAY, true).option(ChannelOption.WRITE_BUFFER_WATER_MARK, WATER_MARKS)
        .option(ChannelOption.RECVBUF_ALLOCATOR, receiveAllocator());
    UpstreamPool pool = new UpstreamPool(connections, sockets, config.settings().limits().connectTimeoutNanos(),
        config.idleNanos(), fleet::isReady, config.loadReports(), new BufferBudget(config.memoryBytes() / RESPONSES_DIVISOR), counts);
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
    frontend = new Frontend(new HttpExchange.Front(engine, pool, config.loadReports()), clock, sockets, config.settings(),
        new RequestReader.Budgets(new BufferBudget(config.memoryBytes() / BUFFERED_BODIES_DIVISOR), new BufferBudget(config.memoryBytes() / UPLOADS_DIVISOR)), counts);
    components = new Operations.Components(loop, engine, fleet, sockets, pool, frontend, agreedOffline);
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

  /** A predecessor knows when servers started, whatever the wall clocks of the two say. */
  private static void restoreStartTimes(Fleet fleet, HandoverSnapshot inherited) {
    Map<Long, UpstreamSnapshot> known = inherited.balancerSnapshot().upstreams().stream()
        .collect(Collectors.toMap(UpstreamSnapshot::upstream, k -> k, (a, b) -> a));
    for (ServerList.Server server : inherited.list().members()) {
      UpstreamSnapshot k = known.get(fleet.numberOf(server.id()));
      if (k != null) {
        fleet.recordStart(server, k.ageNanos());
      }
    }
  }

  /**
   * Where lists are pushed, what the agent has counts as told from the first moment of this process, and that was a start ago. Guards what has
   * drained since the known list was written from clients that come before the first one has arrived.
   */
  private void awaitFirstList() {
    try {
      if (listSourceFactory == null && listsPushed && !firstListReceived.await(FIRST_LIST_WAIT_MILLIS, TimeUnit.MILLISECONDS)) {
        LOG.warning("the agent says nothing: serving by the list that was known");
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
   * How long a watch of pushed lists that has failed is not opened anew, where it was opened so long ago: guards the agent and this process from a
   * watch that fails at once, and what the agent has to say meanwhile, which counts as told, from a pause where it stood or was silent for longer.
   */
  static long retryNanos(long openedAgo) {
    return Math.max(0, TimeUnit.MILLISECONDS.toNanos(AGENT_RETRY_MILLIS) - openedAgo);
  }

  /** Where a configuration comes from. */
  interface ConfigSource {
    Config read() throws IOException;
  }

  /**
   * Reads the configuration again, follows discovery to where it says, and has its settings hold for the requests that come from now on. One
   * that can't be used as a whole changes nothing. One call at a time, and of those that wait the last: what was read last is taken last.
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
      LOG.warning("configuration not taken, the one before stays: " + Config.describeFailure(e));
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

  /** Guards against a file that is being written just now: it is whole a moment later, or never. */
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
    components.pool().retune(to.settings().limits().connectTimeoutNanos(), to.idleNanos());
    frontend.updateSettings(to.settings());
    engine.updateSettings(to.settings());
  }

  /** What an operator looks for first: classes that came, went or are others now, and the number of attempts. */
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
    return changes.isEmpty() ? "other figures" : String.join(" ", changes);
  }

  /** Has the engine do something on its loop; done once the module has been told what it has to know of that. */
  CompletableFuture<Void> runOnLoop(Consumer<Engine> what) {
    CompletableFuture<Void> told = new CompletableFuture<>();
    loop.execute(() -> {
      try {
        what.accept(engine);
        loop.execute(() -> done.complete(null)); // Behind the engine's own turn.
      } catch (RuntimeException e) {
        done.completeExceptionally(e);
      }
    });
    return done;
  }

  /** The fleet has agreed that this upstream is out. */
  CompletableFuture<Void> setAgreedOffline(String id, long forNanos) {
    agreedOffline.add(id);
    return runOnLoop(engine -> engine.setOffline(id, forNanos));
  }

  /** The fleet has agreed that it is back; out it stays where this one's management endpoint says so. */
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

  /** Where operators call. */
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
   * Takes what still comes for a while, answers all that was taken, and returns when no client is left. Where a successor serves at the
   * same address new connections are left to it at once, and clients are sent there with their next answer.
   */
  void stop() {
    if (!stopRequested.compareAndSet(false, true)) {
      await(stopped); // Guards against a second SIGTERM that has the end come once more, or sooner.
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
        engine.failAll();
      }, stopSchedule.answerMillis, TimeUnit.MILLISECONDS);
      loop.schedule(frontend::closeAll, stopSchedule.closeMillis, TimeUnit.MILLISECONDS);
    });
    await(drained);
    shutDown();
    LOG.info("stopped");
    stopped.countDown();
  }

  /** Ends at once, whatever is in hand. */
  void shutDown() {
    if (operations != null) {
      operations.shutDown();
    }
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private void checkDrained() {
    if (frontend.hasConnections()) {
      loop.schedule(this::checkDrained, STOP_CHECK_MILLIS, TimeUnit.MILLISECONDS);
    } else {
      drained.countDown();
    }
  }
}
