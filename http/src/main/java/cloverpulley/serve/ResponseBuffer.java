package cloverpulley.serve;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.Unpooled;

/**
 * The part of a response body that has arrived and is neither complete nor passed on. Its capacity counts against a budget that all responses
 * share; the budget is never waited for. Confined to the event loop.
 */
final class ResponseBuffer {

  private static final int MIN_CAPACITY = 1024;

  private final ByteBufAllocator allocator;
  private final BufferBudget budget;
  /** Null while nothing is buffered. */
  private ByteBuf content;
  private long countedBytes;

  ResponseBuffer(ByteBufAllocator allocator, BufferBudget budget) {
    this.allocator = allocator;
    this.budget = budget;
  }

  boolean isEmpty() {
    return content == null;
  }

  int length() {
    return content == null ? 0 : content.readableBytes();
  }

  /** Appends a part, which the caller keeps. The first one is not copied. */
  void append(ByteBuf part) {
    if (content == null) {
      content = part.retain();
    } else {
      boolean writable = !content.isReadOnly() && content.refCnt() == 1 && content.unwrap() == null;
      content = (writable ? content : copy(content)).writeBytes(part);
    }
    count(content.capacity());
  }

  private ByteBuf copy(ByteBuf first) {
    ByteBuf copy = allocator.buffer(Math.max(MIN_CAPACITY, 2 * first.readableBytes())).writeBytes(first);
    first.release();
    return copy;
  }

  private void count(long bytes) {
    budget.acquire(bytes - countedBytes);
    countedBytes = bytes;
  }

  /** Removes what is buffered, which the caller releases. */
  ByteBuf take() {
    ByteBuf taken = content == null ? Unpooled.EMPTY_BUFFER : content;
    content = null;
    count(0);
    return taken;
  }

  /** Discards what is buffered. */
  void release() {
    take().release();
  }
}
