package cloverpulley.serve;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DuplexChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * The management endpoint: HTTP/1.1, one call per connection, on its own event loop, so that client traffic does not delay calls and slow
 * callers do not delay clients. It only parses calls and writes answers; the {@link CallHandler} carries them out.
 */
final class ManagementServer {

  private static final Logger LOG = Logger.getLogger(ManagementServer.class.getName());

  /** The maximum number of connections. A further one replaces the connection that has gone longest without a complete call. */
  static final int MAX_CONNECTIONS = 16;
  /** Limits of a call's head in bytes: its request line, and its headers. */
  private static final int MAX_LINE = 1024;
  private static final int MAX_HEADERS = 8192;
  /** The heap for the headers of all calls beyond their allowance. */
  private static final int HEADER_BUDGET_BYTES = 512 * 1024;
  private static final int BACKLOG = 64;
  /** The time from connecting to a complete call, and from the answer to closing the connection. */
  private static final long CALL_TIMEOUT_MILLIS = 5000;
  private static final long LINGER_MILLIS = 500;
  private static final String READY = "/control/ready";
  private static final String UPSTREAMS_PREFIX = "/control/upstreams/";

  /** The operations that can be called. Each answers with a status and a line of text, from any thread. */
  interface CallHandler {
    CompletableFuture<Answer> ready();

    CompletableFuture<Answer> offline(String upstream);

    CompletableFuture<Answer> online(String upstream);
  }

  /** An answer: success with a 2xx status, failure with any other. */
  record Answer(int status, String text) {}

  private final CallHandler handler;
  /** The connections without a complete call, the oldest first. */
  private final Set<Caller> withoutCall = new LinkedHashSet<>();
  private int callers;
  private final BufferBudget headerBudget = new BufferBudget(HEADER_BUDGET_BYTES);

  ManagementServer(CallHandler handler) {
    this.handler = handler;
  }

  ChannelFuture listen(EventLoopGroup group, InetSocketAddress address) {
    return new ServerBootstrap().group(group).channel(NioServerSocketChannel.class)
        .option(ChannelOption.SO_BACKLOG, BACKLOG).option(ChannelOption.SO_REUSEADDR, true)
        .childOption(ChannelOption.TCP_NODELAY, true).childHandler(new ChannelInitializer<Channel>() {
          @Override
          protected void initChannel(Channel channel) {
            if (++callers > MAX_CONNECTIONS) {
              if (withoutCall.isEmpty()) {
                channel.close(); // All others have been answered and are about to close, so there is capacity in a moment.
              } else {
                withoutCall.iterator().next().evict();
              }
            }
            channel.closeFuture().addListener(f -> callers--);
            HeaderMemory headerMemory = new HeaderMemory(headerBudget);
            channel.closeFuture().addListener(f -> headerMemory.releaseAll());
            HttpDecoderConfig decoderConfig = headerMemory.decoderConfig().setMaxInitialLineLength(MAX_LINE).setMaxHeaderSize(MAX_HEADERS);
            channel.pipeline().addLast(new HttpServerCodec(decoderConfig), new Caller(channel));
          }
        }).bind(address);
  }

  private final class Caller extends SimpleChannelInboundHandler<HttpObject> {

    private final Channel channel;
    private HttpRequest call;
    private boolean answered;

    Caller(Channel channel) {
      this.channel = channel;
      withoutCall.add(this);
      channel.closeFuture().addListener(f -> withoutCall.remove(this));
      channel.eventLoop().schedule(() -> channel.close(), CALL_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    void evict() {
      withoutCall.remove(this);
      channel.close();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
      if (answered) {
        return; // One call per connection: further input is discarded until the caller closes.
      }
      if (!message.decoderResult().isSuccess()) {
        answer(new Answer(400, "not a call that can be read"));
      } else if (message instanceof HttpContent content && content.content().isReadable()) {
        answer(new Answer(413, "a call has no body"));
      } else if (message instanceof HttpRequest request) {
        call = request;
      }
      if (!answered && message instanceof LastHttpContent && call != null) {
        withoutCall.remove(this);
        answered = true;
        dispatch(call).whenComplete((a, e) -> channel.eventLoop().execute(() -> write(e == null ? a : new Answer(500, "failed"))));
      }
    }

    private void answer(Answer a) {
      withoutCall.remove(this);
      answered = true;
      write(a);
    }

    private CompletableFuture<Answer> dispatch(HttpRequest request) {
      String path = request.uri();
      boolean get = request.method().equals(HttpMethod.GET);
      boolean post = request.method().equals(HttpMethod.POST);
      if (path.equals(READY)) {
        return get ? handler.ready() : error(405, "GET " + READY);
      }
      int slash = path.lastIndexOf('/');
      if (!path.startsWith(UPSTREAMS_PREFIX) || slash <= UPSTREAMS_PREFIX.length()) {
        return error(404, "no such call: GET " + READY + ", POST " + UPSTREAMS_PREFIX + "ID/offline or .../online");
      }
      String id;
      try {
        id = QueryStringDecoder.decodeComponent(path.substring(UPSTREAMS_PREFIX.length(), slash).replace("+", "%2B"));
      } catch (IllegalArgumentException e) {
        return error(400, "the upstream's name has a bad escape");
      }
      return switch (path.substring(slash + 1)) {
        case "offline" -> post ? handler.offline(id) : error(405, "POST, not " + request.method());
        case "online" -> post ? handler.online(id) : error(405, "POST, not " + request.method());
        default -> error(404, "an upstream can be called offline or online");
      };
    }

    private static CompletableFuture<Answer> error(int status, String text) {
      return CompletableFuture.completedFuture(new Answer(status, text));
    }

    private void write(Answer a) {
      FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(a.status()),
          Unpooled.copiedBuffer(a.text() + "\n", StandardCharsets.UTF_8));
      response.headers().set(HttpHeaderNames.CONTENT_TYPE, "text/plain").set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
          .set(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes());
      channel.writeAndFlush(response).addListener((ChannelFutureListener) f -> {
        // Closing with unread bytes would reset the connection, and the answer would be lost, so only the output is closed at first.
        if (f.isSuccess() && channel instanceof DuplexChannel duplex) {
          duplex.shutdownOutput();
          channel.eventLoop().schedule(() -> channel.close(), LINGER_MILLIS, TimeUnit.MILLISECONDS);
        } else {
          channel.close();
        }
      });
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      LOG.log(Level.FINE, "caller " + channel.remoteAddress(), cause);
      context.close();
    }
  }
}
