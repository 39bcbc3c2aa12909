package cloverpulley.outs;

import cloverpulley.outs.Command.Ask;
import cloverpulley.outs.Command.Back;
import cloverpulley.outs.Command.Enrol;
import cloverpulley.outs.Command.Halt;
import cloverpulley.outs.Command.Left;
import cloverpulley.outs.Command.Resume;
import cloverpulley.outs.Command.Return;
import cloverpulley.outs.Command.Rules;
import cloverpulley.outs.Command.Seen;
import cloverpulley.outs.Command.Strike;
import cloverpulley.outs.Command.Withdraw;
import cloverpulley.outs.LedgerState.HistoryEntry;
import cloverpulley.outs.LedgerState.ActiveHalt;
import cloverpulley.outs.LedgerState.Member;
import cloverpulley.outs.LedgerState.Permit;
import cloverpulley.outs.LedgerState.HealthReport;
import cloverpulley.outs.LedgerState.QueuedRequest;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Who is out, and who may be. The same commands in the same order give the same ledger everywhere: it reads no clock, and time is the latest
 * that a command was stamped with, which no stamp turns back. A permit is never given back by time. One thread at a time.
 *
 * <p>Safe directions: what can't be told counts as out. A member that is unwell counts beside those that were granted; it is well again only
 * by fresh words. Nothing here asks for agreement to come back: {@link Return} says what happened.
 */
public final class DisruptionLedger {

  /** Bounds on what others can make the ledger keep. */
  public static final int MAX_MEMBERS = 20_000;
  public static final int MAX_QUEUED = 2_000;
  public static final int MAX_HALTS = 100;
  private static final int MOST_ANSWERED = 4_000;
  private static final int MOST_HISTORY = 500;
  private static final int MOST_OBSERVERS = 8;
  private static final int SHOWN_HOLDERS = 10;
  /** The halt that comes by itself. */
  public static final String DEAD_HALT = "dead-above-bound";
  /** The halt that who leads asks for where most instances refuse too much. */
  public static final String REJECTION_HALT = "refused-above-bound";

  private static final Rules NONE = new Rules(0, Map.of(), 1, 10_000, 1, 1);

  private final Map<String, Member> members = new TreeMap<>();
  private final Map<String, Permit> outs = new TreeMap<>();
  private final ArrayDeque<QueuedRequest> queue = new ArrayDeque<>();
  private final Map<String, ActiveHalt> halts = new TreeMap<>();
  private final Set<String> back = new java.util.TreeSet<>();
  private final LinkedHashMap<String, Reply> answered = new LinkedHashMap<>();
  private final ArrayDeque<HistoryEntry> history = new ArrayDeque<>();
  private final Map<MemberKind, Integer> unwell = new HashMap<>();
  private final Map<MemberKind, Integer> all = new HashMap<>();
  private GroupCounts tally = new GroupCounts();
  private Rules rules = NONE;
  private long index;
  private long now;

  /** Takes the command at a place in the one order. */
  public Reply apply(long at, long stampMillis, Command c) {
    index = at;
    now = Math.max(now, stampMillis);
    Reply reply = take(c);
    settle();
    return reply;
  }

  private Reply take(Command c) {
    if (c instanceof Rules r) {
      return rules(r);
    } else if (c instanceof Enrol e) {
      return enrol(e);
    } else if (c instanceof Strike s) {
      return strike(s);
    } else if (c instanceof Ask a) {
      return ask(a);
    } else if (c instanceof Withdraw w) {
      return withdraw(w);
    } else if (c instanceof Left l) {
      return left(l);
    } else if (c instanceof Return r) {
      return returns(r);
    } else if (c instanceof Seen s) {
      return seen(s);
    } else if (c instanceof Halt h) {
      return halt(h.name(), h.by(), h.why());
    } else if (c instanceof Resume r) {
      if (halts.remove(r.name()) == null) {
        return say(ResultCode.NO_SUCH_HALT);
      }
      note("resumed", r.name(), r.by(), "");
    } else if (c instanceof Back b) {
      if (!b.group().isEmpty() && tally.members(b.group()) == 0) {
        return say(ResultCode.UNKNOWN_GROUP);
      }
      if (back.size() >= MAX_HALTS) {
        return say(ResultCode.TOO_MANY);
      }
      back.add(b.group());
      note("back", b.group(), b.by(), "");
    }
    return say(ResultCode.DONE);
  }

