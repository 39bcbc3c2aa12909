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
 * Thousands of random histories of late, lost, repeated, outdated, partial, empty and forged answers, each from a seed: what must
 * hold at every moment, and that the truth is found once the faults are over. One fails: {@code -Dhistory.seed=N} plays it alone.
 */
class HistoriesTest {

  /** As many as CI has time for; 10,000 were played with {@code -Dhistory.count=10000}. */
  private static final int HISTORIES = 1500;
  private static final long POLL_MILLIS = 2000;
  private static final long FAULTS_MILLIS = 60_000;
  private static final long LONGEST_TTL = 20_000;
  private static final long SETTLE = 2000;

  /** A server as it really is. */
  private record Real(String label, int port, String boot, long startedAt, String address, boolean draining) {
    String id() {
      return Bench.name(label) + "|" + label + ".hosts.example.:" + port + "|" + boot;
    }
  }

  private enum Mode { GOOD, SILENT, EMPTY, PARTIAL, OUTDATED, FORGED, LATE }

  private static final class World {
    final long seed;
    final SplittableRandom random;
    final int resolvers;
    final Rules rules;
    final Bench bench;
    final TreeMap<String, Real> truth = new TreeMap<>();
    /** The zone at earlier times, for those who are late. */
    final List<Map<String, Real>> past = new ArrayList<>();
    final Mode[] mode;
    final long[] modeUntil;
    /** What it said last was wrong, and is remembered. */
    final boolean[] wrong;
    final Map<String, Real> everReal = new HashMap<>();
    final Map<String, Real> atStart = new HashMap<>();
    /** For each life that a good answer has called draining or left out: until when it counts. */
    final Map<String, Long> drainKnown = new HashMap<>();
    /** Who has forged a list, each of whom may have his weight's part of it believed. */
    final Set<Integer> forgers = new TreeSet<>();
    int mostTrue;
    long serial = 100;
    /** A single resolver may be empty for a moment, not for as long as is believed. */
    boolean emptied;
    int boots;
    int labels;
    int moves;
    long settledAt = -1;

    World(long seed) {
      this.seed = seed;
      random = new SplittableRandom(seed);
      resolvers = 1 + random.nextInt(4);
      Rules u = Rules.of(resolvers);
      rules = new Rules(u.weights(), 0.5, u.witnesses(), u.emptyWitnesses(), 5000, SETTLE, LONGEST_TTL, 600_000, 3000, 2000, 6000, 1, 500);
      bench = new Bench(rules);
      mode = new Mode[resolvers];
      Arrays.fill(mode, Mode.GOOD);
      modeUntil = new long[resolvers];
      wrong = new boolean[resolvers];
      for (int n = 4 + random.nextInt(12); n > 0; n--) {
        add();
      }
      atStart.putAll(everReal);
      past.add(Map.copyOf(truth));
    }

    void add() {
      String label = "s" + labels++;
      set(new Real(label, 8000, "b" + boots++, bench.now, "10.1.0." + labels, false));
    }

    void set(Real r) {
      truth.put(r.label, r);
      everReal.put(r.id(), r);
    }

    /** Something happens to the fleet: one server at a time, a fleet of a few stays. */
    void change() {
      List<String> all = List.copyOf(truth.keySet());
      String label = all.get(random.nextInt(all.size()));
      Real r = truth.get(label);
      switch (random.nextInt(6)) {
        case 0 -> add();
        case 1 -> {
          if (all.size() > 4) {
            truth.remove(label);
          }
        }
        case 2 -> set(new Real(label, r.port, "b" + boots++, bench.now, r.address, false));
        case 3 -> set(new Real(label, r.port, r.boot, r.startedAt, "10.2." + moves / 250 + "." + moves++ % 250, r.draining));
        case 4 -> set(new Real(label, r.port + 1, "b" + boots++, bench.now, r.address, false));
        default -> {
          if (truth.values().stream().filter(x -> !x.draining).count() > 3) {
            set(new Real(label, r.port, r.boot, r.startedAt, r.address, true));
          }
        }
      }
      serial++;
      past.add(Map.copyOf(truth));
    }

