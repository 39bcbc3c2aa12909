package cloverpulley.engine;

import cloverpulley.Balancer.State;
import java.net.SocketAddress;
import java.util.List;

/**
 * A list of upstreams, or changes to one.
 *
 * @param revision its version, which only grows; 0 where the source has none
 * @param complete whether it is the whole list
 */
public record ServerList(long revision, boolean complete, List<Server> members) {

  public static final ServerList EMPTY = new ServerList(0, true, List.of());

  /**
   * One upstream.
   *
   * @param cell the group of upstreams that drop one another's repeats
   * @param upSinceMillis Unix time of its start in milliseconds; 0 for long ago
   */
  public record Server(String id, SocketAddress address, String zone, int cell, State state, double size,
      long upSinceMillis) {}
}
