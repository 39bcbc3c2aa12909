package cloverpulley.serve;

import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.nio.ByteBuffer;

/** A connection that can be asked whether anything has come on it which the event loop has not read yet. */
final class UpstreamSocket extends NioSocketChannel {

  /** Whether nothing has come, nor the end. If something has, a byte of it is lost: the connection is to be closed. */
  boolean isInputEmpty() {
    try {
      return javaChannel().read(ByteBuffer.allocate(1)) == 0;
    } catch (IOException e) {
      return false;
    }
  }
}
