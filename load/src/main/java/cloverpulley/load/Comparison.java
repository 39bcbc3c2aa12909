package cloverpulley.load;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * Compares two runs. The noise of a figure is estimated within each run by the method of batch means (Law and Kelton) over batches of five
 * seconds, and combined for both runs at a confidence of about 95%. A difference below the noise is not significant.
 */
public final class Comparison {

  private static final int BATCH_SECONDS = 5;
  private static final double CONFIDENCE_FACTOR = 2;

  private record Row(String name, double a, double b, double noise) {}

  private final List<Row> rows = new ArrayList<>();

  private Comparison() {}

  /** Compares two results in the format of {@link Report#json}. */
  public static Comparison of(String a, String b) throws IOException {
    Map<String, List<Double>> runA = read(a);
    Map<String, List<Double>> runB = read(b);
    Comparison c = new Comparison();
    for (String name : List.of("goal.g", "goal.whole", "goal.worst_10_s", "goal.worst_class", "goal.worst_tenant")) {
      c.rows.add(new Row(name, first(runA, name), first(runB, name), Double.NaN));
    }
    for (String name : List.of("all.corrected_ms.p50", "all.corrected_ms.p99", "all.corrected_ms.max", "all.naive_ms.p99",
        "lateness_ms.p99")) {
      c.rows.add(new Row(name, first(runA, name), first(runB, name), Double.NaN));
    }
    for (String name : List.of("by_second.p50_ms", "by_second.p99_ms", "by_second.served", "by_second.worth_in_time")) {
      c.rows.add(new Row("mean " + name, mean(runA.get(name)), mean(runB.get(name)),
          CONFIDENCE_FACTOR * Math.sqrt(squaredError(runA.get(name)) + squaredError(runB.get(name)))));
    }
    return c;
  }

  private static double first(Map<String, List<Double>> numbers, String name) {
    List<Double> values = numbers.getOrDefault(name, List.of());
    return values.isEmpty() ? Double.NaN : values.get(0);
  }

  private static double mean(List<Double> values) {
    return values == null || values.isEmpty() ? Double.NaN
        : values.stream().mapToDouble(v -> v).average().getAsDouble();
  }

  /** The squared standard error of the mean, from batch means; NaN with fewer than two batches. */
  private static double squaredError(List<Double> values) {
    List<Double> batches = new ArrayList<>();
    for (int i = 0; values != null && i + BATCH_SECONDS <= values.size(); i += BATCH_SECONDS) {
      batches.add(mean(values.subList(i, i + BATCH_SECONDS)));
    }
    if (batches.size() < 2) {
      return Double.NaN;
    }
    double mean = mean(batches);
    return batches.stream().mapToDouble(b -> (b - mean) * (b - mean)).sum() / (batches.size() - 1) / batches.size();
  }

  /** All numbers in a JSON document by their path; array elements share a path and keep their order. */
  private static Map<String, List<Double>> read(String json) throws IOException {
    Map<String, List<Double>> numbers = new LinkedHashMap<>();
    try (JsonParser p = new JsonFactory().createParser(json)) {
      for (JsonToken t = p.nextToken(); t != null; t = p.nextToken()) {
        if (t.isNumeric()) {
          String path = p.getParsingContext().pathAsPointer().toString().substring(1).replaceAll("/\\d+/", "/").replace('/', '.');
          numbers.computeIfAbsent(path, k -> new ArrayList<>()).add(p.getDoubleValue());
        }
      }
    }
    if (!numbers.containsKey("all.asked")) {
      throw new IOException("not the JSON report of a load run");
    }
    return numbers;
  }

  public String text() {
    StringBuilder text = new StringBuilder(String.format(Locale.ROOT, "%-28s %12s %12s %12s %12s%n", "", "A", "B", "B - A", "noise"));
    for (Row r : rows) {
      double difference = r.b - r.a;
      String noise = Double.isNaN(r.noise) ? "-" : String.format(Locale.ROOT, "%.3f", r.noise);
      String conclusion = Double.isNaN(r.noise) ? "" : Math.abs(difference) > r.noise ? "  differs" : "  within noise";
      text.append(String.format(Locale.ROOT, "%-28s %12.3f %12.3f %12.3f %12s%s%n", r.name, r.a, r.b, difference, noise, conclusion));
    }
    return text.toString();
  }
}
