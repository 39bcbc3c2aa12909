package cloverpulley.dnssd;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cloverpulley.Balancer.State;
import cloverpulley.engine.ServerList;
import cloverpulley.engine.ServerList.Server;
import cloverpulley.standins.StandInZone;
import cloverpulley.standins.StandInZone.Fault;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.xbill.DNS.Type;

/** Discovery over real sockets: late, missing, wrong and contradictory records, and the list that results from them. */
@Timeout(value = 2 * Rig.TIMEOUT_S, unit = TimeUnit.SECONDS)
class ReaderTest {

  private final Rig rig = new Rig();

  @AfterEach
  void close() throws Exception {
    rig.close();
  }

  private static void addServers(StandInZone z, int servers) {
    for (int i = 0; i < servers; i++) {
      z.server("s" + i, "h" + i + ".example.", 8000 + i, "127.0.0.1", "started=b" + i, "locality=a", "cell=" + i / 2, "size=1.5");
    }
  }

  @Test
  void theListIsReadWithTheAttributesOfItsTxtRecords() throws Exception {
    StandInZone z = rig.zone();
    addServers(z, 5);
    rig.start(z);
    Rig.await("five servers", () -> rig.readyCount() == 5);
    Server s = rig.server("s3");
    assertEquals(new InetSocketAddress("127.0.0.1", 8003), s.address());
    assertEquals("a", s.zone());
    assertEquals(1, s.cell());
    assertEquals(1.5, s.size());
    assertEquals(0, s.upSinceMillis(), "started before the reader, so it is warmed up");
  }

  @Test
  void recordsInTheAdditionalSectionAreNotQueried() throws Exception {
    StandInZone z = rig.zone();
    addServers(z, 4);
    z.additional(true);
    rig.start(z);
    Rig.await("four servers", () -> rig.readyCount() == 4);
    assertTrue(z.server().seen().stream().noneMatch(s -> s.type() == Type.SRV || s.type() == Type.TXT), z.server().seen().toString());
  }

  @Test
  void aLargeAnswerIsFetchedOverTcp() throws Exception {
    StandInZone z = rig.zone();
    addServers(z, 1000);
    rig.start(z);
    Rig.await("a thousand servers", () -> rig.readyCount() == 1000);
    assertTrue(z.server().seen().stream().anyMatch(s -> s.type() == Type.PTR && s.tcp()));
  }

  /** If a partial first list were published, the few servers on it would receive all requests. */
  @Test
  void theFirstListIsPublishedOnlyWhenComplete() throws Exception {
    StandInZone z = rig.zone();
    addServers(z, 300);
    rig.start(z);
    Rig.await("a list", () -> !rig.list.isEmpty());
    assertEquals(300, rig.firstListSize);
  }

  @Test
  void nothingIsQueriedAgainWhileTheSerialIsUnchanged() throws Exception {
    StandInZone z = rig.zone();
    z.ttl(1);
    addServers(z, 20);
    rig.start(z);
    Rig.await("twenty servers", () -> rig.readyCount() == 20);
    Rig.awaitQueries(z, Rig.ORIGIN, 3);
    long before = z.server().seen().stream().filter(s -> s.type() != Type.SOA).count();
    Rig.awaitQueries(z, Rig.ORIGIN, 40);
    assertEquals(before, z.server().seen().stream().filter(s -> s.type() != Type.SOA).count(), "two TTLs have expired");
    long skipped = rig.group.next().submit(() -> rig.source.queryCounts()[2]).get();
    assertTrue(skipped > 0);
  }

  @Test
  void aCachingResolverIsQueriedAgainWhenTtlsExpire() throws Exception {
    StandInZone z = rig.zone();
    z.ttl(1);
    z.authoritative(false);
    addServers(z, 3);
    rig.start(z);
    Rig.await("three servers", () -> rig.readyCount() == 3);
    z.server("s1", "h1.example.", 8001, "127.0.0.1", "started=b1", "phase=draining");
    Rig.await("the draining state", () -> rig.state("s1") == State.DRAINING);
    z.withdraw("s2");
    Rig.await("the withdrawal", () -> rig.state("s2") == null);
  }

