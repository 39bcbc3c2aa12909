package cloverpulley.load;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cloverpulley.config.ConfigFile;
import cloverpulley.config.InvalidConfigException;
import cloverpulley.load.Driver.Outcome;
import cloverpulley.load.RequestGenerator.PlannedRequest;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import java.util.List;
import org.junit.jupiter.api.Test;

/** G for examples worked out by hand, validation of plans, and the formats of the report. */
class GoalTest {

  private static final String PLAN = """
      [load]
      seconds = 30
      [[load.class]]
      name = "a"
      effect = "safe"
      aim_ms = 100
      worth = 3
      [[load.class]]
      name = "b"
      effect = "unsafe"
      aim_ms = 100
      worth = 1
      [[load.tenant]]
      name = "x"
      portion = 0.5
      [[load.tenant]]
      name = "<y>"
      portion = 0.5
      [load.target]
      address = "127.0.0.1:1"
      """;

  private final Results results = new Results(plan(PLAN));
  private long number;

  private static Plan plan(String text) {
    try {
      return ConfigFile.parse("plan", text, Plan::read);
    } catch (InvalidConfigException e) {
      throw new IllegalArgumentException(e);
    }
  }

  private void record(double at, int classIndex, int tenantIndex, Outcome outcome, long millis) {
    PlannedRequest p = new PlannedRequest(number++, at, classIndex, tenantIndex, -1, 0, 0, 1000, true);
    results.recordIntended(p);
    results.recordSent(p, at, 0);
    results.recordOutcome(p, outcome, millis * 1_000_000, millis * 1_000_000);
  }

  @Test
  void goalIsWorthInTimeOverWorthRequested() {
    for (int s = 0; s < 30; s++) {
      record(s, 0, 0, Outcome.SERVED, 50);
      record(s, 0, 1, s < 10 ? Outcome.REFUSED : Outcome.SERVED, 50);
      record(s, 1, 0, Outcome.SERVED, s < 20 ? 50 : 150);
    }
    Goal g = Goal.of(results);
    assertEquals((90 + 60 + 20) / 210.0, g.overall(), 1e-9);
    assertEquals((30 + 0 + 10) / 70.0, g.worstTenSeconds(), 1e-9);
    assertEquals(0, g.worstTenSecondsFrom());
    assertEquals(20 / 30.0, g.worstClass(), 1e-9);
    assertEquals(60 / 90.0, g.worstTenant(), 1e-9, "y requested 90 of 210, which is within its half");
    assertEquals(0.55 * g.overall() + 0.15 * g.worstTenSeconds() + 0.05 * g.worstClass() + 0.25 * g.worstTenant(), g.g(), 1e-12);
  }

  /** Worth that a tenant requests beyond its portion does not count against the goal. */
  @Test
  void tenantIsMeasuredWithinItsPortion() {
    for (int i = 0; i < 90; i++) {
      record(i / 3.0, 0, 0, i % 2 == 0 ? Outcome.SERVED : Outcome.REFUSED, 50);
    }
    for (int i = 0; i < 10; i++) {
      record(i, 0, 1, Outcome.SERVED, 50);
    }
    assertEquals(45 * 3 / (0.5 * 300), Goal.of(results).worstTenant(), 1e-9);
  }

  @Test
  void goalIsOneWithoutRequests() {
    assertEquals(1, Goal.of(results).g(), 1e-12);
  }

  @Test
  void reportFormatsShowTheResults() throws Exception {
    record(0, 0, 0, Outcome.SERVED, 50);
    record(1, 1, 1, Outcome.BROKEN, 20);
    Report report = new Report(results);
    assertTrue(report.text().startsWith("the generator kept to its schedule"), report.text());
    assertTrue(report.text().contains("broken=1") && report.text().contains("served=1"));
    try (JsonParser parser = new JsonFactory().createParser(report.json())) {
      while (parser.nextToken() != null) {
        if ("tries".equals(parser.currentName()) && parser.nextToken().isNumeric()) {
          assertEquals(2, parser.getLongValue());
        }
      }
    }
    String html = report.html("a <run>");
    assertTrue(html.contains("a &lt;run&gt;") && html.contains("@&lt;y&gt;") && html.contains("<svg"));
    assertTrue(!html.contains("http:") && !html.contains("src="), "loads nothing from elsewhere");
  }

  @Test
  void allErrorsOfAPlanAreReported() {
    String bad = PLAN.replace("aim_ms = 100\nworth = 1", "aim_ms = 100\ndeadline_ms = 50\nhint_least_us = 5\nhint_most_us = 4")
        .replace("seconds = 30", "seconds = 0\nrate = -1\nprocess = \"bursty\"\nbursts.part = 0.5\nodd = 1")
        + "[[load.shape]]\nkind = \"cube\"\n[[load.shape]]\nkind = \"ramp\"\nstart_s = 9\nend_s = 3\n";
    InvalidConfigException e = assertThrows(InvalidConfigException.class, () -> ConfigFile.parse("p", bad, Plan::read));
    List<String> lines = e.getMessage().lines().toList();
    for (String part : List.of("load.seconds:", "load.rate:", "load.bursts.part: expected less than 1/factor",
        "load.odd: unknown key", "load.class[1].deadline_ms:", "load.class[1].hint_most_us:",
        "load.shape[0].kind: expected one of flash", "load.shape[1].kind: a ramp must end after its start")) {
      assertTrue(lines.stream().anyMatch(l -> l.contains(part)), part + " in " + lines);
    }
    assertEquals(8, lines.size(), lines.toString());
  }

  /** Memory use is bounded by the number of seconds, classes and tenants, not by the number of requests. */
  @Test
  void memoryIsBoundedForAMillionRequestsAndAHundredThousandKeys() {
    Plan plan = plan(PLAN.replace("seconds = 30", "seconds = 100\nrate = 10000\nkeys.count = 100000"));
    RequestGenerator generator = new RequestGenerator(plan);
    Results r = new Results(plan);
    long[] keys = new long[100_000];
    for (PlannedRequest p = generator.next(); p != null; p = generator.next()) {
      r.recordIntended(p);
      r.recordSent(p, p.startSeconds(), 0);
      r.recordOutcome(p, Outcome.SERVED, p.number() % 1000 * 1_000_000, p.number() % 7);
      keys[p.key()]++;
    }
    assertEquals(1_000_000, r.all.requests, 5000);
    double first = 1 / 12.09; // The sum of 1/k for k up to 100,000.
    assertEquals(first * r.all.requests, keys[0], 5 * Math.sqrt(first * r.all.requests), "most popular key");
    assertEquals(keys[0] / 10.0, keys[9], 5 * Math.sqrt(keys[0] / 10.0));
    long bytes = r.seconds.stream().mapToLong(s -> s.corrected.getEstimatedFootprintInBytes()).sum()
        + r.lateness.getEstimatedFootprintInBytes() + r.all.corrected.getEstimatedFootprintInBytes()
        + r.all.naive.getEstimatedFootprintInBytes();
    assertTrue(bytes < 8 << 20, "bytes of histograms: " + bytes);
  }
}
