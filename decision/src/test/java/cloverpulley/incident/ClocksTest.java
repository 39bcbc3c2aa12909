package cloverpulley.incident;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cloverpulley.incident.Clocks.Correlation;
import cloverpulley.incident.Clocks.Offset;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.ojalgo.optimisation.ExpressionsBasedModel;
import org.ojalgo.optimisation.Optimisation;
import org.ojalgo.optimisation.Variable;

class ClocksTest {

  private static final long S = 1_000_000L;
  private static final long EPOCH = 1_764_580_000L * S;

  /** A simulated clock: its reading at a true time. */
  private interface SimulatedClock {
    long at(long trueTime);
  }

  /** Calls from "a", whose clock is true, to "b" with a round trip of up to 40 ms. */
  private static List<Correlation> calls(SplittableRandom random, SimulatedClock b, int count, long seconds) {
    List<Correlation> correlations = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      long sent = EPOCH + random.nextLong(seconds * S);
      long there = 100 + random.nextLong(20_000);
      long back = 100 + random.nextLong(20_000);
      long work = random.nextLong(5_000);
      correlations.add(new Correlation("a", sent, "b", b.at(sent + there), 0, there + back, "call " + i));
      assertTrue(work >= 0);
    }
    return correlations;
  }

  private static Map<String, long[]> spans(long seconds, String... names) {
    Map<String, long[]> spans = new TreeMap<>();
    for (String n : names) {
      spans.put(n, new long[] {EPOCH, EPOCH + seconds * S});
    }
    return spans;
  }

  @Test
  void boundsContainAnOffsetOf40SecondsWithADriftOf200Ppm() {
    SimulatedClock b = t -> t - 40 * S + (t - EPOCH) / 5000;
    Clocks c = new Clocks("a", spans(300, "a", "b"), calls(new SplittableRandom(1), b, 3000, 300));
    for (long t = EPOCH; t < EPOCH + 300 * S; t += 7 * S) {
      Offset o = c.offset("b", b.at(t));
      long truth = t - b.at(t);
      assertTrue(o.min() <= truth && truth <= o.max(), t + ": " + truth + " in " + o);
      assertTrue(o.width() < 50_000, "width " + o.width());
    }
    assertTrue(c.steps().isEmpty());
    assertTrue(c.rejected().isEmpty());
  }

  @Test
  void findsABackwardStepOf3SecondsAndBoundsBothSides() {
    long step = EPOCH + 151 * S;
    SimulatedClock b = t -> t + 40 * S - (t >= step ? 3 * S : 0);
    Clocks c = new Clocks("a", spans(300, "a", "b"), calls(new SplittableRandom(2), b, 3000, 300));
    assertFalse(c.steps().isEmpty());
    for (Clocks.Step s : c.steps()) {
      assertTrue(s.from() <= b.at(step - 1) && s.to() >= b.at(step) - Clocks.KNOT_INTERVAL, s.toString());
    }
    for (long t : new long[] {EPOCH + 20 * S, EPOCH + 100 * S, EPOCH + 200 * S, EPOCH + 280 * S}) {
      Offset o = c.offset("b", b.at(t));
      long truth = t - b.at(t);
      assertTrue(o.min() <= truth && truth <= o.max(), (t - EPOCH) / S + " s: " + truth + " in " + o);
    }
  }

  @Test
  void withoutCorrelationsOffsetsAndOrderAreUnknown() {
    Clocks c = new Clocks("a", spans(60, "a", "b"), List.of());
    assertFalse(c.offset("b", EPOCH).isKnown());
    assertEquals(0, c.order("a", EPOCH, "b", EPOCH + 50 * S));
    assertTrue(c.order("b", EPOCH, "b", EPOCH + 1) < 0, "readings of one clock are ordered");
    assertEquals(0, c.offset("a", EPOCH).midpoint());
    assertFalse(c.offset("unknown", EPOCH).isKnown());
  }

  @Test
  void ordersReadingsOnlyBeyondTheUncertainty() {
    Correlation t = new Correlation("a", EPOCH, "b", EPOCH + 10 * S, 0, 100_000, "x");
    Clocks c = new Clocks("a", spans(20, "a", "b"), List.of(t));
    assertTrue(c.order("a", EPOCH, "b", EPOCH + 11 * S) < 0);
    assertTrue(c.order("a", EPOCH + 2 * S, "b", EPOCH + 10 * S) > 0);
    assertEquals(0, c.order("a", EPOCH + 50_000, "b", EPOCH + 10 * S));
  }

  @Test
  void wrongCorrelationDoesNotChangeTheOffset() {
    List<Correlation> correlations = new ArrayList<>(calls(new SplittableRandom(3), t -> t + 5 * S, 500, 30));
    // A wrong correlation of two readings 20 s apart, with the loosest bounds of all.
    correlations.add(new Correlation("a", EPOCH + 15 * S, "b", EPOCH + 40 * S, -2 * S, 2 * S, "wrong"));
    Clocks c = new Clocks("a", spans(30, "a", "b"), correlations);
    Offset o = c.offset("b", EPOCH + 5 * S + 2 * S);
    assertTrue(o.isKnown() && Math.abs(o.midpoint() + 5 * S) < 50_000, o.toString());
  }

  /** Compares the bounds from shortest paths with a linear program, for random systems with one knot per instance, so without drift. */
  @Test
  void boundsEqualThoseOfTheLinearProgram() {
    SplittableRandom random = new SplittableRandom(20261201);
    for (int round = 0; round < 40; round++) {
      int n = 3 + random.nextInt(4);
      long[] truth = new long[n];
      for (int i = 1; i < n; i++) {
        truth[i] = random.nextLong(-30 * S, 30 * S);
      }
      List<Correlation> correlations = new ArrayList<>();
      long knot = EPOCH / Clocks.KNOT_INTERVAL * Clocks.KNOT_INTERVAL;
      for (int k = 0; k < 3 * n; k++) {
        int i = random.nextInt(n);
        int j = random.nextInt(n);
        if (i != j) {
          // Readings at the knots themselves, so that there is no drift.
          long at = knot + 100 * Clocks.KNOT_INTERVAL;
          long atB = knot + 100 * Clocks.KNOT_INTERVAL;
          long apart = atB + truth[j] - at - truth[i];
          correlations.add(new Correlation("i" + i, at, "i" + j, atB, apart - random.nextLong(S), apart + random.nextLong(S), "t" + k));
        }
      }
      Map<String, long[]> spans = new TreeMap<>();
      for (int i = 0; i < n; i++) {
        spans.put("i" + i, new long[] {knot + 100 * Clocks.KNOT_INTERVAL, knot + 100 * Clocks.KNOT_INTERVAL});
      }
      Clocks c = new Clocks("i0", spans, correlations);
      for (int i = 1; i < n; i++) {
        Offset o = c.offset("i" + i, knot + 100 * Clocks.KNOT_INTERVAL);
        if (o.isKnown()) {
          assertEquals(solve(n, correlations, i, true), o.max(), 20, "seed 20261201, round " + round);
          assertEquals(solve(n, correlations, i, false), o.min(), 20, "seed 20261201, round " + round);
        }
      }
    }
  }

  private static double solve(int n, List<Correlation> correlations, int which, boolean most) {
    ExpressionsBasedModel model = new ExpressionsBasedModel();
    Variable[] o = new Variable[n];
    for (int i = 0; i < n; i++) {
      o[i] = model.newVariable("o" + i).lower(-100 * S).upper(100 * S);
    }
    o[0].lower(0).upper(0);
    for (Correlation t : correlations) {
      int a = Integer.parseInt(t.a().substring(1));
      int b = Integer.parseInt(t.b().substring(1));
      model.newExpression(t.description()).set(o[b], 1).set(o[a], -1).lower(t.minDelta() - (t.atB() - t.atA()))
          .upper(t.maxDelta() - (t.atB() - t.atA()));
    }
    o[which].weight(1);
    Optimisation.Result r = most ? model.maximise() : model.minimise();
    return r.doubleValue(which);
  }
}
