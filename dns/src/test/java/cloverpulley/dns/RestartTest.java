package cloverpulley.dns;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cloverpulley.standins.StandInDns;
import cloverpulley.standins.StandInDns.ReceivedQuery;
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

/** Warm-up, graceful shutdown and handover to a successor on the same port. */
@Timeout(value = 2 * Rig.TIMEOUT_S, unit = TimeUnit.SECONDS)
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

  /** The warm-up uses a temporary frontend: the configured servers get no queries. */
  @Test
  void warmUpDoesNotQueryTheServers() throws Exception {
    StandInDns server = rig.dns(StandInDns.addresses("10.0.0.1"));
    DnsConfig config = Rig.parse("limits.udp_per_prefix_per_s = 1", Rig.servers(server)).dns();
    assertTrue(Warmup.run(config, 500) > 400);
    assertEquals(0, Warmup.run(config, 0));
    assertEquals(0, server.seen().size());
  }

  /** Queries still pending at the end of the drain time are answered with an error that has the reason. */
  @Test
  void pendingQueriesGetAnErrorAtTheEnd() throws Exception {
    rig.start("lame_ms = 0\ndrain_ms = 100", "", rig.dns(a -> { }));
    try (Rig.Udp udp = new Rig.Udp(rig.server.address()); Rig.Tcp tcp = new Rig.Tcp(rig.server.address())) {
      udp.send(Rig.edns(Rig.question(1, "a.example."), 1232, 0));
      tcp.send(Rig.edns(Rig.question(2, "b.example."), 1232, 0));
      Rig.await("both queries pending", () -> rig.server.pendingRequests() == 2);
      CompletableFuture<Void> stopped = stopping(rig.server);
      Message m = udp.answer();
      assertEquals(Rcode.SERVFAIL, m.getRcode());
      assertEquals(NOT_READY, Rig.error(m));
      assertEquals(NOT_READY, Rig.error(tcp.answer()));
      assertTrue(tcp.ends());
      stopped.get(Rig.TIMEOUT_S, TimeUnit.SECONDS);
    }
  }

  /** Answers that arrive within the drain time are delivered over UDP and TCP. */
  @Test
  void answersWithinTheDrainTimeAreDelivered() throws Exception {
    List<ReceivedQuery> pending = java.util.Collections.synchronizedList(new ArrayList<>());
    rig.start("lame_ms = 0\ndrain_ms = 20000\nupstream.attempt_ms = 15000", "", rig.dns(pending::add));
    try (Rig.Udp udp = new Rig.Udp(rig.server.address()); Rig.Tcp tcp = new Rig.Tcp(rig.server.address())) {
      udp.send(Rig.question(1, "a.example."));
      tcp.send(Rig.question(2, "b.example."));
      Rig.await("both queries pending", () -> pending.size() == 2);
      CompletableFuture<Void> stopped = stopping(rig.server);
      pending.forEach(a -> a.reply(a.address(60, "10.0.0.1")));
      assertEquals("10.0.0.1", Rig.text(udp.answer()));
      assertEquals("10.0.0.1", Rig.text(tcp.answer()));
      stopped.get(Rig.TIMEOUT_S, TimeUnit.SECONDS);
    }
  }

  /** A connection with a pending query is served further during shutdown. */
  @Test
  void connectionWithPendingQueryIsServedDuringShutdown() throws Exception {
    List<ReceivedQuery> pending = java.util.Collections.synchronizedList(new ArrayList<>());
    rig.start("lame_ms = 0\ndrain_ms = 20000\nupstream.attempt_ms = 15000", "", rig.dns(pending::add));
    try (Rig.Tcp tcp = new Rig.Tcp(rig.server.address())) {
      tcp.send(Rig.question(0, "q0.example."));
      Rig.await("first query pending", () -> pending.size() == 1);
      CompletableFuture<Void> stopped = stopping(rig.server);
      Rig.await("shutdown begun", () -> rig.server.onLoop(rig.server::isShuttingDown));
      for (int i = 1; i < 4; i++) {
        int now = i + 1;
        tcp.send(Rig.question(i, "q" + i + ".example."));
        Rig.await("query read", () -> pending.size() == now);
      }
      pending.forEach(a -> a.reply(a.address(60, "10.0.0.1")));
      for (int i = 0; i < 4; i++) {
        assertEquals("10.0.0.1", Rig.text(tcp.answer()));
      }
      assertTrue(tcp.ends());
      stopped.get(Rig.TIMEOUT_S, TimeUnit.SECONDS);
    }
  }

  /**
   * A query that has arrived but is unread when the shutdown begins is answered. Guards against closing its connection at once because
   * nothing is pending on it: the client got a reset instead of an answer.
   */
  @Test
  void unreadQueryIsAnsweredDuringShutdown() throws Exception {
    rig.start("lame_ms = 0\ndrain_ms = 20000", "", rig.dns(StandInDns.addresses("10.0.0.1")));
    try (Rig.Tcp tcp = new Rig.Tcp(rig.server.address())) {
      assertEquals("10.0.0.1", Rig.text(tcp.ask(Rig.question(1, "a.example."))));
      rig.server.onLoop(() -> {
        TimeUnit.MILLISECONDS.sleep(150); // Keeps the event loop busy for longer than a connection has to be idle to be closed.
        tcp.send(Rig.question(2, "b.example."));
        rig.server.beginShutdown();
        return null;
      });
      assertEquals("10.0.0.1", Rig.text(tcp.answer()));
      assertTrue(tcp.ends());
    }
  }

  /** A datagram that arrives while another query is pending is answered. Guards against dropping datagrams for that time. */
  @Test
  void datagramsAreAnsweredWhileAQueryIsPending() throws Exception {
    List<ReceivedQuery> pending = java.util.Collections.synchronizedList(new ArrayList<>());
    rig.start("lame_ms = 0\ndrain_ms = 20000\nupstream.attempt_ms = 15000", "", rig.dns(a -> {
      if (a.message().getQuestion().getName().toString().toLowerCase(java.util.Locale.ROOT).startsWith("held")) {
        pending.add(a);
      } else {
        a.reply(a.address(60, "10.0.0.2"));
      }
    }));
    try (Rig.Tcp tcp = new Rig.Tcp(rig.server.address()); Rig.Udp udp = new Rig.Udp(rig.server.address())) {
      tcp.send(Rig.question(1, "held.example."));
      Rig.await("query pending", () -> pending.size() == 1);
      CompletableFuture<Void> stopped = stopping(rig.server);
      Rig.await("shutdown begun", () -> rig.server.onLoop(rig.server::isShuttingDown));
      for (int i = 0; i < 5; i++) {
        assertEquals("10.0.0.2", Rig.text(udp.ask(Rig.question(i, "u" + i + ".example."))));
      }
      pending.get(0).reply(pending.get(0).address(60, "10.0.0.1"));
      assertEquals("10.0.0.1", Rig.text(tcp.answer()));
      stopped.get(Rig.TIMEOUT_S, TimeUnit.SECONDS);
    }
  }

  /** In the second half of the drain time new queries are rejected at once over UDP and TCP, while pending ones continue. */
  @Test
  void newQueriesAreRejectedInTheSecondHalf() throws Exception {
    List<ReceivedQuery> pending = java.util.Collections.synchronizedList(new ArrayList<>());
    rig.start("lame_ms = 0\ndrain_ms = 3000\nlimits.udp_per_prefix_per_s = 0\nupstream.attempt_ms = 15000", "", rig.dns(a -> {
      if (a.message().getQuestion().getName().toString().toLowerCase(java.util.Locale.ROOT).startsWith("held")) {
        pending.add(a);
      } else {
        a.reply(a.address(60, "10.0.0.2"));
      }
    }));
    try (Rig.Tcp tcp = new Rig.Tcp(rig.server.address()); Rig.Udp udp = new Rig.Udp(rig.server.address())) {
      tcp.send(Rig.question(1, "held.example."));
      Rig.await("query pending", () -> pending.size() == 1);
      CompletableFuture<Void> stopped = stopping(rig.server);
      Message m;
      int sent = 0;
      do {
        m = udp.ask(Rig.edns(Rig.question(sent & 0xFFFF, "u" + sent++ + ".example."), 1232, 0));
      } while (m.getRcode() == Rcode.NOERROR);
      assertEquals(Rcode.SERVFAIL, m.getRcode());
      assertEquals(NOT_READY, Rig.error(m));
      m = tcp.ask(Rig.edns(Rig.question(2, "new.example."), 1232, 0));
      assertEquals(2, m.getHeader().getID());
      assertEquals(NOT_READY, Rig.error(m));
      pending.get(0).reply(pending.get(0).address(60, "10.0.0.1"));
      assertEquals("10.0.0.1", Rig.text(tcp.answer()));
      assertTrue(tcp.ends());
      stopped.get(Rig.TIMEOUT_S, TimeUnit.SECONDS);
    }
  }

  /**
   * A restart under load, with the successor started before the predecessor stops: clients that retry after a lost datagram, as all do,
   * get an answer to each query.
   */
  @Test
  void successorTakesOverUnderLoad() throws Exception {
    StandInDns servers = rig.dns(StandInDns.addresses("10.0.0.1"));
    String rest = Rig.servers(servers);
    DnsServer first = rig.start("lame_ms = 100\ndrain_ms = 2000\nlimits.udp_per_prefix_per_s = 0", rest);
    AtomicBoolean done = new AtomicBoolean();
    List<CompletableFuture<Integer>> clients = new ArrayList<>();
    ExecutorService threads = Executors.newFixedThreadPool(8);
    for (int c = 0; c < 8; c++) {
      int clientIndex = c;
      clients.add(CompletableFuture.supplyAsync(() -> queryUntilDone(first, clientIndex, done), threads));
    }
    Rig.await("load started", () -> first.onLoop(() -> first.counts().answers) > 400);
    DnsServer second = rig.startOnPort(first.address(), "lame_ms = 0\nlimits.udp_per_prefix_per_s = 0", rest);
    first.stop();
    Rig.await("successor serves the load", () -> second.onLoop(() -> second.counts().answers) > 400);
    done.set(true);
    for (CompletableFuture<Integer> client : clients) {
      assertTrue(client.get(Rig.TIMEOUT_S, TimeUnit.SECONDS) > 0);
    }
    threads.shutdown();
  }

  /** Sends queries until done, each retried from a new port after 300 ms, at most ten times. Returns the number of answers. */
  private static int queryUntilDone(DnsServer server, int clientIndex, AtomicBoolean done) {
    int answers = 0;
    java.net.InetSocketAddress address = server.address();
    while (!done.get()) {
      String name = "l" + clientIndex + "-" + answers % 50 + ".example.";
      boolean answered = false;
      for (int i = 0; i < 10 && !answered; i++) {
        try (Rig.Udp client = new Rig.Udp(address)) {
          client.timeout(300);
          answered = Rig.text(client.ask(Rig.question(answers & 0xFFFF, name))).equals("10.0.0.1");
        } catch (java.io.IOException e) {
          // Lost with the predecessor: retry.
        }
      }
      if (!answered) {
        throw new AssertionError("no answer for " + name);
      }
      answers++;
    }
    return answers;
  }
}
