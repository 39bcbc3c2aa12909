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

/** The demo's DNS part: questions and changes over UDP and TCP through {@code ashdeck dns}, with a drain, a death and a restart. */
final class DnsDemo {

  private static final long SEED = 20261201;
  private static final long GRACE_NANOS = TimeUnit.SECONDS.toNanos(2);
  private static final int DEADLINE_MS = 2000;
  /** A client's own patience, past the deadline of all classes. */
  private static final int PATIENCE_MS = 3000;
  private static final int ASK_AGAIN_MS = 20;
  private static final int SERVERS = 4;
  private static final int NAMES = 300;
  private static final double CHANGES = 0.1;
  private static final double OVER_TCP = 0.2;

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
  private final Map<String, AtomicInteger> changes = new HashMap<>();
  private final ConcurrentHistogram latency = new ConcurrentHistogram(TimeUnit.MINUTES.toMicros(1), 3);
  private final AtomicInteger unanswered = new AtomicInteger();
  private final AtomicInteger late = new AtomicInteger();
  private long drainedAt;
  private int restartStatus = -1;

  DnsDemo(int seconds, int rate) {
    this.seconds = seconds;
    this.rate = rate;
  }

  /** Plays it; whether all rules were kept. */
  boolean run(PrintStream out) throws IOException, InterruptedException {
    Path folder = Files.createTempDirectory("ashdeck-demo-dns");
    Path log = folder.resolve("dns.log");
    try (StandInDiscovery discovery = new StandInDiscovery(group)) {
      for (int i = 0; i < SERVERS; i++) {
        StandInDns made = new StandInDns(group, this::serve);
        servers.put("d" + i, made);
        discovery.set("d" + i, made.hostPort(), i, "ready", 0);
      }
      String text = CONFIG.replace("DISCOVERY", discovery.address()).replace("STATE", folder.resolve("held.json").toString())
          .replace("RECORDS", folder.resolve("records").toString());
      Path config = Files.writeString(folder.resolve("operators.toml"), text.replace("PORT", "0"));
      out.println("ashdeck demo, DNS: " + SERVERS + " servers, " + rate + " questions and changes a second for " + seconds
          + " s over UDP and TCP, seed " + SEED);
      try (CommandProcess first = new CommandProcess("dns", config, log)) {
        Path successor = Files.writeString(folder.resolve("successor.toml"), text.replace("PORT", "" + first.address().getPort()));
        play(out, discovery, first, successor, log);
      }
    } finally {
      servers.values().forEach(StandInDns::close);
      group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
    boolean kept = report(out, log);
    DemoReport.write(out, folder);
    return kept;
  }

  private void serve(StandInDns.Asked asked) {
    if (asked.message().getHeader().getOpcode() == Opcode.UPDATE) {
      changes.computeIfAbsent(asked.message().getSection(Section.UPDATE).get(0).getName().toString(), n -> new AtomicInteger())
          .incrementAndGet();
      asked.replyAfter(10, asked.answer(0));
    } else {
      asked.replyAfter(5, asked.address(1, "10.0.0.1"));
    }
  }

  private void play(PrintStream out, StandInDiscovery discovery, CommandProcess first, Path successor, Path log)
      throws IOException, InterruptedException {
    SplittableRandom random = new SplittableRandom(SEED);
    SimpleResolver udp = resolver(first.address(), false);
    SimpleResolver tcp = resolver(first.address(), true);
    int count = seconds * rate;
    CountDownLatch open = new CountDownLatch(count);
    List<CommandProcess> next = new ArrayList<>();
    Thread restart = null;
    int done = 0;
    long start = System.nanoTime();
    for (int i = 0; i < count; i++) {
      long intended = start + (long) (i * 1e9 / rate);
      while (System.nanoTime() < intended) {
        TimeUnit.NANOSECONDS.sleep(Math.min(1_000_000, Math.max(1, intended - System.nanoTime())));
      }
      boolean change = random.nextDouble() < CHANGES;
      ask(change || random.nextDouble() < OVER_TCP ? tcp : udp, change ? change(i) : question(random.nextInt(NAMES)),
          change ? "change" : "question", intended, open, 1);
      int quarter = (int) (4L * i / count);
      if (quarter > done) {
        done = quarter;
        String at = String.format("%5.1f s  ", (System.nanoTime() - start) / 1e9);
        if (quarter == 1) {
          discovery.set("d0", servers.get("d0").hostPort(), 0, "draining", 0);
          drainedAt = System.nanoTime();
          out.println(at + "d0 drains");
        } else if (quarter == 2) {
          servers.get("d1").close();
          out.println(at + "d1 dies; the list does not know yet");
        } else {
          discovery.set("d1", servers.get("d1").hostPort(), 1, "gone", 0);
          restart = new Thread(() -> {
            try {
              next.add(new CommandProcess("dns", successor, log));
              first.terminate();
              restartStatus = first.await();
            } catch (IOException e) {
              out.println("         " + e.getMessage());
            } catch (InterruptedException e) {
              Thread.currentThread().interrupt();
            }
          }, "restart");
          restart.start();
          out.println(at + "d1 is gone from the list; the front is restarted on the same port");
        }
      }
    }
    open.await(PATIENCE_MS * 4L, TimeUnit.MILLISECONDS);
    unanswered.addAndGet((int) open.getCount());
    if (restart != null) {
      restart.join();
    }
    next.forEach(CommandProcess::terminate);
    for (CommandProcess child : next) {
      child.await();
    }
  }

  private static SimpleResolver resolver(InetSocketAddress address, boolean tcp) {
    SimpleResolver r = new SimpleResolver(address);
    r.setTCP(tcp);
    r.setTimeout(Duration.ofMillis(PATIENCE_MS));
    return r;
  }

  private static Message question(int n) throws IOException {
    return Message.newQuery(Record.newRecord(Name.fromString("n" + n + ".demo.test."), Type.A, DClass.IN));
  }

  private static Message change(int n) throws IOException {
    Update u = new Update(Name.fromString("demo.test."));
    u.add(Record.fromString(Name.fromString("c" + n + ".demo.test."), Type.A, DClass.IN, 60, "10.9.9.9", Name.root));
    return u;
  }

  /** A question that gets nothing is asked once more, as stub resolvers do: a datagram may be lost with the predecessor's socket. */
  private void ask(SimpleResolver by, Message m, String kind, long intended, CountDownLatch open, int tries) {
    by.sendAsync(m).whenComplete((answer, failed) -> {
      if (failed != null && tries > 0 && kind.equals("question")) {
        count("question asked once more");
        // From another thread and a moment later: here the client library has not let go of the broken connection yet, and would take
        // it for this one as well.
        CompletableFuture.delayedExecutor(ASK_AGAIN_MS, TimeUnit.MILLISECONDS)
            .execute(() -> ask(by, m, kind, System.nanoTime(), open, 0));
        return;
      }
      long micros = (System.nanoTime() - intended) / 1000;
      latency.recordValue(Math.min(micros, latency.getHighestTrackableValue()));
      late.addAndGet(failed == null && micros > DEADLINE_MS * 1000L ? 1 : 0);
      // A connection may end with the predecessor: whether a change ran is then not known, and it is not made again.
      unanswered.addAndGet(failed != null && kind.equals("question") ? 1 : 0);
      count(kind + " " + (failed != null ? "without an answer" : Rcode.string(answer.getRcode())));
      open.countDown();
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
    out.printf("answers, from the intended start: p50 %.1f ms, p99 %.1f ms, most %.1f ms%n%n", latency.getValueAtPercentile(50) / 1e3,
        latency.getValueAtPercentile(99) / 1e3, latency.getMaxValue() / 1e3);
    long twice = changes.values().stream().filter(n -> n.get() > 1).count();
    long drained = servers.get("d0").seen().stream().filter(s -> s.atNanos() > drainedAt + GRACE_NANOS).count();
    boolean kept = Demo.rule(out, "1  an answer to each question, in time", unanswered.get() + late.get() == 0, unanswered + " without, "
        + late + " late");
    kept &= Demo.rule(out, "2  no change made twice", twice == 0, twice + " of " + changes.size());
    kept &= Demo.rule(out, "3  nothing new to a drained server after 2 s", drained == 0, drained + " after it");
    kept &= Demo.rule(out, "   the restart ended with status 0", restartStatus == 0, "status " + restartStatus);
    out.println("log of the fronts: " + log);
    return kept;
  }
}
