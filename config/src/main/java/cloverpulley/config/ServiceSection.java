package cloverpulley.config;

import cloverpulley.Balancer.Contract;
import cloverpulley.Balancer.DedupScope;
import cloverpulley.Balancer.Effect;
import cloverpulley.Balancer.Limits;
import cloverpulley.Balancer.Penalties;
import cloverpulley.Balancer.RequestClass;
import cloverpulley.Balancer.Settings;
import cloverpulley.Balancer.Tenant;
import cloverpulley.Balancer.WeightKind;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * The settings that all frontends share: request classes, tenants, and the limits of the module. Times in the file are whole
 * milliseconds, ten minutes at most.
 */
public final class ServiceSection {

  private static final long MAX_MS = 600_000;
  private static final Map<String, Effect> EFFECTS =
      Map.of("safe", Effect.SAFE, "keyed", Effect.KEYED, "unsafe", Effect.UNSAFE);
  private static final Map<String, DedupScope> SCOPES =
      Map.of("all", DedupScope.ALL, "zone", DedupScope.ZONE, "cell", DedupScope.CELL);

  private ServiceSection() {}

  /** Reads {@code [service]}, {@code [[class]]} and {@code [[tenant]]} from the root table. */
  public static Settings read(Section root) {
    List<RequestClass> classes = classes(root);
    List<Tenant> tenants = tenants(root);
    Section service = root.table("service");
    int processes = (int) service.integer("processes", 1, 10_000, 1);
    int number = (int) service.integer("number", 0, 9_999, 0);
    if (number >= processes) {
      service.reportError("number", "expected one below service.processes, got " + number);
      number = 0;
    }
    Limits limits = new Limits(true, false, false, service.bool("second_copies", false), true, millis(service, "retry_after_most_ms", 2000),
        (int) service.integer("attempts", 1, 16, 6), (int) service.integer("most_in_hand", 1, 1_000_000, 20_000), 1,
        millis(service, "connect_ms", 200));
    Contract contract = new Contract(0, 10_000_000_000L, millis(service, "drain_grace_ms", 2000),
        service.number("cold_from", 0.01, 1, 0.32), millis(service, "warm_within_ms", 8500), service.number("fall_multiple", 1, 100, 3),
        millis(service, "fall_window_ms", 3000));
    return new Settings(number, processes, service.string("zone", ""), classes, tenants, limits, contract, new Penalties(0, 0, 0),
        true, service.bool("sizes", true) ? WeightKind.NOMINAL : WeightKind.NONE, service.number("over_share_worth", 0, 1, 0.2),
        service.bool("warm_keys", true), 1_000_000L);
  }

  private static List<RequestClass> classes(Section root) {
    List<RequestClass> classes = new ArrayList<>();
    Set<String> names = new HashSet<>();
    for (Section section : root.tables("class")) {
      String name = section.string("name");
      if (!names.add(name)) {
        section.reportError("name", "two classes are called \"" + name + "\"");
      }
      Effect declaredEffect = section.oneOf("effect", EFFECTS, null);
      Effect effect = declaredEffect == null ? Effect.UNSAFE : declaredEffect;
      long window = section.integer("dedup_window_ms", 1, MAX_MS, effect == Effect.KEYED ? 0 : 1);
      if (effect == Effect.KEYED && window == 0) {
        section.reportError("dedup_window_ms", "expected how long duplicates are dropped, for a keyed class");
      }
      long aim = section.integer("aim_ms", 1, MAX_MS);
      long deadline = section.integer("deadline_ms", 1, MAX_MS, aim);
      if (deadline < aim) {
        section.reportError("deadline_ms", "expected no less than aim_ms, got " + deadline);
      }
      classes.add(new RequestClass(name, effect, section.oneOf("dedup_scope", SCOPES, DedupScope.CELL),
          TimeUnit.MILLISECONDS.toNanos(window), TimeUnit.MILLISECONDS.toNanos(aim), 0,
          TimeUnit.MILLISECONDS.toNanos(deadline), section.number("worth", 0, 1e6, 1), section.number("late_worth", 0, 1, 0), false));
    }
    if (classes.isEmpty()) {
      root.reportError("class", "expected at least one [[class]], got nothing");
      classes.add(new RequestClass("none", Effect.UNSAFE, DedupScope.CELL, 0, 1_000_000L, 0, 1_000_000L, 1, 0, false));
    }
    return classes;
  }

  private static List<Tenant> tenants(Section root) {
    List<Tenant> tenants = new ArrayList<>();
    Set<String> names = new HashSet<>();
    double shares = 0;
    for (Section section : root.tables("tenant")) {
      String name = section.string("name");
      if (!names.add(name)) {
        section.reportError("name", "two tenants are called \"" + name + "\"");
      }
      double share = section.number("share", 0, 1, 0);
      shares += share;
      if (shares > 1 + 1e-9) {
        section.reportError("share", "the shares add up to more than 1");
        shares = 0;
      }
      tenants.add(new Tenant(name, share, section.number("quota_per_s", 0, 1e9, 0)));
    }
    return tenants;
  }

  private static long millis(Section service, String key, long defaultMillis) {
    return TimeUnit.MILLISECONDS.toNanos(service.integer(key, 0, MAX_MS, defaultMillis));
  }
}
