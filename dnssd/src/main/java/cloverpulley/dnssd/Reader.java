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
 * Asks one resolver for all that is browsed, and words its answers. An instance's service and text are handed on together, and
 * after the addresses of its target: half of a new server beside half of an old one would be a third that never was. A text that
 * says that it drains is handed on at once.
 *
 * <p>Where the resolver is the zone's primary or a secondary (its answers are authoritative), nothing is asked again while the
 * zone's serial stays; where the serial grows, all of the zone is.
 */
final class Reader {

  /** The list is asked again once a serial has not been confirmed for so many polls. */
  private static final int POLLS_SURE = 3;
  /** A missing text is done without after so many failures. */
  private static final int TEXT_FAILURES = 3;
  /** Without an answer to this many queries in a row nothing is asked but the serial. */
  private static final int DOWN_AFTER = 3;
  /** A TTL of which four fifths are the poll: refreshes come at that part. */
  private static final double POLL_TTL = 1.25;

  private static final class Zone {
    long serial = -1;
    /** The newest that was seen: an older one after it may be a zone made anew, whose answers have to be told again. */
    long newest = -1;
    boolean authoritative;
    long verifiedAt = Long.MIN_VALUE / 2;
    final List<Browse> browses = new ArrayList<>();
  }

  private static final class Instance {
    final Set<String> browses = new HashSet<>();
    final String zone;
    List<SrvRecord> services;
    Map<String, String> pairs;
    int open;
    int failures;
    long ttl;
    long asked;
    long serial = -1;
    /** Its parts wait for the addresses of these. */
    final Set<String> waitsFor = new HashSet<>();

    Instance(String zone) {
      this.zone = zone;
    }
  }

  private static final class Target {
    final Set<String> users = new LinkedHashSet<>();
    final Map<Boolean, List<String>> figures = new HashMap<>();
    int open;
    int got;
    long ttl;
    long serial = -1;
    long serialAsked = -1;
  }

  /** What came of asking so far; owned by the loop. */
  static final class Counts {
    long queries;
    long failures;
    long saved;
  }

  private final int number;
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
  private final ArrayDeque<RefreshKey> first = new ArrayDeque<>();
  private final ArrayDeque<RefreshKey> queue = new ArrayDeque<>();
  private final Counts counts = new Counts();
  private int open;
  private int silent;
  private boolean pumping;
  private long now;

