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
import cloverpulley.outs.LedgerState.ActiveHalt;
import cloverpulley.outs.LedgerState.HealthReport;
import cloverpulley.outs.LedgerState.HistoryEntry;
import cloverpulley.outs.LedgerState.Member;
import cloverpulley.outs.LedgerState.Permit;
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
 * Replicated state machine that grants members permission to be out of service within the disruption budget of each group. It is
 * deterministic: the same commands in the same order give the same state on every voter. It reads no clock; its time is the latest timestamp
 * of any command and never goes backwards. A permit has no expiry. Not thread-safe.
 *
 * <p>In doubt a member counts as out. An unwell member uses a slot of its groups just as a permit does, until recent reports say that it is
 * well; a returning one keeps its slot until enough observers report it warm. Coming back needs no grant: {@link Return} only reports it.
 */
public final class DisruptionLedger {

  /** Bounds on the memory that commands can occupy. */
  public static final int MAX_MEMBERS = 20_000;
  public static final int MAX_QUEUED = 2_000;
  public static final int MAX_HALTS = 100;
  private static final int MAX_REPLIES = 4_000;
  private static final int MAX_HISTORY = 500;
  private static final int MAX_OBSERVERS = 8;
  private static final int MAX_SHOWN_HOLDERS = 10;
  /** Name of the halt that the ledger places when too many members of a kind are unwell. */
  public static final String DEAD_HALT = "dead-above-bound";
  /** Name of the halt that the leader requests when most instances reject too many requests. */
  public static final String REJECTION_HALT = "refused-above-bound";

  private static final Rules NO_RULES = new Rules(0, Map.of(), 1, 10_000, 1, 1);

  private final Map<String, Member> members = new TreeMap<>();
  private final Map<String, Permit> permits = new TreeMap<>();
  private final ArrayDeque<QueuedRequest> queue = new ArrayDeque<>();
  private final Map<String, ActiveHalt> halts = new TreeMap<>();
  private final Set<String> groupsToReturn = new java.util.TreeSet<>();
  private final LinkedHashMap<String, Reply> replies = new LinkedHashMap<>();
  private final ArrayDeque<HistoryEntry> history = new ArrayDeque<>();
  private final Map<MemberKind, Integer> unwellByKind = new HashMap<>();
  private final Map<MemberKind, Integer> totalByKind = new HashMap<>();
  private GroupCounts groupCounts = new GroupCounts();
  private Rules rules = NO_RULES;
  private long index;
  private long nowMillis;

  /** Applies the command at log index {@code at}. */
  public Reply apply(long at, long stampMillis, Command c) {
    index = at;
    nowMillis = Math.max(nowMillis, stampMillis);
    Reply reply = execute(c);
    processPending();
    return reply;
  }

  private Reply execute(Command c) {
    if (c instanceof Rules r) {
      return applyRules(r);
    } else if (c instanceof Enrol e) {
      return enrol(e);
    } else if (c instanceof Strike s) {
      return strike(s);
    } else if (c instanceof Ask a) {
      return ask(a);
    } else if (c instanceof Withdraw w) {
      return withdraw(w);
    } else if (c instanceof Left l) {
      return markOut(l);
    } else if (c instanceof Return r) {
      return startReturn(r);
    } else if (c instanceof Seen s) {
      return recordHealth(s);
    } else if (c instanceof Halt h) {
      return halt(h.name(), h.by(), h.why());
    } else if (c instanceof Resume r) {
      if (halts.remove(r.name()) == null) {
        return reply(ResultCode.NO_SUCH_HALT);
      }
      addHistory("resumed", r.name(), r.by(), "");
    } else if (c instanceof Back b) {
      if (!b.group().isEmpty() && groupCounts.memberCount(b.group()) == 0) {
        return reply(ResultCode.UNKNOWN_GROUP);
      }
      if (groupsToReturn.size() >= MAX_HALTS) {
        return reply(ResultCode.TOO_MANY);
      }
      groupsToReturn.add(b.group());
      addHistory("back", b.group(), b.by(), "");
    }
    return reply(ResultCode.DONE);
  }

  private Reply reply(ResultCode code) {
    return new Reply(code, "", List.of(), 0, index);
  }

  private void addHistory(String what, String member, String by, String why) {
    history.add(new HistoryEntry(index, nowMillis, what, member, by, why));
    if (history.size() > MAX_HISTORY) {
      history.poll();
    }
  }

