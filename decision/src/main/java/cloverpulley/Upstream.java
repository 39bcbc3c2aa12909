package cloverpulley;

import cloverpulley.state.BalancerSnapshot.UpstreamSnapshot;

/** State and statistics of an upstream. */
final class Upstream {
  final long id;
  final Window window;
  final Bucket slowStart = new Bucket();
  Balancer.Endpoint endpoint;
  long startedAt;
  /** An operator set it offline at {@code offlineSince} and brought it back online; its start since then is estimated
   * until the list reports it. */
  boolean startEstimated;
  long offlineSince;
  long firstResponseAt;
  long lastActivityAt;
  int inFlight;
  double load;
  int failures;
  int ejections;
  long ejectedUntil;
  long visitMark;
  private double slowness = 1;
  private long slownessAt;

  Upstream(long id, Window window) {
    this.id = id;
    this.window = window;
  }

  /** It was started at {@code at}: begins slow start and resets failures, ejection and slowness of the previous process. */
  void onStart(long now, long at) {
    startedAt = at;
    startEstimated = false;
    failures = 0;
    ejections = 0;
    ejectedUntil = 0;
    slowness = 1;
    slowStart.tokens = 0;
    slowStart.filledAt = now;
  }

  /** An attempt begins to count as load. */
  void addLoad(long now, double attemptLoad) {
    lastActivityAt = inFlight == 0 ? now : lastActivityAt;
    inFlight++;
    load += attemptLoad;
  }

  /** An attempt ceases to count as load, which is a sign of activity. */
  void removeLoad(long now, double attemptLoad) {
    inFlight--;
    load -= inFlight == 0 ? load : attemptLoad;
    lastActivityAt = now;
  }

  /** The part of its capacity that it is known to have: rises linearly from the minimum to 1. */
  double slowStartRatio(long now, Balancer.Contract contract) {
    double ratio = Math.max(0, now - startedAt) / (double) Math.max(1, contract.slowStartNanos());
    return startedAt <= 0 || ratio >= 1 ? 1 : contract.slowStartMinRatio() * (1 - ratio) + ratio;
  }

  /** Returns its state for a successor. */
  UpstreamSnapshot snapshot(long now) {
    return new UpstreamSnapshot(id, startedAt <= 0 ? -1 : now - startedAt, startEstimated, startEstimated ? now - offlineSince : 0,
        slowStart.tokens, slowness, failures, ejections, Math.max(0, ejectedUntil - now),
        firstResponseAt == 0 ? -1 : now - firstResponseAt, window.totals(now));
  }

  /** Restores the state of a predecessor, unless the list reports a later start. */
  void restore(long now, UpstreamSnapshot s) {
    long start = s.ageNanos() < 0 ? 0 : now - s.ageNanos();
    if (start >= startedAt) {
      startedAt = start;
      startEstimated = s.startEstimated();
      offlineSince = now - s.offlineNanos();
      slowStart.tokens = Math.min(slowStart.tokens, s.slowStartTokens());
      slowStart.filledAt = now;
      slowness = s.slowness();
      slownessAt = now;
      failures = s.failures();
      ejections = s.ejections();
      ejectedUntil = s.ejectionNanosLeft() > 0 ? now + s.ejectionNanosLeft() : 0;
      firstResponseAt = s.servingNanos() < 0 ? 0 : now - s.servingNanos();
      window.restore(now, s.window());
    }
  }

  /** Latency relative to the fleet's: 1 if equal or unknown; decays towards 1. */
  double slowness(long now, double decayNanos) {
    return 1 + (slowness - 1) * Math.exp((slownessAt - now) / decayNanos);
  }

  /** Adds a sample to a mean over {@code meanNanos}; one sample moves it by at most {@code maxStep}. */
  void addSlowness(long now, double sample, double meanNanos, double maxStep, double decayNanos) {
    double step = Math.min(maxStep, (now - slownessAt) / meanNanos);
    slowness = slowness(now, decayNanos) * (1 - step) + sample * step;
    slownessAt = now;
  }
}
