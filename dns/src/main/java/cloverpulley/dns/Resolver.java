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
import cloverpulley.engine.LocalReply;
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
 * Handles client messages: answers them from local zones or the cache, or forwards them through the engine. The balancer module decides
 * which server is queried, whether a query is retried and what is rejected. Runs on one event loop.
 */
final class Resolver {

  /** Extended DNS error codes (RFC 8914, 4). */
  private static final int OTHER = 0;
  private static final int STALE_ANSWER = 3;
  private static final int NOT_READY = 14;
  private static final int NOT_AUTHORITATIVE = 20;
  private static final int NOT_SUPPORTED = 21;
  private static final int NO_REACHABLE_AUTHORITY = 22;

  private static final int IXFR = 251;
  private static final int AXFR = 252;
  private static final int NXNAME = 128;
  private static final int HINFO = 13;
  /** RDATA of the HINFO record that answers ANY (RFC 8482, 4.2). */
  private static final byte[] ANY_DATA = {7, 'R', 'F', 'C', '8', '4', '8', '2', 0};
  private static final int ANY_TTL_S = 3789;
  private static final int MAX_KEY_LENGTH = 128;
  private static final int MAX_DUPLICATES = 100_000;
  /** Longer than clients retransmit (RFC 2136 gives no time; resolvers give up after about 5 to 10 s). */
  private static final long DUPLICATE_TTL_NANOS = TimeUnit.SECONDS.toNanos(15);
  private static final long NANOS_PER_SECOND = 1_000_000_000L;

