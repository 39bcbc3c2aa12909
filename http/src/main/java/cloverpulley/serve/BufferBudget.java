package cloverpulley.serve;

import java.util.ArrayDeque;

/**
 * Limits the memory that one kind of work may hold over all connections. Reservations that exceed the budget are queued and granted
 * in FIFO order; their connections are not read meanwhile. Not thread-safe.
 */
final class BufferBudget {

  /** A share of the budget, granted at once or later. A granted share is released exactly once. */
  final class Reservation {
    private final int bytes;
    private final Runnable onGranted;
    private boolean granted;

    private Reservation(int bytes, Runnable onGranted) {
      this.bytes = bytes;
      this.onGranted = onGranted;
    }

    boolean isGranted() {
      return granted;
    }

    /** Releases the share, or leaves the queue; further calls are no-ops. */
    void release() {
      if (granted) {
        granted = false;
        usedBytes -= bytes;
        grantQueued();
      } else if (queue.remove(this)) {
        grantQueued(); // It may have blocked the reservations behind it.
      }
    }
  }

  private final long maxBytes;
  private long usedBytes;
  private final ArrayDeque<Reservation> queue = new ArrayDeque<>();

  /** Creates a budget of {@code maxBytes}. A reservation is always granted while nothing else is in use, however small the budget. */
  BufferBudget(long maxBytes) {
    this.maxBytes = maxBytes;
  }

  /** Requests a reservation; {@code onGranted} runs when it is granted later, not when it is granted at once. */
  Reservation reserve(int bytes, Runnable onGranted) {
    Reservation reservation = new Reservation(bytes, onGranted);
    if (queue.isEmpty() && canGrant(bytes)) {
      reservation.granted = true;
      usedBytes += bytes;
    } else {
      queue.add(reservation);
    }
    return reservation;
  }

  /** Takes bytes without waiting, even beyond the budget; a negative number gives them back. */
  void acquire(long bytes) {
    usedBytes += bytes;
  }

  /** Whether the budget is used up. */
  boolean isExhausted() {
    return usedBytes >= maxBytes;
  }

  /** Whether so many more bytes fit in the budget. */
  boolean fits(long bytes) {
    return usedBytes + bytes <= maxBytes;
  }

  /** Releases bytes taken with {@link #acquire}. */
  void release(long bytes) {
    usedBytes -= bytes;
    grantQueued();
  }

  private boolean canGrant(int bytes) {
    return usedBytes == 0 || fits(bytes);
  }

  private void grantQueued() {
    for (Reservation next = queue.peek(); next != null && canGrant(next.bytes); next = queue.peek()) {
      queue.poll();
      next.granted = true;
      usedBytes += next.bytes;
      next.onGranted.run();
    }
  }
}
