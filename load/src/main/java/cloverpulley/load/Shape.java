package cloverpulley.load;

import java.util.List;

/**
 * How a rate changes over a run: a factor for each moment, 1 for the plan's base rate. Pure; shapes compose by multiplying
 * ({@link Product}). Times are seconds since the run's start.
 */
public sealed interface Shape permits Shape.Flat, Shape.Ramp, Shape.Wave, Shape.MonthEnd, Shape.Season, Shape.Flash, Shape.Product {

  /** The factor at a time, 0 or more. */
  double at(double seconds);

  /** No smaller than the factor at any time from 0 to the length: the bound for thinning. */
  double most();

  /** Always the base rate. */
  record Flat() implements Shape {
    @Override
    public double at(double seconds) {
      return 1;
    }

    @Override
    public double most() {
      return 1;
    }
  }

  /** Evenly from one factor to another between two times; before and after, as at its ends. */
  record Ramp(double from, double to, double start, double end) implements Shape {
    public Ramp {
      Checks.require(from >= 0 && to >= 0, "a ramp's factors must not be negative");
      Checks.require(end > start, "a ramp must end after its start");
    }

    @Override
    public double at(double seconds) {
      double part = Math.min(1, Math.max(0, (seconds - start) / (end - start)));
      return from + part * (to - from);
    }

    @Override
    public double most() {
      return Math.max(from, to);
    }
  }

  /** A sine round 1: day and night, or a heartbeat. */
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
    public double most() {
      return 1 + amplitude;
    }
  }

  /**
   * The last working days of a month in small: day after day the rate rises, within each day it swells towards closing time,
   * and the last hours of the last day peak.
   *
   * @param days working days that the run stands for
   * @param rise factor of the last day against the first
   * @param peak further factor at the end of the last day, whose last fifth climbs to it
   */
  record MonthEnd(int days, double rise, double peak, double length) implements Shape {

    private static final double QUIET = 0.6;
    private static final double LAST_HOURS = 0.2;

    public MonthEnd {
      Checks.require(days >= 1, "a month's end must have a day");
      Checks.require(rise >= 1 && peak >= 1, "rise and peak must be 1 or more");
      Checks.require(length > 0, "the length must be above 0");
    }

    @Override
    public double at(double seconds) {
      double at = Math.min(days - 1e-9, Math.max(0, seconds / length * days));
      int day = (int) at;
      double hour = at - day;
      double ofDay = days == 1 ? rise : 1 + (rise - 1) * day / (days - 1);
      double within = QUIET + (1 - QUIET) * Math.sin(Math.PI * Math.min(1, hour / 0.9) / 2);
      double last = day < days - 1 || hour < 1 - LAST_HOURS ? 1
          : 1 + (peak - 1) * (hour - (1 - LAST_HOURS)) / LAST_HOURS;
      return ofDay * within * last;
    }

    @Override
    public double most() {
      return rise * peak;
    }
  }

  /** A season: the rate swells to its top in the middle of the run and falls again, as before spring's field work. */
  record Season(double top, double length) implements Shape {
    public Season {
      Checks.require(top >= 1, "a season's top must be 1 or more");
      Checks.require(length > 0, "the length must be above 0");
    }

    @Override
    public double at(double seconds) {
      double part = Math.min(1, Math.max(0, seconds / length));
      double swell = Math.sin(Math.PI * part);
      return 1 + (top - 1) * swell * swell;
    }

    @Override
    public double most() {
      return top;
    }
  }

  /** A crowd from one moment on, that leaves by halves. */
  record Flash(double start, double factor, double halfLife) implements Shape {
    public Flash {
      Checks.require(factor >= 1, "a crowd's factor must be 1 or more");
      Checks.require(halfLife > 0, "a crowd's half-life must be above 0");
    }

    @Override
    public double at(double seconds) {
      return seconds < start ? 1 : 1 + (factor - 1) * Math.pow(0.5, (seconds - start) / halfLife);
    }

    @Override
    public double most() {
      return factor;
    }
  }

  /** All of them at once. */
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
    public double most() {
      double product = 1;
      for (Shape part : parts) {
        product *= part.most();
      }
      return product;
    }
  }

  /** The mean factor over a stretch, by the midpoints of even pieces: a jump at its end is not in it. */
  default double mean(double from, double to) {
    int pieces = (int) Math.min(200_000, Math.max(1000, (to - from) * 1000));
    double step = (to - from) / pieces;
    double sum = 0;
    for (int i = 0; i < pieces; i++) {
      sum += at(from + (i + 0.5) * step);
    }
    return sum / pieces;
  }
}
