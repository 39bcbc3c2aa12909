package cloverpulley.serve;

import io.netty.channel.Channel;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * Ends a request whose body is not read to its end in its client's time, as its upstream is slow: the client may have sent all of it. Confined to the
 * event loop of the client's connection.
 */
final class UploadTimer {

  /** The interval of checks for whether the client's time is running, and up. */
  private static final long CHECK_MILLIS = 25;

  private final Channel channel;
  private final ClientTime clientTime;
  private final long waitNanos;
  private final BooleanSupplier isPending;
  private final Runnable onTimeUp;

  /**
   * Creates a timer that has not started.
   *
   * @param waitNanos how long after its last byte the client may be answered
   * @param isPending whether the request has no answer and its body is not complete; once not, the timer ends
   */
  UploadTimer(Channel channel, ClientTime clientTime, long waitNanos, BooleanSupplier isPending, Runnable onTimeUp) {
    this.channel = channel;
    this.clientTime = clientTime;
    this.waitNanos = waitNanos;
    this.isPending = isPending;
    this.onTimeUp = onTimeUp;
  }

  void start() {
    channel.eventLoop().schedule(this::check, CHECK_MILLIS, TimeUnit.MILLISECONDS);
  }

  private void check() {
    if (!isPending.getAsBoolean() || !channel.isActive()) {
      return;
    }
    if (channel instanceof ClientSocket socket) {
      inspect(socket.unreadBytes());
    }
    if (clientTime.remaining(waitNanos) <= 0) {
      onTimeUp.run();
    } else {
      start();
    }
  }

  private void inspect(int unread) {
    if (!channel.config().isAutoRead()) {
      clientTime.inspected(unread);
    } else if (unread == 0) {
      clientTime.readEnded(true);
    }
  }
}
