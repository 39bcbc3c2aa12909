package cloverpulley.model;

import cloverpulley.Balancer.RequestClass;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/** What came of a play. Latencies are of served requests, in microseconds. */
public final class SimulationResult {

  public long asked;
  public long sent;
  public long refused;
  public long events;
  public long served;
  public long inAim;
  public long serversUsed;
  /** Breaks of the rules, as the truth shows them. */
  public long withoutAnswer;
  public long secondAnswers;
  public long unsafeTwice;
  public long afterDrain;
  public double worthAsked;
  public double worthHad;
  public final Map<String, Long> words = new TreeMap<>();
  public final Histogram latency = new Histogram(600_000_000L, 3);
  private long hash = 0xcbf29ce484222325L;

  void answered(RequestClass type, String word, boolean wasServed, long nanos) {
    words.merge(word, 1L, Long::sum);
    worthAsked += type.worth();
    if (wasServed) {
      served++;
      latency.recordValue(Math.min(latency.getHighestTrackableValue(), nanos / 1000));
      boolean timely = nanos <= type.aimNanos();
      inAim += timely ? 1 : 0;
      worthHad += type.worth() * (timely ? 1 : type.lateWorth());
    }
  }

  /** What has happened goes into the hash, FNV-1a over its numbers. */
  void mix(long a, long b) {
    hash = (hash ^ a) * 0x100000001b3L;
    hash = (hash ^ b) * 0x100000001b3L;
  }

  /** The same for the same plan, policy and seed, wherever it is played. */
  public long hash() {
    return hash;
  }

  /** Worth had in time of all that was asked for. */
  public double g() {
    return worthAsked == 0 ? 0 : worthHad / worthAsked;
  }

  public boolean rulesKept() {
    return withoutAnswer + secondAnswers + unsafeTwice + afterDrain == 0;
  }

  /** Each request has its one answer. */
  public boolean isConserved() {
    return words.values().stream().mapToLong(n -> n).sum() + withoutAnswer == asked;
  }
}
