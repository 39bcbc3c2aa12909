package cloverpulley.serve;

import cloverpulley.Balancer.Status;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.CodecException;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.net.SocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.function.LongPredicate;
import java.util.logging.Level;
import java.util.logging.Logger;

/** A connection to an upstream, and its current call, if any: writes the request and receives the response. Confined to the event loop. */
final class UpstreamConnection extends SimpleChannelInboundHandler<HttpObject> implements IdleConnections.Idle {

  private static final Logger LOG = Logger.getLogger(UpstreamConnection.class.getName());

  /** How long a streamed response is read on after its client has left: as long as a client may read nothing of one. */
  private static final long DISCARD_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(30);
  /** Limit of 1xx responses per call; an upstream that sends more is taken to send them endlessly. */
  private static final int MAX_INFORMATIONAL = 16;
  /** Chunks of a streamed response are joined up to this length. */
  private static final int MAX_JOINED_BYTES = 8 * 1024;

  /**
   * What the connections of a pool share.
   *
   * @param upstreamReady whether an upstream may receive new requests
   * @param responseBudget memory for the bodies of responses, buffered or on their way to a client
   * @param headerBudget memory for the headers of responses
   */
  record Shared(IdleConnections<UpstreamConnection> idle, LongPredicate upstreamReady, ReuseDelay reuseDelay, RoundTrips roundTrips,
      IdleReusePolicy reusePolicy, ReplacementDetector replacements, BufferBudget responseBudget, BufferBudget headerBudget, Counts counts) {}

  private final Shared shared;
  private final Channel channel;
  private long upstream;
  private boolean established;
  private long establishedAt;
  /** This side has closed the connection, rather than the upstream. */
  private boolean closedHere;
  private long idleSince;
  /** How long the connection was idle before the current call; -1 on a new one. */
  private long priorIdleNanos = -1;
  private Call call;
  private boolean firstCall = true;
  /** Number of leading response bytes that match the status line prefix. */
  private int prefixMatched;
  private int informationalCount;
  /** The response being received: its head, the buffered part of its body, and whether it is streamed instead. */
  private HttpResponse responseHead;
  private final HeaderMemory headerMemory;
  private final StrictResponseDecoder decoder;
  private final ResponseBuffer body;
  private final ResponseProgress progress;
  private final ResponseTimer responseTimer;
  private final RequestWriter requestWriter;
  /** Bytes of a streamed response that its client's socket has not accepted yet. */
  private int inTransitBytes;
  private boolean streaming;
  /** The response was incomplete at its client's deadline. */
  private boolean late;
  /** The connection has failed, rather than been closed in order by the upstream. */
  private boolean broken;
  private long bodyBytes;
  /** Reading is paused for a slow client, or until there is memory. */
  private boolean paused;
  /** Resumes reading once there is memory; null unless the response waits for it. */
  private Runnable memoryWaiter;
  /** Ends a call whose streamed response is discarded. */
  private Future<?> discardTimeout;

  UpstreamConnection(Channel channel, Shared shared) {
    this.channel = channel;
    this.shared = shared;
    headerMemory = new HeaderMemory(shared.headerBudget);
    decoder = new StrictResponseDecoder(headerMemory.decoderConfig());
    responseTimer = new ResponseTimer(shared.roundTrips);
    requestWriter = new RequestWriter(channel, this::requestWritten);
    body = new ResponseBuffer(channel.alloc(), shared.responseBudget);
    progress = new ResponseProgress(channel, new ResponseProgress.Listener() {
      @Override
      public void onStall() {
        reportStall();
      }

      @Override
      public void onStreamStall() {
        shared.counts.responseCut();
        resetConnection();
      }
    });
  }

  /** Adds the connection's handlers to its channel. */
  void initPipeline() {
    channel.pipeline().addLast(rawInboundHandler(), new HttpRequestEncoder(), decoder, this);
  }

