package cloverpulley.serve;

import cloverpulley.Balancer.ListKind;
import cloverpulley.Balancer.Settings;
import cloverpulley.Balancer.State;
import cloverpulley.Balancer.RequestClass;
import cloverpulley.Logic;
import cloverpulley.serve.ServerList.Server;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
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

/**
 * Runs the program's own code on requests of its own before the first client comes. Everything is the real thing but the
 * transport, which stays inside the process, and the module, which is thrown away. It is short: at a restart clients wait
 * for it, and a longer one lost more while the balancer was away than cold code does.
 */
final class Warmup {

  /** Enough for all code on a request's way to be compiled, and the longest that a start waits for it. */
  private static final int REQUESTS = 2000;
  private static final long MOST_MILLIS = 900;

  private static final Logger LOG = Logger.getLogger(Warmup.class.getName());

  private Warmup() {}

  static void run(Settings settings) {
    EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, LocalIoHandler.newFactory());
    try {
      Promise<Void> done = group.next().newPromise();
      Client client = new Client(settings, done);
      group.execute(() -> start(group, settings, client));
      if (!done.awaitUninterruptibly(MOST_MILLIS)) {
        LOG.fine("warm-up cut short after " + client.asked + " requests");
      }
    } finally {
      group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }
  }

  private static void start(EventLoopGroup group, Settings settings, Client client) {
    LocalAddress upstream = new LocalAddress(Warmup.class);
    LocalAddress balancer = new LocalAddress(Frontend.class);
    Clock clock = new Clock();
    Fleet fleet = new Fleet(clock);
    Sockets sockets = new Sockets(Integer.MAX_VALUE);
    UpstreamPool pool = new UpstreamPool(new Bootstrap().group(group).channel(LocalChannel.class), sockets,
        settings.limits().connectTimeoutNanos(), TimeUnit.SECONDS.toNanos(1), fleet::isReady);
    Node node = new Node(group.next(), clock, settings, false, n -> new Logic(settings, n), fleet, pool,
        new NoList(), (to, data) -> { });
    Frontend frontend = new Frontend(node, clock, sockets, pool, settings, Long.MAX_VALUE);
    node.news(ListKind.CACHED, new ServerList(0, true,
        List.of(new Server("warm-up", upstream, settings.zone(), 0, State.READY, 1, 0))));
    ServerBootstrap listeners = new ServerBootstrap().group(group).channel(LocalServerChannel.class);
    listeners.childHandler(new ChannelInitializer<Channel>() {
      @Override
      protected void initChannel(Channel channel) {
        channel.pipeline().addLast(new HttpServerCodec(), new HttpObjectAggregator(Frontend.MOST_BODY), new Upstream());
      }
    }).bind(upstream);
    frontend.listen(listeners, balancer).addListener(f -> new Bootstrap().group(group).channel(LocalChannel.class)
        .handler(new ChannelInitializer<Channel>() {
          @Override
          protected void initChannel(Channel channel) {
            channel.pipeline().addLast(new HttpClientCodec(), new HttpObjectAggregator(Frontend.MOST_BODY),
                client);
          }
        }).connect(balancer));
  }

  /** Discovery that never answers. */
  private static final class NoList implements Node.ListSource {
    @Override
    public void watch(boolean on) {}

    @Override
    public void fetch() {}
  }

  /** An upstream that serves everything. */
  private static final class Upstream extends SimpleChannelInboundHandler<FullHttpRequest> {
    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
      FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK,
          request.content().retain());
      response.headers().set(HttpHeaderNames.CONTENT_LENGTH, request.content().readableBytes());
      context.writeAndFlush(response);
    }
  }

  /** A client that asks again as soon as it has its answer. */
  private static final class Client extends SimpleChannelInboundHandler<FullHttpResponse> {
    private final List<RequestClass> classes;
    private final String tenant;
    private final Promise<Void> done;
    private volatile int asked;

    Client(Settings settings, Promise<Void> done) {
      classes = settings.classes();
      tenant = settings.tenants().isEmpty() ? "warm-up" : settings.tenants().get(0).name();
      this.done = done;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
      ask(context);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
      if (asked < REQUESTS) {
        ask(context);
      } else {
        done.trySuccess(null);
      }
    }

    private void ask(ChannelHandlerContext context) {
      RequestClass type = classes.get(asked % classes.size());
      FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, Frontend.API,
          Unpooled.wrappedBuffer(new byte[200]));
      request.headers().set(HttpHeaderNames.HOST, "warm-up").set(Frontend.ID, "warm-up-" + asked)
          .set(Frontend.CLASS, type.name()).set(Frontend.TENANT, tenant).set(Frontend.HINT, 10_000)
          .set(Frontend.IDEMPOTENCY_KEY, asked).set(HttpHeaderNames.COOKIE, Frontend.KEY_COOKIE + "=" + asked % 100)
          .set(Frontend.EXPIRES, TimeUnit.NANOSECONDS.toMillis(type.deadlineNanos()))
          .set(HttpHeaderNames.CONTENT_LENGTH, 200);
      asked++;
      context.writeAndFlush(request);
    }
  }
}
