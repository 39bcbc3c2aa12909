package cloverpulley.incident;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Consumer;

/**
 * The course of an incident, gathered record by record: counts by span of time, class, tenant and answer; the states of each server as
 * each instance was told; the lives of the instances and the gaps between them. What is not known is kept as that: a gap never counts as
 * a time in which nothing happened. Memory is bounded by spans, classes, tenants and servers, and by requests in hand.
 */
public final class Timeline {

  /** Requests in hand at one time; more are counted as unknown. */
  private static final int MOST_OPEN = 1_000_000;
  private static final int MOST_NAMES = 10_000;
  private static final String OTHER = "(others)";

  /** What is counted: a class's and a tenant's answers of one kind and word in one span. */
  public record CounterKey(long interval, String className, String tenant, int answer, String word) {}

  /** A time of an instance of which nothing, or not all, is known. */
  public record Gap(String instance, long from, long to, String reason, long minUnknown, long maxUnknown) {
    /** Whether nothing bounds how much happened in it. */
    public boolean isUnbounded() {
      return maxUnknown < 0;
    }
  }

  /** What an instance was told of a server. */
  public record ServerUpdate(String instance, long at, String server, long upstream, String state, long revision, long startedMillis) {}

  /** One life of an instance. */
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
    /** Records that went with old segments. */
    public long removed;
    private long missing;
    private long lastSeq;

    Incarnation(Origin origin) {
      this.origin = origin;
    }

    /** Records that are not there, without a word on them: spoilt, or lost with a disk. */
    public long missing() {
      return Math.max(0, missing - removed);
    }

