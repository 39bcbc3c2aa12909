package cloverpulley.serve;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpMessage;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.TooLongHttpContentException;
import java.util.function.BooleanSupplier;

/**
 * Puts the parts of a request together. It answers nothing by itself but {@code 100 Continue}: one that is too large comes
 * on as a request that failed, to be answered in its turn.
 */
final class RequestReader extends HttpObjectAggregator {

  /** The bytes that all requests in hand may hold together. */
  static final class Budget {
    private final long most;
    private long held;

    Budget(long most) {
      this.most = most;
    }
  }

  private final Budget budget;
  private final BooleanSupplier busy;
  private long held;

  /** {@code busy} tells whether an earlier request on the connection is still to be answered. */
  RequestReader(Budget budget, BooleanSupplier busy) {
    super(Frontend.MOST_BODY);
    this.budget = budget;
    this.busy = busy;
  }

  @Override
  protected Object newContinueResponse(HttpMessage start, int mostContent, ChannelPipeline pipeline) {
    boolean wanted = HttpUtil.is100ContinueExpected(start) && HttpUtil.getContentLength(start, 0L) <= mostContent;
    return wanted && !busy.getAsBoolean() ? super.newContinueResponse(start, mostContent, pipeline) : null;
  }

  @Override
  protected void handleOversizedMessage(ChannelHandlerContext context, HttpMessage oversized) {
    FullHttpRequest failed = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, Frontend.API);
    failed.setDecoderResult(DecoderResult.failure(new TooLongHttpContentException("the body is too large")));
    context.fireChannelRead(failed);
  }

  @Override
  protected FullHttpMessage beginAggregation(HttpMessage start, ByteBuf content) throws Exception {
    hold(content.readableBytes());
    return super.beginAggregation(start, content);
  }

  @Override
  protected void aggregate(FullHttpMessage aggregated, HttpContent content) throws Exception {
    hold(content.content().readableBytes());
    super.aggregate(aggregated, content);
  }

  /** Guards the memory against many large bodies at once: who comes too late is cut off. */
  private void hold(int bytes) {
    held += bytes;
    budget.held += bytes;
    if (budget.held > budget.most) {
      throw new TooLongHttpContentException("no room for the body");
    }
  }

  /** So many bytes are held no more. */
  void release(long bytes) {
    held -= bytes;
    budget.held -= bytes;
  }

  /** Nothing of the requests on this connection is held any more. */
  void release() {
    release(held);
  }
}
