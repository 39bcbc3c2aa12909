package cloverpulley.serve;

import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.FullHttpRequest;
import java.util.ArrayDeque;
import java.util.Map;

/**
 * The requests of one connection that came while an earlier one is served, in their order. Bounded in number, in bytes of bodies, and in what their heads
 * take of the heap over all connections. All of it runs on the event loop.
 */
final class PipelinedRequests {

  /** Requests that may wait on one connection. */
  private static final int MAX_REQUESTS = 32;
  /** Bytes of bodies that may be held on a connection, those of the request that is served included. */
  private static final long MAX_BODY_BYTES = 2 * RequestReader.MAX_BUFFERED_BODY;
  /** The part of the heap that the heads of waiting requests may take over all connections. */
  private static final int HEAP_DIVISOR = 8;
  /** What a request and each of its header lines take in the heap beside their text, in bytes. */
  private static final int REQUEST_BYTES = 1024;
  private static final int HEADER_BYTES = 128;

  private final BufferBudget headBudget;
  private final ArrayDeque<FullHttpRequest> waiting = new ArrayDeque<>(1);

  /** {@code headBudget} is shared by all connections. */
  PipelinedRequests(BufferBudget headBudget) {
    this.headBudget = headBudget;
  }

  /** What the heads on all connections may take of this process's heap. */
  static BufferBudget headBudget() {
    return new BufferBudget(Runtime.getRuntime().maxMemory() / HEAP_DIVISOR);
  }

  /** Takes a request to its turn, or makes the last one that waits an error and returns false: nothing more may come. */
  boolean add(FullHttpRequest request, long bodyBytesHeld) {
    long headBytes = headBytes(request);
    boolean fits = waiting.size() < MAX_REQUESTS && bodyBytesHeld <= MAX_BODY_BYTES && headBudget.fits(headBytes);
    if (!waiting.isEmpty() && !fits) {
      // What is too much is dropped and not left unread, so that the client's end is still heard.
      waiting.peekLast().setDecoderResult(DecoderResult.failure(new TooLongFrameException("too many requests at once")));
      return false;
    }
    waiting.add(request.retain());
    headBudget.force(headBytes);
    return true;
  }

  boolean isEmpty() {
    return waiting.isEmpty();
  }

  /** The next in turn, which the caller releases; null for none. */
  FullHttpRequest poll() {
    FullHttpRequest next = waiting.poll();
    if (next != null) {
      headBudget.give(headBytes(next));
    }
    return next;
  }

  /** None of them will have its turn. */
  void release() {
    for (FullHttpRequest request = poll(); request != null; request = poll()) {
      if (request instanceof StreamedRequest s) {
        s.rest.drop();
      }
      request.release();
    }
  }

  /** What the head of a request takes in the heap, estimated. */
  private static long headBytes(FullHttpRequest request) {
    long bytes = REQUEST_BYTES + request.uri().length();
    for (Map.Entry<String, String> header : request.headers()) {
      bytes += HEADER_BYTES + header.getKey().length() + header.getValue().length();
    }
    return bytes;
  }
}
