package cloverpulley.dns;

import cloverpulley.Balancer.Effect;
import cloverpulley.Balancer.RequestClass;
import cloverpulley.Reason;
import cloverpulley.dns.DnsConfig.Match;
import cloverpulley.dns.client.DnsClient;
import cloverpulley.dns.client.UpstreamQuery;
import cloverpulley.dns.wire.Edns;
import cloverpulley.dns.wire.MalformedException;
import cloverpulley.dns.wire.Message;
import cloverpulley.dns.wire.Names;
import cloverpulley.dns.wire.Question;
import cloverpulley.engine.Clock;
import cloverpulley.engine.Engine;
import cloverpulley.engine.Exchange;
import cloverpulley.engine.Verdict;
import cloverpulley.incident.Entry;
import cloverpulley.names.GracefulShutdown;
import cloverpulley.names.ResponseRateLimiter;
import cloverpulley.names.TtlPolicy;
import cloverpulley.quota.Quotas;
import cloverpulley.quota.service.QuotaKeeper;
import cloverpulley.records.Recorder;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.net.InetAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * What becomes of a client's message: an answer of our own, one from the cache, or an exchange that the engine takes. Which server
 * is asked, whether again and what is refused, the module decides. All of it runs on one loop.
 */
final class Resolver {

  /** Extended errors, RFC 8914, 4. */
  private static final int OTHER = 0;
  private static final int STALE = 3;
  private static final int NOT_READY = 14;
  private static final int NOT_AUTHORITATIVE = 20;
  private static final int NOT_SUPPORTED = 21;
  private static final int NO_REACHABLE = 22;

  private static final int IXFR = 251;
  private static final int AXFR = 252;
  private static final int NXNAME = 128;
  private static final int HINFO = 13;
  /** RFC 8482, 4.2: an answer to ANY that says no more than that. */
  private static final byte[] ANY_DATA = {7, 'R', 'F', 'C', '8', '4', '8', '2', 0};
  private static final int ANY_TTL_S = 3789;
  private static final int MOST_KEY = 128;
  private static final int MOST_REPEATS = 100_000;
  /** Longer than clients go on repeating (RFC 2136 names no time; resolvers give up after some 5 to 10 s). */
  private static final long REPEATS_KEPT = TimeUnit.SECONDS.toNanos(15);
  private static final long NANOS = 1_000_000_000L;

  final EventLoop loop;
  final Clock clock;
  final DnsConfig config;
  final Engine engine;
  final DnsClient client;
  final DnsCounts counts;
  final GracefulShutdown leaving = new GracefulShutdown();
  Query.Replies replies;
  final DuplicateRequestCache repeated = new DuplicateRequestCache(MOST_REPEATS, REPEATS_KEPT);
  private final Recorder recorder;
  /** Null where there are none. */
  private final QuotaKeeper quotas;
  private final Cache cache;
  private final Cookies cookies;
  private final ResponseRateLimiter limit;
  private final List<LocalZone> zones = new ArrayList<>();
  private final Map<Cache.Key, InFlightQuery> flights = new HashMap<>();
  private final Set<String> tenants = new HashSet<>();

  Resolver(EventLoop loop, Clock clock, DnsConfig config, Engine engine, DnsClient client, DnsCounts counts,
      Recorder recorder, QuotaKeeper quotas) {
    this.recorder = recorder;
    this.quotas = quotas;
    this.loop = loop;
    this.clock = clock;
    this.config = config;
    this.engine = engine;
    this.client = client;
    this.counts = counts;
    replies = new Query.Replies(config.udpSize(), (int) (config.limits().idleMillis() / 100));
    cache = new Cache(config.caching().bytes(), new TtlPolicy(config.caching().freshness()));
    cookies = new Cookies(config.cookieSecret());
    limit = new ResponseRateLimiter(config.limits().responses());
    config.settings().tenants().forEach(t -> tenants.add(t.name()));
  }

  void add(LocalZone zone) {
    zones.add(zone);
  }

  Cache cache() {
    return cache;
  }

  // ---- A message has come --------------------------------------------------------------------------------

