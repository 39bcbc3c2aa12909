package cloverpulley.agree;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cloverpulley.outs.ResultCode;
import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/** Real Raft and the real ledger under seeded faults: the limit is never exceeded, and all requests are settled once the faults have ended. */
class HistoriesTest {

  /** For a larger run: -Dhistory.count=100000 -Dhistory.first=1. */
  private static final long COUNT = Long.getLong("history.count", 400);
  private static final long FIRST = Long.getLong("history.first", 1);
  private static final int MAX_OUT = 2;

  @Test
  void theLimitHoldsAndAllRequestsAreSettled() {
    List<Histories.Result> all = LongStream.range(FIRST, FIRST + COUNT).parallel().mapToObj(seed -> Histories.run(seed, false)).toList();
    System.out.printf("%d histories: %d granted, %d refused, %d unknown, %d faults%n", all.size(), all.stream().mapToInt(Histories.Result::granted).sum(),
        all.stream().mapToInt(Histories.Result::refused).sum(), all.stream().mapToInt(Histories.Result::unknown).sum(),
        all.stream().mapToInt(Histories.Result::faults).sum());
    assertEquals(List.of(),
        all.stream().filter(r -> !r.violation().isEmpty()).map(r -> "seed " + r.seed() + ": " + r.violation()).limit(10).toList());
    assertEquals(0, all.stream().mapToInt(Histories.Result::behind).sum(), "voters that did not catch up");
    assertTrue(all.stream().mapToInt(Histories.Result::granted).sum() > 5 * COUNT, "there is progress");
    assertEquals(List.of(), all.stream().filter(r -> !Linearizable.check(r.ops(), MAX_OUT))
        .map(r -> "seed " + r.seed() + " is not linearizable").limit(10).toList());
  }

  /**
   * Seeds that failed among 100,000 histories: a late return or health report ended a later permit and the limit was exceeded, and two
   * histories were never settled.
   */
  @Test
  void seedsThatFailedBefore() {
    for (long seed : new long[] {1008302, 1031876, 1034530, 1041535, 1058701, 1065352, 1072095, 1040910}) {
      Histories.Result r = Histories.run(seed, false);
      assertEquals("", r.violation(), "seed " + seed);
      assertTrue(Linearizable.check(r.ops(), MAX_OUT), "seed " + seed + " is linearizable");
    }
  }

  /** The first leader crashes just after its election, while its followers may still be collecting pre-votes; another must be elected. */
  @Test
  void aLeaderThatCrashesAfterItsElectionIsReplaced() {
    assertEquals(List.of(), LongStream.rangeClosed(1, 2000).parallel().filter(seed -> !Histories.hasSuccessor(seed)).boxed().limit(10).toList());
  }

  @Test
  void theSameSeedGivesTheSameHistory() {
    assertEquals(Histories.run(7, false), Histories.run(7, false));
  }

  /** Leaders that grant by their local state, also partitioned former leaders: both checks must find that. */
  @Test
  void aDeliberateDefectIsFound() {
    List<Histories.Result> all = LongStream.range(1, 60).parallel().mapToObj(seed -> Histories.run(seed, true)).toList();
    assertTrue(all.stream().anyMatch(r -> r.violation().contains("out are")), "by the independent count");
    assertTrue(all.stream().anyMatch(r -> !Linearizable.check(r.ops(), MAX_OUT)), "by the linearizability check");
  }

  @Test
  void theCheckerRejectsImpossibleHistories() {
    Histories.Op first = new Histories.Op(0, "a", true, 0, 1, ResultCode.GRANTED);
    Histories.Op second = new Histories.Op(1, "b", true, 2, 3, ResultCode.GRANTED);
    assertTrue(Linearizable.check(List.of(first, second), 2));
    assertFalse(Linearizable.check(List.of(first, second), 1));
    assertTrue(Linearizable.check(List.of(first, second, new Histories.Op(0, "a", false, 1, 9, ResultCode.DONE)), 1), "possibly released in between");
    assertFalse(Linearizable.check(List.of(first, second, new Histories.Op(0, "a", false, 4, 9, ResultCode.DONE)), 1), "released too late");
    assertFalse(Linearizable.check(List.of(first, new Histories.Op(1, "b", true, 2, 3, ResultCode.LIMIT)), 2), "rejected although a slot was free");
  }
}
