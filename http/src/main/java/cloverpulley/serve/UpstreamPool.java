package cloverpulley.serve;

import cloverpulley.Balancer.Status;
import cloverpulley.engine.LoadReport;
import cloverpulley.engine.Periodic;
import cloverpulley.engine.SocketBudget;
import cloverpulley.engine.Transport;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
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
import java.net.ConnectException;
import java.net.SocketAddress;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongPredicate;
import java.util.logging.Level;
import java.util.logging.Logger;

/** Pool of HTTP/1.1 connections to upstreams. A connection carries one call at a time, a call has exactly one outcome, and the pool never retries. */
final class UpstreamPool implements Transport {

  private static final Logger LOG = Logger.getLogger(UpstreamPool.class.getName());

  /** Fraction of the upstream's idle timeout after which the pool closes an idle connection itself. A request that races
   * with the upstream's own close would fail with a reset. */
  private static final double IDLE_RATIO = 0.7;
  private static final long IDLE_SWEEP_MILLIS = 250;
  private static final long PROBE_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(250);
  /** A buffered response that pauses for longer is reported as stalled. It may go on, until its client's time is up. */
  private static final long STALL_REPORT_MILLIS = 300;
  /** A streamed response that pauses for longer ends: it can't be replaced by another, and its client has no other time limit. */
  private static final long STREAMED_RESPONSE_STALL_MILLIS = 10_000;
  /** A response of unknown length of which less has arrived by its client's deadline is taken for a short one, which is too late then. */
  private static final int MIN_LATE_RESPONSE_BYTES = 16 * 1024;
  /** The longest pause of a response of unknown length whose client's time is up before {@link Frontend#MAX_BUFFERED_RESPONSE} of it have arrived. */
  private static final long LATE_RESPONSE_STALL_MILLIS = 900;
  /** How long such a response may at least go on: an answer counts as in time until half a second after the deadline. */
  private static final long LATE_RESPONSE_GRACE_MILLIS = 400;
  /** How long a streamed response is read on after its client has left: as long as a client may read nothing of one. */
  private static final long DISCARD_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(30);
  /** Limit of 1xx responses per call; an upstream that sends more is taken to send them endlessly. */
  private static final int MAX_INFORMATIONAL = 16;
  /** A response with a shorter body is buffered whole even if the memory for responses is used up. */
  private static final int ALWAYS_BUFFERED_BYTES = 8 * 1024;
  /** Chunks of a streamed response are joined up to this length. */
  private static final int MAX_JOINED_BYTES = 8 * 1024;
  private final Bootstrap bootstrap;
  private final SocketBudget sockets;
  private long idleNanos;
  private final LongPredicate upstreamReady;
  private final boolean loadReports;
  private final Counts counts;
  private final IdleConnections<Connection> idle = new IdleConnections<>();
  private final Set<Call> connecting = new HashSet<>();
  private final ReuseDelay reuseDelay = new ReuseDelay();
  private final ReplacementDetector replacements = new ReplacementDetector();
  private final IdleReusePolicy reusePolicy = new IdleReusePolicy();
  /** Memory for the bodies of responses, buffered or on their way to a client. */
  private final BufferBudget responseBudget;
  /** Memory for the headers of responses. */
  private final BufferBudget headerBudget = HeaderMemory.newBudget();

  /**
   * {@code upstreamReady} decides whether an upstream may receive new requests, {@code loadReports} whether responses carry load reports;
   * {@code responseBudget} bounds the memory for responses; {@code counts} receives connection statistics.
   */
  UpstreamPool(Bootstrap bootstrap, SocketBudget sockets, long connectTimeoutNanos, long upstreamIdleNanos,
      LongPredicate upstreamReady, boolean loadReports, BufferBudget responseBudget, Counts counts) {
    this.counts = counts;
    this.responseBudget = responseBudget;
    this.sockets = sockets;
    this.upstreamReady = upstreamReady;
    this.loadReports = loadReports;
    this.bootstrap = bootstrap.clone()
        .handler(new ChannelInitializer<Channel>() {
          @Override
          protected void initChannel(Channel channel) {
            Connection connection = new Connection(channel);
            channel.pipeline().addLast(connection.rawInboundHandler(), new HttpRequestEncoder(), connection.decoder,
                connection);
          }
        });
    setTimeouts(connectTimeoutNanos, upstreamIdleNanos);
    Periodic.every(bootstrap.config().group().next(), IDLE_SWEEP_MILLIS, this::closeExpired);
  }

