package cloverpulley.serve;

import cloverpulley.Balancer.Settings;
import cloverpulley.engine.Clock;
import cloverpulley.engine.Engine;
import cloverpulley.engine.Exchange;
import cloverpulley.engine.Periodic;
import cloverpulley.engine.SocketBudget;
import cloverpulley.handover.RequestIdClaims;
import cloverpulley.serve.Clients.State;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.CodecException;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.TooLongHttpContentException;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.math.BigDecimal;
import java.net.SocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.logging.Level;
import java.util.logging.Logger;

/** The client side: reads requests, passes them to the engine and writes the final responses. */
final class Frontend {

  private static final Logger LOG = Logger.getLogger(Frontend.class.getName());

  static final String HEALTH = "/healthz";
  static final String API = "/api";
  /** More requests than one read can contain, so that the limit on pipelined requests is applied here and answered in order. */
  private static final int MAX_DECODED_REQUESTS = 8192;
  private static final long TIMEOUT_CHECK_MILLIS = 100;
  /** The time a client may take per byte of a body, on top of the read timeout, and the longest that any body may take. */
  private static final long BODY_NANOS_PER_BYTE = TimeUnit.SECONDS.toNanos(1) / (32 * 1024);
  private static final long MAX_UPLOAD_NANOS = TimeUnit.MINUTES.toNanos(10);
  /** How long a close may go unseen: no request may be forwarded later than 0.1 s after its client has closed. */
  private static final long MAX_UNSEEN_NANOS = TimeUnit.MILLISECONDS.toNanos(50);
  /** Subtracted from a client's deadline, which runs from when it sent the request until the response has reached it. */
  private static final long RESPONSE_MARGIN_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

  private final Engine engine;
  private final HttpExchange.Context exchangeContext;
  private final Clock clock;
  private final SocketBudget sockets;
  private final UpstreamPool pool;
  private RequestValidator validator;
  private final Clients clients = new Clients();
  private final StallDetector stallDetector = new StallDetector();
  private final BufferBudget headerBudget = HeaderMemory.newBudget();
  private final Counts counts;
  private final RequestReader.Budgets bodyBudgets;
  /** The clients' ids of the requests that are received or in progress, and of finished requests with an attempt still in flight. */
  private final RequestIdClaims requestIds;
  private Channel listener;
  private boolean ready;
  private boolean stopping;
  private boolean closing;
  private boolean rejecting;

  /** {@code bodyBudgets} limits the memory that request bodies take, {@code requestIds} holds the ids of the balancer's requests. */
  Frontend(HttpExchange.Context exchangeContext, Clock clock, SocketBudget sockets, Settings settings, RequestReader.Budgets bodyBudgets,
      RequestIdClaims requestIds, Counts counts) {
    this.requestIds = requestIds;
    this.counts = counts;
    this.engine = exchangeContext.engine();
    this.exchangeContext = exchangeContext;
    this.clock = clock;
    this.sockets = sockets;
    this.pool = exchangeContext.pool();
    this.bodyBudgets = bodyBudgets;
    updateSettings(settings);
  }

  /** Applies new classes and tenants to the requests that arrive from now on. */
  void updateSettings(Settings settings) {
    validator = new RequestValidator(settings);
  }

  ChannelFuture listen(ServerBootstrap bootstrap, SocketAddress address) {
    ChannelFuture bound = Listener.bind(bootstrap.clone().childHandler(new ChannelInitializer<Channel>() {
      @Override
      protected void initChannel(Channel channel) {
        Connection connection = new Connection(channel);
        // The decoder fails a request with more than one length, or with both Content-Length and Transfer-Encoding.
        channel.pipeline().addLast(connection.inputMonitor(),
            new HttpServerCodec(connection.headerMemory.decoderConfig(), MAX_DECODED_REQUESTS), connection.reader, connection);
        onAccepted(channel);
      }
    }), address, loop -> {
      stallDetector.watch(loop);
      if (listener instanceof Listener l) {
        l.setStallDetector(stallDetector);
      }
      Periodic.every(loop, TIMEOUT_CHECK_MILLIS, clients::closeTimedOut);
    });
    listener = bound.channel();
    return bound;
  }

  /** Lets {@code /healthz} report that this balancer serves. */
  void markReady() {
    ready = true;
  }

  /** Makes {@code /healthz} report that this balancer does not serve, so that clients go elsewhere. */
  void markStopping() {
    stopping = true;
  }

