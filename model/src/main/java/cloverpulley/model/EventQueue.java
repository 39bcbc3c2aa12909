package cloverpulley.model;

import java.util.Arrays;

/**
 * The event queue of the simulation: a 4-ary heap over arrays of times and sequence numbers, so that comparisons do not dereference objects
 * (LaMarca and Ladner, "The influence of caches on the performance of heaps", 1996). Events with the same time are processed in the
 * order in which they were added.
 */
final class EventQueue {

  private static final int ARITY = 4;

  private long[] times = new long[1024];
  private long[] sequences = new long[1024];
  private Runnable[] tasks = new Runnable[1024];
  private int size;
  private long nextSequence;

  int size() {
    return size;
  }

  void add(long at, Runnable task) {
    if (size == times.length) {
      times = Arrays.copyOf(times, 2 * size);
      sequences = Arrays.copyOf(sequences, 2 * size);
      tasks = Arrays.copyOf(tasks, 2 * size);
    }
    long sequence = nextSequence++;
    int i = size++;
    while (i > 0) {
      int parent = (i - 1) / ARITY;
      if (times[parent] <= at) { // An event with the same time that was added earlier stays ahead.
        break;
      }
      move(parent, i);
      i = parent;
    }
    times[i] = at;
    sequences[i] = sequence;
    tasks[i] = task;
  }

  private void move(int from, int to) {
    times[to] = times[from];
    sequences[to] = sequences[from];
    tasks[to] = tasks[from];
  }

  /** The time of the next event. The queue must not be empty. */
  long nextTime() {
    return times[0];
  }

  /** Removes and returns the next event. The queue must not be empty. */
  Runnable poll() {
    Runnable earliest = tasks[0];
    int last = --size;
    long at = times[last];
    long sequence = sequences[last];
    Runnable task = tasks[last];
    tasks[last] = null;
    int i = 0;
    while (true) {
      int child = ARITY * i + 1;
      if (child >= size) {
        break;
      }
      int smallest = child;
      for (int c = child + 1; c < Math.min(child + ARITY, size); c++) {
        if (times[c] < times[smallest] || times[c] == times[smallest] && sequences[c] < sequences[smallest]) {
          smallest = c;
        }
      }
      if (times[smallest] > at || times[smallest] == at && sequences[smallest] > sequence) {
        break;
      }
      move(smallest, i);
      i = smallest;
    }
    if (size > 0) {
      times[i] = at;
      sequences[i] = sequence;
      tasks[i] = task;
    }
    return earliest;
  }
}
