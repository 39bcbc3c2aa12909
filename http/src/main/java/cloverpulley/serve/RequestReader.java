package cloverpulley.serve;

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
import java.util.ArrayDeque;
import java.util.function.BooleanSupplier;

/**
 * Puts the parts of a request together: a body that is kept comes on whole, a longer one as a {@link StreamedRequest} while it comes. It
 * answers nothing by itself but {@code 100 Continue}: one that is too large comes on as a request that failed, to be answered in its turn.
 */
final class RequestReader extends ChannelInboundHandlerAdapter {

  /** The longest body that is kept, and so can be sent again to the last. */
  static final int MAX_BUFFERED_BODY = 256 * 1024;
  /** The longest that is taken at all: what the protocol allows, and what a sender may be off by. */
  static final long MAX_BODY = 33L << 20;

  /** Room for a body at first; it grows as it comes, whatever length was told. */
  private static final int INITIAL_CAPACITY = 4096;

  /** Where all connections' bodies find room: those that are kept, by what their buffers take, and those that pass while they come. */
  record Budgets(BufferBudget buffered, BufferBudget streamed) {}

  private final Budgets budgets;
  private final BooleanSupplier busy;
  private final Runnable onDemandChanged;
  private long bufferedBytes;
  /** The request that is being put together, its body so far, and the bytes of it that have come. */
  private HttpRequest head;
  private ByteBuf body;
  private BodyStream rest;
  private long received;
  private boolean awaitsCapacity;
  /** What comes belongs to a request that has failed. */
  private boolean discarding;
  /** Where the body passes while it comes, once there is room, and what had been read when there was none: one read at most. */
  private BufferBudget.Reservation reservation;
  private final ArrayDeque<Object> deferred = new ArrayDeque<>(2);
  private ChannelHandlerContext context;

  /** {@code busy} tells whether an earlier request on the connection is still to be answered; {@code onDemandChanged} is run when more can be read. */
  RequestReader(Budgets budgets, BooleanSupplier busy, Runnable onDemandChanged) {
    this.budgets = budgets;
    this.busy = busy;
    this.onDemandChanged = onDemandChanged;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext context) {
    this.context = context;
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    if (isAwaitingCapacity()) {
      deferred.add(message);
    } else {
      read(context, message);
    }
  }

  private void read(ChannelHandlerContext context, Object message) {
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
    reset();
    received = 0;
    discarding = false;
    if (!request.decoderResult().isSuccess()) {
      fail(context, request.decoderResult());
      return;
    }
    long length = HttpUtil.getContentLength(request, -1L);
    if (length > MAX_BODY) {
      fail(context, DecoderResult.failure(new TooLongHttpContentException("the body is too large")));
      return;
    }
    head = request;
    if (length > MAX_BUFFERED_BODY) {
      body = Unpooled.EMPTY_BUFFER;
      awaitUploadCapacity(null);
    } else {
      body = context.alloc().buffer((int) Math.max(0, Math.min(length, INITIAL_CAPACITY)));
      reserve(body.capacity());
      sendContinue();
    }
  }

  /** Tells a client that waits for the word to send its body. */
  private void sendContinue() {
    if (HttpUtil.is100ContinueExpected(head) && !busy.getAsBoolean()) {
      context.writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
    }
  }

  private void reserve(long bytes) {
    budgets.buffered().force(bytes);
    bufferedBytes += bytes;
  }

  /** Keeps a piece; false where that would take more room than there is. A short body always finds some. */
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
    body.writeBytes(piece); // Copied: pieces of an octet each would else cost a buffer each.
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
    if (rest != null) {
      if (bytes > 0) {
        rest.add(content.content().retain());
      }
    } else if (bytes > 0 && (received > MAX_BUFFERED_BODY || !append(content.content()))) {
      // Guards the memory against many bodies at once: what there is no room for goes on as it comes.
      received -= bytes;
      awaitUploadCapacity(content);
      return;
    }
    if (content instanceof LastHttpContent) {
      if (rest != null) {
        BodyStream done = rest;
        rest = null;
        done.end();
      } else {
        FullHttpRequest complete = new BufferedRequest(head, body);
        head = null;
        body = null;
        emit(context, complete);
      }
    }
  }

  /** What is still to come passes while it comes, from this piece on, as soon as there is room for that. */
  private void awaitUploadCapacity(HttpContent piece) {
    if (piece != null) {
      deferred.addFirst(piece.retain());
    }
    // Not at once: who leaves the room is in the middle of something else.
    reservation = budgets.streamed().ask(BodyStream.OCTETS, () -> context.executor().execute(() -> {
      if (isAwaitingCapacity()) {
        startStreaming(false);
      }
    }));
    awaitsCapacity = true;
    if (reservation.isGiven()) {
      startStreaming(false);
    } else {
      onDemandChanged.run();
    }
  }

  private void startStreaming(boolean rejected) {
    awaitsCapacity = false;
    if (!rejected) {
      sendContinue();
    }
    rest = new BodyStream(onDemandChanged, reservation::leave);
    reservation = null;
    StreamedRequest request = new StreamedRequest(head, body, rest, rejected);
    head = null;
    body = null;
    emit(context, request);
    while (!deferred.isEmpty() && !isAwaitingCapacity()) {
      read(context, deferred.poll());
    }
    onDemandChanged.run();
  }

  /** Whether a body stands before the room: nothing more of its connection is read. */
  boolean isAwaitingCapacity() {
    return awaitsCapacity;
  }

  /** There was no room in time for the body that waits for some: it comes on as turned away. */
  void rejectUpload() {
    startStreaming(true);
  }

  private static void emit(ChannelHandlerContext context, FullHttpRequest request) {
    context.fireChannelRead(request); // Who takes it releases it.
  }

  private void fail(ChannelHandlerContext context, DecoderResult cause) {
    boolean streaming = rest != null;
    reset();
    if (streaming) {
      // Its beginning may be at an upstream: the connection ends, and with it the attempt, which never had the whole.
      context.close();
    } else if (!discarding) {
      discarding = true;
      FullHttpRequest failed = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, Frontend.API, Unpooled.EMPTY_BUFFER);
      failed.setDecoderResult(cause);
      emit(context, failed);
    }
  }

  /** Whether a part of a request's body is still to come. */
  boolean isReadingBody() {
    return head != null || rest != null;
  }

  /** Bytes of the body of the request that is coming. */
  long received() {
    return received;
  }

  /** Whether what is passed on while it comes leaves room to read more. */
  boolean wantsMore() {
    return !awaitsCapacity && (rest == null || rest.wantsMore());
  }

  private void reset() {
    head = null;
    rest = null;
    awaitsCapacity = false;
    if (reservation != null) {
      reservation.leave();
      reservation = null;
    }
    deferred.forEach(ReferenceCountUtil::release);
    deferred.clear();
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

  /** Bytes that are kept of bodies on this connection, those of requests that were told included. */
  long bufferedBytes() {
    return bufferedBytes;
  }

  /** So many bytes are held no more. */
  void release(long bytes) {
    bufferedBytes -= bytes;
    budgets.buffered().give(bytes);
  }

  /** Nothing of the requests on this connection is held any more. */
  void release() {
    release(bufferedBytes);
  }
}
