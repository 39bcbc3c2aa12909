package cloverpulley.serve;

import cloverpulley.Balancer.Status;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import java.nio.charset.StandardCharsets;

/** What a response of an upstream stands for. */
final class ResponseValidator {

  /** Response header of an upstream that rejected a request without processing it. */
  private static final String NEVER_RAN = "X-Never-Ran";
  /** Prefix of every valid response. */
  private static final byte[] STATUS_LINE_PREFIX = "HTTP/1.".getBytes(StandardCharsets.US_ASCII);

  private ResponseValidator() {}

  /** Whether the body ends with the connection: an orderly close completes it, a reset does not. */
  static boolean endsWithConnection(HttpResponse head) {
    return !HttpUtil.isContentLengthSet(head) && !HttpUtil.isTransferEncodingChunked(head);
  }

  /** Number of prefix bytes matched including {@code bytes}, given those matched before; -1 if this is not an HTTP/1.x response. */
  static int matchPrefix(ByteBuf bytes, int matchedBefore) {
    int matched = matchedBefore;
    for (int i = 0; matched < STATUS_LINE_PREFIX.length && i < bytes.readableBytes(); i++) {
      if (bytes.getByte(bytes.readerIndex() + i) != STATUS_LINE_PREFIX[matched++]) {
        return -1;
      }
    }
    return matched;
  }

  /** The outcome that a response stands for. */
  static Status status(FullHttpResponse response) {
    HttpResponseStatus status = response.status();
    if (!response.decoderResult().isSuccess()) {
      return Status.RESET;
    }
    if (status.equals(HttpResponseStatus.OK)) {
      return Status.SERVED;
    }
    boolean rejected = status.equals(HttpResponseStatus.SERVICE_UNAVAILABLE)
        || status.equals(HttpResponseStatus.GATEWAY_TIMEOUT);
    return rejected && "1".equals(response.headers().get(NEVER_RAN)) ? Status.FULL : Status.ERROR;
  }
}