  // ---- Missing and unusual records -----------------------------------------------------------------------

  @Test
  void missingRecords() throws Exception {
    StandInZone z = rig.zone();
    addServers(z, 6);
    z.remove("s0." + Rig.SERVICE, Type.SRV);
    z.remove("h1.example.", Type.A);
    z.remove("s2." + Rig.SERVICE, Type.TXT);
    z.remove("h3.example.", Type.A).put("h3.example. 10 AAAA ::1");
    z.remove("h4.example.", Type.A).put("h4.example. 10 CNAME real.example.").put("real.example. 10 A 127.0.0.9");
    z.put("s5." + Rig.SERVICE + " 10 SRV 0 9 8995 h5.example.");
    rig.start(z);
    Rig.await("the servers with usable records", () -> rig.readyCount() == 4);
    assertNull(rig.server("s0"));
    assertNull(rig.server("s1"));
    assertEquals("", rig.server("s2").zone(), "without a TXT record the attributes have their defaults");
    assertTrue(((InetSocketAddress) rig.server("s3").address()).getAddress() instanceof java.net.Inet6Address);
    assertEquals(new InetSocketAddress("127.0.0.9", 8004), rig.server("s4").address());
    assertEquals(8995, rig.port("s5"), "the SRV record with the higher weight");
    List<String> explanation = rig.group.next().submit(() -> rig.source.explain("s0." + Rig.SERVICE)).get();
    assertTrue(explanation.get(0).contains("incomplete"), explanation.toString());
  }

  @Test
  void namesWithDotsAndNonAsciiCharacters() throws Exception {
    StandInZone z = rig.zone();
    String label = "Astana\\.Nord\\032\\208\\157\\209\\131";
    z.server(label, "h.example.", 8001, "127.0.0.1", "started=b");
    rig.start(z);
    Rig.await("the server", () -> rig.readyCount() == 1);
    assertTrue(rig.list.keySet().iterator().next().startsWith("astana\\.nord\\032\\208\\157\\209\\131."), rig.list.toString());
  }

  @Test
  void aServerInTwoDomainsIsListedOnce() throws Exception {
    StandInZone z = rig.zone();
    StandInZone other = rig.keep(new StandInZone(rig.group, "test."));
    z.server("s0", "h0.example.", 8000, "127.0.0.1", "started=b0");
    other.put("_quote._tcp.test. 10 PTR s0._quote._tcp.test.").put("s0._quote._tcp.test. 10 SRV 0 0 8000 h0.test.")
        .put("h0.test. 10 A 127.0.0.1").put("s0._quote._tcp.test. 10 TXT \"started=b0\"")
        .put("_quote._tcp.test. 10 PTR s9._quote._tcp.test.").put("s9._quote._tcp.test. 10 SRV 0 0 8009 h0.test.")
        .put("s9._quote._tcp.test. 10 TXT \"started=b9\"");
    StandInZone combined = rig.zone();
    // One resolver that serves both domains: the other stand-in's records are copied into it.
    combined.transfer(z);
    for (String owner : List.of("_quote._tcp.test.", "s0._quote._tcp.test.", "s9._quote._tcp.test.", "h0.test.")) {
      other.recordsAt(owner).forEach(r -> combined.put(r.replaceAll("\\s+", " ").replace(" IN ", " ")));
    }
    combined.authoritative(false);
    rig.start(Rig.section("", "", combined).replace("[\"example\"]", "[\"example\", \"test\"]"), ServerList.EMPTY);
    Rig.await("two servers", () -> rig.readyCount() == 2);
    assertEquals(2, rig.list.size());
  }

  // ---- Faults --------------------------------------------------------------------------------------------

  @Test
  void aStaleRecordDoesNotRestoreADrainingServer() throws Exception {
    StandInZone a = rig.zone();
    StandInZone stale = rig.zone();
    addServers(a, 4);
    stale.transfer(a);
    rig.start(a, stale);
    Rig.await("four servers", () -> rig.readyCount() == 4);
    a.server("s1", "h1.example.", 8001, "127.0.0.1", "started=b1", "phase=draining");
    a.withdraw("s2");
    Rig.await("both servers draining", () -> rig.state("s1") == State.DRAINING && rig.state("s2") == State.DRAINING);
    // The stale resolver keeps reporting them as ready, which must not restore them.
    Rig.awaitQueries(stale, Rig.ORIGIN, 30);
    assertEquals(State.DRAINING, rig.state("s1"));
    assertEquals(State.DRAINING, rig.state("s2"));
    assertEquals(2, rig.readyCount());
    stale.transfer(a);
    Rig.await("removal from the list", () -> rig.state("s2") == null);
  }

