package cloverpulley.dns;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cloverpulley.standins.StandInDns;
import java.io.ByteArrayOutputStream;
import java.util.Arrays;
import java.util.HashSet;
import java.util.HexFormat;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.xbill.DNS.CookieOption;
import org.xbill.DNS.EDNSOption;
import org.xbill.DNS.Flags;
import org.xbill.DNS.GenericEDNSOption;
import org.xbill.DNS.Message;
import org.xbill.DNS.Rcode;
import org.xbill.DNS.Section;
import org.xbill.DNS.TcpKeepaliveOption;
import org.xbill.DNS.Type;

/** The frontend as clients see it: responses, limits and connection handling over UDP and TCP. */
@Timeout(value = 2 * Rig.TIMEOUT_S, unit = TimeUnit.SECONDS)
class FrontTest {

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

  private void start(String dns, String rest) throws Exception {
    rig.start(dns, rest, rig.dns(StandInDns.addresses("10.0.0.1")));
  }

  @Test
  void answersOverUdpAndTcp() throws Exception {
    start("", "");
    Message udpAnswer = udp().ask(Rig.question(4711, "Www.Example."));
    assertEquals(4711, udpAnswer.getHeader().getID());
    assertEquals("10.0.0.1", Rig.text(udpAnswer));
    assertEquals("Www.Example.", udpAnswer.getQuestion().getName().toString(), "letter case preserved");
    assertTrue(udpAnswer.getHeader().getFlag(Flags.RA) && udpAnswer.getHeader().getFlag(Flags.RD) && !udpAnswer.getHeader().getFlag(Flags.AA));
    assertNull(udpAnswer.getOPT(), "no OPT for a client without EDNS");
    Message tcpAnswer = tcp().ask(Rig.edns(Rig.question(4712, "www.example."), 4096, 0));
    assertEquals("10.0.0.1", Rig.text(tcpAnswer));
    assertEquals(1232, tcpAnswer.getOPT().getPayloadSize());
  }

  @Test
  void malformedMessagesGetFormerrAndResponsesAreIgnored() throws Exception {
    start("limits.udp_per_prefix_per_s = 0", "");
    Rig.Udp client = udp();
    byte[] good = Rig.question(1, "www.example.").toWire(512);
    byte[] trailing = Arrays.copyOf(good, good.length + 3);
    assertEquals(Rcode.FORMERR, client.send(trailing).answer().getRcode());
    byte[] two = good.clone();
    two[5] = 2;
    assertEquals(Rcode.FORMERR, client.send(two).answer().getRcode());
    byte[] response = good.clone();
    response[2] |= (byte) 0x80;
    client.send(response).send(new byte[] {1, 2, 3}).send(new byte[0]);
    client.assertNoMoreAnswers(rig.server.address());
    for (int opcode : new int[] {1, 2, 3, 6, 7, 15}) {
      byte[] other = good.clone();
      other[2] = (byte) (opcode << 3);
      Message m = client.send(other).answer();
      assertEquals(Rcode.NOTIMP, m.getRcode());
      assertEquals(opcode, m.getHeader().getOpcode());
    }
    assertEquals(Rcode.REFUSED, client.ask(Rig.question(1, "www.example.", Type.AXFR)).getRcode());
    assertEquals(Rcode.NOTIMP, client.ask(Rig.question(1, "www.example.", Type.MAILB)).getRcode());
    Message chaosClass = Rig.question(1, "version.bind.", Type.TXT);
    byte[] octets = chaosClass.toWire(512);
    octets[octets.length - 1] = 3;
    assertEquals(Rcode.REFUSED, client.send(octets).answer().getRcode());
    Message filled = Rig.question(1, "www.example.");
    filled.addRecord(StandInDns.record("a. 1 A 10.0.0.1"), Section.ANSWER);
    assertEquals(Rcode.FORMERR, client.ask(filled).getRcode());
    rig.awaitIdle();
  }

  @Test
  void ednsVersionAndOptions() throws Exception {
    start("", "");
    Rig.Udp client = udp();
    byte[] next = Rig.edns(Rig.question(1, "www.example."), 1232, 0).toWire(512);
    next[next.length - 5] = 1; // Version 1.
    Message badVersion = client.send(next).answer();
    assertEquals(Rcode.BADVERS, badVersion.getRcode());
    assertEquals(0, badVersion.getOPT().getVersion());
    // Unknown options and keepalive over UDP are ignored (RFC 7828, 3.2.1).
    Message withUnknownOption = client.ask(Rig.edns(Rig.question(2, "www.example."), 1232, 0,
        new GenericEDNSOption(65_001, new byte[] {1, 2, 3}), new TcpKeepaliveOption()));
    assertEquals("10.0.0.1", Rig.text(withUnknownOption));
    assertEquals(List.of(), withUnknownOption.getOPT().getOptions());
  }

