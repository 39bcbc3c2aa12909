package cloverpulley.bench;

import cloverpulley.membership.TimingWheel;
import java.util.Arrays;
import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.LongSupplier;

/** Compares the timing wheel for refreshes with a priority queue: as many timers as a fleet has records, each rescheduled when it fires. */
final class TimersBench {

  private static final int TICKS = 20_000;
  private static final long TICK_LENGTH = 10;
  private static final int ROUNDS = 7;

  private record Timer(long at, int id) {}

  private TimersBench() {}

  /** Returns the ratio of the queue's time to the wheel's, the median of alternating rounds. */
  static double ratio(int timers) {
    double[] ratios = new double[ROUNDS];
    long totalFired = 0;
    for (int i = 0; i < ROUNDS; i++) {
      int seed = i;
      long[] fired = new long[2];
      double queue = timed(() -> fired[0] = queue(timers, seed));
      double wheel = timed(() -> fired[1] = wheel(timers, seed));
      if (fired[0] != fired[1]) {
        throw new IllegalStateException("the queue fired " + fired[0] + " timers, the wheel " + fired[1]);
      }
      totalFired += fired[0];
      ratios[i] = queue / wheel;
    }
    Arrays.sort(ratios);
    System.out.printf("timers: %d scheduled, %d fired, queue over wheel %.2f (%.2f to %.2f)%n", timers, totalFired, ratios[ROUNDS / 2],
        ratios[0], ratios[ROUNDS - 1]);
    return ratios[ROUNDS / 2];
  }

  private static double timed(LongSupplier work) {
    long start = System.nanoTime();
    work.getAsLong();
    return System.nanoTime() - start;
  }

  private static long nextDue(SplittableRandom random, long now) {
    return now - now % TICK_LENGTH + TICK_LENGTH * (100 + random.nextInt(10_000));
  }

  private static long queue(int timers, int seed) {
    SplittableRandom random = new SplittableRandom(seed);
    PriorityQueue<Timer> queue = new PriorityQueue<>(Comparator.comparingLong(Timer::at));
    for (int i = 0; i < timers; i++) {
      queue.add(new Timer(nextDue(random, 0), i));
    }
    long fired = 0;
    for (long tick = 1; tick <= TICKS; tick++) {
      while (!queue.isEmpty() && queue.peek().at <= tick * TICK_LENGTH) {
        Timer timer = queue.poll();
        fired++;
        queue.add(new Timer(nextDue(random, tick * TICK_LENGTH), timer.id));
      }
    }
    return fired;
  }

  private static long wheel(int timers, int seed) {
    SplittableRandom random = new SplittableRandom(seed);
    TimingWheel<Timer> wheel = new TimingWheel<>(0, TICK_LENGTH);
    for (int i = 0; i < timers; i++) {
      Timer timer = new Timer(nextDue(random, 0), i);
      wheel.schedule(timer.at, timer);
    }
    long[] fired = new long[1];
    for (long tick = 1; tick <= TICKS; tick++) {
      long now = tick * TICK_LENGTH;
      wheel.advance(now, timer -> {
        fired[0]++;
        Timer next = new Timer(nextDue(random, now), timer.id);
        wheel.schedule(next.at, next);
      });
    }
    return fired[0];
  }
}
