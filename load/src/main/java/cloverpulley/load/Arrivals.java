package cloverpulley.load;

import java.util.SplittableRandom;

/**
 * Times at which requests are intended, drawn from a seed one after another: nothing that a server does changes them. Pure
 * and endless in memory: a run of a million requests holds one at a time.
 */
public final class Arrivals {

  /** How arrivals lie about their rate. */
  public enum Process { POISSON, CONSTANT, BURSTY }

  /**
   * Bursts: a Markov chain of two states, quiet and burst, with exponential stays (Markov-modulated Poisson process; Fischer and
   * Meier-Hellstern 1993).
   *
   * @param factor rate in a burst against the plan's rate, above 1
   * @param part part of the time that is burst, above 0, and below 1/factor so that the rest is not below nothing
   * @param meanSeconds mean length of a burst
   */
  public record Bursts(double factor, double part, double meanSeconds) {
    public Bursts {
      Checks.require(factor > 1, "a burst's factor must be above 1");
      Checks.require(part > 0 && part * factor < 1, "a burst's part must be above 0 and below 1/factor");
      Checks.require(meanSeconds > 0, "a burst's length must be above 0");
    }

    double quietFactor() {
      return (1 - part * factor) / (1 - part);
    }
  }

  private final Process process;
  private final Bursts bursts;
  private final double rate;
  private final Shape shape;
  private final double length;
  private final SplittableRandom random;
  private double at;
  private boolean burst;
  private double stateUntil;
  /** Arrivals due by now, for the constant process: the next is at the moment when the rate's integral passes a whole number. */
  private double due;
  /** The rate's integral up to {@code at}. */
  private double passed;

  /**
   * Draws the arrivals of a run.
   *
   * @param bursts null unless the process is bursty
   * @param rate requests a second at factor 1, above 0
   * @param length seconds
   */
  public Arrivals(Process process, Bursts bursts, double rate, Shape shape, double length, long seed) {
    Checks.require(rate > 0 && length > 0, "rate and length must be above 0");
    Checks.require(process != Process.BURSTY || bursts != null, "bursts have to be said");
    this.process = process;
    this.bursts = bursts;
    this.rate = rate;
    this.shape = shape;
    this.length = length;
    random = new SplittableRandom(seed);
  }

  /** Seconds from the run's start to the next arrival; -1 past its end. */
  public double next() {
    return process == Process.CONSTANT ? nextConstant() : nextDrawn();
  }

  /** Steps the integral of the rate in small pieces: exact for flat shapes, within a piece's bend for others. */
  private double nextConstant() {
    due += 1;
    double owed = due - 0.5; // The first one lies half a gap after the start, so that a second holds its full number.
    double usual = Math.min(0.001, length / 1000);
    // What is left past the last whole piece is rounding, not time: it must not hold an arrival.
    while (length - at > usual / 1000) {
      double piece = Math.min(usual, length - at);
      double gained = piece * rate * shape.at(at + piece / 2);
      if (passed + gained >= owed) {
        return Math.min(length, at + piece * (owed - passed) / gained);
      }
      passed += gained;
      at += piece;
    }
    return -1;
  }

  /** Thinning (Lewis and Shedler 1979): drawn at the highest rate there is, kept by the part that the moment's rate is of it. */
  private double nextDrawn() {
    double most = rate * shape.most() * (process == Process.BURSTY ? Math.max(bursts.factor(), bursts.quietFactor()) : 1);
    while (true) {
      at += -Math.log(1 - random.nextDouble()) / most;
      if (at >= length) {
        return -1;
      }
      if (random.nextDouble() * most < rate * shape.at(at) * state()) {
        return at;
      }
    }
  }

  private double state() {
    if (process != Process.BURSTY) {
      return 1;
    }
    while (at >= stateUntil) {
      // The first state is drawn by its part of the time, so that the run has no head that differs.
      burst = stateUntil == 0 ? random.nextDouble() < bursts.part() : !burst;
      double mean = burst ? bursts.meanSeconds() : bursts.meanSeconds() * (1 - bursts.part()) / bursts.part();
      stateUntil += -Math.log(1 - random.nextDouble()) * mean;
    }
    return burst ? bursts.factor() : bursts.quietFactor();
  }
}