  @Test
  void largeAnswerIsTruncatedOverUdpAndCompleteOverTcp() throws Exception {
    String[] records = new String[60];
    for (int i = 0; i < records.length; i++) {
      records[i] = "big.example. 60 A 10.0.1." + i;
    }
    StandInDns server = rig.dns(a -> a.reply(a.answer(0, records)));
    rig.start("", "", server);
    Message truncated = udp().ask(Rig.question(1, "big.example."));
    assertTrue(truncated.getHeader().getFlag(Flags.TC));
    assertEquals(0, truncated.getSection(Section.ANSWER).size());
    assertEquals(Rcode.NOERROR, truncated.getRcode());
    Message fits = udp().ask(Rig.edns(Rig.question(2, "big.example."), 1232, 0));
    assertFalse(fits.getHeader().getFlag(Flags.TC));
    assertEquals(60, fits.getSection(Section.ANSWER).size());
    assertEquals(60, tcp().ask(Rig.question(3, "big.example.")).getSection(Section.ANSWER).size());
  }

  @Test
  void additionalRecordsAreOmittedWithoutTc() throws Exception {
    StandInDns server = rig.dns(a -> {
      Message m = a.answer(0, "s.example. 60 A 10.0.0.9");
      for (int i = 0; i < 40; i++) {
        try {
          m.addRecord(StandInDns.record("host" + i + ".example. 60 A 10.0.2." + i), Section.ADDITIONAL);
        } catch (java.io.IOException e) {
          throw new IllegalStateException(e);
        }
      }
      a.reply(m);
    });
    rig.start("", "", server);
    Message m = udp().ask(Rig.question(1, "s.example."));
    assertFalse(m.getHeader().getFlag(Flags.TC));
    assertEquals(1, m.getSection(Section.ANSWER).size());
    assertEquals(0, m.getSection(Section.ADDITIONAL).size());
    assertEquals(40, tcp().ask(Rig.question(2, "s.example.")).getSection(Section.ADDITIONAL).size());
  }

  @Test
  void anyGetsAMinimalAnswer() throws Exception {
    start("", "");
    Message m = udp().ask(Rig.question(1, "www.example.", Type.ANY));
    assertEquals(1, m.getSection(Section.ANSWER).size());
    assertEquals(Type.HINFO, m.getSection(Section.ANSWER).get(0).getType());
  }

  @Test
  void validCookieBypassesTheRateLimit() throws Exception {
    start("limits.udp_per_prefix_per_s = 2\nlimits.slip = 1", "");
    Rig.Udp client = udp();
    CookieOption own = new CookieOption(HexFormat.of().parseHex("0102030405060708"));
    Message first = client.ask(Rig.edns(Rig.question(1, "www.example."), 1232, 0, own));
    CookieOption given = (CookieOption) first.getOPT().getOptions().get(0);
    assertArrayEquals(own.getClientCookie(), given.getClientCookie());
    assertEquals(16, given.getServerCookie().orElseThrow().length);
    for (int i = 0; i < 20; i++) { // Ten times the rate.
      Message m = client.ask(Rig.edns(Rig.question(i, "www.example."), 1232, 0, given));
      assertEquals("10.0.0.1", Rig.text(m));
    }
    byte[] forged = given.getServerCookie().orElseThrow().clone();
    forged[15] ^= 1;
    int slipped = 0;
    for (int i = 0; i < 10; i++) {
      Message m = client.ask(Rig.edns(Rig.question(i, "www.example."), 1232, 0,
          new CookieOption(own.getClientCookie(), forged)));
      slipped += m.getHeader().getFlag(Flags.TC) ? 1 : 0;
    }
    assertTrue(slipped >= 7, "truncated answers past the rate: " + slipped);
  }

  @Test
  void cookieOnlyQueryIsAnswered() throws Exception {
    start("", "");
    Message m = new Message(7);
    Rig.edns(m, 1232, 0, new CookieOption(new byte[8]));
    Message answer = udp().ask(m);
    assertEquals(Rcode.NOERROR, answer.getRcode());
    assertEquals(1, answer.getOPT().getOptions().size());
    assertEquals(Rcode.FORMERR, udp().ask(new Message(8)).getRcode());
  }