  private Reply say(ResultCode word) {
    return new Reply(word, "", List.of(), 0, index);
  }

  private void note(String what, String member, String by, String why) {
    history.add(new HistoryEntry(index, now, what, member, by, why));
    if (history.size() > MOST_HISTORY) {
      history.poll();
    }
  }

  // ---- Who there is --------------------------------------------------------------------------------------

  private Reply rules(Rules r) {
    if (r.version() < rules.version()) {
      return say(ResultCode.OLD_VERSION);
    }
    if (!r.equals(rules)) {
      rules = r;
      note("rules", "", "", "version " + r.version());
    }
    return say(ResultCode.DONE);
  }

  private Reply enrol(Enrol e) {
    Member was = members.get(e.member());
    if (was == null && members.size() >= MAX_MEMBERS) {
      return say(ResultCode.TOO_MANY);
    }
    if (was != null && was.kind() == e.kind() && was.groups().equals(e.groups())) {
      return say(ResultCode.SAME_AGAIN);
    }
    if (was != null) {
      count(e.member(), was, false);
      tally.remove(e.member(), was.groups());
      count(was, -1);
    }
    Member is = new Member(e.kind(), e.groups(), was != null && was.unwell(), was == null ? Map.of() : was.words());
    members.put(e.member(), is);
    tally.add(e.member(), is.groups());
    count(is, 1);
    recount(e.member());
    note("enrolled", e.member(), "", String.join(" ", e.groups()));
    return say(ResultCode.DONE);
  }

  private Reply strike(Strike s) {
    Member was = members.get(s.member());
    if (was == null) {
      return say(ResultCode.UNKNOWN_MEMBER);
    }
    if (outs.containsKey(s.member())) {
      return say(ResultCode.STILL_OUT); // A permit is not lost with its holder's name.
    }
    members.remove(s.member());
    tally.remove(s.member(), was.groups());
    count(was, -1);
    queue.removeIf(w -> w.member().equals(s.member()) && expire(w, ResultCode.UNKNOWN_MEMBER));
    note("struck", s.member(), "", "");
    return say(ResultCode.DONE);
  }

  /** Keeps the counts of a kind, all and unwell ones. */
  private void count(Member m, int by) {
    all.merge(m.kind(), by, Integer::sum);
    unwell.merge(m.kind(), m.unwell() ? by : 0, Integer::sum);
  }

  private void count(String name, Member m, boolean isOut) {
    tally.count(name, m.groups(), isOut);
    if (outs.containsKey(name) && outs.get(name).phase() == Phase.RETURNING) {
      tally.returning(m.groups(), isOut ? 1 : -1);
    }
  }

  private void recount(String name) {
    Member m = members.get(name);
    tally.count(name, m.groups(), m.unwell() || outs.containsKey(name));
    if (outs.containsKey(name) && outs.get(name).phase() == Phase.RETURNING) {
      tally.returning(m.groups(), 1);
    }
  }

  // ---- Going out -----------------------------------------------------------------------------------------

  private Reply ask(Ask a) {
    Reply before = answered.get(a.ask());
    if (before != null) {
      return before.word() == ResultCode.GRANTED ? again(a.member(), before) : before;
    }
    if (queue.stream().anyMatch(w -> w.ask().equals(a.ask()))) {
      return say(ResultCode.WAITING);
    }
    Member m = members.get(a.member());
    if (m == null) {
      return say(ResultCode.UNKNOWN_MEMBER);
    }
    Permit out = outs.get(a.member());
    if (out != null) {
      return answer(a.ask(), new Reply(ResultCode.ALREADY_OUT, "", List.of(out.by()), 0, index));
    }
    Reply no = a.force() ? null : against(a.member(), m, Set.of());
    if (no == null && !a.force() && !java.util.Collections.disjoint(awaited(), m.groups())) {
      no = new Reply(ResultCode.LIMIT, "queue", List.of(), 0, index); // First come, first served.
    }
    if (no == null) {
      return grant(a.ask(), a.member(), a.by(), a.why(), a.force());
    }
    if (a.waitMillis() <= 0) {
      return answer(a.ask(), no);
    }
    if (queue.size() >= MAX_QUEUED) {
      return say(ResultCode.TOO_MANY);
    }
    queue.add(new QueuedRequest(a.ask(), a.member(), a.by(), a.why(), now + a.waitMillis()));
    note("waits", a.member(), a.by(), no.binding());
    return new Reply(ResultCode.WAITING, no.binding(), no.holders(), 0, index);
  }

