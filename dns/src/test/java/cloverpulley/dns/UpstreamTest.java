package cloverpulley.dns;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cloverpulley.standins.StandInDns;
import cloverpulley.standins.StandInDns.ReceivedQuery;
import cloverpulley.standins.StandInDns.Seen;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.xbill.DNS.Flags;
import org.xbill.DNS.Message;
import org.xbill.DNS.Name;
import org.xbill.DNS.Rcode;
import org.xbill.DNS.Record;
import org.xbill.DNS.Section;
import org.xbill.DNS.Type;

/** The DNS client: fallback to TCP and plain DNS, forged answers, and servers with missing capabilities. */
@Timeout(value = 2 * Rig.TIMEOUT_S, unit = TimeUnit.SECONDS)
class UpstreamTest {

  private static final int NO_REACHABLE_AUTHORITY = 22;

  private final Rig rig = new Rig();

  @AfterEach
  void close() throws Exception {
    rig.close();
  }

  private Rig.Udp udp() throws Exception {
    return rig.keep(new Rig.Udp(rig.server.address()));
  }

  private static Message ednsQuestion(int id, String name) {
    return Rig.edns(Rig.question(id, name), 1232, 0);
  }

  private long count(java.util.function.ToLongFunction<cloverpulley.dns.client.ClientCounts> counter) {
    return rig.server.onLoop(() -> counter.applyAsLong(rig.server.clientCounts()));
  }

  // ---- Truncation ----------------------------------------------------------------------------------------

  @Test
  void truncatedAnswersAreRetriedOverOneTcpConnection() throws Exception {
    StandInDns server = rig.dns(a -> {
      if (a.isTcp()) {
        a.reply(a.address(60, "10.0.0.7"));
      } else {
        a.reply(a.truncated());
      }
    });
    rig.start("", "", server);
    for (int i = 0; i < 10; i++) {
      assertEquals("10.0.0.7", Rig.text(udp().ask(Rig.question(i, "t" + i + ".example."))));
    }
    assertEquals(1, server.connections());
    assertEquals(10, count(c -> c.truncated));
    assertEquals(20, server.seen().size());
  }

  @Test
  void refusedTcpAfterTruncationFailsOver() throws Exception {
    StandInDns withoutTcp = rig.dns(a -> a.reply(a.truncated()));
    withoutTcp.refuseTcp();
    rig.start("", "", withoutTcp, rig.dns(StandInDns.addresses("10.0.0.8")));
    for (int i = 0; i < 12; i++) {
      assertEquals("10.0.0.8", Rig.text(udp().ask(Rig.question(i, "r" + i + ".example."))));
    }
    assertTrue(count(c -> c.truncated) > 0, "the server without TCP was queried too");
  }

  @Test
  void slowTcpEndsWithTheAttemptTimeout() throws Exception {
    StandInDns slow = rig.dns(a -> {
      if (!a.isTcp()) {
        a.reply(a.truncated());
      }
    });
    rig.start("upstream.attempt_ms = 200", "", slow, rig.dns(StandInDns.addresses("10.0.0.8")));
    for (int i = 0; i < 6; i++) {
      assertEquals("10.0.0.8", Rig.text(udp().ask(Rig.question(i, "s" + i + ".example."))));
    }
    assertTrue(count(c -> c.truncated) > 0);
  }

  @Test
  void truncationOverTcpIsAnError() throws Exception {
    rig.start("", "", rig.dns(a -> a.reply(a.truncated())));
    Message m = udp().ask(ednsQuestion(1, "www.example."));
    assertEquals(Rcode.SERVFAIL, m.getRcode());
    assertTrue(Rig.error(m) >= 0, "has an extended error");
  }

  // ---- Forged answers ------------------------------------------------------------------------------------

  private static byte[] forged(ReceivedQuery a, int id) {
    byte[] octets = a.address(60, "10.6.6.6").toWire(65_535);
    octets[0] = (byte) (id >> 8);
    octets[1] = (byte) id;
    return octets;
  }

  /** Forged answers from the right address and port, but with wrong ids, are never accepted, however many there are. */
  @Test
  void tenThousandForgedAnswersAreIgnored() throws Exception {
    StandInDns server = rig.dns(a -> {
      if (!a.isTcp()) {
        for (int i = 1; i <= 10_000; i++) {
          a.reply(forged(a, a.id() + i & 0xFFFF));
        }
      }
      a.reply(a.address(60, "10.0.0.1"));
    });
    rig.start("", "", server);
    Message m = udp().ask(Rig.question(1, "www.example."));
    assertEquals("10.0.0.1", Rig.text(m));
    assertEquals("10.0.0.1", Rig.text(udp().ask(Rig.question(2, "www.example."))), "and none is cached");
  }

