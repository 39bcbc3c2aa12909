package cloverpulley.dns;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cloverpulley.standins.StandInDns;
import cloverpulley.standins.StandInDns.Asked;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.xbill.DNS.Message;
import org.xbill.DNS.Rcode;

/** The end, and a successor on the same port. */
@Timeout(value = 2 * Rig.LIMIT_S, unit = TimeUnit.SECONDS)
class RestartTest {

  private static final int NOT_READY = 14;

  private final Rig rig = new Rig();

  @AfterEach
  void close() throws Exception {
    rig.close();
  }

  private static CompletableFuture<Void> stopping(DnsServer server) {
    return CompletableFuture.runAsync(() -> {
      try {
        server.stop();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    });
  }

  /** The warm-up asks a front of its own: no server of the operators' hears of it, and nothing is left listening. */
  @Test
  void theWarmUpAsksNobodyElse() throws Exception {
    StandInDns server = rig.dns(StandInDns.addresses("10.0.0.1"));
    DnsConfig config = Rig.told("limits.udp_per_prefix_per_s = 1", Rig.servers(server)).dns();
    assertTrue(Warmup.run(config, 500) > 400);
    assertEquals(0, Warmup.run(config, 0));
    assertEquals(0, server.seen().size());
  }

  /** What is in hand at the end of its time gets an answer that says why. */
  @Test
  void whatIsInHandIsAnsweredAtTheEnd() throws Exception {
    rig.start("lame_ms = 0\ndrain_ms = 100", "", rig.dns(a -> { }));
    try (Rig.Udp udp = new Rig.Udp(rig.server.address()); Rig.Tcp tcp = new Rig.Tcp(rig.server.address())) {
      udp.send(Rig.edns(Rig.question(1, "a.example."), 1232, 0));
      tcp.send(Rig.edns(Rig.question(2, "b.example."), 1232, 0));
      Rig.await("both are in hand", () -> rig.server.pendingRequests() == 2);
      CompletableFuture<Void> stopped = stopping(rig.server);
      Message m = udp.answer();
      assertEquals(Rcode.SERVFAIL, m.getRcode());
      assertEquals(NOT_READY, Rig.error(m));
      assertEquals(NOT_READY, Rig.error(tcp.answer()));
      assertTrue(tcp.ends());
      stopped.get(Rig.LIMIT_S, TimeUnit.SECONDS);
    }
  }

  /** What is in hand and is answered in time is delivered, over both. */
  @Test
  void whatIsAnsweredInTimeIsDelivered() throws Exception {
    List<Asked> held = java.util.Collections.synchronizedList(new ArrayList<>());
    rig.start("lame_ms = 0\ndrain_ms = 20000\nupstream.attempt_ms = 15000", "", rig.dns(held::add));
    try (Rig.Udp udp = new Rig.Udp(rig.server.address()); Rig.Tcp tcp = new Rig.Tcp(rig.server.address())) {
      udp.send(Rig.question(1, "a.example."));
      tcp.send(Rig.question(2, "b.example."));
      Rig.await("both are in hand", () -> held.size() == 2);
      CompletableFuture<Void> stopped = stopping(rig.server);
      held.forEach(a -> a.reply(a.address(60, "10.0.0.1")));
      assertEquals("10.0.0.1", Rig.text(udp.answer()));
      assertEquals("10.0.0.1", Rig.text(tcp.answer()));
      stopped.get(Rig.LIMIT_S, TimeUnit.SECONDS);
    }
  }

  /** A connection with a question in hand goes on being served while the front stops. */
  @Test
  void whatComesWhileAQuestionIsInHandIsAnsweredToo() throws Exception {
    List<Asked> held = java.util.Collections.synchronizedList(new ArrayList<>());
    rig.start("lame_ms = 0\ndrain_ms = 20000\nupstream.attempt_ms = 15000", "", rig.dns(held::add));
    try (Rig.Tcp tcp = new Rig.Tcp(rig.server.address())) {
      tcp.send(Rig.question(0, "q0.example."));
      Rig.await("the first is in hand", () -> held.size() == 1);
      CompletableFuture<Void> stopped = stopping(rig.server);
      Rig.await("it stops", () -> rig.server.onLoop(rig.server::isShuttingDown));
      for (int i = 1; i < 4; i++) {
        int now = i + 1;
        tcp.send(Rig.question(i, "q" + i + ".example."));
        Rig.await("it is read", () -> held.size() == now);
      }
      held.forEach(a -> a.reply(a.address(60, "10.0.0.1")));
      for (int i = 0; i < 4; i++) {
        assertEquals("10.0.0.1", Rig.text(tcp.answer()));
      }
      assertTrue(tcp.ends());
      stopped.get(Rig.LIMIT_S, TimeUnit.SECONDS);
    }
  }

  /**
   * A question that has come and was not read yet when the front decides to stop. Before, its connection had nothing in hand and was
   * closed at once: the client was reset, without an answer.
   */
  @Test
  void whatHasComeAndIsNotReadYetIsAnswered() throws Exception {
    rig.start("lame_ms = 0\ndrain_ms = 20000", "", rig.dns(StandInDns.addresses("10.0.0.1")));
    try (Rig.Tcp tcp = new Rig.Tcp(rig.server.address())) {
      assertEquals("10.0.0.1", Rig.text(tcp.ask(Rig.question(1, "a.example."))));
      rig.server.onLoop(() -> {
        TimeUnit.MILLISECONDS.sleep(150); // The loop is busy, the connection silent for long.
        tcp.send(Rig.question(2, "b.example."));
        rig.server.beginShutdown();
        return null;
      });
      assertEquals("10.0.0.1", Rig.text(tcp.answer()));
      assertTrue(tcp.ends());
    }
  }

  /** A datagram that comes while anything else is in hand is answered. Before, it was dropped for as long as that took. */
  @Test
  void aDatagramIsAnsweredWhileAnythingElseIsInHand() throws Exception {
    List<Asked> held = java.util.Collections.synchronizedList(new ArrayList<>());
    rig.start("lame_ms = 0\ndrain_ms = 20000\nupstream.attempt_ms = 15000", "", rig.dns(a -> {
      if (a.message().getQuestion().getName().toString().toLowerCase(java.util.Locale.ROOT).startsWith("held")) {
        held.add(a);
      } else {
        a.reply(a.address(60, "10.0.0.2"));
      }
    }));
    try (Rig.Tcp tcp = new Rig.Tcp(rig.server.address()); Rig.Udp udp = new Rig.Udp(rig.server.address())) {
      tcp.send(Rig.question(1, "held.example."));
      Rig.await("it is in hand", () -> held.size() == 1);
      CompletableFuture<Void> stopped = stopping(rig.server);
      Rig.await("it stops", () -> rig.server.onLoop(rig.server::isShuttingDown));
      for (int i = 0; i < 5; i++) {
        assertEquals("10.0.0.2", Rig.text(udp.ask(Rig.question(i, "u" + i + ".example."))));
      }
      held.get(0).reply(held.get(0).address(60, "10.0.0.1"));
      assertEquals("10.0.0.1", Rig.text(tcp.answer()));
      stopped.get(Rig.LIMIT_S, TimeUnit.SECONDS);
    }
  }

  /** In the second half of its time a new question is told at once that it is to go elsewhere, over both; what is in hand stays. */
  @Test
  void nearItsEndItRefusesWhatIsNew() throws Exception {
    List<Asked> held = java.util.Collections.synchronizedList(new ArrayList<>());
    rig.start("lame_ms = 0\ndrain_ms = 3000\nlimits.udp_per_prefix_per_s = 0\nupstream.attempt_ms = 15000", "", rig.dns(a -> {
      if (a.message().getQuestion().getName().toString().toLowerCase(java.util.Locale.ROOT).startsWith("held")) {
        held.add(a);
      } else {
        a.reply(a.address(60, "10.0.0.2"));
      }
    }));
    try (Rig.Tcp tcp = new Rig.Tcp(rig.server.address()); Rig.Udp udp = new Rig.Udp(rig.server.address())) {
      tcp.send(Rig.question(1, "held.example."));
      Rig.await("it is in hand", () -> held.size() == 1);
      CompletableFuture<Void> stopped = stopping(rig.server);
      Message m;
      int asked = 0;
      do {
        m = udp.ask(Rig.edns(Rig.question(asked & 0xFFFF, "u" + asked++ + ".example."), 1232, 0));
      } while (m.getRcode() == Rcode.NOERROR);
      assertEquals(Rcode.SERVFAIL, m.getRcode());
      assertEquals(NOT_READY, Rig.error(m));
      m = tcp.ask(Rig.edns(Rig.question(2, "new.example."), 1232, 0));
      assertEquals(2, m.getHeader().getID());
      assertEquals(NOT_READY, Rig.error(m));
      held.get(0).reply(held.get(0).address(60, "10.0.0.1"));
      assertEquals("10.0.0.1", Rig.text(tcp.answer()));
      assertTrue(tcp.ends());
      stopped.get(Rig.LIMIT_S, TimeUnit.SECONDS);
    }
  }

  /**
   * A restart under load, the successor up before the predecessor goes: clients that ask again after a lost datagram, as all do, have
   * an answer each; over TCP whoever is cut off connects again and has it.
   */
  @Test
  void theSuccessorTakesOver() throws Exception {
    StandInDns servers = rig.dns(StandInDns.addresses("10.0.0.1"));
    String rest = Rig.servers(servers);
    DnsServer first = rig.start("lame_ms = 100\ndrain_ms = 2000\nlimits.udp_per_prefix_per_s = 0", rest);
    AtomicBoolean over = new AtomicBoolean();
    List<CompletableFuture<Integer>> clients = new ArrayList<>();
    ExecutorService threads = Executors.newFixedThreadPool(8);
    for (int c = 0; c < 8; c++) {
      int me = c;
      clients.add(CompletableFuture.supplyAsync(() -> asks(first, me, over), threads));
    }
    Rig.await("the load is on", () -> first.onLoop(() -> first.counts().answers) > 400);
    DnsServer second = rig.startBeside(first.address(), "lame_ms = 0\nlimits.udp_per_prefix_per_s = 0", rest);
    first.stop();
    Rig.await("the successor has it all", () -> second.onLoop(() -> second.counts().answers) > 400);
    over.set(true);
    for (CompletableFuture<Integer> client : clients) {
      assertTrue(client.get(Rig.LIMIT_S, TimeUnit.SECONDS) > 0);
    }
    threads.shutdown();
  }

  /** Asks until the end, anew from another port after 300 ms without an answer, ten times at most; the number of answers. */
  private static int asks(DnsServer at, int me, AtomicBoolean over) {
    int answers = 0;
    java.net.InetSocketAddress address = at.address();
    while (!over.get()) {
      String name = "l" + me + "-" + answers % 50 + ".example.";
      boolean answered = false;
      for (int i = 0; i < 10 && !answered; i++) {
        try (Rig.Udp client = new Rig.Udp(address)) {
          client.timeout(300);
          answered = Rig.text(client.ask(Rig.question(answers & 0xFFFF, name))).equals("10.0.0.1");
        } catch (java.io.IOException e) {
          // Lost with the predecessor: asked again.
        }
      }
      if (!answered) {
        throw new AssertionError("never answered: " + name);
      }
      answers++;
    }
    return answers;
  }
}
