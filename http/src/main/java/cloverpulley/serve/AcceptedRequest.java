package cloverpulley.serve;

import cloverpulley.handover.RequestIdClaims;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpRequest;

/** A request with a valid head, and what it holds until it is finished: memory for its headers, and its id. */
abstract class AcceptedRequest extends DefaultFullHttpRequest {

  private RequestIdClaims.Claim idClaim;

  /** {@code idClaim} is null if the request has no valid id, or if another request in progress has the same. */
  AcceptedRequest(HttpRequest head, ByteBuf body, RequestIdClaims.Claim idClaim) {
    super(head.protocolVersion(), head.method(), head.uri(), body, head.headers(), EmptyHttpHeaders.INSTANCE);
    this.idClaim = idClaim;
  }

  /** Passes the claim of the id on to the caller, who releases it; null for none. */
  RequestIdClaims.Claim takeIdClaim() {
    RequestIdClaims.Claim taken = idClaim;
    idClaim = null;
    return taken;
  }

  /** Gives back what the request still holds, as it is finished or will not be answered; further calls have no effect. */
  void discard() {
    HeaderMemory.release(headers());
    RequestIdClaims.Claim claim = takeIdClaim();
    if (claim != null) {
      claim.release();
    }
  }
}