  /** Closes each connection after its next response: the client then reconnects to the other process that listens at the same address. */
  void closeAfterResponses() {
    closing = true;
  }

  /** Closes the listener after accepting the connections that wait in its queue. */
  void stopAccepting() {
    if (listener instanceof Listener l) {
      l.drainQueueAndClose();
    } else {
      listener.close();
    }
  }

  boolean isReady() {
    return ready && !stopping && engine.canServe();
  }

  /** Closes connections after their next response, and at once those that have neither a request in progress nor a partial one. */
  void drain() {
    closing = true;
    clients.closeWithoutRequest();
  }

  /** Rejects further requests. Forwarded now, they could not be answered before the process exits (rule 1: one answer to each request). */
  void rejectRequests() {
    rejecting = true;
  }

  /** Closes all connections, such as that of a client that has its response and still sends, but for those that receive a streamed response. */
  void closeAllButReceiving() {
    clients.closeAllButReceiving();
  }

  /** Closes all connections. */
  void closeAll() {
    clients.closeAll();
  }

  boolean hasConnections() {
    return clients.count() > 0;
  }

  /**
   * Keeps the process within its descriptor limit. The operating system has accepted the connection already, so room is made for it by
   * closing a client without a request in progress or an idle upstream connection.
   */
  private void onAccepted(Channel channel) {
    boolean belowLimit = clients.count() < sockets.maxClientConnections();
    // With another process beside this one capacity is short for a moment only, so idle upstream connections are closed before clients.
    boolean admit = belowLimit && (sockets.hasCapacity() || sockets.isShared() && pool.closeOldest()) || closeLeastUsefulClient()
        || pool.closeOldest();
    sockets.opened();
    channel.closeFuture().addListener(f -> sockets.closed());
    if (!admit && sockets.isNearlyExhausted()) {
      channel.close();
    }
  }

  private boolean closeLeastUsefulClient() {
    boolean closed = clients.closeLeastUseful();
    if (closed) {
      counts.clientClosed(true);
    }
    return closed;
  }

  /** A client connection. It serves one request at a time; pipelined requests wait. */
  private final class Connection extends SimpleChannelInboundHandler<FullHttpRequest> implements Clients.Client, HttpExchange.ClientResponder {

    private final Channel channel;
    private final RequestReader reader;
    private final PipelinedRequests pipelined = new PipelinedRequests();
    private final HeaderMemory headerMemory = new HeaderMemory(headerBudget);
    /** The request in progress, until it is answered; null for one that is malformed. */
    private AcceptedRequest accepted;
    private boolean busy;
    private boolean keepAlive;
    /** The request is HTTP/1.0, which has no chunked encoding. */
    private boolean http10;
    /** Further input is discarded: it follows a malformed request, or too many requests are pipelined. */
    private boolean ignoringInput;
    /** Bytes have arrived since the last request that was accepted. */
    private boolean partialRequest;
    /** The buffer capacity of the body of the request in progress, in bytes. */
    private int bodyCapacity;
    private HttpExchange exchange;
    /** The part of the body of the request in progress that is streamed; null if the body is buffered. */
    private BodyStream upload;
    private boolean lingering;
    private final ClientTime clientTime = new ClientTime(System::nanoTime);
    /** How long the client of the request in progress waits from its last byte on. */
    private long waitNanos;
    private StreamedResponse streamedResponse;
    /** When the first byte of the request that is being read arrived. */
    private long readingSince = System.nanoTime();
    /** How long the first request may have waited for the connection to be accepted; 0 for later requests. */
    private long queuedNanos;
    /** When this side stopped reading; 0 while it reads. */
    private long readPausedSince;

    Connection(Channel channel) {
      this.channel = channel;
      queuedNanos = channel instanceof ClientSocket socket ? socket.queuedNanos() : 0;
      reader = new RequestReader(bodyBudgets, clientTime, () -> busy, Frontend.this::claimId, this::updateAutoRead);
    }

    /** Starts or stops reading, so that the data that waits for a slow upstream stays bounded. */
    private void updateAutoRead() {
      // Pipelined requests do not stop it: a close is noticed only by reading, and requests must not be forwarded after it.
      boolean shouldRead = !lingering && reader.wantsMore();
      if (shouldRead != channel.config().isAutoRead()) {
        long now = System.nanoTime();
        readingSince += shouldRead && readPausedSince != 0 ? now - readPausedSince : 0; // The client could not make progress meanwhile.
        readPausedSince = shouldRead ? 0 : now;
        channel.config().setAutoRead(shouldRead);
        if (shouldRead) {
          clients.readResumed(this);
          clientTime.resumed();
        } else {
          clientTime.paused();
        }
      }
    }