    /** At most one resolver at a time says what is wrong; any may be silent or late. */
    void fault(int r) {
      boolean otherLies = false;
      for (int k = 0; k < resolvers; k++) {
        otherLies |= k != r && (wrong[k] || mode[k] != Mode.GOOD && mode[k] != Mode.SILENT && mode[k] != Mode.LATE);
      }
      Mode[] all = Mode.values();
      Mode next = all[random.nextInt(all.length)];
      boolean lies = next != Mode.GOOD && next != Mode.SILENT && next != Mode.LATE;
      // With one resolver there is nobody to set it right: it may be silent, late or empty for a moment.
      mode[r] = lies && otherLies || lies && resolvers == 1 && (next != Mode.EMPTY || emptied) ? Mode.GOOD : next;
      // Who lies where nobody else speaks for long is believed in the end: no fault of the module's.
      boolean wrongSpeaks = lies || otherLies;
      boolean trueSpeaks = false;
      for (int k = 0; k < resolvers; k++) {
        trueSpeaks |= (mode[k] == Mode.GOOD || mode[k] == Mode.LATE) && !wrong[k];
      }
      if (resolvers > 1 && wrongSpeaks && !trueSpeaks) {
        mode[r] = Mode.GOOD;
      }
      modeUntil[r] = bench.now + (mode[r] == Mode.EMPTY && resolvers == 1 ? 2000 : 1000 + random.nextInt(15_000));
    }

    void poll(int r, boolean calm) {
      Mode m = calm ? Mode.GOOD : mode[r];
      if (m == Mode.SILENT) {
        bench.observe(new BrowseFailed(r, Bench.DOMAIN));
        return;
      }
      emptied = m == Mode.EMPTY;
      wrong[r] = m != Mode.GOOD && m != Mode.LATE;
      if (m == Mode.EMPTY) {
        bench.observe(new Browsed(r, Bench.DOMAIN, Set.of(), -1, 10_000));
        return;
      }
      Map<String, Real> says = new TreeMap<>(truth);
      long shownSerial = serial;
      if (m == Mode.LATE || m == Mode.OUTDATED) {
        int back = m == Mode.LATE ? 1 : 1 + random.nextInt(past.size());
        int at = Math.max(0, past.size() - 1 - back);
        says = new TreeMap<>(past.get(at));
        shownSerial = 100 + at;
      } else if (m == Mode.PARTIAL) {
        says.keySet().removeIf(k -> random.nextInt(2) == 0);
        shownSerial = -1;
      } else if (m == Mode.FORGED) {
        says.clear();
        forgers.add(r);
        for (int i = 0; i < 40; i++) {
          says.put("x" + i, new Real("x" + i, 6666, "forged" + i, 0, "10.66.0." + i, false));
        }
        shownSerial = -1;
      }
      if (shownSerial >= 0) {
        bench.observe(new ZoneSerial(r, Bench.DOMAIN, shownSerial));
      }
      Set<String> names = new TreeSet<>();
      says.keySet().forEach(l -> names.add(Bench.name(l)));
      Browsed b = new Browsed(r, Bench.DOMAIN, names, shownSerial, 10_000);
      bench.observe(b);
      if (random.nextInt(5) == 0) {
        bench.observe(b); // And some come twice.
      }
      for (Real s : says.values()) {
        if (m == Mode.GOOD || random.nextInt(10) > 0) { // Some records are lost on the way.
          String name = Bench.name(s.label);
          String target = s.label + ".hosts.example.";
          bench.observe(new ServiceRecords(r, name, List.of(new SrvRecord(0, 0, target, s.port))));
          bench.observe(new TextRecord(r, name, s.draining ? Map.of("started", s.boot, "phase", "draining") : Map.of("started", s.boot)));
          bench.observe(new Addresses(r, target, false, List.of(s.address)));
        }
      }
      if (m == Mode.GOOD) {
        for (Real s : truth.values()) {
          if (s.draining) {
            drainKnown.put(s.id(), bench.now + LONGEST_TTL);
          }
        }
      }
    }

