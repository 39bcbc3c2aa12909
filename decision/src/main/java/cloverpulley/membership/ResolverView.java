package cloverpulley.membership;

import cloverpulley.membership.TextKeys.Attributes;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The latest answers of one resolver. */
final class ResolverView {

  /** The instances that it lists in one domain. */
  static final class Domain {
    Set<String> names = new HashSet<>();
    /** When the list was last answered or confirmed; -1 for never. */
    long answeredAt = -1;
    long expiresAt;
    long serial = -1;
    /** When its zone was first found to be older than a known one; -1 while it is not. */
    long outdatedSince = -1;
    boolean failed;

    boolean isLive(long now) {
      return answeredAt >= 0 && now < expiresAt && outdatedSince < 0;
    }

    /** Whether it has answered, or failed to. */
    boolean hasResponded() {
      return answeredAt >= 0 || failed;
    }
  }

  final Map<String, Domain> domains = new HashMap<>();
  final Map<String, List<SrvRecord>> srvRecords = new HashMap<>();
  final Map<String, Attributes> attributes = new HashMap<>();
  private final Map<String, List<String>> ipv4 = new HashMap<>();
  private final Map<String, List<String>> ipv6 = new HashMap<>();

  Domain domain(String name) {
    return domains.computeIfAbsent(name, n -> new Domain());
  }

  /** Stores the addresses and returns whether they changed. */
  boolean updateAddresses(String target, boolean isIpv6, List<String> addresses) {
    Map<String, List<String>> family = isIpv6 ? ipv6 : ipv4;
    // An empty answer is stored as unknown, so that a target that its reader has dropped takes no memory.
    List<String> previous = addresses.isEmpty() ? family.remove(target) : family.put(target, addresses);
    return !addresses.equals(previous == null ? List.of() : previous);
  }

  /** The address in use if it is still listed, else the smallest as text, IPv4 before IPv6: all readers select the same one. */
  private String selectAddress(String target, String inUse) {
    List<String> all = ipv4.getOrDefault(target, List.of());
    all = all.isEmpty() ? ipv6.getOrDefault(target, List.of()) : all;
    return inUse != null && all.contains(inUse) ? inUse : all.stream().min(String::compareTo).orElse(null);
  }

  /** The incarnation that its records describe; null while an SRV or address record is missing. */
  Incarnation incarnation(String instance, String addressInUse) {
    SrvRecord srv = srvRecords.getOrDefault(instance, List.of()).stream().min(SrvRecord.PREFERENCE_ORDER).orElse(null);
    String address = srv == null ? null : selectAddress(srv.target(), addressInUse);
    return address == null ? null : new Incarnation(srv, address, attributes.getOrDefault(instance, TextKeys.EMPTY));
  }

  /** Removes the addresses of a target that no instance uses. */
  void removeAddresses(String target) {
    ipv4.remove(target);
    ipv6.remove(target);
  }

  /** The number of stored records. */
  int size() {
    return srvRecords.size() + attributes.size() + ipv4.size() + ipv6.size();
  }
}
