package cloverpulley.serve;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cloverpulley.Balancer.AnswerStarted;
import cloverpulley.Balancer.BodyDiscarded;
import cloverpulley.Balancer.BodyEnded;
import cloverpulley.Balancer.Fail;
import cloverpulley.Balancer.Outcome;
import cloverpulley.Balancer.Reject;
import cloverpulley.Balancer.Request;
import cloverpulley.Balancer.Send;
import cloverpulley.Balancer.Status;
import cloverpulley.Reason;
import cloverpulley.serve.Rig.Client;
import cloverpulley.serve.Rig.Script;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Random;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Request and response bodies that are too long to buffer, compared byte for byte over loopback. */
@Timeout(value = 2 * Rig.LIMIT_S, unit = TimeUnit.SECONDS)
class StreamingTest {

  private static final int LONG_BODY = 3 << 20;
  private static final String OK = "HTTP/1.1 200 OK\r\n";

  private static byte[] bytes(int length) {
    byte[] bytes = new byte[length];
    new Random(7).nextBytes(bytes);
    return bytes;
  }

  private static String text(byte[] bytes) {
    return new String(bytes, StandardCharsets.ISO_8859_1);
  }

  private static Rig rig(StubServer upstream, Script module) throws IOException {
    return new Rig(Rig.config("127.0.0.1:1", Rig.list(1, true, Rig.member("s-a", upstream.address(), "ready"))), module);
  }

  private static String chunked(byte[] body, int size) {
    StringBuilder s = new StringBuilder();
    for (int at = 0; at < body.length; at += size) {
      int n = Math.min(size, body.length - at);
      s.append(Integer.toHexString(n)).append(";x=y\r\n").append(text(Arrays.copyOfRange(body, at, at + n))).append("\r\n");
    }
    return s.append("0\r\nX-Trailer: t\r\n\r\n").toString();
  }

  private static String head(Client client) throws IOException {
    InputStream in = client.socket.getInputStream();
    StringBuilder head = new StringBuilder();
    while (!head.toString().endsWith("\r\n\r\n")) {
      int b = in.read();
      if (b < 0) {
        return null;
      }
      head.append((char) b);
    }
    return head.toString();
  }

  /** Reads the body of a chunked message. */
  static byte[] readChunked(InputStream in) throws IOException {
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    while (true) {
      StringBuilder size = new StringBuilder();
      for (int b = in.read(); b != '\n'; b = in.read()) {
        size.append((char) b);
      }
      int n = Integer.parseInt(size.toString().trim(), 16);
      body.write(in.readNBytes(n));
      assertEquals("\r\n", text(in.readNBytes(2)));
      if (n == 0) {
        return body.toByteArray();
      }
    }
  }

  /** The first bytes arrive before the last have been sent, and all of them in the end; the connection stays usable. */
  @Test
  void longResponseIsStreamed() throws Exception {
    byte[] body = bytes(LONG_BODY);
    CountDownLatch seen = new CountDownLatch(1);
    try (StubServer upstream = new StubServer(c -> {
      while (c.next() != null) {
        c.write(OK + "Content-Length: " + LONG_BODY + "\r\nContent-Type: a/b\r\n\r\n" + text(body).substring(0, 100_000));
        seen.await();
        c.write(text(body).substring(100_000));
      }
    }); Rig rig = rig(upstream, new Script(0)); Client client = rig.client()) {
      client.write(Rig.get("r1", ""));
      String head = head(client);
      assertTrue(head.startsWith(OK) && head.toLowerCase().contains("content-length: " + LONG_BODY), head);
      byte[] first = client.socket.getInputStream().readNBytes(50_000);
      seen.countDown();
      byte[] rest = client.socket.getInputStream().readNBytes(LONG_BODY - 50_000);
      assertEquals(text(body), text(first) + text(rest));
      client.write(Rig.get("r2", ""));
      assertTrue(head(client).startsWith(OK), "the connection can be used for another request");
      assertArrayEquals(body, client.socket.getInputStream().readNBytes(LONG_BODY));
    }
  }

  @Test
  void chunkedResponseIsStreamedInChunks() throws Exception {
    byte[] body = bytes(LONG_BODY);
    try (StubServer upstream = StubServer.answering(OK + "Transfer-Encoding: chunked\r\n\r\n" + chunked(body, 7001));
        Rig rig = rig(upstream, new Script(0)); Client client = rig.client()) {
      client.write(Rig.get("r1", ""));
      assertTrue(head(client).toLowerCase().contains("transfer-encoding: chunked"));
      assertArrayEquals(body, readChunked(client.socket.getInputStream()));
    }
  }

