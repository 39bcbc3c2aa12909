package cloverpulley.serve;

import cloverpulley.handover.RequestIdClaims;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpRequest;

/** A request that was received completely. Its deadline counts from its last byte, even while it waits behind pipelined requests. */
final class BufferedRequest extends AcceptedRequest {

  private final long receivedAt;

  /** {@code receivedAt} is when its last byte was accepted, on the clock of {@link System#nanoTime}. */
  BufferedRequest(HttpRequest head, ByteBuf body, RequestIdClaims.Claim idClaim, long receivedAt) {
    super(head, body, idClaim);
    this.receivedAt = receivedAt;
  }

  /** The part of a period that remains, in nanoseconds, if it started when the request was complete; at least 0. */
  static long remainingNanos(HttpRequest request, long nanos) {
    return request instanceof BufferedRequest buffered ? Math.max(0, nanos - (System.nanoTime() - buffered.receivedAt)) : nanos;
  }
}
