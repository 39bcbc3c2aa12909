package cloverpulley.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cloverpulley.Balancer.ClientGone;
import cloverpulley.Balancer.Fail;
import cloverpulley.Balancer.PeerMessage;
import cloverpulley.Balancer.Reject;
import cloverpulley.Balancer.Request;
import cloverpulley.Balancer.SendToPeer;
import cloverpulley.Balancer.SetTimer;
import cloverpulley.Balancer.TimerFired;
import cloverpulley.Reason;
import cloverpulley.serve.Rig.Client;
import cloverpulley.serve.Rig.Script;
import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** What a client sees, over real connections. */
@Timeout(value = 2 * Rig.LIMIT_S, unit = TimeUnit.SECONDS)
class EndToEndTest {

  private static final String NOWHERE = "127.0.0.1:1";

  private static Config one(StubServer upstream) throws IOException {
    return Rig.config(NOWHERE, Rig.list(1, true, Rig.member("s-1", upstream.address(), "ready")));
  }

  @Test
  void requestsGoOnUnchangedOverOneConnection() throws Exception {
    try (StubServer upstream = StubServer.answering(StubServer.ok("an answer"));
        Rig rig = new Rig(one(upstream)); Client client = rig.client()) {
      String answer = client.ask(Rig.get("t1", "X-Expires-In-Ms: 30000\r\nConnection: keep-alive, X-Hop\r\nX-Hop: 1\r\n"));
      assertTrue(answer.startsWith("HTTP/1.1 200 OK\r\n") && answer.endsWith("\r\n\r\nan answer"), answer);
      String got = upstream.requests.take();
      assertTrue(got.startsWith("GET /api?q=1 HTTP/1.1\r\n"), got);
      assertTrue(got.contains("X-Trace-Id: t1\r\n") && !got.contains("X-Hop"), got);
      assertTrue(got.matches("(?s).*X-Expires-In-Ms: 29\\d{3}\r\n.*"), "tells how long it waits: " + got);
      answer = client.ask(Rig.post("t2", "Idempotency-Key: k2\r\nX-Expires-In-Ms: 30000\r\n", "a body"));
      assertTrue(answer.startsWith("HTTP/1.1 200 OK\r\n"), answer);
      got = upstream.requests.take();
      assertTrue(got.startsWith("POST /api HTTP/1.1\r\n") && got.contains("Idempotency-Key: k2\r\n")
          && got.endsWith("\r\n\r\na body"), got);
      // It is used again after a rest: asked often enough, a request comes on a connection that is there already.
      for (int before = -1; before != upstream.connections.size();) {
        before = upstream.connections.size();
        client.ask(Rig.get("again" + before, ""));
      }
    }
  }

  @ParameterizedTest
  @CsvSource(delimiter = '|', value = {
    "GET /api HTTP/1.1~X-Qos: safe~~ | 400",
    "GET /api HTTP/1.1~X-Trace-Id: t~~ | 400",
    "GET /api HTTP/1.1~X-Trace-Id: t~X-Qos: odd~~ | 400",
    "GET /api HTTP/1.1~X-Trace-Id: t~X-Qos: safe~X-Expires-In-Ms: -5~~ | 400",
    "POST /api HTTP/1.1~X-Trace-Id: t~X-Qos: keyed~Content-Length: 0~~ | 400",
    "GET /api HTTP/1.1~no colon here~~ | 400",
    "nonsense~~ | 400",
    "GET /other HTTP/1.1~X-Trace-Id: t~X-Qos: safe~~ | 404",
    "PUT /api HTTP/1.1~X-Trace-Id: t~X-Qos: safe~Content-Length: 0~~ | 405",
    "POST /api HTTP/1.1~X-Trace-Id: t~X-Qos: keyed~Idempotency-Key: k~Content-Length: 40000000~~ | 413"})
  void badInputIsAnsweredAndReachesNoUpstream(String request, int status) throws Exception {
    try (StubServer upstream = StubServer.answering(StubServer.ok("x")); Rig rig = new Rig(one(upstream))) {
      try (Client client = rig.client()) {
        String answer = client.ask(request.trim().replace("~", "\r\n"));
        assertTrue(answer.startsWith("HTTP/1.1 " + status + " "), answer);
      }
      try (Client client = rig.client()) {
        assertTrue(client.ask(Rig.get("good", "")).startsWith("HTTP/1.1 200 "), "still serves");
      }
      assertTrue(upstream.requests.take().contains("X-Trace-Id: good\r\n"));
      assertNull(upstream.requests.poll());
    }
  }

  @Test
  void aBodyOfTheLargestSizePasses() throws Exception {
    String body = "b".repeat(Frontend.MAX_BUFFERED_RESPONSE);
    try (StubServer upstream = StubServer.answering(StubServer.ok(body));
        Rig rig = new Rig(one(upstream)); Client client = rig.client()) {
      String answer = client.ask(Rig.post("t", "Idempotency-Key: k\r\n", body));
      assertTrue(answer.startsWith("HTTP/1.1 200 ") && answer.endsWith("\r\n\r\n" + body));
      assertTrue(upstream.requests.take().endsWith("\r\n\r\n" + body));
    }
  }

