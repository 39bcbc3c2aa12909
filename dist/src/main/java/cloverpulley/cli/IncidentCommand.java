package cloverpulley.cli;

import cloverpulley.incident.Audit;
import cloverpulley.incident.ChangePointAnalysis;
import cloverpulley.incident.Query;
import cloverpulley.incident.tool.Console;
import cloverpulley.incident.tool.EntryFormatter;
import cloverpulley.incident.tool.HtmlReport;
import cloverpulley.incident.tool.IncidentAnalysis;
import cloverpulley.incident.tool.RequestExplainer;
import cloverpulley.incident.tool.Sanitizer;
import cloverpulley.records.Archive;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.function.LongConsumer;
import me.tongfei.progressbar.ProgressBar;
import me.tongfei.progressbar.ProgressBarBuilder;
import me.tongfei.progressbar.ProgressBarStyle;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

@Command(name = "incident", mixinStandardHelpOptions = true,
    description = "Analyzes incidents from the event records that [records] of the operators' file configures.",
    subcommands = {IncidentCommand.WriteReport.class, IncidentCommand.RunQuery.class, IncidentCommand.Explain.class,
      IncidentCommand.FindCauses.class, IncidentCommand.Verify.class, IncidentCommand.ShowConsole.class},
    footer = {"", "Times are ISO 8601 (2026-12-01T10:00:00Z) or Unix seconds, on the reference instance's clock."})
final class IncidentCommand implements Callable<Integer> {

  private static final int EXIT_VIOLATION = 1;
  private static final int MAX_MINUTES = 1440;

  @Spec
  private CommandSpec spec;

  @Override
  public Integer call() {
    throw new CommandLine.ParameterException(spec.commandLine(), "expected a subcommand");
  }

  /** The records to read, their time range and the reference clock. */
  static final class RecordSelection {
    @Parameters(index = "0..*", arity = "1..*", paramLabel = "DIR", description = "record folders or segment files")
    private List<Path> paths;

    @Option(names = "--from", paramLabel = "TIME", converter = TimeConverter.class, description = "excludes records before this time")
    private Long from;

    @Option(names = "--to", paramLabel = "TIME", converter = TimeConverter.class, description = "excludes records after this time")
    private Long to;

    @Option(names = "--reference", paramLabel = "INSTANCE",
        description = "the instance whose clock is the reference (default: a caller, or the first)")
    private String reference;

    Archive openArchive() throws IOException {
      for (Path p : paths) {
        if (!Files.exists(p)) {
          throw new IOException(p + ": no such file or folder");
        }
      }
      Archive archive = new Archive(paths);
      if (archive.segments().isEmpty()) {
        throw new IOException("no records in " + paths);
      }
      archive.segments().stream().filter(s -> s.problem() != null)
          .forEach(s -> System.err.println(s.file() + ": skipped, " + s.problem()));
      return archive;
    }

    IncidentAnalysis analyze(double intervalSeconds) throws IOException {
      Archive archive = openArchive();
      IncidentAnalysis.Options options = new IncidentAnalysis.Options(from == null ? Long.MIN_VALUE : from, to == null ? Long.MAX_VALUE : to,
          (long) (intervalSeconds * 1e6), reference, Audit.Limits.DEFAULT);
      try (Progress progress = new Progress(archive.bytes())) {
        return new IncidentAnalysis(archive, options, progress);
      }
    }
  }

  /** A progress bar for large archives; shown only on a terminal. */
  private static final class Progress implements LongConsumer, AutoCloseable {
    private static final long MIN_BYTES = 32 << 20;
    private final ProgressBar bar;

    Progress(long bytes) {
      bar = System.console() == null || bytes < MIN_BYTES ? null : new ProgressBarBuilder().setTaskName("reading")
          .setInitialMax(bytes >> 20).setUnit(" MB", 1).setStyle(ProgressBarStyle.ASCII).build();
    }

    @Override
    public void accept(long bytes) {
      if (bar != null) {
        bar.stepTo(bytes >> 20);
      }
    }

    @Override
    public void close() {
      if (bar != null) {
        bar.close();
      }
    }
  }

