package cloverpulley.serve;

/**
 * Times the responses on one upstream connection from a request's first byte to the first byte of its response, for {@link RoundTrips}. Only a 200
 * counts, as other responses may be sent before the request arrives, and only one that can't be mistaken for surplus bytes of an earlier one: to the
 * first request on a connection, or to one after a long rest. Confined to the event loop.
 */
final class ResponseTimer {

  private static final long NONE = -1;

  private final RoundTrips roundTrips;
  private long writtenAt;
  private boolean awaitingResponse;
  private boolean trusted;
  /** How long the response took to begin; {@link #NONE} before that, and once it has been counted. */
  private long elapsedNanos = NONE;

  ResponseTimer(RoundTrips roundTrips) {
    this.roundTrips = roundTrips;
  }

  /** A request begins to be written; {@code responseTrusted} tells that the next bytes to arrive are its response. */
  void requestStarted(long now, boolean responseTrusted) {
    writtenAt = now;
    trusted = responseTrusted;
    awaitingResponse = true;
    elapsedNanos = NONE;
  }

  /** Bytes of a response have arrived. Returns whether they are the first since the request, and came sooner than a round trip is known to take. */
  boolean responseReceived(long upstream, long now) {
    if (!awaitingResponse) {
      return false;
    }
    awaitingResponse = false;
    elapsedNanos = now - writtenAt;
    long bound = roundTrips.maxNanos(upstream, now);
    return !trusted && bound != Long.MAX_VALUE && elapsedNanos < bound;
  }

  /** The response is a 200. */
  void responseSucceeded(long upstream, long now) {
    if (trusted && elapsedNanos != NONE) {
      roundTrips.record(upstream, now, elapsedNanos);
    }
    elapsedNanos = NONE;
  }
}