  /** Applies changed timeouts to new connections and to the idle ones. */
  void setTimeouts(long connectTimeoutNanos, long upstreamIdleNanos) {
    idleNanos = (long) (upstreamIdleNanos * IDLE_RATIO);
    bootstrap.option(ChannelOption.CONNECT_TIMEOUT_MILLIS,
        (int) Math.min(Integer.MAX_VALUE, TimeUnit.NANOSECONDS.toMillis(connectTimeoutNanos)));
  }

  /** Starts a call and takes ownership of the request. The timeout includes connecting. */
  void start(Call call, SocketAddress address, FullHttpRequest request, long timeoutNanos) {
    call.timeout = scheduleTimeout(call, timeoutNanos);
    call.scheduleSendTimeout(bootstrap.config().group().next(), () -> abandon(call, Status.NOT_SENT, Status.NOT_SENT));
    Connection reused = takeIdle(call.upstream, address);
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
      // No socket could be created; a listener would be notified of such a failure on a thread other than the event loop.
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
      recordConnect(call.upstream, connect);
      // The call may have been cancelled while connecting, or have begun to connect after drainUpstreams cancelled the connecting
      // calls, since the module is notified of the drain only later. It must not be written then.
      boolean wanted = !call.isDone() && call.canStillBeSent()
          && (call.responseConsumer == null || upstreamReady.test(call.upstream) && call.responseConsumer.isWanted());
      if (!wanted || !f.isSuccess()) {
        request.release();
        call.end(wanted ? Status.CONNECT_FAILED : Status.NOT_SENT, null);
        connect.channel().close();
      } else {
        call.updateExpiresHeader(request);
        connect.channel().pipeline().get(Connection.class).write(call, request);
      }
    });
  }

  private void recordConnect(long upstream, ChannelFuture connect) {
    if (connect.isSuccess()) {
      connect.channel().pipeline().get(Connection.class).established(upstream);
    } else if (connect.cause() instanceof ConnectException && !(connect.cause() instanceof ConnectTimeoutException)) {
      replacements.refused(upstream, System.nanoTime());
    }
  }

  /** Whether the process at an upstream's address may be another than the one that the endpoint list names. */
  boolean mayBeReplaced(long upstream) {
    return replacements.mayBeReplaced(upstream, System.nanoTime());
  }

  /** Restarts the timeout of a call, replacing the one it was started with. */
  void updateTimeout(Call call, long timeoutNanos) {
    if (!call.isDone()) {
      call.timeout.cancel(false);
      call.timeout = scheduleTimeout(call, timeoutNanos);
    }
  }

  private Future<?> scheduleTimeout(Call call, long nanos) {
    call.expireIn(nanos);
    return bootstrap.config().group().next().schedule(() -> expire(call), nanos, TimeUnit.NANOSECONDS);
  }

  /** The client's time is up: what has arrived of a long response is passed on, and any other call ends. */
  private void expire(Call call) {
    Connection connection = call.channel == null ? null : call.channel.pipeline().get(Connection.class);
    if (connection == null || !connection.streamLate(call)) {
      abandon(call, Status.CONNECT_FAILED, Status.TIMEOUT);
    }
  }

  /** Cancels a call. */
  void cancel(Call call) {
    abandon(call, Status.NOT_SENT, Status.CANCELLED);
  }

  /** Cancels a call whose request has not been written completely, and so has not run. */
  void cancelUnwritten(Call call) {
    if (!call.written) {
      cancel(call);
    }
  }

  /** Closes the idle connections to upstreams that drain or were removed, and cancels calls that are still connecting to them. */
  @Override
  public void drainUpstreams(LongPredicate upstreams) {
    idle.close(upstreams);
    List.copyOf(connecting).stream().filter(call -> upstreams.test(call.upstream)).forEach(this::cancel);
  }

  @Override
  public void closeIdle(long upstream) {
    idle.close(u -> u == upstream);
  }

  @Override
  public boolean probe(long upstream, SocketAddress address, ProbeCallback callback) {
    Call call = new Call(upstream, (status, response) -> callback.probeEnded(status, loadReports && response != null
        ? LoadReport.parse(response.headers().get(LoadReport.HEADER)) : Map.of()), null, null, null, 0);
    FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, Frontend.HEALTH);
    request.headers().set(HttpHeaderNames.HOST, "upstream");
    start(call, address, request, PROBE_TIMEOUT_NANOS);
    return true;
  }

  /** Closes the connection that has been idle longest; returns false if none is idle. */
  boolean closeOldest() {
    return idle.closeOldest();
  }

  /** Ends a call whose response may still arrive, and closes its connection, which can't be reused. */
  private void abandon(Call call, Status unwritten, Status written) {
    if (!call.isDone()) {
      Channel channel = call.channel;
      Connection connection = channel == null ? null : channel.pipeline().get(Connection.class);
      call.end(call.written ? written : unwritten, null);
      if (connection != null) {
        connection.close();
      } else if (channel != null) {
        channel.close();
      }
    }
  }

  private Connection takeIdle(long upstream, SocketAddress address) {
    long now = System.nanoTime();
    for (Connection c : idle.of(upstream)) {
      if (now - c.idleSince >= reuseDelay.nanos(now)) {
        idle.remove(c);
        if (c.channel.isActive() && c.channel.remoteAddress().equals(address) && reusePolicy.isReusable(now, now - c.idleSince)
            && c.isInputEmpty()) {
          c.priorIdleNanos = now - c.idleSince;
          return c;
        }
        c.channel.close();
      }
    }
    return null;
  }

  private void closeExpired() {
    idle.closeOlderThan(idleNanos);
    replacements.removeExpired(System.nanoTime());
    counts.setIdleConnections(idle.size());
  }

  /** A connection and its current call, if any. */
  private final class Connection extends SimpleChannelInboundHandler<HttpObject> implements IdleConnections.Idle {

    final Channel channel;
    long upstream;
    private boolean established;
    private long establishedAt;
    /** This side has closed the connection, rather than the upstream. */
    private boolean closedHere;
    long idleSince;
    /** How long the connection was idle before the current call; -1 on a new one. */
    long priorIdleNanos = -1;
    private Call call;
    private boolean firstCall = true;
    /** Number of leading response bytes that match the status line prefix. */
    private int prefixMatched;
    private int informationalCount;
    private Future<?> progressCheck;
    private boolean stallReported;
    /** The response being received: its head, the buffered part of its body, and whether it is streamed instead. */
    private HttpResponse responseHead;
    private final HeaderMemory headerMemory = new HeaderMemory(headerBudget);
    private final StrictResponseDecoder decoder = new StrictResponseDecoder(headerMemory.decoderConfig());
    private final ResponseBuffer body;
    /** Bytes of a streamed response that its client's socket has not accepted yet. */
    private int inTransitBytes;
    private boolean streaming;
    /** When the client's time was up while a response was streamed that is not known to be long; 0 before. */
    private long streamedLateAt;
    /** The connection has failed, rather than been closed in order by the upstream. */
    private boolean broken;
    private long bodyBytes;
    private long lastReadAt;
    /** Reading is paused for a slow client. */
    private boolean paused;
    /** Ends a call whose streamed response is discarded. */
    private Future<?> discardTimeout;

    Connection(Channel channel) {
      this.channel = channel;
      body = new ResponseBuffer(channel.alloc(), responseBudget);
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
      closedHere = true;
      channel.close();
    }

    void established(long to) {
      upstream = to;
      established = true;
      establishedAt = System.nanoTime();
      replacements.opened(to, establishedAt);
    }

    /** Inspects bytes before they are decoded. Bytes that belong to no call would be taken for the response to the next one. */
    ChannelInboundHandlerAdapter rawInboundHandler() {
      return new ChannelInboundHandlerAdapter() {
        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
          ByteBuf bytes = (ByteBuf) message;
          int matched = call == null ? -1 : isWithinResponse() ? prefixMatched : ResponseValidator.matchPrefix(bytes, prefixMatched);
          if (matched < 0) {
            if (call == null && !firstCall) {
              reuseDelay.recordSurplus(System.nanoTime(), System.nanoTime() - idleSince);
            }
            bytes.release();
            resetConnection();
          } else {
            prefixMatched = matched;
            context.fireChannelRead(bytes);
          }
        }

        @Override
        public void channelReadComplete(ChannelHandlerContext context) {
          context.fireChannelReadComplete();
          if (streaming) {
            deliverBody();
          }
          if (call == null && !decoder.isBetweenMessages()) {
            reuseDelay.recordSurplus(System.nanoTime(), 0);
            close(); // The beginning of another response follows the complete one.
          } else if (call != null && (prefixMatched > 0 || isWithinResponse())) {
            responseProgressed();
          }
        }
      };
    }

    /** Whether a part of a response has been decoded that began in the same read as the end of an informational one. */
    private boolean isWithinResponse() {
      return prefixMatched == 0 && !decoder.isBetweenMessages();
    }

    /** Records that bytes arrived, and watches for a pause: the head may have no end, the length may be wrong, or the upstream is slow. */
    private void responseProgressed() {
      lastReadAt = System.nanoTime();
      if (progressCheck == null && (streaming || !stallReported)) {
        scheduleProgressCheck(remainingPauseNanos());
      }
    }

    private void scheduleProgressCheck(long nanos) {
      progressCheck = channel.eventLoop().schedule(this::checkProgress, nanos, TimeUnit.NANOSECONDS);
    }

    /** How much longer the response may pause. */
    private long remainingPauseNanos() {
      long now = System.nanoTime();
      if (streamedLateAt != 0 && bodyBytes <= Frontend.MAX_BUFFERED_RESPONSE) {
        long sinceStart = TimeUnit.MILLISECONDS.toNanos(LATE_RESPONSE_GRACE_MILLIS) - (now - streamedLateAt);
        return Math.max(sinceStart, TimeUnit.MILLISECONDS.toNanos(LATE_RESPONSE_STALL_MILLIS) - (now - lastReadAt));
      }
      return TimeUnit.MILLISECONDS.toNanos(streaming ? STREAMED_RESPONSE_STALL_MILLIS : STALL_REPORT_MILLIS) - (now - lastReadAt);
    }

    private void checkProgress() {
      progressCheck = null;
      long remaining = remainingPauseNanos();
      if (remaining > 0) {
        scheduleProgressCheck(remaining);
      } else if (!channel.config().isAutoRead()) {
        lastReadAt = System.nanoTime(); // This side stopped reading because of a slow client; the upstream is not at fault.
        scheduleProgressCheck(remainingPauseNanos());
      } else if (streaming) {
        resetConnection();
      } else {
        reportStall();
      }
    }

    /** A slow response and one that will never be complete can't be told apart: the module decides whether another attempt is made. */
    private void reportStall() {
      stallReported = true;
      if (responseHead != null && !responseHead.status().equals(HttpResponseStatus.OK)) {
        HttpUtil.setKeepAlive(responseHead, false);
        completeResponse(); // Its status is the outcome; the rest of its body is of no use.
        return;
      }
      if (call.responseConsumer != null && !call.isResponseDiscarded()) {
        counts.responseStalled();
        call.responseConsumer.responseStalled();
      }
    }

    private void updateAutoRead() {
      channel.config().setAutoRead(!paused);
    }

    private void resetResponse() {
      paused = false;
      body.release();
      inTransitBytes = 0;
      if (discardTimeout != null) {
        discardTimeout.cancel(false);
        discardTimeout = null;
      }
      prefixMatched = 0;
      responseHead = null;
      headerMemory.releaseAll();
      streaming = false;
      streamedLateAt = 0;
      bodyBytes = 0;
      stallReported = false;
      if (progressCheck != null) {
        progressCheck.cancel(false);
        progressCheck = null;
      }
    }

    /**
     * Reads the rest of the response without keeping it. A streamed one has no other time limit, and its upstream may not be cut off sooner, so
     * that the connection can be reused.
     */
    private void discardResponse(Call unwanted) {
      if (call != unwanted) {
        return;
      }
      paused = false;
      body.release();
      updateAutoRead();
      if (streaming) {
        discardTimeout = channel.eventLoop().schedule(() -> abandon(unwanted, Status.CONNECT_FAILED, Status.TIMEOUT), DISCARD_TIMEOUT_NANOS,
            TimeUnit.NANOSECONDS);
      }
    }

    /** Closes an unusable connection. A call on it ends with {@code RESET}, as it may have run. */
    private void resetConnection() {
      Call failed = call;
      call = null;
      resetResponse();
      close();
      if (failed != null) {
        failed.end(Status.RESET, null);
      }
    }

    private void recordReuse(boolean broken) {
      if (priorIdleNanos >= 0) {
        reusePolicy.recordReuse(System.nanoTime(), priorIdleNanos, broken);
        priorIdleNanos = -1;
      }
    }

    boolean isInputEmpty() {
      return !(channel instanceof UpstreamSocket socket) || socket.isInputEmpty();
    }

    void write(Call next, FullHttpRequest request) {
      call = next;
      upstream = next.upstream;
      next.channel = channel;
      next.onResume = () -> {
        paused = false;
        updateAutoRead();
      };
      next.onDiscardResponse = () -> discardResponse(next);
      if (next.bodyStream == null) {
        channel.writeAndFlush(request).addListener(f -> requestWritten(next, f.isSuccess()));
        return;
      }
      channel.write(new DefaultHttpRequest(HttpVersion.HTTP_1_1, request.method(), request.uri(), request.headers()));
      channel.writeAndFlush(new DefaultHttpContent(request.content())).addListener(f -> {
        if (!f.isSuccess()) {
          requestWritten(next, false);
        }
      });
      next.bodyStream.attach(new BodyStream.Sink() {
        @Override
        public boolean isWritable() {
          return channel.isWritable();
        }

        @Override
        public void write(ByteBuf content, Runnable onWritten) {
          channel.writeAndFlush(new DefaultHttpContent(content)).addListener(f -> onWritten.run());
        }

        @Override
        public void end() {
          channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT).addListener(f -> Connection.this.requestWritten(next, f.isSuccess()));
        }
      });
    }

    private void requestWritten(Call next, boolean success) {
      broken |= !success;
      if (success) {
        next.written = true;
      } else {
        channel.close();
        next.end(Status.CONNECT_FAILED, null);
      }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
      if (call != null && call.bodyStream != null && channel.isWritable()) {
        call.bodyStream.flush();
      }
      context.fireChannelWritabilityChanged();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
      if (call == null) {
        channel.close();
      } else if (!message.decoderResult().isSuccess()) {
        resetConnection();
      } else {
        if (message instanceof HttpResponse response) {
          responseHead = response;
          if (HttpUtil.getContentLength(response, -1L) > RequestReader.MAX_BODY) {
            resetConnection();
          }
        }
        if (responseHead != null && message instanceof HttpContent content) {
          contentReceived(content);
        }
      }
    }

    private void contentReceived(HttpContent content) {
      boolean last = content instanceof LastHttpContent;
      if (last && (broken || call.isDone()) && ResponseValidator.endsWithConnection(responseHead)) {
        return; // The decoder takes any end of the connection for the end of the body, also a failure or a close by this side.
      }
      bodyBytes += content.content().readableBytes();
      if (responseHead.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
        if (++informationalCount > MAX_INFORMATIONAL || responseHead.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS)) {
          resetConnection();
        } else {
          resetResponse();
        }
      } else if (bodyBytes > RequestReader.MAX_BODY) {
        resetConnection();
      } else if (call.isResponseDiscarded()) {
        if (last) {
          completeDiscardedResponse();
        }
      } else if (streaming || startStreamingIfLong()) {
        streamContent(content.content(), last);
      } else if (bodyBytes > Frontend.MAX_BUFFERED_RESPONSE) {
        resetConnection(); // Too long to buffer, and it can't be streamed.
      } else {
        bufferContent(content.content(), last);
      }
    }

    private void bufferContent(ByteBuf content, boolean last) {
      if (responseHead.status().equals(HttpResponseStatus.OK)) {
        body.append(content); // Any other response is replaced by one of the balancer's own.
      }
      if (last) {
        completeResponse();
      } else if (call.responseConsumer != null) {
        call.responseConsumer.responseBegan();
      }
    }

    /** Starts streaming a response that is too long to buffer, or that there is no memory to buffer; returns whether it did. */
    private boolean startStreamingIfLong() {
      return (isLong() || bodyBytes > ALWAYS_BUFFERED_BYTES && responseBudget.isExhausted()) && startStreaming();
    }

    /** Whether the response is known to be longer than is buffered. */
    private boolean isLong() {
      return bodyBytes > Frontend.MAX_BUFFERED_RESPONSE
          || HttpUtil.getContentLength(responseHead, -1L) > Frontend.MAX_BUFFERED_RESPONSE;
    }

    /**
     * Streams what has arrived of a response of unknown length, at its client's deadline: of a long one the first bytes are in time then. One of
     * which little has arrived is more likely to be short, and one that has paused for long to be incomplete. Returns whether it did.
     */
    private boolean streamLate(Call expired) {
      if (call != expired || call.isResponseDiscarded() || !streaming && !startStreamingLate()) {
        return false;
      }
      streamedLateAt = System.nanoTime();
      deliverBody();
      if (progressCheck == null) {
        scheduleProgressCheck(remainingPauseNanos());
      }
      return true;
    }

    private boolean startStreamingLate() {
      long pause = System.nanoTime() - lastReadAt;
      return bodyBytes >= MIN_LATE_RESPONSE_BYTES && !HttpUtil.isContentLengthSet(responseHead) && pause <= TimeUnit.MILLISECONDS.toNanos(LATE_RESPONSE_STALL_MILLIS)
          && startStreaming();
    }

    /** Starts streaming the response if it is a 200 and still wanted; returns whether it did. */
    private boolean startStreaming() {
      if (!responseHead.status().equals(HttpResponseStatus.OK) || !call.written || call.responseConsumer == null
          || !call.responseConsumer.responseStarted(responseHead)) {
        return false;
      }
      streaming = true;
      if (isLong()) {
        call.timeout.cancel(false);
      }
      return true;
    }

    /** Passes content on. Short chunks of one read are joined: otherwise each would occupy a buffer and a write of its own. */
    private void streamContent(ByteBuf content, boolean last) {
      if (content.isReadable()) {
        if (body.length() + content.readableBytes() > MAX_JOINED_BYTES) {
          deliverBody();
        }
        body.append(content);
      }
      if (last) {
        deliverBody();
        completeStreamedResponse();
      }
    }

    private void completeDiscardedResponse() {
      if (streaming) {
        completeStreamedResponse();
      } else {
        completeResponse();
      }
    }

    private void completeStreamedResponse() {
      Call completed = call;
      boolean keepAlive = isKeepAlive(responseHead);
      call = null;
      resetResponse();
      recordReuse(false);
      firstCall = false;
      informationalCount = 0;
      recycle(completed, keepAlive);
      completed.end(Status.SERVED, null);
    }

    /** Passes the buffered part of the body on to the client, and stops reading if that can't receive more. */
    private void deliverBody() {
      if (body.isEmpty()) {
        return;
      }
      ByteBuf content = body.take();
      int bytes = content.readableBytes();
      Call current = call;
      inTransitBytes += bytes;
      responseBudget.acquire(bytes);
      boolean writable = call.responseConsumer.bodyReceived(content, () -> transferred(current, bytes));
      if (!writable || inTransitBytes > 0 && responseBudget.isExhausted()) {
        paused = true;
        updateAutoRead();
      }
    }

    /** A client's socket has accepted a part of its response, or never will. */
    private void transferred(Call to, int bytes) {
      responseBudget.release(bytes);
      if (call == to) {
        inTransitBytes -= bytes;
        if (paused && inTransitBytes == 0) {
          to.resume();
        }
      }
    }

    private boolean isKeepAlive(HttpResponse head) {
      return HttpUtil.isKeepAlive(head) && !ResponseValidator.endsWithConnection(head);
    }

    /** Returns the connection to the idle ones, or closes it. */
    private void recycle(Call completed, boolean keepAlive) {
      if (keepAlive && completed.written && !completed.isDone() && upstreamReady.test(upstream)) {
        channel.config().setAutoRead(true);
        idleSince = System.nanoTime();
        idle.add(this);
      } else {
        close();
      }
    }

    /** Ends the call with a buffered response that has been received completely. */
    private void completeResponse() {
      FullHttpResponse response = new DefaultFullHttpResponse(responseHead.protocolVersion(), responseHead.status(),
          body.take(), responseHead.headers(), EmptyHttpHeaders.INSTANCE);
      Call completed = call;
      call = null;
      resetResponse();
      recordReuse(false);
      informationalCount = 0;
      Status status = ResponseValidator.status(response);
      if (status == Status.SERVED && !completed.written) {
        // A response that arrived before the request was written belongs to another request.
        status = Status.RESET;
      }
      if (firstCall && status == Status.FULL) {
        counts.newConnectionRejected(upstream);
      }
      firstCall = false;
      recycle(completed, status != Status.RESET && isKeepAlive(response));
      completed.end(status, response);
      response.release();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      if (established) {
        replacements.closed(upstream, establishedAt, !closedHere, System.nanoTime());
      }
      if (call != null && !call.isDone() && prefixMatched == 0) {
        recordReuse(true);
      }
      resetResponse();
      idle.remove(this);
      if (call != null) {
        call.end(call.written ? Status.RESET : Status.CONNECT_FAILED, null);
        call = null;
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      boolean expected = cause instanceof IOException || cause instanceof CodecException;
      LOG.log(expected ? Level.FINE : Level.WARNING, "connection to " + channel.remoteAddress(), cause);
      broken = true;
      context.close();
    }
  }
}
