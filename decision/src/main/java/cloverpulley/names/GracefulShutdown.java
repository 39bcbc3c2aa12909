package cloverpulley.names;

/**
 * The graceful shutdown of a DNS frontend without unanswered queries. In the first half of the time it still serves new queries, and
 * closes each connection, and then the UDP socket, at a moment when nothing is pending on it. In the second half it rejects new queries
 * at once, so that such a moment comes under any load. Guards against messages that arrive between the decision to stop and the end:
 * unread ones were lost with their connection, and datagrams were dropped for as long as anything else was in progress.
 *
 * <p>Pure: clock readings in, in nanoseconds. Until {@link #begin} nothing is closed or rejected.
 */
public final class GracefulShutdown {

  /** How long a connection has to be idle before it is closed: longer than a client takes from an answer to its next query. */
  private static final long QUIET_NANOS = 100_000_000L;
  /** The idle time is at most the shutdown time divided by this. */
  private static final int QUIET_PART = 10;

  private long since;
  private long lasts;
  private boolean begun;

  /** Begins the shutdown, which takes at most {@code lastsNanos}. Further calls have no effect. */
  public void begin(long now, long lastsNanos) {
    if (!begun) {
      begun = true;
      since = now;
      lasts = lastsNanos;
    }
  }

  public boolean hasBegun() {
    return begun;
  }

  /** Whether new queries are rejected, for the client to send again to another process. */
  public boolean rejectsNew(long now) {
    return begun && now - since >= lasts / 2;
  }

  /** The time until the shutdown ends, after which a rejected client may retry; 0 if it has not begun. */
  public long remaining(long now) {
    return begun ? Math.max(0, lasts - (now - since)) : 0;
  }

  /**
   * Whether a connection without a pending query may be closed.
   *
   * @param usedAt when a message was last read from it or written to it
   * @param partRead whether a message has been read in part
   */
  public boolean mayClose(long now, long usedAt, boolean partRead) {
    if (!begun || partRead && remaining(now) > 0) {
      return false;
    }
    return rejectsNew(now) || now - usedAt >= Math.min(QUIET_NANOS, lasts / QUIET_PART);
  }
}