  @Test
  void mismatchedAnswersAreIgnored() throws Exception {
    StandInDns other = rig.dns(a -> { });
    StandInDns server = rig.dns(a -> {
      if (!a.isTcp()) {
        Message wrong = a.address(60, "10.6.6.6");
        wrong.removeAllRecords(Section.QUESTION);
        try {
          wrong.addRecord(Record.newRecord(Name.fromString("other.example."), Type.A, 1), Section.QUESTION);
        } catch (org.xbill.DNS.TextParseException e) {
          throw new IllegalStateException(e);
        }
        a.reply(wrong);
        Message query = a.address(60, "10.6.6.6");
        query.getHeader().unsetFlag(Flags.QR);
        a.reply(query);
        a.reply(new byte[] {(byte) (a.id() >> 8), (byte) a.id(), 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12});
      }
      a.reply(a.address(60, "10.0.0.1"));
    });
    rig.start("", "", server);
    assertEquals("10.0.0.1", Rig.text(udp().ask(Rig.question(1, "www.example."))));
    assertEquals(3, count(c -> c.wrong));
    assertEquals(0, other.seen().size());
  }

  /** The right id with changed letter case is a forgery or a server that doesn't preserve case; the query is retried over TCP. */
  @Test
  void answerInOtherCaseIsRetriedOverTcp() throws Exception {
    StandInDns server = rig.dns(a -> {
      if (a.isTcp()) {
        a.reply(a.address(60, "10.0.0.1"));
      } else {
        Message m = a.address(60, "10.6.6.6");
        byte[] octets = m.toWire(65_535);
        for (int i = 13; octets[i] != 0; i++) {
          octets[i] = octets[i] >= 'A' ? (byte) (octets[i] ^ 0x20) : octets[i];
        }
        a.reply(octets);
      }
    });
    rig.start("", "", server);
    assertEquals("10.0.0.1", Rig.text(udp().ask(Rig.question(1, "mixedletters.example."))));
    assertEquals(1, count(c -> c.suspicious));
  }

  @Test
  void serverThatDoesNotPreserveCaseIsDetected() throws Exception {
    Set<String> queried = new HashSet<>();
    StandInDns server = rig.dns(a -> {
      queried.add(a.message().getQuestion().getName().toString());
      Message m = a.address(60, "10.0.0.1");
      byte[] octets = m.toWire(65_535);
      for (int i = 13; octets[i] != 0; i++) {
        octets[i] = octets[i] >= 'A' ? (byte) (octets[i] | 0x20) : octets[i];
      }
      a.reply(octets);
    });
    rig.start("", "", server);
    assertEquals("10.0.0.1", Rig.text(udp().ask(Rig.question(1, "firstoflongnames.example."))));
    for (int i = 0; i < 8; i++) {
      assertEquals("10.0.0.1", Rig.text(udp().ask(Rig.question(i, "nextoflongnames" + i + ".example."))));
      assertTrue(queried.contains("nextoflongnames" + i + ".example."));
    }
    assertEquals(1, count(c -> c.tcp), "one retry over TCP is enough");
  }

  @Test
  void idsAndCaseAreRandomized() throws Exception {
    Set<Integer> ids = new HashSet<>();
    Set<String> names = new HashSet<>();
    StandInDns server = rig.dns(a -> {
      ids.add(a.id());
      names.add(a.message().getQuestion().getName().toString());
      a.reply(a.address(0, "10.0.0.1"));
    });
    rig.start("", "", server);
    Rig.Udp client = udp();
    for (int i = 0; i < 50; i++) {
      client.ask(Rig.question(7, "averyordinaryname.example."));
    }
    assertTrue(ids.size() > 45, "ids: " + ids.size());
    assertTrue(names.size() > 45, "spellings: " + names.size());
  }

  @Test
  void outOfBailiwickRecordsInvalidateTheAnswer() throws Exception {
    StandInDns server = rig.dns(a -> a.reply(a.answer(0, a.name() + " 60 A 10.0.0.1", "www.bank. 60 A 10.6.6.6")));
    rig.start("", "", server, rig.dns(StandInDns.addresses("10.0.0.8")));
    for (int i = 0; i < 6; i++) {
      assertEquals("10.0.0.8", Rig.text(udp().ask(Rig.question(i, "b" + i + ".example."))));
    }
    assertTrue(rig.server.onLoop(() -> rig.server.counts().poisoned) > 0);
  }

  // ---- Client message ids --------------------------------------------------------------------------------

