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
 * Checks the four rules, and sums that must hold, from the records alone. Records of one origin come in their order; those of several may
 * be mixed. What a record that was dropped could explain is told as unsettled, not as a break.
 */
public final class Audit {

  /** The rules and the sums. */
  public enum Check { ONE_ANSWER, NO_EFFECT_TWICE, NOTHING_TO_DRAINED, COLD_NOT_PUSHED_OVER, SUMS }

  /** One break; {@code certain} is false where missing records could explain it. */
  public record Finding(Check check, Origin origin, long at, String request, String description, boolean certain) {}

  /**
   * The figures of the rules.
   *
   * @param answerSlack microseconds past its time at which an answer counts as late
   */
  public record Limits(long drainGrace, double initialCapacity, long warmUpTime, double overloadFactor, long overloadWindow, long answerSlack) {
    public static final Limits DEFAULT = new Limits(2_000_000, 0.32, 8_500_000, 3, 3_000_000, 50_000);
  }

  private static final int MOST_FINDINGS = 1000;
  /** Attempts kept of requests that may be asked again; those idle longest go. */
  private static final int MOST_REQUESTS = 500_000;
  /** A cold server may always have this much: two a second over its window, and what chance adds to so few. */
  private static final int COLD_LEAST = 12;
  /** Sends a second that a cold server's limit is measured against have to be this many before it means something. */
  private static final int ENOUGH = 20;

  private record Type(String effect, String scope, long window, long deadline) {}

  private record Sent(Origin origin, int attempt, long upstream, long at, String group, boolean[] over, String[] status) {}

  private record Server(String name, String state, long since, long started, String group) {}

  /** What one origin has told. */
  private static final class Side {
    final Map<Long, Entry> taken = new HashMap<>();
    final Map<Long, Integer> ends = new HashMap<>();
    final Map<Long, Server> servers = new HashMap<>();
    final Map<Long, Deque<Long>> sends = new HashMap<>();
    final Deque<Long> all = new ArrayDeque<>();
    final Map<Long, Integer> out = new HashMap<>();
    final Set<Long> coldTold = new HashSet<>();
    long sent;
    long outcomes;
    long dropped;
    long lastSeq;
    boolean fromStart;
    boolean stopped;
  }

  private final Limits limits;
  private final boolean whole;
  private final Map<Origin, Side> sides = new TreeMap<>();
  private final Map<String, Type> types = new HashMap<>();
  private final Map<String, List<Sent>> requests = new LinkedHashMap<>(16, 0.75f, true) {
    private static final long serialVersionUID = 1;

    @Override
    protected boolean removeEldestEntry(Map.Entry<String, List<Sent>> eldest) {
      return size() > MOST_REQUESTS;
    }
  };
  private final List<Finding> findings = new ArrayList<>();
  private final Map<Check, Long> checkCounts = new TreeMap<>();
  private long omittedFindings;

  /** @param whole whether all records come: without, no sums are drawn, and what is not there may be just that */
  public Audit(Limits limits, boolean whole) {
    this.limits = limits;
    this.whole = whole;
    for (Check c : Check.values()) {
      checkCounts.put(c, 0L);
    }
  }

  /** Takes a record. */
  public void add(Entry e) {
    Side s = sides.computeIfAbsent(e.origin(), o -> new Side());
    if (whole && s.lastSeq > 0 && e.seq() > s.lastSeq + 1) {
      s.dropped += e.seq() - s.lastSeq - 1;
    }
    s.lastSeq = Math.max(s.lastSeq, e.seq());
    switch (e.kind()) {
      case START -> s.fromStart = whole;
      case STOP -> s.stopped = true;
      case CLASS -> {
        String[] words = e.word().split(" ");
        types.put(e.className(), new Type(words[0], words.length > 1 ? words[1] : "", e.value(), e.other()));
      }
      case DROPPED -> s.dropped += e.value();
      case SERVER -> server(s, e);
      case TAKEN -> {
        s.taken.put(e.request(), e);
        count(Check.ONE_ANSWER);
      }
      case SENT -> sent(s, e);
      case OUTCOME -> outcome(s, e);
      case ENDED -> ended(s, e);
      case REPLACED -> s.out.clear();
      default -> { }
    }
  }

