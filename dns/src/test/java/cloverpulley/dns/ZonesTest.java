package cloverpulley.dns;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cloverpulley.Balancer.State;
import cloverpulley.engine.ServerList;
import cloverpulley.engine.ServerList.Server;
import cloverpulley.standins.StandInDiscovery;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.xbill.DNS.Flags;
import org.xbill.DNS.Message;
import org.xbill.DNS.Rcode;
import org.xbill.DNS.SOARecord;
import org.xbill.DNS.SRVRecord;
import org.xbill.DNS.Section;
import org.xbill.DNS.Type;

/** Local zones: from a master file, and generated from the fleet as it changes. */
@Timeout(value = 2 * Rig.TIMEOUT_S, unit = TimeUnit.SECONDS)
class ZonesTest {

  private static final String MASTER = """
      $ORIGIN partner.test.
      $TTL 300
      @ SOA ns hostmaster 42 3600 600 86400 60
      @ NS ns
      ns A 127.0.0.1
      www CNAME web
      web A 10.1.0.1
      web AAAA ::1
      out CNAME www.elsewhere.test.
      *.wild TXT "any"
      sub NS ns.sub
      ns.sub A 10.1.0.9
      """;

  private final Rig rig = new Rig();

  @TempDir
  private Path folder;

  @AfterEach
  void close() throws Exception {
    rig.close();
  }

  private Message ask(String name, int type) throws Exception {
    try (Rig.Udp client = new Rig.Udp(rig.server.address())) {
      return client.ask(Rig.question(1, name, type));
    }
  }

  private void startZone() throws Exception {
    Path file = Files.writeString(folder.resolve("partner.zone"), MASTER);
    rig.start("", "[[dns.zone]]\norigin = \"partner.test\"\nfile = \"" + file + "\"\n");
  }

  @Test
  void answersFromAMasterFile() throws Exception {
    startZone();
    Message m = ask("web.partner.test.", Type.A);
    assertEquals("10.1.0.1", Rig.text(m));
    assertTrue(m.getHeader().getFlag(Flags.AA));
    Message alias = ask("www.partner.test.", Type.A);
    assertEquals(List.of(Type.CNAME, Type.A), alias.getSection(Section.ANSWER).stream().map(r -> r.getType()).toList());
    assertEquals(1, ask("out.partner.test.", Type.A).getSection(Section.ANSWER).size(), "CNAME target outside the zone is left to the client");
    assertEquals("\"any\"", Rig.text(ask("x.wild.partner.test.", Type.TXT)));
    Message none = ask("no.partner.test.", Type.A);
    assertEquals(Rcode.NXDOMAIN, none.getRcode());
    assertEquals(60, none.getSection(Section.AUTHORITY).get(0).getTTL(), "RFC 2308: the lower of TTL and minimum");
    Message noData = ask("web.partner.test.", Type.MX);
    assertEquals(Rcode.NOERROR, noData.getRcode());
    assertEquals(Type.SOA, noData.getSection(Section.AUTHORITY).get(0).getType());
    Message referral = ask("a.sub.partner.test.", Type.A);
    assertFalse(referral.getHeader().getFlag(Flags.AA));
    assertEquals(Type.NS, referral.getSection(Section.AUTHORITY).get(0).getType());
    assertEquals(Rcode.REFUSED, ask("www.elsewhere.test.", Type.A).getRcode(), "no servers to forward to");
  }

  @Test
  void unreadableZoneFileFailsTheStart() throws Exception {
    Path file = Files.writeString(folder.resolve("bad.zone"), "@ SOA nonsense\n");
    IOException e = assertThrows(IOException.class,
        () -> rig.start("", "[[dns.zone]]\norigin = \"bad.test\"\nfile = \"" + file + "\"\n"));
    assertTrue(e.getMessage().contains("bad.zone"), e.getMessage());
  }

  // ---- Fleet zone ----------------------------------------------------------------------------------------

  private static final String FLEET_ZONE = "[dns.fleet_zone]\norigin = \"fleet.test\"\n";

  private static Server server(String id, int port, State state, double size, long started) {
    return new Server(id, new InetSocketAddress("127.0.0.1", port), "almaty-dc1", 3, state, size, started);
  }

  @Test
  void fleetIsPublishedAsAZone() throws Exception {
    rig.start("", FLEET_ZONE + """
        [fleet]
        [[fleet.server]]
        id = "s-1"
        address = "127.0.0.1:8001"
        zone = "almaty-dc1"
        cell = 2
        size = 2.0
        [[fleet.server]]
        id = "s-2"
        address = "[::1]:8002"
        [[fleet.server]]
        id = "s-3"
        address = "127.0.0.3:8003"
        phase = "draining"
        """);
    Message browse = ask("_quote._tcp.fleet.test.", Type.PTR);
    assertEquals(2, browse.getSection(Section.ANSWER).size());
    assertTrue(browse.getSection(Section.ADDITIONAL).size() >= 4, "records queried next are included");
    SRVRecord srv = (SRVRecord) ask("s-1._quote._tcp.fleet.test.", Type.SRV).getSection(Section.ANSWER).get(0);
    assertEquals(8001, srv.getPort());
    assertEquals(200, srv.getWeight());
    assertEquals("s-1.fleet.test.", srv.getTarget().toString());
    assertTrue(Rig.text(ask("s-1._quote._tcp.fleet.test.", Type.TXT)).contains("locality=almaty-dc1"));
    assertEquals("127.0.0.1", Rig.text(ask("s-1.fleet.test.", Type.A)));
    assertEquals(Type.AAAA, ask("s-2.fleet.test.", Type.AAAA).getSection(Section.ANSWER).get(0).getType());
    assertEquals(Rcode.NXDOMAIN, ask("s-3.fleet.test.", Type.A).getRcode());
    assertEquals(2, ask("_quote._tcp.fleet.test.", Type.SRV).getSection(Section.ANSWER).size());
    assertEquals("_quote._tcp.fleet.test.", Rig.text(ask("_services._dns-sd._udp.fleet.test.", Type.PTR)));
  }

