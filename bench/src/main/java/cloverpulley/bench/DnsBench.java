package cloverpulley.bench;

import cloverpulley.config.BadFileException;
import cloverpulley.config.OperatorsFile;
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
 * The DNS front against a null responder on the same library, in one run: highest rates at which all is answered, cached and
 * forwarded, over UDP and TCP, each server on one core and the load tool on others; latencies at half of that; a drain under load;
 * memory with the cache at its ceiling.
 */
public final class DnsBench {

  private static final long SEED = 20261201;
  /** Of the asked for, answered with an answer of a server: below that it is past its saturation. */
  private static final double SERVED = 0.99;
  private static final int WARM_UPS = 3;
  private static final double STEP = 1.25;
  private static final double FIRST = 16_000;
  /** Half the load tool's aim of 300 ms in the queue: past saturation as well, for over TCP nothing is lost. */
  private static final double MOST_P50_MICROS = 150_000;
  private static final double MOST = 400_000;
  private static final int CACHED_NAMES = 5000;
  private static final int CACHE_MB = 16;
  private static final int GOOD_RATE = 500;
  /** As the operators' file has it where it says nothing. */
  private static final int DEFAULT_LIMIT = 1000;
  private static final int FLOOD_RATE = 40_000;
  private static final int FLOOD_PREFIXES = 16;

  private final int seconds;
  private final int cores = Runtime.getRuntime().availableProcessors();
  private final List<ChildProcess> generators = new ArrayList<>();
  private double lost;
  private double doubles;

  private DnsBench(int seconds) {
    this.seconds = seconds;
  }

  /** {@code [--seconds N]} for each rate; {@code --flood} for the flood alone. */
  public static void main(String[] args) throws IOException, InterruptedException, BadFileException {
    if (args.length > 0 && args[0].equals("generate")) {
      generate();
      System.exit(0);
    }
    List<String> given = Arrays.asList(args);
    int seconds = given.contains("--seconds") ? Integer.parseInt(given.get(given.indexOf("--seconds") + 1)) : 3;
    DnsBench bench = new DnsBench(seconds);
    bench.generators();
    if (given.contains("--flood")) {
      bench.onlyFlood();
    } else {
      bench.run();
    }
    System.exit(0);
  }

  // ---- The generator, in a process of its own --------------------------------------------------------------

