package cloverpulley.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cloverpulley.serve.Rig.Client;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Clients that send malformed or incomplete requests get an error or a close, without any effect on other clients. */
@Timeout(value = 2 * Rig.LIMIT_S, unit = TimeUnit.SECONDS)
class MisbehavingClientTest {

  private static final String UNREACHABLE = "127.0.0.1:1";
  private static final String TENANTS = "\"projects\":[{\"name\":\"acme\",\"portion\":1.0,\"quota-per-s\":100000.0}],";

  private static Config configWith(StubServer upstream, int sockets) throws IOException {
    return Rig.config(UNREACHABLE, Rig.list(1, true, Rig.member("s-1", upstream.address(), "ready")), "on_request", 200,
        sockets, "");
  }

  /** A malformed request gets the error status that fits, the connection closes, and data after the request is ignored. */
  @ParameterizedTest
  @CsvSource(delimiter = '|', value = {
    "POST /api HTTP/1.1~Content-Length: 4~Transfer-Encoding: chunked~~0~~ | 400",
    "POST /api HTTP/1.1~Transfer-Encoding: chunked~Content-Length: 4~~0~~ | 400",
    "POST /api HTTP/1.1~Transfer-Encoding: identity~~ | 400",
    "POST /api HTTP/1.1~Transfer-Encoding: chunked, identity~~0~~ | 400",
    "POST /api HTTP/1.1~Content-Length: 1~Content-Length: 2~~x | 400",
    "POST /api HTTP/1.1~Content-Length: -1~~ | 400",
    "POST /api HTTP/1.1~Content-Length: 99999999999999999999~~ | 400",
    "POST /api HTTP/1.1~Content-Length: 60000000~~ | 413",
    "POST /api HTTP/1.1~Transfer-Encoding: chunked~~zz~~ | 400",
    "nonsense~~ | 400"})
  void malformedRequestGetsErrorAndClose(String bad, int status) throws Exception {
    try (StubServer upstream = StubServer.answering(StubServer.ok("x")); Rig rig = new Rig(configWith(upstream, 1024));
        Client client = rig.client()) {
      String head = "X-Trace-Id: bad~X-Qos: keyed~Idempotency-Key: k~";
      String text = bad.trim().replaceFirst("HTTP/1.1~", "HTTP/1.1~" + head).replace("~", "\r\n");
      client.write(text + Rig.get("hidden", ""));
      String answer = client.answer();
      assertTrue(answer.startsWith("HTTP/1.1 " + status + " ") && answer.contains("connection: close\r\n"), answer);
      assertNull(client.answer());
      try (Client good = rig.client()) {
        assertTrue(good.ask(Rig.get("good", "")).startsWith("HTTP/1.1 200 "));
      }
      assertTrue(upstream.requests.take().contains("X-Trace-Id: good\r\n"));
      assertNull(upstream.requests.poll());
    }
  }

  /** Guards against an error response that overtakes the response to an earlier pipelined request. */
  @Test
  void errorIsAnsweredInOrder() throws Exception {
    CountDownLatch invalidSent = new CountDownLatch(1);
    try (StubServer upstream = new StubServer(c -> {
      c.next();
      invalidSent.await();
      c.write(StubServer.ok("first"));
      c.ends();
    }); Rig rig = new Rig(configWith(upstream, 1024)); Client client = rig.client()) {
      client.write(Rig.get("t", ""));
      assertNotNull(upstream.requests.poll(Rig.LIMIT_S, TimeUnit.SECONDS));
      client.write("POST /api HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 40000000\r\n\r\n");
      invalidSent.countDown();
      assertTrue(client.answer().endsWith("\r\n\r\nfirst"));
      assertTrue(client.answer().startsWith("HTTP/1.1 413 "));
      assertNull(client.answer());
    }
  }

