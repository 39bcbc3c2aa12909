package cloverpulley.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** All problems of a configuration file are reported at once, each with its key, its line and what was expected. */
class ConfigFileTest {

  @TempDir
  Path directory;

  private static List<String> errors(String text, Function<Section, Object> reader) {
    InvalidConfigException e = assertThrows(InvalidConfigException.class, () -> ConfigFile.parse("f", text, reader));
    return e.getMessage().lines().toList();
  }

  @Test
  void reportsAllErrorsAtOnceWithTheirLines() {
    String text = """
        [a]
        port = 70000
        name = ""
        odd = 1
        flag = "yes"
        kind = "third"
        [[b]]
        share = 2
        [[b]]
        share = "x"
        [c]
        """;
    assertEquals(List.of(
        "f: line 2: a.port: expected a whole number from 1 to 65535, got 70000",
        "f: line 3: a.name: expected a string, got \"\"",
        "f: line 4: a.odd: unknown key; known keys: flag, kind, missing, name, port",
        "f: line 5: a.flag: expected true or false, got \"yes\"",
        "f: line 6: a.kind: expected one of first, second, got \"third\"",
        "f: line 8: b[0].share: expected a number from 0 to 1, got 2",
        "f: line 10: b[1].share: expected a number from 0 to 1, got \"x\"",
        "f: line 11: c: unknown key; known keys: a, b"), errors(text, file -> {
          Section a = file.table("a");
          a.integer("port", 1, 65535, 1);
          a.string("name");
          a.bool("flag", false);
          a.oneOf("kind", Map.of("first", 1, "second", 2), 1);
          a.string("missing", "default");
          file.tables("b").forEach(b -> b.number("share", 0, 1, 0));
          return null;
        }));
  }

  @Test
  void reportsMissingKeysAtTheirTable() {
    assertEquals(List.of("f: line 2: t.address: expected an IP address and a port, such as 10.0.0.4:8000 or "
        + "[::1]:8000, got nothing", "f: line 2: t.name: expected a string, got nothing"), errors("\n[t]\n", file -> {
          Section t = file.table("t");
          t.address("address", null);
          return t.string("name");
        }));
  }

  @Test
  void reportsInvalidTomlByLine() {
    List<String> lines = errors("a = 1\nb = \nc = [1,\n", file -> file.integer("a", 0, 1, 0));
    assertTrue(lines.get(0).startsWith("f: line 2: not TOML: "), lines.toString());
  }

  @ParameterizedTest
  @CsvSource({"127.0.0.1:80, true", "[::1]:80, true", "10.0.0.4:0, true", "localhost:80, false", "127.0.0.1, false",
    "127.0.0.1:65536, false", "256.0.0.1:80, false", "1.2.3:80, false", "::1:80, false", "[::x]:80, false", ":80, false",
    "127.0.0.1:-1, false", "127.0.0.1:999999, false", "[1.2.3.4.5]:80, false"})
  void acceptsIpAddressesOnly(String text, boolean valid) {
    if (valid) {
      assertEquals(Integer.parseInt(text.substring(text.lastIndexOf(':') + 1)), Section.address(text).getPort());
    } else {
      assertNull(Section.address(text));
    }
  }

  @ParameterizedTest
  @ValueSource(strings = {"k = [1, \"a\"]", "k = 1", "k = [\"\"]", "k = [[\"a\"]]", "[k]\na = 1"})
  void rejectsArraysThatAreNotOfStrings(String text) {
    assertEquals(1, errors(text, file -> file.strings("k", List.of())).stream().filter(l -> l.contains("array of strings")).count());
  }

  @Test
  void reportsAnUnreadableFileInOneLine() throws Exception {
    assertThrows(InvalidConfigException.class, () -> ConfigFile.read(directory.resolve("none"), f -> null));
    Path bytes = Files.write(directory.resolve("bytes"), new byte[] {(byte) 0xff, (byte) 0xfe});
    assertEquals(1, assertThrows(InvalidConfigException.class, () -> ConfigFile.read(bytes, f -> null)).getMessage().lines().count());
    Path large = Files.writeString(directory.resolve("large"), "#".repeat((1 << 20) + 1));
    assertTrue(assertThrows(InvalidConfigException.class, () -> ConfigFile.read(large, f -> null)).getMessage().contains("longer"));
  }

  @Test
  void checksClassesAndTenantsTogether() {
    String text = """
        [[class]]
        name = "a"
        effect = "keyed"
        aim_ms = 500
        deadline_ms = 400
        [[class]]
        name = "a"
        effect = "sometimes"
        aim_ms = 0
        [[tenant]]
        name = "t"
        share = 0.6
        [[tenant]]
        name = "t"
        share = 0.6
        [service]
        number = 1
        """;
    assertEquals(List.of(
        "f: line 1: class[0].dedup_window_ms: expected how long duplicates are dropped, for a keyed class",
        "f: line 5: class[0].deadline_ms: expected no less than aim_ms, got 400",
        "f: line 7: class[1].name: two classes are called \"a\"",
        "f: line 8: class[1].effect: expected one of keyed, safe, unsafe, got \"sometimes\"",
        "f: line 9: class[1].aim_ms: expected a whole number from 1 to 600000, got 0",
        "f: line 14: tenant[1].name: two tenants are called \"t\"",
        "f: line 15: tenant[1].share: the shares add up to more than 1",
        "f: line 17: service.number: expected one below service.processes, got 1"), errors(text, ServiceSection::read));
    assertTrue(errors("", ServiceSection::read).get(0).contains("class: expected at least one [[class]]"));
  }
}
