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

/** DNS push sessions, the registration of the process, the command line's view, and configuration errors. */
@Timeout(value = 2 * Rig.TIMEOUT_S, unit = TimeUnit.SECONDS)
class PushAndPublishTest {

  private static final byte[] SECRET = "sixteen octets at least".getBytes(java.nio.charset.StandardCharsets.US_ASCII);

  private final Rig rig = new Rig();

  @AfterEach
  void close() throws Exception {
    rig.close();
  }

  private void startWithPush(StandInZone z) throws Exception {
    String section = Rig.section("", "", z).replace("poll_ms = 50", "poll_ms = 3600000").replace("[fleet.dnssd.trust]",
        "push = \"tcp\"\n[fleet.dnssd.trust]");
    rig.start(section, ServerList.EMPTY);
  }

  @Test
  void pushedChangesAreAppliedWithoutPolling() throws Exception {
    StandInZone z = rig.zone();
    z.push(true);
    for (int i = 0; i < 4; i++) {
      z.server("s" + i, "h" + i + ".example.", 8000 + i, "127.0.0.1", "started=b" + i);
    }
    startWithPush(z);
    Rig.await("four servers", () -> rig.readyCount() == 4);
    Rig.await("subscriptions to the list and to each instance", () -> z.subscriptions() == 5);
    z.server("s1", "h1.example.", 8001, "127.0.0.1", "started=b1", "phase=draining");
    Rig.await("the draining state", () -> rig.state("s1") == State.DRAINING);
    z.withdraw("s2");
    Rig.await("the withdrawal", () -> rig.state("s2") == null);
    z.server("s9", "h9.example.", 8009, "127.0.0.1", "started=b9");
    Rig.await("the new server", () -> rig.state("s9") == State.READY);
    assertTrue(rig.server("s9").upSinceMillis() > 0, "the new server is in slow start");
    Rig.await("a subscription to the new instance, none to the removed one", () -> z.subscriptions() == 5);
  }

  @Test
  void aBrokenSessionIsReestablishedWithoutMissingChanges() throws Exception {
    StandInZone z = rig.zone();
    z.push(true);
    for (int i = 0; i < 3; i++) {
      z.server("s" + i, "h" + i + ".example.", 8000 + i, "127.0.0.1", "started=b" + i);
    }
    startWithPush(z);
    Rig.await("subscriptions", () -> rig.readyCount() == 3 && z.subscriptions() == 4);
    z.push(false);
    z.endSessions();
    z.withdraw("s0");
    z.push(true);
    Rig.await("the change that was not pushed", () -> rig.state("s0") == null);
    Rig.await("a new session", () -> z.subscriptions() == 3);
  }

  @Test
  void aServerWithoutPushIsPolled() throws Exception {
    StandInZone z = rig.zone();
    z.server("s0", "h0.example.", 8000, "127.0.0.1", "started=b0");
    z.server("s1", "h1.example.", 8001, "127.0.0.1", "started=b1");
    rig.start(Rig.section("", "", z).replace("[fleet.dnssd.trust]", "push = \"tcp\"\n[fleet.dnssd.trust]"), ServerList.EMPTY);
    Rig.await("both servers", () -> rig.readyCount() == 2);
    z.withdraw("s1");
    Rig.await("the withdrawal", () -> rig.state("s1") == null);
    assertEquals(0, (int) rig.group.next().submit(rig.source::pushSessions).get());
  }

  @Test
  void randomBytesEitherDecodeOrFailCleanly() throws Exception {
    SplittableRandom random = new SplittableRandom(20261201);
    byte[] valid = Dso.message(0, Dso.PUSH, Dso.change("s0." + Rig.SERVICE, Type.PTR, true, Dso.question("x.example.", 1)));
    int decoded = 0;
    for (int i = 0; i < 200_000; i++) {
      byte[] bytes = Arrays.copyOf(valid, random.nextInt(valid.length + 20));
      for (int k = bytes.length == 0 ? 0 : random.nextInt(6); k > 0; k--) {
        bytes[random.nextInt(bytes.length)] = (byte) random.nextInt(256);
      }
      try {
        Dso.changes(Dso.read(bytes));
        decoded++;
      } catch (MalformedException e) {
        // Expected for most inputs.
      }
    }
    assertTrue(decoded > 0);
    assertThrows(MalformedException.class, () -> Dso.read(new byte[11]));
    byte[] nonZeroCount = valid.clone();
    Message.put16(nonZeroCount, 6, 1);
    assertThrows(MalformedException.class, () -> Dso.read(nonZeroCount));
  }

  // ---- Publisher -----------------------------------------------------------------------------------------

  private static PublishConfig publishConfig(StandInZone z, String settings) throws InvalidConfigException {
    return ConfigFile.parse("test", "[publish]\nprimary = \"127.0.0.1:" + z.address().getPort()
        + "\"\nzone = \"example\"\ninstance = \"Ashdeck A.1\"\nlease_s = 1\nttl_s = 2\ntext = [\"locality=a\"]\n" + settings,
        file -> PublishConfig.read(file.table("publish")));
  }

  private static String keySettings() {
    return "tsig_name = \"ashdeck.key\"\ntsig_secret = \"" + Base64.getEncoder().encodeToString(SECRET) + "\"\n";
  }

