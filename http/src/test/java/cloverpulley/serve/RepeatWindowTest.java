package cloverpulley.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cloverpulley.Balancer.Cancel;
import cloverpulley.Balancer.ClientGone;
import cloverpulley.Balancer.Outcome;
import cloverpulley.Balancer.Request;
import cloverpulley.Balancer.Send;
import cloverpulley.serve.Rig.Client;
import cloverpulley.serve.Rig.Script;
import java.io.IOException;
import java.io.InputStream;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** When upstreams may still begin keyed requests: repeats, over sockets and with the real module (a key is remembered for 2 s), and abandoned attempts. */
@Timeout(value = 2 * Rig.LIMIT_S, unit = TimeUnit.SECONDS)
class RepeatWindowTest {

  private static final int UPSTREAMS = 3;
  /** A body that is buffered whole, and more than the upstream's side of a connection takes unread. */
  private static final int KEPT_BYTES = 250_000;
  private static final long TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(2);

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

  /** Guards against a request that a slow upstream begins after it has been given up: its last byte still lies in the balancer's socket buffer. */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void requestThatHasBeenGivenUpIsNotDelivered(boolean clientLeaves) throws Exception {
    CountDownLatch headRead = new CountDownLatch(1);
    CountDownLatch givenUp = new CountDownLatch(1);
    CompletableFuture<Integer> received = new CompletableFuture<>();
    Script[] module = new Script[1];
    module[0] = new Script((event, out) -> {
      if (event instanceof Request r) {
        out.accept(new Send(r.id(), module[0].upstreams.get(0), clientLeaves ? 0 : TIMEOUT_NANOS));
      } else if (event instanceof ClientGone gone) {
        out.accept(new Cancel(gone.id(), 0));
      }
    });
    try (StubServer upstream = new StubServer(c -> {
      c.head();
      headRead.countDown();
      givenUp.await();
      received.complete(readToEnd(c.in()));
    }); Rig rig = new Rig(Rig.config("127.0.0.1:1", Rig.list(1, true, Rig.member("s-1", upstream.address(), "ready"))), module[0])) {
      Client client = rig.client();
      client.write(Rig.post("t", "Idempotency-Key: k\r\n", "x".repeat(KEPT_BYTES)));
      assertTrue(headRead.await(Rig.LIMIT_S, TimeUnit.SECONDS), "the upstream has begun to read");
      if (clientLeaves) {
        client.close();
      }
      module[0].next(Outcome.class);
      givenUp.countDown();
      assertTrue(received.get() < KEPT_BYTES, received.get() + " bytes");
      client.close();
    }
  }

  /** The number of bytes up to the end of the connection, however it ends. */
  private static int readToEnd(InputStream in) {
    int bytes = 0;
    try {
      while (in.read() >= 0) {
        bytes++;
      }
    } catch (IOException e) {
      return bytes;
    }
    return bytes;
  }
}