  private void count(Check check) {
    checkCounts.merge(check, 1L, Long::sum);
  }

  private void found(Check check, Entry e, String what, boolean certain) {
    if (findings.size() < MOST_FINDINGS) {
      findings.add(new Finding(check, e.origin(), e.at(), e.requestId(), what, certain));
    } else {
      omittedFindings++;
    }
  }

  private void server(Side s, Entry e) {
    Server known = s.servers.get(e.upstream());
    long since = known != null && known.state.equals(e.word()) ? known.since : e.at();
    s.servers.put(e.upstream(), new Server(e.name(), e.word(), since, e.other(), e.className() == null ? "" : e.className()));
  }

  // ---- Rule 1 --------------------------------------------------------------------------------------------

  private void ended(Side s, Entry e) {
    Entry taken = s.taken.remove(e.request());
    int ends = s.ends.merge(e.request(), 1, Integer::sum);
    if (s.ends.size() > MOST_REQUESTS) {
      s.ends.clear(); // Numbers are never used again: what is this far back has had its second end, or has none.
    }
    if (taken == null) {
      if (ends > 1) {
        found(Check.ONE_ANSWER, e, "a second end, " + e.word(), true);
      } else if (s.fromStart) {
        found(Check.ONE_ANSWER, e, "an end without a beginning", s.dropped == 0);
      }
    } else if (taken.value() > 0 && e.other() != Entry.GONE && e.at() - taken.at() > taken.value() + limits.answerSlack) {
      found(Check.ONE_ANSWER, e, "its end came " + (e.at() - taken.at() - taken.value()) / 1000 + " ms late", true);
    }
  }

  // ---- Rule 2 --------------------------------------------------------------------------------------------

  private void sent(Side s, Entry e) {
    s.sent++;
    s.out.merge(e.request(), 1, Integer::sum);
    Server to = s.servers.get(e.upstream());
    drained(s, e, to);
    cold(s, e, to);
    Type type = types.get(e.className());
    if (type == null || type.effect.equals("safe")) {
      return;
    }
    count(Check.NO_EFFECT_TWICE);
    List<Sent> before = requests.computeIfAbsent(e.requestId(), k -> new ArrayList<>(1));
    String group = group(type, to, e);
    for (Sent b : before) {
      String status = b.status[0];
      if (b.over[0] && provesNotRun(status)) {
        continue;
      }
      boolean sameGroup = b.group.equals(group) && Math.abs(e.at() - b.at) <= type.window;
      if (type.effect.equals("unsafe") || !sameGroup) {
        // What another instance's records say of order depends on its clock: certain only within one.
        boolean certain = b.origin.equals(e.origin()) && s.dropped == 0;
        found(Check.NO_EFFECT_TWICE, e, type.effect + " request sent to " + name(to, e) + " while attempt " + b.attempt + " of "
            + b.origin.instance() + " " + (b.over[0] ? "had ended " + status : "was out")
            + (type.effect.equals("unsafe") ? "" : ", another group or past its window"), certain);
        break;
      }
    }
    before.add(new Sent(e.origin(), e.attempt(), e.upstream(), e.at(), group, new boolean[1], new String[1]));
  }

  private static String name(Server server, Entry e) {
    return server == null ? Long.toHexString(e.upstream()) : server.name;
  }

  /** Those that drop one another's repeats; the records of servers carry "zone cell". */
  private static String group(Type type, Server to, Entry e) {
    String of = to == null ? "?" + e.upstream() : to.group;
    int space = of.indexOf(' ');
    return switch (type.scope) {
      case "all" -> "all";
      case "zone" -> space < 0 ? of : of.substring(0, space);
      default -> of;
    };
  }

  private static boolean provesNotRun(String status) {
    return "full".equals(status) || "connect_failed".equals(status) || "not_sent".equals(status);
  }