  /** A line in: protocol, port, rate, seconds, names, seed. A line out: asked, served, timed out, p50 and p99 in us, doubles, p99 lateness. */
  private static void generate() throws IOException, InterruptedException, BadFileException {
    BufferedReader in = new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8));
    for (String line = in.readLine(); line != null; line = in.readLine()) {
      String[] f = line.split(" ");
      Plan plan = OperatorsFile.parse("bench", "[load]\nseed = " + f[5] + "\nrate = " + f[2] + "\nseconds = " + f[3]
          + "\n[[load.class]]\nname = \"query\"\neffect = \"safe\"\naim_ms = 300\ndeadline_ms = 2000\n[load.keys]\ncount = " + f[4]
          + "\nzipf = 0\n[load.target]\nprotocol = \"" + f[0] + "\"\nconnections = 16\naddress = \"127.0.0.1:" + f[1] + "\"\n",
          Plan::read);
      System.gc(); // Not in the run.
      Results r = LoadRun.run(plan, x -> { });
      System.out.println(r.all.requests + " " + r.all.outcomes[Outcome.SERVED.ordinal()] + " " + r.all.outcomes[Outcome.TIMEOUT.ordinal()]
          + " " + r.all.corrected.getValueAtPercentile(50) + " " + r.all.corrected.getValueAtPercentile(99) + " " + r.duplicateResponses + " "
          + r.lateness.getValueAtPercentile(99));
    }
  }

  // ---- Rates -----------------------------------------------------------------------------------------------

  /** What all generators together saw. */
  private record Seen(double rate, double served, double timedOut, double p50, double p99, double late, double p99Spread) {}

  private Seen play(String protocol, int port, double rate, double length, int names) throws IOException {
    for (int i = 0; i < generators.size(); i++) {
      generators.get(i).writeLine(protocol + " " + port + " " + rate / generators.size() + " " + length + " " + names + " " + (SEED + i));
    }
    double asked = 0;
    double served = 0;
    double timedOut = 0;
    double p50 = 0;
    double p99 = 0;
    double late = 0;
    double least = Double.MAX_VALUE;
    for (ChildProcess g : generators) {
      String line = g.readLine();
      if (line == null) {
        throw new IOException("a generator has ended");
      }
      String[] f = line.split(" ");
      asked += Double.parseDouble(f[0]);
      served += Double.parseDouble(f[1]);
      timedOut += Double.parseDouble(f[2]);
      p50 += Double.parseDouble(f[3]) / generators.size();
      p99 = Math.max(p99, Double.parseDouble(f[4]));
      least = Math.min(least, Double.parseDouble(f[4]));
      doubles += Double.parseDouble(f[5]);
      late = Math.max(late, Double.parseDouble(f[6]));
    }
    return new Seen(rate, served / asked, timedOut, p50, p99, late, p99 - least);
  }

  /** The highest rate at which nearly all is answered. */
  private double saturation(String what, String protocol, int port, int names) throws IOException {
    for (int i = 0; i < WARM_UPS; i++) { // Compiled code on both sides before anything counts.
      play(protocol, port, FIRST, seconds, names);
    }
    double best = 0;
    for (double rate = FIRST; rate < MOST; rate *= STEP) {
      Seen s = play(protocol, port, rate, seconds, names);
      System.out.printf("%-16s %-8s %9.0f %8.4f %9.0f %9.0f %9.0f%n", what, protocol, rate, s.served(), s.p50(), s.p99(), s.late());
      if (isSaturated(s)) {
        // Once more: one stumble of a noisy machine is no saturation.
        s = play(protocol, port, rate, seconds, names);
        if (isSaturated(s)) {
          break;
        }
      }
      best = rate;
    }
    return best;
  }

  private static boolean isSaturated(Seen s) {
    return s.served() < SERVED || s.p50() > MOST_P50_MICROS;
  }

  private ChildProcess server(int core, String... args) throws IOException {
    return new ChildProcess(List.of("taskset", "-c", Integer.toString(core)), List.of("-XX:+UseSerialGC", "-Xmx512m", "-Xmn128m"),
        DnsServers.class, args);
  }

  private void generators() throws IOException {
    for (int i = 0; i < Math.max(1, Math.min(3, cores - 4)); i++) {
      generators.add(new ChildProcess(List.of("taskset", "-c", Integer.toString(cores - 1 - i)), LoadBench.GENERATOR, DnsBench.class,
          "generate"));
    }
  }

  private void onlyFlood() throws IOException, InterruptedException {
    try (ChildProcess first = server(1 % cores, "null", "0"); ChildProcess second = server(2 % cores, "null", "0")) {
      double share = flooded(Integer.toString(first.readPort()), Integer.toString(second.readPort()));
      System.out.println(ChildProcess.json("good_share_in_flood", ChildProcess.figure(share)));
    } finally {
      generators.forEach(ChildProcess::close);
    }
  }

  private void run() throws IOException, InterruptedException {
    System.out.println("seed " + SEED + ", " + seconds + " s a rate, servers on a core each, " + generators.size() + " generators on one each of "
        + cores + " cores; latencies in us, from the intended start");
    System.out.printf("%-16s %-8s %9s %8s %9s %9s %9s%n", "server", "over", "rate", "served", "p50", "p99", "late p99");
    double[] cachedRatio = new double[2];
    double[] forwardedRatio = new double[2];
    double[] cachedLatency = new double[2];
    double[] forwardedLatency = new double[2];
    String[] protocols = {"dns_udp", "dns_tcp"};
    double afterDrain = 0;
    double memory;
    double flooded;
    try (ChildProcess none = server(0, "null", "3600"); ChildProcess first = server(1 % cores, "null", "0"); ChildProcess second = server(2 % cores, "null", "0");
        ChildProcess lasting = server(1 % cores, "null", "3600")) {
      int nonePort = none.readPort();
      String a = Integer.toString(first.readPort());
      String b = Integer.toString(second.readPort());
      String c = Integer.toString(lasting.readPort());
      for (int p = 0; p < protocols.length; p++) {
        double limit = saturation("null", protocols[p], nonePort, CACHED_NAMES);
        try (ChildProcess cached = server(0, "front", "64", c); ChildProcess forwards = server(0, "front", "0", a, b)) {
          int cachedPort = cached.readPort();
          int forwardsPort = forwards.readPort();
          double cachedMost = saturation("cached", protocols[p], cachedPort, CACHED_NAMES);
          double forwardsMost = saturation("forwarded", protocols[p], forwardsPort, 0);
          cachedRatio[p] = cachedMost / limit;
          forwardedRatio[p] = forwardsMost / limit;
          cachedLatency[p] = latency(protocols[p], cachedMost / 2, nonePort, cachedPort, CACHED_NAMES);
          forwardedLatency[p] = latency(protocols[p], forwardsMost / 2, nonePort, forwardsPort, 0);
          if (p == 0) {
            afterDrain = drain(forwards, forwardsPort, first);
          }
        }
      }
      memory = memory(c);
      flooded = flooded(a, b);
    } finally {
      generators.forEach(ChildProcess::close);
    }
    System.out.println(ChildProcess.json("cached_ratio", ChildProcess.figure(cachedRatio[0]), "forwarded_ratio", ChildProcess.figure(forwardedRatio[0]),
        "p99_ratio", ChildProcess.figure(forwardedLatency[0]), "cached_p99_ratio", ChildProcess.figure(cachedLatency[0]), "tcp_cached_ratio",
        ChildProcess.figure(cachedRatio[1]), "tcp_forwarded_ratio", ChildProcess.figure(forwardedRatio[1]), "tcp_p99_ratio",
        ChildProcess.figure(forwardedLatency[1]), "double_answers", Long.toString((long) doubles), "lost", Long.toString((long) lost),
        "after_drain", Long.toString((long) afterDrain), "ceiling_mb", Integer.toString(CACHE_MB), "resident_mb_at_ceiling",
        ChildProcess.figure(memory), "good_share_in_flood", ChildProcess.figure(flooded)));
  }

  /** The p99 at a rate against the null responder's at the same, the medians of three by turns; what is not answered is lost. */
  private double latency(String protocol, double rate, int nullPort, int port, int names) throws IOException {
    double[] own = new double[3];
    double[] none = new double[3];
    for (int i = 0; i < own.length; i++) {
      none[i] = play(protocol, nullPort, rate, seconds, CACHED_NAMES).p99();
      Seen s = play(protocol, port, rate, seconds, names);
      own[i] = s.p99();
      lost += s.timedOut();
    }
    Arrays.sort(own);
    Arrays.sort(none);
    System.out.printf("%-16s %-8s %9.0f p99 %9.0f of %9.0f%n", names == 0 ? "forwarded" : "cached", protocol, rate, own[1], none[1]);
    return own[1] / none[1];
  }

  /** Questions that a server gets later than two seconds after it was said to drain, under load. */
  private double drain(ChildProcess front, int port, ChildProcess drained) throws IOException, InterruptedException {
    Thread load = new Thread(() -> {
      try {
        Seen s = play("dns_udp", port, FIRST / 4, 6, 0);
        lost += s.timedOut();
      } catch (IOException e) {
        lost = Double.NaN;
      }
    });
    load.start();
    TimeUnit.SECONDS.sleep(1);
    front.writeLine("drain");
    front.readLine();
    TimeUnit.SECONDS.sleep(2);
    drained.writeLine("count");
    long then = Long.parseLong(drained.readLine());
    load.join();
    drained.writeLine("count");
    return Long.parseLong(drained.readLine()) - then;
  }

  /** The part of good clients' questions answered at the first try while forged prefixes flood the front at a bounded rate. */
  private double flooded(String first, String second) throws IOException, InterruptedException {
    try (ChildProcess front = new ChildProcess(List.of("taskset", "-c", "0"), List.of("-XX:+UseSerialGC", "-Xmx512m", "-Dlimit=" + DEFAULT_LIMIT),
        DnsServers.class, "front", "0", first, second)) {
      int port = front.readPort();
      AtomicBoolean over = new AtomicBoolean();
      Thread flood = new Thread(() -> flood(port, over));
      flood.start();
      Seen s = play("dns_udp", port, GOOD_RATE, 5, 0);
      over.set(true);
      flood.join();
      System.out.printf("flood of %d/s from %d prefixes: %.4f of %d/s good ones served, p50 %.0f us, p99 %.0f us%n", FLOOD_RATE,
          FLOOD_PREFIXES, s.served(), GOOD_RATE, s.p50(), s.p99());
      front.writeLine("report");
      System.out.println(front.readLine());
      return s.served();
    }
  }

  /** Names asked once each, from many prefixes, in bursts of a millisecond. */
  private static void flood(int port, AtomicBoolean over) {
    List<DatagramSocket> sockets = new ArrayList<>();
    try {
      InetSocketAddress to = new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
      for (int i = 0; i < FLOOD_PREFIXES; i++) {
        sockets.add(new DatagramSocket(0, InetAddress.getByAddress(new byte[] {127, 10, (byte) i, 1})));
      }
      long start = System.nanoTime();
      for (long n = 0; !over.get(); n++) {
        byte[] q = Message.query((int) n & 0xFFFF, Message.RD, new Question(Names.of("f" + n + ".flood.test."), 1, Message.IN), null);
        sockets.get((int) (n % FLOOD_PREFIXES)).send(new DatagramPacket(q, q.length, to));
        while (!over.get() && (System.nanoTime() - start) / 1e9 * FLOOD_RATE < n) {
          LockSupport.parkNanos(500_000);
        }
      }
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    } finally {
      sockets.forEach(DatagramSocket::close);
    }
  }

  /** Memory resident once the cache has been filled past its ceiling. */
  private double memory(String port) throws IOException {
    try (ChildProcess front = server(0, "front", Integer.toString(CACHE_MB), port)) {
      int at = front.readPort();
      play("dns_udp", at, FIRST / 2, 4.0 * CACHE_MB * (1 << 20) / 500 / FIRST, 0);
      front.writeLine("report");
      System.out.println(front.readLine());
      return front.residentMb();
    }
  }
}
