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
 * What every front shares: the classes of requests, the tenants, and what the module may do. Times in the file are whole
 * milliseconds, ten minutes at most.
 */
public final class ServiceSection {

  private static final long MOST_MS = 600_000;
  private static final Map<String, Effect> EFFECTS =
      Map.of("safe", Effect.SAFE, "keyed", Effect.KEYED, "unsafe", Effect.UNSAFE);
  private static final Map<String, DedupScope> SCOPES =
      Map.of("all", DedupScope.ALL, "zone", DedupScope.ZONE, "cell", DedupScope.CELL);

  private ServiceSection() {}

  /** Reads {@code [service]}, {@code [[class]]}, {@code [[tenant]]} of the whole file. */
  public static Settings read(Section file) {
    List<RequestClass> classes = classes(file);
    List<Tenant> tenants = tenants(file);
    Section s = file.table("service");
    int group = (int) s.integer("processes", 1, 10_000, 1);
    int me = (int) s.integer("number", 0, 9_999, 0);
    if (me >= group) {
      s.reportError("number", "expected one below service.processes, got " + me);
      me = 0;
    }
    Limits limits = new Limits(true, false, false, s.bool("second_copies", false), true, millis(s, "retry_after_most_ms", 2000),
        (int) s.integer("attempts", 1, 16, 6), (int) s.integer("most_in_hand", 1, 1_000_000, 20_000), 1, millis(s, "connect_ms", 200));
    Contract contract = new Contract(0, 10_000_000_000L, millis(s, "drain_grace_ms", 2000),
        s.number("cold_from", 0.01, 1, 0.32), millis(s, "warm_within_ms", 8500), s.number("fall_multiple", 1, 100, 3),
        millis(s, "fall_window_ms", 3000));
    return new Settings(me, group, s.string("zone", ""), classes, tenants, limits, contract, new Penalties(0, 0, 0),
        true, s.bool("sizes", true) ? WeightKind.NOMINAL : WeightKind.NONE, s.number("over_share_worth", 0, 1, 0.2),
        s.bool("warm_keys", true), 1_000_000L);
  }

  private static List<RequestClass> classes(Section file) {
    List<RequestClass> classes = new ArrayList<>();
    Set<String> names = new HashSet<>();
    for (Section c : file.tables("class")) {
      String name = c.string("name");
      if (!names.add(name)) {
        c.reportError("name", "two classes are called \"" + name + "\"");
      }
      Effect said = c.oneOf("effect", EFFECTS, null);
      Effect effect = said == null ? Effect.UNSAFE : said;
      long window = c.integer("dedup_window_ms", 1, MOST_MS, effect == Effect.KEYED ? 0 : 1);
      if (effect == Effect.KEYED && window == 0) {
        c.reportError("dedup_window_ms", "expected how long a repeat is dropped, for a keyed class");
      }
      long aim = c.integer("aim_ms", 1, MOST_MS);
      long deadline = c.integer("deadline_ms", 1, MOST_MS, aim);
      if (deadline < aim) {
        c.reportError("deadline_ms", "expected no less than aim_ms, got " + deadline);
      }
      classes.add(new RequestClass(name, effect, c.oneOf("dedup_scope", SCOPES, DedupScope.CELL),
          TimeUnit.MILLISECONDS.toNanos(window), TimeUnit.MILLISECONDS.toNanos(aim), 0,
          TimeUnit.MILLISECONDS.toNanos(deadline), c.number("worth", 0, 1e6, 1), c.number("late_worth", 0, 1, 0), false));
    }
    if (classes.isEmpty()) {
      file.reportError("class", "expected at least one [[class]], got nothing");
      classes.add(new RequestClass("none", Effect.UNSAFE, DedupScope.CELL, 0, 1_000_000L, 0, 1_000_000L, 1, 0, false));
    }
    return classes;
  }

  private static List<Tenant> tenants(Section file) {
    List<Tenant> tenants = new ArrayList<>();
    Set<String> names = new HashSet<>();
    double shares = 0;
    for (Section t : file.tables("tenant")) {
      String name = t.string("name");
      if (!names.add(name)) {
        t.reportError("name", "two tenants are called \"" + name + "\"");
      }
      double share = t.number("share", 0, 1, 0);
      shares += share;
      if (shares > 1 + 1e-9) {
        t.reportError("share", "the shares add up to more than 1");
        shares = 0;
      }
      tenants.add(new Tenant(name, share, t.number("quota_per_s", 0, 1e9, 0)));
    }
    return tenants;
  }

  private static long millis(Section s, String key, long absent) {
    return TimeUnit.MILLISECONDS.toNanos(s.integer(key, 0, MOST_MS, absent));
  }
}
