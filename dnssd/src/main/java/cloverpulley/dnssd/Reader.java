package cloverpulley.dnssd;

import cloverpulley.Balancer.Status;
import cloverpulley.dns.client.DnsClient;
import cloverpulley.dns.client.UpstreamQuery;
import cloverpulley.dns.wire.Message;
import cloverpulley.dns.wire.Question;
import cloverpulley.dnssd.DnsSdConfig.Browse;
import cloverpulley.membership.Observation;
import cloverpulley.membership.Observation.Addresses;
import cloverpulley.membership.Observation.BrowseFailed;
import cloverpulley.membership.Observation.Browsed;
import cloverpulley.membership.Observation.ServiceRecords;
import cloverpulley.membership.Observation.TextRecord;
import cloverpulley.membership.Observation.Unchanged;
import cloverpulley.membership.Observation.ZoneSerial;
import cloverpulley.membership.RefreshScheduler;
import cloverpulley.membership.Serial;
import cloverpulley.membership.SrvRecord;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.xbill.DNS.Name;
import org.xbill.DNS.TextParseException;
import org.xbill.DNS.Type;

/**
 * Queries one resolver for all configured browses and reports its answers as observations. The SRV and TXT records of an instance are
 * reported together, and after the addresses of its targets: old and new records mixed would describe a server that never existed. A TXT
 * record that marks the instance as draining is reported at once.
 *
 * <p>If the resolver is the zone's primary or a secondary (its answers are authoritative), no record is queried again while the zone's
 * serial is unchanged; when the serial changes, the whole zone is.
 */
final class Reader {

  /** Records are queried again once the serial has not been confirmed for this many poll intervals. */
  private static final int SERIAL_VALID_POLLS = 3;
  /** After this many failed attempts an instance is reported without its TXT record. */
  private static final int MAX_TXT_FAILURES = 3;
  /** After this many consecutive queries without an answer only the serial is queried. */
  private static final int UNRESPONSIVE_AFTER = 3;
  /** TTL per poll interval: records are refreshed at 80% of their TTL, which is then one poll interval. */
  private static final double POLL_TTL_FACTOR = 1.25;

  private static final class Zone {
    long serial = -1;
    /** The newest serial seen. An older one after it may be a recreated zone, whose answers have to be reported again. */
    long newestSerial = -1;
    boolean authoritative;
    long serialConfirmedAt = Long.MIN_VALUE / 2;
    final List<Browse> browses = new ArrayList<>();
  }

  private static final class Instance {
    final Set<String> browses = new HashSet<>();
    final String zone;
    List<SrvRecord> services;
    Map<String, String> pairs;
    int inFlight;
    int failures;
    long ttl;
    long querySerial;
    long serial = -1;
    /** The targets whose addresses must be known before the instance is reported. */
    final Set<String> pendingTargets = new HashSet<>();

    Instance(String zone) {
      this.zone = zone;
    }
  }

  private static final class Target {
    final Set<String> referrers = new LinkedHashSet<>();
    final Map<Boolean, List<String>> addresses = new HashMap<>();
    int inFlight;
    int answers;
    long ttl;
    long serial = -1;
    long querySerial = -1;
  }

  /** Query counters; owned by the event loop. */
  static final class Counts {
    long queries;
    long failures;
    long skipped;
  }

  private final int resolver;
  private final InetSocketAddress address;
  private final DnsSdConfig config;
  private final DnsClient client;
  private final RefreshScheduler<RefreshKey> refresh;
  private final Consumer<Observation> sink;
  private final Map<String, Zone> zones = new LinkedHashMap<>();
  private final Map<String, Browse> browses = new LinkedHashMap<>();
  private final Map<String, Set<String>> listed = new HashMap<>();
  private final Map<String, Long> listSerials = new HashMap<>();
  private final Map<String, Instance> instances = new HashMap<>();
  private final Map<String, Target> targets = new HashMap<>();
  private final ArrayDeque<RefreshKey> urgent = new ArrayDeque<>();
  private final ArrayDeque<RefreshKey> queue = new ArrayDeque<>();
  private final Counts counts = new Counts();
  private int inFlight;
  private int consecutiveFailures;
  private boolean sending;
  private long now;