    /** Sees bytes before they are decoded: the read timeout of a request starts with its first byte. */
    ChannelInboundHandlerAdapter inputMonitor() {
      return new ChannelInboundHandlerAdapter() {
        @Override
        public void channelRead(ChannelHandlerContext context, Object bytes) {
          if (ignoringInput) {
            ReferenceCountUtil.release(bytes);
            return;
          }
          partialRequest = true;
          clientTime.read(((ByteBuf) bytes).readableBytes());
          if (clients.is(Connection.this, State.IDLE)) {
            readingSince = System.nanoTime();
            clients.setState(Connection.this, State.READING);
          }
          context.fireChannelRead(bytes);
          if (reader.isReadingBody()) {
            checkProgress();
          }
        }

        @Override
        public void channelReadComplete(ChannelHandlerContext context) {
          context.fireChannelReadComplete();
          // Stays behind once reading has stopped: bytes may arrive that are not read.
          if (channel.config().isAutoRead()) {
            clientTime.readEnded(!(channel instanceof ClientSocket socket) || socket.isEmptied());
          }
        }

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext context) {
          if (streamedResponse != null) {
            streamedResponse.writabilityChanged();
          }
          context.fireChannelWritabilityChanged();
        }
      };
    }

    /** Restarts the read timeout while a body arrives fast enough, and otherwise times out. */
    private void checkProgress() {
      if (clients.is(this, State.SERVED) || readPausedSince != 0) {
        return; // A pipelined body's time starts with its turn, a paused one's resumes with reading. A 408 now would answer the request in progress.
      }
      if (System.nanoTime() - readingSince > Clients.READ_TIMEOUT_NANOS + reader.received() * BODY_NANOS_PER_BYTE) {
        onTimeout();
      } else if (clients.is(this, State.READING)) {
        clients.setState(this, State.READING);
      } else if (clients.is(this, State.UPLOADING)) {
        clients.setState(this, State.UPLOADING);
      }
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
      clients.setState(this, State.READING);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
      if (ignoringInput) {
        discard(request);
        return;
      }
      ignoringInput = !request.decoderResult().isSuccess();
      if (!busy) {
        handle(request);
      } else if (!pipelined.add(request, reader.bufferedBytes())) {
        ignoringInput = true;
        discard(request);
      }
    }

