package cloverpulley.serve;

import cloverpulley.Balancer.Effect;
import cloverpulley.Balancer.RequestClass;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.cookie.Cookie;
import io.netty.handler.codec.http.cookie.ServerCookieDecoder;
import java.io.IOException;
import java.net.SocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.logging.Level;
import java.util.logging.Logger;
import java.util.stream.Collectors;

/** The clients' side: takes requests in, hands them to the node, and writes the final answers. */
final class Frontend {

  private static final Logger LOG = Logger.getLogger(Frontend.class.getName());

  static final String EXPIRES = "X-Expires-In-Ms";
  static final String HEALTH = "/healthz";
  /** The largest body either way. */
  static final int MOST_BODY = 64 * 1024;
  static final String API = "/api";
  static final String ID = "X-Trace-Id";
  static final String CLASS = "X-Qos";
  static final String TENANT = "X-Customer";
  private static final String RETRY = "X-Second-Try";
  static final String HINT = "X-Size-Hint";
  static final String IDEMPOTENCY_KEY = "Idempotency-Key";
  static final String KEY_COOKIE = "sid";
  /** The most digits of a header that is a whole number: more would not be a time or an amount of work. */
  private static final int MOST_DIGITS = 9;
  /** The client's time runs from when it sent the request, and the answer has to get back to it. */
  private static final long WAY_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

  private final Node node;
  private final Clock clock;
  private final Sockets sockets;
  private final UpstreamPool pool;
  private final Map<String, RequestClass> classes;
  private final Set<Connection> connections = new LinkedHashSet<>();
  /** Connections between requests, the one idle longest first. */
  private final Set<Connection> idle = new LinkedHashSet<>();
  private Channel listener;
  private boolean ready;
  private boolean stopping;

  Frontend(Node node, Clock clock, Sockets sockets, UpstreamPool pool, List<RequestClass> classes) {
    this.node = node;
    this.clock = clock;
    this.sockets = sockets;
    this.pool = pool;
    this.classes = classes.stream().collect(Collectors.toMap(RequestClass::name, Function.identity()));
  }

  ChannelFuture listen(ServerBootstrap bootstrap, SocketAddress address) {
    ChannelFuture bound = bootstrap.clone().childHandler(new ChannelInitializer<Channel>() {
      @Override
      protected void initChannel(Channel channel) {
        channel.pipeline().addLast(new HttpServerCodec(), new HttpObjectAggregator(MOST_BODY),
            new Connection(channel));
        accepted(channel);
      }
    }).bind(address);
    listener = bound.channel();
    return bound;
  }

  /** From here on {@code /healthz} may say that this balancer serves. */
  void ready() {
    ready = true;
  }

  /** From here on every answer closes its connection and {@code /healthz} sends clients elsewhere. */
  void stopping() {
    stopping = true;
  }

  /** Accepts no more, and closes the connections that are owed nothing. */
  void close() {
    listener.close();
    List.copyOf(idle).forEach(c -> c.channel.close());
  }

  boolean hasConnections() {
    return !connections.isEmpty();
  }

  /** Guards the descriptors: what the machine accepted counts as taken, so a client comes before what is idle. */
  private void accepted(Channel channel) {
    sockets.opened(channel);
    if (!sockets.roomForUpstream()) {
      pool.closeOldest();
    }
    if (!sockets.roomForClient() && !idle.isEmpty()) {
      idle.iterator().next().channel.close();
    }
  }

  /** One client's connection: a request at a time, those that come early wait for their turn. */
  private final class Connection extends SimpleChannelInboundHandler<FullHttpRequest> {

    private final Channel channel;
    private final ArrayDeque<FullHttpRequest> early = new ArrayDeque<>();
    private boolean busy;
    private boolean keepAlive;
    private Exchange exchange;

