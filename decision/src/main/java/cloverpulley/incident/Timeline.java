package cloverpulley.incident;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Consumer;

/**
 * The timeline of an incident, built record by record: answer counts by interval, class, tenant and result; the server states that each
 * instance received; the incarnations of the instances and the gaps between them. Unknowns are kept as unknowns: a gap never counts as a
 * period without events. Memory is bounded by the number of intervals, classes, tenants, servers and pending requests.
 */
public final class Timeline {

  /** Pending requests tracked per incarnation; further ones are counted as unresolved. */
  private static final int MAX_OPEN = 1_000_000;
  private static final int MAX_NAMES = 10_000;
  private static final String OTHERS = "(others)";

  /** Key of a counter: an interval (by its start), class, tenant, result of the answer and its reason. */
  public record CounterKey(long interval, String className, String tenant, int answer, String word) {}

  /**
   * A period of an instance of which some or all records are missing.
   *
   * @param minUnknown minimum number of requests or records affected
   * @param maxUnknown maximum number of them; negative if unbounded
   */
  public record Gap(String instance, long from, long to, String reason, long minUnknown, long maxUnknown) {
    /** Whether there is no upper bound for what happened in it. */
    public boolean isUnbounded() {
      return maxUnknown < 0;
    }
  }

  /** A server state that an instance received. */
  public record ServerUpdate(String instance, long at, String server, long upstream, String state, long revision, long startedMillis) {}

  /** One incarnation of an instance: a single run of its process. */
  public static final class Incarnation {
    public final Origin origin;
    public String frontend = "";
    public long first = Long.MAX_VALUE;
    public long last = Long.MIN_VALUE;
    public boolean started;
    public boolean stopped;
    public long processes;
    public long accepted;
    public long ended;
    public long sent;
    public long outcomes;
    public long records;
    public final Map<String, Long> dropped = new TreeMap<>();
    /** Records removed with old segments. */
    public long removed;
    private long missing;
    private long lastSeq;

    Incarnation(Origin origin) {
      this.origin = origin;
    }

    /** Records missing without a record of their removal: corrupt, or lost with a disk. */
    public long missing() {
      return Math.max(0, missing - removed);
    }

    public long droppedTotal() {
      return dropped.values().stream().mapToLong(n -> n).sum();
    }
  }

  private final long interval;
  private final boolean complete;
  private final Map<CounterKey, Long> answerCounts = new HashMap<>();
  private final Map<Origin, Incarnation> incarnations = new TreeMap<>();
  private final List<ServerUpdate> serverUpdates = new ArrayList<>();
  private final Map<Long, String> serverNames = new HashMap<>();
  private final Map<Origin, Map<Long, Entry>> openRequests = new HashMap<>();
  private final Map<CounterKey, Long> retryOutcomes = new HashMap<>();
  private final TreeMap<Long, long[]> latency = new TreeMap<>();
  private final TreeSet<String> classes = new TreeSet<>();
  private final TreeSet<String> tenants = new TreeSet<>();
  private long untracked;
  private final Map<String, Integer> callerOnly = new HashMap<>();
  private final Map<String, Integer> calleeOnly = new HashMap<>();
  private long unmatched;
  /** Shares in millionths, as in the settings of the instances. */
  private final Map<String, Long> shares = new TreeMap<>();

  /**
   * Creates an empty timeline.
   *
   * @param intervalMicros length of the intervals that answers are counted by
   * @param complete whether all records are added, so that a skipped sequence number is a missing record
   */
  public Timeline(long intervalMicros, boolean complete) {
    interval = intervalMicros;
    this.complete = complete;
  }

  public long interval() {
    return interval;
  }

  /** Adds a record. The records of one origin must come in the order of their sequence numbers. */
  public void add(Entry e, Clocks clocks) {
    Incarnation incarnation = incarnations.computeIfAbsent(e.origin(), Incarnation::new);
    incarnation.records++;
    incarnation.first = Math.min(incarnation.first, e.at());
    incarnation.last = Math.max(incarnation.last, e.at());
    if (complete && e.seq() > incarnation.lastSeq + 1) {
      incarnation.missing += e.seq() - incarnation.lastSeq - 1;
    }
    incarnation.lastSeq = Math.max(incarnation.lastSeq, e.seq());
    switch (e.kind()) {
      case START -> {
        incarnation.started = true;
        incarnation.frontend = e.word() == null ? "" : e.word();
        incarnation.processes = e.other();
      }
      case STOP -> incarnation.stopped = true;
      case TENANT -> shares.put(e.tenant(), e.value());
      case TAKEN -> {
        incarnation.accepted++;
        Map<Long, Entry> pending = openRequests.computeIfAbsent(e.origin(), o -> new HashMap<>());
        if (pending.size() < MAX_OPEN) {
          pending.put(e.request(), e);
        } else {
          untracked++;
        }
      }
      case ENDED -> {
        incarnation.ended++;
        Map<Long, Entry> pending = openRequests.get(e.origin());
        if (pending != null) {
          pending.remove(e.request());
        }
      }
      case SENT -> incarnation.sent++;
      case OUTCOME -> {
        incarnation.outcomes++;
        if (e.attempt() > 0) {
          retryOutcomes.merge(new CounterKey(intervalOf(e, clocks), boundedName(classes, e.className()), "", 0, e.word()), 1L, Long::sum);
        }
      }
      case ANSWERED -> recordAnswer(e, clocks);
      case REMOVED -> incarnation.removed += Math.max(0, e.value());
      case DROPPED -> incarnation.dropped.merge(e.word(), e.value(), Long::sum);
      case SERVER -> {
        if (serverNames.size() < MAX_NAMES) {
          serverNames.put(e.upstream(), e.name());
        }
        serverUpdates.add(new ServerUpdate(e.origin().instance(), referenceTime(e, clocks), e.name(), e.upstream(), e.word(), e.value(), e.other()));
      }
      default -> { }
    }
  }

