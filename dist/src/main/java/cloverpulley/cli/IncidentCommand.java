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
    description = "Says what happened, out of the records that [records] of the operators' file has written.",
    subcommands = {IncidentCommand.ReportTo.class, IncidentCommand.Ask.class, IncidentCommand.Explain.class,
      IncidentCommand.Before.class, IncidentCommand.Verify.class, IncidentCommand.Live.class},
    footer = {"", "Times are ISO 8601 (2026-12-01T10:00:00Z) or Unix seconds, on the clock of the reference."})
final class IncidentCommand implements Callable<Integer> {

  private static final int BROKEN = 1;
  private static final int MOST_MINUTES = 1440;

  @Spec
  private CommandSpec spec;

  @Override
  public Integer call() {
    throw new CommandLine.ParameterException(spec.commandLine(), "expected a subcommand");
  }

  /** Which records, of when, on whose clock. */
  static final class Source {
    @Parameters(index = "0..*", arity = "1..*", paramLabel = "DIR", description = "folders of records, or segments")
    private List<Path> places;

    @Option(names = "--from", paramLabel = "TIME", converter = Time.class, description = "leaves out what was before")
    private Long from;

    @Option(names = "--to", paramLabel = "TIME", converter = Time.class, description = "leaves out what was after")
    private Long to;

    @Option(names = "--reference", paramLabel = "INSTANCE", description = "whose clock counts (default: a caller's, or the first one's)")
    private String reference;

    Archive open() throws IOException {
      for (Path p : places) {
        if (!Files.exists(p)) {
          throw new IOException(p + ": no such folder or file");
        }
      }
      Archive archive = new Archive(places);
      if (archive.segments().isEmpty()) {
        throw new IOException("no records in " + places);
      }
      archive.segments().stream().filter(s -> s.problem() != null)
          .forEach(s -> System.err.println(s.file() + ": not read, " + s.problem()));
      return archive;
    }

    IncidentAnalysis study(double spanSeconds) throws IOException {
      Archive archive = open();
      IncidentAnalysis.Options options = new IncidentAnalysis.Options(from == null ? Long.MIN_VALUE : from, to == null ? Long.MAX_VALUE : to,
          (long) (spanSeconds * 1e6), reference, Audit.Limits.DEFAULT);
      try (Progress progress = new Progress(archive.bytes())) {
        return new IncidentAnalysis(archive, options, progress);
      }
    }
  }

  /** A bar on a terminal, for readings that take long; nothing elsewhere. */
  private static final class Progress implements LongConsumer, AutoCloseable {
    private static final long LEAST_OCTETS = 32 << 20;
    private final ProgressBar bar;

    Progress(long octets) {
      bar = System.console() == null || octets < LEAST_OCTETS ? null : new ProgressBarBuilder().setTaskName("reading")
          .setInitialMax(octets >> 20).setUnit(" MB", 1).setStyle(ProgressBarStyle.ASCII).build();
    }

    @Override
    public void accept(long octets) {
      if (bar != null) {
        bar.stepTo(octets >> 20);
      }
    }

    @Override
    public void close() {
      if (bar != null) {
        bar.close();
      }
    }
  }

  /** Microseconds of Unix time. */
  static final class Time implements CommandLine.ITypeConverter<Long> {
    @Override
    public Long convert(String text) {
      try {
        return Query.parseTime(text);
      } catch (IllegalArgumentException e) {
        throw new CommandLine.TypeConversionException(e.getMessage());
      }
    }
  }

  @Command(name = "report", mixinStandardHelpOptions = true, description = "Writes one page of HTML with the course, the rules, the fleet "
      + "and what is not known.")
  static final class ReportTo implements Callable<Integer> {
    @Mixin
    private Source source;

    @Option(names = {"-o", "--output"}, paramLabel = "FILE", required = true, description = "where the page goes")
    private Path file;

    @Option(names = "--span", paramLabel = "SECONDS", defaultValue = "10", description = "counts in spans of so long (default: 10)")
    private double span;

    @Override
    public Integer call() throws IOException {
      if (!(span >= 0.1 && span <= 86_400)) {
        throw new IllegalArgumentException("--span has to be 0.1 to 86400");
      }
      IncidentAnalysis study = source.study(span);
      Files.writeString(file, new HtmlReport(study).html());
      System.out.println(file + ": " + study.read.records() + " records, " + study.timeline.count(null, null, null, null)
          + " requests answered, " + study.timeline.unresolvedRequests() + " of which the end is not known, " + study.audit.findings().size()
          + " findings");
      return 0;
    }
  }

  @Command(name = "query", mixinStandardHelpOptions = true, description = "Lists the records that fit a question.",
      footer = {"", "Example: kind=answered and tenant=agro-tehnika and (answer=refused or latency_ms>400)",
        "Fields: kind word class tenant server upstream instance request answer (= != ~), attempt latency_ms value number at"})
  static final class Ask implements Callable<Integer> {
    @Parameters(index = "0", paramLabel = "EXPR")
    private String question;

    @Parameters(index = "1..*", arity = "1..*", paramLabel = "DIR")
    private List<Path> places;

    @Option(names = "--json", description = "a JSON object a line")
    private boolean json;

    @Option(names = "--most", paramLabel = "N", defaultValue = "1000", description = "so many at the most (default: 1000)")
    private long most;

    @Option(names = "--count", description = "only how many there are")
    private boolean count;

