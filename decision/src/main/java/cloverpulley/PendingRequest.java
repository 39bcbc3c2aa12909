package cloverpulley;

import java.util.ArrayList;
import java.util.List;

/** A request in progress: until it has its final answer and each of its attempts has ended. */
final class PendingRequest {
  final Balancer.Request request;
  final Balancer.RequestClass type;
  long receivedAt;
  long deadline;
  /** Its body is not buffered any more, so it can't be sent again. */
  boolean notRetryable;
  final boolean overQuota;
  /** Window of all requests with its class and tenant, within or over quota. */
  final Window flowWindow;
  final Window keyWindow;
  final double load;
  final int maxAttempts;
  final List<Attempt> attempts = new ArrayList<>(1);
  /** Number of attempts in flight. */
  int inFlight;
  /** It has its final answer. */
  boolean answered;
  boolean streaming;
  /** Its body is not complete yet. */
  boolean bodyPending;

  PendingRequest(Balancer.Request request, Balancer.RequestClass type, long receivedAt, boolean overQuota, Window flowWindow,
      Window keyWindow, double load, int maxAttempts) {
    this.request = request;
    this.type = type;
    this.receivedAt = receivedAt;
    this.deadline = request.deadlineNanos();
    this.overQuota = overQuota;
    this.flowWindow = flowWindow;
    this.keyWindow = keyWindow;
    this.load = load;
    this.maxAttempts = maxAttempts;
  }

  /** Whether all its attempts in flight have a response that has paused. */
  boolean isStalled() {
    return inFlight > 0 && attempts.stream().noneMatch(a -> a.inFlight && !a.stalled);
  }

  boolean mayHaveRun() {
    for (Attempt a : attempts) {
      if (a.mayHaveRun) {
        return true;
      }
    }
    return false;
  }
}