  // ---- Membership ----------------------------------------------------------------------------------------

  private Reply applyRules(Rules r) {
    if (r.version() < rules.version()) {
      return reply(ResultCode.OLD_VERSION);
    }
    if (!r.equals(rules)) {
      rules = r;
      addHistory("rules", "", "", "version " + r.version());
    }
    return reply(ResultCode.DONE);
  }

  private Reply enrol(Enrol e) {
    Member old = members.get(e.member());
    if (old == null && members.size() >= MAX_MEMBERS) {
      return reply(ResultCode.TOO_MANY);
    }
    if (old != null && old.kind() == e.kind() && old.groups().equals(e.groups())) {
      return reply(ResultCode.SAME_AGAIN);
    }
    if (old != null) {
      countGroups(e.member(), old, false);
      groupCounts.remove(e.member(), old.groups());
      countKind(old, -1);
    }
    Member updated = new Member(e.kind(), e.groups(), old != null && old.unwell(), old == null ? Map.of() : old.words());
    members.put(e.member(), updated);
    groupCounts.add(e.member(), updated.groups());
    countKind(updated, 1);
    recountGroups(e.member());
    addHistory("enrolled", e.member(), "", String.join(" ", e.groups()));
    return reply(ResultCode.DONE);
  }

  private Reply strike(Strike s) {
    Member old = members.get(s.member());
    if (old == null) {
      return reply(ResultCode.UNKNOWN_MEMBER);
    }
    if (permits.containsKey(s.member())) {
      return reply(ResultCode.STILL_OUT); // Removing the member would lose its permit.
    }
    members.remove(s.member());
    groupCounts.remove(s.member(), old.groups());
    countKind(old, -1);
    queue.removeIf(w -> w.member().equals(s.member()) && recordEnd(w, ResultCode.UNKNOWN_MEMBER));
    addHistory("struck", s.member(), "", "");
    return reply(ResultCode.DONE);
  }

  /** Updates the number of members of a kind, in total and unwell. */
  private void countKind(Member m, int delta) {
    totalByKind.merge(m.kind(), delta, Integer::sum);
    unwellByKind.merge(m.kind(), m.unwell() ? delta : 0, Integer::sum);
  }

  private void countGroups(String name, Member m, boolean isOut) {
    groupCounts.setOut(name, m.groups(), isOut);
    if (permits.containsKey(name) && permits.get(name).phase() == Phase.RETURNING) {
      groupCounts.addReturning(m.groups(), isOut ? 1 : -1);
    }
  }

  private void recountGroups(String name) {
    Member m = members.get(name);
    groupCounts.setOut(name, m.groups(), m.unwell() || permits.containsKey(name));
    if (permits.containsKey(name) && permits.get(name).phase() == Phase.RETURNING) {
      groupCounts.addReturning(m.groups(), 1);
    }
  }

  // ---- Granting permits ----------------------------------------------------------------------------------

  private Reply ask(Ask a) {
    Reply before = replies.get(a.ask());
    if (before != null) {
      return before.word() == ResultCode.GRANTED ? repeatReply(a.member(), before) : before;
    }
    if (queue.stream().anyMatch(w -> w.ask().equals(a.ask()))) {
      return reply(ResultCode.WAITING);
    }
    Member m = members.get(a.member());
    if (m == null) {
      return reply(ResultCode.UNKNOWN_MEMBER);
    }
    Permit permit = permits.get(a.member());
    if (permit != null) {
      return remember(a.ask(), new Reply(ResultCode.ALREADY_OUT, "", List.of(permit.by()), 0, index));
    }
    Reply rejection = a.force() ? null : findRejection(a.member(), m, Set.of());
    if (rejection == null && !a.force() && !java.util.Collections.disjoint(awaitedGroups(), m.groups())) {
      rejection = new Reply(ResultCode.LIMIT, "queue", List.of(), 0, index); // A queued request has precedence.
    }
    if (rejection == null) {
      return grant(a.ask(), a.member(), a.by(), a.why(), a.force());
    }
    if (a.waitMillis() <= 0) {
      return remember(a.ask(), rejection);
    }
    if (queue.size() >= MAX_QUEUED) {
      return reply(ResultCode.TOO_MANY);
    }
    queue.add(new QueuedRequest(a.ask(), a.member(), a.by(), a.why(), nowMillis + a.waitMillis()));
    addHistory("waits", a.member(), a.by(), rejection.binding());
    return new Reply(ResultCode.WAITING, rejection.binding(), rejection.holders(), 0, index);
  }

