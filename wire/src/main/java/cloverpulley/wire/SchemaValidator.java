package cloverpulley.wire;

import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Checks a JSON object that is to replace a reference object: values may differ and keys may be added, but no key may be missing or have a
 * value of another type. A key whose reference value is null is not checked. Guards against a file that was truncated and repaired, or written by
 * hand, in which missing keys would silently get defaults.
 */
public final class SchemaValidator {

  private SchemaValidator() {}

  /**
   * Throws a {@link WireException} that names the first key that is missing or has a value of another type.
   *
   * @param ignoredKeys keys of the outermost object that are skipped; keys of nested objects are always checked
   */
  public static void check(Fields reference, Fields replacement, Set<String> ignoredKeys) {
    for (Map.Entry<?, ?> e : reference.values().entrySet()) {
      if (!ignoredKeys.contains(e.getKey()) && e.getValue() != null) {
        check(replacement.path() + "." + e.getKey(), e.getValue(), replacement.values().get(e.getKey()));
      }
    }
  }

  private static void check(String path, Object reference, Object replacement) {
    if (reference instanceof Map<?, ?> object) {
      check(new Fields(path, object), Fields.object(path, replacement), Set.of());
    } else if (reference instanceof List<?> array) {
      if (!(replacement instanceof List<?> replacementArray)) {
        throw mismatch(path, "an array", replacement);
      }
      checkAll(path, array, replacementArray);
    } else if (reference instanceof Number ? !(replacement instanceof Number)
        : reference.getClass() != (replacement == null ? null : replacement.getClass())) {
      throw mismatch(path, reference instanceof Number ? "a number" : reference instanceof String ? "a text" : "true or false", replacement);
    }
  }

  /** Each object must have the keys that all reference objects have in common; other elements must be of the first reference element's type. */
  private static void checkAll(String path, List<?> reference, List<?> replacement) {
    if (reference.isEmpty()) {
      return;
    }
    if (!reference.stream().allMatch(Map.class::isInstance)) {
      for (int i = 0; i < replacement.size(); i++) {
        check(path + "[" + i + "]", reference.get(0), replacement.get(i));
      }
      return;
    }
    if (replacement.isEmpty()) {
      throw new WireException("field " + path + ": expected objects, got an empty array");
    }
    Map<?, ?> first = (Map<?, ?>) reference.get(0);
    for (int i = 0; i < replacement.size(); i++) {
      String elementPath = path + "[" + i + "]";
      Fields element = Fields.object(elementPath, replacement.get(i));
      for (Map.Entry<?, ?> e : first.entrySet()) {
        boolean common = e.getValue() != null && reference.stream().allMatch(object -> ((Map<?, ?>) object).get(e.getKey()) != null);
        if (common) {
          check(elementPath + "." + e.getKey(), e.getValue(), element.values().get(e.getKey()));
        }
      }
    }
  }

  private static WireException mismatch(String path, String expected, Object got) {
    return new WireException("field " + path + ": expected " + expected + ", got "
        + (got == null ? "nothing" : got instanceof String ? "\"" + got + "\"" : got.toString()));
  }
}
