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
 * Guards against a 200 cut short that looks whole: without a length only the connection's end marks the body's, and
 * a process that dies ends it just so. Such an answer counts as broken.
 */
final class ResponseValidator extends ChannelInboundHandlerAdapter {

  /** Header of an upstream that turned a request away unseen. */
  private static final String NEVER_RAN = "X-Never-Ran";
  /** What every answer begins with. */
  private static final byte[] START = "HTTP/1.".getBytes(StandardCharsets.US_ASCII);

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    if (message instanceof HttpResponse response && response.status().equals(HttpResponseStatus.OK)
        && !HttpUtil.isContentLengthSet(response) && !HttpUtil.isTransferEncodingChunked(response)) {
      response.setDecoderResult(DecoderResult.failure(new IOException("a body without a length")));
    }
    context.fireChannelRead(message);
  }

  /** How far an answer's beginning has been looked at with these bytes, {@code seen} before them; -1 for what is no answer. */
  static int begins(ByteBuf bytes, int seen) {
    int begun = seen;
    for (int i = 0; begun < START.length && i < bytes.readableBytes(); i++) {
      if (bytes.getByte(bytes.readerIndex() + i) != START[begun++]) {
        return -1;
      }
    }
    return begun;
  }

  /** What an answer means. */
  static Status status(FullHttpResponse response) {
    HttpResponseStatus status = response.status();
    if (!response.decoderResult().isSuccess()) {
      return Status.RESET;
    }
    if (status.equals(HttpResponseStatus.OK)) {
      return Status.SERVED;
    }
    boolean refused = status.equals(HttpResponseStatus.SERVICE_UNAVAILABLE)
        || status.equals(HttpResponseStatus.GATEWAY_TIMEOUT);
    return refused && "1".equals(response.headers().get(NEVER_RAN)) ? Status.FULL : Status.ERROR;
  }
}
