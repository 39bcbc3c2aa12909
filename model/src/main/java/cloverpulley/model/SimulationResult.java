package cloverpulley.model;

import cloverpulley.Balancer.RequestClass;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/** The results of a simulation. Latencies are in microseconds and cover served requests only. */
public final class SimulationResult {

  public long requests;
  public long sent;
  public long rejected;
  public long events;
  public long served;
  public long withinAim;
  public long serversUsed;
  /** Violations of the invariants, judged by the true state of the simulation. */
  public long unanswered;
  public long duplicateAnswers;
  public long unsafeReexecutions;
  public long sentAfterDrain;
  public double worthRequested;
  public double worthDelivered;
  public final Map<String, Long> outcomes = new TreeMap<>();
  public final Histogram latency = new Histogram(600_000_000L, 3);
  private long hash = 0xcbf29ce484222325L;

  void recordAnswer(RequestClass requestClass, String outcome, boolean wasServed, long latencyNanos) {
    outcomes.merge(outcome, 1L, Long::sum);
    worthRequested += requestClass.worth();
    if (wasServed) {
      served++;
      latency.recordValue(Math.min(latency.getHighestTrackableValue(), latencyNanos / 1000));
      boolean inTime = latencyNanos <= requestClass.aimNanos();
      withinAim += inTime ? 1 : 0;
      worthDelivered += requestClass.worth() * (inTime ? 1 : requestClass.lateWorth());
    }
  }

  /** Adds an event to the hash of the run: FNV-1a over 64-bit values instead of bytes. */
  void updateHash(long a, long b) {
    hash = (hash ^ a) * 0x100000001b3L;
    hash = (hash ^ b) * 0x100000001b3L;
  }

  /** A hash of the run: equal for equal plan, policy and seed on every machine. */
  public long hash() {
    return hash;
  }

  /** G: worth delivered as a fraction of the worth requested; a late answer counts with the late worth of its class. */
  public double g() {
    return worthRequested == 0 ? 0 : worthDelivered / worthRequested;
  }

  public boolean invariantsHold() {
    return unanswered + duplicateAnswers + unsafeReexecutions + sentAfterDrain == 0;
  }

  /** Whether the number of answers and of unanswered requests adds up to the number of requests. */
  public boolean allRequestsAccountedFor() {
    return outcomes.values().stream().mapToLong(n -> n).sum() + unanswered == requests;
  }
}
