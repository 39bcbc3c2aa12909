package cloverpulley.model;

import cloverpulley.Balancer.Settings;
import cloverpulley.config.Section;
import cloverpulley.config.ServiceSection;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * An installation and what befalls it: {@code [model]} beside the operators' own {@code [service]}, {@code [[class]]} and {@code [[tenant]]}.
 *
 * @param rate requests a second over all balancers
 * @param workMillis mean of the work, exponential, or always so much where {@code steady}
 * @param queueMost requests that wait at a server, beyond which it says that it is full
 * @param networkMillis one way; each message's is drawn between half and one and a half of it
 * @param listMillis how long news of the list take to a balancer
 */
public record ModelPlan(Settings settings, long seed, double seconds, double rate, int balancers, int servers, int workers,
    double workMillis, boolean steady, int queueMost, double networkMillis, double listMillis, int keys, List<Fault> faults,
    List<Policies> policies) {

  /** What may befall a part of the servers at a time. */
  public enum Kind { KILL, DRAIN, SLOW, REPLACE }

  /** One fault: {@code part} of the servers, from the first on; {@code factor} for SLOW. */
  public record Fault(Kind kind, double atSeconds, double part, double factor) {}

  private static final double MOST_REQUESTS = 200_000_000;

  /** Reads a plan; what would take more memory or time than there is is refused here, with the figure. */
  public static ModelPlan read(Section file) {
    Settings settings = ServiceSection.read(file);
    Section s = file.table("model");
    Map<String, Policies> policies = new HashMap<>();
    for (Policies p : Policies.values()) {
      policies.put(p.name().toLowerCase(Locale.ROOT), p);
    }
    List<Policies> chosen = new ArrayList<>();
    for (String name : s.strings("policies", List.of("module", "random", "two_choices", "least_outstanding"))) {
      if (policies.containsKey(name)) {
        chosen.add(policies.get(name));
      } else {
        s.reportError("policies", "expected some of " + policies.keySet().stream().sorted().toList() + ", got \"" + name + "\"");
      }
    }
    Map<String, Kind> kinds = Map.of("kill", Kind.KILL, "drain", Kind.DRAIN, "slow", Kind.SLOW, "replace", Kind.REPLACE);
    List<Fault> faults = new ArrayList<>();
    for (Section f : s.tables("fault")) {
      faults.add(new Fault(f.oneOf("kind", kinds, Kind.KILL), f.number("at_s", 0, 86_400, 0), f.number("part", 0, 1, 0.25),
          f.number("factor", 0.01, 100, 3)));
    }
    double seconds = s.number("seconds", 0.1, 86_400, 60);
    double rate = s.number("rate", 0.1, 10_000_000, 1000);
    if (rate * seconds > MOST_REQUESTS) {
      s.reportError("rate", "expected no more than " + (long) MOST_REQUESTS + " requests in all, got " + (long) (rate * seconds));
      rate = 1;
    }
    int balancers = (int) s.integer("balancers", 1, 10_000, 1);
    int servers = (int) s.integer("servers", 1, 100_000, 10);
    // Some 20 KB for each server that a balancer knows: its ring points above all.
    double gigabytes = (double) balancers * servers * 20_000 / (1 << 30);
    double there = Runtime.getRuntime().maxMemory() / (double) (1 << 30);
    if (gigabytes > there) {
      s.reportError("balancers", String.format(Locale.ROOT, "would take some %.1f GB beside %d servers, and there are %.1f", gigabytes, servers,
          there));
    }
    return new ModelPlan(settings, s.integer("seed", Long.MIN_VALUE, Long.MAX_VALUE, 1), seconds, rate, balancers, servers,
        (int) s.integer("workers", 1, 10_000, 4), s.number("work_ms", 0.001, 100_000, 10), s.bool("steady", false),
        (int) s.integer("queue", 0, 1_000_000, 100), s.number("network_ms", 0, 10_000, 0.5), s.number("list_ms", 0, 600_000, 100),
        (int) s.integer("keys", 0, 10_000_000, 1000), List.copyOf(faults), chosen.isEmpty() ? List.of(Policies.MODULE) : List.copyOf(chosen));
  }
}
