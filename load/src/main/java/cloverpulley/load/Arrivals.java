package cloverpulley.load;

import java.util.SplittableRandom;

/**
 * Generates the intended start times of requests from a seed. The times do not depend on the behaviour of the server, and they are
 * generated one at a time: memory use does not grow with the length of the run.
 */
public final class Arrivals {

  /** The arrival process. */
  public enum Process { POISSON, CONSTANT, BURSTY }

  /**
   * Parameters of the bursty process: a Markov chain with the states quiet and burst and exponentially distributed sojourn times
   * (Markov-modulated Poisson process; Fischer and Meier-Hellstern 1993).
   *
   * @param factor rate in a burst relative to the plan's rate, above 1
   * @param burstRatio fraction of the time spent in bursts, above 0, and below 1/factor because the quiet rate would be negative otherwise
   * @param meanSeconds mean duration of a burst
   */
  public record Bursts(double factor, double burstRatio, double meanSeconds) {
    public Bursts {
      Checks.require(factor > 1, "a burst's factor must be above 1");
      Checks.require(burstRatio > 0 && burstRatio * factor < 1, "a burst's part must be above 0 and below 1/factor");
      Checks.require(meanSeconds > 0, "a burst's length must be above 0");
    }

    double quietFactor() {
      return (1 - burstRatio * factor) / (1 - burstRatio);
    }
  }

  private final Process process;
  private final Bursts bursts;
  private final double rate;
  private final Shape shape;
  private final double durationSeconds;
  private final SplittableRandom random;
  /**
   * In seconds since the start of the run. Poisson and bursty process: the last candidate. Constant process: start of the integration step
   * that contains the last arrival, so that the next arrival may be found in the same step.
   */
  private double now;
  private boolean inBurst;
  private double stateEnd;
  /** Constant process: number of the last arrival generated, from 1; arrival n is due when the integral of the rate reaches n - 0.5. */
  private double arrivalNumber;
  /** Constant process: integral of the rate from 0 to {@code now}. */
  private double rateIntegral;

  /**
   * Creates the arrivals of a run.
   *
   * @param bursts null unless the process is bursty
   * @param rate requests per second at shape factor 1, above 0
   * @param durationSeconds duration of the run, above 0
   */
  public Arrivals(Process process, Bursts bursts, double rate, Shape shape, double durationSeconds, long seed) {
    Checks.require(rate > 0 && durationSeconds > 0, "rate and duration must be above 0");
    Checks.require(process != Process.BURSTY || bursts != null, "a bursty process needs its bursts");
    this.process = process;
    this.bursts = bursts;
    this.rate = rate;
    this.shape = shape;
    this.durationSeconds = durationSeconds;
    random = new SplittableRandom(seed);
  }

  /** The next arrival in seconds since the start of the run; -1 after the end of the run. */
  public double next() {
    return process == Process.CONSTANT ? nextConstant() : nextByThinning();
  }

  /** Integrates the rate by the midpoint rule in small steps: exact for flat shapes, an approximation within a step for others. */
  private double nextConstant() {
    arrivalNumber += 1;
    // The first arrival is half an interval after the start, so that every second contains its full number of arrivals.
    double target = arrivalNumber - 0.5;
    double step = Math.min(0.001, durationSeconds / 1000);
    // A remainder far below one step is a rounding error; it must not produce an arrival.
    while (durationSeconds - now > step / 1000) {
      double width = Math.min(step, durationSeconds - now);
      double increment = width * rate * shape.at(now + width / 2);
      if (rateIntegral + increment >= target) {
        return Math.min(durationSeconds, now + width * (target - rateIntegral) / increment);
      }
      rateIntegral += increment;
      now += width;
    }
    return -1;
  }

  /** Thinning (Lewis and Shedler 1979): candidates arrive at the maximum rate and are accepted with probability rate / maximum rate. */
  private double nextByThinning() {
    double maxRate = rate * shape.max() * (process == Process.BURSTY ? Math.max(bursts.factor(), bursts.quietFactor()) : 1);
    while (true) {
      now += -Math.log(1 - random.nextDouble()) / maxRate;
      if (now >= durationSeconds) {
        return -1;
      }
      if (random.nextDouble() * maxRate < rate * shape.at(now) * stateFactor()) {
        return now;
      }
    }
  }

  private double stateFactor() {
    if (process != Process.BURSTY) {
      return 1;
    }
    while (now >= stateEnd) {
      // Draws the first state from the stationary distribution, so that the start of a run does not differ from the rest.
      inBurst = stateEnd == 0 ? random.nextDouble() < bursts.burstRatio() : !inBurst;
      double mean = inBurst ? bursts.meanSeconds() : bursts.meanSeconds() * (1 - bursts.burstRatio()) / bursts.burstRatio();
      stateEnd += -Math.log(1 - random.nextDouble()) * mean;
    }
    return inBurst ? bursts.factor() : bursts.quietFactor();
  }
}