  @Test
  void healthTellsWhetherItCanServe() throws Exception {
    String health = "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n";
    try (StubServer upstream = StubServer.answering(StubServer.ok("x")); Rig rig = new Rig(one(upstream));
        Client client = rig.client()) {
      assertTrue(client.ask(health).startsWith("HTTP/1.1 200 "));
    }
    try (Rig rig = new Rig(Rig.config(NOWHERE, Rig.list(1, true))); Client client = rig.client()) {
      assertTrue(client.ask(health).startsWith("HTTP/1.1 503 "), "no upstream is known");
    }
  }

  @Test
  void aRefusalSaysWhenToComeBackAndGoesOutAtOnce() throws Exception {
    Script module = new Script((event, out) -> {
      if (event instanceof Request r) {
        out.accept(new Reject(r.id(), 250_000_001, Reason.OVER_RATE));
      }
    });
    try (Rig rig = new Rig(Rig.config(NOWHERE, Rig.list(1, true)), module); Client client = rig.client()) {
      String answer = client.ask(Rig.get("t", ""));
      assertTrue(answer.startsWith("HTTP/1.1 429 ") && answer.contains("retry-after: 0.251\r\n"), answer);
    }
  }

  @Test
  void theModuleIsToldWhatTheHeadersSay() throws Exception {
    Script module = new Script((event, out) -> {
      if (event instanceof Request r) {
        out.accept(new Fail(r.id(), Reason.NO_ROOM));
      }
    });
    try (Rig rig = new Rig(Rig.config(NOWHERE, Rig.list(1, true)), module); Client client = rig.client()) {
      String answer = client.ask(Rig.get("t", "X-Customer: acme\r\nCookie: a=b; sid=7f3a\r\nX-Size-Hint: 1500\r\n"
          + "X-Second-Try: 1\r\nX-Expires-In-Ms: 480\r\n"));
      assertTrue(answer.startsWith("HTTP/1.1 502 "), answer);
      Request r = module.next(Request.class);
      assertEquals("safe acme 7f3a 1500000 true",
          r.className() + " " + r.tenant() + " " + r.key() + " " + r.workHintNanos() + " " + r.retry());
    }
  }

  @Test
  void aRequestThatTheModuleForgetsIsAnsweredBeforeItsDeadline() throws Exception {
    Script module = new Script((event, out) -> { });
    try (Rig rig = new Rig(Rig.config(NOWHERE, Rig.list(1, true)), module); Client client = rig.client()) {
      assertTrue(client.ask(Rig.get("t", "X-Expires-In-Ms: 300\r\n")).startsWith("HTTP/1.1 504 "));
      assertEquals(module.next(Request.class).id(), module.next(ClientGone.class).id(), "the module lets go of it");
    }
  }

  @Test
  void anExceptionInTheModuleAnswersWhatIsHeldAndServesOn() throws Exception {
    Script module = new Script((event, out) -> {
      if (event instanceof Request r && r.tenant() != null) {
        if (r.tenant().equals("bad")) {
          throw new IllegalStateException("on purpose: this trace belongs to a test");
        }
        out.accept(new Reject(r.id(), 0, Reason.OVER_RATE));
      }
    });
    try (Rig rig = new Rig(Rig.config(NOWHERE, Rig.list(1, true)), module); Client held = rig.client();
        Client bad = rig.client()) {
      held.write(Rig.get("held", ""));
      module.next(Request.class);
      assertTrue(bad.ask(Rig.get("t", "X-Customer: bad\r\n")).startsWith("HTTP/1.1 500 "));
      assertTrue(held.answer().startsWith("HTTP/1.1 500 "));
      assertTrue(bad.ask(Rig.get("t2", "X-Customer: good\r\n")).startsWith("HTTP/1.1 429 "));
    }
  }

  /** Its time counts from when it was whole: over while it waited behind another, it is not sent on at its turn. */
  @Test
  void aRequestThatWaitedBehindAnotherForAllItsTimeIsNotSentOn() throws Exception {
    CountDownLatch done = new CountDownLatch(1);
    Script module = new Script(0);
    try (StubServer upstream = StubServer.holding(done); Rig rig = new Rig(one(upstream), module); Client client = rig.client(); Client clock = rig.client()) {
      client.write(Rig.get("first", "") + Rig.get("second", "X-Expires-In-Ms: 100\r\n"));
      assertTrue(upstream.requests.take().contains("first"));
      clock.write("GET /api HT");
      assertTrue(clock.answer().startsWith("HTTP/1.1 408 "), "the 2.5 s that a client may take for a request are over");
      done.countDown();
      assertTrue(client.answer().startsWith("HTTP/1.1 200 "));
      String answer = client.answer();
      assertTrue(answer.startsWith("HTTP/1.1 50"), answer);
      assertEquals(0, upstream.requests.size(), "nothing more came to the upstream");
    }
  }

