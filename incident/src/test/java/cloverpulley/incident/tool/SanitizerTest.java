package cloverpulley.incident.tool;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cloverpulley.incident.Audit;
import cloverpulley.incident.Entry;
import cloverpulley.incident.Kind;
import cloverpulley.incident.Origin;
import cloverpulley.records.Archive;
import cloverpulley.records.Recorder;
import cloverpulley.records.RecordsConfig;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Hostile text in any field must be escaped in the HTML report, on the terminal and in JSON. */
class SanitizerTest {

  private static final List<String> HOSTILE = List.of("<script>alert(1)</script>", "\"><img src=x onerror=alert(1)>", "\u001b[2J\u001b]0;x\u0007",
      "a\r\nb", "\u202Eevil", "'; drop", "&lt;", "\u0000", "\ud800", "x".repeat(5000), "</title><style>", "{\"a\":1}\n{");

  @TempDir
  Path folder;

  @Test
  void hostileTextIsEscapedInAllOutputs() throws Exception {
    Recorder r = Recorder.open(RecordsConfig.of(folder, "p"), "process", null);
    for (String h : HOSTILE) {
      r.recordAnswer(0, h, h, h, h, Entry.FAILED, 1000);
      r.recordCall(h + "2", h, h, Entry.SERVED, 2000);
      r.moduleReplaced(h);
    }
    r.close();
    IncidentAnalysis s = new IncidentAnalysis(new Archive(List.of(folder)), IncidentAnalysis.Options.allRecords(), n -> { });
    String html = new HtmlReport(s).html();
    for (String bad : List.of("<script", "<img", "\u001b", "\u202E", "\u0000", "</title><style>alert", "onerror=alert(1)>")) {
      assertFalse(html.contains(bad), bad);
    }
    assertEquals(1, html.split("<style>", -1).length - 1, "only the report's own");
    int[] lines = {0};
    s.archive.readAll(e -> {
      String text = EntryFormatter.text(e);
      assertTrue(text.chars().noneMatch(c -> Character.isISOControl(c) || c == 0x202E), text);
      try (JsonParser p = new JsonFactory().createParser(EntryFormatter.json(e))) {
        assertFalse(EntryFormatter.json(e).contains("\n"));
        while (p.nextToken() != null) {
          lines[0] += p.currentToken().isStructEnd() ? 1 : 0;
        }
      } catch (java.io.IOException x) {
        throw new AssertionError(x);
      }
    }, n -> { });
    assertEquals(s.read.records(), lines[0], "one object per record");
    new Console(List.of(folder), 60_000_000L).draw(80, System.currentTimeMillis() * 1000)
        .forEach(l -> assertTrue(l.toString().chars().noneMatch(Character::isISOControl), l.toString()));
  }

  @Test
  void emptyTimelineRenders() throws Exception {
    Recorder.open(RecordsConfig.of(folder, "p"), "process", null).close();
    IncidentAnalysis s = new IncidentAnalysis(new Archive(List.of(folder)),
        new IncidentAnalysis.Options(0, Long.MAX_VALUE, 1_000_000L, null, Audit.Limits.DEFAULT), n -> { });
    assertTrue(new HtmlReport(s).html().contains("never put to the test"));
    Entry e = Entry.of(new Origin("p", 1), 1, 1, Kind.CLOCK);
    assertTrue(EntryFormatter.text(e).startsWith("1970-01-01T00:00:00.000001Z p clock"), EntryFormatter.text(e));
  }
}
