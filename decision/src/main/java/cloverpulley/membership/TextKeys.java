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
 * The configured names of the TXT record keys (RFC 6763, 6). Keys are case-insensitive.
 *
 * @param started the key whose value is the start time in Unix milliseconds, or any other token that is unique to each start
 */
public record TextKeys(String locality, String flavor, String cell, String size, String phase, String started) {

  public static final TextKeys DEFAULT = new TextKeys("locality", "flavor", "cell", "size", "phase", "started");

  private static final int MAX_VALUE_LENGTH = 64;
  private static final Pattern DECIMAL = Pattern.compile("\\d{1,9}(\\.\\d{1,6})?");
  private static final Pattern INTEGER = Pattern.compile("\\d{1,15}");
  private static final double MIN_SIZE = 0.001;
  private static final double MAX_SIZE = 1000;

  /**
   * The attributes parsed from a TXT record.
   *
   * @param size 0 if absent or invalid
   * @param started Unix milliseconds; 0 if absent or not a whole number
   * @param bootId the value of the started key as written; empty if absent or 0
   * @param unknownKeys pairs with other keys, shown to operators
   * @param problems values that were ignored, and why
   */
  public record Attributes(String locality, String flavor, int cell, double size, boolean draining, long started, String bootId,
      Map<String, String> unknownKeys, List<String> problems) {}

  /** The attributes of an instance without a TXT record: ready, default size, start time unknown. */
  static final Attributes EMPTY = new Attributes("", "", 0, 0, false, 0, "", Map.of(), List.of());

  /** The key/value pairs of a record's strings (RFC 6763, 6.4): the first of duplicate keys wins, strings without a key are skipped. */
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

  /** Parses the pairs; invalid values are ignored and listed in {@link Attributes#problems}. */
  public Attributes parse(Map<String, String> pairs) {
    List<String> problems = new ArrayList<>();
    String localityValue = token(pairs, locality, problems);
    String flavorValue = token(pairs, flavor, problems);
    String cellText = pairs.getOrDefault(lowerCase(cell), "");
    boolean invalidCell = !cellText.isEmpty() && !(INTEGER.matcher(cellText).matches() && Long.parseLong(cellText) <= 1 << 30);
    if (invalidCell) {
      problems.add(cell + ": expected a whole number, got \"" + printable(cellText) + '"');
    }
    String sizeText = pairs.getOrDefault(lowerCase(size), "");
    double sizeValue = DECIMAL.matcher(sizeText).matches() ? Double.parseDouble(sizeText) : 0;
    if (!sizeText.isEmpty() && (sizeValue < MIN_SIZE || sizeValue > MAX_SIZE)) {
      problems.add(size + ": expected a number from 0.001 to 1000, got \"" + printable(sizeText) + '"');
      sizeValue = 0;
    }
    String phaseText = pairs.getOrDefault(lowerCase(phase), "ready").toLowerCase(Locale.ROOT);
    // Guards rule 3 (no new work for a draining server): any phase but ready, known or not, means draining; only an empty value is ignored.
    boolean ready = phaseText.isEmpty() || phaseText.equals("ready");
    if (!ready && !phaseText.equals("draining")) {
      problems.add(phase + ": expected ready or draining, got \"" + printable(phaseText) + "\", treated as draining");
    }
    String startedText = token(pairs, started, problems);
    String bootId = startedText.equals("0") ? "" : startedText; // Publishers that do not know their start time write 0.
    long startedMillis = INTEGER.matcher(bootId).matches() ? Long.parseLong(bootId) : 0;
    Set<String> known = new HashSet<>(List.of(lowerCase(locality), lowerCase(flavor), lowerCase(cell), lowerCase(size), lowerCase(phase),
        lowerCase(started)));
    Map<String, String> unknownKeys = new LinkedHashMap<>(pairs);
    unknownKeys.keySet().removeAll(known);
    return new Attributes(localityValue, flavorValue, invalidCell || cellText.isEmpty() ? 0 : Integer.parseInt(cellText), sizeValue, !ready,
        startedMillis, bootId, unknownKeys, problems);
  }

  private static String token(Map<String, String> pairs, String key, List<String> problems) {
    String value = pairs.getOrDefault(lowerCase(key), "");
    if (value.length() > MAX_VALUE_LENGTH || value.chars().anyMatch(c -> c <= ' ' || c == '|' || c == 127)) {
      problems.add(key + ": expected at most " + MAX_VALUE_LENGTH + " characters without blanks, control characters or |, got \""
          + printable(value) + '"');
      return "";
    }
    return value;
  }

  private static String printable(String value) {
    String ascii = value.replaceAll("[^ -~]", "?");
    return ascii.length() > 40 ? ascii.substring(0, 40) + "..." : ascii;
  }

  private static String lowerCase(String key) {
    return key.toLowerCase(Locale.ROOT);
  }
}
