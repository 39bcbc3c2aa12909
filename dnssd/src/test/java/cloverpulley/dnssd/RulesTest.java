package cloverpulley.dnssd;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cloverpulley.Balancer.Settings;
import cloverpulley.config.ConfigFile;
import cloverpulley.config.Section;
import cloverpulley.config.ServiceSection;
import cloverpulley.dns.DnsConfig;
import cloverpulley.dns.DnsServer;
import cloverpulley.fleet.FleetSource;
import cloverpulley.processor.ProcessorConfig;
import cloverpulley.processor.ProcessorServer;
import cloverpulley.standins.StandInDns;
import cloverpulley.standins.StandInProxy;
import cloverpulley.standins.StandInUpstream;
import cloverpulley.standins.StandInUpstream.Answer;
import cloverpulley.standins.StandInUpstream.Seen;
import cloverpulley.standins.StandInZone;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.xbill.DNS.Message;
import org.xbill.DNS.Name;
import org.xbill.DNS.Rcode;
import org.xbill.DNS.Record;
import org.xbill.DNS.SimpleResolver;
import org.xbill.DNS.Type;

/** Draining servers get no new requests and new servers start slowly, with discovery through DNS-SD: counted at the servers. */
@Timeout(value = 3 * Rig.TIMEOUT_S, unit = TimeUnit.SECONDS)
class RulesTest {

  private static final long GRACE_NANOS = TimeUnit.SECONDS.toNanos(2);
  private static final String CLASS = """
      [[class]]
      name = "safe"
      effect = "safe"
      aim_ms = 20000
      deadline_ms = 40000
      """;

  private record TestConfig(Settings settings, ProcessorConfig processor, FleetSource fleet, DnsConfig dns) {
    static TestConfig read(Section file) {
      Settings settings = ServiceSection.read(file);
      return new TestConfig(settings, ProcessorConfig.read(file.table("processor"), 1), FleetSource.read(file.table("fleet")),
          file.has("dns") ? DnsConfig.read(file.table("dns"), settings) : null);
    }
  }

  private final Rig rig = new Rig();
  private final HttpClient http = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
  private final AtomicInteger ids = new AtomicInteger();

  @AfterEach
  void close() throws Exception {
    rig.close();
  }

  private StandInUpstream upstream() {
    return rig.keep(new StandInUpstream(rig.group, r -> Answer.ok(2)));
  }

  private static int port(StandInUpstream upstream) {
    return Integer.parseInt(upstream.address().substring(upstream.address().lastIndexOf(':') + 1));
  }

  private void register(StandInZone z, String label, StandInUpstream upstream, String... attributes) {
    List<String> text = new ArrayList<>(List.of("started=boot-" + label, "locality=a"));
    text.addAll(List.of(attributes));
    z.server(label, label + "h.example.", port(upstream), "127.0.0.1", text.toArray(String[]::new));
  }

  private StandInProxy proxy(String service, String section) throws Exception {
    TestConfig config = ConfigFile.parse("test", CLASS + service + "[processor]\nlisten = \"127.0.0.1:0\"\n" + section, TestConfig::read);
    ProcessorServer server = rig.keep(ProcessorServer.start(config.processor, config.settings, config.fleet, 7));
    return rig.keep(new StandInProxy(server.address(), StandInProxy.Config.of(2)));
  }

