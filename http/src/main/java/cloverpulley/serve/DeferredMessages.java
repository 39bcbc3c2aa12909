package cloverpulley.serve;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;

/**
 * The decoded messages of a connection whose body waits for buffer capacity, in order. They are what one read contained, but a read of short
 * chunks or of short requests contains thousands of messages: so chunks are joined, trailers dropped and requests limited in number. Confined
 * to the event loop.
 */
final class DeferredMessages {

  /** As many as may wait behind a request in progress. The next one is marked as failed, and what follows it is discarded. */
  private static final int MAX_REQUESTS = PipelinedRequests.MAX_REQUESTS;

  private final ArrayDeque<Object> messages = new ArrayDeque<>(2);
  /** The buffer at the end of the queue, to which further chunks of the same body are appended; null for none. */
  private ByteBuf lastChunk;
  private int requests;

  /** Appends a message and takes ownership of it. */
  void add(Object message, ByteBufAllocator allocator) {
    if (requests > MAX_REQUESTS) {
      discard(message);
    } else if (message instanceof HttpRequest request) {
      addRequest(request);
    } else if (message instanceof HttpContent content) {
      addContent(content, allocator);
    } else {
      messages.add(message);
    }
  }

  private void addRequest(HttpRequest request) {
    lastChunk = null;
    requests++;
    if (requests > MAX_REQUESTS) {
      request.setDecoderResult(DecoderResult.failure(new TooLongFrameException("too many requests at once")));
    }
    messages.add(request);
  }

  private void addContent(HttpContent content, ByteBufAllocator allocator) {
    if (content.content().isReadable()) {
      if (lastChunk == null) {
        lastChunk = allocator.buffer(content.content().readableBytes());
        messages.add(new DefaultHttpContent(lastChunk));
      }
      lastChunk.writeBytes(content.content());
    }
    if (content instanceof LastHttpContent) {
      lastChunk = null;
      LastHttpContent withoutTrailers = new DefaultLastHttpContent(Unpooled.EMPTY_BUFFER);
      withoutTrailers.setDecoderResult(content.decoderResult());
      messages.add(withoutTrailers);
    }
    discard(content);
  }

  /** Puts a message before all others and takes ownership of it. */
  void addFirst(HttpContent content) {
    messages.addFirst(content);
  }

  /** Removes the next message, which the caller releases; null for none. */
  Object poll() {
    Object next = messages.poll();
    if (messages.isEmpty()) {
      lastChunk = null;
      requests = 0;
    }
    return next;
  }

  boolean isEmpty() {
    return messages.isEmpty();
  }

  /** Discards all messages. */
  void release() {
    for (Object message = poll(); message != null; message = poll()) {
      discard(message);
    }
  }

  private static void discard(Object message) {
    if (message instanceof HttpRequest request) {
      HeaderMemory.release(request.headers());
    } else if (message instanceof LastHttpContent last) {
      HeaderMemory.release(last.trailingHeaders());
    }
    ReferenceCountUtil.release(message);
  }
}
