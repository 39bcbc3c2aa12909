package cloverpulley.dns;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cloverpulley.engine.ServerList;
import cloverpulley.standins.StandInDns;
import cloverpulley.standins.StandInDns.ReceivedQuery;
import cloverpulley.standins.StandInDns.Seen;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.xbill.DNS.Flags;
import org.xbill.DNS.Message;
import org.xbill.DNS.Opcode;
import org.xbill.DNS.Rcode;
import org.xbill.DNS.Section;
import org.xbill.DNS.Type;
import org.xbill.DNS.Update;

/**
 * The four balancing rules over DNS, measured at the servers: one answer to each query, no effect twice, nothing to drained servers, and no
 * overload during slow start.
 */
@Timeout(value = 2 * Rig.TIMEOUT_S, unit = TimeUnit.SECONDS)
class RulesTest {

  private static final long GRACE_NANOS = TimeUnit.SECONDS.toNanos(2);

  private final Rig rig = new Rig();

  @AfterEach
  void close() throws Exception {
    rig.close();
  }

  private Rig.Udp udp() throws Exception {
    return rig.keep(new Rig.Udp(rig.server.address()));
  }

  private Rig.Tcp tcp() throws Exception {
    return rig.keep(new Rig.Tcp(rig.server.address()));
  }

  private static Message update(int id, String host) {
    try {
      Update u = new Update(org.xbill.DNS.Name.fromString("example."));
      u.add(StandInDns.record(host + ".example. 60 A 10.9.9.9"));
      u.getHeader().setID(id);
      return u;
    } catch (java.io.IOException e) {
      throw new IllegalArgumentException(e);
    }
  }

  private static Message notify(int id) {
    Message m = Rig.question(id, "example.", Type.SOA);
    m.getHeader().setOpcode(Opcode.NOTIFY);
    m.getHeader().unsetFlag(Flags.RD);
    return m;
  }

  private static String updated(Seen seen, ReceivedQuery a) {
    return a.message().getSection(Section.AUTHORITY).get(0).getName().toString();
  }

  private List<ServerList.Server> members(StandInDns... servers) throws Exception {
    return Rig.parse("", Rig.servers(servers)).dns().fleet().list().members();
  }

  private void list(List<ServerList.Server> members) {
    rig.server.updateEndpoints(new ServerList(0, true, members), null);
    // Waits on the event loop until the list is applied: a query sent before could still be routed by the old list.
    rig.server.pendingRequests();
  }

  // ---- Rule 1: one answer --------------------------------------------------------------------------------

  /** Whatever the servers do, each of a hundred clients gets exactly one answer, its own, and nothing stays pending. */
  @Test
  void everyQueryGetsOneAnswer() throws Exception {
    AtomicInteger n = new AtomicInteger();
    java.util.function.Consumer<ReceivedQuery> unreliable = a -> {
      switch (n.getAndIncrement() % 7) {
        case 0 -> { }
        case 1 -> a.reply(a.answer(Rcode.SERVFAIL));
        case 2 -> a.reply(new byte[] {1, 2, 3});
        case 3 -> {
          a.reply(a.address(0, "10.0.0.1"));
          a.reply(a.address(0, "10.0.0.1"));
        }
        case 4 -> a.reply(a.isTcp() ? a.address(0, "10.0.0.1").toWire(65_535) : a.truncated());
        case 5 -> a.replyAfter(30, a.address(0, "10.0.0.1"));
        default -> a.reply(a.address(0, "10.0.0.1"));
      }
    };
    rig.start("upstream.attempt_ms = 100", "", rig.dns(unreliable), rig.dns(unreliable), rig.dns(unreliable));
    List<Rig.Udp> clients = new ArrayList<>();
    for (int i = 0; i < 100; i++) {
      clients.add(udp().send(Rig.question(i, "c" + i + ".example.", i % 2 == 0 ? Type.A : Type.MX)));
    }
    for (int i = 0; i < 100; i++) {
      Message m = clients.get(i).answer();
      assertEquals(i, m.getHeader().getID());
      assertEquals("c" + i + ".example.", m.getQuestion().getName().toString());
    }
    rig.awaitIdle();
    for (Rig.Udp client : clients) {
      client.assertNoMoreAnswers(rig.server.address());
    }
  }

  // ---- Rule 2: no effect twice ---------------------------------------------------------------------------

