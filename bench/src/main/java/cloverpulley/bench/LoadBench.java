package cloverpulley.bench;

import cloverpulley.config.ConfigFile;
import cloverpulley.config.InvalidConfigException;
import cloverpulley.load.Driver.Outcome;
import cloverpulley.load.LoadRun;
import cloverpulley.load.Plan;
import cloverpulley.load.RequestGenerator;
import cloverpulley.load.Results;
import cloverpulley.standins.ScriptedHttp;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.atomic.AtomicInteger;
import org.HdrHistogram.HistogramIterationValue;

/**
 * Measures the load generator against a null HTTP server: the highest rate on one core at which its own lateness stays under a
 * millisecond (p99), its CPU time per request, and how accurately it measures a stall of known length. The generator runs in a process
 * that {@code taskset} binds to one core, the server in another process on the other cores.
 */
public final class LoadBench {

  private static final int[] RATES = {2000, 5000, 10_000, 12_500, 15_000, 20_000, 25_000, 30_000, 40_000};
  private static final double MAX_LATENESS_MICROS = 1000;
  private static final long SEED = 20261201;
  /** Runs before the measurement: on a single core the JIT compiler competes with the generator until it has finished. */
  private static final int WARM_UP_RUNS = 8;
  /** Heap for a whole run without a collection, which would occupy the single core for tens of milliseconds. */
  static final List<String> GENERATOR_JVM_OPTIONS = List.of("-XX:+UseSerialGC", "-Xmx1600m", "-Xmn1300m");

  private LoadBench() {}

  /** {@code [--seconds N]} for each rate. */
  public static void main(String[] args) throws IOException, InterruptedException, InvalidConfigException {
    if (args.length > 0 && args[0].equals("generate")) {
      generate(Integer.parseInt(args[1]), Integer.parseInt(args[2]));
      System.exit(0);
    }
    List<String> arguments = Arrays.asList(args);
    int seconds = arguments.contains("--seconds") ? Integer.parseInt(arguments.get(arguments.indexOf("--seconds") + 1)) : 5;
    int cores = Runtime.getRuntime().availableProcessors();
    double best = 0;
    double bestLateness = 0;
    double cpu = 0;
    double cpuAt2000 = 0;
    System.out.println("seed " + SEED + ", " + seconds + " s each; generator on core " + (cores - 1));
    System.out.printf("%8s %10s %10s %10s %10s %10s%n", "rate", "achieved", "served", "late p50", "late p99", "CPU us");
    try (ChildProcess server = new ChildProcess(List.of("taskset", "-c", "0-" + Math.max(0, cores - 2)), List.of("-XX:+UseParallelGC"),
        Servers.class, "http")) {
      int port = server.readPort();
      try (ChildProcess generator = new ChildProcess(List.of("taskset", "-c", Integer.toString(cores - 1)),
          GENERATOR_JVM_OPTIONS, LoadBench.class, "generate", "" + port, "" + seconds)) {
        for (String line = generator.readLine(); line != null; line = generator.readLine()) {
          String[] f = line.split(" ");
          double rate = Double.parseDouble(f[0]);
          double latenessP99 = Double.parseDouble(f[4]);
          System.out.printf("%8.0f %10.0f %10.4f %10.0f %10.0f %10.1f%n", rate, Double.parseDouble(f[1]),
              Double.parseDouble(f[2]), Double.parseDouble(f[3]), latenessP99, Double.parseDouble(f[5]));
          cpuAt2000 = rate == RATES[0] ? Double.parseDouble(f[5]) : cpuAt2000;
          if (latenessP99 < MAX_LATENESS_MICROS && Double.parseDouble(f[2]) > 0.9999) {
            best = rate;
            bestLateness = latenessP99;
            cpu = Double.parseDouble(f[5]);
          }
        }
      }
    }
    double error = stall();
    System.out.println(ChildProcess.json("rate_one_core", ChildProcess.figure(best), "lateness_p99_ms", ChildProcess.figure(bestLateness / 1000),
        "cpu_us_per_request", ChildProcess.figure(cpu), "cpu_us_at_2000", ChildProcess.figure(cpuAt2000), "stall_area_error",
        String.format(Locale.ROOT, "%.5f", error)));
    System.exit(0);
  }

