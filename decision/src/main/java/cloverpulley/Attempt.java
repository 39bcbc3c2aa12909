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

  Attempt(Upstream upstream, long sentAt) {
    this.upstream = upstream;
    this.sentAt = sentAt;
  }
}
