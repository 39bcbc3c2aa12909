package cloverpulley.dnssd;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cloverpulley.Balancer.State;
import cloverpulley.config.ConfigFile;
import cloverpulley.config.InvalidConfigException;
import cloverpulley.dns.wire.MalformedException;
import cloverpulley.dns.wire.Message;
import cloverpulley.engine.ServerList;
import cloverpulley.standins.StandInZone;
import cloverpulley.standins.StandInZone.Fault;
import java.util.Arrays;
import java.util.Base64;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.xbill.DNS.Name;
import org.xbill.DNS.TSIG;
import org.xbill.DNS.Type;

/** Push sessions, and the program's own registration. */
@Timeout(value = 2 * Rig.LIMIT_S, unit = TimeUnit.SECONDS)
class PushAndPublishTest {

  private static final byte[] SECRET = "sixteen octets at least".getBytes(java.nio.charset.StandardCharsets.US_ASCII);

  private final Rig rig = new Rig();

  @AfterEach
  void close() throws Exception {
    rig.close();
  }

  private void startPushed(StandInZone z) throws Exception {
    String section = Rig.section("", "", z).replace("poll_ms = 50", "poll_ms = 3600000").replace("[fleet.dnssd.trust]",
        "push = \"tcp\"\n[fleet.dnssd.trust]");
    rig.start(section, ServerList.EMPTY);
  }

  @Test
  void whatIsPushedIsHeardWithoutAPoll() throws Exception {
    StandInZone z = rig.zone();
    z.push(true);
    for (int i = 0; i < 4; i++) {
      z.server("s" + i, "h" + i + ".example.", 8000 + i, "127.0.0.1", "started=b" + i);
    }
    startPushed(z);
    Rig.await("four servers", () -> rig.ready() == 4);
    Rig.await("subscribed to the list and to each", () -> z.subscriptions() == 5);
    z.server("s1", "h1.example.", 8001, "127.0.0.1", "started=b1", "phase=draining");
    Rig.await("the drain", () -> rig.state("s1") == State.DRAINING);
    z.withdraw("s2");
    Rig.await("the withdrawal", () -> rig.state("s2") == null);
    z.server("s9", "h9.example.", 8009, "127.0.0.1", "started=b9");
    Rig.await("the new one", () -> rig.state("s9") == State.READY);
    assertTrue(rig.of("s9").upSinceMillis() > 0, "cold");
    Rig.await("it is subscribed to as well, and the one that left no more", () -> z.subscriptions() == 5);
  }

  @Test
  void aBrokenSessionIsMadeAnewAndNothingIsMissed() throws Exception {
    StandInZone z = rig.zone();
    z.push(true);
    for (int i = 0; i < 3; i++) {
      z.server("s" + i, "h" + i + ".example.", 8000 + i, "127.0.0.1", "started=b" + i);
    }
    startPushed(z);
    Rig.await("subscribed", () -> rig.ready() == 3 && z.subscriptions() == 4);
    z.push(false);
    z.endSessions();
    z.withdraw("s0");
    z.push(true);
    Rig.await("what was not pushed is asked for", () -> rig.state("s0") == null);
    Rig.await("a session again", () -> z.subscriptions() == 3);
  }

  @Test
  void aServerThatDoesNotPushIsPolled() throws Exception {
    StandInZone z = rig.zone();
    z.server("s0", "h0.example.", 8000, "127.0.0.1", "started=b0");
    z.server("s1", "h1.example.", 8001, "127.0.0.1", "started=b1");
    rig.start(Rig.section("", "", z).replace("[fleet.dnssd.trust]", "push = \"tcp\"\n[fleet.dnssd.trust]"), ServerList.EMPTY);
    Rig.await("both", () -> rig.ready() == 2);
    z.withdraw("s1");
    Rig.await("the withdrawal", () -> rig.state("s1") == null);
    assertEquals(0, (int) rig.group.next().submit(rig.source::pushSessions).get());
  }

  @Test
  void anyOctetsAreAMessageOrAnError() throws Exception {
    SplittableRandom random = new SplittableRandom(20261201);
    byte[] good = Dso.message(0, Dso.PUSH, Dso.change("s0." + Rig.SERVICE, Type.PTR, true, Dso.question("x.example.", 1)));
    int read = 0;
    for (int i = 0; i < 200_000; i++) {
      byte[] b = Arrays.copyOf(good, random.nextInt(good.length + 20));
      for (int k = b.length == 0 ? 0 : random.nextInt(6); k > 0; k--) {
        b[random.nextInt(b.length)] = (byte) random.nextInt(256);
      }
      try {
        Dso.changes(Dso.read(b));
        read++;
      } catch (MalformedException e) {
        // What it is for.
      }
    }
    assertTrue(read > 0);
    assertThrows(MalformedException.class, () -> Dso.read(new byte[11]));
    byte[] counts = good.clone();
    Message.put16(counts, 6, 1);
    assertThrows(MalformedException.class, () -> Dso.read(counts));
  }

  // ---- Publisher -----------------------------------------------------------------------------------------

  private static PublishConfig publish(StandInZone z, String more) throws InvalidConfigException {
    return ConfigFile.parse("test", "[publish]\nprimary = \"127.0.0.1:" + z.address().getPort()
        + "\"\nzone = \"example\"\ninstance = \"Ashdeck A.1\"\nlease_s = 1\nttl_s = 2\ntext = [\"locality=a\"]\n" + more,
        file -> PublishConfig.read(file.table("publish")));
  }

  private static String signed() {
    return "tsig_name = \"ashdeck.key\"\ntsig_secret = \"" + Base64.getEncoder().encodeToString(SECRET) + "\"\n";
  }

