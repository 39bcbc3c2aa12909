package cloverpulley.incident;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class ChangePointAnalysisTest {

  private static final long S = 1_000_000L;
  private static final Origin ORIGIN = new Origin("p", 0);

  private static ChangePointAnalysis analysis(SplittableRandom random, int seconds, int rise, double before, double after, int... drains) {
    ChangePointAnalysis c = new ChangePointAnalysis();
    for (int s = 0; s < seconds; s++) {
      for (int i = 0; i < 100; i++) {
        boolean bad = random.nextDouble() < (rise >= 0 && s >= rise && s < rise + 30 ? after : before);
        c.add(Entry.of(ORIGIN, 1, s * S, Kind.ANSWERED).withDetails("x", 0, bad ? Entry.REFUSED : Entry.SERVED), s * S + i * 10_000L);
      }
    }
    for (int d : drains) {
      c.add(Entry.of(ORIGIN, 1, d * S, Kind.SERVER).withServer(d, "s" + d).withDetails("draining", 1, 0), d * S);
    }
    return c;
  }

  @Test
  void findsARiseAndTheChangeThatPrecededIt() {
    ChangePointAnalysis c = analysis(new SplittableRandom(1), 300, 120, 0.01, 0.2, 117);
    assertEquals(1, c.rises().size(), c.rises().toString());
    ChangePointAnalysis.Rise r = c.rises().get(0);
    assertTrue(Math.abs(r.at() - 120 * S) <= S, r.toString());
    assertTrue(r.pValue() < 1e-9 && r.ratioAfter() > 0.15, r.toString());
    assertEquals("s117 is draining", c.candidateCauses().get(0).description());
    assertTrue(c.candidateCauses().get(0).pValue() < 0.05, c.candidateCauses().toString());
  }

  @Test
  void ignoresChangesAfterOrLongBeforeTheRise() {
    ChangePointAnalysis c = analysis(new SplittableRandom(2), 300, 120, 0.01, 0.2, 20, 130, 200);
    assertEquals(0, c.candidateCauses().size(), c.candidateCauses().toString());
  }

  /** A frequent kind of change precedes any rise by chance, and gets a high p-value. */
  @Test
  void frequentChangesHaveAHighPValue() {
    int[] frequent = new int[50];
    for (int i = 0; i < frequent.length; i++) {
      frequent[i] = 6 * i;
    }
    ChangePointAnalysis c = analysis(new SplittableRandom(3), 300, 120, 0.01, 0.2, frequent);
    assertTrue(c.candidateCauses().stream().allMatch(x -> x.pValue() > 0.2), c.candidateCauses().toString());
  }

  @Test
  void findsNoRiseInConstantErrorRatios() {
    int found = 0;
    for (int seed = 0; seed < 100; seed++) {
      found += analysis(new SplittableRandom(seed), 300, -1, 0.05, 0.05).rises().size();
    }
    assertTrue(found <= 5, "rises in 100 timelines without any: " + found);
  }

  @Test
  void emptyTimelineHasNoRise() {
    assertEquals(0, new ChangePointAnalysis().rises().size());
    assertEquals(0, new ChangePointAnalysis().candidateCauses().size());
  }
}
