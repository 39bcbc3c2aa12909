package cloverpulley.repeats;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cloverpulley.Balancer.PriorAttempt;
import cloverpulley.Balancer.Effect;
import cloverpulley.Balancer.Status;
import cloverpulley.repeats.Repeats.Config;
import cloverpulley.repeats.Repeats.Finding;
import cloverpulley.repeats.Repeats.First;
import cloverpulley.repeats.Repeats.Full;
import cloverpulley.repeats.Repeats.InHand;
import cloverpulley.repeats.Repeats.Joined;
import cloverpulley.repeats.Repeats.Unknown;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

class RepeatsTest {

  private static final long KEEP = 1000;
  private final Repeats repeats = new Repeats(new Config(4, KEEP));

  private Finding call(long now, String id, Effect effect, int count) {
    return repeats.call(now, id, "c", effect, count);
  }

  @ParameterizedTest
  @EnumSource(Effect.class)
  void aRepeatKnowsTheAttemptsBeforeIt(Effect effect) {
    assertInstanceOf(First.class, call(0, "a", effect, 1));
    repeats.sent(1, "a", 7, "z", 3);
    assertEquals(new Joined(List.of(new PriorAttempt(7, "z", 3, 1, true))), call(2, "a", effect, 2), "still out: it may run");
    repeats.sent(3, "a", 8, "z", 3);
    repeats.ended(4, "a", 7, Status.FULL);
    assertEquals(new Joined(List.of(new PriorAttempt(7, "z", 3, 1, false), new PriorAttempt(8, "z", 3, 3, true))),
        call(5, "a", effect, 3));
  }

  @Test
  void whatWasMadeElsewhereIsNotPermitted() {
    assertInstanceOf(Unknown.class, call(0, "a", Effect.UNSAFE, 2));
    assertInstanceOf(Unknown.class, call(0, "b", Effect.KEYED, 2));
    assertInstanceOf(First.class, call(0, "c", Effect.SAFE, 2));
    assertInstanceOf(First.class, call(1, "d", Effect.KEYED, 1));
    repeats.sent(1, "d", 7, "z", 3);
    repeats.ended(2, "d", 7, Status.CONNECT_FAILED);
    assertInstanceOf(Unknown.class, call(3, "d", Effect.KEYED, 3), "the second went elsewhere");
    assertInstanceOf(Unknown.class, call(4, "d", Effect.KEYED, 4), "and that stays so");
  }

  @Test
  void oneCallAtATime() {
    call(0, "a", Effect.SAFE, 0);
    assertInstanceOf(InHand.class, call(1, "a", Effect.SAFE, 0));
    repeats.answered(2, "a");
    assertInstanceOf(First.class, call(3, "a", Effect.SAFE, 0));
    repeats.answered(3, "a");
    assertInstanceOf(InHand.class, repeats.call(4, "a", "other", Effect.SAFE, 0), "another class under the same id");
  }

  @Test
  void aFullRecordForgetsSafeOnesAndNothingElse() {
    call(0, "s", Effect.SAFE, 0);
    for (String id : List.of("a", "b", "c")) {
      call(1, id, Effect.UNSAFE, 0);
      repeats.sent(1, id, 7, "z", 3);
    }
    assertInstanceOf(First.class, call(2, "d", Effect.KEYED, 0), "in place of the safe one");
    assertInstanceOf(Full.class, call(3, "e", Effect.UNSAFE, 0));
    assertInstanceOf(Full.class, call(3, "f", Effect.SAFE, 0));
    assertInstanceOf(Joined.class, call(3, "a", Effect.UNSAFE, 0), "kept");
    assertEquals(4, repeats.size());
    assertInstanceOf(First.class, call(1 + KEEP, "e", Effect.UNSAFE, 0), "those of the first moment are past their time");
  }

  /** Guards the room: most requests are safe and served at once, and nothing depends on their records. */
  @Test
  void aSafeRequestThatWasServedIsForgotten() {
    call(0, "s", Effect.SAFE, 1);
    repeats.sent(0, "s", 7, "z", 3);
    repeats.ended(1, "s", 7, Status.SERVED);
    assertEquals(0, repeats.size());
    call(2, "k", Effect.KEYED, 1);
    repeats.sent(2, "k", 7, "z", 3);
    repeats.ended(3, "k", 7, Status.SERVED);
    assertInstanceOf(Joined.class, call(4, "k", Effect.KEYED, 2), "its effect has been had");
  }

  @Test
  void triesOfOneRequestAreBounded() {
    for (int i = 0; i < Repeats.MOST_TRIES; i++) {
      assertTrue(!(call(i, "a", Effect.KEYED, 0) instanceof Unknown));
      repeats.sent(i, "a", i, "z", 3);
    }
    assertInstanceOf(Unknown.class, call(90, "a", Effect.KEYED, 0));
  }

  /** Against a plain model without bounds: nothing that may have run is ever forgotten or taken for a first. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void neverForgetsWhatMayHaveRun(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    Map<String, Integer> mayHaveRun = new HashMap<>();
    Map<String, Long> touched = new HashMap<>();
    long now = 0;
    for (int step = 0; step < 20_000; step++) {
      now += random.nextInt(40);
      String id = "i" + random.nextInt(12);
      boolean live = touched.containsKey(id) && now - touched.get(id) < KEEP;
      Finding found = call(now, id, Effect.UNSAFE, 0);
      String what = "seed " + seed + " step " + step + " " + id + " " + found;
      if (live && mayHaveRun.getOrDefault(id, 0) > 0) {
        assertTrue(found instanceof Unknown || found instanceof Joined j
            && j.priorAttempts().stream().filter(PriorAttempt::mayHaveRun).count() == mayHaveRun.get(id), what);
      }
      assertTrue(repeats.size() <= 4, what);
      if (found instanceof First || found instanceof Joined) {
        if (!live) {
          mayHaveRun.remove(id);
        }
        touched.put(id, now);
        if (random.nextBoolean()) {
          repeats.sent(now, id, step, "z", 0);
          mayHaveRun.merge(id, 1, Integer::sum);
          if (random.nextInt(3) == 0) {
            repeats.ended(now, id, step, Status.NOT_SENT);
            mayHaveRun.merge(id, -1, Integer::sum);
          }
        } else {
          repeats.answered(now, id);
        }
      } else if (!(found instanceof Full)) {
        touched.put(id, now);
      }
    }
  }
}
