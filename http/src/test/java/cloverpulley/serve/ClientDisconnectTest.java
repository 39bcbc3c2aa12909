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

/** A request whose client has left while it waited is not sent on, whatever it waited for and however its client left. */
@Timeout(value = 2 * Rig.LIMIT_S, unit = TimeUnit.SECONDS)
class ClientDisconnectTest {

  private static final String HEALTH = "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n";

  private static Config to(StubServer upstream, String more) throws IOException {
    return Rig.config("127.0.0.1:1", Rig.list(1, true, Rig.member("s-1", upstream.address(), "ready")), "on_request", 200, 1024, more);
  }

  /** Leaves by FIN, or by RST. */
  private static void leave(Client client, boolean reset) throws IOException {
    if (reset) {
      client.socket.setOption(StandardSocketOptions.SO_LINGER, 0);
    }
    client.close();
  }

  /** Asks another's question so often that all that lay in the sockets has been looked at. */
  private static void turn(Rig rig) throws IOException {
    try (Client other = rig.client()) {
      for (int i = 0; i < 50; i++) {
        other.ask(HEALTH);
      }
    }
  }

  /** Those behind the first of a pipeline: reading went off at the first early one, and the end was never heard. */
  @ParameterizedTest
  @CsvSource({"1, false", "1, true", "20, false", "20, true"})
  void whatWaitsBehindAnEarlierRequestIsNotSent(int early, boolean reset) throws Exception {
    CountDownLatch done = new CountDownLatch(1);
    Script module = new Script(0);
    try (StubServer upstream = StubServer.holding(done); Rig rig = new Rig(to(upstream, ""), module)) {
      Client client = rig.client();
      client.write(Rig.get("first", ""));
      assertTrue(upstream.requests.poll(Rig.LIMIT_S, TimeUnit.SECONDS).contains("first"));
      for (int i = 0; i < early; i++) {
        client.write(Rig.get("early" + i, "X-Padding: " + "p".repeat(2000) + "\r\n"));
        rig.client().ask(HEALTH); // It comes alone, as one read.
      }
      leave(client, reset);
      module.next(ClientGone.class);
      done.countDown();
      turn(rig);
      try (Client other = rig.client()) {
        assertTrue(other.ask(Rig.get("other", "")).startsWith("HTTP/1.1 200 "));
      }
      assertTrue(upstream.requests.poll(Rig.LIMIT_S, TimeUnit.SECONDS).contains("other"), "and none of the early ones before it");
    }
  }

  /** The module has it sent while the end of its client's connection lies unread in the socket: the loop has not looked yet. */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void anEndThatTheLoopHasNotReadIsSeenBeforeTheSending(boolean reset) throws Exception {
    CountDownLatch come = new CountDownLatch(1);
    CountDownLatch left = new CountDownLatch(1);
    Script[] module = new Script[1];
    module[0] = new Script((event, out) -> {
      if (event instanceof Request r) {
        come.countDown();
        await(left); // The loop stands still, and looks at no socket.
        out.accept(new Send(r.id(), module[0].upstreams.get(0), 0));
      } else if (event instanceof Outcome o && !o.finished()) {
        out.accept(new Fail(o.id(), Reason.NO_ROOM));
      }
    });
    try (StubServer upstream = StubServer.answering(StubServer.ok("x")); Rig rig = new Rig(to(upstream, ""), module[0])) {
      Client client = rig.client();
      client.write(Rig.get("t", ""));
      assertTrue(come.await(Rig.LIMIT_S, TimeUnit.SECONDS));
      leave(client, reset);
      left.countDown();
      assertEquals(Status.NOT_SENT, module[0].next(Outcome.class).status());
      turn(rig);
      assertNull(upstream.connections.poll(), "not even a connection");
    }
  }

