package cloverpulley.serve;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.AsciiString;
import java.util.List;

/**
 * Decodes responses and rejects malformed header lines. Netty's decoder takes the first word of a line without a colon for
 * a header name, so that a corrupt response would pass as a valid one.
 */
final class StrictResponseDecoder extends HttpResponseDecoder {

  private boolean inMessage;

  StrictResponseDecoder(HttpDecoderConfig config) {
    super(config);
  }

  /**
   * Whether all bytes received so far belong to complete responses. The beginning of a further one would be taken for that of the response
   * to the next request.
   */
  boolean isBetweenMessages() {
    return !inMessage && actualReadableBytes() == 0;
  }

  @Override
  protected HttpMessage createMessage(String[] initialLine) {
    inMessage = true;
    return super.createMessage(initialLine);
  }

  @Override
  protected void decode(ChannelHandlerContext context, ByteBuf bytes, List<Object> out) throws Exception {
    super.decode(context, bytes, out);
    if (!out.isEmpty() && out.get(out.size() - 1) instanceof LastHttpContent) {
      inMessage = false;
    }
  }

  @Override
  protected AsciiString splitHeaderName(byte[] line, int start, int length) {
    if (line[start + length] != ':') {
      throw new IllegalArgumentException("malformed header line: no colon after the header name");
    }
    return super.splitHeaderName(line, start, length);
  }
}