  /** What was granted before, asked again: a yes only for as long as it holds. Guards against who hears of his permit after others ended it. */
  private Reply again(String member, Reply granted) {
    Permit out = outs.get(member);
    boolean holds = out != null && out.epoch() == granted.epoch() && out.phase() != Phase.RETURNING;
    return new Reply(holds ? ResultCode.SAME_AGAIN : ResultCode.OLD_EPOCH, "", List.of(), granted.epoch(), granted.index());
  }

  /** Groups for whose next place somebody waits already. */
  private Set<String> awaited() {
    Set<String> awaited = new HashSet<>();
    queue.forEach(w -> await(w, awaited));
    return awaited;
  }

  /** Adds the groups that one who waits finds full, or awaited by somebody in front: nobody behind takes their next place. */
  private void await(QueuedRequest w, Set<String> awaited) {
    Member m = members.get(w.member());
    for (String g : m.groups()) {
      if (isFull(g, w.member(), awaited)) {
        awaited.add(g);
      }
    }
  }

  private boolean isFull(String group, String name, Set<String> closed) {
    Limit limit = rules.groups().get(group);
    int more = tally.isOut(group, name) ? 0 : 1;
    return limit != null && (tally.out(group) + more > limit.maxOut(tally.members(group)) || closed.contains(group));
  }

  /** What stands against one more; null for nothing. {@code closed} are groups for which somebody waits in front. */
  private Reply against(String name, Member m, Set<String> closed) {
    if (!halts.isEmpty()) {
      return new Reply(ResultCode.HALTED, halts.keySet().iterator().next(), List.of(), 0, index);
    }
    for (String g : m.groups()) {
      if (isFull(g, name, closed)) {
        return new Reply(ResultCode.LIMIT, g, tally.holders(g, SHOWN_HOLDERS), 0, index);
      }
    }
    return null;
  }

  private Reply grant(String ask, String member, String by, String why, boolean forced) {
    outs.put(member, new Permit(Phase.GRANTED, ask, by, why, forced, index, now, index));
    recount(member);
    note(forced ? "forced" : "granted", member, by, why);
    return answer(ask, new Reply(ResultCode.GRANTED, "", List.of(), index, index));
  }

  private Reply answer(String ask, Reply reply) {
    answered.put(ask, reply);
    if (answered.size() > MOST_ANSWERED) {
      Iterator<String> oldest = answered.keySet().iterator();
      oldest.next();
      oldest.remove();
    }
    return reply;
  }

  private Reply withdraw(Withdraw w) {
    if (queue.removeIf(q -> q.ask().equals(w.ask()) && expire(q, ResultCode.WITHDRAWN))) {
      return say(ResultCode.DONE);
    }
    for (Map.Entry<String, Permit> e : outs.entrySet()) {
      if (e.getValue().ask().equals(w.ask())) {
        return returns(new Return(e.getKey(), e.getValue().by(), e.getValue().epoch())); // Modules may have drained it already: it comes back like any other.
      }
    }
    return say(ResultCode.NOT_OUT);
  }

  private boolean expire(QueuedRequest w, ResultCode why) {
    answer(w.ask(), new Reply(why, "", List.of(), 0, index));
    note(why.text(), w.member(), w.by(), w.why());
    return true;
  }

  private Reply left(Left l) {
    Permit out = outs.get(l.member());
    if (out == null) {
      return say(ResultCode.NOT_OUT);
    }
    if (out.epoch() != l.epoch()) {
      return say(ResultCode.OLD_EPOCH);
    }
    if (out.phase() == Phase.GRANTED) {
      phase(l.member(), out, Phase.OUT);
    }
    return say(ResultCode.DONE);
  }

