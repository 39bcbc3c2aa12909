package cloverpulley.load;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cloverpulley.config.ConfigFile;
import cloverpulley.config.ServiceSection;
import cloverpulley.fleet.FleetSource;
import cloverpulley.load.Driver.Outcome;
import cloverpulley.processor.ProcessorConfig;
import cloverpulley.processor.ProcessorServer;
import cloverpulley.standins.ScriptedHttp;
import cloverpulley.standins.ScriptedHttp.Behaviour;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Converts the records of a processor under load to a trace and replays the trace with the original intervals. */
@Timeout(value = 2, unit = TimeUnit.MINUTES)
class RecordReplayTest {

  @TempDir
  Path folder;

  private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

  @AfterEach
  void end() {
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private ProcessorServer processor(Path records) throws Exception {
    return ConfigFile.parse("test", "[[class]]\nname = \"safe\"\neffect = \"safe\"\naim_ms = 20000\ndeadline_ms = 40000\n"
        + "[[class]]\nname = \"unsafe\"\neffect = \"unsafe\"\naim_ms = 20000\ndeadline_ms = 40000\n[processor]\nlisten = "
        + "\"127.0.0.1:0\"\nrecords_file = \"" + records + "\"\n[[fleet.server]]\nid = \"s\"\naddress = \"127.0.0.1:1\"\n",
        f -> {
          var settings = ServiceSection.read(f);
          var config = ProcessorConfig.read(f.table("processor"), 1);
          var fleet = FleetSource.read(f.table("fleet"));
          return (java.util.concurrent.Callable<ProcessorServer>) () -> ProcessorServer.start(config, settings, fleet, 1);
        }).call();
  }

  private static final String CLASSES = "[[load.class]]\nname = \"safe\"\neffect = \"safe\"\naim_ms = 400\ndeadline_ms = 20000\n"
      + "hint_least_us = 5\nhint_most_us = 50\n[[load.class]]\nname = \"unsafe\"\neffect = \"unsafe\"\naim_ms = 400\n"
      + "deadline_ms = 20000\n[[load.tenant]]\nname = \"a\"\n[[load.tenant]]\nname = \"b\"\n";

  @Test
  void recordsAreConvertedToATraceAndReplayed() throws Exception {
    Path records = folder.resolve("records");
    Results first;
    try (ProcessorServer server = processor(records)) {
      Plan plan = ConfigFile.parse("plan", "[load]\nrate = 200\nseconds = 2\n" + CLASSES + "[load.target]\nprotocol = \"ext_proc\""
          + "\nconnections = 2\naddress = \"127.0.0.1:" + server.address().getPort() + "\"", Plan::read);
      first = LoadRun.run(plan, r -> { });
      assertEquals(first.all.requests, first.all.outcomes[Outcome.SERVED.ordinal()]);
      assertEquals(first.all.requests, server.counts().calls());
    }
    Files.writeString(records, Files.readString(records) + "{\"at_us\":\"x\"}\nnonsense\n");
    Path trace = folder.resolve("trace");
    try (var out = Files.newOutputStream(trace)) {
      assertEquals(new RecordsReader.Summary(first.all.requests, 2, 0), RecordsReader.convert(records, out));
    }
    List<Trace.Entry> entries = new ArrayList<>();
    try (Trace.Reader reader = new Trace.Reader(Files.newInputStream(trace))) {
      for (Trace.Entry e = reader.next(); e != null; e = reader.next()) {
        entries.add(e);
      }
      assertNull(reader.damage());
    }
    assertEquals(first.classes.get(0).requests, entries.stream().filter(e -> e.className().equals("safe")).count());
    assertEquals(first.tenants.get(1).requests, entries.stream().filter(e -> e.tenant().equals("b")).count());
    assertTrue(entries.stream().allMatch(e -> e.outcome() == Outcome.SERVED && e.keyHash() != 0));
    try (ScriptedHttp server = new ScriptedHttp(group, Behaviour.SERVE)) {
      Plan plan = ConfigFile.parse("plan", "[load]\n" + CLASSES + "[load.target]\naddress = \"127.0.0.1:"
          + server.address().getPort() + "\"", Plan::read);
      LoadRun.ReplayResult again = LoadRun.replay(plan, trace, 4, r -> { });
      assertNull(again.damage());
      assertEquals(first.all.requests, again.results().all.outcomes[Outcome.SERVED.ordinal()]);
      assertEquals(first.classes.get(0).requests, again.results().classes.get(0).requests);
      assertEquals(first.all.requests, server.requestCount());
      assertEquals(entries.get(entries.size() - 1).atMicros() / 4e6, again.results().plan().seconds(), 1e-9);
      // A truncated trace is replayed up to the truncation, and the damage is reported.
      byte[] bytes = Files.readAllBytes(trace);
      Files.write(trace, Arrays.copyOf(bytes, bytes.length - 5));
      LoadRun.ReplayResult part = LoadRun.replay(plan, trace, 10, r -> { });
      assertNotNull(part.damage());
      assertTrue(part.results().all.requests < first.all.requests);
    }
  }

  /** Every warm-up request is served, with the protocol of the plan. */
  @Test
  void warmUpIsServed() throws Exception {
    for (String protocol : List.of("http", "ext_proc")) {
      Plan plan = ConfigFile.parse("plan", "[load]\n" + CLASSES + "[load.target]\nprotocol = \"" + protocol
          + "\"\naddress = \"127.0.0.1:1\"", Plan::read);
      Results r = WarmUp.run(plan);
      assertTrue(r.all.requests > 1000);
      assertEquals(r.all.requests, r.all.outcomes[Outcome.SERVED.ordinal()], protocol);
    }
  }

  /** Records are written in the order in which calls end; a trace is in the order in which they arrived. */
  @Test
  void recordsAreSortedByArrival() throws Exception {
    Path records = folder.resolve("records");
    String line = "{\"at_us\":%d,\"class\":\"c\",\"tenant\":\"\",\"key\":\"%x\",\"hint_us\":0,\"%s\":\"%s\",\"latency_us\":1%s}\n";
    Files.writeString(records, String.format(line, 3_000_000, 3, "outcome", "served", "") + String.format(line, 1_000_000, 1, "reason",
        "over_rate", "") + String.format(line, 2_000_000, 2, "reason", "may_have_run", ",\"dropped_before\":7"));
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    assertEquals(new RecordsReader.Summary(3, 0, 7), RecordsReader.convert(records, out));
    try (Trace.Reader reader = new Trace.Reader(new ByteArrayInputStream(out.toByteArray()))) {
      assertEquals(new Trace.Entry(0, "c", "", 1, 0, 0, 1, Outcome.REFUSED), reader.next());
      assertEquals(new Trace.Entry(1_000_000, "c", "", 2, 0, 0, 1, Outcome.FAILED), reader.next());
      assertEquals(new Trace.Entry(2_000_000, "c", "", 3, 0, 0, 1, Outcome.SERVED), reader.next());
      assertNull(reader.next());
    }
  }
}
