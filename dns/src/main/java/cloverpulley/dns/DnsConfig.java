package cloverpulley.dns;

import cloverpulley.Balancer.Effect;
import cloverpulley.Balancer.RequestClass;
import cloverpulley.Balancer.Settings;
import cloverpulley.Balancer.Tenant;
import cloverpulley.config.Section;
import cloverpulley.config.ServiceSection;
import cloverpulley.dns.client.ClientConfig;
import cloverpulley.dns.wire.Message;
import cloverpulley.dns.wire.Names;
import cloverpulley.fleet.FleetSource;
import cloverpulley.names.ResponseRateLimiter;
import cloverpulley.names.TtlPolicy;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.xbill.DNS.TSIG;
import org.xbill.DNS.TextParseException;
import org.xbill.DNS.Type;

/**
 * The DNS frontend's configuration, read from {@code [dns]} of the operators' file. Times are in nanoseconds unless the name says otherwise.
 *
 * @param lameMillis how long to keep serving after a stop request before the shutdown begins, so that a successor can start
 * @param drainMillis the time limit of the shutdown
 * @param warmUpQueries the number of queries sent to a temporary frontend for warm-up before the real one listens
 * @param fleet the DNS servers that queries are forwarded to; null for none, in which case only local zones are answered
 * @param tenantOption the code of the EDNS option that names a tenant; 0 for none
 * @param cookieSecret 16 bytes, the same on all servers that share an address
 * @param marginNanos how long before its deadline an unanswered query gets an error response
 * @param attemptNanos the time limit for one server, UDP and TCP together, if the query can be retried on another
 * @param refusedIsFull whether a server's REFUSED means that it is at capacity and nothing has run
 * @param unsafeOverTcp whether UPDATEs and NOTIFYs are always forwarded over TCP
 */
