package cloverpulley.serve;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.util.internal.SocketUtils;
import java.io.IOException;
import java.net.SocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.logging.Level;
import java.util.logging.Logger;

/** Listens for clients, and can stop without turning away those whom the system has accepted already. */
final class Listener extends NioServerSocketChannel {

  private static final Logger LOG = Logger.getLogger(Listener.class.getName());

  /** Another process may listen at the same address: the system deals connections to both. */
  static final ChannelOption<Boolean> REUSE_PORT = NioChannelOption.of(StandardSocketOptions.SO_REUSEPORT);
  private static final long LOOK_MILLIS = 1;

  /**
   * Listens, and then runs {@code bound} with its loop. The future tells of all that goes wrong. Guards the start's one line: where there is not even a
   * socket the channel has no loop, and to ask it for one would hide why.
   */
  static ChannelFuture bind(ServerBootstrap bootstrap, SocketAddress address, Consumer<EventLoop> bound) {
    ChannelFuture future = bootstrap.bind(address);
    future.addListener(f -> {
      if (f.isSuccess()) {
        bound.accept(future.channel().eventLoop());
      }
    });
    return future;
  }

  @Override
  protected int doReadMessages(List<Object> accepted) throws Exception {
    SocketChannel socket = SocketUtils.accept(javaChannel());
    if (socket == null) {
      return 0;
    }
    accepted.add(new ClientSocket(this, socket));
    return 1;
  }

  /**
   * Closes, with nobody left in the queue. A listener that closes resets what waits in its queue, also where another process
   * listens at the address; and one that a selector still knows stays open until the next look at all sockets, with the queue
   * filling meanwhile. So it is taken from the selector first, then its queue is emptied, and it closes in the same step.
   */
  void acceptLast() {
    deregister().addListener(f -> closeOnceLetGo());
  }

  private void closeOnceLetGo() {
    if (!isOpen()) {
      return;
    }
    if (javaChannel().isRegistered()) {
      eventLoop().schedule(this::closeOnceLetGo, LOOK_MILLIS, TimeUnit.MILLISECONDS);
      return;
    }
    List<SocketChannel> last = new ArrayList<>();
    try {
      // Nothing between the last look at the queue and the closing: whom the system accepts there is reset.
      for (SocketChannel c = javaChannel().accept(); c != null; c = javaChannel().accept()) {
        last.add(c);
      }
      javaChannel().close();
    } catch (IOException e) {
      LOG.log(Level.WARNING, "the queue of connections was not emptied", e);
    }
    last.forEach(c -> pipeline().fireChannelRead(new ClientSocket(this, c)));
    close();
  }
}
