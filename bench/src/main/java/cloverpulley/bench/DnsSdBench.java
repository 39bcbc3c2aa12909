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
 * A fleet of ten domains found through DNS-SD, with the engine and the decision module behind it: how long a first list takes, what
 * it costs at rest, and how long after a change in the zone the last request goes to a server that was withdrawn.
 */
public final class DnsSdBench {

  private static final int DOMAINS = 10;
  private static final int RATE = 4000;
  private static final int WITHDRAWN = 100;
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

  /** Runs it; {@code --instances N} for other than 10,000. */
  public static void main(String[] args) throws Exception {
    int instances = args.length == 2 && args[0].equals("--instances") ? Integer.parseInt(args[1]) : 10_000;
    run(100, 0, false); // Compiles what the others measure.
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

  /** Ten zones behind one address, answered from maps. */
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

    /** The first so many of a domain leave its list. */
    void withdraw(String zone, int most) {
      records.computeIfPresent("_quote._tcp." + zone + " PTR", (n, all) -> List.copyOf(all.subList(most, all.size())));
      serials.merge(zone, 1L, Long::sum);
    }

    void answer(StandInDns.ReceivedQuery a) {
      try {
        Record q = a.message().getQuestion();
        String name = a.name();
        String type = Type.string(q.getType());
        Message m = a.answer(Rcode.NOERROR);
        m.getHeader().setFlag(Flags.AA);
        List<String> found = type.equals("SOA") && serials.containsKey(name)
            ? List.of("ns." + name + " admin." + name + ' ' + serials.get(name) + " 60 10 3600 5") : records.getOrDefault(name + ' ' + type, List.of());
        for (String data : found) {
          m.addRecord(Record.fromString(q.getName(), q.getType(), 1, 120, data, Name.root), org.xbill.DNS.Section.ANSWER);
        }
        byte[] wire = m.toWire(65_535);
        a.reply(!a.isTcp() && wire.length > 1232 ? a.truncated() : wire);
      } catch (IOException e) {
        throw new IllegalStateException(e);
      }
    }
  }

  // ---- One run -------------------------------------------------------------------------------------------

  private static <T> T on(EventLoop loop, Callable<T> task) throws InterruptedException, ExecutionException {
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
      Told told = told(server);
      long heapBefore = heap();
      long thread = on(loop, () -> Thread.currentThread().getId());
      var threads = ManagementFactory.getThreadMXBean();
      long cpuBefore = threads.getThreadCpuTime(thread);
      long start = System.nanoTime();
      Rig rig = on(loop, () -> new Rig(loop, told));
      int wanted = instances;
      while (on(loop, () -> rig.fleet.list().members().size()) < wanted) {
        if (System.nanoTime() - start > TimeUnit.SECONDS.toNanos(120)) {
          throw new IllegalStateException("no list of " + wanted + " in two minutes: " + on(loop, () -> rig.fleet.list().members().size()));
        }
        TimeUnit.MILLISECONDS.sleep(5);
      }
      double first = (System.nanoTime() - start) / 1e6;
      double cpu = (threads.getThreadCpuTime(thread) - cpuBefore) / 1e6;
      long queries = on(loop, () -> rig.source.queryCounts()[0]);
      double perMinute = 0;
      double atRest = 0;
      double heap = 0;
      if (restSeconds > 0) {
        heap = (heap() - heapBefore) / 1e6;
        long cpuAt = threads.getThreadCpuTime(thread);
        long restAt = System.nanoTime();
        long asked = on(loop, () -> rig.source.queryCounts()[0]);
        TimeUnit.SECONDS.sleep(restSeconds);
        perMinute = (on(loop, () -> rig.source.queryCounts()[0]) - asked) * 60e9 / (System.nanoTime() - restAt);
        atRest = (threads.getThreadCpuTime(thread) - cpuAt) / (double) (System.nanoTime() - restAt);
      }
      double last = 0;
      long late = 0;
      if (change) {
        rig.load(TimeUnit.SECONDS.toMillis(3));
        long changedAt = System.nanoTime();
        zones.withdraw("d3.test.", WITHDRAWN);
        rig.load(TimeUnit.SECONDS.toMillis(CHANGE_SECONDS));
        for (int k = 0; k < WITHDRAWN; k++) {
          long at = rig.lastSend.getOrDefault(Zones.address(3 + k * DOMAINS), 0L);
          last = Math.max(last, (at - changedAt) / 1e6);
          late += at > changedAt + GRACE_NANOS ? 1 : 0;
        }
      }
      Figures f = new Figures(first, cpu, perMinute, atRest, heap, last, late, rig.sent.get(), queries);
      on(loop, () -> {
        rig.source.close();
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

  /** The source with an engine and the module behind it, and requests that are served after a while wherever they go. */
  private static final class Rig {
    final EventLoop loop;
    final Clock clock = new Clock();
    final Fleet fleet = new Fleet(clock);
    final Settings settings;
    final DnsSdSource source;
    final Engine engine;
    final Map<String, Long> lastSend = new ConcurrentHashMap<>();
    final AtomicLong sent = new AtomicLong();

    Rig(EventLoop loop, Told told) {
      this.loop = loop;
      settings = told.settings;
      Engine[] made = new Engine[1];
      source = new DnsSdSource(loop, told.dnssd, ServerList.EMPTY, fleet::revision, (kind, list) -> made[0].serverListUpdated(kind, list), 7);
      engine = new Engine(loop, clock, settings, n -> new Logic(settings, 7 + n), fleet, source, (to, data) -> { });
      made[0] = engine;
      engine.serverListUpdated(ListKind.CACHED, ServerList.EMPTY);
    }

    /** Requests at an even rate, a hundredth of a second's at a time. */
    void load(long millis) throws InterruptedException {
      for (long slice = 0; slice < millis / 10; slice++) {
        loop.execute(() -> {
          for (int i = 0; i < RATE / 100; i++) {
            take();
          }
        });
        TimeUnit.MILLISECONDS.sleep(10);
      }
    }

    private void take() {
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
        protected void respond(LocalReply verdict) {
          // A refusal is no send.
        }
      });
    }
  }
}
