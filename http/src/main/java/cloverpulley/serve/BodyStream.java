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

    /** Writes a part of the body and takes ownership of it; {@code onWritten} runs once it is written or can't be. */
    void write(ByteBuf content, Runnable onWritten);

    /** Called after the last part. */
    void end();
  }

  /** Reading from the client pauses once this much is queued. */
  private static final int MAX_QUEUED_BYTES = 32 * 1024;
  /** Smaller parts are coalesced while queued; otherwise each would occupy a buffer and a write of its own. */
  private static final int COALESCE_BYTES = Server.MAX_READ / 2;

  private final ArrayDeque<ByteBuf> queue = new ArrayDeque<>();
  private final BufferBudget budget;
  private final Runnable onDemandChanged;
  private ByteBuf tail;
  private Runnable onFirstConsumed;
  private Runnable onCompleted;
  private int queuedBytes;
  /** Bytes that an upstream's socket has not accepted yet. */
  private int inTransitBytes;
  private boolean complete;
  private boolean discarded;
  private boolean consumed;
  private Sink sink;

  /** {@code budget} counts what all streams hold; {@code onDemandChanged} runs when {@link #wantsMore} may have changed. */
  BodyStream(BufferBudget budget, Runnable onDemandChanged) {
    this.budget = budget;
    this.onDemandChanged = onDemandChanged;
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
    budget.acquire(content.readableBytes());
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

  /** Whether more may be read. While the budget is used up, a stream goes on once it holds nothing: in small steps, and without waiting for others. */
  boolean wantsMore() {
    boolean holdsNothing = queuedBytes + inTransitBytes == 0;
    return discarded || queuedBytes < MAX_QUEUED_BYTES && (holdsNothing || !budget.isExhausted());
  }

  /** Sets the attempt that receives queued and future parts; null when it has ended. */
  void attach(Sink to) {
    sink = to;
    flush();
  }

  /** Writes queued parts for as long as the attempt accepts them. */
  void flush() {
    while (sink != null && sink.isWritable() && !queue.isEmpty()) {
      if (!consumed) {
        consumed = true;
        if (onFirstConsumed != null) {
          onFirstConsumed.run();
        }
      }
      ByteBuf content = queue.poll();
      tail = content == tail ? null : tail;
      int bytes = content.readableBytes();
      queuedBytes -= bytes;
      inTransitBytes += bytes;
      sink.write(content, () -> written(bytes));
    }
    if (sink != null && complete && queue.isEmpty()) {
      Sink completed = sink;
      sink = null;
      completed.end();
    }
  }

  private void written(int bytes) {
    inTransitBytes -= bytes;
    budget.release(bytes);
    if (wantsMore()) {
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
    budget.release(queuedBytes);
    queuedBytes = 0;
    onDemandChanged.run();
  }
}
