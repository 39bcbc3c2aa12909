package cloverpulley.cli;

import cloverpulley.standins.StandInDiscovery;
import cloverpulley.standins.StandInProxy;
import cloverpulley.standins.StandInUpstream;
import cloverpulley.standins.StandInUpstream.Answer;
import cloverpulley.standins.StandInUpstream.Seen;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.HdrHistogram.ConcurrentHistogram;

/** The demo: a bounded load through a proxy that asks the processor, with things going wrong, and the rules counted. */
final class Demo {

  private static final long SEED = 20261201;
  private static final long GRACE_NANOS = TimeUnit.SECONDS.toNanos(2);
  private static final long MILLI = 1_000_000;
  private static final int DEADLINE_MS = 3000;
  private static final int WARM_UP = 100;
  /** Dedup groups of two servers each. */
  private static final int SERVERS = 6;

  /** A kind of request, and its share of all. */
  private record Kind(String name, String effect, double share, boolean body) {}

  private static final List<Kind> KINDS = List.of(new Kind("rate-lookup", "safe", 0.45, false),
      new Kind("quote-issue", "keyed", 0.35, true), new Kind("dealer-notice", "unsafe", 0.2, true));

  private static final String CONFIG = """
      [service]
      zone = "a"
      [[class]]
      name = "rate-lookup"
      effect = "safe"
      aim_ms = 400
      deadline_ms = 2000
      worth = 3
      [[class]]
      name = "quote-issue"
      effect = "keyed"
      dedup_scope = "cell"
      dedup_window_ms = 2000
      aim_ms = 750
      deadline_ms = 3000
      worth = 3
      [[class]]
      name = "dealer-notice"
      effect = "unsafe"
      aim_ms = 750
      deadline_ms = 3000
      [processor]
      listen = "127.0.0.1:PORT"
      [fleet]
      discovery = "DISCOVERY"
      state_file = "STATE"
      [records]
      folder = "RECORDS"
      instance = "processor"
      """;

  private final int seconds;
  private final int rate;
  private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final Map<String, StandInUpstream> servers = new LinkedHashMap<>();
  private final Map<String, Integer> cells = new HashMap<>();
  private final Map<String, Map<String, AtomicInteger>> outcomes = new TreeMap<>();
  private final ConcurrentHistogram latency = new ConcurrentHistogram(TimeUnit.MINUTES.toMicros(2), 3);
  private final AtomicInteger unanswered = new AtomicInteger();
  private final AtomicInteger late = new AtomicInteger();
  private final AtomicInteger wrong = new AtomicInteger();
  private long drainedAt;
  private volatile int restartStatus = -1;
  private volatile CommandProcess restarted;
  private StandInProxy.Tally tally;

  Demo(int seconds, int rate) {
    this.seconds = seconds;
    this.rate = rate;
  }