    @Override
    public Integer call() throws IOException {
      Query q = Query.of(question);
      Source source = new Source();
      source.places = places;
      long[] shown = {0};
      Archive.Read read = source.open().read(q, e -> {
        if (!count && shown[0]++ < most) {
          try {
            System.out.println(json ? EntryFormatter.json(e) : EntryFormatter.text(e));
          } catch (IOException x) {
            throw new java.io.UncheckedIOException(x);
          }
        }
      }, n -> { });
      if (count) {
        System.out.println(read.matching());
      } else if (read.matching() > most) {
        System.err.println(read.matching() - most + " more");
      }
      if (read.corruptBlocks() > 0 || read.truncatedBytes() > 0) {
        System.err.println(read.corruptBlocks() + " spoilt blocks, " + read.truncatedBytes() + " octets cut off at ends");
      }
      return 0;
    }
  }

  @Command(name = "why", mixinStandardHelpOptions = true, description = "Tells the decisions of one request, and what was known at each.")
  static final class Explain implements Callable<Integer> {
    @Parameters(index = "0", paramLabel = "REQUEST", description = "its caller's id, or INSTANCE/START#NUMBER as 'query' shows it")
    private String request;

    @Parameters(index = "1..*", arity = "1..*", paramLabel = "DIR")
    private List<Path> places;

    @Override
    public Integer call() throws IOException {
      Source source = new Source();
      source.places = places;
      if (!new RequestExplainer(source.open(), request).explain(System.out::println)) {
        throw new IOException("no record of it");
      }
      return 0;
    }
  }

  @Command(name = "causes", mixinStandardHelpOptions = true, description = "Finds rises of bad answers, and what came before each.")
  static final class Before implements Callable<Integer> {
    @Mixin
    private Source source;

    @Override
    public Integer call() throws IOException {
      IncidentAnalysis s = source.study(1);
      List<ChangePointAnalysis.CandidateCause> causes = s.changePoints.candidateCauses();
      List<ChangePointAnalysis.Rise> rises = s.changePoints.rises();
      if (rises.isEmpty()) {
        System.out.println("no rise of bad answers");
      }
      for (ChangePointAnalysis.Rise r : rises) {
        System.out.printf(Locale.ROOT, "%s  %.2f%% to %.2f%% of %d answers, by chance %.2g%n", instant(r.at()), 100 * r.ratioBefore(),
            100 * r.ratioAfter(), r.answers(), r.pValue());
        causes.stream().filter(c -> c.rise().equals(r)).limit(8).forEach(c -> System.out.printf(Locale.ROOT,
            "    %.1f s before it came: %s (told to %s; one as near by chance: %.2g)%n", (r.at() - c.at()) / 1e6,
            Sanitizer.printable(c.description()), Sanitizer.printable(c.instance()), c.pValue()));
      }
      return 0;
    }

    private static Instant instant(long micros) {
      return Instant.ofEpochMilli(Math.floorDiv(micros, 1000));
    }
  }

  @Command(name = "verify", mixinStandardHelpOptions = true, description = "Checks the four rules and the sums, from the records alone.",
      footer = {"", "Exit status: 1 where something is broken for certain."})
  static final class Verify implements Callable<Integer> {
    @Mixin
    private Source source;

    @Override
    public Integer call() throws IOException {
      IncidentAnalysis s = source.study(10);
      List<Audit.Finding> findings = s.audit.findings();
      s.audit.checkCounts().forEach((check, n) -> System.out.printf("%-22s checked %9d, broken %d, unsettled %d%n",
          check.name().toLowerCase(Locale.ROOT), n, findings.stream().filter(f -> f.check() == check && f.certain()).count(),
          findings.stream().filter(f -> f.check() == check && !f.certain()).count()));
      findings.stream().limit(50).forEach(f -> System.out.println(Sanitizer.printable((f.certain() ? "BROKEN " : "unsettled ")
          + f.check().name().toLowerCase(Locale.ROOT) + " " + f.origin().instance() + " " + (f.request() == null ? "" : f.request() + " ")
          + f.description())));
      s.timeline.gaps(s.clocks).forEach(g -> System.out.println(Sanitizer.printable("not known: " + g.instance() + ", " + g.reason())));
      if (s.read.corruptBlocks() > 0 || s.read.truncatedBytes() > 0) {
        System.out.println("not known: " + s.read.corruptBlocks() + " spoilt blocks, " + s.read.truncatedBytes() + " octets cut off at ends");
      }
      return findings.stream().anyMatch(Audit.Finding::certain) ? BROKEN : 0;
    }
  }

  @Command(name = "console", mixinStandardHelpOptions = true, description = "Shows the last minutes in the terminal, live; q leaves.")
  static final class Live implements Callable<Integer> {
    @Parameters(index = "0..*", arity = "1..*", paramLabel = "DIR")
    private List<Path> places;

    @Option(names = "--minutes", paramLabel = "N", defaultValue = "2", description = "how far back it looks (default: 2)")
    private int minutes;

    @Option(names = "--redraws", paramLabel = "N", defaultValue = "0", description = "ends after so many; 0 for never (default)")
    private int redraws;

    @Override
    public Integer call() throws IOException {
      if (minutes < 1 || minutes > MOST_MINUTES) {
        throw new IllegalArgumentException("--minutes has to be 1 to " + MOST_MINUTES);
      }
      new Console(places, minutes * 60_000_000L).run(redraws);
      return 0;
    }
  }
}
