package cloverpulley.bench;

import cloverpulley.bench.ProcessorClient.Result;
import cloverpulley.config.InvalidConfigException;
import cloverpulley.config.ConfigFile;
import cloverpulley.incident.Clocks;
import cloverpulley.incident.Entry;
import cloverpulley.incident.Kind;
import cloverpulley.incident.Origin;
import cloverpulley.incident.Query;
import cloverpulley.incident.tool.HtmlReport;
import cloverpulley.incident.tool.IncidentAnalysis;
import cloverpulley.load.Driver.Outcome;
import cloverpulley.load.LoadRun;
import cloverpulley.load.Plan;
import cloverpulley.records.Archive;
import cloverpulley.records.Recorder;
import cloverpulley.records.RecordsConfig;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.Stream;

/**
 * Measures the cost and the use of records: the processor with and without recording, alternately; a day of ten million records written,
 * queried by index and by full scan, and rendered as a report; the counts in the records of a short load compared with those of its generator;
 * and the estimate of clock offsets against known offsets.
 */
public final class IncidentBench {

  private static final long SEED = 20261201;
  private static final int CONCURRENCY = 256;
  private static final long DAY_START_MICROS = 1_764_547_200_000_000L;
  private static final long DAY_MICROS = 86_400_000_000L;
  private static final int MAX_QUEUED = 30_000;
  private static final List<String> JVM_OPTIONS = List.of("-XX:+UseParallelGC", "-Xmx1g", "-Xms1g");
  private static final String REMEMBERED_REQUESTS = "1000000";
  private static final int WARM_UP_ROUNDS = 3;

  private IncidentBench() {}

  /** {@code --rounds N}, {@code --seconds N} of each run, {@code --records N} of the day. */
  public static void main(String[] args) throws IOException, InterruptedException, InvalidConfigException {
    List<String> arguments = Arrays.asList(args);
    int rounds = (int) option(arguments, "--rounds", 5);
    int seconds = (int) option(arguments, "--seconds", 3);
    long records = option(arguments, "--records", 10_000_000);
    Path folder = Files.createTempDirectory("ashdeck-incident-bench");
    try {
      System.out.println("seed " + SEED + ", " + rounds + " rounds of " + seconds + " s, a day of " + records + " records");
      double[] cost = cost(folder.resolve("cost"), rounds, seconds);
      long mismatches = mismatches(folder.resolve("match"));
      Map<String, Double> day = day(folder.resolve("day"), records);
      double[] clock = clocks();
      System.out.println(ChildProcess.json("cost_ratio", ChildProcess.figure(cost[0]), "cpu_ratio", ChildProcess.figure(cost[1]), "p99_ratio",
          ChildProcess.figure(cost[2]), "bytes_per_record", ChildProcess.figure(day.get("bytes")), "index_speedup",
          ChildProcess.figure(day.get("ten minutes")),
          "index_speedup_request", ChildProcess.figure(day.get("a request")), "write_per_s", ChildProcess.figure(day.get("rate")), "report_s",
          ChildProcess.figure(day.get("report")), "mismatches", Long.toString(mismatches), "clock_error_ms", ChildProcess.figure(clock[0]),
          "clock_bound_held", Boolean.toString(clock[1] == 0)));
    } finally {
      try (Stream<Path> all = Files.walk(folder)) {
        all.sorted(Comparator.reverseOrder()).forEach(f -> f.toFile().delete());
      }
    }
    System.exit(0);
  }

  private static long option(List<String> arguments, String name, long defaultValue) {
    int at = arguments.indexOf(name);
    return at < 0 ? defaultValue : Long.parseLong(arguments.get(at + 1));
  }

  // ---- Overhead in the processor --------------------------------------------------------------------------------

  private static double median(List<Double> values) {
    return values.stream().sorted().toList().get(values.size() / 2);
  }

