package cloverpulley.serve;

import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.nio.ByteBuffer;

/** A socket channel that can be checked for input which the event loop has not read yet. */
final class UpstreamSocket extends NioSocketChannel {

  /** Whether neither bytes nor the end of the stream are pending. If false, a byte may have been consumed and the connection must be closed. */
  boolean isInputEmpty() {
    try {
      return javaChannel().read(ByteBuffer.allocate(1)) == 0;
    } catch (IOException e) {
      return false;
    }
  }
}
