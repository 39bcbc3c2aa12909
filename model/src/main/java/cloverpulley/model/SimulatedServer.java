package cloverpulley.model;

import cloverpulley.Balancer.State;
import cloverpulley.Balancer.Status;
import java.util.ArrayDeque;
import java.util.function.Consumer;

/** A server: some workers, a queue of bounded length, slower while it is cold, and dead or draining when the play says so. */
final class SimulatedServer {

  /** One piece of work, and who is told of its end. */
  private record Work(long nanos, Consumer<Status> ended) {}

  final long id;
  final int cell;
  private final Simulation world;
  private final int workers;
  private final int queueMost;
  private final ArrayDeque<Work> queue = new ArrayDeque<>();
  private final double coldFrom;
  private final long warmNanos;
  final long startedAt;
  State state = State.READY;
  boolean dead;
  double slowness = 1;
  private int busy;
  /** Incremented when it dies: what was in work then never ends. */
  private int life;
  long served;
  long lastTakenAt = -1;
  long drainedAt = -1;

  SimulatedServer(Simulation world, long id, int cell, int workers, int queueMost, long startedAt, double coldFrom, long warmNanos) {
    this.world = world;
    this.id = id;
    this.cell = cell;
    this.workers = workers;
    this.queueMost = queueMost;
    this.startedAt = startedAt;
    this.coldFrom = coldFrom;
    this.warmNanos = warmNanos;
  }

  /** What it does in a unit of time against a warm one. */
  private double speed() {
    long age = world.now() - startedAt;
    double warm = startedAt <= 0 || age >= warmNanos ? 1 : coldFrom + (1 - coldFrom) * age / warmNanos;
    return warm / slowness;
  }

  /** A request has come; told once how it ends, and never where the server dies with it. */
  void take(long workNanos, Consumer<Status> ended) {
    lastTakenAt = world.now();
    if (dead) {
      ended.accept(Status.CONNECT_FAILED);
    } else if (busy < workers) {
      start(new Work(workNanos, ended));
    } else if (queue.size() < queueMost) {
      queue.add(new Work(workNanos, ended));
    } else {
      ended.accept(Status.FULL);
    }
  }

  private void start(Work w) {
    busy++;
    int mine = life;
    world.after((long) (w.nanos / speed()), () -> {
      if (mine != life) {
        return;
      }
      busy--;
      served++;
      w.ended.accept(Status.SERVED);
      Work next = queue.poll();
      if (next != null) {
        start(next);
      }
    });
  }

  /** It dies: what it had in work and in its queue breaks off. */
  void die() {
    dead = true;
    life++;
    busy = 0;
    queue.clear();
  }

  int inSystem() {
    return busy + queue.size();
  }
}
