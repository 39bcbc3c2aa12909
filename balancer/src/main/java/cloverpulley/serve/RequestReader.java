package cloverpulley.serve;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpContentException;
import io.netty.util.ReferenceCountUtil;
import java.util.function.BooleanSupplier;

/**
 * Puts the parts of a request together: a body that is kept comes on whole, a longer one as a {@link StreamedRequest} while it comes. It
 * answers nothing by itself but {@code 100 Continue}: one that is too large comes on as a request that failed, to be answered in its turn.
 */
final class RequestReader extends ChannelInboundHandlerAdapter {

  /** The longest body that is kept, and so can be sent again to the last. */
  static final int MOST_KEPT = 256 * 1024;
  /** The longest that is taken at all: what the protocol allows, and what a sender may be off by. */
  static final long MOST_BODY = 33L << 20;

  /** Room for a body at first; it grows as it comes, whatever length was told. */
  private static final int FIRST = 4096;

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
  private final Runnable demand;
  private long held;
  /** The request that is being put together, its body so far, and the bytes of it that have come. */
  private HttpRequest head;
  private ByteBuf body;
  private BodyStream rest;
  private long came;
  /** What comes belongs to a request that has failed. */
  private boolean skips;

  /** {@code busy} tells whether an earlier request on the connection is still to be answered; {@code demand} is run when more can be read. */
  RequestReader(Budget budget, BooleanSupplier busy, Runnable demand) {
    this.budget = budget;
    this.busy = busy;
    this.demand = demand;
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    try {
      if (message instanceof HttpRequest request) {
        begin(context, request);
      }
      if (message instanceof HttpContent content && (head != null || rest != null)) {
        add(context, content);
      }
    } finally {
      ReferenceCountUtil.release(message);
    }
  }

  private void begin(ChannelHandlerContext context, HttpRequest request) {
    letGo();
    came = 0;
    skips = false;
    if (!request.decoderResult().isSuccess()) {
      fail(context, request.decoderResult());
      return;
    }
    long length = HttpUtil.getContentLength(request, -1L);
    if (length > MOST_BODY) {
      fail(context, DecoderResult.failure(new TooLongHttpContentException("the body is too large")));
      return;
    }
    if (HttpUtil.is100ContinueExpected(request) && !busy.getAsBoolean()) {
      context.writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
    }
    head = request;
    body = context.alloc().buffer((int) Math.max(0, Math.min(length, FIRST)));
    if (length > MOST_KEPT) {
      stream(context);
    }
  }

  private void add(ChannelHandlerContext context, HttpContent content) {
    int bytes = content.content().readableBytes();
    came += bytes;
    if (!content.decoderResult().isSuccess() || came > MOST_BODY) {
      fail(context, content.decoderResult().isSuccess()
          ? DecoderResult.failure(new TooLongHttpContentException("the body is too large")) : content.decoderResult());
      return;
    }
    if (rest != null) {
      if (bytes > 0) {
        rest.add(content.content().retain());
      }
    } else if (bytes > 0) {
      held += bytes;
      budget.held += bytes;
      body.writeBytes(content.content()); // Copied: pieces of an octet each would else cost a buffer each.
      // Guards the memory against many bodies at once: what there is no room for goes on as it comes.
      if (!(content instanceof LastHttpContent) && (came > MOST_KEPT || budget.held > budget.most)) {
        stream(context);
      }
    }
    if (content instanceof LastHttpContent) {
      if (rest != null) {
        BodyStream done = rest;
        rest = null;
        done.end();
      } else {
        FullHttpRequest whole = new DefaultFullHttpRequest(head.protocolVersion(), head.method(), head.uri(), body, head.headers(),
            EmptyHttpHeaders.INSTANCE);
        head = null;
        body = null;
        emit(context, whole);
      }
    }
  }

  private void stream(ChannelHandlerContext context) {
    rest = new BodyStream(demand);
    StreamedRequest request = new StreamedRequest(head, body, rest);
    head = null;
    body = null;
    emit(context, request);
  }

  private static void emit(ChannelHandlerContext context, FullHttpRequest request) {
    context.fireChannelRead(request); // Who takes it releases it.
  }

  private void fail(ChannelHandlerContext context, DecoderResult why) {
    boolean passing = rest != null;
    letGo();
    if (passing) {
      // Its beginning may be at an upstream: the connection ends, and with it the attempt, which never had the whole.
      context.close();
    } else if (!skips) {
      skips = true;
      FullHttpRequest failed = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, Frontend.API, Unpooled.EMPTY_BUFFER);
      failed.setDecoderResult(why);
      emit(context, failed);
    }
  }

  /** Whether a part of a request's body is still to come. */
  boolean isWithin() {
    return head != null || rest != null;
  }

  /** Bytes of the body of the request that is coming. */
  long came() {
    return came;
  }

  /** Whether what is passed on while it comes leaves room to read more. */
  boolean wantsMore() {
    return rest == null || rest.wantsMore();
  }

  private void letGo() {
    head = null;
    rest = null;
    if (body != null) {
      body.release();
      body = null;
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    letGo();
    context.fireChannelInactive();
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
