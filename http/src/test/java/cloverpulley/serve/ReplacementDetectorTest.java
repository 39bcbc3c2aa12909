package cloverpulley.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Which processes may have been replaced, on a virtual clock. */
class ReplacementDetectorTest {

  private static final long MS = TimeUnit.MILLISECONDS.toNanos(1);

  private final ReplacementDetector detector = new ReplacementDetector();

  @Test
  void connectionEstablishedBeforeTheLastEndOfTheOldOnesIsSeenIsToAReplacement() {
    detector.opened(1, 0);
    detector.opened(1, 10 * MS);
    detector.closed(1, 0, true, 500 * MS);
    assertFalse(detector.mayBeReplaced(1, 500 * MS), "the other connection is still open");
    detector.opened(1, 501 * MS);
    detector.closed(1, 10 * MS, true, 502 * MS);
    assertTrue(detector.mayBeReplaced(1, 502 * MS));
  }

  @Test
  void upstreamThatEndsOneOfItsConnectionsIsNotReplaced() {
    detector.opened(1, 0);
    detector.opened(1, 10 * MS);
    detector.opened(1, 20 * MS);
    detector.closed(1, 0, true, 5000 * MS);
    detector.closed(1, 20 * MS, false, 5001 * MS);
    assertFalse(detector.mayBeReplaced(1, 5001 * MS));
    detector.closed(1, 10 * MS, false, 5002 * MS);
    assertFalse(detector.mayBeReplaced(1, 5002 * MS), "this side has closed the last one");
  }

  @Test
  void upstreamsThatHaveEndedAreForgotten() {
    for (long upstream = 0; upstream < 1000; upstream++) {
      detector.opened(upstream, 0);
      detector.closed(upstream, 0, true, 200 * MS);
      detector.refused(upstream, 300 * MS);
    }
    detector.removeExpired(6200 * MS);
    assertEquals(1000, detector.size());
    detector.removeExpired(6301 * MS);
    assertEquals(0, detector.size());
  }
}
