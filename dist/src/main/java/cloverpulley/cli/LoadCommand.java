package cloverpulley.cli;

import cloverpulley.config.ConfigFile;
import cloverpulley.incident.Entry;
import cloverpulley.load.ArchiveTrace;
import cloverpulley.load.Comparison;
import cloverpulley.load.Driver;
import cloverpulley.load.LoadRun;
import cloverpulley.load.Plan;
import cloverpulley.load.PlanFormatter;
import cloverpulley.load.RecordsReader;
import cloverpulley.load.Report;
import cloverpulley.load.Results;
import cloverpulley.load.Runner;
import cloverpulley.records.Archive;
import cloverpulley.records.Recorder;
import java.io.BufferedOutputStream;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.function.Consumer;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

@Command(name = "load", mixinStandardHelpOptions = true,
    description = "Generates a planned load in an open loop and measures latencies from each request's intended start.",
    subcommands = {LoadCommand.RunPlan.class, LoadCommand.CheckPlan.class, LoadCommand.Replay.class, LoadCommand.Record.class,
      LoadCommand.Compare.class},
    footer = {"", "Exit status of run and replay: 3 if the generator itself fell behind."})
final class LoadCommand implements Callable<Integer> {

  private static final int FELL_BEHIND = 3;

  @Spec
  private CommandSpec spec;

  @Override
  public Integer call() {
    throw new CommandLine.ParameterException(spec.commandLine(), "expected a subcommand");
  }

  /** Output options of a run. */
  static final class Output {
    @Option(names = "--json", paramLabel = "FILE", description = "writes the results as JSON")
    private Path json;

    @Option(names = "--html", paramLabel = "FILE", description = "writes the results as an HTML page with plots")
    private Path html;

    @Option(names = "--quiet", description = "prints no progress")
    private boolean quiet;

    int finish(Results results, String title) throws IOException {
      Report report = new Report(results);
      System.out.print(report.text());
      if (json != null) {
        Files.writeString(json, report.json());
      }
      if (html != null) {
        Files.writeString(html, report.html(title));
      }
      return results.fellBehind() ? FELL_BEHIND : 0;
    }

    /** Prints a line each second; on a terminal the line is overwritten and has a progress bar of the elapsed time. */
    Consumer<Results> progressListener(double seconds) {
      if (quiet) {
        return r -> { };
      }
      boolean terminal = System.console() != null;
      int[] secondCount = {0};
      return r -> {
        int elapsedSeconds = ++secondCount[0];
        Results.SecondStats lastSecond = r.seconds.isEmpty() ? new Results.SecondStats() : r.seconds.get(Math.max(0, r.seconds.size() - 2));
        String text = String.format(Locale.ROOT, "%4d s  asked %d, served %d, p99 of the last second %.1f ms, lateness p99 %.2f ms",
            elapsedSeconds, r.all.requests, r.all.outcomes[Driver.Outcome.SERVED.ordinal()], lastSecond.corrected.getTotalCount() == 0 ? 0
                : lastSecond.corrected.getValueAtPercentile(99) / 1e3, r.lateness.getTotalCount() == 0 ? 0
                    : r.lateness.getValueAtPercentile(99) / 1e3);
        if (terminal) {
          int done = (int) Math.min(20, 20 * elapsedSeconds / seconds);
          System.err.print("\r[" + "#".repeat(done) + ".".repeat(20 - done) + "] " + text + (elapsedSeconds >= seconds ? "\n" : ""));
        } else {
          System.err.println(text);
        }
      };
    }
  }

  @Command(name = "run", mixinStandardHelpOptions = true, description = "Runs a plan.")
  static final class RunPlan implements Callable<Integer> {
    @Parameters(paramLabel = "PLAN", description = "the plan file, such as deploy/load-example.toml")
    private Path file;

    @CommandLine.ArgGroup(exclusive = false)
    private Output output = new Output();

    @Option(names = "--records", paramLabel = "DIR",
        description = "records each attempt; 'ashdeck incident' aligns the instances' clocks by these records")
    private Path records;

    @Option(names = "--instance", paramLabel = "NAME", defaultValue = "caller", description = "the instance name in the records")
    private String instance;

    @Override
    public Integer call() throws Exception {
      Plan plan = ConfigFile.read(file, Plan::read);
      LoadRun.warmUp(plan);
      try (Recorder recorder = records == null ? Recorder.NONE : Recorder.forCaller(records, instance)) {
        return output.finish(LoadRun.run(plan, output.progressListener(plan.seconds()), attemptRecorder(plan, recorder)), file.toString());
      }
    }

