package cloverpulley.agree;

import java.util.PriorityQueue;

/** A virtual clock and its scheduled tasks; time advances from one task to the next. Not thread-safe. */
final class VirtualTime {

  private record ScheduledTask(long atMicros, long order, Runnable action) implements Comparable<ScheduledTask> {
    @Override
    public int compareTo(ScheduledTask o) {
      return atMicros != o.atMicros ? Long.compare(atMicros, o.atMicros) : Long.compare(order, o.order);
    }
  }

  private final PriorityQueue<ScheduledTask> tasks = new PriorityQueue<>();
  private long nowMicros;
  private long order;

  long millis() {
    return nowMicros / 1000;
  }

  long micros() {
    return nowMicros;
  }

  void schedule(long micros, Runnable action) {
    tasks.add(new ScheduledTask(nowMicros + Math.max(0, micros), order++, action));
  }

  /** Advances the clock and runs the tasks that become due. */
  void run(long millis) {
    long until = nowMicros + millis * 1000;
    while (!tasks.isEmpty() && tasks.peek().atMicros() <= until) {
      ScheduledTask next = tasks.poll();
      nowMicros = next.atMicros();
      next.action().run();
    }
    nowMicros = until;
  }
}