  /** When a server dies, in-flight queries are retried elsewhere and updates fail; no update is sent twice. */
  @Test
  void serverDeathRetriesQueriesAndFailsUpdates() throws Exception {
    UpdateLog updates = new UpdateLog();
    StandInDns dying = rig.dns(a -> updates.note(a));
    rig.start("upstream.attempt_ms = 1000", "", dying);
    List<Rig.Udp> queryClients = new ArrayList<>();
    List<Rig.Tcp> updateClients = new ArrayList<>();
    for (int i = 0; i < 10; i++) {
      queryClients.add(udp().send(Rig.edns(Rig.question(i, "q" + i + ".example."), 1232, 0)));
      updateClients.add(tcp().send(update(i, "h" + i)));
    }
    Rig.await("all messages received", () -> dying.seen().size() == 20);
    StandInDns survivor = rig.dns(a -> {
      updates.note(a);
      a.reply(a.message().getHeader().getOpcode() == Opcode.UPDATE ? a.answer(0) : a.address(0, "10.0.0.5"));
    });
    list(members(dying, survivor));
    dying.close();
    for (int i = 0; i < 10; i++) {
      Message failed = updateClients.get(i).answer();
      assertEquals(Rcode.SERVFAIL, failed.getRcode());
      assertEquals(Opcode.UPDATE, failed.getHeader().getOpcode());
    }
    // The queries are retried once the server's failure is detected, here by a datagram to its closed port.
    for (int i = 10; i < 16; i++) {
      assertEquals("10.0.0.5", Rig.text(udp().ask(Rig.question(i, "q" + i + ".example."))));
    }
    for (Rig.Udp queryClient : queryClients) {
      assertEquals("10.0.0.5", Rig.text(queryClient.answer()));
    }
    updates.assertNoneTwice(10);
    assertEquals(0, survivor.seen().stream().filter(s -> s.opcode() == Opcode.UPDATE).count());
    rig.awaitIdle();
  }

  /** The updates received by the servers, by the name that they add. */
  private static final class UpdateLog {
    private final ConcurrentLinkedQueue<String> names = new ConcurrentLinkedQueue<>();

    void note(ReceivedQuery a) {
      if (a.message().getHeader().getOpcode() == Opcode.UPDATE) {
        names.add(a.message().getSection(Section.AUTHORITY).get(0).getName().toString());
      }
    }

    void assertNoneTwice(int expected) {
      assertEquals(expected, names.size());
      assertEquals(expected, new HashSet<>(names).size());
    }
  }

  @Test
  void unsentUpdateIsRetriedOnAnotherServer() throws Exception {
    StandInDns dead = new StandInDns(rig.group, a -> { });
    String address = dead.hostPort();
    dead.close();
    UpdateLog updates = new UpdateLog();
    rig.start("", Rig.servers(rig.dns(a -> {
      updates.note(a);
      a.reply(a.answer(0));
    })) + Rig.server("dead", address, "ready"));
    for (int i = 0; i < 12; i++) {
      assertEquals(Rcode.NOERROR, tcp().ask(update(i, "h" + i)).getRcode());
    }
    updates.assertNoneTwice(12);
  }

  /** An update retransmitted over UDP runs once; a retransmission after the answer gets the same answer. */
  @Test
  void retransmittedUpdateRunsOnce() throws Exception {
    UpdateLog updates = new UpdateLog();
    List<ReceivedQuery> pending = new ArrayList<>();
    rig.start("", "", rig.dns(a -> {
      updates.note(a);
      pending.add(a);
    }));
    Rig.Udp client = udp();
    byte[] octets = update(77, "h").toWire(65_535);
    client.send(octets).send(octets).send(octets);
    Rig.await("duplicates detected", () -> rig.server.onLoop(() -> rig.server.counts().repeated) == 2);
    Rig.await("update received", () -> pending.size() == 1);
    pending.get(0).reply(pending.get(0).answer(Rcode.YXDOMAIN));
    Message m = client.answer();
    assertEquals(Rcode.YXDOMAIN, m.getRcode(), "the server's response code");
    assertEquals(77, m.getHeader().getID());
    assertEquals(Rcode.YXDOMAIN, client.send(octets).answer().getRcode(), "same answer for a duplicate");
    client.assertNoMoreAnswers(rig.server.address());
    updates.assertNoneTwice(1);
  }

