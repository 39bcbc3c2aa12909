package cloverpulley.model;

import cloverpulley.Balancer.State;
import cloverpulley.Balancer.Status;
import java.util.ArrayDeque;
import java.util.function.Consumer;

/** A server with a fixed number of workers and a bounded queue. It is slower during slow start, and it can crash or drain as a fault. */
final class SimulatedServer {

  /** A unit of work and the callback for its end. */
  private record Work(long nanos, Consumer<Status> onEnd) {}

  final long id;
  final int cell;
  private final Simulation simulation;
  private final int workers;
  private final int maxQueue;
  private final ArrayDeque<Work> queue = new ArrayDeque<>();
  private final double slowStartMinRatio;
  private final long slowStartNanos;
  final long startedAt;
  State state = State.READY;
  boolean crashed;
  double slowdown = 1;
  private int busyWorkers;
  /** Incremented by a crash, so that work that was in progress never completes. */
  private int incarnation;
  long served;
  long lastAcceptedAt = -1;
  long drainedAt = -1;

  SimulatedServer(Simulation simulation, long id, int cell, int workers, int maxQueue, long startedAt, double slowStartMinRatio,
      long slowStartNanos) {
    this.simulation = simulation;
    this.id = id;
    this.cell = cell;
    this.workers = workers;
    this.maxQueue = maxQueue;
    this.startedAt = startedAt;
    this.slowStartMinRatio = slowStartMinRatio;
    this.slowStartNanos = slowStartNanos;
  }

  /** The current speed relative to a server that has warmed up. */
  private double speed() {
    long age = simulation.now() - startedAt;
    double warmUpRatio = startedAt <= 0 || age >= slowStartNanos ? 1 : slowStartMinRatio + (1 - slowStartMinRatio) * age / slowStartNanos;
    return warmUpRatio / slowdown;
  }

  /** Accepts a request. The callback receives its status once, or never if the server crashes before the request ends. */
  void submit(long workNanos, Consumer<Status> onEnd) {
    lastAcceptedAt = simulation.now();
    if (crashed) {
      onEnd.accept(Status.CONNECT_FAILED);
    } else if (busyWorkers < workers) {
      start(new Work(workNanos, onEnd));
    } else if (queue.size() < maxQueue) {
      queue.add(new Work(workNanos, onEnd));
    } else {
      onEnd.accept(Status.FULL);
    }
  }

  private void start(Work w) {
    busyWorkers++;
    int startedIn = incarnation;
    simulation.scheduleAfter((long) (w.nanos / speed()), () -> {
      if (startedIn != incarnation) {
        return;
      }
      busyWorkers--;
      served++;
      w.onEnd.accept(Status.SERVED);
      Work next = queue.poll();
      if (next != null) {
        start(next);
      }
    });
  }

  /** Crashes the server; requests in progress and in the queue are lost. */
  void crash() {
    crashed = true;
    incarnation++;
    busyWorkers = 0;
    queue.clear();
  }

  int inSystem() {
    return busyWorkers + queue.size();
  }
}
