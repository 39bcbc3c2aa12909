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
import java.nio.channels.ClosedChannelException;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.logging.Level;
import java.util.logging.Logger;

/** Listens for clients, and can stop without resetting the connections that the operating system has accepted already. */
final class Listener extends NioServerSocketChannel {

  private static final Logger LOG = Logger.getLogger(Listener.class.getName());

  /** Lets another process listen at the same address; the operating system distributes connections to both. */
  static final ChannelOption<Boolean> REUSE_PORT = NioChannelOption.of(StandardSocketOptions.SO_REUSEPORT);
  private static final long DEREGISTER_POLL_MILLIS = 1;
  /** How long accepting pauses after a failure, which may last until a resource such as descriptors or memory is released. */
  private static final long ACCEPT_PAUSE_MILLIS = 10;
  /** After this many failures the queue is no longer drained when the listener closes. */
  private static final int MAX_DRAIN_FAILURES = 32;

  /**
   * Binds, and then runs {@code onBound} with the channel's loop. The future reports every failure, so that the start can log the cause: if not
   * even a socket could be created the channel has no loop, and asking for one would throw a misleading exception.
   */
  static ChannelFuture bind(ServerBootstrap bootstrap, SocketAddress address, Consumer<EventLoop> onBound) {
    ChannelFuture future = bootstrap.bind(address);
    future.addListener(f -> {
      if (f.isSuccess()) {
        onBound.accept(future.channel().eventLoop());
      }
    });
    return future;
  }

  /** Measures stalls of the loop; null before the listener is bound. */
  private StallDetector stallDetector;
  private final AcceptQueue acceptQueue = new AcceptQueue(System::nanoTime, () -> stallDetector == null ? 0 : stallDetector.stalledNanos());

  void setStallDetector(StallDetector detector) {
    stallDetector = detector;
  }

  /**
   * Accepts one connection. A failure concerns that connection (ECONNABORTED, EPROTO, an error on its socket) or is temporary (EMFILE,
   * ENOBUFS, ENOMEM): it neither closes the listener nor pauses it for one second, as Netty's acceptor would.
   */
  @Override
  protected int doReadMessages(List<Object> accepted) {
    SocketChannel socket;
    try {
      socket = acceptQueue.accept(() -> SocketUtils.accept(javaChannel()));
    } catch (ClosedChannelException e) {
      return 0;
    } catch (IOException | RuntimeException e) {
      pauseAccepting(e);
      return 0;
    }
    if (socket == null) {
      return 0;
    }
    ClientSocket client = toClientSocket(socket);
    if (client == null) {
      return 0;
    }
    accepted.add(client);
    return 1;
  }

  /** Wraps a connection that the operating system accepted; null if it is broken or cannot be used. */
  private ClientSocket toClientSocket(SocketChannel socket) {
    try {
      return new ClientSocket(this, socket, acceptQueue.maxQueuedNanos());
    } catch (RuntimeException e) {
      LOG.log(Level.WARNING, "an accepted connection cannot be used", e);
      closeQuietly(socket);
      return null;
    }
  }

  private static void closeQuietly(SocketChannel socket) {
    try {
      socket.close();
    } catch (IOException e) {
      LOG.log(Level.FINE, "closing", e);
    }
  }

  private void pauseAccepting(Exception e) {
    LOG.log(Level.FINE, "accept", e);
    if (config().isAutoRead()) {
      config().setAutoRead(false);
      eventLoop().schedule(() -> {
        if (isRegistered()) {
          config().setAutoRead(true);
        }
      }, ACCEPT_PAUSE_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  /**
   * Closes the listener with an empty queue. Closing a listener resets the connections in its queue, even if another process listens
   * at the address; and one that is still registered with a selector stays open until the next select, while its queue fills. So it is
   * deregistered first, then its queue is drained, and it is closed in the same step.
   */
  void drainQueueAndClose() {
    deregister().addListener(f -> closeOnceDeregistered());
  }

  private void closeOnceDeregistered() {
    if (!isOpen()) {
      return;
    }
    if (javaChannel().isRegistered()) {
      eventLoop().schedule(this::closeOnceDeregistered, DEREGISTER_POLL_MILLIS, TimeUnit.MILLISECONDS);
      return;
    }
    List<SocketChannel> drained = new ArrayList<>();
    drainQueue(drained);
    drained.stream().map(this::toClientSocket).filter(Objects::nonNull).forEach(pipeline()::fireChannelRead);
    close();
  }

  /** Drains the queue and closes right after it is seen empty: a connection that arrives in between is reset. */
  private void drainQueue(List<SocketChannel> drained) {
    int failures = 0;
    while (failures < MAX_DRAIN_FAILURES) {
      try {
        SocketChannel socket = acceptQueue.accept(javaChannel()::accept);
        if (socket == null) {
          javaChannel().close();
          return;
        }
        drained.add(socket);
      } catch (IOException | RuntimeException e) {
        failures++;
      }
    }
    LOG.warning("the accept queue was not drained: " + failures + " failures");
  }
}
