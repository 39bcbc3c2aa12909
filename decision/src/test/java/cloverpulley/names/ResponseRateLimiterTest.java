package cloverpulley.names;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import cloverpulley.names.ResponseRateLimiter.Action;
import cloverpulley.names.ResponseRateLimiter.Config;
import org.junit.jupiter.api.Test;

class ResponseRateLimiterTest {

  private static final long SECOND = 1_000_000_000L;

  @Test
  void prefixGetsItsRateAndEveryThirdQueryPastItSlips() {
    ResponseRateLimiter limiter = new ResponseRateLimiter(new Config(5, 3, 10));
    int[] count = new int[Action.values().length];
    for (int i = 0; i < 14; i++) {
      count[limiter.onQuery(0, 1).ordinal()]++;
    }
    assertEquals(5, count[Action.ANSWER.ordinal()]);
    assertEquals(3, count[Action.SLIP.ordinal()]);
    assertEquals(6, count[Action.DROP.ordinal()]);
    assertEquals(Action.ANSWER, limiter.onQuery(0, 2), "each prefix has its own rate");
    assertEquals(Action.ANSWER, limiter.onQuery(SECOND / 5, 1), "a fifth of a second adds one token");
    assertEquals(Action.DROP, limiter.onQuery(SECOND / 5, 1));
  }

  @Test
  void longTermRateIsTheLimitPlusOneBurst() {
    ResponseRateLimiter limiter = new ResponseRateLimiter(new Config(100, 2, 10));
    int answered = 0;
    for (long now = 0; now < 10 * SECOND; now += SECOND / 1000) {
      answered += limiter.onQuery(now, 7) == Action.ANSWER ? 1 : 0;
    }
    assertEquals(1100, answered, 2);
  }

  @Test
  void forgedPrefixesDoNotExhaustMemory() {
    ResponseRateLimiter limiter = new ResponseRateLimiter(new Config(1, 0, 1000));
    for (int i = 0; i < 100_000; i++) {
      limiter.onQuery(i, i);
    }
    assertEquals(1000, limiter.size());
  }

  /** With more prefixes than the table holds, an evicted one must not return to a full burst. */
  @Test
  void newPrefixInAFullTableGetsOneAnswer() {
    ResponseRateLimiter limiter = new ResponseRateLimiter(new Config(100, 0, 10));
    for (int i = 0; i < 10; i++) {
      limiter.onQuery(0, i);
    }
    assertEquals(Action.ANSWER, limiter.onQuery(0, 10));
    assertEquals(Action.DROP, limiter.onQuery(0, 10));
  }

  @Test
  void zeroRateIsUnlimitedAndInvalidLimitsAreRejected() {
    ResponseRateLimiter limiter = new ResponseRateLimiter(new Config(0, 0, 1));
    for (int i = 0; i < 1000; i++) {
      assertEquals(Action.ANSWER, limiter.onQuery(0, 1));
    }
    assertThrows(IllegalArgumentException.class, () -> new Config(-1, 0, 1));
    assertThrows(IllegalArgumentException.class, () -> new Config(1, 0, 0));
  }
}