  @Test
  void prefixOverItsRateIsLimitedOverUdpOnly() throws Exception {
    start("limits.udp_per_prefix_per_s = 3\nlimits.slip = 2", "");
    Rig.Udp client = udp();
    for (int i = 0; i < 40; i++) {
      client.send(Rig.question(i, "www.example."));
    }
    Rig.await("all queries received", () -> rig.server.onLoop(() -> rig.server.counts().queries) == 40);
    rig.awaitIdle();
    long answered = rig.server.onLoop(() -> rig.server.counts().answers);
    long dropped = rig.server.onLoop(() -> rig.server.counts().dropped);
    long slipped = rig.server.onLoop(() -> rig.server.counts().slipped);
    assertTrue(dropped >= 15 && slipped >= 15, "dropped " + dropped + ", slipped " + slipped);
    assertEquals(40, answered + dropped);
    assertEquals("10.0.0.1", Rig.text(tcp().ask(Rig.question(1, "www.example."))));
  }

  // ---- TCP -----------------------------------------------------------------------------------------------

  @Test
  void pipelinedQueriesAreAnsweredOutOfOrder() throws Exception {
    StandInDns server = rig.dns(a -> {
      if (a.name().startsWith("slow")) {
        a.replyAfter(300, a.address(60, "10.0.0.2"));
      } else {
        a.reply(a.address(60, "10.0.0.3"));
      }
    });
    rig.start("", "", server);
    ByteArrayOutputStream segment = new ByteArrayOutputStream();
    segment.write(Rig.Tcp.framed(Rig.question(1, "slow.example.").toWire(512)));
    for (int i = 2; i <= 30; i++) {
      segment.write(Rig.Tcp.framed(Rig.question(i, "n" + i + ".example.").toWire(512)));
    }
    Rig.Tcp client = tcp().write(segment.toByteArray());
    Set<Integer> ids = new HashSet<>();
    for (int i = 0; i < 29; i++) {
      Message m = client.answer();
      assertEquals("10.0.0.3", Rig.text(m));
      assertTrue(ids.add(m.getHeader().getID()));
    }
    assertFalse(ids.contains(1));
    assertEquals("10.0.0.2", Rig.text(client.answer()));
  }

  @Test
  void messageMayArriveByteByByte() throws Exception {
    start("", "");
    Rig.Tcp client = tcp();
    byte[] framed = Rig.Tcp.framed(Rig.question(9, "www.example.").toWire(512));
    for (byte b : framed) {
      client.write(new byte[] {b});
    }
    assertEquals("10.0.0.1", Rig.text(client.answer()));
  }

  @Test
  void keepaliveIsSentOnRequest() throws Exception {
    start("limits.tcp_idle_ms = 7000", "");
    Message m = tcp().ask(Rig.edns(Rig.question(1, "www.example."), 1232, 0, new TcpKeepaliveOption()));
    EDNSOption option = m.getOPT().getOptions().get(0);
    assertEquals(70, ((TcpKeepaliveOption) option).getTimeout().orElseThrow(), "units of 100 ms");
  }

  @Test
  void idleSlowAndInvalidConnectionsAreClosed() throws Exception {
    start("limits.tcp_idle_ms = 200\nlimits.tcp_message_ms = 300", "");
    assertTrue(tcp().ends(), "idle connection");
    Rig.Tcp half = tcp().write(new byte[] {0, 40, 1});
    assertTrue(half.ends(), "incomplete message");
    Rig.Tcp invalid = tcp().write(new byte[] {0, 3, 1, 2, 3});
    assertTrue(invalid.ends(), "invalid length");
    Rig.await("all connections closed", () -> rig.server.connections() == 0);
  }

  @Test
  void connectionsPerClientAreLimited() throws Exception {
    start("limits.tcp_per_client = 3\nlimits.tcp_idle_ms = 60000", "");
    Rig.Tcp first = tcp();
    assertEquals("10.0.0.1", Rig.text(first.ask(Rig.question(1, "www.example."))));
    tcp().ask(Rig.question(1, "www.example."));
    tcp().ask(Rig.question(1, "www.example."));
    assertTrue(tcp().ends(), "fourth connection of one client");
    assertEquals("10.0.0.1", Rig.text(first.ask(Rig.question(2, "www.example."))));
  }

