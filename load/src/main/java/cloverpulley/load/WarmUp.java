package cloverpulley.load;

import cloverpulley.dns.wire.Message;
import cloverpulley.extproc.ExtProc.HeadersResponse;
import cloverpulley.extproc.ExtProc.ProcessingRequest;
import cloverpulley.extproc.ExtProc.ProcessingResponse;
import cloverpulley.extproc.ExternalProcessor;
import io.grpc.Metadata;
import io.grpc.Server;
import io.grpc.ServerCall;
import io.grpc.ServerServiceDefinition;
import io.grpc.Status;
import io.grpc.netty.NettyServerBuilder;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Runs a short load against an in-process server on loopback before the actual run. Without it, class loading would delay the first second
 * of the run by hundreds of milliseconds, and the results would reflect the generator instead of the server.
 */
final class WarmUp {

  private static final double RATE = 1000;
  private static final double SECONDS = 2;

  private WarmUp() {}

  /** Runs the warm-up with the plan's protocol and returns its results. */
  static Results run(Plan plan) throws IOException, InterruptedException {
    EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    try {
      InetSocketAddress address = switch (plan.target().protocol()) {
        case HTTP -> startHttp(group);
        case EXT_PROC -> startProcessor(group);
        case DNS_UDP -> startUdp(group);
        case DNS_TCP -> startTcp(group);
      };
      Plan.Target target = new Plan.Target(plan.target().protocol(), address, plan.target().path(), plan.target().maxConnections(),
          plan.target().connectMillis(), plan.target().domain());
      Plan warmUpPlan = new Plan(plan.seed(), SECONDS, RATE, Arrivals.Process.POISSON, null, new Shape.Flat(), plan.classes(),
          plan.tenants(), new Plan.Keys(Math.min(100, plan.keys().count()), plan.keys().exponent()), target, plan.clients(),
          plan.maxLatenessMillis());
      return LoadRun.run(warmUpPlan, r -> { });
    } finally {
      group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly(1, TimeUnit.SECONDS);
    }
  }

  private static InetSocketAddress loopback() {
    return new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
  }

  private static InetSocketAddress startHttp(EventLoopGroup group) {
    return (InetSocketAddress) new ServerBootstrap().group(group).channel(NioServerSocketChannel.class)
        .childHandler(new ChannelInitializer<Channel>() {
          @Override
          protected void initChannel(Channel channel) {
            channel.pipeline().addLast(new HttpServerCodec(), new HttpObjectAggregator(1 << 20), new OkHandler());
          }
        }).bind(loopback()).syncUninterruptibly().channel().localAddress();
  }

  private static InetSocketAddress startUdp(EventLoopGroup group) {
    return (InetSocketAddress) new Bootstrap().group(group).channel(NioDatagramChannel.class)
        .handler(new SimpleChannelInboundHandler<DatagramPacket>() {
          @Override
          protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
            context.writeAndFlush(new DatagramPacket(toResponse(packet.content()), packet.sender()));
          }
        }).bind(loopback()).syncUninterruptibly().channel().localAddress();
  }

  private static InetSocketAddress startTcp(EventLoopGroup group) {
    return (InetSocketAddress) new ServerBootstrap().group(group).channel(NioServerSocketChannel.class)
        .childHandler(new ChannelInitializer<Channel>() {
          @Override
          protected void initChannel(Channel channel) {
            channel.pipeline().addLast(new LengthFieldBasedFrameDecoder(Message.MAX_LENGTH + 2, 0, 2, 0, 0),
                new SimpleChannelInboundHandler<ByteBuf>() {
                  @Override
                  protected void channelRead0(ChannelHandlerContext context, ByteBuf frame) {
                    frame.markReaderIndex().skipBytes(2);
                    toResponse(frame).release();
                    context.writeAndFlush(frame.resetReaderIndex().retain());
                  }
                });
          }
        }).bind(loopback()).syncUninterruptibly().channel().localAddress();
  }

  /** Turns a query into a response by setting its QR bit. */
  private static ByteBuf toResponse(ByteBuf message) {
    return message.setByte(message.readerIndex() + 2, message.getByte(message.readerIndex() + 2) | 0x80).retain();
  }

  private static final class OkHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
      FullHttpResponse ok = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK, Unpooled.EMPTY_BUFFER);
      ok.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0);
      context.writeAndFlush(ok);
    }
  }

  private static InetSocketAddress startProcessor(EventLoopGroup group) throws IOException {
    Server server = NettyServerBuilder.forAddress(loopback()).bossEventLoopGroup(group).workerEventLoopGroup(group)
        .channelType(NioServerSocketChannel.class).directExecutor()
        .addService(ServerServiceDefinition.builder(ExternalProcessor.SERVICE)
            .addMethod(ExternalProcessor.PROCESS, (call, headers) -> new ContinueListener(call)).build()).build().start();
    return (InetSocketAddress) List.copyOf(server.getListenSockets()).get(0);
  }

  private static final class ContinueListener extends ServerCall.Listener<ProcessingRequest> {
    private final ServerCall<ProcessingRequest, ProcessingResponse> call;

    ContinueListener(ServerCall<ProcessingRequest, ProcessingResponse> call) {
      this.call = call;
      call.request(2);
      call.sendHeaders(new Metadata());
    }

    @Override
    public void onMessage(ProcessingRequest message) {
      ProcessingResponse.Builder reply = ProcessingResponse.newBuilder();
      call.sendMessage(message.hasRequestHeaders() ? reply.setRequestHeaders(HeadersResponse.getDefaultInstance()).build()
          : reply.setResponseHeaders(HeadersResponse.getDefaultInstance()).build());
    }

    @Override
    public void onHalfClose() {
      call.close(Status.OK, new Metadata());
    }
  }
}
