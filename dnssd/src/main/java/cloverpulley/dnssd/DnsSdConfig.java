package cloverpulley.dnssd;

import cloverpulley.config.Section;
import cloverpulley.dns.client.ClientConfig;
import cloverpulley.membership.Rules;
import cloverpulley.membership.TextKeys;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.xbill.DNS.Name;
import org.xbill.DNS.TextParseException;

/**
 * What {@code [fleet.dnssd]} of an operators' file says.
 *
 * @param browses what is browsed
 * @param pollMillis how often each resolver is asked for a zone's serial, and for the list where it has none to tell
 * @param leastTtlMillis records with less are kept this long
 * @param askMillis one query's time, UDP and TCP together
 * @param inFlight queries open at one resolver at one time
 * @param contactMillis how often instances that don't say when they started are connected to; 0 for never
 * @param notifyAt where NOTIFY messages are taken; null for nowhere
 * @param records the file that believed changes are written to; null for none
 */
public record DnsSdConfig(List<Browse> browses, List<ResolverAddress> resolvers, Rules rules, TextKeys keys, long pollMillis,
    long leastTtlMillis, long backOffMillis, long mostBackOffMillis, long askMillis, int inFlight, long contactMillis,
    InetSocketAddress notifyAt, Path records, long recordsMostBytes, ClientConfig client) {

  /** What is asked for. All names are in lower case, with a dot at their end. */
  public record Browse(String name, String zone) {}

  /**
   * One resolver.
   *
   * @param pushName whom its certificate has to name; empty where push does without TLS
   */
  public record ResolverAddress(InetSocketAddress address, PushMode push, InetSocketAddress pushAddress, String pushName) {}

  /** How changes are heard of. */
  public enum PushMode {
    /** Asked for again and again. */
    OFF,
    /** DNS push over TCP without TLS, which RFC 8765 allows to nobody: for loopback and tests. */
    TCP,
    /** DNS push over TLS; the resolver's certificate is one that the platform trusts. */
    TLS
  }

  private static final long DAY_MS = 86_400_000;
  private static final Map<String, PushMode> MODES = Map.of("off", PushMode.OFF, "tcp", PushMode.TCP, "tls", PushMode.TLS);

  /** Reads the section. */
  public static DnsSdConfig read(Section s) {
    List<Browse> browses = browses(s);
    List<ResolverAddress> resolvers = new ArrayList<>();
    List<Double> weights = new ArrayList<>();
    Set<InetSocketAddress> known = new LinkedHashSet<>();
    List<Section> tables = s.tables("resolver");
    for (Section r : tables) {
      InetSocketAddress address = r.address("address", null);
      if (!known.add(address)) {
        r.reportError("address", "two resolvers have the address " + address.getHostString() + ":" + address.getPort());
      }
      PushMode push = r.oneOf("push", MODES, PushMode.OFF);
      if (push == PushMode.TCP && !address.getAddress().isLoopbackAddress()) {
        r.reportError("push", "expected \"tls\" beyond loopback (RFC 8765, 3)");
      }
      String name = r.string("push_name", "");
      if (push == PushMode.TLS && name.isEmpty()) {
        r.reportError("push_name", "expected the name in the resolver's certificate");
      }
      InetSocketAddress pushAt = r.has("push_address") ? r.address("push_address", null) : address;
      resolvers.add(new ResolverAddress(address, push, pushAt, name));
      weights.add(r.number("weight", 0, 1, tables.size() == 1 ? 1 : 1.0 / tables.size()));
    }
    if (resolvers.isEmpty()) {
      s.reportError("resolver", "expected at least one [[" + "fleet.dnssd.resolver]], got nothing");
      weights.add(1.0);
    }
    int n = weights.size();
    Section t = s.table("trust");
    Rules u = Rules.of(n);
    int witnesses = (int) t.integer("witnesses", 1, n, u.witnesses());
    int empty = (int) t.integer("empty_witnesses", 1, n, Math.max(witnesses, u.emptyWitnesses()));
    if (empty < witnesses) {
      t.reportError("empty_witnesses", "expected no less than witnesses, got " + empty);
      empty = witnesses;
    }
    Rules rules = new Rules(weights, t.number("floor_share", 0, 1, u.floorShare()), witnesses, empty,
        millis(t, "confirm_ms", 0, u.confirmMillis()), millis(t, "settle_ms", 0, u.settleMillis()),
        millis(t, "longest_ttl_ms", 1000, u.longestTtlMillis()), t.integer("stale_ms", 0, 30 * DAY_MS, u.staleMillis()),
        millis(t, "clock_skew_ms", 0, u.clockSkewMillis()), millis(t, "first_wait_ms", 0, u.firstWaitMillis()),
        millis(t, "lone_wait_ms", 0, u.loneWaitMillis()), (int) t.integer("reserve_below", 1, 100_000, u.reserveBelow()),
        (int) t.integer("instances", 1, 1_000_000, u.maxInstances()));
    Section k = s.table("text");
    TextKeys d = TextKeys.DEFAULT;
    TextKeys keys = new TextKeys(k.string("locality", d.locality()), k.string("flavor", d.flavor()), k.string("cell", d.cell()),
        k.string("size", d.size()), k.string("phase", d.phase()), k.string("started", d.started()));
    String file = s.string("records_file", "");
    long poll = millis(s, "poll_ms", 10, 1000);
    return new DnsSdConfig(browses, resolvers, rules, keys, poll, millis(s, "least_ttl_ms", 10, 1000),
        millis(s, "back_off_ms", 10, 500), millis(s, "most_back_off_ms", 10, 30_000), millis(s, "ask_ms", 10, 2000),
        (int) s.integer("in_flight", 1, 4096, 128), millis(s, "contact_ms", 0, 0), s.has("notify") ? s.address("notify", null) : null,
        file.isEmpty() ? null : Path.of(file), s.integer("records_most_mb", 1, 100_000, 64) << 20,
        new ClientConfig(4, 5000, 4096, 20, 1232, 1, 128, TimeUnit.MILLISECONDS.toNanos(1000), TimeUnit.SECONDS.toNanos(5),
        TimeUnit.SECONDS.toNanos(10), TimeUnit.SECONDS.toNanos(5), s.bool("mix_case", true), TimeUnit.MINUTES.toNanos(15)));
  }

  private static long millis(Section s, String key, long least, long absent) {
    return s.integer(key, least, DAY_MS, absent);
  }

  private static List<Browse> browses(Section s) {
    String service = s.string("service", "_quote._tcp");
    if (!service.matches("_[A-Za-z0-9-]{1,15}\\._(tcp|udp)")) {
      s.reportError("service", "expected a service and its transport, such as _quote._tcp, got \"" + service + '"');
      service = "_quote._tcp";
    }
    String subtype = s.string("subtype", "");
    if (!subtype.isEmpty() && !subtype.matches("_?[A-Za-z0-9-]{1,62}")) {
      s.reportError("subtype", "expected one label, got \"" + subtype + '"');
      subtype = "";
    }
    List<String> domains = s.strings("domains", List.of());
    if (domains.isEmpty()) {
      s.reportError("domains", "expected at least one domain to browse, got nothing");
    }
    List<Browse> browses = new ArrayList<>();
    for (String domain : domains) {
      try {
        String zone = text(Name.fromString(domain, Name.root));
        String name = text(Name.fromString((subtype.isEmpty() ? "" : subtype + "._sub.") + service + '.' + domain, Name.root));
        if (browses.stream().anyMatch(b -> b.name.equals(name))) {
          s.reportError("domains", "\"" + domain + "\" is there twice");
        }
        browses.add(new Browse(name, zone));
      } catch (TextParseException e) {
        s.reportError("domains", "expected domain names, got \"" + domain + "\": " + e.getMessage());
      }
    }
    return List.copyOf(browses);
  }

  /** A name as all of this module writes it. What is not ASCII is escaped there, so that case can't be lost. */
  static String text(Name name) {
    return name.toString().toLowerCase(java.util.Locale.ROOT);
  }

  /** The same for a look beside a front that reads as well: without its records and the door for NOTIFY. */
  DnsSdConfig aside() {
    return new DnsSdConfig(browses, resolvers, rules, keys, pollMillis, leastTtlMillis, backOffMillis, mostBackOffMillis, askMillis,
        inFlight, 0, null, null, recordsMostBytes, client);
  }

  /** The names that are browsed. */
  List<String> names() {
    return browses.stream().map(Browse::name).toList();
  }
}