public record DnsConfig(InetSocketAddress listen, int udpSize, boolean reusePort, long lameMillis, long drainMillis,
    int warmUpQueries, Settings settings, FleetSource fleet, List<Match> matches, List<ClientPrefix> clients, List<Key> keys, int tenantOption,
    byte[] cookieSecret, long marginNanos, long attemptNanos, boolean refusedIsFull, boolean unsafeOverTcp, Limits limits,
    Caching caching, ClientConfig upstream, List<ZoneFile> zones, FleetZoneConfig fleetZone) {

  /** Maps messages to a request class; the first match applies. An empty type list matches all types. */
  public record Match(int opcode, List<Integer> types, RequestClass requestClass) {}

  /** Assigns clients to a tenant by address. */
  record ClientPrefix(Prefix prefix, String tenant) {}

  /** A TSIG key; messages signed with it belong to its tenant. */
  public record Key(String name, TSIG tsig, String tenant) {}

  /** A local zone in a master file (RFC 1035, 5). */
  public record ZoneFile(String origin, Path file) {}

  /** The zone generated from the fleet. {@code ttl} is in seconds. */
  public record FleetZoneConfig(String origin, String service, long ttl, InetSocketAddress server, long slowStartNanos, double slowStartMinRatio) {}

  /** Limits on the resources that clients can use. Times in milliseconds, sizes in bytes. */
  public record Limits(int connections, int connectionsPerClient, int pipelined, long idleMillis, long messageMillis,
      long stallMillis, int queryBytes, int updateBytes, ResponseRateLimiter.Config responseRate, int prefix4, int prefix6) {}

  /** The cache settings. {@code staleTtl} is in seconds. */
  public record Caching(long bytes, TtlPolicy.Config ttlPolicy, long staleTtl, long staleWaitNanos) {}

  private static final long DAY_MS = 86_400_000;
  private static final long WEEK_S = 604_800;
  private static final Map<String, Integer> OPCODES =
      Map.of("query", Message.QUERY, "notify", Message.NOTIFY, "update", Message.UPDATE);
  private static final Map<Integer, Effect> REQUIRED_EFFECTS =
      Map.of(Message.QUERY, Effect.SAFE, Message.NOTIFY, Effect.KEYED, Message.UPDATE, Effect.UNSAFE);

  /**
   * Reads the section.
   *
   * @param service the settings of the fleet that is published as a zone; null to use those of the DNS servers
   */
  public static DnsConfig read(Section s, Settings service) {
    InetSocketAddress listen = s.address("listen", "127.0.0.1:5300");
    Settings settings = ServiceSection.read(s);
    FleetSource fleet = s.has("fleet") ? FleetSource.read(s.table("fleet")) : null;
    Section u = s.table("upstream");
    ClientConfig upstream = new ClientConfig((int) u.integer("ports", 1, 1024, 8), (int) u.integer("port_uses", 1, 1_000_000, 2000),
        (int) u.integer("pending_per_port", 1, 32_768, 4096), (int) u.integer("wrong_most", 1, 1_000_000, 20),
        (int) u.integer("udp_size", 512, 4096, 1232), (int) u.integer("connections", 1, 256, 2),
        (int) u.integer("pipelined", 1, 32_768, 100), settings.limits().connectTimeoutNanos(),
        nanos(u, "late_ms", 1, DAY_MS, 5000), nanos(u, "idle_ms", 100, DAY_MS, 10_000), nanos(u, "drain_ms", 1, DAY_MS, 5000),
        u.bool("mix_case", true), TimeUnit.SECONDS.toNanos(u.integer("traits_s", 1, WEEK_S, 900)));
    return new DnsConfig(listen, (int) s.integer("udp_size", 512, 4096, 1232), s.bool("reuse_port", true),
        s.integer("lame_ms", 0, DAY_MS, 500), s.integer("drain_ms", 0, DAY_MS, 5000),
        (int) s.integer("warm_up_queries", 0, 1_000_000, 5000), settings, fleet, matches(s, settings),
        clients(s, settings), keys(s, settings), (int) s.integer("tenant_option", 0, 65_534, 0), secret(s),
        nanos(s, "answer_margin_ms", 0, 10_000, 20), nanos(u, "attempt_ms", 1, DAY_MS, 800), u.bool("refused_is_full", false),
        u.bool("unsafe_over_tcp", true), limits(s.table("limits")), caching(s.table("cache")), upstream, zones(s),
        fleetZone(s, listen, service == null ? settings : service));
  }

  /** A copy for the temporary warm-up frontend: an ephemeral loopback port, other servers and no rate limit. */
  DnsConfig forWarmup(FleetSource warmupFleet) {
    Limits unlimited = new Limits(limits.connections(), limits.connectionsPerClient(), limits.pipelined(), limits.idleMillis(),
        limits.messageMillis(), limits.stallMillis(), limits.queryBytes(), limits.updateBytes(), new ResponseRateLimiter.Config(0, 0, 1),
        limits.prefix4(), limits.prefix6());
    return new DnsConfig(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), udpSize, false, 0, 0, 0, settings, warmupFleet, matches,
        clients, keys, tenantOption, cookieSecret, marginNanos, attemptNanos, refusedIsFull, unsafeOverTcp, unlimited, caching, upstream,
        List.of(), null);
  }

  private static long nanos(Section s, String key, long min, long max, long defaultMillis) {
    return TimeUnit.MILLISECONDS.toNanos(s.integer(key, min, max, defaultMillis));
  }

  private static Limits limits(Section l) {
    ResponseRateLimiter.Config responseRate = new ResponseRateLimiter.Config(l.number("udp_per_prefix_per_s", 0, 1e9, 1000),
        (int) l.integer("slip", 0, 100, 2), (int) l.integer("prefixes", 1, 10_000_000, 100_000));
    return new Limits((int) l.integer("tcp_connections", 1, 1_000_000, 2000), (int) l.integer("tcp_per_client", 1, 1_000_000, 100),
        (int) l.integer("tcp_pipelined", 1, 65_535, 100), l.integer("tcp_idle_ms", 1, DAY_MS, 10_000),
        l.integer("tcp_message_ms", 1, DAY_MS, 3000), l.integer("tcp_stall_ms", 1, DAY_MS, 5000),
        (int) l.integer("query_bytes", 512, Message.MAX_LENGTH, 4096), (int) l.integer("update_bytes", 512, Message.MAX_LENGTH, Message.MAX_LENGTH),
        responseRate, (int) l.integer("prefix_ipv4", 8, 32, 24), (int) l.integer("prefix_ipv6", 8, 128, 56));
  }

  private static Caching caching(Section c) {
    TtlPolicy.Config ttlPolicy = new TtlPolicy.Config(c.integer("ttl_most_s", 0, WEEK_S, 86_400),
        c.integer("negative_most_s", 0, WEEK_S, 3600), c.integer("stale_s", 0, WEEK_S, 86_400), c.number("prefetch_part", 0, 0.9, 0.1),
        (int) c.integer("prefetch_hits", 0, 1_000_000, 3));
    return new Caching(c.integer("mb", 0, 1 << 20, 64) << 20, ttlPolicy, c.integer("stale_ttl_s", 1, WEEK_S, 30),
        nanos(c, "stale_wait_ms", 1, DAY_MS, 1800));
  }

  private static byte[] secret(Section s) {
    String text = s.string("cookie_secret", "");
    if (text.isEmpty()) {
      byte[] random = new byte[16];
      new java.security.SecureRandom().nextBytes(random);
      return random;
    } else if (!text.matches("[0-9a-fA-F]{32}")) {
      s.reportError("cookie_secret", "expected 32 hexadecimal digits");
      return new byte[16];
    }
    return HexFormat.of().parseHex(text);
  }

  private static List<Match> matches(Section s, Settings settings) {
    List<Match> matches = new ArrayList<>();
    for (Section m : s.tables("match")) {
      Integer opcode = m.oneOf("opcode", OPCODES, Message.QUERY);
      List<Integer> types = new ArrayList<>();
      for (String name : m.strings("types", List.of())) {
        int type = Type.value(name.toUpperCase(Locale.ROOT));
        if (type < 0) {
          m.reportError("types", "expected types such as A, SRV or TYPE65, got \"" + name + "\"");
        }
        types.add(type);
      }
      String name = m.string("class");
      RequestClass requestClass = settings.classes().stream().filter(c -> c.name().equals(name)).findFirst().orElse(null);
      if (requestClass == null) {
        m.reportError("class", "expected the name of a [[dns.class]], got \"" + name + "\"");
      } else if (requestClass.effect() != REQUIRED_EFFECTS.get(opcode)) {
        m.reportError("class", "expected a class whose effect is " + REQUIRED_EFFECTS.get(opcode).name().toLowerCase(Locale.ROOT)
            + " for this opcode, got \"" + name + "\"");
      } else {
        matches.add(new Match(opcode, List.copyOf(types), requestClass));
      }
    }
    // The default for each opcode is the first class with the effect that the opcode requires; without one it is not served.
    REQUIRED_EFFECTS.forEach((opcode, effect) -> settings.classes().stream().filter(c -> c.effect() == effect).findFirst()
        .ifPresent(c -> matches.add(new Match(opcode, List.of(), c))));
    return List.copyOf(matches);
  }

  private static String tenant(Section s, Settings settings) {
    String name = s.string("tenant");
    if (settings.tenants().stream().map(Tenant::name).noneMatch(name::equals)) {
      s.reportError("tenant", "expected the name of a [[dns.tenant]], got \"" + name + "\"");
    }
    return name;
  }

  private static List<ClientPrefix> clients(Section s, Settings settings) {
    List<ClientPrefix> clients = new ArrayList<>();
    for (Section c : s.tables("client")) {
      String text = c.string("prefix");
      Prefix prefix = Prefix.of(text);
      String tenant = tenant(c, settings);
      if (prefix == null) {
        c.reportError("prefix", "expected a range of addresses such as 10.0.0.0/8, got \"" + text + "\"");
      } else {
        clients.add(new ClientPrefix(prefix, tenant));
      }
    }
    return List.copyOf(clients);
  }

  private static List<Key> keys(Section s, Settings settings) {
    List<Key> keys = new ArrayList<>();
    Map<String, org.xbill.DNS.Name> algorithms = new HashMap<>(Map.of("hmac-sha256", TSIG.HMAC_SHA256, "hmac-sha384",
        TSIG.HMAC_SHA384, "hmac-sha512", TSIG.HMAC_SHA512));
    for (Section k : s.tables("tsig")) {
      String name = k.string("name");
      org.xbill.DNS.Name algorithm = k.oneOf("algorithm", algorithms, TSIG.HMAC_SHA256);
      String secret = k.string("secret");
      String tenant = tenant(k, settings);
      try {
        byte[] octets = Base64.getDecoder().decode(secret);
        org.xbill.DNS.Name full = org.xbill.DNS.Name.fromString(name, org.xbill.DNS.Name.root);
        keys.add(new Key(full.toString().toLowerCase(Locale.ROOT), new TSIG(algorithm, full, octets), tenant));
      } catch (IllegalArgumentException e) {
        k.reportError("secret", "expected a key in Base64");
      } catch (TextParseException e) {
        k.reportError("name", "expected a domain name, got \"" + name + "\"");
      }
    }
    return List.copyOf(keys);
  }

  private static String origin(Section s) {
    String origin = s.string("origin").toLowerCase(Locale.ROOT);
    if (!origin.isEmpty() && Names.of(origin) == null) {
      s.reportError("origin", "expected a domain name, got \"" + origin + "\"");
      return "invalid.";
    }
    return origin.endsWith(".") ? origin : origin + ".";
  }

  private static List<ZoneFile> zones(Section s) {
    List<ZoneFile> zones = new ArrayList<>();
    for (Section z : s.tables("zone")) {
      Path file = Path.of(z.string("file"));
      if (!file.toFile().isFile()) {
        z.reportError("file", "expected a file, found none at \"" + file + "\"");
      }
      zones.add(new ZoneFile(origin(z), file));
    }
    return List.copyOf(zones);
  }

  private static FleetZoneConfig fleetZone(Section s, InetSocketAddress listen, Settings service) {
    if (!s.has("fleet_zone")) {
      return null;
    }
    Section f = s.table("fleet_zone");
    String type = f.string("service", "_quote._tcp");
    if (!type.matches("_[a-z0-9-]{1,15}\\._(tcp|udp)")) {
      f.reportError("service", "expected a service such as _quote._tcp, got \"" + type + "\""); // RFC 6763, 7
    }
    return new FleetZoneConfig(origin(f), type, f.integer("ttl_s", 1, 3600, 5),
        f.address("name_server", listen.getAddress().getHostAddress().contains(":")
            ? "[" + listen.getAddress().getHostAddress() + "]:53" : listen.getAddress().getHostAddress() + ":53"),
        service.contract().slowStartNanos(), service.contract().slowStartMinRatio());
  }
}
