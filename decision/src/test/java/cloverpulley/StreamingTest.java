package cloverpulley;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cloverpulley.Balancer.Action;
import cloverpulley.Balancer.AnswerStarted;
import cloverpulley.Balancer.BodyDiscarded;
import cloverpulley.Balancer.BodyEnded;
import cloverpulley.Balancer.BodyPending;
import cloverpulley.Balancer.Cancel;
import cloverpulley.Balancer.ClientGone;
import cloverpulley.Balancer.Fail;
import cloverpulley.Balancer.Outcome;
import cloverpulley.Balancer.Reject;
import cloverpulley.Balancer.Request;
import cloverpulley.Balancer.Send;
import cloverpulley.Balancer.Status;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Streamed request bodies and responses, on a virtual clock. */
class StreamingTest {

  private static final long MS = Driver.MS;

  private static boolean sends(List<Action> actions) {
    return Driver.has(actions, Send.class);
  }

  /** A client that reads for ten seconds is no load at its upstream, and its response is not late. */
  @Test
  void aSlowReaderCountsNeitherAsLoadNorAsLatency() {
    Driver d = new Driver(Driver.safe()).upstreams(2);
    for (int i = 0; i < 200; i++) {
      d.serve("k" + i, 20 * MS);
    }
    int started = 0;
    for (int i = 0; i < 300; i++) {
      String id = d.nextId();
      long at = Driver.sentTo(d.request(id, "c", "k" + i));
      d.pass(20 * MS);
      if (at >= 0) {
        started++;
        assertFalse(Driver.has(d.step(new AnswerStarted(id, 0, at, 20 * MS)), Reject.class));
      }
    }
    assertEquals(300, started, "rejected or queued because responses are still being streamed");
    d.pass(10_000 * MS);
    for (Driver.Sent s : List.copyOf(d.outstanding)) {
      d.end(s, Status.SERVED, 20 * MS);
    }
    assertTrue(sends(d.request(d.nextId(), "c", "k")));
  }

  /** Clients that take a minute to send a long body: their requests are no load at the upstreams until they are complete. */
  @Test
  void aSlowUploadIsNoLoadUntilItsBodyHasEnded() {
    Driver d = new Driver(Driver.safe()).upstreams(2);
    for (int i = 0; i < 200; i++) {
      d.serve("k" + i, 20 * MS);
    }
    for (int i = 0; i < 300; i++) {
      String id = d.nextId();
      assertTrue(sends(d.request(id, "c", "k" + i)), "upload " + i);
      d.step(new BodyPending(id));
      assertTrue(d.serve("s" + i, 20 * MS) >= 0, "a request beside " + (i + 1) + " uploads");
    }
    d.outstanding.forEach(s -> d.step(new BodyEnded(s.id(), d.now + 2000 * MS)));
    d.request(d.nextId(), "c", "k");
    assertEquals(300, d.outstanding.size(), "600 complete requests in flight are load");
  }

  @Test
  void aStartedResponseIsTheFinalAnswer() {
    Driver d = new Driver(Driver.safe()).upstreams(2);
    long at = Driver.sentTo(d.request("r", "c", "k"));
    d.step(new AnswerStarted("r", 0, at, 20 * MS));
    List<Action> after = new ArrayList<>(d.pass(5000 * MS)); // Past its deadline, which no longer applies.
    after.addAll(d.step(new Outcome("r", 0, at, Status.RESET, 20 * MS, true, Map.of())));
    after.addAll(d.pass(1000 * MS));
    assertTrue(after.stream().noneMatch(a -> a instanceof Send || a instanceof Reject || a instanceof Fail), after::toString);
  }

  @Test
  void aDisconnectedClientCancelsIt() {
    Driver d = new Driver(Driver.safe()).upstreams(2);
    long at = Driver.sentTo(d.request("r", "c", "k"));
    d.step(new AnswerStarted("r", 0, at, 20 * MS));
    assertTrue(d.step(new ClientGone("r")).contains(new Cancel("r", 0)));
  }

  /** A request that has not run can be retried only while its body is still buffered. */
  @Test
  void aRequestWithoutItsBodyIsNotRetried() {
    Driver d = new Driver(Driver.safe()).upstreams(4);
    long first = Driver.sentTo(d.request("r1", "c", "k1"));
    assertTrue(sends(d.end("r1", first, Status.FULL, MS)));
    long second = Driver.sentTo(d.request("r2", "c", "k1"));
    d.step(new BodyDiscarded("r2"));
    List<Action> end = d.end("r2", second, Status.FULL, MS);
    assertTrue(!sends(end) && Driver.has(end, Reject.class), end::toString);
  }

  /** The deadline counts from the last byte of the body, however long the upload took. */
  @Test
  void theDeadlineCountsFromTheEndOfTheBody() {
    Driver d = new Driver(Driver.safe()).upstreams(4);
    d.step(new Request("r", "c", null, "k", d.now + 600_000 * MS, 0, false));
    d.pass(30_000 * MS);
    d.step(new BodyEnded("r", d.now + 2000 * MS));
    d.pass(1000 * MS);
    Driver.Sent s = d.outstanding.get(0);
    assertTrue(sends(d.end(s, Status.ERROR, 1000 * MS)), "half of its time is left");
    d.pass(1500 * MS);
    s = d.outstanding.get(0);
    assertTrue(Driver.has(d.end(s, Status.ERROR, 500 * MS), Reject.class), "its deadline has passed");
  }
}
