package cloverpulley.bench;

import cloverpulley.standins.soak.Soak;
import cloverpulley.standins.soak.Soak.Plan;
import cloverpulley.standins.soak.Soak.Result;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.stream.Collectors;

/** Runs the soak test with consecutive seeds, several in parallel, and sums the results. */
public final class SoakBench {

  private SoakBench() {}

  /**
   * {@code [--seed N] [--seeds N] [--seconds N] [--nodes N] [--memory-mb N] [--clients N] [--crowd N] [--parallel N] [--root FOLDER]}: the
   * first seed, the number of seeds, options of each run, and the folder of the checkout that is tested.
   */
  public static void main(String[] args) throws Exception {
    List<String> arguments = Arrays.asList(args);
    Path root = Path.of(arguments.contains("--root") ? arguments.get(arguments.indexOf("--root") + 1) : ".").toAbsolutePath();
    int seed = number(arguments, "--seed", 1);
    int seeds = number(arguments, "--seeds", 1);
    ExecutorService threads = Executors.newFixedThreadPool(number(arguments, "--parallel", 1));
    List<Future<Result>> runs = new ArrayList<>();
    for (int i = 0; i < seeds; i++) {
      Plan plan = new Plan(root, seed + i, number(arguments, "--seconds", 20), number(arguments, "--nodes", 1), number(arguments, "--memory-mb", 192),
          number(arguments, "--clients", 0), number(arguments, "--crowd", 0));
      runs.add(threads.submit(() -> Soak.run(plan)));
    }
    List<Result> results = new ArrayList<>();
    for (Future<Result> run : runs) {
      Result result = run.get();
      print(result);
      results.add(result);
    }
    threads.shutdown();
    System.out.println(json(results));
  }

  private static int number(List<String> arguments, String option, int defaultValue) {
    return arguments.contains(option) ? Integer.parseInt(arguments.get(arguments.indexOf(option) + 1)) : defaultValue;
  }

  private static void print(Result r) {
    System.out.println("seed " + r.seed() + ": requests " + r.requests() + ", served " + r.served() + ", resent " + r.resent() + ", failed calls "
        + r.failedCalls() + ", processes " + r.processes() + ", peak " + r.peakMemoryKb() / 1024 + " MB, " + r.peakDescriptors() + " descriptors"
        + (r.isClean() ? ": clean" : ": " + r.breaches()));
    r.examples().forEach(e -> System.out.println("    " + e));
  }

  private static String json(List<Result> results) {
    Map<String, Integer> breaches = new TreeMap<>();
    results.forEach(r -> r.breaches().forEach((rule, count) -> breaches.merge(rule, count, Integer::sum)));
    String rules = breaches.entrySet().stream().map(e -> "\"" + e.getKey() + "\": " + e.getValue()).collect(Collectors.joining(", ", "{", "}"));
    return "{\"seeds\": " + results.size() + ", \"clean\": " + results.stream().filter(Result::isClean).count() + ", \"requests\": "
        + results.stream().mapToLong(Result::requests).sum() + ", \"served\": " + results.stream().mapToLong(Result::served).sum()
        + ", \"failed_calls\": " + results.stream().mapToLong(Result::failedCalls).sum() + ", \"processes\": "
        + results.stream().mapToInt(Result::processes).sum() + ", \"peak_memory_mb\": "
        + results.stream().mapToLong(Result::peakMemoryKb).max().orElse(0) / 1024 + ", \"peak_descriptors\": "
        + results.stream().mapToInt(Result::peakDescriptors).max().orElse(0) + ", \"breaches\": " + rules + "}";
  }
}
