package cloverpulley.serve;

import cloverpulley.handover.RequestIdClaims;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
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
import java.util.function.Function;

/**
 * Assembles requests from their parts. A short body is buffered and passed on whole, a longer one as a {@link StreamedRequest} while it
 * arrives. It responds only with {@code 100 Continue}: a request that is too large is passed on as failed, to be answered in its turn.
 */
final class RequestReader extends ChannelInboundHandlerAdapter {

  /** The longest body that is buffered, and so can be sent again in any attempt. */
  static final int MAX_BUFFERED_BODY = 256 * 1024;
  /** The longest body that is accepted: the protocol's limit, and a margin for senders that exceed it slightly. */
  static final long MAX_BODY = 33L << 20;

  /** The initial buffer capacity for a body. It grows with the data received, whatever Content-Length says. */
  private static final int INITIAL_CAPACITY = 4096;

  /** The memory for bodies over all connections: buffered ones, by the capacity of their buffers, and streamed ones. */
  record Budgets(BufferBudget buffered, BufferBudget streamed) {}

  private final Budgets budgets;
  private final ClientTime clientTime;
  private final BooleanSupplier busy;
  private final Function<HttpRequest, RequestIdClaims.Claim> idClaimer;
  private final Runnable onDemandChanged;
  private long bufferedBytes;
  /** The request that is being assembled, its body so far, and the bytes of the body received. */
  private HttpRequest head;
  /** The claim of the id in {@link #head}; null for none. */
  private RequestIdClaims.Claim idClaim;
  private ByteBuf body;
  private BodyStream bodyStream;
  private long received;
  /** The parts that arrive belong to a request that has failed. */
  private boolean discarding;
  private ChannelHandlerContext context;

  /**
   * Creates a reader. {@code clientTime} tells when what it reads was accepted; {@code busy} tells whether an earlier request on the connection has no response yet; {@code idClaimer} claims the
   * id of a request once its head is complete, or returns null; {@code onDemandChanged} is run when {@link #wantsMore} may have changed.
   */
  RequestReader(Budgets budgets, ClientTime clientTime, BooleanSupplier busy, Function<HttpRequest, RequestIdClaims.Claim> idClaimer, Runnable onDemandChanged) {
    this.budgets = budgets;
    this.clientTime = clientTime;
    this.busy = busy;
    this.idClaimer = idClaimer;
    this.onDemandChanged = onDemandChanged;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext context) {
    this.context = context;
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    read(context, message);
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext context) {
    flushBody();
    context.fireChannelReadComplete();
  }

  private void flushBody() {
    if (bodyStream != null) {
      bodyStream.flush();
    }
  }

  private void read(ChannelHandlerContext context, Object message) {
    try {
      if (message instanceof HttpRequest request) {
        begin(context, request);
      }
      if (message instanceof HttpContent content && (head != null || bodyStream != null)) {
        add(context, content);
      }
    } finally {
      if (message instanceof LastHttpContent last) {
        HeaderMemory.release(last.trailingHeaders()); // Trailers are not forwarded.
      }
      ReferenceCountUtil.release(message);
    }
  }

  private void begin(ChannelHandlerContext context, HttpRequest request) {
    reset();
    received = 0;
    discarding = false;
    if (!request.decoderResult().isSuccess()) {
      HeaderMemory.release(request.headers());
      fail(context, request.decoderResult());
      return;
    }
    long length = HttpUtil.getContentLength(request, -1L);
    if (length > MAX_BODY) {
      HeaderMemory.release(request.headers());
      fail(context, DecoderResult.failure(new TooLongHttpContentException("the body is too large")));
      return;
    }
    head = request;
    idClaim = idClaimer.apply(request);
    if (length > MAX_BUFFERED_BODY) {
      body = Unpooled.EMPTY_BUFFER;
      startStreaming(null);
    } else {
      body = context.alloc().buffer((int) Math.max(0, Math.min(length, INITIAL_CAPACITY)));
      reserve(body.capacity());
      sendContinue();
    }
  }

  /** Sends 100 Continue to a client that waits for it before it sends the body. */
  private void sendContinue() {
    if (HttpUtil.is100ContinueExpected(head) && !busy.getAsBoolean()) {
      context.writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
    }
  }