  Reader(int resolver, InetSocketAddress address, DnsSdConfig config, DnsClient client, long startMillis, long seed,
      Consumer<Observation> sink) {
    this.resolver = resolver;
    this.address = address;
    this.config = config;
    this.client = client;
    this.sink = sink;
    now = startMillis;
    refresh = new RefreshScheduler<>(startMillis, Math.min(config.minTtlMillis(), config.pollMillis()), config.rules().longestTtlMillis(),
        config.backOffMillis(), config.maxBackOffMillis(), seed);
    for (Browse b : config.browses()) {
      browses.put(b.name(), b);
      zones.computeIfAbsent(b.zone(), z -> new Zone()).browses.add(b);
    }
    zones.keySet().forEach(z -> refresh.addIfAbsent(now, RefreshKey.serial(z)));
    browses.keySet().forEach(b -> refresh.addIfAbsent(now, RefreshKey.browse(b)));
  }

  Counts counts() {
    return counts;
  }

  /** Sends the queries that are due. */
  void tick(long millis) {
    now = millis;
    refresh.forEachDue(now, this::onDue);
    sendQueued();
  }

  /** Refreshes a whole zone that has, or may have, changed. */
  void zoneChanged(long millis, String zone) {
    now = millis;
    Zone z = zones.get(zone);
    if (z != null) {
      refresh.refreshNow(now, RefreshKey.serial(zone));
      refreshAll(z);
      tick(millis);
    }
  }

  /** Whether every known instance has been queried once, or the resolver does not respond. */
  boolean isInitialReadComplete() {
    return isUnresponsive() || instances.values().stream().noneMatch(i -> i.services == null && i.failures == 0 || !i.pendingTargets.isEmpty());
  }

  /** The zones that are read from this resolver. */
  Set<String> zones() {
    return zones.keySet();
  }

  /** Refreshes an instance that may have changed. */
  void instanceChanged(long millis, String name) {
    now = millis;
    if (instances.containsKey(name)) {
      instances.get(name).serial = -1; // Forces the query even if the zone's serial is unchanged.
      refresh.refreshNow(now, RefreshKey.instance(name));
      tick(millis);
    }
  }

  /** Refreshes the addresses of a target, which may have changed. */
  void targetChanged(long millis, String name) {
    now = millis;
    if (targets.containsKey(name)) {
      targets.get(name).serial = -1;
      refresh.refreshNow(now, RefreshKey.target(name));
      tick(millis);
    }
  }

  /** Refreshes the instance list of a browse, which may have changed. */
  void browseChanged(long millis, String browse) {
    now = millis;
    if (browses.containsKey(browse)) {
      listSerials.put(browse, -1L);
      refresh.refreshNow(now, RefreshKey.browse(browse));
      tick(millis);
    }
  }

  /** Whether the resolver lists the instance for any browse. */
  boolean isListed(String instance) {
    return instances.containsKey(instance);
  }

  /** The instances of a browse in the resolver's last answer. */
  Set<String> listed(String browse) {
    return listed.getOrDefault(browse, Set.of());
  }

  private void refreshAll(Zone z) {
    for (Browse b : z.browses) {
      refresh.refreshNow(now, RefreshKey.browse(b.name()));
      for (String name : listed.getOrDefault(b.name(), Set.of())) {
        refresh.refreshNow(now, RefreshKey.instance(name));
        Instance i = instances.get(name);
        if (i != null && i.services != null) {
          i.services.forEach(s -> refresh.refreshNow(now, RefreshKey.target(s.target())));
        }
      }
    }
  }

  private boolean isUnresponsive() {
    return consecutiveFailures >= UNRESPONSIVE_AFTER;
  }

  private void onDue(RefreshKey key) {
    Zone z = zoneOf(key);
    if (key.kind() != RefreshKey.Kind.SERIAL && isUnresponsive()) {
      if (key.kind() == RefreshKey.Kind.BROWSE) {
        sink.accept(new BrowseFailed(resolver, key.name()));
      }
      refresh.failed(now, key); // The serial query detects when the resolver responds again.
    } else if (z != null && key.kind() != RefreshKey.Kind.SERIAL && isCurrent(z, key)) {
      counts.skipped++;
      refresh.answered(now, key, ttlOf(key));
    } else if (key.kind() == RefreshKey.Kind.SERIAL || key.kind() == RefreshKey.Kind.BROWSE) {
      urgent.add(key);
    } else {
      queue.add(key);
    }
  }

  private Zone zoneOf(RefreshKey key) {
    return switch (key.kind()) {
      case SERIAL -> zones.get(key.name());
      case BROWSE -> zones.get(browses.get(key.name()).zone());
      case INSTANCE -> instances.containsKey(key.name()) ? zones.get(instances.get(key.name()).zone) : null;
      case TARGET -> zones.entrySet().stream().filter(e -> key.name().endsWith("." + e.getKey())).map(Map.Entry::getValue)
          .findFirst().orElse(null);
    };
  }