  @Test
  void halfOfTheResolversReportAnEmptyList() throws Exception {
    StandInZone[] z = {rig.zone(), rig.zone(), rig.zone(), rig.zone()};
    for (StandInZone each : z) {
      addServers(each, 6);
    }
    rig.start(z);
    Rig.await("six servers", () -> rig.readyCount() == 6);
    z[0].fault(Fault.NXDOMAIN);
    z[2].fault(Fault.NXDOMAIN);
    z[0].serial(99);
    z[2].serial(99);
    for (int i = 0; i < 3; i++) {
      Rig.awaitQueries(z[0], Rig.SERVICE, 4);
      Rig.awaitQueries(z[2], Rig.SERVICE, 4);
      assertEquals(6, rig.readyCount());
    }
  }

  @Test
  void allResolversFailAndRecover() throws Exception {
    StandInZone a = rig.zone();
    StandInZone b = rig.zone();
    addServers(a, 5);
    b.transfer(a);
    rig.start(a, b);
    Rig.await("five servers", () -> rig.readyCount() == 5);
    a.fault(Fault.NO_RESPONSE);
    b.fault(Fault.SERVFAIL);
    Rig.awaitQueries(a, Rig.ORIGIN, 4);
    Rig.awaitQueries(b, Rig.ORIGIN, 4);
    assertEquals(5, rig.readyCount());
    a.withdraw("s4");
    b.transfer(a);
    a.fault(Fault.NONE);
    b.fault(Fault.NONE);
    Rig.await("the change made during the outage", () -> rig.state("s4") == null);
    assertEquals(4, rig.readyCount());
  }

  @Test
  void aForgedListIsLimitedByTheResolversWeight() throws Exception {
    StandInZone a = rig.zone();
    StandInZone b = rig.zone();
    StandInZone forger = rig.zone();
    addServers(a, 9);
    b.transfer(a);
    for (int i = 0; i < 100; i++) {
      forger.server("x" + i, "x" + i + ".example.", 6666, "127.0.9." + i, "started=x" + i);
    }
    String section = Rig.section("", "", a, b, forger);
    int at = section.indexOf("[fleet.dnssd.trust]");
    rig.start(section.substring(0, at) + "weight = 0.25\n" + section.substring(at), ServerList.EMPTY);
    Rig.await("the nine genuine servers", () -> java.util.stream.IntStream.range(0, 9).allMatch(i -> rig.state("s" + i) == State.READY));
    Rig.awaitQueries(forger, Rig.ORIGIN, 20);
    long forged = rig.list.values().stream().filter(s -> ((InetSocketAddress) s.address()).getPort() == 6666).count();
    assertTrue(forged <= 2, forged + " forged");
    assertEquals(9, rig.readyCount() - forged);
  }

  @Test
  void anOutdatedZoneIsIgnored() throws Exception {
    StandInZone[] z = {rig.zone(), rig.zone(), rig.zone()};
    addServers(z[0], 6);
    z[1].transfer(z[0]);
    z[0].serial(500);
    z[1].serial(500);
    addServers(z[2], 3);
    z[2].server("old", "old.example.", 9999, "127.0.0.1", "started=old");
    z[2].serial(100);
    rig.start(z);
    Rig.await("six servers", () -> rig.readyCount() == 6);
    Rig.awaitQueries(z[2], Rig.ORIGIN, 10);
    assertNull(rig.server("old"));
    assertEquals(6, rig.readyCount());
  }