  @Test
  void longestIdleConnectionIsClosedForANewOne() throws Exception {
    start("limits.tcp_connections = 2\nlimits.tcp_idle_ms = 60000", "");
    Rig.Tcp first = tcp();
    first.ask(Rig.question(1, "www.example."));
    Rig.Tcp second = tcp();
    second.ask(Rig.question(1, "www.example."));
    Rig.Tcp third = tcp();
    assertEquals("10.0.0.1", Rig.text(third.ask(Rig.question(1, "www.example."))));
    assertTrue(first.ends());
    assertEquals("10.0.0.1", Rig.text(second.ask(Rig.question(1, "www.example."))));
  }

  /** The server stops reading from a client that doesn't read its answers, and disconnects it in the end; buffered data stays bounded. */
  @Test
  void clientThatDoesNotReadIsDisconnected() throws Exception {
    String[] records = new String[200];
    for (int i = 0; i < records.length; i++) {
      records[i] = "big.example. 600 A 10.0.1." + i;
    }
    rig.start("limits.tcp_stall_ms = 400", "", rig.dns(a -> a.reply(a.answer(0, records))));
    Rig.Tcp good = tcp();
    good.ask(Rig.question(1, "big.example."));
    Rig.Tcp stalled = tcp();
    byte[] one = Rig.Tcp.framed(Rig.question(2, "big.example.").toWire(512));
    byte[] many = new byte[one.length * 1000];
    for (int i = 0; i < 1000; i++) {
      System.arraycopy(one, 0, many, i * one.length, one.length);
    }
    Thread writer = new Thread(() -> {
      try {
        while (true) {
          stalled.write(many);
        }
      } catch (java.io.IOException e) {
        // Expected: disconnected by the server.
      }
    });
    writer.start();
    Rig.await("client disconnected", () -> rig.server.onLoop(() -> rig.server.counts().turnedAway) >= 1);
    assertEquals(200, good.ask(Rig.question(3, "big.example.")).getSection(Section.ANSWER).size());
    writer.join(TimeUnit.SECONDS.toMillis(Rig.TIMEOUT_S));
    assertFalse(writer.isAlive());
  }

  /** Queries beyond the pipelining limit of a connection wait unread, and all are answered. */
  @Test
  void pipeliningIsLimitedWithoutLoss() throws Exception {
    StandInDns server = rig.dns(a -> a.replyAfter(50, a.address(60, "10.0.0.3")));
    rig.start("limits.tcp_pipelined = 5", "", server);
    ByteArrayOutputStream segment = new ByteArrayOutputStream();
    for (int i = 0; i < 40; i++) {
      segment.write(Rig.Tcp.framed(Rig.question(i, "p" + i + ".example.").toWire(512)));
    }
    Rig.Tcp client = tcp().write(segment.toByteArray());
    Set<Integer> ids = new HashSet<>();
    for (int i = 0; i < 40; i++) {
      assertTrue(rig.server.pendingRequests() <= 5);
      ids.add(client.answer().getHeader().getID());
    }
    assertEquals(40, ids.size());
  }

  @Test
  void queriesOfADisconnectedClientAreCancelled() throws Exception {
    rig.start("", "", rig.dns(a -> { }));
    Rig.Tcp client = tcp().send(Rig.question(1, "www.example."));
    Rig.await("query pending", () -> rig.server.pendingRequests() == 1);
    client.close();
    rig.awaitIdle();
    assertNotNull(rig.server.report());
  }

  /**
   * A client that keeps sending queries beyond the pipelining limit is slowed down by TCP flow control. Guards against reading and buffering
   * all of them.
   */
  @Test
  void queriesBeyondThePipeliningLimitStayUnread() throws Exception {
    rig.start("limits.tcp_pipelined = 2\nupstream.attempt_ms = 15000", "", rig.dns(a -> { }));
    byte[] one = Rig.Tcp.framed(Rig.question(1, "held.example.").toWire(512));
    java.nio.ByteBuffer many = java.nio.ByteBuffer.allocate(one.length * 1000);
    while (many.hasRemaining()) {
      many.put(one);
    }
    long maxBytes = 64 << 20; // More than all socket buffers hold.
    try (java.nio.channels.SocketChannel client = java.nio.channels.SocketChannel.open(rig.server.address())) {
      client.configureBlocking(false);
      long sent = 0;
      for (int full = 0; full < 50 && sent < maxBytes;) {
        many.rewind();
        int n = client.write(many);
        sent += n;
        full = n == 0 ? full + 1 : 0;
        rig.server.onLoop(() -> null); // Lets the event loop read.
      }
      assertTrue(sent < maxBytes, "everything was read: " + sent);
      int buffered = rig.server.unreadBytes();
      assertTrue(buffered < 1 << 20, "buffered " + buffered);
    }
  }
}
