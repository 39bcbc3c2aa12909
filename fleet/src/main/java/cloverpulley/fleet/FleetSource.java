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
import java.util.ServiceLoader;
import java.util.Set;

/**
 * Where the fleet comes from, as {@code [fleet]} of the operators' file says: a list written there, discovery, or a source that a
 * module brings along.
 *
 * @param discovery null where it is none
 * @param stateFile where the list last held is kept for a successor; null for nowhere
 * @param list the one written in the file; empty where there is none
 * @param sourceFactory opens a further source; null where it is none
 */
public record FleetSource(InetSocketAddress discovery, Path stateFile, ServerList list, ListProvider.SourceFactory sourceFactory) {

  /** One without a further source. */
  public FleetSource(InetSocketAddress discovery, Path stateFile, ServerList list) {
    this(discovery, stateFile, list, null);
  }

  /** Whether the list is written in the operators' file, and changes when that is read again. */
  public boolean isStatic() {
    return discovery == null && sourceFactory == null;
  }

  private static final Map<String, State> PHASES = Map.of("ready", State.READY, "draining", State.DRAINING);

  /** Reads the section. */
  public static FleetSource read(Section s) {
    InetSocketAddress discovery = s.has("discovery") ? s.address("discovery", null) : null;
    String state = s.string("state_file", "");
    List<Server> servers = new ArrayList<>();
    Set<String> ids = new HashSet<>();
    for (Section m : s.tables("server")) {
      String id = m.string("id");
      if (!ids.add(id)) {
        m.reportError("id", "two servers are called \"" + id + "\"");
      }
      servers.add(new Server(id, m.address("address", null), m.string("zone", ""), (int) m.integer("cell", 0, 1 << 30, 0),
          m.oneOf("phase", PHASES, State.READY), m.number("size", 0.001, 1000, 1), m.integer("started_ms", 0, 1L << 50, 0)));
    }
    ListProvider.SourceFactory sourceFactory = null;
    List<String> given = new ArrayList<>();
    List<String> further = new ArrayList<>();
    for (ListProvider p : ServiceLoader.load(ListProvider.class)) {
      further.add("fleet." + p.key());
      if (s.has(p.key())) {
        sourceFactory = p.read(s.table(p.key()));
        given.add(p.key());
      }
    }
    if (discovery != null) {
      given.add("discovery");
    }
    if (given.isEmpty() && servers.isEmpty()) {
      s.reportError("server", "expected at least one [[fleet.server]], or fleet.discovery" + (further.isEmpty() ? ""
          : ", or " + String.join(", or ", further)));
    } else if (!given.isEmpty() && !servers.isEmpty()) {
      s.reportError("server", "expected no list beside fleet." + given.get(0));
    } else if (given.size() > 1) {
      s.reportError(given.get(1), "expected one source of servers, got fleet." + given.get(0) + " as well");
    }
    return new FleetSource(discovery, state.isEmpty() ? null : Path.of(state), new ServerList(0, true, servers), sourceFactory);
  }

  /** What the front starts with: the list written in the file, or the one last held. */
  public ServerList initialList() {
    return isStatic() ? list : HeldList.read(stateFile);
  }
}