    public long droppedTotal() {
      return dropped.values().stream().mapToLong(n -> n).sum();
    }
  }

  private final long interval;
  private final boolean whole;
  private final Map<CounterKey, Long> answerCounts = new HashMap<>();
  private final Map<Origin, Incarnation> incarnations = new TreeMap<>();
  private final List<ServerUpdate> serverUpdates = new ArrayList<>();
  private final Map<Long, String> names = new HashMap<>();
  private final Map<Origin, Map<Long, Entry>> openRequests = new HashMap<>();
  private final Map<CounterKey, Long> retryOutcomes = new HashMap<>();
  private final TreeMap<Long, long[]> latency = new TreeMap<>();
  private final TreeSet<String> classes = new TreeSet<>();
  private final TreeSet<String> tenants = new TreeSet<>();
  private long unheld;
  private final Map<String, Integer> callerOnly = new HashMap<>();
  private final Map<String, Integer> calleeOnly = new HashMap<>();
  private long unmatched;
  /** Shares in millionths, as the instances were told. */
  private final Map<String, Long> shares = new TreeMap<>();

  /**
   * A course counted in spans of so many microseconds.
   *
   * @param whole whether all records come, so that a number that does not is one that is missing
   */
  public Timeline(long intervalMicros, boolean whole) {
    interval = intervalMicros;
    this.whole = whole;
  }

  public long interval() {
    return interval;
  }

  /** Takes a record; those of one origin come in the order of their numbers. */
  public void add(Entry e, Clocks clocks) {
    Incarnation life = incarnations.computeIfAbsent(e.origin(), Incarnation::new);
    life.records++;
    life.first = Math.min(life.first, e.at());
    life.last = Math.max(life.last, e.at());
    if (whole && e.seq() > life.lastSeq + 1) {
      life.missing += e.seq() - life.lastSeq - 1;
    }
    life.lastSeq = Math.max(life.lastSeq, e.seq());
    switch (e.kind()) {
      case START -> {
        life.started = true;
        life.frontend = e.word() == null ? "" : e.word();
        life.processes = e.other();
      }
      case STOP -> life.stopped = true;
      case TENANT -> shares.put(e.tenant(), e.value());
      case TAKEN -> {
        life.accepted++;
        Map<Long, Entry> mine = openRequests.computeIfAbsent(e.origin(), o -> new HashMap<>());
        if (mine.size() < MOST_OPEN) {
          mine.put(e.request(), e);
        } else {
          unheld++;
        }
      }
      case ENDED -> {
        life.ended++;
        Map<Long, Entry> mine = openRequests.get(e.origin());
        if (mine != null) {
          mine.remove(e.request());
        }
      }
      case SENT -> life.sent++;
      case OUTCOME -> {
        life.outcomes++;
        if (e.attempt() > 0) {
          retryOutcomes.merge(new CounterKey(spanOf(e, clocks), name(classes, e.className()), "", 0, e.word()), 1L, Long::sum);
        }
      }
      case ANSWERED -> answered(e, clocks);
      case REMOVED -> life.removed += Math.max(0, e.value());
      case DROPPED -> life.dropped.merge(e.word(), e.value(), Long::sum);
      case SERVER -> {
        if (names.size() < MOST_NAMES) {
          names.put(e.upstream(), e.name());
        }
        serverUpdates.add(new ServerUpdate(e.origin().instance(), at(e, clocks), e.name(), e.upstream(), e.word(), e.value(), e.other()));
      }
      default -> { }
    }
  }

  private void answered(Entry e, Clocks clocks) {
    boolean caller = "caller".equals(e.word());
    if (e.id() != null && !(caller && e.other() == Entry.GONE)) {
      match(e, caller);
    }
    if (caller) {
      return; // Its callee counts it.
    }
    long at = spanOf(e, clocks);
    answerCounts.merge(new CounterKey(at, name(classes, e.className()), name(tenants, e.tenant()), (int) e.other(), e.word()), 1L, Long::sum);
    long[] histogram = latency.computeIfAbsent(at, s -> new long[64]);
    histogram[bucket(e.value())]++;
  }

  /** Callers' own words against those of who was called: what only a caller tells of was answered by one whose records are lost. */
  private void match(Entry e, boolean caller) {
    Map<String, Integer> mine = caller ? callerOnly : calleeOnly;
    Map<String, Integer> theirs = caller ? calleeOnly : callerOnly;
    if (theirs.remove(e.id()) == null) {
      if (mine.size() >= MOST_OPEN) {
        unmatched++;
      } else {
        mine.put(e.id(), (int) e.other());
      }
    }
  }

  /** Tries that callers had an answer to and of which no other record tells, by what the answer was; none where no caller recorded. */
  public Map<Integer, Long> callerOnly() {
    Map<Integer, Long> by = new TreeMap<>();
    callerOnly.values().forEach(answer -> by.merge(answer, 1L, Long::sum));
    return by;
  }

  /** The other side: answers of which no caller tells, though callers recorded; the caller may have gone before it came. */
  public Map<Integer, Long> calleeOnly() {
    Map<Integer, Long> by = new TreeMap<>();
    calleeOnly.values().forEach(answer -> by.merge(answer, 1L, Long::sum));
    return by;
  }

  /** Whether there were more calls than could be held against one another: then {@link #callerOnly} is too high by this at most. */
  public long unmatched() {
    return unmatched;
  }

  /** Names that come from requests are bounded: past the bound they are counted together. */
  private static String name(TreeSet<String> known, String name) {
    String key = name == null ? "" : name;
    if (!known.contains(key)) {
      if (known.size() >= MOST_NAMES) {
        return OTHER;
      }
      known.add(key);
    }
    return key;
  }

  private long at(Entry e, Clocks clocks) {
    return e.at() + clocks.offset(e.origin().instance(), e.at()).midpoint();
  }

  /** By when the request came, on the reference's clock: an answer is counted where its request is. */
  private long spanOf(Entry e, Clocks clocks) {
    return Math.floorDiv(at(e, clocks) - e.value(), interval) * interval;
  }

  // ---- Latency, in buckets of a factor of the square root of two -----------------------------------------

  private static int bucket(long micros) {
    return micros <= 1 ? 0 : Math.min(63, (int) (2 * Math.log(micros) / Math.log(2)));
  }

  /** A percentile of a span's latencies, microseconds, as the upper edge of its bucket: too high by a factor of 1.42 at most. */
  public long latencyPercentile(long at, double percentile) {
    long[] histogram = latency.getOrDefault(at, new long[64]);
    long all = 0;
    for (long n : histogram) {
      all += n;
    }
    long upTo = (long) Math.ceil(all * percentile / 100);
    for (int i = 0; i < histogram.length && all > 0; i++) {
      upTo -= histogram[i];
      if (upTo <= 0) {
        return (long) Math.pow(2, (i + 1) / 2.0);
      }
    }
    return 0;
  }

  // ---- What came of it ------------------------------------------------------------------------------------

  public Map<CounterKey, Long> answerCounts() {
    return answerCounts;
  }

  /** Outcomes of attempts after the first, by class. */
  public Map<CounterKey, Long> retryOutcomes() {
    return retryOutcomes;
  }

  /** Answers that fit; null stands for any. */
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

  /** What the lists called a server; its number where they never did. */
  public String serverName(long upstream) {
    return names.getOrDefault(upstream, Long.toHexString(upstream));
  }

  public TreeSet<String> classes() {
    return classes;
  }

  public TreeSet<String> tenants() {
    return tenants;
  }

  /** The spans in which anything was answered, and all between them. */
  public List<Long> intervals() {
    List<Long> all = new ArrayList<>();
    if (!latency.isEmpty()) {
      for (long s = latency.firstKey(); s <= latency.lastKey(); s += interval) {
        all.add(s);
      }
    }
    return all;
  }

  /** Requests that an origin took and of which no end is recorded. */
  public long openRequests(Origin origin) {
    return openRequests.getOrDefault(origin, Map.of()).size();
  }

  /** Tells of each request without an end. */
  public void forEachOpen(Consumer<Entry> to) {
    openRequests.values().forEach(all -> all.values().forEach(to));
  }

  /**
   * What is not known: the time from a life's last word to its successor's first where it never said that it stopped; records dropped; an
   * instance of a group of which there is none.
   */
  public List<Gap> gaps(Clocks clocks) {
    List<Gap> gaps = new ArrayList<>();
    long end = incarnations.values().stream().mapToLong(l -> l.last + clocks.offset(l.origin.instance(), l.last).midpoint()).max().orElse(0);
    Incarnation before = null;
    for (Incarnation life : incarnations.values()) {
      boolean same = before != null && before.origin.instance().equals(life.origin.instance());
      if (same && before.last < life.first) {
        gap(gaps, clocks, before, life.first);
      } else if (before != null && !same && !before.stopped) {
        endOf(gaps, clocks, before, end);
      }
      if (life.removed > 0) {
        long o = clocks.offset(life.origin.instance(), life.first).midpoint();
        gaps.add(new Gap(life.origin.instance(), life.origin.start() + o, life.first + o, "the oldest " + life.removed
            + " records went for younger ones", 0, life.removed));
      }
      if (life.droppedTotal() + life.missing() > 0) {
        long lost = life.droppedTotal() + life.missing();
        String reason = (life.droppedTotal() > 0 ? "records dropped " + life.dropped : "")
            + (life.missing() > 0 ? (life.droppedTotal() > 0 ? ", " : "") + "records missing " + life.missing() : "");
        long o = clocks.offset(life.origin.instance(), life.first).midpoint();
        gaps.add(new Gap(life.origin.instance(), life.first + o, life.last + o, reason, 0, lost));
      }
      before = life;
    }
    if (before != null && !before.stopped) {
      endOf(gaps, clocks, before, end);
    }
    long processes = incarnations.values().stream().mapToLong(l -> l.processes).max().orElse(0);
    long seen = incarnations.values().stream().map(l -> l.origin.instance()).distinct().count();
    for (long i = seen; i < processes; i++) {
      long first = incarnations.values().stream().mapToLong(l -> l.first + clocks.offset(l.origin.instance(), l.first).midpoint()).min().orElse(0);
      gaps.add(new Gap("(an instance without records)", first, end, "of " + processes + " processes " + seen + " have records", 0, -1));
    }
    return gaps;
  }

  private void gap(List<Gap> gaps, Clocks clocks, Incarnation before, long next) {
    long o = clocks.offset(before.origin.instance(), before.last).midpoint();
    long lost = openRequests(before.origin);
    String reason = before.stopped ? "between a stop and the next start" : "ended without a stop" + (lost > 0 ? ", " + lost + " in hand" : "");
    gaps.add(new Gap(before.origin.instance(), before.last + o, next + o, reason, before.stopped ? 0 : lost, before.stopped ? 0 : -1));
  }

  private void endOf(List<Gap> gaps, Clocks clocks, Incarnation life, long end) {
    long o = clocks.offset(life.origin.instance(), life.last).midpoint();
    if (life.last + o < end || openRequests(life.origin) > 0) {
      gaps.add(new Gap(life.origin.instance(), life.last + o, end, "no record of a stop, " + openRequests(life.origin) + " in hand",
          openRequests(life.origin), -1));
    }
  }

  /** Requests of which the end is not known: in hand where records end, and such as could not be held. */
  public long unresolvedRequests() {
    return openRequests.values().stream().mapToLong(Map::size).sum() + unheld;
  }
}
