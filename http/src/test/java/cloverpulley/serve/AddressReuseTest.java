package cloverpulley.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cloverpulley.serve.Rig.Client;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.StandardSocketOptions;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** A process that comes up at the address of another that has gone, before the list says so: it may belong to another cell. */
@Timeout(value = 2 * Rig.LIMIT_S, unit = TimeUnit.SECONDS)
class AddressReuseTest {

  private static final String NOT_RUN = "HTTP/1.1 503 Full\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n";

  /** A process that rejects one request, is killed while its connection rests, and is replaced by another one at its address. */
  private static final class ReplacedServer implements AutoCloseable {
    final BlockingQueue<String> atReplacement = new LinkedBlockingQueue<>();
    private final ServerSocket first = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    private final BlockingQueue<Socket> connections = new LinkedBlockingQueue<>();
    private final CountDownLatch rejected = new CountDownLatch(1);
    private final boolean replacementFails;
    private ServerSocket second;

    ReplacedServer() throws IOException {
      this(false);
    }

    /** {@code replacementFails} makes the replacement reset its connection once it has a request. */
    ReplacedServer(boolean replacementFails) throws IOException {
      this.replacementFails = replacementFails;
      Thread thread = new Thread(() -> {
        try {
          Socket socket = first.accept();
          connections.add(socket);
          StubServer.Message.read(new BufferedInputStream(socket.getInputStream()));
          socket.getOutputStream().write(NOT_RUN.getBytes(StandardCharsets.ISO_8859_1));
          rejected.countDown();
        } catch (IOException e) {
          return; // Closed by the test.
        }
      });
      thread.setDaemon(true);
      thread.start();
    }

    String address() {
      return "127.0.0.1:" + first.getLocalPort();
    }

    void replace() throws Exception {
      assertTrue(rejected.await(Rig.LIMIT_S, TimeUnit.SECONDS));
      first.close();
      Socket connection = connections.take();
      connection.setOption(StandardSocketOptions.SO_LINGER, 0);
      connection.close();
      second = new ServerSocket();
      second.setReuseAddress(true);
      second.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), first.getLocalPort()));
      Thread thread = new Thread(() -> {
        try (Socket socket = second.accept()) {
          String request = StubServer.Message.read(new BufferedInputStream(socket.getInputStream()));
          atReplacement.add(request == null ? "" : request);
          if (replacementFails) {
            socket.setOption(StandardSocketOptions.SO_LINGER, 0);
            return;
          }
          socket.getOutputStream().write(StubServer.ok("replacement").getBytes(StandardCharsets.ISO_8859_1));
        } catch (IOException e) {
          return; // Closed by the test.
        }
      });
      thread.setDaemon(true);
      thread.start();
    }

    @Override
    public void close() throws IOException {
      first.close();
      if (second != null) {
        second.close();
      }
    }
  }

  @Test
  void keyedRequestThatMayHaveRunIsNotRetriedAtAReplacementOfItsCellsProcess() throws Exception {
    CountDownLatch replaced = new CountDownLatch(1);
    try (ReplacedServer gone = new ReplacedServer(); StubServer other = new StubServer(c -> {
      String request = c.next();
      while (request != null && !request.contains("X-Trace-Id: effect")) {
        c.write(StubServer.ok("x"));
        request = c.next();
      }
      replaced.await();
      c.reset(); // It ran here.
    }); Rig rig = new Rig(Rig.config("127.0.0.1:1", Rig.list(1, true, Rig.member("s-gone", gone.address(), "ready"),
        Rig.member("s-other", other.address(), "ready")))); Client client = rig.client()) {
      for (int i = 0; gone.rejected.getCount() > 0; i++) {
        client.ask(Rig.post("w" + i, "Idempotency-Key: w" + i + "\r\n", "x"));
      }
      gone.replace();
      client.write(Rig.post("effect", "Idempotency-Key: e\r\n", "x"));
      String ran = null;
      while (ran == null && gone.atReplacement.isEmpty()) {
        String next = other.requests.poll(Rig.LIMIT_S, TimeUnit.SECONDS);
        assertNotNull(next);
        ran = next.contains("X-Trace-Id: effect") ? next : null;
      }
      replaced.countDown();
      String answer = client.answer();
      assertEquals(0, gone.atReplacement.stream().filter(r -> ran(r)).count(), answer);
    }
  }

  /** The first attempt went to the replacement, whose group is not known: no server of the listed cell may get the next. */
  @Test
  void keyedRequestThatMayHaveRunAtAReplacementIsNotRetriedInTheListedCell() throws Exception {
    BlockingQueue<String> atOther = new LinkedBlockingQueue<>();
    try (ReplacedServer gone = new ReplacedServer(true); StubServer other = new StubServer(c -> {
      for (String request = c.next(); request != null; request = c.next()) {
        atOther.add(request);
        c.write(StubServer.ok("x"));
      }
    }); Rig rig = new Rig(Rig.config("127.0.0.1:1", Rig.list(1, true, Rig.member("s-gone", gone.address(), "ready"),
        Rig.member("s-other", other.address(), "ready")))); Client client = rig.client()) {
      for (int i = 0; gone.rejected.getCount() > 0; i++) {
        client.ask(Rig.post("w" + i, "Idempotency-Key: w" + i + "\r\n", "x"));
      }
      gone.replace();
      for (int i = 0; gone.atReplacement.isEmpty(); i++) {
        client.ask(Rig.post("effect" + i, "Idempotency-Key: e" + i + "\r\n", "x"));
      }
      String id = SlowResponseTest.header(gone.atReplacement.take(), "x-trace-id");
      assertTrue(atOther.stream().noneMatch(r -> r.contains("X-Trace-Id: " + id + "\r\n")), id + " ran at both");
    }
  }

  private static boolean ran(String request) {
    return request.contains("X-Trace-Id: effect");
  }
}
