package cloverpulley.dns;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cloverpulley.config.ConfigFile;
import cloverpulley.quota.service.QuotaConfig;
import cloverpulley.records.Recorder;
import cloverpulley.standins.StandInDns;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.xbill.DNS.Message;
import org.xbill.DNS.Opcode;
import org.xbill.DNS.Rcode;
import org.xbill.DNS.Record;
import org.xbill.DNS.Section;

/** Quotas of DNS clients by prefix, over sockets: for cached and forwarded queries, but not for retransmitted updates. */
@Timeout(value = 2 * Rig.TIMEOUT_S, unit = TimeUnit.SECONDS)
class QuotaTest {

  private static final String QUOTA = """
      [quota]
      others = "strangers"
      [[quota.lane]]
      dimension = "requests"
      window_ms = 600000
      total = 100.0
      [[quota.node]]
      path = "p1"
      guarantee = [20]
      ceiling = [20]
      [[quota.node]]
      path = "strangers"
      guarantee = [3]
      ceiling = [3]
      """;

  private final Rig rig = new Rig();

  @AfterEach
  void close() throws Exception {
    rig.close();
  }

  private void start(StandInDns server) throws Exception {
    Rig.ParsedConfig parsed = Rig.parse("", "[[dns.tenant]]\nname = \"p1\"\n[[dns.client]]\nprefix = \"127.0.0.2/32\"\ntenant = \"p1\"\n"
        + Rig.servers(server));
    QuotaConfig quota = ConfigFile.parse("q", QUOTA, s -> QuotaConfig.read(s.table("quota")));
    rig.server = rig.keep(DnsServer.start(parsed.dns(), null, 7, Recorder.NONE, quota));
  }

  @Test
  void eachTenantIsLimitedToItsQuota() throws Exception {
    start(rig.dns(StandInDns.addresses("10.0.0.1")));
    try (Rig.Udp p1 = new Rig.Udp(rig.server.address(), "127.0.0.2"); Rig.Udp other = new Rig.Udp(rig.server.address(), "127.0.0.3")) {
      for (int i = 0; i < 20; i++) {
        assertEquals(Rcode.NOERROR, p1.ask(Rig.question(i, i % 2 == 0 ? "cached.example." : "n" + i + ".example.")).getRcode());
      }
      Message rejected = p1.ask(Rig.edns(Rig.question(99, "cached.example."), 1232, 0));
      assertEquals(Rcode.REFUSED, rejected.getRcode());
      assertTrue(rejected.getOPT().toString().contains("quota"), rejected.getOPT().toString());
      for (int i = 0; i < 3; i++) {
        assertEquals(Rcode.NOERROR, other.ask(Rig.question(i, "cached.example.")).getRcode());
      }
      assertEquals(Rcode.REFUSED, other.ask(Rig.question(4, "cached.example.")).getRcode());
    }
  }

  /** A retransmission of a forwarded update gets the original's answer even if the quota is used up. */
  @Test
  void retransmittedUpdateIsNotRejected() throws Exception {
    List<StandInDns.ReceivedQuery> pending = java.util.Collections.synchronizedList(new ArrayList<>());
    start(rig.dns(a -> {
      if (a.message().getHeader().getOpcode() == Opcode.UPDATE) {
        pending.add(a);
      } else {
        a.reply(a.address(0, "10.0.0.1"));
      }
    }));
    try (Rig.Udp other = new Rig.Udp(rig.server.address(), "127.0.0.3")) {
      org.xbill.DNS.Update u = new org.xbill.DNS.Update(org.xbill.DNS.Name.fromString("z.example."));
      u.add(Record.fromString(org.xbill.DNS.Name.fromString("a.z.example."), org.xbill.DNS.Type.A, org.xbill.DNS.DClass.IN, 60, "10.9.9.9",
          org.xbill.DNS.Name.root));
      other.send(u);
      Rig.await("update forwarded", () -> pending.size() == 1);
      assertEquals(Rcode.NOERROR, other.ask(Rig.question(1, "x.example.")).getRcode());
      assertEquals(Rcode.NOERROR, other.ask(Rig.question(2, "y.example.")).getRcode());
      assertEquals(Rcode.REFUSED, other.ask(Rig.question(3, "w.example.")).getRcode());
      other.send(u); // Retransmission: neither rejected nor forwarded again.
      pending.get(0).reply(pending.get(0).answer(0));
      Message m = other.answer();
      assertEquals(Opcode.UPDATE, m.getHeader().getOpcode());
      assertEquals(Rcode.NOERROR, m.getRcode());
      assertEquals(1, pending.size());
      assertEquals(0, m.getSection(Section.ANSWER).size());
    }
  }
}