  private void reserve(long bytes) {
    budgets.buffered().acquire(bytes);
    bufferedBytes += bytes;
  }

  /** Appends a piece to the buffered body; false if the budget has no capacity for it. A short body always fits. */
  private boolean append(ByteBuf piece) {
    int needed = body.writerIndex() + piece.readableBytes();
    if (needed > body.capacity()) {
      int capacity = body.alloc().calculateNewCapacity(needed, Integer.MAX_VALUE);
      long additional = capacity - body.capacity();
      if (capacity > INITIAL_CAPACITY && !budgets.buffered().fits(additional)) {
        return false;
      }
      reserve(additional);
      body.capacity(capacity);
    }
    body.writeBytes(piece); // Copied, since pieces of one byte would otherwise take a buffer each.
    return true;
  }

  private void add(ChannelHandlerContext context, HttpContent content) {
    int bytes = content.content().readableBytes();
    received += bytes;
    if (!content.decoderResult().isSuccess() || received > MAX_BODY) {
      fail(context, content.decoderResult().isSuccess()
          ? DecoderResult.failure(new TooLongHttpContentException("the body is too large")) : content.decoderResult());
      return;
    }
    if (bodyStream != null) {
      if (bytes > 0) {
        bodyStream.add(content.content().retain());
      }
    } else if (bytes > 0 && (received > MAX_BUFFERED_BODY || !append(content.content()))) {
      // Bounds the memory that many bodies take at once: one that does not fit in the budget is streamed.
      received -= bytes;
      startStreaming(content);
      return;
    }
    if (content instanceof LastHttpContent) {
      if (bodyStream != null) {
        BodyStream done = bodyStream;
        bodyStream = null;
        done.end();
      } else {
        FullHttpRequest complete = new BufferedRequest(head, body, idClaim, clientTime.earliest());
        head = null;
        idClaim = null;
        body = null;
        emit(context, complete);
      }
    }
  }

  /** Passes the request on with the body as far as it is buffered, and streams the rest from this piece on. */
  private void startStreaming(HttpContent piece) {
    sendContinue();
    bodyStream = new BodyStream(budgets.streamed(), onDemandChanged);
    StreamedRequest request = new StreamedRequest(head, body, idClaim, bodyStream);
    head = null;
    idClaim = null;
    body = null;
    emit(context, request);
    if (piece != null) {
      add(context, piece);
    }
    onDemandChanged.run();
  }

  private static void emit(ChannelHandlerContext context, FullHttpRequest request) {
    context.fireChannelRead(request); // The receiver releases it.
  }

  private void fail(ChannelHandlerContext context, DecoderResult cause) {
    boolean streaming = bodyStream != null;
    reset();
    if (streaming) {
      // An upstream may have the beginning of the body: closing the connection also ends that attempt, which stays incomplete.
      context.close();
    } else if (!discarding) {
      discarding = true;
      FullHttpRequest failed = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, Frontend.API, Unpooled.EMPTY_BUFFER);
      failed.setDecoderResult(cause);
      emit(context, failed);
    }
  }

  /** Whether a request's body is not complete yet. */
  boolean isReadingBody() {
    return head != null || bodyStream != null;
  }

  /** Bytes received of the body that is being read. */
  long received() {
    return received;
  }

  /** Whether more may be read: a streamed body is below its limit. */
  boolean wantsMore() {
    return bodyStream == null || bodyStream.wantsMore();
  }

  private void reset() {
    if (head != null) {
      HeaderMemory.release(head.headers());
      head = null;
    }
    if (idClaim != null) {
      idClaim.release();
      idClaim = null;
    }
    bodyStream = null;
    if (body != null) {
      body.release();
      body = null;
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    reset();
    context.fireChannelInactive();
  }

  /** Bytes of buffered bodies on this connection, including those of requests that were passed on. */
  long bufferedBytes() {
    return bufferedBytes;
  }

  /** Releases bytes of buffered bodies. */
  void release(long bytes) {
    bufferedBytes -= bytes;
    budgets.buffered().release(bytes);
  }

  /** Releases all buffered bodies of this connection. */
  void release() {
    release(bufferedBytes);
  }
}
