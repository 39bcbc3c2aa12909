package cloverpulley.engine;

import cloverpulley.Reason;

/**
 * A final answer that the balancer gives itself. A rejection states that retrying the request is safe; a failure makes no such
 * promise.
 *
 * @param retryAfterNanos how long the client should wait before it retries; 0 for no advice
 */
public record LocalReply(boolean rejected, Reason reason, long retryAfterNanos) {

  /** A failure. */
  public static LocalReply failed(Reason reason) {
    return new LocalReply(false, reason, 0);
  }
}