  /** Before a repeated attempt: the first one's outcome comes while the client's end lies unread. */
  @Test
  void aRepeatIsNotSentEither() throws Exception {
    CountDownLatch failed = new CountDownLatch(1);
    CountDownLatch left = new CountDownLatch(1);
    Script[] module = new Script[1];
    module[0] = new Script((event, out) -> {
      if (event instanceof Request r) {
        out.accept(new Send(r.id(), module[0].upstreams.get(0), 0));
      } else if (event instanceof Outcome o && o.attempt() == 0) {
        failed.countDown();
        await(left);
        out.accept(new Send(o.id(), o.upstream(), 0));
      } else if (event instanceof Outcome o && !o.finished()) {
        out.accept(new Fail(o.id(), Reason.NO_ROOM));
      }
    });
    try (StubServer upstream = StubServer.answering("HTTP/1.1 503 Full\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n");
        Rig rig = new Rig(to(upstream, ""), module[0])) {
      Client client = rig.client();
      client.write(Rig.get("t", ""));
      assertTrue(failed.await(Rig.LIMIT_S, TimeUnit.SECONDS));
      leave(client, false);
      left.countDown();
      assertEquals(Status.FULL, module[0].next(Outcome.class).status());
      assertEquals(Status.NOT_SENT, module[0].next(Outcome.class).status());
      turn(rig);
      assertEquals(1, upstream.requests.size());
    }
  }

  /** While its body is only partly in and its connection is not read: the module holds it, and its client goes. */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void aBodyThatIsPartlyInIsNotSent(boolean reset) throws Exception {
    Script[] module = new Script[1];
    String[] held = new String[1];
    CountDownLatch left = new CountDownLatch(1);
    module[0] = new Script((event, out) -> {
      if (event instanceof Request r) {
        held[0] = r.id();
        out.accept(new SetTimer("look", 0));
      } else if (event instanceof TimerFired) {
        await(left);
        out.accept(new Send(held[0], module[0].upstreams.get(0), 0));
      } else if (event instanceof Outcome o && !o.finished()) {
        out.accept(new Fail(o.id(), Reason.NO_ROOM));
      }
    });
    try (StubServer upstream = StubServer.answering(StubServer.ok("x")); Rig rig = new Rig(to(upstream, ""), module[0])) {
      Client client = rig.client();
      client.write("POST /api HTTP/1.1\r\nHost: x\r\nX-Trace-Id: t\r\nX-Qos: keyed\r\nIdempotency-Key: k\r\nContent-Length: 1000000\r\n\r\n"
          + "x".repeat(40_000));
      module[0].next(Request.class);
      leave(client, reset);
      left.countDown();
      assertEquals(Status.NOT_SENT, module[0].next(Outcome.class).status());
      turn(rig);
      assertNull(upstream.connections.poll());
    }
  }

  /** During a stop as before it, also in an upgrade's old process: it is held while the process is told to end, its client goes, and then it would be sent. */
  @ParameterizedTest
  @CsvSource({"false, false", "true, false", "false, true", "true, true"})
  void whatIsHeldDuringAStopIsNotSent(boolean reset, boolean succeeded, @TempDir Path folder) throws Exception {
    Script[] module = new Script[1];
    String[] held = new String[1];
    CountDownLatch left = new CountDownLatch(1);
    CountDownLatch looks = new CountDownLatch(1);
    module[0] = new Script((event, out) -> {
      if (event instanceof Request r) {
        held[0] = r.id();
      } else if (event instanceof UpstreamSetOffline) {
        looks.countDown();
        await(left); // The loop stands still: it hears of no end.
        out.accept(new Send(held[0], module[0].upstreams.get(0), 0));
      } else if (event instanceof Outcome o && !o.finished()) {
        out.accept(new Fail(o.id(), Reason.NO_ROOM));
      }
    });
    try (StubServer upstream = StubServer.answering(StubServer.ok("x")); Rig rig = new Rig(Config.parse(Rig.text("127.0.0.1:1", Rig.list(1, true,
        Rig.member("s-1", upstream.address(), "ready")), "on_request", 200, 1024, "\"management\":\"127.0.0.1:0\","), Map.of("TMPDIR", folder.toString())), module[0])) {
      if (succeeded) {
        ProcessRegistry.of(folder.resolve("ashdeck"), System.nanoTime() + 1_000_000_000, 1).refresh(ProcessRegistry.Lifecycle.SERVING, 1);
      }
      Client client = rig.client();
      client.write(Rig.get("t", ""));
      module[0].next(Request.class);
      Thread stop = new Thread(rig.server::stop);
      stop.start();
      rig.server.awaitStopping();
      rig.server.runOnLoop(engine -> engine.setOffline("s-none", 0));
      assertTrue(looks.await(Rig.LIMIT_S, TimeUnit.SECONDS));
      leave(client, reset);
      left.countDown();
      assertEquals(Status.NOT_SENT, module[0].next(Outcome.class).status());
      stop.join(TimeUnit.SECONDS.toMillis(Rig.LIMIT_S));
      assertNull(upstream.connections.poll());
    }
  }

