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
 * The section {@code [fleet.dnssd]} of an operators' file.
 *
 * @param browses the services to browse, one per domain
 * @param pollMillis interval at which each resolver is queried for a zone's serial, and for the list if its answers are not authoritative
 * @param minTtlMillis records with a lower TTL are kept this long
 * @param queryTimeoutMillis time limit of a query, UDP and TCP together
 * @param maxInFlight queries in flight per resolver
 * @param probeIntervalMillis interval of connection probes to instances that publish no start time; 0 to disable
 * @param notifyAddress the address to receive NOTIFY messages at; null to disable
 * @param recordsFile the file that changes of the list are logged to; null to disable
 */
public record DnsSdConfig(List<Browse> browses, List<ResolverConfig> resolvers, Rules rules, TextKeys keys, long pollMillis,
    long minTtlMillis, long backOffMillis, long maxBackOffMillis, long queryTimeoutMillis, int maxInFlight, long probeIntervalMillis,
    InetSocketAddress notifyAddress, Path recordsFile, long maxRecordsBytes, ClientConfig client) {

  /** A service in a domain. Both names are in lower case, with a trailing dot. */
  public record Browse(String name, String zone) {}

  /**
   * A resolver.
   *
   * @param pushName the name that its certificate must contain; empty if push does not use TLS
   */
  public record ResolverConfig(InetSocketAddress address, PushMode push, InetSocketAddress pushAddress, String pushName) {}

  /** The transport of DNS push. */
  public enum PushMode {
    /** No push: the resolver is polled. */
    OFF,
    /** DNS push over TCP without TLS, which RFC 8765 does not allow: only for loopback and tests. */
    TCP,
    /** DNS push over TLS; the resolver's certificate must be trusted by the platform. */
    TLS
  }

  private static final long MILLIS_PER_DAY = 86_400_000;
  private static final Map<String, PushMode> PUSH_MODES = Map.of("off", PushMode.OFF, "tcp", PushMode.TCP, "tls", PushMode.TLS);

  /** Reads the section and reports its errors. */
  public static DnsSdConfig read(Section s) {
    List<Browse> browses = browses(s);
    List<ResolverConfig> resolvers = new ArrayList<>();
    List<Double> weights = new ArrayList<>();
    Set<InetSocketAddress> addresses = new LinkedHashSet<>();
    List<Section> tables = s.tables("resolver");
    for (Section resolver : tables) {
      InetSocketAddress address = resolver.address("address", null);
      if (!addresses.add(address)) {
        resolver.reportError("address", "two resolvers have the address " + address.getHostString() + ":" + address.getPort());
      }
      PushMode push = resolver.oneOf("push", PUSH_MODES, PushMode.OFF);
      if (push == PushMode.TCP && !address.getAddress().isLoopbackAddress()) {
        resolver.reportError("push", "expected \"tls\" beyond loopback (RFC 8765, 3)");
      }
      String name = resolver.string("push_name", "");
      if (push == PushMode.TLS && name.isEmpty()) {
        resolver.reportError("push_name", "expected the name in the resolver's certificate");
      }
      InetSocketAddress pushAddress = resolver.has("push_address") ? resolver.address("push_address", null) : address;
      resolvers.add(new ResolverConfig(address, push, pushAddress, name));
      weights.add(resolver.number("weight", 0, 1, tables.size() == 1 ? 1 : 1.0 / tables.size()));
    }
    if (resolvers.isEmpty()) {
      s.reportError("resolver", "expected at least one [[" + "fleet.dnssd.resolver]], got nothing");
      weights.add(1.0);
    }
    int resolverCount = weights.size();
    Section trust = s.table("trust");
    Rules defaultRules = Rules.of(resolverCount);
    int witnesses = (int) trust.integer("witnesses", 1, resolverCount, defaultRules.witnesses());
    int emptyWitnesses = (int) trust.integer("empty_witnesses", 1, resolverCount, Math.max(witnesses, defaultRules.emptyWitnesses()));
    if (emptyWitnesses < witnesses) {
      trust.reportError("empty_witnesses", "expected no less than witnesses, got " + emptyWitnesses);
      emptyWitnesses = witnesses;
    }
    Rules rules = new Rules(weights, trust.number("floor_share", 0, 1, defaultRules.floorShare()), witnesses, emptyWitnesses,
        millis(trust, "confirm_ms", 0, defaultRules.confirmMillis()), millis(trust, "settle_ms", 0, defaultRules.settleMillis()),
        millis(trust, "longest_ttl_ms", 1000, defaultRules.longestTtlMillis()),
        trust.integer("stale_ms", 0, 30 * MILLIS_PER_DAY, defaultRules.staleMillis()),
        millis(trust, "clock_skew_ms", 0, defaultRules.clockSkewMillis()), millis(trust, "first_wait_ms", 0, defaultRules.firstWaitMillis()),
        millis(trust, "lone_wait_ms", 0, defaultRules.loneWaitMillis()),
        (int) trust.integer("reserve_below", 1, 100_000, defaultRules.reserveBelow()),
        (int) trust.integer("instances", 1, 1_000_000, defaultRules.maxInstances()));
    Section textTable = s.table("text");
    TextKeys defaultKeys = TextKeys.DEFAULT;
    TextKeys keys = new TextKeys(textTable.string("locality", defaultKeys.locality()), textTable.string("flavor", defaultKeys.flavor()),
        textTable.string("cell", defaultKeys.cell()), textTable.string("size", defaultKeys.size()),
        textTable.string("phase", defaultKeys.phase()), textTable.string("started", defaultKeys.started()));
    String recordsPath = s.string("records_file", "");
    long pollMillis = millis(s, "poll_ms", 10, 1000);
    return new DnsSdConfig(browses, resolvers, rules, keys, pollMillis, millis(s, "least_ttl_ms", 10, 1000),
        millis(s, "back_off_ms", 10, 500), millis(s, "most_back_off_ms", 10, 30_000), millis(s, "ask_ms", 10, 2000),
        (int) s.integer("in_flight", 1, 4096, 128), millis(s, "contact_ms", 0, 0), s.has("notify") ? s.address("notify", null) : null,
        recordsPath.isEmpty() ? null : Path.of(recordsPath), s.integer("records_most_mb", 1, 100_000, 64) << 20,
        new ClientConfig(4, 5000, 4096, 20, 1232, 1, 128, TimeUnit.MILLISECONDS.toNanos(1000), TimeUnit.SECONDS.toNanos(5),
        TimeUnit.SECONDS.toNanos(10), TimeUnit.SECONDS.toNanos(5), s.bool("mix_case", true), TimeUnit.MINUTES.toNanos(15)));
  }

  private static long millis(Section s, String key, long minimum, long defaultValue) {
    return s.integer(key, minimum, MILLIS_PER_DAY, defaultValue);
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
        String zone = canonicalName(Name.fromString(domain, Name.root));
        String name = canonicalName(Name.fromString((subtype.isEmpty() ? "" : subtype + "._sub.") + service + '.' + domain, Name.root));
        if (browses.stream().anyMatch(b -> b.name.equals(name))) {
          s.reportError("domains", "\"" + domain + "\" is listed twice");
        }
        browses.add(new Browse(name, zone));
      } catch (TextParseException e) {
        s.reportError("domains", "expected domain names, got \"" + domain + "\": " + e.getMessage());
      }
    }
    return List.copyOf(browses);
  }

  /** The canonical form of a name in this module: lower case. Non-ASCII characters are escaped, so only ASCII letters are folded. */
  static String canonicalName(Name name) {
    return name.toString().toLowerCase(java.util.Locale.ROOT);
  }

  /** A copy for inspection while a frontend runs with the same settings: without change log, NOTIFY listener and connection probes. */
  DnsSdConfig withoutSideEffects() {
    return new DnsSdConfig(browses, resolvers, rules, keys, pollMillis, minTtlMillis, backOffMillis, maxBackOffMillis, queryTimeoutMillis,
        maxInFlight, 0, null, null, maxRecordsBytes, client);
  }

  /** The names of all browses. */
  List<String> browseNames() {
    return browses.stream().map(Browse::name).toList();
  }
}
