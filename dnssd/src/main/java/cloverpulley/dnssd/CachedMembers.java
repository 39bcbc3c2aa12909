package cloverpulley.dnssd;

import cloverpulley.Balancer.State;
import cloverpulley.engine.ServerList;
import cloverpulley.engine.ServerList.Server;
import cloverpulley.membership.Member;
import cloverpulley.membership.Member.Phase;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;

/** The list last held, read back from the ids that membership gave: {@code INSTANCE|TARGET:PORT|BOOT-OR-ADDRESS}. */
final class CachedMembers {

  /** One of them, and the browse that it belongs to. */
  record Held(Member member, String domain, String boot) {}

  private CachedMembers() {}

  /** Those whose instance is within what is browsed; others are no more ours. */
  static List<Held> read(ServerList list, List<String> browses) {
    List<Held> held = new ArrayList<>();
    for (Server s : list.members()) {
      String[] parts = s.id().split("\\|", -1);
      int colon = parts.length == 3 ? parts[1].lastIndexOf(':') : -1;
      String domain = colon < 0 ? null : browses.stream().filter(b -> parts[0].endsWith('.' + service(b))).findFirst().orElse(null);
      if (domain == null || !(s.address() instanceof InetSocketAddress address)) {
        continue;
      }
      String figures = address.getAddress().getHostAddress();
      Phase phase = s.state() == State.READY ? Phase.READY : Phase.DRAINING;
      held.add(new Held(new Member(s.id(), parts[0], parts[1].substring(0, colon), figures, address.getPort(), s.zone(), s.cell(),
          s.size(), phase, s.upSinceMillis()), domain, parts[2].equals(figures) ? "" : parts[2]));
    }
    return held;
  }

  /** The name below which the instances of a browse are: a subtype's are those of its service (RFC 6763, 7.1). */
  private static String service(String browse) {
    int sub = browse.indexOf("._sub.");
    return sub < 0 ? browse : browse.substring(sub + "._sub.".length());
  }
}
