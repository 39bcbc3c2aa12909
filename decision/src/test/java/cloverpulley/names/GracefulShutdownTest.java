package cloverpulley.names;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class GracefulShutdownTest {

  private static final long MS = 1_000_000L;

  @Test
  void nothingIsClosedOrRejectedBeforeItBegins() {
    GracefulShutdown l = new GracefulShutdown();
    assertFalse(l.rejectsNew(Long.MAX_VALUE));
    assertFalse(l.mayClose(Long.MAX_VALUE, 0, false));
    assertEquals(0, l.remaining(5));
  }

  @Test
  void connectionIsClosedOnceIdle() {
    GracefulShutdown l = new GracefulShutdown();
    l.begin(1000 * MS, 5000 * MS);
    l.begin(1900 * MS, 1 * MS); // The second call has no effect.
    assertTrue(l.mayClose(1000 * MS, 900 * MS, false), "idle for 100 ms when the shutdown began");
    assertFalse(l.mayClose(1000 * MS, 901 * MS, false));
    assertFalse(l.mayClose(1500 * MS, 1000 * MS, true), "a message has been read in part");
    assertFalse(l.rejectsNew(3499 * MS));
    assertEquals(2501 * MS, l.remaining(3499 * MS));
  }

  @Test
  void secondHalfRejectsNewQueriesAndClosesWithoutIdleTime() {
    GracefulShutdown l = new GracefulShutdown();
    l.begin(0, 1000 * MS);
    assertTrue(l.rejectsNew(500 * MS));
    assertTrue(l.mayClose(500 * MS, 500 * MS, false));
    assertFalse(l.mayClose(999 * MS, 0, true));
    assertTrue(l.mayClose(1000 * MS, 0, true));
    assertEquals(0, l.remaining(2000 * MS));
  }

  @Test
  void zeroDurationClosesEverythingAtOnce() {
    GracefulShutdown l = new GracefulShutdown();
    l.begin(7, 0);
    assertTrue(l.rejectsNew(7));
    assertTrue(l.mayClose(7, 7, true));
  }
}
