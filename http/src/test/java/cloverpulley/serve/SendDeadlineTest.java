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
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** What has to have left by a time, as a repeat by the end of its window, does not leave later, whatever it waits for. */
@Timeout(value = 2 * Rig.LIMIT_S, unit = TimeUnit.SECONDS)
class SendDeadlineTest {

  private static final long SOON = TimeUnit.MILLISECONDS.toNanos(1);
  /** For how long the loop stands still where that has to show in a time told. */
  private static final long STALL_MILLIS = 300;
  /** More connections than are accepted in one turn of the loop. */
  private static final int CROWD = 100;
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

  private static long told(String request) {
    return Long.parseLong(request.replaceAll("(?is).*x-expires-in-ms: *([0-9]+).*", "$1"));
  }

  @Test
  void theTimeToldIsWhatIsLeftOnceTheConnectionIsUp() throws Exception {
    Script[] module = new Script[1];
    module[0] = new Script((event, out) -> {
      if (event instanceof Request r) {
        out.accept(new Send(r.id(), module[0].upstreams.get(0), 0));
        over(TimeUnit.MILLISECONDS.toNanos(STALL_MILLIS));
      }
    });
    try (StubServer upstream = StubServer.answering(StubServer.ok("x")); Rig rig = new Rig(to(upstream.address()), module[0]); Client client = rig.client()) {
      client.ask(Rig.get("t", "X-Expires-In-Ms: 20000\r\n"));
      long told = told(upstream.requests.take());
      assertTrue(told <= 20_000 - STALL_MILLIS, told + " ms");
    }
  }

  @Test
  void aRequestThatLayInItsSocketWhileTheLoopStoodStillHasSoMuchLessTime() throws Exception {
    CountDownLatch stands = new CountDownLatch(1);
    CountDownLatch written = new CountDownLatch(1);
    Script[] module = new Script[1];
    module[0] = new Script((event, out) -> {
      if (event instanceof Request r) {
        out.accept(new Send(r.id(), module[0].upstreams.get(0), 0));
        if (stands.getCount() > 0) {
          stands.countDown();
          awaitUninterruptibly(written);
          over(TimeUnit.MILLISECONDS.toNanos(STALL_MILLIS));
        }
      }
    });
    try (StubServer upstream = StubServer.answering(StubServer.ok("x")); Rig rig = new Rig(to(upstream.address()), module[0]);
        Client first = rig.client(); Client second = rig.client()) {
      first.write(Rig.get("first", ""));
      stands.await();
      second.write(Rig.get("second", "X-Expires-In-Ms: 20000\r\n"));
      written.countDown();
      second.answer();
      String request = upstream.requests.take();
      long told = told(request.contains("second") ? request : upstream.requests.take());
      assertTrue(told <= 20_000 - STALL_MILLIS + 40, told + " ms");
    }
  }

  @Test
  void aFirstRequestThatWaitedBehindACrowdToBeAcceptedHasSoMuchLessTime() throws Exception {
    CountDownLatch stands = new CountDownLatch(1);
    CountDownLatch written = new CountDownLatch(1);
    Script[] module = new Script[1];
    module[0] = new Script((event, out) -> {
      if (event instanceof Request r && r.id().equals("r0")) {
        stands.countDown();
        awaitUninterruptibly(written);
        over(TimeUnit.MILLISECONDS.toNanos(STALL_MILLIS));
        out.accept(new Fail(r.id(), Reason.NO_ROOM));
      } else if (event instanceof Request r) {
        out.accept(new Send(r.id(), module[0].upstreams.get(0), 0));
      }
    });
    List<Client> crowd = new ArrayList<>();
    try (StubServer upstream = StubServer.answering(StubServer.ok("x")); Rig rig = new Rig(to(upstream.address()), module[0]); Client first = rig.client()) {
      first.write(Rig.get("first", ""));
      stands.await();
      for (int i = 0; i < CROWD; i++) {
        crowd.add(rig.client());
      }
      crowd.get(CROWD - 1).write(Rig.get("last", "X-Expires-In-Ms: 20000\r\n"));
      written.countDown();
      long told = told(upstream.requests.take());
      assertTrue(told <= 20_000 - STALL_MILLIS + 40, told + " ms");
    } finally {
      for (Client c : crowd) {
        c.close();
      }
    }
  }

  private static void awaitUninterruptibly(CountDownLatch latch) {
    try {
      latch.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
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