  /** The connection of a channel whose handlers {@link #initPipeline} has added. */
  static UpstreamConnection of(Channel channel) {
    return channel.pipeline().get(UpstreamConnection.class);
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

  /** Closes the connection at once: what the upstream's side has not received yet is dropped, while after a close it would still be delivered. */
  void reset() {
    channel.config().setOption(ChannelOption.SO_LINGER, 0);
    close();
  }

  /** The connection to an upstream has been established. */
  void established(long to) {
    upstream = to;
    established = true;
    establishedAt = System.nanoTime();
    shared.replacements.opened(to, establishedAt);
  }

  /** Inspects bytes before they are decoded. Bytes that belong to no call would be taken for the response to the next one. */
  private ChannelInboundHandlerAdapter rawInboundHandler() {
    return new ChannelInboundHandlerAdapter() {
      @Override
      public void channelRead(ChannelHandlerContext context, Object message) {
        ByteBuf bytes = (ByteBuf) message;
        int matched = call == null ? -1 : isWithinResponse() ? prefixMatched : ResponseValidator.matchPrefix(bytes, prefixMatched);
        if (matched < 0) {
          if (call == null && !firstCall) {
            recordSurplus(System.nanoTime() - idleSince);
          }
          bytes.release();
          resetConnection();
        } else {
          prefixMatched = matched;
          if (responseTimer.responseReceived(upstream, System.nanoTime())) {
            shared.counts.responseEarly(upstream);
          }
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
          recordSurplus(0);
          close(); // The beginning of another response follows the complete one.
        } else if (call != null && (prefixMatched > 0 || isWithinResponse())) {
          progress.received();
        }
      }
    };
  }

  private void recordSurplus(long restedNanos) {
    shared.reuseDelay.recordSurplus(System.nanoTime(), restedNanos);
    shared.counts.surplusReceived(upstream);
  }

  /** Whether a part of a response has been decoded that began in the same read as the end of an informational one. */
  private boolean isWithinResponse() {
    return prefixMatched == 0 && !decoder.isBetweenMessages();
  }

  /** A slow response and one that will never be complete can't be told apart: the module decides whether another attempt is made. */
  private void reportStall() {
    if (responseHead != null && !responseHead.status().equals(HttpResponseStatus.OK)) {
      HttpUtil.setKeepAlive(responseHead, false);
      completeResponse(); // Its status is the outcome; the rest of its body is of no use.
      return;
    }
    if (call.responseConsumer != null && !call.isResponseDiscarded()) {
      shared.counts.responseStalled();
      call.responseConsumer.responseStalled();
    }
  }

  private void updateAutoRead() {
    channel.config().setAutoRead(!paused);
  }

  private void resetResponse() {
    paused = false;
    cancelMemoryWaiter();
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
    late = false;
    bodyBytes = 0;
    progress.reset();
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
    cancelMemoryWaiter();
    body.release();
    updateAutoRead();
    if (streaming) {
      discardTimeout = channel.eventLoop().schedule(() -> timeOut(unwanted), DISCARD_TIMEOUT_NANOS, TimeUnit.NANOSECONDS);
    }
  }

  private void timeOut(Call expired) {
    if (!expired.isDone()) {
      expired.end(expired.written ? Status.TIMEOUT : Status.CONNECT_FAILED, null);
      close();
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
      shared.reusePolicy.recordReuse(System.nanoTime(), priorIdleNanos, broken);
      priorIdleNanos = -1;
    }
  }

  private boolean isInputEmpty() {
    return !(channel instanceof UpstreamSocket socket) || socket.isInputEmpty();
  }

  /** Takes an idle connection, which has rested for {@code idleNanos}, into use again; false if it can't be used. */
  boolean reuse(SocketAddress address, long now, long idleNanos) {
    boolean usable = channel.isActive() && channel.remoteAddress().equals(address) && shared.reusePolicy.isReusable(now, idleNanos) && isInputEmpty();
    if (usable) {
      priorIdleNanos = idleNanos;
    } else {
      channel.close();
    }
    return usable;
  }

  /** Writes a call's request, of which it takes ownership, and then receives the response. */
  void write(Call next, FullHttpRequest request) {
    call = next;
    upstream = next.upstream;
    next.channel = channel;
    next.onResume = () -> {
      paused = false;
      updateAutoRead();
    };
    next.onDiscardResponse = () -> discardResponse(next);
    responseTimer.requestStarted(System.nanoTime(), firstCall || priorIdleNanos >= ReuseDelay.MAX_NANOS);
    requestWriter.write(next, request);
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
        if (response.status().equals(HttpResponseStatus.OK)) {
          responseTimer.responseSucceeded(upstream, System.nanoTime());
        }
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
    } else if (streaming) {
      streamContent(content.content(), last);
    } else {
      beginContent(content.content(), last);
    }
  }

