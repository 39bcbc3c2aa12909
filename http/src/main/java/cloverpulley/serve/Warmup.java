package cloverpulley.serve;

import cloverpulley.Balancer.ListKind;
import cloverpulley.Balancer.RequestClass;
import cloverpulley.Balancer.Settings;
import cloverpulley.Balancer.State;
import cloverpulley.Logic;
import cloverpulley.engine.Clock;
import cloverpulley.engine.Engine;
import cloverpulley.engine.Fleet;
import cloverpulley.engine.ServerList;
import cloverpulley.engine.ServerList.Server;
import cloverpulley.engine.SocketBudget;
import cloverpulley.handover.RequestIdClaims;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler.Sharable;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.local.LocalAddress;
import io.netty.channel.local.LocalChannel;
import io.netty.channel.local.LocalIoHandler;
import io.netty.channel.local.LocalServerChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.Promise;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.logging.Logger;
import java.util.stream.IntStream;

/**
 * Sends synthetic requests through the balancer before the first client connects. All components are the production ones except
 * for the in-process transport and the module instance, which is discarded afterwards.
 *
 * <p>A process that serves while its code is still interpreted is a bottleneck on a fraction of a core, and its own latency looks
 * like that of slow upstreams. The warm-up is bounded by the number of requests rather than by time: on a fraction of a core
 * a fixed time is little work, and left the code uncompiled. It costs startup time, as clients wait until it is done, which does not pay off
 * where a start is urgent and requests are few.
 */
final class Warmup {

  /**
   * Enough to load and link all classes of the request path and to compile the hottest code. More would lengthen starts: after a mass
   * failure the surviving balancers carry all load until the others are back, and of 200 requests the last 160 took a third of the start.
   * Code compiled later delays the event loop by at most 60 ms in the first half second.
   */
  static final int REQUESTS = 40;
  /** While a predecessor serves, no client waits: enough requests that the first seconds are like any others, limited to less than
   * half of the 6 s within which a successor has to be ready. */
  private static final int REQUESTS_WITH_PREDECESSOR = 400;
  private static final long MAX_MILLIS_WITH_PREDECESSOR = 2500;
  /** Concurrent clients, as in production. A single one would open a new upstream connection each time, as the last one can't be reused yet. */
  private static final int CLIENTS = 16;
  private static final int UPSTREAMS = 4;
  /** Limits the delay of a start on a machine that is far slower than any measured. */
  private static final long MAX_MILLIS = 5000;

  private static final Logger LOG = Logger.getLogger(Warmup.class.getName());

  private Warmup() {}

  /** {@code hasPredecessor} is whether a predecessor process serves meanwhile. */
  static void run(Settings settings, boolean hasPredecessor) {
    int requests = hasPredecessor ? REQUESTS_WITH_PREDECESSOR : REQUESTS;
    Result result = run(settings, requests, hasPredecessor ? MAX_MILLIS_WITH_PREDECESSOR : MAX_MILLIS);
    if (result.answered < requests) {
      LOG.info("warm-up cut short after " + result.answered + " requests");
    }
  }

  /** Number of requests sent, of responses received, and of those with status 200. */
  record Result(int sent, int answered, int served) {}

