package cloverpulley.serve;

import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Tells when the last byte that a client has to send can have been accepted by this machine at the earliest: the time that it waits for its
 * answer counts from then. While this side reads and finds the socket empty, that is still to come. While it does not read, because an upstream is
 * slow or memory is short, the last byte may wait unread in the socket, or behind it in the client's own buffers, where it can't be seen.
 *
 * <p>One for each connection; times are those of a monotonic clock, in nanoseconds. Confined to the event loop.
 */
final class ClientTime {

  /**
   * A socket that is empty for a moment after a pause does not show that the client has no more to send: its window may have opened just then.
   * This side has caught up once less arrives in such a period than a client would send whose bytes wait for the window.
   */
  static final long CATCH_UP_NANOS = TimeUnit.MILLISECONDS.toNanos(50);
  private static final int CATCH_UP_BYTES = 48 * 1024;
  /** More than this arrives between two inspections if the window of the socket has opened rather than the client sent something. */
  private static final int MAX_SENT_BYTES = 8 * 1024;

  private final LongSupplier clock;
  /** The last byte was not accepted before. */
  private long earliest;
  /** Bytes may wait in the socket. */
  private boolean behind;
  /** Reading has paused, and this side has not caught up since. */
  private boolean lagging;
  /** The period of reading in which this side may catch up, and what has arrived in it. */
  private long periodBegan;
  private long periodBytes;
  /** When a read last emptied the socket; 0 if it has not, or bytes have come since. */
  private long emptiedAt;
  /** When reading paused, the last inspection since, and the unread bytes that it found; -1 before the first. */
  private long pausedAt;
  private long inspectedAt;
  private long unreadBytes;
  /** Since when the client has sent nothing more of an incomplete body, though it could. */
  private long idleSince;

  ClientTime(LongSupplier clock) {
    this.clock = clock;
    earliest = clock.getAsLong();
    idleSince = earliest;
  }

  /** Bytes have been read. */
  void read(int bytes) {
    long now = clock.getAsLong();
    if (emptiedAt != 0 && now - emptiedAt >= CATCH_UP_NANOS) {
      catchUp();
    }
    if (!behind) {
      earliest = now;
      behind = true;
    }
    idleSince = now;
    emptiedAt = 0;
    periodBytes += bytes;
  }

  private void catchUp() {
    lagging = false;
    behind = false;
  }

  /** A series of reads has ended; {@code emptied} tells whether the socket has no more bytes. */
  void readEnded(boolean emptied) {
    long now = clock.getAsLong();
    boolean periodOver = now - periodBegan >= CATCH_UP_NANOS;
    if (emptied && (!lagging || periodOver && periodBytes < CATCH_UP_BYTES)) {
      catchUp();
    }
    if (periodOver) {
      beginPeriod(now);
    }
    emptiedAt = !emptied ? 0 : emptiedAt == 0 ? now : emptiedAt;
  }

  private void beginPeriod(long now) {
    periodBegan = now;
    periodBytes = 0;
  }

  /** Reading goes on. */
  void resumed() {
    beginPeriod(clock.getAsLong());
  }

  /** Reading has stopped. */
  void paused() {
    pausedAt = clock.getAsLong();
    if (!behind) {
      earliest = pausedAt;
      behind = true;
    }
    lagging = true;
    emptiedAt = 0;
    inspectedAt = pausedAt;
    unreadBytes = -1;
    idleSince = pausedAt;
  }

  /**
   * Inspects the socket while it is not read: {@code unread} bytes wait in it, -1 if unknown. What has arrived soon after the pause may have waited
   * for the window; what arrives later has just been sent.
   */
  void inspected(long unread) {
    long now = clock.getAsLong();
    boolean settled = inspectedAt - pausedAt >= CATCH_UP_NANOS;
    boolean sent = unread > unreadBytes && unreadBytes >= 0 && unread - unreadBytes <= MAX_SENT_BYTES;
    if (settled && unread == 0) {
      earliest = now;
    } else if (settled && sent) {
      earliest = inspectedAt;
    }
    idleSince = settled && unread == 0 ? idleSince : now;
    unreadBytes = unread;
    inspectedAt = now;
  }

  /** The time before which the last byte of what has been read was not accepted. */
  long earliest() {
    return earliest;
  }

  /** How much of a wait is left if the client has sent its last byte; all of it if that is still to come. */
  long remaining(long waitNanos) {
    return behind ? waitNanos - (clock.getAsLong() - earliest) : waitNanos;
  }

  /** For how long the client has sent nothing more of an incomplete body, though it could. */
  long idleNanos() {
    return clock.getAsLong() - idleSince;
  }
}
