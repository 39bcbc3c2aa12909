package cloverpulley.standins.soak;

import io.netty.channel.EventLoopGroup;
import io.netty.util.concurrent.EventExecutor;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

/**
 * Records when the test's own process did not run: its clients and servers then note times that are too late. Measured on a thread of its own,
 * for pauses of the whole process, and on each event loop of the servers.
 */
final class StallMonitor implements AutoCloseable {

  private static final long INTERVAL_MILLIS = 5;
  private static final long MIN_STALL_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

  /** A period in which something that should have run did not. */
  record Stall(String where, long fromNanos, long toNanos) {

    private long overlapNanos(long from, long to) {
      return Math.max(0, Math.min(to, toNanos) - Math.max(from, fromNanos));
    }
  }

  private final List<Stall> stalls = new CopyOnWriteArrayList<>();
  private volatile boolean closed;

  StallMonitor(EventLoopGroup group) {
    Thread thread = new Thread(this::measureThread, "stall monitor");
    thread.setDaemon(true);
    thread.start();
    int number = 0;
    for (EventExecutor loop : group) {
      String name = "loop " + number++;
      loop.execute(() -> measureLoop(loop, name, System.nanoTime()));
    }
  }

  private void measureThread() {
    while (!closed) {
      long before = System.nanoTime();
      try {
        TimeUnit.MILLISECONDS.sleep(INTERVAL_MILLIS);
      } catch (InterruptedException e) {
        return;
      }
      record("process", before);
    }
  }

  private void measureLoop(EventExecutor loop, String name, long beforeNanos) {
    record(name, beforeNanos);
    if (!closed) {
      long now = System.nanoTime();
      loop.schedule(() -> measureLoop(loop, name, now), INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  private void record(String where, long beforeNanos) {
    long now = System.nanoTime();
    if (now - beforeNanos > MIN_STALL_NANOS) {
      stalls.add(new Stall(where, beforeNanos, now));
    }
  }

  /** Describes the stalls within a period. */
  String describe(long fromNanos, long toNanos) {
    StringBuilder text = new StringBuilder();
    for (Stall stall : stalls) {
      long overlap = stall.overlapNanos(fromNanos, toNanos);
      if (overlap > 0) {
        text.append(", the test's ").append(stall.where()).append(" stalled ").append(overlap / 1_000_000).append(" ms of it");
      }
    }
    return text.isEmpty() ? ", no stall of the test in it" : text.toString();
  }

  @Override
  public void close() {
    closed = true;
  }
}
