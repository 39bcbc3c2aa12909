package cloverpulley.serve;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.LinkedHashMap;
import java.util.Map;

/** The load report that an upstream's answer may carry. */
final class LoadReport {

  private static final String HEADER = "Endpoint-Load-Metrics";
  private static final String TEXT_FORM = "TEXT ";

  private LoadReport() {}

  /** Its figures by name; empty where none came, and anything that is not a figure is skipped. */
  static Map<String, Double> of(HttpHeaders headers) {
    String text = headers.get(HEADER);
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