  private void recordAnswer(Entry e, Clocks clocks) {
    boolean caller = "caller".equals(e.word());
    if (e.id() != null && !(caller && e.other() == Entry.GONE)) {
      match(e, caller);
    }
    if (caller) {
      return; // Counted by the callee's record.
    }
    long at = intervalOf(e, clocks);
    answerCounts.merge(new CounterKey(at, boundedName(classes, e.className()), boundedName(tenants, e.tenant()), (int) e.other(), e.word()),
        1L, Long::sum);
    long[] histogram = latency.computeIfAbsent(at, s -> new long[64]);
    histogram[latencyBucket(e.value())]++;
  }

  /** Matches callers' records with callees': an answer that only the caller recorded came from an instance that lost its records. */
  private void match(Entry e, boolean caller) {
    Map<String, Integer> sameSide = caller ? callerOnly : calleeOnly;
    Map<String, Integer> otherSide = caller ? calleeOnly : callerOnly;
    if (otherSide.remove(e.id()) == null) {
      if (sameSide.size() >= MAX_OPEN) {
        unmatched++;
      } else {
        sameSide.put(e.id(), (int) e.other());
      }
    }
  }

  /** Calls whose answer only the caller recorded, by result; empty if no caller keeps records. */
  public Map<Integer, Long> callerOnly() {
    Map<Integer, Long> counts = new TreeMap<>();
    callerOnly.values().forEach(answer -> counts.merge(answer, 1L, Long::sum));
    return counts;
  }

  /** Answers that no caller recorded, by result; the caller may have disconnected before the answer arrived. */
  public Map<Integer, Long> calleeOnly() {
    Map<Integer, Long> counts = new TreeMap<>();
    calleeOnly.values().forEach(answer -> counts.merge(answer, 1L, Long::sum));
    return counts;
  }

  /** Number of records not matched because too many were waiting for a match: {@link #callerOnly} is too high by this at most. */
  public long unmatched() {
    return unmatched;
  }

  /** Bounds the names that come from requests: beyond the bound they share one counter. */
  private static String boundedName(TreeSet<String> known, String name) {
    String key = name == null ? "" : name;
    if (!known.contains(key)) {
      if (known.size() >= MAX_NAMES) {
        return OTHERS;
      }
      known.add(key);
    }
    return key;
  }

  private long referenceTime(Entry e, Clocks clocks) {
    return e.at() + clocks.offset(e.origin().instance(), e.at()).midpoint();
  }

  /** The interval in which the request arrived, in reference time: an answer counts where its request does. */
  private long intervalOf(Entry e, Clocks clocks) {
    return Math.floorDiv(referenceTime(e, clocks) - e.value(), interval) * interval;
  }

  // ---- Latency, in buckets of a factor of the square root of two ---------------------------------------

  private static int latencyBucket(long micros) {
    return micros <= 1 ? 0 : Math.min(63, (int) (2 * Math.log(micros) / Math.log(2)));
  }

  /** A percentile of an interval's latencies in microseconds, as the upper edge of its bucket: too high by a factor of 1.42 at most. */
  public long latencyPercentile(long at, double percentile) {
    long[] histogram = latency.getOrDefault(at, new long[64]);
    long all = 0;
    for (long n : histogram) {
      all += n;
    }
    long remaining = (long) Math.ceil(all * percentile / 100);
    for (int i = 0; i < histogram.length && all > 0; i++) {
      remaining -= histogram[i];
      if (remaining <= 0) {
        return (long) Math.pow(2, (i + 1) / 2.0);
      }
    }
    return 0;
  }

  // ---- Results -----------------------------------------------------------------------------------------

  public Map<CounterKey, Long> answerCounts() {
    return answerCounts;
  }

  /** Outcomes of attempts after the first, by class. */
  public Map<CounterKey, Long> retryOutcomes() {
    return retryOutcomes;
  }

  /** Number of matching answers; null matches any. */
  public long count(Long at, String className, String tenant, Integer answer) {
    long sum = 0;
    for (Map.Entry<CounterKey, Long> e : answerCounts.entrySet()) {
      CounterKey c = e.getKey();
      if ((at == null || c.interval == at) && (className == null || c.className.equals(className))
          && (tenant == null || c.tenant.equals(tenant)) && (answer == null || c.answer == answer)) {
        sum += e.getValue();
      }
    }
    return sum;
  }

