package cloverpulley.standins;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * A test discovery service on loopback. It returns the endpoint list on request and sends every change to open watches. All state belongs to one
 * event loop.
 */
public final class StandInDiscovery implements AutoCloseable {

  private static final long HEARTBEAT_MILLIS = 1000;

  private final EventLoop loop;
  private final ChannelGroup watches;
  private final Channel listener;
  private final Map<String, String> members = new LinkedHashMap<>();
  private long revision = 1;

  public StandInDiscovery(EventLoopGroup group) {
    loop = group.next();
    watches = new DefaultChannelGroup(loop);
    listener = new ServerBootstrap().group(group).channel(NioServerSocketChannel.class)
        .childHandler(new ChannelInitializer<Channel>() {
          @Override
          protected void initChannel(Channel channel) {
            channel.pipeline().addLast(new HttpServerCodec(), new HttpObjectAggregator(1 << 16), new Handler());
          }
        }).bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0)).syncUninterruptibly().channel();
    loop.scheduleWithFixedDelay(() -> watches.writeAndFlush(line("")), HEARTBEAT_MILLIS, HEARTBEAT_MILLIS,
        TimeUnit.MILLISECONDS);
  }

  public String address() {
    return "127.0.0.1:" + ((InetSocketAddress) listener.localAddress()).getPort();
  }

  /**
   * Adds, updates or removes a server; returns once the change has been written to all watches.
   *
   * @param phase ready, draining or gone
   * @param upSinceMillis Unix time of its start; 0 if it started long ago
   */
  public void set(String id, String hostPort, int cell, String phase, long upSinceMillis) {
    loop.submit(() -> {
      String member = "{\"id\":\"" + id + "\",\"host_port\":\"" + hostPort + "\",\"locality\":\"a\",\"flavor\":\"m\",\"cell\":"
          + cell + ",\"phase\":\"" + phase + "\",\"size\":1.0,\"up_since_ms\":" + upSinceMillis + "}";
      if (phase.equals("gone")) {
        members.remove(id);
      } else {
        members.put(id, member);
      }
      revision++;
      watches.writeAndFlush(line(list(false, member)));
    }).syncUninterruptibly();
  }

  /** Returns the number of open watches. */
  public int watchCount() {
    return watches.size();
  }

  private String list(boolean complete, String entries) {
    return "{\"revision\":" + revision + ",\"complete\":" + complete + ",\"members\":[" + entries + "]}";
  }

  private static DefaultHttpContent line(String text) {
    return new DefaultHttpContent(Unpooled.copiedBuffer(text + "\n", StandardCharsets.UTF_8));
  }

  private final class Handler extends SimpleChannelInboundHandler<FullHttpRequest> {
    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
      boolean watch = request.uri().contains("follow=1");
      loop.execute(() -> {
        String completeList = list(true, String.join(",", members.values()));
        if (watch) {
          HttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
          head.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
          context.write(head);
          context.writeAndFlush(line(completeList));
          watches.add(context.channel());
        } else {
          ByteBuf body = Unpooled.copiedBuffer(completeList, StandardCharsets.UTF_8);
          DefaultFullHttpResponse answer = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK, body);
          answer.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
          context.writeAndFlush(answer);
        }
      });
    }
  }

  @Override
  public void close() {
    listener.close();
    watches.close();
  }
}
