package cloverpulley.serve;

import cloverpulley.Balancer.Effect;
import cloverpulley.Balancer.RequestClass;
import cloverpulley.Balancer.Settings;
import cloverpulley.Balancer.Tenant;
import cloverpulley.engine.Clock;
import cloverpulley.engine.Engine;
import cloverpulley.engine.Exchange;
import cloverpulley.engine.Periodic;
import cloverpulley.engine.SocketBudget;
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
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
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
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.logging.Level;
import java.util.logging.Logger;
import java.util.stream.Collectors;

/** The clients' side: takes requests in, hands them to the engine, and writes the final answers. */
final class Frontend {

  private static final Logger LOG = Logger.getLogger(Frontend.class.getName());

  static final String EXPIRES = "X-Expires-In-Ms";
  static final String HEALTH = "/healthz";
  /** The longest answer that is held whole, so that one which breaks off can be made good elsewhere. */
  static final int MAX_BUFFERED_RESPONSE = 64 * 1024;
  static final String API = "/api";
  static final String ID = "X-Trace-Id";
  static final String CLASS = "X-Qos";
  static final String TENANT = "X-Customer";
  private static final String RETRY = "X-Second-Try";
  static final String HINT = "X-Size-Hint";
  static final String IDEMPOTENCY_KEY = "Idempotency-Key";
  static final String KEY_COOKIE = "sid";
  /** The most digits of a header that is a whole number: more would not be a time or an amount of work. */
  private static final int MAX_DIGITS = 9;
  private static final long MAX_EXPIRY_MILLIS = 1_000_000_000L;
  /** The longest id, tenant or key that is kept as it came. */
  private static final int MAX_NAME_LENGTH = 128;
  /** More requests than one read can hold: what is too many is for this class to say, in its turn. */
  private static final int MAX_DECODED_REQUESTS = 8192;
  private static final long TIMEOUT_CHECK_MILLIS = 100;
  /** What a client may take for a body beyond this much time for each byte, and the longest that any may take. */
  private static final long BODY_NANOS_PER_BYTE = TimeUnit.SECONDS.toNanos(1) / (32 * 1024);
  private static final long MAX_UPLOAD_NANOS = TimeUnit.MINUTES.toNanos(10);
  /** Times of {@link Clients#READ_TIMEOUT_NANOS} that an upstream may take nothing of a body. */
  private static final int MAX_UPLOAD_PAUSES = 12;
  /** When a client whose body found no room may ask again. */
  private static final long UPLOAD_RETRY_AFTER_NANOS = TimeUnit.SECONDS.toNanos(1);
  /** The client's time runs from when it sent the request, and the answer has to get back to it. */
  private static final long RESPONSE_MARGIN_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

  private final Engine engine;
  private final HttpExchange.Front exchanges;
  private final Clock clock;
  private final SocketBudget sockets;
  private final UpstreamPool pool;
  private Map<String, RequestClass> classes;
  private Set<String> tenants;
  private final Clients clients = new Clients();
  private final StallDetector stallDetector = new StallDetector();
  private final BufferBudget pipelinedHeadBudget = PipelinedRequests.headBudget();
  private final Counts counts;
  private final RequestReader.Budgets bodyBudgets;
  /** The clients' ids of the requests in hand, and of those of which an attempt is still out. */
  private final Set<String> activeIds = new HashSet<>();
  private Channel listener;
  private boolean ready;
  private boolean stopping;
  private boolean closing;
  private boolean rejecting;

  /** {@code bodyBudgets} is where clients' bodies find room. */
  Frontend(HttpExchange.Front exchanges, Clock clock, SocketBudget sockets, Settings settings, RequestReader.Budgets bodyBudgets, Counts counts) {
    this.counts = counts;
    this.engine = exchanges.engine();
    this.exchanges = exchanges;
    this.clock = clock;
    this.sockets = sockets;
    this.pool = exchanges.pool();
    this.bodyBudgets = bodyBudgets;
    updateSettings(settings);
  }

  /** Requests that come from here on are of these classes and tenants. */
  void updateSettings(Settings settings) {
    classes = settings.classes().stream().collect(Collectors.toMap(RequestClass::name, Function.identity()));
    tenants = settings.tenants().stream().map(Tenant::name).collect(Collectors.toSet());
  }

