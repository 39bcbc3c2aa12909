package cloverpulley.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cloverpulley.Balancer.AnswerStalled;
import cloverpulley.Balancer.AnswerStarted;
import cloverpulley.Balancer.Outcome;
import cloverpulley.Balancer.Status;
import cloverpulley.serve.Rig.Client;
import cloverpulley.serve.Rig.Script;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/** Sound responses that their upstream gives slowly. */
@Timeout(value = 2 * Rig.LIMIT_S, unit = TimeUnit.SECONDS)
class SlowResponseTest {

  enum Framing { LENGTH, CHUNKS, CLOSE }

  private static Rig rig(StubServer upstream, Script module) throws IOException {
    return new Rig(Rig.config("127.0.0.1:1", Rig.list(1, true, Rig.member("s-a", upstream.address(), "ready"))), module);
  }

  static String head(Framing framing, int length) {
    return "HTTP/1.1 200 OK\r\n" + switch (framing) {
      case LENGTH -> "Content-Length: " + length + "\r\n\r\n";
      case CHUNKS -> "Transfer-Encoding: chunked\r\n\r\n";
      case CLOSE -> "Connection: close\r\n\r\n";
    };
  }

  static String part(Framing framing, String text) {
    return framing != Framing.CHUNKS || text.isEmpty() ? text : Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
  }

  static String end(Framing framing) {
    return framing == Framing.CHUNKS ? "0\r\n\r\n" : "";
  }

  /** The body of the next response: by its length, in chunks, or to the end of the connection. */
  static String body(Client client, String expectedStatus) throws IOException {
    InputStream in = client.socket.getInputStream();
    String head = readUntil(in, "\r\n\r\n").toLowerCase(Locale.ROOT);
    assertTrue(head.startsWith("http/1.1 " + expectedStatus), head);
    if (head.contains("content-length: ")) {
      return new String(in.readNBytes(Integer.parseInt(header(head, "content-length"))), StandardCharsets.ISO_8859_1);
    }
    if (!head.contains("chunked")) {
      return new String(in.readAllBytes(), StandardCharsets.ISO_8859_1);
    }
    StringBuilder body = new StringBuilder();
    for (int size = -1; size != 0; ) {
      size = Integer.parseInt(readUntil(in, "\r\n").trim(), 16);
      body.append(new String(in.readNBytes(size), StandardCharsets.ISO_8859_1));
      readUntil(in, "\r\n");
    }
    return body.toString();
  }

  /** The value of a header; {@code name} is in lower case. */
  static String header(String head, String name) {
    return head.toLowerCase(Locale.ROOT).split("\r\n" + name + ": ")[1].split("\r\n")[0];
  }