  /**
   * Answers a repeated request that was granted before: successful only while that permit is held. A client whose first reply was lost must
   * not act on a permit that another has ended meanwhile.
   */
  private Reply repeatReply(String member, Reply granted) {
    Permit permit = permits.get(member);
    boolean holds = permit != null && permit.epoch() == granted.epoch() && permit.phase() != Phase.RETURNING;
    return new Reply(holds ? ResultCode.SAME_AGAIN : ResultCode.OLD_EPOCH, "", List.of(), granted.epoch(), granted.index());
  }

  /** Groups whose next free slot belongs to a queued request. */
  private Set<String> awaitedGroups() {
    Set<String> awaited = new HashSet<>();
    queue.forEach(w -> addAwaitedGroups(w, awaited));
    return awaited;
  }

  /**
   * Adds the groups that block a queued request, because they are full or awaited by an earlier one. Later requests must not take their next
   * free slot.
   */
  private void addAwaitedGroups(QueuedRequest w, Set<String> awaited) {
    Member m = members.get(w.member());
    for (String g : m.groups()) {
      if (exceedsLimit(g, w.member(), awaited)) {
        awaited.add(g);
      }
    }
  }

  private boolean exceedsLimit(String group, String name, Set<String> awaited) {
    Limit limit = rules.groups().get(group);
    int added = groupCounts.isOut(group, name) ? 0 : 1;
    return limit != null && (groupCounts.outCount(group) + added > limit.maxOut(groupCounts.memberCount(group)) || awaited.contains(group));
  }

  /** Returns why one more permit can't be granted, or null if it can. {@code awaited} are the groups that earlier queued requests wait for. */
  private Reply findRejection(String name, Member m, Set<String> awaited) {
    if (!halts.isEmpty()) {
      return new Reply(ResultCode.HALTED, halts.keySet().iterator().next(), List.of(), 0, index);
    }
    for (String g : m.groups()) {
      if (exceedsLimit(g, name, awaited)) {
        return new Reply(ResultCode.LIMIT, g, groupCounts.holders(g, MAX_SHOWN_HOLDERS), 0, index);
      }
    }
    return null;
  }

  private Reply grant(String ask, String member, String by, String why, boolean forced) {
    permits.put(member, new Permit(Phase.GRANTED, ask, by, why, forced, index, nowMillis, index));
    recountGroups(member);
    addHistory(forced ? "forced" : "granted", member, by, why);
    return remember(ask, new Reply(ResultCode.GRANTED, "", List.of(), index, index));
  }

  private Reply remember(String ask, Reply reply) {
    replies.put(ask, reply);
    if (replies.size() > MAX_REPLIES) {
      Iterator<String> oldest = replies.keySet().iterator();
      oldest.next();
      oldest.remove();
    }
    return reply;
  }

  private Reply withdraw(Withdraw w) {
    if (queue.removeIf(q -> q.ask().equals(w.ask()) && recordEnd(q, ResultCode.WITHDRAWN))) {
      return reply(ResultCode.DONE);
    }
    for (Map.Entry<String, Permit> e : permits.entrySet()) {
      if (e.getValue().ask().equals(w.ask())) {
        // Instances may have drained the member already, so it has to return like any other.
        return startReturn(new Return(e.getKey(), e.getValue().by(), e.getValue().epoch()));
      }
    }
    return reply(ResultCode.NOT_OUT);
  }

  /** Records why a queued request ended without a grant; always true. The caller removes it from the queue. */
  private boolean recordEnd(QueuedRequest w, ResultCode why) {
    remember(w.ask(), new Reply(why, "", List.of(), 0, index));
    addHistory(why.text(), w.member(), w.by(), w.why());
    return true;
  }

  private Reply markOut(Left l) {
    Permit permit = permits.get(l.member());
    if (permit == null) {
      return reply(ResultCode.NOT_OUT);
    }
    if (permit.epoch() != l.epoch()) {
      return reply(ResultCode.OLD_EPOCH);
    }
    if (permit.phase() == Phase.GRANTED) {
      setPhase(l.member(), permit, Phase.OUT);
    }
    return reply(ResultCode.DONE);
  }

