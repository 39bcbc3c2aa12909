package cloverpulley.membership;

import static org.junit.jupiter.api.Assertions.assertTrue;

import cloverpulley.membership.Member.Phase;
import cloverpulley.membership.Observation.Addresses;
import cloverpulley.membership.Observation.BrowseFailed;
import cloverpulley.membership.Observation.Browsed;
import cloverpulley.membership.Observation.ServiceRecords;
import cloverpulley.membership.Observation.TextRecord;
import cloverpulley.membership.Observation.ZoneSerial;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;

/**
 * Random histories of late, lost, duplicate, outdated, partial, empty and forged answers, each from a seed. Checks invariants at every
 * step, and that the list converges to the actual fleet once the faults end. {@code -Dhistory.seed=N} replays one history.
 */
class HistoriesTest {

  /** Limited by the time that CI has; 10,000 have been run with {@code -Dhistory.count=10000}. */
  private static final int HISTORIES = 1500;
  private static final long POLL_MILLIS = 2000;
  private static final long FAULTS_MILLIS = 60_000;
  private static final long LONGEST_TTL_MILLIS = 20_000;
  private static final long SETTLE_MILLIS = 2000;

  /** The actual state of a server. */
  private record ActualServer(String label, int port, String bootId, long startedAt, String address, boolean draining) {
    String id() {
      return MembershipFixture.name(label) + "|" + label + ".hosts.example.:" + port + "|" + bootId;
    }
  }

  private enum ResolverMode { CORRECT, UNRESPONSIVE, EMPTY, PARTIAL, OUTDATED, FORGED, LATE }

  private static final class Simulation {
    final long seed;
    final SplittableRandom random;
    final int resolvers;
    final Rules rules;
    final MembershipFixture fixture;
    final TreeMap<String, ActualServer> actual = new TreeMap<>();
    /** Earlier states of the zone, for late and outdated answers. */
    final List<Map<String, ActualServer>> history = new ArrayList<>();
    final ResolverMode[] mode;
    final long[] modeUntil;
    /** Whether a resolver's last answer was wrong; it stays in effect until the next one. */
    final boolean[] lastWrong;
    final Map<String, ActualServer> everActual = new HashMap<>();
    final Map<String, ActualServer> atStart = new HashMap<>();
    /** For each server that a correct answer reported as draining: until when that report has to hold. */
    final Map<String, Long> drainHoldsUntil = new HashMap<>();
    /** Resolvers that have forged a list; up to its weight, the servers of each may be accepted. */
    final Set<Integer> forgers = new TreeSet<>();
    int maxListed;
    long serial = 100;
    /** The last answer was empty; a single resolver must not answer empty for so long that it takes effect. */
    boolean lastEmpty;
    int bootCount;
    int labelCount;
    int moveCount;
    long convergedAt = -1;

    Simulation(long seed) {
      this.seed = seed;
      random = new SplittableRandom(seed);
      resolvers = 1 + random.nextInt(4);
      Rules u = Rules.of(resolvers);
      rules = new Rules(u.weights(), 0.5, u.witnesses(), u.emptyWitnesses(), 5000, SETTLE_MILLIS, LONGEST_TTL_MILLIS, 600_000, 3000, 2000,
          6000, 1, 500);
      fixture = new MembershipFixture(rules);
      mode = new ResolverMode[resolvers];
      Arrays.fill(mode, ResolverMode.CORRECT);
      modeUntil = new long[resolvers];
      lastWrong = new boolean[resolvers];
      for (int n = 4 + random.nextInt(12); n > 0; n--) {
        add();
      }
      atStart.putAll(everActual);
      history.add(Map.copyOf(actual));
    }

    void add() {
      String label = "s" + labelCount++;
      set(new ActualServer(label, 8000, "b" + bootCount++, fixture.now, "10.1.0." + labelCount, false));
    }

    void set(ActualServer r) {
      actual.put(r.label, r);
      everActual.put(r.id(), r);
    }

    /** Changes one server at random: added, removed, restarted, renumbered, moved or drained; a minimal fleet remains. */
    void change() {
      List<String> all = List.copyOf(actual.keySet());
      String label = all.get(random.nextInt(all.size()));
      ActualServer r = actual.get(label);
      switch (random.nextInt(6)) {
        case 0 -> add();
        case 1 -> {
          if (all.size() > 4) {
            actual.remove(label);
          }
        }
        case 2 -> set(new ActualServer(label, r.port, "b" + bootCount++, fixture.now, r.address, false));
        case 3 -> set(new ActualServer(label, r.port, r.bootId, r.startedAt, "10.2." + moveCount / 250 + "." + moveCount++ % 250, r.draining));
        case 4 -> set(new ActualServer(label, r.port + 1, "b" + bootCount++, fixture.now, r.address, false));
        default -> {
          if (actual.values().stream().filter(x -> !x.draining).count() > 3) {
            set(new ActualServer(label, r.port, r.bootId, r.startedAt, r.address, true));
          }
        }
      }
      serial++;
      history.add(Map.copyOf(actual));
    }