  Reader(int number, InetSocketAddress address, DnsSdConfig config, DnsClient client, long startMillis, long seed,
      Consumer<Observation> sink) {
    this.number = number;
    this.address = address;
    this.config = config;
    this.client = client;
    this.sink = sink;
    now = startMillis;
    refresh = new RefreshScheduler<>(startMillis, Math.min(config.leastTtlMillis(), config.pollMillis()), config.rules().longestTtlMillis(),
        config.backOffMillis(), config.mostBackOffMillis(), seed);
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

  /** Asks what is due. */
  void turn(long millis) {
    now = millis;
    refresh.forEachDue(now, this::due);
    pump();
  }

  /** Something has changed in a zone, or may have: all of it is asked for. */
  void changed(long millis, String zone) {
    now = millis;
    Zone z = zones.get(zone);
    if (z != null) {
      refresh.refreshNow(now, RefreshKey.serial(zone));
      hurry(z);
      turn(millis);
    }
  }

  /** Whether all instances that it knows have been asked for once, or it gets no answers. */
  boolean isIdle() {
    return isDown() || instances.values().stream().noneMatch(i -> i.services == null && i.failures == 0 || !i.waitsFor.isEmpty());
  }

  /** The zones that are read here. */
  Set<String> zones() {
    return zones.keySet();
  }

  /** One instance may have changed. */
  void changedInstance(long millis, String name) {
    now = millis;
    if (instances.containsKey(name)) {
      instances.get(name).serial = -1; // Asked for whatever the serial was.
      refresh.refreshNow(now, RefreshKey.instance(name));
      turn(millis);
    }
  }

  /** The addresses of a target may have changed. */
  void changedTarget(long millis, String name) {
    now = millis;
    if (targets.containsKey(name)) {
      targets.get(name).serial = -1;
      refresh.refreshNow(now, RefreshKey.target(name));
      turn(millis);
    }
  }

  /** The list of a browse may have changed. */
  void changedList(long millis, String browse) {
    now = millis;
    if (browses.containsKey(browse)) {
      listSerials.put(browse, -1L);
      refresh.refreshNow(now, RefreshKey.browse(browse));
      turn(millis);
    }
  }

  /** Whether an instance is on one of its lists. */
  boolean knows(String instance) {
    return instances.containsKey(instance);
  }

  /** The list of a browse, as it was last told. */
  Set<String> listed(String browse) {
    return listed.getOrDefault(browse, Set.of());
  }

  private void hurry(Zone z) {
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

  private boolean isDown() {
    return silent >= DOWN_AFTER;
  }

  private void due(RefreshKey key) {
    Zone z = zoneOf(key);
    if (key.kind() != RefreshKey.Kind.SERIAL && isDown()) {
      if (key.kind() == RefreshKey.Kind.BROWSE) {
        sink.accept(new BrowseFailed(number, key.name()));
      }
      refresh.failed(now, key); // The serial tells when it is back.
    } else if (z != null && key.kind() != RefreshKey.Kind.SERIAL && isSame(z, key)) {
      counts.saved++;
      refresh.answered(now, key, ttlOf(key));
    } else if (key.kind() == RefreshKey.Kind.SERIAL || key.kind() == RefreshKey.Kind.BROWSE) {
      first.add(key);
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

  /** Whether what was heard of it is from the zone as it still is. */
  private boolean isSame(Zone z, RefreshKey key) {
    long serial = switch (key.kind()) {
      case BROWSE -> listSerials.getOrDefault(key.name(), -1L);
      case INSTANCE -> instances.get(key.name()).serial;
      case TARGET -> targets.containsKey(key.name()) ? targets.get(key.name()).serial : -1;
      case SERIAL -> -1;
    };
    return z.authoritative && !Serial.isOlder(z.serial, z.newest) && serial >= 0 && serial == z.serial && now - z.verifiedAt < POLLS_SURE * config.pollMillis();
  }

  private long ttlOf(RefreshKey key) {
    return switch (key.kind()) {
      case INSTANCE -> instances.get(key.name()).ttl;
      case TARGET -> targets.get(key.name()).ttl;
      default -> config.rules().longestTtlMillis();
    };
  }

  // ---- Asking --------------------------------------------------------------------------------------------

  private void pump() {
    if (pumping) {
      return; // An answer may come from within a question: what is left is asked by the loop below.
    }
    pumping = true;
    while (open < config.inFlight() && !(first.isEmpty() && queue.isEmpty())) {
      RefreshKey key = first.isEmpty() ? queue.poll() : first.poll();
      switch (key.kind()) {
        case SERIAL -> ask(key.name(), Type.SOA, (a, why) -> onSerial(key, a));
        case BROWSE -> {
          long serial = zones.get(browses.get(key.name()).zone()).serial;
          ask(key.name(), Type.PTR, (a, why) -> onBrowse(key, a, serial));
        }
        case INSTANCE -> askInstance(key);
        case TARGET -> askTarget(key);
      }
    }
    pumping = false;
  }

  private interface Done {
    /** {@code answer} is null where none came. */
    void done(Answer answer, String why);
  }

  private void ask(String text, int type, Done done) {
    Name name;
    try {
      name = Name.fromString(text);
    } catch (TextParseException e) {
      throw new IllegalStateException(e); // It has been a name before.
    }
    open++;
    counts.queries++;
    UpstreamQuery.Spec asked = new UpstreamQuery.Spec(null, new Question(name.toWire(), type, Message.IN), Message.RD, false, false);
    client.query(number, address, asked, TimeUnit.MILLISECONDS.toNanos(config.askMillis()), (status, message, why) -> {
      open--;
      Answer answer = null;
      String told = why;
      if (status == Status.SERVED) {
        try {
          answer = new Answer(message.bytes(), name, type);
        } catch (IOException e) {
          told = e.getMessage();
        }
      }
      silent = status == Status.SERVED ? 0 : silent + 1;
      if (answer == null) {
        counts.failures++;
      }
      done.done(answer, told);
    });
  }

  // ---- Answers -------------------------------------------------------------------------------------------

  private void onSerial(RefreshKey key, Answer a) {
    Zone z = zones.get(key.name());
    long pollTtl = (long) (config.pollMillis() * POLL_TTL);
    if (a == null) {
      z.authoritative = false;
      refresh.failed(now, key);
      pump();
      return;
    }
    long before = z.serial;
    boolean was = z.authoritative;
    z.serial = a.serial();
    z.newest = z.newest < 0 || Serial.isOlder(z.newest, z.serial) ? z.serial : z.newest;
    z.authoritative = a.isAuthoritative() && z.serial >= 0;
    refresh.answered(now, key, pollTtl);
    if (z.authoritative) {
      z.browses.forEach(b -> sink.accept(new ZoneSerial(number, b.name(), z.serial)));
    }
    if (z.serial != before || !was) {
      hurry(z);
    } else if (z.authoritative) {
      z.verifiedAt = now;
      for (Browse b : z.browses) {
        if (listSerials.getOrDefault(b.name(), -1L) == z.serial) {
          sink.accept(new Unchanged(number, b.name(), Math.max(config.leastTtlMillis(), POLLS_SURE * config.pollMillis())));
        }
      }
    }
    if (z.authoritative) {
      z.verifiedAt = now;
    }
    turn(now);
  }

  private void onBrowse(RefreshKey key, Answer a, long serial) {
    Browse b = browses.get(key.name());
    if (a == null) {
      sink.accept(new BrowseFailed(number, key.name()));
      refresh.failed(now, key);
      pump();
      return;
    }
    Zone z = zones.get(b.zone());
    Set<String> names = a.pointers();
    Set<String> before = listed.getOrDefault(key.name(), Set.of());
    listed.put(key.name(), names);
    listSerials.put(key.name(), z.authoritative ? serial : -1L);
    before.forEach(n -> {
      if (!names.contains(n)) {
        leave(n, key.name());
      }
    });
    long ttl = Math.max(config.leastTtlMillis(), a.ttlMillis());
    // The list before the parts: of what no list names nothing is kept.
    sink.accept(new Browsed(number, key.name(), names, z.authoritative ? serial : -1, Math.max(ttl, POLLS_SURE * config.pollMillis())));
    Map<String, Answer.Beside> beside = beside(a, names, b);
    int most = config.rules().maxInstances();
    for (String n : names) {
      Instance i = instances.get(n);
      if (i == null && instances.size() >= most) {
        continue; // The module counts them and says so.
      } else if (i == null) {
        i = new Instance(b.zone());
        instances.put(n, i);
      }
      i.browses.add(key.name());
      Answer.Beside came = beside.get(n);
      if (came != null && i.open == 0) {
        take(n, i, came, serial);
      } else {
        refresh.addIfAbsent(now, RefreshKey.instance(n));
      }
    }
    refresh.answered(now, key, z.authoritative ? ttl : Math.min(ttl, (long) (config.pollMillis() * POLL_TTL)));
    turn(now);
  }

  private static Map<String, Answer.Beside> beside(Answer a, Set<String> names, Browse b) {
    try {
      return a.beside(names, Name.fromString(b.zone()));
    } catch (TextParseException e) {
      throw new IllegalStateException(e);
    }
  }

  /** All parts of an instance have come with the list. */
  private void take(String name, Instance i, Answer.Beside came, long serial) {
    i.services = came.services();
    i.pairs = came.pairs();
    i.ttl = Math.max(config.leastTtlMillis(), came.ttlMillis());
    i.serial = serial;
    for (SrvRecord s : i.services) {
      Target t = targets.computeIfAbsent(s.target(), x -> new Target());
      t.users.add(name);
      t.ttl = i.ttl;
      t.serial = serial;
      refresh.addIfAbsent(now, RefreshKey.target(s.target()));
      refresh.answered(now, RefreshKey.target(s.target()), i.ttl);
      for (boolean six : new boolean[] {false, true}) {
        List<String> figures = (six ? came.ipv6() : came.ipv4()).getOrDefault(s.target(), List.of());
        t.figures.put(six, figures);
        sink.accept(new Addresses(number, s.target(), six, figures));
      }
    }
    sink.accept(new ServiceRecords(number, name, i.services));
    sink.accept(new TextRecord(number, name, i.pairs));
    refresh.addIfAbsent(now, RefreshKey.instance(name));
    refresh.answered(now, RefreshKey.instance(name), i.ttl);
  }

  private void leave(String name, String browse) {
    Instance i = instances.get(name);
    if (i == null || !i.browses.remove(browse) || !i.browses.isEmpty()) {
      return;
    }
    instances.remove(name);
    refresh.cancel(RefreshKey.instance(name));
    if (i.services != null) {
      i.services.forEach(s -> unuse(name, s.target()));
    }
  }

  private void unuse(String name, String target) {
    Target t = targets.get(target);
    if (t != null && t.users.remove(name) && t.users.isEmpty()) {
      targets.remove(target);
      refresh.cancel(RefreshKey.target(target));
      sink.accept(new Addresses(number, target, false, List.of()));
      sink.accept(new Addresses(number, target, true, List.of()));
    }
  }

  private void askInstance(RefreshKey key) {
    Instance i = instances.get(key.name());
    if (i == null) {
      return; // It has left the list since.
    }
    i.open = 2;
    i.asked = zones.get(i.zone).serial;
    List<List<SrvRecord>> services = new ArrayList<>();
    List<Map<String, String>> pairs = new ArrayList<>();
    long[] ttl = {Long.MAX_VALUE};
    ask(key.name(), Type.SRV, (a, why) -> {
      if (a != null) {
        services.add(a.services());
        ttl[0] = Math.min(ttl[0], a.ttlMillis());
      }
      part(key, i, services, pairs, ttl[0]);
    });
    ask(key.name(), Type.TXT, (a, why) -> {
      if (a != null) {
        pairs.add(a.pairs());
        ttl[0] = Math.min(ttl[0], a.ttlMillis());
        // Rule 3: what says that it drains waits for nothing.
        if (config.keys().parse(a.pairs()).draining() && instances.get(key.name()) == i && i.services != null) {
          sink.accept(new TextRecord(number, key.name(), a.pairs()));
        }
      }
      part(key, i, services, pairs, ttl[0]);
    });
  }

  private void part(RefreshKey key, Instance i, List<List<SrvRecord>> services, List<Map<String, String>> pairs, long ttl) {
    if (--i.open > 0 || instances.get(key.name()) != i) {
      pump();
      return;
    }
    boolean noText = pairs.isEmpty() && i.pairs == null && i.failures + 1 >= TEXT_FAILURES;
    if (services.isEmpty() || pairs.isEmpty() && !noText) {
      i.failures++;
      refresh.failed(now, key);
      pump();
      return;
    }
    i.failures = 0;
    i.serial = i.asked;
    i.ttl = Math.max(config.leastTtlMillis(), ttl);
    refresh.answered(now, key, i.ttl);
    List<SrvRecord> before = i.services == null ? List.of() : i.services;
    i.services = services.get(0);
    i.pairs = pairs.isEmpty() ? Map.of() : pairs.get(0);
    i.waitsFor.clear();
    for (SrvRecord s : i.services) {
      targets.computeIfAbsent(s.target(), t -> new Target()).users.add(key.name());
      refresh.addIfAbsent(now, RefreshKey.target(s.target()));
      if (refresh.isPending(now, RefreshKey.target(s.target()))) {
        i.waitsFor.add(s.target());
      }
    }
    for (SrvRecord s : before) {
      if (i.services.stream().noneMatch(x -> x.target().equals(s.target()))) {
        unuse(key.name(), s.target());
      }
    }
    if (i.waitsFor.isEmpty()) {
      handOn(key.name(), i);
    }
    turn(now);
  }

  private void handOn(String name, Instance i) {
    sink.accept(new ServiceRecords(number, name, i.services));
    sink.accept(new TextRecord(number, name, i.pairs));
  }

  private void askTarget(RefreshKey key) {
    Target t = targets.get(key.name());
    if (t == null) {
      return;
    }
    t.open = 2;
    t.got = 0;
    Zone z = zoneOf(key);
    t.serialAsked = z == null ? -1 : z.serial;
    long[] ttl = {Long.MAX_VALUE};
    for (boolean six : new boolean[] {false, true}) {
      ask(key.name(), six ? Type.AAAA : Type.A, (a, why) -> {
        if (a != null) {
          t.got++;
          t.figures.put(six, a.addresses());
          // One family that is not there says nothing of how long the other is good.
          ttl[0] = a.addresses().isEmpty() ? ttl[0] : Math.min(ttl[0], a.ttlMillis());
        }
        family(key, t, ttl[0]);
      });
    }
  }

  private void family(RefreshKey key, Target t, long ttl) {
    if (--t.open > 0 || targets.get(key.name()) != t) {
      pump();
      return;
    }
    if (t.got == 0) {
      refresh.failed(now, key);
    } else {
      t.serial = t.got == 2 ? t.serialAsked : -1;
      t.ttl = Math.max(config.leastTtlMillis(), ttl == Long.MAX_VALUE ? 0 : ttl);
      refresh.answered(now, key, t.ttl);
      t.figures.forEach((six, figures) -> sink.accept(new Addresses(number, key.name(), six, figures)));
    }
    // What waited goes on in any case: with the addresses that are known, or none.
    for (String user : List.copyOf(t.users)) {
      Instance i = instances.get(user);
      if (i != null && i.waitsFor.remove(key.name()) && i.waitsFor.isEmpty() && i.open == 0) {
        handOn(user, i);
      }
    }
    turn(now);
  }
}
