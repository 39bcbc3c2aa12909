package cloverpulley.serve;

import cloverpulley.engine.Clock;
import cloverpulley.engine.Fleet;
import cloverpulley.engine.ServerList;
import java.util.List;

/** Messages of discovery, and the upstream numbers of its server names. */
final class DiscoveryFixture {

  private DiscoveryFixture() {}

  /** The head of a watch's response and its first line; each further line is a chunk of its own. */
  static String watch(String line) {
    return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(line);
  }

  static String chunk(String line) {
    return Integer.toHexString(line.length() + 1) + "\r\n" + line + "\n\r\n";
  }

  /** The number by which the module knows an upstream. */
  static long number(String id) {
    ServerList.Server server = new ServerList.Server(id, null, "a", 0, cloverpulley.Balancer.State.READY, 1, 0);
    return new Fleet(new Clock()).update(cloverpulley.Balancer.ListKind.FULL, new ServerList(1, true, List.of(server)))
        .endpoints().get(0).upstream();
  }
}
