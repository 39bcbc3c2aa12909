package cloverpulley.bench;

import cloverpulley.bench.ProcessorClient.Result;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Compares the processor with a null processor, alternately in one run with the same client: throughput at saturation, CPU time, and
 * latency of a verdict. Each figure is the median of the rounds.
 */
public final class ProcessorBench {

  private static final int[] FLEET_SIZES = {0, 10, 100, 1000};
  private static final int[] RATES = {1000, 5000};
  private static final int CONCURRENCY = 256;
  private static final long SEED = 20261201;
  private static final List<String> JVM_OPTIONS = List.of("-XX:+UseParallelGC", "-Xmx512m");
  private static final double MESSAGE_TIMEOUT_MICROS = 200_000;

  private ProcessorBench() {}

  /** {@code --rounds N} and {@code --seconds N} for each run, or {@code --soak MINUTES}. */
  public static void main(String[] args) throws IOException, InterruptedException {
    List<String> arguments = Arrays.asList(args);
    int rounds = option(arguments, "--rounds", 3);
    int seconds = option(arguments, "--seconds", 4);
    int soak = option(arguments, "--soak", 0);
    if (soak > 0) {
      soak(soak);
    } else {
      measure(rounds, seconds);
    }
    System.exit(0);
  }

  private static int option(List<String> arguments, String name, int defaultValue) {
    int at = arguments.indexOf(name);
    return at < 0 ? defaultValue : Integer.parseInt(arguments.get(at + 1));
  }

  private static void measure(int rounds, int seconds) throws IOException, InterruptedException {
    System.out.println("seed " + SEED + ", " + rounds + " rounds of " + seconds + " s; fleet size 0 is the null processor");
    Map<Integer, ChildProcess> children = new LinkedHashMap<>();
    Map<Integer, ProcessorClient> clients = new LinkedHashMap<>();
    Map<String, List<Double>> figures = new LinkedHashMap<>();
    long lost = 0;
    long late = 0;
    try {
      for (int fleet : FLEET_SIZES) {
        ChildProcess child = new ChildProcess(JVM_OPTIONS, Servers.class, Integer.toString(fleet));
        children.put(fleet, child);
        clients.put(fleet, new ProcessorClient(child.readPort(), SEED + fleet));
        clients.get(fleet).runClosedLoop(CONCURRENCY, seconds); // JIT warm-up on both sides, not counted.
        clients.get(fleet).runOpenLoop(RATES[1], seconds);
      }
      for (int round = 0; round < rounds; round++) {
        for (int fleet : FLEET_SIZES) {
          Result closedLoop = clients.get(fleet).runClosedLoop(CONCURRENCY, seconds);
          // Rejections are cheap verdicts: counted as completed work they would overstate the throughput of an overloaded processor.
          addFigure(figures, fleet + " rate", closedLoop.rate() * closedLoop.destinations() / closedLoop.calls());
          addFigure(figures, fleet + " full sent", (double) closedLoop.destinations() / closedLoop.calls());
          lost += closedLoop.lost();
          for (int rate : RATES) {
            double before = children.get(fleet).cpuMicros();
            Result r = clients.get(fleet).runOpenLoop(rate, seconds);
            addFigure(figures, fleet + " cpu " + rate, (children.get(fleet).cpuMicros() - before) / r.calls());
            for (double p : new double[] {50, 99, 99.9}) {
              addFigure(figures, fleet + " p" + p + " " + rate, r.verdictMicros().getValueAtPercentile(p));
            }
            addFigure(figures, fleet + " lateness " + rate, r.lateness().getValueAtPercentile(99));
            addFigure(figures, fleet + " sent " + rate, (double) r.destinations() / r.calls());
            lost += r.lost();
            late += r.verdictMicros().getCountBetweenValues((long) MESSAGE_TIMEOUT_MICROS, r.verdictMicros().getHighestTrackableValue());
          }
        }
      }
    } finally {
      clients.values().forEach(ProcessorClient::close);
      children.values().forEach(ChildProcess::close);
    }
    System.out.printf("%6s %10s | %5s %8s %8s %8s %9s %8s %6s%n", "fleet", "calls/s", "at/s", "p50 us", "p99 us", "p99.9 us",
        "late p99", "CPU us", "sent");
    for (int fleet : FLEET_SIZES) {
      for (int rate : RATES) {
        System.out.printf("%6d %10.0f | %5d %8.0f %8.0f %8.0f %9.0f %8.1f %6.3f%n", fleet, median(figures, fleet + " rate"), rate,
            median(figures, fleet + " p50.0 " + rate), median(figures, fleet + " p99.0 " + rate),
            median(figures, fleet + " p99.9 " + rate), median(figures, fleet + " lateness " + rate),
            median(figures, fleet + " cpu " + rate), median(figures, fleet + " sent " + rate));
      }
    }
    System.out.println(ChildProcess.json(
        "throughput_ratio", ChildProcess.figure(median(figures, "100 rate") / median(figures, "0 rate")),
        "p50_ratio", ChildProcess.figure(median(figures, "100 p50.0 5000") / median(figures, "0 p50.0 5000")),
        "p99_ratio", ChildProcess.figure(median(figures, "100 p99.0 5000") / median(figures, "0 p99.0 5000")),
        "p99_us", ChildProcess.figure(median(figures, "100 p99.0 5000")),
        "cpu_ratio", ChildProcess.figure(median(figures, "100 cpu 5000") / median(figures, "0 cpu 5000")),
        "fleet_growth", ChildProcess.figure(median(figures, "1000 cpu 5000") / median(figures, "10 cpu 5000")),
        "fleet_growth_rate", ChildProcess.figure(median(figures, "10 rate") / median(figures, "1000 rate")),
        "sent_at_saturation", ChildProcess.figure(minimum(figures, " full sent")), "sent_at_5000",
        ChildProcess.figure(minimum(figures, " sent 5000")),
        "lost", Long.toString(lost), "late", Long.toString(late)));
  }