  @Test
  void clientMayReuseAnIdInFlight() throws Exception {
    StandInDns server = rig.dns(a -> a.replyAfter(a.name().startsWith("a") ? 120 : 20, a.address(0,
        a.name().startsWith("a") ? "10.0.0.1" : "10.0.0.2")));
    rig.start("", "", server);
    Rig.Udp client = udp().send(Rig.question(5, "a.example.")).send(Rig.question(5, "b.example."));
    Message first = client.answer();
    assertEquals("b.example.", first.getQuestion().getName().toString());
    assertEquals("10.0.0.2", Rig.text(first));
    client.send(Rig.question(5, "b2.example."));
    assertEquals("b2.example.", client.answer().getQuestion().getName().toString());
    Message last = client.answer();
    assertEquals("10.0.0.1", Rig.text(last));
    client.assertNoMoreAnswers(rig.server.address());
  }

  @Test
  void duplicateAnswerIsDeliveredOnce() throws Exception {
    rig.start("", "", rig.dns(a -> {
      a.reply(a.address(60, "10.0.0.1"));
      a.reply(a.address(60, "10.0.0.2"));
    }));
    Rig.Udp client = udp();
    assertEquals("10.0.0.1", Rig.text(client.ask(Rig.question(1, "www.example."))));
    client.assertNoMoreAnswers(rig.server.address());
    assertEquals("10.0.0.1", Rig.text(client.ask(Rig.question(2, "www.example."))));
  }

  @Test
  void lateAnswerIsCountedAndDropped() throws Exception {
    AtomicReference<ReceivedQuery> first = new AtomicReference<>();
    StandInDns slow = rig.dns(a -> {
      if (!first.compareAndSet(null, a)) {
        a.reply(a.address(0, "10.0.0.2"));
      }
    });
    rig.start("upstream.attempt_ms = 150", "", slow);
    Rig.Udp client = udp();
    assertEquals("10.0.0.2", Rig.text(client.ask(Rig.question(1, "www.example."))), "retried after the attempt timeout");
    first.get().reply(first.get().address(60, "10.6.6.6"));
    Rig.await("late answer counted", () -> count(c -> c.late) == 1);
    client.assertNoMoreAnswers(rig.server.address());
  }

  // ---- Servers with missing capabilities -----------------------------------------------------------------

  @Test
  void fallsBackToPlainDnsForServersWithoutEdns() throws Exception {
    StandInDns withoutEdns = rig.dns(a -> {
      if (a.message().getOPT() != null) {
        Message m = new Message(a.id());
        m.getHeader().setFlag(Flags.QR);
        m.getHeader().setRcode(Rcode.FORMERR);
        a.reply(m);
      } else {
        a.reply(a.address(60, "10.0.0.1"));
      }
    });
    rig.start("", "", withoutEdns);
    for (int i = 0; i < 5; i++) {
      Message m = udp().ask(ednsQuestion(i, "o" + i + ".example."));
      assertEquals("10.0.0.1", Rig.text(m));
      assertTrue(m.getOPT() != null, "the frontend answers the client's EDNS itself");
    }
    assertEquals(1, withoutEdns.seen().stream().filter(Seen::edns).count(), "detected once");
  }

  @Test
  void dnssecRecordsAreReturnedUnmodifiedOnRequestOnly() throws Exception {
    String signature = "www.example. 60 RRSIG A 13 2 60 20300101000000 20200101000000 4711 example. "
        + "AAECAwQFBgcICQoLDA0ODxAREhMUFRYXGBkaGxwdHh8gISIjJCUmJygpKissLS4vMDEyMzQ1Njc4OTo7PD0+Pw==";
    StandInDns server = rig.dns(a -> {
      boolean dnssec = a.message().getOPT() != null && (a.message().getOPT().getFlags() & 0x8000) != 0;
      Message m = dnssec ? a.answer(0, "www.example. 60 A 10.0.0.1", signature) : a.answer(0, "www.example. 60 A 10.0.0.1");
      m.getHeader().setFlag(Flags.AD);
      a.reply(m);
    });
    rig.start("", "", server);
    Message with = udp().ask(Rig.edns(Rig.question(1, "www.example."), 1232, 0x8000));
    assertEquals(2, with.getSection(Section.ANSWER).size());
    assertEquals(StandInDns.record(signature), with.getSection(Section.ANSWER).get(1));
    assertTrue(with.getHeader().getFlag(Flags.AD));
    assertTrue((with.getOPT().getFlags() & 0x8000) != 0);
    Message without = udp().ask(Rig.question(2, "www.example."));
    assertEquals(1, without.getSection(Section.ANSWER).size());
    assertFalse(without.getHeader().getFlag(Flags.AD));
  }