  /** HTTP/1.0 has no chunked encoding: closing the connection ends the response. */
  @Test
  void http10ClientGetsNoChunks() throws Exception {
    byte[] body = bytes(LONG_BODY);
    try (StubServer upstream = StubServer.answering(OK + "Transfer-Encoding: chunked\r\n\r\n" + chunked(body, 60_000));
        Rig rig = rig(upstream, new Script(0)); Client client = rig.client()) {
      client.write(Rig.get("r1", "").replace("HTTP/1.1", "HTTP/1.0"));
      String head = head(client).toLowerCase();
      assertTrue(!head.contains("chunked") && head.contains("connection: close"), head);
      assertArrayEquals(body, client.socket.getInputStream().readAllBytes());
    }
  }

  /** A started response that breaks off can't be retried: the client sees the closed connection, and the module gets the outcome. */
  @Test
  void truncatedResponseClosesConnection() throws Exception {
    Script module = new Script(0);
    try (StubServer upstream = new StubServer(c -> {
      c.next();
      c.write(OK + "Content-Length: " + LONG_BODY + "\r\n\r\n" + text(bytes(LONG_BODY / 2)));
    }); Rig rig = rig(upstream, module); Client client = rig.client()) {
      client.write(Rig.get("r1", ""));
      assertTrue(head(client).startsWith(OK));
      assertTrue(client.socket.getInputStream().readAllBytes().length < LONG_BODY);
      AnswerStarted started = module.next(AnswerStarted.class);
      Outcome end = module.next(Outcome.class);
      assertEquals(started.id(), end.id());
      assertEquals(Status.RESET, end.status());
      assertTrue(end.finished(), "no response is outstanding");
    }
  }

  /** A response with a Content-Length of gigabytes counts as an error. */
  @Test
  void oversizedResponseIsAnError() throws Exception {
    Script module = new Script(0);
    try (StubServer upstream = StubServer.answering(OK + "Content-Length: 3000000000\r\n\r\n" + text(bytes(200_000)));
        Rig rig = rig(upstream, module); Client client = rig.client()) {
      assertTrue(client.ask(Rig.get("r1", "")).startsWith("HTTP/1.1 502 "));
      assertEquals(Status.RESET, module.next(Outcome.class).status());
    }
  }

  /** With a Content-Length, in chunks, and in pieces of one byte. */
  @ParameterizedTest
  @ValueSource(strings = {"length", "chunks", "single bytes"})
  void longBodyIsStreamed(String form) throws Exception {
    byte[] body = bytes(form.equals("single bytes") ? RequestReader.MAX_BUFFERED_BODY + 3000 : LONG_BODY);
    Script module = new Script(0);
    Semaphore intact = new Semaphore(0);
    try (StubServer upstream = new StubServer(c -> {
      String head = c.head();
      byte[] all = head.toLowerCase().contains("chunked") ? readChunked(c.in()) : c.in().readNBytes(body.length);
      if (Arrays.equals(all, body)) {
        intact.release();
      }
      c.write(StubServer.ok("done"));
    }); Rig rig = rig(upstream, module); Client client = rig.client()) {
      String post = Rig.post("r1", "Idempotency-Key: k\r\n", "");
      client.write(form.equals("chunks") ? post.replace("Content-Length: 0", "Transfer-Encoding: chunked") + chunked(body, 5000)
          : post.replace("Content-Length: 0", "Content-Length: " + body.length));
      if (form.equals("single bytes")) {
        client.socket.getOutputStream().write(body, 0, body.length - 3000);
        for (int i = body.length - 3000; i < body.length; i++) {
          client.socket.getOutputStream().write(body, i, 1);
        }
      } else if (form.equals("length")) {
        client.socket.getOutputStream().write(body);
      }
      assertTrue(client.answer().endsWith("done"));
      assertTrue(intact.tryAcquire(), "the body was altered");
      module.next(Request.class);
      module.next(BodyDiscarded.class);
      module.next(BodyEnded.class);
    }
  }

  /** A buffered body is sent to another upstream unchanged. */
  @Test
  void bufferedBodyIsSentAgainInRetry() throws Exception {
    byte[] body = bytes(200_000);
    Script[] module = new Script[1];
    module[0] = new Script((event, out) -> {
      if (event instanceof Request r) {
        out.accept(new Send(r.id(), module[0].upstreams.get(0), 0));
      } else if (event instanceof Outcome o && o.status() == Status.FULL) {
        out.accept(new Send(o.id(), module[0].upstreams.get(1), 0));
      }
    });
    try (StubServer full = StubServer.answering("HTTP/1.1 503 Full\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n");
        StubServer upstream = StubServer.answering(StubServer.ok("done"));
        Rig rig = new Rig(Rig.config("127.0.0.1:1", Rig.list(1, true, Rig.member("s-a", full.address(), "ready"),
            Rig.member("s-b", upstream.address(), "ready"))), module[0]); Client client = rig.client()) {
      client.write(Rig.post("r1", "Idempotency-Key: k\r\n", text(body)));
      assertTrue(client.answer().endsWith("done"));
      assertTrue(full.requests.take().endsWith(text(body)));
      assertTrue(upstream.requests.take().endsWith(text(body)));
    }
  }

