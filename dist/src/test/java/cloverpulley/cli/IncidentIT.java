package cloverpulley.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cloverpulley.config.ConfigFile;
import cloverpulley.incident.Audit;
import cloverpulley.incident.Entry;
import cloverpulley.incident.Timeline;
import cloverpulley.incident.tool.IncidentAnalysis;
import cloverpulley.load.Driver.Outcome;
import cloverpulley.load.LoadRun;
import cloverpulley.load.Plan;
import cloverpulley.records.Archive;
import cloverpulley.records.Recorder;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** A processor is killed while it serves: the report states exactly the records that were lost. */
@Timeout(value = 3, unit = TimeUnit.MINUTES)
class IncidentIT {

  @TempDir
  Path folder;

  private Process process;

  @AfterEach
  void destroyProcess() {
    if (process != null) {
      process.destroyForcibly();
    }
  }

  private Process start(String... args) throws IOException {
    List<String> command = new ArrayList<>(List.of(Path.of(System.getProperty("java.home"), "bin", "java").toString(),
        "-XX:TieredStopAtLevel=1", "-jar", System.getProperty("jar")));
    command.addAll(Arrays.asList(args));
    return new ProcessBuilder(command).redirectError(folder.resolve("err").toFile()).start();
  }

  private static String output(Process p) throws IOException, InterruptedException {
    String text = new String(p.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    assertTrue(p.waitFor(60, TimeUnit.SECONDS), "the process exits");
    return text;
  }

  private static final String CONFIG = """
      [[class]]
      name = "safe"
      effect = "safe"
      aim_ms = 400
      deadline_ms = 2000
      [records]
      folder = "RECORDS"
      instance = "p1"
      flush_ms = 50
      [processor]
      listen = "127.0.0.1:0"
      [fleet]
      [[fleet.server]]
      id = "s1"
      address = "127.0.0.1:8001"
      """;

  private static final String PLAN = """
      [load]
      seconds = 3.0
      rate = 400.0
      [load.target]
      protocol = "ext_proc"
      address = "ADDRESS"
      connections = 2
      [[load.class]]
      name = "safe"
      effect = "safe"
      deadline_ms = 1000.0
      """;

  @Test
  void recordsLostByAKillAreReportedAsUnknown() throws Exception {
    Path records = folder.resolve("records");
    Path config = Files.writeString(folder.resolve("o.toml"), CONFIG.replace("RECORDS", records.toString()));
    process = start("process", "--config", config.toString());
    String line = new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8)).readLine();
    Plan plan = ConfigFile.parse("plan", PLAN.replace("ADDRESS", line.substring(line.lastIndexOf(' ') + 1)), Plan::read);
    AtomicLong served = new AtomicLong();
    AtomicBoolean killed = new AtomicBoolean();
    try (Recorder caller = Recorder.forCaller(records, "caller")) {
      LoadRun.run(plan, r -> { }, (planned, id, outcome, took) -> {
        if (outcome == Outcome.SERVED && served.incrementAndGet() == 500 && !killed.getAndSet(true)) {
          process.destroyForcibly();
        }
        caller.recordCall(id, "safe", null, outcome == Outcome.SERVED ? Entry.SERVED : Entry.GONE, took);
      });
    }
    assertTrue(killed.get(), "killed during the run");
    IncidentAnalysis analysis = new IncidentAnalysis(new Archive(List.of(records)), IncidentAnalysis.Options.allRecords(), n -> { });
    long recorded = analysis.timeline.count(null, null, null, Entry.SERVED);
    long callerOnly = analysis.timeline.callerOnly().getOrDefault(Entry.SERVED, 0L);
    long calleeOnly = analysis.timeline.calleeOnly().getOrDefault(Entry.SERVED, 0L);
    assertEquals(served.get(), recorded - calleeOnly + callerOnly);
    assertTrue(recorded > 0, "some records were written");
    List<Timeline.Gap> gaps = analysis.timeline.gaps(analysis.clocks);
    assertTrue(gaps.stream().anyMatch(g -> g.instance().equals("p1") && g.reason().contains("no record of a stop")), gaps.toString());
    assertTrue(analysis.audit.findings().stream().noneMatch(Audit.Finding::certain), analysis.audit.findings().toString());
    runCommands(records);
  }

  private void runCommands(Path records) throws Exception {
    Path page = folder.resolve("incident.html");
    Process report = start("incident", "report", records.toString(), "-o", page.toString(), "--span", "1");
    assertTrue(output(report).contains("requests answered"));
    assertEquals(0, report.exitValue());
    assertTrue(Files.readString(page).contains("no record of a stop"));
    assertTrue(output(start("incident", "verify", records.toString())).contains("nothing_to_drained"));
    String listed = output(start("incident", "query", "kind=answered and instance=p1", records.toString(), "--json", "--most", "1"));
    String id = listed.replaceAll("(?s).*\"request\":\"([^\"]+)\".*", "$1");
    assertTrue(output(start("incident", "why", id, records.toString())).contains("taken as safe"), id);
    Process wrong = start("incident", "query", "kind=", records.toString());
    output(wrong);
    assertEquals(1, wrong.exitValue());
    assertTrue(Files.readString(folder.resolve("err")).contains("query, character 6"), Files.readString(folder.resolve("err")));
    Process none = start("incident", "report", folder.resolve("none").toString(), "-o", page.toString());
    output(none);
    assertEquals(1, none.exitValue());
    Process console = start("incident", "console", records.toString(), "--redraws", "1");
    console.getOutputStream().close();
    output(console);
    assertEquals(0, console.exitValue(), Files.readString(folder.resolve("err")));
  }
}
