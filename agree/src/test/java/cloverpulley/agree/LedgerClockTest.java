package cloverpulley.agree;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

class LedgerClockTest {

  private static final long UNIX = 1_800_000_000_000L;
  private static final long HOUR = TimeUnit.HOURS.toMillis(1);

  private final AtomicLong nanos = new AtomicLong(77);

  private void advance(long millis) {
    nanos.addAndGet(TimeUnit.MILLISECONDS.toNanos(millis));
  }

  @Test
  void theLedgerAdvancesAfterALeaderWithAFastClock() {
    LedgerClock clock = new LedgerClock(nanos::get, UNIX);
    assertEquals(UNIX, clock.stamp(0));
    advance(500);
    assertEquals(UNIX + 500, clock.stamp(UNIX));
    long ahead = UNIX + HOUR;
    assertEquals(ahead, clock.stamp(ahead), "never behind the ledger");
    advance(1000);
    assertEquals(ahead + 1000, clock.stamp(ahead), "the ledger's time must not stop until the clock has caught up");
  }
}
