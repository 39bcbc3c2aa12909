package cloverpulley.serve;

import cloverpulley.engine.Periodic;
import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;

/**
 * Tells for how long an event loop has not looked at its sockets: what is read then may have lain there for all of that time. All of it runs on that loop.
 */
final class StallDetector {

  private static final long TICK_MILLIS = 20;

  private long tickedAt = System.nanoTime();

  /** Ticks for as long as the loop runs. */
  void watch(EventLoop loop) {
    tickedAt = System.nanoTime();
    Periodic.every(loop, TICK_MILLIS, () -> tickedAt = System.nanoTime());
  }

  /** Nanoseconds that the loop has not ticked beyond those that it need not; 0 for none. */
  long stalledNanos() {
    return Math.max(0, System.nanoTime() - tickedAt - TimeUnit.MILLISECONDS.toNanos(TICK_MILLIS));
  }
}
