package cloverpulley.serve;

/**
 * Times the responses on one upstream connection from a request's last byte to the first byte of its response, for {@link RoundTrips}. Only requests
 * whose response can't be mistaken for surplus bytes of an earlier one count: the first on a connection, and those after a long rest. Confined to the
 * event loop.
 */
final class ResponseTimer {

  private final RoundTrips roundTrips;
  private long writtenAt;
  private boolean awaitingResponse;
  private boolean trusted;

  ResponseTimer(RoundTrips roundTrips) {
    this.roundTrips = roundTrips;
  }

  /** The last byte of a request has been written; {@code responseTrusted} tells that the next bytes to arrive are its response. */
  void requestWritten(long now, boolean responseTrusted) {
    writtenAt = now;
    trusted = responseTrusted;
    awaitingResponse = true;
  }

  /** Bytes of a response have arrived. Returns whether they are the first since the request, and came sooner than a round trip is known to take. */
  boolean responseReceived(long upstream, long now) {
    if (!awaitingResponse) {
      return false;
    }
    awaitingResponse = false;
    long elapsed = now - writtenAt;
    if (trusted) {
      roundTrips.record(upstream, now, elapsed);
      return false;
    }
    long bound = roundTrips.maxNanos(upstream, now);
    return bound != Long.MAX_VALUE && elapsed < bound;
  }
}
