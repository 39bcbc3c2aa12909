package cloverpulley.standins;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A server that writes canned responses without an HTTP codec, as its behaviour says, and counts the requests received. A request ends at the
 * empty line after its headers. Bodies are not parsed, so clients must not pipeline requests.
 */
public final class ScriptedHttp implements AutoCloseable {

  /** How the server responds to a request. */
  public enum Behaviour { SERVE, NEVER_RESPOND, RESET_MID_RESPONSE, RESPOND_EARLY, GARBAGE, REJECT }

  private static final String OK = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
  private static final String REJECTION = "HTTP/1.1 429 Too Many Requests\r\nRetry-After: 0.05\r\nContent-Length: 0\r\n\r\n";

  private final EventLoopGroup group;
  private final EventLoop loop;
  private final ChannelGroup openChannels = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
  private final AtomicLong requestCount = new AtomicLong();
  private final List<Runnable> delayedResponses = new ArrayList<>();
  private final InetSocketAddress address;
  private volatile Behaviour behaviour;
  private boolean stalling;
  private volatile long stallBegan;
  private volatile long stallEnded;
  private Channel listener;

  /** Starts a server; {@code group} must have exactly one thread. */
  public ScriptedHttp(EventLoopGroup group, Behaviour behaviour) {
    this.group = group;
    this.loop = group.next();
    this.behaviour = behaviour;
    listener = listen(0);
    address = (InetSocketAddress) listener.localAddress();
  }

  private Channel listen(int port) {
    return new ServerBootstrap().group(group).channel(NioServerSocketChannel.class).option(ChannelOption.SO_BACKLOG, 4096)
        .option(ChannelOption.SO_REUSEADDR, true).childOption(ChannelOption.TCP_NODELAY, true)
        .childHandler(new ChannelInitializer<Channel>() {
          @Override
          protected void initChannel(Channel channel) {
            openChannels.add(channel);
            channel.pipeline().addLast(new Handler());
          }
        }).bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port)).syncUninterruptibly().channel();
  }

  public InetSocketAddress address() {
    return address;
  }

  /** Returns the number of requests received. */
  public long requestCount() {
    return requestCount.get();
  }

  public void behave(Behaviour next) {
    behaviour = next;
  }

  /** Holds back all responses for the given time, then responds to every request received in the meantime. */
  public void stall(long millis) {
    loop.execute(() -> {
      stalling = true;
      stallBegan = System.nanoTime();
      loop.schedule(() -> {
        stalling = false;
        stallEnded = System.nanoTime();
        delayedResponses.forEach(Runnable::run);
        delayedResponses.clear();
      }, millis, TimeUnit.MILLISECONDS);
    });
  }

  /** Returns the {@code System.nanoTime()} at which the last stall began. */
  public long stallBegan() {
    return stallBegan;
  }

  /** Returns the {@code System.nanoTime()} at which the last stall ended; 0 if none has ended yet. */
  public long stallEnded() {
    return stallEnded;
  }

  /** Refuses new connections and closes the open ones. */
  public void stop() {
    listener.close().syncUninterruptibly();
    openChannels.close().syncUninterruptibly();
  }

  /** Listens again at the same address. */
  public void restart() {
    listener = listen(address.getPort());
  }

  @Override
  public void close() {
    stop();
  }

  private final class Handler extends ChannelInboundHandlerAdapter {

    /** 0 before a request, 1 at the start of a line, 2 within a line, -1 after the empty line. */
    private int lineState;

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
      ByteBuf bytes = (ByteBuf) message;
      while (bytes.isReadable()) {
        if (lineState == 0 && behaviour == Behaviour.RESPOND_EARLY) {
          write(context, OK);
        }
        byte b = bytes.readByte();
        lineState = b == '\n' ? lineState == 1 ? -1 : 1 : b == '\r' ? lineState : 2;
        if (lineState < 0) {
          lineState = 0;
          bytes.skipBytes(bytes.readableBytes()); // The request's body, if it arrived in the same read.
          requestCount.incrementAndGet();
          Runnable answer = () -> answer(context);
          if (stalling) {
            delayedResponses.add(answer);
          } else {
            answer.run();
          }
        }
      }
      bytes.release();
    }

    private void answer(ChannelHandlerContext context) {
      switch (behaviour) {
        case SERVE -> write(context, OK);
        case REJECT -> write(context, REJECTION);
        case GARBAGE -> write(context, "\u0000\u0001nonsense\r\n\r\n\r\n");
        case RESET_MID_RESPONSE -> {
          write(context, "HTTP/1.1 200 OK\r\nContent-Length: 200\r\n\r\npart");
          context.channel().config().setOption(ChannelOption.SO_LINGER, 0);
          context.close();
        }
        default -> { } // NEVER_RESPOND, or RESPOND_EARLY, which has responded already.
      }
    }

    private void write(ChannelHandlerContext context, String text) {
      context.writeAndFlush(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1));
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      context.close();
    }
  }
}
