package cloverpulley.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cloverpulley.Balancer.ClientGone;
import cloverpulley.Balancer.Fail;
import cloverpulley.Balancer.Outcome;
import cloverpulley.Balancer.Request;
import cloverpulley.Balancer.Send;
import cloverpulley.Balancer.SetTimer;
import cloverpulley.Balancer.Status;
import cloverpulley.Balancer.TimerFired;
import cloverpulley.Balancer.UpstreamSetOffline;
import cloverpulley.Reason;
import cloverpulley.handover.ProcessRegistry;
import cloverpulley.serve.Rig.Client;
import cloverpulley.serve.Rig.Script;
import java.io.IOException;
import java.net.StandardSocketOptions;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** A request whose client has disconnected while it waited is not forwarded, whatever it waited for and however the client disconnected. */
@Timeout(value = 2 * Rig.LIMIT_S, unit = TimeUnit.SECONDS)
class ClientDisconnectTest {

  /** Longer than a close may go unseen, and than a connection to an unresponsive upstream is waited for. */
  private static final long LONG_WAIT_NANOS = TimeUnit.MILLISECONDS.toNanos(150);
  private static final String HEALTH = "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n";

  private static Config configFor(StubServer upstream, String more) throws IOException {
    return Rig.config("127.0.0.1:1", Rig.list(1, true, Rig.member("s-1", upstream.address(), "ready")), "on_request", 200, 1024, more);
  }

  /** Closes the connection with a FIN, or with an RST. */
  private static void disconnect(Client client, boolean reset) throws IOException {
    if (reset) {
      client.socket.setOption(StandardSocketOptions.SO_LINGER, 0);
    }
    client.close();
  }

  /** Sends requests on another connection until the loop has read all data that waited in its sockets. */
  private static void awaitLoopIterations(Rig rig) throws IOException {
    try (Client other = rig.client()) {
      for (int i = 0; i < 50; i++) {
        other.ask(HEALTH);
      }
    }
  }

  /** Reading used to stop at the first pipelined request, so that a disconnect was never noticed. */
  @ParameterizedTest
  @CsvSource({"1, false", "1, true", "20, false", "20, true"})
  void pipelinedRequestIsNotForwardedAfterDisconnect(int pipelined, boolean reset) throws Exception {
    CountDownLatch done = new CountDownLatch(1);
    Script module = new Script(0);
    try (StubServer upstream = StubServer.holding(done); Rig rig = new Rig(configFor(upstream, ""), module)) {
      Client client = rig.client();
      client.write(Rig.get("first", ""));
      assertTrue(upstream.requests.poll(Rig.LIMIT_S, TimeUnit.SECONDS).contains("first"));
      for (int i = 0; i < pipelined; i++) {
        client.write(Rig.get("early" + i, "X-Padding: " + "p".repeat(2000) + "\r\n"));
        rig.client().ask(HEALTH); // The pipelined request is read on its own before this is answered.
      }
      disconnect(client, reset);
      module.next(ClientGone.class);
      done.countDown();
      awaitLoopIterations(rig);
      try (Client other = rig.client()) {
        assertTrue(other.ask(Rig.get("other", "")).startsWith("HTTP/1.1 200 "));
      }
      assertTrue(upstream.requests.poll(Rig.LIMIT_S, TimeUnit.SECONDS).contains("other"), "and none of the pipelined requests before it");
    }
  }

  /** The module forwards the request while the client's close is unread in the socket. */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void unreadDisconnectIsDetectedBeforeForwarding(boolean reset) throws Exception {
    CountDownLatch requestSeen = new CountDownLatch(1);
    CountDownLatch disconnected = new CountDownLatch(1);
    Script[] module = new Script[1];
    module[0] = new Script((event, out) -> {
      if (event instanceof Request r) {
        requestSeen.countDown();
        await(disconnected); // Blocks the loop, which reads no socket meanwhile.
        out.accept(new Send(r.id(), module[0].upstreams.get(0), 0));
      } else if (event instanceof Outcome o && !o.finished()) {
        out.accept(new Fail(o.id(), Reason.NO_ROOM));
      }
    });
    try (StubServer upstream = StubServer.answering(StubServer.ok("x")); Rig rig = new Rig(configFor(upstream, ""), module[0])) {
      Client client = rig.client();
      client.write(Rig.get("t", ""));
      assertTrue(requestSeen.await(Rig.LIMIT_S, TimeUnit.SECONDS));
      disconnect(client, reset);
      disconnected.countDown();
      assertEquals(Status.NOT_SENT, module[0].next(Outcome.class).status());
      awaitLoopIterations(rig);
      assertNull(upstream.connections.poll(), "no connection is opened");
    }
  }

