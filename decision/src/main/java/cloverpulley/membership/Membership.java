package cloverpulley.membership;

import cloverpulley.membership.Instance.Report;
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
 * Derives the member list from the reports of several DNS-SD resolvers. {@link #observe} takes in one observation;
 * {@link #reconcile} emits the resulting changes. The cost of an observation grows with the number of instances that it changes, not
 * with the fleet; that of a browse grows with the length of its answer.
 *
 * <ul>
 * <li>The first report that an instance is draining or withdrawn takes effect at once, whatever the other resolvers report.
 * <li>An answer that would take the fleet below {@link Rules#floorShare} takes effect once enough other resolvers agree.
 * <li>Instances added by one resolver alone are limited by its weight while other resolvers respond.
 * <li>Unresponsive resolvers change nothing until {@link Rules#staleMillis}.
 * </ul>
 */
public final class Membership {

  /** The size of the fleet is compared with its maximum over the last one to two of these windows. */
  private static final long REFERENCE_WINDOW_MILLIS = 30_000;

  /** Detects a fault in this class: a changed instance makes those at its address dirty, and these make no others dirty. */
  private static final int MAX_ROUNDS = 10_000;
  private static final long RECHECK_MILLIS = 1000;
  private static final double DEFAULT_WEIGHT = 100;
  private static final double MAX_SIZE = 1000;

  private record Timer(long at, String instance) {}

  private final Rules rules;
  private final TextKeys keys;
  private final ResolverView[] views;
  private final Map<String, Instance> instances = new HashMap<>();
  private final Map<String, Set<String>> instancesByTarget = new HashMap<>();
  private final Map<String, List<Instance>> byAddress = new HashMap<>();
  private final TreeMap<Integer, LinkedHashSet<Instance>> byPriority = new TreeMap<>();
  private final Map<Integer, Integer> availableByPriority = new HashMap<>();
  private final LinkedHashSet<Instance> dirty = new LinkedHashSet<>();
  /** Instances listed by too few resolvers so far, in order of arrival. */
  private final LinkedHashSet<Instance> awaitingCorroboration = new LinkedHashSet<>();
  /** Instances of the cached list that not every resolver has listed or omitted yet. */
  private final LinkedHashSet<Instance> cachedUnconfirmed = new LinkedHashSet<>();
  /** Instances omitted by an answer that needs corroboration. */
  private final LinkedHashSet<Instance> disputedAbsences = new LinkedHashSet<>();
  private final PriorityQueue<Timer> timers = new PriorityQueue<>(Comparator.comparingLong(Timer::at));
  /** Per resolver: instances that are accepted on its report alone. */
  private final int[] uncorroborated;
  /** When all resolvers had first responded for a domain, and at least one with a list. */
  private final Map<String, Long> firstListedAt = new HashMap<>();
  private final Set<String> problems = new LinkedHashSet<>();
  private long startedAt = -1;
  private long reconciledAt = -1;
  private boolean recheckAwaiting;
  private int acceptedCount;
  private int corroboratedCount;
  /** The number of instances that are withdrawn while some resolver still lists them. */
  private int contestedCount;
  private int limitBase = -1;
  private int readyCount;
  private int activePriority = Integer.MAX_VALUE;
  private long windowStartedAt;
  private int windowMax;
  private int previousWindowMax;
  private long ignoredAnswers;

  public Membership(Rules rules, TextKeys keys) {
    this.rules = rules;
    this.keys = keys;
    views = new ResolverView[rules.resolvers()];
    for (int i = 0; i < views.length; i++) {
      views[i] = new ResolverView();
    }
    uncorroborated = new int[views.length];
  }

  // ---- Observations --------------------------------------------------------------------------------------

  /**
   * Restores a server from the list cached over a restart; it is accepted until a resolver reports otherwise.
   *
   * @param priority of its SRV record, which decides whether it is a reserve
   */
  public void restoreCached(long now, Member m, String domain, int priority, String bootId) {
    start(now);
    Instance i = getOrCreate(m.instance(), domain, now);
    if (i == null || i.accepted) {
      return;
    }
    TextKeys.Attributes attributes = new TextKeys.Attributes(m.zone(), "", m.cell(), m.size(), m.phase() == Phase.DRAINING, started(bootId),
        bootId, Map.of(), List.of());
    i.accepted = true;
    cachedUnconfirmed.add(i);
    i.upSince = m.upSince();
    i.draining = m.phase() == Phase.DRAINING;
    i.lastDrainReportAt = now;
    i.setReason(ChangeReason.HELD_LIST, -1);
    corroboratedCount++;
    acceptedCount++;
    setCurrent(i, new Incarnation(new SrvRecord(priority, 0, m.target(), m.port()), m.address(), attributes), now);
    markDirty(i);
  }

  private static long started(String bootId) {
    return bootId.matches("\\d{1,15}") ? Long.parseLong(bootId) : 0;
  }

  /** Records one observation; {@link #reconcile} emits the resulting changes. */
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
      ResolverView.Domain d = views[z.resolver()].domain(z.domain());
      if (z.serial() >= 0 && !isOutdated(now, z.domain(), z.serial(), d)) {
        d.outdatedSince = -1;
        d.serial = z.serial();
      }
    } else if (o instanceof ServiceRecords s) {
      onServiceRecords(s);
    } else if (o instanceof TextRecord t) {
      if (!instances.containsKey(t.instance())) {
        return; // Records of unlisted instances are not stored.
      }
      TextKeys.Attributes parsed = keys.parse(t.pairs());
      // An outdated zone cannot cancel a drain, but it may report one.
      if (!parsed.draining() && isFromOutdatedZone(t.resolver(), t.instance())) {
        ignoredAnswers++;
        return;
      }
      if (!parsed.equals(views[t.resolver()].attributes.put(t.instance(), parsed))) {
        parsed.problems().forEach(p -> addProblem(t.instance() + " " + p));
        markDirty(instances.get(t.instance()));
      }
    } else if (o instanceof Addresses a) {
      if (instancesByTarget.getOrDefault(a.target(), Set.of()).stream().anyMatch(n -> isFromOutdatedZone(a.resolver(), n))) {
        ignoredAnswers++;
        return;
      }
      if (views[a.resolver()].updateAddresses(a.target(), a.ipv6(), List.copyOf(a.addresses()))) {
        instancesByTarget.getOrDefault(a.target(), Set.of()).forEach(n -> markDirty(instances.get(n)));
      }
    } else if (o instanceof ConnectionProbe c) {
      onConnectionProbe(now, c);
    }
  }

  private void onServiceRecords(ServiceRecords s) {
    if (!instances.containsKey(s.instance())) {
      return; // Records of unlisted instances are not stored.
    } else if (isFromOutdatedZone(s.resolver(), s.instance())) {
      ignoredAnswers++;
      return;
    }
    List<SrvRecord> before = views[s.resolver()].srvRecords.put(s.instance(), List.copyOf(s.records()));
    if (s.records().equals(before)) {
      return;
    }
    s.records().forEach(r -> instancesByTarget.computeIfAbsent(r.target(), t -> new HashSet<>()).add(s.instance()));
    if (before != null) {
      before.forEach(r -> unlink(r.target(), s.instance()));
    }
    markDirty(instances.get(s.instance()));
  }

  /** Bounds memory when the target of an instance keeps changing: removes a target that no resolver reports for it any more. */
  private void unlink(String target, String instance) {
    for (ResolverView v : views) {
      if (v.srvRecords.getOrDefault(instance, List.of()).stream().anyMatch(r -> r.target().equals(target))) {
        return;
      }
    }
    Set<String> users = instancesByTarget.get(target);
    if (users != null && users.remove(instance) && users.isEmpty()) {
      instancesByTarget.remove(target);
      for (ResolverView v : views) {
        v.removeAddresses(target);
      }
    }
  }

  /** The number of instances, targets and records in memory; for tests of its bounds. */
  int retainedEntries() {
    int n = instances.size() + instancesByTarget.size();
    for (ResolverView v : views) {
      n += v.size();
    }
    return n;
  }

  /** Whether a resolver answers from an outdated zone in the domain of a known instance. */
  private boolean isFromOutdatedZone(int resolver, String instance) {
    Instance i = instances.get(instance);
    ResolverView.Domain d = i == null ? null : views[resolver].domains.get(i.domain);
    return d != null && d.outdatedSince >= 0;
  }

  private void start(long now) {
    if (startedAt < 0) {
      startedAt = now;
      windowStartedAt = now;
      timers.add(new Timer(now + rules.firstWaitMillis(), null));
    }
  }

  private void addProblem(String description) {
    if (problems.size() < 1000) {
      problems.add(description);
    }
  }

  private Instance getOrCreate(String name, String domain, long now) {
    Instance i = instances.get(name);
    if (i == null) {
      if (instances.size() >= rules.maxInstances()) {
        addProblem(name + " " + ChangeReason.TOO_MANY.code());
        return null;
      }
      i = new Instance(name, domain, views.length);
      i.firstSeenAt = now;
      instances.put(name, i);
    }
    return i;
  }

  private void markDirty(Instance i) {
    if (i != null) {
      dirty.add(i);
    }
  }

  /** Schedules a check of an instance. A time that has passed already is replaced by one a little later, to avoid a busy loop. */
  private void scheduleCheck(Instance i, long checkAt) {
    long at = checkAt > reconciledAt ? checkAt : reconciledAt + RECHECK_MILLIS;
    if (at < i.timerAt) {
      i.timerAt = at;
      timers.add(new Timer(at, i.name));
    }
  }

  private long capTtl(long ttl) {
    return Math.max(1, Math.min(ttl, rules.longestTtlMillis()));
  }

  private void onBrowsed(long now, Browsed b) {
    ResolverView.Domain d = views[b.resolver()].domain(b.domain());
    d.failed = false;
    if (b.serial() >= 0 && isOutdated(now, b.domain(), b.serial(), d)) {
      ignoredAnswers++;
      return;
    }
    boolean wasLive = d.isLive(now);
    d.outdatedSince = -1;
    d.serial = b.serial() >= 0 ? b.serial() : d.serial;
    d.answeredAt = now;
    d.expiresAt = now + capTtl(b.ttlMillis());
    Set<String> before = d.names;
    Set<String> names = new HashSet<>(b.names());
    List<Instance> omitted = new ArrayList<>();
    before.forEach(n -> {
      if (!names.contains(n) && instances.containsKey(n)) {
        omitted.add(instances.get(n));
      }
    });
    for (Instance i : cachedUnconfirmed) {
      if (i.domain.equals(b.domain()) && !names.contains(i.name) && i.reports[b.resolver()].absentSince < 0
          && !before.contains(i.name)) {
        omitted.add(i);
      }
    }
    // An absence that needed corroboration is checked again with each answer that repeats it: with fewer others omitted it may take effect.
    for (Instance i : disputedAbsences) {
      if (i.domain.equals(b.domain()) && i.reports[b.resolver()].absentSince >= 0 && !names.contains(i.name)) {
        omitted.add(i);
      }
    }
    // An answer without any instance that is accepted independently of this resolver counts as an empty one.
    boolean emptyAnswer = names.stream().noneMatch(n -> isAcceptedIndependently(n, b.resolver()));
    boolean needsCorroboration = isBelowFloor(now, omitted, emptyAnswer);
    for (Instance i : omitted) {
      onAbsent(now, i, b.resolver(), needsCorroboration, emptyAnswer);
    }
    d.names = names;
    List<String> added = new ArrayList<>();
    for (String n : names) {
      if (before.contains(n) && instances.containsKey(n)) {
        onListed(now, b.resolver(), b.domain(), n, wasLive);
      } else {
        added.add(n);
      }
    }
    // Sorted, so that all readers accept the same instances when there are too many.
    added.sort(Comparator.naturalOrder());
    added.forEach(n -> onListed(now, b.resolver(), b.domain(), n, false));
    recordFirstList(now, b.domain());
    requestAwaitingRecheck();
  }

  private void onListed(long now, int resolver, String domain, String name, boolean wasListed) {
    Instance i = getOrCreate(name, domain, now);
    if (i == null) {
      return;
    }
    Report report = i.reports[resolver];
    if (!wasListed || !report.listed) {
      report.listedAt = report.listed ? report.listedAt : now;
      report.listed = true;
      report.absentSince = -1;
      report.needsCorroboration = false;
      if (i.removedAt >= 0 && !i.accepted) {
        i.removedAt = -1;
      }
      markDirty(i);
    } else if (i.withdrawn || i.draining) {
      markDirty(i);
    }
  }

  private void onAbsent(long now, Instance i, int resolver, boolean needsCorroboration, boolean emptyAnswer) {
    Report report = i.reports[resolver];
    report.listed = false;
    if (i.current != null && i.current.identity().equals(report.reportedIdentity)) {
      i.currentSeenAt = now;
    }
    report.absentSince = report.absentSince < 0 ? now : report.absentSince;
    report.needsCorroboration = needsCorroboration;
    report.emptyAnswer = emptyAnswer;
    i.lastAbsentAt = needsCorroboration ? i.lastAbsentAt : now;
    if (needsCorroboration) {
      disputedAbsences.add(i);
    }
    markDirty(i);
  }

  /** Whether an answer that omits these instances would take the fleet below the floor that one resolver may reduce it to. */
  private boolean isBelowFloor(long now, List<Instance> omitted, boolean emptyAnswer) {
    int lost = countAvailable(omitted);
    // Contested instances count as available, or one resolver could remove the fleet in small steps.
    int reference = Math.max(referenceSize(now), countAvailable() + contestedCount);
    return lost > 0 && (emptyAnswer || countAvailable() - lost < Math.ceil(rules.floorShare() * reference));
  }

  /** Whether an instance is accepted without depending on this resolver's report. */
  private boolean isAcceptedIndependently(String name, int resolver) {
    Instance i = instances.get(name);
    return i != null && i.accepted && (views.length == 1 || i.soleResolver != resolver);
  }

  private static int countAvailable(List<Instance> candidates) {
    int n = 0;
    for (Instance i : candidates) {
      n += i.accepted && !i.withdrawn && !i.draining ? 1 : 0;
    }
    return n;
  }

  private int countAvailable() {
    return availableByPriority.values().stream().mapToInt(n -> n).sum();
  }

  private int referenceSize(long now) {
    if (now - windowStartedAt >= REFERENCE_WINDOW_MILLIS) {
      previousWindowMax = now - windowStartedAt >= 2 * REFERENCE_WINDOW_MILLIS ? countAvailable() : windowMax;
      windowMax = countAvailable();
      windowStartedAt = now;
    }
    windowMax = Math.max(windowMax, countAvailable());
    return Math.max(windowMax, previousWindowMax);
  }

  /**
   * Guards against a resolver that has lost contact with its primary: answers from a zone older than its own last one, or than that of
   * as many resolvers as have to agree, are ignored. An old serial that persists for longer than any cache lives belongs to a zone that
   * was recreated, unless enough others still have a newer one.
   */
  private boolean isOutdated(long now, String domain, long serial, ResolverView.Domain d) {
    boolean older = d.serial >= 0 && Serial.isOlder(serial, d.serial);
    int newer = 0;
    for (ResolverView v : views) {
      ResolverView.Domain other = v.domain(domain);
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
    ResolverView.Domain d = views[p.resolver()].domain(p.domain());
    if (p.added()) {
      boolean before = !d.names.add(p.instance());
      onListed(now, p.resolver(), p.domain(), p.instance(), before);
    } else if (d.names.remove(p.instance()) && instances.containsKey(p.instance())) {
      Instance i = instances.get(p.instance());
      onAbsent(now, i, p.resolver(), isBelowFloor(now, List.of(i), d.names.isEmpty()), d.names.isEmpty());
    }
    requestAwaitingRecheck();
  }

  private void onUnchanged(long now, Unchanged u) {
    ResolverView.Domain d = views[u.resolver()].domain(u.domain());
    if (d.answeredAt >= 0 && d.outdatedSince < 0) {
      d.failed = false;
      if (!d.isLive(now)) {
        d.names.forEach(n -> markDirty(instances.get(n)));
      }
      d.answeredAt = now;
      d.expiresAt = now + capTtl(u.ttlMillis());
      disputedAbsences.forEach(this::markDirty);
    }
  }

  /** Which instances have to wait for a second resolver depends on the resolvers that have responded at all. */
  private void requestAwaitingRecheck() {
    recheckAwaiting = true;
  }

  private void onConnectionProbe(long now, ConnectionProbe c) {
    Instance i = instances.get(c.instance());
    if (i == null || i.current == null || !i.current.attributes().bootId().isEmpty()) {
      return; // A reported boot ID takes precedence over probes.
    }
    if (c.up() && i.connectionRefused) {
      i.upSince = now;
      i.setReason(ChangeReason.RESTARTED, -1);
      markDirty(i);
    }
    i.connectionRefused = !c.up();
  }

  // ---- Reconciliation ------------------------------------------------------------------------------------

  /** The next time at which the list may change without an observation; {@link Long#MAX_VALUE} for none. */
  public long nextTimerAt() {
    return timers.isEmpty() ? Long.MAX_VALUE : timers.peek().at;
  }

  /** Applies all observations and expired timers, and passes the changes of the published list to {@code out}. */
  public void reconcile(long now, Consumer<Change> out) {
    start(now);
    reconciledAt = now;
    while (!timers.isEmpty() && timers.peek().at <= now) {
      Timer t = timers.poll();
      Instance i = t.instance == null ? null : instances.get(t.instance);
      if (t.instance == null) {
        recheckAwaiting = true;
      } else if (i != null) {
        i.timerAt = i.timerAt <= now ? Long.MAX_VALUE : i.timerAt;
        markDirty(i);
      }
    }
    referenceSize(now);
    int rounds = 0;
    // Terminates: each iteration accepts some of the waiting instances, or leaves none dirty.
    do {
      while (!dirty.isEmpty()) {
        List<Instance> batch = List.copyOf(dirty);
        dirty.clear();
        if (++rounds > MAX_ROUNDS) {
          throw new IllegalStateException("reconciliation does not terminate at " + batch.get(0).name + ": " + explain(now, batch.get(0).name)
              + (batch.size() > 1 ? " and " + explain(now, batch.get(1).name) : ""));
        }
        batch.forEach(i -> evaluate(now, i));
        batch.forEach(i -> publish(now, i, out));
      }
      if (recheckAwaiting || limitBase != corroboratedCount) {
        recheckAwaiting = false;
        limitBase = corroboratedCount;
        for (Instance i : List.copyOf(awaitingCorroboration)) {
          updateAcceptance(now, i);
          if (i.accepted) {
            markDirty(i);
          }
        }
      }
      updateActivePriority(now, out);
    } while (!dirty.isEmpty());
  }

  private void evaluate(long now, Instance i) {
    if (i.removedAt >= 0 && !i.isListed()) {
      if (now - i.removedAt >= rules.longestTtlMillis()) {
        removeInstance(i);
      } else {
        scheduleCheck(i, i.removedAt + rules.longestTtlMillis());
      }
      return;
    }
    updateIncarnation(now, i);
    updateDraining(now, i);
    if (i.accepted) {
      updateWithdrawal(now, i);
    }
    updateAcceptance(now, i);
    if (cachedUnconfirmed.contains(i) && isReportedByAll(i)) {
      cachedUnconfirmed.remove(i);
    }
  }

  private boolean isReportedByAll(Instance i) {
    for (Report report : i.reports) {
      if (!report.listed && report.absentSince < 0) {
        return false;
      }
    }
    return true;
  }

  private boolean hasLiveList(int resolver, Instance i, long now) {
    ResolverView.Domain d = views[resolver].domains.get(i.domain);
    return d != null && d.isLive(now);
  }

  private int countListing(Instance i, long now) {
    int n = 0;
    for (int r = 0; r < views.length; r++) {
      n += i.reports[r].listed && hasLiveList(r, i, now) ? 1 : 0;
    }
    return n;
  }

  /** The number of resolvers whose live list omits it. */
  private int countOmitting(Instance i, long now) {
    int n = 0;
    for (int r = 0; r < views.length; r++) {
      n += !i.reports[r].listed && hasLiveList(r, i, now) ? 1 : 0;
    }
    return n;
  }

  // ---- Incarnations --------------------------------------------------------------------------------------

  private void updateIncarnation(long now, Instance i) {
    Incarnation currentReport = null;
    Incarnation next = null;
    int currentResolver = -1;
    int nextResolver = -1;
    for (int r = 0; r < views.length; r++) {
      Incarnation reported = i.reports[r].listed ? views[r].incarnation(i.name, i.current == null ? null : i.current.address()) : null;
      if (reported == null) {
        continue;
      } else if (i.current != null && reported.isSame(i.current)) {
        if (i.reports[r].reportedIdentity == null || i.reports[r].switched) {
          i.reports[r].reportedIdentity = i.current.identity();
          i.reports[r].switched = false;
        }
        if (currentReport == null) {
          currentReport = reported;
          currentResolver = r;
        }
        continue;
      } else if (next == null || isPreferred(now, i, reported, next)) {
        next = reported;
        nextResolver = r;
      }
      if (i.current != null && !i.reports[r].switched && i.current.identity().equals(i.reports[r].reportedIdentity)) {
        i.reports[r].switched = true;
        i.currentSeenAt = now;
      }
    }
    if (i.current == null && next != null) {
      i.upSince = upSince(now, i, next);
      setCurrent(i, next, now);
      return;
    }
    if (i.current == null) {
      i.setReason(ChangeReason.INCOMPLETE, -1);
      return;
    }
    if (currentReport != null) {
      i.currentSeenAt = now;
    }
    if (next != null && shouldReplace(now, i, currentReport, next, nextResolver)) {
      replaceIncarnation(now, i, next, nextResolver);
    } else if (currentReport != null && !currentReport.equals(i.current)) {
      boolean moved = !currentReport.address().equals(i.current.address());
      if (i.accepted && !i.withdrawn && !i.draining) {
        i.setReason(moved ? ChangeReason.RENUMBERED : i.reason == ChangeReason.HELD_LIST ? ChangeReason.CORROBORATED : ChangeReason.CHANGED,
            currentResolver);
      }
      setCurrent(i, currentReport, now);
    }
  }

  /** Of two candidates for the next incarnation: one that has not ended is preferred, then the later start, then the first found. */
  private boolean isPreferred(long now, Instance i, Incarnation reported, Incarnation best) {
    boolean reportedEnded = endedRecently(now, i, reported);
    return reportedEnded == endedRecently(now, i, best) ? best.isOlder(reported) : !reportedEnded;
  }

  /** Whether an incarnation has ended so recently that a cache may still report it. */
  private boolean endedRecently(long now, Instance i, Incarnation x) {
    long endedAt = i.endedAt(x.identity());
    return endedAt >= 0 && now - endedAt < rules.longestTtlMillis();
  }

  /** Whether another incarnation replaces the current one. */
  private boolean shouldReplace(long now, Instance i, Incarnation currentReport, Incarnation next, int resolver) {
    long cacheExpiry = i.currentSeenAt + rules.longestTtlMillis();
    if (endedRecently(now, i, next) || next.isOlder(i.current)) {
      // Guards against a stale cache: an older incarnation returns only once no cache can hold the newer one.
      if (currentReport == null && now < cacheExpiry) {
        scheduleCheck(i, cacheExpiry);
      }
      return currentReport == null && now >= cacheExpiry;
    }
    int witnesses = countAgreeing(now, i, next);
    boolean newer = currentReport == null || i.current.isOlder(next) || hasSwitched(i, next) || witnesses > countAgreeing(now, i, currentReport);
    if (!newer || !i.accepted || views.length == 1 || witnesses >= rules.witnesses()) {
      return newer;
    }
    // Reported by too few: allowed within the resolver's uncorroborated limit, or if it has long been the only one that responds.
    boolean allowedAlone = i.soleResolver == resolver || uncorroborated[resolver] < uncorroboratedLimit(now, resolver, i)
        || othersUnresponsive(now, i, resolver) && isSoleResolverTrusted(now, i, resolver);
    if (!allowedAlone) {
      scheduleCheck(i, now + rules.loneWaitMillis() + 1);
    }
    return allowedAlone;
  }

  /** Whether a resolver that reported the current incarnation now reports this one, so that it must be the later of the two. */
  private boolean hasSwitched(Instance i, Incarnation next) {
    for (int r = 0; r < views.length; r++) {
      Incarnation reported = i.reports[r].listed && i.current.identity().equals(i.reports[r].reportedIdentity)
          ? views[r].incarnation(i.name, next.address()) : null;
      if (reported != null && reported.isSame(next)) {
        return true;
      }
    }
    return false;
  }

  private void replaceIncarnation(long now, Instance i, Incarnation next, int resolver) {
    i.recordEnded(i.current.identity(), now);
    i.removeEnded(next.identity());
    i.draining = false;
    i.drainingResolver = -1;
    for (Report report : i.reports) {
      report.reportsDraining = false;
      report.reportedIdentity = null;
      report.switched = false;
    }
    i.connectionRefused = false;
    i.upSince = next.attributes().started() > 0 ? upSince(now, i, next) : now;
    if (i.accepted) {
      i.setReason(ChangeReason.SUCCEEDED, resolver);
      if (views.length > 1 && i.soleResolver < 0 && countAgreeing(now, i, next) < rules.witnesses()) {
        corroboratedCount--;
        uncorroborated[resolver]++;
        i.soleResolver = resolver;
      }
    }
    setCurrent(i, next, now);
  }

  /** The number of resolvers with a live list that report this incarnation. */
  private int countAgreeing(long now, Instance i, Incarnation x) {
    int n = 0;
    for (int r = 0; r < views.length; r++) {
      Incarnation reported = i.reports[r].listed && hasLiveList(r, i, now) ? views[r].incarnation(i.name, x.address()) : null;
      n += reported != null && reported.isSame(x) ? 1 : 0;
    }
    return n;
  }

  /**
   * The start time of a server on the reader's clock. Guards rule 4 (slow start) against clock skew: the reported start is moved later
   * by the largest skew, as the publisher's clock may be behind, but never into the future.
   */
  private long upSince(long now, Instance i, Incarnation x) {
    if (x.attributes().started() > 0) {
      return Math.min(now, x.attributes().started() + rules.clockSkewMillis());
    }
    return mayPredateReader(i) ? 0 : now;
  }

  /** Whether it may have been running before this reader started. */
  private boolean mayPredateReader(Instance i) {
    long until = firstListedAt.getOrDefault(i.domain, Long.MAX_VALUE);
    return !i.wasRemoved && i.firstSeenAt <= Math.min(until, startedAt + rules.firstWaitMillis());
  }

  /** Records when all resolvers have listed a domain or failed to, and at least one has listed it: later instances count as started since. */
  private void recordFirstList(long now, String domain) {
    if (firstListedAt.containsKey(domain)) {
      return;
    }
    boolean answered = false;
    for (ResolverView v : views) {
      ResolverView.Domain d = v.domains.get(domain);
      if (d == null || !d.hasResponded()) {
        return;
      }
      answered |= d.answeredAt >= 0;
    }
    if (answered) {
      firstListedAt.put(domain, now);
    }
  }

  private void setCurrent(Instance i, Incarnation next, long now) {
    boolean sameIdentity = i.current != null && i.current.isSame(next);
    unindex(i);
    if (!sameIdentity) {
      i.currentSeenAt = now;
    }
    i.current = next;
    index(i);
  }

  private void index(Instance i) {
    if (i.current != null && i.accepted) {
      i.addressKey = i.current.addressAndPort();
      List<Instance> sharing = byAddress.computeIfAbsent(i.addressKey, k -> new ArrayList<>(1));
      sharing.add(i);
      sharing.forEach(other -> {
        if (other != i) {
          markDirty(other);
        }
      });
      byPriority.computeIfAbsent(i.current.srv().priority(), p -> new LinkedHashSet<>()).add(i);
    }
  }

  private void unindex(Instance i) {
    if (i.addressKey != null) {
      List<Instance> sharing = byAddress.get(i.addressKey);
      sharing.remove(i);
      sharing.forEach(this::markDirty);
      if (sharing.isEmpty()) {
        byAddress.remove(i.addressKey);
      }
      LinkedHashSet<Instance> samePriority = byPriority.get(i.current.srv().priority());
      samePriority.remove(i);
      if (samePriority.isEmpty()) {
        byPriority.remove(i.current.srv().priority());
      }
      i.addressKey = null;
    }
  }

  // ---- Drains and withdrawals ----------------------------------------------------------------------------

  private void updateDraining(long now, Instance i) {
    if (i.current == null) {
      return;
    }
    int resolver = -1;
    boolean stillReported = false;
    for (int r = 0; r < views.length; r++) {
      TextKeys.Attributes attributes = i.reports[r].listed && !isDisregarded(now, i, r) ? currentAttributes(i, r) : null;
      if (attributes != null && attributes.draining()) {
        i.reports[r].reportsDraining = true;
        resolver = resolver < 0 ? r : resolver;
      } else if (attributes != null && i.reports[r].reportsDraining) {
        i.reports[r].reportsDraining = false; // The resolver that reported the drain now reports it as ready.
        i.lastDrainReportAt = now;
      }
      stillReported |= i.reports[r].reportsDraining;
    }
    if (resolver >= 0) {
      i.lastDrainReportAt = now;
      if (!hasLiveList(resolver, i, now)) {
        scheduleCheck(i, views[resolver].domain(i.domain).expiresAt + rules.longestTtlMillis());
      }
      if (!i.draining) {
        i.draining = true;
        i.drainingResolver = resolver;
        i.setReason(ChangeReason.DRAINING, resolver);
      }
    } else if (i.draining && countAgreeing(now, i, i.current) > 0) {
      // Guards against flapping, and against other resolvers that have not seen the drain yet.
      long until = i.lastDrainReportAt + (stillReported ? rules.longestTtlMillis() : rules.settleMillis());
      if (now < until) {
        scheduleCheck(i, until);
        return;
      }
      for (Report report : i.reports) {
        report.reportsDraining = false;
      }
      i.draining = false;
      i.setReason(ChangeReason.READY_AGAIN, i.drainingResolver);
      i.drainingResolver = -1;
    }
  }

  /** A resolver's attributes of the current incarnation; a TXT record without an SRV or address record applies to it too. */
  private TextKeys.Attributes currentAttributes(Instance i, int r) {
    Incarnation reported = views[r].incarnation(i.name, i.current.address());
    return reported == null ? views[r].attributes.get(i.name) : reported.isSame(i.current) ? reported.attributes() : null;
  }

  /** Whether a resolver has been unresponsive for so long that its reports are ignored, while others still list the instance. */
  private boolean isDisregarded(long now, Instance i, int resolver) {
    ResolverView.Domain d = views[resolver].domains.get(i.domain);
    return (d == null || now - d.expiresAt >= rules.longestTtlMillis()) && countListing(i, now) > 0;
  }

  private void updateWithdrawal(long now, Instance i) {
    if (!i.withdrawn) {
      for (int r = 0; r < views.length && !i.withdrawn; r++) {
        Report report = i.reports[r];
        if (report.absentSince >= 0 && (!report.needsCorroboration || isCorroborated(now, i, report, r))) {
          i.withdrawn = true;
          contestedCount++;
          i.withdrawnAt = now;
          i.lastAbsentAt = now;
          i.withdrawingResolver = r;
          i.setReason(ChangeReason.WITHDRAWN, r);
        }
      }
      if (!i.withdrawn) {
        return;
      }
    }
    disputedAbsences.remove(i);
    Report withdrawing = i.reports[i.withdrawingResolver];
    boolean stillListed = countListing(i, now) > 0;
    if (withdrawing.listed) {
      if (now - i.lastAbsentAt >= rules.settleMillis()) {
        cancelWithdrawal(i, ChangeReason.RETURNED);
      } else {
        scheduleCheck(i, i.lastAbsentAt + rules.settleMillis());
      }
    } else if (!stillListed) {
      revokeAcceptance(i);
      i.removedAt = now;
      scheduleCheck(i, now + rules.longestTtlMillis());
    } else if (now - i.withdrawnAt >= rules.longestTtlMillis()) {
      // No cache can hold records from before the withdrawal: a resolver that still lists it has it from the zone.
      if (2 * countListing(i, now) > countListing(i, now) + countOmitting(i, now)) {
        cancelWithdrawal(i, ChangeReason.OVERRULED);
        for (Report report : i.reports) {
          report.absentSince = -1;
        }
      } else {
        scheduleCheck(i, now + rules.longestTtlMillis());
      }
    } else {
      scheduleCheck(i, i.withdrawnAt + rules.longestTtlMillis());
    }
  }

  private void cancelWithdrawal(Instance i, ChangeReason reason) {
    i.withdrawn = false;
    contestedCount--;
    i.setReason(reason, i.withdrawingResolver);
    i.withdrawingResolver = -1;
  }

  /** Whether enough resolvers agree with an absence that needs corroboration. */
  private boolean isCorroborated(long now, Instance i, Report report, int resolver) {
    int needed = report.emptyAnswer ? rules.emptyWitnesses() : rules.witnesses();
    ResolverView.Domain d = views[resolver].domain(i.domain);
    // No other resolver responds: it has to repeat the answer for a time.
    if (views.length == 1 || othersUnresponsive(now, i, resolver) && isSoleResolverTrusted(now, i, resolver)) {
      return d.isLive(now) && d.answeredAt - report.absentSince >= rules.confirmMillis();
    }
    return countOmitting(i, now) >= Math.max(2, needed);
  }

  // ---- Acceptance ----------------------------------------------------------------------------------------

  private void updateAcceptance(long now, Instance i) {
    if (i.current == null) {
      return;
    }
    int agreeing = countAgreeing(now, i, i.current);
    if (i.accepted) {
      if (i.soleResolver >= 0 && agreeing >= rules.witnesses()) {
        uncorroborated[i.soleResolver]--;
        i.soleResolver = -1;
        corroboratedCount++;
        if (!i.withdrawn && !i.draining) {
          i.setReason(ChangeReason.CORROBORATED, -1);
        }
      }
      return;
    }
    if (!i.isListed() || agreeing == 0) {
      awaitingCorroboration.remove(i);
      return;
    }
    if (views.length == 1 || agreeing >= rules.witnesses()) {
      corroboratedCount++;
      acceptInstance(i, ChangeReason.CORROBORATED, -1, now);
      return;
    }
    int resolver = firstAgreeingResolver(now, i);
    boolean othersUnresponsive = othersUnresponsive(now, i, resolver);
    if (othersUnresponsive && isSoleResolverTrusted(now, i, resolver)) {
      uncorroborated[resolver]++;
      i.soleResolver = resolver;
      acceptInstance(i, ChangeReason.ONLY_VOICE, resolver, now);
    } else if (isInitialWaitOver(now, i) && uncorroborated[resolver] < uncorroboratedLimit(now, resolver, i)) {
      uncorroborated[resolver]++;
      i.soleResolver = resolver;
      acceptInstance(i, ChangeReason.LONE_VOICE, resolver, now);
    } else {
      i.setReason(ChangeReason.TOO_FEW_WITNESSES, resolver);
      awaitingCorroboration.add(i);
      scheduleCheck(i, now + Math.max(1, othersUnresponsive ? rules.loneWaitMillis() : rules.longestTtlMillis()));
    }
  }

  private int firstAgreeingResolver(long now, Instance i) {
    for (int r = 0; r < views.length; r++) {
      Incarnation reported = i.reports[r].listed && hasLiveList(r, i, now) ? views[r].incarnation(i.name, i.current.address()) : null;
      if (reported != null && reported.isSame(i.current)) {
        return r;
      }
    }
    throw new IllegalStateException(i.name + " is listed by no resolver");
  }

  /** Whether every resolver has responded for the instance's domain, or the first wait is over. */
  private boolean isInitialWaitOver(long now, Instance i) {
    if (now - startedAt >= rules.firstWaitMillis()) {
      return true;
    }
    for (ResolverView v : views) {
      ResolverView.Domain d = v.domains.get(i.domain);
      if (d == null || !d.hasResponded()) {
        return false;
      }
    }
    return true;
  }

  private boolean othersUnresponsive(long now, Instance i, int resolver) {
    for (int r = 0; r < views.length; r++) {
      if (r != resolver && hasLiveList(r, i, now)) {
        return false;
      }
    }
    return isInitialWaitOver(now, i);
  }

  /** Whether all other resolvers have been unresponsive for so long that one is trusted alone. */
  private boolean isSoleResolverTrusted(long now, Instance i, int resolver) {
    for (int r = 0; r < views.length; r++) {
      ResolverView.Domain d = views[r].domains.get(i.domain);
      if (r != resolver && d != null && d.answeredAt >= 0 && now < d.expiresAt + rules.loneWaitMillis()) {
        return false;
      }
    }
    // While there is a corroborated list, additions by one resolver can wait.
    return now - startedAt >= rules.firstWaitMillis() + (corroboratedCount > 0 ? rules.loneWaitMillis() : 0);
  }

  /** How many instances one resolver may add on its report alone: its weight times the number of corroborated instances. */
  private int uncorroboratedLimit(long now, int resolver, Instance i) {
    int base = corroboratedCount;
    if (base == 0) {
      // Nothing is corroborated yet: the shortest live list counts, so that a long forged one does not raise the limit.
      base = Integer.MAX_VALUE;
      for (int r = 0; r < views.length; r++) {
        if (hasLiveList(r, i, now)) {
          base = Math.min(base, views[r].domain(i.domain).names.size());
        }
      }
    }
    return (int) Math.floor(rules.weights().get(resolver) * base + 1e-9);
  }

  private void acceptInstance(Instance i, ChangeReason reason, int resolver, long now) {
    awaitingCorroboration.remove(i);
    i.accepted = true;
    i.withdrawn = false;
    i.removedAt = -1;
    acceptedCount++;
    if (!i.draining) {
      i.setReason(reason, resolver);
    }
    if (i.current.attributes().bootId().isEmpty() && !mayPredateReader(i)) {
      i.upSince = now; // Without a boot ID it may have restarted at any time since it was last seen.
    }
    index(i);
  }

  private void revokeAcceptance(Instance i) {
    unindex(i);
    if (i.soleResolver >= 0) {
      uncorroborated[i.soleResolver]--;
      i.soleResolver = -1;
    } else {
      corroboratedCount--;
    }
    contestedCount -= i.withdrawn ? 1 : 0;
    acceptedCount--;
    i.accepted = false;
    i.wasRemoved = true;
    i.withdrawn = false;
    i.withdrawingResolver = -1;
    cachedUnconfirmed.remove(i);
    for (Report report : i.reports) {
      report.absentSince = -1;
    }
    if (i.current != null) {
      i.recordEnded(i.current.identity(), i.lastAbsentAt);
      i.removeEnded(i.current.identity());
    }
  }

  private void removeInstance(Instance i) {
    instances.remove(i.name);
    awaitingCorroboration.remove(i);
    disputedAbsences.remove(i);
    for (ResolverView v : views) {
      v.attributes.remove(i.name);
      List<SrvRecord> removed = v.srvRecords.remove(i.name);
      if (removed != null) {
        removed.forEach(s -> unlink(s.target(), i.name));
      }
    }
  }

  /** Whether all resolvers have been unresponsive for longer than the stale limit, so that their last list no longer counts. */
  private boolean isStale(long now, Instance i) {
    long last = -1;
    for (int r = 0; r < views.length; r++) {
      ResolverView.Domain d = views[r].domains.get(i.domain);
      if (d != null && d.answeredAt >= 0) {
        last = Math.max(last, d.expiresAt);
      }
    }
    last = last < 0 ? startedAt : last;
    if (now - last >= rules.staleMillis()) {
      return true;
    }
    scheduleCheck(i, last + rules.staleMillis());
    return false;
  }

  // ---- Publication ---------------------------------------------------------------------------------------

  private void publish(long now, Instance i, Consumer<Change> out) {
    if (i.accepted && isStale(now, i)) {
      revokeAcceptance(i);
      i.removedAt = now;
      i.setReason(ChangeReason.STALE_LIMIT, -1);
      scheduleCheck(i, now + rules.longestTtlMillis());
    }
    Member next = toMember(now, i);
    updateAvailable(i, next);
    Member last = i.published;
    if (last != null && (next == null || !next.id().equals(last.id()))) {
      out.accept(new Change(now, last.withPhase(Phase.GONE), i.reason, i.reasonResolver));
    }
    if (next != null && !next.equals(last)) {
      out.accept(new Change(now, next, reasonFor(i, next), i.reasonResolver));
    }
    readyCount += (next != null && next.phase() == Phase.READY ? 1 : 0) - (last != null && last.phase() == Phase.READY ? 1 : 0);
    i.published = next;
  }

  private ChangeReason reasonFor(Instance i, Member next) {
    return next.phase() != Phase.DRAINING || i.draining || i.withdrawn ? i.reason : ChangeReason.RESERVE;
  }

  private Member toMember(long now, Instance i) {
    if (!i.accepted || canonicalInstance(i) != i) {
      return null;
    }
    boolean draining = false;
    for (Instance sharing : byAddress.getOrDefault(i.addressKey, List.of())) {
      draining |= sharing.domain.equals(i.domain) && sharing != i ? false : sharing.draining || sharing.withdrawn;
    }
    Incarnation x = i.current;
    boolean reserve = x.srv().priority() > activePriority;
    return new Member(i.name + "|" + x.identity(), i.name, x.srv().target(), x.address(), x.srv().port(), x.attributes().locality(),
        x.attributes().cell(), relativeSize(x), draining || reserve ? Phase.DRAINING : Phase.READY, i.upSince);
  }

  /** The size attribute, else the weight of the SRV record relative to 100; a weight of 0 carries no information (RFC 2782). */
  private static double relativeSize(Incarnation x) {
    return x.attributes().size() > 0 ? x.attributes().size() : x.srv().weight() > 0 ? Math.min(MAX_SIZE, x.srv().weight() / DEFAULT_WEIGHT) : 1;
  }

  /**
   * Selects the instance that represents an address listed under several names: the latest start, within one domain the one seen last,
   * else the smallest name.
   */
  private Instance canonicalInstance(Instance i) {
    Instance best = i;
    for (Instance other : byAddress.getOrDefault(i.addressKey, List.of())) {
      if (other != best && isPreferredName(other, best)) {
        best = other;
      }
    }
    if (best != i && i.reason != ChangeReason.DUPLICATE) {
      i.setReason(ChangeReason.DUPLICATE, -1);
    }
    return best;
  }

  private static boolean isPreferredName(Instance a, Instance b) {
    if (a.current.isOlder(b.current) || b.current.isOlder(a.current)) {
      return b.current.isOlder(a.current);
    } else if (a.domain.equals(b.domain) && a.firstSeenAt != b.firstSeenAt) {
      return a.firstSeenAt > b.firstSeenAt;
    }
    return (a.domain + ' ' + a.name).compareTo(b.domain + ' ' + b.name) < 0;
  }

  /** Updates the number of available servers per priority, reserves included. */
  private void updateAvailable(Instance i, Member next) {
    int available = next != null && !i.draining && !i.withdrawn ? 1 : 0;
    int priority = next == null ? 0 : i.current.srv().priority();
    if (i.countedAvailable == available && i.countedPriority == priority) {
      return;
    }
    availableByPriority.merge(i.countedPriority, -i.countedAvailable, Integer::sum);
    availableByPriority.merge(priority, available, Integer::sum);
    i.countedAvailable = available;
    i.countedPriority = priority;
  }

  /** Determines the least preferred priority that has to serve, and publishes the instances for which that changes. */
  private void updateActivePriority(long now, Consumer<Change> out) {
    int active = Integer.MAX_VALUE;
    int available = 0;
    for (int priority : byPriority.keySet()) {
      available += availableByPriority.getOrDefault(priority, 0);
      if (available >= Math.max(1, rules.reserveBelow())) {
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
      changed.forEach(i -> publish(now, i, out));
    }
  }

  // ---- Queries -------------------------------------------------------------------------------------------

  /** The published list, sorted by id. */
  public List<Member> members() {
    List<Member> all = new ArrayList<>();
    for (Instance i : instances.values()) {
      if (i.published != null) {
        all.add(i.published);
      }
    }
    all.sort(Comparator.comparing(Member::id));
    return all;
  }

  /** The number of ready servers on the published list. */
  public int readyCount() {
    return readyCount;
  }

  /** The number of known instances, accepted or not. */
  public int instances() {
    return instances.size();
  }

  /** The number of answers that were ignored because their zone was outdated. */
  public long outdatedAnswers() {
    return ignoredAnswers;
  }

  /** Descriptions of ignored values, without duplicates, at most 1000. */
  public List<String> problems() {
    return List.copyOf(problems);
  }

  /** Whether every resolver has responded for each of these domains, or the first wait is over. */
  public boolean hasInitialAnswers(long now, Iterable<String> domains) {
    if (startedAt >= 0 && now - startedAt >= rules.firstWaitMillis()) {
      return true;
    }
    for (String domain : domains) {
      for (ResolverView v : views) {
        ResolverView.Domain d = v.domains.get(domain);
        if (d == null || !d.hasResponded()) {
          return false;
        }
      }
    }
    return true;
  }

  /** A readable report of an instance: its state, the reason for it, and what each resolver reports. */
  public List<String> explain(long now, String name) {
    Instance i = instances.get(name);
    if (i == null) {
      return List.of(name + ": no resolver lists it");
    }
    List<String> lines = new ArrayList<>();
    lines.add(name + ": " + (i.published == null ? "not on the list" : i.published.phase().name().toLowerCase(java.util.Locale.ROOT)
        + " at " + i.published.address() + ":" + i.published.port()) + (i.reason == null ? "" : ", " + i.reason.code())
        + (i.reasonResolver < 0 ? "" : ", reported by resolver " + i.reasonResolver));
    if (i.published != null) {
      lines.add("  id " + i.published.id() + ", up since " + (i.published.upSince() == 0 ? "long ago" : i.published.upSince())
          + ", priority " + i.current.srv().priority() + ", size " + i.published.size());
    }
    for (int r = 0; r < views.length; r++) {
      Report report = i.reports[r];
      Incarnation reported = views[r].incarnation(name, null);
      TextKeys.Attributes attributes = views[r].attributes.get(name);
      lines.add("  resolver " + r + (hasLiveList(r, i, now) ? "" : " (unresponsive)") + ": " + (report.listed ? "lists it"
          : report.absentSince >= 0 ? "no longer lists it" + (report.needsCorroboration ? ", in an answer that needs corroboration" : "")
          : "does not list it")
          + (reported == null ? ", no SRV or address record" : ", " + reported.identity() + " at " + reported.address())
          + (attributes != null && attributes.draining() ? ", draining" : "")
          + (attributes == null || attributes.unknownKeys().isEmpty() ? "" : ", other keys " + attributes.unknownKeys()));
    }
    i.endedIncarnations().forEach((identity, at) -> lines.add("  incarnation " + identity + " ended at " + at));
    return lines;
  }

  /** The details of a listed server that a cached list needs for {@link #restoreCached}. */
  public CachedDetails cachedDetails(Member m) {
    Instance i = instances.get(m.instance());
    return i == null || i.current == null ? new CachedDetails("", 0, "")
        : new CachedDetails(i.domain, i.current.srv().priority(), i.current.attributes().bootId());
  }

  /** The part of a cached entry that {@link Member} does not have. */
  public record CachedDetails(String domain, int priority, String bootId) {}
}
