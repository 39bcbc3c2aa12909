package cloverpulley.serve;

import cloverpulley.Balancer.Status;
import cloverpulley.engine.LoadReport;
import cloverpulley.engine.Periodic;
import cloverpulley.engine.SocketBudget;
import cloverpulley.engine.Transport;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.CodecException;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.net.SocketAddress;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongPredicate;
import java.util.logging.Level;
import java.util.logging.Logger;

/** Connections to upstreams and the calls on them: one call a connection, one outcome a call, nothing sent again. */
final class UpstreamPool implements Transport {

  private static final Logger LOG = Logger.getLogger(UpstreamPool.class.getName());

  /** The part of the upstreams' idle time after which a connection is closed here: a request that crosses the
   * upstream's own closing would be a reset. */
  private static final double IDLE_PART = 0.7;
  private static final long SWEEP_MILLIS = 250;
  /** After an answer a connection rests for this long: what came with it beyond its end shows by then. */
  private static final long REST_NANOS = TimeUnit.MILLISECONDS.toNanos(10);
  /** A probe is given up after this. */
  private static final long PROBE_NANOS = TimeUnit.MILLISECONDS.toNanos(250);
  /** An answer that has begun and pauses for longer won't go on: its head does not end or its length does not fit. */
  private static final long PAUSE_MILLIS = 300;
  /** The same for one that is passed on, for which nothing can be done any more. */
  private static final long PASSING_PAUSE_MILLIS = 10_000;
  /** More 1xx answers than this ahead of one are without end. */
  private static final int MOST_INFORMATIONAL = 16;
  /** From here on an answer needs a place of so many octets: what is held of it at most, or what passes. */
  private static final int SHORT_ANSWER = 8 * 1024;
  private static final int ANSWER_OCTETS = Frontend.MAX_BUFFERED_RESPONSE;
  private final Bootstrap bootstrap;
  private final SocketBudget sockets;
  private long idleNanos;
  private final LongPredicate ready;
  private final boolean loadReports;
  private final Counts counts;
  private final IdleConnections<Connection> idle = new IdleConnections<>();
  private final Set<Call> connecting = new HashSet<>();
  private final Reuse reuse = new Reuse();
  /** Where long answers find room. */
  private final BufferBudget answers;

  /**
   * {@code ready} tells of an upstream whether anything new may go to it, {@code loadReports} whether answers carry their load; {@code answers}
   * is where long answers find room; {@code counts} is told of connections that are opened and what becomes of them.
   */
  UpstreamPool(Bootstrap bootstrap, SocketBudget sockets, long connectTimeoutNanos, long upstreamIdleNanos,
      LongPredicate ready, boolean loadReports, BufferBudget answers, Counts counts) {
    this.counts = counts;
    this.answers = answers;
    this.sockets = sockets;
    this.ready = ready;
    this.loadReports = loadReports;
    this.bootstrap = bootstrap.clone()
        .handler(new ChannelInitializer<Channel>() {
          @Override
          protected void initChannel(Channel channel) {
            Connection connection = new Connection(channel);
            channel.pipeline().addLast(connection.arrivals(), new HttpRequestEncoder(), new AnswerDecoder(), new Framed(),
                connection);
          }
        });
    retune(connectTimeoutNanos, upstreamIdleNanos);
    Periodic.every(bootstrap.config().group().next(), SWEEP_MILLIS, this::closeOld);
  }

  /** Other limits hold from here on. */
  void retune(long connectTimeoutNanos, long upstreamIdleNanos) {
    idleNanos = (long) (upstreamIdleNanos * IDLE_PART);
    bootstrap.option(ChannelOption.CONNECT_TIMEOUT_MILLIS,
        (int) Math.min(Integer.MAX_VALUE, TimeUnit.NANOSECONDS.toMillis(connectTimeoutNanos)));
  }

