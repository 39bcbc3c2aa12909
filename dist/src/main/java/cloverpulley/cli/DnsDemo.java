package cloverpulley.cli;

import cloverpulley.standins.StandInDiscovery;
import cloverpulley.standins.StandInDns;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.HdrHistogram.ConcurrentHistogram;
import org.xbill.DNS.DClass;
import org.xbill.DNS.Message;
import org.xbill.DNS.Name;
import org.xbill.DNS.Opcode;
import org.xbill.DNS.Rcode;
import org.xbill.DNS.Record;
import org.xbill.DNS.Section;
import org.xbill.DNS.SimpleResolver;
import org.xbill.DNS.Type;
import org.xbill.DNS.Update;

/** The demo's DNS part: queries and updates over UDP and TCP through {@code ashdeck dns}, with a drain, a crash and a restart. */
final class DnsDemo {

  private static final long SEED = 20261201;
  private static final long DRAIN_GRACE_NANOS = TimeUnit.SECONDS.toNanos(2);
  private static final int DEADLINE_MS = 2000;
  /** The client's timeout, past the deadline of all classes. */
  private static final int CLIENT_TIMEOUT_MS = 3000;
  private static final int RETRY_DELAY_MS = 20;
  private static final int SERVERS = 4;
  private static final int NAME_COUNT = 300;
  private static final double UPDATE_RATIO = 0.1;
  private static final double TCP_RATIO = 0.2;

  private static final String CONFIG = """
      [dns]
      listen = "127.0.0.1:PORT"
      lame_ms = 300
      [dns.service]
      zone = "a"
      [[dns.class]]
      name = "query"
      effect = "safe"
      aim_ms = 300
      deadline_ms = 2000
      [[dns.class]]
      name = "change"
      effect = "unsafe"
      aim_ms = 500
      deadline_ms = 2000
      [dns.upstream]
      attempt_ms = 300
      [dns.limits]
      udp_per_prefix_per_s = 0
      [dns.fleet]
      discovery = "DISCOVERY"
      state_file = "STATE"
      [records]
      folder = "RECORDS"
      instance = "dns"
      """;

  private final int seconds;
  private final int rate;
  private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final Map<String, StandInDns> servers = new HashMap<>();
  private final Map<String, AtomicInteger> outcomes = new TreeMap<>();
  private final Map<String, AtomicInteger> updates = new HashMap<>();
  private final ConcurrentHistogram latency = new ConcurrentHistogram(TimeUnit.MINUTES.toMicros(1), 3);
  private final AtomicInteger unanswered = new AtomicInteger();
  private final AtomicInteger late = new AtomicInteger();
  private long drainedAt;
  private int restartStatus = -1;

  DnsDemo(int seconds, int rate) {
    this.seconds = seconds;
    this.rate = rate;
  }

