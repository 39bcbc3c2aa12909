package cloverpulley.incident;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Checks the four rules and the balance of the counts from the records alone. The records of one origin must come in order; those of
 * several origins may be interleaved. A violation that a dropped record could explain is reported as uncertain.
 */
public final class Audit {

  /** The rules, and the balance of the counts. Printed by name. */
  public enum Check { ONE_ANSWER, NO_EFFECT_TWICE, NOTHING_TO_DRAINED, COLD_NOT_PUSHED_OVER, SUMS }

  /** A violation; {@code certain} is false if missing records could explain it. */
  public record Finding(Check check, Origin origin, long at, String request, String description, boolean certain) {}

  /**
   * The parameters of the rules; times are in microseconds.
   *
   * @param drainGrace how long a server may still receive attempts after the instance was notified that the server is draining or gone
   * @param initialCapacity capacity of a server at its start, as a fraction of its full capacity
   * @param warmUpTime time from the start of a server to its full capacity
   * @param overloadFactor a starting server is overloaded above this multiple of its proportionate number of attempts, which is the average
   *     of the other servers times its current capacity
   * @param overloadWindow window over which those attempts are counted
   * @param answerSlack how long after its deadline an answer still counts as in time
   */
  public record Limits(long drainGrace, double initialCapacity, long warmUpTime, double overloadFactor, long overloadWindow, long answerSlack) {
    public static final Limits DEFAULT = new Limits(2_000_000, 0.32, 8_500_000, 3, 3_000_000, 50_000);
  }

  private static final int MAX_FINDINGS = 1000;
  /** Requests whose attempts are kept, as they may be retried; those idle longest are evicted. */
  private static final int MAX_REQUESTS = 500_000;
  /** Attempts that a starting server may always receive: two per second over the window, plus the random variation of so small a number. */
  private static final int SLOW_START_MIN_SENDS = 12;
  /** Minimum number of attempts in the window, to all servers, for the limit of a starting server to be meaningful. */
  private static final int MIN_SAMPLES = 20;

  private record ClassSettings(String effect, String scope, long window, long deadline) {}

  private record SentAttempt(Origin origin, int attempt, long upstream, long at, String group, boolean[] ended, String[] status) {}

  private record Server(String name, String state, long since, long startedMillis, String group) {}

  /** What the records of one origin have established. */
  private static final class OriginState {
    final Map<Long, Entry> accepted = new HashMap<>();
    final Map<Long, Integer> endCounts = new HashMap<>();
    final Map<Long, Server> servers = new HashMap<>();
    final Map<Long, Deque<Long>> sends = new HashMap<>();
    final Deque<Long> allSends = new ArrayDeque<>();
    final Map<Long, Integer> inFlight = new HashMap<>();
    final Set<Long> slowStartReported = new HashSet<>();
    long sent;
    long outcomes;
    long dropped;
    long lastSeq;
    boolean startSeen;
    boolean stopped;
  }

  private final Limits limits;
  private final boolean complete;
  private final Map<Origin, OriginState> origins = new TreeMap<>();
  private final Map<String, ClassSettings> classes = new HashMap<>();
  private final Map<String, List<SentAttempt>> requests = new LinkedHashMap<>(16, 0.75f, true) {
    private static final long serialVersionUID = 1;

    @Override
    protected boolean removeEldestEntry(Map.Entry<String, List<SentAttempt>> eldest) {
      return size() > MAX_REQUESTS;
    }
  };
  private final List<Finding> findings = new ArrayList<>();
  private final Map<Check, Long> checkCounts = new TreeMap<>();
  private long omittedFindings;

  /** @param complete whether all records are added; otherwise the balance is not checked, since records may be missing */
  public Audit(Limits limits, boolean complete) {
    this.limits = limits;
    this.complete = complete;
    for (Check c : Check.values()) {
      checkCounts.put(c, 0L);
    }
  }

  /** Adds a record. */
  public void add(Entry e) {
    OriginState s = origins.computeIfAbsent(e.origin(), o -> new OriginState());
    if (complete && s.lastSeq > 0 && e.seq() > s.lastSeq + 1) {
      s.dropped += e.seq() - s.lastSeq - 1;
    }
    s.lastSeq = Math.max(s.lastSeq, e.seq());
    switch (e.kind()) {
      case START -> s.startSeen = complete;
      case STOP -> s.stopped = true;
      case CLASS -> {
        String[] words = e.word().split(" ");
        classes.put(e.className(), new ClassSettings(words[0], words.length > 1 ? words[1] : "", e.value(), e.other()));
      }
      case DROPPED -> s.dropped += e.value();
      case SERVER -> onServer(s, e);
      case TAKEN -> {
        s.accepted.put(e.request(), e);
        count(Check.ONE_ANSWER);
      }
      case SENT -> onSent(s, e);
      case OUTCOME -> onOutcome(s, e);
      case ENDED -> onEnded(s, e);
      case REPLACED -> s.inFlight.clear();
      default -> { }
    }
  }

