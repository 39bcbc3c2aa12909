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
 * Where the server list comes from, by {@code [fleet]} of the configuration file: a static list, the discovery service, or a source that
 * another module provides.
 *
 * @param discovery address of the discovery service; null if it is not the source
 * @param stateFile file in which the latest list is cached for a successor; null for none
 * @param list the static list; empty if the list comes from elsewhere
 * @param sourceFactory opens the source of another module; null if there is none
 */
public record FleetSource(InetSocketAddress discovery, Path stateFile, ServerList list, ListProvider.SourceFactory sourceFactory) {

  /** A source without a {@link ListProvider}. */
  public FleetSource(InetSocketAddress discovery, Path stateFile, ServerList list) {
    this(discovery, stateFile, list, null);
  }

  /** Whether the list is in the configuration file, and so changes when that is reloaded. */
  public boolean isStatic() {
    return discovery == null && sourceFactory == null;
  }

  private static final Map<String, State> PHASES = Map.of("ready", State.READY, "draining", State.DRAINING);

  /** Reads the section. */
  public static FleetSource read(Section section) {
    InetSocketAddress discovery = section.has("discovery") ? section.address("discovery", null) : null;
    String state = section.string("state_file", "");
    List<Server> servers = new ArrayList<>();
    Set<String> ids = new HashSet<>();
    for (Section server : section.tables("server")) {
      String id = server.string("id");
      if (!ids.add(id)) {
        server.reportError("id", "two servers are called \"" + id + "\"");
      }
      servers.add(new Server(id, server.address("address", null), server.string("zone", ""), (int) server.integer("cell", 0, 1 << 30, 0),
          server.oneOf("phase", PHASES, State.READY), server.number("size", 0.001, 1000, 1), server.integer("started_ms", 0, 1L << 50, 0)));
    }
    ListProvider.SourceFactory sourceFactory = null;
    List<String> configured = new ArrayList<>();
    List<String> providerKeys = new ArrayList<>();
    for (ListProvider provider : ServiceLoader.load(ListProvider.class)) {
      providerKeys.add("fleet." + provider.key());
      if (section.has(provider.key())) {
        sourceFactory = provider.read(section.table(provider.key()));
        configured.add(provider.key());
      }
    }
    if (discovery != null) {
      configured.add("discovery");
    }
    if (configured.isEmpty() && servers.isEmpty()) {
      section.reportError("server", "expected at least one [[fleet.server]], or fleet.discovery" + (providerKeys.isEmpty() ? ""
          : ", or " + String.join(", or ", providerKeys)));
    } else if (!configured.isEmpty() && !servers.isEmpty()) {
      section.reportError("server", "expected no list beside fleet." + configured.get(0));
    } else if (configured.size() > 1) {
      section.reportError(configured.get(1), "expected one source of servers, got fleet." + configured.get(0) + " as well");
    }
    return new FleetSource(discovery, state.isEmpty() ? null : Path.of(state), new ServerList(0, true, servers), sourceFactory);
  }

  /** The list to start with: the static list or the cached one. */
  public ServerList initialList() {
    return isStatic() ? list : HeldList.read(stateFile);
  }
}
