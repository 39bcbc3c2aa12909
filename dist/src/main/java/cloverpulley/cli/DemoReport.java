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

/** The demo's incident, as the fronts' own records tell it. */
final class DemoReport {

  private static final long SPAN_MICROS = 1_000_000L;

  private DemoReport() {}

  /** Makes the report, and says in a line what it counts. */
  static void tell(PrintStream out, Path folder) throws IOException {
    IncidentAnalysis s = new IncidentAnalysis(new Archive(List.of(folder.resolve("records"))),
        new IncidentAnalysis.Options(Long.MIN_VALUE, Long.MAX_VALUE, SPAN_MICROS, null, Audit.Limits.DEFAULT), n -> { });
    Path file = folder.resolve("incident.html");
    Files.writeString(file, new HtmlReport(s).html());
    List<Audit.Finding> findings = s.audit.findings();
    out.printf("by the fronts' records: %d answered, %d of them served, %d with an end that is not known; rules broken: %d%n",
        s.timeline.count(null, null, null, null), s.timeline.count(null, null, null, Entry.SERVED), s.timeline.unresolvedRequests(),
        findings.stream().filter(Audit.Finding::certain).count());
    findings.stream().limit(5).forEach(f -> out.println("  " + f.check() + ": " + f.description()));
    out.println("report: " + file);
  }
}