    /** Switches a resolver to a random mode; at most one gives wrong answers at a time, any may be unresponsive or late. */
    void fault(int r) {
      boolean otherIsWrong = false;
      for (int k = 0; k < resolvers; k++) {
        otherIsWrong |= k != r
            && (lastWrong[k] || mode[k] != ResolverMode.CORRECT && mode[k] != ResolverMode.UNRESPONSIVE && mode[k] != ResolverMode.LATE);
      }
      ResolverMode[] all = ResolverMode.values();
      ResolverMode next = all[random.nextInt(all.length)];
      boolean isWrong = next != ResolverMode.CORRECT && next != ResolverMode.UNRESPONSIVE && next != ResolverMode.LATE;
      // A single resolver can't be corrected by others: it may only be unresponsive, late or briefly empty.
      mode[r] = isWrong && otherIsWrong || isWrong && resolvers == 1 && (next != ResolverMode.EMPTY || lastEmpty)
          ? ResolverMode.CORRECT : next;
      // A wrong resolver is trusted in the end while no correct one responds, by design: such a combination is not generated.
      boolean wrongResponds = isWrong || otherIsWrong;
      boolean correctResponds = false;
      for (int k = 0; k < resolvers; k++) {
        correctResponds |= (mode[k] == ResolverMode.CORRECT || mode[k] == ResolverMode.LATE) && !lastWrong[k];
      }
      if (resolvers > 1 && wrongResponds && !correctResponds) {
        mode[r] = ResolverMode.CORRECT;
      }
      modeUntil[r] = fixture.now + (mode[r] == ResolverMode.EMPTY && resolvers == 1 ? 2000 : 1000 + random.nextInt(15_000));
    }

    void poll(int r, boolean faultsOver) {
      ResolverMode m = faultsOver ? ResolverMode.CORRECT : mode[r];
      if (m == ResolverMode.UNRESPONSIVE) {
        fixture.observe(new BrowseFailed(r, MembershipFixture.DOMAIN));
        return;
      }
      lastEmpty = m == ResolverMode.EMPTY;
      lastWrong[r] = m != ResolverMode.CORRECT && m != ResolverMode.LATE;
      if (m == ResolverMode.EMPTY) {
        fixture.observe(new Browsed(r, MembershipFixture.DOMAIN, Set.of(), -1, 10_000));
        return;
      }
      Map<String, ActualServer> reported = new TreeMap<>(actual);
      long reportedSerial = serial;
      if (m == ResolverMode.LATE || m == ResolverMode.OUTDATED) {
        int age = m == ResolverMode.LATE ? 1 : 1 + random.nextInt(history.size());
        int at = Math.max(0, history.size() - 1 - age);
        reported = new TreeMap<>(history.get(at));
        reportedSerial = 100 + at;
      } else if (m == ResolverMode.PARTIAL) {
        reported.keySet().removeIf(k -> random.nextInt(2) == 0);
        reportedSerial = -1;
      } else if (m == ResolverMode.FORGED) {
        reported.clear();
        forgers.add(r);
        for (int i = 0; i < 40; i++) {
          reported.put("x" + i, new ActualServer("x" + i, 6666, "forged" + i, 0, "10.66.0." + i, false));
        }
        reportedSerial = -1;
      }
      if (reportedSerial >= 0) {
        fixture.observe(new ZoneSerial(r, MembershipFixture.DOMAIN, reportedSerial));
      }
      Set<String> names = new TreeSet<>();
      reported.keySet().forEach(l -> names.add(MembershipFixture.name(l)));
      Browsed b = new Browsed(r, MembershipFixture.DOMAIN, names, reportedSerial, 10_000);
      fixture.observe(b);
      if (random.nextInt(5) == 0) {
        fixture.observe(b); // Some answers are duplicated.
      }
      for (ActualServer s : reported.values()) {
        if (m == ResolverMode.CORRECT || random.nextInt(10) > 0) { // Some records are lost.
          String name = MembershipFixture.name(s.label);
          String target = s.label + ".hosts.example.";
          fixture.observe(new ServiceRecords(r, name, List.of(new SrvRecord(0, 0, target, s.port))));
          fixture.observe(new TextRecord(r, name, s.draining ? Map.of("started", s.bootId, "phase", "draining") : Map.of("started", s.bootId)));
          fixture.observe(new Addresses(r, target, false, List.of(s.address)));
        }
      }
      if (m == ResolverMode.CORRECT) {
        for (ActualServer s : actual.values()) {
          if (s.draining) {
            drainHoldsUntil.put(s.id(), fixture.now + LONGEST_TTL_MILLIS);
          }
        }
      }
    }

