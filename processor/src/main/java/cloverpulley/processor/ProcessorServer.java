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

/** An Envoy external processor (ext_proc) server. */
public final class ProcessorServer implements AutoCloseable {

  private static final Logger LOG = Logger.getLogger(ProcessorServer.class.getName());

  private static final int DISCOVERY_CONNECT_MILLIS = 2000;
  private static final long STOP_CHECK_MILLIS = 10;
  /** How long the last messages of the streams may take to be flushed at shutdown. */
  private static final long FINAL_FLUSH_MILLIS = 1000;

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
  private final HeldList cachedList;
  private final RecordsFile recordsFile;
  private final Recorder recorder;
  private Engine engine;
  private QuotaKeeper quotaKeeper;
  private RateLimitServer rateLimitServer;
  private Server server;

  private ProcessorServer(ProcessorConfig config, FleetSource source, Recorder recorder) {
    this.config = config;
    this.recorder = recorder;
    cachedList = new HeldList(source.stateFile());
    recordsFile = config.recordsFile() == null ? RecordsFile.NONE : new RecordsFile(config.recordsFile(), config.recordsMaxBytes());
    // With one I/O thread, that thread accepts connections too: a second would only hand them over.
    ioGroup = new MultiThreadIoEventLoopGroup(config.ioThreads(), NioIoHandler.newFactory());
    acceptors = config.ioThreads() == 1 ? ioGroup : new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  }

  /** Starts a processor and returns once it listens. */
  public static ProcessorServer start(ProcessorConfig config, Settings settings, FleetSource source, long seed)
      throws IOException {
    return start(config, settings, source, seed, Recorder.NONE);
  }

  /** The same with a recorder, which the caller closes after the processor. */
  public static ProcessorServer start(ProcessorConfig config, Settings settings, FleetSource source, long seed, Recorder recorder)
      throws IOException {
    return start(config, settings, source, seed, recorder, null);
  }

  /** The same with quotas, which are checked before the module's own admission rate; null for none. */
  public static ProcessorServer start(ProcessorConfig config, Settings settings, FleetSource source, long seed, Recorder recorder,
      QuotaConfig quotaConfig) throws IOException {
    return start(config, settings, source, n -> new Logic(settings, seed + n), recorder, quotaConfig);
  }

  /** The same with other modules; {@code moduleFactory} creates the n-th module of this process. */
  static ProcessorServer start(ProcessorConfig config, Settings settings, FleetSource source,
      LongFunction<Balancer> moduleFactory) throws IOException {
    return start(config, settings, source, moduleFactory, Recorder.NONE, null);
  }

  private static ProcessorServer start(ProcessorConfig config, Settings settings, FleetSource source, LongFunction<Balancer> moduleFactory,
      Recorder recorder, QuotaConfig quotaConfig) throws IOException {
    ProcessorServer processor = new ProcessorServer(config, source, recorder);
    try {
      processor.onEngine(() -> {
        processor.startEngine(settings, source, moduleFactory);
        processor.quotaKeeper = quotaConfig == null ? null : new QuotaKeeper(quotaConfig, processor.engineLoop, processor.clock::now);
        return null;
      });
      processor.listen(settings);
      processor.rateLimitServer = quotaConfig == null || quotaConfig.listen() == null ? null
          : new RateLimitServer(quotaConfig, processor.quotaKeeper, processor.engineLoop);
      processor.health.setStatus(HealthStatusManager.SERVICE_NAME_ALL_SERVICES, ServingStatus.SERVING);
      processor.health.setStatus(ExternalProcessor.SERVICE, ServingStatus.SERVING);
    } catch (IOException | RuntimeException e) {
      processor.close();
      throw e;
    }
    LOG.info("processor at " + processor.address() + ", " + source.list().members().size() + " upstreams in the configuration file");
    return processor;
  }

