package cloverpulley.bench;

import cloverpulley.membership.TimingWheel;
import java.util.Arrays;
import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.LongSupplier;

/** The wheel of refreshes against a priority queue: things that come due and are put again, as many as a fleet's records. */
final class TimersBench {

  private static final int TURNS = 20_000;
  private static final long TICK = 10;
  private static final int ROUNDS = 7;

  private record Due(long at, int thing) {}

  private TimersBench() {}

  /** The queue's time over the wheel's, the median of some rounds by turns. */
  static double ratio(int things) {
    double[] ratios = new double[ROUNDS];
    long check = 0;
    for (int i = 0; i < ROUNDS; i++) {
      int seed = i;
      long[] handed = new long[2];
      double queue = timed(() -> handed[0] = queue(things, seed));
      double wheel = timed(() -> handed[1] = wheel(things, seed));
      if (handed[0] != handed[1]) {
        throw new IllegalStateException("the queue handed out " + handed[0] + ", the wheel " + handed[1]);
      }
      check += handed[0];
      ratios[i] = queue / wheel;
    }
    Arrays.sort(ratios);
    System.out.printf("timers: %d things, %d came due, queue over wheel %.2f (%.2f to %.2f)%n", things, check, ratios[ROUNDS / 2],
        ratios[0], ratios[ROUNDS - 1]);
    return ratios[ROUNDS / 2];
  }

  private static double timed(LongSupplier work) {
    long start = System.nanoTime();
    work.getAsLong();
    return System.nanoTime() - start;
  }

  private static long after(SplittableRandom random, long now) {
    return now - now % TICK + TICK * (100 + random.nextInt(10_000));
  }

  private static long queue(int things, int seed) {
    SplittableRandom random = new SplittableRandom(seed);
    PriorityQueue<Due> queue = new PriorityQueue<>(Comparator.comparingLong(Due::at));
    for (int i = 0; i < things; i++) {
      queue.add(new Due(after(random, 0), i));
    }
    long handed = 0;
    for (long turn = 1; turn <= TURNS; turn++) {
      while (!queue.isEmpty() && queue.peek().at <= turn * TICK) {
        Due due = queue.poll();
        handed++;
        queue.add(new Due(after(random, turn * TICK), due.thing));
      }
    }
    return handed;
  }

  private static long wheel(int things, int seed) {
    SplittableRandom random = new SplittableRandom(seed);
    TimingWheel<Due> wheel = new TimingWheel<>(0, TICK);
    for (int i = 0; i < things; i++) {
      Due due = new Due(after(random, 0), i);
      wheel.schedule(due.at, due);
    }
    long[] handed = new long[1];
    for (long turn = 1; turn <= TURNS; turn++) {
      long now = turn * TICK;
      wheel.advance(now, due -> {
        handed[0]++;
        Due next = new Due(after(random, now), due.thing);
        wheel.schedule(next.at, next);
      });
    }
    return handed[0];
  }
}