  /** Whether the last answer for this key comes from the zone's current serial, and that serial was confirmed recently. */
  private boolean isCurrent(Zone z, RefreshKey key) {
    long serial = switch (key.kind()) {
      case BROWSE -> listSerials.getOrDefault(key.name(), -1L);
      case INSTANCE -> instances.get(key.name()).serial;
      case TARGET -> targets.containsKey(key.name()) ? targets.get(key.name()).serial : -1;
      case SERIAL -> -1;
    };
    return z.authoritative && !Serial.isOlder(z.serial, z.newestSerial) && serial >= 0 && serial == z.serial
        && now - z.serialConfirmedAt < SERIAL_VALID_POLLS * config.pollMillis();
  }

  private long ttlOf(RefreshKey key) {
    return switch (key.kind()) {
      case INSTANCE -> instances.get(key.name()).ttl;
      case TARGET -> targets.get(key.name()).ttl;
      default -> config.rules().longestTtlMillis();
    };
  }

  // ---- Queries -------------------------------------------------------------------------------------------

  private void sendQueued() {
    if (sending) {
      return; // A query may complete synchronously; the loop below sends what is still queued.
    }
    sending = true;
    while (inFlight < config.maxInFlight() && !(urgent.isEmpty() && queue.isEmpty())) {
      RefreshKey key = urgent.isEmpty() ? queue.poll() : urgent.poll();
      switch (key.kind()) {
        case SERIAL -> sendQuery(key.name(), Type.SOA, (a, error) -> onSerial(key, a));
        case BROWSE -> {
          long serial = zones.get(browses.get(key.name()).zone()).serial;
          sendQuery(key.name(), Type.PTR, (a, error) -> onBrowse(key, a, serial));
        }
        case INSTANCE -> queryInstance(key);
        case TARGET -> queryTarget(key);
      }
    }
    sending = false;
  }

  private interface QueryCallback {
    /** Called when the query has ended; {@code answer} is null if there was no usable answer. */
    void completed(Answer answer, String error);
  }

  private void sendQuery(String text, int type, QueryCallback callback) {
    Name name;
    try {
      name = Name.fromString(text);
    } catch (TextParseException e) {
      throw new IllegalStateException(e); // Cannot happen: it was parsed before.
    }
    inFlight++;
    counts.queries++;
    UpstreamQuery.Spec spec = new UpstreamQuery.Spec(null, new Question(name.toWire(), type, Message.IN), Message.RD, false, false);
    client.query(resolver, address, spec, TimeUnit.MILLISECONDS.toNanos(config.queryTimeoutMillis()), (status, message, error) -> {
      inFlight--;
      Answer answer = null;
      String failure = error;
      if (status == Status.SERVED) {
        try {
          answer = new Answer(message.bytes(), name, type);
        } catch (IOException e) {
          failure = e.getMessage();
        }
      }
      consecutiveFailures = status == Status.SERVED ? 0 : consecutiveFailures + 1;
      if (answer == null) {
        counts.failures++;
      }
      callback.completed(answer, failure);
    });
  }

  // ---- Answers -------------------------------------------------------------------------------------------

  private void onSerial(RefreshKey key, Answer a) {
    Zone z = zones.get(key.name());
    long pollTtl = (long) (config.pollMillis() * POLL_TTL_FACTOR);
    if (a == null) {
      z.authoritative = false;
      refresh.failed(now, key);
      sendQueued();
      return;
    }
    long before = z.serial;
    boolean wasAuthoritative = z.authoritative;
    z.serial = a.serial();
    z.newestSerial = z.newestSerial < 0 || Serial.isOlder(z.newestSerial, z.serial) ? z.serial : z.newestSerial;
    z.authoritative = a.isAuthoritative() && z.serial >= 0;
    refresh.answered(now, key, pollTtl);
    if (z.authoritative) {
      z.browses.forEach(b -> sink.accept(new ZoneSerial(resolver, b.name(), z.serial)));
    }
    if (z.serial != before || !wasAuthoritative) {
      refreshAll(z);
    } else if (z.authoritative) {
      z.serialConfirmedAt = now;
      for (Browse b : z.browses) {
        if (listSerials.getOrDefault(b.name(), -1L) == z.serial) {
          sink.accept(new Unchanged(resolver, b.name(), Math.max(config.minTtlMillis(), SERIAL_VALID_POLLS * config.pollMillis())));
        }
      }
    }
    if (z.authoritative) {
      z.serialConfirmedAt = now;
    }
    tick(now);
  }