  private CompletableFuture<HttpResponse<String>> send(StandInProxy proxy) {
    String id = "r" + ids.getAndIncrement();
    return http.sendAsync(HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + proxy.address().getPort() + "/api"))
        .timeout(Duration.ofSeconds(Rig.TIMEOUT_S)).header("x-request-id", id).header("x-qos", "safe").build(),
        HttpResponse.BodyHandlers.ofString());
  }

  private void sendBatch(StandInProxy proxy) {
    List<CompletableFuture<HttpResponse<String>>> responses = new ArrayList<>();
    for (int i = 0; i < 8; i++) {
      responses.add(send(proxy));
    }
    responses.forEach(CompletableFuture::join);
  }

  private void awaitServing(StandInProxy proxy) throws InterruptedException {
    Rig.await("a served request", () -> send(proxy).join().statusCode() == 200);
  }

  @Test
  void noNewRequestsReachADrainingOrWithdrawnServer() throws Exception {
    StandInZone current = rig.zone();
    StandInZone stale = rig.zone();
    StandInUpstream[] upstreams = {upstream(), upstream(), upstream(), upstream()};
    for (int i = 0; i < upstreams.length; i++) {
      register(current, "s" + i, upstreams[i]);
    }
    stale.transfer(current);
    StandInProxy proxy = proxy("", Rig.section("", "", current, stale));
    awaitServing(proxy);
    while (upstreams[0].seen().size() < 10 || upstreams[1].seen().size() < 10) {
      sendBatch(proxy);
    }
    register(current, "s0", upstreams[0], "phase=draining");
    current.withdraw("s1");
    // Changes are found by polling: the grace of two seconds starts at the next query, one poll interval later at most.
    Rig.awaitQueries(current, Rig.SERVICE, 1);
    long reportedAt = System.nanoTime();
    int before = upstreams[2].seen().size() + upstreams[3].seen().size();
    while (System.nanoTime() < reportedAt + GRACE_NANOS + TimeUnit.MILLISECONDS.toNanos(700)) {
      sendBatch(proxy);
    }
    assertTrue(upstreams[2].seen().size() + upstreams[3].seen().size() > before + 20, "the other servers received requests meanwhile");
    for (int i = 0; i < 2; i++) {
      List<Seen> lateRequests = upstreams[i].seen().stream().filter(s -> s.atNanos() > reportedAt + GRACE_NANOS).toList();
      assertEquals(List.of(), lateRequests, "s" + i);
    }
  }

  /** Two processors with a source each: a successor under an old name starts slowly although both send to it. */
  @Test
  void aSuccessorUnderAnOldNameStartsSlowly() throws Exception {
    StandInZone z = rig.zone();
    StandInUpstream[] upstreams = {upstream(), upstream(), upstream(), upstream()};
    for (int i = 0; i < 3; i++) {
      register(z, "s" + i, upstreams[i]);
    }
    StandInProxy[] proxies = new StandInProxy[2];
    for (int i = 0; i < 2; i++) {
      proxies[i] = proxy("[service]\nprocesses = 2\nnumber = " + i + "\nzone = \"a\"\n", Rig.section("", "", z));
      awaitServing(proxies[i]);
    }
    // The rate curve needs samples of the usual rate.
    for (int n = 0; n < 100; n++) {
      sendBatch(proxies[0]);
      sendBatch(proxies[1]);
    }
    Rig.awaitQueries(z, Rig.ORIGIN, 8);
    z.server("s2", "s2h.example.", port(upstreams[3]), "127.0.0.1", "started=second", "locality=a");
    Rig.await("the successor's first request", () -> {
      sendBatch(proxies[0]);
      sendBatch(proxies[1]);
      return !upstreams[3].seen().isEmpty();
    });
    long firstRequestAt = upstreams[3].seen().get(0).atNanos();
    while (System.nanoTime() < firstRequestAt + TimeUnit.SECONDS.toNanos(1)) {
      sendBatch(proxies[0]);
      sendBatch(proxies[1]);
    }
    long toSuccessor = upstreams[3].seen().stream().filter(s -> s.atNanos() < firstRequestAt + TimeUnit.SECONDS.toNanos(1)).count();
    long toWarmedUp = upstreams[0].seen().stream().filter(s -> s.atNanos() >= firstRequestAt
        && s.atNanos() < firstRequestAt + TimeUnit.SECONDS.toNanos(1)).count();
    assertTrue(toSuccessor < toWarmedUp, "the successor got " + toSuccessor + ", a warmed-up server " + toWarmedUp);
    long toPredecessor = upstreams[2].seen().stream().filter(s -> s.atNanos() > firstRequestAt + GRACE_NANOS).count();
    assertEquals(0, toPredecessor, "the predecessor must not get requests any more");
  }

  @Test
  void theDnsFrontendUsesTheSameSource() throws Exception {
    StandInZone z = rig.zone();
    StandInDns[] upstreams = new StandInDns[2];
    for (int i = 0; i < 2; i++) {
      upstreams[i] = rig.keep(new StandInDns(rig.group, StandInDns.addresses("10.0.0." + i)));
      z.server("d" + i, "d" + i + "h.example.", upstreams[i].address().getPort(), "127.0.0.1", "started=b" + i);
    }
    String section = Rig.section("", "", z).replace("fleet.dnssd", "dns.fleet.dnssd");
    TestConfig config = ConfigFile.parse("test",
        CLASS + "[fleet]\n[[fleet.server]]\nid = \"x\"\naddress = \"127.0.0.1:1\"\n[dns]\nlisten = \"127.0.0.1:0\"\n"
        + "[[dns.class]]\nname = \"query\"\neffect = \"safe\"\naim_ms = 1000\ndeadline_ms = 3000\n"
        // A single client sends as fast as it can; with the default limit per prefix some queries would get no answer.
        + "[dns.limits]\nudp_per_prefix_per_s = 0\n[dns.fleet]\n" + section, TestConfig::read);
    DnsServer frontend = rig.keep(DnsServer.start(config.dns, null, 7));
    SimpleResolver client = new SimpleResolver(frontend.address());
    client.setTimeout(Duration.ofSeconds(Rig.TIMEOUT_S));
    AtomicInteger nameCounter = new AtomicInteger();
    Rig.await("an answer", () -> answered(client, nameCounter));
    z.withdraw("d0");
    Rig.awaitQueries(z, Rig.SERVICE, 1);
    long reportedAt = System.nanoTime();
    while (System.nanoTime() < reportedAt + GRACE_NANOS + TimeUnit.MILLISECONDS.toNanos(300)) {
      answered(client, nameCounter);
    }
    assertEquals(0, upstreams[0].seen().stream().filter(s -> s.atNanos() > reportedAt + GRACE_NANOS).count());
    assertTrue(upstreams[1].seen().stream().anyMatch(s -> s.atNanos() > reportedAt + GRACE_NANOS));
  }

  private static boolean answered(SimpleResolver client, AtomicInteger nameCounter) {
    try {
      Message m = client.send(Message.newQuery(Record.newRecord(Name.fromString("n" + nameCounter.getAndIncrement() + ".test."), Type.A, 1)));
      return m.getRcode() == Rcode.NOERROR;
    } catch (java.io.IOException e) {
      throw new AssertionError(e);
    }
  }
}
