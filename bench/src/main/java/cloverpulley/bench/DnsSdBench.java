package cloverpulley.bench;

import cloverpulley.Balancer.ListKind;
import cloverpulley.Balancer.Settings;
import cloverpulley.Balancer.Status;
import cloverpulley.Logic;
import cloverpulley.config.ConfigFile;
import cloverpulley.config.InvalidConfigException;
import cloverpulley.config.Section;
import cloverpulley.config.ServiceSection;
import cloverpulley.dnssd.DnsSdConfig;
import cloverpulley.dnssd.DnsSdSource;
import cloverpulley.engine.Attempt;
import cloverpulley.engine.Clock;
import cloverpulley.engine.Engine;
import cloverpulley.engine.Exchange;
import cloverpulley.engine.Fleet;
import cloverpulley.engine.LocalReply;
import cloverpulley.engine.ServerList;
import cloverpulley.standins.StandInDns;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.xbill.DNS.Flags;
import org.xbill.DNS.Message;
import org.xbill.DNS.Name;
import org.xbill.DNS.Rcode;
import org.xbill.DNS.Record;
import org.xbill.DNS.Type;

/**
 * Measures DNS-SD discovery of a fleet in ten domains, with the engine and the decision module behind it: the time to the first endpoint
 * list, the cost at rest, and how long after a change of the zone the last request is sent to a withdrawn server.
 */
public final class DnsSdBench {

  private static final int DOMAINS = 10;
  private static final int RATE = 4000;
  private static final int WITHDRAWN_INSTANCES = 100;
  private static final long GRACE_NANOS = TimeUnit.SECONDS.toNanos(2);
  private static final int REST_SECONDS = 20;
  private static final int CHANGE_SECONDS = 6;

  private record Told(Settings settings, DnsSdConfig dnssd) {
    static Told read(Section file) {
      return new Told(ServiceSection.read(file), DnsSdConfig.read(file.table("fleet").table("dnssd")));
    }
  }

  private record Figures(double firstListMillis, double cpuMillis, double queriesPerMinute, double cpuAtRest, double heapMb,
      double lastSendMillis, long afterWithdrawal, long sent, long queriesForList) {}

  private DnsSdBench() {}

  /** {@code [--instances N]}: the size of the fleet, 10,000 by default. */
  public static void main(String[] args) throws Exception {
    int instances = args.length == 2 && args[0].equals("--instances") ? Integer.parseInt(args[1]) : 10_000;
    run(100, 0, false); // JIT warm-up for the measured runs.
    run(1000, 0, false);
    run(1000, 0, false);
    Figures small = run(100, 0, false);
    Figures large = run(instances, REST_SECONDS, true);
    double timers = TimersBench.ratio(3 * instances);
    double growth = large.cpuMillis / instances / (small.cpuMillis / 100);
    System.out.printf(Locale.ROOT, "100 instances: first list %.0f ms, %.0f ms of CPU; %d: %.0f ms, %.0f ms of CPU, %d queries%n",
        small.firstListMillis, small.cpuMillis, instances, large.firstListMillis, large.cpuMillis, large.queriesForList);
    System.out.printf(Locale.ROOT, "{\"instances\":%d,\"first_list_ms\":%.0f,\"change_to_last_send_ms\":%.0f,\"queries_per_min\":%.0f,"
        + "\"growth\":%.2f,\"after_withdrawal\":%d,\"cpu_at_rest\":%.4f,\"heap_mb\":%.1f,\"sent\":%d,\"queue_over_wheel\":%.2f}%n", instances, large.firstListMillis,
        large.lastSendMillis, large.queriesPerMinute, growth, large.afterWithdrawal, large.cpuAtRest, large.heapMb, large.sent, timers);
    System.exit(0);
  }

  // ---- The zones -----------------------------------------------------------------------------------------

  /** Ten zones at one address, answered from maps. */
  private static final class Zones {
    final Map<String, List<String>> records = new ConcurrentHashMap<>();
    final Map<String, Long> serials = new ConcurrentHashMap<>();