  /** Converts a time to microseconds since the Unix epoch. */
  static final class TimeConverter implements CommandLine.ITypeConverter<Long> {
    @Override
    public Long convert(String text) {
      try {
        return Query.parseTime(text);
      } catch (IllegalArgumentException e) {
        throw new CommandLine.TypeConversionException(e.getMessage());
      }
    }
  }

  @Command(name = "report", mixinStandardHelpOptions = true, description = "Writes an HTML page with the timeline, the rules, the fleet "
      + "and the gaps in the records.")
  static final class WriteReport implements Callable<Integer> {
    @Mixin
    private RecordSelection selection;

    @Option(names = {"-o", "--output"}, paramLabel = "FILE", required = true, description = "the HTML file to write")
    private Path file;

    @Option(names = "--span", paramLabel = "SECONDS", defaultValue = "10", description = "length of a counting interval (default: 10)")
    private double interval;

    @Override
    public Integer call() throws IOException {
      if (!(interval >= 0.1 && interval <= 86_400)) {
        throw new IllegalArgumentException("--span must be 0.1 to 86400");
      }
      IncidentAnalysis analysis = selection.analyze(interval);
      Files.writeString(file, new HtmlReport(analysis).html());
      System.out.println(file + ": " + analysis.read.records() + " records, " + analysis.timeline.count(null, null, null, null)
          + " requests answered, " + analysis.timeline.unresolvedRequests() + " with unknown outcome, "
          + analysis.audit.findings().size() + " findings");
      return 0;
    }
  }

  @Command(name = "query", mixinStandardHelpOptions = true, description = "Lists the records that match a query.",
      footer = {"", "Example: kind=answered and tenant=agro-tehnika and (answer=refused or latency_ms>400)",
        "Fields: kind word class tenant server upstream instance request answer (= != ~), attempt latency_ms value number at"})
  static final class RunQuery implements Callable<Integer> {
    @Parameters(index = "0", paramLabel = "EXPR")
    private String expression;

    @Parameters(index = "1..*", arity = "1..*", paramLabel = "DIR")
    private List<Path> paths;

    @Option(names = "--json", description = "one JSON object per line")
    private boolean json;

    @Option(names = "--most", paramLabel = "N", defaultValue = "1000", description = "maximum number of records (default: 1000)")
    private long limit;

    @Option(names = "--count", description = "prints only the number of matches")
    private boolean count;

    @Override
    public Integer call() throws IOException {
      Query q = Query.of(expression);
      RecordSelection selection = new RecordSelection();
      selection.paths = paths;
      long[] matched = {0};
      Archive.Read read = selection.openArchive().read(q, e -> {
        if (!count && matched[0]++ < limit) {
          try {
            System.out.println(json ? EntryFormatter.json(e) : EntryFormatter.text(e));
          } catch (IOException x) {
            throw new java.io.UncheckedIOException(x);
          }
        }
      }, n -> { });
      if (count) {
        System.out.println(read.matching());
      } else if (read.matching() > limit) {
        System.err.println(read.matching() - limit + " more");
      }
      if (read.corruptBlocks() > 0 || read.truncatedBytes() > 0) {
        System.err.println(read.corruptBlocks() + " corrupt blocks, " + read.truncatedBytes() + " bytes truncated");
      }
      return 0;
    }
  }

  @Command(name = "why", mixinStandardHelpOptions = true, description = "Explains the decisions about one request and what was known at each.")
  static final class Explain implements Callable<Integer> {
    @Parameters(index = "0", paramLabel = "REQUEST", description = "the caller's request id, or INSTANCE/START#NUMBER as shown by 'query'")
    private String request;

    @Parameters(index = "1..*", arity = "1..*", paramLabel = "DIR")
    private List<Path> paths;

    @Override
    public Integer call() throws IOException {
      RecordSelection selection = new RecordSelection();
      selection.paths = paths;
      if (!new RequestExplainer(selection.openArchive(), request).explain(System.out::println)) {
        throw new IOException("no record of this request");
      }
      return 0;
    }
  }