  /** A connection that comes up after its client has gone carries nothing, also where attempts may not be called off. */
  @Test
  void aConnectionThatComesUpLateCarriesNothing() throws Exception {
    CountDownLatch seen = new CountDownLatch(1);
    CountDownLatch left = new CountDownLatch(1);
    Script[] module = new Script[1];
    module[0] = new Script((event, out) -> {
      if (event instanceof Request r) {
        out.accept(new Send(r.id(), module[0].upstreams.get(0), 0));
        seen.countDown();
        await(left); // The loop stands still: the connection comes up only after the client has gone.
      }
    });
    try (StubServer upstream = StubServer.answering(StubServer.ok("x")); Rig rig = new Rig(to(upstream, ""), module[0])) {
      Client client = rig.client();
      client.write(Rig.get("t", ""));
      assertTrue(seen.await(Rig.LIMIT_S, TimeUnit.SECONDS));
      leave(client, false);
      left.countDown();
      assertEquals(Status.NOT_SENT, module[0].next(Outcome.class).status());
      turn(rig);
      assertTrue(upstream.requests.isEmpty(), "nothing came on it");
    }
  }

  /** A body that is held has no time running: what the look before a sending finds of it is not judged as coming too late. */
  @Test
  void aHeldBodyIsSentOnWhateverTheLookFinds() throws Exception {
    Script[] module = new Script[1];
    String[] held = new String[1];
    CountDownLatch waited = new CountDownLatch(1);
    module[0] = new Script((event, out) -> {
      if (event instanceof Request r) {
        held[0] = r.id();
        out.accept(new SetTimer("look", 0));
      } else if (event instanceof TimerFired && waited.getCount() > 0) {
        out.accept(new SetTimer("look", System.nanoTime()));
      } else if (event instanceof TimerFired) {
        out.accept(new Send(held[0], module[0].upstreams.get(0), 0));
      } else if (event instanceof Outcome o && !o.finished()) {
        out.accept(new Fail(o.id(), Reason.NO_ROOM));
      }
    });
    int length = 400_000;
    try (StubServer upstream = StubServer.answering(StubServer.ok("x")); Rig rig = new Rig(to(upstream, ""), module[0]);
        Client client = rig.client()) {
      client.write("POST /api HTTP/1.1\r\nHost: x\r\nX-Trace-Id: t\r\nX-Qos: keyed\r\nIdempotency-Key: k\r\nContent-Length: " + length
          + "\r\n\r\n" + "x".repeat(90_000));
      module[0].next(Request.class);
      for (int i = 0; i < 2; i++) {
        try (Client clock = rig.client()) {
          clock.write("GET /api HT");
          assertTrue(clock.answer().startsWith("HTTP/1.1 408 "), "a client's time is over, and then what so many bytes may take");
        }
      }
      waited.countDown();
      client.write("x".repeat(length - 90_000));
      String answer = client.answer();
      assertTrue(answer != null && answer.startsWith("HTTP/1.1 200 "), answer);
    }
  }

  /** A second request whose body comes slowly behind one that is served is not judged before its turn, nor answered in the first one's place. */
  @Test
  void aSlowBodyBehindAServedRequestDoesNotTakeItsAnswer() throws Exception {
    CountDownLatch done = new CountDownLatch(1);
    try (StubServer upstream = StubServer.holding(done); Rig rig = new Rig(to(upstream, "")); Client client = rig.client(); Client clock = rig.client()) {
      client.write(Rig.get("first", ""));
      assertTrue(upstream.requests.poll(Rig.LIMIT_S, TimeUnit.SECONDS).contains("first"));
      clock.write("GET /api HT");
      assertTrue(clock.answer().startsWith("HTTP/1.1 408 "), "the time for a request is over");
      client.write("POST /api HTTP/1.1\r\nX-Trace-Id: second\r\nX-Qos: keyed\r\nIdempotency-Key: k\r\nContent-Length: 4\r\n\r\nab");
      turn(rig);
      client.write("c");
      turn(rig);
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