  /** Guards the memory: pipelined requests are queued, and a client that sends hundreds at once is cut off. */
  @Test
  void excessPipelinedRequestsAreRejected() throws Exception {
    CountDownLatch done = new CountDownLatch(1);
    try (StubServer upstream = new StubServer(c -> {
      for (String r = c.next(); r != null; r = c.next()) {
        done.await();
        c.write(StubServer.ok("x"));
      }
    }); Rig rig = new Rig(configWith(upstream, 1024)); Client client = rig.client(); Client other = rig.client()) {
      StringBuilder many = new StringBuilder();
      for (int i = 0; i < 500; i++) {
        many.append(Rig.get("t" + i, ""));
      }
      client.write(many.toString());
      for (int i = 0; i < 200; i++) {
        // Each response needs an iteration of the loop, and each iteration reads more requests than can be queued.
        other.ask("GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n");
      }
      done.countDown();
      List<String> answers = new ArrayList<>();
      for (String answer = client.answer(); answer != null; answer = client.answer()) {
        answers.add(answer);
      }
      assertTrue(answers.size() < 100, "answers: " + answers.size());
      assertTrue(answers.get(0).startsWith("HTTP/1.1 200 "), answers.get(0));
      assertTrue(answers.get(answers.size() - 1).startsWith("HTTP/1.1 400 "), answers.size() + answers.get(answers.size() - 1));
    }
  }

  /** Guards a request in progress, and its effect, against another client that uses the same id. */
  @Test
  void idOfRequestInProgressIsConflict() throws Exception {
    CountDownLatch done = new CountDownLatch(1);
    try (StubServer upstream = new StubServer(c -> {
      while (c.next() != null) {
        done.await();
        c.write(StubServer.ok("x"));
      }
    }); Rig rig = new Rig(configWith(upstream, 1024)); Client client = rig.client(); Client otherClient = rig.client()) {
      client.write(Rig.get("t", ""));
      assertNotNull(upstream.requests.poll(Rig.LIMIT_S, TimeUnit.SECONDS));
      assertTrue(otherClient.ask(Rig.get("t", "")).startsWith("HTTP/1.1 409 "));
      done.countDown();
      assertTrue(client.answer().startsWith("HTTP/1.1 200 "));
      assertTrue(otherClient.ask(Rig.get("t", "")).startsWith("HTTP/1.1 200 "), "the id can be used again");
      assertEquals(2, upstream.requests.size() + 1);
    }
  }

  /** Guards a request that waits behind another, or whose body is still being received, against another client that uses its id first. */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void idOfRequestThatIsNotForwardedYetIsConflict(boolean pipelined) throws Exception {
    CountDownLatch done = new CountDownLatch(1);
    try (StubServer upstream = new StubServer(c -> {
      while (c.next() != null) {
        done.await();
        c.write(StubServer.ok("x"));
      }
    }); Rig rig = new Rig(configWith(upstream, 1024)); Client client = rig.client(); Client otherClient = rig.client()) {
      String post = Rig.post("second", "Idempotency-Key: k\r\n", "body");
      client.write(Rig.get("first", ""));
      assertNotNull(upstream.requests.poll(Rig.LIMIT_S, TimeUnit.SECONDS));
      client.write(pipelined ? post : post.substring(0, post.length() - 1));
      while (!otherClient.ask(Rig.get("second", "")).startsWith("HTTP/1.1 409 ")) {
        assertTrue(upstream.requests.isEmpty(), "the id was used before its request");
      }
      done.countDown();
      assertTrue(client.answer().startsWith("HTTP/1.1 200 "));
      client.write(pipelined ? "" : "y");
      assertTrue(client.answer().startsWith("HTTP/1.1 200 "));
      assertEquals(1, upstream.requests.size());
    }
  }

  /** An upstream could take the id that the balancer has not checked. */
  @Test
  void requestWithTwoIdsIsRejected() throws Exception {
    try (StubServer upstream = StubServer.answering(StubServer.ok("x")); Rig rig = new Rig(configWith(upstream, 1024));
        Client client = rig.client()) {
      assertTrue(client.ask(Rig.get("a", "x-trace-id: b\r\n")).startsWith("HTTP/1.1 400 "));
      assertTrue(client.ask(Rig.get("b", "")).startsWith("HTTP/1.1 200 "), "a rejected request holds no id");
    }
  }

