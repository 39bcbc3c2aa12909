package cloverpulley.drill;

import cloverpulley.Balancer.AnswerStarted;
import cloverpulley.Balancer.ClientGone;
import cloverpulley.Balancer.Endpoint;
import cloverpulley.Balancer.EndpointUpdate;
import cloverpulley.Balancer.Event;
import cloverpulley.Balancer.ListKind;
import cloverpulley.Balancer.Outcome;
import cloverpulley.Balancer.PeerMessage;
import cloverpulley.Balancer.ProbeResult;
import cloverpulley.Balancer.Request;
import cloverpulley.Balancer.State;
import cloverpulley.Balancer.Status;
import cloverpulley.Balancer.TimerFired;
import cloverpulley.wire.Fields;
import cloverpulley.wire.WireException;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;

/** Decodes the simulator's events into the module's. */
final class Decoder {

  private static final Map<String, Status> STATUS = Map.of("served", Status.SERVED, "server_error", Status.ERROR,
      "turned_away", Status.FULL, "no_answer", Status.TIMEOUT, "no_connection", Status.CONNECT_FAILED,
      "connection_lost", Status.RESET, "called_off", Status.CANCELLED, "not_sent", Status.NOT_SENT);
  private static final Map<String, State> STATE =
      Map.of("up", State.READY, "draining", State.DRAINING, "removed", State.GONE);
  private static final Map<String, ListKind> LIST_KIND =
      Map.of("D", ListKind.DELTA, "F", ListKind.FULL, "C", ListKind.CACHED, "X", ListKind.FAILED);

  private Decoder() {}

  /** Decodes an event by its name on the wire, except for those that start and stop an instance. */
  static Event event(String name, Fields f) {
    return switch (name) {
      case "Topology" -> topology(f);
      case "JobIn" -> new Request(f.text("rid"), f.text("service"), tenant(f), f.text("object", null),
          f.integer("drop-dead-ns"), f.integer("weight-hint-ns", 0), f.bool("retry", false));
      case "First" -> new AnswerStarted(f.text("rid"), (int) f.integer("go"), f.integer("upstream"),
          f.integer("wait-time-ns"));
      case "Resolved" -> new Outcome(f.text("rid"), (int) f.integer("go"), f.integer("upstream"),
          f.oneOf("rc", STATUS), f.integer("wait-time-ns"), f.bool("done-flag"), f.load("usage"));
      case "Aborted" -> new ClientGone(f.text("rid"));
      case "Fired" -> new TimerFired(f.text("handle"));
      case "HealthResult" -> new ProbeResult(f.integer("upstream"), f.oneOf("rc", STATUS), f.integer("wait-time-ns"),
          f.load("usage"));
      case "Datagram" -> new PeerMessage((int) f.integer("neighbour"), bytes(f));
      default -> throw new WireException("field " + f.path() + ": unknown event");
    };
  }

  /** The tenant; null for installations without tenants, which omit the field or write 0. */
  private static String tenant(Fields f) {
    return f.values().get("user-group") instanceof Long number && number == 0 ? null : f.text("user-group", null);
  }

  private static byte[] bytes(Fields f) {
    try {
      return Base64.getDecoder().decode(f.text("octets"));
    } catch (IllegalArgumentException e) {
      throw new WireException("field " + f.path() + ".octets: expected base64");
    }
  }

  private static EndpointUpdate topology(Fields f) {
    ListKind kind = f.oneOf("kind", LIST_KIND);
    List<Endpoint> entries = new ArrayList<>();
    if (kind != ListKind.FAILED || f.has("entries")) {
      for (Fields e : f.objects("entries")) {
        entries.add(new Endpoint(e.integer("upstream"), e.text("region-part", ""), (int) e.integer("pack", 0),
            e.oneOf("stage-state", STATE), e.integer("launched-ns", 0), e.number("capacity-hint", 1)));
      }
    }
    return new EndpointUpdate(kind, entries);
  }
}