  private static Plan plan(int port, double rate, double seconds, String process) throws InvalidConfigException {
    return ConfigFile.parse("bench", "[load]\nseed = " + SEED + "\nrate = " + rate + "\nseconds = " + seconds + "\nprocess = \""
        + process + "\"\n[[load.class]]\nname = \"rate-lookup\"\neffect = \"safe\"\naim_ms = 400\ndeadline_ms = 20000\n"
        + "hint_most_us = 20000\n[[load.tenant]]\nname = \"steppe-auto\"\n[load.target]\nconnections = 6000\naddress = "
        + "\"127.0.0.1:" + port + "\"\n", Plan::read);
  }

  /**
   * Runs in the generator's process: prints a line for each rate, with rate, achieved rate, served ratio, p50 and p99 lateness, CPU time per
   * request.
   */
  private static void generate(int port, int seconds) throws InvalidConfigException, InterruptedException {
    for (int i = 0; i < WARM_UP_RUNS; i++) {
      LoadRun.run(plan(port, i % 2 == 0 ? 3000 : 10_000, seconds, "poisson"), r -> { });
    }
    for (int rate : RATES) {
      System.gc();
      double before = cpuMicros();
      long start = System.nanoTime();
      Results r = LoadRun.run(plan(port, rate, seconds, "poisson"), x -> { });
      double took = (System.nanoTime() - start) / 1e9;
      System.out.println(rate + " " + r.all.requests / took + " " + (double) r.all.outcomes[Outcome.SERVED.ordinal()] / r.all.requests
          + " " + r.lateness.getValueAtPercentile(50) + " " + r.lateness.getValueAtPercentile(99) + " "
          + (cpuMicros() - before) / r.all.requests);
      if (r.lateness.getValueAtPercentile(50) > 100 * MAX_LATENESS_MICROS) {
        return; // Saturated: higher rates would add nothing.
      }
    }
  }

  private static double cpuMicros() {
    return ProcessHandle.current().info().totalCpuDuration().orElseThrow().toNanos() / 1e3;
  }

  /** Returns the relative error of the measured waiting time in a stall of two seconds. */
  private static double stall() throws InvalidConfigException, InterruptedException {
    EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    try (ScriptedHttp server = new ScriptedHttp(group, ScriptedHttp.Behaviour.SERVE)) {
      LoadRun.run(plan(server.address().getPort(), 2000, 3, "poisson"), r -> { });
      Plan plan = plan(server.address().getPort(), 2000, 6, "poisson");
      AtomicInteger second = new AtomicInteger();
      Results r = LoadRun.run(plan, x -> {
        if (second.incrementAndGet() == 2) {
          server.stall(2000);
        }
      });
      double expectedNanos = 0;
      RequestGenerator generator = new RequestGenerator(plan);
      for (RequestGenerator.PlannedRequest p = generator.next(); p != null; p = generator.next()) {
        long intended = r.startNanos + (long) (p.startSeconds() * 1e9);
        expectedNanos += intended >= server.stallBegan() && intended < server.stallEnded() ? server.stallEnded() - intended : 0;
      }
      double measuredNanos = 0;
      double baselineMicros = r.all.corrected.getValueAtPercentile(25);
      for (HistogramIterationValue v : r.all.corrected.recordedValues()) {
        measuredNanos += (v.getValueIteratedTo() - baselineMicros) * v.getCountAddedInThisIterationStep() * 1000;
      }
      System.out.printf("stall of %.3f s: %.1f request seconds of waiting, %.1f measured%n",
          (server.stallEnded() - server.stallBegan()) / 1e9, expectedNanos / 1e9, measuredNanos / 1e9);
      return Math.abs(measuredNanos - expectedNanos) / expectedNanos;
    } finally {
      group.shutdownGracefully();
    }
  }
}