  static Result run(Settings settings, int requests, long maxMillis) {
    EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, LocalIoHandler.newFactory());
    Promise<Void> done = group.next().newPromise();
    Client client = new Client(settings, requests, done);
    try {
      group.execute(() -> start(group, settings, client));
      done.awaitUninterruptibly(maxMillis);
    } finally {
      // Clients stop first. They would otherwise keep sending to upstreams that are already closed, and delay the start.
      group.submit(() -> client.stopped = true).syncUninterruptibly();
      group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }
    return new Result(client.sent, client.answered, client.served);
  }

  private static void start(EventLoopGroup group, Settings settings, Client client) {
    LocalAddress upstream = new LocalAddress(Warmup.class);
    LocalAddress balancer = new LocalAddress(Frontend.class);
    Clock clock = new Clock();
    Fleet fleet = new Fleet(clock);
    SocketBudget sockets = new SocketBudget(Integer.MAX_VALUE);
    Counts counts = new Counts(fleet, 0);
    UpstreamPool pool = new UpstreamPool(new Bootstrap().group(group).channel(LocalChannel.class), sockets,
        settings.limits().connectTimeoutNanos(), TimeUnit.SECONDS.toNanos(1), fleet::isReady, false,
        new BufferBudget(Long.MAX_VALUE), counts);
    Engine engine = new Engine(group.next(), clock, settings, n -> new Logic(settings, n), fleet, new NoOpListSource(),
        (to, data) -> { }, counts);
    engine.addTransport(pool);
    Frontend frontend = new Frontend(new HttpExchange.Context(engine, pool, false), clock, sockets, settings,
        new RequestReader.Budgets(new BufferBudget(Long.MAX_VALUE), new BufferBudget(Long.MAX_VALUE)), new RequestIdClaims(), counts);
    engine.serverListUpdated(ListKind.CACHED, new ServerList(0, true,
        IntStream.range(0, UPSTREAMS).mapToObj(i -> new Server("warm-up-" + i, upstream, settings.zone(), 0, State.READY, 1, 0))
            .toList()));
    ServerBootstrap serverBootstrap = new ServerBootstrap().group(group).channel(LocalServerChannel.class);
    serverBootstrap.childHandler(new ChannelInitializer<Channel>() {
      @Override
      protected void initChannel(Channel channel) {
        channel.pipeline().addLast(new HttpServerCodec(), new HttpObjectAggregator(ResponseForwarding.MAX_SHORT_BYTES), new Upstream());
      }
    }).bind(upstream);
    frontend.listen(serverBootstrap, balancer).addListener(f -> {
      Bootstrap clients = new Bootstrap().group(group).channel(LocalChannel.class)
          .handler(new ChannelInitializer<Channel>() {
            @Override
            protected void initChannel(Channel channel) {
              channel.pipeline().addLast(new HttpClientCodec(), new HttpObjectAggregator(ResponseForwarding.MAX_SHORT_BYTES), client);
            }
          });
      for (int i = 0; i < CLIENTS; i++) {
        clients.connect(balancer);
      }
    });
  }

  /** A discovery source that never responds. */
  private static final class NoOpListSource implements Engine.ListSource {
    @Override
    public void watch(boolean on) {}

    @Override
    public void fetch() {}
  }

  /** An upstream that responds to every request with 200. */
  private static final class Upstream extends SimpleChannelInboundHandler<FullHttpRequest> {
    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
      FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK,
          request.content().retain());
      response.headers().set(HttpHeaderNames.CONTENT_LENGTH, request.content().readableBytes());
      // Deferred: in-process, the response could otherwise arrive before the write of its request is reported as complete. It would
      // be taken for the response to another request, its upstream would be ejected, and the start would be delayed.
      context.executor().execute(() -> context.writeAndFlush(response));
    }
  }

  /** Clients that send the next request as soon as they receive a response. */
  @Sharable
  private static final class Client extends SimpleChannelInboundHandler<FullHttpResponse> {
    private final List<RequestClass> classes;
    private final String tenant;
    private final Promise<Void> done;
    private final int requests;
    private int sent;
    private int answered;
    private int served;
    private boolean stopped;

    Client(Settings settings, int requests, Promise<Void> done) {
      this.requests = requests;
      classes = settings.classes();
      tenant = settings.tenants().isEmpty() ? "warm-up" : settings.tenants().get(0).name();
      this.done = done;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
      sendNext(context);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
      served += response.status().equals(HttpResponseStatus.OK) ? 1 : 0;
      if (++answered == requests) {
        done.trySuccess(null);
      }
      sendNext(context);
    }

    private void sendNext(ChannelHandlerContext context) {
      if (stopped || sent == requests) {
        return;
      }
      RequestClass type = classes.get(sent % classes.size());
      FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, Frontend.API,
          Unpooled.wrappedBuffer(new byte[200]));
      request.headers().set(HttpHeaderNames.HOST, "warm-up").set(RequestHeaders.ID, "warm-up-" + sent)
          .set(RequestHeaders.CLASS, type.name()).set(RequestHeaders.TENANT, tenant).set(RequestHeaders.HINT, 10_000)
          .set(RequestHeaders.IDEMPOTENCY_KEY, sent).set(HttpHeaderNames.COOKIE, RequestHeaders.KEY_COOKIE + "=" + sent % 100)
          .set(RequestHeaders.EXPIRES, TimeUnit.NANOSECONDS.toMillis(type.deadlineNanos()))
          .set(HttpHeaderNames.CONTENT_LENGTH, 200);
      sent++;
      context.writeAndFlush(request);
    }
  }
}