  private void phase(String member, Permit out, Phase to) {
    Member m = members.get(member);
    tally.returning(m.groups(), out.phase() == Phase.RETURNING ? -1 : 0);
    outs.put(member, new Permit(to, out.ask(), out.by(), out.why(), out.forced(), out.epoch(), now, index));
    tally.returning(m.groups(), to == Phase.RETURNING ? 1 : 0);
    note(to.name().toLowerCase(java.util.Locale.ROOT), member, out.by(), out.why());
  }

  // ---- Coming back ---------------------------------------------------------------------------------------

  private Reply returns(Return r) {
    Permit out = outs.get(r.member());
    if (out == null) {
      return say(ResultCode.NOT_OUT);
    }
    if (out.epoch() != r.epoch()) {
      return say(ResultCode.OLD_EPOCH);
    }
    if (out.phase() != Phase.RETURNING) {
      phase(r.member(), out, Phase.RETURNING);
    }
    return new Reply(ResultCode.DONE, "", List.of(), out.epoch(), index);
  }

  private Reply seen(Seen s) {
    Member m = members.get(s.member());
    if (m == null) {
      return say(ResultCode.UNKNOWN_MEMBER);
    }
    HealthReport last = m.words().get(s.observer());
    if (last != null && last.at() > s.at()) {
      return say(ResultCode.OLD_EPOCH); // It was overtaken by a later word of the same observer.
    }
    Map<String, HealthReport> words = new TreeMap<>(m.words());
    words.put(s.observer(), new HealthReport(s.health(), now, Math.min(s.at(), index)));
    words.values().removeIf(t -> now - t.atMillis() > rules.freshMillis());
    while (words.size() > MOST_OBSERVERS) {
      words.remove(words.entrySet().stream().min(Map.Entry.comparingByValue((x, y) -> Long.compare(x.atMillis(), y.atMillis()))).get().getKey());
    }
    int needed = needed(m.kind());
    long well = words.values().stream().filter(t -> t.health() == Health.WARM).count();
    long ill = words.size() - well;
    // It turns by enough words only, both ways: between the two it stays as it was.
    boolean isUnwell = m.unwell() ? !(well >= needed && ill < needed) : ill >= needed;
    count(m, -1);
    Member is = new Member(m.kind(), m.groups(), isUnwell, words);
    members.put(s.member(), is);
    count(is, 1);
    if (isUnwell != m.unwell()) {
      note(isUnwell ? "unwell" : "well", s.member(), s.observer(), s.health().name().toLowerCase(java.util.Locale.ROOT));
    }
    Permit out = outs.get(s.member());
    if (out != null && out.phase() == Phase.RETURNING && !isUnwell) {
      long warmSince = words.values().stream().filter(t -> t.health() == Health.WARM && t.at() >= out.sinceIndex()).count();
      if (warmSince >= needed) {
        count(s.member(), is, false);
        outs.remove(s.member());
        note("back", s.member(), out.by(), out.why());
      }
    }
    tally.count(s.member(), is.groups(), isUnwell || outs.containsKey(s.member()));
    return say(ResultCode.DONE);
  }

  /** A balancer's health is the word of who hears all of them; an upstream's that of several balancers, as far as there are so many. */
  private int needed(MemberKind kind) {
    if (kind == MemberKind.BALANCER) {
      return 1;
    }
    int balancers = 0;
    for (Member m : members.values()) {
      if (m.kind() == MemberKind.BALANCER && !m.unwell() && ++balancers >= rules.words()) {
        return rules.words();
      }
    }
    return Math.max(1, balancers);
  }

  private Reply halt(String name, String by, String why) {
    if (halts.size() >= MAX_HALTS && !halts.containsKey(name)) {
      return say(ResultCode.TOO_MANY);
    }
    if (halts.putIfAbsent(name, new ActiveHalt(by, why, now)) == null) {
      note("halted", name, by, why);
    }
    return say(ResultCode.DONE);
  }

  // ---- What follows from it ------------------------------------------------------------------------------

