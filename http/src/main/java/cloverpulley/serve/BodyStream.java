package cloverpulley.serve;

import io.netty.buffer.ByteBuf;
import java.util.ArrayDeque;

/**
 * The rest of a request body that is too long to buffer. Received parts are queued until an attempt consumes them, and can't be
 * sent again after that. The client's socket is read only while {@link #wantsMore}. Runs on the event loop.
 */
final class BodyStream {

  /** The attempt that receives the body. */
  interface Sink {
    boolean isWritable();

    /** Writes a part of the body and takes ownership of it. */
    void write(ByteBuf content);

    /** Called after the last part. */
    void end();
  }

  /** Reading from the client pauses once this much is queued. */
  private static final int MAX_QUEUED_BYTES = 32 * 1024;
  /** The maximum direct memory that one stream may hold: the queue, the read that exceeds its limit, and bytes pending at the upstream's socket. */
  static final int MAX_HELD_BYTES = MAX_QUEUED_BYTES + 3 * Server.MAX_READ;
  /** Smaller parts are coalesced while queued; otherwise each would occupy a buffer and a write of its own. */
  private static final int COALESCE_BYTES = Server.MAX_READ / 2;

  private final ArrayDeque<ByteBuf> queue = new ArrayDeque<>();
  private final Runnable onDemandChanged;
  private Runnable onReleased;
  private ByteBuf tail;
  private Runnable onFirstConsumed;
  private Runnable onCompleted;
  private int queuedBytes;
  private boolean complete;
  private boolean discarded;
  private boolean consumed;
  private Sink sink;

  /** {@code onDemandChanged} runs when {@link #wantsMore} may have changed, {@code onReleased} once the stream holds no memory any more. */
  BodyStream(Runnable onDemandChanged, Runnable onReleased) {
    this.onDemandChanged = onDemandChanged;
    this.onReleased = onReleased;
  }

  /** Sets what runs when the first part is consumed, after which the body can't be sent again, and when the whole body has been received. */
  void setCallbacks(Runnable firstConsumed, Runnable bodyCompleted) {
    onFirstConsumed = firstConsumed;
    onCompleted = bodyCompleted;
    if (complete) {
      onCompleted.run();
    }
  }

  /** Adds a received part and takes ownership of it. A short part is passed on at the next {@link #flush}, together with those after it. */
  void add(ByteBuf content) {
    if (discarded) {
      content.release();
      return;
    }
    queuedBytes += content.readableBytes();
    if (content.readableBytes() >= COALESCE_BYTES || queue.isEmpty()) {
      tail = null;
      queue.add(content);
    } else {
      if (tail == null || tail.maxWritableBytes() < content.readableBytes()) {
        tail = content.alloc().buffer(COALESCE_BYTES, COALESCE_BYTES);
        queue.add(tail);
      }
      tail.writeBytes(content);
      content.release();
    }
    if (queuedBytes >= COALESCE_BYTES) {
      flush();
    }
    if (!wantsMore()) {
      onDemandChanged.run(); // Bounds memory: reading pauses until an upstream has consumed some of the queue.
    }
  }

  /** Marks the body as completely received. */
  void end() {
    complete = true;
    if (onCompleted != null) {
      onCompleted.run();
    }
    flush();
  }

  /** Whether the whole body has been received. */
  boolean isComplete() {
    return complete;
  }

  /** Whether parts have been consumed, so that no further attempt can send the body. */
  boolean isConsumed() {
    return consumed;
  }

  boolean wantsMore() {
    return discarded || queuedBytes < MAX_QUEUED_BYTES;
  }

  /** Sets the attempt that receives queued and future parts; null when it has ended. */
  void attach(Sink to) {
    sink = to;
    flush();
  }

  /** Writes queued parts for as long as the attempt accepts them. */
  void flush() {
    boolean wantedBefore = wantsMore();
    while (sink != null && sink.isWritable() && !queue.isEmpty()) {
      if (!consumed) {
        consumed = true;
        if (onFirstConsumed != null) {
          onFirstConsumed.run();
        }
      }
      ByteBuf content = queue.poll();
      tail = content == tail ? null : tail;
      queuedBytes -= content.readableBytes();
      sink.write(content);
    }
    if (sink != null && complete && queue.isEmpty()) {
      Sink completed = sink;
      sink = null;
      completed.end();
    }
    if (!wantedBefore && wantsMore()) {
      onDemandChanged.run();
    }
  }

  /** Drops the queue and everything received from now on. */
  void discard() {
    if (discarded) {
      return;
    }
    discarded = true;
    sink = null;
    queue.forEach(ByteBuf::release);
    queue.clear();
    tail = null;
    queuedBytes = 0;
    releaseReservation();
    onDemandChanged.run();
  }

  /** Releases the stream's memory reservation once the last part is written to an upstream or the stream is discarded. */
  void releaseReservation() {
    Runnable callback = onReleased;
    onReleased = null;
    if (callback != null) {
      callback.run();
    }
  }
}
