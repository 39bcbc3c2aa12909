package cloverpulley.serve;

import java.io.IOException;
import java.nio.channels.SocketChannel;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Takes connections out of a listener's accept queue, and tells for how long they may have waited in it: clients may have sent their requests
 * meanwhile. Confined to the event loop.
 */
final class AcceptQueue {

  /** Accepts a connection; null if there is none, or if the call was interrupted by a signal. */
  interface Acceptor {
    SocketChannel accept() throws IOException;
  }

  /** A queue that is not accepted from for longer has been empty, unless the loop has stalled. */
  private static final long MAX_GAP_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

  private final LongSupplier clock;
  private final LongSupplier stalledNanos;
  /** When the queue was first seen non-empty, and how long the loop had stalled before; valid while it is non-empty. */
  private long nonEmptySince;
  private long stalledBefore;
  private boolean nonEmpty;
  private long lastAcceptAt;

  /** {@code clock} is monotonic, in nanoseconds; {@code stalledNanos} tells for how long the loop may not have polled its sockets. */
  AcceptQueue(LongSupplier clock, LongSupplier stalledNanos) {
    this.clock = clock;
    this.stalledNanos = stalledNanos;
  }

  /** Accepts the next connection; null if the queue is empty. A failure leaves the queue as it is. */
  SocketChannel accept(Acceptor acceptor) throws IOException {
    markNonEmpty();
    SocketChannel accepted = acceptor.accept();
    if (accepted == null) {
      accepted = acceptor.accept(); // An interrupted call looks like an empty queue; the next one is hardly interrupted, too.
    }
    nonEmpty = accepted != null;
    return accepted;
  }

  private void markNonEmpty() {
    long now = clock.getAsLong();
    if (!nonEmpty || now - lastAcceptAt > MAX_GAP_NANOS) {
      nonEmpty = true;
      nonEmptySince = now;
      stalledBefore = stalledNanos.getAsLong();
    }
    lastAcceptAt = now;
  }

  /** The longest time in nanoseconds that a connection accepted now may have waited in the queue. */
  long maxQueuedNanos() {
    return nonEmpty ? clock.getAsLong() - nonEmptySince + stalledBefore : stalledNanos.getAsLong();
  }
}
