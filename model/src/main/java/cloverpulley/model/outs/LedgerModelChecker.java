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
 * A small world of the ledger, searched to its end: three upstreams, two of them one dedup group, one observer, two permits at most; every
 * command that changes anything, in every order. In each state the kept counts are those that a look at the members gives, no step took a
 * group past its limit by a grant, and nothing is granted while it is halted.
 */
public final class LedgerModelChecker {

  /** What was searched. */
  public record SearchSummary(int states, long steps) {}

  private static final Map<String, Limit> LIMITS = Map.of("all", new Limit(2, 1, 1), "cell", new Limit(1, 1, 1));
  private static final List<String> MEMBERS = List.of("a", "b", "c");
  private static final List<String> OBSERVERS = List.of("x");
  private static final long LONG = Long.MAX_VALUE / 8;
  /** More is no small world: something that should not matter tells states apart. */
  private static final int MOST_STATES = 300_000;

  private LedgerModelChecker() {}

  private static DisruptionLedger world() {
    DisruptionLedger l = new DisruptionLedger();
    long at = 0;
    l.apply(++at, 1, new Command.Rules(1, LIMITS, 1, LONG, 1, 1));
    l.apply(++at, 1, new Command.Enrol("a", MemberKind.UPSTREAM, List.of("all", "cell")));
    l.apply(++at, 1, new Command.Enrol("b", MemberKind.UPSTREAM, List.of("all", "cell")));
    l.apply(++at, 1, new Command.Enrol("c", MemberKind.UPSTREAM, List.of("all")));
    l.apply(++at, 1, new Command.Enrol("x", MemberKind.BALANCER, List.of()));
    return l;
  }

  /** Every command that may come in a state, those that come late among them. */
  private static List<Command> commands(LedgerState s) {
    List<Command> all = new ArrayList<>();
    for (String m : MEMBERS) {
      all.add(new Command.Ask("now " + m, m, "op", "", 0, false));
      long epoch = s.outs().containsKey(m) ? s.outs().get(m).epoch() : 0;
      all.add(new Command.Return(m, "op", epoch));
      all.add(new Command.Return(m, "op", epoch + 1)); // Of another permit.
      for (String o : OBSERVERS) {
        all.add(new Command.Seen(o, m, Health.WARM, s.index()));
        all.add(new Command.Seen(o, m, Health.WARM, 0));
        all.add(new Command.Seen(o, m, Health.DEAD, s.index()));
      }
    }
    all.add(new Command.Ask("wait b", "b", "op", "", LONG, false));
    all.add(new Command.Ask("wait c", "c", "op", "", LONG, false));
    all.add(new Command.Withdraw("wait b"));
    all.add(new Command.Halt("h", "op", ""));
    all.add(new Command.Resume("h", "op"));
    all.add(new Command.Back("", "op"));
    return all;
  }

  /** A state without what only says when, and without what was answered: an ask may be made again. */
  private static LedgerState plain(LedgerState s) {
    Map<String, LedgerState.Member> members = new TreeMap<>();
    s.members().forEach((n, m) -> {
      Map<String, LedgerState.HealthReport> words = new TreeMap<>();
      LedgerState.Permit out = s.outs().get(n);
      // Of a word's place only whether it came after the phase began matters.
      m.words().forEach((o, t) -> words.put(o, new LedgerState.HealthReport(t.health(), 0, out != null && t.at() >= out.sinceIndex() ? 2 : 0)));
      members.put(n, new LedgerState.Member(m.kind(), m.groups(), m.unwell(), words));
    });
    Map<String, LedgerState.Permit> outs = new TreeMap<>();
    List<Long> epochs = s.outs().values().stream().map(LedgerState.Permit::epoch).sorted().toList();
    s.outs().forEach((n, o) -> outs.put(n,
        new LedgerState.Permit(o.phase(), o.ask(), o.by(), o.why(), o.forced(), epochs.indexOf(o.epoch()) + 1, 1, 1)));
    List<LedgerState.QueuedRequest> queue = s.queue().stream()
        .map(w -> new LedgerState.QueuedRequest(w.ask(), w.member(), w.by(), w.why(), LONG)).toList();
    Map<String, LedgerState.ActiveHalt> halts = new TreeMap<>();
    s.halts().forEach((n, h) -> halts.put(n, new LedgerState.ActiveHalt(h.by(), h.why(), 0)));
    return new LedgerState(10, 1, s.rules(), members, outs, queue, halts, s.back(), Map.of(), List.of());
  }

  /**
   * Searches all of it.
   *
   * @throws IllegalStateException where a state breaks a rule, with the step to it
   */
  public static SearchSummary search() {
    Set<LedgerState> seen = new HashSet<>();
    ArrayDeque<LedgerState> open = new ArrayDeque<>();
    LedgerState first = plain(world().state());
    seen.add(first);
    open.add(first);
    long steps = 0;
    while (!open.isEmpty()) {
      LedgerState s = open.poll();
      for (Command c : commands(s)) {
        DisruptionLedger l = new DisruptionLedger();
        l.restore(s);
        Reply r = l.apply(s.index() + 10, s.nowMillis() + 10, c);
        steps++;
        LedgerState after = l.state();
        check(s, c, r, after);
        LedgerState next = plain(after);
        if (seen.add(next)) {
          checkCounts(next);
          open.add(next);
          if (seen.size() > MOST_STATES) {
            throw new IllegalStateException("the world has no end");
          }
        }
      }
    }
    return new SearchSummary(seen.size(), steps);
  }

  private static Set<String> counted(LedgerState s, String group) {
    Set<String> counted = new HashSet<>();
    s.members().forEach((n, m) -> {
      if (m.groups().contains(group) && (m.unwell() || s.outs().containsKey(n))) {
        counted.add(n);
      }
    });
    return counted;
  }

  private static int may(LedgerState s, String group) {
    return LIMITS.get(group).maxOut((int) s.members().values().stream().filter(m -> m.groups().contains(group)).count());
  }

  private static void check(LedgerState before, Command c, Reply r, LedgerState after) {
    for (String g : LIMITS.keySet()) {
      Set<String> granted = new HashSet<>(after.outs().keySet());
      granted.removeAll(before.outs().keySet());
      granted.retainAll(counted(after, g));
      granted.removeAll(counted(before, g));
      // Who dies may pass a limit; who is granted may not, whoever died.
      if (!granted.isEmpty() && counted(after, g).size() > may(after, g)) {
        throw new IllegalStateException(c + " gave " + r + ", " + granted + " past " + g + ": " + before + " became " + after);
      }
    }
    if (!before.halts().isEmpty() && !after.halts().isEmpty() && !before.outs().keySet().containsAll(after.outs().keySet())) {
      throw new IllegalStateException(c + " was granted while it is halted: " + before);
    }
  }

  /** The kept counts, as an ask shows them, are those of a plain count. */
  private static void checkCounts(LedgerState s) {
    if (!s.halts().isEmpty() || !s.queue().isEmpty()) {
      return;
    }
    for (String m : MEMBERS) {
      if (!s.outs().containsKey(m)) {
        boolean fits = s.members().get(m).groups().stream().allMatch(g -> {
          Set<String> with = counted(s, g);
          with.add(m);
          return with.size() <= may(s, g);
        });
        DisruptionLedger copy = new DisruptionLedger();
        copy.restore(s);
        if (copy.apply(999, s.nowMillis(), new Command.Ask("probe", m, "op", "", 0, false)).isSuccess() != fits) {
          throw new IllegalStateException("the counts are wrong for " + m + " in " + s);
        }
      }
    }
  }
}