  /** Ratios with recording to without it, of throughput, CPU time per call and p99: the median of the ratios of the rounds. */
  private static double[] cost(Path folder, int rounds, int seconds) throws IOException, InterruptedException {
    List<Double> rate = new ArrayList<>();
    List<Double> cpu = new ArrayList<>();
    List<Double> p99 = new ArrayList<>();
    try (ChildProcess without = new ChildProcess(JVM_OPTIONS, Servers.class, "100", "-", REMEMBERED_REQUESTS);
        ChildProcess with = new ChildProcess(JVM_OPTIONS, Servers.class, "100", folder.toString(), REMEMBERED_REQUESTS);
        ProcessorClient plainClient = new ProcessorClient(without.readPort(), SEED);
        ProcessorClient recordingClient = new ProcessorClient(with.readPort(), SEED)) {
      for (int i = 0; i < WARM_UP_ROUNDS; i++) { // JIT warm-up of both servers and of the clients, not counted.
        plainClient.runClosedLoop(CONCURRENCY, seconds);
        recordingClient.runClosedLoop(CONCURRENCY, seconds);
        plainClient.runOpenLoop(5000, seconds);
        recordingClient.runOpenLoop(5000, seconds);
      }
      for (int i = 0; i < rounds; i++) {
        // The order alternates from round to round.
        Result[] closedLoop = new Result[2];
        Result[] openLoop = new Result[2];
        double[] cpuMicrosPerCall = new double[2];
        for (int turn = 0; turn < 2; turn++) {
          int which = (turn + i) % 2;
          ProcessorClient c = which == 0 ? plainClient : recordingClient;
          ChildProcess child = which == 0 ? without : with;
          closedLoop[which] = c.runClosedLoop(CONCURRENCY, seconds);
          TimeUnit.MILLISECONDS.sleep(500); // Keeps compilation and writes left over from the full load out of the next run.
          double before = child.cpuMicros();
          openLoop[which] = c.runOpenLoop(5000, seconds);
          cpuMicrosPerCall[which] = (child.cpuMicros() - before) / openLoop[which].calls();
        }
        rate.add(destinationsPerSecond(closedLoop[1]) / destinationsPerSecond(closedLoop[0]));
        cpu.add(cpuMicrosPerCall[1] / cpuMicrosPerCall[0]);
        p99.add((double) openLoop[1].verdictMicros().getValueAtPercentile(99) / openLoop[0].verdictMicros().getValueAtPercentile(99));
        System.out.printf("round %d: %.0f and %.0f calls/s without and with records, CPU %.1f and %.1f us per call%n", i + 1,
            destinationsPerSecond(closedLoop[0]), destinationsPerSecond(closedLoop[1]), cpuMicrosPerCall[0], cpuMicrosPerCall[1]);
        System.out.printf("         sent to a destination %.3f and %.3f%n", closedLoop[0].destinations() / (double) closedLoop[0].calls(),
            closedLoop[1].destinations() / (double) closedLoop[1].calls());
      }
    }
    return new double[] {median(rate), median(cpu), median(p99)};
  }

  /** Destinations per second: rejections are cheap verdicts and are not counted. */
  private static double destinationsPerSecond(Result r) {
    return r.rate() * r.destinations() / r.calls();
  }

  private static long mismatches(Path folder) throws IOException, InterruptedException, InvalidConfigException {
    Map<String, Long> generatorCounts = new TreeMap<>();
    Map<String, Long> recordCounts = new TreeMap<>();
    try (ChildProcess child = new ChildProcess(JVM_OPTIONS, Servers.class, "100", folder.resolve("p").toString())) {
      Plan plan = ConfigFile.parse("plan", """
          [load]
          seconds = 4.0
          rate = 2000.0
          [load.target]
          protocol = "ext_proc"
          address = "127.0.0.1:%d"
          [[load.class]]
          name = "rate-lookup"
          effect = "safe"
          share = 2.0
          deadline_ms = 2000.0
          [[load.class]]
          name = "quote-issue"
          effect = "keyed"
          deadline_ms = 3000.0
          """.formatted(child.readPort()), Plan::read);
      LoadRun.run(plan, r -> { }, (planned, id, outcome, took) -> generatorCounts.merge(plan.classes().get(planned.classIndex()).name() + " "
          + (outcome == Outcome.SERVED ? Entry.SERVED : outcome == Outcome.REFUSED ? Entry.REFUSED : Entry.FAILED), 1L, Long::sum));
      TimeUnit.SECONDS.sleep(2); // Queued records are flushed twice a second.
    }
    IncidentAnalysis analysis = new IncidentAnalysis(new Archive(List.of(folder)), IncidentAnalysis.Options.allRecords(), n -> { });
    analysis.timeline.answerCounts().forEach((c, n) -> recordCounts.merge(c.className() + " " + c.answer(), n, Long::sum));
    System.out.println("the generator counted " + generatorCounts + ", the records " + recordCounts);
    long difference = 0;
    for (String k : Stream.concat(generatorCounts.keySet().stream(), recordCounts.keySet().stream()).distinct().toList()) {
      difference += Math.abs(generatorCounts.getOrDefault(k, 0L) - recordCounts.getOrDefault(k, 0L));
    }
    return difference;
  }