  /** Handles content of a response that is not streamed yet. */
  private void beginContent(ByteBuf content, boolean last) {
    ResponseForwarding.OnContent action = ResponseForwarding.onContent(length(), bodyBytes, shared.responseBudget.isExhausted());
    if (action == ResponseForwarding.OnContent.STREAM && startStreaming()) {
      streamContent(content, last);
    } else if (bodyBytes > ResponseForwarding.MAX_SHORT_BYTES) {
      resetConnection(); // Too long to buffer, and it can't be streamed.
    } else {
      bufferContent(content, last);
      if (action == ResponseForwarding.OnContent.BUFFER_AND_PAUSE && !last && !body.isEmpty()) {
        awaitMemory();
      }
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

  /** Reads nothing more of the buffered response until other responses have given memory back. */
  private void awaitMemory() {
    if (memoryWaiter != null) {
      return;
    }
    paused = true;
    updateAutoRead();
    Call waiting = call;
    memoryWaiter = () -> {
      memoryWaiter = null;
      channel.eventLoop().execute(waiting::resume);
    };
    shared.responseBudget.whenAvailable(memoryWaiter);
  }

  private void cancelMemoryWaiter() {
    if (memoryWaiter != null) {
      shared.responseBudget.cancel(memoryWaiter);
      memoryWaiter = null;
    }
  }

  private ResponseForwarding.Length length() {
    return ResponseForwarding.Length.of(responseHead, bodyBytes);
  }

  /**
   * The client's time is up: returns whether the call goes on for {@link ResponseForwarding#LATE_GRACE_NANOS}, as its response may be long, or has
   * begun to be passed on.
   */
  boolean awaitsLateResponse(Call expired) {
    if (call != expired || responseHead == null || !responseHead.status().equals(HttpResponseStatus.OK) || call.isResponseDiscarded()
        || call.responseConsumer == null || ResponseForwarding.atDeadline(length(), streaming) == ResponseForwarding.AtDeadline.FAIL) {
      return false;
    }
    if (!streaming && !call.responseConsumer.deadlineExtended(ResponseForwarding.LATE_GRACE_NANOS)) {
      return false;
    }
    late = true;
    shared.counts.responseLate();
    return true;
  }

  /** Whether a streamed response is incomplete because its client reads slowly, and not because of its upstream. */
  boolean awaitsClient(Call late) {
    return call == late && streaming && paused;
  }

  /** Starts streaming the response if it is a 200 and still wanted; returns whether it did. */
  private boolean startStreaming() {
    if (!responseHead.status().equals(HttpResponseStatus.OK) || !call.written || call.responseConsumer == null
        || !call.responseConsumer.responseStarted(responseHead)) {
      return false;
    }
    streaming = true;
    progress.streamed();
    if (length() == ResponseForwarding.Length.LONG) {
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
    countIfLate();
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
    shared.responseBudget.acquire(bytes);
    boolean writable = call.responseConsumer.bodyReceived(content, () -> transferred(current, bytes));
    if (!writable || inTransitBytes > 0 && shared.responseBudget.isNearlyExhausted()) {
      paused = true;
      updateAutoRead();
    }
  }

  /** A client's socket has accepted a part of its response, or never will. */
  private void transferred(Call to, int bytes) {
    shared.responseBudget.release(bytes);
    if (call == to) {
      inTransitBytes -= bytes;
      if (paused && inTransitBytes == 0) {
        to.resume();
      }
    }
  }

  private void countIfLate() {
    if (late && bodyBytes <= ResponseForwarding.MAX_SHORT_BYTES) {
      shared.counts.shortResponseLate();
    }
  }

  private boolean isKeepAlive(HttpResponse head) {
    return HttpUtil.isKeepAlive(head) && !ResponseValidator.endsWithConnection(head);
  }

  /** Returns the connection to the idle ones, or closes it. */
  private void recycle(Call completed, boolean keepAlive) {
    if (keepAlive && completed.written && !completed.isDone() && shared.upstreamReady.test(upstream)) {
      channel.config().setAutoRead(true);
      idleSince = System.nanoTime();
      shared.idle.add(this);
    } else {
      close();
    }
  }

  /** Ends the call with a buffered response that has been received completely. */
  private void completeResponse() {
    FullHttpResponse response = new DefaultFullHttpResponse(responseHead.protocolVersion(), responseHead.status(),
        body.take(), responseHead.headers(), EmptyHttpHeaders.INSTANCE);
    Call completed = call;
    countIfLate();
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
      shared.counts.newConnectionRejected(upstream);
    }
    firstCall = false;
    recycle(completed, status != Status.RESET && isKeepAlive(response));
    completed.end(status, response);
    response.release();
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    if (established) {
      shared.replacements.closed(upstream, establishedAt, !closedHere, System.nanoTime());
    }
    if (call != null && !call.isDone() && prefixMatched == 0) {
      recordReuse(true);
    }
    resetResponse();
    shared.idle.remove(this);
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
