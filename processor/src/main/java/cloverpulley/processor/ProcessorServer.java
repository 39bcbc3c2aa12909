package cloverpulley.processor;

import cloverpulley.Balancer;
import cloverpulley.Balancer.ListKind;
import cloverpulley.Balancer.Settings;
import cloverpulley.Logic;
import cloverpulley.discovery.Discovery;
import cloverpulley.engine.Clock;
import cloverpulley.engine.Engine;
import cloverpulley.engine.EngineListener;
import cloverpulley.engine.Fleet;
import cloverpulley.engine.ServerList;
import cloverpulley.extproc.EncodedResponse;
import cloverpulley.extproc.ExtProc.ProcessingRequest;
import cloverpulley.extproc.ExternalProcessor;
import cloverpulley.fleet.FleetSource;
import cloverpulley.fleet.HeldList;
import cloverpulley.fleet.StaticListSource;
import cloverpulley.quota.QuotaPlan;
import cloverpulley.quota.service.QuotaConfig;
import cloverpulley.quota.service.QuotaKeeper;
import cloverpulley.quota.service.RateLimitServer;
import cloverpulley.records.Recorder;
import cloverpulley.repeats.AttemptTracker;
import io.grpc.Metadata;
import io.grpc.Server;
import io.grpc.ServerCall;
import io.grpc.ServerServiceDefinition;
import io.grpc.Status;
import io.grpc.health.v1.HealthCheckResponse.ServingStatus;
import io.grpc.netty.GrpcSslContexts;
import io.grpc.netty.NettyServerBuilder;
import io.grpc.protobuf.services.HealthStatusManager;
import io.grpc.protobuf.services.ProtoReflectionServiceV1;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.ssl.ClientAuth;
import io.netty.handler.ssl.SslContextBuilder;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.LongFunction;
import java.util.logging.Logger;
import javax.net.ssl.SSLException;

/** One external processor, from start to stop. */
public final class ProcessorServer implements AutoCloseable {

  private static final Logger LOG = Logger.getLogger(ProcessorServer.class.getName());

  private static final int DISCOVERY_CONNECT_MILLIS = 2000;
  private static final long STOP_CHECK_MILLIS = 10;
  /** After the last stream has been told to end, its last word has this long to leave. */
  private static final long LAST_WORD_MILLIS = 1000;

  private final ProcessorConfig config;
  private final EventLoopGroup engineGroup = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final EventLoop engineLoop = engineGroup.next();
  private final EventLoopGroup acceptors;
  private final EventLoopGroup ioGroup;
  private final HealthStatusManager health = new HealthStatusManager();
  private final Counts counts = new Counts();
  private final AtomicInteger openStreams = new AtomicInteger();
  private final List<StreamLoop> loops = new ArrayList<>();
  private final Clock clock = new Clock();
  private final Fleet fleet = new Fleet(clock);
  private final HeldList held;
  private final RecordsFile records;
  private final Recorder recorder;
  private Engine engine;
  private QuotaKeeper quotas;
  private RateLimitServer rateLimits;
  private Server server;

  private ProcessorServer(ProcessorConfig config, FleetSource source, Recorder recorder) {
    this.config = config;
    this.recorder = recorder;
    held = new HeldList(source.stateFile());
    records = config.recordsFile() == null ? RecordsFile.NONE : new RecordsFile(config.recordsFile(), config.recordsMostBytes());
    // One thread accepts and serves: a second would only pass connections on.
    ioGroup = new MultiThreadIoEventLoopGroup(config.ioThreads(), NioIoHandler.newFactory());
    acceptors = config.ioThreads() == 1 ? ioGroup : new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  }

  /** Starts a processor and returns once it listens. */
  public static ProcessorServer start(ProcessorConfig config, Settings settings, FleetSource source, long seed)
      throws IOException {
    return start(config, settings, source, seed, Recorder.NONE);
  }

  /** The same with somebody who records what happens; whoever made the recorder ends it after this. */
  public static ProcessorServer start(ProcessorConfig config, Settings settings, FleetSource source, long seed, Recorder recorder)
      throws IOException {
    return start(config, settings, source, seed, recorder, null);
  }

  /** The same with quotas before the module's own line; null for none. */
  public static ProcessorServer start(ProcessorConfig config, Settings settings, FleetSource source, long seed, Recorder recorder,
      QuotaConfig quota) throws IOException {
    return start(config, settings, source, n -> new Logic(settings, seed + n), recorder, quota);
  }

