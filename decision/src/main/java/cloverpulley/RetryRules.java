package cloverpulley;

import cloverpulley.Balancer.DedupScope;
import cloverpulley.Balancer.Effect;
import cloverpulley.Balancer.Limits;

/** Rule 2: which further attempts a request may have, and whether it may be rejected, which tells the client that a retry
 * is safe. */
final class RetryRules {

  /** An upstream is expected to read a body at least this fast: half of the rate that is asked of clients. */
  private static final long MIN_READ_BYTES_PER_SECOND = 32 * 1024;

  private RetryRules() {}

  /** How long an upstream may take to read a request's body: it runs the request only when the last byte has been read. */
  private static long readNanos(PendingRequest r) {
    return r.request.bodyBytes() * Logic.SECOND / MIN_READ_BYTES_PER_SECOND;
  }

  /** The time by which a retry of a keyed request has to be sent, so that it is read before the end of the deduplication
   * window, counted from the first attempt that may have run; 0 for no limit. A tick earlier, since the host may send a
   * moment later. Past it if the body may take longer than the window: an attempt that was given up may be read as late. */
  static long sendDeadline(PendingRequest r, long tickNanos) {
    for (Attempt a : r.attempts) {
      if (a.mayHaveRun && r.type.effect() == Effect.KEYED) {
        return Math.max(1, a.sentAt + r.type.dedupWindowNanos() - tickNanos - readNanos(r));
      }
    }
    return 0;
  }

  /** Whether a request may have no further attempt at any upstream. */
  static boolean forbidsAttempts(PendingRequest r, long now, long tickNanos) {
    long sendDeadline = sendDeadline(r, tickNanos);
    return sendDeadline != 0 && now >= sendDeadline || r.type.effect() == Effect.UNSAFE && r.mayHaveRun();
  }

  /** Whether a further attempt may go to an upstream. One that had an attempt is used again only if that has ended and there
   * are no more ready upstreams than attempts. */
  static boolean allowsAttempt(PendingRequest r, Upstream u, int readyCount, long now, long tickNanos) {
    for (Attempt a : r.attempts) {
      if (a.upstream == u && (a.inFlight || readyCount > r.attempts.size())) {
        return false;
      }
      if (a.mayHaveRun && r.type.effect() != Effect.SAFE) {
        boolean sameGroup = switch (r.type.dedupScope()) {
          case ALL -> true;
          case ZONE -> a.upstream.endpoint.zone().equals(u.endpoint.zone());
          case CELL -> a.upstream.endpoint.cell() == u.endpoint.cell();
        };
        if (!sameGroup) {
          return false;
        }
      }
    }
    return !forbidsAttempts(r, now, tickNanos);
  }

  /** Whether a request may have a further attempt beside those in flight. */
  static boolean allowsSecondCopy(PendingRequest r, Limits limits) {
    return limits.hedging() && limits.cancel() && r.type.effect() != Effect.UNSAFE && !r.notRetryable
        && r.attempts.size() < r.maxAttempts;
  }

  static boolean allowsRejection(PendingRequest r) {
    return r.type.effect() == Effect.SAFE || !r.mayHaveRun()
        || r.type.effect() == Effect.KEYED && r.type.dedupScope() == DedupScope.ALL;
  }
}
