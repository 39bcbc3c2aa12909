package cloverpulley.serve;

import cloverpulley.engine.Periodic;
import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;

/**
 * Measures for how long an event loop has not polled its sockets. Bytes read then may have waited in the socket buffer for all of that time. Bytes
 * that arrive during one iteration of the loop are read in the next, so the tick before the last is decisive. Runs on that loop.
 */
final class StallDetector {

  private static final long TICK_MILLIS = 20;

  private long lastTickNanos = System.nanoTime();
  private long previousTickNanos = lastTickNanos;

  /** Starts measuring, for as long as the loop runs. */
  void watch(EventLoop loop) {
    tick();
    tick();
    Periodic.every(loop, TICK_MILLIS, this::tick);
  }

  private void tick() {
    previousTickNanos = lastTickNanos;
    lastTickNanos = System.nanoTime();
  }

  /** How long bytes that are read now may have waited in the socket buffer, beyond the usual two ticks; 0 if not longer. */
  long stalledNanos() {
    return Math.max(0, System.nanoTime() - previousTickNanos - TimeUnit.MILLISECONDS.toNanos(2 * TICK_MILLIS));
  }
}
