package cloverpulley;

/** What a balancer knows of an upstream. */
final class Upstream {
  final long id;
  final Window window;
  final Bucket cold = new Bucket();
  Balancer.Listed listed;
  long started;
  long firstServed;
  long heardAt;
  int inFlight;
  double load;
  int failures;
  int ejections;
  long ejectedUntil;
  long visit;
  private double slowness = 1;
  private long slownessAt;

  Upstream(long id, Window window) {
    this.id = id;
    this.window = window;
  }

  /** Latency against the fleet's: 1 for as fast or unknown, to which it returns over the time. */
  double slowness(long now, double keptNanos) {
    return 1 + (slowness - 1) * Math.exp((slownessAt - now) / keptNanos);
  }

  /** Takes a sample: a mean over the time, of which one sample moves a part at most. */
  void addSlowness(long now, double sample, double meanNanos, double mostStep, double keptNanos) {
    double step = Math.min(mostStep, (now - slownessAt) / meanNanos);
    slowness = slowness(now, keptNanos) * (1 - step) + sample * step;
    slownessAt = now;
  }
}