  /** Starts a call; it takes over the request. The time-out covers connecting. */
  void start(Call call, SocketAddress address, FullHttpRequest request, long timeoutNanos) {
    call.timeout = timeout(call, timeoutNanos);
    call.leavesInTime(bootstrap.config().group().next(), () -> abandon(call, Status.NOT_SENT, Status.NOT_SENT));
    Connection reused = reuse(call.upstream, address);
    if (reused != null) {
      reused.write(call, request);
      return;
    }
    if (!sockets.hasCapacity() && !closeOldest()) {
      request.release();
      call.end(Status.CONNECT_FAILED, null);
      return;
    }
    ChannelFuture connect = bootstrap.connect(address);
    if (connect.isDone() && !connect.isSuccess()) {
      // No socket could be made at all; such a failure would be announced on a thread that is not ours.
      request.release();
      call.end(Status.CONNECT_FAILED, null);
      return;
    }
    connecting.add(call);
    counts.connectionOpened(call.upstream);
    call.channel = connect.channel();
    sockets.opened();
    call.channel.closeFuture().addListener(f -> sockets.closed());
    connect.addListener(f -> {
      connecting.remove(call);
      // Guards against a request written although it was withdrawn while connecting, or began to connect between news of a drain and its withdrawals.
      boolean wanted = !call.isDone() && call.mayLeave() && (call.passing == null || ready.test(call.upstream) && call.passing.isWanted());
      if (!wanted || !f.isSuccess()) {
        request.release();
        call.end(wanted ? Status.CONNECT_FAILED : Status.NOT_SENT, null);
        connect.channel().close();
      } else {
        call.tellTimeLeft(request);
        connect.channel().pipeline().get(Connection.class).write(call, request);
      }
    });
  }

  /** A call ends so much later, whatever was said at its start. */
  void limit(Call call, long timeoutNanos) {
    if (!call.isDone()) {
      call.timeout.cancel(false);
      call.timeout = timeout(call, timeoutNanos);
    }
  }

  private Future<?> timeout(Call call, long nanos) {
    call.givenUpIn(nanos);
    return bootstrap.config().group().next().schedule(() -> abandon(call, Status.CONNECT_FAILED, Status.TIMEOUT), nanos, TimeUnit.NANOSECONDS);
  }

  /** Stops waiting for a call. */
  void cancel(Call call) {
    abandon(call, Status.NOT_SENT, Status.CANCELLED);
  }

  /** Upstreams drain or are gone: no connection to them is used again, and what has not been sent stays unsent. */
  @Override
  public void drainUpstreams(LongPredicate from) {
    idle.close(from);
    List.copyOf(connecting).stream().filter(call -> from.test(call.upstream)).forEach(this::cancel);
  }

  @Override
  public void closeIdle(long upstream) {
    idle.close(u -> u == upstream);
  }

