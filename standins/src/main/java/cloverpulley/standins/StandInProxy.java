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
 * A small proxy of the kind that calls an external processor: HTTP/1.1 to clients and upstreams, one processor call an
 * attempt, repeats as its configuration says, and faults on demand. Runs on one loop of its own. It is a stand-in: it holds
 * whole messages, and its clients are tests, demos and measurements.
 */
public final class StandInProxy implements AutoCloseable {

  private static final int MOST_BODY = 1 << 20;
  private static final String ATTRIBUTES = "envoy.filters.http.ext_proc";

  /** What a call does other than a good proxy would. */
  public enum Fault {
    NONE, CANCEL_BEFORE_DECISION, CANCEL_AFTER_DECISION, NO_RESPONSE_PHASE, EMPTY_MESSAGE, DUPLICATE_HEADERS, STALL, FLOOD
  }

  /**
   * How it behaves.
   *
   * @param attempts most attempts of a request, the first among them
   * @param backOffMillis before each repeat
   * @param retryOnError whether an upstream's 5xx is tried again, beside failed connections and resets
   * @param messageTimeoutMillis how long a reply of the processor may take before the call counts as failed
   * @param tryTimeoutMillis how long an upstream may take
   */
  public record Config(String destinationHeader, int attempts, long backOffMillis, boolean retryOnError,
      long messageTimeoutMillis, long tryTimeoutMillis, BodySendMode requestBody, BodySendMode responseBody) {

    public static Config of(int attempts) {
      return new Config("x-gateway-destination-endpoint", attempts, 20, true, 1000, 10_000, BodySendMode.NONE,
          BodySendMode.NONE);
    }

    public Config with(BodySendMode request, BodySendMode response) {
      return new Config(destinationHeader, attempts, backOffMillis, retryOnError, messageTimeoutMillis, tryTimeoutMillis,
          request, response);
    }
  }

  /** What the proxy has seen of its processor. */
  public static final class Counters {
    public final AtomicLong requests = new AtomicLong();
    public final AtomicLong answers = new AtomicLong();
    public final AtomicLong calls = new AtomicLong();
    public final AtomicLong destinations = new AtomicLong();
    public final AtomicLong rejections = new AtomicLong();
    public final AtomicLong failures = new AtomicLong();
    /** Calls whose stream failed or whose verdict did not come in time. */
    public final AtomicLong noVerdict = new AtomicLong();
    /** Calls that got a verdict after they had one. */
    public final AtomicLong duplicateDecisions = new AtomicLong();
    /** Verdicts later than the message time-out, by the proxy's own clock: its own delay is in it. */
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