  // ---- A day of records ---------------------------------------------------------------------------------------------

  private static Map<String, Double> day(Path folder, long records) throws IOException {
    Map<String, Double> figures = new TreeMap<>();
    long start = System.nanoTime();
    write(folder, records);
    Archive archive = new Archive(List.of(folder));
    figures.put("rate", records / ((System.nanoTime() - start) / 1e9));
    figures.put("bytes", archive.bytes() / (double) records);
    System.out.printf("written: %.0f records/s, %.1f bytes each%n", figures.get("rate"), figures.get("bytes"));
    long from = DAY_START_MICROS / 1_000_000 + 43_200;
    Map<String, String> queries = new TreeMap<>(Map.of("ten minutes", "at>=" + from + " and at<" + (from + 600)
        + " and tenant=t3 and answer=refused", "a request", "request=q" + records / 8, "a server that was there for a while",
        "server=rare", "a tenant with few", "tenant=seldom and kind=answered", "every tenth answer", "kind=answered and tenant=t1"));
    for (Map.Entry<String, String> q : queries.entrySet()) {
      double[] best = {Double.MAX_VALUE, Double.MAX_VALUE};
      long[] matches = new long[2];
      int[] blocks = new int[2];
      for (int i = 0; i < 3; i++) {
        long t0 = System.nanoTime();
        Archive.Read indexed = archive.read(Query.of(q.getValue()), e -> { }, n -> { });
        long t1 = System.nanoTime();
        best[0] = Math.min(best[0], (t1 - t0) / 1e9);
        matches[0] = indexed.matching();
        blocks[0] = indexed.blocks();
        if (i == 0) { // The scan takes long and varies little, so it runs once.
          Archive.Read scan = archive.scan(Query.of(q.getValue()), e -> { });
          best[1] = (System.nanoTime() - t1) / 1e9;
          matches[1] = scan.matching();
          blocks[1] = scan.blocks();
        }
      }
      if (matches[0] != matches[1]) {
        throw new IllegalStateException(q.getKey() + ": " + matches[0] + " by index, " + matches[1] + " by scan");
      }
      figures.put(q.getKey(), best[1] / best[0]);
      System.out.printf("%-36s %8d found, index %.3f s in %d blocks, scan %.3f s in %d: %.1f times%n", q.getKey(), matches[0], best[0],
          blocks[0], best[1], blocks[1], best[1] / best[0]);
    }
    long t = System.nanoTime();
    IncidentAnalysis analysis = new IncidentAnalysis(archive, new IncidentAnalysis.Options(Long.MIN_VALUE, Long.MAX_VALUE, 600_000_000L, null,
        cloverpulley.incident.Audit.Limits.DEFAULT), n -> { });
    int htmlLength = new HtmlReport(analysis).html().length();
    figures.put("report", (System.nanoTime() - t) / 1e9);
    System.out.printf("report of the day: %.1f s, %d characters, %d findings%n", figures.get("report"), htmlLength, analysis.audit.findings().size());
    return figures;
  }