  @Test
  void updateIsForwardedUnmodifiedExceptForItsId() throws Exception {
    List<byte[]> received = new ArrayList<>();
    rig.start("", "", rig.dns(a -> {
      received.add(a.octets());
      a.reply(a.answer(0));
    }));
    byte[] octets = update(4711, "h").toWire(65_535);
    assertEquals(4711, udp().send(octets).answer().getHeader().getID());
    byte[] seen = received.get(0);
    seen[0] = octets[0];
    seen[1] = octets[1];
    org.junit.jupiter.api.Assertions.assertArrayEquals(octets, seen);
  }

  @Test
  void unansweredUpdateIsNotRetried() throws Exception {
    UpdateLog updates = new UpdateLog();
    rig.start("", Rig.servers(rig.dns(updates::note), rig.dns(updates::note)));
    Rig.Tcp client = tcp();
    client.send(update(1, "h"));
    Rig.await("update received", () -> updates.names.size() == 1);
    // The client disconnects; the update is not sent to another server.
    client.close();
    rig.awaitIdle();
    updates.assertNoneTwice(1);
  }

  @Test
  void notifyIsForwarded() throws Exception {
    rig.start("", "", rig.dns(a -> a.reply(a.answer(0))));
    Message m = udp().ask(notify(9));
    assertEquals(Opcode.NOTIFY, m.getHeader().getOpcode());
    assertEquals(Rcode.NOERROR, m.getRcode());
  }

  // ---- Rule 3: nothing to drained servers ----------------------------------------------------------------

  /**
   * A server starts to drain after 50 queries on its connection, 20 of them unanswered. Each of the 50 clients gets exactly one answer, the
   * server gets nothing new later than two seconds after the notification, and the connection closes once nothing is pending.
   */
  @Test
  void drainingServerGetsNoNewQueries() throws Exception {
    List<ReceivedQuery> pending = java.util.Collections.synchronizedList(new ArrayList<>());
    AtomicInteger streamed = new AtomicInteger();
    StandInDns draining = rig.dns(a -> {
      if (!a.isTcp()) {
        a.reply(a.truncated());
      } else if (streamed.incrementAndGet() <= 30) {
        a.reply(a.address(0, "10.0.0.1"));
      } else {
        pending.add(a);
      }
    });
    StandInDns other = rig.dns(StandInDns.addresses("10.0.0.2"));
    rig.start("upstream.attempt_ms = 15000\nupstream.connections = 1", "", draining);
    List<Rig.Udp> clients = new ArrayList<>();
    for (int i = 0; i < 50; i++) {
      clients.add(udp().send(Rig.question(i, "d" + i + ".example.")));
    }
    Rig.await("20 queries pending at the server", () -> pending.size() == 20);
    assertEquals(1, draining.connections());
    List<ServerList.Server> now = members(draining, other);
    ServerList.Server d = now.get(0);
    list(List.of(new ServerList.Server(d.id(), d.address(), d.zone(), d.cell(), cloverpulley.Balancer.State.DRAINING, d.size(),
        d.upSinceMillis()), now.get(1)));
    long notice = System.nanoTime();
    for (int i = 50; i < 80; i++) {
      assertEquals("10.0.0.2", Rig.text(udp().ask(Rig.question(i, "d" + i + ".example."))));
    }
    assertEquals(1, draining.connections(), "connection stays open for pending queries");
    pending.forEach(a -> a.reply(a.address(0, "10.0.0.1")));
    Map<String, Integer> answers = new HashMap<>();
    for (Rig.Udp client : clients) {
      answers.merge(Rig.text(client.answer()), 1, Integer::sum);
    }
    assertEquals(Map.of("10.0.0.1", 50), answers);
    Rig.await("connection closed", () -> draining.connections() == 0);
    assertEquals(0, draining.seen().stream().filter(s -> s.atNanos() - notice > GRACE_NANOS).count());
    for (Rig.Udp client : clients) {
      client.assertNoMoreAnswers(rig.server.address());
    }
  }

