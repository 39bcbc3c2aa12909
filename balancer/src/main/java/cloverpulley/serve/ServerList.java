package cloverpulley.serve;

import cloverpulley.Balancer.State;
import cloverpulley.wire.Fields;
import java.net.SocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** A list of upstreams, or changes to one, in discovery's form. */
record ServerList(long revision, boolean complete, List<Server> members) {

  static final ServerList NONE = new ServerList(0, true, List.of());

  private static final Map<String, State> PHASE =
      Map.of("ready", State.READY, "draining", State.DRAINING, "gone", State.GONE);

  /** One upstream; {@code upSinceMillis} is 0 for long ago. */
  record Server(String id, SocketAddress address, String zone, int cell, State state, double size,
      long upSinceMillis) {}

  static ServerList parse(Fields f) {
    List<Server> members = new ArrayList<>();
    for (Fields m : f.objects("members")) {
      members.add(new Server(m.text("id"), Config.address("host_port", m.text("host_port")), m.text("locality", ""),
          (int) m.integer("cell", 0), m.word("phase", PHASE), m.number("size", 1), m.integer("up_since_ms", 0)));
    }
    return new ServerList(f.integer("revision", 0), f.bool("complete", false), members);
  }
}
