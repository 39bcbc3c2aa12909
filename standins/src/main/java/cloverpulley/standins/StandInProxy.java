package cloverpulley.standins;

import cloverpulley.extproc.ExtProc.HeaderMap;
import cloverpulley.extproc.ExtProc.HeaderValue;
import cloverpulley.extproc.ExtProc.HeaderValueOption;
import cloverpulley.extproc.ExtProc.HttpBody;
import cloverpulley.extproc.ExtProc.HttpHeaders;
import cloverpulley.extproc.ExtProc.ProcessingMode.BodySendMode;
import cloverpulley.extproc.ExtProc.ProcessingRequest;
import cloverpulley.extproc.ExtProc.ProcessingResponse;
import cloverpulley.extproc.ExtProc.ProtocolConfiguration;
import cloverpulley.extproc.ExternalProcessor;
import com.google.protobuf.ByteString;
import com.google.protobuf.Struct;
import com.google.protobuf.Value;
import io.grpc.CallOptions;
import io.grpc.ClientCall;
import io.grpc.ManagedChannel;
import io.grpc.Metadata;
import io.grpc.Status;
import io.grpc.netty.NettyChannelBuilder;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongFunction;

/**
 * A small proxy that calls an external processor (ext_proc) as Envoy does: HTTP/1.1 to clients and upstreams, one processor
 * stream per attempt, configurable retries and injected faults. It runs on its own event loop. It buffers whole messages and
 * is meant for tests, demos and measurements only.
 */
public final class StandInProxy implements AutoCloseable {

  private static final int MAX_BODY_BYTES = 1 << 20;
  private static final String ATTRIBUTES = "envoy.filters.http.ext_proc";

  /** Ways in which a call deviates from the protocol. */
  public enum Fault {
    NONE, CANCEL_BEFORE_DECISION, CANCEL_AFTER_DECISION, NO_RESPONSE_PHASE, EMPTY_MESSAGE, DUPLICATE_HEADERS, STALL, FLOOD
  }

  /**
   * Settings of the proxy.
   *
   * @param attempts maximum number of attempts of a request, including the first
   * @param backOffMillis delay before each retry
   * @param retryOnError whether 5xx responses of an upstream are retried, as failed connections and resets always are
   * @param messageTimeoutMillis how long the processor may take to reply before the call counts as failed
   * @param attemptTimeoutMillis how long an upstream may take to respond
   */
  public record Config(String destinationHeader, int attempts, long backOffMillis, boolean retryOnError,
      long messageTimeoutMillis, long attemptTimeoutMillis, BodySendMode requestBody, BodySendMode responseBody) {

    public static Config of(int attempts) {
      return new Config("x-gateway-destination-endpoint", attempts, 20, true, 1000, 10_000, BodySendMode.NONE,
          BodySendMode.NONE);
    }

    public Config with(BodySendMode request, BodySendMode response) {
      return new Config(destinationHeader, attempts, backOffMillis, retryOnError, messageTimeoutMillis, attemptTimeoutMillis,
          request, response);
    }
  }

  /** Counters of requests, processor calls and their results. */
  public static final class Counters {
    public final AtomicLong requests = new AtomicLong();
    public final AtomicLong answers = new AtomicLong();
    public final AtomicLong calls = new AtomicLong();
    public final AtomicLong destinations = new AtomicLong();
    public final AtomicLong rejections = new AtomicLong();
    public final AtomicLong failures = new AtomicLong();
    /** Calls whose stream failed or timed out before a decision. */
    public final AtomicLong missingDecisions = new AtomicLong();
    /** Decisions received for calls that already had one. */
    public final AtomicLong duplicateDecisions = new AtomicLong();
    /** Decisions that arrived after the message timeout. Measured on the proxy's event loop, so it includes the proxy's own delay. */
    public final AtomicLong lateDecisions = new AtomicLong();
    public final AtomicLong maxDecisionMicros = new AtomicLong();
  }

