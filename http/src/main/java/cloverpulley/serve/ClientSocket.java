package cloverpulley.serve;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.nio.channels.SocketChannel;

/** A client's connection, which can be asked whether its client is still there, also while it is not read. */
final class ClientSocket extends NioSocketChannel {

  /** What one look reads at most. */
  private static final int PROBE_BYTES = 1024;
  /** Looks that may find something before the end of a connection that is not read otherwise: bounds what is held beyond its marks. */
  private static final int MAX_PROBES = 16;

  private final long queuedNanos;

  /** {@code queuedNanos} is for how long it may have waited to be accepted. */
  ClientSocket(Channel parent, SocketChannel socket, long queuedNanos) {
    super(parent, socket);
    this.queuedNanos = queuedNanos;
  }

  /** For how many nanoseconds it may have waited to be accepted, with its first request in it. */
  long queuedNanos() {
    return queuedNanos;
  }

  /**
   * Whether the client has neither ended nor reset the connection, as far as that shows. Guards against the requests of clients that left
   * while their requests waited: the loop hears of an end only where it reads, and behind what it has not read yet. What is found
   * comes on as if the loop had read it. Not to be called while a read of this connection is on its way.
   */
  boolean isClientConnected() {
    for (int i = 0; isActive() && i < MAX_PROBES; i++) {
      ByteBuf found = alloc().ioBuffer(PROBE_BYTES);
      int count;
      try {
        count = found.writeBytes(javaChannel(), PROBE_BYTES);
      } catch (IOException e) {
        count = -1;
      }
      if (count <= 0) {
        found.release();
        if (count < 0) {
          close();
        }
        break;
      }
      pipeline().fireChannelRead(found);
      pipeline().fireChannelReadComplete();
    }
    return isActive();
  }
}
