package cloverpulley.fleet;

import cloverpulley.Balancer.State;
import cloverpulley.config.Section;
import cloverpulley.engine.ServerList;
import cloverpulley.engine.ServerList.Server;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Where the fleet comes from, as {@code [fleet]} of the operators' file says: a list written there, or discovery.
 *
 * @param discovery null where the list is written in the file
 * @param stateFile where the list last held is kept for a successor; null for nowhere
 */
public record FleetSource(InetSocketAddress discovery, Path stateFile, ServerList list) {

  private static final Map<String, State> PHASES = Map.of("ready", State.READY, "draining", State.DRAINING);

  /** Reads the section. */
  public static FleetSource read(Section s) {
    InetSocketAddress discovery = s.has("discovery") ? s.address("discovery", null) : null;
    String state = s.text("state_file", "");
    List<Server> servers = new ArrayList<>();
    Set<String> ids = new HashSet<>();
    for (Section m : s.tables("server")) {
      String id = m.text("id");
      if (!ids.add(id)) {
        m.wrong("id", "two servers are called \"" + id + "\"");
      }
      servers.add(new Server(id, m.address("address", null), m.text("zone", ""), (int) m.whole("cell", 0, 1 << 30, 0),
          m.word("phase", PHASES, State.READY), m.number("size", 0.001, 1000, 1), m.whole("started_ms", 0, 1L << 50, 0)));
    }
    if (discovery == null && servers.isEmpty()) {
      s.wrong("server", "expected at least one [[fleet.server]], or fleet.discovery");
    } else if (discovery != null && !servers.isEmpty()) {
      s.wrong("server", "expected no list beside fleet.discovery");
    }
    return new FleetSource(discovery, state.isEmpty() ? null : Path.of(state), new ServerList(0, true, servers));
  }
}
