package cloverpulley.bench;

import cloverpulley.config.ConfigFile;
import cloverpulley.config.InvalidConfigException;
import cloverpulley.dns.wire.Message;
import cloverpulley.dns.wire.Names;
import cloverpulley.dns.wire.Question;
import cloverpulley.load.Driver.Outcome;
import cloverpulley.load.LoadRun;
import cloverpulley.load.Plan;
import cloverpulley.load.Results;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.locks.LockSupport;

/**
 * Compares the DNS server with a null responder on the same library, in one run: the highest rates without unanswered queries, cached and
 * forwarded, over UDP and TCP, with each server on one core and the load generators on others; latencies at half that rate; a drain under
 * load; memory with a full cache; and the share of good clients' queries that are answered during a flood.
 */
public final class DnsBench {

  private static final long SEED = 20261201;
  /** Ratio of queries that receive a server's answer: below it, the server is saturated. */
  private static final double MIN_SERVED_RATIO = 0.99;
  private static final int WARM_UP_RUNS = 3;
  private static final double RATE_STEP = 1.25;
  private static final double FIRST_RATE = 16_000;
  /** Half the load generator's target latency of 300 ms: above it the server is saturated as well, since over TCP no query is lost. */
  private static final double MAX_P50_MICROS = 150_000;
  private static final double MAX_RATE = 400_000;
  private static final int CACHED_NAMES = 5000;
  private static final int CACHE_MB = 16;
  private static final int GOOD_RATE = 500;
  /** The limit that applies when the configuration file sets none. */
  private static final int DEFAULT_LIMIT = 1000;
  private static final int FLOOD_RATE = 40_000;
  private static final int FLOOD_PREFIXES = 16;

  private final int seconds;
  private final int cores = Runtime.getRuntime().availableProcessors();
  private final List<ChildProcess> generators = new ArrayList<>();
  private double unanswered;
  private double duplicates;

  private DnsBench(int seconds) {
    this.seconds = seconds;
  }

  /** {@code [--seconds N]} for each rate; {@code --flood} runs only the flood. */
  public static void main(String[] args) throws IOException, InterruptedException, InvalidConfigException {
    if (args.length > 0 && args[0].equals("generate")) {
      generate();
      System.exit(0);
    }
    List<String> arguments = Arrays.asList(args);
    int seconds = arguments.contains("--seconds") ? Integer.parseInt(arguments.get(arguments.indexOf("--seconds") + 1)) : 3;
    DnsBench bench = new DnsBench(seconds);
    bench.startGenerators();
    if (arguments.contains("--flood")) {
      bench.runFlood();
    } else {
      bench.run();
    }
    System.exit(0);
  }

  // ---- The generator, in its own process --------------------------------------------------------------

