package cloverpulley.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cloverpulley.serve.Rig.Client;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A request that is unsafe to repeat, over sockets and with the real module: sent again only where it surely never ran, and never twice out. */
@Timeout(value = 2 * Rig.LIMIT_S, unit = TimeUnit.SECONDS)
class AtMostOnceTest {

  private static final String FULL = "HTTP/1.1 503 Full\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n";

  private static Config to(String... upstreams) throws IOException {
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

  /** What may have run, however it ended, is answered as failed and sent nowhere else. */
  @ParameterizedTest
  @ValueSource(strings = {"HTTP/1.1 500 Broken~Content-Length: 0~~", "HTTP/1.1 503 Full~Content-Length: 0~~", "HTTP/1.1 200 OK~Content-Length: 9~~cut",
    "HTTP/1.1 200 OK~~no length", "noise", ""})
  void whatMayHaveRunIsNeverSentAgain(String answer) throws Exception {
    StubServer.Script script = c -> {
      c.next();
      c.write(answer.replace("~", "\r\n"));
      if (answer.isEmpty()) {
        c.reset();
      }
    };
    try (StubServer one = new StubServer(script); StubServer two = new StubServer(script); StubServer three = new StubServer(script);
        Rig rig = new Rig(to(one.address(), two.address(), three.address())); Client client = rig.client()) {
      String got = client.ask(request("t"));
      assertTrue(got.startsWith("HTTP/1.1 502 "), got);
      assertEquals(1, one.requests.size() + two.requests.size() + three.requests.size());
    }
  }

  /** What never ran is sent on until one serves it: turned away, and refused. */
  @Test
  void whatNeverRanIsSentOn() throws Exception {
    String refused;
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      refused = "127.0.0.1:" + socket.getLocalPort();
    }
    try (StubServer full = StubServer.answering(FULL); StubServer serves = StubServer.answering(StubServer.ok("x"));
        Rig rig = new Rig(to(full.address(), refused, serves.address())); Client client = rig.client()) {
      for (int i = 0; i < 10; i++) {
        assertTrue(client.ask(request("t" + i)).startsWith("HTTP/1.1 200 "));
      }
      assertEquals(10, serves.requests.size());
    }
  }

  /** Upstreams that take a request and end without a word: of each request one attempt is out, whatever is known of them by then. */
  @Test
  void ofEachRequestOneAttemptIsMade() throws Exception {
    try (StubServer one = new StubServer(c -> c.next()); StubServer two = new StubServer(c -> c.next());
        Rig rig = new Rig(to(one.address(), two.address()))) {
      for (int i = 0; i < 5; i++) {
        try (Client client = rig.client()) {
          assertTrue(client.ask(request("t" + i)).startsWith("HTTP/1.1 502 "));
        }
      }
      String all = String.join("", one.requests) + String.join("", two.requests);
      for (int i = 0; i < 5; i++) {
        assertEquals(2, all.split("X-Trace-Id: t" + i + "\r\n", -1).length, "t" + i + " once");
      }
    }
  }
}
