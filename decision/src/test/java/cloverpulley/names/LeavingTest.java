package cloverpulley.names;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class LeavingTest {

  private static final long MS = 1_000_000L;

  @Test
  void beforeItBeginsNothingIsClosedOrRefused() {
    Leaving l = new Leaving();
    assertFalse(l.refuses(Long.MAX_VALUE));
    assertFalse(l.mayClose(Long.MAX_VALUE, 0, false));
    assertEquals(0, l.left(5));
  }

  @Test
  void aConnectionGoesOnceItIsSilent() {
    Leaving l = new Leaving();
    l.begin(1000 * MS, 5000 * MS);
    l.begin(1900 * MS, 1 * MS); // Said twice: the first counts.
    assertTrue(l.mayClose(1000 * MS, 900 * MS, false), "silent for 100 ms when it began");
    assertFalse(l.mayClose(1000 * MS, 901 * MS, false));
    assertFalse(l.mayClose(1500 * MS, 1000 * MS, true), "half a message has come");
    assertFalse(l.refuses(3499 * MS));
    assertEquals(2501 * MS, l.left(3499 * MS));
  }

  @Test
  void inTheSecondHalfNothingNewIsTakenAndNoSilenceIsWaitedFor() {
    Leaving l = new Leaving();
    l.begin(0, 1000 * MS);
    assertTrue(l.refuses(500 * MS));
    assertTrue(l.mayClose(500 * MS, 500 * MS, false));
    assertFalse(l.mayClose(999 * MS, 0, true));
    assertTrue(l.mayClose(1000 * MS, 0, true));
    assertEquals(0, l.left(2000 * MS));
  }

  @Test
  void withoutTimeEverythingIsOverAtOnce() {
    Leaving l = new Leaving();
    l.begin(7, 0);
    assertTrue(l.refuses(7));
    assertTrue(l.mayClose(7, 7, true));
  }
}
