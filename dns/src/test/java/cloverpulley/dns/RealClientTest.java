package cloverpulley.dns;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cloverpulley.standins.StandInDns;
import java.time.Duration;
import java.util.Hashtable;
import java.util.concurrent.TimeUnit;
import javax.naming.NameNotFoundException;
import javax.naming.directory.Attributes;
import javax.naming.directory.InitialDirContext;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.xbill.DNS.Message;
import org.xbill.DNS.Name;
import org.xbill.DNS.Rcode;
import org.xbill.DNS.Section;
import org.xbill.DNS.SimpleResolver;
import org.xbill.DNS.TSIG;
import org.xbill.DNS.Type;
import org.xbill.DNS.Update;

/** Interoperability with other clients: dnsjava's resolver and the JDK's JNDI DNS provider. */
@Timeout(value = 2 * Rig.TIMEOUT_S, unit = TimeUnit.SECONDS)
class RealClientTest {

  private final Rig rig = new Rig();

  @AfterEach
  void close() throws Exception {
    rig.close();
  }

  private SimpleResolver resolver(boolean tcp) throws Exception {
    SimpleResolver r = new SimpleResolver(rig.server.address());
    r.setTCP(tcp);
    r.setTimeout(Duration.ofSeconds(Rig.TIMEOUT_S));
    return r;
  }

  @Test
  void dnsjavaOverUdpAndTcp() throws Exception {
    rig.start("", "", rig.dns(StandInDns.addresses("10.0.0.1")));
    for (boolean tcp : new boolean[] {false, true}) {
      SimpleResolver r = resolver(tcp);
      r.setEDNS(0, 1232, 0x8000);
      Message m = r.send(Rig.question(1, "www" + tcp + ".example."));
      assertEquals("10.0.0.1", Rig.text(m));
      assertTrue((m.getOPT().getFlags() & 0x8000) != 0);
    }
  }

  /** dnsjava retries over TCP by itself when TC is set. */
  @Test
  void dnsjavaRetriesTruncatedAnswerOverTcp() throws Exception {
    String[] records = new String[100];
    for (int i = 0; i < records.length; i++) {
      records[i] = "big.example. 60 A 10.0.1." + i;
    }
    rig.start("", "", rig.dns(a -> a.reply(a.answer(0, records))));
    assertEquals(100, resolver(false).send(Rig.question(1, "big.example.")).getSection(Section.ANSWER).size());
  }

  @Test
  void jdkNamingProvider() throws Exception {
    rig.start("", "", rig.dns(a -> {
      if (a.name().startsWith("no.")) {
        a.reply(a.answer(Rcode.NXDOMAIN));
      } else if (a.message().getQuestion().getType() == Type.TXT) {
        a.reply(a.answer(0, a.name() + " 60 TXT \"hello\""));
      } else {
        a.reply(a.address(60, "10.0.0.1"));
      }
    }));
    Hashtable<String, String> environment = new Hashtable<>();
    environment.put("java.naming.factory.initial", "com.sun.jndi.dns.DnsContextFactory");
    environment.put("java.naming.provider.url", "dns://127.0.0.1:" + rig.server.address().getPort());
    InitialDirContext context = new InitialDirContext(environment);
    Attributes found = context.getAttributes("www.example", new String[] {"A"});
    assertEquals("10.0.0.1", found.get("A").get());
    assertEquals("hello", context.getAttributes("www.example", new String[] {"TXT"}).get("TXT").get());
    assertThrows(NameNotFoundException.class, () -> context.getAttributes("no.example", new String[] {"A"}));
    context.close();
  }

  private static final String TSIG_TABLES = """
      [[dns.tenant]]
      name = "steppe-auto"
      share = 0.5
      [[dns.tsig]]
      name = "partner.key"
      secret = "c2VjcmV0c2VjcmV0c2VjcmV0"
      tenant = "steppe-auto"
      """;

  /** A signed query is always forwarded with its signature, and the server's signed answer is returned unmodified. */
  @Test
  void signedQueryBypassesTheCache() throws Exception {
    TSIG key = new TSIG(TSIG.HMAC_SHA256, Name.fromString("other.key."), "secretsecretsecret".getBytes());
    StandInDns server = rig.dns(a -> {
      Message m = a.message().getTSIG() == null ? a.address(60, "10.0.0.1") : a.answer(0, a.name() + " 60 A 10.0.0.2");
      if (a.message().getTSIG() != null) {
        key.apply(m, a.message().getTSIG());
      }
      a.reply(m);
    });
    rig.start("", "", server);
    try (Rig.Udp client = new Rig.Udp(rig.server.address())) {
      assertEquals("10.0.0.1", Rig.text(client.ask(Rig.question(1, "www.example."))));
      for (int i = 2; i < 5; i++) {
        Message signed = Rig.question(i, "www.example.");
        key.apply(signed, null);
        Message m = client.send(signed.toWire(65_535)).answer();
        assertEquals("10.0.0.2", Rig.text(m));
        assertEquals(i, m.getHeader().getID());
        assertTrue(m.getTSIG() != null, "signed by the server");
      }
      assertEquals("10.0.0.1", Rig.text(client.ask(Rig.question(6, "www.example."))), "unsigned queries still use the cache");
    }
    assertEquals(4, server.seen().size());
  }

  /** A signed update is forwarded with its signature intact, so that the server can verify it with the same key. */
  @Test
  void signedUpdateIsForwardedAndForgedOneRejected() throws Exception {
    TSIG key = new TSIG(TSIG.HMAC_SHA256, Name.fromString("partner.key."), "secretsecretsecret".getBytes());
    int[] verified = {-1};
    rig.start("", TSIG_TABLES, rig.dns(a -> {
      // Each hop has its own message id; the signature covers the original id, which the TSIG record contains (RFC 8945, 5.3).
      byte[] octets = a.octets();
      int original = a.message().getTSIG().getOriginalID();
      octets[0] = (byte) (original >> 8);
      octets[1] = (byte) original;
      try {
        verified[0] = key.verify(new Message(octets), octets, null);
      } catch (java.io.IOException e) {
        throw new IllegalStateException(e);
      }
      a.reply(a.answer(0));
    }));
    Update u = new Update(Name.fromString("example."));
    u.add(StandInDns.record("h.example. 60 A 10.9.9.9"));
    try (Rig.Udp client = new Rig.Udp(rig.server.address())) {
      key.apply(u, null);
      assertEquals(Rcode.NOERROR, client.send(u.toWire(65_535)).answer().getRcode());
      assertEquals(Rcode.NOERROR, verified[0]);
      Update forged = new Update(Name.fromString("example."));
      forged.add(StandInDns.record("evil.example. 60 A 10.6.6.6"));
      new TSIG(TSIG.HMAC_SHA256, Name.fromString("partner.key."), "anothersecretthanours".getBytes()).apply(forged, null);
      assertEquals(Rcode.NOTAUTH, client.send(forged.toWire(65_535)).answer().getRcode());
    }
    assertNotEquals(-1, verified[0]);
  }
}
