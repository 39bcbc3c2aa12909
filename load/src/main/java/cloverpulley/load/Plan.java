package cloverpulley.load;

import cloverpulley.config.Section;
import cloverpulley.dns.wire.Names;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The configuration of a load run, read from the {@code [load]} section of a plan file and the tables within it.
 *
 * @param seconds duration of the run
 * @param rate requests per second at shape factor 1
 * @param maxLatenessMillis setting {@code late_ms}: the run counts as fallen behind when the p99 of the generator's own lateness exceeds this
 */
public record Plan(long seed, double seconds, double rate, Arrivals.Process process, Arrivals.Bursts bursts, Shape shape,
    List<RequestClass> classes, List<Tenant> tenants, Keys keys, Target target, Clients clients, double maxLatenessMillis) {

  /**
   * Whether a request may be executed more than once: a safe one may; a keyed one has an idempotency key, by which the server recognizes
   * repeats; an unsafe one may not. The driver expresses it by method and headers, in DNS by a query, a NOTIFY and an UPDATE.
   */
  public enum Effect { SAFE, KEYED, UNSAFE }

  /**
   * A class of requests.
   *
   * @param share weight of the class among all requests; the weights need not add up to 1
   * @param worth points that a request scores when it is served within the target latency
   * @param aimMillis target latency, measured from the intended start
   * @param bytes length of the request body; 0 for none
   * @param minHintMicros setting {@code hint_least_us}: lower bound of the work hint, the announced processing time in microseconds, which is
   *     drawn uniformly between it and {@code maxHintMicros}; both 0 for no hint
   * @param maxHintMicros setting {@code hint_most_us}
   */
  public record RequestClass(String name, Effect effect, double share, double worth, double aimMillis, double deadlineMillis, int bytes,
      long minHintMicros, long maxHintMicros) {}

  /**
   * A tenant.
   *
   * @param share weight of the tenant among all requests, which decides how much it requests
   * @param portion fraction of the fleet's capacity, 0 to 1, that the tenant is entitled to; {@link Goal} applies it to the total worth requested.
   *     0 if everything that it requests counts
   */
  public record Tenant(String name, double share, double portion) {}

  /**
   * Keys with Zipf popularity: the k-th key is requested in proportion to 1/k^exponent.
   *
   * @param count number of keys; 0 for requests without a key
   * @param exponent setting {@code zipf}
   */
  public record Keys(int count, double exponent) {}

  /** The protocol spoken with the target. */
  public enum Protocol { HTTP, EXT_PROC, DNS_UDP, DNS_TCP }

  /**
   * The server under load.
   *
   * @param maxConnections setting {@code connections}: limit on connections open at the same time
   * @param connectMillis setting {@code connect_ms}: connect timeout
   * @param domain parent domain of the DNS names that are queried, with a trailing dot
   */
  public record Target(Protocol protocol, InetSocketAddress address, String path, int maxConnections, long connectMillis,
      String domain) {}

  /**
   * How clients behave.
   *
   * @param retries maximum number of attempts after the first
   * @param backOffMillis setting {@code back_off_ms}: delay before a retry, drawn between half of it and all of it, doubled with each retry
   * @param honourRatio setting {@code honour_retry_after}: fraction of the clients that wait as long as Retry-After says
   * @param minTimeoutRatio setting {@code patience_least}: an attempt times out after a fraction of the class's deadline, drawn between this
   *     and 1
   */
  public record Clients(int retries, double backOffMillis, double honourRatio, double minTimeoutRatio) {}

  private static final Map<String, Arrivals.Process> PROCESSES = Map.of("poisson", Arrivals.Process.POISSON, "constant",
      Arrivals.Process.CONSTANT, "bursty", Arrivals.Process.BURSTY);
  private static final Map<String, Effect> EFFECTS =
      Map.of("safe", Effect.SAFE, "keyed", Effect.KEYED, "unsafe", Effect.UNSAFE);
  private static final Map<String, Protocol> PROTOCOLS = Map.of("http", Protocol.HTTP, "ext_proc", Protocol.EXT_PROC, "dns_udp",
      Protocol.DNS_UDP, "dns_tcp", Protocol.DNS_TCP);
  private static final List<String> SHAPES = List.of("flash", "month_end", "ramp", "season", "wave");
  /** Leaves space for a host label before the domain within the 255 octets of a DNS name (RFC 1035, 2.3.4). */
  private static final int MAX_DOMAIN_LENGTH = 200;
  private static final double DAY_S = 86_400;
  private static final double DAY_MS = DAY_S * 1000;

  /**
   * Parses a plan file. Errors do not stop it: {@link Section#reportError} collects them with the section that they belong to, and
   * parsing continues with a replacement for the faulty value.
   */
  public static Plan read(Section file) {
    Section s = file.table("load");
    double seconds = s.number("seconds", 0.1, DAY_S, 30);
    Arrivals.Process process = s.oneOf("process", PROCESSES, Arrivals.Process.POISSON);
    Arrivals.Bursts bursts = null;
    if (process == Arrivals.Process.BURSTY) {
      Section b = s.table("bursts");
      double factor = b.number("factor", 1.001, 1000, 4);
      double burstRatio = b.number("part", 0.0001, 0.9999, 0.1);
      if (burstRatio * factor >= 1) {
        b.reportError("part", "expected less than 1/factor, got " + burstRatio);
        burstRatio = 0.5 / factor;
      }
      bursts = new Arrivals.Bursts(factor, burstRatio, b.number("mean_s", 0.001, DAY_S, 1));
    }
    return new Plan(s.integer("seed", Long.MIN_VALUE, Long.MAX_VALUE, 1), seconds, s.number("rate", 0.01, 1e6, 100), process,
        bursts, shape(s, seconds), classes(s), tenants(s), keys(s.table("keys")), target(s.table("target")),
        clients(s.table("clients")), s.number("late_ms", 0.01, 10_000, 10));
  }

  private static Shape shape(Section s, double length) {
    List<Shape> parts = new ArrayList<>();
    for (Section p : s.tables("shape")) {
      String kind = p.string("kind");
      try {
        switch (kind) {
          case "ramp" -> parts.add(new Shape.Ramp(p.number("from", 0, 1000, 0), p.number("to", 0, 1000, 1),
              p.number("start_s", 0, DAY_S, 0), p.number("end_s", 0, DAY_S, length)));
          case "wave" -> parts.add(new Shape.Wave(p.number("amplitude", 0, 1, 0.5), p.number("period_s", 0.01, DAY_S, length),
              p.number("phase", 0, 1, 0)));
          case "month_end" -> parts.add(new Shape.MonthEnd((int) p.integer("days", 1, 31, 3), p.number("rise", 1, 100, 2),
              p.number("peak", 1, 100, 1.5), length));
          case "season" -> parts.add(new Shape.Season(p.number("top", 1, 100, 2), length));
          case "flash" -> parts.add(new Shape.Flash(p.number("start_s", 0, DAY_S, length / 2), p.number("factor", 1, 1000, 5),
              p.number("half_life_s", 0.01, DAY_S, length / 10)));
          default -> p.reportError("kind", "expected one of " + String.join(", ", SHAPES) + ", got \"" + kind + "\"");
        }
      } catch (IllegalArgumentException e) {
        p.reportError("kind", e.getMessage());
      }
    }
    return parts.isEmpty() ? new Shape.Flat() : parts.size() == 1 ? parts.get(0) : new Shape.Product(List.copyOf(parts));
  }

  private static List<RequestClass> classes(Section s) {
    List<RequestClass> classes = new ArrayList<>();
    Set<String> names = new HashSet<>();
    for (Section c : s.tables("class")) {
      String name = c.string("name");
      if (!names.add(name)) {
        c.reportError("name", "two classes are called \"" + name + "\"");
      }
      Effect effect = c.oneOf("effect", EFFECTS, null);
      double aim = c.number("aim_ms", 0.1, DAY_MS, 1000);
      double deadline = c.number("deadline_ms", 0.1, DAY_MS, Math.max(aim, 3000));
      if (deadline < aim) {
        c.reportError("deadline_ms", "expected no less than aim_ms, got " + deadline);
      }
      long minHint = c.integer("hint_least_us", 0, 100_000_000, 0);
      long maxHint = c.integer("hint_most_us", 0, 100_000_000, minHint);
      if (maxHint < minHint) {
        c.reportError("hint_most_us", "expected no less than hint_least_us, got " + maxHint);
        maxHint = minHint;
      }
      classes.add(new RequestClass(name, effect == null ? Effect.UNSAFE : effect, c.number("share", 0.0001, 1e6, 1),
          c.number("worth", 0, 1e6, 1), aim, deadline, (int) c.integer("bytes", 0, 65536, effect == Effect.SAFE ? 0 : 200), minHint,
          maxHint));
    }
    if (classes.isEmpty()) {
      s.reportError("class", "expected at least one [[load.class]], got nothing");
      classes.add(new RequestClass("none", Effect.SAFE, 1, 1, 1, 1, 0, 0, 0));
    }
    return List.copyOf(classes);
  }

  private static List<Tenant> tenants(Section s) {
    List<Tenant> tenants = new ArrayList<>();
    Set<String> names = new HashSet<>();
    for (Section t : s.tables("tenant")) {
      String name = t.string("name");
      if (!names.add(name)) {
        t.reportError("name", "two tenants are called \"" + name + "\"");
      }
      double share = t.number("share", 0.0001, 1e6, 1);
      tenants.add(new Tenant(name, share, t.number("portion", 0, 1, 0)));
    }
    return tenants.isEmpty() ? List.of(new Tenant("", 1, 1)) : List.copyOf(tenants);
  }

  private static Keys keys(Section k) {
    return new Keys((int) k.integer("count", 0, 1_000_000, 1000), k.number("zipf", 0, 4, 1));
  }

  private static Target target(Section t) {
    String path = t.string("path", "/api");
    if (!path.matches("/[!-~]*")) {
      t.reportError("path", "expected a path such as /api, got \"" + path + "\"");
    }
    String domain = t.string("domain", "load.test.");
    if (Names.of(domain) == null || domain.length() > MAX_DOMAIN_LENGTH) {
      t.reportError("domain", "expected a domain name, got \"" + domain + "\"");
      domain = "load.test.";
    }
    return new Target(t.oneOf("protocol", PROTOCOLS, Protocol.HTTP), t.address("address", null), path,
        (int) t.integer("connections", 1, 60_000, 256), t.integer("connect_ms", 1, 60_000, 1000),
        domain.endsWith(".") ? domain : domain + ".");
  }

  private static Clients clients(Section c) {
    return new Clients((int) c.integer("retries", 0, 10, 0), c.number("back_off_ms", 0, DAY_MS, 200),
        c.number("honour_retry_after", 0, 1, 1), c.number("patience_least", 0.01, 1, 1));
  }
}
