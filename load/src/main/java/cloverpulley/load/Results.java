package cloverpulley.load;

import cloverpulley.load.Driver.Outcome;
import cloverpulley.load.RequestGenerator.PlannedRequest;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;
import org.HdrHistogram.PackedHistogram;

/**
 * The results of a run. A request counts once, with the outcome of its last attempt and two latencies: one measured from its intended
 * start (corrected for coordinated omission; Tene, "How NOT to Measure Latency"), the other from the actual start of its first attempt
 * (naive). Memory use is bounded by the number of seconds, classes and tenants, not by the number of requests. Not thread-safe.
 */
public final class Results {

  /** The histograms hold latencies from 1 microsecond to ten minutes with three significant digits, those per second with two. */
  static final long MAX_MICROS = TimeUnit.MINUTES.toMicros(10);
  private static final int SIGNIFICANT_DIGITS = 3;
  private static final int SECOND_STATS_SIGNIFICANT_DIGITS = 2;

  /**
   * Counters and latencies of one set of requests: all, those of a class or those of a tenant. A request is in time if it was served within
   * its class's target latency, measured from its intended start. The worth of a request is the number of points that its class scores for
   * each request served in time ({@link Plan.RequestClass}).
   */
  public static final class RequestStats {
    public final long[] outcomes = new long[Outcome.values().length];
    public final Histogram corrected = new PackedHistogram(MAX_MICROS, SIGNIFICANT_DIGITS);
    public final Histogram naive = new PackedHistogram(MAX_MICROS, SIGNIFICANT_DIGITS);
    public long requests;
    public long inTime;
    public double worthRequested;
    public double worthInTime;

    private void addOutcome(Outcome outcome, long correctedMicros, long naiveMicros, double worth, boolean withinAim) {
      outcomes[outcome.ordinal()]++;
      corrected.recordValue(Math.min(MAX_MICROS, Math.max(0, correctedMicros)));
      naive.recordValue(Math.min(MAX_MICROS, Math.max(0, naiveMicros)));
      inTime += withinAim ? 1 : 0;
      worthInTime += withinAim ? worth : 0;
    }

    private void addRequest(double worth) {
      requests++;
      worthRequested += worth;
    }

    public long completed() {
      long sum = 0;
      for (long n : outcomes) {
        sum += n;
      }
      return sum;
    }
  }

  /**
   * Counters and latencies of the requests with an intended start within the same second; {@code sent} counts attempts, including retries, by
   * the second in which they were sent.
   */
  public static final class SecondStats {
    public final Histogram corrected = new PackedHistogram(MAX_MICROS, SECOND_STATS_SIGNIFICANT_DIGITS);
    public final long[] outcomes = new long[Outcome.values().length];
    public long intended;
    public long sent;
    public double worthRequested;
    public double worthInTime;
  }

  private final Plan plan;
  public final RequestStats all = new RequestStats();
  public final List<RequestStats> classes = new ArrayList<>();
  public final List<RequestStats> tenants = new ArrayList<>();
  public final List<SecondStats> seconds = new ArrayList<>();
  /** How late attempts were sent: first attempts relative to the intended start, retries relative to the end of the back-off. */
  public final Histogram lateness = new Histogram(MAX_MICROS, SIGNIFICANT_DIGITS);
  public long attempts;
  /** Responses to requests that had already been answered. */
  public long duplicateResponses;
  /** Start of the run, {@code System.nanoTime()}. */
  public long startNanos;

  public Results(Plan plan) {
    this.plan = plan;
    plan.classes().forEach(t -> classes.add(new RequestStats()));
    plan.tenants().forEach(t -> tenants.add(new RequestStats()));
  }

  /** The statistics of the second that contains this time, in seconds since the start of the run. */
  private SecondStats second(double at) {
    while (seconds.size() <= (int) at) {
      seconds.add(new SecondStats());
    }
    return seconds.get((int) at);
  }

  /** Records that the intended start of a request has come. */
  public void recordIntended(PlannedRequest p) {
    double worth = plan.classes().get(p.classIndex()).worth();
    all.addRequest(worth);
    classes.get(p.classIndex()).addRequest(worth);
    tenants.get(p.tenantIndex()).addRequest(worth);
    SecondStats s = second(p.startSeconds());
    s.intended++;
    s.worthRequested += worth;
  }

  /**
   * Records that an attempt was sent.
   *
   * @param sinceStart when it was sent, in seconds since the start of the run
   * @param lateNanos how long after it was due it was sent
   */
  public void recordSent(PlannedRequest p, double sinceStart, long lateNanos) {
    attempts++;
    lateness.recordValue(Math.min(MAX_MICROS, Math.max(0, lateNanos / 1000)));
    second(Math.max(0, sinceStart)).sent++;
  }

  /** Records the final outcome of a request, with its latency from the intended start and from the actual start of the first attempt. */
  public void recordOutcome(PlannedRequest p, Outcome outcome, long correctedNanos, long naiveNanos) {
    Plan.RequestClass requestClass = plan.classes().get(p.classIndex());
    boolean withinAim = outcome == Outcome.SERVED && correctedNanos <= requestClass.aimMillis() * 1e6;
    for (RequestStats stats : List.of(all, classes.get(p.classIndex()), tenants.get(p.tenantIndex()))) {
      stats.addOutcome(outcome, correctedNanos / 1000, naiveNanos / 1000, requestClass.worth(), withinAim);
    }
    SecondStats s = second(p.startSeconds());
    s.outcomes[outcome.ordinal()]++;
    s.corrected.recordValue(Math.min(MAX_MICROS, Math.max(0, correctedNanos / 1000)));
    s.worthInTime += withinAim ? requestClass.worth() : 0;
  }

  /** Whether the generator fell behind its schedule: the latencies then reflect the generator as well as the server. */
  public boolean fellBehind() {
    return lateness.getValueAtPercentile(99) > plan.maxLatenessMillis() * 1000;
  }

  public Plan plan() {
    return plan;
  }
}
