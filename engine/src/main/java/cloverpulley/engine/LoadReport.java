package cloverpulley.engine;

import java.util.LinkedHashMap;
import java.util.Map;

/** The load report that an upstream's answer may carry. */
public final class LoadReport {

  public static final String HEADER = "Endpoint-Load-Metrics";
  private static final String TEXT_FORM = "TEXT ";

  private LoadReport() {}

  /** The figures by name of the header's value; empty where none came (null), and anything that is not a figure is skipped. */
  public static Map<String, Double> parse(String text) {
    if (text == null || !text.startsWith(TEXT_FORM)) {
      return Map.of();
    }
    Map<String, Double> figures = new LinkedHashMap<>();
    for (String part : text.substring(TEXT_FORM.length()).split(",")) {
      int equals = part.indexOf('=');
      try {
        if (equals > 0) {
          double figure = Double.parseDouble(part.substring(equals + 1).trim());
          if (Double.isFinite(figure)) {
            figures.put(part.substring(0, equals).trim(), figure);
          }
        }
      } catch (NumberFormatException e) {
        // A report is a hint: one odd figure does not void the others, let alone the answer.
      }
    }
    return figures;
  }
}
