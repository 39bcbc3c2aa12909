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

/** Plays the soak with one seed after another, several at one time, and adds up what was counted. */
public final class SoakBench {

  private SoakBench() {}

  /**
   * {@code [--seed N] [--seeds N] [--seconds N] [--nodes N] [--memory-mb N] [--clients N] [--crowd N] [--parallel N] [--root FOLDER]}: so many seeds from the first
   * one on, of the checkout in the folder.
   */
  public static void main(String[] args) throws Exception {
    List<String> given = Arrays.asList(args);
    Path root = Path.of(given.contains("--root") ? given.get(given.indexOf("--root") + 1) : ".").toAbsolutePath();
    int seed = number(given, "--seed", 1);
    int seeds = number(given, "--seeds", 1);
    ExecutorService threads = Executors.newFixedThreadPool(number(given, "--parallel", 1));
    List<Future<Result>> runs = new ArrayList<>();
    for (int i = 0; i < seeds; i++) {
      Plan plan = new Plan(root, seed + i, number(given, "--seconds", 20), number(given, "--nodes", 1), number(given, "--memory-mb", 192),
          number(given, "--clients", 0), number(given, "--crowd", 0));
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

  private static int number(List<String> given, String option, int otherwise) {
    return given.contains(option) ? Integer.parseInt(given.get(given.indexOf(option) + 1)) : otherwise;
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