    Connection(Channel channel) {
      this.channel = channel;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
      connections.add(this);
      idle.add(this);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
      if (busy) {
        early.add(request.retain());
        channel.config().setAutoRead(false);
      } else {
        take(request);
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      connections.remove(this);
      idle.remove(this);
      early.forEach(FullHttpRequest::release);
      early.clear();
      if (exchange != null) {
        node.clientGone(exchange);
        exchange = null;
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      if (!(cause instanceof IOException)) {
        LOG.log(Level.WARNING, "connection from " + channel.remoteAddress(), cause);
      }
      context.close();
    }

    private void take(FullHttpRequest request) {
      busy = true;
      idle.remove(this);
      keepAlive = HttpUtil.isKeepAlive(request) && request.decoderResult().isSuccess();
      String uri = request.uri();
      int query = uri.indexOf('?');
      String path = query < 0 ? uri : uri.substring(0, query);
      if (!request.decoderResult().isSuccess()) {
        answer(HttpResponseStatus.BAD_REQUEST, "malformed request");
      } else if (path.equals(HEALTH)) {
        boolean serves = ready && !stopping && node.canServe();
        answer(serves ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE, serves ? "ok" : "not serving");
      } else if (!path.equals(API)) {
        answer(HttpResponseStatus.NOT_FOUND, "no such path");
      } else if (!request.method().equals(HttpMethod.GET) && !request.method().equals(HttpMethod.POST)) {
        answer(HttpResponseStatus.METHOD_NOT_ALLOWED, "GET and POST only");
      } else {
        serve(request);
      }
    }

    private void serve(FullHttpRequest request) {
      HttpHeaders headers = request.headers();
      RequestClass type = classes.get(headers.get(CLASS, ""));
      long expires = headers.contains(EXPIRES) ? wholeNumber(headers.get(EXPIRES)) : -1;
      if (headers.get(ID, "").isEmpty()) {
        answer(HttpResponseStatus.BAD_REQUEST, ID + " is missing");
      } else if (type == null) {
        answer(HttpResponseStatus.BAD_REQUEST, CLASS + " names no known class");
      } else if (headers.contains(EXPIRES) && expires < 0) {
        answer(HttpResponseStatus.BAD_REQUEST, EXPIRES + " is not a number of milliseconds");
      } else if (type.effect() == Effect.KEYED && headers.get(IDEMPOTENCY_KEY, "").isEmpty()) {
        // Guards a keyed class: without the key no upstream could drop a repeat.
        answer(HttpResponseStatus.BAD_REQUEST, IDEMPOTENCY_KEY + " is missing");
      } else {
        long wait = expires < 0 ? type.deadlineNanos() : TimeUnit.MILLISECONDS.toNanos(expires);
        long hint = Math.max(0, wholeNumber(headers.get(HINT, "0")));
        exchange = new Exchange(type, headers.get(TENANT), key(headers), TimeUnit.MICROSECONDS.toNanos(hint),
            "1".equals(headers.get(RETRY)), clock.now() + wait - WAY_NANOS, request.retain(), this::answer);
        node.take(exchange);
      }
    }

    private String key(HttpHeaders headers) {
      for (String header : headers.getAll(HttpHeaderNames.COOKIE)) {
        for (Cookie cookie : ServerCookieDecoder.LAX.decode(header)) {
          if (cookie.name().equals(KEY_COOKIE)) {
            return cookie.value();
          }
        }
      }
      return null;
    }

    private void answer(HttpResponseStatus status, String text) {
      ByteBuf content = Unpooled.copiedBuffer(text + "\n", StandardCharsets.UTF_8);
      answer(status, 0, "text/plain", content);
      content.release();
    }

    private void answer(HttpResponseStatus status, long retryAfterNanos, CharSequence type, ByteBuf content) {
      exchange = null;
      FullHttpResponse response =
          new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, content.retainedDuplicate());
      response.headers().set(HttpHeaderNames.CONTENT_LENGTH, content.readableBytes());
      if (type != null) {
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, type);
      }
      if (retryAfterNanos > 0) {
        response.headers().set(HttpHeaderNames.RETRY_AFTER,
            String.format(Locale.ROOT, "%.3f", Math.ceil(retryAfterNanos / 1e6) / 1e3));
      }
      boolean keep = keepAlive && !stopping;
      HttpUtil.setKeepAlive(response, keep);
      channel.writeAndFlush(response).addListener(f -> {
        if (!keep || !f.isSuccess()) {
          channel.close();
        } else {
          next();
        }
      });
    }

    private void next() {
      busy = false;
      FullHttpRequest request = early.poll();
      if (request != null) {
        take(request);
        request.release();
      } else if (channel.isActive()) {
        idle.add(this);
      }
      if (early.isEmpty()) {
        channel.config().setAutoRead(true);
      }
    }
  }

  /** The number, or -1 for anything but digits. */
  private static long wholeNumber(String text) {
    boolean digits = !text.isEmpty() && text.length() <= MOST_DIGITS
        && text.chars().allMatch(c -> c >= '0' && c <= '9');
    return digits ? Long.parseLong(text) : -1;
  }
}