  /** Takes a client's message; the octets are kept. */
  void take(byte[] octets, Query.Client from) {
    if (!Message.hasHeader(octets) || Message.isResponse(octets)) {
      counts.silent++; // An answer to that could go round for ever.
      return;
    }
    counts.queries++;
    Message m;
    try {
      m = Message.read(octets, config.tenantOption());
    } catch (MalformedException e) {
      malformed(octets, from);
      return;
    }
    Query q = new Query(m, from, clock.now());
    if (!mayAnswer(q)) {
      return;
    }
    if (m.opcode() != Message.QUERY && m.opcode() != Message.NOTIFY && m.opcode() != Message.UPDATE) {
      reply(q, q.empty(replies, 0, Message.NOTIMP, -1, null));
    } else if (q.speaksEdns() && m.edns().version() > 0) {
      reply(q, q.empty(replies, 0, Message.BADVERS, -1, null));
    } else if (m.question() == null) {
      // A question for a cookie alone (RFC 7873, 5.4).
      boolean cookie = q.cookie != null && m.opcode() == Message.QUERY && m.answers() + m.authorities() == 0;
      reply(q, q.empty(replies, 0, cookie ? Message.NOERROR : Message.FORMERR, -1, null));
    } else if (octets.length > (m.opcode() == Message.QUERY ? config.limits().queryBytes() : config.limits().updateBytes())) {
      reply(q, q.empty(replies, 0, Message.FORMERR, OTHER, "too long"));
    } else if (m.question().dnsClass() != Message.IN) {
      reply(q, q.empty(replies, 0, Message.REFUSED, NOT_SUPPORTED, "class IN only"));
    } else if (knowsSender(q) && hasQuota(q)) {
      if (m.opcode() == Message.QUERY) {
        query(q);
      } else {
        pass(q);
      }
    }
  }

  private void malformed(byte[] octets, Query.Client from) {
    counts.malformed++;
    if (from.isTcp() || limit(from.address()) == ResponseRateLimiter.Action.ANSWER) {
      counts.answers++;
      from.answer(Message.empty(Message.get16(octets, 0), Message.opcode(octets) << 11 | Message.get16(octets, 2) & Message.RD,
          Message.FORMERR, null, null));
    }
  }

  private ResponseRateLimiter.Action limit(InetAddress address) {
    return limit.onQuery(clock.now(), Prefix.number(address, config.limits().prefix4(), config.limits().prefix6()));
  }

  /** Whether a sender whose address may be forged is answered in full; gives the cookie that proves it next time. */
  private boolean mayAnswer(Query q) {
    byte[] given = q.speaksEdns() ? q.message.edns().cookie() : null;
    boolean proven = q.client.isTcp();
    if (given != null) {
      byte[] address = q.client.address().getAddress();
      long seconds = System.currentTimeMillis() / 1000;
      proven |= cookies.isOurs(given, address, seconds);
      q.cookie = cookies.make(given, address, seconds);
    }
    if (proven) {
      return true;
    }
    ResponseRateLimiter.Action finding = limit(q.client.address());
    if (finding == ResponseRateLimiter.Action.SLIP) {
      counts.slipped++;
      reply(q, q.empty(replies, Message.TC, Message.NOERROR, -1, null));
    } else if (finding == ResponseRateLimiter.Action.DROP) {
      counts.dropped++;
      unanswered(q, "rate_dropped");
    }
    return finding == ResponseRateLimiter.Action.ANSWER;
  }

  /** Finds whose message it is; false where it was answered because its signature is wrong. */
  private boolean knowsSender(Query q) {
    if (q.message.tsigName() != null) {
      String name = Names.text(Names.lower(q.message.tsigName()));
      for (DnsConfig.Key key : config.keys()) {
        if (key.name().equals(name)) {
          if (!isSigned(q, key)) {
            reply(q, q.empty(replies, 0, Message.NOTAUTH, OTHER, "the signature is not that of its key"));
            return false;
          }
          q.tenant = key.tenant();
          return true;
        }
      }
    }
    byte[] named = q.speaksEdns() ? q.message.edns().tenant() : null;
    if (named != null) {
      String text = new String(named, StandardCharsets.UTF_8);
      q.tenant = tenants.contains(text) ? text : null;
    }
    for (int i = 0; i < config.clients().size() && q.tenant == null; i++) {
      DnsConfig.Clients c = config.clients().get(i);
      q.tenant = c.prefix().contains(q.client.address()) ? c.tenant() : null;
    }
    return true;
  }

