package cloverpulley.dns;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cloverpulley.engine.ServerList;
import cloverpulley.standins.StandInDns;
import cloverpulley.standins.StandInDns.Asked;
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

/** The four rules over DNS, as the servers themselves count. */
@Timeout(value = 2 * Rig.LIMIT_S, unit = TimeUnit.SECONDS)
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

  private static String updated(Seen seen, Asked a) {
    return a.message().getSection(Section.AUTHORITY).get(0).getName().toString();
  }

  private List<ServerList.Server> listed(StandInDns... servers) throws Exception {
    return Rig.told("", Rig.servers(servers)).dns().fleet().list().members();
  }

  private void list(List<ServerList.Server> members) {
    rig.server.updateEndpoints(new ServerList(0, true, members), null);
    // Its turn on the loop comes after the list's: a question sent before could still go by the list before, as it may.
    rig.server.pendingRequests();
  }

  // ---- Rule 1 --------------------------------------------------------------------------------------------

  /** Whatever the servers do, each of a hundred clients gets one answer, his own, and nothing is left. */
  @Test
  void everyQueryGetsOneAnswer() throws Exception {
    AtomicInteger n = new AtomicInteger();
    java.util.function.Consumer<Asked> odd = a -> {
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
    rig.start("upstream.attempt_ms = 100", "", rig.dns(odd), rig.dns(odd), rig.dns(odd));
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
      client.assertNothingElse(rig.server.address());
    }
  }

  // ---- Rule 2 --------------------------------------------------------------------------------------------

  /** A server dies with updates and queries in flight: the queries move on, the updates fail, none is sent twice. */
  @Test
  void whenAServerDiesQueriesMoveOnAndUpdatesFail() throws Exception {
    Queue updates = new Queue();
    StandInDns dying = rig.dns(a -> updates.note(a));
    rig.start("upstream.attempt_ms = 1000", "", dying);
    List<Rig.Udp> askers = new ArrayList<>();
    List<Rig.Tcp> changers = new ArrayList<>();
    for (int i = 0; i < 10; i++) {
      askers.add(udp().send(Rig.edns(Rig.question(i, "q" + i + ".example."), 1232, 0)));
      changers.add(tcp().send(update(i, "h" + i)));
    }
    Rig.await("all have come", () -> dying.seen().size() == 20);
    StandInDns heir = rig.dns(a -> {
      updates.note(a);
      a.reply(a.message().getHeader().getOpcode() == Opcode.UPDATE ? a.answer(0) : a.address(0, "10.0.0.5"));
    });
    list(listed(dying, heir));
    dying.close();
    for (int i = 0; i < 10; i++) {
      Message failed = changers.get(i).answer();
      assertEquals(Rcode.SERVFAIL, failed.getRcode());
      assertEquals(Opcode.UPDATE, failed.getHeader().getOpcode());
    }
    // The queries move once something is heard of the server; a datagram to a dead port is that.
    for (int i = 10; i < 16; i++) {
      assertEquals("10.0.0.5", Rig.text(udp().ask(Rig.question(i, "q" + i + ".example."))));
    }
    for (Rig.Udp asker : askers) {
      assertEquals("10.0.0.5", Rig.text(asker.answer()));
    }
    updates.assertNoneTwice(10);
    assertEquals(0, heir.seen().stream().filter(s -> s.opcode() == Opcode.UPDATE).count());
    rig.awaitIdle();
  }

  /** Updates that have come to a server, by the name that they add. */
  private static final class Queue {
    private final ConcurrentLinkedQueue<String> names = new ConcurrentLinkedQueue<>();

    void note(Asked a) {
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
  void anUpdateThatCantHaveRunGoesToAnotherServer() throws Exception {
    StandInDns dead = new StandInDns(rig.group, a -> { });
    String address = dead.hostPort();
    dead.close();
    Queue updates = new Queue();
    rig.start("", Rig.servers(rig.dns(a -> {
      updates.note(a);
      a.reply(a.answer(0));
    })) + Rig.server("dead", address, "ready"));
    for (int i = 0; i < 12; i++) {
      assertEquals(Rcode.NOERROR, tcp().ask(update(i, "h" + i)).getRcode());
    }
    updates.assertNoneTwice(12);
  }

  /** Over UDP clients send again when they hear nothing: it is one update all the same, and they get one answer each time. */
  @Test
  void anUpdateSentAgainByItsClientRunsOnce() throws Exception {
    Queue updates = new Queue();
    List<Asked> held = new ArrayList<>();
    rig.start("", "", rig.dns(a -> {
      updates.note(a);
      held.add(a);
    }));
    Rig.Udp client = udp();
    byte[] octets = update(77, "h").toWire(65_535);
    client.send(octets).send(octets).send(octets);
    Rig.await("the repeats are known", () -> rig.server.onLoop(() -> rig.server.counts().repeated) == 2);
    Rig.await("it has come", () -> held.size() == 1);
    held.get(0).reply(held.get(0).answer(Rcode.YXDOMAIN));
    Message m = client.answer();
    assertEquals(Rcode.YXDOMAIN, m.getRcode(), "the server's own word");
    assertEquals(77, m.getHeader().getID());
    assertEquals(Rcode.YXDOMAIN, client.send(octets).answer().getRcode(), "the same answer again");
    client.assertNothingElse(rig.server.address());
    updates.assertNoneTwice(1);
  }

  @Test
  void anUpdateIsPassedOnUntouchedButForItsId() throws Exception {
    List<byte[]> came = new ArrayList<>();
    rig.start("", "", rig.dns(a -> {
      came.add(a.octets());
      a.reply(a.answer(0));
    }));
    byte[] octets = update(4711, "h").toWire(65_535);
    assertEquals(4711, udp().send(octets).answer().getHeader().getID());
    byte[] seen = came.get(0);
    seen[0] = octets[0];
    seen[1] = octets[1];
    org.junit.jupiter.api.Assertions.assertArrayEquals(octets, seen);
  }

  @Test
  void anUpdateThatIsNotAnsweredFailsAndIsNotSentAgain() throws Exception {
    Queue updates = new Queue();
    rig.start("", Rig.servers(rig.dns(updates::note), rig.dns(updates::note)));
    Rig.Tcp client = tcp();
    client.send(update(1, "h"));
    Rig.await("it has come", () -> updates.names.size() == 1);
    // The client gives up; nobody is asked again.
    client.close();
    rig.awaitIdle();
    updates.assertNoneTwice(1);
  }

  @Test
  void aNotifyIsPassedOn() throws Exception {
    rig.start("", "", rig.dns(a -> a.reply(a.answer(0))));
    Message m = udp().ask(notify(9));
    assertEquals(Opcode.NOTIFY, m.getHeader().getOpcode());
    assertEquals(Rcode.NOERROR, m.getRcode());
  }

  // ---- Rule 3 --------------------------------------------------------------------------------------------

  /**
   * A server drains with 50 queries on its stream of which 20 have no answer yet. Each of the 50 clients gets exactly one answer,
   * and the server counts nothing new later than two seconds after the notice; the stream ends when it is empty.
   */
  @Test
  void aServerThatDrainsInMidStreamGetsNothingNew() throws Exception {
    List<Asked> held = java.util.Collections.synchronizedList(new ArrayList<>());
    AtomicInteger streamed = new AtomicInteger();
    StandInDns draining = rig.dns(a -> {
      if (!a.isTcp()) {
        a.reply(a.truncated());
      } else if (streamed.incrementAndGet() <= 30) {
        a.reply(a.address(0, "10.0.0.1"));
      } else {
        held.add(a);
      }
    });
    StandInDns other = rig.dns(StandInDns.addresses("10.0.0.2"));
    rig.start("upstream.attempt_ms = 15000\nupstream.connections = 1", "", draining);
    List<Rig.Udp> clients = new ArrayList<>();
    for (int i = 0; i < 50; i++) {
      clients.add(udp().send(Rig.question(i, "d" + i + ".example.")));
    }
    Rig.await("20 wait at the server", () -> held.size() == 20);
    assertEquals(1, draining.connections());
    List<ServerList.Server> now = listed(draining, other);
    ServerList.Server d = now.get(0);
    list(List.of(new ServerList.Server(d.id(), d.address(), d.zone(), d.cell(), cloverpulley.Balancer.State.DRAINING, d.size(),
        d.upSinceMillis()), now.get(1)));
    long notice = System.nanoTime();
    for (int i = 50; i < 80; i++) {
      assertEquals("10.0.0.2", Rig.text(udp().ask(Rig.question(i, "d" + i + ".example."))));
    }
    assertEquals(1, draining.connections(), "what it was asked before it may still answer");
    held.forEach(a -> a.reply(a.address(0, "10.0.0.1")));
    Map<String, Integer> answers = new HashMap<>();
    for (Rig.Udp client : clients) {
      answers.merge(Rig.text(client.answer()), 1, Integer::sum);
    }
    assertEquals(Map.of("10.0.0.1", 50), answers);
    Rig.await("the stream ends", () -> draining.connections() == 0);
    assertEquals(0, draining.seen().stream().filter(s -> s.atNanos() - notice > GRACE_NANOS).count());
    for (Rig.Udp client : clients) {
      client.assertNothingElse(rig.server.address());
    }
  }

  /** What a server that drains has not been sent yet goes elsewhere; a stream that it does not read is ended. */
  @Test
  void whatHasNotBeenWrittenToADrainingServerGoesElsewhere() throws Exception {
    StandInDns draining = rig.dns(a -> {
      if (a.isTcp()) {
        a.stopReading();
      }
    });
    StandInDns other = rig.dns(a -> a.reply(a.answer(0)));
    rig.start("upstream.connections = 1\nupstream.pipelined = 10000\nupstream.drain_ms = 1500\nlimits.tcp_per_client = 1000", "", draining);
    // Updates of 60 kB each: past what the sockets' buffers hold, they wait on this side.
    List<Rig.Tcp> clients = new ArrayList<>();
    int count = 200;
    for (int i = 0; i < count; i++) {
      Message m = update(i, "big" + i);
      for (int k = 0; k < 230; k++) {
        m.addRecord(StandInDns.record("big" + i + ".example. " + k + " TXT " + "x".repeat(230) + k), Section.UPDATE);
      }
      clients.add(tcp().send(m));
    }
    Rig.await("all are in hand", () -> rig.server.pendingRequests() == count);
    List<ServerList.Server> now = listed(draining, other);
    ServerList.Server d = now.get(0);
    list(List.of(new ServerList.Server(d.id(), d.address(), d.zone(), d.cell(), cloverpulley.Balancer.State.DRAINING, d.size(),
        d.upSinceMillis()), now.get(1)));
    int moved = 0;
    for (Rig.Tcp client : clients) {
      moved += client.answer().getRcode() == Rcode.NOERROR ? 1 : 0;
    }
    assertTrue(moved > 0, "what was not written went elsewhere");
    assertEquals(moved, other.seen().size(), "and what may have run was not sent again");
    assertTrue(moved < count, "some of it had been written: " + moved);
    rig.awaitIdle();
  }

  // ---- Rule 4 --------------------------------------------------------------------------------------------

  /** A server that has just started, among warm ones: it gets what a cold one may have and not its share. */
  @Test
  void aColdServerIsNotPushedOver() throws Exception {
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
    List<ServerList.Server> members = new ArrayList<>(listed(servers));
    ServerList.Server cold = members.get(3);
    members.set(3, new ServerList.Server(cold.id(), cold.address(), cold.zone(), cold.cell(), cold.state(), cold.size(),
        System.currentTimeMillis()));
    list(members);
    int before = n;
    for (; n < before + 300; n++) {
      client.ask(Rig.question(n, "w" + n + ".example."));
    }
    int got = servers[3].seen().size();
    assertTrue(got < 300 / 4, "of 300, an equal share would be 75: " + got);
  }

  /** All are silent, then one comes back: what waits does not fall on it at once. */
  @Test
  void theFirstServerThatComesBackIsNotFlooded() throws Exception {
    AtomicInteger silent = new AtomicInteger(1);
    java.util.function.Consumer<Asked> script = a -> {
      if (silent.get() == 0) {
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
    silent.set(0);
    // Served again within the time that an ejected server may be left alone.
    CompletableFuture<Integer> back = CompletableFuture.supplyAsync(() -> {
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
    assertTrue(back.get(Rig.LIMIT_S, TimeUnit.SECONDS) >= 0);
  }
}
