package cloverpulley.engine;

import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/** The one clock of a balancer: monotonic, with an origin that leaves room for upstreams older than the process. */
public final class Clock {

  /** An upstream up for longer counts as up for this long: no module asks for the difference. */
  private static final long ORIGIN = TimeUnit.DAYS.toNanos(1);

  private final LongSupplier monotonic;
  private final long startNanos;
  private final long startMillis;

  /** The system's clocks. */
  public Clock() {
    this(System::nanoTime, System.currentTimeMillis());
  }

  /** Any monotonic clock, in nanoseconds, and the Unix time in milliseconds at its present reading. */
  public Clock(LongSupplier monotonic, long unixMillis) {
    this.monotonic = monotonic;
    startNanos = monotonic.getAsLong();
    startMillis = unixMillis;
  }

  /** The present clock reading, in nanoseconds. */
  public long now() {
    return ORIGIN + monotonic.getAsLong() - startNanos;
  }

  /**
   * The clock reading at a Unix time; 0, long ago, stays 0. The distance between the two clocks is taken once: were it
   * taken anew, a drift of the wall clock would look like a restart of every upstream on the list.
   */
  public long atUnixMillis(long millis) {
    return millis <= 0 ? 0 : Math.max(1, ORIGIN + TimeUnit.MILLISECONDS.toNanos(millis - startMillis));
  }

  /** Unix time at a clock reading, microseconds: as the wall clock stood at the start, whatever it has done since. */
  public long unixMicros(long reading) {
    return startMillis * 1000 + (reading - ORIGIN) / 1000;
  }

  /** When this clock was made, Unix time in microseconds. */
  public long startMicros() {
    return startMillis * 1000;
  }
}
