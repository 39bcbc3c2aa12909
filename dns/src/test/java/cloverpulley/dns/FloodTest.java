package cloverpulley.dns;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cloverpulley.standins.StandInDns;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.xbill.DNS.CookieOption;
import org.xbill.DNS.Message;

/**
 * Legitimate clients get all their answers during a flood, if they retry queries that the kernel dropped, as all clients do. Latency is
 * measured by the bench.
 */
@Timeout(value = 2 * Rig.TIMEOUT_S, unit = TimeUnit.SECONDS)
class FloodTest {

  private static final int QUERIES = 100;
  private static final int BURST = 20;
  private static final int PAUSE_MS = 5;

  private final Rig rig = new Rig();
  private final AtomicBoolean stopped = new AtomicBoolean();
  private final List<Thread> floods = new ArrayList<>();

  @AfterEach
  void close() throws Exception {
    stopped.set(true);
    for (Thread t : floods) {
      t.join(TimeUnit.SECONDS.toMillis(Rig.TIMEOUT_S));
    }
    rig.close();
  }

  private interface Step {
    void run(int n) throws Exception;
  }

  private void flood(Step step) {
    Thread t = new Thread(() -> {
      try {
        for (int n = 0; !stopped.get(); n++) {
          step.run(n);
          if (n % BURST == 0) {
            TimeUnit.MILLISECONDS.sleep(PAUSE_MS); // Some thousands a second: a flood, but less than a core can send.
          }
        }
      } catch (Exception e) {
        // The server may close the connection.
      }
    });
    t.setDaemon(true);
    floods.add(t);
    t.start();
  }

  /** Queries over both transports; each must get the right answer. */
  private void assertLegitimateClientsAreServed() throws Exception {
    Message cookieQuery = new Message(1);
    Rig.edns(cookieQuery, 1232, 0, new CookieOption(new byte[8]));
    try (Rig.Udp udp = new Rig.Udp(rig.server.address()); Rig.Tcp tcp = new Rig.Tcp(rig.server.address())) {
      // Gets the cookie over TCP, which is not rate limited, as a client does after a truncated answer.
      CookieOption cookie = (CookieOption) tcp.ask(cookieQuery).getOPT().getOptions().get(0);
      for (int i = 0; i < QUERIES; i++) {
        assertEquals("10.0.0.1", Rig.text(tcp.ask(Rig.question(i, "g" + i % 20 + ".example."))));
        assertEquals("10.0.0.1", Rig.text(askWithRetries(udp, Rig.edns(Rig.question(i, "g" + i % 20 + ".example."), 1232, 0, cookie))));
      }
    }
  }

  /** Retries on timeout; an answer to an earlier attempt has the same id and counts as well. */
  private static Message askWithRetries(Rig.Udp client, Message m) throws Exception {
    client.timeout(100);
    for (int i = 0; i < 50; i++) {
      client.send(m);
      try {
        Message answer = client.answer();
        while (answer.getHeader().getID() != m.getHeader().getID()) {
          answer = client.answer(); // A duplicate answer to an earlier, retried query.
        }
        return answer;
      } catch (java.net.SocketTimeoutException e) {
        // Retry.
      }
    }
    throw new AssertionError("no answer after 50 attempts");
  }

  private void start(String dns) throws Exception {
    rig.start(dns, "", rig.dns(StandInDns.addresses("10.0.0.1")));
  }

  /** Datagrams from many prefixes, each far over its rate. */
  @Test
  void floodFromManyPrefixes() throws Exception {
    start("limits.udp_per_prefix_per_s = 20\nlimits.prefixes = 1000");
    for (int i = 0; i < 4; i++) {
      List<Rig.Udp> senders = new ArrayList<>();
      for (int k = 0; k < 16; k++) {
        senders.add(rig.keep(new Rig.Udp(rig.server.address(), "127." + (10 + i) + "." + k + ".1")));
      }
      flood(n -> senders.get(n % senders.size()).send(Rig.question(n & 0xFFFF, "f" + n + ".example.")));
    }
    Rig.await("flood started", () -> rig.server.onLoop(() -> rig.server.counts().dropped) > 1000);
    assertLegitimateClientsAreServed();
  }

  @Test
  void randomDatagrams() throws Exception {
    start("");
    SplittableRandom random = new SplittableRandom(20261201);
    Rig.Udp sender = rig.keep(new Rig.Udp(rig.server.address(), "127.9.9.9"));
    flood(n -> {
      byte[] octets = new byte[random.nextInt(80)];
      random.nextBytes(octets);
      sender.send(octets);
    });
    Rig.await("flood started", () -> rig.server.onLoop(() -> rig.server.counts().malformed) > 1000);
    assertLegitimateClientsAreServed();
  }

  /** Connections that send nothing or an incomplete message: their number is limited, and idle ones are closed to make room. */
  @Test
  void idleAndSlowConnections() throws Exception {
    start("limits.tcp_idle_ms = 1000\nlimits.tcp_message_ms = 500\nlimits.tcp_connections = 50\nlimits.tcp_per_client = 1000");
    flood(n -> {
      rig.keepConcurrently(new Rig.Tcp(rig.server.address()));
      TimeUnit.MICROSECONDS.sleep(500);
    });
    flood(n -> {
      Rig.Tcp c = new Rig.Tcp(rig.server.address());
      rig.keepConcurrently(c);
      c.write(new byte[] {0, 40, 1});
      TimeUnit.MILLISECONDS.sleep(20);
    });
    Rig.await("flood started", () -> rig.server.onLoop(() -> rig.server.counts().turnedAway) > 100);
    try (Rig.Udp udp = new Rig.Udp(rig.server.address())) {
      for (int i = 0; i < QUERIES; i++) {
        assertEquals("10.0.0.1", Rig.text(askWithRetries(udp, Rig.question(i, "g" + i % 20 + ".example."))));
      }
    }
    // A connection in use is not evicted.
    try (Rig.Tcp tcp = new Rig.Tcp(rig.server.address())) {
      assertEquals("10.0.0.1", Rig.text(tcp.ask(Rig.question(1, "tcp.example."))));
    }
    assertTrue(rig.server.connections() <= 50);
  }

  @Test
  void clientsThatDoNotReadAnswers() throws Exception {
    String[] records = new String[200];
    for (int i = 0; i < records.length; i++) {
      records[i] = "big.example. 600 A 10.0.1." + i;
    }
    rig.start("limits.tcp_stall_ms = 300", "", rig.dns(a -> a.reply(a.name().startsWith("big") ? a.answer(0, records)
        : a.address(60, "10.0.0.1"))));
    for (int i = 0; i < 4; i++) {
      flood(n -> {
        try (Rig.Tcp c = new Rig.Tcp(rig.server.address())) {
          byte[] one = Rig.Tcp.framed(Rig.question(2, "big.example.").toWire(512));
          byte[] many = new byte[one.length * 500];
          for (int k = 0; k < 500; k++) {
            System.arraycopy(one, 0, many, k * one.length, one.length);
          }
          while (!stopped.get()) {
            c.write(many);
          }
        } catch (java.io.IOException e) {
          // Disconnected; opens the next connection.
        }
      });
    }
    Rig.await("clients disconnected", () -> rig.server.onLoop(() -> rig.server.counts().turnedAway) >= 4);
    assertLegitimateClientsAreServed();
  }
}
