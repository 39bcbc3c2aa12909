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

/** Listens for clients, and can stop without turning away those whom the system has accepted already. */
final class Listener extends NioServerSocketChannel {

  private static final Logger LOG = Logger.getLogger(Listener.class.getName());

  /** Another process may listen at the same address: the system deals connections to both. */
  static final ChannelOption<Boolean> REUSE_PORT = NioChannelOption.of(StandardSocketOptions.SO_REUSEPORT);
  private static final long DEREGISTER_POLL_MILLIS = 1;
  /** How long nothing is accepted after a failure that lasts until something is given back, such as descriptors or memory. */
  private static final long ACCEPT_PAUSE_MILLIS = 10;
  /** Failures in a row after which the queue is taken for empty when the listener closes. */
  private static final int MAX_DRAIN_FAILURES = 32;

  /**
   * Listens, and then runs {@code bound} with its loop. The future tells of all that goes wrong. Guards the start's one line: where there is not even a
   * socket the channel has no loop, and to ask it for one would hide why.
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

  /** What the loop's stallDetector are told by; null where nobody asks how long connections have waited. */
  private StallDetector stallDetector;
  /** Since when the queue has not been seen empty, and how long the loop stood still before that; only while it is not. */
  private long queueNonEmptySince;
  private long stalledBefore;
  private boolean queueNonEmpty;

  void setStallDetector(StallDetector detector) {
    stallDetector = detector;
  }

  /** Nanoseconds that a connection accepted now may have waited in the queue. */
  private long maxQueuedNanos() {
    if (stallDetector == null) {
      return 0;
    }
    if (!queueNonEmpty) {
      queueNonEmpty = true;
      queueNonEmptySince = System.nanoTime();
      stalledBefore = stallDetector.stalledNanos();
    }
    return System.nanoTime() - queueNonEmptySince + stalledBefore;
  }

  /**
   * Accepts one. A failure is of one connection (ECONNABORTED, EPROTO, what may fail on its socket) or passes (EMFILE, ENOBUFS, ENOMEM): it never
   * ends the listener, nor has it rest for the second for which Netty's acceptor would.
   */
  @Override
  protected int doReadMessages(List<Object> accepted) {
    SocketChannel socket;
    try {
      socket = SocketUtils.accept(javaChannel());
    } catch (ClosedChannelException e) {
      return 0;
    } catch (IOException | RuntimeException e) {
      pauseAccepting(e);
      return 0;
    }
    if (socket == null) {
      queueNonEmpty = false;
      return 0;
    }
    ClientSocket client = toClientSocket(socket);
    if (client == null) {
      return 0;
    }
    accepted.add(client);
    return 1;
  }

  /** The connection that the system accepted; null where it broke or can't be used. */
  private ClientSocket toClientSocket(SocketChannel socket) {
    try {
      return new ClientSocket(this, socket, maxQueuedNanos());
    } catch (RuntimeException e) {
      LOG.log(Level.WARNING, "an accepted connection can't be used", e);
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
   * Closes, with nobody left in the queue. A listener that closes resets what waits in its queue, also where another process
   * listens at the address; and one that a selector still knows stays open until the next look at all sockets, with the queue
   * filling meanwhile. So it is taken from the selector first, then its queue is emptied, and it closes in the same step.
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

  /** Empties the queue and closes with nothing between the last look and the closing: whom the system accepts there is reset. */
  private void drainQueue(List<SocketChannel> drained) {
    int failures = 0;
    while (failures < MAX_DRAIN_FAILURES) {
      try {
        SocketChannel socket = javaChannel().accept();
        if (socket == null) {
          javaChannel().close();
          return;
        }
        drained.add(socket);
      } catch (IOException | RuntimeException e) {
        failures++;
      }
    }
    LOG.warning("the queue of connections was not emptied: " + failures + " failures");
  }
}