  /** After the primary is lost and its zone recreated, serials start again. The zone is accepted once no cache can still hold the old one. */
  @Test
  void aRecreatedZoneIsEventuallyAccepted() throws Exception {
    StandInZone z = rig.zone();
    z.ttl(1);
    addServers(z, 4);
    z.serial(500);
    rig.start(Rig.section("", "longest_ttl_ms = 1000\n", z), ServerList.EMPTY);
    Rig.await("four servers", () -> rig.readyCount() == 4);
    z.server("s9", "h9.example.", 8009, "127.0.0.1", "started=b9");
    z.serial(3);
    Rig.awaitQueries(z, Rig.ORIGIN, 5);
    assertNull(rig.server("s9"), "an older serial is not accepted at first");
    Rig.await("the new zone", () -> rig.state("s9") == State.READY);
  }

  // ---- Identity ------------------------------------------------------------------------------------------

  @Test
  void aSuccessorUnderAnOldNameStartsSlowlyWithAndWithoutStartTime() throws Exception {
    StandInZone z = rig.zone();
    z.server("s0", "h0.example.", 8000, "127.0.0.1", "started=" + (System.currentTimeMillis() - 86_400_000));
    z.server("s1", "h1.example.", 8001, "127.0.0.1");
    addMoreServers(z);
    rig.start(z);
    Rig.await("all servers", () -> rig.readyCount() == 5);
    String id0 = rig.server("s0").id();
    Rig.awaitQueries(z, Rig.ORIGIN, 8);
    long before = System.currentTimeMillis();
    z.server("s0", "h0.example.", 8000, "127.0.0.1", "started=" + before);
    z.server("s1", "h1.example.", 8101, "127.0.0.1");
    Rig.await("both successors", () -> rig.port("s1") == 8101 && !rig.server("s0").id().equals(id0));
    assertNotEquals(0, rig.server("s0").upSinceMillis());
    assertTrue(rig.server("s0").upSinceMillis() >= before - 100 && rig.server("s1").upSinceMillis() >= before - 100,
        rig.server("s0") + " and " + rig.server("s1") + " since " + before);
  }

  private static void addMoreServers(StandInZone z) {
    for (int i = 5; i < 8; i++) {
      z.server("s" + i, "h" + i + ".example.", 8000 + i, "127.0.0.1", "started=b" + i);
    }
  }

  @Test
  void aRenumberedServerKeepsItsIdentity() throws Exception {
    StandInZone z = rig.zone();
    addServers(z, 4);
    rig.start(z);
    Rig.await("four servers", () -> rig.readyCount() == 4);
    String id = rig.server("s2").id();
    z.server("s2", "h2.example.", 8002, "127.0.0.77", "started=b2");
    Rig.await("the new address", () -> ((InetSocketAddress) rig.server("s2").address()).getHostString().equals("127.0.0.77"));
    assertEquals(id, rig.server("s2").id());
    assertEquals(0, rig.server("s2").upSinceMillis());
  }

  @Test
  void aRefusedConnectionFollowedByAnAcceptedOneIsARestart() throws Exception {
    StandInZone z = rig.zone();
    java.net.ServerSocket listening = new java.net.ServerSocket(0, 50, java.net.InetAddress.getLoopbackAddress());
    int port = listening.getLocalPort();
    z.server("s0", "h0.example.", port, "127.0.0.1");
    rig.start(Rig.section("contact_ms = 20", "", z), ServerList.EMPTY);
    Rig.await("the server", () -> rig.readyCount() == 1);
    listening.accept().close();
    listening.close();
    // Long enough for at least one refused probe, so that the first probe after the restart is not the first of all.
    Rig.awaitQueries(z, Rig.ORIGIN, 10);
    long before = System.currentTimeMillis();
    try (java.net.ServerSocket again = new java.net.ServerSocket(port, 50, java.net.InetAddress.getLoopbackAddress())) {
      Rig.await("the restart", () -> rig.server("s0").upSinceMillis() >= before - 100);
    }
  }

  @Test
  void aReserveServesWhenTheOthersCannot() throws Exception {
    StandInZone z = rig.zone();
    z.server("s0", 10, "h0.example.", 8000, "127.0.0.1", "started=b0");
    z.server("r0", 20, "r0.example.", 8001, "127.0.0.1", "started=b1");
    rig.start(z);
    Rig.await("both servers", () -> rig.state("s0") == State.READY && rig.state("r0") == State.DRAINING);
    z.server("s0", 10, "h0.example.", 8000, "127.0.0.1", "started=b0", "phase=draining");
    Rig.await("the reserve", () -> rig.state("r0") == State.READY && rig.state("s0") == State.DRAINING);
  }

