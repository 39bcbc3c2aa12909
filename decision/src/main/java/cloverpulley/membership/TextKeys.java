package cloverpulley.membership;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.regex.Pattern;

/**
 * The names that the operators give the keys of text records (RFC 6763, 6). Keys have no case.
 *
 * @param started holds Unix milliseconds, or any other word that differs from boot to boot
 */
public record TextKeys(String locality, String flavor, String cell, String size, String phase, String started) {

  public static final TextKeys DEFAULT = new TextKeys("locality", "flavor", "cell", "size", "phase", "started");

  private static final int MOST_VALUE = 64;
  private static final Pattern NUMBER = Pattern.compile("\\d{1,9}(\\.\\d{1,6})?");
  private static final Pattern WHOLE = Pattern.compile("\\d{1,15}");
  private static final double LEAST_SIZE = 0.001;
  private static final double MOST_SIZE = 1000;

  /**
   * What a text says.
   *
   * @param size 0 where it says none
   * @param started Unix milliseconds; 0 where it says none or a word
   * @param bootId the same as text, or the word; empty where it says none
   * @param unknownKeys keys that nobody here knows, for operators to see
   * @param problems values that were ignored, and why
   */
  public record Attributes(String locality, String flavor, int cell, double size, boolean draining, long started, String bootId,
      Map<String, String> unknownKeys, List<String> problems) {}

  /** What an instance without a text is: ready, of the usual size, started nobody knows when. */
  static final Attributes NONE = new Attributes("", "", 0, 0, false, 0, "", Map.of(), List.of());

  /** The pairs of a record's strings (RFC 6763, 6.4): the first of several wins, one without a key is skipped. */
  public static Map<String, String> pairs(List<byte[]> strings) {
    Map<String, String> pairs = new LinkedHashMap<>();
    for (byte[] s : strings) {
      String text = new String(s, StandardCharsets.UTF_8);
      int equals = text.indexOf('=');
      String key = (equals < 0 ? text : text.substring(0, equals)).toLowerCase(Locale.ROOT);
      if (!key.isEmpty()) {
        pairs.putIfAbsent(key, equals < 0 ? "" : text.substring(equals + 1));
      }
    }
    return pairs;
  }

  /** Reads the pairs; a value that is none is named and ignored. */
  public Attributes parse(Map<String, String> pairs) {
    List<String> problems = new ArrayList<>();
    String at = word(pairs, locality, problems);
    String kind = word(pairs, flavor, problems);
    String group = pairs.getOrDefault(lower(cell), "");
    boolean wrongCell = !group.isEmpty() && !(WHOLE.matcher(group).matches() && Long.parseLong(group) <= 1 << 30);
    if (wrongCell) {
      problems.add(cell + ": expected a whole number, got \"" + cut(group) + '"');
    }
    String big = pairs.getOrDefault(lower(size), "");
    double factor = NUMBER.matcher(big).matches() ? Double.parseDouble(big) : 0;
    if (!big.isEmpty() && (factor < LEAST_SIZE || factor > MOST_SIZE)) {
      problems.add(size + ": expected a number from 0.001 to 1000, got \"" + cut(big) + '"');
      factor = 0;
    }
    String state = pairs.getOrDefault(lower(phase), "ready").toLowerCase(Locale.ROOT);
    // Guards rule 3: a word for leaving that is not known means leaving; only what is no word at all is ignored.
    boolean ready = state.isEmpty() || state.equals("ready");
    if (!ready && !state.equals("draining")) {
      problems.add(phase + ": expected ready or draining, got \"" + cut(state) + "\", taken as draining");
    }
    String said = word(pairs, started, problems);
    String bootId = said.equals("0") ? "" : said; // 0 is how those who don't know write it.
    long since = WHOLE.matcher(bootId).matches() ? Long.parseLong(bootId) : 0;
    Set<String> known = new HashSet<>(List.of(lower(locality), lower(flavor), lower(cell), lower(size), lower(phase), lower(started)));
    Map<String, String> unknownKeys = new LinkedHashMap<>(pairs);
    unknownKeys.keySet().removeAll(known);
    return new Attributes(at, kind, wrongCell || group.isEmpty() ? 0 : Integer.parseInt(group), factor, !ready, since, bootId, unknownKeys,
        problems);
  }

  private static String word(Map<String, String> pairs, String key, List<String> problems) {
    String value = pairs.getOrDefault(lower(key), "");
    if (value.length() > MOST_VALUE || value.chars().anyMatch(c -> c <= ' ' || c == '|' || c == 127)) {
      problems.add(key + ": expected a word of " + MOST_VALUE + " letters at most, got \"" + cut(value) + '"');
      return "";
    }
    return value;
  }

  private static String cut(String value) {
    String plain = value.replaceAll("[^ -~]", "?");
    return plain.length() > 40 ? plain.substring(0, 40) + "..." : plain;
  }

  private static String lower(String key) {
    return key.toLowerCase(Locale.ROOT);
  }
}