  @Test
  void connectionWithInvalidResponsesIsClosed() throws Exception {
    List<String> invalidResponses = List.of("id", "question", "octets", "truncated");
    for (String kind : invalidResponses) {
      StandInDns server = rig.dns(a -> {
        if (!a.isTcp()) {
          a.reply(a.truncated());
        } else if (kind.equals("id")) {
          a.reply(forged(a, a.id() + 1 & 0xFFFF));
        } else if (kind.equals("question")) {
          byte[] octets = a.address(60, "10.6.6.6").toWire(65_535);
          octets[13] = octets[13] == 'q' ? (byte) 'r' : (byte) 'q';
          a.reply(octets);
        } else if (kind.equals("octets")) {
          a.reply(new byte[] {1, 2, 3});
        } else {
          byte[] octets = a.address(60, "10.6.6.6").toWire(65_535);
          a.write(Rig.Tcp.framed(octets).clone().length > 20 ? java.util.Arrays.copyOf(Rig.Tcp.framed(octets), 20) : octets);
          a.hangUp();
        }
      });
      try (Rig own = new Rig()) {
        own.start("", "", server, own.dns(StandInDns.addresses("10.0.0.8")));
        for (int i = 0; i < 6; i++) {
          try (Rig.Udp client = new Rig.Udp(own.server.address())) {
            assertEquals("10.0.0.8", Rig.text(client.ask(Rig.question(i, "x" + i + ".example."))), kind);
          }
        }
      }
    }
  }

  @Test
  void refusedCountsAsFullIfConfigured() throws Exception {
    StandInDns full = rig.dns(a -> a.reply(a.answer(Rcode.REFUSED)));
    rig.start("upstream.refused_is_full = true", "", full, rig.dns(StandInDns.addresses("10.0.0.8")));
    for (int i = 0; i < 6; i++) {
      assertEquals("10.0.0.8", Rig.text(udp().ask(Rig.question(i, "f" + i + ".example."))));
    }
  }

  @Test
  void portsAreReplacedAfterTheirQueries() throws Exception {
    List<Integer> sockets = new ArrayList<>();
    rig.start("upstream.ports = 2\nupstream.port_uses = 3", "", rig.dns(StandInDns.addresses("10.0.0.1")));
    Rig.Udp client = udp();
    for (int i = 0; i < 40; i++) {
      assertEquals("10.0.0.1", Rig.text(client.ask(Rig.question(i, "p" + i + ".example."))));
      sockets.add(rig.server.onLoop(() -> rig.server.client().sockets()));
    }
    assertTrue(sockets.stream().allMatch(n -> n <= 3), sockets.toString());
  }

  @Test
  void unresponsiveServerCostsOneAttemptTimeout() throws Exception {
    rig.start("upstream.attempt_ms = 150", "", rig.dns(a -> { }), rig.dns(StandInDns.addresses("10.0.0.8")));
    for (int i = 0; i < 10; i++) {
      assertEquals("10.0.0.8", Rig.text(udp().ask(Rig.question(i, "q" + i + ".example."))));
    }
  }

  @Test
  void allServersUnresponsiveGivesServfail() throws Exception {
    rig.start("upstream.attempt_ms = 200", "", rig.dns(a -> { }), rig.dns(a -> { }));
    Message m = udp().ask(Rig.edns(Rig.question(1, "www.example.", Type.MX), 1232, 0));
    assertEquals(Rcode.SERVFAIL, m.getRcode());
    assertEquals(NO_REACHABLE_AUTHORITY, Rig.error(m));
    rig.awaitIdle();
  }

  @Test
  void closedPortIsDetectedAtOnce() throws Exception {
    StandInDns dead = new StandInDns(rig.group, a -> { });
    String address = dead.hostPort();
    dead.close();
    rig.start("upstream.attempt_ms = 15000", Rig.servers(rig.dns(StandInDns.addresses("10.0.0.8")))
        + Rig.server("dead", address, "ready"));
    for (int i = 0; i < 10; i++) {
      assertEquals("10.0.0.8", Rig.text(udp().ask(Rig.question(i, "n" + i + ".example."))));
    }
  }

  @Test
  void cacheIgnoresCaseAndAnswersInTheClientsCase() throws Exception {
    StandInDns server = rig.dns(StandInDns.addresses("10.0.0.1"));
    rig.start("", "", server);
    udp().ask(Rig.question(1, "www.example."));
    Message m = udp().ask(Rig.question(2, "WWW.EXAMPLE."));
    assertEquals("WWW.EXAMPLE.", m.getQuestion().getName().toString());
    assertEquals(1, server.seen().size());
    assertEquals("www.example.", m.getQuestion().getName().toString().toLowerCase(Locale.ROOT));
  }
}