    /** Gives back what a request holds that is not answered. */
    private void discard(FullHttpRequest request) {
      if (request instanceof AcceptedRequest unanswered) {
        unanswered.discard();
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      clients.remove(this);
      pipelined.release();
      reader.release();
      releaseAccepted();
      headerMemory.releaseAll();
      if (streamedResponse != null) {
        streamedResponse.cancelStallTimer();
      }
      if (exchange != null) {
        HttpExchange gone = exchange;
        exchange = null;
        engine.clientGone(gone);
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      boolean expected = cause instanceof IOException || cause instanceof CodecException;
      LOG.log(expected ? Level.FINE : Level.WARNING, "connection from " + channel.remoteAddress(), cause);
      if (cause instanceof IOException || !ignoringInput) {
        context.close();
      } // Otherwise the failure is in discarded input; the requests before it are still answered.
    }

    @Override
    public void onTimeout() {
      if (clients.is(this, State.UPLOADING) && !channel.config().isAutoRead() && clientTime.idleNanos() < Clients.READ_TIMEOUT_NANOS) {
        clients.setState(this, State.UPLOADING); // The upstream is slow, not the client, whose time ends the request.
        return;
      }
      counts.clientClosed(false);
      if (clients.is(this, State.UPLOADING)) {
        close(); // An upstream may have its beginning and must not get the rest; or the response has been sent.
      } else if (partialRequest) {
        ignoringInput = true;
        busy = true;
        answer(HttpResponseStatus.REQUEST_TIMEOUT, "the request did not come in whole");
      } else {
        close();
      }
    }

    @Override
    public boolean hasPartialRequest() {
      return partialRequest;
    }

    @Override
    public boolean isReceiving() {
      return streamedResponse != null;
    }

    @Override
    public void close() {
      clients.remove(this);
      channel.close();
    }

    private void handle(FullHttpRequest request) {
      busy = true;
      partialRequest = false;
      accepted = request instanceof AcceptedRequest valid ? valid : null;
      bodyCapacity = request.content().capacity();
      upload = request instanceof StreamedRequest s ? s.bodyStream : null;
      clients.setState(this, upload == null ? State.SERVED : State.UPLOADING);
      keepAlive = HttpUtil.isKeepAlive(request);
      http10 = request.protocolVersion().compareTo(HttpVersion.HTTP_1_1) < 0;
      String path = pathOf(request);
      if (!request.decoderResult().isSuccess()) {
        answer(statusFor(request.decoderResult().cause()), "malformed request");
      } else if (path.equals(HEALTH)) {
        boolean serves = isReady();
        answer(serves ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE, serves ? "ok" : "not serving");
      } else if (!path.equals(API)) {
        answer(HttpResponseStatus.NOT_FOUND, "no such path");
      } else if (!request.method().equals(HttpMethod.GET) && !request.method().equals(HttpMethod.POST)) {
        answer(HttpResponseStatus.METHOD_NOT_ALLOWED, "GET and POST only");
      } else {
        forward(request);
      }
    }

    /** Gives back what the request in progress holds, apart from the id of one that the engine has not removed yet. */
    private void releaseAccepted() {
      if (accepted != null) {
        accepted.discard();
        accepted = null;
      }
    }

    private void forward(FullHttpRequest request) {
      RequestValidator.Result result = validator.validate(request.headers());
      if (result instanceof RequestValidator.Invalid invalid) {
        answer(HttpResponseStatus.BAD_REQUEST, invalid.error());
      } else if (rejecting) {
        answer(HttpResponseStatus.SERVICE_UNAVAILABLE, "stopping");
      } else if (result instanceof RequestValidator.Valid valid) {
        startExchange(request, valid);
      }
    }

    private void startExchange(FullHttpRequest request, RequestValidator.Valid properties) {
      RequestIdClaims.Claim idClaim = accepted.takeIdClaim();
      if (idClaim == null) {
        // Protects the request that already uses this id, and its effect.
        answer(HttpResponseStatus.CONFLICT, RequestHeaders.ID + " is that of an earlier request");
        return;
      }
      waitNanos = Math.max(0, BufferedRequest.remainingNanos(request, properties.waitNanos()) - Math.max(queuedNanos, stallDetector.stalledNanos()));
      queuedNanos = 0;
      // The client's time counts from the end of the body, which is unknown while the body is streamed.
      long deadline = clock.now() + waitNanos - RESPONSE_MARGIN_NANOS + (upload == null ? 0 : MAX_UPLOAD_NANOS);
      Exchange.RequestInfo info = new Exchange.RequestInfo(properties.requestClass(), properties.tenant(), properties.sessionKey(),
          properties.hintNanos(), properties.retry(), deadline, 0, List.of(), bodyBytes(request));
      long wait = waitNanos;
      LongSupplier clientRemaining = upload == null ? null : () -> clientTime.remaining(wait);
      exchange = new HttpExchange(info, exchangeContext, request.retain(), clientRemaining, this, idClaim);
      engine.accept(exchange);
      if (upload != null) {
        HttpExchange uploading = exchange;
        engine.bodyPending(uploading);
        upload.setCallbacks(() -> engine.bodyDiscarded(uploading), () -> uploadEnded(uploading, clientRemaining.getAsLong() - RESPONSE_MARGIN_NANOS));
        BodyStream body = upload;
        new UploadTimer(channel, clientTime, wait - RESPONSE_MARGIN_NANOS, () -> exchange == uploading && !body.isComplete(),
            () -> engine.clientTimeUp(uploading)).start();
      }
    }

    /** The length of the body; the most that it may have while it is being received in chunks. */
    private long bodyBytes(FullHttpRequest request) {
      return upload == null ? request.content().readableBytes() : HttpUtil.getContentLength(request, RequestReader.MAX_BODY);
    }

    private void uploadEnded(HttpExchange uploading, long remainingNanos) {
      partialRequest = false;
      uploading.bodyEnded(clock.now() + remainingNanos, remainingNanos);
      if (clients.is(this, State.UPLOADING)) {
        clients.setState(this, State.SERVED);
      }
    }

    private void answer(HttpResponseStatus status, String text) {
      ByteBuf content = Unpooled.copiedBuffer(text + "\n", StandardCharsets.UTF_8);
      sendResponse(status, 0, "text/plain", content);
      content.release();
    }

    @Override
    public void sendResponse(HttpResponseStatus status, long retryAfterNanos, CharSequence type, ByteBuf content) {
      exchange = null;
      FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, content.retainedDuplicate());
      response.headers().set(HttpHeaderNames.CONTENT_LENGTH, content.readableBytes());
      if (type != null) {
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, type);
      }
      if (retryAfterNanos > 0) {
        response.headers().set(HttpHeaderNames.RETRY_AFTER, BigDecimal.valueOf((long) Math.ceil(retryAfterNanos / 1e6), 3).toPlainString());
      }
      boolean persistent = canKeepAlive();
      HttpUtil.setKeepAlive(response, persistent);
      channel.writeAndFlush(response).addListener(f -> responseWritten(f.isSuccess(), persistent));
    }

