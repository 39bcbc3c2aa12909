package cloverpulley.serve;

import cloverpulley.handover.RequestIdClaims;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpRequest;

/** A request whose body is too long to buffer: its content is the beginning, {@link #bodyStream} streams the remainder. */
final class StreamedRequest extends AcceptedRequest {

  final BodyStream bodyStream;

  StreamedRequest(HttpRequest head, ByteBuf beginning, RequestIdClaims.Claim idClaim, BodyStream bodyStream) {
    super(head, beginning, idClaim);
    this.bodyStream = bodyStream;
  }

  /** Gives back the buffer capacity of the body as well, whether or not the body was received, consumed or forwarded. */
  @Override
  void discard() {
    super.discard();
    bodyStream.discard();
  }
}
