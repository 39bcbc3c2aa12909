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
    description = "Puts a planned load on a server and measures honestly: open loop, latencies from each request's intended start.",
    subcommands = {LoadCommand.Run.class, LoadCommand.Show.class, LoadCommand.Replay.class, LoadCommand.Record.class,
      LoadCommand.Compare.class},
    footer = {"", "Exit status of run and replay: 3 where the generator itself fell behind."})
final class LoadCommand implements Callable<Integer> {

  private static final int FELL_BEHIND = 3;

  @Spec
  private CommandSpec spec;

  @Override
  public Integer call() {
    throw new CommandLine.ParameterException(spec.commandLine(), "expected a subcommand");
  }

  /** Where results go. */
  static final class Output {
    @Option(names = "--json", paramLabel = "FILE", description = "writes the results as JSON")
    private Path json;

    @Option(names = "--html", paramLabel = "FILE", description = "writes them as one page with plots")
    private Path html;

    @Option(names = "--quiet", description = "no line each second")
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

    /** A line each second; on a terminal the line is drawn over, with a bar of the time that has passed. */
    Consumer<Results> live(double seconds) {
      if (quiet) {
        return r -> { };
      }
      boolean terminal = System.console() != null;
      int[] second = {0};
      return r -> {
        int now = ++second[0];
        Results.SecondStats last = r.seconds.isEmpty() ? new Results.SecondStats() : r.seconds.get(Math.max(0, r.seconds.size() - 2));
        String text = String.format(Locale.ROOT, "%4d s  asked %d, served %d, p99 of the second before %.1f ms, late p99 %.2f ms", now,
            r.all.requests, r.all.outcomes[Driver.Outcome.SERVED.ordinal()], last.corrected.getTotalCount() == 0 ? 0
                : last.corrected.getValueAtPercentile(99) / 1e3, r.lateness.getTotalCount() == 0 ? 0
                    : r.lateness.getValueAtPercentile(99) / 1e3);
        if (terminal) {
          int done = (int) Math.min(20, 20 * now / seconds);
          System.err.print("\r[" + "#".repeat(done) + ".".repeat(20 - done) + "] " + text + (now >= seconds ? "\n" : ""));
        } else {
          System.err.println(text);
        }
      };
    }
  }

  @Command(name = "run", mixinStandardHelpOptions = true, description = "Plays a plan.")
  static final class Run implements Callable<Integer> {
    @Parameters(paramLabel = "PLAN", description = "the plan file, such as deploy/load-example.toml")
    private Path file;

    @CommandLine.ArgGroup(exclusive = false)
    private Output output = new Output();

    @Option(names = "--records", paramLabel = "DIR",
        description = "writes a record of each try: 'ashdeck incident' brings the clocks together by them")
    private Path records;

    @Option(names = "--instance", paramLabel = "NAME", defaultValue = "caller", description = "the name under which it records")
    private String instance;

    @Override
    public Integer call() throws Exception {
      Plan plan = ConfigFile.read(file, Plan::read);
      LoadRun.warmUp(plan);
      try (Recorder recorder = records == null ? Recorder.NONE : Recorder.forCaller(records, instance)) {
        return output.finish(LoadRun.run(plan, output.live(plan.seconds()), recording(plan, recorder)), file.toString());
      }
    }

    static Runner.AttemptListener recording(Plan plan, Recorder recorder) {
      return (planned, id, outcome, took) -> recorder.recordCall(id, plan.classes().get(planned.classIndex()).name(),
          plan.tenants().get(planned.tenantIndex()).name(), switch (outcome) {
            case SERVED -> Entry.SERVED;
            case REFUSED -> Entry.REFUSED;
            case NO_CONNECTION, NO_ROOM -> Entry.GONE; // Nobody has taken it.
            default -> Entry.FAILED;
          }, took);
    }
  }

  @Command(name = "plan", mixinStandardHelpOptions = true, description = "Checks a plan; with --show draws the rate that it plans.")
  static final class Show implements Callable<Integer> {
    @Parameters(paramLabel = "PLAN")
    private Path file;

    @Option(names = "--show", description = "draws the planned rate as text")
    private boolean show;

    @Override
    public Integer call() throws Exception {
      Plan plan = ConfigFile.read(file, Plan::read);
      System.out.print(show ? PlanFormatter.chart(plan) : file + ": ok, " + PlanFormatter.summary(plan) + "\n");
      return 0;
    }
  }

  @Command(name = "replay", mixinStandardHelpOptions = true,
      description = "Plays a trace with its own spacing; the plan says where to, and what its classes are worth.")
  static final class Replay implements Callable<Integer> {
    @Parameters(index = "0", paramLabel = "TRACE")
    private Path trace;

    @Option(names = "--plan", paramLabel = "PLAN", required = true)
    private Path file;

    @Option(names = "--speed", paramLabel = "N", defaultValue = "1",
        description = "2 plays twice as fast, 0.5 stretches to twice the time (default: ${DEFAULT-VALUE})")
    private double speed;

    @CommandLine.ArgGroup(exclusive = false)
    private Output output = new Output();

    @Override
    public Integer call() throws Exception {
      Plan plan = ConfigFile.read(file, Plan::read);
      LoadRun.warmUp(plan);
      LoadRun.ReplayResult replayed = LoadRun.replay(plan, trace, speed, output.live(plan.seconds()));
      if (replayed.damage() != null) {
        System.out.println("the trace is damaged: " + replayed.damage());
      }
      return output.finish(replayed.results(), trace.toString());
    }
  }

  @Command(name = "record", mixinStandardHelpOptions = true,
      description = "Writes a trace from a front's own records (processor.records_file), as they stand or while they are written.")
  static final class Record implements Callable<Integer> {
    @Parameters(index = "0", paramLabel = "RECORDS", description = "the processor's records_file, or the folder of [records]")
    private Path records;

    @Option(names = "--out", paramLabel = "TRACE", required = true)
    private Path out;

    @Option(names = "--seconds", paramLabel = "N", defaultValue = "0",
        description = "follows the file for so long from now; 0 takes what is in it (default: ${DEFAULT-VALUE})")
    private double seconds;

    @Override
    public Integer call() throws Exception {
      if (seconds == 0 && !Files.exists(records)) {
        throw new IOException("no records at " + records);
      }
      if (Files.isDirectory(records)) {
        return fromArchive();
      }
      try (var to = new BufferedOutputStream(Files.newOutputStream(out))) {
        RecordsReader.Summary summary =
            seconds > 0 ? RecordsReader.follow(records, to, seconds) : RecordsReader.convert(records, to);
        System.out.println(out + ": " + summary.requests() + " requests, " + summary.unreadable() + " lines that can't be read, "
            + summary.dropped() + " dropped by the front");
      }
      return 0;
    }

    private int fromArchive() throws IOException {
      if (seconds > 0) {
        throw new IllegalArgumentException("--seconds goes with a file of lines: of a folder all that it holds is taken");
      }
      try (var to = new BufferedOutputStream(Files.newOutputStream(out))) {
        ArchiveTrace.Summary summary = ArchiveTrace.convert(new Archive(java.util.List.of(records)), to);
        System.out.println(out + ": " + summary.requests() + " requests, " + summary.unmatched() + " without a key or hint, " + summary.dropped()
            + " dropped by the front, " + summary.corruptBlocks() + " spoilt blocks");
      }
      return 0;
    }
  }

  @Command(name = "compare", mixinStandardHelpOptions = true,
      description = "Two runs side by side, from their --json files, with the noise that chance alone makes.")
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
