package cloverpulley.wire;

import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Compares an object that is to replace another with that: it may hold other values and further keys, but none may be missing or of
 * another kind. Guards against a file that was cut and mended, or written by hand, whose missing keys would silently mean their defaults.
 */
public final class SchemaValidator {

  private SchemaValidator() {}

  /** Throws a {@link WireException} that names the first key that is missing or of another kind; {@code free} keys are not looked at. */
  public static void check(Fields before, Fields after, Set<String> free) {
    for (Map.Entry<?, ?> e : before.values().entrySet()) {
      if (!free.contains(e.getKey()) && e.getValue() != null) {
        check(after.path() + "." + e.getKey(), e.getValue(), after.values().get(e.getKey()));
      }
    }
  }

  private static void check(String path, Object before, Object after) {
    if (before instanceof Map<?, ?> b) {
      check(new Fields(path, b), Fields.object(path, after), Set.of());
    } else if (before instanceof List<?> b) {
      if (!(after instanceof List<?> a)) {
        throw missing(path, "an array", after);
      }
      checkAll(path, b, a);
    } else if (before instanceof Number ? !(after instanceof Number) : before.getClass() != (after == null ? null : after.getClass())) {
      throw missing(path, before instanceof Number ? "a number" : before instanceof String ? "a text" : "true or false", after);
    }
  }

  /** Each object has to have what all objects before had in common; where there were other things, each is to be of the first's kind. */
  private static void checkAll(String path, List<?> before, List<?> after) {
    if (before.isEmpty()) {
      return;
    }
    if (!before.stream().allMatch(Map.class::isInstance)) {
      for (int i = 0; i < after.size(); i++) {
        check(path + "[" + i + "]", before.get(0), after.get(i));
      }
      return;
    }
    if (after.isEmpty()) {
      throw new WireException("field " + path + ": expected objects, got an empty array");
    }
    Map<?, ?> first = (Map<?, ?>) before.get(0);
    for (int i = 0; i < after.size(); i++) {
      String at = path + "[" + i + "]";
      Fields element = Fields.object(at, after.get(i));
      for (Map.Entry<?, ?> e : first.entrySet()) {
        boolean common = e.getValue() != null && before.stream().allMatch(b -> ((Map<?, ?>) b).get(e.getKey()) != null);
        if (common) {
          check(at + "." + e.getKey(), e.getValue(), element.values().get(e.getKey()));
        }
      }
    }
  }

  private static WireException missing(String path, String expected, Object got) {
    return new WireException("field " + path + ": expected " + expected + ", got "
        + (got == null ? "nothing" : got instanceof String ? "\"" + got + "\"" : got.toString()));
  }
}