  /** A streamed body can't be sent twice: a second attempt ends as NOT_SENT. */
  @Test
  void streamedBodyIsNotSentAgain() throws Exception {
    Script[] module = new Script[1];
    module[0] = new Script((event, out) -> {
      if (event instanceof Request r) {
        out.accept(new Send(r.id(), module[0].upstreams.get(0), 0));
      } else if (event instanceof BodyDiscarded u) {
        out.accept(new Send(u.id(), module[0].upstreams.get(0), 0));
      } else if (event instanceof Outcome o && o.attempt() == 1) {
        out.accept(new Fail(o.id(), Reason.NO_ROOM));
      }
    });
    CountDownLatch finished = new CountDownLatch(1);
    try (StubServer upstream = new StubServer(c -> finished.await());
        Rig rig = rig(upstream, module[0]); Client client = rig.client()) {
      client.write(Rig.post("r1", "Idempotency-Key: k\r\n", "").replace("Content-Length: 0", "Content-Length: " + LONG_BODY));
      client.socket.getOutputStream().write(bytes(400_000));
      Outcome second = module[0].next(Outcome.class);
      assertEquals(1, second.attempt());
      assertEquals(Status.NOT_SENT, second.status());
      finished.countDown();
    }
  }

  /** A client that is rejected while it still sends its body gets the response once it reads, and its connection closes after the body. */
  @Test
  void rejectedUploadGetsResponse() throws Exception {
    Script module = new Script((event, out) -> {
      if (event instanceof Request r) {
        out.accept(new Reject(r.id(), 0, Reason.OVER_RATE));
      }
    });
    try (StubServer upstream = StubServer.answering(""); Rig rig = rig(upstream, module); Client client = rig.client()) {
      client.write(Rig.post("r1", "Idempotency-Key: k\r\n", "").replace("Content-Length: 0", "Content-Length: " + LONG_BODY));
      client.socket.getOutputStream().write(bytes(LONG_BODY));
      assertTrue(client.answer().startsWith("HTTP/1.1 429 "));
      assertNull(client.answer(), "the connection closes");
    }
  }

  @ParameterizedTest
  @ValueSource(strings = {"Content-Length: 40000000", "Transfer-Encoding: chunked"})
  void oversizedBodyIsRejected(String length) throws Exception {
    Script module = new Script(0);
    try (StubServer upstream = new StubServer(c -> c.ends()); Rig rig = rig(upstream, module); Client client = rig.client()) {
      client.write(Rig.post("r1", "Idempotency-Key: k\r\n", "").replace("Content-Length: 0", length));
      try {
        String piece = "100000\r\n" + "x".repeat(1 << 20) + "\r\n";
        for (int i = 0; length.endsWith("chunked") && i < 40; i++) {
          client.write(piece);
        }
        String answer = client.answer();
        assertTrue(answer == null || answer.startsWith("HTTP/1.1 413 "), answer);
      } catch (IOException e) {
        assertTrue(length.endsWith("chunked"), "closed while it was still sending");
      }
    }
  }

  /** A client that sends Expect: 100-continue gets one 100 Continue. */
  @Test
  void clientThatExpectsContinueGetsIt() throws Exception {
    byte[] body = bytes(LONG_BODY);
    try (StubServer upstream = StubServer.answering(StubServer.ok("done")); Rig rig = rig(upstream, new Script(0));
        Client client = rig.client()) {
      client.write(Rig.post("r1", "Idempotency-Key: k\r\nExpect: 100-continue\r\n", "")
          .replace("Content-Length: 0", "Content-Length: " + LONG_BODY));
      assertTrue(head(client).startsWith("HTTP/1.1 100 "));
      client.socket.getOutputStream().write(body);
      assertTrue(client.answer().endsWith("done"));
    }
  }

  /** A client that has its response and keeps sending does not keep the process from stopping. */
  @Test
  void endlessUploadDoesNotBlockStop() throws Exception {
    Script module = new Script((event, out) -> {
      if (event instanceof Request r) {
        out.accept(new Reject(r.id(), 0, Reason.OVER_RATE));
      }
    });
    try (StubServer upstream = StubServer.answering(""); Rig rig = rig(upstream, module); Client client = rig.client()) {
      client.write(Rig.post("r1", "Idempotency-Key: k\r\n", "").replace("Content-Length: 0", "Content-Length: " + (30 << 20)));
      assertTrue(client.answer().startsWith("HTTP/1.1 429 "));
      Thread sender = new Thread(() -> {
        try {
          while (true) {
            client.socket.getOutputStream().write(new byte[64]);
            TimeUnit.MILLISECONDS.sleep(1);
          }
        } catch (IOException | InterruptedException e) {
          return; // Expected: the process has closed the connection.
        }
      });
      sender.start();
      rig.server.stop();
      sender.join();
    }
  }
}
