package cloverpulley.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cloverpulley.Balancer.Fail;
import cloverpulley.Balancer.Outcome;
import cloverpulley.Balancer.Request;
import cloverpulley.Balancer.Send;
import cloverpulley.Balancer.Status;
import cloverpulley.Reason;
import cloverpulley.serve.Rig.Client;
import cloverpulley.serve.Rig.Script;
import java.io.IOException;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** What has to have left by a time, as a repeat by the end of its window, does not leave later, whatever it waits for. */
@Timeout(value = 2 * Rig.LIMIT_S, unit = TimeUnit.SECONDS)
class WindowTest {

  private static final long SOON = TimeUnit.MILLISECONDS.toNanos(1);
  private static final long LATER = TimeUnit.SECONDS.toNanos(1);

  private static Config to(String upstream) throws IOException {
    return Rig.config("127.0.0.1:1", Rig.list(1, true, Rig.member("s-1", upstream, "ready")), "on_request", 1000 * Rig.LIMIT_S, 1024, "");
  }

  /** Sends each request to the one upstream, to leave soon; then does what {@code meanwhile} says. */
  private static Script soon(long nanos, Runnable meanwhile) {
    Script[] module = new Script[1];
    module[0] = new Script((event, out) -> {
      if (event instanceof Request r) {
        out.accept(new Send(r.id(), module[0].upstreams.get(0), 0, module[0].now + nanos));
        meanwhile.run();
      } else if (event instanceof Outcome o && !o.finished()) {
        out.accept(new Fail(o.id(), Reason.MAY_HAVE_RUN));
      }
    });
    return module[0];
  }

  /** Until the time by which it has to leave is over. */
  private static void over(long nanos) {
    long since = System.nanoTime();
    while (System.nanoTime() - since <= nanos) {
      Thread.onSpinWait();
    }
  }

  /** A connection that never comes up, or late: nothing waits for it past the time. */
  @Test
  void whatStillConnectsIsCalledOff() throws Exception {
    Script module = soon(SOON, () -> { });
    try (AttemptTest.Silent upstream = new AttemptTest.Silent(); Rig rig = new Rig(to(upstream.address()), module); Client client = rig.client()) {
      String answer = client.ask(Rig.post("t", "Idempotency-Key: k\r\n", "body"));
      assertEquals(Status.NOT_SENT, module.next(Outcome.class).status());
      assertTrue(answer.startsWith("HTTP/1.1 502 "), answer);
    }
  }

  /** The connection is up and the time is over when the loop looks again, at the connection first. */
  @Test
  void whatComesUpTooLateIsNotWritten() throws Exception {
    Script module = soon(SOON, () -> over(SOON));
    try (StubServer upstream = StubServer.answering(StubServer.ok("x")); Rig rig = new Rig(to(upstream.address()), module); Client client = rig.client()) {
      client.ask(Rig.post("t", "Idempotency-Key: k\r\n", "body"));
      assertEquals(Status.NOT_SENT, module.next(Outcome.class).status());
      assertTrue(upstream.connections.take().ends());
      assertNull(upstream.requests.poll(), "nothing came on it");
    }
  }

  /** The loop stood still between the decision and the sending. */
  @Test
  void whatIsCarriedOutTooLateIsNotSent() throws Exception {
    Script[] module = new Script[1];
    module[0] = new Script((event, out) -> {
      if (event instanceof Request r) {
        long by = module[0].now + SOON;
        over(SOON);
        out.accept(new Send(r.id(), module[0].upstreams.get(0), 0, by));
      } else if (event instanceof Outcome o && !o.finished()) {
        out.accept(new Fail(o.id(), Reason.MAY_HAVE_RUN));
      }
    });
    try (StubServer upstream = StubServer.answering(StubServer.ok("x")); Rig rig = new Rig(to(upstream.address()), module[0]); Client client = rig.client()) {
      client.ask(Rig.post("t", "Idempotency-Key: k\r\n", "body"));
      assertEquals(Status.NOT_SENT, module[0].next(Outcome.class).status());
      assertNull(upstream.connections.poll(), "not even a connection");
    }
  }

  /** The loop stood still from the decision until the client's time was over: what would be of no more use is not sent. */
  @Test
  void whatHasNoTimeLeftIsNotSent() throws Exception {
    Script[] module = new Script[1];
    module[0] = new Script((event, out) -> {
      if (event instanceof Request r) {
        over(r.deadlineNanos() - module[0].now);
        out.accept(new Send(r.id(), module[0].upstreams.get(0), 0));
      } else if (event instanceof Outcome o && !o.finished()) {
        out.accept(new Fail(o.id(), Reason.DEADLINE));
      }
    });
    try (StubServer upstream = StubServer.answering(StubServer.ok("x")); Rig rig = new Rig(to(upstream.address()), module[0]); Client client = rig.client()) {
      String answer = client.ask(Rig.post("t", "Idempotency-Key: k\r\nX-Expires-In-Ms: 50\r\n", "body"));
      assertTrue(answer.startsWith("HTTP/1.1 504 "), answer);
      assertEquals(Status.NOT_SENT, module[0].next(Outcome.class).status());
      assertNull(upstream.connections.poll(), "not even a connection");
    }
  }

  /** What has left in time is waited for as long as any other. */
  @Test
  void whatHasLeftInTimeIsAnswered() throws Exception {
    Script module = soon(LATER, () -> { });
    CountDownLatch late = new CountDownLatch(1);
    try (StubServer upstream = new StubServer(c -> {
      c.next();
      late.await();
      c.write(StubServer.ok("x"));
    }); Rig rig = new Rig(to(upstream.address()), module); Client client = rig.client()) {
      client.write(Rig.post("t", "Idempotency-Key: k\r\n", "body"));
      assertNotNull(upstream.requests.poll(Rig.LIMIT_S, TimeUnit.SECONDS));
      over(LATER);
      late.countDown();
      assertTrue(client.answer().startsWith("HTTP/1.1 200 "));
    }
  }
}
