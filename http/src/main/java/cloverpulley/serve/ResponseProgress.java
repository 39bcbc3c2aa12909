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
  /** The longest pause of a response of unknown length whose client's time is up before {@link Frontend#MAX_BUFFERED_RESPONSE} of it have arrived. */
  private static final long LATE_STREAM_STALL_NANOS = TimeUnit.MILLISECONDS.toNanos(900);
  /** How long such a response may at least go on: an answer counts as in time until half a second after the deadline. */
  private static final long LATE_STREAM_GRACE_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

  /** Notified of pauses. */
  interface Listener {
    /** A buffered response has paused. Called once for each response. */
    void onStall();

    /** A streamed response has paused for too long. */
    void onStreamStall();
  }

  /** How the response is passed on: when it is complete, while it arrives, or while it arrives though its client's time is up. */
  private enum Mode { BUFFERED, STREAMED, STREAMED_LATE }

  private final Channel channel;
  private final Listener listener;
  private Mode mode = Mode.BUFFERED;
  private long lastReadAt;
  private long streamedLateAt;
  private boolean stallReported;
  private Future<?> check;

  ResponseProgress(Channel channel, Listener listener) {
    this.channel = channel;
    this.listener = listener;
  }

  /** Bytes of the response have arrived. */
  void received() {
    lastReadAt = System.nanoTime();
    if (mode != Mode.BUFFERED || !stallReported) {
      scheduleCheck();
    }
  }

  /** The response is streamed from now on. */
  void streamed() {
    mode = Mode.STREAMED;
  }

  /** The response is streamed though its client's time is up. Unless it is known to be long, it may be a short one that will never be complete. */
  void streamedLate(boolean knownToBeLong) {
    mode = knownToBeLong ? Mode.STREAMED : Mode.STREAMED_LATE;
    streamedLateAt = System.nanoTime();
    scheduleCheck();
  }

  /** More of the response has arrived than is buffered. */
  void knownToBeLong() {
    if (mode == Mode.STREAMED_LATE) {
      mode = Mode.STREAMED;
    }
  }

  /** Whether the last pause is short enough for the response to be streamed at its client's deadline. */
  boolean mayBeStreamedLate() {
    return System.nanoTime() - lastReadAt <= LATE_STREAM_STALL_NANOS;
  }

  /** The response has ended. */
  void reset() {
    mode = Mode.BUFFERED;
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
    long now = System.nanoTime();
    long silent = now - lastReadAt;
    return switch (mode) {
      case BUFFERED -> STALL_REPORT_NANOS - silent;
      case STREAMED -> STREAM_STALL_NANOS - silent;
      case STREAMED_LATE -> Math.max(LATE_STREAM_GRACE_NANOS - (now - streamedLateAt), LATE_STREAM_STALL_NANOS - silent);
    };
  }

  private void check() {
    check = null;
    if (remainingPauseNanos() > 0) {
      scheduleCheck();
    } else if (!channel.config().isAutoRead()) {
      lastReadAt = System.nanoTime(); // This side stopped reading because of a slow client; the upstream is not at fault.
      scheduleCheck();
    } else if (mode == Mode.BUFFERED) {
      stallReported = true;
      listener.onStall();
    } else {
      listener.onStreamStall();
    }
  }
}