    Zones(int instances) {
      for (int d = 0; d < DOMAINS; d++) {
        String zone = "d" + d + ".test.";
        serials.put(zone, 1L);
        List<String> pointers = new ArrayList<>();
        for (int i = d; i < instances; i += DOMAINS) {
          String name = "q" + i + "._quote._tcp." + zone;
          pointers.add(name);
          records.put(name + " SRV", List.of("0 0 8000 h" + i + "." + zone));
          records.put(name + " TXT", List.of("\"started=b" + i + "\" \"locality=a\" \"cell=" + i / 4 + "\""));
          records.put("h" + i + "." + zone + " A", List.of(address(i)));
        }
        records.put("_quote._tcp." + zone + " PTR", pointers);
      }
    }

    static String address(int i) {
      return "127." + (1 + i / 62_500) + '.' + i / 250 % 250 + '.' + (1 + i % 250);
    }

    /** Removes the first {@code count} instances of a domain from its list. */
    void withdraw(String zone, int count) {
      records.computeIfPresent("_quote._tcp." + zone + " PTR", (n, all) -> List.copyOf(all.subList(count, all.size())));
      serials.merge(zone, 1L, Long::sum);
    }

    void answer(StandInDns.ReceivedQuery query) {
      try {
        Record q = query.message().getQuestion();
        String name = query.name();
        String type = Type.string(q.getType());
        Message m = query.answer(Rcode.NOERROR);
        m.getHeader().setFlag(Flags.AA);
        List<String> matchingData = type.equals("SOA") && serials.containsKey(name)
            ? List.of("ns." + name + " admin." + name + ' ' + serials.get(name) + " 60 10 3600 5") : records.getOrDefault(name + ' ' + type, List.of());
        for (String data : matchingData) {
          m.addRecord(Record.fromString(q.getName(), q.getType(), 1, 120, data, Name.root), org.xbill.DNS.Section.ANSWER);
        }
        byte[] wire = m.toWire(65_535);
        query.reply(!query.isTcp() && wire.length > 1232 ? query.truncated() : wire);
      } catch (IOException e) {
        throw new IllegalStateException(e);
      }
    }
  }

  // ---- One run -------------------------------------------------------------------------------------------

  private static <T> T runOn(EventLoop loop, Callable<T> task) throws InterruptedException, ExecutionException {
    return loop.submit(task).get();
  }

  private static long heap() {
    System.gc();
    System.gc();
    return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
  }

