package cloverpulley.repeats;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cloverpulley.Balancer.Effect;
import cloverpulley.Balancer.PriorAttempt;
import cloverpulley.Balancer.Status;
import cloverpulley.repeats.AttemptTracker.Config;
import cloverpulley.repeats.AttemptTracker.FirstCall;
import cloverpulley.repeats.AttemptTracker.InProgress;
import cloverpulley.repeats.AttemptTracker.Result;
import cloverpulley.repeats.AttemptTracker.Retry;
import cloverpulley.repeats.AttemptTracker.TableFull;
import cloverpulley.repeats.AttemptTracker.UnknownHistory;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

class AttemptTrackerTest {

  private static final long RETENTION = 1000;
  private final AttemptTracker tracker = new AttemptTracker(new Config(4, RETENTION));

  private Result call(long now, String id, Effect effect, int count) {
    return tracker.onCall(now, id, "c", effect, count);
  }

  @ParameterizedTest
  @EnumSource(Effect.class)
  void aRetryGetsThePriorAttempts(Effect effect) {
    assertInstanceOf(FirstCall.class, call(0, "a", effect, 1));
    tracker.onSent(1, "a", 7, "z", 3);
    assertEquals(new Retry(List.of(new PriorAttempt(7, "z", 3, 1, true))), call(2, "a", effect, 2), "still in flight: it may run");
    tracker.onSent(3, "a", 8, "z", 3);
    tracker.onAttemptEnded(4, "a", 7, Status.FULL);
    assertEquals(new Retry(List.of(new PriorAttempt(7, "z", 3, 1, false), new PriorAttempt(8, "z", 3, 3, true))),
        call(5, "a", effect, 3));
  }

  @Test
  void attemptsMadeElsewhereForbidARetry() {
    assertInstanceOf(UnknownHistory.class, call(0, "a", Effect.UNSAFE, 2));
    assertInstanceOf(UnknownHistory.class, call(0, "b", Effect.KEYED, 2));
    assertInstanceOf(FirstCall.class, call(0, "c", Effect.SAFE, 2));
    assertInstanceOf(FirstCall.class, call(1, "d", Effect.KEYED, 1));
    tracker.onSent(1, "d", 7, "z", 3);
    tracker.onAttemptEnded(2, "d", 7, Status.CONNECT_FAILED);
    assertInstanceOf(UnknownHistory.class, call(3, "d", Effect.KEYED, 3), "the second attempt went through another process");
    assertInstanceOf(UnknownHistory.class, call(4, "d", Effect.KEYED, 4), "the history stays incomplete");
  }

  @Test
  void onlyOneUndecidedCallPerRequest() {
    call(0, "a", Effect.SAFE, 0);
    assertInstanceOf(InProgress.class, call(1, "a", Effect.SAFE, 0));
    tracker.onNotSent(2, "a");
    assertInstanceOf(FirstCall.class, call(3, "a", Effect.SAFE, 0));
    tracker.onNotSent(3, "a");
    assertInstanceOf(InProgress.class, tracker.onCall(4, "a", "other", Effect.SAFE, 0), "another class under the same id");
  }

  @Test
  void aFullTableEvictsOnlySafeRequests() {
    call(0, "s", Effect.SAFE, 0);
    for (String id : List.of("a", "b", "c")) {
      call(1, id, Effect.UNSAFE, 0);
      tracker.onSent(1, id, 7, "z", 3);
    }
    assertInstanceOf(FirstCall.class, call(2, "d", Effect.KEYED, 0), "replaces the safe record");
    assertInstanceOf(TableFull.class, call(3, "e", Effect.UNSAFE, 0));
    assertInstanceOf(TableFull.class, call(3, "f", Effect.SAFE, 0));
    assertInstanceOf(Retry.class, call(3, "a", Effect.UNSAFE, 0), "kept");
    assertEquals(4, tracker.size());
    assertInstanceOf(FirstCall.class, call(1 + RETENTION, "e", Effect.UNSAFE, 0), "the first records have expired");
  }

  /** Most requests are safe and served at once; keeping their records would fill the table for nothing. */
  @Test
  void theRecordOfAServedSafeRequestIsRemoved() {
    call(0, "s", Effect.SAFE, 1);
    tracker.onSent(0, "s", 7, "z", 3);
    tracker.onAttemptEnded(1, "s", 7, Status.SERVED);
    assertEquals(0, tracker.size());
    call(2, "k", Effect.KEYED, 1);
    tracker.onSent(2, "k", 7, "z", 3);
    tracker.onAttemptEnded(3, "k", 7, Status.SERVED);
    assertInstanceOf(Retry.class, call(4, "k", Effect.KEYED, 2), "its effect has taken place");
  }

  @Test
  void attemptsPerRequestAreBounded() {
    for (int i = 0; i < AttemptTracker.MAX_ATTEMPTS; i++) {
      assertTrue(!(call(i, "a", Effect.KEYED, 0) instanceof UnknownHistory));
      tracker.onSent(i, "a", i, "z", 3);
    }
    assertInstanceOf(UnknownHistory.class, call(90, "a", Effect.KEYED, 0));
  }

  /** Compares with an unbounded model: an attempt that may have run is never forgotten, and its retry is never taken for a first call. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void neverForgetsAttemptsThatMayHaveRun(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    Map<String, Integer> mayHaveRun = new HashMap<>();
    Map<String, Long> lastUsed = new HashMap<>();
    long now = 0;
    for (int step = 0; step < 20_000; step++) {
      now += random.nextInt(40);
      String id = "i" + random.nextInt(12);
      boolean live = lastUsed.containsKey(id) && now - lastUsed.get(id) < RETENTION;
      Result result = call(now, id, Effect.UNSAFE, 0);
      String what = "seed " + seed + " step " + step + " " + id + " " + result;
      if (live && mayHaveRun.getOrDefault(id, 0) > 0) {
        assertTrue(result instanceof UnknownHistory || result instanceof Retry retry
            && retry.priorAttempts().stream().filter(PriorAttempt::mayHaveRun).count() == mayHaveRun.get(id), what);
      }
      assertTrue(tracker.size() <= 4, what);
      if (result instanceof FirstCall || result instanceof Retry) {
        if (!live) {
          mayHaveRun.remove(id);
        }
        lastUsed.put(id, now);
        if (random.nextBoolean()) {
          tracker.onSent(now, id, step, "z", 0);
          mayHaveRun.merge(id, 1, Integer::sum);
          if (random.nextInt(3) == 0) {
            tracker.onAttemptEnded(now, id, step, Status.NOT_SENT);
            mayHaveRun.merge(id, -1, Integer::sum);
          }
        } else {
          tracker.onNotSent(now, id);
        }
      } else if (!(result instanceof TableFull)) {
        lastUsed.put(id, now);
      }
    }
  }
}
