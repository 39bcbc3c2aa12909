package cloverpulley;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cloverpulley.Balancer.Action;
import cloverpulley.Balancer.DedupScope;
import cloverpulley.Balancer.Effect;
import cloverpulley.Balancer.Endpoint;
import cloverpulley.Balancer.Fail;
import cloverpulley.Balancer.ListKind;
import cloverpulley.Balancer.PriorAttempt;
import cloverpulley.Balancer.Reject;
import cloverpulley.Balancer.Request;
import cloverpulley.Balancer.SetTimer;
import cloverpulley.Balancer.State;
import cloverpulley.Balancer.TimerFired;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Requests with attempts of earlier calls, and requests that have to be answered before their deadline. */
class PriorAttemptsTest {

  private static final long MS = Driver.MS;
  private static final long ATTEMPT_AGE = 100 * MS;

  /** Upstream 1 (zone a, cell 1), 2 (same cell), 3 (same zone), 4 (elsewhere). */
  private static Driver fleet(Effect effect, DedupScope scope, long... ids) {
    Driver d = new Driver(Driver.settings(false, List.of(), Driver.type("c", effect, scope)));
    Endpoint[] endpoints = new Endpoint[ids.length];
    for (int i = 0; i < ids.length; i++) {
      endpoints[i] = new Endpoint(ids[i], ids[i] == 4 ? "b" : "a", ids[i] <= 2 ? 1 : (int) ids[i], State.READY, 0, 1);
    }
    d.list(ListKind.CACHED, endpoints);
    return d;
  }

  private static Request retry(Driver d, long answerBy, PriorAttempt... priorAttempts) {
    return new Request("r", "c", null, "k", d.now + 2000 * MS, 0, true, answerBy, List.of(priorAttempts));
  }

  private static PriorAttempt first(Driver d, long ago, boolean mayHaveRun) {
    return new PriorAttempt(1, "a", 1, d.now - ago, mayHaveRun);
  }

  @ParameterizedTest
  @CsvSource({
    // effect, scope, may have run, upstreams that may get the retry, final answer if there is none
    "SAFE, CELL, true, 2 3 4, Reject", "SAFE, CELL, false, 2 3 4, Reject",
    "UNSAFE, ALL, true, '', Fail", "UNSAFE, ALL, false, 2 3 4, Reject",
    "KEYED, ALL, true, 2 3 4, Reject", "KEYED, ZONE, true, 2 3, Fail", "KEYED, CELL, true, 2, Fail",
    "KEYED, CELL, false, 2 3 4, Reject"})
  void aRetryGoesToTheUpstreamsThatItsClassPermits(Effect effect, DedupScope scope, boolean ran, String allowed, String end) {
    for (long other = 2; other <= 4; other++) {
      Driver d = fleet(effect, scope, other);
      List<Action> actions = d.step(retry(d, 0, first(d, ATTEMPT_AGE, ran)));
      if (allowed.contains(Long.toString(other))) {
        assertEquals(other, Driver.sentTo(actions), effect + " " + scope + " to " + other);
      } else {
        assertEquals(end, actions.get(0).getClass().getSimpleName(), "at once, not at the deadline");
      }
    }
    Driver empty = fleet(effect, scope);
    assertEquals(end, empty.step(retry(empty, 0, first(empty, ATTEMPT_AGE, ran))).get(0).getClass().getSimpleName());
  }

  @Test
  void aKeyedRequestIsRetriedWithinTheWindowOnly() {
    Driver d = fleet(Effect.KEYED, DedupScope.CELL, 1);
    assertEquals(1, Driver.sentTo(d.step(retry(d, 0, first(d, 1900 * MS, true)))), "the only upstream is used again");
    Driver late = fleet(Effect.KEYED, DedupScope.CELL, 1, 2);
    Fail fail = assertInstanceOf(Fail.class, late.step(retry(late, 0, first(late, 2000 * MS, true))).get(0));
    assertEquals(Reason.MAY_HAVE_RUN, fail.reason());
  }

  /** The deduplication group is that of the attempt: an upstream that has moved to another group since does not deduplicate it. */
  @Test
  void theGroupIsThatOfTheAttempt() {
    Driver d = fleet(Effect.KEYED, DedupScope.CELL, 3);
    assertEquals(3, Driver.sentTo(d.step(retry(d, 0, new PriorAttempt(3, "a", 3, d.now - ATTEMPT_AGE, true)))));
    Driver moved = fleet(Effect.KEYED, DedupScope.CELL, 3);
    assertInstanceOf(Fail.class, moved.step(retry(moved, 0, new PriorAttempt(3, "a", 1, moved.now - ATTEMPT_AGE, true))).get(0));
  }

  @Test
  void priorAttemptsCountTowardsTheLimit() {
    Driver d = fleet(Effect.SAFE, DedupScope.ALL, 1, 2, 3, 4);
    PriorAttempt e = first(d, ATTEMPT_AGE, true);
    Reject reject = assertInstanceOf(Reject.class, d.step(retry(d, 0, e, e, e, e)).get(0));
    assertEquals(Reason.ATTEMPTS, reject.reason());
  }

  /** Callers that retry everything must not overload the fleet: their retries are limited by the retry budget, too. */
  @Test
  void retriesByCallersAreLimitedByTheRetryBudget() {
    Driver d = fleet(Effect.SAFE, DedupScope.ALL, 1, 2, 3, 4);
    int sent = 0;
    for (int i = 0; i < 100; i++) {
      Request r = new Request("r" + i, "c", null, "k" + i, d.now + 2000 * MS, 0, true, 0, List.of(first(d, ATTEMPT_AGE, true)));
      sent += Driver.sentTo(d.step(r)) >= 0 ? 1 : 0;
    }
    assertTrue(sent > 0 && sent <= 20, "sent " + sent);
  }

  @Test
  void queuedRequestsAreAnsweredByTheirTime() {
    Driver d = fleet(Effect.SAFE, DedupScope.ALL);
    long by = d.now + 37 * MS;
    List<Action> actions = d.step(retry(d, by));
    assertTrue(actions.contains(new SetTimer("answer", by)), actions.toString());
    d.now = by;
    Reject reject = assertInstanceOf(Reject.class, d.step(new TimerFired("answer")).get(0));
    assertEquals(Reason.NO_UPSTREAM, reject.reason());
  }
}