  private void onBrowse(RefreshKey key, Answer a, long serial) {
    Browse b = browses.get(key.name());
    if (a == null) {
      sink.accept(new BrowseFailed(resolver, key.name()));
      refresh.failed(now, key);
      sendQueued();
      return;
    }
    Zone z = zones.get(b.zone());
    Set<String> names = a.pointers();
    Set<String> before = listed.getOrDefault(key.name(), Set.of());
    listed.put(key.name(), names);
    listSerials.put(key.name(), z.authoritative ? serial : -1L);
    before.forEach(n -> {
      if (!names.contains(n)) {
        removeFromBrowse(n, key.name());
      }
    });
    long ttl = Math.max(config.minTtlMillis(), a.ttlMillis());
    // The list first: records of an instance that no list contains are not kept.
    sink.accept(new Browsed(resolver, key.name(), names, z.authoritative ? serial : -1, Math.max(ttl, SERIAL_VALID_POLLS * config.pollMillis())));
    Map<String, Answer.CompleteInstance> completeInstances = completeInstances(a, names, b);
    int maxInstances = config.rules().maxInstances();
    for (String n : names) {
      Instance i = instances.get(n);
      if (i == null && instances.size() >= maxInstances) {
        continue; // Membership enforces and reports the same limit.
      } else if (i == null) {
        i = new Instance(b.zone());
        instances.put(n, i);
      }
      i.browses.add(key.name());
      Answer.CompleteInstance complete = completeInstances.get(n);
      if (complete != null && i.inFlight == 0) {
        applyComplete(n, i, complete, serial);
      } else {
        refresh.addIfAbsent(now, RefreshKey.instance(n));
      }
    }
    refresh.answered(now, key, z.authoritative ? ttl : Math.min(ttl, (long) (config.pollMillis() * POLL_TTL_FACTOR)));
    tick(now);
  }