  private void count(Check check) {
    checkCounts.merge(check, 1L, Long::sum);
  }

  private void report(Check check, Entry e, String description, boolean certain) {
    if (findings.size() < MAX_FINDINGS) {
      findings.add(new Finding(check, e.origin(), e.at(), e.requestId(), description, certain));
    } else {
      omittedFindings++;
    }
  }

  private void onServer(OriginState s, Entry e) {
    Server known = s.servers.get(e.upstream());
    long since = known != null && known.state.equals(e.word()) ? known.since : e.at();
    s.servers.put(e.upstream(), new Server(e.name(), e.word(), since, e.other(), e.className() == null ? "" : e.className()));
  }

  // ---- Rule 1: one answer ------------------------------------------------------------------------------

  private void onEnded(OriginState s, Entry e) {
    Entry accepted = s.accepted.remove(e.request());
    int endCount = s.endCounts.merge(e.request(), 1, Integer::sum);
    if (s.endCounts.size() > MAX_REQUESTS) {
      s.endCounts.clear(); // Request numbers are not reused, and a second end this much later is not expected.
    }
    if (accepted == null) {
      if (endCount > 1) {
        report(Check.ONE_ANSWER, e, "ended a second time, " + e.word(), true);
      } else if (s.startSeen) {
        report(Check.ONE_ANSWER, e, "ended without having been accepted", s.dropped == 0);
      }
    } else if (accepted.value() > 0 && e.other() != Entry.GONE && e.at() - accepted.at() > accepted.value() + limits.answerSlack) {
      report(Check.ONE_ANSWER, e, "ended " + (e.at() - accepted.at() - accepted.value()) / 1000 + " ms late", true);
    }
  }

  // ---- Rule 2: no effect twice -------------------------------------------------------------------------

  private void onSent(OriginState s, Entry e) {
    s.sent++;
    s.inFlight.merge(e.request(), 1, Integer::sum);
    Server to = s.servers.get(e.upstream());
    checkDrained(s, e, to);
    checkSlowStart(s, e, to);
    ClassSettings settings = classes.get(e.className());
    if (settings == null || settings.effect.equals("safe")) {
      return;
    }
    count(Check.NO_EFFECT_TWICE);
    List<SentAttempt> before = requests.computeIfAbsent(e.requestId(), k -> new ArrayList<>(1));
    String group = group(settings, to, e);
    for (SentAttempt b : before) {
      String status = b.status[0];
      if (b.ended[0] && provesNotRun(status)) {
        continue;
      }
      boolean sameGroup = b.group.equals(group) && Math.abs(e.at() - b.at) <= settings.window;
      if (settings.effect.equals("unsafe") || !sameGroup) {
        // The order of records of different instances depends on their clocks, so only violations within one origin are certain.
        boolean certain = b.origin.equals(e.origin()) && s.dropped == 0;
        report(Check.NO_EFFECT_TWICE, e, settings.effect + " request sent to " + name(to, e) + " while attempt " + b.attempt + " of "
            + b.origin.instance() + " " + (b.ended[0] ? "had ended " + status : "was in flight")
            + (settings.effect.equals("unsafe") ? "" : ", in another group or past its dedup window"), certain);
        break;
      }
    }
    before.add(new SentAttempt(e.origin(), e.attempt(), e.upstream(), e.at(), group, new boolean[1], new String[1]));
  }

  private static String name(Server server, Entry e) {
    return server == null ? Long.toHexString(e.upstream()) : server.name;
  }

  /** The group of servers that deduplicate one another's requests; server records have it as "zone cell". */
  private static String group(ClassSettings settings, Server to, Entry e) {
    String of = to == null ? "?" + e.upstream() : to.group;
    int space = of.indexOf(' ');
    return switch (settings.scope) {
      case "all" -> "all";
      case "zone" -> space < 0 ? of : of.substring(0, space);
      default -> of;
    };
  }

  private static boolean provesNotRun(String status) {
    return "full".equals(status) || "connect_failed".equals(status) || "not_sent".equals(status);
  }

