package cloverpulley.serve;

import cloverpulley.Balancer.Status;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import java.io.IOException;
import java.nio.charset.StandardCharsets;

/**
 * Rejects a 200 with neither a content length nor chunked encoding. The end of its body is marked only by the end of the
 * connection, so a response truncated by a crashing process would look complete.
 */
final class ResponseValidator extends ChannelInboundHandlerAdapter {

  /** Response header of an upstream that rejected a request without processing it. */
  private static final String NEVER_RAN = "X-Never-Ran";
  /** Prefix of every valid response. */
  private static final byte[] STATUS_LINE_PREFIX = "HTTP/1.".getBytes(StandardCharsets.US_ASCII);

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    if (message instanceof HttpResponse response && response.status().equals(HttpResponseStatus.OK)
        && !HttpUtil.isContentLengthSet(response) && !HttpUtil.isTransferEncodingChunked(response)) {
      response.setDecoderResult(DecoderResult.failure(new IOException("response has neither a content length nor chunked encoding")));
    }
    context.fireChannelRead(message);
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
