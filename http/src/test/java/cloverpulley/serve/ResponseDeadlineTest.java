package cloverpulley.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cloverpulley.Balancer.AnswerBegan;
import cloverpulley.Balancer.Outcome;
import cloverpulley.Balancer.Status;
import cloverpulley.serve.Rig.Client;
import cloverpulley.serve.Rig.Script;
import cloverpulley.serve.SlowResponseTest.Framing;
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

/** Responses that are incomplete when their client's time is up. */
@Timeout(value = 2 * Rig.LIMIT_S, unit = TimeUnit.SECONDS)
class ResponseDeadlineTest {

  private static final int EXPIRES_MILLIS = 600;
  private static final String EXPIRES = "X-Expires-In-Ms: " + EXPIRES_MILLIS + "\r\n";
  private static final long PIECE_MILLIS = 50;
  /** With this much memory, 512 KiB are for responses: fewer than the incomplete ones of {@link #HOLDING} requests take. */
  private static final int MEMORY_MB = 16;
  private static final int HOLDING = 20;
  private static final int HELD_BYTES = 50_000;
  private static final int LENGTH = 65_000;

  private static Rig rig(StubServer upstream, Script module, int memoryMegabytes) throws IOException {
    String text = Rig.text("127.0.0.1:1", Rig.list(1, true, Rig.member("s-a", upstream.address(), "ready")), "on_request", 200, 1024, "");
    return new Rig(Config.parse(text.replace("\"memory_mb\":192", "\"memory_mb\":" + memoryMegabytes), Map.of()), module);
  }

  /** Writes a byte of a body now and then, until {@code enough}; never ends the body. */
  private static void drip(StubServer.Connection c, Framing framing, CountDownLatch enough) throws IOException, InterruptedException {
    while (!enough.await(PIECE_MILLIS, TimeUnit.MILLISECONDS)) {
      c.write(SlowResponseTest.part(framing, "x"));
    }
  }

  /** Guards against a short answer of unknown length that is served long after its client's time (review/10). */
  @ParameterizedTest
  @CsvSource({"CHUNKS, 30000", "CLOSE, 30000", "CHUNKS, 60000", "CLOSE, 60000", "CHUNKS, 0", "LENGTH, 30000"})
  void shortResponseThatIsStillArrivingAtTheDeadlineFails(Framing framing, int beginning) throws Exception {
    CountDownLatch answered = new CountDownLatch(1);
    Script module = new Script(0);
    try (StubServer upstream = new StubServer(c -> {
      c.next();
      c.write(SlowResponseTest.head(framing, 40_000) + SlowResponseTest.part(framing, "x".repeat(beginning)));
      drip(c, framing, answered);
    }); Rig rig = rig(upstream, module, 192); Client client = rig.client()) {
      String answer = client.ask(Rig.get("r1", EXPIRES));
      answered.countDown();
      assertTrue(answer.startsWith("HTTP/1.1 50"), answer);
      assertEquals(Status.TIMEOUT, module.next(Outcome.class).status());
    }
  }

  /** Guards against a short answer, begun early because memory is used up, that goes on long after its client's time (review/10). */
  @Test
  void shortResponseThatWasBegunForLackOfMemoryEndsAtTheDeadline() throws Exception {
    CountDownLatch ended = new CountDownLatch(1);
    Script module = new Script(0);
    try (StubServer upstream = new StubServer(c -> {
      boolean holding = c.next().contains("holding");
      c.write(SlowResponseTest.head(Framing.LENGTH, LENGTH) + "x".repeat(holding ? HELD_BYTES : 60_000));
      drip(c, Framing.LENGTH, ended);
    }); Rig rig = rig(upstream, module, MEMORY_MB); Client client = rig.client()) {
      List<Client> others = holdMemory(rig, module);
      client.write(Rig.get("r1", EXPIRES));
      assertTrue(SlowResponseTest.body(client, "200 ").length() < LENGTH, "the client can tell that it is not whole");
      ended.countDown();
      closeAll(others);
    }
  }

  /** Guards against a long answer of unknown length that is begun and then cut off at a pause around its client's deadline (review/9). */
  @ParameterizedTest
  @CsvSource({"CHUNKS, 192, 20000", "CLOSE, 192, 20000", "CHUNKS, 192, 60000", "CHUNKS, 16, 20000", "CLOSE, 16, 20000"})
  void responseThatMayBeLongIsNotBegunAndThenCutOff(Framing framing, int memoryMegabytes, int beginning) throws Exception {
    CountDownLatch answered = new CountDownLatch(1);
    Script module = new Script(0);
    try (StubServer upstream = new StubServer(c -> {
      boolean holding = c.next().contains("holding");
      c.write(SlowResponseTest.head(framing, 0) + SlowResponseTest.part(framing, "x".repeat(holding ? HELD_BYTES : beginning)));
      answered.await();
    }); Rig rig = rig(upstream, module, memoryMegabytes); Client client = rig.client()) {
      List<Client> others = holdMemory(rig, module);
      String answer = client.ask(Rig.get("r1", EXPIRES));
      answered.countDown();
      assertTrue(answer.startsWith("HTTP/1.1 50"), answer);
      closeAll(others);
    }
  }

  /** Where memory is used up, an answer of unknown length waits for it, and is served whole once others give theirs back. */
  @Test
  void responseOfUnknownLengthGoesOnOnceThereIsMemory() throws Exception {
    CountDownLatch begun = new CountDownLatch(1);
    String body = "x".repeat(LENGTH - 1) + "y";
    Script module = new Script(0);
    try (StubServer upstream = new StubServer(c -> {
      boolean holding = c.next().contains("holding");
      String text = holding ? "x".repeat(HELD_BYTES) : body;
      c.write(SlowResponseTest.head(Framing.CHUNKS, 0) + SlowResponseTest.part(Framing.CHUNKS, text.substring(0, HELD_BYTES)));
      begun.await();
      c.write((holding ? "" : SlowResponseTest.part(Framing.CHUNKS, text.substring(HELD_BYTES))) + SlowResponseTest.end(Framing.CHUNKS));
    }); Rig rig = rig(upstream, module, MEMORY_MB); Client client = rig.client()) {
      List<Client> others = holdMemory(rig, module);
      client.write(Rig.get("r1", ""));
      assertNotNull(module.next(AnswerBegan.class));
      begun.countDown();
      assertEquals(body, SlowResponseTest.body(client, "200 "));
      closeAll(others);
    }
  }

  /** Begins more responses than there is memory for. */
  private static List<Client> holdMemory(Rig rig, Script module) throws Exception {
    List<Client> clients = new ArrayList<>();
    for (int i = 0; i < HOLDING; i++) {
      clients.add(rig.client());
      clients.get(i).write(Rig.get("holding" + i, ""));
      assertNotNull(module.next(AnswerBegan.class));
    }
    return clients;
  }

  private static void closeAll(List<Client> clients) throws IOException {
    for (Client client : clients) {
      client.close();
    }
  }
}
