package cloverpulley.serve;

import cloverpulley.Balancer.Status;
import cloverpulley.engine.LoadReport;
import cloverpulley.engine.Sockets;
import cloverpulley.engine.Transport;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.CodecException;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.TooLongHttpContentException;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.net.SocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
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

  /** Header of an upstream that turned a request away unseen. */
  private static final String NEVER_RAN = "X-Never-Ran";
  /** The part of the upstreams' idle time after which a connection is closed here: a request that crosses the
   * upstream's own closing would be a reset. */
  private static final double IDLE_PART = 0.7;
  private static final long SWEEP_MILLIS = 250;
  /** After an answer a connection rests for this long: what came with it beyond its end shows by then. */
  private static final long REST_NANOS = TimeUnit.MILLISECONDS.toNanos(10);
  /** A probe is given up after this. */
  private static final long PROBE_NANOS = TimeUnit.MILLISECONDS.toNanos(250);
  /** An answer that has begun and is not whole after this won't be: its head does not end or its length does not fit. */
  private static final long ANSWER_MILLIS = 300;
  /** More 1xx answers than this ahead of one are without end. */
  private static final int MOST_INFORMATIONAL = 16;
  /** What every answer begins with. */
  private static final byte[] START = "HTTP/1.".getBytes(StandardCharsets.US_ASCII);

  private final Bootstrap bootstrap;
  private final Sockets sockets;
  private long idleNanos;
  private final LongPredicate ready;
  private final boolean loadReports;
  private final Counts counts;
  /** Idle connections of an upstream, the one used last in front. */
  private final Map<Long, ArrayDeque<Connection>> idle = new HashMap<>();
  private final Set<Call> connecting = new HashSet<>();
  private final Reuse reuse = new Reuse();

  /**
   * {@code ready} tells of an upstream whether anything new may go to it, {@code loadReports} whether answers carry their load;
   * {@code counts} is told of connections that are opened and what becomes of them.
   */
  UpstreamPool(Bootstrap bootstrap, Sockets sockets, long connectTimeoutNanos, long upstreamIdleNanos,
      LongPredicate ready, boolean loadReports, Counts counts) {
    this.counts = counts;
    this.sockets = sockets;
    this.ready = ready;
    this.loadReports = loadReports;
    this.bootstrap = bootstrap.clone()
        .handler(new ChannelInitializer<Channel>() {
          @Override
          protected void initChannel(Channel channel) {
            Connection connection = new Connection(channel);
            channel.pipeline().addLast(connection.arrivals(), new HttpRequestEncoder(), new AnswerDecoder(), new Framed(),
                new AnswerReader(), connection);
          }
        });
    retune(connectTimeoutNanos, upstreamIdleNanos);
    bootstrap.config().group().next()
        .scheduleWithFixedDelay(this::closeOld, SWEEP_MILLIS, SWEEP_MILLIS, TimeUnit.MILLISECONDS);
  }

  /** Other limits hold from here on. */
  void retune(long connectTimeoutNanos, long upstreamIdleNanos) {
    idleNanos = (long) (upstreamIdleNanos * IDLE_PART);
    bootstrap.option(ChannelOption.CONNECT_TIMEOUT_MILLIS,
        (int) Math.min(Integer.MAX_VALUE, TimeUnit.NANOSECONDS.toMillis(connectTimeoutNanos)));
  }

  /** Starts a call; it takes over the request. The time-out covers connecting. */
  void start(Call call, SocketAddress address, FullHttpRequest request, long timeoutNanos) {
    call.timeout = bootstrap.config().group().next()
        .schedule(() -> abandon(call, Status.CONNECT_FAILED, Status.TIMEOUT), timeoutNanos, TimeUnit.NANOSECONDS);
    Connection reused = reuse(call.upstream, address);
    if (reused != null) {
      reused.write(call, request);
      return;
    }
    if (!sockets.hasRoom() && !closeOldest()) {
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
    counts.opened(call.upstream);
    call.channel = connect.channel();
    sockets.opened();
    call.channel.closeFuture().addListener(f -> sockets.closed());
    connect.addListener(f -> {
      connecting.remove(call);
      // Guards against a request written although it was withdrawn while connecting: such a call is done.
      if (call.isDone() || !f.isSuccess()) {
        request.release();
        call.end(Status.CONNECT_FAILED, null);
        connect.channel().close();
      } else {
        connect.channel().pipeline().get(Connection.class).write(call, request);
      }
    });
  }

  /** Stops waiting for a call. */
  void cancel(Call call) {
    abandon(call, Status.NOT_SENT, Status.CANCELLED);
  }

  /** Upstreams drain or are gone: no connection to them is used again, and what has not been sent stays unsent. */
  @Override
  public void withdraw(LongPredicate from) {
    List.copyOf(idle.keySet()).stream().filter(from::test).forEach(this::closeIdle);
    List.copyOf(connecting).stream().filter(call -> from.test(call.upstream)).forEach(this::cancel);
  }

  @Override
  public void closeIdle(long upstream) {
    ArrayDeque<Connection> connections = idle.remove(upstream);
    if (connections != null) {
      connections.forEach(c -> c.channel.close());
    }
  }

  @Override
  public boolean probe(long upstream, SocketAddress address, Probed done) {
    Call call = new Call(upstream, (status, answer) -> done.ended(status, loadReports && answer != null
        ? LoadReport.of(answer.headers().get(LoadReport.HEADER)) : Map.of()));
    FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, Frontend.HEALTH);
    request.headers().set(HttpHeaderNames.HOST, "upstream");
    start(call, address, request, PROBE_NANOS);
    return true;
  }

  /** Closes the connection that has stood idle longest; false if none is idle. */
  boolean closeOldest() {
    Connection oldest = null;
    for (ArrayDeque<Connection> connections : idle.values()) {
      Connection last = connections.peekLast();
      oldest = last != null && (oldest == null || last.idleSince < oldest.idleSince) ? last : oldest;
    }
    if (oldest == null) {
      return false;
    }
    idle.get(oldest.upstream).removeLast();
    oldest.channel.close();
    return true;
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
    for (Connection c : List.copyOf(idle.getOrDefault(upstream, new ArrayDeque<>()))) {
      if (now - c.idleSince >= REST_NANOS) {
        idle.get(upstream).remove(c);
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
    long now = System.nanoTime();
    for (Iterator<ArrayDeque<Connection>> all = idle.values().iterator(); all.hasNext();) {
      ArrayDeque<Connection> connections = all.next();
      while (!connections.isEmpty() && now - connections.peekLast().idleSince > idleNanos) {
        connections.pollLast().channel.close();
      }
      if (connections.isEmpty()) {
        all.remove();
      }
    }
    counts.idle(idle.values().stream().mapToInt(ArrayDeque::size).sum());
  }

  /** One connection, and the call on it. */
  private final class Connection extends SimpleChannelInboundHandler<FullHttpResponse> {

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

    Connection(Channel channel) {
      this.channel = channel;
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
          if (call == null || !begins(bytes)) {
            bytes.release();
            spoilt();
          } else {
            context.fireChannelRead(bytes);
          }
        }

        @Override
        public void channelReadComplete(ChannelHandlerContext context) {
          context.fireChannelReadComplete();
          if (call != null && begun > 0 && wholeBy == null) {
            wholeBy = channel.eventLoop().schedule(Connection.this::spoilt, ANSWER_MILLIS, TimeUnit.MILLISECONDS);
          }
        }
      };
    }

    private boolean begins(ByteBuf bytes) {
      for (int i = 0; begun < START.length && i < bytes.readableBytes(); i++) {
        if (bytes.getByte(bytes.readerIndex() + i) != START[begun++]) {
          return false;
        }
      }
      return true;
    }

    private void nothingBegun() {
      begun = 0;
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

    boolean isQuiet() {
      return !(channel instanceof UpstreamSocket socket) || socket.isQuiet();
    }

    void write(Call next, FullHttpRequest request) {
      call = next;
      upstream = next.upstream;
      next.channel = channel;
      channel.writeAndFlush(request).addListener(f -> {
        if (f.isSuccess()) {
          next.written = true;
        } else {
          channel.close();
          next.end(Status.CONNECT_FAILED, null);
        }
      });
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
      nothingBegun();
      if (call == null) {
        channel.close();
        return;
      }
      if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
        if (++informational > MOST_INFORMATIONAL || response.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS)) {
          spoilt();
        }
        return;
      }
      Call answered = call;
      call = null;
      usedAgain(false);
      informational = 0;
      Status status = status(response);
      if (status == Status.SERVED && !answered.written) {
        // Guards the client: what came before its request had left is another's.
        status = Status.RESET;
      }
      if (fresh && status == Status.FULL) {
        counts.noRoom(upstream);
      }
      fresh = false;
      if (status != Status.RESET && answered.written && !answered.isDone() && HttpUtil.isKeepAlive(response)
          && ready.test(upstream)) {
        idleSince = System.nanoTime();
        idle.computeIfAbsent(upstream, u -> new ArrayDeque<>()).push(this);
      } else {
        channel.close();
      }
      answered.end(status, response);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      if (call != null && !call.isDone() && begun == 0) {
        usedAgain(true);
      }
      nothingBegun();
      ArrayDeque<Connection> connections = idle.get(upstream);
      if (connections != null) {
        connections.remove(this);
      }
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

  /** Puts the parts of an answer together; one that is too large comes on as one that failed, without a byte of it. */
  private static final class AnswerReader extends HttpObjectAggregator {

    AnswerReader() {
      super(Frontend.MOST_BODY);
    }

    @Override
    protected void handleOversizedMessage(ChannelHandlerContext context, HttpMessage oversized) {
      FullHttpResponse failed = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.BAD_GATEWAY);
      failed.setDecoderResult(DecoderResult.failure(new TooLongHttpContentException("the body is too large")));
      context.fireChannelRead(failed);
    }
  }

  /**
   * Guards against a 200 cut short that looks whole: without a length only the connection's end marks the body's, and
   * a process that dies ends it just so. Such an answer counts as broken.
   */
  private static final class Framed extends ChannelInboundHandlerAdapter {

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
      if (message instanceof HttpResponse response && response.status().equals(HttpResponseStatus.OK)
          && !HttpUtil.isContentLengthSet(response) && !HttpUtil.isTransferEncodingChunked(response)) {
        response.setDecoderResult(DecoderResult.failure(new IOException("a body without a length")));
      }
      context.fireChannelRead(message);
    }
  }

  /** What an answer means. */
  private static Status status(FullHttpResponse response) {
    HttpResponseStatus status = response.status();
    if (!response.decoderResult().isSuccess()) {
      return Status.RESET;
    }
    if (status.equals(HttpResponseStatus.OK)) {
      return Status.SERVED;
    }
    boolean refused = status.equals(HttpResponseStatus.SERVICE_UNAVAILABLE)
        || status.equals(HttpResponseStatus.GATEWAY_TIMEOUT);
    return refused && "1".equals(response.headers().get(NEVER_RAN)) ? Status.FULL : Status.ERROR;
  }
}
