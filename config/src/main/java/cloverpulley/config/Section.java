package cloverpulley.config;

import java.math.BigDecimal;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Pattern;
import org.tomlj.TomlArray;
import org.tomlj.TomlPosition;
import org.tomlj.TomlTable;

/**
 * A table of a configuration file, read key by key. If a key is missing, of the wrong type or out of range, the problem is reported and
 * the default is returned, so that one pass finds all problems. {@link #reportUnknownKeys} reports the keys that were not read.
 */
public final class Section {

  private static final Pattern IP_LITERAL = Pattern.compile("(?:\\d{1,3}\\.){3}\\d{1,3}|\\[[0-9a-fA-F:.]+]");
  private static final int MAX_PORT = 65535;

  private final TomlTable table;
  private final String path;
  private final int line;
  private final Problems problems;
  private final Set<String> readKeys = new HashSet<>();
  private final List<Section> children = new ArrayList<>();

  Section(TomlTable table, String path, int line, Problems problems) {
    this.table = table;
    this.path = path;
    this.line = line;
    this.problems = problems;
  }

  /** Whether the key is present, whatever its value. */
  public boolean has(String key) {
    return table.contains(List.of(key));
  }

  private Object read(String key) {
    readKeys.add(key);
    return table.get(List.of(key));
  }

  private String qualified(String key) {
    return path.isEmpty() ? key : path + "." + key;
  }

  /** The line of a key's value; the line of the table if the key is missing. */
  public int line(String key) {
    TomlPosition position = table.inputPositionOf(List.of(key));
    return position == null ? line : position.line();
  }

  /** Reports a problem with a key other than its type and range. */
  public void reportError(String key, String message) {
    problems.add(qualified(key), line(key), message);
  }

  private void reportUnexpected(String key, String expected, Object value) {
    reportError(key, "expected " + expected + ", got " + describe(value));
  }

  private static String describe(Object value) {
    if (value == null) {
      return "nothing";
    } else if (value instanceof String text) {
      return '"' + (text.length() > 80 ? text.substring(0, 80) + "..." : text) + '"';
    }
    return value instanceof TomlTable ? "a table" : value instanceof TomlArray ? "an array" : value.toString();
  }

  /** A required string, which must not be blank. */
  public String string(String key) {
    Object value = read(key);
    if (value instanceof String text && !text.isBlank()) {
      return text;
    }
    reportUnexpected(key, "a string", value);
    return "";
  }

  /** An optional string, which may be empty. */
  public String string(String key, String defaultValue) {
    Object value = read(key);
    if (value != null && !(value instanceof String)) {
      reportUnexpected(key, "a string", value);
    }
    return value instanceof String text ? text : defaultValue;
  }

  /** An optional integer between {@code min} and {@code max}, inclusive. */
  public long integer(String key, long min, long max, long defaultValue) {
    Object value = read(key);
    if (value == null) {
      return defaultValue;
    } else if (value instanceof Long number && number >= min && number <= max) {
      return number;
    }
    reportUnexpected(key, "a whole number from " + min + " to " + max, value);
    return defaultValue;
  }

  /** A required integer between {@code min} and {@code max}, inclusive. */
  public long integer(String key, long min, long max) {
    if (!has(key)) {
      reportUnexpected(key, "a whole number from " + min + " to " + max, read(key));
      return min;
    }
    return integer(key, min, max, min);
  }

  /** An optional number between {@code min} and {@code max}, inclusive. */
  public double number(String key, double min, double max, double defaultValue) {
    Object value = read(key);
    if (value == null) {
      return defaultValue;
    } else if ((value instanceof Long || value instanceof Double) && ((Number) value).doubleValue() >= min
        && ((Number) value).doubleValue() <= max) {
      return ((Number) value).doubleValue();
    }
    reportUnexpected(key, "a number from " + format(min) + " to " + format(max), value);
    return defaultValue;
  }

  private static String format(double number) {
    return BigDecimal.valueOf(number).stripTrailingZeros().toPlainString();
  }

  public boolean bool(String key, boolean defaultValue) {
    Object value = read(key);
    if (value == null || value instanceof Boolean) {
      return value == null ? defaultValue : (Boolean) value;
    }
    reportUnexpected(key, "true or false", value);
    return defaultValue;
  }

  /** The value that a string stands for. The key is required if {@code defaultValue} is null; null is then returned if it is invalid. */
  public <T> T oneOf(String key, Map<String, T> values, T defaultValue) {
    Object value = read(key);
    if (value == null && defaultValue != null) {
      return defaultValue;
    }
    T found = value instanceof String text ? values.get(text) : null;
    if (found == null) {
      reportUnexpected(key, "one of " + String.join(", ", new TreeSet<>(values.keySet())), value);
      return defaultValue;
    }
    return found;
  }

