package cloverpulley.serve;

import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.FullHttpRequest;
import java.util.ArrayDeque;

/**
 * The requests of one connection that arrived while an earlier one is in progress, in order. Bounded in number and in bytes of bodies; the
 * decoder bounds their heads, see {@link HeaderMemory}. Confined to the event loop.
 */
final class PipelinedRequests {

  /** Requests that may wait on one connection. */
  static final int MAX_REQUESTS = 32;
  /** Bytes of bodies that may be buffered on a connection, including those of the request in progress. */
  private static final long MAX_BODY_BYTES = 2 * RequestReader.MAX_BUFFERED_BODY;

  private final ArrayDeque<FullHttpRequest> waiting = new ArrayDeque<>(1);

  /** Appends a request. If it does not fit, marks the last waiting request as failed and returns false; no further input is then accepted. */
  boolean add(FullHttpRequest request, long bodyBytesHeld) {
    boolean fits = waiting.size() < MAX_REQUESTS && bodyBytesHeld <= MAX_BODY_BYTES;
    if (!waiting.isEmpty() && !fits) {
      // Excess input is discarded rather than left unread, so that a close by the client is still noticed.
      waiting.peekLast().setDecoderResult(DecoderResult.failure(new TooLongFrameException("too many requests at once")));
      return false;
    }
    waiting.add(request.retain());
    return true;
  }

  boolean isEmpty() {
    return waiting.isEmpty();
  }

  /** Removes the next request, which the caller releases; null for none. */
  FullHttpRequest poll() {
    return waiting.poll();
  }

  /** Discards all requests. */
  void release() {
    for (FullHttpRequest request = poll(); request != null; request = poll()) {
      if (request instanceof AcceptedRequest accepted) {
        accepted.discard();
      }
      request.release();
    }
  }
}
