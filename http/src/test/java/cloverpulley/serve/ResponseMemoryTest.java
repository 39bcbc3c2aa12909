package cloverpulley.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cloverpulley.Balancer.AnswerBegan;
import cloverpulley.Balancer.AnswerStarted;
import cloverpulley.serve.Rig.Client;
import cloverpulley.serve.Rig.Script;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Slow upstreams and slow clients take memory that all responses share: they must not hold back the responses of others. */
@Timeout(value = 2 * Rig.LIMIT_S, unit = TimeUnit.SECONDS)
class ResponseMemoryTest {

  private static final int MEMORY_MB = 16;
  /** More than fit in the budget for responses, at 64 KiB each. */
  private static final int SLOW = 24;
  private static final int LONG_BODY = 4 << 20;
  private static final int SHORT_BODY = 60_000;
  private static final int BEGINNING = 50_000;

  private static Rig rig(StubServer upstream, Script module) throws IOException {
    String text = Rig.text("127.0.0.1:1", Rig.list(1, true, Rig.member("s-a", upstream.address(), "ready")), "on_request", 200, 1024, "");
    return new Rig(Config.parse(text.replace("\"memory_mb\":192", "\"memory_mb\":" + MEMORY_MB), Map.of()), module);
  }

  private static String head(int length) {
    return "HTTP/1.1 200 OK\r\nContent-Length: " + length + "\r\n\r\n";
  }

  private static void assertServed(Rig rig, String id, int length) throws IOException {
    try (Client client = rig.client()) {
      client.write(Rig.get(id, ""));
      assertEquals(length, SlowResponseTest.body(client, "200 ").length());
    }
  }

  /** Above and below the length from which responses are streamed. */
  @ParameterizedTest
  @ValueSource(ints = {LONG_BODY, SHORT_BODY})
  void responsesOfSlowUpstreamsHoldBackNoOther(int length) throws Exception {
    CountDownLatch served = new CountDownLatch(1);
    Script module = new Script(0);
    String body = "x".repeat(length);
    List<Client> clients = new ArrayList<>();
    try (StubServer upstream = new StubServer(c -> {
      for (String request = c.next(); request != null; request = c.next()) {
        c.write(head(length) + body.substring(0, BEGINNING));
        if (request.contains("slow")) {
          served.await();
        }
        c.write(body.substring(BEGINNING));
      }
    }); Rig rig = rig(upstream, module)) {
      for (int i = 0; i < SLOW; i++) {
        Client client = rig.client();
        clients.add(client);
        client.write(Rig.get("slow" + i, ""));
      }
      for (int i = 0; i < SLOW; i++) {
        // One that there is no memory to buffer is streamed from the start.
        Object event = module.events.poll(Rig.LIMIT_S, TimeUnit.SECONDS);
        assertNotNull(event);
        i -= event instanceof AnswerStarted || event instanceof AnswerBegan ? 0 : 1;
      }
      assertServed(rig, "quick", length);
      served.countDown();
      for (Client client : clients) {
        assertEquals(body, SlowResponseTest.body(client, "200 "));
      }
    } finally {
      for (Client client : clients) {
        client.close();
      }
    }
  }

  @Test
  void clientsThatReadNothingHoldBackNoOther() throws Exception {
    Script module = new Script(0);
    String body = "x".repeat(LONG_BODY);
    List<Socket> clients = new ArrayList<>();
    try (StubServer upstream = StubServer.answering(head(LONG_BODY) + body); Rig rig = rig(upstream, module)) {
      for (int i = 0; i < SLOW; i++) {
        Socket client = new Socket();
        clients.add(client);
        client.setReceiveBufferSize(4096);
        client.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), rig.server.address().getPort()));
        client.getOutputStream().write(Rig.get("slow" + i, "").getBytes(StandardCharsets.ISO_8859_1));
        module.next(AnswerStarted.class);
      }
      for (int i = 0; i < 3; i++) {
        assertServed(rig, "quick" + i, LONG_BODY);
      }
      for (Socket client : clients) {
        byte[] all = client.getInputStream().readNBytes(head(LONG_BODY).length() + LONG_BODY);
        assertTrue(new String(all, StandardCharsets.ISO_8859_1).endsWith(body), "a slow client's response is whole");
      }
    } finally {
      for (Socket client : clients) {
        client.close();
      }
    }
  }
}
