package cloverpulley.engine;

import java.util.LinkedHashMap;
import java.util.Map;

/** Parses the load report that an upstream's answer may carry in a header. */
public final class LoadReport {

  public static final String HEADER = "Endpoint-Load-Metrics";
  private static final String TEXT_PREFIX = "TEXT ";

  private LoadReport() {}

  /** The metrics in the header's value by name; empty for null, and whatever is not a finite number is skipped. */
  public static Map<String, Double> parse(String header) {
    if (header == null || !header.startsWith(TEXT_PREFIX)) {
      return Map.of();
    }
    Map<String, Double> metrics = new LinkedHashMap<>();
    for (String part : header.substring(TEXT_PREFIX.length()).split(",")) {
      int equals = part.indexOf('=');
      try {
        if (equals > 0) {
          double value = Double.parseDouble(part.substring(equals + 1).trim());
          if (Double.isFinite(value)) {
            metrics.put(part.substring(0, equals).trim(), value);
          }
        }
      } catch (NumberFormatException e) {
        // A report is a hint: one malformed metric invalidates neither the others nor the answer.
      }
    }
    return metrics;
  }
}
