package cloverpulley.serve;

import io.netty.channel.Channel;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * Watches the response on a connection for pauses: its head may have no end, its length may be wrong, or its upstream is slow. A pause of a buffered
 * response is reported once, and ends nothing; a streamed one is given up after a longer pause. While this side does not read, no pause counts.
 * Confined to the event loop.
 */
final class ResponseProgress {

  /** A buffered response that pauses for longer is reported as stalled. It may go on, until its client's time is up. */
  private static final long STALL_REPORT_NANOS = TimeUnit.MILLISECONDS.toNanos(300);
  /** A streamed response that pauses for longer ends: it can't be replaced by another, and its client has no other time limit. */
  private static final long STREAM_STALL_NANOS = TimeUnit.SECONDS.toNanos(10);

  /** Notified of pauses. */
  interface Listener {
    /** A buffered response has paused. Called once for each response. */
    void onStall();

    /** A streamed response has paused for too long. */
    void onStreamStall();
  }

  private final Channel channel;
  private final Listener listener;
  private boolean streamed;
  private long lastReadAt;
  private boolean stallReported;
  private Future<?> check;

  ResponseProgress(Channel channel, Listener listener) {
    this.channel = channel;
    this.listener = listener;
  }

  /** Bytes of the response have arrived. */
  void received() {
    lastReadAt = System.nanoTime();
    if (streamed || !stallReported) {
      scheduleCheck();
    }
  }

  /** The response is streamed from now on. */
  void streamed() {
    streamed = true;
    scheduleCheck();
  }

  /** The response has ended. */
  void reset() {
    streamed = false;
    stallReported = false;
    if (check != null) {
      check.cancel(false);
      check = null;
    }
  }

  private void scheduleCheck() {
    if (check == null) {
      check = channel.eventLoop().schedule(this::check, remainingPauseNanos(), TimeUnit.NANOSECONDS);
    }
  }

  /** How much longer the response may pause. */
  private long remainingPauseNanos() {
    return (streamed ? STREAM_STALL_NANOS : STALL_REPORT_NANOS) - (System.nanoTime() - lastReadAt);
  }

  private void check() {
    check = null;
    if (remainingPauseNanos() > 0) {
      scheduleCheck();
    } else if (!channel.config().isAutoRead()) {
      lastReadAt = System.nanoTime(); // This side stopped reading because of a slow client; the upstream is not at fault.
      scheduleCheck();
    } else if (!streamed) {
      stallReported = true;
      listener.onStall();
    } else {
      listener.onStreamStall();
    }
  }
}