  public List<Incarnation> incarnations() {
    return List.copyOf(incarnations.values());
  }

  public List<ServerUpdate> serverUpdates() {
    return serverUpdates;
  }

  /** The tenants' shares, in millionths of the whole. */
  public Map<String, Long> shares() {
    return shares;
  }

  /** The name of a server in the endpoint lists, or its number if no list named it. */
  public String serverName(long upstream) {
    return serverNames.getOrDefault(upstream, Long.toHexString(upstream));
  }

  public TreeSet<String> classes() {
    return classes;
  }

  public TreeSet<String> tenants() {
    return tenants;
  }

  /** The starts of all intervals from the first to the last with an answer. */
  public List<Long> intervals() {
    List<Long> all = new ArrayList<>();
    if (!latency.isEmpty()) {
      for (long s = latency.firstKey(); s <= latency.lastKey(); s += interval) {
        all.add(s);
      }
    }
    return all;
  }

  /** Number of requests that an origin accepted and that have no recorded end. */
  public long openRequests(Origin origin) {
    return openRequests.getOrDefault(origin, Map.of()).size();
  }

  /** Visits each request without a recorded end. */
  public void forEachOpen(Consumer<Entry> to) {
    openRequests.values().forEach(all -> all.values().forEach(to));
  }

  /**
   * The gaps: from the last record of an incarnation to the first of the next one, or to the end if there is no record of a stop; periods
   * with dropped, removed or missing records; instances of a group that have no records at all.
   */
  public List<Gap> gaps(Clocks clocks) {
    List<Gap> gaps = new ArrayList<>();
    long end = incarnations.values().stream().mapToLong(l -> l.last + clocks.offset(l.origin.instance(), l.last).midpoint()).max().orElse(0);
    Incarnation previous = null;
    for (Incarnation incarnation : incarnations.values()) {
      boolean same = previous != null && previous.origin.instance().equals(incarnation.origin.instance());
      if (same && previous.last < incarnation.first) {
        addGap(gaps, clocks, previous, incarnation.first);
      } else if (previous != null && !same && !previous.stopped) {
        addFinalGap(gaps, clocks, previous, end);
      }
      if (incarnation.removed > 0) {
        long o = clocks.offset(incarnation.origin.instance(), incarnation.first).midpoint();
        gaps.add(new Gap(incarnation.origin.instance(), incarnation.origin.start() + o, incarnation.first + o,
            "the oldest " + incarnation.removed + " records were removed to make room for newer ones", 0, incarnation.removed));
      }
      if (incarnation.droppedTotal() + incarnation.missing() > 0) {
        long lost = incarnation.droppedTotal() + incarnation.missing();
        String reason = (incarnation.droppedTotal() > 0 ? "records dropped " + incarnation.dropped : "")
            + (incarnation.missing() > 0 ? (incarnation.droppedTotal() > 0 ? ", " : "") + "records missing " + incarnation.missing() : "");
        long o = clocks.offset(incarnation.origin.instance(), incarnation.first).midpoint();
        gaps.add(new Gap(incarnation.origin.instance(), incarnation.first + o, incarnation.last + o, reason, 0, lost));
      }
      previous = incarnation;
    }
    if (previous != null && !previous.stopped) {
      addFinalGap(gaps, clocks, previous, end);
    }
    long processes = incarnations.values().stream().mapToLong(l -> l.processes).max().orElse(0);
    long instancesWithRecords = incarnations.values().stream().map(l -> l.origin.instance()).distinct().count();
    for (long i = instancesWithRecords; i < processes; i++) {
      long first = incarnations.values().stream().mapToLong(l -> l.first + clocks.offset(l.origin.instance(), l.first).midpoint()).min().orElse(0);
      gaps.add(new Gap("(an instance without records)", first, end,
          "of " + processes + " processes " + instancesWithRecords + " have records", 0, -1));
    }
    return gaps;
  }

  private void addGap(List<Gap> gaps, Clocks clocks, Incarnation previous, long next) {
    long o = clocks.offset(previous.origin.instance(), previous.last).midpoint();
    long lost = openRequests(previous.origin);
    String reason = previous.stopped ? "between a stop and the next start" : "ended without a stop" + (lost > 0 ? ", " + lost + " pending" : "");
    gaps.add(new Gap(previous.origin.instance(), previous.last + o, next + o, reason, previous.stopped ? 0 : lost, previous.stopped ? 0 : -1));
  }

  private void addFinalGap(List<Gap> gaps, Clocks clocks, Incarnation incarnation, long end) {
    long o = clocks.offset(incarnation.origin.instance(), incarnation.last).midpoint();
    if (incarnation.last + o < end || openRequests(incarnation.origin) > 0) {
      gaps.add(new Gap(incarnation.origin.instance(), incarnation.last + o, end,
          "no record of a stop, " + openRequests(incarnation.origin) + " pending", openRequests(incarnation.origin), -1));
    }
  }

  /** Requests with an unknown end: pending where the records end, or not tracked because too many were pending. */
  public long unresolvedRequests() {
    return openRequests.values().stream().mapToLong(Map::size).sum() + untracked;
  }
}