    void check() {
      long forged = 0;
      for (Member m : bench.list.values()) {
        if (m.phase() != Phase.READY) {
          continue;
        }
        Real real = everReal.get(m.id());
        forged += real == null ? 1 : 0;
        if (real != null) {
          say(drainKnown.getOrDefault(m.id(), 0L) <= bench.now, m.id() + " drains, as a good answer has said");
          // Rule 4: who started after us counts as started when we heard of it, or later.
          say(atStart.containsKey(m.id()) || m.upSince() >= real.startedAt, m.id() + " is taken for warmer than it is");
        }
      }
      double weight = rules.weights().get(0);
      mostTrue = Math.max(mostTrue, bench.list.size());
      long most = forgers.size() * (long) Math.floor(weight * mostTrue);
      say(forged <= most, forged + " forged servers of " + bench.ready() + " are believed");
      // Nothing here takes the fleet below its floor: at most one resolver is wrong at a time.
      long sure = truth.values().stream().filter(s -> !s.draining && atStart.containsKey(s.id())).count();
      long serves = truth.values().stream().filter(s -> !s.draining && atStart.containsKey(s.id())
          && bench.list.containsKey(s.id()) && bench.list.get(s.id()).phase() == Phase.READY).count();
      if (bench.now > Bench.START + 4000 && sure >= 4) {
        say(serves > 0, "none of " + sure + " servers that were there all the time is ready");
        say(bench.ready() > 0, "the fleet is empty");
      }
    }

    void say(boolean holds, String otherwise) {
      assertTrue(holds, () -> "history.seed=" + seed + " at " + (bench.now - Bench.START) + " ms, resolvers " + resolvers + ", modes "
          + Arrays.toString(mode) + ": " + otherwise + "\n" + String.join("\n", bench.changes.stream().map(Object::toString).toList()));
    }

    boolean isTrue() {
      if (truth.size() != bench.list.size()) {
        return false;
      }
      for (Real r : truth.values()) {
        Member m = bench.list.get(r.id());
        if (m == null || m.phase() != (r.draining ? Phase.DRAINING : Phase.READY) || !m.address().equals(r.address)) {
          return false;
        }
      }
      return true;
    }

    /** Plays it; how long after the last fault the list was the truth and stayed so. */
    long play() {
      record Event(long at, int resolver) {}
      PriorityQueue<Event> events = new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparingInt(Event::resolver));
      for (int r = 0; r < resolvers; r++) {
        events.add(new Event(bench.now + 1 + random.nextInt(1000), r));
      }
      events.add(new Event(bench.now + 4000, -1));
      long faultsEnd = Bench.START + FAULTS_MILLIS;
      long end = faultsEnd + LONGEST_TTL + SETTLE + 2 * POLL_MILLIS;
      while (events.peek().at <= end) {
        Event e = events.poll();
        bench.pass(e.at - bench.now);
        boolean calm = bench.now >= faultsEnd;
        if (e.resolver < 0) {
          if (!calm) {
            change();
            events.add(new Event(bench.now + 500 + random.nextInt(8000), -1));
          }
          continue;
        }
        if (!calm && bench.now > Bench.START + 4000 && bench.now >= modeUntil[e.resolver]) {
          fault(e.resolver);
        }
        poll(e.resolver, calm);
        bench.settle();
        check();
        if (calm) {
          settledAt = !isTrue() ? -1 : settledAt < 0 ? bench.now : settledAt;
        }
        events.add(new Event(bench.now + POLL_MILLIS - random.nextInt(200), e.resolver));
      }
      say(settledAt >= 0, "the list is not the truth long after the last fault: " + bench.list.values() + "\nwanted " + truth.values());
      return settledAt - faultsEnd;
    }
  }

  @Test
  void histories() {
    Long one = Long.getLong("history.seed");
    long first = one == null ? 1 : one;
    long[] settled = new long[one == null ? Integer.getInteger("history.count", HISTORIES) : 1];
    for (int i = 0; i < settled.length; i++) {
      settled[i] = new World(first + i).play();
    }
    Arrays.sort(settled);
    System.out.println("membership histories: seeds " + first + " to " + (first + settled.length - 1) + ", truth after "
        + settled[settled.length / 2] + " ms (median), " + settled[settled.length * 99 / 100] + " (p99), "
        + settled[settled.length - 1] + " (most); polls each " + POLL_MILLIS + " ms");
  }
}
