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

/** A request with a send deadline, such as a retry within its deduplication window, is never written after it, whatever delays it. */
@Timeout(value = 2 * Rig.LIMIT_S, unit = TimeUnit.SECONDS)
class SendDeadlineTest {

  private static final long SHORT_SEND_WINDOW = TimeUnit.MILLISECONDS.toNanos(1);
  /** How long the event loop is blocked in tests that expect the remaining time to shrink. */
  private static final long LOOP_STALL_MILLIS = 300;
  /** More connections than are accepted in one turn of the loop. */
  private static final int PENDING_CLIENTS = 100;
  private static final long LONG_SEND_WINDOW = TimeUnit.SECONDS.toNanos(1);

  private static Config configFor(String upstream) throws IOException {
    return Rig.config("127.0.0.1:1", Rig.list(1, true, Rig.member("s-1", upstream, "ready")), "on_request", 1000 * Rig.LIMIT_S, 1024, "");
  }

  /** Sends each request to the only upstream with {@code nanos} until its send deadline, then runs {@code afterSend}. */
  private static Script sendWithin(long nanos, Runnable afterSend) {
    Script[] module = new Script[1];
    module[0] = new Script((event, out) -> {
      if (event instanceof Request r) {
        out.accept(new Send(r.id(), module[0].upstreams.get(0), 0, module[0].now + nanos));
        afterSend.run();
      } else if (event instanceof Outcome outcome && !outcome.finished()) {
        out.accept(new Fail(outcome.id(), Reason.MAY_HAVE_RUN));
      }
    });
    return module[0];
  }

  /** Spins until so much time has passed. */
  private static void spinFor(long nanos) {
    long since = System.nanoTime();
    while (System.nanoTime() - since <= nanos) {
      Thread.onSpinWait();
    }
  }

  /** A connection is never established, or too late: the attempt does not wait for it past the send deadline. */
  @Test
  void attemptStillConnectingIsCancelled() throws Exception {
    Script module = sendWithin(SHORT_SEND_WINDOW, () -> { });
    try (AttemptTest.UnresponsiveServer upstream = new AttemptTest.UnresponsiveServer(); Rig rig = new Rig(configFor(upstream.address()), module);
        Client client = rig.client()) {
      String answer = client.ask(Rig.post("t", "Idempotency-Key: k\r\n", "body"));
      assertEquals(Status.NOT_SENT, module.next(Outcome.class).status());
      assertTrue(answer.startsWith("HTTP/1.1 502 "), answer);
    }
  }

  /** The connection is established and the deadline has passed when the loop runs again, and it handles the connection first. */
  @Test
  void requestIsNotWrittenWhenConnectTakesTooLong() throws Exception {
    Script module = sendWithin(SHORT_SEND_WINDOW, () -> spinFor(SHORT_SEND_WINDOW));
    try (StubServer upstream = StubServer.answering(StubServer.ok("x")); Rig rig = new Rig(configFor(upstream.address()), module);
        Client client = rig.client()) {
      client.ask(Rig.post("t", "Idempotency-Key: k\r\n", "body"));
      assertEquals(Status.NOT_SENT, module.next(Outcome.class).status());
      assertTrue(upstream.connections.take().ends());
      assertNull(upstream.requests.poll(), "nothing was written");
    }
  }

  private static long expiresMillis(String request) {
    return Long.parseLong(request.replaceAll("(?is).*x-expires-in-ms: *([0-9]+).*", "$1"));
  }

  @Test
  void expiresHeaderExcludesConnectTime() throws Exception {
    Script[] module = new Script[1];
    module[0] = new Script((event, out) -> {
      if (event instanceof Request r) {
        out.accept(new Send(r.id(), module[0].upstreams.get(0), 0));
        spinFor(TimeUnit.MILLISECONDS.toNanos(LOOP_STALL_MILLIS));
      }
    });
    try (StubServer upstream = StubServer.answering(StubServer.ok("x")); Rig rig = new Rig(configFor(upstream.address()), module[0]);
        Client client = rig.client()) {
      client.ask(Rig.get("t", "X-Expires-In-Ms: 20000\r\n"));
      long expiresMillis = expiresMillis(upstream.requests.take());
      assertTrue(expiresMillis <= 20_000 - LOOP_STALL_MILLIS, expiresMillis + " ms");
    }
  }

  @Test
  void timeInSocketBufferDuringStallReducesDeadline() throws Exception {
    CountDownLatch loopStalled = new CountDownLatch(1);
    CountDownLatch requestWritten = new CountDownLatch(1);
    Script[] module = new Script[1];
    module[0] = new Script((event, out) -> {
      if (event instanceof Request r) {
        out.accept(new Send(r.id(), module[0].upstreams.get(0), 0));
        if (loopStalled.getCount() > 0) {
          loopStalled.countDown();
          awaitUninterruptibly(requestWritten);
          spinFor(TimeUnit.MILLISECONDS.toNanos(LOOP_STALL_MILLIS));
        }
      }
    });
    try (StubServer upstream = StubServer.answering(StubServer.ok("x")); Rig rig = new Rig(configFor(upstream.address()), module[0]);
        Client first = rig.client(); Client second = rig.client()) {
      first.write(Rig.get("first", ""));
      loopStalled.await();
      second.write(Rig.get("second", "X-Expires-In-Ms: 20000\r\n"));
      requestWritten.countDown();
      second.answer();
      String request = upstream.requests.take();
      long expiresMillis = expiresMillis(request.contains("second") ? request : upstream.requests.take());
      assertTrue(expiresMillis <= 20_000 - LOOP_STALL_MILLIS + 40, expiresMillis + " ms");
    }
  }

