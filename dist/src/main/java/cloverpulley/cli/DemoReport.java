package cloverpulley.cli;

import cloverpulley.incident.Audit;
import cloverpulley.incident.Entry;
import cloverpulley.incident.tool.HtmlReport;
import cloverpulley.incident.tool.IncidentAnalysis;
import cloverpulley.records.Archive;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/** The incident report of the demo, made from the event records of the ashdeck processes that it ran. */
final class DemoReport {

  private static final long INTERVAL_MICROS = 1_000_000L;

  private DemoReport() {}

  /** Writes the report and prints a summary line. */
  static void write(PrintStream out, Path folder) throws IOException {
    IncidentAnalysis analysis = new IncidentAnalysis(new Archive(List.of(folder.resolve("records"))),
        new IncidentAnalysis.Options(Long.MIN_VALUE, Long.MAX_VALUE, INTERVAL_MICROS, null, Audit.Limits.DEFAULT), n -> { });
    Path file = folder.resolve("incident.html");
    Files.writeString(file, new HtmlReport(analysis).html());
    List<Audit.Finding> findings = analysis.audit.findings();
    out.printf("from the records: %d answered, %d of them served, %d unresolved; rules broken: %d%n",
        analysis.timeline.count(null, null, null, null), analysis.timeline.count(null, null, null, Entry.SERVED),
        analysis.timeline.unresolvedRequests(),
        findings.stream().filter(Audit.Finding::certain).count());
    findings.stream().limit(5).forEach(f -> out.println("  " + f.check() + ": " + f.description()));
    out.println("report: " + file);
  }
}