  /** An optional array of strings, none of them blank. */
  public List<String> strings(String key, List<String> defaultValue) {
    Object value = read(key);
    if (value == null) {
      return defaultValue;
    }
    List<String> strings = new ArrayList<>();
    if (value instanceof TomlArray array) {
      for (Object entry : array.toList()) {
        if (!(entry instanceof String text) || text.isBlank()) {
          reportUnexpected(key, "an array of strings", entry);
          return defaultValue;
        }
        strings.add(text);
      }
      return List.copyOf(strings);
    }
    reportUnexpected(key, "an array of strings", value);
    return defaultValue;
  }

  /** An optional array of integers between {@code min} and {@code max}, inclusive. */
  public List<Integer> integers(String key, int min, int max, List<Integer> defaultValue) {
    Object value = read(key);
    if (value == null) {
      return defaultValue;
    }
    List<Integer> numbers = new ArrayList<>();
    if (value instanceof TomlArray array) {
      for (Object entry : array.toList()) {
        if (!(entry instanceof Long number) || number < min || number > max) {
          reportUnexpected(key, "whole numbers from " + min + " to " + max, entry);
          return defaultValue;
        }
        numbers.add((int) (long) number);
      }
      return List.copyOf(numbers);
    }
    reportUnexpected(key, "an array of whole numbers", value);
    return defaultValue;
  }

  /** An IP address and a port, such as 10.0.0.4:8000 or [::1]:8000. Host names are not accepted, so that nothing is resolved here. */
  public InetSocketAddress address(String key, String defaultValue) {
    Object value = has(key) || defaultValue == null ? read(key) : defaultValue;
    readKeys.add(key);
    InetSocketAddress address = value instanceof String text ? address(text) : null;
    if (address == null) {
      reportUnexpected(key, "an IP address and a port, such as 10.0.0.4:8000 or [::1]:8000", value);
      return new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    }
    return address;
  }

  /** Parses an IP address and a port; null if the text is invalid. */
  public static InetSocketAddress address(String text) {
    int colon = text.lastIndexOf(':');
    if (colon < 0 || !IP_LITERAL.matcher(text.substring(0, colon)).matches()
        || !text.substring(colon + 1).matches("\\d{1,5}")) {
      return null;
    }
    try {
      int port = Integer.parseInt(text.substring(colon + 1));
      // Never looks a name up: an address with an octet above 255, which getByName would resolve as a host name, is rejected.
      return port > MAX_PORT || hasOctetAbove255(text.substring(0, colon)) ? null
          : new InetSocketAddress(InetAddress.getByName(text.substring(0, colon)), port);
    } catch (UnknownHostException e) {
      return null;
    }
  }

  private static boolean hasOctetAbove255(String host) {
    if (!host.startsWith("[")) {
      for (String part : host.split("\\.")) {
        if (Integer.parseInt(part) > 255) {
          return true;
        }
      }
    }
    return false;
  }

  /** A nested table; an empty one if it is missing. */
  public Section table(String key) {
    Object value = read(key);
    if (value != null && !(value instanceof TomlTable)) {
      reportUnexpected(key, "a table", value);
    }
    TomlTable found = value instanceof TomlTable t ? t : org.tomlj.Toml.parse("");
    Section section = new Section(found, qualified(key), line(key), problems);
    children.add(section);
    return section;
  }

  /** An array of tables; empty if it is missing. */
  public List<Section> tables(String key) {
    Object value = read(key);
    List<Section> sections = new ArrayList<>();
    if (value instanceof TomlArray array && (array.toList().stream().allMatch(TomlTable.class::isInstance))) {
      for (int i = 0; i < array.size(); i++) {
        TomlPosition position = array.inputPositionOf(i);
        sections.add(new Section(array.getTable(i), qualified(key) + "[" + i + "]", position == null ? line(key) : position.line(),
            problems));
      }
    } else if (value != null) {
      reportUnexpected(key, "an array of tables, each started with [[" + qualified(key) + "]]", value);
    }
    children.addAll(sections);
    return sections;
  }

  /** Reports the keys that were not read, here and in all tables read from here. */
  void reportUnknownKeys() {
    for (String key : table.keySet()) {
      if (!readKeys.contains(key)) {
        reportError(key, "unknown key" + (readKeys.isEmpty() ? "" : "; known keys: " + String.join(", ", new TreeSet<>(readKeys))));
      }
    }
    children.forEach(Section::reportUnknownKeys);
  }
}
