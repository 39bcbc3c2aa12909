package cloverpulley.serve;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.util.AsciiString;

/**
 * Decodes responses and rejects malformed header lines. Netty's decoder takes the first word of a line without a colon for
 * a header name, so that a corrupt response would pass as a valid one.
 */
final class StrictResponseDecoder extends HttpResponseDecoder {

  StrictResponseDecoder(HttpDecoderConfig config) {
    super(config);
  }

  @Override
  protected AsciiString splitHeaderName(byte[] line, int start, int length) {
    if (line[start + length] != ':') {
      throw new IllegalArgumentException("malformed header line: no colon after the header name");
    }
    return super.splitHeaderName(line, start, length);
  }
}
