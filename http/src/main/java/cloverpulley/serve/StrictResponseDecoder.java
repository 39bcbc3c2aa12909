package cloverpulley.serve;

import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.util.AsciiString;

/**
 * Reads answers. Guards the client from a head that can't be read: left to itself the decoder takes the first word of a
 * line without a colon for a header, and so an answer spoilt there for a good one.
 */
final class StrictResponseDecoder extends HttpResponseDecoder {

  @Override
  protected AsciiString splitHeaderName(byte[] line, int start, int length) {
    if (line[start + length] != ':') {
      throw new IllegalArgumentException("a header line without a name and a colon");
    }
    return super.splitHeaderName(line, start, length);
  }
}