  private final Config config;
  private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final EventLoop loop = group.next();
  private final Channel listener;
  private final Map<String, ArrayDeque<Channel>> idle = new HashMap<>();
  private final LongFunction<Fault> faults;
  private final Counters counters = new Counters();
  private final AtomicLong ids = new AtomicLong();
  private volatile ManagedChannel processor;

  public StandInProxy(InetSocketAddress processor, Config config) {
    this(processor, config, n -> Fault.NONE);
  }

  /** {@code faults} returns the fault to inject into the n-th call, counted from 0. */
  public StandInProxy(InetSocketAddress processor, Config config, LongFunction<Fault> faults) {
    this.config = config;
    this.faults = faults;
    connectTo(processor);
    listener = new ServerBootstrap().group(group).channel(NioServerSocketChannel.class)
        .option(ChannelOption.SO_BACKLOG, 1024).childOption(ChannelOption.TCP_NODELAY, true)
        .childHandler(new ChannelInitializer<Channel>() {
          @Override
          protected void initChannel(Channel channel) {
            channel.pipeline().addLast(new HttpServerCodec(), new HttpObjectAggregator(MAX_BODY_BYTES), new Client());
          }
        }).bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0)).syncUninterruptibly().channel();
  }

  /** Sends new calls to this processor; open calls continue on the previous one. */
  public void connectTo(InetSocketAddress address) {
    ManagedChannel previous = processor;
    processor = NettyChannelBuilder.forAddress(address).eventLoopGroup(group).channelType(NioSocketChannel.class)
        .directExecutor().usePlaintext().build();
    if (previous != null) {
      previous.shutdown();
    }
  }

  public InetSocketAddress address() {
    return (InetSocketAddress) listener.localAddress();
  }

  public Counters counters() {
    return counters;
  }

  /** Drops the connection to the processor with every call on it, and connects to the next one. */
  public void dropProcessor(InetSocketAddress next) {
    ManagedChannel previous = processor;
    processor = null;
    connectTo(next);
    previous.shutdownNow();
  }

  @Override
  public void close() {
    listener.close().syncUninterruptibly();
    processor.shutdownNow();
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  // ---- Clients -------------------------------------------------------------------------------------------

  private final class Client extends SimpleChannelInboundHandler<FullHttpRequest> {
    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
      counters.requests.incrementAndGet();
      if (!request.headers().contains("x-request-id")) {
        request.headers().set("x-request-id", "p" + ids.getAndIncrement());
      }
      new Exchange(context.channel(), request.retain()).attempt();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      context.close();
    }
  }

  /** A client's request with all of its attempts. */
  private final class Exchange {

    private final Channel client;
    private final FullHttpRequest request;
    private int attempt;

    Exchange(Channel client, FullHttpRequest request) {
      this.client = client;
      this.request = request;
    }

    void attempt() {
      attempt++;
      new Call(this).start();
    }

    boolean retry() {
      if (attempt >= config.attempts || !client.isActive()) {
        return false;
      }
      loop.schedule(this::attempt, config.backOffMillis, TimeUnit.MILLISECONDS);
      return true;
    }

    void answer(int status, Map<String, String> headers, ByteBuf body) {
      counters.answers.incrementAndGet();
      FullHttpResponse response =
          new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), body);
      headers.forEach((name, value) -> response.headers().set(name, value));
      response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
      request.release();
      client.writeAndFlush(response);
    }
  }

  // ---- The processor -------------------------------------------------------------------------------------

  /** One attempt: a processor call, followed by the upstream request or immediate response that it decides on. */
  private final class Call extends ClientCall.Listener<ProcessingResponse> {

    private final Exchange exchange;
    private final long number = counters.calls.getAndIncrement();
    private final Fault fault = faults.apply(number);
    private ClientCall<ProcessingRequest, ProcessingResponse> stream;
    private long startNanos;
    private Future<?> timeout;
    private String destination;
    private boolean bodySent;
    private boolean decided;
    private boolean finished;
    private Runnable afterResponsePhase;
    private int pendingReplies;

    Call(Exchange exchange) {
      this.exchange = exchange;
    }

    void start() {
      stream = processor.newCall(ExternalProcessor.PROCESS, CallOptions.DEFAULT);
      stream.start(this, new Metadata());
      stream.request(Integer.MAX_VALUE);
      startNanos = System.nanoTime();
      timeout = loop.schedule(this::onTimeout, config.messageTimeoutMillis, TimeUnit.MILLISECONDS);
      ProcessingRequest headers = ProcessingRequest.newBuilder()
          .setRequestHeaders(HttpHeaders.newBuilder().setHeaders(requestHeaders())
              .setEndOfStream(!exchange.request.content().isReadable()))
          .setProtocolConfig(ProtocolConfiguration.newBuilder().setRequestBodyMode(config.requestBody)
              .setResponseBodyMode(config.responseBody)).build();
      if (fault == Fault.EMPTY_MESSAGE) {
        stream.sendMessage(ProcessingRequest.getDefaultInstance());
        return;
      }
      stream.sendMessage(headers);
      if (fault == Fault.CANCEL_BEFORE_DECISION) {
        stream.cancel("cancelled while the decision was pending", null);
      } else if (fault == Fault.DUPLICATE_HEADERS) {
        stream.sendMessage(headers);
      }
    }

    private HeaderMap requestHeaders() {
      HeaderMap.Builder map = HeaderMap.newBuilder();
      add(map, ":method", exchange.request.method().name());
      add(map, ":path", exchange.request.uri());
      exchange.request.headers().forEach(e -> add(map, e.getKey().toLowerCase(Locale.ROOT), e.getValue()));
      add(map, "x-envoy-attempt-count", Integer.toString(exchange.attempt));
      return map.build();
    }

    @Override
    public void onMessage(ProcessingResponse reply) {
      if (finished) {
        return;
      }
      if (reply.hasImmediateResponse()) {
        onImmediateResponse(reply);
      } else if (reply.hasRequestHeaders()) {
        recordDestination(reply, reply.getRequestHeaders().getResponse().getHeaderMutation().getSetHeadersList());
        if (config.requestBody == BodySendMode.BUFFERED && exchange.request.content().isReadable()) {
          bodySent = true;
          stream.sendMessage(ProcessingRequest.newBuilder().setRequestBody(HttpBody.newBuilder()
              .setBody(ByteString.copyFrom(exchange.request.content().nioBuffer())).setEndOfStream(true)).build());
        } else {
          onDecision();
        }
      } else if (reply.hasRequestBody() && bodySent) {
        recordDestination(reply, reply.getRequestBody().getResponse().getHeaderMutation().getSetHeadersList());
        onDecision();
      } else if ((reply.hasResponseHeaders() || reply.hasResponseBody()) && --pendingReplies == 0) {
        finished = true;
        stream.halfClose();
        afterResponsePhase.run();
      }
    }

    private void recordDestination(ProcessingResponse reply, Iterable<HeaderValueOption> set) {
      for (HeaderValueOption option : set) {
        if (option.getHeader().getKey().equals(config.destinationHeader)) {
          destination = option.getHeader().getRawValue().toStringUtf8();
        }
      }
    }

    private void recordDecision() {
      timeout.cancel(false);
      long micros = (System.nanoTime() - startNanos) / 1000;
      counters.maxDecisionMicros.accumulateAndGet(micros, Math::max);
      if (decided) {
        counters.duplicateDecisions.incrementAndGet();
      } else if (micros > config.messageTimeoutMillis * 1000) {
        counters.lateDecisions.incrementAndGet();
      }
      decided = true;
    }

    private void onImmediateResponse(ProcessingResponse reply) {
      recordDecision();
      finished = true;
      int status = reply.getImmediateResponse().getStatus().getCode();
      (status == HttpResponseStatus.TOO_MANY_REQUESTS.code() ? counters.rejections : counters.failures).incrementAndGet();
      Map<String, String> headers = new HashMap<>();
      reply.getImmediateResponse().getHeaders().getSetHeadersList()
          .forEach(h -> headers.put(h.getHeader().getKey(), h.getHeader().getRawValue().toStringUtf8()));
      exchange.answer(status, headers,
          Unpooled.wrappedBuffer(reply.getImmediateResponse().getBody().asReadOnlyByteBuffer()));
    }

    private void onDecision() {
      recordDecision();
      counters.destinations.incrementAndGet();
      if (fault == Fault.CANCEL_AFTER_DECISION) {
        finished = true;
        stream.cancel("cancelled after the decision", null);
      } else if (fault == Fault.FLOOD) {
        for (int i = 0; i < 500; i++) {
          stream.sendMessage(ProcessingRequest.newBuilder()
              .setRequestBody(HttpBody.newBuilder().setBody(ByteString.copyFrom(new byte[512]))).build());
        }
      }
      if (destination == null) {
        finish(500, Map.of(), Unpooled.EMPTY_BUFFER);
      } else {
        forward();
      }
    }

    private void onTimeout() {
      if (!decided) {
        onMissingDecision();
      }
    }

    private void onMissingDecision() {
      timeout.cancel(false);
      finished = true;
      decided = true;
      counters.missingDecisions.incrementAndGet();
      stream.cancel("no decision in time", null);
      if (!exchange.retry()) {
        exchange.answer(500, Map.of("x-proxy", "no-verdict"), Unpooled.EMPTY_BUFFER);
      }
    }

    @Override
    public void onClose(Status status, Metadata trailers) {
      if (!decided) {
        onMissingDecision();
      } else if (!finished && afterResponsePhase != null) {
        finished = true; // The processor closed the stream: the upstream's response is forwarded without it.
        afterResponsePhase.run();
      }
    }

    // ---- The upstream --------------------------------------------------------------------------------------

    private void forward() {
      ArrayDeque<Channel> pool = idle.computeIfAbsent(destination, d -> new ArrayDeque<>());
      Channel reused = pool.pollFirst();
      while (reused != null && !reused.isActive()) {
        reused = pool.pollFirst();
      }
      if (reused != null) {
        reused.pipeline().get(Upstream.class).send(this);
        return;
      }
      int colon = destination.lastIndexOf(':');
      ChannelFuture connect = new Bootstrap().group(group).channel(NioSocketChannel.class)
          .option(ChannelOption.TCP_NODELAY, true).option(ChannelOption.CONNECT_TIMEOUT_MILLIS, 1000)
          .handler(new ChannelInitializer<Channel>() {
            @Override
            protected void initChannel(Channel channel) {
              channel.pipeline().addLast(new HttpClientCodec(), new HttpObjectAggregator(MAX_BODY_BYTES),
                  new Upstream(channel, destination));
            }
          }).connect(destination.substring(0, colon), Integer.parseInt(destination.substring(colon + 1)));
      connect.addListener(f -> {
        if (f.isSuccess()) {
          connect.channel().pipeline().get(Upstream.class).send(this);
        } else {
          onUpstreamFailure("upstream_reset_before_response_started{connection_failure}");
        }
      });
    }

    FullHttpRequest upstreamRequest() {
      FullHttpRequest forwarded = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, exchange.request.method(),
          exchange.request.uri(), exchange.request.content().retainedDuplicate());
      forwarded.headers().set(exchange.request.headers());
      forwarded.headers().set(config.destinationHeader, destination);
      return forwarded;
    }

    void onUpstreamResponse(FullHttpResponse response) {
      boolean error = response.status().code() >= 500;
      Map<String, String> headers = new HashMap<>();
      response.headers().forEach(e -> headers.put(e.getKey().toLowerCase(Locale.ROOT), e.getValue()));
      ByteBuf body = response.content().retain();
      sendResponsePhase(response.status().code(), headers, body, "", () -> {
        boolean neverExecuted = headers.containsKey("x-never-ran");
        if (error && (config.retryOnError || neverExecuted) && exchange.retry()) {
          body.release();
        } else {
          exchange.answer(response.status().code(), headers, body);
        }
      });
    }

    void onUpstreamFailure(String details) {
      sendResponsePhase(503, Map.of(), Unpooled.EMPTY_BUFFER, details, () -> {
        if (!exchange.retry()) {
          exchange.answer(503, Map.of("x-proxy", "upstream"), Unpooled.EMPTY_BUFFER);
        }
      });
    }

    private void finish(int status, Map<String, String> headers, ByteBuf body) {
      sendResponsePhase(status, headers, body, "", () -> exchange.answer(status, headers, body));
    }

    /** Runs the response phase, then the continuation. */
    private void sendResponsePhase(int status, Map<String, String> headers, ByteBuf body, String details, Runnable continuation) {
      if (finished || fault == Fault.NO_RESPONSE_PHASE) {
        if (!finished) {
          finished = true;
          stream.halfClose();
        }
        continuation.run();
        return;
      }
      if (fault == Fault.STALL) {
        finished = true; // Leaves the stream open without sending anything more.
        continuation.run();
        return;
      }
      afterResponsePhase = continuation;
      HeaderMap.Builder map = HeaderMap.newBuilder();
      add(map, ":status", Integer.toString(status));
      headers.forEach((name, value) -> add(map, name, value));
      boolean hasBody = config.responseBody != BodySendMode.NONE && body.isReadable();
      ProcessingRequest.Builder message = ProcessingRequest.newBuilder()
          .setResponseHeaders(HttpHeaders.newBuilder().setHeaders(map).setEndOfStream(!hasBody));
      if (!details.isEmpty()) {
        message.putAttributes(ATTRIBUTES, Struct.newBuilder()
            .putFields("response.code_details", Value.newBuilder().setStringValue(details).build()).build());
      }
      pendingReplies = hasBody ? 2 : 1;
      stream.sendMessage(message.build());
      if (hasBody) {
        stream.sendMessage(ProcessingRequest.newBuilder().setResponseBody(HttpBody.newBuilder()
            .setBody(ByteString.copyFrom(body.nioBuffer())).setEndOfStream(true)).build());
      }
      loop.schedule(() -> {
        if (!finished) {
          finished = true;
          stream.cancel("no reply to the response phase", null);
          continuation.run();
        }
      }, config.messageTimeoutMillis, TimeUnit.MILLISECONDS);
    }
  }

  private static void add(HeaderMap.Builder map, String name, String value) {
    map.addHeaders(HeaderValue.newBuilder().setKey(name).setRawValue(ByteString.copyFromUtf8(value)));
  }

  /** A connection to an upstream, with at most one request in flight. */
  private final class Upstream extends SimpleChannelInboundHandler<FullHttpResponse> {

    private final Channel channel;
    private final String address;
    private Call call;
    private Future<?> timeout;

    Upstream(Channel channel, String address) {
      this.channel = channel;
      this.address = address;
    }

    void send(Call next) {
      call = next;
      timeout = loop.schedule(() -> {
        Call expired = call;
        call = null;
        channel.close();
        if (expired != null) {
          expired.onUpstreamFailure("upstream_response_timeout");
        }
      }, config.attemptTimeoutMillis, TimeUnit.MILLISECONDS);
      channel.writeAndFlush(next.upstreamRequest());
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
      Call current = call;
      call = null;
      if (current != null) {
        timeout.cancel(false);
        idle.get(address).push(channel);
        current.onUpstreamResponse(response);
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      Call current = call;
      call = null;
      if (current != null) {
        timeout.cancel(false);
        current.onUpstreamFailure("upstream_reset_before_response_started{connection_termination}");
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      context.close();
    }
  }
}
