package cloverpulley.agree;

import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * The time with which a voter stamps commands, in milliseconds. It begins at the Unix time of the voter's start and goes on by the monotonic clock, so that a
 * step of the wall clock neither ages all that the ledger holds at once nor keeps it from ageing; it is never behind the ledger. Thread-safe.
 */
final class LedgerClock {

  private final LongSupplier nanos;
  private long baseMillis;
  private long baseNanos;

  LedgerClock(LongSupplier nanos, long unixMillis) {
    this.nanos = nanos;
    baseMillis = unixMillis;
    baseNanos = nanos.getAsLong();
  }

  /** The stamp of a command that comes behind what the ledger holds, whose time stands at {@code ledgerMillis}. */
  synchronized long stamp(long ledgerMillis) {
    long now = nanos.getAsLong();
    long millis = baseMillis + TimeUnit.NANOSECONDS.toMillis(now - baseNanos);
    if (ledgerMillis > millis) {
      baseMillis = ledgerMillis;
      baseNanos = now;
      return ledgerMillis;
    }
    return millis;
  }
}
