package cloverpulley.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;

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
}
