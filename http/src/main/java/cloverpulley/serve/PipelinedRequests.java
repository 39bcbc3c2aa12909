package cloverpulley.serve;

import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.FullHttpRequest;
import java.util.ArrayDeque;
import java.util.Map;

/**
 * The requests of one connection that arrived while an earlier one is in progress, in order. Bounded in number, in bytes of bodies, and by
 * the heap that their heads take over all connections. Confined to the event loop.
 */
final class PipelinedRequests {

  /** Requests that may wait on one connection. */
  private static final int MAX_REQUESTS = 32;
  /** Bytes of bodies that may be buffered on a connection, including those of the request in progress. */
  private static final long MAX_BODY_BYTES = 2 * RequestReader.MAX_BUFFERED_BODY;
  /** The heads of waiting requests over all connections may take the heap divided by this. */
  private static final int HEAP_DIVISOR = 8;
  /** The estimated heap overhead of a request and of each header line beyond their text, in bytes. */
  private static final int REQUEST_BYTES = 1024;
  private static final int HEADER_BYTES = 128;

  private final BufferBudget headBudget;
  private final ArrayDeque<FullHttpRequest> waiting = new ArrayDeque<>(1);

  /** Creates an empty queue; {@code headBudget} is shared by all connections. */
  PipelinedRequests(BufferBudget headBudget) {
    this.headBudget = headBudget;
  }

  /** Creates the budget for the heads on all connections. */
  static BufferBudget headBudget() {
    return new BufferBudget(Runtime.getRuntime().maxMemory() / HEAP_DIVISOR);
  }

  /** Appends a request. If it does not fit, marks the last waiting request as failed and returns false; no further input is then accepted. */
  boolean add(FullHttpRequest request, long bodyBytesHeld) {
    long headBytes = headBytes(request);
    boolean fits = waiting.size() < MAX_REQUESTS && bodyBytesHeld <= MAX_BODY_BYTES && headBudget.fits(headBytes);
    if (!waiting.isEmpty() && !fits) {
      // Excess input is discarded rather than left unread, so that a close by the client is still noticed.
      waiting.peekLast().setDecoderResult(DecoderResult.failure(new TooLongFrameException("too many requests at once")));
      return false;
    }
    waiting.add(request.retain());
    headBudget.forceAcquire(headBytes);
    return true;
  }

  boolean isEmpty() {
    return waiting.isEmpty();
  }

  /** Removes the next request, which the caller releases; null for none. */
  FullHttpRequest poll() {
    FullHttpRequest next = waiting.poll();
    if (next != null) {
      headBudget.release(headBytes(next));
    }
    return next;
  }

  /** Discards all requests. */
  void release() {
    for (FullHttpRequest request = poll(); request != null; request = poll()) {
      if (request instanceof StreamedRequest s) {
        s.bodyStream.discard();
      }
      request.release();
    }
  }

  /** The estimated heap size of a request's head. */
  private static long headBytes(FullHttpRequest request) {
    long bytes = REQUEST_BYTES + request.uri().length();
    for (Map.Entry<String, String> header : request.headers()) {
      bytes += HEADER_BYTES + header.getKey().length() + header.getValue().length();
    }
    return bytes;
  }
}