  /** Runs the demo and returns whether all rules held. */
  boolean run(PrintStream out) throws IOException, InterruptedException {
    Path folder = Files.createTempDirectory("ashdeck-demo-dns");
    Path log = folder.resolve("dns.log");
    try (StandInDiscovery discovery = new StandInDiscovery(group)) {
      for (int i = 0; i < SERVERS; i++) {
        StandInDns server = new StandInDns(group, this::serve);
        servers.put("d" + i, server);
        discovery.set("d" + i, server.hostPort(), i, "ready", 0);
      }
      String template = CONFIG.replace("DISCOVERY", discovery.address()).replace("STATE", folder.resolve("held.json").toString())
          .replace("RECORDS", folder.resolve("records").toString());
      Path config = Files.writeString(folder.resolve("operators.toml"), template.replace("PORT", "0"));
      out.println("ashdeck demo, DNS: " + SERVERS + " servers, " + rate + " queries and updates per second for " + seconds
          + " s over UDP and TCP, seed " + SEED);
      try (CommandProcess first = new CommandProcess("dns", config, log)) {
        Path successor = Files.writeString(folder.resolve("successor.toml"), template.replace("PORT", "" + first.address().getPort()));
        runLoad(out, discovery, first, successor, log);
      }
    } finally {
      servers.values().forEach(StandInDns::close);
      group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
    boolean passed = report(out, log);
    DemoReport.write(out, folder);
    return passed;
  }

  private void serve(StandInDns.ReceivedQuery request) {
    if (request.message().getHeader().getOpcode() == Opcode.UPDATE) {
      updates.computeIfAbsent(request.message().getSection(Section.UPDATE).get(0).getName().toString(), n -> new AtomicInteger())
          .incrementAndGet();
      request.replyAfter(10, request.answer(0));
    } else {
      request.replyAfter(5, request.address(1, "10.0.0.1"));
    }
  }

  private void runLoad(PrintStream out, StandInDiscovery discovery, CommandProcess first, Path successor, Path log)
      throws IOException, InterruptedException {
    SplittableRandom random = new SplittableRandom(SEED);
    SimpleResolver udp = resolver(first.address(), false);
    SimpleResolver tcp = resolver(first.address(), true);
    int count = seconds * rate;
    CountDownLatch pending = new CountDownLatch(count);
    List<CommandProcess> successors = new ArrayList<>();
    Thread restart = null;
    int lastQuarter = 0;
    long start = System.nanoTime();
    for (int i = 0; i < count; i++) {
      long intended = start + (long) (i * 1e9 / rate);
      while (System.nanoTime() < intended) {
        TimeUnit.NANOSECONDS.sleep(Math.min(1_000_000, Math.max(1, intended - System.nanoTime())));
      }
      boolean update = random.nextDouble() < UPDATE_RATIO;
      send(update || random.nextDouble() < TCP_RATIO ? tcp : udp, update ? update(i) : query(random.nextInt(NAME_COUNT)),
          update ? "change" : "question", intended, pending, 1);
      int quarter = (int) (4L * i / count);
      if (quarter > lastQuarter) {
        lastQuarter = quarter;
        String timestamp = String.format("%5.1f s  ", (System.nanoTime() - start) / 1e9);
        if (quarter == 1) {
          discovery.set("d0", servers.get("d0").hostPort(), 0, "draining", 0);
          drainedAt = System.nanoTime();
          out.println(timestamp + "d0 is draining");
        } else if (quarter == 2) {
          servers.get("d1").close();
          out.println(timestamp + "d1 crashes, but is still listed as ready");
        } else {
          discovery.set("d1", servers.get("d1").hostPort(), 1, "gone", 0);
          restart = new Thread(() -> {
            try {
              successors.add(new CommandProcess("dns", successor, log));
              first.terminate();
              restartStatus = first.await();
            } catch (IOException e) {
              out.println("         " + e.getMessage());
            } catch (InterruptedException e) {
              Thread.currentThread().interrupt();
            }
          }, "restart");
          restart.start();
          out.println(timestamp + "d1 is removed from the list; the DNS server is restarted on the same port");
        }
      }
    }
    pending.await(CLIENT_TIMEOUT_MS * 4L, TimeUnit.MILLISECONDS);
    unanswered.addAndGet((int) pending.getCount());
    if (restart != null) {
      restart.join();
    }
    successors.forEach(CommandProcess::terminate);
    for (CommandProcess child : successors) {
      child.await();
    }
  }

  private static SimpleResolver resolver(InetSocketAddress address, boolean tcp) {
    SimpleResolver r = new SimpleResolver(address);
    r.setTCP(tcp);
    r.setTimeout(Duration.ofMillis(CLIENT_TIMEOUT_MS));
    return r;
  }

  private static Message query(int n) throws IOException {
    return Message.newQuery(Record.newRecord(Name.fromString("n" + n + ".demo.test."), Type.A, DClass.IN));
  }

  private static Message update(int n) throws IOException {
    Update update = new Update(Name.fromString("demo.test."));
    update.add(Record.fromString(Name.fromString("c" + n + ".demo.test."), Type.A, DClass.IN, 60, "10.9.9.9", Name.root));
    return update;
  }

  /** Sends a message. An unanswered query is retried once, as stub resolvers do: a datagram may be lost with the predecessor's socket. */
  private void send(SimpleResolver resolver, Message m, String kind, long intended, CountDownLatch pending, int retries) {
    resolver.sendAsync(m).whenComplete((answer, failed) -> {
      if (failed != null && retries > 0 && kind.equals("question")) {
        count("question asked once more");
        // Delayed and on another thread: at this point the client library has not released the broken connection yet and would reuse it.
        CompletableFuture.delayedExecutor(RETRY_DELAY_MS, TimeUnit.MILLISECONDS)
            .execute(() -> send(resolver, m, kind, System.nanoTime(), pending, 0));
        return;
      }
      long micros = (System.nanoTime() - intended) / 1000;
      latency.recordValue(Math.min(micros, latency.getHighestTrackableValue()));
      late.addAndGet(failed == null && micros > DEADLINE_MS * 1000L ? 1 : 0);
      // A connection may be closed with the predecessor: whether an update was applied is unknown then, so it is not retried.
      unanswered.addAndGet(failed != null && kind.equals("question") ? 1 : 0);
      count(kind + " " + (failed != null ? "without an answer" : Rcode.string(answer.getRcode())));
      pending.countDown();
    });
  }

  private void count(String what) {
    synchronized (outcomes) {
      outcomes.computeIfAbsent(what, k -> new AtomicInteger()).incrementAndGet();
    }
  }

  private boolean report(PrintStream out, Path log) {
    out.println();
    out.println(outcomes.toString().replaceAll("[{}]", ""));
    out.printf("latency from the intended start: p50 %.1f ms, p99 %.1f ms, max %.1f ms%n%n", latency.getValueAtPercentile(50) / 1e3,
        latency.getValueAtPercentile(99) / 1e3, latency.getMaxValue() / 1e3);
    long repeated = updates.values().stream().filter(n -> n.get() > 1).count();
    long sentAfterDrain = servers.get("d0").seen().stream().filter(s -> s.atNanos() > drainedAt + DRAIN_GRACE_NANOS).count();
    boolean passed = Demo.printRule(out, "1  an answer to each question, in time", unanswered.get() + late.get() == 0, unanswered
        + " unanswered, " + late + " late");
    passed &= Demo.printRule(out, "2  no change made twice", repeated == 0, repeated + " made twice of " + updates.size());
    passed &= Demo.printRule(out, "3  nothing new to a drained server after 2 s", sentAfterDrain == 0, sentAfterDrain + " sent later");
    passed &= Demo.printRule(out, "   the restart ended with status 0", restartStatus == 0, "status " + restartStatus);
    out.println("server log: " + log);
    return passed;
  }
}
