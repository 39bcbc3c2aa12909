package cloverpulley.load;

import cloverpulley.load.Driver.Outcome;
import cloverpulley.load.RequestGenerator.PlannedRequest;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;
import org.HdrHistogram.PackedHistogram;

/**
 * What came of a run. A request counts once, with its last outcome and one latency from its intended start (corrected for
 * coordinated omission; Tene, "How NOT to Measure Latency") and one from when its first try was really sent (naive). Memory is
 * bounded by the run's seconds, classes and tenants, not by its requests. One thread.
 */
public final class Results {

  /** Latencies in microseconds: from 1 to ten minutes, three digits. */
  static final long MOST_MICROS = TimeUnit.MINUTES.toMicros(10);
  private static final int DIGITS = 3;
  private static final int SECOND_DIGITS = 2;

  /** Counts of one kind of request. */
  public static final class RequestStats {
    public final long[] outcomes = new long[Outcome.values().length];
    public final Histogram corrected = new PackedHistogram(MOST_MICROS, DIGITS);
    public final Histogram naive = new PackedHistogram(MOST_MICROS, DIGITS);
    public long asked;
    public long inTime;
    public double worthAsked;
    public double worthInTime;

    private void add(Outcome outcome, long correctedMicros, long naiveMicros, double worth, boolean timely) {
      outcomes[outcome.ordinal()]++;
      corrected.recordValue(Math.min(MOST_MICROS, Math.max(0, correctedMicros)));
      naive.recordValue(Math.min(MOST_MICROS, Math.max(0, naiveMicros)));
      inTime += timely ? 1 : 0;
      worthInTime += timely ? worth : 0;
    }

    private void ask(double worth) {
      asked++;
      worthAsked += worth;
    }

    public long ended() {
      long sum = 0;
      for (long n : outcomes) {
        sum += n;
      }
      return sum;
    }
  }

  /** One second of intended starts. */
  public static final class SecondStats {
    public final Histogram corrected = new PackedHistogram(MOST_MICROS, SECOND_DIGITS);
    public final long[] outcomes = new long[Outcome.values().length];
    public long intended;
    public long sent;
    public double worthAsked;
    public double worthInTime;
  }

  private final Plan plan;
  public final RequestStats all = new RequestStats();
  public final List<RequestStats> types = new ArrayList<>();
  public final List<RequestStats> tenants = new ArrayList<>();
  public final List<SecondStats> seconds = new ArrayList<>();
  /** How late tries were sent against their intended start (firsts) or the end of their back-off (retries). */
  public final Histogram lateness = new Histogram(MOST_MICROS, DIGITS);
  public long tries;
  /** Answers to requests that had been answered already. */
  public long doubles;
  /** When the run started, {@code System.nanoTime()}. */
  public long startNanos;

  public Results(Plan plan) {
    this.plan = plan;
    plan.types().forEach(t -> types.add(new RequestStats()));
    plan.tenants().forEach(t -> tenants.add(new RequestStats()));
  }

  private SecondStats second(double at) {
    while (seconds.size() <= (int) at) {
      seconds.add(new SecondStats());
    }
    return seconds.get((int) at);
  }

  /** A request is due. */
  public void intended(PlannedRequest p) {
    double worth = plan.types().get(p.type()).worth();
    all.ask(worth);
    types.get(p.type()).ask(worth);
    tenants.get(p.tenant()).ask(worth);
    SecondStats s = second(p.at());
    s.intended++;
    s.worthAsked += worth;
  }

  /** A try leaves, so late. */
  public void sent(PlannedRequest p, double sinceStart, long lateNanos) {
    tries++;
    lateness.recordValue(Math.min(MOST_MICROS, Math.max(0, lateNanos / 1000)));
    second(Math.max(0, sinceStart)).sent++;
  }

  /** A request has its one outcome. */
  public void ended(PlannedRequest p, Outcome outcome, long correctedNanos, long naiveNanos) {
    Plan.RequestClass type = plan.types().get(p.type());
    boolean timely = outcome == Outcome.SERVED && correctedNanos <= type.aimMillis() * 1e6;
    for (RequestStats t : List.of(all, types.get(p.type()), tenants.get(p.tenant()))) {
      t.add(outcome, correctedNanos / 1000, naiveNanos / 1000, type.worth(), timely);
    }
    SecondStats s = second(p.at());
    s.outcomes[outcome.ordinal()]++;
    s.corrected.recordValue(Math.min(MOST_MICROS, Math.max(0, correctedNanos / 1000)));
    s.worthInTime += timely ? type.worth() : 0;
  }

  /** Whether the generator fell behind: its numbers then speak of itself. */
  public boolean fellBehind() {
    return lateness.getValueAtPercentile(99) > plan.lateMillis() * 1000;
  }

  public Plan plan() {
    return plan;
  }
}
