package cloverpulley.bench;

import cloverpulley.bench.ProcessorClient.Result;
import cloverpulley.config.BadFileException;
import cloverpulley.config.OperatorsFile;
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
 * What records cost and give: the processor with and without them by turns; a day of ten million records written, asked by index and by
 * plain scan, and made into a report; the counts of a short load against its generator's; clocks against a known truth.
 */
public final class IncidentBench {

  private static final long SEED = 20261201;
  private static final int AT_ONCE = 256;
  private static final long DAY = 1_764_547_200_000_000L;
  private static final long DAY_MICROS = 86_400_000_000L;
  private static final int BACKLOG = 30_000;
  private static final List<String> OPTIONS = List.of("-XX:+UseParallelGC", "-Xmx1g", "-Xms1g");
  private static final String REMEMBERED = "1000000";
  private static final int WARM_UPS = 3;

  private IncidentBench() {}

  /** {@code --rounds N}, {@code --seconds N} of each run, {@code --records N} of the day. */
  public static void main(String[] args) throws IOException, InterruptedException, BadFileException {
    List<String> given = Arrays.asList(args);
    int rounds = (int) option(given, "--rounds", 5);
    int seconds = (int) option(given, "--seconds", 3);
    long records = option(given, "--records", 10_000_000);
    Path folder = Files.createTempDirectory("ashdeck-incident-bench");
    try {
      System.out.println("seed " + SEED + ", " + rounds + " rounds of " + seconds + " s, a day of " + records + " records");
      double[] cost = cost(folder.resolve("cost"), rounds, seconds);
      long mismatches = mismatches(folder.resolve("match"));
      Map<String, Double> day = day(folder.resolve("day"), records);
      double[] clock = clocks();
      System.out.println(ChildProcess.json("cost_ratio", ChildProcess.figure(cost[0]), "cpu_ratio", ChildProcess.figure(cost[1]), "p99_ratio",
          ChildProcess.figure(cost[2]), "bytes_per_record", ChildProcess.figure(day.get("bytes")), "index_speedup", ChildProcess.figure(day.get("ten minutes")),
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

  private static long option(List<String> given, String name, long absent) {
    int at = given.indexOf(name);
    return at < 0 ? absent : Long.parseLong(given.get(at + 1));
  }

  // ---- Beside the service --------------------------------------------------------------------------------

  private static double median(List<Double> values) {
    return values.stream().sorted().toList().get(values.size() / 2);
  }

  /** Throughput with records over that without, CPU a call and p99 likewise: medians of the rounds' own ratios. */
  private static double[] cost(Path folder, int rounds, int seconds) throws IOException, InterruptedException {
    List<Double> rate = new ArrayList<>();
    List<Double> cpu = new ArrayList<>();
    List<Double> p99 = new ArrayList<>();
    try (ChildProcess without = new ChildProcess(OPTIONS, Servers.class, "100", "-", REMEMBERED);
        ChildProcess with = new ChildProcess(OPTIONS, Servers.class, "100", folder.toString(), REMEMBERED);
        ProcessorClient to = new ProcessorClient(without.readPort(), SEED); ProcessorClient recorded = new ProcessorClient(with.readPort(), SEED)) {
      for (int i = 0; i < WARM_UPS; i++) { // Compiled code on both sides, and in the caller, before anything counts.
        to.closed(AT_ONCE, seconds);
        recorded.closed(AT_ONCE, seconds);
        to.open(5000, seconds);
        recorded.open(5000, seconds);
      }
      for (int i = 0; i < rounds; i++) {
        // Who goes first changes from round to round.
        Result[] full = new Result[2];
        Result[] open = new Result[2];
        double[] spent = new double[2];
        for (int turn = 0; turn < 2; turn++) {
          int which = (turn + i) % 2;
          ProcessorClient c = which == 0 ? to : recorded;
          ChildProcess child = which == 0 ? without : with;
          full[which] = c.closed(AT_ONCE, seconds);
          TimeUnit.MILLISECONDS.sleep(500); // What is compiled or written behind the full load is not the next run's.
          double before = child.cpuMicros();
          open[which] = c.open(5000, seconds);
          spent[which] = (child.cpuMicros() - before) / open[which].calls();
        }
        rate.add(sent(full[1]) / sent(full[0]));
        cpu.add(spent[1] / spent[0]);
        p99.add((double) open[1].verdicts().getValueAtPercentile(99) / open[0].verdicts().getValueAtPercentile(99));
        System.out.printf("round %d: %.0f and %.0f calls a second without and with records, CPU %.1f and %.1f us a call%n", i + 1,
            sent(full[0]), sent(full[1]), spent[0], spent[1]);
        System.out.printf("         sent of all %.3f and %.3f%n", full[0].destinations() / (double) full[0].calls(),
            full[1].destinations() / (double) full[1].calls());
      }
    }
    return new double[] {median(rate), median(cpu), median(p99)};
  }

  /** Destinations a second: a refusal is a cheap verdict. */
  private static double sent(Result r) {
    return r.rate() * r.destinations() / r.calls();
  }

  private static long mismatches(Path folder) throws IOException, InterruptedException, BadFileException {
    Map<String, Long> asked = new TreeMap<>();
    Map<String, Long> counted = new TreeMap<>();
    try (ChildProcess child = new ChildProcess(OPTIONS, Servers.class, "100", folder.resolve("p").toString())) {
      Plan plan = OperatorsFile.parse("plan", """
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
      LoadRun.run(plan, r -> { }, (planned, id, outcome, took) -> asked.merge(plan.classes().get(planned.classIndex()).name() + " "
          + (outcome == Outcome.SERVED ? Entry.SERVED : outcome == Outcome.REFUSED ? Entry.REFUSED : Entry.FAILED), 1L, Long::sum));
      TimeUnit.SECONDS.sleep(2); // What waits is flushed twice a second.
    }
    IncidentAnalysis s = new IncidentAnalysis(new Archive(List.of(folder)), IncidentAnalysis.Options.allRecords(), n -> { });
    s.timeline.answerCounts().forEach((c, n) -> counted.merge(c.className() + " " + c.answer(), n, Long::sum));
    System.out.println("the generator counted " + asked + ", the records " + counted);
    long off = 0;
    for (String k : Stream.concat(asked.keySet().stream(), counted.keySet().stream()).distinct().toList()) {
      off += Math.abs(asked.getOrDefault(k, 0L) - counted.getOrDefault(k, 0L));
    }
    return off;
  }

  // ---- A day ---------------------------------------------------------------------------------------------

  private static Map<String, Double> day(Path folder, long records) throws IOException {
    Map<String, Double> figures = new TreeMap<>();
    long start = System.nanoTime();
    write(folder, records);
    Archive archive = new Archive(List.of(folder));
    figures.put("rate", records / ((System.nanoTime() - start) / 1e9));
    figures.put("bytes", archive.bytes() / (double) records);
    System.out.printf("written: %.0f records a second, %.1f octets each%n", figures.get("rate"), figures.get("bytes"));
    long from = DAY / 1_000_000 + 43_200;
    Map<String, String> questions = new TreeMap<>(Map.of("ten minutes", "at>=" + from + " and at<" + (from + 600)
        + " and tenant=t3 and answer=refused", "a request", "request=q" + records / 8, "a server that was there for a while",
        "server=rare", "a tenant with few", "tenant=seldom and kind=answered", "every tenth answer", "kind=answered and tenant=t1"));
    for (Map.Entry<String, String> q : questions.entrySet()) {
      double[] best = {Double.MAX_VALUE, Double.MAX_VALUE};
      long[] found = new long[2];
      int[] blocks = new int[2];
      for (int i = 0; i < 3; i++) {
        long t0 = System.nanoTime();
        Archive.Read by = archive.read(Query.of(q.getValue()), e -> { }, n -> { });
        long t1 = System.nanoTime();
        best[0] = Math.min(best[0], (t1 - t0) / 1e9);
        found[0] = by.matching();
        blocks[0] = by.blocks();
        if (i == 0) { // The scan is long and steady: once.
          Archive.Read scan = archive.scan(Query.of(q.getValue()), e -> { });
          best[1] = (System.nanoTime() - t1) / 1e9;
          found[1] = scan.matching();
          blocks[1] = scan.blocks();
        }
      }
      if (found[0] != found[1]) {
        throw new IllegalStateException(q.getKey() + ": " + found[0] + " by index, " + found[1] + " by scan");
      }
      figures.put(q.getKey(), best[1] / best[0]);
      System.out.printf("%-36s %8d found, index %.3f s in %d blocks, scan %.3f s in %d: %.1f times%n", q.getKey(), found[0], best[0],
          blocks[0], best[1], blocks[1], best[1] / best[0]);
    }
    long t = System.nanoTime();
    IncidentAnalysis s = new IncidentAnalysis(archive, new IncidentAnalysis.Options(Long.MIN_VALUE, Long.MAX_VALUE, 600_000_000L, null,
        cloverpulley.incident.Audit.Limits.DEFAULT), n -> { });
    int page = new HtmlReport(s).html().length();
    figures.put("report", (System.nanoTime() - t) / 1e9);
    System.out.printf("report of the day: %.1f s, %d octets, %d findings%n", figures.get("report"), page, s.audit.findings().size());
    return figures;
  }

  /** Four records a request, spread over a day; a tenth of the requests is refused for a while at noon. */
  private static void write(Path folder, long records) {
    RecordsConfig usual = RecordsConfig.of(folder, "day");
    Recorder r = Recorder.open(new RecordsConfig(folder, "day", usual.segmentBytes(), 1L << 40, 500, 1 << 16, usual.sync()), "process",
        null);
    SplittableRandom random = new SplittableRandom(SEED);
    Origin o = r.origin();
    long requests = records / 4;
    for (long i = 0; i < requests; i++) {
      while (r.queueSize() > BACKLOG) {
        LockSupport.parkNanos(100_000);
      }
      long at = DAY + i * (DAY_MICROS / requests);
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
        r.record(kind(base, Kind.SENT, at + 50).withAttempt(0, 1000 + server).withServer(1000 + server, name));
        r.record(kind(base, Kind.OUTCOME, at + 50 + latency).withAttempt(0, 1000 + server).withServer(1000 + server, name)
            .withDetails("served", latency, 0));
      }
      r.record(kind(base, Kind.ENDED, at + 60 + latency).withDetails(refused ? "over_rate" : "served", 0, refused ? 1 : 0));
      r.record(kind(base, Kind.ANSWERED, at + 70).withDetails(refused ? "over_rate" : "served", 70, refused ? 1 : 0));
    }
    r.close();
  }

  private static Entry kind(Entry e, Kind kind, long at) {
    return new Entry(e.origin(), 0, at, kind, e.request(), e.id(), e.className(), e.tenant(), 0, 0, 0, null, null, 0, 0);
  }

  // ---- Clocks --------------------------------------------------------------------------------------------

  /** The largest error of the middle in milliseconds over ten minutes, 40 s apart with a drift of 200 ppm; and how often a bound broke. */
  private static double[] clocks() {
    SplittableRandom random = new SplittableRandom(SEED);
    List<Clocks.Correlation> ties = new ArrayList<>();
    long seconds = 600;
    for (int i = 0; i < 20_000; i++) {
      long at = DAY + random.nextLong(seconds * 1_000_000);
      long there = 100 + random.nextLong(2000);
      long back = 100 + random.nextLong(2000);
      ties.add(new Clocks.Correlation("a", at, "b", shown(at + there), 0, there + back, "call"));
    }
    Map<String, long[]> spans = new TreeMap<>(Map.of("a", new long[] {DAY, DAY + seconds * 1_000_000}, "b",
        new long[] {shown(DAY), shown(DAY + seconds * 1_000_000)}));
    Clocks c = new Clocks("a", spans, ties);
    double worst = 0;
    double broken = 0;
    for (long t = DAY; t < DAY + seconds * 1_000_000; t += 997_000) {
      Clocks.Offset o = c.offset("b", shown(t));
      long truth = t - shown(t);
      worst = Math.max(worst, Math.abs(o.midpoint() - truth) / 1000.0);
      broken += truth < o.min() || truth > o.max() ? 1 : 0;
    }
    System.out.printf("clocks: worst error %.2f ms, bounds broken %.0f times%n", worst, broken);
    return new double[] {worst, broken};
  }

  private static long shown(long truth) {
    return truth - 40_000_000 + (truth - DAY) / 5000;
  }
}
