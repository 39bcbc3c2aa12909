package cloverpulley.dns;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cloverpulley.standins.StandInDns;
import cloverpulley.standins.StandInDns.Asked;
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

/** The way to the servers: legs, forgers, servers that can't do what others can. */
@Timeout(value = 2 * Rig.LIMIT_S, unit = TimeUnit.SECONDS)
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

  private long count(java.util.function.ToLongFunction<cloverpulley.dns.client.ClientCounts> which) {
    return rig.server.onLoop(() -> which.applyAsLong(rig.server.clientCounts()));
  }

  // ---- Truncation ----------------------------------------------------------------------------------------

  @Test
  void aTruncatedAnswerIsAskedForOverTcpOnOneConnection() throws Exception {
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
  void tcpRefusedAfterATruncatedAnswerGoesToAnotherServer() throws Exception {
    StandInDns lame = rig.dns(a -> a.reply(a.truncated()));
    lame.refuseTcp();
    rig.start("", "", lame, rig.dns(StandInDns.addresses("10.0.0.8")));
    for (int i = 0; i < 12; i++) {
      assertEquals("10.0.0.8", Rig.text(udp().ask(Rig.question(i, "r" + i + ".example."))));
    }
    assertTrue(count(c -> c.truncated) > 0, "the lame one was asked too");
  }

  @Test
  void tcpThatIsSlowEndsWithTheAttempt() throws Exception {
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
  void truncatedOverTcpAsWellIsNoAnswer() throws Exception {
    rig.start("", "", rig.dns(a -> a.reply(a.truncated())));
    Message m = udp().ask(ednsQuestion(1, "www.example."));
    assertEquals(Rcode.SERVFAIL, m.getRcode());
    assertTrue(Rig.error(m) >= 0, "the reason is told");
  }

  // ---- Forgers -------------------------------------------------------------------------------------------

  private static byte[] forged(Asked a, int id) {
    byte[] octets = a.address(60, "10.6.6.6").toWire(65_535);
    octets[0] = (byte) (id >> 8);
    octets[1] = (byte) id;
    return octets;
  }

  /** From the right address and port, with every id but the right one: none is taken, whatever the count. */
  @Test
  void tenThousandForgedAnswersAreNotTaken() throws Exception {
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
    assertEquals("10.0.0.1", Rig.text(udp().ask(Rig.question(2, "www.example."))), "and none is in the cache");
  }

  @Test
  void answersToAnotherQuestionOrFromAnotherSenderAreNotTaken() throws Exception {
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

  /** With the right id and the letters changed: a guess, or a server that loses them. A connection tells which. */
  @Test
  void anAnswerInOtherLettersIsCheckedOverTcp() throws Exception {
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
  void aServerThatLosesTheCaseIsFoundOutAndAskedInPlainLetters() throws Exception {
    Set<String> asked = new HashSet<>();
    StandInDns server = rig.dns(a -> {
      asked.add(a.message().getQuestion().getName().toString());
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
      assertTrue(asked.contains("nextoflongnames" + i + ".example."));
    }
    assertEquals(1, count(c -> c.tcp), "one look over TCP was enough");
  }

  @Test
  void idsPortsAndLettersAreDrawn() throws Exception {
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
    assertTrue(names.size() > 45, "letters: " + names.size());
  }

  @Test
  void recordsOfNamesNobodyAskedForVoidTheAnswer() throws Exception {
    StandInDns server = rig.dns(a -> a.reply(a.answer(0, a.name() + " 60 A 10.0.0.1", "www.bank. 60 A 10.6.6.6")));
    rig.start("", "", server, rig.dns(StandInDns.addresses("10.0.0.8")));
    for (int i = 0; i < 6; i++) {
      assertEquals("10.0.0.8", Rig.text(udp().ask(Rig.question(i, "b" + i + ".example."))));
    }
    assertTrue(rig.server.onLoop(() -> rig.server.counts().poisoned) > 0);
  }

  // ---- Ids of clients ------------------------------------------------------------------------------------

  @Test
  void theSameIdTwiceInFlightAndAtOnceAgain() throws Exception {
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
    client.assertNothingElse(rig.server.address());
  }

  @Test
  void anAnswerThatComesTwiceIsDeliveredOnce() throws Exception {
    rig.start("", "", rig.dns(a -> {
      a.reply(a.address(60, "10.0.0.1"));
      a.reply(a.address(60, "10.0.0.2"));
    }));
    Rig.Udp client = udp();
    assertEquals("10.0.0.1", Rig.text(client.ask(Rig.question(1, "www.example."))));
    client.assertNothingElse(rig.server.address());
    assertEquals("10.0.0.1", Rig.text(client.ask(Rig.question(2, "www.example."))));
  }

  @Test
  void aLateAnswerIsCountedAndNotDelivered() throws Exception {
    AtomicReference<Asked> first = new AtomicReference<>();
    StandInDns slow = rig.dns(a -> {
      if (!first.compareAndSet(null, a)) {
        a.reply(a.address(0, "10.0.0.2"));
      }
    });
    rig.start("upstream.attempt_ms = 150", "", slow);
    Rig.Udp client = udp();
    assertEquals("10.0.0.2", Rig.text(client.ask(Rig.question(1, "www.example."))), "asked again after its time");
    first.get().reply(first.get().address(60, "10.6.6.6"));
    Rig.await("it is counted", () -> count(c -> c.late) == 1);
    client.assertNothingElse(rig.server.address());
  }

  // ---- Servers that are not like others ------------------------------------------------------------------

  @Test
  void aServerWithoutEdnsIsAskedWithoutIt() throws Exception {
    StandInDns old = rig.dns(a -> {
      if (a.message().getOPT() != null) {
        Message m = new Message(a.id());
        m.getHeader().setFlag(Flags.QR);
        m.getHeader().setRcode(Rcode.FORMERR);
        a.reply(m);
      } else {
        a.reply(a.address(60, "10.0.0.1"));
      }
    });
    rig.start("", "", old);
    for (int i = 0; i < 5; i++) {
      Message m = udp().ask(ednsQuestion(i, "o" + i + ".example."));
      assertEquals("10.0.0.1", Rig.text(m));
      assertTrue(m.getOPT() != null, "the client's EDNS is ours to answer");
    }
    assertEquals(1, old.seen().stream().filter(Seen::edns).count(), "found out once");
  }

  @Test
  void dnssecRecordsPassUntouchedAndOnlyWhereAskedFor() throws Exception {
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
  void aConnectionThatTellsNonsenseIsDropped() throws Exception {
    List<String> nonsense = List.of("id", "question", "octets", "cut");
    for (String kind : nonsense) {
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
  void refusedIsFullWhereTheOperatorsSaySo() throws Exception {
    StandInDns full = rig.dns(a -> a.reply(a.answer(Rcode.REFUSED)));
    rig.start("upstream.refused_is_full = true", "", full, rig.dns(StandInDns.addresses("10.0.0.8")));
    for (int i = 0; i < 6; i++) {
      assertEquals("10.0.0.8", Rig.text(udp().ask(Rig.question(i, "f" + i + ".example."))));
    }
  }

  @Test
  void portsAreLetGoAfterTheirUses() throws Exception {
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
  void aSilentServerCostsNoMoreThanItsTimeAndSomebodyElseAnswers() throws Exception {
    rig.start("upstream.attempt_ms = 150", "", rig.dns(a -> { }), rig.dns(StandInDns.addresses("10.0.0.8")));
    for (int i = 0; i < 10; i++) {
      assertEquals("10.0.0.8", Rig.text(udp().ask(Rig.question(i, "q" + i + ".example."))));
    }
  }

  @Test
  void allServersSilentIsAServfailInTime() throws Exception {
    rig.start("upstream.attempt_ms = 200", "", rig.dns(a -> { }), rig.dns(a -> { }));
    Message m = udp().ask(Rig.edns(Rig.question(1, "www.example.", Type.MX), 1232, 0));
    assertEquals(Rcode.SERVFAIL, m.getRcode());
    assertEquals(NO_REACHABLE_AUTHORITY, Rig.error(m));
    rig.awaitIdle();
  }

  @Test
  void nobodyListeningIsFoundOutAtOnce() throws Exception {
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
  void namesAreKeptInLowerCaseAndAnsweredAsAsked() throws Exception {
    StandInDns server = rig.dns(StandInDns.addresses("10.0.0.1"));
    rig.start("", "", server);
    udp().ask(Rig.question(1, "www.example."));
    Message m = udp().ask(Rig.question(2, "WWW.EXAMPLE."));
    assertEquals("WWW.EXAMPLE.", m.getQuestion().getName().toString());
    assertEquals(1, server.seen().size());
    assertEquals("www.example.", m.getQuestion().getName().toString().toLowerCase(Locale.ROOT));
  }
}