  /** Whether its tenant's quota allows it; false where it was answered. A repeat of what may have run is not refused. */
  private boolean hasQuota(Query q) {
    if (quotas == null || q.message.opcode() != Message.QUERY && !q.client.isTcp() && repeated.isKnown(new DuplicateRequestCache.Key(q))) {
      return true;
    }
    long grant = quotas.tryAcquire(q.tenant, 1, q.message.bytes().length, 0, false);
    if (Quotas.isRejected(grant)) {
      fail(q, new Verdict(true, Reason.QUOTA, quotas.retryAfterNanos()));
      return false;
    }
    return true;
  }

  private static boolean isSigned(Query q, DnsConfig.Key key) {
    try {
      return key.tsig().verify(new org.xbill.DNS.Message(q.message.bytes()), q.message.bytes(), null) == 0;
    } catch (IOException e) {
      return false;
    }
  }

  // ---- Questions -----------------------------------------------------------------------------------------

  private void query(Query q) {
    Message m = q.message;
    int type = q.question().type();
    if (m.answers() + m.authorities() > 0 && type != IXFR) {
      reply(q, q.empty(replies, 0, Message.FORMERR, OTHER, "records in a question"));
    } else if (type == AXFR || type == IXFR) {
      reply(q, q.empty(replies, 0, Message.REFUSED, NOT_SUPPORTED, "no transfers"));
    } else if (type == 0 || type == Edns.OPT || type >= NXNAME && type != Message.ANY && type < 256) {
      reply(q, q.empty(replies, 0, Message.NOTIMP, OTHER, "a type that is not asked for"));
    } else if (type == Message.ANY) {
      any(q);
    } else {
      for (LocalZone zone : zones) {
        if (zone.holds(q.question())) {
          counts.own++;
          LocalZone.Answer a = zone.answer(q.question());
          reply(q, q.filled(replies, a.body(), 0, Integer.MAX_VALUE, a.authoritative(), -1, null));
          return;
        }
      }
      if (q.message.tsigName() != null) {
        // Whoever signs wants a signed answer, which only the server can give: not from the cache, and untouched.
        pass(q);
      } else {
        cached(q);
      }
    }
  }

  private void any(Query q) {
    counts.own++;
    int start = q.message.questionEnd();
    byte[] octets = new byte[start + 12 + ANY_DATA.length];
    Message.put16(octets, 2, 0x8000);
    octets[5] = 1;
    octets[7] = 1;
    q.question().write(octets, Message.HEADER_LENGTH);
    Message.put16(octets, start, 0xC000 | Message.HEADER_LENGTH);
    Message.put16(octets, start + 2, HINFO);
    Message.put16(octets, start + 4, Message.IN);
    Message.put32(octets, start + 6, ANY_TTL_S);
    Message.put16(octets, start + 10, ANY_DATA.length);
    System.arraycopy(ANY_DATA, 0, octets, start + 12, ANY_DATA.length);
    ResponseTemplate body = new ResponseTemplate(octets, new int[0], octets.length, start, Message.NOERROR);
    reply(q, q.filled(replies, body, 0, ANY_TTL_S, false, -1, null));
  }

  private void cached(Query q) {
    if (config.fleet() == null) {
      reply(q, q.empty(replies, 0, Message.REFUSED, NOT_AUTHORITATIVE, "no zone of ours"));
      return;
    }
    Cache.Key key = Cache.Key.of(q);
    Cache.Entry e = cache.get(key, q.arrivedAt);
    TtlPolicy.Freshness use = e == null ? TtlPolicy.Freshness.EXPIRED : cache.use(e, q.arrivedAt);
    if (use == TtlPolicy.Freshness.FRESH || use == TtlPolicy.Freshness.PREFETCH) {
      e.hits++;
      counts.cached++;
      long age = (q.arrivedAt - e.at) / NANOS;
      reply(q, q.filled(replies, e.body, age, e.ttl - age, false, -1, null));
      if (use == TtlPolicy.Freshness.PREFETCH && !leaving.hasBegun() && !flights.containsKey(key)) {
        counts.prefetched++;
        launch(key, q, e, true);
      }
    } else if (leaving.rejectsNew(q.arrivedAt) && !flights.containsKey(key)) {
      fail(q, stopping(q));
    } else {
      fly(q);
    }
  }

