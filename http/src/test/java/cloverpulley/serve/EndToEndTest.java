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

/** The balancer as a client sees it, over real connections. */
@Timeout(value = 2 * Rig.LIMIT_S, unit = TimeUnit.SECONDS)
class EndToEndTest {

  private static final String UNREACHABLE = "127.0.0.1:1";

  private static Config configWith(StubServer upstream) throws IOException {
    return Rig.config(UNREACHABLE, Rig.list(1, true, Rig.member("s-1", upstream.address(), "ready")));
  }

  @Test
  void requestsAreForwardedUnchangedOverOneConnection() throws Exception {
    try (StubServer upstream = StubServer.answering(StubServer.ok("an answer"));
        Rig rig = new Rig(configWith(upstream)); Client client = rig.client()) {
      String answer = client.ask(Rig.get("t1", "X-Expires-In-Ms: 30000\r\nConnection: keep-alive, X-Hop\r\nX-Hop: 1\r\n"));
      assertTrue(answer.startsWith("HTTP/1.1 200 OK\r\n") && answer.endsWith("\r\n\r\nan answer"), answer);
      String forwarded = upstream.requests.take();
      assertTrue(forwarded.startsWith("GET /api?q=1 HTTP/1.1\r\n"), forwarded);
      assertTrue(forwarded.contains("X-Trace-Id: t1\r\n") && !forwarded.contains("X-Hop"), forwarded);
      assertTrue(forwarded.matches("(?s).*X-Expires-In-Ms: 29\\d{3}\r\n.*"), "has the remaining time of the client: " + forwarded);
      answer = client.ask(Rig.post("t2", "Idempotency-Key: k2\r\nX-Expires-In-Ms: 30000\r\n", "a body"));
      assertTrue(answer.startsWith("HTTP/1.1 200 OK\r\n"), answer);
      forwarded = upstream.requests.take();
      assertTrue(forwarded.startsWith("POST /api HTTP/1.1\r\n") && forwarded.contains("Idempotency-Key: k2\r\n")
          && forwarded.endsWith("\r\n\r\na body"), forwarded);
      // A connection is reused after it was idle: eventually a request arrives on an existing connection.
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
  void invalidRequestGetsErrorAndReachesNoUpstream(String request, int status) throws Exception {
    try (StubServer upstream = StubServer.answering(StubServer.ok("x")); Rig rig = new Rig(configWith(upstream))) {
      try (Client client = rig.client()) {
        String answer = client.ask(request.trim().replace("~", "\r\n"));
        assertTrue(answer.startsWith("HTTP/1.1 " + status + " "), answer);
      }
      try (Client client = rig.client()) {
        assertTrue(client.ask(Rig.get("good", "")).startsWith("HTTP/1.1 200 "), "still serves other requests");
      }
      assertTrue(upstream.requests.take().contains("X-Trace-Id: good\r\n"));
      assertNull(upstream.requests.poll());
    }
  }

  @Test
  void largestBufferedResponseIsForwarded() throws Exception {
    String body = "b".repeat(ResponseForwarding.MAX_SHORT_BYTES);
    try (StubServer upstream = StubServer.answering(StubServer.ok(body));
        Rig rig = new Rig(configWith(upstream)); Client client = rig.client()) {
      String answer = client.ask(Rig.post("t", "Idempotency-Key: k\r\n", body));
      assertTrue(answer.startsWith("HTTP/1.1 200 ") && answer.endsWith("\r\n\r\n" + body));
      assertTrue(upstream.requests.take().endsWith("\r\n\r\n" + body));
    }
  }

  @Test
  void healthReportsWhetherItCanServe() throws Exception {
    String health = "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n";
    try (StubServer upstream = StubServer.answering(StubServer.ok("x")); Rig rig = new Rig(configWith(upstream));
        Client client = rig.client()) {
      assertTrue(client.ask(health).startsWith("HTTP/1.1 200 "));
    }
    try (Rig rig = new Rig(Rig.config(UNREACHABLE, Rig.list(1, true))); Client client = rig.client()) {
      assertTrue(client.ask(health).startsWith("HTTP/1.1 503 "), "no upstream is known");
    }
  }

  @Test
  void rejectionHasRetryAfterAndIsImmediate() throws Exception {
    Script module = new Script((event, out) -> {
      if (event instanceof Request r) {
        out.accept(new Reject(r.id(), 250_000_001, Reason.OVER_RATE));
      }
    });
    try (Rig rig = new Rig(Rig.config(UNREACHABLE, Rig.list(1, true)), module); Client client = rig.client()) {
      String answer = client.ask(Rig.get("t", ""));
      assertTrue(answer.startsWith("HTTP/1.1 429 ") && answer.contains("retry-after: 0.251\r\n"), answer);
    }
  }

  @Test
  void moduleGetsValuesOfHeaders() throws Exception {
    Script module = new Script((event, out) -> {
      if (event instanceof Request r) {
        out.accept(new Fail(r.id(), Reason.NO_ROOM));
      }
    });
    try (Rig rig = new Rig(Rig.config(UNREACHABLE, Rig.list(1, true)), module); Client client = rig.client()) {
      String answer = client.ask(Rig.get("t", "X-Customer: acme\r\nCookie: a=b; sid=7f3a\r\nX-Size-Hint: 1500\r\n"
          + "X-Second-Try: 1\r\nX-Expires-In-Ms: 480\r\n"));
      assertTrue(answer.startsWith("HTTP/1.1 502 "), answer);
      Request r = module.next(Request.class);
      assertEquals("safe acme 7f3a 1500000 true",
          r.className() + " " + r.tenant() + " " + r.key() + " " + r.workHintNanos() + " " + r.retry());
    }
  }

  @Test
  void requestForgottenByModuleIsAnsweredBeforeDeadline() throws Exception {
    Script module = new Script((event, out) -> { });
    try (Rig rig = new Rig(Rig.config(UNREACHABLE, Rig.list(1, true)), module); Client client = rig.client()) {
      assertTrue(client.ask(Rig.get("t", "X-Expires-In-Ms: 300\r\n")).startsWith("HTTP/1.1 504 "));
      assertEquals(module.next(Request.class).id(), module.next(ClientGone.class).id(), "the module is notified");
    }
  }

  @Test
  void moduleExceptionFailsPendingRequestsAndServingContinues() throws Exception {
    Script module = new Script((event, out) -> {
      if (event instanceof Request r && r.tenant() != null) {
        if (r.tenant().equals("bad")) {
          throw new IllegalStateException("on purpose: this trace belongs to a test");
        }
        out.accept(new Reject(r.id(), 0, Reason.OVER_RATE));
      }
    });
    try (Rig rig = new Rig(Rig.config(UNREACHABLE, Rig.list(1, true)), module); Client pending = rig.client();
        Client bad = rig.client()) {
      pending.write(Rig.get("held", ""));
      module.next(Request.class);
      assertTrue(bad.ask(Rig.get("t", "X-Customer: bad\r\n")).startsWith("HTTP/1.1 500 "));
      assertTrue(pending.answer().startsWith("HTTP/1.1 500 "));
      assertTrue(bad.ask(Rig.get("t2", "X-Customer: good\r\n")).startsWith("HTTP/1.1 429 "));
    }
  }

  /** A request's deadline counts from its completion: a pipelined one whose deadline has passed when its turn comes is not forwarded. */
  @Test
  void pipelinedRequestPastItsDeadlineIsNotForwarded() throws Exception {
    CountDownLatch done = new CountDownLatch(1);
    Script module = new Script(0);
    try (StubServer upstream = StubServer.holding(done); Rig rig = new Rig(configWith(upstream), module); Client client = rig.client(); Client timer = rig.client()) {
      client.write(Rig.get("first", "") + Rig.get("second", "X-Expires-In-Ms: 100\r\n"));
      assertTrue(upstream.requests.take().contains("first"));
      timer.write("GET /api HT");
      assertTrue(timer.answer().startsWith("HTTP/1.1 408 "), "the read timeout of 2.5 s is over");
      done.countDown();
      assertTrue(client.answer().startsWith("HTTP/1.1 200 "));
      String answer = client.answer();
      assertTrue(answer.startsWith("HTTP/1.1 50"), answer);
      assertEquals(0, upstream.requests.size(), "no other request reached the upstream");
    }
  }

  @Test
  void pipelinedRequestsAreAnsweredInOrder() throws Exception {
    try (StubServer upstream = new StubServer(c -> {
      for (String r = c.next(); r != null; r = c.next()) {
        c.write(StubServer.ok(r.contains("X-Trace-Id: first") ? "1" : "2"));
      }
    }); Rig rig = new Rig(configWith(upstream)); Client client = rig.client()) {
      client.write(Rig.get("first", "") + Rig.get("second", ""));
      assertTrue(client.answer().endsWith("\r\n\r\n1"));
      assertTrue(client.answer().endsWith("\r\n\r\n2"));
    }
  }

  @Test
  void timersFireAndPeerMessagesArrive() throws Exception {
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
      Config config = Rig.config(UNREACHABLE, Rig.list(1, true), "on_request", 200, 1024, more);
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

  /** A part of a request has arrived when connections without a request are closed, and the rest is on its way. */
  @Test
  void partialRequestIsAnsweredDuringStop() throws Exception {
    try (StubServer upstream = StubServer.answering(StubServer.ok("x")); Rig rig = new Rig(configWith(upstream)); Client idle = rig.client();
        Client silent = rig.client(); Client slow = rig.client()) {
      assertTrue(idle.ask(Rig.get("t1", "")).startsWith("HTTP/1.1 200 "));
      String request = Rig.get("t2", "");
      Thread stop = new Thread(rig.server::stop);
      stop.start();
      rig.server.awaitStopping();
      slow.write(request.substring(0, 30));
      assertNull(idle.answer(), "closed: it was idle");
      assertNull(silent.answer(), "closed: it never sent anything");
      slow.write(request.substring(30));
      String answer = slow.answer();
      assertTrue(answer != null && answer.startsWith("HTTP/1.1 200 ") && answer.toLowerCase(java.util.Locale.ROOT).contains("connection: close"), answer);
      assertNull(slow.answer());
      stop.join(TimeUnit.SECONDS.toMillis(Rig.LIMIT_S));
      assertTrue(!stop.isAlive(), "stops once no client is left");
    }
  }

  /** A client that never completes its request does not block the stop. */
  @Test
  void incompleteRequestDoesNotBlockStop() throws Exception {
    try (StubServer upstream = StubServer.answering(StubServer.ok("x")); Rig rig = new Rig(configWith(upstream)); Client incomplete = rig.client()) {
      incomplete.write("GET /api HTTP/1.1\r\nX-Tr");
      Thread stop = new Thread(rig.server::stop);
      stop.start();
      String answer = incomplete.answer();
      assertTrue(answer == null || answer.startsWith("HTTP/1.1 408 "), answer);
      stop.join(TimeUnit.SECONDS.toMillis(Rig.LIMIT_S));
      assertTrue(!stop.isAlive());
    }
  }

  @Test
  void newConnectionsAreServedDuringStop() throws Exception {
    try (StubServer upstream = new StubServer(c -> {
      for (String r = c.next(); r != null; r = c.next()) {
        c.write(StubServer.ok("x"));
      }
    }); Rig rig = new Rig(configWith(upstream)); Client old = rig.client()) {
      assertTrue(old.ask(Rig.get("t1", "")).startsWith("HTTP/1.1 200 "));
      Thread stop = new Thread(rig.server::stop);
      stop.start();
      rig.server.awaitStopping();
      try (Client late = rig.client()) {
        assertTrue(late.ask("GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n").startsWith("HTTP/1.1 503 "), "reports that it does not serve");
        assertTrue(late.ask(Rig.get("t2", "")).startsWith("HTTP/1.1 200 "));
        assertNull(late.answer(), "the connection closes");
      }
      assertNull(old.answer(), "as does an earlier connection");
      stop.join(TimeUnit.SECONDS.toMillis(Rig.LIMIT_S));
      assertTrue(!stop.isAlive(), "stops once no client is left");
    }
  }
}
