package cloverpulley.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/** The timing wheel against a sorted map as reference, and the times of refreshes and retries. */
class RefreshSchedulerTest {

  @Test
  void wheelFiresTheSameTimersAsASortedMap() {
    for (long seed = 1; seed <= 200; seed++) {
      SplittableRandom random = new SplittableRandom(seed);
      long now = random.nextLong(1L << 41);
      TimingWheel<Integer> wheel = new TimingWheel<>(now, 10);
      TreeMap<Long, List<Integer>> sorted = new TreeMap<>();
      int timers = 0;
      for (int step = 0; step < 200; step++) {
        for (int n = random.nextInt(5); n > 0; n--) {
          long at = now + (long) Math.pow(10, random.nextDouble() * 7) - random.nextInt(20);
          long tick = Math.max(now / 10 + 1, (at + 9) / 10);
          sorted.computeIfAbsent(tick, t -> new ArrayList<>()).add(timers);
          wheel.schedule(at, timers++);
        }
        now += (long) Math.pow(10, random.nextDouble() * 6);
        List<Integer> due = new ArrayList<>();
        wheel.advance(now, due::add);
        List<Integer> expected = new ArrayList<>();
        sorted.headMap(now / 10, true).values().forEach(expected::addAll);
        sorted.headMap(now / 10, true).clear();
        due.sort(null);
        expected.sort(null);
        assertEquals(expected, due, "seed " + seed + " step " + step);
        assertEquals(sorted.values().stream().mapToInt(List::size).sum(), wheel.size());
      }
    }
  }

  private static List<Long> queryTimes(RefreshScheduler<String> r, long from, long until, boolean fail, long ttl) {
    List<Long> at = new ArrayList<>();
    for (long now = from; now <= until; now += 10) {
      long present = now;
      r.forEachDue(now, k -> {
        at.add(present - from);
        if (fail) {
          r.failed(present, k);
        } else {
          r.answered(present, k, ttl);
        }
      });
    }
    return at;
  }

  @Test
  void refreshesAtEightyPercentOfTheTtl() {
    RefreshScheduler<String> r = new RefreshScheduler<>(0, 1000, 100_000, 500, 60_000, 7);
    r.addIfAbsent(0, "a");
    List<Long> at = queryTimes(r, 0, 350_000, false, 100_000);
    assertEquals(5, at.size(), at.toString());
    for (int i = 2; i < 5; i++) {
      long gap = at.get(i) - at.get(i - 1);
      assertTrue(gap >= 80_000 && gap <= 82_100, at.toString());
    }
  }

  @Test
  void failuresAreRetriedAtEachTtlFractionThenWithBackOff() {
    RefreshScheduler<String> r = new RefreshScheduler<>(0, 1000, 100_000, 500, 8_000, 7);
    r.addIfAbsent(0, "a");
    r.forEachDue(10, k -> r.answered(0, k, 100_000));
    List<Long> at = queryTimes(r, 0, 160_000, true, 0);
    assertTrue(at.get(0) >= 80_000 && at.get(1) >= 85_000 && at.get(2) >= 90_000 && at.get(3) >= 95_000, at.toString());
    for (int i = 10; i < at.size(); i++) {
      assertTrue(at.get(i) - at.get(i - 1) >= 4000 && at.get(i) - at.get(i - 1) <= 8020, at.toString());
    }
  }

  @Test
  void ttlsAreClampedToTheirBounds() {
    RefreshScheduler<String> r = new RefreshScheduler<>(0, 5000, 10_000, 500, 8_000, 7);
    r.addIfAbsent(0, "a");
    assertTrue(queryTimes(r, 0, 100_000, false, 0).size() <= 26);
    assertTrue(queryTimes(r, 100_000, 200_000, false, Long.MAX_VALUE).size() >= 12);
  }

  @Test
  void cancelledKeysAreNotQueriedAndRefreshNowQueriesOnce() {
    RefreshScheduler<String> r = new RefreshScheduler<>(0, 1000, 100_000, 500, 8_000, 7);
    r.addIfAbsent(0, "a");
    r.addIfAbsent(0, "b");
    List<String> queried = new ArrayList<>();
    r.forEachDue(10, queried::add);
    r.refreshNow(10, "a");
    r.forEachDue(20, queried::add);
    assertEquals(2, queried.size(), "a query is in flight already");
    r.answered(30, "a", 50_000);
    r.answered(30, "b", 50_000);
    r.cancel("b");
    r.refreshNow(40, "a");
    r.forEachDue(60, queried::add);
    r.forEachDue(60_000, queried::add);
    assertEquals(List.of("a", "a", "b"), queried.stream().sorted().toList());
    assertEquals(1, r.size());
  }
}
