package cloverpulley.agree;

import java.util.PriorityQueue;

/** A clock that moves from one thing to the next, and what is to happen. One thread. */
final class VirtualTime {

  private record Due(long atMicros, long order, Runnable what) implements Comparable<Due> {
    @Override
    public int compareTo(Due o) {
      return atMicros != o.atMicros ? Long.compare(atMicros, o.atMicros) : Long.compare(order, o.order);
    }
  }

  private final PriorityQueue<Due> due = new PriorityQueue<>();
  private long nowMicros;
  private long order;

  long millis() {
    return nowMicros / 1000;
  }

  long micros() {
    return nowMicros;
  }

  void after(long micros, Runnable what) {
    due.add(new Due(nowMicros + Math.max(0, micros), order++, what));
  }

  /** Lets so much time pass. */
  void run(long millis) {
    long until = nowMicros + millis * 1000;
    while (!due.isEmpty() && due.peek().atMicros() <= until) {
      Due next = due.poll();
      nowMicros = next.atMicros();
      next.what().run();
    }
    nowMicros = until;
  }
}