  private void startEngine(Settings settings, FleetSource source, LongFunction<Balancer> moduleFactory) {
    Engine.ListSource listSource;
    ServerList initialList = source.initialList();
    if (source.isStatic()) {
      listSource = new StaticListSource(fleet, (kind, list) -> engine.serverListUpdated(kind, list));
    } else if (source.sourceFactory() != null) {
      listSource = source.sourceFactory().open(engineLoop, initialList, fleet::revision, this::onListUpdate);
    } else {
      listSource = new Discovery(new Bootstrap().group(engineGroup).channel(NioSocketChannel.class)
          .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, DISCOVERY_CONNECT_MILLIS), source.discovery(), fleet::revision,
          this::onListUpdate);
    }
    engine = new Engine(engineLoop, clock, settings, moduleFactory, fleet, listSource, (to, data) -> { },
        recorder.isOn() ? recorder : EngineListener.NO_OP);
    engine.serverListUpdated(ListKind.CACHED, initialList);
  }

  private void onListUpdate(ListKind kind, ServerList list) {
    engine.serverListUpdated(kind, list);
    if (kind != ListKind.FAILED) {
      cachedList.write(fleet.list());
    }
  }

  /** Replaces the quota plan; usage, outstanding debts and requests in flight are kept. */
  public void updateQuotas(QuotaPlan plan) {
    if (quotaKeeper != null) {
      onEngine(() -> {
        quotaKeeper.updatePlan(plan);
        return null;
      });
    }
  }

  /** The address of the rate limit service; null if it is not enabled. */
  public InetSocketAddress rateLimitAddress() {
    return rateLimitServer == null ? null : rateLimitServer.address();
  }

  /** Replaces the server list of the configuration file; not to be called if the list comes from discovery. */
  public void updateServerList(ServerList list) {
    engineLoop.execute(() -> engine.serverListUpdated(ListKind.FULL, list));
  }

  private void listen(Settings settings) throws IOException {
    CallDispatcher dispatcher = new CallDispatcher(engineLoop, clock, engine, fleet, new AttemptTracker(config.attemptTracking()), counts,
        recordsFile, quotaKeeper);
    ResponseFactory responseFactory = new ResponseFactory(config);
    ProcessorStream.Shared shared = new ProcessorStream.Shared(config, new RequestParser(config, settings), responseFactory, engineLoop,
        dispatcher, clock, counts, recorder);
    ioGroup.forEach(loop -> loops.add(new StreamLoop(loop, config, responseFactory, openStreams)));
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
            .addMethod(ExternalProcessor.PROCESS_ENCODED, (call, headers) -> openStream(shared, call, headers)).build())
        .addService(health.getHealthService());
    if (config.reusePort()) {
      // A successor may listen while its predecessor still does.
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

  private ServerCall.Listener<ProcessingRequest> openStream(ProcessorStream.Shared shared,
      ServerCall<ProcessingRequest, EncodedResponse> call, Metadata headers) {
    StreamLoop loop = currentLoop();
    if (!loop.tryOpen()) {
      call.close(Status.RESOURCE_EXHAUSTED.withDescription("too many streams"), new Metadata());
      return new ServerCall.Listener<ProcessingRequest>() { };
    }
    ProcessorStream stream = new ProcessorStream(shared, call, loop);
    loop.register(stream);
    return stream;
  }

  /** The loop of the current connection: with a direct executor, that of the current thread. */
  private StreamLoop currentLoop() {
    for (StreamLoop loop : loops) {
      if (loop.isCurrent()) {
        return loop;
      }
    }
    throw new IllegalStateException("not on an I/O thread of the processor");
  }

  /** The address that it listens on. */
  public InetSocketAddress address() {
    return (InetSocketAddress) server.getListenSockets().get(0);
  }

  /** Counters since its start. */
  public Counts counts() {
    return counts;
  }

  /** The number of open streams. */
  public int openStreams() {
    return openStreams.get();
  }

  /** The number of pending calls: undecided, or with an attempt that has not ended. */
  public int pendingCalls() {
    return onEngine(engine::pendingRequests);
  }

  /** The number of attempts that have not ended. */
  public int inFlightAttempts() {
    return onEngine(engine::inFlightAttempts);
  }

  /** Whether an upstream could be selected for a new call now. Must be called on the engine's loop. */
  boolean canServe() {
    return engine.canServe();
  }

  /** Runs a task on the engine's loop and waits for its result. */
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
   * Shuts down gracefully: the health service reports it first; new connections are still accepted for a fixed time, in which a
   * successor can start; then clients are asked to reconnect, and open streams may continue for the drain time; calls that are undecided
   * after it get a final reply. Returns when the processor has stopped.
   */
  public void stop() throws InterruptedException {
    LOG.info("stopping");
    health.enterTerminalState();
    TimeUnit.MILLISECONDS.sleep(config.lameDuckMillis());
    server.shutdown();
    server.awaitTermination(config.drainMillis(), TimeUnit.MILLISECONDS);
    long flushDeadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(FINAL_FLUSH_MILLIS);
    loops.forEach(StreamLoop::stop);
    while (openStreams.get() > 0 && System.nanoTime() < flushDeadline) {
      TimeUnit.MILLISECONDS.sleep(STOP_CHECK_MILLIS);
    }
    close();
    LOG.info("stopped: " + counts);
  }

  /** Stops at once, whatever is pending. */
  @Override
  public void close() {
    if (server != null) {
      server.shutdownNow();
      try {
        server.awaitTermination(FINAL_FLUSH_MILLIS, TimeUnit.MILLISECONDS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
    if (rateLimitServer != null) {
      rateLimitServer.close();
    }
    if (quotaKeeper != null && !engineLoop.isShuttingDown()) {
      onEngine(() -> {
        quotaKeeper.close();
        return null;
      });
    }
    cachedList.close();
    recordsFile.close();
    ioGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    acceptors.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    engineGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }
}
