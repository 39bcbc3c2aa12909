package cloverpulley.load;

import java.util.List;

/**
 * How the request rate changes during a run: a factor for each point in time, where 1 is the plan's base rate. Shapes are immutable and
 * composed by multiplication ({@link Product}). Times are seconds since the start of the run.
 */
public sealed interface Shape permits Shape.Flat, Shape.Ramp, Shape.Wave, Shape.MonthEnd, Shape.Season, Shape.Flash, Shape.Product {

  /** The factor at a point in time; never negative. */
  double at(double seconds);

  /** An upper bound of the factor over the whole run; thinning in {@link Arrivals} draws candidates at the base rate times this. */
  double max();

  /** Constant base rate. */
  record Flat() implements Shape {
    @Override
    public double at(double seconds) {
      return 1;
    }

    @Override
    public double max() {
      return 1;
    }
  }

  /**
   * Changes linearly from one factor to another between two times and is constant before and after.
   *
   * @param from factor until {@code start}
   * @param to factor from {@code end} on
   * @param start in seconds since the start of the run
   * @param end in seconds since the start of the run
   */
  record Ramp(double from, double to, double start, double end) implements Shape {
    public Ramp {
      Checks.require(from >= 0 && to >= 0, "a ramp's factors must not be negative");
      Checks.require(end > start, "a ramp must end after its start");
    }

    @Override
    public double at(double seconds) {
      double progress = Math.min(1, Math.max(0, (seconds - start) / (end - start)));
      return from + progress * (to - from);
    }

    @Override
    public double max() {
      return Math.max(from, to);
    }
  }

  /**
   * A sine wave around 1, such as the cycle of day and night.
   *
   * @param amplitude greatest difference from 1
   * @param period length of a cycle in seconds
   * @param phase position in the cycle at the start of the run, as a fraction of the period
   */
  record Wave(double amplitude, double period, double phase) implements Shape {
    public Wave {
      Checks.require(amplitude >= 0 && amplitude <= 1, "a wave's amplitude must be 0 to 1");
      Checks.require(period > 0, "a wave's period must be above 0");
    }

    @Override
    public double at(double seconds) {
      return 1 + amplitude * Math.sin(2 * Math.PI * (seconds / period + phase));
    }

    @Override
    public double max() {
      return 1 + amplitude;
    }
  }

  /**
   * The last working days of a month, scaled to the length of the run: the rate rises from day to day, grows within each day towards
   * closing time, and peaks in the last hours of the last day. Within a day the rate follows a quarter of a sine wave, which reaches its top
   * after 90% of the day.
   *
   * @param days number of working days that the run represents
   * @param rise factor of the last day relative to the first
   * @param peak factor at the end of the last day, by which the others are multiplied; it rises linearly from 1 over the last fifth of that day
   * @param length duration of the run in seconds, into which the days are scaled
   */
  record MonthEnd(int days, double rise, double peak, double length) implements Shape {

    private static final double OPENING_FACTOR = 0.6;
    /** Fraction of the last day, up to its end, in which the final peak builds up. */
    private static final double PEAK_DAY_FRACTION = 0.2;

    public MonthEnd {
      Checks.require(days >= 1, "a month end must have at least one day");
      Checks.require(rise >= 1 && peak >= 1, "rise and peak must be 1 or more");
      Checks.require(length > 0, "the length must be above 0");
    }

    @Override
    public double at(double seconds) {
      double at = Math.min(days - 1e-9, Math.max(0, seconds / length * days));
      int day = (int) at;
      double dayFraction = at - day;
      double dayFactor = days == 1 ? rise : 1 + (rise - 1) * day / (days - 1);
      double hourFactor = OPENING_FACTOR + (1 - OPENING_FACTOR) * Math.sin(Math.PI * Math.min(1, dayFraction / 0.9) / 2);
      double peakFactor = day < days - 1 || dayFraction < 1 - PEAK_DAY_FRACTION ? 1
          : 1 + (peak - 1) * (dayFraction - (1 - PEAK_DAY_FRACTION)) / PEAK_DAY_FRACTION;
      return dayFactor * hourFactor * peakFactor;
    }

    @Override
    public double max() {
      return rise * peak;
    }
  }

  /**
   * A seasonal peak: the rate rises to its maximum in the middle of the run and falls again, for example before spring field work in farming.
   *
   * @param top factor in the middle of the run; 1 at its start and end
   * @param length duration of the run in seconds
   */
  record Season(double top, double length) implements Shape {
    public Season {
      Checks.require(top >= 1, "a season's top must be 1 or more");
      Checks.require(length > 0, "the length must be above 0");
    }

    @Override
    public double at(double seconds) {
      double progress = Math.min(1, Math.max(0, seconds / length));
      double sine = Math.sin(Math.PI * progress);
      return 1 + (top - 1) * sine * sine;
    }

    @Override
    public double max() {
      return top;
    }
  }

  /**
   * A flash crowd: the rate jumps at one time and then decays exponentially to 1.
   *
   * @param start time of the jump, in seconds since the start of the run
   * @param factor factor at the jump; 1 before it
   * @param halfLife time in seconds in which the excess over 1 halves
   */
  record Flash(double start, double factor, double halfLife) implements Shape {
    public Flash {
      Checks.require(factor >= 1, "a flash crowd's factor must be 1 or more");
      Checks.require(halfLife > 0, "a flash crowd's half-life must be above 0");
    }

    @Override
    public double at(double seconds) {
      return seconds < start ? 1 : 1 + (factor - 1) * Math.pow(0.5, (seconds - start) / halfLife);
    }

    @Override
    public double max() {
      return factor;
    }
  }

  /** The product of several shapes. */
  record Product(List<Shape> parts) implements Shape {
    @Override
    public double at(double seconds) {
      double product = 1;
      for (Shape part : parts) {
        product *= part.at(seconds);
      }
      return product;
    }

    @Override
    public double max() {
      double product = 1;
      for (Shape part : parts) {
        product *= part.max();
      }
      return product;
    }
  }

  /**
   * The mean factor over an interval by the midpoint rule. It samples no end point, so a jump at the very end of the interval has no effect on
   * the mean.
   */
  default double mean(double from, double to) {
    int steps = (int) Math.min(200_000, Math.max(1000, (to - from) * 1000));
    double step = (to - from) / steps;
    double total = 0;
    for (int i = 0; i < steps; i++) {
      total += at(from + (i + 0.5) * step);
    }
    return total / steps;
  }
}
