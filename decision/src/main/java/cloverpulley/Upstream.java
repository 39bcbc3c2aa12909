package cloverpulley;

import cloverpulley.state.BalancerSnapshot.UpstreamSnapshot;

/** What a balancer knows of an upstream. */
final class Upstream {
  final long id;
  final Window window;
  final Bucket cold = new Bucket();
  Balancer.Endpoint listed;
  long started;
  /** An operator took it out from here on and has called it back; its start since then is a guess until the
   * list tells it. */
  boolean startEstimated;
  long outSince;
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

  /** It was started at {@code at}: cold from then on, and nothing that it did before counts against it. */
  void startsAnew(long now, long at) {
    started = at;
    startEstimated = false;
    failures = 0;
    ejections = 0;
    ejectedUntil = 0;
    slowness = 1;
    cold.tokens = 0;
    cold.filledAt = now;
  }

  /** What a successor needs of it. */
  UpstreamSnapshot known(long now) {
    return new UpstreamSnapshot(id, started <= 0 ? -1 : now - started, startEstimated, startEstimated ? now - outSince : 0,
        cold.tokens, slowness, failures, ejections, Math.max(0, ejectedUntil - now),
        firstServed == 0 ? -1 : now - firstServed, window.totals(now));
  }

  /** Takes over what a predecessor knew; a later start that the list tells of stays. */
  void inherit(long now, UpstreamSnapshot k) {
    long start = k.ageNanos() < 0 ? 0 : now - k.ageNanos();
    if (start >= started) {
      started = start;
      startEstimated = k.startEstimated();
      outSince = now - k.offlineNanos();
      cold.tokens = Math.min(cold.tokens, k.slowStartTokens());
      cold.filledAt = now;
      slowness = k.slowness();
      slownessAt = now;
      failures = k.failures();
      ejections = k.ejections();
      ejectedUntil = k.ejectionNanosLeft() > 0 ? now + k.ejectionNanosLeft() : 0;
      firstServed = k.servingNanos() < 0 ? 0 : now - k.servingNanos();
      window.inherit(now, k.window());
    }
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
