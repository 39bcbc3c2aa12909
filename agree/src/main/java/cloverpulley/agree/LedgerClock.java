package cloverpulley.agree;

import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * The clock for the timestamps of a voter's commands, in milliseconds. It begins at the Unix time of the voter's start and advances by the
 * monotonic clock, so that a step of the wall clock neither ages everything in the ledger at once nor stops it from ageing. It is never behind
 * the time of the ledger. Thread-safe.
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

  /** Returns the timestamp of the next command; {@code ledgerMillis} is the current time of the ledger. */
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