  private long serial() throws Exception {
    return ((SOARecord) ask("fleet.test.", Type.SOA).getSection(Section.ANSWER).get(0)).getSerial();
  }

  @Test
  void drainingServersAreRemovedAndTheSerialIncreases() throws Exception {
    StandInDiscovery discovery = rig.keep(new StandInDiscovery(rig.group));
    discovery.set("a", "127.0.0.1:7001", 0, "ready", 0);
    discovery.set("b", "127.0.0.1:7002", 0, "ready", 0);
    rig.start("", FLEET_ZONE + "[fleet]\ndiscovery = \"" + discovery.address() + "\"\n");
    Rig.await("both servers published", () -> count("_quote._tcp.fleet.test.") == 2);
    long before = serial();
    discovery.set("b", "127.0.0.1:7002", 0, "draining", 0);
    Rig.await("draining server removed", () -> count("_quote._tcp.fleet.test.") == 1);
    long after = serial();
    assertTrue(after > before, before + " " + after);
    discovery.set("b", "127.0.0.1:7002", 0, "ready", 0);
    Rig.await("server published again", () -> count("_quote._tcp.fleet.test.") == 2);
    assertTrue(serial() > after);
  }

  private int count(String name) {
    try {
      return ask(name, Type.PTR).getSection(Section.ANSWER).size();
    } catch (Exception e) {
      throw new IllegalStateException(e);
    }
  }

  @Test
  void weightRisesDuringSlowStart() throws Exception {
    DnsConfig.FleetZoneConfig config = new DnsConfig.FleetZoneConfig("fleet.test.", "_quote._tcp", 5, new InetSocketAddress("127.0.0.1", 53),
        TimeUnit.SECONDS.toNanos(10), 0.3);
    FleetZone zone = new FleetZone(config);
    long now = 1_800_000_000_000L;
    Server starting = server("c", 8001, State.READY, 1, now);
    assertEquals(30, zone.weight(starting, now));
    assertEquals(65, zone.weight(starting, now + 5000));
    assertEquals(100, zone.weight(starting, now + 10_000));
    assertEquals(100, zone.weight(server("w", 8002, State.READY, 1, 0), now));
    ServerList list = new ServerList(0, true, List.of(starting));
    assertNotNull(zone.zone(list, now));
    long serial = zone.serial();
    assertNull(zone.zone(list, now), "nothing changed");
    assertNotNull(zone.zone(list, now + 5000));
    assertTrue(zone.serial() > serial);
    assertNotNull(zone.zone(list, now + 20_000));
    assertNull(zone.zone(list, now + 40_000), "no change after slow start");
  }

  @Test
  void serialIncreasesEvenIfTheClockGoesBack() {
    FleetZone zone = new FleetZone(new DnsConfig.FleetZoneConfig("fleet.test.", "_quote._tcp", 5,
        new InetSocketAddress("127.0.0.1", 53), 0, 1));
    long last = 0;
    for (int i = 0; i < 20; i++) {
      assertNotNull(zone.zone(new ServerList(0, true, List.of(server("s" + i, 8000 + i, State.READY, 1, 0))), 1_800_000_000_000L - i * 60_000L));
      assertTrue(zone.serial() > last);
      last = zone.serial();
    }
  }

  /** A large fleet doesn't fit in a datagram and is complete over TCP. */
  @Test
  void largeFleetIsTruncatedOverUdpAndCompleteOverTcp() throws Exception {
    StringBuilder text = new StringBuilder(FLEET_ZONE + "[fleet]\n");
    for (int i = 0; i < 300; i++) {
      text.append("[[fleet.server]]\nid = \"s-").append(i).append("\"\naddress = \"127.0.").append(i / 200).append('.').append(1 + i % 200)
          .append(":8000\"\n");
    }
    rig.start("", text.toString());
    Message truncated = ask("_quote._tcp.fleet.test.", Type.SRV);
    assertTrue(truncated.getHeader().getFlag(Flags.TC));
    try (Rig.Tcp client = new Rig.Tcp(rig.server.address())) {
      assertEquals(300, client.ask(Rig.question(1, "_quote._tcp.fleet.test.", Type.SRV)).getSection(Section.ANSWER).size());
    }
  }

  @Test
  void idsThatAreNoLabelsAreHashed() {
    assertEquals("s-1", FleetZone.label("s-1"));
    for (String id : List.of("a.b", "", "-a", "ä", "x".repeat(64), "a b")) {
      assertTrue(FleetZone.label(id).matches("n-[0-9a-f]+"), id);
    }
    assertEquals(2, new ArrayList<>(List.of(FleetZone.label("a.b"), FleetZone.label("b.a"))).stream().distinct().count());
  }
}
