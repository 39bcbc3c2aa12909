package cloverpulley.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cloverpulley.Balancer.EndpointUpdate;
import cloverpulley.Balancer.Request;
import cloverpulley.Balancer.Settings;
import cloverpulley.Balancer.SettingsChanged;
import cloverpulley.serve.Rig.Client;
import cloverpulley.serve.Rig.Script;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Settings that are read again while the balancer serves: taken whole or turned down whole. */
@Timeout(value = 2 * Rig.LIMIT_S, unit = TimeUnit.SECONDS)
class SettingsReloadTest {

  private static final String GOOD = text("");
  private static final Pattern DEADLINE = Pattern.compile("(\"(?:deadline-ns|max-attempts)\": ?)([0-9]+)");

  private static String text(String moreClasses) {
    String known = Rig.list(1, true, Rig.member("s-a", "127.0.0.1:1", "ready"));
    return Rig.text("127.0.0.1:1", known, "on_request", 200, 1024, "").replace("\"categories\":[", "\"categories\":[" + moreClasses);
  }

  private static String more(String name) {
    return "{\"name\":\"" + name + "\",\"effect\":\"at_most_once\",\"dedup-scope\":\"cell\",\"window-ns\":0,\"aim-ns\":1000000000,"
        + "\"deadline-ns\":2000000000},";
  }

  private static Config config(String text) throws IOException {
    return Config.parse(text, Map.of());
  }

  /** What would be turned down for, or null for nothing. */
  private static Exception fault(String text) {
    try {
      config(text).checkCanReplace(config(GOOD));
      return null;
    } catch (IOException | RuntimeException e) {
      return e;
    }
  }

  @Test
  void cutAtAnyOctetItIsTurnedDown() {
    for (int i = 0; i < GOOD.length(); i++) {
      String cut = GOOD.substring(0, i);
      assertTrue(fault(cut) != null, () -> "taken: " + cut);
    }
  }

  @Test
  void withoutAnyOfItsKeysItIsTurnedDown() throws IOException {
    Matcher keys = Pattern.compile("\"([\\w-]+)\":").matcher(GOOD);
    List<String> free = List.of("known", "revision", "complete", "members", "id", "host_port", "locality", "flavor", "cell", "phase",
        "size", "up_since_ms");
    int seen = 0;
    while (keys.find()) {
      String without = GOOD.substring(0, keys.start(1)) + "x-" + GOOD.substring(keys.start(1));
      if (!free.contains(keys.group(1))) {
        seen++;
        assertTrue(fault(without) != null, () -> "taken without " + keys.group(1));
      }
    }
    assertTrue(seen > 25, "keys seen: " + seen);
    assertEquals(null, fault(GOOD));
  }

  @ParameterizedTest
  @ValueSource(strings = {"0", "-1", "-2000000000", "1.5", "\"6\"", "null", "NaN", "true", "[]", "{}", "1e400", "9223372036854775808",
    "92233720368547758070", "-0", ""})
  void aDeadlineOrNumberOfAttemptsThatIsNoNumberAboveZeroIsTurnedDown(String spoilt) {
    Matcher figures = DEADLINE.matcher(GOOD);
    int seen = 0;
    while (figures.find()) {
      seen++;
      String text = GOOD.substring(0, figures.start(2)) + spoilt + GOOD.substring(figures.end(2));
      assertTrue(fault(text) != null, () -> "taken: " + text);
    }
    assertEquals(3, seen);
  }

  @Test
  void attemptsBeyondThirtyTwoBitsAreNoSmallNumber() {
    assertTrue(fault(GOOD.replaceAll("(\"max-attempts\": ?)[0-9]+", "$14294967297")) != null);
  }

  @Test
  void newClassesAndDroppedOnesHoldFromThenOn() throws Exception {
    Script module = new Script((event, out) -> { });
    try (Rig rig = new Rig(config(text(more("old"))), module); Client client = rig.client(); Client second = rig.client()) {
      module.next(EndpointUpdate.class);
      client.write(Rig.get("r1", "").replace("X-Qos: safe", "X-Qos: old"));
      assertEquals("old", module.next(Request.class).className());
      rig.server.reload(() -> config(text(more("new"))));
      Settings taken = module.next(SettingsChanged.class).settings();
      assertEquals(List.of("new", "safe", "keyed"), taken.classes().stream().map(c -> c.name()).toList());
      second.write(Rig.get("r2", "").replace("X-Qos: safe", "X-Qos: new"));
      assertEquals("new", module.next(Request.class).className());
      try (Client third = rig.client()) {
        String answer = third.ask(Rig.get("r3", "").replace("X-Qos: safe", "X-Qos: old"));
        assertTrue(answer.startsWith("HTTP/1.1 400 "), answer);
      }
      // The request of the class that has gone keeps its deadline, and has its one answer.
      assertTrue(client.answer().startsWith("HTTP/1.1 504 "));
    }
  }

  @Test
  void whatIsTurnedDownChangesNothing() throws Exception {
    Script module = new Script((event, out) -> { });
    try (Rig rig = new Rig(config(GOOD), module)) {
      module.next(EndpointUpdate.class);
      rig.server.reload(() -> config(""));
      rig.server.reload(() -> config(text(more("bad")).replace("\"deadline-ns\":2000000000", "\"deadline-ns\":0")));
      rig.server.reload(() -> config(text(more("bad")).replace("\"max-attempts\":6,", "")));
      rig.server.reload(() -> config(text(more("good"))));
      Settings taken = module.next(SettingsChanged.class).settings();
      assertEquals("good", taken.classes().get(0).name());
    }
  }

  /** A file is read while it is written: it counts as it is a moment later. */
  @Test
  void aFileThatIsBeingWrittenIsReadAgain() throws Exception {
    Script module = new Script((event, out) -> { });
    try (Rig rig = new Rig(config(GOOD), module)) {
      List<String> reads = new ArrayList<>(List.of("", GOOD.substring(0, 100), text(more("new"))));
      rig.server.reload(() -> config(reads.remove(0)));
      assertEquals("new", module.next(SettingsChanged.class).settings().classes().get(0).name());
    }
  }

  @Test
  void theLogNamesWhatIsOther() throws IOException {
    Settings before = config(text(more("old"))).settings();
    String after = text(more("new")).replace("\"max-attempts\":6", "\"max-attempts\":2");
    assertEquals("+new -old attempts 6 to 2", Server.describeChanges(before, config(after).settings()));
  }

  @Test
  void theFileNamesTheKeyThatIsWrong(@TempDir Path folder) throws IOException {
    Path file = Files.writeString(folder.resolve("config.json"), GOOD.replace("\"max-attempts\":6,", ""));
    Exception e = assertThrows(RuntimeException.class,
        () -> Config.read(Map.of("ROUTER_CONFIG", file.toString())).checkCanReplace(config(GOOD)));
    assertEquals("field config.settings.limits.max-attempts: expected a number, got nothing", Config.describeFailure(e));
  }
}
