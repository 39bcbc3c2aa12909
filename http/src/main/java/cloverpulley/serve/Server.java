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
  private static final int KEPT_PART = 32;
  private static final int UPLOADS_PART = 32;
  private static final int ANSWERS_PART = 24;
  /** What a connection holds unwritten before the other side of it is read no further, and what one read brings at most. */
  private static final WriteBufferWaterMark MARKS = new WriteBufferWaterMark(8 * 1024, 16 * 1024);
  private static final int LEAST_READ = 512;
  private static final int FIRST_READ = 2048;
  static final int MAX_READ = 16 * 1024;
  private static final int READS_A_TURN = 2;
  private static final int DISCOVERY_CONNECT_MILLIS = 2000;
  /** Where lists are pushed nobody asks for them but this program: it comes to its agent so far apart at least, and at once where it last came before that. */
  private static final long AGENT_RETRY_MILLIS = 200;
  /** An agent answers at once: it is waited for so long, one more try included, and then the list that is known has to do. */
  private static final long FIRST_LIST_MILLIS = 500;
  /** After SIGTERM new connections go on coming for up to 0.4 s; they are taken for longer. */
  private static final long ACCEPT_MILLIS = 700;
  /** The same where short deadlines bring SIGKILL early. */
  private static final long LEAST_ACCEPT_MILLIS = 450;
  /**
   * Clients go on using the connections that they have, and while this balancer is away others may be too: it serves them for
   * this long at most, and has the rest of the time for what is then in hand.
   */
  private static final long SERVE_MILLIS = 2200;
  private static final long LEAST_REST_MILLIS = 400;
  /** SIGKILL comes so long after SIGTERM, beyond the longest deadline that counts. What has no answer gets one before. */
  private static final long KILL_MILLIS = 700;
  private static final long MOST_DEADLINE_MILLIS = 3000;
  private static final long STOP_EARLY_MILLIS = 300;
  /** So long after the last answers the last connections end. Guards the end from a client that still sends. */
  private static final long LAST_MILLIS = 150;
  private static final long STOP_CHECK_MILLIS = 20;
  /** A file that can't be used is read so many times more, so far apart: new settings are to hold 1.2 s after SIGHUP. */
  private static final int READ_AGAIN = 3;
  private static final long READ_AGAIN_MILLIS = 100;

  private final EventLoopGroup group;
  private final EventLoop loop;
  private final AtomicBoolean stops = new AtomicBoolean();
  /** Discovery has said what there is. */
  private final CountDownLatch listed = new CountDownLatch(1);
  private final CountDownLatch stopping = new CountDownLatch(1);
  private final CountDownLatch drained = new CountDownLatch(1);
  private final CountDownLatch stopped = new CountDownLatch(1);
  private Engine engine;
  private Frontend frontend;
  private Discovery discovery;
  /** Where lists come from in place of discovery; null for discovery. */
  private EmbeddedBalancer.ListSourceFactory lists;
  private EngineListener witness = EngineListener.NO_OP;
  /** Upstreams that are out by agreement of the fleet: the management endpoint's word alone does not bring them back. */
  private final Set<String> agreed = ConcurrentHashMap.newKeySet();
  private Peers peers;
  private Channel listener;
  private boolean pushed;
  /** When the watch of pushed lists was opened last. */
  private long watchedAt;
  private long stopMillis;
  /** Null where there is no management endpoint. */
  private Operations operations;
  private Operations.Parts parts;
  private Config config;
  private final AtomicLong reloads = new AtomicLong();

  private Server() {
    group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    loop = group.next();
  }

  /** How a connection is read. Guards small requests: a long body is read a little in each turn, not all that its socket holds. */
  private static RecvByteBufAllocator reads() {
    return new AdaptiveRecvByteBufAllocator(LEAST_READ, FIRST_READ, MAX_READ).maxMessagesPerRead(READS_A_TURN);
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
   * The same with lists from elsewhere than the platform's discovery, where {@code lists} is not null; {@code wired} is run before clients
   * are heard.
   */
  static Server start(Config config, LongFunction<Balancer> modules, EmbeddedBalancer.ListSourceFactory lists, EngineListener witness, Consumer<Server> wired) {
    Server server = new Server();
    server.lists = lists;
    server.witness = witness;
    server.config = config;
    try {
      if (config.management() != null) {
        server.operations = new Operations(config);
      }
      Warmup.run(config.settings(), server.operations != null && server.operations.hasPredecessor());
      HandoverSnapshot inherited = server.operations == null ? null : server.operations.awaitPredecessor();
      server.loop.submit(() -> server.wire(config, modules, inherited)).syncUninterruptibly();
      if (server.operations != null) {
        server.operations.wired(server.parts);
      }
      if (config.peerListen() != null && config.settings().limits().peers()) {
        Binding.bind("the peers' address", () -> server.peers.listen(server.group, config.peerListen(), server.operations != null, server.engine));
      }
      server.awaitList();
      wired.accept(server);
      ServerBootstrap listen = new ServerBootstrap().group(server.group).channelFactory(Listener::new)
          .option(ChannelOption.SO_BACKLOG, BACKLOG).option(ChannelOption.SO_REUSEADDR, true)
          .childOption(ChannelOption.TCP_NODELAY, true).childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, MARKS)
          .childOption(ChannelOption.RECVBUF_ALLOCATOR, reads());
      if (server.operations != null) {
        listen.option(Listener.REUSE_PORT, true);
      }
      server.listener = Binding.bind("the clients' address", () -> server.frontend.listen(listen, config.listen())).channel();
      server.loop.submit(server.frontend::ready).syncUninterruptibly();
      if (server.operations != null) {
        server.operations.serving();
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
  record Ending(long accepts, long serves, long answered, long over) {

    /** {@code stopMillis} is when SIGKILL has to be reckoned with; a successor takes the new connections at once. */
    static Ending of(long stopMillis, boolean succeeded) {
      long serves = Math.min(SERVE_MILLIS, stopMillis - LEAST_REST_MILLIS);
      long accepts = succeeded ? 0 : Math.min(ACCEPT_MILLIS, Math.max(LEAST_ACCEPT_MILLIS, serves));
      long answered = Math.max(stopMillis, accepts);
      // Guards those who still come from an end that finds nobody connected just then.
      return new Ending(accepts, Math.max(serves, accepts), answered, answered + LAST_MILLIS);
    }
  }

  /** How long after SIGTERM all that is in hand gets its answer. Guards against a SIGKILL that short deadlines bring early. */
  static long stopMillis(Settings settings) {
    long longest = settings.classes().stream().mapToLong(RequestClass::deadlineNanos).max().orElse(0);
    return Math.min(MOST_DEADLINE_MILLIS, TimeUnit.NANOSECONDS.toMillis(longest)) + KILL_MILLIS - STOP_EARLY_MILLIS;
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
        .option(ChannelOption.TCP_NODELAY, true).option(ChannelOption.WRITE_BUFFER_WATER_MARK, MARKS)
        .option(ChannelOption.RECVBUF_ALLOCATOR, reads());
    UpstreamPool pool = new UpstreamPool(connections, sockets, config.settings().limits().connectTimeoutNanos(),
        config.idleNanos(), fleet::isReady, config.loadReports(), new BufferBudget(config.memoryBytes() / ANSWERS_PART), counts);
    peers = new Peers(config.settings().selfId(), config.peers(), config.peersAll());
    pushed = !config.settings().listOnRequest();
    Engine.ListSource source;
    if (lists == null) {
      discovery = new Discovery(
          connections.clone().option(ChannelOption.CONNECT_TIMEOUT_MILLIS, DISCOVERY_CONNECT_MILLIS),
          config.discovery(), pushed, fleet::revision, this::news);
      source = discovery;
    } else {
      source = lists.open(loop, fleet, this::news);
    }
    engine = new Engine(loop, clock, config.settings(), modules, fleet, counts.counted(source), peers,
        witness == EngineListener.NO_OP ? counts : new CompositeEngineListener(counts, witness));
    engine.addTransport(pool);
    frontend = new Frontend(new HttpExchange.Front(engine, pool, config.loadReports()), clock, sockets, config.settings(),
        new RequestReader.Budgets(new BufferBudget(config.memoryBytes() / KEPT_PART), new BufferBudget(config.memoryBytes() / UPLOADS_PART)), counts);
    parts = new Operations.Parts(loop, engine, fleet, sockets, pool, frontend, agreed);
    boolean newer = inherited != null && inherited.list().revision() >= config.known().revision();
    if (newer) {
      takeOverStarts(fleet, inherited);
    }
    engine.serverListUpdated(ListKind.CACHED, newer ? inherited.list() : config.known());
    if (inherited != null) {
      fleet.addPreviouslyListed(inherited.names());
      engine.restoreSnapshot(inherited.balancerSnapshot());
      LOG.info(() -> "took over from a predecessor: " + inherited.list().members().size() + " upstreams, list "
          + inherited.list().revision());
    }
    if (pushed) {
      watch();
    }
  }

  /** A predecessor knows when servers started, whatever the wall clocks of the two say. */
  private static void takeOverStarts(Fleet fleet, HandoverSnapshot inherited) {
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
  private void awaitList() {
    try {
      if (lists == null && pushed && !listed.await(FIRST_LIST_MILLIS, TimeUnit.MILLISECONDS)) {
        LOG.warning("the agent says nothing: serving by the list that was known");
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void news(ListKind kind, ServerList list) {
    if (kind != ListKind.FAILED || !pushed) {
      engine.serverListUpdated(kind, list);
      listed.countDown();
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
  interface Source {
    Config read() throws IOException;
  }

  /**
   * Reads the configuration again, follows discovery to where it says, and has its settings hold for the requests that come from now on. One
   * that can't be used as a whole changes nothing. One call at a time, and of those that wait the last: what was read last is taken last.
   */
  void reload(Source source) {
    long mine = reloads.incrementAndGet();
    synchronized (reloads) {
      if (mine == reloads.get()) {
        reload(source, mine);
      }
    }
  }

  private void reload(Source source, long mine) {
    Config read;
    try {
      read = readWhole(source, mine);
      read.checkReplaces(config);
    } catch (IOException | RuntimeException e) {
      LOG.warning("configuration not taken, the one before stays: " + Config.complaint(e));
      return;
    }
    boolean others = !read.settings().equals(config.settings());
    String told = others ? ", settings: " + difference(config.settings(), read.settings()) : "";
    config = read;
    loop.execute(() -> {
      discovery.setAddress(read.discovery());
      if (others) {
        retune(read);
      }
    });
    LOG.info(() -> "configuration read again, discovery at " + read.discovery() + told);
  }

  /** Guards against a file that is being written just now: it is whole a moment later, or never. */
  private Config readWhole(Source source, long mine) throws IOException {
    for (int i = 0; ; i++) {
      try {
        return source.read();
      } catch (IOException e) {
        if (i == READ_AGAIN || mine != reloads.get()) {
          throw e;
        }
      }
      try {
        TimeUnit.MILLISECONDS.sleep(READ_AGAIN_MILLIS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        throw new IOException(e);
      }
    }
  }

  private void retune(Config to) {
    stopMillis = stopMillis(to.settings());
    parts.pool().retune(to.settings().limits().connectTimeoutNanos(), to.idleNanos());
    frontend.retune(to.settings());
    engine.updateSettings(to.settings());
  }

  /** What an operator looks for first: classes that came, went or are others now, and the number of attempts. */
  static String difference(Settings before, Settings after) {
    Map<String, RequestClass> old = before.classes().stream().collect(Collectors.toMap(RequestClass::name, c -> c));
    List<String> words = new ArrayList<>();
    for (RequestClass c : after.classes()) {
      RequestClass was = old.remove(c.name());
      if (!c.equals(was)) {
        words.add((was == null ? "+" : "~") + Counts.name(c.name()));
      }
    }
    old.keySet().forEach(name -> words.add("-" + Counts.name(name)));
    if (before.limits().maxAttempts() != after.limits().maxAttempts()) {
      words.add("attempts " + before.limits().maxAttempts() + " to " + after.limits().maxAttempts());
    }
    return words.isEmpty() ? "other figures" : String.join(" ", words);
  }

  /** Has the engine do something on its loop; done once the module has been told what it has to know of that. */
  CompletableFuture<Void> runOnLoop(Consumer<Engine> what) {
    CompletableFuture<Void> told = new CompletableFuture<>();
    loop.execute(() -> {
      try {
        what.accept(engine);
        loop.execute(() -> told.complete(null)); // Behind the engine's own turn.
      } catch (RuntimeException e) {
        told.completeExceptionally(e);
      }
    });
    return told;
  }

  /** The fleet has agreed that this upstream is out. */
  CompletableFuture<Void> agreedOut(String id, long forNanos) {
    agreed.add(id);
    return runOnLoop(engine -> engine.setOffline(id, forNanos));
  }

  /** The fleet has agreed that it is back; out it stays where this one's management endpoint says so. */
  CompletableFuture<Void> agreedBack(String id) {
    agreed.remove(id);
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
    if (!stops.compareAndSet(false, true)) {
      await(stopped); // Guards against a second SIGTERM that has the end come once more, or sooner.
      return;
    }
    boolean succeeded = operations != null && operations.hasSuccessor();
    LOG.info(succeeded ? "stopping, a successor serves" : "stopping");
    if (operations != null) {
      operations.leaving();
    }
    loop.execute(() -> {
      Ending ending = Ending.of(stopMillis, succeeded);
      if (succeeded) {
        frontend.leaveTo();
        frontend.acceptNoMore();
      } else {
        frontend.stopping();
        loop.schedule(frontend::acceptNoMore, ending.accepts, TimeUnit.MILLISECONDS);
      }
      stopping.countDown();
      loop.schedule(() -> {
        frontend.close();
        finish();
      }, ending.serves, TimeUnit.MILLISECONDS);
      loop.schedule(() -> {
        frontend.takeNoMore();
        engine.failAll();
      }, ending.answered, TimeUnit.MILLISECONDS);
      loop.schedule(frontend::closeAll, ending.over, TimeUnit.MILLISECONDS);
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

  private void finish() {
    if (frontend.hasConnections()) {
      loop.schedule(this::finish, STOP_CHECK_MILLIS, TimeUnit.MILLISECONDS);
    } else {
      drained.countDown();
    }
  }
}