  private void outcome(Side s, Entry e) {
    s.outcomes++;
    s.out.computeIfPresent(e.request(), (r, n) -> n == 1 ? null : n - 1);
    if (e.requestId() != null && requests.containsKey(e.requestId())) {
      for (Sent b : requests.get(e.requestId())) {
        if (b.origin.equals(e.origin()) && b.attempt == e.attempt() && !b.over[0]) {
          b.over[0] = true;
          b.status[0] = e.word();
          return;
        }
      }
    }
  }

  // ---- Rule 3 --------------------------------------------------------------------------------------------

  private void drained(Side s, Entry e, Server to) {
    count(Check.NOTHING_TO_DRAINED);
    if (to != null && !to.state.equals("ready") && e.at() - to.since > limits.drainGrace) {
      found(Check.NOTHING_TO_DRAINED, e, "sent to " + to.name + " " + (e.at() - to.since) / 1000 + " ms after it was told to be "
          + to.state, true);
    }
  }

  // ---- Rule 4 --------------------------------------------------------------------------------------------

  /** Sends to one that is cold, in the window in which too many push it over, against what the warm ones get in that time. */
  private void cold(Side s, Entry e, Server to) {
    Deque<Long> own = s.sends.computeIfAbsent(e.upstream(), u -> new ArrayDeque<>());
    own.add(e.at());
    s.all.add(e.at());
    forget(own, e.at());
    forget(s.all, e.at());
    long started = to == null ? 0 : to.started * 1000;
    long age = e.at() - started;
    if (to == null || started == 0 || age < 0 || age >= limits.warmUpTime || s.coldTold.contains(e.upstream())) {
      return;
    }
    count(Check.COLD_NOT_PUSHED_OVER);
    long ready = s.servers.values().stream().filter(x -> x.state.equals("ready")).count();
    if (ready < 2) {
      return; // There is nothing to measure it against.
    }
    double warm = (s.all.size() - own.size()) / (double) (ready - 1);
    double can = limits.initialCapacity + (1 - limits.initialCapacity) * age / limits.warmUpTime;
    double most = Math.max(COLD_LEAST, limits.overloadFactor * can * warm);
    if (s.all.size() >= ENOUGH && own.size() > most) {
      s.coldTold.add(e.upstream());
      found(Check.COLD_NOT_PUSHED_OVER, e, own.size() + " sends to " + to.name + " within " + limits.overloadWindow / 1000 + " ms, "
          + age / 1000 + " ms after its start; " + (int) most + " push it over", s.dropped == 0);
    }
  }

  private void forget(Deque<Long> times, long now) {
    while (!times.isEmpty() && times.peek() < now - limits.overloadWindow) {
      times.poll();
    }
  }

  // ---- The end -------------------------------------------------------------------------------------------

  /** All findings; the sums are checked of what has come until now. */
  public List<Finding> findings() {
    List<Finding> all = new ArrayList<>(findings);
    sides.forEach((origin, s) -> {
      checkCounts.merge(Check.SUMS, 1L, Long::sum);
      if (!s.fromStart) {
        return; // Its beginning is not here: the sums can't hold.
      }
      long out = s.out.values().stream().mapToLong(n -> n).sum();
      if (s.sent != s.outcomes + out) {
        all.add(new Finding(Check.SUMS, origin, 0, null, s.sent + " sends, " + s.outcomes + " outcomes and " + out + " out",
            s.dropped == 0));
      }
      if (s.stopped && !s.taken.isEmpty()) {
        Entry one = s.taken.values().iterator().next();
        all.add(new Finding(Check.ONE_ANSWER, origin, one.at(), one.requestId(), s.taken.size()
            + " requests without an end though it stopped in order", s.dropped == 0));
      }
      if (s.stopped && out > 0) {
        all.add(new Finding(Check.SUMS, origin, 0, null, out + " sends without an outcome though it stopped in order", s.dropped == 0));
      }
    });
    return all;
  }

  /** How often each was checked: a rule that was never put to the test was not kept, but not seen. */
  public Map<Check, Long> checkCounts() {
    return checkCounts;
  }

  /** Findings beyond those that are kept. */
  public long omittedFindings() {
    return omittedFindings;
  }
}