  private void setPhase(String member, Permit permit, Phase to) {
    Member m = members.get(member);
    groupCounts.addReturning(m.groups(), permit.phase() == Phase.RETURNING ? -1 : 0);
    permits.put(member, new Permit(to, permit.ask(), permit.by(), permit.why(), permit.forced(), permit.epoch(), nowMillis, index));
    groupCounts.addReturning(m.groups(), to == Phase.RETURNING ? 1 : 0);
    addHistory(to.name().toLowerCase(java.util.Locale.ROOT), member, permit.by(), permit.why());
  }

  // ---- Returning and health ------------------------------------------------------------------------------

  private Reply startReturn(Return r) {
    Permit permit = permits.get(r.member());
    if (permit == null) {
      return reply(ResultCode.NOT_OUT);
    }
    if (permit.epoch() != r.epoch()) {
      return reply(ResultCode.OLD_EPOCH);
    }
    if (permit.phase() != Phase.RETURNING) {
      setPhase(r.member(), permit, Phase.RETURNING);
    }
    return new Reply(ResultCode.DONE, "", List.of(), permit.epoch(), index);
  }

  private Reply recordHealth(Seen s) {
    Member m = members.get(s.member());
    if (m == null) {
      return reply(ResultCode.UNKNOWN_MEMBER);
    }
    HealthReport last = m.words().get(s.observer());
    if (last != null && last.at() > s.at()) {
      return reply(ResultCode.OLD_EPOCH); // A later report of the same observer was applied already.
    }
    Map<String, HealthReport> reports = new TreeMap<>(m.words());
    reports.put(s.observer(), new HealthReport(s.health(), nowMillis, Math.min(s.at(), index)));
    reports.values().removeIf(t -> nowMillis - t.atMillis() > rules.freshMillis());
    while (reports.size() > MAX_OBSERVERS) {
      reports.remove(reports.entrySet().stream().min(Map.Entry.comparingByValue((x, y) -> Long.compare(x.atMillis(), y.atMillis()))).get().getKey());
    }
    int required = requiredObservers(m.kind());
    long healthy = reports.values().stream().filter(t -> t.health() == Health.WARM).count();
    long unhealthy = reports.size() - healthy;
    // Hysteresis: the health changes only when enough observers agree, otherwise it stays as it was.
    boolean isUnwell = m.unwell() ? !(healthy >= required && unhealthy < required) : unhealthy >= required;
    countKind(m, -1);
    Member updated = new Member(m.kind(), m.groups(), isUnwell, reports);
    members.put(s.member(), updated);
    countKind(updated, 1);
    if (isUnwell != m.unwell()) {
      addHistory(isUnwell ? "unwell" : "well", s.member(), s.observer(), s.health().name().toLowerCase(java.util.Locale.ROOT));
    }
    Permit permit = permits.get(s.member());
    if (permit != null && permit.phase() == Phase.RETURNING && !isUnwell) {
      long healthySince = reports.values().stream().filter(t -> t.health() == Health.WARM && t.at() >= permit.sinceIndex()).count();
      if (healthySince >= required) {
        countGroups(s.member(), updated, false);
        permits.remove(s.member());
        addHistory("back", s.member(), permit.by(), permit.why());
      }
    }
    groupCounts.setOut(s.member(), updated.groups(), isUnwell || permits.containsKey(s.member()));
    return reply(ResultCode.DONE);
  }

