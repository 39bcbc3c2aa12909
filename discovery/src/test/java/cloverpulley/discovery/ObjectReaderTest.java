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

/** JSON objects are split correctly regardless of line breaks. */
class ObjectReaderTest {

  private static List<String> objects(ObjectReader reader, String text) {
    List<String> found = new ArrayList<>();
    for (byte next : text.getBytes(StandardCharsets.UTF_8)) {
      String object = reader.add(next);
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
  void textOutsideOfAnObjectIsRejected(String text) {
    assertThrows(WireException.class, () -> objects(new ObjectReader(1000), text));
  }

  @Test
  void anObjectThatIsTooLongIsRejected() {
    assertThrows(WireException.class, () -> objects(new ObjectReader(10), "{\"aaaaaaaaaa"));
  }

  /**
   * A change that a silent watch misses counts as known 6 s after its last byte. Retry delays: the module's first two are at most 0.5 s and
   * 1 s, a caller of an agent waits 0.2 s.
   */
  @Test
  void aSilentWatchAndAHangingReplacementAreReplacedWithinSixSeconds() {
    assertTrue(Discovery.maxReplacementMillis() + 500 + 1000 < 6000);
    assertTrue(Discovery.maxReplacementMillis() + 200 + 200 < 5000, "an agent answers at once, and there is time for it to restart");
  }
}
