package cloverpulley.incident.tool;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cloverpulley.Balancer.Settings;
import cloverpulley.config.ConfigFile;
import cloverpulley.config.Section;
import cloverpulley.config.ServiceSection;
import cloverpulley.dns.DnsConfig;
import cloverpulley.dns.DnsServer;
import cloverpulley.fleet.FleetSource;
import cloverpulley.incident.Audit;
import cloverpulley.incident.Clocks;
import cloverpulley.incident.Entry;
import cloverpulley.incident.Timeline;
import cloverpulley.load.Driver.Outcome;
import cloverpulley.load.LoadRun;
import cloverpulley.load.Plan;
import cloverpulley.load.Results;
import cloverpulley.processor.ProcessorConfig;
import cloverpulley.processor.ProcessorServer;
import cloverpulley.records.Archive;
import cloverpulley.records.Recorder;
import cloverpulley.records.RecordsConfig;
import cloverpulley.standins.StandInDiscovery;
import cloverpulley.standins.StandInDns;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * An incident over sockets: two processors and two DNS frontends with one fleet, and clocks up to 40 s apart. Servers drain and crash, one
 * starts cold, for a moment none is ready, and a processor restarts. The analysis must count exactly what the load generators counted.
 */
@Timeout(120)
class ScriptedIncidentTest {

  private static final long INTERVAL_S = 6;
  private static final long S = 1_000_000L;

  private static final String SERVICE = """
      [service]
      zone = "a"
      processes = 1
      [[class]]
      name = "rate-lookup"
      effect = "safe"
      aim_ms = 400
      deadline_ms = 2000
      [[class]]
      name = "quote-issue"
      effect = "keyed"
      dedup_window_ms = 2000
      aim_ms = 750
      deadline_ms = 2000
      [[class]]
      name = "dealer-notice"
      effect = "unsafe"
      aim_ms = 750
      deadline_ms = 2000
      [[tenant]]
      name = "steppe-auto"
      share = 0.5
      [[tenant]]
      name = "agro-tehnika"
      share = 0.3
      [processor]
      listen = "127.0.0.1:0"
      lame_ms = 0
      [fleet]
      discovery = "DISCOVERY"
      [dns]
      listen = "127.0.0.1:0"
      lame_ms = 0
      [dns.service]
      zone = "a"
      [[dns.class]]
      name = "query"
      effect = "safe"
      aim_ms = 300
      deadline_ms = 1500
      [[dns.class]]
      name = "change"
      effect = "unsafe"
      aim_ms = 300
      deadline_ms = 1500
      [dns.upstream]
      attempt_ms = 200
      [dns.limits]
      udp_per_prefix_per_s = 0
      [dns.fleet]
      discovery = "DISCOVERY"
      """;

  private static final String PLAN = """
      [load]
      seed = SEED
      seconds = 2.5
      rate = 120.0
      [load.target]
      protocol = "PROTOCOL"
      address = "ADDRESS"
      connections = 4
      CLASSES
      """;

  private static final String QUOTES = """
      [[load.class]]
      name = "rate-lookup"
      effect = "safe"
      share = 5.0
      deadline_ms = 2000.0
      [[load.class]]
      name = "quote-issue"
      effect = "keyed"
      share = 3.0
      deadline_ms = 2000.0
      [[load.class]]
      name = "dealer-notice"
      effect = "unsafe"
      share = 1.0
      deadline_ms = 2000.0
      [[load.tenant]]
      name = "steppe-auto"
      share = 2.0
      [[load.tenant]]
      name = "agro-tehnika"
      share = 1.0
      """;

  private static final String QUESTIONS = """
      [[load.class]]
      name = "query"
      effect = "safe"
      share = 9.0
      deadline_ms = 3000.0
      [[load.class]]
      name = "change"
      effect = "unsafe"
      share = 1.0
      deadline_ms = 3000.0
      """;

  private record ParsedConfig(Settings settings, ProcessorConfig processor, FleetSource fleet, DnsConfig dns) {
    static ParsedConfig read(Section file) {
      Settings settings = ServiceSection.read(file);
      return new ParsedConfig(settings, ProcessorConfig.read(file.table("processor"), 1), FleetSource.read(file.table("fleet")),
          DnsConfig.read(file.table("dns"), settings));
    }
  }

  @TempDir
  Path folder;

  private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
  private final Map<String, AtomicLong> generatorCounts = new ConcurrentHashMap<>();
  private final Map<String, StandInDns> servers = new TreeMap<>();
  private ParsedConfig config;

  private Recorder recorder(String instance, String front, Settings settings, long offsetMicros, double ppm) {
    return Recorder.withClockSkew(RecordsConfig.of(folder.resolve(instance), instance), front, settings, offsetMicros, ppm);
  }