  @Override
  public boolean probe(long upstream, SocketAddress address, ProbeCallback done) {
    Call call = new Call(upstream, (status, answer) -> done.probeEnded(status, loadReports && answer != null
        ? LoadReport.parse(answer.headers().get(LoadReport.HEADER)) : Map.of()), null, null, 0, 0);
    FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, Frontend.HEALTH);
    request.headers().set(HttpHeaderNames.HOST, "upstream");
    start(call, address, request, PROBE_NANOS);
    return true;
  }

  /** Closes the connection that has stood idle longest; false if none is idle. */
  boolean closeOldest() {
    return idle.closeOldest();
  }

  /** Ends a call whose answer may still come; its connection can't be used again. */
  private void abandon(Call call, Status unwritten, Status written) {
    if (!call.isDone()) {
      Channel channel = call.channel;
      call.end(call.written ? written : unwritten, null);
      if (channel != null) {
        channel.close();
      }
    }
  }

  private Connection reuse(long upstream, SocketAddress address) {
    long now = System.nanoTime();
    for (Connection c : idle.of(upstream)) {
      if (now - c.idleSince >= REST_NANOS) {
        idle.remove(c);
        if (c.channel.isActive() && c.channel.remoteAddress().equals(address) && reuse.holds(now, now - c.idleSince)
            && c.isQuiet()) {
          c.stoodIdle = now - c.idleSince;
          return c;
        }
        c.channel.close();
      }
    }
    return null;
  }

  private void closeOld() {
    idle.closeOlderThan(idleNanos);
    counts.setIdleConnections(idle.size());
  }

  /** One connection, and the call on it. */
  private final class Connection extends SimpleChannelInboundHandler<HttpObject> implements IdleConnections.Idle {

    final Channel channel;
    long upstream;
    long idleSince;
    /** How long it had stood idle before the call on it; -1 on a new one. */
    long stoodIdle = -1;
    private Call call;
    private boolean fresh = true;
    /** Bytes of the answer that have been looked at. */
    private int begun;
    private int informational;
    private Future<?> wholeBy;
    /** The answer that is coming: its head, what is held of its body, and whether it is passed on instead. */
    private HttpResponse head;
    private ByteBuf held;
    private boolean passes;
    private long came;
    private long heardAt;
    /** Its room, once it is longer than short; and whether its client can't take more of it just now. */
    private BufferBudget.Reservation place;
    private boolean paused;
    /** Ends the call whose upstream takes nothing of its body. */
    private Future<?> stalled;

    Connection(Channel channel) {
      this.channel = channel;
    }

    @Override
    public long upstream() {
      return upstream;
    }

    @Override
    public long idleSinceNanos() {
      return idleSince;
    }

    @Override
    public void close() {
      channel.close();
    }

    /**
     * Sees bytes before they are decoded. Guards against what belongs to no call, which would be taken for the answer to
     * the next one, and against answers that keep a client waiting until its time is up.
     */
    ChannelInboundHandlerAdapter arrivals() {
      return new ChannelInboundHandlerAdapter() {
        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
          ByteBuf bytes = (ByteBuf) message;
          int looked = call == null ? -1 : Framed.begins(bytes, begun);
          if (looked < 0) {
            bytes.release();
            spoilt();
          } else {
            begun = looked;
            context.fireChannelRead(bytes);
          }
        }

        @Override
        public void channelReadComplete(ChannelHandlerContext context) {
          context.fireChannelReadComplete();
          if (call != null && begun > 0) {
            expectMore();
          }
        }
      };
    }

    /** Guards a client from an answer that stops on its way: its length does not fit, or its head does not end. */
    private void expectMore() {
      heardAt = System.nanoTime();
      if (wholeBy == null) {
        wholeBy = channel.eventLoop().schedule(this::checkProgress, PAUSE_MILLIS, TimeUnit.MILLISECONDS);
      }
    }

    private void checkProgress() {
      wholeBy = null;
      long most = TimeUnit.MILLISECONDS.toNanos(passes ? PASSING_PAUSE_MILLIS : PAUSE_MILLIS);
      long left = most - (System.nanoTime() - heardAt);
      if (left <= 0 && channel.config().isAutoRead()) {
        spoilt();
      } else {
        // Not reading is this side's doing: its client takes its time.
        wholeBy = channel.eventLoop().schedule(this::checkProgress, left <= 0 ? most : left, TimeUnit.NANOSECONDS);
      }
    }

    private void flowing() {
      channel.config().setAutoRead(!paused && (place == null || place.isGiven()));
    }

    private void nothingBegun() {
      paused = false;
      if (place != null) {
        place.leave();
        place = null;
      }
      moves();
      begun = 0;
      head = null;
      passes = false;
      came = 0;
      if (held != null) {
        held.release();
        held = null;
      }
      if (wholeBy != null) {
        wholeBy.cancel(false);
        wholeBy = null;
      }
    }

    /** The connection is of no use any more; the call on it may have run. */
    private void spoilt() {
      Call spoilt = call;
      call = null;
      nothingBegun();
      channel.close();
      if (spoilt != null) {
        spoilt.end(Status.RESET, null);
      }
    }

    private void usedAgain(boolean broke) {
      if (stoodIdle >= 0) {
        reuse.used(System.nanoTime(), stoodIdle, broke);
        stoodIdle = -1;
      }
    }

    /** The upstream takes something of a body, or there is nothing to take any more. */
    private void moves() {
      if (stalled != null) {
        stalled.cancel(false);
        stalled = null;
      }
    }

    boolean isQuiet() {
      return !(channel instanceof UpstreamSocket socket) || socket.isQuiet();
    }

    void write(Call next, FullHttpRequest request) {
      call = next;
      upstream = next.upstream;
      next.channel = channel;
      next.reading = () -> {
        paused = false;
        flowing();
      };
      if (next.rest == null) {
        channel.writeAndFlush(request).addListener(f -> written(next, f.isSuccess()));
        return;
      }
      channel.write(new DefaultHttpRequest(HttpVersion.HTTP_1_1, request.method(), request.uri(), request.headers()));
      channel.writeAndFlush(new DefaultHttpContent(request.content())).addListener(f -> {
        if (!f.isSuccess()) {
          written(next, false);
        }
      });
      next.rest.attach(new BodyStream.Sink() {
        @Override
        public boolean isWritable() {
          return channel.isWritable();
        }

        @Override
        public void write(ByteBuf piece) {
          channel.writeAndFlush(new DefaultHttpContent(piece));
        }

        @Override
        public void end() {
          channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT).addListener(f -> Connection.this.written(next, f.isSuccess()));
        }
      });
    }

    private void written(Call next, boolean success) {
      if (success) {
        next.written = true;
        if (next.rest != null) {
          next.rest.sent();
        }
      } else {
        channel.close();
        next.end(Status.CONNECT_FAILED, null);
      }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
      if (call != null && call.rest != null && channel.isWritable()) {
        moves();
        call.rest.flow();
      } else if (call != null && call.rest != null && stalled == null) {
        Call slow = call;
        stalled = channel.eventLoop().schedule(() -> abandon(slow, Status.CONNECT_FAILED, Status.TIMEOUT), slow.stallNanos, TimeUnit.NANOSECONDS);
      }
      context.fireChannelWritabilityChanged();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
      if (call == null) {
        channel.close();
      } else if (!message.decoderResult().isSuccess()) {
        spoilt();
      } else {
        if (message instanceof HttpResponse response) {
          head = response;
          if (HttpUtil.getContentLength(response, -1L) > RequestReader.MAX_BODY) {
            spoilt();
          }
        }
        if (head != null && message instanceof HttpContent content) {
          body(content);
        }
      }
    }

    private void body(HttpContent content) {
      boolean last = content instanceof LastHttpContent;
      came += content.content().readableBytes();
      if (place == null && came > SHORT_ANSWER) {
        place = answers.ask(ANSWER_OCTETS, this::flowing);
        flowing();
      }
      if (head.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
        if (++informational > MOST_INFORMATIONAL || head.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS)) {
          spoilt();
        } else {
          nothingBegun();
        }
      } else if (came > RequestReader.MAX_BODY) {
        spoilt();
      } else if (passes || pass()) {
        pass(content.content(), last);
      } else if (came > Frontend.MAX_BUFFERED_RESPONSE) {
        spoilt(); // Too long to be held, and nobody takes it as it comes.
      } else {
        if (held == null) {
          held = content.content().retain();
        } else {
          ByteBuf more = held.isReadOnly() || held.refCnt() > 1 || held.unwrap() != null ? copy(held) : held;
          held = more.writeBytes(content.content());
        }
        if (last) {
          whole();
        }
      }
    }

    private ByteBuf copy(ByteBuf first) {
      ByteBuf own = channel.alloc().buffer(Math.max(1024, 2 * first.readableBytes())).writeBytes(first);
      first.release();
      return own;
    }

    /** Whether the answer is passed on from here: it is good, longer than is held, and wanted. */
    private boolean pass() {
      boolean isLong = came > Frontend.MAX_BUFFERED_RESPONSE || HttpUtil.getContentLength(head, -1L) > Frontend.MAX_BUFFERED_RESPONSE;
      if (!isLong || !head.status().equals(HttpResponseStatus.OK) || !call.written || call.passing == null
          || !call.passing.begins(head)) {
        return false;
      }
      passes = true;
      call.timeout.cancel(false);
      return true;
    }

    private void pass(ByteBuf content, boolean last) {
      if (held != null) {
        ByteBuf first = held;
        held = null;
        call.passing.piece(first);
      }
      if (content.isReadable() && !call.passing.piece(content.retain()) && !last) {
        paused = true;
        flowing();
      }
      if (last) {
        Call answered = call;
        boolean keeps = HttpUtil.isKeepAlive(head);
        call = null;
        nothingBegun();
        usedAgain(false);
        fresh = false;
        informational = 0;
        release(answered, keeps);
        answered.end(Status.SERVED, null);
      }
    }

    /** The connection is free again: it rests for the next call, or closes. */
    private void release(Call answered, boolean keeps) {
      if (keeps && answered.written && !answered.isDone() && ready.test(upstream)) {
        channel.config().setAutoRead(true);
        idleSince = System.nanoTime();
        idle.add(this);
      } else {
        channel.close();
      }
    }

    /** An answer that was held has come whole. */
    private void whole() {
      FullHttpResponse response = new DefaultFullHttpResponse(head.protocolVersion(), head.status(),
          held == null ? Unpooled.EMPTY_BUFFER : held, head.headers(), EmptyHttpHeaders.INSTANCE);
      held = null;
      Call answered = call;
      call = null;
      nothingBegun();
      usedAgain(false);
      informational = 0;
      Status status = Framed.status(response);
      if (status == Status.SERVED && !answered.written) {
        // Guards the client: what came before its request had left is another's.
        status = Status.RESET;
      }
      if (fresh && status == Status.FULL) {
        counts.newConnectionRejected(upstream);
      }
      fresh = false;
      release(answered, status != Status.RESET && HttpUtil.isKeepAlive(response));
      answered.end(status, response);
      response.release();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      if (call != null && !call.isDone() && begun == 0) {
        usedAgain(true);
      }
      nothingBegun();
      idle.remove(this);
      if (call != null) {
        call.end(call.written ? Status.RESET : Status.CONNECT_FAILED, null);
        call = null;
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      boolean usual = cause instanceof IOException || cause instanceof CodecException;
      LOG.log(usual ? Level.FINE : Level.WARNING, "connection to " + channel.remoteAddress(), cause);
      context.close();
    }
  }
}
