package cloverpulley.model.outs;

import cloverpulley.outs.Command;
import cloverpulley.outs.DisruptionLedger;
import cloverpulley.outs.Health;
import cloverpulley.outs.LedgerState;
import cloverpulley.outs.Limit;
import cloverpulley.outs.MemberKind;
import cloverpulley.outs.Reply;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Model checker for the disruption ledger: explores all reachable states of a small configuration with three upstreams, two of which form a
 * dedup group, one observer and at most two permits, under every command that has an effect, in every order. Checks in each state that the
 * ledger's counts equal a recount from the members, that no grant exceeds the limit of a group, and that nothing is granted during a halt.
 */
public final class LedgerModelChecker {

  /** Size of the search. */
  public record SearchSummary(int states, long steps) {}

  private static final Map<String, Limit> LIMITS = Map.of("all", new Limit(2, 1, 1), "cell", new Limit(1, 1, 1));
  private static final List<String> MEMBERS = List.of("a", "b", "c");
  private static final List<String> OBSERVERS = List.of("x");
  private static final long FAR_FUTURE = Long.MAX_VALUE / 8;
  /** A larger number of states means that {@link #normalize} keeps something irrelevant that makes equivalent states differ. */
  private static final int MAX_STATES = 300_000;

  private LedgerModelChecker() {}

  private static DisruptionLedger initialLedger() {
    DisruptionLedger ledger = new DisruptionLedger();
    long at = 0;
    ledger.apply(++at, 1, new Command.Rules(1, LIMITS, 1, FAR_FUTURE, 1, 1));
    ledger.apply(++at, 1, new Command.Enrol("a", MemberKind.UPSTREAM, List.of("all", "cell")));
    ledger.apply(++at, 1, new Command.Enrol("b", MemberKind.UPSTREAM, List.of("all", "cell")));
    ledger.apply(++at, 1, new Command.Enrol("c", MemberKind.UPSTREAM, List.of("all")));
    ledger.apply(++at, 1, new Command.Enrol("x", MemberKind.BALANCER, List.of()));
    return ledger;
  }

  /** All commands that can arrive in a state, including delayed ones. */
  private static List<Command> commands(LedgerState s) {
    List<Command> all = new ArrayList<>();
    for (String m : MEMBERS) {
      all.add(new Command.Ask("now " + m, m, "op", "", 0, false));
      long epoch = s.outs().containsKey(m) ? s.outs().get(m).epoch() : 0;
      all.add(new Command.Return(m, "op", epoch));
      all.add(new Command.Return(m, "op", epoch + 1)); // With the epoch of another permit.
      for (String o : OBSERVERS) {
        all.add(new Command.Seen(o, m, Health.WARM, s.index()));
        all.add(new Command.Seen(o, m, Health.WARM, 0));
        all.add(new Command.Seen(o, m, Health.DEAD, s.index()));
      }
    }
    all.add(new Command.Ask("wait b", "b", "op", "", FAR_FUTURE, false));
    all.add(new Command.Ask("wait c", "c", "op", "", FAR_FUTURE, false));
    all.add(new Command.Withdraw("wait b"));
    all.add(new Command.Halt("h", "op", ""));
    all.add(new Command.Resume("h", "op"));
    all.add(new Command.Back("", "op"));
    return all;
  }

  /** Removes timestamps and past replies from a state, so that equivalent states compare equal and a request can be made again. */
  private static LedgerState normalize(LedgerState s) {
    Map<String, LedgerState.Member> members = new TreeMap<>();
    s.members().forEach((n, m) -> {
      Map<String, LedgerState.HealthReport> reports = new TreeMap<>();
      LedgerState.Permit permit = s.outs().get(n);
      // The index of a health report matters only in so far as it comes before or after the start of the permit's phase.
      m.words().forEach((o, t) -> reports.put(o,
          new LedgerState.HealthReport(t.health(), 0, permit != null && t.at() >= permit.sinceIndex() ? 2 : 0)));
      members.put(n, new LedgerState.Member(m.kind(), m.groups(), m.unwell(), reports));
    });
    Map<String, LedgerState.Permit> outs = new TreeMap<>();
    List<Long> epochs = s.outs().values().stream().map(LedgerState.Permit::epoch).sorted().toList();
    s.outs().forEach((n, o) -> outs.put(n,
        new LedgerState.Permit(o.phase(), o.ask(), o.by(), o.why(), o.forced(), epochs.indexOf(o.epoch()) + 1, 1, 1)));
    List<LedgerState.QueuedRequest> queue = s.queue().stream()
        .map(w -> new LedgerState.QueuedRequest(w.ask(), w.member(), w.by(), w.why(), FAR_FUTURE)).toList();
    Map<String, LedgerState.ActiveHalt> halts = new TreeMap<>();
    s.halts().forEach((n, h) -> halts.put(n, new LedgerState.ActiveHalt(h.by(), h.why(), 0)));
    return new LedgerState(10, 1, s.rules(), members, outs, queue, halts, s.back(), Map.of(), List.of());
  }