  private Plan plan(String protocol, InetSocketAddress address, long seed) throws Exception {
    return ConfigFile.parse("plan", PLAN.replace("SEED", "" + seed).replace("PROTOCOL", protocol)
        .replace("ADDRESS", "127.0.0.1:" + address.getPort()).replace("CLASSES", protocol.equals("ext_proc") ? QUOTES : QUESTIONS),
        Plan::read);
  }

  /** Runs a plan, and adds what its generator counted to the counts of the interval. */
  private void runPlan(Plan plan, Recorder caller, long interval) {
    try {
      Results results = LoadRun.run(plan, r -> { }, (planned, id, outcome, took) -> {
        String type = plan.classes().get(planned.classIndex()).name();
        String tenant = plan.tenants().get(planned.tenantIndex()).name();
        int answer = outcome == Outcome.SERVED ? Entry.SERVED : outcome == Outcome.REFUSED ? Entry.REFUSED
            : outcome == Outcome.FAILED ? Entry.FAILED : Entry.GONE;
        generatorCounts.computeIfAbsent(interval + " " + type + " " + tenant + " " + answer, k -> new AtomicLong()).incrementAndGet();
        if (plan.target().protocol() == Plan.Protocol.EXT_PROC) {
          caller.recordCall(id, type, tenant, answer, took);
        }
      });
      assertEquals(results.all.requests, results.all.completed());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Waits for the next start of the load within an interval, away from its edges. Returns the start of the interval in microseconds. */
  private static long awaitStart() throws InterruptedException {
    long period = INTERVAL_S * 1000;
    long now = System.currentTimeMillis();
    long start = Math.floorDiv(now, period) * period + 1500;
    start += start < now ? period : 0;
    TimeUnit.MILLISECONDS.sleep(start - now);
    return (start - 1500) * 1000;
  }

  private void phase(Recorder caller, ExecutorService threads, List<Plan> plans, Script script) throws Exception {
    long interval = awaitStart();
    List<CompletableFuture<Void>> runs = new ArrayList<>();
    plans.forEach(p -> runs.add(CompletableFuture.runAsync(() -> runPlan(p, caller, interval), threads)));
    script.run();
    for (CompletableFuture<Void> r : runs) {
      r.get(60, TimeUnit.SECONDS);
    }
  }

  private interface Script {
    void run() throws Exception;
  }

  private void set(StandInDiscovery discovery, String id, String phase, long started) {
    discovery.set(id, servers.get(id).hostPort(), 0, phase, started);
  }

  @Test
  void analysisCountsWhatTheGeneratorsCounted() throws Exception {
    try (StandInDiscovery discovery = new StandInDiscovery(group)) {
      for (int i = 0; i < 5; i++) {
        servers.put("d" + i, new StandInDns(group, StandInDns.addresses("10.0.0.1")));
        set(discovery, "d" + i, "ready", 0);
      }
      config = ConfigFile.parse("test", SERVICE.replace("DISCOVERY", discovery.address()), ParsedConfig::read);
      incident(discovery);
    } finally {
      servers.values().forEach(StandInDns::close);
      group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
    check();
  }

  private void incident(StandInDiscovery discovery) throws Exception {
    ExecutorService threads = Executors.newCachedThreadPool();
    Recorder caller = Recorder.forCaller(folder.resolve("caller"), "caller");
    Recorder r1 = recorder("p1", "process", config.settings(), -40 * S, 200);
    Recorder r2 = recorder("p2", "process", config.settings(), 0, 0);
    Recorder r3 = recorder("n1", "dns", config.dns().settings(), 3 * S, -100);
    Recorder r4 = recorder("n2", "dns", config.dns().settings(), 0, 0);
    ProcessorServer p1 = ProcessorServer.start(config.processor(), config.settings(), config.fleet(), 1, r1);
    ProcessorServer p2 = ProcessorServer.start(config.processor(), config.settings(), config.fleet(), 2, r2);
    DnsServer n1 = DnsServer.start(config.dns(), null, 3, r3);
    DnsServer n2 = DnsServer.start(config.dns(), null, 4, r4);
    phase(caller, threads, List.of(plan("ext_proc", p1.address(), 11), plan("ext_proc", p2.address(), 12),
        plan("dns_udp", n1.address(), 13), plan("dns_tcp", n2.address(), 14)), () -> {
          TimeUnit.MILLISECONDS.sleep(500);
          set(discovery, "d0", "draining", 0);
          TimeUnit.MILLISECONDS.sleep(500);
          servers.get("d1").close();
          servers.get("d2").close();
        });
    // The second processor stops cleanly and restarts under its old name.
    p2.stop();
    r2.close();
    Recorder r5 = recorder("p2", "process", config.settings(), 0, 0);
    ProcessorServer p3 = ProcessorServer.start(config.processor(), config.settings(), config.fleet(), 5, r5);
    phase(caller, threads, List.of(plan("ext_proc", p1.address(), 21), plan("ext_proc", p3.address(), 22),
        plan("dns_udp", n2.address(), 23), plan("dns_tcp", n1.address(), 24)), () -> {
          set(discovery, "d1", "gone", 0);
          set(discovery, "d2", "gone", 0);
          servers.put("d5", new StandInDns(group, StandInDns.addresses("10.0.0.1")));
          set(discovery, "d5", "ready", System.currentTimeMillis());
          TimeUnit.MILLISECONDS.sleep(800);
          for (String d : List.of("d3", "d4", "d5")) {
            set(discovery, d, "draining", 0);
          }
          TimeUnit.MILLISECONDS.sleep(400);
          for (String d : List.of("d3", "d4", "d5")) {
            set(discovery, d, "ready", 0);
          }
        });
    p1.stop();
    p3.stop();
    n1.stop();
    n2.stop();
    List.of(r1, r3, r4, r5, caller).forEach(Recorder::close);
    threads.shutdown();
  }

  private void check() throws Exception {
    IncidentAnalysis analysis = new IncidentAnalysis(new Archive(List.of(folder)),
        new IncidentAnalysis.Options(Long.MIN_VALUE, Long.MAX_VALUE, INTERVAL_S * S, "caller", Audit.Limits.DEFAULT), n -> { });
    // Clocks: the true offset lies within the bounds, give or take 20 ms.
    Clocks clocks = analysis.clocks;
    for (Timeline.Incarnation l : analysis.timeline.incarnations()) {
      long off = Map.of("p1", 40 * S, "n1", -3 * S).getOrDefault(l.origin.instance(), 0L);
      Clocks.Offset o = clocks.offset(l.origin.instance(), l.first);
      assertTrue(o.isKnown() && o.min() - 20_000 <= off && off <= o.max() + 20_000, l.origin + " " + o);
    }
    assertTrue(clocks.order("p1", analysis.timeline.incarnations().get(0).first, "p2", analysis.timeline.incarnations().get(0).first + 60 * S) < 0);
    // Counts by interval, class, tenant and result.
    Map<String, Long> counted = new TreeMap<>();
    analysis.timeline.answerCounts().forEach((c, n) -> counted.merge(c.interval() + " " + c.className() + " " + c.tenant() + " " + c.answer(), n,
        Long::sum));
    Map<String, Long> expected = new TreeMap<>();
    generatorCounts.forEach((k, n) -> expected.put(k, n.get()));
    assertEquals(expected, counted);
    assertTrue(expected.values().stream().mapToLong(n -> n).sum() > 1500, "enough requests: " + expected);
    assertTrue(expected.keySet().stream().anyMatch(k -> !k.endsWith(" 0")), "some requests not served: " + expected);
    assertEquals(Map.of(), analysis.timeline.callerOnly());
    assertEquals(0, analysis.timeline.unresolvedRequests());
    // The rules, checked from the records alone.
    Map<Audit.Check, Long> checked = analysis.audit.checkCounts();
    assertEquals(List.of(), analysis.audit.findings());
    checked.forEach((check, n) -> assertTrue(n > 0, check + " was never exercised"));
    List<Timeline.Gap> gaps = analysis.timeline.gaps(clocks);
    assertEquals(1, gaps.size(), gaps.toString());
    assertTrue(gaps.get(0).instance().equals("p2") && gaps.get(0).reason().contains("between a stop"), gaps.toString());
    checkPage(analysis);
    checkExplanation(analysis);
  }

  private void checkPage(IncidentAnalysis analysis) throws Exception {
    String html = new HtmlReport(analysis).html();
    Files.writeString(folder.resolve("incident.html"), html);
    for (String part : List.of("agro-tehnika", "between a stop and the next start", "1 one final answer each", "d5", "cold", "no_upstream",
        "What came before")) {
      assertTrue(html.contains(part), part);
    }
    assertFalse(html.contains("<script"));
  }

  private void checkExplanation(IncidentAnalysis analysis) throws Exception {
    String[] one = new String[1];
    analysis.archive.read(cloverpulley.incident.Query.of("kind=answered and class=quote-issue and instance=p1"), e -> one[0] = e.id(),
        n -> { });
    List<String> lines = new ArrayList<>();
    assertTrue(new RequestExplainer(analysis.archive, one[0]).explain(lines::add));
    String all = String.join("\n", lines);
    assertTrue(all.contains("taken as quote-issue") && all.contains("answered: served"), all);
    assertTrue(all.matches("(?s).*attempt 0 to d\\d \\(.*\\d ready.*"), all);
    assertFalse(new RequestExplainer(analysis.archive, "nobody's").explain(lines::add));
    Map<String, Integer> order = new HashMap<>();
    for (int i = 0; i < lines.size(); i++) {
      order.putIfAbsent(lines.get(i).replaceAll(".*ms: (\\w+).*", "$1"), i);
    }
    assertTrue(order.get("taken") < order.get("answered"), all);
  }
}
