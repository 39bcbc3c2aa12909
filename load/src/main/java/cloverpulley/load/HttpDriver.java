package cloverpulley.load;

import cloverpulley.load.Plan.Effect;
import cloverpulley.load.RequestGenerator.PlannedRequest;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.Future;
import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * HTTP/1.1 client that follows PROTOCOL: connections are kept alive and carry one request at a time. When all of them are busy, more are
 * opened up to the plan's limit; beyond it, requests wait for a connection until they time out.
 */
final class HttpDriver implements Driver {

  private static final int MAX_BODY_BYTES = 1 << 20;
  private static final int MAX_WAITING = 100_000;
  private static final int OK = 200;
  private static final int TOO_MANY_REQUESTS = 429;
  private static final int SERVICE_UNAVAILABLE = 503;

  private final Plan plan;
  private final EventLoop loop;
  private final Bootstrap bootstrap;
  private final String host;
  private final ArrayDeque<Connection> idle = new ArrayDeque<>();
  private final ArrayDeque<Attempt> waiting = new ArrayDeque<>();
  private final Set<Connection> open = new HashSet<>();
  private int connecting;
  private boolean closed;

  HttpDriver(Plan plan, EventLoop loop) {
    this.plan = plan;
    this.loop = loop;
    host = plan.target().address().getAddress().getHostAddress() + ":" + plan.target().address().getPort();
    bootstrap = new Bootstrap().group(loop).channel(NioSocketChannel.class).option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) plan.target().connectMillis())
        .remoteAddress(plan.target().address()).handler(new ChannelInitializer<Channel>() {
          @Override
          protected void initChannel(Channel channel) {
            channel.pipeline().addLast(new HttpClientCodec(), new HttpObjectAggregator(MAX_BODY_BYTES), new Connection(channel));
          }
        });
  }

  /** An attempt; its callback is invoked once. */
  private static final class Attempt {
    private final PlannedRequest planned;
    private final String id;
    private final int attempt;
    private final AttemptCallback callback;
    private Connection connection;
    private Future<?> timeout;
    private boolean completed;

    Attempt(PlannedRequest planned, String id, int attempt, AttemptCallback callback) {
      this.planned = planned;
      this.id = id;
      this.attempt = attempt;
      this.callback = callback;
    }

    void complete(Outcome outcome, double retryAfterMillis) {
      if (!completed) {
        completed = true;
        timeout.cancel(false);
        callback.onAttemptEnd(outcome, retryAfterMillis);
      }
    }
  }

  @Override
  public void send(PlannedRequest planned, String id, int attempt, AttemptCallback callback) {
    Attempt t = new Attempt(planned, id, attempt, callback);
    t.timeout = loop.schedule(() -> {
      Connection connection = t.connection;
      t.complete(Outcome.TIMEOUT, 0);
      if (connection != null) {
        connection.channel.close(); // A client that times out closes the connection.
      }
    }, (long) (planned.timeoutMillis() * 1000), TimeUnit.MICROSECONDS);
    Connection available = closed ? null : idle.pollFirst();
    if (closed || waiting.size() >= MAX_WAITING) {
      t.complete(Outcome.NO_ROOM, 0);
    } else if (available != null) {
      available.send(t);
    } else {
      waiting.add(t);
      openMoreConnections();
    }
  }

  private void openMoreConnections() {
    while (!closed && connecting < waiting.size() && open.size() + connecting < plan.target().maxConnections()) {
      connecting++;
      ChannelFuture connect = bootstrap.connect();
      connect.addListener(f -> {
        connecting--;
        if (f.isSuccess()) {
          Connection established = connect.channel().pipeline().get(Connection.class);
          open.add(established);
          established.becomeIdle();
        } else {
          // Fails only the attempt that has waited longest: a connection is being opened for each of the others.
          Attempt t = nextWaiting();
          if (t != null) {
            t.complete(Outcome.NO_CONNECTION, 0);
          }
          openMoreConnections();
        }
      });
    }
  }

  private Attempt nextWaiting() {
    Attempt t = waiting.poll();
    while (t != null && t.completed) {
      t = waiting.poll();
    }
    return t;
  }

  private FullHttpRequest request(Attempt t) {
    Plan.RequestClass requestClass = plan.classes().get(t.planned.classIndex());
    boolean safe = requestClass.effect() == Effect.SAFE;
    ByteBuf body = safe || t.planned.bytes() == 0 ? Unpooled.EMPTY_BUFFER : Unpooled.wrappedBuffer(new byte[t.planned.bytes()]);
    FullHttpRequest r = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, safe ? HttpMethod.GET : HttpMethod.POST,
        plan.target().path(), body);
    r.headers().set(HttpHeaderNames.HOST, host).set("X-Trace-Id", t.id).set("X-Qos", requestClass.name())
        .set("X-Expires-In-Ms", (long) Math.max(1, t.planned.timeoutMillis()));
    String tenant = plan.tenants().get(t.planned.tenantIndex()).name();
    if (!tenant.isEmpty()) {
      r.headers().set("X-Customer", tenant);
    }
    if (t.planned.key() >= 0) {
      r.headers().set(HttpHeaderNames.COOKIE, "sid=k" + t.planned.key());
    }
    if (t.planned.hintMicros() > 0) {
      r.headers().set("X-Size-Hint", t.planned.hintMicros());
    }
    if (t.attempt > 0) {
      r.headers().set("X-Second-Try", "1");
    }
    if (!safe) {
      r.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
    }
    if (requestClass.effect() == Effect.KEYED) {
      // All attempts of a request carry the same key, so that the server can recognise a retry.
      r.headers().set("Idempotency-Key", t.id.substring(0, t.id.lastIndexOf('.')));
    }
    return r;
  }

  @Override
  public int openConnections() {
    return open.size();
  }

  @Override
  public void close() {
    closed = true;
    Set.copyOf(open).forEach(c -> c.channel.close());
    for (Attempt t = nextWaiting(); t != null; t = nextWaiting()) {
      t.complete(Outcome.NO_CONNECTION, 0);
    }
  }

  private final class Connection extends SimpleChannelInboundHandler<FullHttpResponse> {

    private final Channel channel;
    private Attempt current;

    Connection(Channel channel) {
      this.channel = channel;
    }

    void becomeIdle() {
      Attempt t = nextWaiting();
      if (t != null) {
        send(t);
      } else {
        idle.push(this);
      }
    }

    void send(Attempt t) {
      current = t;
      t.connection = this;
      channel.writeAndFlush(request(t)).addListener(f -> {
        if (!f.isSuccess()) {
          channel.close();
        }
      });
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
      Attempt t = current;
      current = null;
      if (t == null || !response.decoderResult().isSuccess()) {
        // An unsolicited or malformed response.
        if (t != null) {
          t.complete(Outcome.BROKEN, 0);
        }
        channel.close();
        return;
      }
      int status = response.status().code();
      double retryAfter = retryAfterMillis(response.headers().get(HttpHeaderNames.RETRY_AFTER));
      if (HttpUtil.isKeepAlive(response) && channel.isActive() && !closed) {
        t.connection = null;
        becomeIdle();
      } else {
        channel.close();
      }
      t.complete(status == OK ? Outcome.SERVED
          : status == TOO_MANY_REQUESTS || status == SERVICE_UNAVAILABLE ? Outcome.REFUSED : Outcome.FAILED, retryAfter);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      open.remove(this);
      idle.remove(this);
      Attempt t = current;
      current = null;
      if (t != null) {
        t.complete(Outcome.BROKEN, 0);
      }
      openMoreConnections();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      context.close();
    }
  }

  /** Converts a Retry-After value in seconds, with or without a fraction, to milliseconds; 0 for anything else. */
  static double retryAfterMillis(String text) {
    return text != null && text.matches("\\d{1,6}(\\.\\d{1,9})?") ? Double.parseDouble(text) * 1000 : 0;
  }
}
