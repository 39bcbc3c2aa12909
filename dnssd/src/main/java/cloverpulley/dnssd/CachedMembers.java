package cloverpulley.dnssd;

import cloverpulley.Balancer.State;
import cloverpulley.engine.ServerList;
import cloverpulley.engine.ServerList.Server;
import cloverpulley.membership.Member;
import cloverpulley.membership.Member.Phase;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;

/** Restores members from the cached list, by their ids as assigned by Membership: {@code INSTANCE|TARGET:PORT|BOOT-OR-ADDRESS}. */
final class CachedMembers {

  /** A cached member, the browse that it belongs to, and its boot ID; empty if it has none. */
  record CachedMember(Member member, String domain, String bootId) {}

  private CachedMembers() {}

  /** The cached members whose instance belongs to a configured browse; others are dropped. */
  static List<CachedMember> read(ServerList list, List<String> browses) {
    List<CachedMember> cached = new ArrayList<>();
    for (Server s : list.members()) {
      String[] parts = s.id().split("\\|", -1);
      int portSeparator = parts.length == 3 ? parts[1].lastIndexOf(':') : -1;
      String domain = portSeparator < 0 ? null
          : browses.stream().filter(browse -> parts[0].endsWith('.' + serviceName(browse))).findFirst().orElse(null);
      if (domain == null || !(s.address() instanceof InetSocketAddress address)) {
        continue;
      }
      String numericAddress = address.getAddress().getHostAddress();
      Phase phase = s.state() == State.READY ? Phase.READY : Phase.DRAINING;
      cached.add(new CachedMember(new Member(s.id(), parts[0], parts[1].substring(0, portSeparator), numericAddress, address.getPort(),
          s.zone(), s.cell(), s.size(), phase, s.upSinceMillis()), domain, parts[2].equals(numericAddress) ? "" : parts[2]));
    }
    return cached;
  }

  /** The parent name of a browse's instances; those of a subtype are directly below the service (RFC 6763, 7.1). */
  private static String serviceName(String browse) {
    int subtype = browse.indexOf("._sub.");
    return subtype < 0 ? browse : browse.substring(subtype + "._sub.".length());
  }
}