  /** The same around other decisions; {@code modules} makes the n-th module of this process. */
  static ProcessorServer start(ProcessorConfig config, Settings settings, FleetSource source,
      LongFunction<Balancer> modules) throws IOException {
    return start(config, settings, source, modules, Recorder.NONE, null);
  }

  private static ProcessorServer start(ProcessorConfig config, Settings settings, FleetSource source, LongFunction<Balancer> modules,
      Recorder recorder, QuotaConfig quota) throws IOException {
    ProcessorServer p = new ProcessorServer(config, source, recorder);
    try {
      p.onEngine(() -> {
        p.wire(settings, source, modules);
        p.quotas = quota == null ? null : new QuotaKeeper(quota, p.engineLoop, p.clock::now);
        return null;
      });
      p.listen(settings);
      p.rateLimits = quota == null || quota.listen() == null ? null : new RateLimitServer(quota, p.quotas, p.engineLoop);
      p.health.setStatus(HealthStatusManager.SERVICE_NAME_ALL_SERVICES, ServingStatus.SERVING);
      p.health.setStatus(ExternalProcessor.SERVICE, ServingStatus.SERVING);
    } catch (IOException | RuntimeException e) {
      p.close();
      throw e;
    }
    LOG.info("processor at " + p.address() + ", " + source.list().members().size() + " upstreams written in the file");
    return p;
  }

