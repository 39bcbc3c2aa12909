package cloverpulley.names;

/**
 * How a front that stops goes without leaving anybody unanswered: in its first half it serves what still comes, and each connection, and
 * then the socket for datagrams, goes at a moment at which nothing waits; in its second half what is new is refused at once, so that
 * such a moment comes under any load. Guards against messages that come between the decision to stop and the end: what was not read
 * was lost with its connection, and datagrams were dropped for as long as anything else was in hand.
 *
 * <p>Pure: clock readings in, in nanoseconds. Until {@link #begin} nothing is over and nothing is refused.
 */
public final class Leaving {

  /** So long a connection has to be silent before it is closed from our side: longer than a client needs from an answer to its next word. */
  private static final long QUIET_NANOS = 100_000_000L;
  /** And no more than this part of all the time there is. */
  private static final int QUIET_PART = 10;

  private long since;
  private long lasts;
  private boolean begun;

  /** Starts to leave; {@code lastsNanos} is all the time there is for it. A second call changes nothing. */
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

  /** Whether what comes now is refused, as somebody else's work. */
  public boolean refuses(long now) {
    return begun && now - since >= lasts / 2;
  }

  /** In so long all is over, and who is refused may come back; 0 where it has not begun. */
  public long left(long now) {
    return begun ? Math.max(0, lasts - (now - since)) : 0;
  }

  /**
   * Whether a connection without an open question may be closed.
   *
   * @param usedAt when it last brought or took a message
   * @param partRead whether a part of a message has come
   */
  public boolean mayClose(long now, long usedAt, boolean partRead) {
    if (!begun || partRead && left(now) > 0) {
      return false;
    }
    return refuses(now) || now - usedAt >= Math.min(QUIET_NANOS, lasts / QUIET_PART);
  }
}
