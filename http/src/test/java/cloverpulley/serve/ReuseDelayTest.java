package cloverpulley.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Second copies of responses that come some milliseconds late, on a virtual clock. */
class ReuseDelayTest {

  private static final long MS = TimeUnit.MILLISECONDS.toNanos(1);

  private final ReuseDelay delay = new ReuseDelay();

  @Test
  void connectionsRestForLongerOnceSurplusBytesAreSeen() {
    assertEquals(10 * MS, delay.nanos(MS));
    delay.recordSurplus(MS, 5 * MS);
    assertEquals(40 * MS, delay.nanos(MS));
    delay.recordSurplus(2 * MS, 12 * MS);
    assertEquals(48 * MS, delay.nanos(2 * MS));
    delay.recordSurplus(3 * MS, MS);
    assertEquals(48 * MS, delay.nanos(3 * MS), "an earlier copy shortens nothing");
    delay.recordSurplus(4 * MS, 3000 * MS);
    assertEquals(200 * MS, delay.nanos(4 * MS));
  }

  @Test
  void theDelayIsForgottenWithoutFurtherSurplus() {
    delay.recordSurplus(MS, 12 * MS);
    assertEquals(10 * MS, delay.nanos(TimeUnit.MINUTES.toNanos(11)));
  }

  @Test
  void connectionsRestForSomeRoundTrips() {
    assertEquals(10 * MS, delay.nanos(MS, MS / 2));
    assertEquals(60 * MS, delay.nanos(MS, 10 * MS));
    assertEquals(200 * MS, delay.nanos(MS, 100 * MS));
    assertEquals(200 * MS, delay.nanos(MS, Long.MAX_VALUE), "unknown");
    delay.recordSurplus(MS, 20 * MS);
    assertEquals(80 * MS, delay.nanos(MS, 10 * MS));
  }

  @Test
  void theRoundTripIsBoundedByTheFastestCountedResponseOfTheLastMinutes() {
    RoundTrips roundTrips = new RoundTrips();
    ResponseTimer timer = new ResponseTimer(roundTrips);
    assertEquals(Long.MAX_VALUE, roundTrips.maxNanos(1, 0));
    timer.requestStarted(0, true);
    assertFalse(timer.responseReceived(1, MS));
    assertEquals(Long.MAX_VALUE, roundTrips.maxNanos(1, MS), "it may be a rejection that was sent before the request came");
    timer.requestStarted(0, true);
    assertFalse(timer.responseReceived(1, 30 * MS));
    timer.responseSucceeded(1, 30 * MS);
    assertFalse(timer.responseReceived(1, 31 * MS), "more of the same response");
    timer.requestStarted(40 * MS, false);
    assertTrue(timer.responseReceived(1, 43 * MS), "sooner than a round trip");
    timer.responseSucceeded(1, 43 * MS);
    assertEquals(30 * MS, roundTrips.maxNanos(1, 50 * MS), "surplus bytes don't count");
    assertEquals(Long.MAX_VALUE, roundTrips.maxNanos(2, 50 * MS));
    roundTrips.record(1, TimeUnit.MINUTES.toNanos(6), 50 * MS);
    assertEquals(30 * MS, roundTrips.maxNanos(1, TimeUnit.MINUTES.toNanos(9)));
    assertEquals(50 * MS, roundTrips.maxNanos(1, TimeUnit.MINUTES.toNanos(12)));
    assertEquals(Long.MAX_VALUE, roundTrips.maxNanos(1, TimeUnit.MINUTES.toNanos(30)));
  }
}