  /** The first attempt's outcome arrives, and the module retries, while the client's close is unread. */
  @Test
  void retryIsNotSentAfterDisconnect() throws Exception {
    CountDownLatch failed = new CountDownLatch(1);
    CountDownLatch disconnected = new CountDownLatch(1);
    Script[] module = new Script[1];
    module[0] = new Script((event, out) -> {
      if (event instanceof Request r) {
        out.accept(new Send(r.id(), module[0].upstreams.get(0), 0));
      } else if (event instanceof Outcome o && o.attempt() == 0) {
        failed.countDown();
        await(disconnected);
        out.accept(new Send(o.id(), o.upstream(), 0));
      } else if (event instanceof Outcome o && !o.finished()) {
        out.accept(new Fail(o.id(), Reason.NO_ROOM));
      }
    });
    try (StubServer upstream = StubServer.answering("HTTP/1.1 503 Full\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n");
        Rig rig = new Rig(configFor(upstream, ""), module[0])) {
      Client client = rig.client();
      client.write(Rig.get("t", ""));
      assertTrue(failed.await(Rig.LIMIT_S, TimeUnit.SECONDS));
      disconnect(client, false);
      disconnected.countDown();
      assertEquals(Status.FULL, module[0].next(Outcome.class).status());
      assertEquals(Status.NOT_SENT, module[0].next(Outcome.class).status());
      awaitLoopIterations(rig);
      assertEquals(1, upstream.requests.size());
    }
  }

  /** The client disconnects while its body is incomplete, its connection is not read, and the module queues the request. */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void partialUploadIsNotForwardedAfterDisconnect(boolean reset) throws Exception {
    Script[] module = new Script[1];
    String[] queuedId = new String[1];
    CountDownLatch disconnected = new CountDownLatch(1);
    module[0] = new Script((event, out) -> {
      if (event instanceof Request r) {
        queuedId[0] = r.id();
        out.accept(new SetTimer("poll", 0));
      } else if (event instanceof TimerFired) {
        await(disconnected);
        out.accept(new Send(queuedId[0], module[0].upstreams.get(0), 0));
      } else if (event instanceof Outcome o && !o.finished()) {
        out.accept(new Fail(o.id(), Reason.NO_ROOM));
      }
    });
    try (StubServer upstream = StubServer.answering(StubServer.ok("x")); Rig rig = new Rig(configFor(upstream, ""), module[0])) {
      Client client = rig.client();
      client.write("POST /api HTTP/1.1\r\nHost: x\r\nX-Trace-Id: t\r\nX-Qos: keyed\r\nIdempotency-Key: k\r\nContent-Length: 1000000\r\n\r\n"
          + "x".repeat(40_000));
      module[0].next(Request.class);
      disconnect(client, reset);
      disconnected.countDown();
      assertEquals(Status.NOT_SENT, module[0].next(Outcome.class).status());
      awaitLoopIterations(rig);
      assertNull(upstream.connections.poll());
    }
  }

