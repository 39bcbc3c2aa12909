package cloverpulley.standins;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

/** A test HTTP upstream on loopback. It answers each request as its behaviour function says and records the id and time of every request received. */
public final class StandInUpstream implements AutoCloseable {

  private static final int MAX_BODY_BYTES = 1 << 20;

  /** A request received completely; {@code atNanos} is the {@code System.nanoTime()} of its last byte. */
  public record Seen(String id, String key, String className, long atNanos) {}

  /**
   * The response to a request.
   *
   * @param status 0 to send no response and reset the connection
   */
  public record Answer(int status, Map<String, String> headers, long delayMillis) {

    public static Answer ok() {
      return new Answer(200, Map.of(), 0);
    }

    public static Answer ok(long delayMillis) {
      return new Answer(200, Map.of(), delayMillis);
    }

    public static Answer status(int status) {
      return new Answer(status, Map.of(), 0);
    }

    /** A rejection whose header says that the request was never executed. */
    public static Answer full() {
      return new Answer(503, Map.of("X-Never-Ran", "1"), 0);
    }

    public static Answer reset() {
      return new Answer(0, Map.of(), 0);
    }
  }

  private final Queue<Seen> seen = new ConcurrentLinkedQueue<>();
  private final ChannelGroup openChannels = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
  private final Channel listener;
  private volatile Function<FullHttpRequest, Answer> behaviour;

  public StandInUpstream(EventLoopGroup group, Function<FullHttpRequest, Answer> behaviour) {
    this.behaviour = behaviour;
    listener = new ServerBootstrap().group(group).channel(NioServerSocketChannel.class)
        .option(ChannelOption.SO_BACKLOG, 1024).option(ChannelOption.SO_REUSEADDR, true)
        .childHandler(new ChannelInitializer<Channel>() {
          @Override
          protected void initChannel(Channel channel) {
            openChannels.add(channel);
            channel.pipeline().addLast(new HttpServerCodec(), new HttpObjectAggregator(MAX_BODY_BYTES), new Handler());
          }
        }).bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0)).syncUninterruptibly().channel();
  }

  public InetSocketAddress socketAddress() {
    return (InetSocketAddress) listener.localAddress();
  }

  /** The address as endpoint lists write it. */
  public String address() {
    return "127.0.0.1:" + socketAddress().getPort();
  }

  /** The requests received so far, in order of arrival. */
  public List<Seen> seen() {
    return List.copyOf(seen);
  }

  /** Replaces the behaviour for the requests that follow. */
  public void behave(Function<FullHttpRequest, Answer> next) {
    behaviour = next;
  }

  /** Returns the number of open connections. */
  public int connections() {
    return openChannels.size();
  }

  /** Simulates a crash: open connections are reset and new ones are refused. */
  @Override
  public void close() {
    listener.close().syncUninterruptibly();
    openChannels.forEach(StandInUpstream::reset);
  }

  private static void reset(Channel channel) {
    channel.eventLoop().execute(() -> {
      if (channel.isActive()) {
        channel.config().setOption(ChannelOption.SO_LINGER, 0);
        channel.close();
      }
    });
  }

  private final class Handler extends SimpleChannelInboundHandler<FullHttpRequest> {
    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
      if (!request.decoderResult().isSuccess()) {
        context.close(); // The connection closed in the middle of the request, which does not count as received.
        return;
      }
      seen.add(new Seen(id(request), request.headers().get("idempotency-key"), request.headers().get("x-qos"),
          System.nanoTime()));
      Answer answer = behaviour.apply(request);
      if (answer.status() == 0) {
        reset(context.channel());
        return;
      }
      ByteBuf body = Unpooled.copiedBuffer(id(request), StandardCharsets.UTF_8);
      FullHttpResponse response =
          new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(answer.status()), body);
      answer.headers().forEach((name, value) -> response.headers().set(name, value));
      response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
      if (answer.delayMillis() == 0) {
        context.writeAndFlush(response);
      } else {
        context.executor().schedule(() -> context.writeAndFlush(response), answer.delayMillis(), TimeUnit.MILLISECONDS);
      }
    }

    private String id(FullHttpRequest request) {
      String id = request.headers().get("x-request-id", request.headers().get("x-trace-id"));
      return id == null ? "" : id;
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      context.close();
    }
  }
}