  private static Figures run(int instances, int restSeconds, boolean change) throws Exception {
    var serving = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    var group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    EventLoop loop = group.next();
    Zones zones = new Zones(instances);
    try (StandInDns server = new StandInDns(serving, zones::answer)) {
      Told config = told(server);
      long heapBefore = heap();
      long thread = runOn(loop, () -> Thread.currentThread().getId());
      var threads = ManagementFactory.getThreadMXBean();
      long cpuBefore = threads.getThreadCpuTime(thread);
      long start = System.nanoTime();
      Fixture fixture = runOn(loop, () -> new Fixture(loop, config));
      int expectedMembers = instances;
      while (runOn(loop, () -> fixture.fleet.list().members().size()) < expectedMembers) {
        if (System.nanoTime() - start > TimeUnit.SECONDS.toNanos(120)) {
          throw new IllegalStateException("no list of " + expectedMembers + " in two minutes: " + runOn(loop,
              () -> fixture.fleet.list().members().size()));
        }
        TimeUnit.MILLISECONDS.sleep(5);
      }
      double first = (System.nanoTime() - start) / 1e6;
      double cpu = (threads.getThreadCpuTime(thread) - cpuBefore) / 1e6;
      long queries = runOn(loop, () -> fixture.source.queryCounts()[0]);
      double perMinute = 0;
      double atRest = 0;
      double heap = 0;
      if (restSeconds > 0) {
        heap = (heap() - heapBefore) / 1e6;
        long cpuAt = threads.getThreadCpuTime(thread);
        long restAt = System.nanoTime();
        long queriesBefore = runOn(loop, () -> fixture.source.queryCounts()[0]);
        TimeUnit.SECONDS.sleep(restSeconds);
        perMinute = (runOn(loop, () -> fixture.source.queryCounts()[0]) - queriesBefore) * 60e9 / (System.nanoTime() - restAt);
        atRest = (threads.getThreadCpuTime(thread) - cpuAt) / (double) (System.nanoTime() - restAt);
      }
      double last = 0;
      long sentAfterGrace = 0;
      if (change) {
        fixture.generateLoad(TimeUnit.SECONDS.toMillis(3));
        long changedAt = System.nanoTime();
        zones.withdraw("d3.test.", WITHDRAWN_INSTANCES);
        fixture.generateLoad(TimeUnit.SECONDS.toMillis(CHANGE_SECONDS));
        for (int k = 0; k < WITHDRAWN_INSTANCES; k++) {
          long at = fixture.lastSend.getOrDefault(Zones.address(3 + k * DOMAINS), 0L);
          last = Math.max(last, (at - changedAt) / 1e6);
          sentAfterGrace += at > changedAt + GRACE_NANOS ? 1 : 0;
        }
      }
      Figures f = new Figures(first, cpu, perMinute, atRest, heap, last, sentAfterGrace, fixture.sent.get(), queries);
      runOn(loop, () -> {
        fixture.source.close();
        return null;
      });
      return f;
    } finally {
      group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
      serving.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
  }

  private static Told told(StandInDns server) throws InvalidConfigException {
    StringBuilder domains = new StringBuilder();
    for (int d = 0; d < DOMAINS; d++) {
      domains.append(d == 0 ? "" : ", ").append("\"d").append(d).append(".test\"");
    }
    return ConfigFile.parse("bench", """
        [service]
        zone = "a"
        most_in_hand = 100000
        [[class]]
        name = "rate-lookup"
        effect = "safe"
        aim_ms = 400
        deadline_ms = 2000
        [fleet.dnssd]
        domains = [%s]
        [[fleet.dnssd.resolver]]
        address = "127.0.0.1:%d"
        """.formatted(domains, server.address().getPort()), Told::read);
  }

  /** The source with an engine and the module behind it; every request is served after a fixed delay by whichever server it is sent to. */
  private static final class Fixture {
    final EventLoop loop;
    final Clock clock = new Clock();
    final Fleet fleet = new Fleet(clock);
    final Settings settings;
    final DnsSdSource source;
    final Engine engine;
    final Map<String, Long> lastSend = new ConcurrentHashMap<>();
    final AtomicLong sent = new AtomicLong();

    Fixture(EventLoop loop, Told config) {
      this.loop = loop;
      settings = config.settings;
      Engine[] engineHolder = new Engine[1];
      source = new DnsSdSource(loop, config.dnssd, ServerList.EMPTY, fleet::revision, (kind, list) -> engineHolder[0].serverListUpdated(kind, list),
          7);
      engine = new Engine(loop, clock, settings, n -> new Logic(settings, 7 + n), fleet, source, (to, data) -> { });
      engineHolder[0] = engine;
      engine.serverListUpdated(ListKind.CACHED, ServerList.EMPTY);
    }

    /** Sends requests at a constant rate, in batches of 10 ms. */
    void generateLoad(long millis) throws InterruptedException {
      for (long slice = 0; slice < millis / 10; slice++) {
        loop.execute(() -> {
          for (int i = 0; i < RATE / 100; i++) {
            sendRequest();
          }
        });
        TimeUnit.MILLISECONDS.sleep(10);
      }
    }

    private void sendRequest() {
      long now = clock.now();
      engine.accept(new Exchange(new Exchange.RequestInfo(settings.classes().get(0), null, null, 0, false, now + TimeUnit.SECONDS.toNanos(2), 0,
          List.of())) {
        @Override
        protected Attempt.CancelHandle startAttempt(Attempt attempt, SocketAddress address, long timeoutNanos) {
          lastSend.put(((InetSocketAddress) address).getHostString(), System.nanoTime());
          sent.incrementAndGet();
          loop.schedule(() -> engine.attemptEnded(attempt, Status.SERVED, new HashMap<>(), this::served), 5, TimeUnit.MILLISECONDS);
          return () -> { };
        }

        private void served() {
          end();
        }

        @Override
        protected void respond(LocalReply reply) {
          // A rejected request is not sent.
        }
      });
    }
  }
}