  @Test
  void timeInAcceptQueueReducesDeadline() throws Exception {
    CountDownLatch loopStalled = new CountDownLatch(1);
    CountDownLatch requestWritten = new CountDownLatch(1);
    Script[] module = new Script[1];
    module[0] = new Script((event, out) -> {
      if (event instanceof Request r && r.id().equals("r0")) {
        loopStalled.countDown();
        awaitUninterruptibly(requestWritten);
        spinFor(TimeUnit.MILLISECONDS.toNanos(LOOP_STALL_MILLIS));
        out.accept(new Fail(r.id(), Reason.NO_ROOM));
      } else if (event instanceof Request r) {
        out.accept(new Send(r.id(), module[0].upstreams.get(0), 0));
      }
    });
    List<Client> pendingClients = new ArrayList<>();
    try (StubServer upstream = StubServer.answering(StubServer.ok("x")); Rig rig = new Rig(configFor(upstream.address()), module[0]);
        Client first = rig.client()) {
      first.write(Rig.get("first", ""));
      loopStalled.await();
      for (int i = 0; i < PENDING_CLIENTS; i++) {
        pendingClients.add(rig.client());
      }
      pendingClients.get(PENDING_CLIENTS - 1).write(Rig.get("last", "X-Expires-In-Ms: 20000\r\n"));
      requestWritten.countDown();
      long expiresMillis = expiresMillis(upstream.requests.take());
      assertTrue(expiresMillis <= 20_000 - LOOP_STALL_MILLIS + 40, expiresMillis + " ms");
    } finally {
      for (Client c : pendingClients) {
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

  /** The event loop was blocked between the decision and the send. */
  @Test
  void lateSendDecisionIsNotCarriedOut() throws Exception {
    Script[] module = new Script[1];
    module[0] = new Script((event, out) -> {
      if (event instanceof Request r) {
        long sendBy = module[0].now + SHORT_SEND_WINDOW;
        spinFor(SHORT_SEND_WINDOW);
        out.accept(new Send(r.id(), module[0].upstreams.get(0), 0, sendBy));
      } else if (event instanceof Outcome outcome && !outcome.finished()) {
        out.accept(new Fail(outcome.id(), Reason.MAY_HAVE_RUN));
      }
    });
    try (StubServer upstream = StubServer.answering(StubServer.ok("x")); Rig rig = new Rig(configFor(upstream.address()), module[0]);
        Client client = rig.client()) {
      client.ask(Rig.post("t", "Idempotency-Key: k\r\n", "body"));
      assertEquals(Status.NOT_SENT, module[0].next(Outcome.class).status());
      assertNull(upstream.connections.poll(), "no connection is opened");
    }
  }

  /** The event loop was blocked from the decision until the client's deadline: a request that is of no more use is not sent. */
  @Test
  void requestPastItsDeadlineIsNotSent() throws Exception {
    Script[] module = new Script[1];
    module[0] = new Script((event, out) -> {
      if (event instanceof Request r) {
        spinFor(r.deadlineNanos() - module[0].now);
        out.accept(new Send(r.id(), module[0].upstreams.get(0), 0));
      } else if (event instanceof Outcome outcome && !outcome.finished()) {
        out.accept(new Fail(outcome.id(), Reason.DEADLINE));
      }
    });
    try (StubServer upstream = StubServer.answering(StubServer.ok("x")); Rig rig = new Rig(configFor(upstream.address()), module[0]);
        Client client = rig.client()) {
      String answer = client.ask(Rig.post("t", "Idempotency-Key: k\r\nX-Expires-In-Ms: 50\r\n", "body"));
      assertTrue(answer.startsWith("HTTP/1.1 504 "), answer);
      assertEquals(Status.NOT_SENT, module[0].next(Outcome.class).status());
      assertNull(upstream.connections.poll(), "no connection is opened");
    }
  }

  /** For a request written in time, the send deadline does not shorten the wait for the response. */
  @Test
  void requestWrittenInTimeIsServed() throws Exception {
    Script module = sendWithin(LONG_SEND_WINDOW, () -> { });
    CountDownLatch release = new CountDownLatch(1);
    try (StubServer upstream = new StubServer(c -> {
      c.next();
      release.await();
      c.write(StubServer.ok("x"));
    }); Rig rig = new Rig(configFor(upstream.address()), module); Client client = rig.client()) {
      client.write(Rig.post("t", "Idempotency-Key: k\r\n", "body"));
      assertNotNull(upstream.requests.poll(Rig.LIMIT_S, TimeUnit.SECONDS));
      spinFor(LONG_SEND_WINDOW);
      release.countDown();
      assertTrue(client.answer().startsWith("HTTP/1.1 200 "));
    }
  }
}
