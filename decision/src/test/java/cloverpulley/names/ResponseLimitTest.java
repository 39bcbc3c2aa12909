package cloverpulley.names;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import cloverpulley.names.ResponseLimit.Config;
import cloverpulley.names.ResponseLimit.Finding;
import org.junit.jupiter.api.Test;

class ResponseLimitTest {

  private static final long SECOND = 1_000_000_000L;

  @Test
  void aPrefixGetsItsRateAndEveryThirdPastItSlips() {
    ResponseLimit limit = new ResponseLimit(new Config(5, 3, 10));
    int[] count = new int[Finding.values().length];
    for (int i = 0; i < 14; i++) {
      count[limit.query(0, 1).ordinal()]++;
    }
    assertEquals(5, count[Finding.ANSWER.ordinal()]);
    assertEquals(3, count[Finding.SLIP.ordinal()]);
    assertEquals(6, count[Finding.DROP.ordinal()]);
    assertEquals(Finding.ANSWER, limit.query(0, 2), "another prefix has a rate of its own");
    assertEquals(Finding.ANSWER, limit.query(SECOND / 5, 1), "a fifth of a second brings one more");
    assertEquals(Finding.DROP, limit.query(SECOND / 5, 1));
  }

  @Test
  void overALongTimeNoPrefixGetsMoreThanItsRateAndWhatItSaved() {
    ResponseLimit limit = new ResponseLimit(new Config(100, 2, 10));
    int answered = 0;
    for (long now = 0; now < 10 * SECOND; now += SECOND / 1000) {
      answered += limit.query(now, 7) == Finding.ANSWER ? 1 : 0;
    }
    assertEquals(1100, answered, 2);
  }

  @Test
  void forgedPrefixesDoNotFillTheMemory() {
    ResponseLimit limit = new ResponseLimit(new Config(1, 0, 1000));
    for (int i = 0; i < 100_000; i++) {
      limit.query(i, i);
    }
    assertEquals(1000, limit.size());
  }

  /** More prefixes than are kept: none of them comes back to a second's worth. */
  @Test
  void aFullTableGivesNewcomersOneAnswer() {
    ResponseLimit limit = new ResponseLimit(new Config(100, 0, 10));
    for (int i = 0; i < 10; i++) {
      limit.query(0, i);
    }
    assertEquals(Finding.ANSWER, limit.query(0, 10));
    assertEquals(Finding.DROP, limit.query(0, 10));
  }

  @Test
  void noRateIsNoLimitAndSenselessBoundsAreRefused() {
    ResponseLimit limit = new ResponseLimit(new Config(0, 0, 1));
    for (int i = 0; i < 1000; i++) {
      assertEquals(Finding.ANSWER, limit.query(0, 1));
    }
    assertThrows(IllegalArgumentException.class, () -> new Config(-1, 0, 1));
    assertThrows(IllegalArgumentException.class, () -> new Config(1, 0, 0));
  }
}
