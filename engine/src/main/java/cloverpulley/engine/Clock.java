package cloverpulley.engine;

import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/** The clock of a balancer: monotonic, with an origin that allows readings for upstreams that started before the process. */
public final class Clock {

  /** The reading at the process start. An upstream that started more than a day earlier counts as started a day earlier; the module needs no more. */
  private static final long ORIGIN = TimeUnit.DAYS.toNanos(1);

  private final LongSupplier monotonic;
  private final long startNanos;
  private final long startMillis;

  /** Uses the system's clocks. */
  public Clock() {
    this(System::nanoTime, System.currentTimeMillis());
  }

  /** Uses any monotonic clock, in nanoseconds; {@code unixMillis} is the Unix time in milliseconds at its current reading. */
  public Clock(LongSupplier monotonic, long unixMillis) {
    this.monotonic = monotonic;
    startNanos = monotonic.getAsLong();
    startMillis = unixMillis;
  }

  /** The current clock reading, in nanoseconds. */
  public long now() {
    return ORIGIN + monotonic.getAsLong() - startNanos;
  }

  /**
   * The clock reading at a Unix time; 0, which means long ago, stays 0. The offset between the two clocks is measured once: if it were
   * measured again, a drift of the wall clock would look like a restart of every upstream on the list.
   */
  public long atUnixMillis(long millis) {
    return millis <= 0 ? 0 : Math.max(1, ORIGIN + TimeUnit.MILLISECONDS.toNanos(millis - startMillis));
  }

  /** Unix time at a clock reading, in microseconds, by the wall clock at the start; later steps of the wall clock don't count. */
  public long unixMicros(long reading) {
    return startMillis * 1000 + (reading - ORIGIN) / 1000;
  }

  /** When this clock was created, Unix time in microseconds. */
  public long startMicros() {
    return startMillis * 1000;
  }
}
