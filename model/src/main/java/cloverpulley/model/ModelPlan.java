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
 * The configuration of a simulation: {@code [model]} next to the operators' own {@code [service]}, {@code [[class]]} and {@code [[tenant]]}.
 *
 * @param rate requests per second over all balancers
 * @param workMillis mean service time, exponentially distributed unless {@code constantWork}
 * @param maxQueue limit on requests queued at a server; beyond it the server reports that it is full
 * @param networkMillis mean one-way delay; the delay of a message is drawn between 0.5 and 1.5 times this value
 * @param endpointListMillis delay of an endpoint list that a balancer fetches; a change reaches it after 0.5 to 1 times this value
 */
public record ModelPlan(Settings settings, long seed, double seconds, double rate, int balancers, int servers, int workers,
    double workMillis, boolean constantWork, int maxQueue, double networkMillis, double endpointListMillis, int keys, List<Fault> faults,
    List<Policy> policies) {

  /** The kind of a fault. */
  public enum FaultKind { KILL, DRAIN, SLOW, REPLACE }

  /** A fault that affects the fraction {@code serverRatio} of the servers, starting with the first one; {@code factor} applies to SLOW. */
  public record Fault(FaultKind kind, double atSeconds, double serverRatio, double factor) {}

  private static final double MAX_REQUESTS = 200_000_000;

  /** Parses a plan. Rejects plans that would need too much time or memory, with the figure in the message. */
  public static ModelPlan read(Section file) {
    Settings settings = ServiceSection.read(file);
    Section s = file.table("model");
    Map<String, Policy> policies = new HashMap<>();
    for (Policy p : Policy.values()) {
      policies.put(p.name().toLowerCase(Locale.ROOT), p);
    }
    List<Policy> selected = new ArrayList<>();
    for (String name : s.strings("policies", List.of("module", "random", "two_choices", "least_outstanding"))) {
      if (policies.containsKey(name)) {
        selected.add(policies.get(name));
      } else {
        s.reportError("policies", "expected some of " + policies.keySet().stream().sorted().toList() + ", got \"" + name + "\"");
      }
    }
    Map<String, FaultKind> kinds = Map.of("kill", FaultKind.KILL, "drain", FaultKind.DRAIN, "slow", FaultKind.SLOW, "replace", FaultKind.REPLACE);
    List<Fault> faults = new ArrayList<>();
    for (Section f : s.tables("fault")) {
      faults.add(new Fault(f.oneOf("kind", kinds, FaultKind.KILL), f.number("at_s", 0, 86_400, 0), f.number("part", 0, 1, 0.25),
          f.number("factor", 0.01, 100, 3)));
    }
    double seconds = s.number("seconds", 0.1, 86_400, 60);
    double rate = s.number("rate", 0.1, 10_000_000, 1000);
    if (rate * seconds > MAX_REQUESTS) {
      s.reportError("rate", "expected no more than " + (long) MAX_REQUESTS + " requests in all, got " + (long) (rate * seconds));
      rate = 1;
    }
    int balancers = (int) s.integer("balancers", 1, 10_000, 1);
    int servers = (int) s.integer("servers", 1, 100_000, 10);
    // About 20 KB for each server known to a balancer, most of it for points on the hash ring.
    double gigabytes = (double) balancers * servers * 20_000 / (1 << 30);
    double available = Runtime.getRuntime().maxMemory() / (double) (1 << 30);
    if (gigabytes > available) {
      s.reportError("balancers", String.format(Locale.ROOT, "would need about %.1f GB with %d servers, but only %.1f GB are available", gigabytes,
          servers, available));
    }
    return new ModelPlan(settings, s.integer("seed", Long.MIN_VALUE, Long.MAX_VALUE, 1), seconds, rate, balancers, servers,
        (int) s.integer("workers", 1, 10_000, 4), s.number("work_ms", 0.001, 100_000, 10), s.bool("steady", false),
        (int) s.integer("queue", 0, 1_000_000, 100), s.number("network_ms", 0, 10_000, 0.5), s.number("list_ms", 0, 600_000, 100),
        (int) s.integer("keys", 0, 10_000_000, 1000), List.copyOf(faults), selected.isEmpty() ? List.of(Policy.MODULE) : List.copyOf(selected));
  }
}
