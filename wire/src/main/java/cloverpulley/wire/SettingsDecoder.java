package cloverpulley.wire;

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
import java.util.List;
import java.util.Map;

/** Decodes the settings, which the simulator and a real balancer receive in the same format, into the module's. */
public final class SettingsDecoder {

  private static final Map<String, Effect> EFFECT =
      Map.of("idempotent", Effect.SAFE, "deduplicated", Effect.KEYED, "at_most_once", Effect.UNSAFE);
  private static final Map<String, DedupScope> SCOPE =
      Map.of("all", DedupScope.ALL, "zone", DedupScope.ZONE, "cell", DedupScope.CELL);
  private static final Map<String, WeightKind> WEIGHTS = Map.of("none", WeightKind.NONE, "nominal",
      WeightKind.NOMINAL, "rough", WeightKind.ROUGH, "live", WeightKind.LIVE);
  private static final Map<String, Boolean> LIST_MODE = Map.of("pushed", false, "on_request", true);

  private SettingsDecoder() {}

  /** Decodes the settings; unknown keys are skipped, absent ones get the defaults given here. */
  public static Settings settings(Fields f) {
    List<RequestClass> classes = new ArrayList<>();
    for (Fields c : f.objects("categories")) {
      long aim = c.integer("aim-ns");
      classes.add(new RequestClass(c.text("name"), c.oneOf("effect", EFFECT, Effect.UNSAFE),
          c.oneOf("dedup-scope", SCOPE, DedupScope.CELL), c.integer("window-ns", 0), aim, c.number("aim-stretch", 0),
          c.integer("deadline-ns", aim), c.number("gain", 1), c.number("late-worth", 0), c.bool("stream", false)));
    }
    List<Tenant> tenants = new ArrayList<>();
    if (f.has("projects")) {
      for (Fields t : f.objects("projects")) {
        tenants.add(new Tenant(t.text("name"), t.number("portion", 0), t.number("quota-per-s", 0)));
      }
    }
    Fields l = f.nested("limits");
    Limits limits = new Limits(l.bool("cancel", false), l.bool("probing", false), l.bool("peers", false),
        l.bool("second-copies", false), l.bool("retry-after", false), l.integer("max-retry-after-ns", 0),
        l.int32("max-attempts", 1), l.int32("most-held", Integer.MAX_VALUE),
        l.int32("multiplex", 1), l.integer("connect-timeout-ns", 250_000_000L));
    boolean onRequest = f.oneOf("registry-mode", LIST_MODE, false);
    Fields c = f.nested("contract");
    Contract contract = new Contract(c.integer("answer-slack-ns", 0),
        c.integer("ask-within-ns", onRequest ? 10_000_000_000L : 0), c.integer("drain-grace-ns", 0),
        c.number("cold-from", 0.1), c.integer("warm-within-ns", 30_000_000_000L), c.number("fall-multiple", 1),
        c.integer("overload-for-ns", 1_000_000_000L));
    Fields p = f.nested("prices");
    Penalties penalties = new Penalties(p.number("cross-zone", 0), p.number("waste", 0), p.number("late-fail", 0));
    return new Settings(f.int32("me", 0), f.int32("group-size", 1), f.text("zone", ""), classes,
        tenants, limits, contract, penalties, onRequest, f.oneOf("weight-kind", WEIGHTS, WeightKind.NONE),
        f.number("over-share-worth", 1), f.nested("domain").bool("warm-keys", false),
        f.integer("resolution-ns", 1_000_000L));
  }
}