  final EventLoop loop;
  final Clock clock;
  final DnsConfig config;
  final Engine engine;
  final DnsClient client;
  final DnsCounts counts;
  final GracefulShutdown shutdown = new GracefulShutdown();
  Query.ResponseOptions responseOptions;
  final DuplicateRequestCache duplicates = new DuplicateRequestCache(MAX_DUPLICATES, DUPLICATE_TTL_NANOS);
  private final Recorder recorder;
  /** Null if no quotas are configured. */
  private final QuotaKeeper quotas;
  private final Cache cache;
  private final Cookies cookies;
  private final ResponseRateLimiter rateLimiter;
  private final List<LocalZone> zones = new ArrayList<>();
  private final Map<Cache.Key, InFlightQuery> inFlight = new HashMap<>();
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
    responseOptions = new Query.ResponseOptions(config.udpSize(), (int) (config.limits().idleMillis() / 100));
    cache = new Cache(config.caching().bytes(), new TtlPolicy(config.caching().ttlPolicy()));
    cookies = new Cookies(config.cookieSecret());
    rateLimiter = new ResponseRateLimiter(config.limits().responseRate());
    config.settings().tenants().forEach(t -> tenants.add(t.name()));
  }

  void addZone(LocalZone zone) {
    zones.add(zone);
  }

  Cache cache() {
    return cache;
  }

  // ---- Incoming messages ---------------------------------------------------------------------------------

  /** Handles a client's message. The array is kept, not copied. */
  void onMessage(byte[] octets, Query.Client from) {
    if (!Message.hasHeader(octets) || Message.isResponse(octets)) {
      counts.silent++; // An answer to a response could cause an endless loop.
      return;
    }
    counts.queries++;
    Message m;
    try {
      m = Message.read(octets, config.tenantOption());
    } catch (MalformedException e) {
      onMalformed(octets, from);
      return;
    }
    Query q = new Query(m, from, clock.now());
    if (!passesRateLimit(q)) {
      return;
    }
    if (m.opcode() != Message.QUERY && m.opcode() != Message.NOTIFY && m.opcode() != Message.UPDATE) {
      reply(q, q.empty(responseOptions, 0, Message.NOTIMP, -1, null));
    } else if (q.hasEdns() && m.edns().version() > 0) {
      reply(q, q.empty(responseOptions, 0, Message.BADVERS, -1, null));
    } else if (m.question() == null) {
      // A cookie-only query (RFC 7873, 5.4).
      boolean cookie = q.cookie != null && m.opcode() == Message.QUERY && m.answers() + m.authorities() == 0;
      reply(q, q.empty(responseOptions, 0, cookie ? Message.NOERROR : Message.FORMERR, -1, null));
    } else if (octets.length > (m.opcode() == Message.QUERY ? config.limits().queryBytes() : config.limits().updateBytes())) {
      reply(q, q.empty(responseOptions, 0, Message.FORMERR, OTHER, "too long"));
    } else if (m.question().dnsClass() != Message.IN) {
      reply(q, q.empty(responseOptions, 0, Message.REFUSED, NOT_SUPPORTED, "class IN only"));
    } else if (identifyTenant(q) && acquireQuota(q)) {
      if (m.opcode() == Message.QUERY) {
        onQuery(q);
      } else {
        passThrough(q);
      }
    }
  }

  private void onMalformed(byte[] octets, Query.Client from) {
    counts.malformed++;
    if (from.isTcp() || checkRate(from.address()) == ResponseRateLimiter.Action.ANSWER) {
      counts.answers++;
      from.answer(Message.empty(Message.get16(octets, 0), Message.opcode(octets) << 11 | Message.get16(octets, 2) & Message.RD,
          Message.FORMERR, null, null));
    }
  }

  private ResponseRateLimiter.Action checkRate(InetAddress address) {
    return rateLimiter.onQuery(clock.now(), Prefix.networkKey(address, config.limits().prefix4(), config.limits().prefix6()));
  }

  /**
   * Applies the response rate limit, which only clients with a possibly forged source address are subject to: over UDP and without a valid
   * server cookie. Also creates the cookie to send back.
   */
  private boolean passesRateLimit(Query q) {
    byte[] received = q.hasEdns() ? q.message.edns().cookie() : null;
    boolean verified = q.client.isTcp();
    if (received != null) {
      byte[] address = q.client.address().getAddress();
      long seconds = System.currentTimeMillis() / 1000;
      verified |= cookies.isValid(received, address, seconds);
      q.cookie = cookies.create(received, address, seconds);
    }
    if (verified) {
      return true;
    }
    ResponseRateLimiter.Action action = checkRate(q.client.address());
    if (action == ResponseRateLimiter.Action.SLIP) {
      counts.slipped++;
      reply(q, q.empty(responseOptions, Message.TC, Message.NOERROR, -1, null));
    } else if (action == ResponseRateLimiter.Action.DROP) {
      counts.dropped++;
      recordUnanswered(q, "rate_dropped");
    }
    return action == ResponseRateLimiter.Action.ANSWER;
  }

  /** Sets the query's tenant, by TSIG key, EDNS option or client prefix. Returns false if the query was answered because its signature is invalid. */
  private boolean identifyTenant(Query q) {
    if (q.message.tsigName() != null) {
      String name = Names.text(Names.lower(q.message.tsigName()));
      for (DnsConfig.Key key : config.keys()) {
        if (key.name().equals(name)) {
          if (!isSigned(q, key)) {
            reply(q, q.empty(responseOptions, 0, Message.NOTAUTH, OTHER, "the signature is not that of its key"));
            return false;
          }
          q.tenant = key.tenant();
          return true;
        }
      }
    }
    byte[] option = q.hasEdns() ? q.message.edns().tenant() : null;
    if (option != null) {
      String text = new String(option, StandardCharsets.UTF_8);
      q.tenant = tenants.contains(text) ? text : null;
    }
    for (int i = 0; i < config.clients().size() && q.tenant == null; i++) {
      DnsConfig.ClientPrefix c = config.clients().get(i);
      q.tenant = c.prefix().contains(q.client.address()) ? c.tenant() : null;
    }
    return true;
  }

  /**
   * Charges the query to its tenant's quota. Returns false if the query was rejected and answered. A retransmission of a message that may
   * have run is never rejected.
   */
  private boolean acquireQuota(Query q) {
    if (quotas == null || q.message.opcode() != Message.QUERY && !q.client.isTcp() && duplicates.isKnown(new DuplicateRequestCache.Key(q))) {
      return true;
    }
    long grant = quotas.tryAcquire(q.tenant, 1, q.message.bytes().length, 0, false);
    if (Quotas.isRejected(grant)) {
      fail(q, new LocalReply(true, Reason.QUOTA, quotas.retryAfterNanos()));
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

  // ---- Queries -------------------------------------------------------------------------------------------

  private void onQuery(Query q) {
    Message m = q.message;
    int type = q.question().type();
    if (m.answers() + m.authorities() > 0 && type != IXFR) {
      reply(q, q.empty(responseOptions, 0, Message.FORMERR, OTHER, "records in a question"));
    } else if (type == AXFR || type == IXFR) {
      reply(q, q.empty(responseOptions, 0, Message.REFUSED, NOT_SUPPORTED, "no transfers"));
    } else if (type == 0 || type == Edns.OPT || type >= NXNAME && type != Message.ANY && type < 256) {
      reply(q, q.empty(responseOptions, 0, Message.NOTIMP, OTHER, "a type that is not asked for"));
    } else if (type == Message.ANY) {
      answerAny(q);
    } else {
      for (LocalZone zone : zones) {
        if (zone.contains(q.question())) {
          counts.own++;
          LocalZone.Answer a = zone.answer(q.question());
          reply(q, q.withRecords(responseOptions, a.template(), 0, Integer.MAX_VALUE, a.authoritative(), -1, null));
          return;
        }
      }
      if (q.message.tsigName() != null) {
        // A signed query needs a signed answer, which only the server can produce: bypass the cache and forward it unmodified.
        passThrough(q);
      } else {
        answerFromCache(q);
      }
    }
  }

  private void answerAny(Query q) {
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
    ResponseTemplate template = new ResponseTemplate(octets, new int[0], octets.length, start, Message.NOERROR);
    reply(q, q.withRecords(responseOptions, template, 0, ANY_TTL_S, false, -1, null));
  }

  private void answerFromCache(Query q) {
    if (config.fleet() == null) {
      reply(q, q.empty(responseOptions, 0, Message.REFUSED, NOT_AUTHORITATIVE, "no zone of ours"));
      return;
    }
    Cache.Key key = Cache.Key.of(q);
    Cache.Entry e = cache.get(key, q.arrivedAt);
    TtlPolicy.Freshness freshness = e == null ? TtlPolicy.Freshness.EXPIRED : cache.freshness(e, q.arrivedAt);
    if (freshness == TtlPolicy.Freshness.FRESH || freshness == TtlPolicy.Freshness.PREFETCH) {
      e.hits++;
      counts.cached++;
      long age = (q.arrivedAt - e.storedAt) / NANOS_PER_SECOND;
      reply(q, q.withRecords(responseOptions, e.template, age, e.ttl - age, false, -1, null));
      if (freshness == TtlPolicy.Freshness.PREFETCH && !shutdown.hasBegun() && !inFlight.containsKey(key)) {
        counts.prefetched++;
        startQuery(key, q, e, true);
      }
    } else if (shutdown.rejectsNew(q.arrivedAt) && !inFlight.containsKey(key)) {
      fail(q, stoppingReply(q));
    } else {
      joinOrStart(q);
    }
  }

  /** A safe-to-retry rejection: nothing has run, and a retry after the shutdown reaches the successor. */
  private LocalReply stoppingReply(Query q) {
    return new LocalReply(true, Reason.STOPPING, shutdown.remaining(q.arrivedAt));
  }

  /** Begins the shutdown: from here on {@link GracefulShutdown} decides which queries are accepted. */
  void beginShutdown(long lastsNanos) {
    shutdown.begin(clock.now(), lastsNanos);
    responseOptions = new Query.ResponseOptions(config.udpSize(), 0); // A keepalive timeout of 0 asks TCP clients to close (RFC 7828, 3.2.2).
  }

  /** Forwards a query, or joins it to an in-flight query for the same key. */
  void joinOrStart(Query q) {
    Cache.Key key = Cache.Key.of(q);
    InFlightQuery query = inFlight.get(key);
    if (query == null) {
      Cache.Entry e = cache.get(key, clock.now());
      query = startQuery(key, q, e, false);
    } else {
      counts.joined++;
    }
    if (query != null) {
      q.client.onPending(q, query);
      query.join(q);
    }
  }

  private InFlightQuery startQuery(Cache.Key key, Query q, Cache.Entry stale, boolean prefetch) {
    RequestClass requestClass = classOf(q);
    if (requestClass == null) {
      reply(q, q.empty(responseOptions, 0, Message.NOTIMP, NOT_SUPPORTED, "no class for it"));
      return null;
    }
    // AD in a query asks for the AD bit in the answer (RFC 6840, 5.7); whether a client gets the bit depends on its own query.
    int flags = q.message.flags() & (Message.RD | Message.CD) | Message.AD;
    UpstreamQuery.Spec spec = new UpstreamQuery.Spec(null, q.question(), flags, q.wantsDnssec(), false);
    long deadline = prefetch ? clock.now() + requestClass.deadlineNanos() : deadline(q, requestClass);
    InFlightQuery query = new InFlightQuery(
        new Exchange.RequestInfo(requestClass, q.tenant, affinityKey(q.question()), 0, false, deadline, 0, List.of()), this,
        spec, key, stale, prefetch);
    inFlight.put(key, query);
    counts.flights++;
    engine.accept(query);
    if (stale != null) {
      loop.schedule(query::onStaleTimeout, config.caching().staleWaitNanos(), TimeUnit.NANOSECONDS);
    }
    return query;
  }

  long deadline(Query q, RequestClass requestClass) {
    return q.arrivedAt + Math.max(requestClass.deadlineNanos() / 2, requestClass.deadlineNanos() - config.marginNanos());
  }

  /** The affinity key: queries for one name go to one server, which then has it cached. */
  private static String affinityKey(Question q) {
    String name = new String(q.name(), StandardCharsets.ISO_8859_1);
    return name.length() <= MAX_KEY_LENGTH ? name : Integer.toHexString(name.hashCode());
  }

  private RequestClass classOf(Query q) {
    for (Match match : config.matches()) {
      if (match.opcode() == q.message.opcode() && (match.types().isEmpty() || match.types().contains(q.question().type()))) {
        return match.requestClass();
      }
    }
    return null;
  }

  void removeInFlight(InFlightQuery query) {
    inFlight.remove(query.key, query);
  }

  void cacheAnswer(Cache.Key key, Message answer, ResponseTemplate template, long now) {
    boolean negative = answer.answers() == 0 || answer.rcode() != Message.NOERROR;
    cache.put(key, template, answer.ttl(), negative, now);
  }

  // ---- Messages passed through unmodified ----------------------------------------------------------------

  private void passThrough(Query q) {
    RequestClass requestClass = classOf(q);
    if (requestClass == null || config.fleet() == null) {
      reply(q, q.empty(responseOptions, 0, Message.NOTIMP, NOT_SUPPORTED, "no class for it"));
      return;
    }
    for (LocalZone zone : zones) {
      if (zone.contains(q.question())) {
        reply(q, q.empty(responseOptions, 0, Message.REFUSED, NOT_SUPPORTED, "a zone of ours is not changed so"));
        return;
      }
    }
    boolean safe = requestClass.effect() == Effect.SAFE;
    DuplicateRequestCache.Key key = safe || q.client.isTcp() ? null : new DuplicateRequestCache.Key(q);
    if (key != null && duplicates.isKnown(key)) {
      counts.repeated++;
      byte[] answer = duplicates.answer(key);
      if (answer != null) {
        reply(q, answer.clone());
      }
      return;
    } else if (shutdown.rejectsNew(q.arrivedAt)) {
      fail(q, stoppingReply(q)); // Only after the duplicate check: the original of a retransmission may have run or be in flight.
      return;
    } else if (key != null && !duplicates.tryAdd(key, q.arrivedAt)) {
      fail(q, new LocalReply(true, Reason.RECORD_FULL, NANOS_PER_SECOND));
      return;
    }
    boolean tcp = !safe && config.unsafeOverTcp() || q.message.bytes().length > config.udpSize();
    UpstreamQuery.Spec spec = new UpstreamQuery.Spec(q.message.bytes(), q.question(), 0, false, tcp);
    PassThroughExchange exchange = new PassThroughExchange(
        new Exchange.RequestInfo(requestClass, q.tenant, affinityKey(q.question()), 0, false, deadline(q, requestClass), 0, List.of()), this,
        spec, q, key);
    q.client.onPending(q, exchange);
    engine.accept(exchange);
  }

  // ---- Answers -------------------------------------------------------------------------------------------

  void reply(Query q, byte[] octets) {
    counts.answers++;
    if (recorder.isOn()) {
      recordAnswer(q, octets);
    }
    q.answer(octets);
  }

  /** Records the answer as the client sees it: a truncated answer doesn't count as served. */
  private void recordAnswer(Query q, byte[] octets) {
    int rcode = octets[3] & 0xF;
    boolean truncated = (Message.get16(octets, 2) & Message.TC) != 0;
    boolean served = !truncated && (rcode == Message.NOERROR || rcode == Message.NXDOMAIN);
    String reasonCode = q.reason != null ? q.reason : served ? "served" : truncated ? "truncated" : "rcode_" + rcode;
    recordAs(q, reasonCode, q.client.isClosed() ? Entry.GONE : served ? Entry.SERVED : rcode == Message.REFUSED || truncated ? Entry.REFUSED
        : Entry.FAILED);
  }

  private void recordAs(Query q, String reasonCode, int kind) {
    RequestClass requestClass = q.question() == null ? null : classOf(q);
    recorder.recordAnswer(0, null, requestClass == null ? null : requestClass.name(), q.tenant, reasonCode, kind, clock.now() - q.arrivedAt);
  }

  /** Records a query that gets no answer because its client has disconnected or the rate limit dropped it. */
  void recordUnanswered(Query q, String reasonCode) {
    if (recorder.isOn()) {
      recordAs(q, reasonCode, Entry.GONE);
    }
  }

  /** Answers with a cached answer past its TTL, marked as stale (RFC 8767). */
  void replyStale(Query q, Cache.Entry e) {
    counts.stale++;
    reply(q, q.withRecords(responseOptions, e.template, 0, config.caching().staleTtl(), false, STALE_ANSWER, "no server answers"));
  }

  void fail(Query q, LocalReply localReply) {
    reply(q, failureResponse(q, localReply));
  }

  /**
   * An error response: REFUSED if a limit or quota rejects the query, SERVFAIL otherwise. The extended error text has the reason and, if the
   * module gives one, the time after which to retry.
   */
  byte[] failureResponse(Query q, LocalReply localReply) {
    counts.end(localReply.reason());
    String reasonCode = localReply.reason().code();
    q.reason = reasonCode;
    long millis = TimeUnit.NANOSECONDS.toMillis(localReply.retryAfterNanos());
    String text = millis > 0 ? reasonCode + ", come back in " + millis + " ms" : reasonCode;
    int rcode = switch (localReply.reason()) {
      case OVER_RATE, TABLE_FULL, RECORD_FULL, QUOTA -> Message.REFUSED;
      default -> Message.SERVFAIL;
    };
    int code = switch (localReply.reason()) {
      case STOPPING -> NOT_READY;
      case NO_UPSTREAM, NO_ROOM, DEADLINE, ATTEMPTS, RETRY_BUDGET -> NO_REACHABLE_AUTHORITY;
      default -> OTHER;
    };
    return q.empty(responseOptions, 0, rcode, code, text);
  }
}