  /** Nothing of it has run: asked again once we have gone, it comes to the successor. */
  private Verdict stopping(Query q) {
    return new Verdict(true, Reason.STOPPING, leaving.remaining(q.arrivedAt));
  }

  /** The front goes: from here on {@link GracefulShutdown} says what is taken. */
  void leave(long lastsNanos) {
    leaving.begin(clock.now(), lastsNanos);
    replies = new Query.Replies(config.udpSize(), 0); // Who asked for it is told to close (RFC 7828, 3.2.2).
  }

  /** Sends a question on its way, or lets it join one that is under way. */
  void fly(Query q) {
    Cache.Key key = Cache.Key.of(q);
    InFlightQuery flight = flights.get(key);
    if (flight == null) {
      Cache.Entry e = cache.get(key, clock.now());
      flight = launch(key, q, e, false);
    } else {
      counts.joined++;
    }
    if (flight != null) {
      q.client.waits(q, flight);
      flight.join(q);
    }
  }

  private InFlightQuery launch(Cache.Key key, Query q, Cache.Entry stale, boolean prefetch) {
    RequestClass type = type(q);
    if (type == null) {
      reply(q, q.empty(replies, 0, Message.NOTIMP, NOT_SUPPORTED, "no class for it"));
      return null;
    }
    // AD says that we know what it means in the answer (RFC 6840, 5.7); each client gets it as he asked.
    int flags = q.message.flags() & (Message.RD | Message.CD) | Message.AD;
    UpstreamQuery.Spec asked = new UpstreamQuery.Spec(null, q.question(), flags, q.wantsDnssec(), false);
    long deadline = prefetch ? clock.now() + type.deadlineNanos() : deadline(q, type);
    InFlightQuery flight = new InFlightQuery(new Exchange.Facts(type, q.tenant, name(q.question()), 0, false, deadline, 0, List.of()), this,
        asked, key, stale, prefetch);
    flights.put(key, flight);
    counts.flights++;
    engine.take(flight);
    if (stale != null) {
      loop.schedule(flight::waitedLong, config.caching().staleWaitNanos(), TimeUnit.NANOSECONDS);
    }
    return flight;
  }

  long deadline(Query q, RequestClass type) {
    return q.arrivedAt + Math.max(type.deadlineNanos() / 2, type.deadlineNanos() - config.marginNanos());
  }

  /** Affinity: the same name goes to the same server, which has it cached. */
  private static String name(Question q) {
    String name = new String(q.name(), StandardCharsets.ISO_8859_1);
    return name.length() <= MOST_KEY ? name : Integer.toHexString(name.hashCode());
  }

  private RequestClass type(Query q) {
    for (Match match : config.matches()) {
      if (match.opcode() == q.message.opcode() && (match.types().isEmpty() || match.types().contains(q.question().type()))) {
        return match.type();
      }
    }
    return null;
  }

  void landed(InFlightQuery flight) {
    flights.remove(flight.key, flight);
  }

  void keep(Cache.Key key, Message answer, ResponseTemplate body, long now) {
    boolean negative = answer.answers() == 0 || answer.rcode() != Message.NOERROR;
    cache.put(key, body, answer.ttl(), negative, now);
  }

  // ---- Messages that are passed on -----------------------------------------------------------------------

