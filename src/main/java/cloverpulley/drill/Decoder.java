package cloverpulley.drill;

import cloverpulley.Balancer.AnswerStarted;
import cloverpulley.Balancer.ClientGone;
import cloverpulley.Balancer.Contract;
import cloverpulley.Balancer.DedupScope;
import cloverpulley.Balancer.Effect;
import cloverpulley.Balancer.Event;
import cloverpulley.Balancer.Limits;
import cloverpulley.Balancer.ListKind;
import cloverpulley.Balancer.ListNews;
import cloverpulley.Balancer.Listed;
import cloverpulley.Balancer.Outcome;
import cloverpulley.Balancer.PeerMessage;
import cloverpulley.Balancer.Prices;
import cloverpulley.Balancer.ProbeResult;
import cloverpulley.Balancer.Request;
import cloverpulley.Balancer.RequestClass;
import cloverpulley.Balancer.Settings;
import cloverpulley.Balancer.State;
import cloverpulley.Balancer.Status;
import cloverpulley.Balancer.Tenant;
import cloverpulley.Balancer.TimerFired;
import cloverpulley.Balancer.WeightKind;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;

/** Translates the wire's events and settings into the module's. */
final class Decoder {

  private static final Map<String, Status> STATUS = Map.of("served", Status.SERVED, "server_error", Status.ERROR,
      "turned_away", Status.FULL, "no_answer", Status.TIMEOUT, "no_connection", Status.CONNECT_FAILED,
      "connection_lost", Status.RESET, "called_off", Status.CANCELLED, "not_sent", Status.NOT_SENT);
  private static final Map<String, State> STATE =
      Map.of("up", State.READY, "draining", State.DRAINING, "removed", State.GONE);
  private static final Map<String, ListKind> LIST_KIND =
      Map.of("D", ListKind.DELTA, "F", ListKind.FULL, "C", ListKind.CACHED, "X", ListKind.FAILED);
  private static final Map<String, Effect> EFFECT =
      Map.of("idempotent", Effect.SAFE, "deduplicated", Effect.KEYED, "at_most_once", Effect.UNSAFE);
  private static final Map<String, DedupScope> SCOPE =
      Map.of("all", DedupScope.ALL, "zone", DedupScope.ZONE, "cell", DedupScope.CELL);
  private static final Map<String, WeightKind> WEIGHTS = Map.of("none", WeightKind.NONE, "nominal",
      WeightKind.NOMINAL, "rough", WeightKind.ROUGH, "live", WeightKind.LIVE);
  private static final Map<String, Boolean> LIST_MODE = Map.of("pushed", false, "on_request", true);

  private Decoder() {}

  /** An event by its wire name; start and stop of an instance are not among these. */
  static Event event(String name, Fields f) {
    return switch (name) {
      case "Topology" -> topology(f);
      case "JobIn" -> new Request(f.text("rid"), f.text("service"), tenant(f), f.text("object", null),
          f.integer("drop-dead-ns"), f.integer("weight-hint-ns", 0), f.bool("retry", false));
      case "First" -> new AnswerStarted(f.text("rid"), (int) f.integer("go"), f.integer("upstream"),
          f.integer("wait-time-ns"));
      case "Resolved" -> new Outcome(f.text("rid"), (int) f.integer("go"), f.integer("upstream"),
          f.word("rc", STATUS), f.integer("wait-time-ns"), f.bool("done-flag"), f.load("usage"));
      case "Aborted" -> new ClientGone(f.text("rid"));
      case "Fired" -> new TimerFired(f.text("handle"));
      case "HealthResult" -> new ProbeResult(f.integer("upstream"), f.word("rc", STATUS), f.integer("wait-time-ns"),
          f.load("usage"));
      case "Datagram" -> new PeerMessage((int) f.integer("neighbour"), bytes(f));
      default -> throw new WireException("field " + f.path() + ": unknown event");
    };
  }

  /** Sites without tenants leave the field out or write 0. */
  private static String tenant(Fields f) {
    return f.values().get("user-group") instanceof Long none && none == 0 ? null : f.text("user-group", null);
  }

  private static byte[] bytes(Fields f) {
    try {
      return Base64.getDecoder().decode(f.text("octets"));
    } catch (IllegalArgumentException e) {
      throw new WireException("field " + f.path() + ".octets: expected base64");
    }
  }

  private static ListNews topology(Fields f) {
    ListKind kind = f.word("kind", LIST_KIND);
    List<Listed> entries = new ArrayList<>();
    if (kind != ListKind.FAILED || f.has("entries")) {
      for (Fields e : f.objects("entries")) {
        entries.add(new Listed(e.integer("upstream"), e.text("region-part", ""), (int) e.integer("pack", 0),
            e.word("stage-state", STATE), e.integer("launched-ns", 0), e.number("capacity-hint", 1)));
      }
    }
    return new ListNews(kind, entries);
  }

  /** The settings; unknown keys are skipped, absent ones get the defaults written here. */
  static Settings settings(Fields f) {
    List<RequestClass> classes = new ArrayList<>();
    for (Fields c : f.objects("categories")) {
      long aim = c.integer("aim-ns");
      classes.add(new RequestClass(c.text("name"), c.word("effect", EFFECT, Effect.UNSAFE),
          c.word("dedup-scope", SCOPE, DedupScope.CELL), c.integer("window-ns", 0), aim, c.number("aim-stretch", 0),
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
        (int) l.integer("max-attempts", 1), (int) l.integer("most-held", Integer.MAX_VALUE),
        (int) l.integer("multiplex", 1), l.integer("connect-timeout-ns", 250_000_000L));
    boolean onRequest = f.word("registry-mode", LIST_MODE, false);
    Fields c = f.nested("contract");
    Contract contract = new Contract(c.integer("answer-slack-ns", 0),
        c.integer("ask-within-ns", onRequest ? 10_000_000_000L : 0), c.integer("drain-grace-ns", 0),
        c.number("cold-from", 0.1), c.integer("warm-within-ns", 30_000_000_000L), c.number("fall-multiple", 1),
        c.integer("overload-for-ns", 1_000_000_000L));
    Fields p = f.nested("prices");
    Prices prices = new Prices(p.number("cross-zone", 0), p.number("waste", 0), p.number("late-fail", 0));
    return new Settings((int) f.integer("me", 0), (int) f.integer("group-size", 1), f.text("zone", ""), classes,
        tenants, limits, contract, prices, onRequest, f.word("weight-kind", WEIGHTS, WeightKind.NONE),
        f.number("over-share-worth", 1), f.nested("domain").bool("warm-keys", false),
        f.integer("resolution-ns", 1_000_000L));
  }
}