  // ---- Hints ---------------------------------------------------------------------------------------------

  @Test
  void aNotifyIsFollowedImmediately() throws Exception {
    StandInZone z = rig.zone();
    addServers(z, 4);
    rig.start(Rig.section("notify = \"127.0.0.1:0\"", "", z).replace("poll_ms = 50", "poll_ms = 3600000"), ServerList.EMPTY);
    Rig.await("four servers", () -> rig.readyCount() == 4);
    InetSocketAddress at = rig.group.next().submit(rig.source::notifyAddress).get();
    z.withdraw("s1");
    z.notifyReader(at);
    Rig.await("the withdrawal", () -> rig.state("s1") == null);
    // Malformed datagrams at the same address.
    try (var socket = new java.net.DatagramSocket()) {
      for (byte[] junk : new byte[][] {{}, {1, 2, 3}, new byte[12], new byte[600]}) {
        socket.send(new java.net.DatagramPacket(junk, junk.length, at));
      }
    }
    z.withdraw("s2");
    z.notifyReader(at);
    Rig.await("the next withdrawal", () -> rig.state("s2") == null);
  }

  // ---- Restart -------------------------------------------------------------------------------------------

  @Test
  void aRestartContinuesWithTheCachedList(@TempDir Path dir) throws Exception {
    StandInZone z = rig.zone();
    addServers(z, 4);
    z.server("s3", "h3.example.", 8003, "127.0.0.1", "started=b3", "phase=draining");
    rig.start(z);
    Rig.await("the list", () -> rig.readyCount() == 3 && rig.list.size() == 4);
    Path file = dir.resolve("held.json");
    try (var cached = new cloverpulley.fleet.HeldList(file)) {
      cached.write(new ServerList(9, true, List.copyOf(rig.list.values())));
    }
    ServerList read = cloverpulley.fleet.HeldList.read(file);
    assertEquals(List.copyOf(rig.list.values()), read.members());
    z.fault(Fault.NO_RESPONSE);
    rig.list.clear();
    rig.start(Rig.section("", "", z), read);
    Rig.await("the cached servers", () -> rig.list.size() == 4);
    assertEquals(State.DRAINING, rig.state("s3"));
    assertEquals(3, rig.readyCount());
    z.withdraw("s0");
    z.fault(Fault.NONE);
    Rig.await("the change since the restart", () -> rig.state("s0") == null);
    // A modified file is reported and not used.
    String text = Files.readString(file);
    Files.writeString(file, text.replace("8001", "8666"));
    assertEquals(List.of(), cloverpulley.fleet.HeldList.read(file).members());
    Files.writeString(file, text.substring(0, text.length() / 2));
    assertEquals(List.of(), cloverpulley.fleet.HeldList.read(file).members());
  }

  @Test
  void changesAreLogged(@TempDir Path dir) throws Exception {
    StandInZone z = rig.zone();
    addServers(z, 3);
    Path file = dir.resolve("changes.jsonl");
    rig.start(Rig.section("records_file = \"" + file + "\"", "", z), ServerList.EMPTY);
    Rig.await("three servers", () -> rig.readyCount() == 3);
    z.server("s1", "h1.example.", 8001, "127.0.0.1", "started=b1", "phase=draining");
    Rig.await("the draining state", () -> rig.state("s1") == State.DRAINING);
    Rig.await("four lines", () -> lines(file).size() == 4);
    String last = lines(file).get(3);
    assertTrue(last.contains("\"why\":\"draining\"") && last.contains("\"resolver\":0") && last.contains("\"phase\":\"draining\""), last);
    assertFalse(last.contains("lost_before"));
  }

  private static List<String> lines(Path file) {
    try {
      return Files.exists(file) ? Files.readAllLines(file) : List.of();
    } catch (java.io.IOException e) {
      throw new AssertionError(e);
    }
  }
}
