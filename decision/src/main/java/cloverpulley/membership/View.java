package cloverpulley.membership;

import cloverpulley.membership.TextKeys.Attributes;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** All that one resolver has said, as it said it last. */
final class View {

  /** Its list of one domain's instances. */
  static final class Domain {
    Set<String> names = new HashSet<>();
    /** When it last said so; -1 for never. */
    long at = -1;
    long expires;
    long serial = -1;
    /** When the zone it answers from was first found older than one that is known; -1 while it isn't. */
    long outdatedSince = -1;
    boolean failed;

    boolean isLive(long now) {
      return at >= 0 && now < expires && outdatedSince < 0;
    }

    /** Whether it has said anything, be it that it can't. */
    boolean hasSpoken() {
      return at >= 0 || failed;
    }
  }

  final Map<String, Domain> domains = new HashMap<>();
  final Map<String, List<SrvRecord>> services = new HashMap<>();
  final Map<String, Attributes> texts = new HashMap<>();
  private final Map<String, List<String>> ipv4 = new HashMap<>();
  private final Map<String, List<String>> ipv6 = new HashMap<>();

  Domain domain(String name) {
    return domains.computeIfAbsent(name, n -> new Domain());
  }

  /** Whether that is news. */
  boolean addresses(String target, boolean six, List<String> figures) {
    Map<String, List<String>> family = six ? ipv6 : ipv4;
    // None is as none known: a target that its reader has let go of is not kept for that.
    List<String> before = figures.isEmpty() ? family.remove(target) : family.put(target, figures);
    return !figures.equals(before == null ? List.of() : before);
  }

  /** Of several the one in use, if it still is among them, or the first by its letters: every reader takes the same. */
  private String address(String target, String inUse) {
    List<String> all = ipv4.getOrDefault(target, List.of());
    all = all.isEmpty() ? ipv6.getOrDefault(target, List.of()) : all;
    return inUse != null && all.contains(inUse) ? inUse : all.stream().min(String::compareTo).orElse(null);
  }

  /** What it says an instance is; null while a service or address record is missing. */
  Incarnation incarnation(String instance, String addressInUse) {
    SrvRecord srv = services.getOrDefault(instance, List.of()).stream().min(SrvRecord.PREFERENCE_ORDER).orElse(null);
    String address = srv == null ? null : address(srv.target(), addressInUse);
    return address == null ? null : new Incarnation(srv, address, texts.getOrDefault(instance, TextKeys.NONE));
  }

  /** Forgets the addresses of a target that nobody uses. */
  void forgetAddresses(String target) {
    ipv4.remove(target);
    ipv6.remove(target);
  }

  /** What is kept here. */
  int size() {
    return services.size() + texts.size() + ipv4.size() + ipv6.size();
  }
}
