package cloverpulley.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cloverpulley.wire.WireException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Objects in a stream, wherever its lines end. */
class ObjectReaderTest {

  private static List<String> objects(ObjectReader reader, String text) {
    List<String> found = new ArrayList<>();
    for (byte octet : text.getBytes(StandardCharsets.UTF_8)) {
      String object = reader.add(octet);
      if (object != null) {
        found.add(object);
      }
    }
    return found;
  }

  @Test
  void anObjectEndsWithItsLastBrace() {
    String indented = "{\n  \"a\": [\n    {}\n  ]\n}";
    String quoted = "{\"b\":\"}{\\\"}\\\\\"}";
    ObjectReader reader = new ObjectReader(1000);
    assertEquals(List.of("{}", indented, quoted, "{\"\u00e9\":1}"), objects(reader, "\n\n{}" + indented + quoted + "\n \t{\"\u00e9\":1}"));
    assertFalse(reader.isInside());
    assertEquals(4, reader.count());
    assertEquals(List.of(), objects(reader, "\n{\"half\":"));
    assertTrue(reader.isInside());
  }

  @ParameterizedTest
  @ValueSource(strings = {"x", "[", "}", "{}]", "\"a\"", "\u00a0"})
  void whatIsOutsideOfAnObjectIsNoAnswer(String text) {
    assertThrows(WireException.class, () -> objects(new ObjectReader(1000), text));
  }

  @Test
  void anObjectWithoutEndIsCutOff() {
    assertThrows(WireException.class, () -> objects(new ObjectReader(10), "{\"aaaaaaaaaa"));
  }

  /**
   * What a silent watch misses counts as told 6 s after its last word. Waits of those who ask again: a module's first two are 0.5 s and 1 s
   * at most, an agent's caller waits 0.2 s.
   */
  @Test
  void aSilentWatchAndASuccessorThatHangsAreReplacedWithinSixSeconds() {
    assertTrue(Discovery.replacedMillis() + 500 + 1000 < 6000);
    assertTrue(Discovery.replacedMillis() + 200 + 200 < 5000, "an agent tells at once, with room for a start of its own");
  }
}