  /** {@code faults} says what is wrong with the n-th call, from 0. */
  public StandInProxy(InetSocketAddress processor, Config config, LongFunction<Fault> faults) {
    this.config = config;
    this.faults = faults;
    connectTo(processor);
    listener = new ServerBootstrap().group(group).channel(NioServerSocketChannel.class)
        .option(ChannelOption.SO_BACKLOG, 1024).childOption(ChannelOption.TCP_NODELAY, true)
        .childHandler(new ChannelInitializer<Channel>() {
          @Override
          protected void initChannel(Channel channel) {
            channel.pipeline().addLast(new HttpServerCodec(), new HttpObjectAggregator(MOST_BODY), new Client());
          }
        }).bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0)).syncUninterruptibly().channel();
  }

  /** Calls go to this processor from now on; those that are open go on where they are. */
  public void connectTo(InetSocketAddress address) {
    ManagedChannel before = processor;
    processor = NettyChannelBuilder.forAddress(address).eventLoopGroup(group).channelType(NioSocketChannel.class)
        .directExecutor().usePlaintext().build();
    if (before != null) {
      before.shutdown();
    }
  }

  public InetSocketAddress address() {
    return (InetSocketAddress) listener.localAddress();
  }

  public Counters counters() {
    return counters;
  }

  /** Drops the connection to the processor, with every call on it. */
  public void dropProcessor(InetSocketAddress next) {
    ManagedChannel before = processor;
    processor = null;
    connectTo(next);
    before.shutdownNow();
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

  /** One client's request, through all of its attempts. */
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

    boolean again() {
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

  /** One attempt: a call of the processor, and what it says done. */
  private final class Call extends ClientCall.Listener<ProcessingResponse> {

    private final Exchange exchange;
    private final long number = counters.calls.getAndIncrement();
    private final Fault fault = faults.apply(number);
    private ClientCall<ProcessingRequest, ProcessingResponse> stream;
    private long askedAt;
    private Future<?> timeout;
    private String destination;
    private boolean bodyAsked;
    private boolean decided;
    private boolean over;
    private Runnable afterResponse;
    private int repliesToCome;

    Call(Exchange exchange) {
      this.exchange = exchange;
    }

    void start() {
      stream = processor.newCall(ExternalProcessor.PROCESS, CallOptions.DEFAULT);
      stream.start(this, new Metadata());
      stream.request(Integer.MAX_VALUE);
      askedAt = System.nanoTime();
      timeout = loop.schedule(this::late, config.messageTimeoutMillis, TimeUnit.MILLISECONDS);
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
        stream.cancel("hung up while the verdict was awaited", null);
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
      if (over) {
        return;
      }
      if (reply.hasImmediateResponse()) {
        immediate(reply);
      } else if (reply.hasRequestHeaders()) {
        take(reply, reply.getRequestHeaders().getResponse().getHeaderMutation().getSetHeadersList());
        if (config.requestBody == BodySendMode.BUFFERED && exchange.request.content().isReadable()) {
          bodyAsked = true;
          stream.sendMessage(ProcessingRequest.newBuilder().setRequestBody(HttpBody.newBuilder()
              .setBody(ByteString.copyFrom(exchange.request.content().nioBuffer())).setEndOfStream(true)).build());
        } else {
          decide();
        }
      } else if (reply.hasRequestBody() && bodyAsked) {
        take(reply, reply.getRequestBody().getResponse().getHeaderMutation().getSetHeadersList());
        decide();
      } else if ((reply.hasResponseHeaders() || reply.hasResponseBody()) && --repliesToCome == 0) {
        over = true;
        stream.halfClose();
        afterResponse.run();
      }
    }

    private void take(ProcessingResponse reply, Iterable<HeaderValueOption> set) {
      for (HeaderValueOption option : set) {
        if (option.getHeader().getKey().equals(config.destinationHeader)) {
          destination = option.getHeader().getRawValue().toStringUtf8();
        }
      }
    }

    private void verdict() {
      timeout.cancel(false);
      long micros = (System.nanoTime() - askedAt) / 1000;
      counters.maxDecisionMicros.accumulateAndGet(micros, Math::max);
      if (decided) {
        counters.duplicateDecisions.incrementAndGet();
      } else if (micros > config.messageTimeoutMillis * 1000) {
        counters.lateDecisions.incrementAndGet();
      }
      decided = true;
    }

    private void immediate(ProcessingResponse reply) {
      verdict();
      over = true;
      int status = reply.getImmediateResponse().getStatus().getCode();
      (status == HttpResponseStatus.TOO_MANY_REQUESTS.code() ? counters.rejections : counters.failures).incrementAndGet();
      Map<String, String> headers = new HashMap<>();
      reply.getImmediateResponse().getHeaders().getSetHeadersList()
          .forEach(h -> headers.put(h.getHeader().getKey(), h.getHeader().getRawValue().toStringUtf8()));
      exchange.answer(status, headers,
          Unpooled.wrappedBuffer(reply.getImmediateResponse().getBody().asReadOnlyByteBuffer()));
    }

    private void decide() {
      verdict();
      counters.destinations.incrementAndGet();
      if (fault == Fault.CANCEL_AFTER_DECISION) {
        over = true;
        stream.cancel("hung up after the verdict", null);
      } else if (fault == Fault.FLOOD) {
        for (int i = 0; i < 500; i++) {
          stream.sendMessage(ProcessingRequest.newBuilder()
              .setRequestBody(HttpBody.newBuilder().setBody(ByteString.copyFrom(new byte[512]))).build());
        }
      }
      if (destination == null) {
        finish(500, Map.of(), Unpooled.EMPTY_BUFFER);
      } else {
        sendOn();
      }
    }

    private void late() {
      if (!decided) {
        noVerdict();
      }
    }

    private void noVerdict() {
      timeout.cancel(false);
      over = true;
      decided = true;
      counters.noVerdict.incrementAndGet();
      stream.cancel("no verdict in time", null);
      if (!exchange.again()) {
        exchange.answer(500, Map.of("x-proxy", "no-verdict"), Unpooled.EMPTY_BUFFER);
      }
    }

    @Override
    public void onClose(Status status, Metadata trailers) {
      if (!decided) {
        noVerdict();
      } else if (!over && afterResponse != null) {
        over = true; // The processor has let go of the stream: what the upstream said goes on without it.
        afterResponse.run();
      }
    }

    // ---- The upstream --------------------------------------------------------------------------------------

    private void sendOn() {
      ArrayDeque<Channel> waiting = idle.computeIfAbsent(destination, d -> new ArrayDeque<>());
      Channel reused = waiting.pollFirst();
      while (reused != null && !reused.isActive()) {
        reused = waiting.pollFirst();
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
              channel.pipeline().addLast(new HttpClientCodec(), new HttpObjectAggregator(MOST_BODY),
                  new Upstream(channel, destination));
            }
          }).connect(destination.substring(0, colon), Integer.parseInt(destination.substring(colon + 1)));
      connect.addListener(f -> {
        if (f.isSuccess()) {
          connect.channel().pipeline().get(Upstream.class).send(this);
        } else {
          broken("upstream_reset_before_response_started{connection_failure}");
        }
      });
    }

    FullHttpRequest onward() {
      FullHttpRequest on = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, exchange.request.method(),
          exchange.request.uri(), exchange.request.content().retainedDuplicate());
      on.headers().set(exchange.request.headers());
      on.headers().set(config.destinationHeader, destination);
      return on;
    }

    void answered(FullHttpResponse response) {
      boolean error = response.status().code() >= 500;
      Map<String, String> headers = new HashMap<>();
      response.headers().forEach(e -> headers.put(e.getKey().toLowerCase(Locale.ROOT), e.getValue()));
      ByteBuf body = response.content().retain();
      respond(response.status().code(), headers, body, "", () -> {
        boolean never = headers.containsKey("x-never-ran");
        if (error && (config.retryOnError || never) && exchange.again()) {
          body.release();
        } else {
          exchange.answer(response.status().code(), headers, body);
        }
      });
    }

    void broken(String details) {
      respond(503, Map.of(), Unpooled.EMPTY_BUFFER, details, () -> {
        if (!exchange.again()) {
          exchange.answer(503, Map.of("x-proxy", "upstream"), Unpooled.EMPTY_BUFFER);
        }
      });
    }

    private void finish(int status, Map<String, String> headers, ByteBuf body) {
      respond(status, headers, body, "", () -> exchange.answer(status, headers, body));
    }

    /** The response phase, and then what comes after it. */
    private void respond(int status, Map<String, String> headers, ByteBuf body, String details, Runnable then) {
      if (over || fault == Fault.NO_RESPONSE_PHASE) {
        if (!over) {
          over = true;
          stream.halfClose();
        }
        then.run();
        return;
      }
      if (fault == Fault.STALL) {
        over = true; // Says nothing more on the stream, for good.
        then.run();
        return;
      }
      afterResponse = then;
      HeaderMap.Builder map = HeaderMap.newBuilder();
      add(map, ":status", Integer.toString(status));
      headers.forEach((name, value) -> add(map, name, value));
      boolean withBody = config.responseBody != BodySendMode.NONE && body.isReadable();
      ProcessingRequest.Builder message = ProcessingRequest.newBuilder()
          .setResponseHeaders(HttpHeaders.newBuilder().setHeaders(map).setEndOfStream(!withBody));
      if (!details.isEmpty()) {
        message.putAttributes(ATTRIBUTES, Struct.newBuilder()
            .putFields("response.code_details", Value.newBuilder().setStringValue(details).build()).build());
      }
      repliesToCome = withBody ? 2 : 1;
      stream.sendMessage(message.build());
      if (withBody) {
        stream.sendMessage(ProcessingRequest.newBuilder().setResponseBody(HttpBody.newBuilder()
            .setBody(ByteString.copyFrom(body.nioBuffer())).setEndOfStream(true)).build());
      }
      loop.schedule(() -> {
        if (!over) {
          over = true;
          stream.cancel("no reply to the response phase", null);
          then.run();
        }
      }, config.messageTimeoutMillis, TimeUnit.MILLISECONDS);
    }
  }

  private static void add(HeaderMap.Builder map, String name, String value) {
    map.addHeaders(HeaderValue.newBuilder().setKey(name).setRawValue(ByteString.copyFromUtf8(value)));
  }

  /** A connection to an upstream: one request at a time. */
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
        Call late = call;
        call = null;
        channel.close();
        if (late != null) {
          late.broken("upstream_response_timeout");
        }
      }, config.tryTimeoutMillis, TimeUnit.MILLISECONDS);
      channel.writeAndFlush(next.onward());
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
      Call answered = call;
      call = null;
      if (answered != null) {
        timeout.cancel(false);
        idle.get(address).push(channel);
        answered.answered(response);
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      Call broken = call;
      call = null;
      if (broken != null) {
        timeout.cancel(false);
        broken.broken("upstream_reset_before_response_started{connection_termination}");
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      context.close();
    }
  }
}
