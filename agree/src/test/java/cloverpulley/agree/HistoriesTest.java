package cloverpulley.agree;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cloverpulley.outs.ResultCode;
import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/** Real Raft and the real ledger under seeded faults: never more out than may be, and all comes to rest once the faults have ended. */
class HistoriesTest {

  /** More by hand: -Dhistory.count=100000 -Dhistory.first=1. */
  private static final long COUNT = Long.getLong("history.count", 400);
  private static final long FIRST = Long.getLong("history.first", 1);
  private static final int MOST = 2;

  @Test
  void noMoreAreOutThanMayBeAndAllComesToRest() {
    List<Histories.Result> all = LongStream.range(FIRST, FIRST + COUNT).parallel().mapToObj(seed -> Histories.run(seed, false)).toList();
    System.out.printf("%d histories: %d granted, %d refused, %d unknown, %d faults%n", all.size(), all.stream().mapToInt(Histories.Result::granted).sum(),
        all.stream().mapToInt(Histories.Result::refused).sum(), all.stream().mapToInt(Histories.Result::unknown).sum(),
        all.stream().mapToInt(Histories.Result::faults).sum());
    assertEquals(List.of(), all.stream().filter(r -> !r.broken().isEmpty()).map(r -> "seed " + r.seed() + ": " + r.broken()).limit(10).toList());
    assertEquals(0, all.stream().mapToInt(Histories.Result::behind).sum(), "voters that did not catch up");
    assertTrue(all.stream().mapToInt(Histories.Result::granted).sum() > 5 * COUNT, "there is progress");
    assertEquals(List.of(), all.stream().filter(r -> !Linearizable.check(r.ops(), MOST)).map(r -> "seed " + r.seed() + " has no order").limit(10).toList());
  }

  /** Of 100,000 histories these had more out than may be, by a return or a word that came late; two came to no rest. */
  @Test
  void seedsThatBrokeOnce() {
    for (long seed : new long[] {1008302, 1031876, 1034530, 1041535, 1058701, 1065352, 1072095, 1040910}) {
      Histories.Result r = Histories.run(seed, false);
      assertEquals("", r.broken(), "seed " + seed);
      assertTrue(Linearizable.check(r.ops(), MOST), "seed " + seed + " has an order");
    }
  }

  /** A leader that dies just after its election, whatever its followers were in the middle of. */
  @Test
  void theFirstLeaderHasASuccessor() {
    assertEquals(List.of(), LongStream.rangeClosed(1, 2000).parallel().filter(seed -> !Histories.hasSuccessor(seed)).boxed().limit(10).toList());
  }

  @Test
  void theSameSeedIsTheSameHistory() {
    assertEquals(Histories.run(7, false), Histories.run(7, false));
  }

  /** Leaders that grant by what they hold themselves, old ones in their half among them: both checks find it. */
  @Test
  void aDefectPutInOnPurposeIsFound() {
    List<Histories.Result> all = LongStream.range(1, 60).parallel().mapToObj(seed -> Histories.run(seed, true)).toList();
    assertTrue(all.stream().anyMatch(r -> r.broken().contains("out are")), "by who counts outside");
    assertTrue(all.stream().anyMatch(r -> !Linearizable.check(r.ops(), MOST)), "by the order of what was told");
  }

  @Test
  void theCheckerKnowsWhatCantBe() {
    Histories.Op first = new Histories.Op(0, "a", true, 0, 1, ResultCode.GRANTED);
    Histories.Op second = new Histories.Op(1, "b", true, 2, 3, ResultCode.GRANTED);
    assertTrue(Linearizable.check(List.of(first, second), 2));
    assertFalse(Linearizable.check(List.of(first, second), 1));
    assertTrue(Linearizable.check(List.of(first, second, new Histories.Op(0, "a", false, 1, 9, ResultCode.DONE)), 1), "released in between, perhaps");
    assertFalse(Linearizable.check(List.of(first, second, new Histories.Op(0, "a", false, 4, 9, ResultCode.DONE)), 1), "released too late");
    assertFalse(Linearizable.check(List.of(first, new Histories.Op(1, "b", true, 2, 3, ResultCode.LIMIT)), 2), "refused with a place free");
  }
}