  /**
   * Input line: protocol, port, rate, seconds, names, seed. Output line: requests, served, timed out, p50 and p99 in us, duplicates, p99
   * lateness.
   */
  private static void generate() throws IOException, InterruptedException, InvalidConfigException {
    BufferedReader in = new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8));
    for (String line = in.readLine(); line != null; line = in.readLine()) {
      String[] f = line.split(" ");
      Plan plan = ConfigFile.parse("bench", "[load]\nseed = " + f[5] + "\nrate = " + f[2] + "\nseconds = " + f[3]
          + "\n[[load.class]]\nname = \"query\"\neffect = \"safe\"\naim_ms = 300\ndeadline_ms = 2000\n[load.keys]\ncount = " + f[4]
          + "\nzipf = 0\n[load.target]\nprotocol = \"" + f[0] + "\"\nconnections = 16\naddress = \"127.0.0.1:" + f[1] + "\"\n",
          Plan::read);
      System.gc(); // Avoids a collection during the run.
      Results r = LoadRun.run(plan, x -> { });
      System.out.println(r.all.requests + " " + r.all.outcomes[Outcome.SERVED.ordinal()] + " " + r.all.outcomes[Outcome.TIMEOUT.ordinal()]
          + " " + r.all.corrected.getValueAtPercentile(50) + " " + r.all.corrected.getValueAtPercentile(99) + " " + r.duplicateResponses + " "
          + r.lateness.getValueAtPercentile(99));
    }
  }

  // ---- Rates -----------------------------------------------------------------------------------------------

  /** The combined result of all generators. */
  private record RunResult(double rate, double served, double timedOut, double p50, double p99, double latenessP99, double p99Spread) {}

  private RunResult runLoad(String protocol, int port, double rate, double length, int names) throws IOException {
    for (int i = 0; i < generators.size(); i++) {
      generators.get(i).writeLine(protocol + " " + port + " " + rate / generators.size() + " " + length + " " + names + " " + (SEED + i));
    }
    double offered = 0;
    double served = 0;
    double timedOut = 0;
    double p50 = 0;
    double p99 = 0;
    double latenessP99 = 0;
    double minP99 = Double.MAX_VALUE;
    for (ChildProcess g : generators) {
      String line = g.readLine();
      if (line == null) {
        throw new IOException("a load generator process has exited");
      }
      String[] f = line.split(" ");
      offered += Double.parseDouble(f[0]);
      served += Double.parseDouble(f[1]);
      timedOut += Double.parseDouble(f[2]);
      p50 += Double.parseDouble(f[3]) / generators.size();
      p99 = Math.max(p99, Double.parseDouble(f[4]));
      minP99 = Math.min(minP99, Double.parseDouble(f[4]));
      duplicates += Double.parseDouble(f[5]);
      latenessP99 = Math.max(latenessP99, Double.parseDouble(f[6]));
    }
    return new RunResult(rate, served / offered, timedOut, p50, p99, latenessP99, p99 - minP99);
  }

  /** Returns the highest rate at which nearly all queries are answered. */
  private double saturation(String what, String protocol, int port, int names) throws IOException {
    for (int i = 0; i < WARM_UP_RUNS; i++) { // JIT warm-up on both sides, not counted.
      runLoad(protocol, port, FIRST_RATE, seconds, names);
    }
    double best = 0;
    for (double rate = FIRST_RATE; rate < MAX_RATE; rate *= RATE_STEP) {
      RunResult s = runLoad(protocol, port, rate, seconds, names);
      System.out.printf("%-16s %-8s %9.0f %8.4f %9.0f %9.0f %9.0f%n", what, protocol, rate, s.served(), s.p50(), s.p99(), s.latenessP99());
      if (isSaturated(s)) {
        // Runs once more: a single failure on a noisy machine is not saturation.
        s = runLoad(protocol, port, rate, seconds, names);
        if (isSaturated(s)) {
          break;
        }
      }
      best = rate;
    }
    return best;
  }

  private static boolean isSaturated(RunResult s) {
    return s.served() < MIN_SERVED_RATIO || s.p50() > MAX_P50_MICROS;
  }

  private ChildProcess server(int core, String... args) throws IOException {
    return new ChildProcess(List.of("taskset", "-c", Integer.toString(core)), List.of("-XX:+UseSerialGC", "-Xmx512m", "-Xmn128m"),
        DnsServers.class, args);
  }

  private void startGenerators() throws IOException {
    for (int i = 0; i < Math.max(1, Math.min(3, cores - 4)); i++) {
      generators.add(new ChildProcess(List.of("taskset", "-c", Integer.toString(cores - 1 - i)), LoadBench.GENERATOR_JVM_OPTIONS, DnsBench.class,
          "generate"));
    }
  }

  private void runFlood() throws IOException, InterruptedException {
    try (ChildProcess upstream1 = server(1 % cores, "null", "0"); ChildProcess upstream2 = server(2 % cores, "null", "0")) {
      double share = goodShareInFlood(Integer.toString(upstream1.readPort()), Integer.toString(upstream2.readPort()));
      System.out.println(ChildProcess.json("good_share_in_flood", ChildProcess.figure(share)));
    } finally {
      generators.forEach(ChildProcess::close);
    }
  }

  private void run() throws IOException, InterruptedException {
    System.out.println("seed " + SEED + ", " + seconds + " s per rate, servers on a core each, " + generators.size() + " generators on one each of "
        + cores + " cores; latencies in us, from the intended start");
    System.out.printf("%-16s %-8s %9s %8s %9s %9s %9s%n", "server", "over", "rate", "served", "p50", "p99", "late p99");
    double[] cachedRatio = new double[2];
    double[] forwardedRatio = new double[2];
    double[] cachedLatency = new double[2];
    double[] forwardedLatency = new double[2];
    String[] protocols = {"dns_udp", "dns_tcp"};
    double afterDrain = 0;
    double memory;
    double goodShareInFlood;
    try (ChildProcess nullServer = server(0, "null", "3600"); ChildProcess upstream1 = server(1 % cores, "null", "0");
        ChildProcess upstream2 = server(2 % cores, "null", "0");
        ChildProcess cacheableUpstream = server(1 % cores, "null", "3600")) {
      int nullPort = nullServer.readPort();
      String a = Integer.toString(upstream1.readPort());
      String b = Integer.toString(upstream2.readPort());
      String c = Integer.toString(cacheableUpstream.readPort());
      for (int p = 0; p < protocols.length; p++) {
        double nullLimit = saturation("null", protocols[p], nullPort, CACHED_NAMES);
        try (ChildProcess cached = server(0, "front", "64", c); ChildProcess forwarding = server(0, "front", "0", a, b)) {
          int cachedPort = cached.readPort();
          int forwardingPort = forwarding.readPort();
          double cachedLimit = saturation("cached", protocols[p], cachedPort, CACHED_NAMES);
          double forwardingLimit = saturation("forwarded", protocols[p], forwardingPort, 0);
          cachedRatio[p] = cachedLimit / nullLimit;
          forwardedRatio[p] = forwardingLimit / nullLimit;
          cachedLatency[p] = latency(protocols[p], cachedLimit / 2, nullPort, cachedPort, CACHED_NAMES);
          forwardedLatency[p] = latency(protocols[p], forwardingLimit / 2, nullPort, forwardingPort, 0);
          if (p == 0) {
            afterDrain = drain(forwarding, forwardingPort, upstream1);
          }
        }
      }
      memory = memory(c);
      goodShareInFlood = goodShareInFlood(a, b);
    } finally {
      generators.forEach(ChildProcess::close);
    }
    System.out.println(ChildProcess.json("cached_ratio", ChildProcess.figure(cachedRatio[0]), "forwarded_ratio",
        ChildProcess.figure(forwardedRatio[0]),
        "p99_ratio", ChildProcess.figure(forwardedLatency[0]), "cached_p99_ratio", ChildProcess.figure(cachedLatency[0]), "tcp_cached_ratio",
        ChildProcess.figure(cachedRatio[1]), "tcp_forwarded_ratio", ChildProcess.figure(forwardedRatio[1]), "tcp_p99_ratio",
        ChildProcess.figure(forwardedLatency[1]), "double_answers", Long.toString((long) duplicates), "lost", Long.toString((long) unanswered),
        "after_drain", Long.toString((long) afterDrain), "ceiling_mb", Integer.toString(CACHE_MB), "resident_mb_at_ceiling",
        ChildProcess.figure(memory), "good_share_in_flood", ChildProcess.figure(goodShareInFlood)));
  }

  /** Returns the p99 divided by the null responder's p99 at the same rate, medians of three alternating runs; adds up unanswered queries. */
  private double latency(String protocol, double rate, int nullPort, int port, int names) throws IOException {
    double[] measuredP99 = new double[3];
    double[] nullServer = new double[3];
    for (int i = 0; i < measuredP99.length; i++) {
      nullServer[i] = runLoad(protocol, nullPort, rate, seconds, CACHED_NAMES).p99();
      RunResult s = runLoad(protocol, port, rate, seconds, names);
      measuredP99[i] = s.p99();
      unanswered += s.timedOut();
    }
    Arrays.sort(measuredP99);
    Arrays.sort(nullServer);
    System.out.printf("%-16s %-8s %9.0f p99 %9.0f of %9.0f%n", names == 0 ? "forwarded" : "cached", protocol, rate, measuredP99[1], nullServer[1]);
    return measuredP99[1] / nullServer[1];
  }

  /** Returns the number of queries that an upstream receives later than two seconds after it is set to draining, under load. */
  private double drain(ChildProcess front, int port, ChildProcess drained) throws IOException, InterruptedException {
    Thread load = new Thread(() -> {
      try {
        RunResult s = runLoad("dns_udp", port, FIRST_RATE / 4, 6, 0);
        unanswered += s.timedOut();
      } catch (IOException e) {
        unanswered = Double.NaN;
      }
    });
    load.start();
    TimeUnit.SECONDS.sleep(1);
    front.writeLine("drain");
    front.readLine();
    TimeUnit.SECONDS.sleep(2);
    drained.writeLine("count");
    long earlierCount = Long.parseLong(drained.readLine());
    load.join();
    drained.writeLine("count");
    return Long.parseLong(drained.readLine()) - earlierCount;
  }

  /** Returns the ratio of good clients' queries served at the first attempt during a flood from other prefixes at a fixed rate. */
  private double goodShareInFlood(String upstream1, String upstream2) throws IOException, InterruptedException {
    try (ChildProcess front = new ChildProcess(List.of("taskset", "-c", "0"), List.of("-XX:+UseSerialGC", "-Xmx512m", "-Dlimit=" + DEFAULT_LIMIT),
        DnsServers.class, "front", "0", upstream1, upstream2)) {
      int port = front.readPort();
      AtomicBoolean stopped = new AtomicBoolean();
      Thread flood = new Thread(() -> flood(port, stopped));
      flood.start();
      RunResult s = runLoad("dns_udp", port, GOOD_RATE, 5, 0);
      stopped.set(true);
      flood.join();
      System.out.printf("flood of %d/s from %d prefixes: %.4f of %d/s good queries served, p50 %.0f us, p99 %.0f us%n", FLOOD_RATE,
          FLOOD_PREFIXES, s.served(), GOOD_RATE, s.p50(), s.p99());
      front.writeLine("report");
      System.out.println(front.readLine());
      return s.served();
    }
  }

  /** Queries distinct names from many prefixes, in bursts of a millisecond. */
  private static void flood(int port, AtomicBoolean stopped) {
    List<DatagramSocket> sockets = new ArrayList<>();
    try {
      InetSocketAddress to = new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
      for (int i = 0; i < FLOOD_PREFIXES; i++) {
        sockets.add(new DatagramSocket(0, InetAddress.getByAddress(new byte[] {127, 10, (byte) i, 1})));
      }
      long start = System.nanoTime();
      for (long n = 0; !stopped.get(); n++) {
        byte[] q = Message.query((int) n & 0xFFFF, Message.RD, new Question(Names.of("f" + n + ".flood.test."), 1, Message.IN), null);
        sockets.get((int) (n % FLOOD_PREFIXES)).send(new DatagramPacket(q, q.length, to));
        while (!stopped.get() && (System.nanoTime() - start) / 1e9 * FLOOD_RATE < n) {
          LockSupport.parkNanos(500_000);
        }
      }
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    } finally {
      sockets.forEach(DatagramSocket::close);
    }
  }

  /** Returns the resident memory after more entries were cached than the cache can hold. */
  private double memory(String port) throws IOException {
    try (ChildProcess front = server(0, "front", Integer.toString(CACHE_MB), port)) {
      int at = front.readPort();
      runLoad("dns_udp", at, FIRST_RATE / 2, 4.0 * CACHE_MB * (1 << 20) / 500 / FIRST_RATE, 0);
      front.writeLine("report");
      System.out.println(front.readLine());
      return front.residentMb();
    }
  }
}