    /** Whether the connection stays open after this response. Pipelined requests were accepted and are answered before it closes. */
    private boolean canKeepAlive() {
      return keepAlive && (upload == null || upload.isComplete()) && (!pipelined.isEmpty() || !ignoringInput && !closing);
    }

    private void responseWritten(boolean written, boolean persistent) {
      boolean uploading = upload != null && !upload.isComplete();
      if (written && uploading) {
        // The client may read only after sending everything: the rest of the body is discarded before the connection closes.
        BodyStream remaining = upload;
        discardUpload(remaining);
      } else if (!written || !persistent && !ignoringInput) {
        channel.close();
      } else if (!persistent) {
        lingeringClose();
      } else {
        nextRequest();
      }
    }

    @Override
    public ClientPresence clientPresence() {
      if (channel instanceof ClientSocket socket) {
        // A client closes after its last byte.
        return socket.presence(() -> System.nanoTime() - clientTime.earliest() < MAX_UNSEEN_NANOS, () -> !bodyBudgets.streamed().isExhausted());
      }
      return channel.isActive() ? ClientPresence.CONNECTED : ClientPresence.GONE;
    }

    private void discardUpload(BodyStream remaining) {
      remaining.discard();
      remaining.setCallbacks(() -> { }, this::lingeringClose);
      updateAutoRead();
    }

    @Override
    public HttpExchange.ResponseStream beginStream(CharSequence type, long length, Runnable writable) {
      HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
      if (type != null) {
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, type);
      }
      boolean framed = length >= 0 || !http10;
      if (length >= 0) {
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, length);
      } else if (framed) {
        response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
      }
      boolean persistent = framed && canKeepAlive();
      HttpUtil.setKeepAlive(response, persistent);
      streamedResponse = new StreamedResponse(channel, writable, () -> exchange = null, written -> {
        streamedResponse = null;
        responseWritten(written, persistent);
      });
      channel.write(response);
      return streamedResponse;
    }

    /**
     * Closes after the client has had time to read the response: closing with unread bytes would reset the connection, and the response
     * would be lost.
     */
    private void lingeringClose() {
      clients.setState(this, State.LEAVING);
      lingering = true;
      updateAutoRead();
      if (channel instanceof DuplexChannel duplex) {
        duplex.shutdownOutput();
      }
    }

    private void nextRequest() {
      busy = false;
      upload = null;
      reader.release(bodyCapacity);
      releaseAccepted();
      FullHttpRequest request = pipelined.poll();
      if (request != null) {
        handle(request);
        request.release();
      } else if (channel.isActive()) {
        readingSince = System.nanoTime();
        clients.setState(this, partialRequest ? State.READING : State.IDLE);
      }
      if (!ignoringInput) {
        updateAutoRead();
      }
    }
  }

  private static String pathOf(HttpRequest request) {
    String uri = request.uri();
    int query = uri.indexOf('?');
    return query < 0 ? uri : uri.substring(0, query);
  }

  /**
   * Claims the id of a request as soon as its head is complete, so that no other request can use it while this one waits or is still being
   * received; null if there is no single valid id, or if it is taken.
   */
  private RequestIdClaims.Claim claimId(HttpRequest request) {
    String id = pathOf(request).equals(API) ? RequestHeaders.validId(request.headers()) : null;
    return id == null ? null : requestIds.claim(id);
  }

  /** The response status for a malformed request. */
  private static HttpResponseStatus statusFor(Throwable cause) {
    return cause instanceof TooLongHttpContentException ? HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE
        : cause instanceof TooLongHttpLineException ? HttpResponseStatus.REQUEST_URI_TOO_LONG
        : cause instanceof TooLongHttpHeaderException ? HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
        : HttpResponseStatus.BAD_REQUEST;
  }
}