  /**
   * How many observers must agree on a member's health. For a balancer it is one, the leader that receives all heartbeats; for an upstream it
   * is {@code rules.words()} balancers, or as many as are well.
   */
  private int requiredObservers(MemberKind kind) {
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
      return reply(ResultCode.TOO_MANY);
    }
    if (halts.putIfAbsent(name, new ActiveHalt(by, why, nowMillis)) == null) {
      addHistory("halted", name, by, why);
    }
    return reply(ResultCode.DONE);
  }

  // ---- After each command --------------------------------------------------------------------------------

  private void processPending() {
    haltIfTooManyUnwell();
    for (Iterator<QueuedRequest> i = queue.iterator(); i.hasNext();) {
      QueuedRequest w = i.next();
      if (nowMillis >= w.untilMillis()) {
        recordEnd(w, ResultCode.EXPIRED);
        i.remove();
      }
    }
    if (halts.isEmpty() && !queue.isEmpty()) {
      Set<String> awaited = new HashSet<>();
      for (Iterator<QueuedRequest> i = queue.iterator(); i.hasNext();) {
        QueuedRequest w = i.next();
        Member m = members.get(w.member());
        if (permits.containsKey(w.member())) {
          remember(w.ask(), new Reply(ResultCode.ALREADY_OUT, "", List.of(), 0, index));
          i.remove();
        } else if (findRejection(w.member(), m, awaited) == null) {
          grant(w.ask(), w.member(), w.by(), w.why(), false);
          i.remove();
        } else {
          addAwaitedGroups(w, awaited);
        }
      }
    }
    if (!groupsToReturn.isEmpty()) {
      startReturns();
    }
  }

  /**
   * Halts grants when too many members of a kind are unwell, whatever the cause. The halt is lifted by its name only, and is placed again while
   * the condition holds.
   */
  private void haltIfTooManyUnwell() {
    for (MemberKind kind : MemberKind.values()) {
      int unwell = unwellByKind.getOrDefault(kind, 0);
      if (unwell > 0 && rules.deadPart() < 1 && !halts.containsKey(DEAD_HALT)) {
        if (unwell > rules.deadPart() * totalByKind.get(kind)) {
          halt(DEAD_HALT, "ledger", unwell + " of " + totalByKind.get(kind) + " unwell");
        }
      }
    }
  }

  /** Starts the return of the members that have been out longest, as many at a time as {@link Limit#back} of their groups allows. */
  private void startReturns() {
    List<Map.Entry<String, Permit>> candidates = new ArrayList<>(permits.entrySet());
    candidates.removeIf(e -> !groupsToReturn.contains("") && members.get(e.getKey()).groups().stream().noneMatch(groupsToReturn::contains));
    if (candidates.isEmpty()) {
      groupsToReturn.clear();
      return;
    }
    candidates.removeIf(e -> e.getValue().phase() == Phase.RETURNING);
    candidates.sort(Map.Entry.comparingByValue((x, y) -> Long.compare(x.epoch(), y.epoch())));
    for (Map.Entry<String, Permit> e : candidates) {
      List<String> groups = members.get(e.getKey()).groups();
      if (groups.stream().allMatch(g -> rules.groups().get(g) == null || groupCounts.returningCount(g) < rules.groups().get(g).back())) {
        setPhase(e.getKey(), e.getValue(), Phase.RETURNING);
      }
    }
  }

  // ---- State ---------------------------------------------------------------------------------------------

  /** An immutable copy of the state, for snapshots and readers. */
  public LedgerState state() {
    return new LedgerState(index, nowMillis, rules, new TreeMap<>(members), new TreeMap<>(permits), List.copyOf(queue), new TreeMap<>(halts),
        List.copyOf(groupsToReturn), new LinkedHashMap<>(replies), List.copyOf(history));
  }

  /** Replaces the current state. */
  public void restore(LedgerState s) {
    members.clear();
    permits.clear();
    queue.clear();
    halts.clear();
    groupsToReturn.clear();
    replies.clear();
    history.clear();
    unwellByKind.clear();
    totalByKind.clear();
    groupCounts = new GroupCounts();
    index = s.index();
    nowMillis = s.nowMillis();
    rules = s.rules();
    permits.putAll(s.outs());
    queue.addAll(s.queue());
    halts.putAll(s.halts());
    groupsToReturn.addAll(s.back());
    replies.putAll(s.answered());
    history.addAll(s.history());
    s.members().forEach((name, m) -> {
      members.put(name, m);
      groupCounts.add(name, m.groups());
      countKind(m, 1);
      recountGroups(name);
    });
  }

  /** The latest timestamp of any command, in milliseconds. */
  public long nowMillis() {
    return nowMillis;
  }

  /** A live view of the permits by member, valid until the next command. */
  public Map<String, Permit> permits() {
    return java.util.Collections.unmodifiableMap(permits);
  }

  /** The number of queued requests. */
  public int queueLength() {
    return queue.size();
  }

  /** The log index of the last command. */
  public long index() {
    return index;
  }

  /** Groups that have members but whose limit rounds down to zero, so that no request for them can ever be granted. */
  public static List<String> neverGrant(Map<String, Limit> limits, Map<String, Integer> sizes) {
    return limits.entrySet().stream().filter(e -> sizes.getOrDefault(e.getKey(), 0) > 0 && e.getValue().maxOut(sizes.get(e.getKey())) == 0)
        .map(Map.Entry::getKey).sorted().toList();
  }
}
