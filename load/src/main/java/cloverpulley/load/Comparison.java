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
 * Two runs side by side. The noise of a figure is what chance alone makes within each run: the spread of its means over blocks of
 * five seconds (batch means; Law and Kelton), both runs together, at about 95%. A difference below it tells nothing.
 */
public final class Comparison {

  private static final int BLOCK_S = 5;
  private static final double SURE = 2;

  private record Row(String name, double a, double b, double noise) {}

  private final List<Row> rows = new ArrayList<>();

  private Comparison() {}

  /** Reads two results as {@link Report#json} writes them. */
  public static Comparison of(String a, String b) throws IOException {
    Map<String, List<Double>> one = read(a);
    Map<String, List<Double>> two = read(b);
    Comparison c = new Comparison();
    for (String name : List.of("goal.g", "goal.whole", "goal.worst_10_s", "goal.worst_class", "goal.worst_tenant")) {
      c.rows.add(new Row(name, one(one, name), one(two, name), Double.NaN));
    }
    for (String name : List.of("all.corrected_ms.p50", "all.corrected_ms.p99", "all.corrected_ms.max", "all.naive_ms.p99",
        "lateness_ms.p99")) {
      c.rows.add(new Row(name, one(one, name), one(two, name), Double.NaN));
    }
    for (String name : List.of("by_second.p50_ms", "by_second.p99_ms", "by_second.served", "by_second.worth_in_time")) {
      c.rows.add(new Row("mean " + name, mean(one.get(name)), mean(two.get(name)),
          SURE * Math.sqrt(error(one.get(name)) + error(two.get(name)))));
    }
    return c;
  }

  private static double one(Map<String, List<Double>> figures, String name) {
    List<Double> values = figures.getOrDefault(name, List.of());
    return values.isEmpty() ? Double.NaN : values.get(0);
  }

  private static double mean(List<Double> values) {
    return values == null || values.isEmpty() ? Double.NaN
        : values.stream().mapToDouble(v -> v).average().getAsDouble();
  }

  /** The squared error of a mean, from means of blocks; unknown with fewer than two blocks. */
  private static double error(List<Double> values) {
    List<Double> blocks = new ArrayList<>();
    for (int i = 0; values != null && i + BLOCK_S <= values.size(); i += BLOCK_S) {
      blocks.add(mean(values.subList(i, i + BLOCK_S)));
    }
    if (blocks.size() < 2) {
      return Double.NaN;
    }
    double mean = mean(blocks);
    return blocks.stream().mapToDouble(b -> (b - mean) * (b - mean)).sum() / (blocks.size() - 1) / blocks.size();
  }

  /** Every number in the text by its path; those of arrays in order. */
  private static Map<String, List<Double>> read(String json) throws IOException {
    Map<String, List<Double>> figures = new LinkedHashMap<>();
    try (JsonParser p = new JsonFactory().createParser(json)) {
      for (JsonToken t = p.nextToken(); t != null; t = p.nextToken()) {
        if (t.isNumeric()) {
          String path = p.getParsingContext().pathAsPointer().toString().substring(1).replaceAll("/\\d+/", "/").replace('/', '.');
          figures.computeIfAbsent(path, k -> new ArrayList<>()).add(p.getDoubleValue());
        }
      }
    }
    if (!figures.containsKey("all.asked")) {
      throw new IOException("not the results of a run");
    }
    return figures;
  }

  public String text() {
    StringBuilder text = new StringBuilder(String.format(Locale.ROOT, "%-28s %12s %12s %12s %12s%n", "", "A", "B", "B - A", "noise"));
    for (Row r : rows) {
      double difference = r.b - r.a;
      String noise = Double.isNaN(r.noise) ? "-" : String.format(Locale.ROOT, "%.3f", r.noise);
      String word = Double.isNaN(r.noise) ? "" : Math.abs(difference) > r.noise ? "  differs" : "  within noise";
      text.append(String.format(Locale.ROOT, "%-28s %12.3f %12.3f %12.3f %12s%s%n", r.name, r.a, r.b, difference, noise, word));
    }
    return text.toString();
  }
}
