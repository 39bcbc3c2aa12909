package cloverpulley.names;

import cloverpulley.Balancer.Effect;
import cloverpulley.Balancer.Status;

/**
 * Maps response codes of DNS servers to attempt outcomes. Only REFUSED proves that nothing ran, and only where the operators have
 * configured that their servers reject queries with it when they are at capacity.
 */
public final class RcodeMapping {

  private static final int NOERROR = 0;
  private static final int SERVFAIL = 2;
  private static final int NXDOMAIN = 3;
  private static final int REFUSED = 5;

  private RcodeMapping() {}

  /** The outcome of an answer with a response code (RFC 1035, 4.1.1; RFC 2136, 2.2) for a request of this effect. */
  public static Status toStatus(Effect effect, int rcode, boolean refusedIsFull) {
    if (rcode == REFUSED && refusedIsFull) {
      return Status.FULL;
    } else if (rcode == SERVFAIL) {
      return Status.ERROR;
    } else if (effect != Effect.SAFE) {
      return Status.SERVED; // A failed prerequisite or a zone it does not serve: the server's final answer.
    }
    return rcode == NOERROR || rcode == NXDOMAIN ? Status.SERVED : Status.ERROR;
  }
}