  ChannelFuture listen(ServerBootstrap bootstrap, SocketAddress address) {
    ChannelFuture bound = Listener.bind(bootstrap.clone().childHandler(new ChannelInitializer<Channel>() {
      @Override
      protected void initChannel(Channel channel) {
        Connection connection = new Connection(channel);
        // The decoder fails a request whose length is told twice, or by Transfer-Encoding as well.
        channel.pipeline().addLast(connection.inputMonitor(), new HttpServerCodec(new HttpDecoderConfig(), MAX_DECODED_REQUESTS),
            connection.reader, connection);
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

  /** From here on {@code /healthz} may say that this balancer serves. */
  void markReady() {
    ready = true;
  }

  /** From here on {@code /healthz} sends clients elsewhere. */
  void markStopping() {
    stopping = true;
  }

  /** Another process listens at the same address: every answer from here on has its client come back to that one. */
  void closeAfterResponses() {
    closing = true;
  }

  /** New connections are refused; those that wait in the queue are taken. */
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

  /** From here on every answer closes its connection; those that are owed nothing are closed, but where a request has begun to come. */
  void drain() {
    closing = true;
    clients.closeWithoutRequest();
  }

  /** What still comes is turned away. Guards rule 1: sent on now, nothing would wait for its end. */
  void rejectRequests() {
    rejecting = true;
  }

  /** Ends what is left, such as a client that has its answer and still sends. */
  void closeAll() {
    clients.closeAll();
  }

  boolean hasConnections() {
    return clients.count() > 0;
  }

  /**
   * Guards the descriptors: what the machine accepted counts as taken, so a new client comes before one that has nothing
   * open, and before connections to upstreams that stand idle.
   */
  private void onAccepted(Channel channel) {
    boolean belowLimit = clients.count() < sockets.maxClientConnections();
    // Beside another process the room is short for a moment only: connections to upstreams are given up before clients are.
    boolean admit = belowLimit && (sockets.hasCapacity() || sockets.isShared() && pool.closeOldest()) || closeLeastUsefulClient() || pool.closeOldest();
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

  /** One client's connection: a request at a time, those that come early wait for their turn. */
  private final class Connection extends SimpleChannelInboundHandler<FullHttpRequest> implements Clients.Client, HttpExchange.Reply {

    private final Channel channel;
    private final RequestReader reader;
    private final PipelinedRequests pipelined = new PipelinedRequests(pipelinedHeadBudget);
    private boolean busy;
    private boolean keepAlive;
    /** The request is of HTTP/1.0, which knows no chunks. */
    private boolean http10;
    /** Nothing that still comes is read: it follows what can't be understood, or there is too much of it. */
    private boolean ignoringInput;
    /** Bytes have come since the last request that was taken. */
    private boolean partialRequest;
    /** Bytes of the body of the request that is served. */
    private int bodyCapacity;
    private HttpExchange exchange;
    /** What is still to come of the body of the request that is served; null for nothing. */
    private BodyStream upload;
    private boolean lingering;
    /** Times that nothing came of a body because it was not read. */
    private int uploadPauses;
    private PassedAnswer streamedResponse;
    /** When the first byte of the request came that is being read. */
    private long readingSince = System.nanoTime();
    /** For how long its first request may have waited for the connection to be accepted; 0 behind that. */
    private long queuedNanos;
    /** Since when nothing is read, by this side's doing; 0 while it reads. */
    private long readPausedSince;

    Connection(Channel channel) {
      this.channel = channel;
      queuedNanos = channel instanceof ClientSocket socket ? socket.queuedNanos() : 0;
      reader = new RequestReader(bodyBudgets, () -> busy, this::updateAutoRead);
    }

    /** Reads, or doesn't: what waits for an upstream that takes it slowly is not to grow. */
    private void updateAutoRead() {
      // Early requests don't end it: the end of a connection is heard only where it is read, and its requests must not go on after that.
      boolean reads = !lingering && reader.wantsMore();
      if (reads != channel.config().isAutoRead()) {
        long now = System.nanoTime();
        readingSince += reads && readPausedSince != 0 ? now - readPausedSince : 0; // Its client could do nothing meanwhile.
        readPausedSince = reads ? 0 : now;
        channel.config().setAutoRead(reads);
        if (reads) {
          clients.readResumed(this);
        }
      }
    }

    /** Sees bytes before they are decoded: from the first one on a request has to come in whole in time. */
    ChannelInboundHandlerAdapter inputMonitor() {
      return new ChannelInboundHandlerAdapter() {
        @Override
        public void channelRead(ChannelHandlerContext context, Object bytes) {
          if (ignoringInput) {
            ReferenceCountUtil.release(bytes);
            return;
          }
          partialRequest = true;
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
        public void channelWritabilityChanged(ChannelHandlerContext context) {
          if (streamedResponse != null) {
            streamedResponse.writabilityChanged();
          }
          context.fireChannelWritabilityChanged();
        }
      };
    }

    /** A body that comes keeps its client, if it comes fast enough. */
    private void checkProgress() {
      if (clients.is(this, State.SERVED) || readPausedSince != 0) {
        return; // Its time begins with its turn, or runs on once it is read: judged now, it would be answered in place of the one that is served.
      }
      if (System.nanoTime() - readingSince > Clients.READ_TIMEOUT_NANOS + reader.received() * BODY_NANOS_PER_BYTE) {
        onTimeout();
      } else if (clients.is(this, State.READING)) {
        clients.setState(this, State.READING);
      } else if (clients.is(this, State.UPLOADING)) {
        uploadPauses = 0;
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
        return;
      }
      ignoringInput = !request.decoderResult().isSuccess();
      if (!busy) {
        handle(request);
      } else if (!pipelined.add(request, reader.bufferedBytes())) {
        ignoringInput = true;
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      clients.remove(this);
      pipelined.release();
      if (upload != null) {
        upload.drop();
      }
      reader.release();
      if (streamedResponse != null) {
        streamedResponse.over();
      }
      if (exchange != null) {
        HttpExchange gone = exchange;
        exchange = null;
        engine.clientGone(gone);
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      boolean usual = cause instanceof IOException || cause instanceof CodecException;
      LOG.log(usual ? Level.FINE : Level.WARNING, "connection from " + channel.remoteAddress(), cause);
      if (cause instanceof IOException || !ignoringInput) {
        context.close();
      } // Otherwise it speaks of what is not read any more; what came before it is still answered.
    }

    @Override
    public void onTimeout() {
      if (clients.is(this, State.UPLOADING) && !channel.config().isAutoRead() && ++uploadPauses < MAX_UPLOAD_PAUSES) {
        clients.setState(this, State.UPLOADING); // It is the upstream that takes its time.
        return;
      }
      if (reader.isAwaitingCapacity()) {
        reader.rejectUpload();
        return;
      }
      counts.clientClosed(false);
      if (clients.is(this, State.UPLOADING)) {
        close(); // What there was of it may be at an upstream, which never gets the upload; or it is answered already.
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
    public void close() {
      clients.remove(this);
      channel.close();
    }

    private void handle(FullHttpRequest request) {
      busy = true;
      partialRequest = false;
      bodyCapacity = request.content().capacity();
      upload = request instanceof StreamedRequest s ? s.rest : null;
      clients.setState(this, upload == null ? State.SERVED : State.UPLOADING);
      keepAlive = HttpUtil.isKeepAlive(request);
      http10 = request.protocolVersion().compareTo(HttpVersion.HTTP_1_1) < 0;
      String uri = request.uri();
      int query = uri.indexOf('?');
      String path = query < 0 ? uri : uri.substring(0, query);
      if (!request.decoderResult().isSuccess()) {
        answer(statusFor(request.decoderResult().cause()), "malformed request");
      } else if (request instanceof StreamedRequest s && s.rejected) {
        counts.uploadRejected();
        answer(HttpResponseStatus.SERVICE_UNAVAILABLE, UPLOAD_RETRY_AFTER_NANOS, null, Unpooled.EMPTY_BUFFER);
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

    private void forward(FullHttpRequest request) {
      HttpHeaders headers = request.headers();
      String id = headers.get(ID, "");
      String tenant = headers.get(TENANT);
      RequestClass requestClass = classes.get(headers.get(CLASS, ""));
      long expires = headers.contains(EXPIRES) ? wholeNumber(headers.get(EXPIRES)) : Long.MAX_VALUE;
      if (id.isEmpty() || id.length() > MAX_NAME_LENGTH) {
        answer(HttpResponseStatus.BAD_REQUEST, ID + " is missing or too long");
      } else if (requestClass == null) {
        answer(HttpResponseStatus.BAD_REQUEST, CLASS + " names no known class");
      } else if (tenant != null && !tenants.isEmpty() && !tenants.contains(tenant)) {
        answer(HttpResponseStatus.BAD_REQUEST, TENANT + " names no known tenant");
      } else if (tenant != null && tenant.length() > MAX_NAME_LENGTH) {
        answer(HttpResponseStatus.BAD_REQUEST, TENANT + " is too long");
      } else if (expires < 0) {
        answer(HttpResponseStatus.BAD_REQUEST, EXPIRES + " is not a number of milliseconds");
      } else if (requestClass.effect() == Effect.KEYED && headers.get(IDEMPOTENCY_KEY, "").isEmpty()) {
        // Guards a keyed class: without the key no upstream could drop a repeat.
        answer(HttpResponseStatus.BAD_REQUEST, IDEMPOTENCY_KEY + " is missing");
      } else if (rejecting) {
        answer(HttpResponseStatus.SERVICE_UNAVAILABLE, "stopping");
      } else if (activeIds.contains(id)) {
        // Guards the client whose request it is, and its effect.
        answer(HttpResponseStatus.CONFLICT, ID + " is that of a request in hand");
      } else {
        // No client waits for longer than its class's deadline, and nothing is kept for longer.
        long allowedNanos = Math.min(requestClass.deadlineNanos(), TimeUnit.MILLISECONDS.toNanos(Math.min(expires, MAX_EXPIRY_MILLIS)));
        long waitNanos = Math.max(0, BufferedRequest.remainingNanos(request, allowedNanos) - Math.max(queuedNanos, stallDetector.stalledNanos()));
        queuedNanos = 0;
        long hint = Math.max(0, wholeNumber(headers.get(HINT, "0")));
        // Of a body that is still remaining the end is not known; its client's time counts from there.
        long deadline = clock.now() + waitNanos - RESPONSE_MARGIN_NANOS + (upload == null ? 0 : MAX_UPLOAD_NANOS);
        Exchange.RequestInfo info = new Exchange.RequestInfo(requestClass, tenant, SessionKey.of(headers, MAX_NAME_LENGTH), TimeUnit.MICROSECONDS.toNanos(hint),
            "1".equals(headers.get(RETRY)), deadline, 0, List.of());
        exchange = new HttpExchange(info, exchanges, request.retain(), waitNanos, this, () -> activeIds.remove(id));
        activeIds.add(id);
        engine.accept(exchange);
        if (upload != null) {
          HttpExchange uploading = exchange;
          upload.listen(() -> engine.bodyDiscarded(uploading), () -> uploadEnded(uploading, waitNanos - RESPONSE_MARGIN_NANOS));
        }
      }
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
      answer(status, 0, "text/plain", content);
      content.release();
    }

    @Override
    public void answer(HttpResponseStatus status, long retryAfterNanos, CharSequence type, ByteBuf content) {
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

    /** What waits for its turn has been taken, and is answered before the connection ends. */
    private boolean canKeepAlive() {
      return keepAlive && (upload == null || upload.isWhole()) && (!pipelined.isEmpty() || !ignoringInput && !closing);
    }

    private void responseWritten(boolean written, boolean persistent) {
      boolean uploading = upload != null && !upload.isWhole();
      if (written && uploading) {
        // A client that reads only once it has sent all: what it still sends is dropped, and then the connection ends.
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
    public boolean isAwaited() {
      return channel instanceof ClientSocket socket ? socket.isClientConnected() : channel.isActive();
    }

    private void discardUpload(BodyStream remaining) {
      remaining.drop();
      remaining.listen(() -> { }, this::lingeringClose);
      updateAutoRead();
    }

    @Override
    public HttpExchange.Stream begin(CharSequence type, long length, Runnable writable) {
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
      streamedResponse = new PassedAnswer(channel, writable, () -> exchange = null, written -> {
        streamedResponse = null;
        responseWritten(written, persistent);
      });
      channel.write(response);
      return streamedResponse;
    }

    /** Guards the error on its way: to close over bytes that were not read would reset it away. */
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

  /** How a request that can't be read is answered. */
  private static HttpResponseStatus statusFor(Throwable cause) {
    return cause instanceof TooLongHttpContentException ? HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE
        : cause instanceof TooLongHttpLineException ? HttpResponseStatus.REQUEST_URI_TOO_LONG
        : cause instanceof TooLongHttpHeaderException ? HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
        : HttpResponseStatus.BAD_REQUEST;
  }

  /** The number, or -1 for anything but digits. */
  private static long wholeNumber(String text) {
    boolean digits = !text.isEmpty() && text.length() <= MAX_DIGITS
        && text.chars().allMatch(c -> c >= '0' && c <= '9');
    return digits ? Long.parseLong(text) : -1;
  }
}
