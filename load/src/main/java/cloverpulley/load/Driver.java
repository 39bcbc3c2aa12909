package cloverpulley.load;

import cloverpulley.load.RequestGenerator.PlannedRequest;

/**
 * A client for one protocol. All methods are called, and all callbacks invoked, on the run's single event loop. A driver must invoke
 * the callback of each attempt exactly once, even if it is closed in between.
 */
public interface Driver extends AutoCloseable {

  /** The outcome of an attempt. The names are written to reports, the ordinals to traces. */
  enum Outcome {
    /** A complete, successful response. */
    SERVED,
    /** Rejected without being executed; safe to retry. */
    REFUSED,
    /** An error response. */
    FAILED,
    /** The connection was refused or could not be established. */
    NO_CONNECTION,
    /** The connection was lost, or the response could not be parsed. */
    BROKEN,
    /** No response within the client's timeout. */
    TIMEOUT,
    /** No connection could take the request: the driver's limits were reached, or it has been closed. */
    NO_ROOM
  }

  /** Receives the outcome of an attempt; {@code retryAfterMillis} is 0 if the server gave no retry delay. */
  interface AttemptCallback {
    void onAttemptEnd(Outcome outcome, double retryAfterMillis);
  }

  /**
   * Sends an attempt.
   *
   * @param id unique among all attempts
   * @param attempt number of the attempt, from 0
   */
  void send(PlannedRequest request, String id, int attempt, AttemptCallback callback);

  /** Number of connections that are open. */
  int openConnections();

  /** Number of responses to requests that had already been answered, for protocols in which this can be detected. */
  default long duplicateResponses() {
    return 0;
  }

  @Override
  void close();
}
