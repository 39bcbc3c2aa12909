package cloverpulley.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Estimates of response sizes. */
class SizeEstimatorTest {

  @Test
  void estimateIsTheMeanOfItsKind() {
    SizeEstimator e = new SizeEstimator(10, 1e6);
    assertEquals(0, e.estimate("a"));
    e.record("a", 1000);
    assertEquals(1000, e.estimate("a"));
    e.record("a", 3000);
    e.record("b", 500);
    assertEquals(2000, e.estimate("a"), 1e-9);
    assertEquals(500, e.estimate("b"), 1e-9);
    assertEquals(0, e.estimate("never seen"));
  }

  @Test
  void oneLargeResponseMovesTheMeanByASixteenth() {
    SizeEstimator e = new SizeEstimator(10, 1e6);
    for (int i = 0; i < 100; i++) {
      e.record("a", 100);
    }
    e.record("a", 1_700);
    assertEquals(200, e.estimate("a"), 1e-9);
  }

  @Test
  void leastRecentlyUsedKindIsEvicted() {
    SizeEstimator e = new SizeEstimator(3, 1e6);
    for (int i = 0; i < 3; i++) {
      e.record("k" + i, 100 * i);
    }
    e.record("k0", 70);
    e.record("k3", 900);
    assertEquals(3, e.kindCount());
    assertEquals(35, e.estimate("k0"), "recently used");
    assertEquals(0, e.estimate("k1"), "evicted");
  }

  /** A wrong first length is corrected by a few responses instead of rejecting its kind for good. */
  @Test
  void samplesAreBounded() {
    SizeEstimator e = new SizeEstimator(10, 1000);
    e.record("a", 1e18);
    assertEquals(1000, e.estimate("a"));
    for (int i = 0; i < 9; i++) {
      e.record("a", 10);
    }
    assertTrue(e.estimate("a") < 110, "" + e.estimate("a"));
  }

  @ParameterizedTest
  @ValueSource(doubles = {-1, Double.NaN, Double.POSITIVE_INFINITY})
  void invalidArgumentsAreRejected(double bytes) {
    assertThrows(IllegalArgumentException.class, () -> new SizeEstimator(1, 1).record("a", bytes));
    assertThrows(IllegalArgumentException.class, () -> new SizeEstimator(0, 1));
  }
}
