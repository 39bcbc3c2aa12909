package cloverpulley;

/** One sending of a request. */
final class Attempt {
  final Upstream upstream;
  final long sentAt;
  boolean out = true;
  boolean mayHaveRun = true;
  boolean late;
  boolean unseen;
  /** Its answer is passed on while it comes. */
  boolean passing;

  Attempt(Upstream upstream, long sentAt) {
    this.upstream = upstream;
    this.sentAt = sentAt;
  }
}
