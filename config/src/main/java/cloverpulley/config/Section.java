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
 * A table of an operators' file, read key by key. A key that is missing, of the wrong type or out of range is noted and read
 * as its default, so that one reading finds all that is wrong. {@link #close} notes the keys that nobody asked for.
 */
public final class Section {

  private static final Pattern FIGURES = Pattern.compile("(?:\\d{1,3}\\.){3}\\d{1,3}|\\[[0-9a-fA-F:.]+]");
  private static final int MOST_PORT = 65535;

  private final TomlTable table;
  private final String path;
  private final int line;
  private final Problems problems;
  private final Set<String> asked = new HashSet<>();
  private final List<Section> opened = new ArrayList<>();

  Section(TomlTable table, String path, int line, Problems problems) {
    this.table = table;
    this.path = path;
    this.line = line;
    this.problems = problems;
  }

  /** Whether the key is there, whatever its value. */
  public boolean has(String key) {
    return table.contains(List.of(key));
  }

  private Object get(String key) {
    asked.add(key);
    return table.get(List.of(key));
  }

  private String full(String key) {
    return path.isEmpty() ? key : path + "." + key;
  }

  /** The line of a key's value; the table's own where it is missing. */
  public int line(String key) {
    TomlPosition position = table.inputPositionOf(List.of(key));
    return position == null ? line : position.line();
  }

  /** Notes something wrong with a key that its type and range don't show. */
  public void reportError(String key, String what) {
    problems.add(full(key), line(key), what);
  }

  private void unexpected(String key, String expected, Object value) {
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

  /** A text that has to be there and not empty. */
  public String string(String key) {
    Object value = get(key);
    if (value instanceof String text && !text.isBlank()) {
      return text;
    }
    unexpected(key, "a text", value);
    return "";
  }

  /** A text, which may be empty. */
  public String string(String key, String absent) {
    Object value = get(key);
    if (value != null && !(value instanceof String)) {
      unexpected(key, "a text", value);
    }
    return value instanceof String text ? text : absent;
  }

  /** A whole number within bounds, both included. */
  public long integer(String key, long least, long most, long absent) {
    Object value = get(key);
    if (value == null) {
      return absent;
    } else if (value instanceof Long number && number >= least && number <= most) {
      return number;
    }
    unexpected(key, "a whole number from " + least + " to " + most, value);
    return absent;
  }

  /** A whole number within bounds that has to be there. */
  public long integer(String key, long least, long most) {
    if (!has(key)) {
      unexpected(key, "a whole number from " + least + " to " + most, get(key));
      return least;
    }
    return integer(key, least, most, least);
  }

  /** A number, whole or not, within bounds, both included. */
  public double number(String key, double least, double most, double absent) {
    Object value = get(key);
    if (value == null) {
      return absent;
    } else if ((value instanceof Long || value instanceof Double) && ((Number) value).doubleValue() >= least
        && ((Number) value).doubleValue() <= most) {
      return ((Number) value).doubleValue();
    }
    unexpected(key, "a number from " + plain(least) + " to " + plain(most), value);
    return absent;
  }

  private static String plain(double number) {
    return BigDecimal.valueOf(number).stripTrailingZeros().toPlainString();
  }

  public boolean bool(String key, boolean absent) {
    Object value = get(key);
    if (value == null || value instanceof Boolean) {
      return value == null ? absent : (Boolean) value;
    }
    unexpected(key, "true or false", value);
    return absent;
  }

  /** One of the words; with {@code absent} null it has to be there, and null stands for what was wrong. */
  public <T> T oneOf(String key, Map<String, T> words, T absent) {
    Object value = get(key);
    if (value == null && absent != null) {
      return absent;
    }
    T found = value instanceof String text ? words.get(text) : null;
    if (found == null) {
      unexpected(key, "one of " + String.join(", ", new TreeSet<>(words.keySet())), value);
      return absent;
    }
    return found;
  }

  /** Texts, none of them empty. */
  public List<String> strings(String key, List<String> absent) {
    Object value = get(key);
    if (value == null) {
      return absent;
    }
    List<String> texts = new ArrayList<>();
    if (value instanceof TomlArray array) {
      for (Object entry : array.toList()) {
        if (!(entry instanceof String text) || text.isBlank()) {
          unexpected(key, "an array of texts", entry);
          return absent;
        }
        texts.add(text);
      }
      return List.copyOf(texts);
    }
    unexpected(key, "an array of texts", value);
    return absent;
  }

  /** Whole numbers within bounds, both included. */
  public List<Integer> integers(String key, int least, int most, List<Integer> absent) {
    Object value = get(key);
    if (value == null) {
      return absent;
    }
    List<Integer> numbers = new ArrayList<>();
    if (value instanceof TomlArray array) {
      for (Object entry : array.toList()) {
        if (!(entry instanceof Long number) || number < least || number > most) {
          unexpected(key, "whole numbers from " + least + " to " + most, entry);
          return absent;
        }
        numbers.add((int) (long) number);
      }
      return List.copyOf(numbers);
    }
    unexpected(key, "an array of whole numbers", value);
    return absent;
  }

  /** An address in figures with a port, such as 10.0.0.4:8000 or [::1]:8000: names are never looked up here. */
  public InetSocketAddress address(String key, String absent) {
    Object value = has(key) || absent == null ? get(key) : absent;
    asked.add(key);
    InetSocketAddress address = value instanceof String text ? address(text) : null;
    if (address == null) {
      unexpected(key, "an address in figures and a port, such as 10.0.0.4:8000 or [::1]:8000", value);
      return new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    }
    return address;
  }

  /** The address that a text names; null for any other text. */
  public static InetSocketAddress address(String text) {
    int colon = text.lastIndexOf(':');
    if (colon < 0 || !FIGURES.matcher(text.substring(0, colon)).matches()
        || !text.substring(colon + 1).matches("\\d{1,5}")) {
      return null;
    }
    try {
      int port = Integer.parseInt(text.substring(colon + 1));
      // Guards against a look-up: what matches is figures, and a figure too large is refused, not looked up.
      return port > MOST_PORT || overLarge(text.substring(0, colon)) ? null
          : new InetSocketAddress(InetAddress.getByName(text.substring(0, colon)), port);
    } catch (UnknownHostException e) {
      return null;
    }
  }

  private static boolean overLarge(String host) {
    if (!host.startsWith("[")) {
      for (String part : host.split("\\.")) {
        if (Integer.parseInt(part) > 255) {
          return true;
        }
      }
    }
    return false;
  }

  /** A table within this one; an empty one where it is missing. */
  public Section table(String key) {
    Object value = get(key);
    if (value != null && !(value instanceof TomlTable)) {
      unexpected(key, "a table", value);
    }
    TomlTable found = value instanceof TomlTable t ? t : org.tomlj.Toml.parse("");
    Section section = new Section(found, full(key), line(key), problems);
    opened.add(section);
    return section;
  }

  /** An array of tables; empty where it is missing. */
  public List<Section> tables(String key) {
    Object value = get(key);
    List<Section> sections = new ArrayList<>();
    if (value instanceof TomlArray array && (array.toList().stream().allMatch(TomlTable.class::isInstance))) {
      for (int i = 0; i < array.size(); i++) {
        TomlPosition position = array.inputPositionOf(i);
        sections.add(new Section(array.getTable(i), full(key) + "[" + i + "]", position == null ? line(key) : position.line(),
            problems));
      }
    } else if (value != null) {
      unexpected(key, "an array of tables, each begun by [[" + full(key) + "]]", value);
    }
    opened.addAll(sections);
    return sections;
  }

  /** Notes the keys here, and in all tables read from here, that nobody asked for. */
  void close() {
    for (String key : table.keySet()) {
      if (!asked.contains(key)) {
        reportError(key, "unknown key" + (asked.isEmpty() ? "" : ", known here are " + String.join(", ", new TreeSet<>(asked))));
      }
    }
    opened.forEach(Section::close);
  }
}