  private void pass(Query q) {
    RequestClass type = type(q);
    if (type == null || config.fleet() == null) {
      reply(q, q.empty(replies, 0, Message.NOTIMP, NOT_SUPPORTED, "no class for it"));
      return;
    }
    for (LocalZone zone : zones) {
      if (zone.holds(q.question())) {
        reply(q, q.empty(replies, 0, Message.REFUSED, NOT_SUPPORTED, "a zone of ours is not changed so"));
        return;
      }
    }
    boolean safe = type.effect() == Effect.SAFE;
    DuplicateRequestCache.Key key = safe || q.client.isTcp() ? null : new DuplicateRequestCache.Key(q);
    if (key != null && repeated.isKnown(key)) {
      counts.repeated++;
      byte[] answer = repeated.answer(key);
      if (answer != null) {
        reply(q, answer.clone());
      }
      return;
    } else if (leaving.rejectsNew(q.arrivedAt)) {
      fail(q, stopping(q)); // Only here: of a repeat the first may have run, or be under way.
      return;
    } else if (key != null && !repeated.taken(key, q.arrivedAt)) {
      fail(q, new Verdict(true, Reason.RECORD_FULL, NANOS));
      return;
    }
    boolean tcp = !safe && config.unsafeOverTcp() || q.message.bytes().length > config.udpSize();
    UpstreamQuery.Spec asked = new UpstreamQuery.Spec(q.message.bytes(), q.question(), 0, false, tcp);
    PassThroughExchange passing = new PassThroughExchange(new Exchange.Facts(type, q.tenant, name(q.question()), 0, false, deadline(q, type), 0, List.of()),
        this, asked, q, key);
    q.client.waits(q, passing);
    engine.take(passing);
  }

  // ---- Answers -------------------------------------------------------------------------------------------

  void reply(Query q, byte[] octets) {
    counts.answers++;
    if (recorder.isOn()) {
      record(q, octets);
    }
    q.answer(octets);
  }

  /** An answer is what its client makes of it: a cut one over UDP, too, is none. */
  private void record(Query q, byte[] octets) {
    int rcode = octets[3] & 0xF;
    boolean cut = (Message.get16(octets, 2) & Message.TC) != 0;
    boolean served = !cut && (rcode == Message.NOERROR || rcode == Message.NXDOMAIN);
    String word = q.reason != null ? q.reason : served ? "served" : cut ? "truncated" : "rcode_" + rcode;
    recordAs(q, word, q.client.isGone() ? Entry.GONE : served ? Entry.SERVED : rcode == Message.REFUSED || cut ? Entry.REFUSED
        : Entry.FAILED);
  }

  private void recordAs(Query q, String word, int kind) {
    RequestClass type = q.question() == null ? null : type(q);
    recorder.answered(0, null, type == null ? null : type.name(), q.tenant, word, kind, clock.now() - q.arrivedAt);
  }

  /** Its client has left, or it was dropped: no answer is owed. */
  void unanswered(Query q, String word) {
    if (recorder.isOn()) {
      recordAs(q, word, Entry.GONE);
    }
  }

  /** What was held past its TTL, marked as such. */
  void stale(Query q, Cache.Entry e) {
    counts.stale++;
    reply(q, q.filled(replies, e.body, 0, config.caching().staleTtl(), false, STALE, "no server answers"));
  }

  void fail(Query q, Verdict verdict) {
    reply(q, failure(q, verdict));
  }

  /**
   * REFUSED where there is too much to do, SERVFAIL where the servers do not answer; both tell why, and when to come back where the
   * module says so.
   */
  byte[] failure(Query q, Verdict verdict) {
    counts.end(verdict.reason());
    String word = verdict.reason().code();
    q.reason = word;
    long millis = TimeUnit.NANOSECONDS.toMillis(verdict.retryAfterNanos());
    String text = millis > 0 ? word + ", come back in " + millis + " ms" : word;
    int rcode = switch (verdict.reason()) {
      case OVER_RATE, TABLE_FULL, RECORD_FULL, QUOTA -> Message.REFUSED;
      default -> Message.SERVFAIL;
    };
    int code = switch (verdict.reason()) {
      case STOPPING -> NOT_READY;
      case NO_UPSTREAM, NO_ROOM, DEADLINE, ATTEMPTS, RETRY_BUDGET -> NO_REACHABLE;
      default -> OTHER;
    };
    return q.empty(replies, 0, rcode, code, text);
  }
}
