package cloverpulley.load;

import cloverpulley.load.RequestGenerator.PlannedRequest;

/**
 * Speaks one protocol with what is measured. Everything is called, and answers, on the run's one loop. A driver owes each try
 * exactly one word, also after it has been closed.
 */
public interface Driver extends AutoCloseable {

  /** How a try ended. */
  enum Outcome {
    /** In whole, from an upstream. */
    SERVED,
    /** Turned away: trying again is harmless. */
    REFUSED,
    /** An answer that says that it failed. */
    FAILED,
    /** The connection was refused, or never came up. */
    NO_CONNECTION,
    /** The connection broke, or what came is no answer. */
    BROKEN,
    /** The client gave it up. */
    TIMEOUT,
    /** No connection was free, and no more may be opened. */
    NO_ROOM
  }

  /** Told how a try ended; {@code retryAfterMillis} 0 for no advice. */
  interface AttemptCallback {
    void ended(Outcome outcome, double retryAfterMillis);
  }

  /**
   * Sends a try.
   *
   * @param id unlike that of any other try
   * @param attempt from 0
   */
  void send(PlannedRequest request, String id, int attempt, AttemptCallback ended);

  /** Connections open now. */
  int connections();

  /** Answers to requests that had been answered already, where the protocol can show such. */
  default long doubles() {
    return 0;
  }

  @Override
  void close();
}