    static Runner.AttemptListener attemptRecorder(Plan plan, Recorder recorder) {
      return (planned, id, outcome, latencyNanos) -> recorder.recordCall(id, plan.classes().get(planned.classIndex()).name(),
          plan.tenants().get(planned.tenantIndex()).name(), switch (outcome) {
            case SERVED -> Entry.SERVED;
            case REFUSED -> Entry.REFUSED;
            case NO_CONNECTION, NO_ROOM -> Entry.GONE; // No server accepted it.
            default -> Entry.FAILED;
          }, latencyNanos);
    }
  }

  @Command(name = "plan", mixinStandardHelpOptions = true, description = "Validates a plan; with --show, draws its rate over time.")
  static final class CheckPlan implements Callable<Integer> {
    @Parameters(paramLabel = "PLAN")
    private Path file;

    @Option(names = "--show", description = "draws the planned rate as a text chart")
    private boolean chart;

    @Override
    public Integer call() throws Exception {
      Plan plan = ConfigFile.read(file, Plan::read);
      System.out.print(chart ? PlanFormatter.chart(plan) : file + ": ok, " + PlanFormatter.summary(plan) + "\n");
      return 0;
    }
  }

  @Command(name = "replay", mixinStandardHelpOptions = true,
      description = "Replays a trace with its original timing; the plan gives the target and the worth of the classes.")
  static final class Replay implements Callable<Integer> {
    @Parameters(index = "0", paramLabel = "TRACE")
    private Path trace;

    @Option(names = "--plan", paramLabel = "PLAN", required = true)
    private Path file;

    @Option(names = "--speed", paramLabel = "N", defaultValue = "1",
        description = "2 replays twice as fast, 0.5 half as fast (default: ${DEFAULT-VALUE})")
    private double speed;

    @CommandLine.ArgGroup(exclusive = false)
    private Output output = new Output();

    @Override
    public Integer call() throws Exception {
      Plan plan = ConfigFile.read(file, Plan::read);
      LoadRun.warmUp(plan);
      LoadRun.ReplayResult replayed = LoadRun.replay(plan, trace, speed, output.progressListener(plan.seconds()));
      if (replayed.damage() != null) {
        System.out.println("the trace is corrupt: " + replayed.damage());
      }
      return output.finish(replayed.results(), trace.toString());
    }
  }

  @Command(name = "record", mixinStandardHelpOptions = true,
      description = "Writes a trace from the records of a server (processor.records_file), existing ones or as they are written.")
  static final class Record implements Callable<Integer> {
    @Parameters(index = "0", paramLabel = "RECORDS", description = "the processor's records_file, or the folder of [records]")
    private Path records;

    @Option(names = "--out", paramLabel = "TRACE", required = true)
    private Path out;

    @Option(names = "--seconds", paramLabel = "N", defaultValue = "0",
        description = "how long to follow the file from now on; 0 converts its present content (default: ${DEFAULT-VALUE})")
    private double seconds;

    @Override
    public Integer call() throws Exception {
      if (seconds == 0 && !Files.exists(records)) {
        throw new IOException("no records at " + records);
      }
      if (Files.isDirectory(records)) {
        return fromArchive();
      }
      try (var stream = new BufferedOutputStream(Files.newOutputStream(out))) {
        RecordsReader.Summary summary =
            seconds > 0 ? RecordsReader.follow(records, stream, seconds) : RecordsReader.convert(records, stream);
        System.out.println(out + ": " + summary.requests() + " requests, " + summary.unreadable() + " unreadable lines, "
            + summary.dropped() + " dropped by the server");
      }
      return 0;
    }

    private int fromArchive() throws IOException {
      if (seconds > 0) {
        throw new IllegalArgumentException("--seconds needs a records file: a folder is converted as a whole");
      }
      try (var stream = new BufferedOutputStream(Files.newOutputStream(out))) {
        ArchiveTrace.Summary summary = ArchiveTrace.convert(new Archive(java.util.List.of(records)), stream);
        System.out.println(out + ": " + summary.requests() + " requests, " + summary.unmatched() + " without a key or hint, " + summary.dropped()
            + " dropped by the server, " + summary.corruptBlocks() + " corrupt blocks");
      }
      return 0;
    }
  }

  @Command(name = "compare", mixinStandardHelpOptions = true,
      description = "Compares two runs from their --json files, with the differences expected by chance.")
  static final class Compare implements Callable<Integer> {
    @Parameters(index = "0", paramLabel = "A")
    private Path a;

    @Parameters(index = "1", paramLabel = "B")
    private Path b;

    @Override
    public Integer call() throws IOException {
      System.out.print(Comparison.of(Files.readString(a), Files.readString(b)).text());
      return 0;
    }
  }
}