  /** The minimum of a figure over all fleet sizes and rounds. */
  private static double minimum(Map<String, List<Double>> figures, String name) {
    return figures.entrySet().stream().filter(e -> e.getKey().endsWith(name)).flatMap(e -> e.getValue().stream())
        .mapToDouble(v -> v).min().orElseThrow();
  }

  private static void addFigure(Map<String, List<Double>> figures, String name, double value) {
    figures.computeIfAbsent(name, n -> new ArrayList<>()).add(value);
  }

  private static double median(Map<String, List<Double>> figures, String name) {
    List<Double> values = figures.get(name).stream().sorted().toList();
    return values.get(values.size() / 2);
  }

  /** Runs this many minutes at 1,000 calls per second and reports whether memory grows in the second half. */
  private static void soak(int minutes) throws IOException, InterruptedException {
    long lost = 0;
    long calls = 0;
    List<Double> resident = new ArrayList<>();
    try (ChildProcess child = new ChildProcess(List.of("-XX:+UseParallelGC", "-Xmx128m", "-Xms128m", "-XX:+AlwaysPreTouch"), Servers.class, "100");
        ProcessorClient client = new ProcessorClient(child.readPort(), SEED)) {
      for (int i = 0; i < minutes * 4; i++) {
        Result r = client.runOpenLoop(RATES[0], 15);
        calls += r.calls();
        lost += r.lost();
        resident.add(child.residentMb());
        System.out.printf("%4d s  %.1f MB, p99 %d us%n", (i + 1) * 15, resident.get(i), r.verdictMicros().getValueAtPercentile(99));
      }
    }
    double half = resident.get(resident.size() / 2);
    double end = resident.get(resident.size() - 1);
    System.out.println(ChildProcess.json("minutes", Integer.toString(minutes), "calls", Long.toString(calls), "lost",
        Long.toString(lost), "resident_half_mb", ChildProcess.figure(half), "resident_end_mb", ChildProcess.figure(end),
        "second_half_growth_mb", ChildProcess.figure(end - half)));
  }
}