  /** The client has sent all of a long body and disconnected, and most of it is unread when the module forwards the request, or retries it. */
  @ParameterizedTest
  @CsvSource({"false, 400000", "true, 400000", "false, 2000000"})
  void longUploadWithMuchUnreadIsNotForwardedAfterDisconnect(boolean retry, int length) throws Exception {
    Script[] module = new Script[1];
    module[0] = new Script((event, out) -> {
      if (event instanceof Request r && retry) {
        out.accept(new Send(r.id(), module[0].upstreams.get(1), 0));
      } else if (event instanceof Request r) {
        out.accept(new SetTimer(r.id(), module[0].now + LONG_WAIT_NANOS));
      } else if (event instanceof TimerFired t) {
        out.accept(new Send(t.token(), module[0].upstreams.get(0), 0));
      } else if (event instanceof Outcome o && o.attempt() == 0 && retry && !o.finished()) {
        out.accept(new Send(o.id(), module[0].upstreams.get(0), 0));
      }
    });
    try (StubServer upstream = StubServer.answering(StubServer.ok("x"));
        AttemptTest.UnresponsiveServer unresponsive = new AttemptTest.UnresponsiveServer();
        Rig rig = new Rig(Rig.config("127.0.0.1:1", Rig.list(1, true, Rig.member("s-1", upstream.address(), "ready"),
            Rig.member("s-2", unresponsive.address(), "ready")), "on_request", 150, 1024, ""), module[0])) {
      Client client = rig.client();
      client.socket.setSendBufferSize(2 * length);
      client.write("POST /api HTTP/1.1\r\nHost: x\r\nX-Trace-Id: t\r\nX-Qos: keyed\r\nIdempotency-Key: k\r\nContent-Length: " + length + "\r\n\r\n"
          + "x".repeat(length));
      module[0].next(Request.class);
      client.close();
      if (retry) {
        assertTrue(module[0].next(Outcome.class).finished() || module[0].next(Outcome.class).finished(), "the client has left");
      } else {
        module[0].next(ClientGone.class);
      }
      awaitLoopIterations(rig);
      assertTrue(upstream.requests.isEmpty() && upstream.connections.isEmpty(), "nothing is sent");
    }
  }

  /**
   * The request is queued when the process is stopped, also as the old process of an upgrade; its client disconnects, and only then the
   * module forwards it.
   */
  @ParameterizedTest
  @CsvSource({"false, false", "true, false", "false, true", "true, true"})
  void queuedRequestIsNotForwardedDuringStop(boolean reset, boolean hasSuccessor, @TempDir Path folder) throws Exception {
    Script[] module = new Script[1];
    String[] queuedId = new String[1];
    CountDownLatch disconnected = new CountDownLatch(1);
    CountDownLatch offlineSeen = new CountDownLatch(1);
    module[0] = new Script((event, out) -> {
      if (event instanceof Request r) {
        queuedId[0] = r.id();
      } else if (event instanceof UpstreamSetOffline) {
        offlineSeen.countDown();
        await(disconnected); // Blocks the loop, which notices no disconnect.
        out.accept(new Send(queuedId[0], module[0].upstreams.get(0), 0));
      } else if (event instanceof Outcome o && !o.finished()) {
        out.accept(new Fail(o.id(), Reason.NO_ROOM));
      }
    });
    try (StubServer upstream = StubServer.answering(StubServer.ok("x")); Rig rig = new Rig(Config.parse(Rig.text("127.0.0.1:1", Rig.list(1, true,
        Rig.member("s-1", upstream.address(), "ready")), "on_request", 200, 1024, "\"management\":\"127.0.0.1:0\","), Map.of("TMPDIR", folder.toString())), module[0])) {
      if (hasSuccessor) {
        ProcessRegistry.of(folder.resolve("ashdeck"), System.nanoTime() + 1_000_000_000, 1).refresh(ProcessRegistry.Lifecycle.SERVING, 1);
      }
      Client client = rig.client();
      client.write(Rig.get("t", ""));
      module[0].next(Request.class);
      Thread stop = new Thread(rig.server::stop);
      stop.start();
      rig.server.awaitStopping();
      rig.server.runOnLoop(engine -> engine.setOffline("s-none", 0));
      assertTrue(offlineSeen.await(Rig.LIMIT_S, TimeUnit.SECONDS));
      disconnect(client, reset);
      disconnected.countDown();
      assertEquals(Status.NOT_SENT, module[0].next(Outcome.class).status());
      stop.join(TimeUnit.SECONDS.toMillis(Rig.LIMIT_S));
      assertNull(upstream.connections.poll());
    }
  }

