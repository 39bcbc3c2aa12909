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

/** Rules 3 and 4 for fleets found through DNS-SD, through fronts, as the servers themselves count. */
@Timeout(value = 3 * Rig.LIMIT_S, unit = TimeUnit.SECONDS)
class RulesTest {

  private static final long GRACE_NANOS = TimeUnit.SECONDS.toNanos(2);
  private static final String CLASS = """
      [[class]]
      name = "safe"
      effect = "safe"
      aim_ms = 20000
      deadline_ms = 40000
      """;

  private record Told(Settings settings, ProcessorConfig processor, FleetSource fleet, DnsConfig dns) {
    static Told read(Section file) {
      Settings settings = ServiceSection.read(file);
      return new Told(settings, ProcessorConfig.read(file.table("processor"), 1), FleetSource.read(file.table("fleet")),
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

  private static int port(StandInUpstream u) {
    return Integer.parseInt(u.address().substring(u.address().lastIndexOf(':') + 1));
  }

  private void list(StandInZone z, String label, StandInUpstream u, String... more) {
    List<String> text = new ArrayList<>(List.of("started=boot-" + label, "locality=a"));
    text.addAll(List.of(more));
    z.server(label, label + "h.example.", port(u), "127.0.0.1", text.toArray(String[]::new));
  }

  private StandInProxy proxy(String service, String section) throws Exception {
    Told told = ConfigFile.parse("test", CLASS + service + "[processor]\nlisten = \"127.0.0.1:0\"\n" + section, Told::read);
    ProcessorServer server = rig.keep(ProcessorServer.start(told.processor, told.settings, told.fleet, 7));
    return rig.keep(new StandInProxy(server.address(), StandInProxy.Config.of(2)));
  }

  private CompletableFuture<HttpResponse<String>> ask(StandInProxy proxy) {
    String id = "r" + ids.getAndIncrement();
    return http.sendAsync(HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + proxy.address().getPort() + "/api"))
        .timeout(Duration.ofSeconds(Rig.LIMIT_S)).header("x-request-id", id).header("x-qos", "safe").build(),
        HttpResponse.BodyHandlers.ofString());
  }

  private void some(StandInProxy proxy) {
    List<CompletableFuture<HttpResponse<String>>> asked = new ArrayList<>();
    for (int i = 0; i < 8; i++) {
      asked.add(ask(proxy));
    }
    asked.forEach(CompletableFuture::join);
  }

  private void awaitServing(StandInProxy proxy) throws InterruptedException {
    Rig.await("it serves", () -> ask(proxy).join().statusCode() == 200);
  }

  @Test
  void nothingNewReachesADrainedOrWithdrawnServer() throws Exception {
    StandInZone fresh = rig.zone();
    StandInZone stale = rig.zone();
    StandInUpstream[] u = {upstream(), upstream(), upstream(), upstream()};
    for (int i = 0; i < u.length; i++) {
      list(fresh, "s" + i, u[i]);
    }
    stale.transfer(fresh);
    StandInProxy proxy = proxy("", Rig.section("", "", fresh, stale));
    awaitServing(proxy);
    while (u[0].seen().size() < 10 || u[1].seen().size() < 10) {
      some(proxy);
    }
    list(fresh, "s0", u[0], "phase=draining");
    fresh.withdraw("s1");
    // By polls: two seconds after the answer that said so, which is one poll later at the latest.
    Rig.awaitAsked(fresh, Rig.SERVICE, 1);
    long told = System.nanoTime();
    int before = u[2].seen().size() + u[3].seen().size();
    while (System.nanoTime() < told + GRACE_NANOS + TimeUnit.MILLISECONDS.toNanos(700)) {
      some(proxy);
    }
    assertTrue(u[2].seen().size() + u[3].seen().size() > before + 20, "the others served meanwhile");
    for (int i = 0; i < 2; i++) {
      List<Seen> late = u[i].seen().stream().filter(s -> s.atNanos() > told + GRACE_NANOS).toList();
      assertEquals(List.of(), late, "s" + i);
    }
  }

