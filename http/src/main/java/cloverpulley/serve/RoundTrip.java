package cloverpulley.serve;

/**
 * An upper bound of the round trip of one upstream connection: the shortest time from a request's last byte to the first byte of its response. Only
 * requests whose response can't be mistaken for surplus bytes of an earlier one count: the first on the connection, and those after a long rest.
 * Times are in nanoseconds. Confined to the event loop.
 */
final class RoundTrip {

  private long shortestNanos = Long.MAX_VALUE;
  private long writtenAt;
  private boolean awaitingResponse;
  private boolean trusted;

  /** The last byte of a request has been written; {@code trusted} tells that the next bytes to arrive are its response. */
  void requestWritten(long now, boolean responseTrusted) {
    writtenAt = now;
    trusted = responseTrusted;
    awaitingResponse = true;
  }

  /** Bytes of a response have arrived. Returns whether they are the first since the request, and came sooner than any counted response. */
  boolean responseReceived(long now) {
    if (!awaitingResponse) {
      return false;
    }
    awaitingResponse = false;
    long elapsed = now - writtenAt;
    boolean early = elapsed < shortestNanos && shortestNanos != Long.MAX_VALUE;
    if (trusted) {
      shortestNanos = Math.min(shortestNanos, elapsed);
    }
    return early && !trusted;
  }

  /** The round trip takes no longer than this; {@link Long#MAX_VALUE} before the first response. */
  long maxNanos() {
    return shortestNanos;
  }
}
