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
 * Runs the program's own code on requests of its own before the first client comes. Everything is the real thing but the
 * transport, which stays inside the process, and the module, which is thrown away.
 *
 * <p>Guards against a process that serves while its code is still interpreted: with part of a core it is then the bottleneck
 * itself, and its own delay looks like that of slow upstreams. It is bounded by work, not by the clock: so much time at part of
 * a core is little work, and left the code cold. It would do harm where a start is urgent and the requests are few: clients
 * wait for all of it.
 */
final class Warmup {

  /**
   * Enough to load and link all on a request's way and to compile what is used most. Guards against long starts: after a mass
   * death who is left bears all until the others are back, and of 200 requests the last 160 cost a third of a start. What is
   * compiled later makes the loop up to 60 ms late in the first half second and no more.
   */
  static final int REQUESTS = 40;
  /** Beside a predecessor that serves nobody waits: as many as make a start's first seconds like any others, and no longer than the
   * half of the 6 s in which a successor has to be ready. */
  private static final int REQUESTS_BESIDE = 400;
  private static final long MOST_MILLIS_BESIDE = 2500;
  /** Clients at one time, as in service: a lone one finds its upstream's connection still at rest and opens a new one each time. */
  private static final int CLIENTS = 16;
  private static final int UPSTREAMS = 4;
  /** A start waits no longer than this: bounds it on a machine that is far slower than any seen. */
  private static final long MOST_MILLIS = 5000;

  private static final Logger LOG = Logger.getLogger(Warmup.class.getName());

  private Warmup() {}

  /** {@code beside} tells whether a predecessor serves meanwhile. */
  static void run(Settings settings, boolean beside) {
    int requests = beside ? REQUESTS_BESIDE : REQUESTS;
    Count count = run(settings, requests, beside ? MOST_MILLIS_BESIDE : MOST_MILLIS);
    if (count.answered < requests) {
      LOG.info("warm-up cut short after " + count.answered + " requests");
    }
  }

  /** How many requests its clients have asked, and how many of them were answered and served. */
  record Count(int asked, int answered, int served) {}

  static Count run(Settings settings, int requests, long mostMillis) {
    EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, LocalIoHandler.newFactory());
    Promise<Void> done = group.next().newPromise();
    Client client = new Client(settings, requests, done);
    try {
      group.execute(() -> start(group, settings, client));
      done.awaitUninterruptibly(mostMillis);
    } finally {
      // First the clients: they would go on against upstreams that are closed already, and the start would wait for them.
      group.submit(() -> client.over = true).syncUninterruptibly();
      group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }
    return new Count(client.asked, client.answered, client.served);
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
    Engine engine = new Engine(group.next(), clock, settings, n -> new Logic(settings, n), fleet, new NoList(),
        (to, data) -> { }, counts);
    engine.addTransport(pool);
    Frontend frontend = new Frontend(new HttpExchange.Front(engine, pool, false), clock, sockets, settings,
        new RequestReader.Budgets(new BufferBudget(Long.MAX_VALUE), new BufferBudget(Long.MAX_VALUE)), counts);
    engine.serverListUpdated(ListKind.CACHED, new ServerList(0, true,
        IntStream.range(0, UPSTREAMS).mapToObj(i -> new Server("warm-up-" + i, upstream, settings.zone(), 0, State.READY, 1, 0))
            .toList()));
    ServerBootstrap listeners = new ServerBootstrap().group(group).channel(LocalServerChannel.class);
    listeners.childHandler(new ChannelInitializer<Channel>() {
      @Override
      protected void initChannel(Channel channel) {
        channel.pipeline().addLast(new HttpServerCodec(), new HttpObjectAggregator(Frontend.MAX_BUFFERED_RESPONSE), new Upstream());
      }
    }).bind(upstream);
    frontend.listen(listeners, balancer).addListener(f -> {
      Bootstrap clients = new Bootstrap().group(group).channel(LocalChannel.class)
          .handler(new ChannelInitializer<Channel>() {
            @Override
            protected void initChannel(Channel channel) {
              channel.pipeline().addLast(new HttpClientCodec(), new HttpObjectAggregator(Frontend.MAX_BUFFERED_RESPONSE), client);
            }
          });
      for (int i = 0; i < CLIENTS; i++) {
        clients.connect(balancer);
      }
    });
  }

  /** Discovery that never answers. */
  private static final class NoList implements Engine.ListSource {
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
      // In its turn: inside the process an answer could else come before the sending of its request is known to have ended,
      // and is then taken for another's. Its upstream would be left out for that, and the start would wait.
      context.executor().execute(() -> context.writeAndFlush(response));
    }
  }

  /** Clients that ask again as soon as they have their answers. */
  @Sharable
  private static final class Client extends SimpleChannelInboundHandler<FullHttpResponse> {
    private final List<RequestClass> classes;
    private final String tenant;
    private final Promise<Void> done;
    private final int requests;
    private int asked;
    private int answered;
    private int served;
    private boolean over;

    Client(Settings settings, int requests, Promise<Void> done) {
      this.requests = requests;
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
      served += response.status().equals(HttpResponseStatus.OK) ? 1 : 0;
      if (++answered == requests) {
        done.trySuccess(null);
      }
      ask(context);
    }

    private void ask(ChannelHandlerContext context) {
      if (over || asked == requests) {
        return;
      }
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