  /** Plays it; whether all rules were kept. */
  boolean run(PrintStream out) throws IOException, InterruptedException {
    Path folder = Files.createTempDirectory("ashdeck-demo");
    Path log = folder.resolve("processor.log");
    SplittableRandom random = new SplittableRandom(SEED);
    try (StandInDiscovery discovery = new StandInDiscovery(group)) {
      for (int i = 0; i < SERVERS; i++) {
        server(discovery, "s" + i, i / 2, 0);
      }
      String text = CONFIG.replace("DISCOVERY", discovery.address()).replace("STATE", folder.resolve("held.json").toString())
          .replace("RECORDS", folder.resolve("records").toString());
      Path config = Files.writeString(folder.resolve("operators.toml"), text.replace("PORT", "0"));
      out.println("ashdeck demo: " + SERVERS + " servers, " + rate + " requests a second for " + seconds + " s, seed " + SEED);
      try (CommandProcess first = new CommandProcess("process", config, log)) {
        warm(first);
        try (StandInProxy proxy = new StandInProxy(first.address(), StandInProxy.Config.of(4))) {
          play(out, discovery, first, proxy, Files.writeString(folder.resolve("successor.toml"),
              text.replace("PORT", "" + first.address().getPort())), log, random);
        }
      }
    } finally {
      servers.values().forEach(StandInUpstream::close);
      group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
    boolean kept = report(out, log);
    DemoReport.write(out, folder);
    return kept;
  }

  /** Through a proxy that is thrown away: what the stand-ins need for their own start is not to be taken for the processor's. */
  private void warm(CommandProcess processor) throws InterruptedException {
    HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    CountDownLatch open = new CountDownLatch(WARM_UP);
    try (StandInProxy proxy = new StandInProxy(processor.address(), StandInProxy.Config.of(1))) {
      for (int i = 0; i < WARM_UP; i++) {
        client.sendAsync(HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + proxy.address().getPort() + "/api"))
            .header("x-request-id", "w" + i).header("x-qos", "rate-lookup").build(), HttpResponse.BodyHandlers.ofString())
            .whenComplete((answer, failed) -> open.countDown());
        TimeUnit.MILLISECONDS.sleep(2);
      }
      open.await(DEADLINE_MS, TimeUnit.MILLISECONDS);
    }
  }

  private void server(StandInDiscovery discovery, String id, int cell, long started) {
    SplittableRandom random = new SplittableRandom(SEED + servers.size());
    StandInUpstream made = new StandInUpstream(group, r -> Answer.ok(5 + random.nextInt(30)));
    servers.put(id, made);
    cells.put(id, cell);
    discovery.set(id, made.address(), cell, "ready", started);
  }

  private void play(PrintStream out, StandInDiscovery discovery, CommandProcess first, StandInProxy proxy, Path successor,
      Path log, SplittableRandom random) throws IOException, InterruptedException {
    tally = proxy.tally();
    HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    int count = seconds * rate;
    CountDownLatch open = new CountDownLatch(count);
    long start = System.nanoTime();
    Thread restart = null;
    int done = 0;
    for (int i = 0; i < count; i++) {
      long intended = start + (long) (i * 1e9 / rate);
      while (System.nanoTime() < intended) {
        TimeUnit.NANOSECONDS.sleep(Math.min(MILLI, Math.max(1, intended - System.nanoTime())));
      }
      ask(client, proxy.address(), kind(random), "q" + i, intended, open);
      // Things go wrong at fifths of the run; each is done once.
      int fifth = (int) (5L * i / count);
      if (fifth > done) {
        done = fifth;
        String at = String.format("%5.1f s  ", (System.nanoTime() - start) / 1e9);
        switch (fifth) {
          case 1 -> {
            discovery.set("s0", servers.get("s0").address(), 0, "draining", 0);
            drainedAt = System.nanoTime();
            out.println(at + "s0 drains");
          }
          case 2 -> {
            servers.get("s3").close();
            out.println(at + "s3 dies; the list does not know yet");
          }
          case 3 -> {
            discovery.set("s3", servers.get("s3").address(), 1, "gone", 0);
            server(discovery, "s6", 1, System.currentTimeMillis());
            out.println(at + "s3 is gone from the list, s6 starts cold in its place");
          }
          default -> {
            restart = new Thread(() -> {
              // The successor listens on the same port before its predecessor has gone.
              try {
                CommandProcess next = new CommandProcess("process", successor, log);
                first.terminate();
                restartStatus = first.await();
                restarted = next;
              } catch (IOException e) {
                out.println("         " + e.getMessage());
              } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
              }
            }, "restart");
            restart.start();
            out.println(at + "the processor is restarted on the same port");
          }
        }
      }
    }
    if (!open.await(DEADLINE_MS * 4L, TimeUnit.MILLISECONDS)) {
      unanswered.addAndGet((int) open.getCount());
    }
    if (restart != null) {
      restart.join();
    }
    if (restarted != null) {
      restarted.terminate();
      restarted.await();
      restarted.close();
    }
  }

  private static Kind kind(SplittableRandom random) {
    double at = random.nextDouble();
    for (Kind kind : KINDS) {
      at -= kind.share();
      if (at < 0) {
        return kind;
      }
    }
    return KINDS.get(0);
  }

  private void ask(HttpClient client, InetSocketAddress proxy, Kind kind, String id, long intended, CountDownLatch open) {
    HttpRequest.Builder request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + proxy.getPort() + "/api"))
        .header("x-request-id", id).header("x-qos", kind.name()).header("x-expires-in-ms", "" + DEADLINE_MS)
        .header("idempotency-key", id).timeout(Duration.ofMillis(DEADLINE_MS + 500));
    client.sendAsync((kind.body() ? request.POST(HttpRequest.BodyPublishers.ofString("a body")) : request).build(),
        HttpResponse.BodyHandlers.ofString()).whenComplete((answer, failed) -> {
          long micros = (System.nanoTime() - intended) / 1000;
          latency.recordValue(Math.max(0, Math.min(micros, latency.getHighestTrackableValue())));
          late.addAndGet(micros > DEADLINE_MS * 1000L ? 1 : 0);
          String outcome = failed != null ? "none" : answer.statusCode() == 200 ? "served"
              : answer.statusCode() + " " + answer.headers().firstValue("x-ashdeck-reason").orElse("of the proxy");
          unanswered.addAndGet(failed != null ? 1 : 0);
          wrong.addAndGet(failed == null && answer.statusCode() == 200 && !answer.body().equals(id) ? 1 : 0);
          synchronized (outcomes) {
            outcomes.computeIfAbsent(kind.name(), k -> new TreeMap<>()).computeIfAbsent(outcome, k -> new AtomicInteger())
                .incrementAndGet();
          }
          open.countDown();
        });
  }

  private boolean report(PrintStream out, Path log) {
    out.println();
    out.printf("%-16s %8s  %s%n", "class", "asked", "outcomes");
    outcomes.forEach((kind, counts) -> out.printf("%-16s %8d  %s%n", kind,
        counts.values().stream().mapToInt(AtomicInteger::get).sum(), counts.toString().replaceAll("[{}]", "")));
    out.println();
    out.printf("calls of the processor %d: destinations %d, refusals %d, failures %d, without a verdict %d%n", tally.calls.get(),
        tally.destinations.get(), tally.refusals.get(), tally.failures.get(), tally.noVerdict.get());
    out.printf("answers, from the intended start: p50 %.1f ms, p99 %.1f ms, most %.1f ms%n",
        latency.getValueAtPercentile(50) / 1e3, latency.getValueAtPercentile(99) / 1e3, latency.getMaxValue() / 1e3);
    out.printf("slowest verdict %.1f ms%n%n", tally.slowestVerdictMicros.get() / 1e3);
    Map<String, List<String>> ran = new HashMap<>();
    Map<String, String> kinds = new HashMap<>();
    servers.forEach((server, s) -> s.seen().forEach(seen -> {
      ran.computeIfAbsent(seen.id(), k -> new ArrayList<>()).add(server);
      kinds.put(seen.id(), seen.className());
    }));
    long twice = ran.entrySet().stream()
        .filter(e -> kinds.get(e.getKey()).equals("dealer-notice") && e.getValue().size() > 1).count();
    long outside = ran.entrySet().stream().filter(e -> kinds.get(e.getKey()).equals("quote-issue")).filter(e -> {
      Set<Integer> groups = new HashSet<>();
      e.getValue().forEach(server -> groups.add(cells.get(server)));
      return groups.size() > 1;
    }).count();
    long drained = servers.get("s0").seen().stream().filter(s -> s.atNanos() > drainedAt + GRACE_NANOS).count();
    List<Seen> cold = servers.get("s6").seen();
    long coldSecond = cold.isEmpty() ? 0
        : cold.stream().filter(s -> s.atNanos() < cold.get(0).atNanos() + TimeUnit.SECONDS.toNanos(1)).count();
    // Six servers carry the load evenly; a cold one surely does 0.32 of a warm one's, and falls over at three times that.
    double most = 3 * 0.32 * rate / (SERVERS - 1);
    boolean kept = rule(out, "1  one final answer each, in time", unanswered.get() + late.get() + tally.doubleVerdicts.get()
        + wrong.get() == 0, unanswered + " without, " + late + " late, " + tally.doubleVerdicts + " double, " + wrong + " of another");
    kept &= rule(out, "2  no effect twice", twice + outside == 0, twice + " unsafe ones twice, " + outside
        + " keyed ones outside their group");
    kept &= rule(out, "3  nothing new to a drained server after 2 s", drained == 0, drained + " after it");
    kept &= rule(out, "4  no cold server pushed over", coldSecond <= most, coldSecond + " in its first second, " + (int) most
        + " push it over");
    kept &= rule(out, "   the restart ended with status 0", restartStatus == 0, "status " + restartStatus);
    out.println("log of the processors: " + log);
    return kept;
  }

  static boolean rule(PrintStream out, String rule, boolean kept, String figures) {
    out.printf("%-48s %-7s %s%n", rule, kept ? "kept" : "BROKEN", figures);
    return kept;
  }
}
