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
 * HTTP/1.1 as PROTOCOL's clients speak it: kept connections, one request at a time on each, more when all are busy, up to the
 * plan's bound; then requests wait for one, within their patience.
 */
final class HttpDriver implements Driver {

  private static final int MOST_BODY = 1 << 20;
  private static final int MOST_WAITING = 100_000;
  private static final int OK = 200;
  private static final int TOO_MANY = 429;
  private static final int UNAVAILABLE = 503;

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
            channel.pipeline().addLast(new HttpClientCodec(), new HttpObjectAggregator(MOST_BODY), new Connection(channel));
          }
        });
  }

  /** One try, that has its one word or still waits for it. */
  private static final class Attempt {
    private final PlannedRequest planned;
    private final String id;
    private final int attempt;
    private final AttemptCallback ended;
    private Connection on;
    private Future<?> patience;
    private boolean done;

    Attempt(PlannedRequest planned, String id, int attempt, AttemptCallback ended) {
      this.planned = planned;
      this.id = id;
      this.attempt = attempt;
      this.ended = ended;
    }

    void end(Outcome outcome, double retryAfterMillis) {
      if (!done) {
        done = true;
        patience.cancel(false);
        ended.ended(outcome, retryAfterMillis);
      }
    }
  }

  @Override
  public void send(PlannedRequest planned, String id, int attempt, AttemptCallback ended) {
    Attempt t = new Attempt(planned, id, attempt, ended);
    t.patience = loop.schedule(() -> {
      Connection on = t.on;
      t.end(Outcome.TIMEOUT, 0);
      if (on != null) {
        on.channel.close(); // The client hangs up.
      }
    }, (long) (planned.patienceMillis() * 1000), TimeUnit.MICROSECONDS);
    Connection free = closed ? null : idle.pollFirst();
    if (closed || waiting.size() >= MOST_WAITING) {
      t.end(Outcome.NO_ROOM, 0);
    } else if (free != null) {
      free.send(t);
    } else {
      waiting.add(t);
      connectMore();
    }
  }

  private void connectMore() {
    while (!closed && connecting < waiting.size() && open.size() + connecting < plan.target().connections()) {
      connecting++;
      ChannelFuture connect = bootstrap.connect();
      connect.addListener(f -> {
        connecting--;
        if (f.isSuccess()) {
          Connection made = connect.channel().pipeline().get(Connection.class);
          open.add(made);
          made.free();
        } else {
          // The one that waits longest is told; the others have connections of their own on the way.
          Attempt t = nextWaiting();
          if (t != null) {
            t.end(Outcome.NO_CONNECTION, 0);
          }
          connectMore();
        }
      });
    }
  }

  private Attempt nextWaiting() {
    Attempt t = waiting.poll();
    while (t != null && t.done) {
      t = waiting.poll();
    }
    return t;
  }

  private FullHttpRequest request(Attempt t) {
    Plan.RequestClass type = plan.types().get(t.planned.type());
    boolean safe = type.effect() == Effect.SAFE;
    ByteBuf body = safe || t.planned.bytes() == 0 ? Unpooled.EMPTY_BUFFER : Unpooled.wrappedBuffer(new byte[t.planned.bytes()]);
    FullHttpRequest r = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, safe ? HttpMethod.GET : HttpMethod.POST,
        plan.target().path(), body);
    r.headers().set(HttpHeaderNames.HOST, host).set("X-Trace-Id", t.id).set("X-Qos", type.name())
        .set("X-Expires-In-Ms", (long) Math.max(1, t.planned.patienceMillis()));
    String tenant = plan.tenants().get(t.planned.tenant()).name();
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
    if (type.effect() == Effect.KEYED) {
      // The same for all tries of a request: that is what the key is for.
      r.headers().set("Idempotency-Key", t.id.substring(0, t.id.lastIndexOf('.')));
    }
    return r;
  }

  @Override
  public int connections() {
    return open.size();
  }

  @Override
  public void close() {
    closed = true;
    Set.copyOf(open).forEach(c -> c.channel.close());
    for (Attempt t = nextWaiting(); t != null; t = nextWaiting()) {
      t.end(Outcome.NO_CONNECTION, 0);
    }
  }

  private final class Connection extends SimpleChannelInboundHandler<FullHttpResponse> {

    private final Channel channel;
    private Attempt current;

    Connection(Channel channel) {
      this.channel = channel;
    }

    void free() {
      Attempt t = nextWaiting();
      if (t != null) {
        send(t);
      } else {
        idle.push(this);
      }
    }

    void send(Attempt t) {
      current = t;
      t.on = this;
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
        // Nobody asked, or nobody can read it.
        if (t != null) {
          t.end(Outcome.BROKEN, 0);
        }
        channel.close();
        return;
      }
      int status = response.status().code();
      double retryAfter = retryAfterMillis(response.headers().get(HttpHeaderNames.RETRY_AFTER));
      if (HttpUtil.isKeepAlive(response) && channel.isActive() && !closed) {
        t.on = null;
        free();
      } else {
        channel.close();
      }
      t.end(status == OK ? Outcome.SERVED : status == TOO_MANY || status == UNAVAILABLE ? Outcome.REFUSED : Outcome.FAILED,
          retryAfter);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      open.remove(this);
      idle.remove(this);
      Attempt t = current;
      current = null;
      if (t != null) {
        t.end(Outcome.BROKEN, 0);
      }
      connectMore();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      context.close();
    }
  }

  /** Seconds, whole or decimal; 0 for anything else. */
  static double retryAfterMillis(String text) {
    return text != null && text.matches("\\d{1,6}(\\.\\d{1,9})?") ? Double.parseDouble(text) * 1000 : 0;
  }
}
