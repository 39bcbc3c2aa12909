package cloverpulley.model;

import java.util.Arrays;

/**
 * What happens when: a heap of four children a node over arrays of times and orders, so that a comparison touches no object (LaMarca and
 * Ladner, "The influence of caches on the performance of heaps", 1996). Of two things at one instant the one that was put first comes
 * first: the one documented order of simultaneous events.
 */
final class EventQueue {

  private static final int CHILDREN = 4;

  private long[] times = new long[1024];
  private long[] orders = new long[1024];
  private Runnable[] tasks = new Runnable[1024];
  private int size;
  private long order;

  int size() {
    return size;
  }

  void put(long at, Runnable task) {
    if (size == times.length) {
      times = Arrays.copyOf(times, 2 * size);
      orders = Arrays.copyOf(orders, 2 * size);
      tasks = Arrays.copyOf(tasks, 2 * size);
    }
    long mine = order++;
    int i = size++;
    while (i > 0) {
      int parent = (i - 1) / CHILDREN;
      if (times[parent] <= at) { // An older one of the same instant stays before this.
        break;
      }
      move(parent, i);
      i = parent;
    }
    times[i] = at;
    orders[i] = mine;
    tasks[i] = task;
  }

  private void move(int from, int to) {
    times[to] = times[from];
    orders[to] = orders[from];
    tasks[to] = tasks[from];
  }

  /** When the next thing happens; only where there is one. */
  long nextAt() {
    return times[0];
  }

  /** Takes the next thing; only where there is one. */
  Runnable take() {
    Runnable first = tasks[0];
    int last = --size;
    long at = times[last];
    long mine = orders[last];
    Runnable task = tasks[last];
    tasks[last] = null;
    int i = 0;
    while (true) {
      int child = CHILDREN * i + 1;
      if (child >= size) {
        break;
      }
      int least = child;
      for (int c = child + 1; c < Math.min(child + CHILDREN, size); c++) {
        if (times[c] < times[least] || times[c] == times[least] && orders[c] < orders[least]) {
          least = c;
        }
      }
      if (times[least] > at || times[least] == at && orders[least] > mine) {
        break;
      }
      move(least, i);
      i = least;
    }
    if (size > 0) {
      times[i] = at;
      orders[i] = mine;
      tasks[i] = task;
    }
    return first;
  }
}
