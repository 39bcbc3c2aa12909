package cloverpulley;

/** One attempt of a request at an upstream. */
final class Attempt {
  final Upstream upstream;
  final long sentAt;
  boolean inFlight = true;
  boolean mayHaveRun = true;
  /** In flight for longer than the aim of its class. */
  boolean overdue;
  /** The upstream rejected it unprocessed. */
  boolean rejected;
  /** Its response has started and is being streamed to the client. */
  boolean streaming;
  /** It counts as load: its upstream works on it, as far as is known, rather than transferring its body or its response. */
  boolean loaded;
  /** How long after it was sent the body of its response began to arrive; -1 before. */
  long beganAfterNanos = -1;
  /** Its response has begun, if only the head, and then paused. */
  boolean stalled;

  Attempt(Upstream upstream, long sentAt) {
    this.upstream = upstream;
    this.sentAt = sentAt;
  }

  /** Whether nothing of its response has arrived yet, apart from the head. */
  boolean awaitsResponse() {
    return inFlight && !streaming && !hasBegun();
  }

  /** Whether the body of its response has begun to arrive. */
  boolean hasBegun() {
    return beganAfterNanos >= 0;
  }
}
