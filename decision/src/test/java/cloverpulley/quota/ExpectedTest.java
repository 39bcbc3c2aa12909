package cloverpulley.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** What is expected of an answer that nobody has seen yet. */
class ExpectedTest {

  @Test
  void aKindIsExpectedToBeAsItsLikesWere() {
    Expected e = new Expected(10, 1e6);
    assertEquals(0, e.of("a"));
    e.seen("a", 1000);
    assertEquals(1000, e.of("a"));
    e.seen("a", 3000);
    e.seen("b", 500);
    assertEquals(2000, e.of("a"), 1e-9);
    assertEquals(500, e.of("b"), 1e-9);
    assertEquals(0, e.of("never seen"));
  }

  @Test
  void oneLargeAnswerMovesItByASixteenth() {
    Expected e = new Expected(10, 1e6);
    for (int i = 0; i < 100; i++) {
      e.seen("a", 100);
    }
    e.seen("a", 1_700);
    assertEquals(200, e.of("a"), 1e-9);
  }

  @Test
  void kindsAreBoundedAndTheOneUnusedLongestGoes() {
    Expected e = new Expected(3, 1e6);
    for (int i = 0; i < 3; i++) {
      e.seen("k" + i, 100 * i);
    }
    e.seen("k0", 70);
    e.seen("k3", 900);
    assertEquals(3, e.kept());
    assertEquals(35, e.of("k0"), "used since");
    assertEquals(0, e.of("k1"), "gone");
  }

  /** A first answer that lies is forgotten within some true ones, instead of keeping its kind away. */
  @Test
  void aLieCountsForTheBoundAtMost() {
    Expected e = new Expected(10, 1000);
    e.seen("a", 1e18);
    assertEquals(1000, e.of("a"));
    for (int i = 0; i < 9; i++) {
      e.seen("a", 10);
    }
    assertTrue(e.of("a") < 110, "" + e.of("a"));
  }

  @ParameterizedTest
  @ValueSource(doubles = {-1, Double.NaN, Double.POSITIVE_INFINITY})
  void whatIsNoCountIsRefused(double octets) {
    assertThrows(IllegalArgumentException.class, () -> new Expected(1, 1).seen("a", octets));
    assertThrows(IllegalArgumentException.class, () -> new Expected(0, 1));
  }
}