  @Test
  void theProgramRegistersRenewsAndWithdraws() throws Exception {
    StandInZone z = rig.zone();
    z.key(new TSIG(TSIG.HMAC_SHA256, Name.fromString("ashdeck.key."), SECRET));
    rig.start(z);
    Publisher p = rig.keep(Publisher.self(publish(z, signed()), 9002, 1_700_000_000_000L, List.of()));
    assertTrue(p.awaitRegistered(10_000));
    Rig.await("it is found by its own reader", () -> rig.ready() == 1);
    assertEquals(9002, ((java.net.InetSocketAddress) rig.list.values().iterator().next().address()).getPort());
    assertTrue(rig.list.keySet().iterator().next().startsWith("ashdeck\\032a\\.1." + Rig.SERVICE), rig.list.toString());
    int first = z.updates().size();
    Rig.await("it is renewed", () -> z.updates().size() >= 3 * first);
    p.withdraw();
    assertEquals(List.of(), z.at(Rig.SERVICE));
    assertEquals(List.of(), z.at("Ashdeck\\032A\\.1." + Rig.SERVICE));
    Rig.await("it is gone", () -> rig.list.isEmpty());
  }

  @Test
  void aPrimaryThatFailsIsTriedAgain() throws Exception {
    StandInZone z = rig.zone();
    z.fault(Fault.SERVFAIL);
    Publisher p = rig.keep(Publisher.self(publish(z, ""), 9002, 0, List.of()));
    Rig.await("it has tried", () -> z.server().seen().stream().filter(s -> s.opcode() == 5).count() >= 2);
    assertFalse(p.awaitRegistered(0));
    z.fault(Fault.NONE);
    assertTrue(p.awaitRegistered(20_000));
  }

  @Test
  void aKeyThatThePrimaryDoesNotKnowRegistersNothing() throws Exception {
    StandInZone z = rig.zone();
    z.key(new TSIG(TSIG.HMAC_SHA256, Name.fromString("other.key."), SECRET));
    Publisher p = rig.keep(Publisher.self(publish(z, signed()), 9002, 0, List.of()));
    Rig.await("it has tried", () -> z.server().seen().stream().filter(s -> s.opcode() == 5).count() >= 2);
    assertFalse(p.awaitRegistered(0));
    assertEquals(List.of(), z.at(Rig.SERVICE));
  }

  @Test
  void theFleetIsRegisteredWithItsPhases() throws Exception {
    StandInZone z = rig.zone();
    List<ServerList.Server> fleet = List.of(
        new ServerList.Server("q-1", new java.net.InetSocketAddress("127.0.0.1", 8001), "a", 3, State.READY, 2, 1000),
        new ServerList.Server("q-2", new java.net.InetSocketAddress("127.0.0.1", 8002), "b", 4, State.DRAINING, 1, 0));
    Publisher p = rig.keep(Publisher.self(publish(z, "fleet = true"), 9002, 1000, fleet));
    assertTrue(p.awaitRegistered(10_000));
    rig.start(z);
    Rig.await("all three", () -> rig.list.size() == 3);
    assertEquals(State.DRAINING, rig.state("q-2"));
    assertEquals(3, rig.of("q-1").cell());
    assertEquals(2.0, rig.of("q-1").size());
  }

  // ---- The tools -----------------------------------------------------------------------------------------

  @Test
  void theToolsSayWhatIsBelievedAndWhy(@org.junit.jupiter.api.io.TempDir java.nio.file.Path dir) throws Exception {
    StandInZone z = rig.zone();
    StandInZone other = rig.zone();
    z.server("s0", "h0.example.", 8000, "127.0.0.1", "started=b0", "rack=7", "size=x");
    z.server("s1", "h1.example.", 8001, "127.0.0.1", "started=b1");
    z.server("s2", "h2.example.", 8002, "127.0.0.1", "started=b2");
    other.transfer(z);
    java.nio.file.Path records = dir.resolve("records");
    try (DnsSdView view = new DnsSdView(Rig.config(Rig.section("records_file = \"" + records + '"', "", z, other)))) {
      assertTrue(view.awaitFirst(20_000));
      String browse = String.join("\n", view.browse());
      assertTrue(browse.contains("resolver 1 at " + other.server().hostPort() + " names 3"), browse);
      assertTrue(browse.contains("127.0.0.1:8002") && browse.contains("ignored: s0." + Rig.SERVICE + " size"), browse);
      z.withdraw("s1");
      Rig.await("the withdrawal shows", () -> String.join("\n", view.explain("s1")).contains("draining"));
      String why = String.join("\n", view.explain("s1"));
      assertTrue(why.contains("withdrawn, on the word of resolver 0") && why.contains("resolver 0: names it no more")
          && why.contains("resolver 1: names it"), why);
      assertTrue(String.join("\n", view.explain("s0")).contains("rack=7"));
      assertEquals(List.of("nobody: nobody has named it"), view.explain("nobody"));
    }
    assertFalse(java.nio.file.Files.exists(records), "the service's records are its own");
  }

  // ---- Configuration -------------------------------------------------------------------------------------

  @Test
  void allThatIsWrongIsSaidAtOnce() {
    InvalidConfigException e = assertThrows(InvalidConfigException.class, () -> Rig.config("""
        [fleet.dnssd]
        service = "quote"
        domains = []
        pol_ms = 3
        [[fleet.dnssd.resolver]]
        address = "127.0.0.1:53"
        weight = 2
        [[fleet.dnssd.resolver]]
        address = "127.0.0.1:53"
        push = "tls"
        [fleet.dnssd.trust]
        witnesses = 3
        """));
    for (String key : List.of("service", "domains", "pol_ms", "weight", "two resolvers", "push_name", "witnesses")) {
      assertTrue(e.getMessage().contains(key), key + " in " + e.getMessage());
    }
  }
}
