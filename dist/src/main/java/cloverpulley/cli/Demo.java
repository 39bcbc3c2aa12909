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

/** The demo: a bounded load through a proxy that calls the processor, with injected faults; counts violations of the rules. */
final class Demo {

  private static final long SEED = 20261201;
  private static final long DRAIN_GRACE_NANOS = TimeUnit.SECONDS.toNanos(2);
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final int DEADLINE_MS = 3000;
  private static final int WARM_UP_REQUESTS = 100;
  /** Number of servers, in dedup groups of two each. */
  private static final int SERVERS = 6;

  /** A kind of request and its share of the load. */
  private record RequestKind(String name, String effect, double share, boolean body) {}

  private static final List<RequestKind> KINDS = List.of(new RequestKind("rate-lookup", "safe", 0.45, false),
      new RequestKind("quote-issue", "keyed", 0.35, true), new RequestKind("dealer-notice", "unsafe", 0.2, true));

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
  private final AtomicInteger mismatched = new AtomicInteger();
  private long drainedAt;
  private volatile int restartStatus = -1;
  private volatile CommandProcess successorProcess;
  private StandInProxy.Counters tally;

  Demo(int seconds, int rate) {
    this.seconds = seconds;
    this.rate = rate;
  }

  /** Runs the demo and returns whether all rules held. */
  boolean run(PrintStream out) throws IOException, InterruptedException {
    Path folder = Files.createTempDirectory("ashdeck-demo");
    Path log = folder.resolve("processor.log");
    SplittableRandom random = new SplittableRandom(SEED);
    try (StandInDiscovery discovery = new StandInDiscovery(group)) {
      for (int i = 0; i < SERVERS; i++) {
        addServer(discovery, "s" + i, i / 2, 0);
      }
      String template = CONFIG.replace("DISCOVERY", discovery.address()).replace("STATE", folder.resolve("held.json").toString())
          .replace("RECORDS", folder.resolve("records").toString());
      Path config = Files.writeString(folder.resolve("operators.toml"), template.replace("PORT", "0"));
      out.println("ashdeck demo: " + SERVERS + " servers, " + rate + " requests per second for " + seconds + " s, seed " + SEED);
      try (CommandProcess first = new CommandProcess("process", config, log)) {
        warmUp(first);
        try (StandInProxy proxy = new StandInProxy(first.address(), StandInProxy.Config.of(4))) {
          runLoad(out, discovery, first, proxy, Files.writeString(folder.resolve("successor.toml"),
              template.replace("PORT", "" + first.address().getPort())), log, random);
        }
      }
    } finally {
      servers.values().forEach(StandInUpstream::close);
      group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
    boolean passed = report(out, log);
    DemoReport.write(out, folder);
    return passed;
  }

  /** Warms up through a separate proxy, so that the stand-ins' own warm-up is not counted as the processor's. */
  private void warmUp(CommandProcess processor) throws InterruptedException {
    HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    CountDownLatch pending = new CountDownLatch(WARM_UP_REQUESTS);
    try (StandInProxy proxy = new StandInProxy(processor.address(), StandInProxy.Config.of(1))) {
      for (int i = 0; i < WARM_UP_REQUESTS; i++) {
        client.sendAsync(HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + proxy.address().getPort() + "/api"))
            .header("x-request-id", "w" + i).header("x-qos", "rate-lookup").build(), HttpResponse.BodyHandlers.ofString())
            .whenComplete((answer, failed) -> pending.countDown());
        TimeUnit.MILLISECONDS.sleep(2);
      }
      pending.await(DEADLINE_MS, TimeUnit.MILLISECONDS);
    }
  }

  private void addServer(StandInDiscovery discovery, String id, int cell, long startedMillis) {
    SplittableRandom random = new SplittableRandom(SEED + servers.size());
    StandInUpstream upstream = new StandInUpstream(group, r -> Answer.ok(5 + random.nextInt(30)));
    servers.put(id, upstream);
    cells.put(id, cell);
    discovery.set(id, upstream.address(), cell, "ready", startedMillis);
  }

  private void runLoad(PrintStream out, StandInDiscovery discovery, CommandProcess first, StandInProxy proxy, Path successor,
      Path log, SplittableRandom random) throws IOException, InterruptedException {
    tally = proxy.counters();
    HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    int count = seconds * rate;
    CountDownLatch pending = new CountDownLatch(count);
    long start = System.nanoTime();
    Thread restart = null;
    int lastFifth = 0;
    for (int i = 0; i < count; i++) {
      long intended = start + (long) (i * 1e9 / rate);
      while (System.nanoTime() < intended) {
        TimeUnit.NANOSECONDS.sleep(Math.min(NANOS_PER_MILLI, Math.max(1, intended - System.nanoTime())));
      }
      send(client, proxy.address(), kind(random), "q" + i, intended, pending);
      // Injects one fault at each fifth of the run.
      int fifth = (int) (5L * i / count);
      if (fifth > lastFifth) {
        lastFifth = fifth;
        String timestamp = String.format("%5.1f s  ", (System.nanoTime() - start) / 1e9);
        switch (fifth) {
          case 1 -> {
            discovery.set("s0", servers.get("s0").address(), 0, "draining", 0);
            drainedAt = System.nanoTime();
            out.println(timestamp + "s0 is draining");
          }
          case 2 -> {
            servers.get("s3").close();
            out.println(timestamp + "s3 crashes, but is still listed as ready");
          }
          case 3 -> {
            discovery.set("s3", servers.get("s3").address(), 1, "gone", 0);
            addServer(discovery, "s6", 1, System.currentTimeMillis());
            out.println(timestamp + "s3 is removed from the list, s6 replaces it in slow start");
          }
          default -> {
            restart = new Thread(() -> {
              // The successor listens on the same port before its predecessor has stopped.
              try {
                CommandProcess next = new CommandProcess("process", successor, log);
                first.terminate();
                restartStatus = first.await();
                successorProcess = next;
              } catch (IOException e) {
                out.println("         " + e.getMessage());
              } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
              }
            }, "restart");
            restart.start();
            out.println(timestamp + "the processor is restarted on the same port");
          }
        }
      }
    }
    if (!pending.await(DEADLINE_MS * 4L, TimeUnit.MILLISECONDS)) {
      unanswered.addAndGet((int) pending.getCount());
    }
    if (restart != null) {
      restart.join();
    }
    if (successorProcess != null) {
      successorProcess.terminate();
      successorProcess.await();
      successorProcess.close();
    }
  }

  private static RequestKind kind(SplittableRandom random) {
    double position = random.nextDouble();
    for (RequestKind kind : KINDS) {
      position -= kind.share();
      if (position < 0) {
        return kind;
      }
    }
    return KINDS.get(0);
  }

  private void send(HttpClient client, InetSocketAddress proxy, RequestKind kind, String id, long intended, CountDownLatch pending) {
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
          mismatched.addAndGet(failed == null && answer.statusCode() == 200 && !answer.body().equals(id) ? 1 : 0);
          synchronized (outcomes) {
            outcomes.computeIfAbsent(kind.name(), k -> new TreeMap<>()).computeIfAbsent(outcome, k -> new AtomicInteger())
                .incrementAndGet();
          }
          pending.countDown();
        });
  }

  private boolean report(PrintStream out, Path log) {
    out.println();
    out.printf("%-16s %8s  %s%n", "class", "asked", "outcomes");
    outcomes.forEach((kind, counts) -> out.printf("%-16s %8d  %s%n", kind,
        counts.values().stream().mapToInt(AtomicInteger::get).sum(), counts.toString().replaceAll("[{}]", "")));
    out.println();
    out.printf("processor calls %d: destinations %d, refusals %d, failures %d, without a verdict %d%n", tally.calls.get(),
        tally.destinations.get(), tally.rejections.get(), tally.failures.get(), tally.missingDecisions.get());
    out.printf("latency from the intended start: p50 %.1f ms, p99 %.1f ms, max %.1f ms%n",
        latency.getValueAtPercentile(50) / 1e3, latency.getValueAtPercentile(99) / 1e3, latency.getMaxValue() / 1e3);
    out.printf("slowest verdict %.1f ms%n%n", tally.maxDecisionMicros.get() / 1e3);
    Map<String, List<String>> serversByRequest = new HashMap<>();
    Map<String, String> kindByRequest = new HashMap<>();
    servers.forEach((server, s) -> s.seen().forEach(seen -> {
      serversByRequest.computeIfAbsent(seen.id(), k -> new ArrayList<>()).add(server);
      kindByRequest.put(seen.id(), seen.className());
    }));
    long unsafeRepeated = serversByRequest.entrySet().stream()
        .filter(e -> kindByRequest.get(e.getKey()).equals("dealer-notice") && e.getValue().size() > 1).count();
    long outsideGroup = serversByRequest.entrySet().stream().filter(e -> kindByRequest.get(e.getKey()).equals("quote-issue")).filter(e -> {
      Set<Integer> groups = new HashSet<>();
      e.getValue().forEach(server -> groups.add(cells.get(server)));
      return groups.size() > 1;
    }).count();
    long sentAfterDrain = servers.get("s0").seen().stream().filter(s -> s.atNanos() > drainedAt + DRAIN_GRACE_NANOS).count();
    List<Seen> newServerRequests = servers.get("s6").seen();
    long firstSecondRequests = newServerRequests.isEmpty() ? 0
        : newServerRequests.stream().filter(s -> s.atNanos() < newServerRequests.get(0).atNanos() + TimeUnit.SECONDS.toNanos(1)).count();
    // With one of the six servers drained, the others share the load evenly; a starting one certainly handles 0.32 of a warmed-up one's
    // load and is overloaded at three times that.
    double overloadThreshold = 3 * 0.32 * rate / (SERVERS - 1);
    boolean passed = printRule(out, "1  one final answer each, in time", unanswered.get() + late.get() + tally.duplicateDecisions.get()
        + mismatched.get() == 0, unanswered + " unanswered, " + late + " late, " + tally.duplicateDecisions + " double, " + mismatched
        + " mismatched");
    passed &= printRule(out, "2  no effect twice", unsafeRepeated + outsideGroup == 0, unsafeRepeated + " unsafe executed twice, "
        + outsideGroup + " keyed retried outside their group");
    passed &= printRule(out, "3  nothing new to a drained server after 2 s", sentAfterDrain == 0, sentAfterDrain + " sent later");
    passed &= printRule(out, "4  no cold server pushed over", firstSecondRequests <= overloadThreshold, firstSecondRequests
        + " in its first second, overloaded above " + (int) overloadThreshold);
    passed &= printRule(out, "   the restart ended with status 0", restartStatus == 0, "status " + restartStatus);
    out.println("processor log: " + log);
    return passed;
  }

  static boolean printRule(PrintStream out, String rule, boolean passed, String details) {
    out.printf("%-48s %-7s %s%n", rule, passed ? "kept" : "BROKEN", details);
    return passed;
  }
}