  /**
   * Explores all states.
   *
   * @throws IllegalStateException if a state violates an invariant; the message contains the step that led to it
   */
  public static SearchSummary search() {
    Set<LedgerState> seen = new HashSet<>();
    ArrayDeque<LedgerState> frontier = new ArrayDeque<>();
    LedgerState first = normalize(initialLedger().state());
    seen.add(first);
    frontier.add(first);
    long steps = 0;
    while (!frontier.isEmpty()) {
      LedgerState s = frontier.poll();
      for (Command c : commands(s)) {
        DisruptionLedger ledger = new DisruptionLedger();
        ledger.restore(s);
        Reply r = ledger.apply(s.index() + 10, s.nowMillis() + 10, c);
        steps++;
        LedgerState after = ledger.state();
        check(s, c, r, after);
        LedgerState next = normalize(after);
        if (seen.add(next)) {
          checkCounts(next);
          frontier.add(next);
          if (seen.size() > MAX_STATES) {
            throw new IllegalStateException("too many states");
          }
        }
      }
    }
    return new SearchSummary(seen.size(), steps);
  }

  private static Set<String> disrupted(LedgerState s, String group) {
    Set<String> disrupted = new HashSet<>();
    s.members().forEach((n, m) -> {
      if (m.groups().contains(group) && (m.unwell() || s.outs().containsKey(n))) {
        disrupted.add(n);
      }
    });
    return disrupted;
  }

  private static int maxDisruptions(LedgerState s, String group) {
    return LIMITS.get(group).maxOut((int) s.members().values().stream().filter(m -> m.groups().contains(group)).count());
  }

  private static void check(LedgerState before, Command c, Reply r, LedgerState after) {
    for (String g : LIMITS.keySet()) {
      Set<String> granted = new HashSet<>(after.outs().keySet());
      granted.removeAll(before.outs().keySet());
      granted.retainAll(disrupted(after, g));
      granted.removeAll(disrupted(before, g));
      // A failure may exceed a limit; a grant may not, whatever has failed.
      if (!granted.isEmpty() && disrupted(after, g).size() > maxDisruptions(after, g)) {
        throw new IllegalStateException(c + " returned " + r + ", " + granted + " exceed the limit of " + g + ": " + before + " became " + after);
      }
    }
    if (!before.halts().isEmpty() && !after.halts().isEmpty() && !before.outs().keySet().containsAll(after.outs().keySet())) {
      throw new IllegalStateException(c + " was granted during a halt: " + before);
    }
  }

  /** Checks the ledger's counts against a recount: a request must be granted exactly if the recount leaves capacity for it. */
  private static void checkCounts(LedgerState s) {
    if (!s.halts().isEmpty() || !s.queue().isEmpty()) {
      return;
    }
    for (String m : MEMBERS) {
      if (!s.outs().containsKey(m)) {
        boolean withinLimits = s.members().get(m).groups().stream().allMatch(g -> {
          Set<String> disruptedWith = disrupted(s, g);
          disruptedWith.add(m);
          return disruptedWith.size() <= maxDisruptions(s, g);
        });
        DisruptionLedger ledger = new DisruptionLedger();
        ledger.restore(s);
        if (ledger.apply(999, s.nowMillis(), new Command.Ask("probe", m, "op", "", 0, false)).isSuccess() != withinLimits) {
          throw new IllegalStateException("wrong counts for " + m + " in " + s);
        }
      }
    }
  }
}