  /** An upstream connection that is established after the client has disconnected carries no request, even if attempts may not be cancelled. */
  @Test
  void connectionEstablishedAfterDisconnectCarriesNothing() throws Exception {
    CountDownLatch seen = new CountDownLatch(1);
    CountDownLatch disconnected = new CountDownLatch(1);
    Script[] module = new Script[1];
    module[0] = new Script((event, out) -> {
      if (event instanceof Request r) {
        out.accept(new Send(r.id(), module[0].upstreams.get(0), 0));
        seen.countDown();
        await(disconnected); // Blocks the loop: the connection is established only after the client has disconnected.
      }
    });
    try (StubServer upstream = StubServer.answering(StubServer.ok("x")); Rig rig = new Rig(configFor(upstream, ""), module[0])) {
      Client client = rig.client();
      client.write(Rig.get("t", ""));
      assertTrue(seen.await(Rig.LIMIT_S, TimeUnit.SECONDS));
      disconnect(client, false);
      disconnected.countDown();
      assertEquals(Status.NOT_SENT, module[0].next(Outcome.class).status());
      awaitLoopIterations(rig);
      assertTrue(upstream.requests.isEmpty(), "no request arrived on it");
    }
  }

  /** The read timeout of a paused body is suspended: data that the disconnect check before forwarding reads must not time it out. */
  @Test
  void pausedUploadIsForwardedAfterDisconnectCheck() throws Exception {
    Script[] module = new Script[1];
    String[] queuedId = new String[1];
    CountDownLatch waited = new CountDownLatch(1);
    module[0] = new Script((event, out) -> {
      if (event instanceof Request r) {
        queuedId[0] = r.id();
        out.accept(new SetTimer("poll", 0));
      } else if (event instanceof TimerFired && waited.getCount() > 0) {
        out.accept(new SetTimer("poll", System.nanoTime()));
      } else if (event instanceof TimerFired) {
        out.accept(new Send(queuedId[0], module[0].upstreams.get(0), 0));
      } else if (event instanceof Outcome o && !o.finished()) {
        out.accept(new Fail(o.id(), Reason.NO_ROOM));
      }
    });
    int length = 400_000;
    try (StubServer upstream = StubServer.answering(StubServer.ok("x")); Rig rig = new Rig(configFor(upstream, ""), module[0]);
        Client client = rig.client()) {
      client.write("POST /api HTTP/1.1\r\nHost: x\r\nX-Trace-Id: t\r\nX-Qos: keyed\r\nIdempotency-Key: k\r\nContent-Length: " + length
          + "\r\n\r\n" + "x".repeat(90_000));
      module[0].next(Request.class);
      for (int i = 0; i < 2; i++) {
        try (Client timer = rig.client()) {
          timer.write("GET /api HT");
          assertTrue(timer.answer().startsWith("HTTP/1.1 408 "), "the read timeout is over, then also the time for this many bytes");
        }
      }
      waited.countDown();
      client.write("x".repeat(length - 90_000));
      String answer = client.answer();
      assertTrue(answer != null && answer.startsWith("HTTP/1.1 200 "), answer);
    }
  }

  /** A pipelined request with a slow body is not timed out before its turn, and no error takes the place of the earlier response. */
  @Test
  void slowPipelinedBodyDoesNotTakeEarlierResponse() throws Exception {
    CountDownLatch done = new CountDownLatch(1);
    try (StubServer upstream = StubServer.holding(done); Rig rig = new Rig(configFor(upstream, "")); Client client = rig.client(); Client timer = rig.client()) {
      client.write(Rig.get("first", ""));
      assertTrue(upstream.requests.poll(Rig.LIMIT_S, TimeUnit.SECONDS).contains("first"));
      timer.write("GET /api HT");
      assertTrue(timer.answer().startsWith("HTTP/1.1 408 "), "the read timeout is over");
      client.write("POST /api HTTP/1.1\r\nX-Trace-Id: second\r\nX-Qos: keyed\r\nIdempotency-Key: k\r\nContent-Length: 4\r\n\r\nab");
      awaitLoopIterations(rig);
      client.write("c");
      awaitLoopIterations(rig);
      done.countDown();
      String answer = client.answer();
      assertTrue(answer.startsWith("HTTP/1.1 200 "), answer);
      client.write("d");
      assertTrue(client.answer().startsWith("HTTP/1.1 200 "));
    }
  }

  private static void await(CountDownLatch latch) {
    try {
      assertTrue(latch.await(Rig.LIMIT_S, TimeUnit.SECONDS));
    } catch (InterruptedException e) {
      throw new AssertionError(e);
    }
  }
}