  @Command(name = "causes", mixinStandardHelpOptions = true,
      description = "Finds rises in the ratio of failed answers and the changes that preceded each.")
  static final class FindCauses implements Callable<Integer> {
    @Mixin
    private RecordSelection selection;

    @Override
    public Integer call() throws IOException {
      IncidentAnalysis analysis = selection.analyze(1);
      List<ChangePointAnalysis.CandidateCause> causes = analysis.changePoints.candidateCauses();
      List<ChangePointAnalysis.Rise> rises = analysis.changePoints.rises();
      if (rises.isEmpty()) {
        System.out.println("no rise in the ratio of failed answers");
      }
      for (ChangePointAnalysis.Rise r : rises) {
        System.out.printf(Locale.ROOT, "%s  from %.2f%% to %.2f%% of %d answers, p-value %.2g%n", instant(r.at()), 100 * r.ratioBefore(),
            100 * r.ratioAfter(), r.answers(), r.pValue());
        causes.stream().filter(c -> c.rise().equals(r)).limit(8).forEach(c -> System.out.printf(Locale.ROOT,
            "    %.1f s earlier: %s (recorded by %s; p-value %.2g)%n", (r.at() - c.at()) / 1e6,
            Sanitizer.printable(c.description()), Sanitizer.printable(c.instance()), c.pValue()));
      }
      return 0;
    }

    private static Instant instant(long micros) {
      return Instant.ofEpochMilli(Math.floorDiv(micros, 1000));
    }
  }

  @Command(name = "verify", mixinStandardHelpOptions = true, description = "Checks the four rules and the sums from the records.",
      footer = {"", "Exit status: 1 if a rule was certainly broken."})
  static final class Verify implements Callable<Integer> {
    @Mixin
    private RecordSelection selection;

    @Override
    public Integer call() throws IOException {
      IncidentAnalysis analysis = selection.analyze(10);
      List<Audit.Finding> findings = analysis.audit.findings();
      analysis.audit.checkCounts().forEach((check, n) -> System.out.printf("%-22s checked %9d, broken %d, unsettled %d%n",
          check.name().toLowerCase(Locale.ROOT), n, findings.stream().filter(f -> f.check() == check && f.certain()).count(),
          findings.stream().filter(f -> f.check() == check && !f.certain()).count()));
      findings.stream().limit(50).forEach(f -> System.out.println(Sanitizer.printable((f.certain() ? "BROKEN " : "unsettled ")
          + f.check().name().toLowerCase(Locale.ROOT) + " " + f.origin().instance() + " " + (f.request() == null ? "" : f.request() + " ")
          + f.description())));
      analysis.timeline.gaps(analysis.clocks)
          .forEach(g -> System.out.println(Sanitizer.printable("not known: " + g.instance() + ", " + g.reason())));
      if (analysis.read.corruptBlocks() > 0 || analysis.read.truncatedBytes() > 0) {
        System.out.println("not known: " + analysis.read.corruptBlocks() + " corrupt blocks, " + analysis.read.truncatedBytes()
            + " bytes truncated");
      }
      return findings.stream().anyMatch(Audit.Finding::certain) ? EXIT_VIOLATION : 0;
    }
  }

  @Command(name = "console", mixinStandardHelpOptions = true, description = "Shows the last minutes live in the terminal; q quits.")
  static final class ShowConsole implements Callable<Integer> {
    @Parameters(index = "0..*", arity = "1..*", paramLabel = "DIR")
    private List<Path> paths;

    @Option(names = "--minutes", paramLabel = "N", defaultValue = "2", description = "minutes to show (default: 2)")
    private int minutes;

    @Option(names = "--redraws", paramLabel = "N", defaultValue = "0", description = "exits after this many redraws; 0 for never (default)")
    private int redraws;

    @Override
    public Integer call() throws IOException {
      if (minutes < 1 || minutes > MAX_MINUTES) {
        throw new IllegalArgumentException("--minutes must be 1 to " + MAX_MINUTES);
      }
      new Console(paths, minutes * 60_000_000L).run(redraws);
      return 0;
    }
  }
}