  @Test
  void theProcessRegistersRenewsAndWithdraws() throws Exception {
    StandInZone z = rig.zone();
    z.key(new TSIG(TSIG.HMAC_SHA256, Name.fromString("ashdeck.key."), SECRET));
    rig.start(z);
    Publisher publisher = rig.keep(Publisher.startSelf(publishConfig(z, keySettings()), 9002, 1_700_000_000_000L, List.of()));
    assertTrue(publisher.awaitRegistered(10_000));
    Rig.await("discovery of the registration", () -> rig.readyCount() == 1);
    assertEquals(9002, ((java.net.InetSocketAddress) rig.list.values().iterator().next().address()).getPort());
    assertTrue(rig.list.keySet().iterator().next().startsWith("ashdeck\\032a\\.1." + Rig.SERVICE), rig.list.toString());
    int updatesBefore = z.updates().size();
    Rig.await("renewals of the registration", () -> z.updates().size() >= 3 * updatesBefore);
    publisher.withdraw();
    assertEquals(List.of(), z.recordsAt(Rig.SERVICE));
    assertEquals(List.of(), z.recordsAt("Ashdeck\\032A\\.1." + Rig.SERVICE));
    Rig.await("removal from the list", () -> rig.list.isEmpty());
  }

  @Test
  void aFailingPrimaryIsRetried() throws Exception {
    StandInZone z = rig.zone();
    z.fault(Fault.SERVFAIL);
    Publisher publisher = rig.keep(Publisher.startSelf(publishConfig(z, ""), 9002, 0, List.of()));
    Rig.await("two update attempts", () -> z.server().seen().stream().filter(s -> s.opcode() == 5).count() >= 2);
    assertFalse(publisher.awaitRegistered(0));
    z.fault(Fault.NONE);
    assertTrue(publisher.awaitRegistered(20_000));
  }

  @Test
  void anUnknownKeyRegistersNothing() throws Exception {
    StandInZone z = rig.zone();
    z.key(new TSIG(TSIG.HMAC_SHA256, Name.fromString("other.key."), SECRET));
    Publisher publisher = rig.keep(Publisher.startSelf(publishConfig(z, keySettings()), 9002, 0, List.of()));
    Rig.await("two update attempts", () -> z.server().seen().stream().filter(s -> s.opcode() == 5).count() >= 2);
    assertFalse(publisher.awaitRegistered(0));
    assertEquals(List.of(), z.recordsAt(Rig.SERVICE));
  }

  @Test
  void theFleetIsRegisteredWithItsPhases() throws Exception {
    StandInZone z = rig.zone();
    List<ServerList.Server> fleet = List.of(
        new ServerList.Server("q-1", new java.net.InetSocketAddress("127.0.0.1", 8001), "a", 3, State.READY, 2, 1000),
        new ServerList.Server("q-2", new java.net.InetSocketAddress("127.0.0.1", 8002), "b", 4, State.DRAINING, 1, 0));
    Publisher publisher = rig.keep(Publisher.startSelf(publishConfig(z, "fleet = true"), 9002, 1000, fleet));
    assertTrue(publisher.awaitRegistered(10_000));
    rig.start(z);
    Rig.await("all three servers", () -> rig.list.size() == 3);
    assertEquals(State.DRAINING, rig.state("q-2"));
    assertEquals(3, rig.server("q-1").cell());
    assertEquals(2.0, rig.server("q-1").size());
  }

  // ---- View ----------------------------------------------------------------------------------------------

  @Test
  void theViewShowsTheListAndItsReasons(@org.junit.jupiter.api.io.TempDir java.nio.file.Path dir) throws Exception {
    StandInZone z = rig.zone();
    StandInZone secondary = rig.zone();
    z.server("s0", "h0.example.", 8000, "127.0.0.1", "started=b0", "rack=7", "size=x");
    z.server("s1", "h1.example.", 8001, "127.0.0.1", "started=b1");
    z.server("s2", "h2.example.", 8002, "127.0.0.1", "started=b2");
    secondary.transfer(z);
    java.nio.file.Path records = dir.resolve("records");
    try (DnsSdView view = new DnsSdView(Rig.config(Rig.section("records_file = \"" + records + '"', "", z, secondary)))) {
      assertTrue(view.awaitFirstList(20_000));
      String browse = String.join("\n", view.browse());
      assertTrue(browse.contains("resolver 1 at " + secondary.server().hostPort() + " names 3"), browse);
      assertTrue(browse.contains("127.0.0.1:8002") && browse.contains("ignored: s0." + Rig.SERVICE + " size"), browse);
      z.withdraw("s1");
      Rig.await("the withdrawal in the view", () -> String.join("\n", view.explain("s1")).contains("draining"));
      String explanation = String.join("\n", view.explain("s1"));
      assertTrue(explanation.contains("withdrawn, reported by resolver 0") && explanation.contains("resolver 0: no longer lists it")
          && explanation.contains("resolver 1: lists it"), explanation);
      assertTrue(String.join("\n", view.explain("s0")).contains("rack=7"));
      assertEquals(List.of("nobody: no resolver lists it"), view.explain("nobody"));
    }
    assertFalse(java.nio.file.Files.exists(records), "the view must not write the change log");
  }

  // ---- Configuration -------------------------------------------------------------------------------------

  @Test
  void allConfigurationErrorsAreReportedTogether() {
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