  @Test
  void requestsThatComeEarlyAreAnsweredInTurn() throws Exception {
    try (StubServer upstream = new StubServer(c -> {
      for (String r = c.next(); r != null; r = c.next()) {
        c.write(StubServer.ok(r.contains("X-Trace-Id: first") ? "1" : "2"));
      }
    }); Rig rig = new Rig(one(upstream)); Client client = rig.client()) {
      client.write(Rig.get("first", "") + Rig.get("second", ""));
      assertTrue(client.answer().endsWith("\r\n\r\n1"));
      assertTrue(client.answer().endsWith("\r\n\r\n2"));
    }
  }

  @Test
  void timersFireAndPeersTalk() throws Exception {
    Script module = new Script((event, out) -> {
      if (event instanceof Request) {
        out.accept(new SetTimer("now", 0));
        out.accept(new SendToPeer(-1, "hi 1".getBytes(StandardCharsets.UTF_8)));
      }
    });
    try (DatagramSocket peer = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
      peer.setSoTimeout(Rig.LIMIT_S * 1000);
      String more = "\"peer_listen\":\"127.0.0.1:" + freePort() + "\",\"peers\":[\"127.0.0.1:1\",\"127.0.0.1:"
          + peer.getLocalPort() + "\"],\"peers_all\":\"127.0.0.1:" + peer.getLocalPort() + "\",";
      Config config = Rig.config(NOWHERE, Rig.list(1, true), "on_request", 200, 1024, more);
      try (Rig rig = new Rig(config, module); Client client = rig.client()) {
        client.write(Rig.get("t", ""));
        assertEquals("now", module.next(TimerFired.class).token());
        DatagramPacket packet = new DatagramPacket(new byte[256], 256);
        peer.receive(packet);
        assertEquals("hi 1", new String(packet.getData(), 0, packet.getLength(), StandardCharsets.UTF_8));
        peer.send(new DatagramPacket(new byte[] {7}, 1, config.peerListen()));
        PeerMessage message = module.next(PeerMessage.class);
        assertEquals(1, message.from());
        assertEquals(7, message.data()[0]);
      }
    }
  }

  private static int freePort() throws SocketException {
    try (DatagramSocket socket = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
      return socket.getLocalPort();
    }
  }

  /** Half of a request has come when those that are owed nothing are closed, and the other half is on its way. */
  @Test
  void aRequestThatHasBegunWhenConnectionsAreClosedIsStillAnswered() throws Exception {
    try (StubServer upstream = StubServer.answering(StubServer.ok("x")); Rig rig = new Rig(one(upstream)); Client idle = rig.client();
        Client silent = rig.client(); Client slow = rig.client()) {
      assertTrue(idle.ask(Rig.get("t1", "")).startsWith("HTTP/1.1 200 "));
      String request = Rig.get("t2", "");
      Thread stop = new Thread(rig.server::stop);
      stop.start();
      rig.server.awaitStopping();
      slow.write(request.substring(0, 30));
      assertNull(idle.answer(), "closed: it rested");
      assertNull(silent.answer(), "closed: it never said anything");
      slow.write(request.substring(30));
      String answer = slow.answer();
      assertTrue(answer != null && answer.startsWith("HTTP/1.1 200 ") && answer.toLowerCase(java.util.Locale.ROOT).contains("connection: close"), answer);
      assertNull(slow.answer());
      stop.join(TimeUnit.SECONDS.toMillis(Rig.LIMIT_S));
      assertTrue(!stop.isAlive(), "ends once no client is left");
    }
  }

  /** A client that never ends its request does not hold the end. */
  @Test
  void halfARequestDoesNotHoldTheStop() throws Exception {
    try (StubServer upstream = StubServer.answering(StubServer.ok("x")); Rig rig = new Rig(one(upstream)); Client half = rig.client()) {
      half.write("GET /api HTTP/1.1\r\nX-Tr");
      Thread stop = new Thread(rig.server::stop);
      stop.start();
      String answer = half.answer();
      assertTrue(answer == null || answer.startsWith("HTTP/1.1 408 "), answer);
      stop.join(TimeUnit.SECONDS.toMillis(Rig.LIMIT_S));
      assertTrue(!stop.isAlive());
    }
  }

  @Test
  void stoppingTakesWhatStillComesAndAnswersIt() throws Exception {
    try (StubServer upstream = new StubServer(c -> {
      for (String r = c.next(); r != null; r = c.next()) {
        c.write(StubServer.ok("x"));
      }
    }); Rig rig = new Rig(one(upstream)); Client old = rig.client()) {
      assertTrue(old.ask(Rig.get("t1", "")).startsWith("HTTP/1.1 200 "));
      Thread stop = new Thread(rig.server::stop);
      stop.start();
      rig.server.awaitStopping();
      try (Client late = rig.client()) {
        assertTrue(late.ask("GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n").startsWith("HTTP/1.1 503 "), "go elsewhere");
        assertTrue(late.ask(Rig.get("t2", "")).startsWith("HTTP/1.1 200 "));
        assertNull(late.answer(), "and the connection ends");
      }
      assertNull(old.answer(), "as does one from before");
      stop.join(TimeUnit.SECONDS.toMillis(Rig.LIMIT_S));
      assertTrue(!stop.isAlive(), "ends once no client is left");
    }
  }
}
