package cloverpulley.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cloverpulley.serve.Rig.Client;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** At-most-once requests, over sockets and with the real module: retried only if they certainly never ran, and never sent in parallel. */
@Timeout(value = 2 * Rig.LIMIT_S, unit = TimeUnit.SECONDS)
class AtMostOnceTest {

  private static final String NEVER_RAN_RESPONSE = "HTTP/1.1 503 Full\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n";

  private static Config configFor(String... upstreams) throws IOException {
    String[] members = new String[upstreams.length];
    for (int i = 0; i < members.length; i++) {
      members[i] = Rig.member("s-" + i, upstreams[i], "ready");
    }
    String text = Rig.text("127.0.0.1:1", Rig.list(1, true, members), "on_request", 200, 1024, "");
    return Config.parse(text.replace("\"idempotent\"", "\"at_most_once\""), Map.of());
  }

  private static String request(String id) {
    return Rig.post(id, "", "body").replace("X-Qos: keyed", "X-Qos: safe");
  }

  /** A request that may have run fails, however the attempt ended, and is not sent to another upstream. */
  @ParameterizedTest
  @ValueSource(strings = {"HTTP/1.1 500 Broken~Content-Length: 0~~", "HTTP/1.1 503 Full~Content-Length: 0~~",
    "HTTP/1.1 200 OK~Content-Length: 9~~cut", "HTTP/1.1 200 OK~Transfer-Encoding: chunked~~9~cut",
    "noise", ""})
  void requestThatMayHaveRunIsNotRetried(String rawResponse) throws Exception {
    StubServer.Script script = c -> {
      c.next();
      c.write(rawResponse.replace("~", "\r\n"));
      if (rawResponse.isEmpty()) {
        c.reset();
      }
    };
    try (StubServer first = new StubServer(script); StubServer second = new StubServer(script); StubServer third = new StubServer(script);
        Rig rig = new Rig(configFor(first.address(), second.address(), third.address())); Client client = rig.client()) {
      String response = client.ask(request("t"));
      assertTrue(response.startsWith("HTTP/1.1 502 "), response);
      assertEquals(1, first.requests.size() + second.requests.size() + third.requests.size());
    }
  }

  /** A request that never ran is retried until an upstream serves it: after a rejection, and after a refused connection. */
  @Test
  void requestThatNeverRanIsRetried() throws Exception {
    String unreachable;
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      unreachable = "127.0.0.1:" + socket.getLocalPort();
    }
    try (StubServer rejecting = StubServer.answering(NEVER_RAN_RESPONSE); StubServer serving = StubServer.answering(StubServer.ok("x"));
        Rig rig = new Rig(configFor(rejecting.address(), unreachable, serving.address())); Client client = rig.client()) {
      for (int i = 0; i < 10; i++) {
        assertTrue(client.ask(request("t" + i)).startsWith("HTTP/1.1 200 "));
      }
      assertEquals(10, serving.requests.size());
    }
  }

  /** Upstreams that read a request and close the connection without a response: each request is attempted once, even after earlier failures. */
  @Test
  void eachRequestIsAttemptedOnce() throws Exception {
    try (StubServer first = new StubServer(c -> c.next()); StubServer second = new StubServer(c -> c.next());
        Rig rig = new Rig(configFor(first.address(), second.address()))) {
      for (int i = 0; i < 5; i++) {
        try (Client client = rig.client()) {
          assertTrue(client.ask(request("t" + i)).startsWith("HTTP/1.1 502 "));
        }
      }
      String allRequests = String.join("", first.requests) + String.join("", second.requests);
      for (int i = 0; i < 5; i++) {
        assertEquals(2, allRequests.split("X-Trace-Id: t" + i + "\r\n", -1).length, "t" + i + " once");
      }
    }
  }

  /** The first run goes on after its client has left, and must stay the only one when it has ended. */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void idOfARequestWhoseClientLeftDoesNotRunAgain(boolean answered) throws Exception {
    CountDownLatch left = new CountDownLatch(1);
    try (StubServer upstream = new StubServer(c -> {
      c.next();
      left.await();
      if (answered) {
        c.write(StubServer.ok("x"));
        c.next();
      }
    }); Rig rig = new Rig(configFor(upstream.address())); Client other = rig.client()) {
      try (Client leaver = rig.client()) {
        leaver.write(request("t"));
        assertNotNull(upstream.requests.poll(Rig.LIMIT_S, TimeUnit.SECONDS));
      }
      StubServer.Connection run = upstream.connections.take();
      left.countDown();
      assertTrue(run.awaitEnd());
      for (int i = 0; i < 20; i++) {
        String answer = other.ask(request("t"));
        assertTrue(answer.startsWith("HTTP/1.1 409 "), answer);
      }
      assertTrue(upstream.requests.isEmpty(), "it ran again");
    }
  }
}
