package cloverpulley.serve;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.nio.channels.SocketChannel;
import java.util.function.BooleanSupplier;

/** A client connection that can be checked for a close by the client, even while it is not read. */
final class ClientSocket extends NioSocketChannel {

  /** The maximum number of bytes found by one read of a check. */
  private static final int PROBE_BYTES = 4 * 1024;
  /** What a check reads in any case, and at most, before the end of a connection. */
  private static final int MIN_READ_BEFORE_TURN = 16 * 1024;
  private static final int MAX_READ_BEFORE_TURN = 4 << 20;

  private final long queuedNanos;

  /** Creates a connection that may have waited {@code queuedNanos} in the accept queue. */
  ClientSocket(Channel parent, SocketChannel socket, long queuedNanos) {
    super(parent, socket);
    this.queuedNanos = queuedNanos;
  }

  /** How long the connection may have waited to be accepted, with its first request already sent. */
  long queuedNanos() {
    return queuedNanos;
  }

  /** Bytes that have arrived and are not read; -1 if the system does not tell. */
  int unreadBytes() {
    try {
      return javaChannel().socket().getInputStream().available();
    } catch (IOException | RuntimeException e) {
      return -1;
    }
  }

  /** Whether the reads that have just ended have left nothing in the socket. */
  boolean isEmptied() {
    RecvByteBufAllocator.Handle reads = unsafe().recvBufAllocHandle();
    return reads.lastBytesRead() < reads.attemptedBytesRead() || unreadBytes() <= 0;
  }

  /**
   * Whether the client has closed or reset the connection, as far as can be seen. Used to avoid forwarding the requests of clients that left while
   * their requests waited: the loop notices a close only by reading, after all data before it. Data that is found is passed on as if the loop had
   * read it. Must not be called while a read of this connection is in progress.
   *
   * @param seenLately whether the client was still connected a moment ago, so that data which remains unread need not be read now
   * @param hasMemory whether there is memory for data that is read before its turn
   */
  ClientPresence presence(BooleanSupplier seenLately, BooleanSupplier hasMemory) {
    for (int read = 0; isActive(); ) {
      int count = readBeforeTurn();
      if (count <= 0) {
        break;
      }
      read += count;
      if (read >= MIN_READ_BEFORE_TURN && (seenLately.getAsBoolean() || read >= MAX_READ_BEFORE_TURN || !hasMemory.getAsBoolean())) {
        return seenLately.getAsBoolean() ? ClientPresence.CONNECTED : ClientPresence.UNKNOWN;
      }
    }
    return isActive() ? ClientPresence.CONNECTED : ClientPresence.GONE;
  }

  /** Reads once and passes on what it finds; returns how much, or not more than 0 if there was nothing. Closes at the end of the input. */
  private int readBeforeTurn() {
    ByteBuf found = alloc().ioBuffer(PROBE_BYTES);
    int count;
    try {
      count = found.writeBytes(javaChannel(), PROBE_BYTES);
    } catch (IOException e) {
      count = -1;
    }
    if (count > 0) {
      pipeline().fireChannelRead(found);
      pipeline().fireChannelReadComplete();
      return count;
    }
    found.release();
    if (count < 0) {
      close();
    }
    return count;
  }
}