  private void onOutcome(OriginState s, Entry e) {
    s.outcomes++;
    s.inFlight.computeIfPresent(e.request(), (r, n) -> n == 1 ? null : n - 1);
    if (e.requestId() != null && requests.containsKey(e.requestId())) {
      for (SentAttempt b : requests.get(e.requestId())) {
        if (b.origin.equals(e.origin()) && b.attempt == e.attempt() && !b.ended[0]) {
          b.ended[0] = true;
          b.status[0] = e.word();
          return;
        }
      }
    }
  }

  // ---- Rule 3: nothing to drained servers --------------------------------------------------------------

  private void checkDrained(OriginState s, Entry e, Server to) {
    count(Check.NOTHING_TO_DRAINED);
    if (to != null && !to.state.equals("ready") && e.at() - to.since > limits.drainGrace) {
      report(Check.NOTHING_TO_DRAINED, e, "sent to " + to.name + " " + (e.at() - to.since) / 1000
          + " ms after the instance was notified that the server is " + to.state, true);
    }
  }

  // ---- Rule 4: no overload during slow start -----------------------------------------------------------

  /** Compares the attempts sent to a server in slow start, within the overload window, with those that the warmed-up servers get. */
  private void checkSlowStart(OriginState s, Entry e, Server to) {
    Deque<Long> own = s.sends.computeIfAbsent(e.upstream(), u -> new ArrayDeque<>());
    own.add(e.at());
    s.allSends.add(e.at());
    evictOlder(own, e.at());
    evictOlder(s.allSends, e.at());
    long startedAt = to == null ? 0 : to.startedMillis * 1000;
    long age = e.at() - startedAt;
    if (to == null || startedAt == 0 || age < 0 || age >= limits.warmUpTime || s.slowStartReported.contains(e.upstream())) {
      return;
    }
    count(Check.COLD_NOT_PUSHED_OVER);
    long ready = s.servers.values().stream().filter(x -> x.state.equals("ready")).count();
    if (ready < 2) {
      return; // There is no other server to compare it with.
    }
    double warmAverage = (s.allSends.size() - own.size()) / (double) (ready - 1);
    double capacity = limits.initialCapacity + (1 - limits.initialCapacity) * age / limits.warmUpTime;
    double limit = Math.max(SLOW_START_MIN_SENDS, limits.overloadFactor * capacity * warmAverage);
    if (s.allSends.size() >= MIN_SAMPLES && own.size() > limit) {
      s.slowStartReported.add(e.upstream());
      report(Check.COLD_NOT_PUSHED_OVER, e, own.size() + " sends to " + to.name + " within " + limits.overloadWindow / 1000 + " ms, "
          + age / 1000 + " ms after its start; " + (int) limit + " are allowed", s.dropped == 0);
    }
  }

  private void evictOlder(Deque<Long> times, long now) {
    while (!times.isEmpty() && times.peek() < now - limits.overloadWindow) {
      times.poll();
    }
  }

  // ---- Findings ----------------------------------------------------------------------------------------

  /** All findings; the balance is checked over the records added so far. */
  public List<Finding> findings() {
    List<Finding> all = new ArrayList<>(findings);
    origins.forEach((origin, s) -> {
      checkCounts.merge(Check.SUMS, 1L, Long::sum);
      if (!s.startSeen) {
        return; // Its first records are missing, so the counts need not balance.
      }
      long inFlight = s.inFlight.values().stream().mapToLong(n -> n).sum();
      if (s.sent != s.outcomes + inFlight) {
        all.add(new Finding(Check.SUMS, origin, 0, null, s.sent + " sends, " + s.outcomes + " outcomes and " + inFlight + " in flight",
            s.dropped == 0));
      }
      if (s.stopped && !s.accepted.isEmpty()) {
        Entry one = s.accepted.values().iterator().next();
        all.add(new Finding(Check.ONE_ANSWER, origin, one.at(), one.requestId(), s.accepted.size()
            + " requests without an end despite a clean stop", s.dropped == 0));
      }
      if (s.stopped && inFlight > 0) {
        all.add(new Finding(Check.SUMS, origin, 0, null, inFlight + " sends without an outcome despite a clean stop", s.dropped == 0));
      }
    });
    return all;
  }

  /** How often each check ran. Zero means that nothing exercised the rule, not that it held. */
  public Map<Check, Long> checkCounts() {
    return checkCounts;
  }

  /** Number of findings beyond the maximum that is kept. */
  public long omittedFindings() {
    return omittedFindings;
  }
}
