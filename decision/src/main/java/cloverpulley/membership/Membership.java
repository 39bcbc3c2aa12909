package cloverpulley.membership;

import cloverpulley.membership.Instance.Word;
import cloverpulley.membership.Member.Phase;
import cloverpulley.membership.Observation.Addresses;
import cloverpulley.membership.Observation.BrowseFailed;
import cloverpulley.membership.Observation.Browsed;
import cloverpulley.membership.Observation.ConnectionProbe;
import cloverpulley.membership.Observation.Pushed;
import cloverpulley.membership.Observation.ServiceRecords;
import cloverpulley.membership.Observation.TextRecord;
import cloverpulley.membership.Observation.Unchanged;
import cloverpulley.membership.Observation.ZoneSerial;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * Decides which servers there are. Observations come in one by one; {@link #reconcile} then says what has changed. What an
 * observation costs grows with what it changes, not with the fleet; a browse costs as much as its answer is long.
 *
 * <ul>
 * <li>A word that an instance drains or is gone counts at once, from whoever says it first, and against all who say otherwise.
 * <li>An answer that takes away more of the fleet than {@link Rules#floorShare} allows counts once enough others say the same.
 * <li>What one resolver alone adds stays within its weight while others speak.
 * <li>Silence changes nothing until {@link Rules#staleMillis}.
 * </ul>
 */
public final class Membership {

  /** The fleet's size is compared with the most that served within one to two of these. */
  private static final long REFERENCE_MILLIS = 30_000;

  /** A guard against a fault here: a change of one server bears on those at its address, and they on nobody else. */
  private static final int MOST_ROUNDS = 10_000;
  private static final long AGAIN_MILLIS = 1000;
  private static final double USUAL_WEIGHT = 100;
  private static final double MOST_SIZE = 1000;

  private record Timer(long at, String instance) {}

  private final Rules rules;
  private final TextKeys keys;
  private final View[] views;
  private final Map<String, Instance> instances = new HashMap<>();
  private final Map<String, Set<String>> instancesOfTarget = new HashMap<>();
  private final Map<String, List<Instance>> byAddress = new HashMap<>();
  private final TreeMap<Integer, LinkedHashSet<Instance>> byPriority = new TreeMap<>();
  private final Map<Integer, Integer> ableByPriority = new HashMap<>();
  private final LinkedHashSet<Instance> dirty = new LinkedHashSet<>();
  /** Named by too few for now, first come first. */
  private final LinkedHashSet<Instance> waiting = new LinkedHashSet<>();
  /** Of the list held over a restart, until every resolver has spoken of them. */
  private final LinkedHashSet<Instance> heldOnly = new LinkedHashSet<>();
  /** Missed by an answer that is not believed. */
  private final LinkedHashSet<Instance> suspects = new LinkedHashSet<>();
  private final PriorityQueue<Timer> timers = new PriorityQueue<>(Comparator.comparingLong(Timer::at));
  private final int[] lone;
  /** When each domain was first listed by all who are asked. */
  private final Map<String, Long> firstLists = new HashMap<>();
  private final Set<String> problems = new LinkedHashSet<>();
  private long startedAt = -1;
  private long settledAt = -1;
  private boolean waitingLooked;
  private int known;
  private int corroborated;
  /** Withdrawn on the word of some while others still name them. */
  private int contested;
  private int capBase = -1;
  private int serving;
  private int activePriority = Integer.MAX_VALUE;
  private long referenceAt;
  private int referenceNow;
  private int referenceBefore;
  private long ignored;

  public Membership(Rules rules, TextKeys keys) {
    this.rules = rules;
    this.keys = keys;
    views = new View[rules.resolvers()];
    for (int i = 0; i < views.length; i++) {
      views[i] = new View();
    }
    lone = new int[views.length];
  }

  // ---- What has been seen --------------------------------------------------------------------------------

  /**
   * A server of the list held over a restart: believed until somebody who should know it says otherwise.
   *
   * @param priority of its service record, which decides whether it is a reserve
   */
  public void restoreCached(long now, Member m, String domain, int priority, String bootId) {
    start(now);
    Instance i = instance(m.instance(), domain, now);
    if (i == null || i.believed) {
      return;
    }
    TextKeys.Attributes text = new TextKeys.Attributes(m.zone(), "", m.cell(), m.size(), m.phase() == Phase.DRAINING, started(bootId), bootId, Map.of(), List.of());
    i.believed = true;
    heldOnly.add(i);
    i.upSince = m.upSince();
    i.draining = m.phase() == Phase.DRAINING;
    i.lastDrainWordAt = now;
    i.say(ChangeReason.HELD_LIST, -1);
    corroborated++;
    known++;
    become(i, new Incarnation(new SrvRecord(priority, 0, m.target(), m.port()), m.address(), text), now);
    touch(i);
  }

  private static long started(String bootId) {
    return bootId.matches("\\d{1,15}") ? Long.parseLong(bootId) : 0;
  }

  /** Takes one observation in; {@link #reconcile} says what comes of it. */
  public void observe(long now, Observation o) {
    start(now);
    if (o instanceof Browsed b) {
      onBrowsed(now, b);
    } else if (o instanceof Pushed p) {
      onPushed(now, p);
    } else if (o instanceof Unchanged u) {
      onUnchanged(now, u);
    } else if (o instanceof BrowseFailed f) {
      views[f.resolver()].domain(f.domain()).failed = true;
    } else if (o instanceof ZoneSerial z) {
      View.Domain d = views[z.resolver()].domain(z.domain());
      if (z.serial() >= 0 && !isOutdated(now, z.domain(), z.serial(), d)) {
        d.outdatedSince = -1;
        d.serial = z.serial();
      }
    } else if (o instanceof ServiceRecords s) {
      onService(s);
    } else if (o instanceof TextRecord t) {
      if (!instances.containsKey(t.instance())) {
        return; // Nothing is kept of what no list names.
      }
      TextKeys.Attributes read = keys.parse(t.pairs());
      // Leaving is not taken back by a zone that is late; it may be late in saying it.
      if (!read.draining() && isFromOutdated(t.resolver(), t.instance())) {
        ignored++;
        return;
      }
      if (!read.equals(views[t.resolver()].texts.put(t.instance(), read))) {
        read.problems().forEach(p -> problem(t.instance() + " " + p));
        touch(instances.get(t.instance()));
      }
    } else if (o instanceof Addresses a) {
      if (instancesOfTarget.getOrDefault(a.target(), Set.of()).stream().anyMatch(n -> isFromOutdated(a.resolver(), n))) {
        ignored++;
        return;
      }
      if (views[a.resolver()].addresses(a.target(), a.ipv6(), List.copyOf(a.addresses()))) {
        instancesOfTarget.getOrDefault(a.target(), Set.of()).forEach(n -> touch(instances.get(n)));
      }
    } else if (o instanceof ConnectionProbe c) {
      onContact(now, c);
    }
  }

  private void onService(ServiceRecords s) {
    if (!instances.containsKey(s.instance())) {
      return; // Nothing is kept of what no list names.
    } else if (isFromOutdated(s.resolver(), s.instance())) {
      ignored++;
      return;
    }
    List<SrvRecord> before = views[s.resolver()].services.put(s.instance(), List.copyOf(s.records()));
    if (s.records().equals(before)) {
      return;
    }
    s.records().forEach(r -> instancesOfTarget.computeIfAbsent(r.target(), t -> new HashSet<>()).add(s.instance()));
    if (before != null) {
      before.forEach(r -> unlink(r.target(), s.instance()));
    }
    touch(instances.get(s.instance()));
  }

  /** Guards memory against targets that come and go under one name: one that no resolver gives it any more is forgotten. */
  private void unlink(String target, String instance) {
    for (View v : views) {
      if (v.services.getOrDefault(instance, List.of()).stream().anyMatch(r -> r.target().equals(target))) {
        return;
      }
    }
    Set<String> users = instancesOfTarget.get(target);
    if (users != null && users.remove(instance) && users.isEmpty()) {
      instancesOfTarget.remove(target);
      for (View v : views) {
        v.forgetAddresses(target);
      }
    }
  }

  /** Names, records and addresses that are kept, of all resolvers; for tests of its bounds. */
  int retainedEntries() {
    int n = instances.size() + instancesOfTarget.size();
    for (View v : views) {
      n += v.size();
    }
    return n;
  }

  /** Whether a resolver answers from an outdated zone, as far as an instance that is known is concerned. */
  private boolean isFromOutdated(int resolver, String instance) {
    Instance i = instances.get(instance);
    View.Domain d = i == null ? null : views[resolver].domains.get(i.domain);
    return d != null && d.outdatedSince >= 0;
  }

  private void start(long now) {
    if (startedAt < 0) {
      startedAt = now;
      referenceAt = now;
      timers.add(new Timer(now + rules.firstWaitMillis(), null));
    }
  }

  private void problem(String text) {
    if (problems.size() < 1000) {
      problems.add(text);
    }
  }

  private Instance instance(String name, String domain, long now) {
    Instance i = instances.get(name);
    if (i == null) {
      if (instances.size() >= rules.maxInstances()) {
        problem(name + " " + ChangeReason.TOO_MANY.code());
        return null;
      }
      i = new Instance(name, domain, views.length);
      i.firstHeardAt = now;
      instances.put(name, i);
    }
    return i;
  }

  private void touch(Instance i) {
    if (i != null) {
      dirty.add(i);
    }
  }

  /** Looks at it again then; what should have come about by now and hasn't is looked at in a while. */
  private void timer(Instance i, long wanted) {
    long at = wanted > settledAt ? wanted : settledAt + AGAIN_MILLIS;
    if (at < i.timerAt) {
      i.timerAt = at;
      timers.add(new Timer(at, i.name));
    }
  }

  private long clamp(long ttl) {
    return Math.max(1, Math.min(ttl, rules.longestTtlMillis()));
  }

  private void onBrowsed(long now, Browsed b) {
    View.Domain d = views[b.resolver()].domain(b.domain());
    d.failed = false;
    if (b.serial() >= 0 && isOutdated(now, b.domain(), b.serial(), d)) {
      ignored++;
      return;
    }
    boolean wasLive = d.isLive(now);
    d.outdatedSince = -1;
    d.serial = b.serial() >= 0 ? b.serial() : d.serial;
    d.at = now;
    d.expires = now + clamp(b.ttlMillis());
    Set<String> before = d.names;
    Set<String> names = new HashSet<>(b.names());
    List<Instance> missed = new ArrayList<>();
    before.forEach(n -> {
      if (!names.contains(n) && instances.containsKey(n)) {
        missed.add(instances.get(n));
      }
    });
    for (Instance i : heldOnly) {
      if (i.domain.equals(b.domain()) && !names.contains(i.name) && i.words[b.resolver()].absentSince < 0
          && !before.contains(i.name)) {
        missed.add(i);
      }
    }
    // What was doubted is judged anew with each answer that still lacks it: beside fewer others it may be believed.
    for (Instance i : suspects) {
      if (i.domain.equals(b.domain()) && i.words[b.resolver()].absentSince >= 0 && !names.contains(i.name)) {
        missed.add(i);
      }
    }
    // An answer that has none of those who serve is as empty as one that has nobody.
    boolean empty = names.stream().noneMatch(n -> isSure(n, b.resolver()));
    boolean suspect = isTooMuch(now, missed, empty);
    for (Instance i : missed) {
      absent(now, i, b.resolver(), suspect, empty);
    }
    d.names = names;
    List<String> fresh = new ArrayList<>();
    for (String n : names) {
      if (before.contains(n) && instances.containsKey(n)) {
        listed(now, b.resolver(), b.domain(), n, wasLive);
      } else {
        fresh.add(n);
      }
    }
    // In order: which of too many get in has to be the same at every reader.
    fresh.sort(Comparator.naturalOrder());
    fresh.forEach(n -> listed(now, b.resolver(), b.domain(), n, false));
    noteFirstList(now, b.domain());
    onLists();
  }

  private void listed(long now, int resolver, String domain, String name, boolean before) {
    Instance i = instance(name, domain, now);
    if (i == null) {
      return;
    }
    Word w = i.words[resolver];
    if (!before || !w.listed) {
      w.listedAt = w.listed ? w.listedAt : now;
      w.listed = true;
      w.absentSince = -1;
      w.suspect = false;
      if (i.goneAt >= 0 && !i.believed) {
        i.goneAt = -1;
      }
      touch(i);
    } else if (i.withdrawn || i.draining) {
      touch(i);
    }
  }

  private void absent(long now, Instance i, int resolver, boolean suspect, boolean empty) {
    Word w = i.words[resolver];
    w.listed = false;
    if (i.now != null && i.now.identity().equals(w.said)) {
      i.incarnationNamedAt = now;
    }
    w.absentSince = w.absentSince < 0 ? now : w.absentSince;
    w.suspect = suspect;
    w.empty = empty;
    i.lastAbsentAt = suspect ? i.lastAbsentAt : now;
    if (suspect) {
      suspects.add(i);
    }
    touch(i);
  }

  /** Whether an answer that lacks these leaves less than the fleet may shrink to on one word. */
  private boolean isTooMuch(long now, List<Instance> missed, boolean empty) {
    int lost = able(missed);
    // What is contested counts as there: else one resolver could take the fleet away bit by bit.
    int most = Math.max(reference(now), able() + contested);
    return lost > 0 && (empty || able() - lost < Math.ceil(rules.floorShare() * most));
  }

  /** Whether an instance is believed on more than this resolver's word. */
  private boolean isSure(String name, int resolver) {
    Instance i = instances.get(name);
    return i != null && i.believed && (views.length == 1 || i.loneBy != resolver);
  }

  private static int able(List<Instance> some) {
    int n = 0;
    for (Instance i : some) {
      n += i.believed && !i.withdrawn && !i.draining ? 1 : 0;
    }
    return n;
  }

  private int able() {
    return ableByPriority.values().stream().mapToInt(n -> n).sum();
  }

  private int reference(long now) {
    if (now - referenceAt >= REFERENCE_MILLIS) {
      referenceBefore = now - referenceAt >= 2 * REFERENCE_MILLIS ? able() : referenceNow;
      referenceNow = able();
      referenceAt = now;
    }
    referenceNow = Math.max(referenceNow, able());
    return Math.max(referenceNow, referenceBefore);
  }

  /**
   * Guards against a resolver that has lost touch with its primary: a zone older than one that as many have shown as have to
   * agree is no news. Who shows an old one for longer than any cache lives has a zone that was made anew.
   */
  private boolean isOutdated(long now, String domain, long serial, View.Domain d) {
    boolean older = d.serial >= 0 && Serial.isOlder(serial, d.serial);
    int newer = 0;
    for (View v : views) {
      View.Domain other = v.domain(domain);
      newer += other != d && other.serial >= 0 && other.outdatedSince < 0 && Serial.isOlder(serial, other.serial) ? 1 : 0;
    }
    if (!older && newer < Math.max(rules.witnesses(), 2)) {
      return false;
    }
    if (d.outdatedSince < 0) {
      d.outdatedSince = now;
    }
    return now - d.outdatedSince < rules.longestTtlMillis() || newer >= Math.max(rules.witnesses(), 2);
  }

  private void onPushed(long now, Pushed p) {
    View.Domain d = views[p.resolver()].domain(p.domain());
    if (p.added()) {
      boolean before = !d.names.add(p.instance());
      listed(now, p.resolver(), p.domain(), p.instance(), before);
    } else if (d.names.remove(p.instance()) && instances.containsKey(p.instance())) {
      Instance i = instances.get(p.instance());
      absent(now, i, p.resolver(), isTooMuch(now, List.of(i), d.names.isEmpty()), d.names.isEmpty());
    }
    onLists();
  }

  private void onUnchanged(long now, Unchanged u) {
    View.Domain d = views[u.resolver()].domain(u.domain());
    if (d.at >= 0 && d.outdatedSince < 0) {
      d.failed = false;
      if (!d.isLive(now)) {
        d.names.forEach(n -> touch(instances.get(n)));
      }
      d.at = now;
      d.expires = now + clamp(u.ttlMillis());
      suspects.forEach(this::touch);
    }
  }

  /** Whether instances wait for a second word depends on who has spoken at all. */
  private void onLists() {
    waitingLooked = true;
  }

  private void onContact(long now, ConnectionProbe c) {
    Instance i = instances.get(c.instance());
    if (i == null || i.now == null || !i.now.attributes().bootId().isEmpty()) {
      return; // Who says when it started is believed in that.
    }
    if (c.up() && i.refused) {
      i.upSince = now;
      i.say(ChangeReason.RESTARTED, -1);
      touch(i);
    }
    i.refused = !c.up();
  }

  // ---- What comes of it ----------------------------------------------------------------------------------

  /** The next time at which something changes though nothing is said; {@link Long#MAX_VALUE} for none. */
  public long nextTimerAt() {
    return timers.isEmpty() ? Long.MAX_VALUE : timers.peek().at;
  }

  /** Draws the conclusions of all that was observed, and of the time that has passed. */
  public void reconcile(long now, Consumer<Change> out) {
    start(now);
    settledAt = now;
    while (!timers.isEmpty() && timers.peek().at <= now) {
      Timer t = timers.poll();
      Instance i = t.instance == null ? null : instances.get(t.instance);
      if (t.instance == null) {
        waitingLooked = true;
      } else if (i != null) {
        i.timerAt = i.timerAt <= now ? Long.MAX_VALUE : i.timerAt;
        touch(i);
      }
    }
    reference(now);
    int rounds = 0;
    // It ends: each round lets in some that waited, or has nothing more to look at.
    do {
      while (!dirty.isEmpty()) {
        List<Instance> round = List.copyOf(dirty);
        dirty.clear();
        if (++rounds > MOST_ROUNDS) {
          throw new IllegalStateException("no end of conclusions on " + round.get(0).name + ": " + explain(now, round.get(0).name)
              + (round.size() > 1 ? " and " + explain(now, round.get(1).name) : ""));
        }
        round.forEach(i -> evaluate(now, i));
        round.forEach(i -> show(now, i, out));
      }
      if (waitingLooked || capBase != corroborated) {
        waitingLooked = false;
        capBase = corroborated;
        for (Instance i : List.copyOf(waiting)) {
          believe(now, i);
          if (i.believed) {
            touch(i);
          }
        }
      }
      rank(now, out);
    } while (!dirty.isEmpty());
  }

  private void evaluate(long now, Instance i) {
    if (i.goneAt >= 0 && !i.isListed()) {
      if (now - i.goneAt >= rules.longestTtlMillis()) {
        forget(i);
      } else {
        timer(i, i.goneAt + rules.longestTtlMillis());
      }
      return;
    }
    incarnate(now, i);
    drain(now, i);
    if (i.believed) {
      withdraw(now, i);
    }
    believe(now, i);
    if (heldOnly.contains(i) && spokenOf(i)) {
      heldOnly.remove(i);
    }
  }

  private boolean spokenOf(Instance i) {
    for (Word w : i.words) {
      if (!w.listed && w.absentSince < 0) {
        return false;
      }
    }
    return true;
  }

  private boolean live(int resolver, Instance i, long now) {
    View.Domain d = views[resolver].domains.get(i.domain);
    return d != null && d.isLive(now);
  }

  private int namedBy(Instance i, long now) {
    int n = 0;
    for (int r = 0; r < views.length; r++) {
      n += i.words[r].listed && live(r, i, now) ? 1 : 0;
    }
    return n;
  }

  /** Resolvers whose latest list, still good, lacks it. */
  private int missedBy(Instance i, long now) {
    int n = 0;
    for (int r = 0; r < views.length; r++) {
      n += !i.words[r].listed && live(r, i, now) ? 1 : 0;
    }
    return n;
  }

  // ---- Which life ----------------------------------------------------------------------------------------

  private void incarnate(long now, Instance i) {
    Incarnation present = null;
    Incarnation next = null;
    int presentBy = -1;
    int nextBy = -1;
    for (int r = 0; r < views.length; r++) {
      Incarnation said = i.words[r].listed ? views[r].incarnation(i.name, i.now == null ? null : i.now.address()) : null;
      if (said == null) {
        continue;
      } else if (i.now != null && said.isSame(i.now)) {
        if (i.words[r].said == null || i.words[r].turned) {
          i.words[r].said = i.now.identity();
          i.words[r].turned = false;
        }
        if (present == null) {
          present = said;
          presentBy = r;
        }
        continue;
      } else if (next == null || isBetter(now, i, said, next)) {
        next = said;
        nextBy = r;
      }
      if (i.now != null && !i.words[r].turned && i.now.identity().equals(i.words[r].said)) {
        i.words[r].turned = true;
        i.incarnationNamedAt = now;
      }
    }
    if (i.now == null && next != null) {
      i.upSince = upSince(now, i, next);
      become(i, next, now);
      return;
    }
    if (i.now == null) {
      i.say(ChangeReason.INCOMPLETE, -1);
      return;
    }
    if (present != null) {
      i.incarnationNamedAt = now;
    }
    if (next != null && isNews(now, i, present, next, nextBy)) {
      succeed(now, i, next, nextBy);
    } else if (present != null && !present.equals(i.now)) {
      boolean moved = !present.address().equals(i.now.address());
      if (i.believed && !i.withdrawn && !i.draining) {
        i.say(moved ? ChangeReason.RENUMBERED : i.why == ChangeReason.HELD_LIST ? ChangeReason.CORROBORATED : ChangeReason.CHANGED, presentBy);
      }
      become(i, present, now);
    }
  }

  /** Of two lives that aren't the present one: not one that has ended, the newer start, else the first heard. */
  private boolean isBetter(long now, Instance i, Incarnation said, Incarnation best) {
    boolean saidEnded = hasEnded(now, i, said);
    return saidEnded == hasEnded(now, i, best) ? best.isOlder(said) : !saidEnded;
  }

  /** Whether it is a life that is over, of which some cache may still speak. */
  private boolean hasEnded(long now, Instance i, Incarnation x) {
    long ended = i.ended(x.identity());
    return ended >= 0 && now - ended < rules.longestTtlMillis();
  }

  /** Whether another life than the present one is to be believed. */
  private boolean isNews(long now, Instance i, Incarnation present, Incarnation next, int by) {
    long past = i.incarnationNamedAt + rules.longestTtlMillis();
    if (hasEnded(now, i, next) || next.isOlder(i.now)) {
      // Guards against a stale cache: an older life comes back only once nobody can know of the newer one any more.
      if (present == null && now < past) {
        timer(i, past);
      }
      return present == null && now >= past;
    }
    int witnesses = agreeing(now, i, next);
    boolean newer = present == null || i.now.isOlder(next) || hasTurned(i, next) || witnesses > agreeing(now, i, present);
    if (!newer || !i.believed || views.length == 1 || witnesses >= rules.witnesses()) {
      return newer;
    }
    // One resolver says so: within what its word may change alone, or where no other speaks.
    boolean alone = i.loneBy == by || lone[by] < cap(now, by, i) || othersSilent(now, i, by) && isSolo(now, i, by);
    if (!alone) {
      timer(i, now + rules.loneWaitMillis() + 1);
    }
    return alone;
  }

  /** Whether somebody who named the present life now names this one: it knows of both. */
  private boolean hasTurned(Instance i, Incarnation next) {
    for (int r = 0; r < views.length; r++) {
      Incarnation said = i.words[r].listed && i.now.identity().equals(i.words[r].said) ? views[r].incarnation(i.name, next.address()) : null;
      if (said != null && said.isSame(next)) {
        return true;
      }
    }
    return false;
  }

  private void succeed(long now, Instance i, Incarnation next, int by) {
    i.supersede(i.now.identity(), now);
    i.forgetEnd(next.identity());
    i.draining = false;
    i.drainBy = -1;
    for (Word w : i.words) {
      w.drains = false;
      w.said = null;
      w.turned = false;
    }
    i.refused = false;
    i.upSince = next.attributes().started() > 0 ? upSince(now, i, next) : now;
    if (i.believed) {
      i.say(ChangeReason.SUCCEEDED, by);
      if (views.length > 1 && i.loneBy < 0 && agreeing(now, i, next) < rules.witnesses()) {
        corroborated--;
        lone[by]++;
        i.loneBy = by;
      }
    }
    become(i, next, now);
  }

  /** Resolvers that speak and say that it is this server. */
  private int agreeing(long now, Instance i, Incarnation x) {
    int n = 0;
    for (int r = 0; r < views.length; r++) {
      Incarnation said = i.words[r].listed && live(r, i, now) ? views[r].incarnation(i.name, x.address()) : null;
      n += said != null && said.isSame(x) ? 1 : 0;
    }
    return n;
  }

  /**
   * When a server counts as started on the reader's clock. Guards rule 4 against clocks that differ: a start is taken as late as
   * the publisher's clock may be behind, and never as in the future.
   */
  private long upSince(long now, Instance i, Incarnation x) {
    if (x.attributes().started() > 0) {
      return Math.min(now, x.attributes().started() + rules.clockSkewMillis());
    }
    return isFirst(i) ? 0 : now;
  }

  /** Whether it was there when this reader began to look, as far as anybody knows. */
  private boolean isFirst(Instance i) {
    long until = firstLists.getOrDefault(i.domain, Long.MAX_VALUE);
    return !i.wasGone && i.firstHeardAt <= Math.min(until, startedAt + rules.firstWaitMillis());
  }

  /** Notes when a domain has been listed by all who are asked, those aside who can't say: what comes later has come since. */
  private void noteFirstList(long now, String domain) {
    if (firstLists.containsKey(domain)) {
      return;
    }
    boolean answered = false;
    for (View v : views) {
      View.Domain d = v.domains.get(domain);
      if (d == null || !d.hasSpoken()) {
        return;
      }
      answered |= d.at >= 0;
    }
    if (answered) {
      firstLists.put(domain, now);
    }
  }

  private void become(Instance i, Incarnation next, long now) {
    boolean same = i.now != null && i.now.isSame(next);
    unindex(i);
    if (!same) {
      i.incarnationNamedAt = now;
    }
    i.now = next;
    index(i);
  }

  private void index(Instance i) {
    if (i.now != null && i.believed) {
      i.addressKey = i.now.addressAndPort();
      List<Instance> same = byAddress.computeIfAbsent(i.addressKey, k -> new ArrayList<>(1));
      same.add(i);
      same.forEach(other -> {
        if (other != i) {
          touch(other);
        }
      });
      byPriority.computeIfAbsent(i.now.srv().priority(), p -> new LinkedHashSet<>()).add(i);
    }
  }

  private void unindex(Instance i) {
    if (i.addressKey != null) {
      List<Instance> same = byAddress.get(i.addressKey);
      same.remove(i);
      same.forEach(this::touch);
      if (same.isEmpty()) {
        byAddress.remove(i.addressKey);
      }
      LinkedHashSet<Instance> equals = byPriority.get(i.now.srv().priority());
      equals.remove(i);
      if (equals.isEmpty()) {
        byPriority.remove(i.now.srv().priority());
      }
      i.addressKey = null;
    }
  }

  // ---- Drains and withdrawals ----------------------------------------------------------------------------

  private void drain(long now, Instance i) {
    if (i.now == null) {
      return;
    }
    int by = -1;
    boolean said = false;
    for (int r = 0; r < views.length; r++) {
      TextKeys.Attributes text = i.words[r].listed && !isForgotten(now, i, r) ? textOfNow(i, r) : null;
      if (text != null && text.draining()) {
        i.words[r].drains = true;
        by = by < 0 ? r : by;
      } else if (text != null && i.words[r].drains) {
        i.words[r].drains = false; // Who said so says otherwise, from now on.
        i.lastDrainWordAt = now;
      }
      said |= i.words[r].drains;
    }
    if (by >= 0) {
      i.lastDrainWordAt = now;
      if (!live(by, i, now)) {
        timer(i, views[by].domain(i.domain).expires + rules.longestTtlMillis());
      }
      if (!i.draining) {
        i.draining = true;
        i.drainBy = by;
        i.say(ChangeReason.DRAINING, by);
      }
    } else if (i.draining && agreeing(now, i, i.now) > 0) {
      // Guards against one that goes to and fro, and against others who haven't heard of it yet.
      long until = i.lastDrainWordAt + (said ? rules.longestTtlMillis() : rules.settleMillis());
      if (now < until) {
        timer(i, until);
        return;
      }
      for (Word w : i.words) {
        w.drains = false;
      }
      i.draining = false;
      i.say(ChangeReason.READY_AGAIN, i.drainBy);
      i.drainBy = -1;
    }
  }

  /** What a resolver's text says of the present life; a text without a service record speaks of whoever bears the name now. */
  private TextKeys.Attributes textOfNow(Instance i, int r) {
    Incarnation its = views[r].incarnation(i.name, i.now.address());
    return its == null ? views[r].texts.get(i.name) : its.isSame(i.now) ? its.attributes() : null;
  }

  /** Whether it has been silent for so long that its word counts for nothing beside those who speak. */
  private boolean isForgotten(long now, Instance i, int resolver) {
    View.Domain d = views[resolver].domains.get(i.domain);
    return (d == null || now - d.expires >= rules.longestTtlMillis()) && namedBy(i, now) > 0;
  }

  private void withdraw(long now, Instance i) {
    if (!i.withdrawn) {
      for (int r = 0; r < views.length && !i.withdrawn; r++) {
        Word w = i.words[r];
        if (w.absentSince >= 0 && (!w.suspect || isWitnessed(now, i, w, r))) {
          i.withdrawn = true;
          contested++;
          i.withdrawnAt = now;
          i.lastAbsentAt = now;
          i.withdrawnBy = r;
          i.say(ChangeReason.WITHDRAWN, r);
        }
      }
      if (!i.withdrawn) {
        return;
      }
    }
    suspects.remove(i);
    Word by = i.words[i.withdrawnBy];
    boolean named = namedBy(i, now) > 0;
    if (by.listed) {
      if (now - i.lastAbsentAt >= rules.settleMillis()) {
        restore(i, ChangeReason.RETURNED);
      } else {
        timer(i, i.lastAbsentAt + rules.settleMillis());
      }
    } else if (!named) {
      unbelieve(i);
      i.goneAt = now;
      timer(i, now + rules.longestTtlMillis());
    } else if (now - i.withdrawnAt >= rules.longestTtlMillis()) {
      // No cache holds any more what was so before the withdrawal: who names it now has it from the zone.
      if (2 * namedBy(i, now) > namedBy(i, now) + missedBy(i, now)) {
        restore(i, ChangeReason.OVERRULED);
        for (Word w : i.words) {
          w.absentSince = -1;
        }
      } else {
        timer(i, now + rules.longestTtlMillis());
      }
    } else {
      timer(i, i.withdrawnAt + rules.longestTtlMillis());
    }
  }

  private void restore(Instance i, ChangeReason why) {
    i.withdrawn = false;
    contested--;
    i.say(why, i.withdrawnBy);
    i.withdrawnBy = -1;
  }

  /** Whether enough say the same as an answer that is not believed by itself. */
  private boolean isWitnessed(long now, Instance i, Word w, int resolver) {
    int needed = w.empty ? rules.emptyWitnesses() : rules.witnesses();
    View.Domain d = views[resolver].domain(i.domain);
    // Nobody else speaks: it has to go on saying so.
    if (views.length == 1 || othersSilent(now, i, resolver) && isSolo(now, i, resolver)) {
      return d.isLive(now) && d.at - w.absentSince >= rules.confirmMillis();
    }
    return missedBy(i, now) >= Math.max(2, needed);
  }

  // ---- Who is believed -----------------------------------------------------------------------------------

  private void believe(long now, Instance i) {
    if (i.now == null) {
      return;
    }
    int named = agreeing(now, i, i.now);
    if (i.believed) {
      if (i.loneBy >= 0 && named >= rules.witnesses()) {
        lone[i.loneBy]--;
        i.loneBy = -1;
        corroborated++;
        if (!i.withdrawn && !i.draining) {
          i.say(ChangeReason.CORROBORATED, -1);
        }
      }
      return;
    }
    if (!i.isListed() || named == 0) {
      waiting.remove(i);
      return;
    }
    if (views.length == 1 || named >= rules.witnesses()) {
      corroborated++;
      enter(i, ChangeReason.CORROBORATED, -1, now);
      return;
    }
    int by = firstAgreeing(now, i);
    boolean othersSilent = othersSilent(now, i, by);
    if (othersSilent && isSolo(now, i, by)) {
      lone[by]++;
      i.loneBy = by;
      enter(i, ChangeReason.ONLY_VOICE, by, now);
    } else if (isOpen(now, i) && lone[by] < cap(now, by, i)) {
      lone[by]++;
      i.loneBy = by;
      enter(i, ChangeReason.LONE_VOICE, by, now);
    } else {
      i.say(ChangeReason.TOO_FEW_WITNESSES, by);
      waiting.add(i);
      timer(i, now + Math.max(1, othersSilent ? rules.loneWaitMillis() : rules.longestTtlMillis()));
    }
  }

  private int firstAgreeing(long now, Instance i) {
    for (int r = 0; r < views.length; r++) {
      Incarnation said = i.words[r].listed && live(r, i, now) ? views[r].incarnation(i.name, i.now.address()) : null;
      if (said != null && said.isSame(i.now)) {
        return r;
      }
    }
    throw new IllegalStateException(i.name + " is named by nobody");
  }

  /** Whether everybody has spoken, or has been waited for. */
  private boolean isOpen(long now, Instance i) {
    if (now - startedAt >= rules.firstWaitMillis()) {
      return true;
    }
    for (View v : views) {
      View.Domain d = v.domains.get(i.domain);
      if (d == null || !d.hasSpoken()) {
        return false;
      }
    }
    return true;
  }

  private boolean othersSilent(long now, Instance i, int by) {
    for (int r = 0; r < views.length; r++) {
      if (r != by && live(r, i, now)) {
        return false;
      }
    }
    return isOpen(now, i);
  }

  /** Whether all others have been silent for so long that one alone is believed. */
  private boolean isSolo(long now, Instance i, int by) {
    for (int r = 0; r < views.length; r++) {
      View.Domain d = views[r].domains.get(i.domain);
      if (r != by && d != null && d.at >= 0 && now < d.expires + rules.loneWaitMillis()) {
        return false;
      }
    }
    // Where there is a list, a new one on one word can wait.
    return now - startedAt >= rules.firstWaitMillis() + (corroborated > 0 ? rules.loneWaitMillis() : 0);
  }

  /** How many instances one resolver's word alone may add: its weight's part of those that are beyond doubt. */
  private int cap(long now, int by, Instance i) {
    int sure = corroborated;
    if (sure == 0) {
      // Nothing is agreed on: the shortest list is the least that somebody could have made up.
      sure = Integer.MAX_VALUE;
      for (int r = 0; r < views.length; r++) {
        if (live(r, i, now)) {
          sure = Math.min(sure, views[r].domain(i.domain).names.size());
        }
      }
    }
    return (int) Math.floor(rules.weights().get(by) * sure + 1e-9);
  }

  private void enter(Instance i, ChangeReason why, int by, long now) {
    waiting.remove(i);
    i.believed = true;
    i.withdrawn = false;
    i.goneAt = -1;
    known++;
    if (!i.draining) {
      i.say(why, by);
    }
    if (i.now.attributes().bootId().isEmpty() && !isFirst(i)) {
      i.upSince = now; // It may have started at any time since it was last heard of.
    }
    index(i);
  }

  private void unbelieve(Instance i) {
    unindex(i);
    if (i.loneBy >= 0) {
      lone[i.loneBy]--;
      i.loneBy = -1;
    } else {
      corroborated--;
    }
    contested -= i.withdrawn ? 1 : 0;
    known--;
    i.believed = false;
    i.wasGone = true;
    i.withdrawn = false;
    i.withdrawnBy = -1;
    heldOnly.remove(i);
    for (Word w : i.words) {
      w.absentSince = -1;
    }
    if (i.now != null) {
      i.supersede(i.now.identity(), i.lastAbsentAt);
      i.forgetEnd(i.now.identity());
    }
  }

  private void forget(Instance i) {
    instances.remove(i.name);
    waiting.remove(i);
    suspects.remove(i);
    for (View v : views) {
      v.texts.remove(i.name);
      List<SrvRecord> services = v.services.remove(i.name);
      if (services != null) {
        services.forEach(s -> unlink(s.target(), i.name));
      }
    }
  }

  /** All resolvers have been silent past the limit: what they said is not kept for ever. */
  private boolean isStale(long now, Instance i) {
    long last = -1;
    for (int r = 0; r < views.length; r++) {
      View.Domain d = views[r].domains.get(i.domain);
      if (d != null && d.at >= 0) {
        last = Math.max(last, d.expires);
      }
    }
    last = last < 0 ? startedAt : last;
    if (now - last >= rules.staleMillis()) {
      return true;
    }
    timer(i, last + rules.staleMillis());
    return false;
  }

  // ---- What is shown -------------------------------------------------------------------------------------

  private void show(long now, Instance i, Consumer<Change> out) {
    if (i.believed && isStale(now, i)) {
      unbelieve(i);
      i.goneAt = now;
      i.say(ChangeReason.STALE_LIMIT, -1);
      timer(i, now + rules.longestTtlMillis());
    }
    Member next = member(now, i);
    count(i, next);
    Member last = i.shown;
    if (last != null && (next == null || !next.id().equals(last.id()))) {
      out.accept(new Change(now, last.withPhase(Phase.GONE), i.why, i.onWord));
    }
    if (next != null && !next.equals(last)) {
      out.accept(new Change(now, next, why(i, next), i.onWord));
    }
    serving += (next != null && next.phase() == Phase.READY ? 1 : 0) - (last != null && last.phase() == Phase.READY ? 1 : 0);
    i.shown = next;
  }

  private ChangeReason why(Instance i, Member next) {
    return next.phase() != Phase.DRAINING || i.draining || i.withdrawn ? i.why : ChangeReason.RESERVE;
  }

  private Member member(long now, Instance i) {
    if (!i.believed || primary(i) != i) {
      return null;
    }
    boolean drains = false;
    for (Instance same : byAddress.getOrDefault(i.addressKey, List.of())) {
      drains |= same.domain.equals(i.domain) && same != i ? false : same.draining || same.withdrawn;
    }
    Incarnation x = i.now;
    boolean reserve = x.srv().priority() > activePriority;
    return new Member(i.name + "|" + x.identity(), i.name, x.srv().target(), x.address(), x.srv().port(), x.attributes().locality(),
        x.attributes().cell(), size(x), drains || reserve ? Phase.DRAINING : Phase.READY, i.upSince);
  }

  /** The text's; else the weight of the service record, of which 100 is usual and 0 says nothing (RFC 2782). */
  private static double size(Incarnation x) {
    return x.attributes().size() > 0 ? x.attributes().size() : x.srv().weight() > 0 ? Math.min(MOST_SIZE, x.srv().weight() / USUAL_WEIGHT) : 1;
  }

  /**
   * The one name of several that stands for an address: the newest start, in one domain the one heard of last, else the first by
   * its letters.
   */
  private Instance primary(Instance i) {
    Instance best = i;
    for (Instance other : byAddress.getOrDefault(i.addressKey, List.of())) {
      if (other != best && isBefore(other, best)) {
        best = other;
      }
    }
    if (best != i && i.why != ChangeReason.DUPLICATE) {
      i.say(ChangeReason.DUPLICATE, -1);
    }
    return best;
  }

  private static boolean isBefore(Instance a, Instance b) {
    if (a.now.isOlder(b.now) || b.now.isOlder(a.now)) {
      return b.now.isOlder(a.now);
    } else if (a.domain.equals(b.domain) && a.firstHeardAt != b.firstHeardAt) {
      return a.firstHeardAt > b.firstHeardAt;
    }
    return (a.domain + ' ' + a.name).compareTo(b.domain + ' ' + b.name) < 0;
  }

  /** Keeps count of who could serve at each priority, reserves among them. */
  private void count(Instance i, Member next) {
    int able = next != null && !i.draining && !i.withdrawn ? 1 : 0;
    int priority = next == null ? 0 : i.now.srv().priority();
    if (i.countedAble == able && i.countedPriority == priority) {
      return;
    }
    ableByPriority.merge(i.countedPriority, -i.countedAble, Integer::sum);
    ableByPriority.merge(priority, able, Integer::sum);
    i.countedAble = able;
    i.countedPriority = priority;
  }

  /** Finds how far down the priorities have to serve, and shows those for whom that has changed. */
  private void rank(long now, Consumer<Change> out) {
    int active = Integer.MAX_VALUE;
    int able = 0;
    for (int priority : byPriority.keySet()) {
      able += ableByPriority.getOrDefault(priority, 0);
      if (able >= Math.max(1, rules.reserveBelow())) {
        active = priority;
        break;
      }
    }
    int before = activePriority;
    if (active != before) {
      activePriority = active;
      int low = Math.min(active, before);
      int high = Math.max(active, before);
      List<Instance> changed = new ArrayList<>();
      byPriority.tailMap(low, false).headMap(high, true).values().forEach(changed::addAll);
      changed.forEach(i -> show(now, i, out));
    }
  }

  // ---- What can be asked ---------------------------------------------------------------------------------

  /** The list as it was last said, by id. */
  public List<Member> members() {
    List<Member> all = new ArrayList<>();
    for (Instance i : instances.values()) {
      if (i.shown != null) {
        all.add(i.shown);
      }
    }
    all.sort(Comparator.comparing(Member::id));
    return all;
  }

  /** Servers on the list that are ready. */
  public int readyCount() {
    return serving;
  }

  /** Instances that are known, believed or not. */
  public int instances() {
    return instances.size();
  }

  /** Answers that were not taken because their zone was outdated. */
  public long outdatedAnswers() {
    return ignored;
  }

  /** Values that were ignored, each once, a thousand at most. */
  public List<String> problems() {
    return List.copyOf(problems);
  }

  /** Whether every resolver has spoken of every domain that was asked for, or has been waited for. */
  public boolean hasInitialAnswers(long now, Iterable<String> domains) {
    if (startedAt >= 0 && now - startedAt >= rules.firstWaitMillis()) {
      return true;
    }
    for (String domain : domains) {
      for (View v : views) {
        View.Domain d = v.domains.get(domain);
        if (d == null || !d.hasSpoken()) {
          return false;
        }
      }
    }
    return true;
  }

  /** What each resolver says of an instance, what is believed and why; for people. */
  public List<String> explain(long now, String name) {
    Instance i = instances.get(name);
    if (i == null) {
      return List.of(name + ": nobody has named it");
    }
    List<String> lines = new ArrayList<>();
    lines.add(name + ": " + (i.shown == null ? "not on the list" : i.shown.phase().name().toLowerCase(java.util.Locale.ROOT)
        + " at " + i.shown.address() + ":" + i.shown.port()) + (i.why == null ? "" : ", " + i.why.code())
        + (i.onWord < 0 ? "" : ", on the word of resolver " + i.onWord));
    if (i.shown != null) {
      lines.add("  id " + i.shown.id() + ", up since " + (i.shown.upSince() == 0 ? "long ago" : i.shown.upSince())
          + ", priority " + i.now.srv().priority() + ", size " + i.shown.size());
    }
    for (int r = 0; r < views.length; r++) {
      Word w = i.words[r];
      Incarnation said = views[r].incarnation(name, null);
      TextKeys.Attributes text = views[r].texts.get(name);
      lines.add("  resolver " + r + (live(r, i, now) ? "" : " (silent)") + ": " + (w.listed ? "names it"
          : w.absentSince >= 0 ? "names it no more" + (w.suspect ? ", in an answer that is doubted" : "") : "has not named it")
          + (said == null ? ", no service or no address" : ", " + said.identity() + " at " + said.address())
          + (text != null && text.draining() ? ", draining" : "")
          + (text == null || text.unknownKeys().isEmpty() ? "" : ", further " + text.unknownKeys()));
    }
    i.endedLives().forEach((identity, at) -> lines.add("  was " + identity + " until " + at));
    return lines;
  }

  /** For a held list: the priority of the service record, the boot and the domain of a server on the list. */
  public CachedDetails cachedDetails(Member m) {
    Instance i = instances.get(m.instance());
    return i == null || i.now == null ? new CachedDetails("", 0, "") : new CachedDetails(i.domain, i.now.srv().priority(), i.now.attributes().bootId());
  }

  /** What a held list needs beside the member. */
  public record CachedDetails(String domain, int priority, String bootId) {}
}