  private void settle() {
    haltItself();
    for (Iterator<QueuedRequest> i = queue.iterator(); i.hasNext();) {
      QueuedRequest w = i.next();
      if (now >= w.untilMillis()) {
        expire(w, ResultCode.EXPIRED);
        i.remove();
      }
    }
    if (halts.isEmpty() && !queue.isEmpty()) {
      Set<String> closed = new HashSet<>();
      for (Iterator<QueuedRequest> i = queue.iterator(); i.hasNext();) {
        QueuedRequest w = i.next();
        Member m = members.get(w.member());
        if (outs.containsKey(w.member())) {
          answer(w.ask(), new Reply(ResultCode.ALREADY_OUT, "", List.of(), 0, index));
          i.remove();
        } else if (against(w.member(), m, closed) == null) {
          grant(w.ask(), w.member(), w.by(), w.why(), false);
          i.remove();
        } else {
          await(w, closed);
        }
      }
    }
    if (!back.isEmpty()) {
      callBack();
    }
  }

  /** Too many unwell at once: whatever takes them out, nobody is to add to it. Lifted by name only, and not while it still holds. */
  private void haltItself() {
    for (MemberKind kind : MemberKind.values()) {
      int sick = unwell.getOrDefault(kind, 0);
      if (sick > 0 && rules.deadPart() < 1 && !halts.containsKey(DEAD_HALT)) {
        if (sick > rules.deadPart() * all.get(kind)) {
          halt(DEAD_HALT, "ledger", sick + " of " + all.get(kind) + " unwell");
        }
      }
    }
  }

  /** The longest out first, as many at a time as the groups' limits let come back. */
  private void callBack() {
    List<Map.Entry<String, Permit>> out = new ArrayList<>(outs.entrySet());
    out.removeIf(e -> !back.contains("") && members.get(e.getKey()).groups().stream().noneMatch(back::contains));
    if (out.isEmpty()) {
      back.clear();
      return;
    }
    out.removeIf(e -> e.getValue().phase() == Phase.RETURNING);
    out.sort(Map.Entry.comparingByValue((x, y) -> Long.compare(x.epoch(), y.epoch())));
    for (Map.Entry<String, Permit> e : out) {
      List<String> groups = members.get(e.getKey()).groups();
      if (groups.stream().allMatch(g -> rules.groups().get(g) == null || tally.returning(g) < rules.groups().get(g).back())) {
        phase(e.getKey(), e.getValue(), Phase.RETURNING);
      }
    }
  }

  // ---- As a value ----------------------------------------------------------------------------------------

  /** Everything, for a snapshot or a look. */
  public LedgerState state() {
    return new LedgerState(index, now, rules, new TreeMap<>(members), new TreeMap<>(outs), List.copyOf(queue), new TreeMap<>(halts),
        List.copyOf(back), new LinkedHashMap<>(answered), List.copyOf(history));
  }

  /** Goes on from a state, whatever was here before. */
  public void restore(LedgerState s) {
    members.clear();
    outs.clear();
    queue.clear();
    halts.clear();
    back.clear();
    answered.clear();
    history.clear();
    unwell.clear();
    all.clear();
    tally = new GroupCounts();
    index = s.index();
    now = s.nowMillis();
    rules = s.rules();
    outs.putAll(s.outs());
    queue.addAll(s.queue());
    halts.putAll(s.halts());
    back.addAll(s.back());
    answered.putAll(s.answered());
    history.addAll(s.history());
    s.members().forEach((name, m) -> {
      members.put(name, m);
      tally.add(name, m.groups());
      count(m, 1);
      recount(name);
    });
  }

  /** The latest stamp that was applied, in milliseconds. */
  public long nowMillis() {
    return now;
  }

  /** Who is out by permit, as it is now and not later. */
  public Map<String, Permit> permits() {
    return java.util.Collections.unmodifiableMap(outs);
  }

  /** How many wait for their turn. */
  public int queueLength() {
    return queue.size();
  }

  /** The place in the order of the last command. */
  public long index() {
    return index;
  }

  /** Groups whose limit lets nobody out, though they have members: a plan that can never grant. */
  public static List<String> neverGrant(Map<String, Limit> limits, Map<String, Integer> sizes) {
    return limits.entrySet().stream().filter(e -> sizes.getOrDefault(e.getKey(), 0) > 0 && e.getValue().maxOut(sizes.get(e.getKey())) == 0)
        .map(Map.Entry::getKey).sorted().toList();
  }
}
