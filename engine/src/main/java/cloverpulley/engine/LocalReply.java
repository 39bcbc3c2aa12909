package cloverpulley.engine;

import cloverpulley.Reason;

/**
 * A final answer other than an upstream's. A refusal says that trying again is harmless; a failure promises nothing.
 *
 * @param retryAfterNanos when to come back; 0 for no advice
 */
public record LocalReply(boolean rejected, Reason reason, long retryAfterNanos) {

  /** A failure. */
  public static LocalReply failed(Reason reason) {
    return new LocalReply(false, reason, 0);
  }
}