    void check() {
      long forged = 0;
      for (Member m : fixture.list.values()) {
        if (m.phase() != Phase.READY) {
          continue;
        }
        ActualServer server = everActual.get(m.id());
        forged += server == null ? 1 : 0;
        if (server != null) {
          expect(drainHoldsUntil.getOrDefault(m.id(), 0L) <= fixture.now, m.id() + " is ready, but a correct answer has reported it as draining");
          // Rule 4 (slow start): a server that started after this reader must not count as started earlier than it did.
          expect(atStart.containsKey(m.id()) || m.upSince() >= server.startedAt, m.id() + " has an earlier start time than it should");
        }
      }
      double weight = rules.weights().get(0);
      maxListed = Math.max(maxListed, fixture.list.size());
      long limit = forgers.size() * (long) Math.floor(weight * maxListed);
      expect(forged <= limit, forged + " forged servers of " + fixture.readyCount() + " are accepted");
      // At most one resolver is wrong at a time, so the fleet must never be empty.
      long permanent = actual.values().stream().filter(s -> !s.draining && atStart.containsKey(s.id())).count();
      long readyPermanent = actual.values().stream().filter(s -> !s.draining && atStart.containsKey(s.id())
          && fixture.list.containsKey(s.id()) && fixture.list.get(s.id()).phase() == Phase.READY).count();
      if (fixture.now > MembershipFixture.START + 4000 && permanent >= 4) {
        expect(readyPermanent > 0, "none of the " + permanent + " servers that ran all the time is ready");
        expect(fixture.readyCount() > 0, "the fleet is empty");
      }
    }

    void expect(boolean condition, String message) {
      assertTrue(condition, () -> "history.seed=" + seed + " at " + (fixture.now - MembershipFixture.START) + " ms, resolvers " + resolvers
          + ", modes " + Arrays.toString(mode) + ": " + message + "\n" + String.join("\n", fixture.changes.stream().map(Object::toString).toList()));
    }

    boolean matchesActual() {
      if (actual.size() != fixture.list.size()) {
        return false;
      }
      for (ActualServer r : actual.values()) {
        Member m = fixture.list.get(r.id());
        if (m == null || m.phase() != (r.draining ? Phase.DRAINING : Phase.READY) || !m.address().equals(r.address)) {
          return false;
        }
      }
      return true;
    }

    /** Runs the history; the time from the last fault until the list matched the actual fleet for good. */
    long run() {
      record Event(long at, int resolver) {}
      PriorityQueue<Event> events = new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparingInt(Event::resolver));
      for (int r = 0; r < resolvers; r++) {
        events.add(new Event(fixture.now + 1 + random.nextInt(1000), r));
      }
      events.add(new Event(fixture.now + 4000, -1));
      long faultsEnd = MembershipFixture.START + FAULTS_MILLIS;
      long end = faultsEnd + LONGEST_TTL_MILLIS + SETTLE_MILLIS + 2 * POLL_MILLIS;
      while (events.peek().at <= end) {
        Event e = events.poll();
        fixture.advance(e.at - fixture.now);
        boolean faultsOver = fixture.now >= faultsEnd;
        if (e.resolver < 0) {
          if (!faultsOver) {
            change();
            events.add(new Event(fixture.now + 500 + random.nextInt(8000), -1));
          }
          continue;
        }
        if (!faultsOver && fixture.now > MembershipFixture.START + 4000 && fixture.now >= modeUntil[e.resolver]) {
          fault(e.resolver);
        }
        poll(e.resolver, faultsOver);
        fixture.reconcile();
        check();
        if (faultsOver) {
          convergedAt = !matchesActual() ? -1 : convergedAt < 0 ? fixture.now : convergedAt;
        }
        events.add(new Event(fixture.now + POLL_MILLIS - random.nextInt(200), e.resolver));
      }
      expect(convergedAt >= 0, "the list does not match the actual fleet long after the last fault: " + fixture.list.values()
          + "\nexpected " + actual.values());
      return convergedAt - faultsEnd;
    }
  }

  @Test
  void histories() {
    Long onlySeed = Long.getLong("history.seed");
    long first = onlySeed == null ? 1 : onlySeed;
    long[] convergence = new long[onlySeed == null ? Integer.getInteger("history.count", HISTORIES) : 1];
    for (int i = 0; i < convergence.length; i++) {
      convergence[i] = new Simulation(first + i).run();
    }
    Arrays.sort(convergence);
    System.out.println("membership histories: seeds " + first + " to " + (first + convergence.length - 1) + ", converged after "
        + convergence[convergence.length / 2] + " ms (median), " + convergence[convergence.length * 99 / 100] + " (p99), "
        + convergence[convergence.length - 1] + " (max); polls every " + POLL_MILLIS + " ms");
  }
}
