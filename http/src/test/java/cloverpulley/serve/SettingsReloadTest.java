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

/** Reloads of the settings while the balancer serves: they are applied or rejected as a whole. */
@Timeout(value = 2 * Rig.LIMIT_S, unit = TimeUnit.SECONDS)
class SettingsReloadTest {

  private static final String VALID = text("");
  private static final Pattern DEADLINE = Pattern.compile("(\"(?:deadline-ns|max-attempts)\": ?)([0-9]+)");

  private static String text(String moreClasses) {
    String known = Rig.list(1, true, Rig.member("s-a", "127.0.0.1:1", "ready"));
    return Rig.text("127.0.0.1:1", known, "on_request", 200, 1024, "").replace("\"categories\":[", "\"categories\":[" + moreClasses);
  }

  private static String anotherClass(String name) {
    return "{\"name\":\"" + name + "\",\"effect\":\"at_most_once\",\"dedup-scope\":\"cell\",\"window-ns\":0,\"aim-ns\":1000000000,"
        + "\"deadline-ns\":2000000000},";
  }

  private static Config config(String text) throws IOException {
    return Config.parse(text, Map.of());
  }

  /** Why a reload of the text would be rejected; null if it would be accepted. */
  private static Exception failure(String text) {
    try {
      config(text).checkCanReplace(config(VALID));
      return null;
    } catch (IOException | RuntimeException e) {
      return e;
    }
  }

  @Test
  void truncatedFileIsRejected() {
    for (int i = 0; i < VALID.length(); i++) {
      String truncated = VALID.substring(0, i);
      assertTrue(failure(truncated) != null, () -> "accepted: " + truncated);
    }
  }

  @Test
  void fileWithMissingKeyIsRejected() throws IOException {
    Matcher keys = Pattern.compile("\"([\\w-]+)\":").matcher(VALID);
    List<String> optional = List.of("known", "revision", "complete", "members", "id", "host_port", "locality", "flavor", "cell", "phase",
        "size", "up_since_ms");
    int seen = 0;
    while (keys.find()) {
      String without = VALID.substring(0, keys.start(1)) + "x-" + VALID.substring(keys.start(1));
      if (!optional.contains(keys.group(1))) {
        seen++;
        assertTrue(failure(without) != null, () -> "accepted without " + keys.group(1));
      }
    }
    assertTrue(seen > 25, "keys seen: " + seen);
    assertEquals(null, failure(VALID));
  }

  @ParameterizedTest
  @ValueSource(strings = {"0", "-1", "-2000000000", "1.5", "\"6\"", "null", "NaN", "true", "[]", "{}", "1e400", "9223372036854775808",
    "92233720368547758070", "-0", ""})
  void deadlineOrAttemptsThatIsNotPositiveIsRejected(String invalid) {
    Matcher values = DEADLINE.matcher(VALID);
    int seen = 0;
    while (values.find()) {
      seen++;
      String text = VALID.substring(0, values.start(2)) + invalid + VALID.substring(values.end(2));
      assertTrue(failure(text) != null, () -> "accepted: " + text);
    }
    assertEquals(3, seen);
  }

  @Test
  void attemptsAreNotTruncatedToInt() {
    assertTrue(failure(VALID.replaceAll("(\"max-attempts\": ?)[0-9]+", "$14294967297")) != null);
  }

  @Test
  void addedAndRemovedClassesApplyToLaterRequests() throws Exception {
    Script module = new Script((event, out) -> { });
    try (Rig rig = new Rig(config(text(anotherClass("old"))), module); Client client = rig.client(); Client second = rig.client()) {
      module.next(EndpointUpdate.class);
      client.write(Rig.get("r1", "").replace("X-Qos: safe", "X-Qos: old"));
      assertEquals("old", module.next(Request.class).className());
      rig.server.reload(() -> config(text(anotherClass("new"))));
      Settings applied = module.next(SettingsChanged.class).settings();
      assertEquals(List.of("new", "safe", "keyed"), applied.classes().stream().map(c -> c.name()).toList());
      second.write(Rig.get("r2", "").replace("X-Qos: safe", "X-Qos: new"));
      assertEquals("new", module.next(Request.class).className());
      try (Client third = rig.client()) {
        String answer = third.ask(Rig.get("r3", "").replace("X-Qos: safe", "X-Qos: old"));
        assertTrue(answer.startsWith("HTTP/1.1 400 "), answer);
      }
      // The request of the removed class keeps its deadline and gets its response.
      assertTrue(client.answer().startsWith("HTTP/1.1 504 "));
    }
  }

  @Test
  void rejectedFileChangesNothing() throws Exception {
    Script module = new Script((event, out) -> { });
    try (Rig rig = new Rig(config(VALID), module)) {
      module.next(EndpointUpdate.class);
      rig.server.reload(() -> config(""));
      rig.server.reload(() -> config(text(anotherClass("bad")).replace("\"deadline-ns\":2000000000", "\"deadline-ns\":0")));
      rig.server.reload(() -> config(text(anotherClass("bad")).replace("\"max-attempts\":6,", "")));
      rig.server.reload(() -> config(text(anotherClass("good"))));
      Settings applied = module.next(SettingsChanged.class).settings();
      assertEquals("good", applied.classes().get(0).name());
    }
  }

  /** A file that is read while it is being written takes effect once it is complete. */
  @Test
  void fileBeingWrittenIsReadAgain() throws Exception {
    Script module = new Script((event, out) -> { });
    try (Rig rig = new Rig(config(VALID), module)) {
      List<String> reads = new ArrayList<>(List.of("", VALID.substring(0, 100), text(anotherClass("new"))));
      rig.server.reload(() -> config(reads.remove(0)));
      assertEquals("new", module.next(SettingsChanged.class).settings().classes().get(0).name());
    }
  }

  @Test
  void changesAreDescribedForLog() throws IOException {
    Settings before = config(text(anotherClass("old"))).settings();
    String after = text(anotherClass("new")).replace("\"max-attempts\":6", "\"max-attempts\":2");
    assertEquals("+new -old attempts 6 to 2", Server.describeChanges(before, config(after).settings()));
  }

  @Test
  void failureNamesTheMissingKey(@TempDir Path folder) throws IOException {
    Path file = Files.writeString(folder.resolve("config.json"), VALID.replace("\"max-attempts\":6,", ""));
    Exception e = assertThrows(RuntimeException.class,
        () -> Config.read(Map.of("ROUTER_CONFIG", file.toString())).checkCanReplace(config(VALID)));
    assertEquals("field config.settings.limits.max-attempts: expected a number, got nothing", Config.describeFailure(e));
  }
}