  /** Updates not yet written to a draining server go to another one; a connection that the server doesn't read is closed. */
  @Test
  void unwrittenUpdatesMoveAwayFromADrainingServer() throws Exception {
    StandInDns draining = rig.dns(a -> {
      if (a.isTcp()) {
        a.stopReading();
      }
    });
    StandInDns other = rig.dns(a -> a.reply(a.answer(0)));
    rig.start("upstream.connections = 1\nupstream.pipelined = 10000\nupstream.drain_ms = 1500\nlimits.tcp_per_client = 1000", "", draining);
    // Updates of 60 kB each: those beyond the socket buffers stay in the frontend's queue.
    List<Rig.Tcp> clients = new ArrayList<>();
    int count = 200;
    for (int i = 0; i < count; i++) {
      Message m = update(i, "big" + i);
      for (int k = 0; k < 230; k++) {
        m.addRecord(StandInDns.record("big" + i + ".example. " + k + " TXT " + "x".repeat(230) + k), Section.UPDATE);
      }
      clients.add(tcp().send(m));
    }
    Rig.await("all updates pending", () -> rig.server.pendingRequests() == count);
    List<ServerList.Server> now = members(draining, other);
    ServerList.Server d = now.get(0);
    list(List.of(new ServerList.Server(d.id(), d.address(), d.zone(), d.cell(), cloverpulley.Balancer.State.DRAINING, d.size(),
        d.upSinceMillis()), now.get(1)));
    int moved = 0;
    for (Rig.Tcp client : clients) {
      moved += client.answer().getRcode() == Rcode.NOERROR ? 1 : 0;
    }
    assertTrue(moved > 0, "unwritten updates went to the other server");
    assertEquals(moved, other.seen().size(), "updates that may have run were not sent again");
    assertTrue(moved < count, "some updates had been written: " + moved);
    rig.awaitIdle();
  }

  // ---- Rule 4: no overload during slow start -------------------------------------------------------------

  /** A server in slow start gets its slow-start budget and not an equal share. */
  @Test
  void startingServerIsNotOverloaded() throws Exception {
    StandInDns[] servers = new StandInDns[4];
    for (int i = 0; i < servers.length; i++) {
      servers[i] = rig.dns(a -> a.reply(a.address(0, "10.0.0.1")));
    }
    rig.start("limits.udp_per_prefix_per_s = 0", "", servers[0], servers[1], servers[2]);
    Rig.Udp client = udp();
    int n = 0;
    for (; n < 1500; n++) {
      client.ask(Rig.question(n, "w" + n + ".example."));
    }
    List<ServerList.Server> members = new ArrayList<>(members(servers));
    ServerList.Server starting = members.get(3);
    members.set(3, new ServerList.Server(starting.id(), starting.address(), starting.zone(), starting.cell(), starting.state(), starting.size(),
        System.currentTimeMillis()));
    list(members);
    int before = n;
    for (; n < before + 300; n++) {
      client.ask(Rig.question(n, "w" + n + ".example."));
    }
    int got = servers[3].seen().size();
    assertTrue(got < 300 / 4, "of 300, an equal share would be 75: " + got);
  }

  /** When servers recover from being unresponsive, the waiting queries don't all hit them at once. */
  @Test
  void recoveringServerIsNotFlooded() throws Exception {
    AtomicInteger unresponsive = new AtomicInteger(1);
    java.util.function.Consumer<ReceivedQuery> script = a -> {
      if (unresponsive.get() == 0) {
        a.reply(a.address(0, "10.0.0.1"));
      }
    };
    rig.start("upstream.attempt_ms = 100\nlimits.udp_per_prefix_per_s = 0", "", rig.dns(script), rig.dns(script));
    List<Rig.Udp> clients = new ArrayList<>();
    for (int i = 0; i < 100; i++) {
      clients.add(udp().send(Rig.question(i, "r" + i + ".example.", Type.MX)));
    }
    Set<Integer> codes = new HashSet<>();
    for (Rig.Udp client : clients) {
      codes.add(client.answer().getRcode());
    }
    assertTrue(!codes.contains(Rcode.NOERROR), codes.toString());
    rig.awaitIdle();
    unresponsive.set(0);
    // Queries must be served again within the longest ejection time.
    CompletableFuture<Integer> recovered = CompletableFuture.supplyAsync(() -> {
      try (Rig.Udp client = new Rig.Udp(rig.server.address())) {
        for (int i = 0; ; i++) {
          if (Rig.text(client.ask(Rig.question(i & 0x7FFF, "s" + i + ".example.", Type.A))).equals("10.0.0.1")) {
            return i;
          }
        }
      } catch (java.io.IOException e) {
        throw new IllegalStateException(e);
      }
    });
    assertTrue(recovered.get(Rig.TIMEOUT_S, TimeUnit.SECONDS) >= 0);
  }
}
