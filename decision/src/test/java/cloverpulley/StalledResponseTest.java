package cloverpulley;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cloverpulley.Balancer.Action;
import cloverpulley.Balancer.AnswerBegan;
import cloverpulley.Balancer.AnswerStalled;
import cloverpulley.Balancer.AnswerStarted;
import cloverpulley.Balancer.Cancel;
import cloverpulley.Balancer.DedupScope;
import cloverpulley.Balancer.Effect;
import cloverpulley.Balancer.Endpoint;
import cloverpulley.Balancer.Fail;
import cloverpulley.Balancer.Limits;
import cloverpulley.Balancer.ListKind;
import cloverpulley.Balancer.Reject;
import cloverpulley.Balancer.Send;
import cloverpulley.Balancer.Settings;
import cloverpulley.Balancer.State;
import cloverpulley.Balancer.Status;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Responses that begin and then pause, on a virtual clock: neither load nor failures, and a reason for another attempt where that is safe. */
class StalledResponseTest {

  private static final long MS = Driver.MS;

  private static Driver driver(Effect effect) {
    return new Driver(Driver.settings(false, List.of(), Driver.type("c", effect, DedupScope.CELL)));
  }

  private static List<Action> stall(Driver d, Driver.Sent sent) {
    return d.step(new AnswerStalled(sent.id(), sent.attempt(), sent.upstream()));
  }

  private static Driver.Sent request(Driver d) {
    d.request(d.nextId(), "c", "k");
    return d.outstanding.get(d.outstanding.size() - 1);
  }

  private static boolean sends(List<Action> actions) {
    return Driver.has(actions, Send.class);
  }

  @ParameterizedTest
  @EnumSource(value = Effect.class, names = {"SAFE", "KEYED"})
  void anotherAttemptIsMadeAndTheFirstCompleteResponseWins(Effect effect) {
    Driver d = driver(effect).upstreams(3);
    Driver.Sent first = request(d);
    d.pass(310 * MS);
    List<Action> actions = stall(d, first);
    assertTrue(sends(actions) && !Driver.has(actions, Cancel.class), actions::toString);
    Driver.Sent second = d.outstanding.get(1);
    List<Action> end = d.end(first, Status.SERVED, 700 * MS);
    assertTrue(end.contains(new Cancel(second.id(), 1)), end::toString);
  }

  @Test
  void anUnsafeRequestIsLeftToItsOnlyAttempt() {
    Driver d = driver(Effect.UNSAFE).upstreams(3);
    Driver.Sent first = request(d);
    d.pass(310 * MS);
    assertFalse(sends(stall(d, first)));
    d.pass(1000 * MS);
    assertEquals(1, d.outstanding.size());
    List<Action> end = d.end(first, Status.TIMEOUT, 1310 * MS);
    assertTrue(Driver.has(end, Fail.class) && !sends(end), end::toString);
  }

  @Test
  void aKeyedRequestStaysInItsCellAndWindow() {
    Driver d = driver(Effect.KEYED);
    d.list(ListKind.CACHED, new Endpoint(100, "a", 0, State.READY, 0, 1), new Endpoint(101, "a", 1, State.READY, 0, 1));
    assertFalse(sends(stall(d, request(d))), "the other upstream is in another cell");
    Driver late = driver(Effect.KEYED).upstreams(2);
    Driver.Sent first = request(late);
    late.pass(1999 * MS);
    assertFalse(sends(stall(late, first)), "the window is over");
  }

  @Test
  void secondCopiesThatAreNotAllowedAreNotSent() {
    Settings s = Driver.safe();
    Limits l = s.limits();
    Limits without = new Limits(l.cancel(), l.probes(), l.peers(), false, l.retryAfter(), l.maxRetryAfterNanos(), l.maxAttempts(), l.maxPending(),
        l.streamsPerConnection(), l.connectTimeoutNanos());
    Driver d = new Driver(new Settings(s.selfId(), s.groupSize(), s.zone(), s.classes(), s.tenants(), without, s.contract(), s.penalties(),
        s.listOnRequest(), s.weightKind(), s.overShareWorth(), s.warmKeys(), s.tickNanos())).upstreams(3);
    Driver.Sent first = request(d);
    assertFalse(sends(stall(d, first)));
    d.pass(1000 * MS);
    assertEquals(1, d.outstanding.size());
  }

  /** Each response pauses for twice its aim: counted as latency or as failures, that would reject most requests. */
  @Test
  void pausesOfSoundResponsesRejectNothing() {
    Driver d = driver(Effect.UNSAFE).upstreams(3);
    for (int i = 0; i < 300; i++) {
      List<Action> actions = d.request(d.nextId(), "c", "k" + i);
      assertTrue(sends(actions) && !Driver.has(actions, Reject.class), i + ": " + actions);
      d.pass(10 * MS);
      for (Driver.Sent s : List.copyOf(d.outstanding)) {
        if (d.now - s.at() == 10 * MS) {
          d.step(new AnswerBegan(s.id(), s.attempt(), s.upstream(), 10 * MS));
        } else if (d.now - s.at() == 310 * MS) {
          stall(d, s);
        } else if (d.now - s.at() >= 800 * MS) {
          d.end(s, Status.SERVED, 800 * MS);
        }
      }
    }
  }

  /** One in four responses is never complete: the others must not be rejected for it, as no upstream is overloaded. */
  @Test
  void incompleteResponsesRejectNoOthers() {
    Driver d = driver(Effect.UNSAFE).upstreams(3);
    for (int i = 0; i < 300; i++) {
      String id = d.nextId();
      List<Action> actions = d.request(id, "c", "k" + i);
      assertFalse(Driver.has(actions, Reject.class), i + ": " + actions);
      d.pass(10 * MS);
      for (Driver.Sent s : List.copyOf(d.outstanding)) {
        boolean incomplete = Integer.parseInt(s.id().substring(1)) % 4 == 0;
        if (!incomplete) {
          d.end(s, Status.SERVED, d.now - s.at());
        } else if (d.now - s.at() == 10 * MS) {
          d.step(new AnswerBegan(s.id(), s.attempt(), s.upstream(), 10 * MS));
        } else if (d.now - s.at() >= 1900 * MS) {
          d.end(s, Status.TIMEOUT, 1900 * MS);
        }
      }
    }
  }

  @Test
  void aStalledResponseThatIsStreamedIsTheFinalAnswer() {
    Driver d = driver(Effect.SAFE).upstreams(3);
    Driver.Sent first = request(d);
    d.pass(310 * MS);
    stall(d, first);
    Driver.Sent second = d.outstanding.get(1);
    List<Action> started = d.step(new AnswerStarted(first.id(), 0, first.upstream(), 10 * MS));
    assertTrue(started.contains(new Cancel(second.id(), 1)), started::toString);
    assertFalse(sends(d.end(second, Status.CANCELLED, 100 * MS)));
    assertTrue(d.end(first, Status.SERVED, 10 * MS).isEmpty());
  }
}
