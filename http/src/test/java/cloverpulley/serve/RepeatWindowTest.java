package cloverpulley.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cloverpulley.serve.Rig.Client;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Repeats of keyed requests over sockets and with the real module; upstreams remember a key for 2 s. */
@Timeout(value = 2 * Rig.LIMIT_S, unit = TimeUnit.SECONDS)
class RepeatWindowTest {

  private static final int UPSTREAMS = 3;

  /** Guards against a repeat that has been written in time and is read after the window (review/8). */
  @ParameterizedTest
  @CsvSource({"200, true", "20000, true", "100000, false", "250000, false", "300000, false"})
  void repeatIsSentOnlyWhereItsBodyIsReadWithinTheWindow(int bodyBytes, boolean repeated) throws Exception {
    StubServer.Script script = c -> {
      c.next();
      c.reset();
    };
    try (StubServer first = new StubServer(script); StubServer second = new StubServer(script); StubServer third = new StubServer(script);
        Rig rig = new Rig(Rig.config("127.0.0.1:1", Rig.list(1, true, Rig.member("s-1", first.address(), "ready"),
            Rig.member("s-2", second.address(), "ready"), Rig.member("s-3", third.address(), "ready")))); Client client = rig.client()) {
      String answer = client.ask(Rig.post("t", "Idempotency-Key: k\r\n", "x".repeat(bodyBytes)));
      assertTrue(answer.startsWith("HTTP/1.1 502 "), answer);
      int attempts = first.requests.size() + second.requests.size() + third.requests.size();
      assertEquals(repeated, attempts > 1, attempts + " attempts");
      assertTrue(attempts <= UPSTREAMS, "one at each");
    }
  }
}