  /** Writes four records per served request, spread over a day; at noon a tenth of the requests is rejected for a while. */
  private static void write(Path folder, long records) {
    RecordsConfig defaults = RecordsConfig.of(folder, "day");
    Recorder r = Recorder.open(new RecordsConfig(folder, "day", defaults.segmentBytes(), 1L << 40, 500, 1 << 16, defaults.sync()), "process",
        null);
    SplittableRandom random = new SplittableRandom(SEED);
    Origin o = r.origin();
    long requests = records / 4;
    for (long i = 0; i < requests; i++) {
      while (r.queueSize() > MAX_QUEUED) {
        LockSupport.parkNanos(100_000);
      }
      long at = DAY_START_MICROS + i * (DAY_MICROS / requests);
      String id = "q" + i;
      String type = i % 3 == 0 ? "quote-issue" : "rate-lookup";
      String tenant = i % 100_000 == 7 ? "seldom" : "t" + random.nextInt(10);
      boolean refused = random.nextInt(i > requests / 2 && i < requests / 2 + requests / 100 ? 10 : 1000) == 0;
      long latency = 5000 + random.nextInt(40_000);
      int server = random.nextInt(100);
      String name = i > requests / 3 && i < requests / 3 + 1000 ? "rare" : "s" + server;
      Entry base = Entry.of(o, 0, at, Kind.TAKEN).withRequest(i + 1, id, type, tenant);
      r.record(base.withDetails(null, 2_000_000, 0));
      if (!refused) {
        r.record(entryAt(base, Kind.SENT, at + 50).withAttempt(0, 1000 + server).withServer(1000 + server, name));
        r.record(entryAt(base, Kind.OUTCOME, at + 50 + latency).withAttempt(0, 1000 + server).withServer(1000 + server, name)
            .withDetails("served", latency, 0));
      }
      r.record(entryAt(base, Kind.ENDED, at + 60 + latency).withDetails(refused ? "over_rate" : "served", 0, refused ? 1 : 0));
      r.record(entryAt(base, Kind.ANSWERED, at + 70).withDetails(refused ? "over_rate" : "served", 70, refused ? 1 : 0));
    }
    r.close();
  }

  private static Entry entryAt(Entry e, Kind kind, long at) {
    return new Entry(e.origin(), 0, at, kind, e.request(), e.id(), e.className(), e.tenant(), 0, 0, 0, null, null, 0, 0);
  }

  // ---- Clocks --------------------------------------------------------------------------------------------

  /**
   * The largest error of the midpoint in milliseconds over ten minutes, for clocks 40 s apart with a drift of 200 ppm, and how often the true
   * offset was outside the bounds.
   */
  private static double[] clocks() {
    SplittableRandom random = new SplittableRandom(SEED);
    List<Clocks.Correlation> correlations = new ArrayList<>();
    long seconds = 600;
    for (int i = 0; i < 20_000; i++) {
      long at = DAY_START_MICROS + random.nextLong(seconds * 1_000_000);
      long requestDelay = 100 + random.nextLong(2000);
      long responseDelay = 100 + random.nextLong(2000);
      correlations.add(new Clocks.Correlation("a", at, "b", skewedMicros(at + requestDelay), 0, requestDelay + responseDelay, "call"));
    }
    Map<String, long[]> spans = new TreeMap<>(Map.of("a", new long[] {DAY_START_MICROS, DAY_START_MICROS + seconds * 1_000_000}, "b",
        new long[] {skewedMicros(DAY_START_MICROS), skewedMicros(DAY_START_MICROS + seconds * 1_000_000)}));
    Clocks c = new Clocks("a", spans, correlations);
    double worst = 0;
    double violations = 0;
    for (long t = DAY_START_MICROS; t < DAY_START_MICROS + seconds * 1_000_000; t += 997_000) {
      Clocks.Offset o = c.offset("b", skewedMicros(t));
      long truth = t - skewedMicros(t);
      worst = Math.max(worst, Math.abs(o.midpoint() - truth) / 1000.0);
      violations += truth < o.min() || truth > o.max() ? 1 : 0;
    }
    System.out.printf("clocks: worst error %.2f ms, true offset out of bounds %.0f times%n", worst, violations);
    return new double[] {worst, violations};
  }

  private static long skewedMicros(long truth) {
    return truth - 40_000_000 + (truth - DAY_START_MICROS) / 5000;
  }
}