  private static Map<String, Answer.CompleteInstance> completeInstances(Answer a, Set<String> names, Browse b) {
    try {
      return a.completeInstances(names, Name.fromString(b.zone()));
    } catch (TextParseException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Stores and reports an instance whose records all came in the additional section of the browse answer. */
  private void applyComplete(String name, Instance i, Answer.CompleteInstance complete, long serial) {
    i.services = complete.services();
    i.pairs = complete.pairs();
    i.ttl = Math.max(config.minTtlMillis(), complete.ttlMillis());
    i.serial = serial;
    for (SrvRecord s : i.services) {
      Target t = targets.computeIfAbsent(s.target(), x -> new Target());
      t.referrers.add(name);
      t.ttl = i.ttl;
      t.serial = serial;
      refresh.addIfAbsent(now, RefreshKey.target(s.target()));
      refresh.answered(now, RefreshKey.target(s.target()), i.ttl);
      for (boolean ipv6 : new boolean[] {false, true}) {
        List<String> addresses = (ipv6 ? complete.ipv6() : complete.ipv4()).getOrDefault(s.target(), List.of());
        t.addresses.put(ipv6, addresses);
        sink.accept(new Addresses(resolver, s.target(), ipv6, addresses));
      }
    }
    sink.accept(new ServiceRecords(resolver, name, i.services));
    sink.accept(new TextRecord(resolver, name, i.pairs));
    refresh.addIfAbsent(now, RefreshKey.instance(name));
    refresh.answered(now, RefreshKey.instance(name), i.ttl);
  }

  private void removeFromBrowse(String name, String browse) {
    Instance i = instances.get(name);
    if (i == null || !i.browses.remove(browse) || !i.browses.isEmpty()) {
      return;
    }
    instances.remove(name);
    refresh.cancel(RefreshKey.instance(name));
    if (i.services != null) {
      i.services.forEach(s -> releaseTarget(name, s.target()));
    }
  }

  private void releaseTarget(String name, String target) {
    Target t = targets.get(target);
    if (t != null && t.referrers.remove(name) && t.referrers.isEmpty()) {
      targets.remove(target);
      refresh.cancel(RefreshKey.target(target));
      sink.accept(new Addresses(resolver, target, false, List.of()));
      sink.accept(new Addresses(resolver, target, true, List.of()));
    }
  }

  private void queryInstance(RefreshKey key) {
    Instance i = instances.get(key.name());
    if (i == null) {
      return; // It has been removed from the list meanwhile.
    }
    i.inFlight = 2;
    i.querySerial = zones.get(i.zone).serial;
    List<List<SrvRecord>> services = new ArrayList<>();
    List<Map<String, String>> pairs = new ArrayList<>();
    long[] ttl = {Long.MAX_VALUE};
    sendQuery(key.name(), Type.SRV, (a, error) -> {
      if (a != null) {
        services.add(a.services());
        ttl[0] = Math.min(ttl[0], a.ttlMillis());
      }
      instanceQueryEnded(key, i, services, pairs, ttl[0]);
    });
    sendQuery(key.name(), Type.TXT, (a, error) -> {
      if (a != null) {
        pairs.add(a.pairs());
        ttl[0] = Math.min(ttl[0], a.ttlMillis());
        // No new requests may go to a draining server: that state is reported without waiting for the SRV answer.
        if (config.keys().parse(a.pairs()).draining() && instances.get(key.name()) == i && i.services != null) {
          sink.accept(new TextRecord(resolver, key.name(), a.pairs()));
        }
      }
      instanceQueryEnded(key, i, services, pairs, ttl[0]);
    });
  }

  private void instanceQueryEnded(RefreshKey key, Instance i, List<List<SrvRecord>> services, List<Map<String, String>> pairs, long ttl) {
    if (--i.inFlight > 0 || instances.get(key.name()) != i) {
      sendQueued();
      return;
    }
    boolean withoutTxt = pairs.isEmpty() && i.pairs == null && i.failures + 1 >= MAX_TXT_FAILURES;
    if (services.isEmpty() || pairs.isEmpty() && !withoutTxt) {
      i.failures++;
      refresh.failed(now, key);
      sendQueued();
      return;
    }
    i.failures = 0;
    i.serial = i.querySerial;
    i.ttl = Math.max(config.minTtlMillis(), ttl);
    refresh.answered(now, key, i.ttl);
    List<SrvRecord> before = i.services == null ? List.of() : i.services;
    i.services = services.get(0);
    i.pairs = pairs.isEmpty() ? Map.of() : pairs.get(0);
    i.pendingTargets.clear();
    for (SrvRecord s : i.services) {
      targets.computeIfAbsent(s.target(), t -> new Target()).referrers.add(key.name());
      refresh.addIfAbsent(now, RefreshKey.target(s.target()));
      if (refresh.isPending(now, RefreshKey.target(s.target()))) {
        i.pendingTargets.add(s.target());
      }
    }
    for (SrvRecord s : before) {
      if (i.services.stream().noneMatch(x -> x.target().equals(s.target()))) {
        releaseTarget(key.name(), s.target());
      }
    }
    if (i.pendingTargets.isEmpty()) {
      reportInstance(key.name(), i);
    }
    tick(now);
  }

  private void reportInstance(String name, Instance i) {
    sink.accept(new ServiceRecords(resolver, name, i.services));
    sink.accept(new TextRecord(resolver, name, i.pairs));
  }

  private void queryTarget(RefreshKey key) {
    Target t = targets.get(key.name());
    if (t == null) {
      return;
    }
    t.inFlight = 2;
    t.answers = 0;
    Zone z = zoneOf(key);
    t.querySerial = z == null ? -1 : z.serial;
    long[] ttl = {Long.MAX_VALUE};
    for (boolean ipv6 : new boolean[] {false, true}) {
      sendQuery(key.name(), ipv6 ? Type.AAAA : Type.A, (a, error) -> {
        if (a != null) {
          t.answers++;
          t.addresses.put(ipv6, a.addresses());
          // The negative TTL of a missing address family does not limit the TTL of the other one.
          ttl[0] = a.addresses().isEmpty() ? ttl[0] : Math.min(ttl[0], a.ttlMillis());
        }
        addressQueryEnded(key, t, ttl[0]);
      });
    }
  }

  private void addressQueryEnded(RefreshKey key, Target t, long ttl) {
    if (--t.inFlight > 0 || targets.get(key.name()) != t) {
      sendQueued();
      return;
    }
    if (t.answers == 0) {
      refresh.failed(now, key);
    } else {
      t.serial = t.answers == 2 ? t.querySerial : -1;
      t.ttl = Math.max(config.minTtlMillis(), ttl == Long.MAX_VALUE ? 0 : ttl);
      refresh.answered(now, key, t.ttl);
      t.addresses.forEach((ipv6, addresses) -> sink.accept(new Addresses(resolver, key.name(), ipv6, addresses)));
    }
    // Waiting instances are reported even if the queries failed, with the addresses known so far, or none.
    for (String referrer : List.copyOf(t.referrers)) {
      Instance i = instances.get(referrer);
      if (i != null && i.pendingTargets.remove(key.name()) && i.pendingTargets.isEmpty() && i.inFlight == 0) {
        reportInstance(referrer, i);
      }
    }
    tick(now);
  }
}
