package cloverpulley.engine;

import cloverpulley.Balancer.State;
import java.net.SocketAddress;
import java.util.List;

/**
 * A list of upstreams, or changes to one.
 *
 * @param revision its version, which only increases; 0 if the source has no versions
 * @param complete whether it is the whole list rather than changes
 */
public record ServerList(long revision, boolean complete, List<Server> members) {

  public static final ServerList EMPTY = new ServerList(0, true, List.of());

  /**
   * One upstream.
   *
   * @param cell the group of upstreams that deduplicate each other's requests
   * @param upSinceMillis Unix time of its start in milliseconds; 0 for long ago
   */
  public record Server(String id, SocketAddress address, String zone, int cell, State state, double size,
      long upSinceMillis) {}
}