  /** Every way by which a request ends without being forwarded gives its id back. */
  @ParameterizedTest
  @ValueSource(strings = {"X-Customer: nobody\r\n", "X-Expires-In-Ms: x\r\n"})
  void idOfRejectedRequestCanBeUsed(String line) throws Exception {
    try (StubServer upstream = StubServer.answering(StubServer.ok("x")); Rig rig = new Rig(Config.parse(
        Rig.text(UNREACHABLE, Rig.list(1, true, Rig.member("s-1", upstream.address(), "ready")), "on_request", 200, 1024, "")
            .replace("\"settings\":{", "\"settings\":{" + TENANTS), Map.of())); Client client = rig.client()) {
      assertTrue(client.ask(Rig.get("a", line)).startsWith("HTTP/1.1 400 "));
      assertTrue(client.ask(Rig.get("a", "X-Customer: acme\r\n")).startsWith("HTTP/1.1 200 "));
      try (Client leaver = rig.client()) {
        leaver.write(Rig.post("c", "Idempotency-Key: k\r\n", "body").replace("body", ""));
      }
      while (client.ask(Rig.get("c", "X-Customer: acme\r\n")).startsWith("HTTP/1.1 409 ")) {
        assertTrue(upstream.requests.size() < 2, "a client that left holds its id");
      }
    }
  }

  @Test
  void unknownTenantAndOverlongIdAreErrors() throws Exception {
    Config config = Config.parse(Rig.text(UNREACHABLE, Rig.list(1, true), "on_request", 200, 1024, "")
        .replace("\"settings\":{", "\"settings\":{" + TENANTS), Map.of());
    try (Rig rig = new Rig(config); Client client = rig.client()) {
      assertTrue(client.ask(Rig.get("t", "X-Customer: nobody\r\n")).startsWith("HTTP/1.1 400 "));
      assertTrue(client.ask(Rig.get("t".repeat(1000), "X-Customer: acme\r\n")).startsWith("HTTP/1.1 400 "));
    }
  }

  /** Guards the descriptors against clients that connect and send nothing, or never complete a request. */
  @ParameterizedTest
  @CsvSource(delimiter = '|', value = {"'' | ''", "GET /api HT | HTTP/1.1 408 ",
    "POST /api HTTP/1.1~X-Trace-Id: t~Content-Length: 5~~half | HTTP/1.1 408 "})
  void incompleteRequestTimesOut(String part, String answer) throws Exception {
    try (Rig rig = new Rig(Rig.config(UNREACHABLE, Rig.list(1, true))); Client client = rig.client()) {
      client.write(part.replace("~", "\r\n"));
      String response = client.answer();
      assertTrue(answer.isEmpty() ? response == null : response.startsWith(answer), response);
      assertTrue(response == null || client.answer() == null, "the connection closes");
    }
  }

  /** At the descriptor limit clients that never sent a request are closed first, and never one with a request in progress. */
  @Test
  void clientsWithoutRequestsAreClosedFirstAtDescriptorLimit() throws Exception {
    CountDownLatch done = new CountDownLatch(1);
    List<Client> silent = new ArrayList<>();
    try (StubServer upstream = new StubServer(c -> {
      c.next();
      done.await();
      c.write(StubServer.ok("x"));
      c.ends();
    }); Rig rig = new Rig(configWith(upstream, 72)); Client served = rig.client(); Client idle = rig.client()) {
      String health = "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n";
      assertTrue(idle.ask(health).startsWith("HTTP/1.1 200 "));
      served.write(Rig.get("t", ""));
      assertNotNull(upstream.requests.poll(Rig.LIMIT_S, TimeUnit.SECONDS));
      for (int i = 0; i < 60; i++) {
        silent.add(rig.client());
      }
      assertNull(silent.get(0).answer(), "closed");
      assertTrue(idle.ask(health).startsWith("HTTP/1.1 200 "), "a client that has sent a request stays connected");
      done.countDown();
      assertTrue(served.answer().startsWith("HTTP/1.1 200 "));
    } finally {
      for (Client client : silent) {
        client.close();
      }
    }
  }
}