  private void wire(Settings settings, FleetSource source, LongFunction<Balancer> modules) {
    Engine.ListSource lists;
    ServerList first = source.initialList();
    if (source.isStatic()) {
      lists = new StaticListSource(fleet, (kind, list) -> engine.serverListUpdated(kind, list));
    } else if (source.sourceFactory() != null) {
      lists = source.sourceFactory().open(engineLoop, first, fleet::revision, this::news);
    } else {
      lists = new Discovery(new Bootstrap().group(engineGroup).channel(NioSocketChannel.class)
          .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, DISCOVERY_CONNECT_MILLIS), source.discovery(), fleet::revision,
          this::news);
    }
    engine = new Engine(engineLoop, clock, settings, modules, fleet, lists, (to, data) -> { },
        recorder.isOn() ? recorder : EngineListener.NO_OP);
    engine.serverListUpdated(ListKind.CACHED, first);
  }

  private void news(ListKind kind, ServerList list) {
    engine.serverListUpdated(kind, list);
    if (kind != ListKind.FAILED) {
      held.write(fleet.list());
    }
  }

  /** The operators' quotas have changed: what was used, is owed and is in flight stays. */
  public void updateQuotas(QuotaPlan plan) {
    if (quotas != null) {
      onEngine(() -> {
        quotas.updatePlan(plan);
        return null;
      });
    }
  }

  /** Where the rate limit service listens; null where it does not. */
  public InetSocketAddress rateLimitAddress() {
    return rateLimits == null ? null : rateLimits.address();
  }

  /** The operators' list has changed; one that comes from discovery is not touched. */
  public void updateServerList(ServerList list) {
    engineLoop.execute(() -> engine.serverListUpdated(ListKind.FULL, list));
  }

  private void listen(Settings settings) throws IOException {
    CallDispatcher calls = new CallDispatcher(engineLoop, clock, engine, fleet, new AttemptTracker(config.repeats()), counts, records, quotas);
    ResponseFactory replies = new ResponseFactory(config);
    ProcessorStream.Shared shared = new ProcessorStream.Shared(config, new RequestParser(config, settings), replies, engineLoop,
        calls, clock, counts, recorder);
    ioGroup.forEach(loop -> loops.add(new StreamLoop(loop, config, replies, openStreams)));
    ProcessorConfig.Limits limits = config.limits();
    NettyServerBuilder builder = NettyServerBuilder.forAddress(config.listen()).bossEventLoopGroup(acceptors)
        .workerEventLoopGroup(ioGroup).channelType(NioServerSocketChannel.class).directExecutor()
        .withOption(ChannelOption.SO_REUSEADDR, true)
        .maxConcurrentCallsPerConnection(limits.streamsPerConnection()).maxInboundMessageSize(limits.messageBytes())
        .maxConnectionIdle(limits.connectionIdleMillis(), TimeUnit.MILLISECONDS)
        .maxConnectionAge(limits.connectionAgeMillis(), TimeUnit.MILLISECONDS)
        .maxConnectionAgeGrace(config.drainMillis(), TimeUnit.MILLISECONDS)
        .permitKeepAliveTime(1, TimeUnit.SECONDS).permitKeepAliveWithoutCalls(true)
        .addService(ServerServiceDefinition.builder(ExternalProcessor.SERVICE)
            .addMethod(ExternalProcessor.PROCESS_ENCODED, (call, headers) -> open(shared, call, headers)).build())
        .addService(health.getHealthService());
    if (config.reusePort()) {
      // A successor may listen before its predecessor has gone.
      builder.withOption(NioChannelOption.of(StandardSocketOptions.SO_REUSEPORT), true);
    }
    if (config.reflection()) {
      builder.addService(ProtoReflectionServiceV1.newInstance());
    }
    if (config.tls() != null) {
      builder.sslContext(tls(config.tls()));
    }
    server = builder.build().start();
  }

  private static io.netty.handler.ssl.SslContext tls(ProcessorConfig.Tls tls) throws SSLException {
    SslContextBuilder builder = GrpcSslContexts.forServer(tls.certificate().toFile(), tls.key().toFile());
    if (tls.clientCa() != null) {
      builder.trustManager(tls.clientCa().toFile()).clientAuth(ClientAuth.REQUIRE);
    }
    return builder.build();
  }

  private ServerCall.Listener<ProcessingRequest> open(ProcessorStream.Shared shared,
      ServerCall<ProcessingRequest, EncodedResponse> call, Metadata headers) {
    StreamLoop loop = ownLoop();
    if (!loop.mayEnter()) {
      call.close(Status.RESOURCE_EXHAUSTED.withDescription("too many streams"), new Metadata());
      return new ServerCall.Listener<ProcessingRequest>() { };
    }
    ProcessorStream stream = new ProcessorStream(shared, call, loop);
    loop.entered(stream);
    return stream;
  }

  /** The loop of the connection that is being served: with a direct executor, the present thread's. */
  private StreamLoop ownLoop() {
    for (StreamLoop loop : loops) {
      if (loop.isCurrent()) {
        return loop;
      }
    }
    throw new IllegalStateException("a call came on no loop of the processor's");
  }

  /** Where it listens. */
  public InetSocketAddress address() {
    return (InetSocketAddress) server.getListenSockets().get(0);
  }

  /** What it has done since its start. */
  public Counts counts() {
    return counts;
  }

  /** Streams that are open. */
  public int openStreams() {
    return openStreams.get();
  }

  /** Calls in hand: without a verdict, or with an attempt whose end is not known. */
  public int pendingCalls() {
    return onEngine(engine::pendingRequests);
  }

  /** Attempts of which no end is known. */
  public int inFlightAttempts() {
    return onEngine(engine::inFlightAttempts);
  }

  /** Whether a call that came now could be sent somewhere; asked on the engine's loop. */
  boolean canServe() {
    return engine.canServe();
  }

  /** Runs on the engine's loop, in its turn. */
  <T> T onEngine(Callable<T> task) {
    try {
      return engineLoop.submit(task).get();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException(e);
    } catch (ExecutionException e) {
      throw new IllegalStateException(e.getCause());
    }
  }

  /**
   * Stops in order: health says so first; new connections are taken for a while yet, for a successor to come up; connections
   * are told to go; what is open goes on for its time; what then still has no verdict gets one. Returns when all is over.
   */
  public void stop() throws InterruptedException {
    LOG.info("stopping");
    health.enterTerminalState();
    TimeUnit.MILLISECONDS.sleep(config.lameMillis());
    server.shutdown();
    server.awaitTermination(config.drainMillis(), TimeUnit.MILLISECONDS);
    long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(LAST_WORD_MILLIS);
    loops.forEach(StreamLoop::stop);
    while (openStreams.get() > 0 && System.nanoTime() < until) {
      TimeUnit.MILLISECONDS.sleep(STOP_CHECK_MILLIS);
    }
    close();
    LOG.info("stopped: " + counts);
  }

  /** Ends at once, whatever is in hand. */
  @Override
  public void close() {
    if (server != null) {
      server.shutdownNow();
      try {
        server.awaitTermination(LAST_WORD_MILLIS, TimeUnit.MILLISECONDS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
    if (rateLimits != null) {
      rateLimits.close();
    }
    if (quotas != null && !engineLoop.isShuttingDown()) {
      onEngine(() -> {
        quotas.close();
        return null;
      });
    }
    held.close();
    records.close();
    ioGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    acceptors.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    engineGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }
}
