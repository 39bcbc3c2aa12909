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
 * A server that answers bytes with bytes, as its manner says, and counts the requests that began. Requests are told apart by the
 * empty line at their heads' end; bodies are not looked at, so it serves callers that send one request at a time.
 */
public final class ScriptedHttp implements AutoCloseable {

  /** What it does with a request. */
  public enum Behaviour { SERVE, NEVER_RESPOND, RESET_MID_RESPONSE, RESPOND_EARLY, GARBAGE, REJECT }

  private static final String OK = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
  private static final String REFUSED = "HTTP/1.1 429 Too Many Requests\r\nRetry-After: 0.05\r\nContent-Length: 0\r\n\r\n";

  private final EventLoopGroup group;
  private final EventLoop loop;
  private final ChannelGroup open = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
  private final AtomicLong requestCount = new AtomicLong();
  private final List<Runnable> stalled = new ArrayList<>();
  private final InetSocketAddress address;
  private volatile Behaviour behaviour;
  private boolean stalling;
  private volatile long stallBegan;
  private volatile long stallEnded;
  private Channel listener;

  /** {@code group} has one thread. */
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
            open.add(channel);
            channel.pipeline().addLast(new Handler());
          }
        }).bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port)).syncUninterruptibly().channel();
  }

  public InetSocketAddress address() {
    return address;
  }

  /** Requests that began. */
  public long requestCount() {
    return requestCount.get();
  }

  public void behave(Behaviour next) {
    behaviour = next;
  }

  /** From now on, for so long, it reads and answers nothing; then it answers all that came meanwhile. */
  public void stall(long millis) {
    loop.execute(() -> {
      stalling = true;
      stallBegan = System.nanoTime();
      loop.schedule(() -> {
        stalling = false;
        stallEnded = System.nanoTime();
        stalled.forEach(Runnable::run);
        stalled.clear();
      }, millis, TimeUnit.MILLISECONDS);
    });
  }

  /** When the last stall began, {@code System.nanoTime()}. */
  public long stallBegan() {
    return stallBegan;
  }

  /** When the last stall ended; 0 before any has. */
  public long stallEnded() {
    return stallEnded;
  }

  /** New connections are refused, and those that are open reset. */
  public void stop() {
    listener.close().syncUninterruptibly();
    open.close().syncUninterruptibly();
  }

  /** It listens again, at the same address. */
  public void restart() {
    listener = listen(address.getPort());
  }

  @Override
  public void close() {
    stop();
  }

  private final class Handler extends ChannelInboundHandlerAdapter {

    private int line;

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
      ByteBuf bytes = (ByteBuf) message;
      while (bytes.isReadable()) {
        if (line == 0 && behaviour == Behaviour.RESPOND_EARLY) {
          write(context, OK);
        }
        byte b = bytes.readByte();
        line = b == '\n' ? line == 1 ? -1 : 1 : b == '\r' ? line : 2;
        if (line < 0) {
          line = 0;
          bytes.skipBytes(bytes.readableBytes()); // Its body, which came with it.
          requestCount.incrementAndGet();
          Runnable answer = () -> answer(context);
          if (stalling) {
            stalled.add(answer);
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
        case REJECT -> write(context, REFUSED);
        case GARBAGE -> write(context, "\u0000\u0001nonsense\r\n\r\n\r\n");
        case RESET_MID_RESPONSE -> {
          write(context, "HTTP/1.1 200 OK\r\nContent-Length: 200\r\n\r\npart");
          context.channel().config().setOption(ChannelOption.SO_LINGER, 0);
          context.close();
        }
        default -> { } // Never, or it has been answered.
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
