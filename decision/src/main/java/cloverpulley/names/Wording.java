package cloverpulley.names;

import cloverpulley.Balancer.Effect;
import cloverpulley.Balancer.Status;

/**
 * How a DNS server's answer is worded for the module. Of all codes only REFUSED, and only where the operators say that their
 * servers turn away what they have no room for, proves that nothing ran.
 */
public final class Wording {

  private static final int NOERROR = 0;
  private static final int SERVFAIL = 2;
  private static final int NXDOMAIN = 3;
  private static final int REFUSED = 5;

  private Wording() {}

  /** What an answer with a response code (RFC 1035, 4.1.1; RFC 2136, 2.2) means for a request of this effect. */
  public static Status of(Effect effect, int rcode, boolean refusedIsFull) {
    if (rcode == REFUSED && refusedIsFull) {
      return Status.FULL;
    } else if (rcode == SERVFAIL) {
      return Status.ERROR;
    } else if (effect != Effect.SAFE) {
      return Status.SERVED; // A prerequisite that failed, a zone not held: the server's own final word.
    }
    return rcode == NOERROR || rcode == NXDOMAIN ? Status.SERVED : Status.ERROR;
  }
}