  private static String readUntil(InputStream in, String end) throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    while (!bytes.toString(StandardCharsets.ISO_8859_1).endsWith(end)) {
      int b = in.read();
      if (b < 0) {
        throw new IOException("ended after: " + bytes.toString(StandardCharsets.ISO_8859_1));
      }
      bytes.write(b);
    }
    return bytes.toString(StandardCharsets.ISO_8859_1);
  }

  @ParameterizedTest
  @CsvSource({"LENGTH, 6000, 1000", "CHUNKS, 6000, 1000", "LENGTH, 6000, 0", "CHUNKS, 6000, 0", "CHUNKS, 200000, 1000", "CHUNKS, 200000, 0",
    "LENGTH, 200000, 0", "CLOSE, 6000, 1000", "CLOSE, 6000, 0", "CLOSE, 200000, 1000", "CLOSE, 200000, 0"})
  void soundResponseThatPausesIsNotCutOff(Framing framing, int length, int beforePause) throws Exception {
    String body = "x".repeat(length - 1) + "y";
    CountDownLatch paused = new CountDownLatch(1);
    Script module = new Script(0);
    try (StubServer upstream = new StubServer(c -> {
      c.next();
      c.write(head(framing, length) + part(framing, body.substring(0, beforePause)));
      paused.await();
      c.write(part(framing, body.substring(beforePause)) + end(framing));
      if (framing != Framing.CLOSE) {
        c.next();
      }
    }); Rig rig = rig(upstream, module); Client client = rig.client()) {
      client.write(Rig.get("r1", ""));
      module.next(AnswerStalled.class);
      paused.countDown();
      assertEquals(body, body(client, "200 "));
      assertEquals(Status.SERVED, module.next(Outcome.class).status());
    }
  }

  /** With and without a header that announces the close. */
  @ParameterizedTest
  @CsvSource({"2, true", "2, false", "60000, true", "300000, true", "300000, false"})
  void responseWithoutLengthIsWholeWhereTheConnectionEndsInOrder(int length, boolean announced) throws Exception {
    String body = "x".repeat(length - 1) + "y";
    Script module = new Script(0);
    try (StubServer upstream = new StubServer(c -> {
      c.next();
      c.write("HTTP/1.1 200 OK\r\n" + (announced ? "Connection: close\r\n" : "") + "\r\n" + body);
    }); Rig rig = rig(upstream, module); Client client = rig.client()) {
      for (int i = 0; i < 2; i++) {
        client.write(Rig.get("r" + i, ""));
        assertEquals(body, body(client, "200 "));
        assertEquals(Status.SERVED, module.next(Outcome.class).status());
      }
    }
  }

  @ParameterizedTest
  @CsvSource({"2", "60000"})
  void responseWithoutLengthIsNotWholeWhereTheConnectionIsReset(int length) throws Exception {
    CountDownLatch begun = new CountDownLatch(1);
    Script module = new Script(0);
    try (StubServer upstream = new StubServer(c -> {
      c.next();
      c.write("HTTP/1.1 200 OK\r\n\r\n" + "x".repeat(length));
      begun.await();
      c.reset();
    }); Rig rig = rig(upstream, module); Client client = rig.client()) {
      client.write(Rig.get("r1", ""));
      module.next(AnswerStalled.class);
      begun.countDown();
      assertEquals("", body(client, "502 "));
      assertEquals(Status.RESET, module.next(Outcome.class).status());
    }
  }

  /** A response that is streamed already can't be replaced: the client must see that it is not whole. */
  @Test
  void streamedResponseWithoutLengthThatIsResetIsNotCompleted() throws Exception {
    CountDownLatch begun = new CountDownLatch(1);
    Script module = new Script(0);
    try (StubServer upstream = new StubServer(c -> {
      c.next();
      c.write("HTTP/1.1 200 OK\r\n\r\n" + "x".repeat(200_000));
      begun.await();
      c.reset();
    }); Rig rig = rig(upstream, module); Client client = rig.client()) {
      client.write(Rig.get("r1", ""));
      module.next(AnswerStarted.class);
      begun.countDown();
      assertThrows(IOException.class, () -> body(client, "200 "));
      assertEquals(Status.RESET, module.next(Outcome.class).status());
    }
  }

  /** Of a response over 64 KiB only the first bytes have to be in time: it is begun once more than that has arrived. */
  @ParameterizedTest
  @EnumSource(value = Framing.class, names = {"CHUNKS", "CLOSE"})
  void longResponseOfUnknownLengthIsBegunByTheDeadline(Framing framing) throws Exception {
    String body = "x".repeat(199_999) + "y";
    CountDownLatch begun = new CountDownLatch(1);
    Script module = new Script(0);
    try (StubServer upstream = new StubServer(c -> {
      c.next();
      c.write(head(framing, body.length()) + part(framing, body.substring(0, 70_000)));
      begun.await();
      c.write(part(framing, body.substring(70_000)) + end(framing));
    }); Rig rig = rig(upstream, module); Client client = rig.client()) {
      client.write(Rig.get("r1", "X-Expires-In-Ms: 600\r\n"));
      module.next(AnswerStarted.class);
      begun.countDown();
      assertEquals(body, body(client, "200 "));
      assertEquals(Status.SERVED, module.next(Outcome.class).status());
    }
  }

  /** At the deadline nothing tells it from a short response, and the first bytes may still come a moment later. */
  @ParameterizedTest
  @EnumSource(value = Framing.class, names = {"CHUNKS", "CLOSE"})
  void longResponseOfUnknownLengthIsServedIfItIsKnownToBeLongSoonAfterTheDeadline(Framing framing) throws Exception {
    String body = "x".repeat(199_999) + "y";
    CountDownLatch timeUp = new CountDownLatch(1);
    Script module = new Script(0);
    try (StubServer upstream = new StubServer(c -> {
      c.next();
      c.write(head(framing, body.length()) + part(framing, body.substring(0, 30_000)));
      timeUp.await();
      c.write(part(framing, body.substring(30_000)) + end(framing));
    }); Rig rig = rig(upstream, module); Client client = rig.client()) {
      long sentAt = System.nanoTime();
      client.write(Rig.get("r1", "X-Expires-In-Ms: 600\r\n"));
      while (System.nanoTime() - sentAt < TimeUnit.MILLISECONDS.toNanos(600)) {
        Thread.onSpinWait();
      }
      timeUp.countDown();
      assertEquals(body, body(client, "200 "));
      assertEquals(Status.SERVED, module.next(Outcome.class).status());
    }
  }

  @ParameterizedTest
  @CsvSource({"LENGTH, 2000, 20000", "LENGTH, 600, 20000", "CHUNKS, 2000, 20000", "CLOSE, 2000, 20000", "CHUNKS, 600, 6000", "CLOSE, 600, 6000",
    "CHUNKS, 600, 30000", "CLOSE, 600, 30000", "LENGTH, 600, 29000"})
  void incompleteResponseIsAnsweredAtTheDeadline(Framing framing, int expiresMillis, int length) throws Exception {
    Script module = new Script(0);
    try (StubServer upstream = new StubServer(c -> {
      c.next();
      c.write(head(framing, 30_000) + part(framing, "x".repeat(length)));
      c.next();
    }); Rig rig = rig(upstream, module); Client client = rig.client()) {
      client.write(Rig.get("r1", "X-Expires-In-Ms: " + expiresMillis + "\r\n"));
      assertEquals(Status.TIMEOUT, module.next(Outcome.class).status());
      String answer = client.answer();
      assertTrue(answer.startsWith("HTTP/1.1 50"), answer);
    }
  }
}
