package cloverpulley;

import java.util.ArrayList;
import java.util.List;

/** A request in hand: until it has its final answer and each of its attempts has ended. */
final class Open {
  final Balancer.Request request;
  final Balancer.RequestClass type;
  long arrived;
  long deadline;
  /** It can't be sent again. */
  boolean once;
  final boolean excess;
  final Window endpoint;
  final Window key;
  final double load;
  final int maxAttempts;
  final List<Attempt> attempts = new ArrayList<>(1);
  int out;
  boolean ended;
  boolean streaming;

  Open(Balancer.Request request, Balancer.RequestClass type, long arrived, boolean excess, Window endpoint,
      Window key, double load, int maxAttempts) {
    this.request = request;
    this.type = type;
    this.arrived = arrived;
    this.deadline = request.deadlineNanos();
    this.excess = excess;
    this.endpoint = endpoint;
    this.key = key;
    this.load = load;
    this.maxAttempts = maxAttempts;
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
