package cloverpulley.bench;

import cloverpulley.bench.ProcessorClient.Result;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The processor against a null processor, in one run with the same caller, by turns: what it costs at saturation and what it
 * adds to the latency of a verdict. Each figure is the median of the rounds.
 */
public final class ProcessorBench {

  private static final int[] FLEETS = {0, 10, 100, 1000};
  private static final int[] RATES = {1000, 5000};
  private static final int AT_ONCE = 256;
  private static final long SEED = 20261201;
  private static final List<String> OPTIONS = List.of("-XX:+UseParallelGC", "-Xmx512m");
  private static final double MESSAGE_TIMEOUT_MICROS = 200_000;

  private ProcessorBench() {}

  /** {@code --rounds N} and {@code --seconds N} for each run, or {@code --soak MINUTES}. */
  public static void main(String[] args) throws IOException, InterruptedException {
    List<String> given = Arrays.asList(args);
    int rounds = option(given, "--rounds", 3);
    int seconds = option(given, "--seconds", 4);
    int soak = option(given, "--soak", 0);
    if (soak > 0) {
      soak(soak);
    } else {
      measure(rounds, seconds);
    }
    System.exit(0);
  }

  private static int option(List<String> given, String name, int absent) {
    int at = given.indexOf(name);
    return at < 0 ? absent : Integer.parseInt(given.get(at + 1));
  }

  private static void measure(int rounds, int seconds) throws IOException, InterruptedException {
    System.out.println("seed " + SEED + ", " + rounds + " rounds of " + seconds + " s; a fleet of 0 is the null processor");
    Map<Integer, ChildProcess> children = new LinkedHashMap<>();
    Map<Integer, ProcessorClient> callers = new LinkedHashMap<>();
    Map<String, List<Double>> figures = new LinkedHashMap<>();
    long lost = 0;
    long late = 0;
    try {
      for (int fleet : FLEETS) {
        ChildProcess child = new ChildProcess(OPTIONS, Servers.class, Integer.toString(fleet));
        children.put(fleet, child);
        callers.put(fleet, new ProcessorClient(child.readPort(), SEED + fleet));
        callers.get(fleet).closed(AT_ONCE, seconds); // Compiled code on both sides before anything counts.
        callers.get(fleet).open(RATES[1], seconds);
      }
      for (int round = 0; round < rounds; round++) {
        for (int fleet : FLEETS) {
          Result full = callers.get(fleet).closed(AT_ONCE, seconds);
          // Refusals are cheap verdicts: counted as work done they would flatter a processor that is full.
          note(figures, fleet + " rate", full.rate() * full.destinations() / full.calls());
          note(figures, fleet + " full sent", (double) full.destinations() / full.calls());
          lost += full.lost();
          for (int rate : RATES) {
            double before = children.get(fleet).cpuMicros();
            Result r = callers.get(fleet).open(rate, seconds);
            note(figures, fleet + " cpu " + rate, (children.get(fleet).cpuMicros() - before) / r.calls());
            for (double p : new double[] {50, 99, 99.9}) {
              note(figures, fleet + " p" + p + " " + rate, r.verdicts().getValueAtPercentile(p));
            }
            note(figures, fleet + " lateness " + rate, r.lateness().getValueAtPercentile(99));
            note(figures, fleet + " sent " + rate, (double) r.destinations() / r.calls());
            lost += r.lost();
            late += r.verdicts().getCountBetweenValues((long) MESSAGE_TIMEOUT_MICROS, r.verdicts().getHighestTrackableValue());
          }
        }
      }
    } finally {
      callers.values().forEach(ProcessorClient::close);
      children.values().forEach(ChildProcess::close);
    }
    System.out.printf("%6s %10s | %5s %8s %8s %8s %9s %8s %6s%n", "fleet", "calls/s", "at/s", "p50 us", "p99 us", "p99.9 us",
        "late p99", "CPU us", "sent");
    for (int fleet : FLEETS) {
      for (int rate : RATES) {
        System.out.printf("%6d %10.0f | %5d %8.0f %8.0f %8.0f %9.0f %8.1f %6.3f%n", fleet, of(figures, fleet + " rate"), rate,
            of(figures, fleet + " p50.0 " + rate), of(figures, fleet + " p99.0 " + rate),
            of(figures, fleet + " p99.9 " + rate), of(figures, fleet + " lateness " + rate),
            of(figures, fleet + " cpu " + rate), of(figures, fleet + " sent " + rate));
      }
    }
    System.out.println(ChildProcess.json(
        "throughput_ratio", ChildProcess.figure(of(figures, "100 rate") / of(figures, "0 rate")),
        "p50_ratio", ChildProcess.figure(of(figures, "100 p50.0 5000") / of(figures, "0 p50.0 5000")),
        "p99_ratio", ChildProcess.figure(of(figures, "100 p99.0 5000") / of(figures, "0 p99.0 5000")),
        "p99_us", ChildProcess.figure(of(figures, "100 p99.0 5000")),
        "cpu_ratio", ChildProcess.figure(of(figures, "100 cpu 5000") / of(figures, "0 cpu 5000")),
        "fleet_growth", ChildProcess.figure(of(figures, "1000 cpu 5000") / of(figures, "10 cpu 5000")),
        "fleet_growth_rate", ChildProcess.figure(of(figures, "10 rate") / of(figures, "1000 rate")),
        "sent_at_saturation", ChildProcess.figure(least(figures, " full sent")), "sent_at_5000", ChildProcess.figure(least(figures, " sent 5000")),
        "lost", Long.toString(lost), "late", Long.toString(late)));
  }

  /** The least of a figure over all fleets and rounds. */
  private static double least(Map<String, List<Double>> figures, String name) {
    return figures.entrySet().stream().filter(e -> e.getKey().endsWith(name)).flatMap(e -> e.getValue().stream())
        .mapToDouble(v -> v).min().orElseThrow();
  }

  private static void note(Map<String, List<Double>> figures, String name, double value) {
    figures.computeIfAbsent(name, n -> new ArrayList<>()).add(value);
  }

  private static double of(Map<String, List<Double>> figures, String name) {
    List<Double> values = figures.get(name).stream().sorted().toList();
    return values.get(values.size() / 2);
  }

  /** So many minutes at 1,000 calls a second: whether memory grows in the second half. */
  private static void soak(int minutes) throws IOException, InterruptedException {
    long lost = 0;
    long calls = 0;
    List<Double> resident = new ArrayList<>();
    try (ChildProcess child = new ChildProcess(List.of("-XX:+UseParallelGC", "-Xmx128m", "-Xms128m", "-XX:+AlwaysPreTouch"), Servers.class, "100");
        ProcessorClient caller = new ProcessorClient(child.readPort(), SEED)) {
      for (int i = 0; i < minutes * 4; i++) {
        Result r = caller.open(RATES[0], 15);
        calls += r.calls();
        lost += r.lost();
        resident.add(child.residentMb());
        System.out.printf("%4d s  %.1f MB, p99 %d us%n", (i + 1) * 15, resident.get(i), r.verdicts().getValueAtPercentile(99));
      }
    }
    double half = resident.get(resident.size() / 2);
    double end = resident.get(resident.size() - 1);
    System.out.println(ChildProcess.json("minutes", Integer.toString(minutes), "calls", Long.toString(calls), "lost",
        Long.toString(lost), "resident_half_mb", ChildProcess.figure(half), "resident_end_mb", ChildProcess.figure(end),
        "second_half_growth_mb", ChildProcess.figure(end - half)));
  }
}