  /** Two processors with a source each: a successor under an old name gets its first work from both within the cold rule. */
  @Test
  void aSuccessorUnderAnOldNameStartsGently() throws Exception {
    StandInZone z = rig.zone();
    StandInUpstream[] u = {upstream(), upstream(), upstream(), upstream()};
    for (int i = 0; i < 3; i++) {
      list(z, "s" + i, u[i]);
    }
    StandInProxy[] proxies = new StandInProxy[2];
    for (int i = 0; i < 2; i++) {
      proxies[i] = proxy("[service]\nprocesses = 2\nnumber = " + i + "\nzone = \"a\"\n", Rig.section("", "", z));
      awaitServing(proxies[i]);
    }
    // The line has to know what usual is.
    for (int n = 0; n < 100; n++) {
      some(proxies[0]);
      some(proxies[1]);
    }
    Rig.awaitAsked(z, Rig.ORIGIN, 8);
    z.server("s2", "s2h.example.", port(u[3]), "127.0.0.1", "started=second", "locality=a");
    Rig.await("its first work", () -> {
      some(proxies[0]);
      some(proxies[1]);
      return !u[3].seen().isEmpty();
    });
    long first = u[3].seen().get(0).atNanos();
    while (System.nanoTime() < first + TimeUnit.SECONDS.toNanos(1)) {
      some(proxies[0]);
      some(proxies[1]);
    }
    long toCold = u[3].seen().stream().filter(s -> s.atNanos() < first + TimeUnit.SECONDS.toNanos(1)).count();
    long toWarm = u[0].seen().stream().filter(s -> s.atNanos() >= first && s.atNanos() < first + TimeUnit.SECONDS.toNanos(1)).count();
    assertTrue(toCold < toWarm, "the cold one got " + toCold + ", a warm one " + toWarm);
    long old = u[2].seen().stream().filter(s -> s.atNanos() > first + GRACE_NANOS).count();
    assertEquals(0, old, "its predecessor gets nothing any more");
  }

  @Test
  void theDnsFrontTakesTheSameSource() throws Exception {
    StandInZone z = rig.zone();
    StandInDns[] d = new StandInDns[2];
    for (int i = 0; i < 2; i++) {
      d[i] = rig.keep(new StandInDns(rig.group, StandInDns.addresses("10.0.0." + i)));
      z.server("d" + i, "d" + i + "h.example.", d[i].address().getPort(), "127.0.0.1", "started=b" + i);
    }
    String section = Rig.section("", "", z).replace("fleet.dnssd", "dns.fleet.dnssd");
    Told told = ConfigFile.parse("test", CLASS + "[fleet]\n[[fleet.server]]\nid = \"x\"\naddress = \"127.0.0.1:1\"\n[dns]\nlisten = \"127.0.0.1:0\"\n"
        + "[[dns.class]]\nname = \"query\"\neffect = \"safe\"\naim_ms = 1000\ndeadline_ms = 3000\n"
        // One client asks as fast as it can: past the usual limit of a prefix it would get no answer to some.
        + "[dns.limits]\nudp_per_prefix_per_s = 0\n[dns.fleet]\n" + section, Told::read);
    DnsServer front = rig.keep(DnsServer.start(told.dns, null, 7));
    SimpleResolver client = new SimpleResolver(front.address());
    client.setTimeout(Duration.ofSeconds(Rig.LIMIT_S));
    AtomicInteger names = new AtomicInteger();
    Rig.await("an answer", () -> answered(client, names));
    z.withdraw("d0");
    Rig.awaitAsked(z, Rig.SERVICE, 1);
    long told0 = System.nanoTime();
    while (System.nanoTime() < told0 + GRACE_NANOS + TimeUnit.MILLISECONDS.toNanos(300)) {
      answered(client, names);
    }
    assertEquals(0, d[0].seen().stream().filter(s -> s.atNanos() > told0 + GRACE_NANOS).count());
    assertTrue(d[1].seen().stream().anyMatch(s -> s.atNanos() > told0 + GRACE_NANOS));
  }

  private static boolean answered(SimpleResolver client, AtomicInteger names) {
    try {
      Message m = client.send(Message.newQuery(Record.newRecord(Name.fromString("n" + names.getAndIncrement() + ".test."), Type.A, 1)));
      return m.getRcode() == Rcode.NOERROR;
    } catch (java.io.IOException e) {
      throw new AssertionError(e);
    }
  }
}
