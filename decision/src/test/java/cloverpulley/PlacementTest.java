package cloverpulley;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cloverpulley.Balancer.Action;
import cloverpulley.Balancer.Endpoint;
import cloverpulley.Balancer.ListKind;
import cloverpulley.Balancer.Send;
import cloverpulley.Balancer.State;
import cloverpulley.Balancer.Status;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** The ring, bounded load, capacity, unresponsive upstreams, slow start and drains. */
class PlacementTest {

  private static Map<String, Long> owners(Driver d, int keys) {
    Map<String, Long> owners = new HashMap<>();
    for (int i = 0; i < keys; i++) {
      owners.put("k" + i, d.serve("k" + i, Driver.MS));
    }
    return owners;
  }

  @Test
  void ringIsBalancedAndRemovalMovesOnlyItsOwnKeys() {
    Driver d = new Driver(Driver.safe()).upstreams(10);
    Map<String, Long> before = owners(d, 2000);
    Map<Long, Integer> counts = new HashMap<>();
    before.values().forEach(u -> counts.merge(u, 1, Integer::sum));
    assertEquals(10, counts.size());
    counts.values().forEach(n -> assertTrue(n > 120 && n < 300, "keys of one upstream of ten: " + n));
    d.list(ListKind.DELTA, new Endpoint(103, "a", 0, State.GONE, 0, 1));
    Map<String, Long> after = owners(d, 2000);
    before.forEach((key, owner) -> {
      if (owner == 103) {
        assertNotEquals(103L, after.get(key));
      } else {
        assertEquals(owner, after.get(key));
      }
    });
  }

  @Test
  void hotKeySpreadsUnderTheLoadBound() {
    Driver d = new Driver(Driver.safe()).upstreams(5);
    Map<Long, Integer> inFlight = new HashMap<>();
    for (int i = 0; i < 40; i++) {
      long to = Driver.sentTo(d.request(d.nextId(), "c", "hot"));
      inFlight.merge(to, 1, Integer::sum);
      int bound = (int) Math.ceil(2.0 * (i + 1) / 5);
      assertTrue(inFlight.get(to) <= bound, "in flight " + inFlight.get(to) + " of a bound of " + bound);
    }
    assertTrue(inFlight.size() >= 3);
  }

  @Test
  void nothingNewToADrainingOrGoneUpstream() {
    Driver d = new Driver(Driver.safe()).upstreams(3);
    d.list(ListKind.DELTA, new Endpoint(100, "a", 0, State.DRAINING, 0, 1));
    d.list(ListKind.FULL, new Endpoint(100, "a", 0, State.DRAINING, 0, 1), Driver.up(102));
    for (int i = 0; i < 200; i++) {
      assertEquals(102, d.serve("k" + i, Driver.MS));
    }
  }

  @Test
  void upstreamInSlowStartGetsItsPartOfTheTraffic() {
    Driver d = new Driver(Driver.safe()).upstreams(9);
    for (int i = 0; i < 2000; i++) {
      d.serve("k" + i, Driver.MS);
    }
    d.list(ListKind.DELTA, new Endpoint(500, "a", 0, State.READY, d.now, 1));
    int starting = 0;
    int total = 0;
    for (int i = 0; i < 3000; i++) {
      starting += d.serve("k" + i, Driver.MS) == 500 ? 1 : 0;
      total++;
    }
    double part = starting / (total / 10.0);
    assertTrue(part > 0.1 && part < 0.3 + 0.7 * 3 / 8 + 0.1, "part of what a warmed-up upstream gets: " + part);
  }

  /** A frozen upstream must be avoided before its first attempt times out. */
  @Test
  void unresponsiveUpstreamIsAvoidedAndItsRequestHedged() {
    Driver d = new Driver(Driver.safe()).upstreams(4);
    for (int i = 0; i < 400; i++) {
      d.serve("k" + i % 40, 10 * Driver.MS);
    }
    long frozen = d.serve("k1", 10 * Driver.MS);
    String id = d.nextId();
    assertEquals(frozen, Driver.sentTo(d.request(id, "c", "k1")));
    List<Action> later = d.pass(200 * Driver.MS);
    List<Send> hedges = later.stream().filter(a -> a instanceof Send).map(a -> (Send) a).toList();
    assertEquals(1, hedges.size(), "one hedged request");
    assertEquals(id, hedges.get(0).id());
    assertNotEquals(frozen, hedges.get(0).upstream());
    assertNotEquals(frozen, d.serve("k1", 10 * Driver.MS));
    List<Action> end = d.end(id, hedges.get(0).upstream(), Status.SERVED, 10 * Driver.MS);
    assertTrue(Driver.has(end, Balancer.Cancel.class), "the other attempt is cancelled");
  }

  /** With few samples, one fast response must not make every heavier request look unresponsive. */
  @Test
  void withFewSamplesNoUpstreamIsUnresponsive() {
    Driver d = new Driver(Driver.safe()).upstreams(4);
    for (int i = 0; i < 3; i++) {
      d.serve("k1", 2 * Driver.MS);
    }
    d.request(d.nextId(), "c", "k1");
    assertTrue(d.pass(300 * Driver.MS).stream().noneMatch(a -> a instanceof Send), "no hedged request");
  }

  /** Keys must leave a hanging upstream before its time-out, which may come long after the aim. */
  @Test
  void anOverdueAttemptMakesItsUpstreamSlow() {
    Driver d = new Driver(Driver.safe()).upstreams(4);
    for (int i = 0; i < 100; i++) {
      d.serve("k" + i, 20 * Driver.MS);
    }
    Map<String, Long> before = owners(d, 100);
    before.forEach((key, owner) -> {
      if (owner == 100 && d.outstanding.size() < 3) {
        d.request(d.nextId(), "c", key);
      }
    });
    d.pass(900 * Driver.MS);
    long kept = owners(d, 100).values().stream().filter(u -> u == 100).count();
    long had = before.values().stream().filter(u -> u == 100).count();
    assertTrue(kept < 0.7 * had, "keys kept before any time-out: " + kept + " of " + had);
  }

  /** A dead upstream fails fast and would otherwise always look idle. */
  @Test
  void failingUpstreamIsEjectedAndTriedAgain() {
    Driver d = new Driver(Driver.safe()).upstreams(6);
    for (int i = 0; i < 200; i++) {
      d.serve("k" + i, Driver.MS);
    }
    long bad = d.serve("k0", Driver.MS);
    int toBad = 0;
    for (int i = 0; i < 100; i++) {
      String id = d.nextId();
      long to = Driver.sentTo(d.request(id, "c", "k0"));
      while (to == bad) {
        toBad++;
        to = Driver.sentTo(d.end(id, bad, Status.CONNECT_FAILED, Driver.MS));
      }
      d.pass(Driver.MS);
      d.end(id, to, Status.SERVED, Driver.MS);
    }
    assertEquals(3, toBad, "three failures eject");
    d.pass(600 * Driver.MS);
    assertEquals(bad, d.serve("k0", Driver.MS), "tried again after the ejection");
    assertEquals(bad, d.serve("k0", Driver.MS), "in use again after a success");
  }

  /** With less than one request in flight per upstream the load bound can't detect a slow upstream. */
  @Test
  void aSlowUpstreamLosesPartOfItsKeysAndGetsThemBack() {
    Driver d = new Driver(Driver.safe()).upstreams(6);
    Map<String, Long> before = owners(d, 300);
    for (int i = 0; i < 900; i++) {
      String id = d.nextId();
      long to = Driver.sentTo(d.request(id, "c", "k" + i % 300));
      d.pass(to == 100 ? 150 * Driver.MS : 30 * Driver.MS);
      d.end(id, to, Status.SERVED, to == 100 ? 150 * Driver.MS : 30 * Driver.MS);
    }
    long kept = owners(d, 300).entrySet().stream().filter(e -> e.getValue() == 100).count();
    long had = before.values().stream().filter(u -> u == 100).count();
    assertTrue(kept > 0 && kept < 0.6 * had, "keys kept " + kept + " of " + had);
    d.pass(60_000 * Driver.MS);
    long back = owners(d, 300).values().stream().filter(u -> u == 100).count();
    assertTrue(back > 0.9 * had, "back after a minute " + back + " of " + had);
  }

  /** Requests that all upstreams of an overloaded zone reject go to another zone. */
  @Test
  void keysLeaveAZoneWhoseUpstreamsAreFull() {
    Driver d = new Driver(Driver.safe());
    Endpoint[] entries = new Endpoint[8];
    for (int i = 0; i < 8; i++) {
      entries[i] = new Endpoint(100 + i, i < 4 ? "a" : "b", i, State.READY, 0, 1);
    }
    d.list(ListKind.CACHED, entries);
    int[] away = new int[2];
    for (int half = 0; half < 2; half++) {
      for (int i = 0; i < 600; i++) {
        String id = d.nextId();
        long to = Driver.sentTo(d.request(id, "c", "k" + i));
        away[half] += to >= 104 ? 1 : 0;
        while (to >= 0) {
          boolean full = half == 1 && to < 104;
          d.pass(20 * Driver.MS);
          to = Driver.sentTo(d.end(id, to, full ? Status.FULL : Status.SERVED, 20 * Driver.MS));
        }
      }
    }
    assertEquals(0, away[0], "healthy: all stay in the zone");
    assertTrue(away[1] > 150, "full: they leave the zone: " + away[1]);
  }

  /** Beyond the capacity of an upstream requests wait in the balancer, where the most valuable goes first, and not in the upstream's queue. */
  @Test
  void requestsBeyondTheCapacityAreQueuedAndRejectedEarly() {
    Driver d = new Driver(Driver.safe()).upstreams(1);
    for (int i = 0; i < 200; i++) {
      d.serve("k" + i % 10, 20 * Driver.MS);
    }
    int sent = 0;
    for (int i = 0; i < 60; i++) {
      sent += Driver.sentTo(d.request(d.nextId(), "c", "k" + i)) >= 0 ? 1 : 0;
    }
    assertTrue(sent >= 2 && sent <= 12, "sent at once: " + sent);
    long rejected = d.pass(170 * Driver.MS).stream().filter(a -> a instanceof Balancer.Reject).count();
    assertTrue(rejected > 30, "rejected within 0.43 of the aim: " + rejected);
  }

  /** A few requests with a hint of heavy work fill an upstream that looks half empty by their number. */
  @Test
  void heavyRequestsTakeMoreOfTheCapacity() {
    int light = sentAtOnce(20 * Driver.MS);
    int heavy = sentAtOnce(80 * Driver.MS);
    assertTrue(light >= 4 && heavy <= light / 2, "sent at once: light " + light + ", heavy " + heavy);
  }

  private static int sentAtOnce(long hint) {
    Driver d = new Driver(Driver.safe()).upstreams(1);
    for (int i = 0; i < 500; i++) {
      d.request(d.nextId(), "c", null, "k" + i % 10, 20 * Driver.MS);
      d.serveFor(20 * Driver.MS, Status.SERVED, 20 * Driver.MS);
    }
    int sent = 0;
    for (int i = 0; i < 30; i++) {
      sent += Driver.sentTo(d.request(d.nextId(), "c", null, "k" + i, hint)) >= 0 ? 1 : 0;
    }
    return sent;
  }

  /** Under load a key must not leave the upstreams that cache it: each move costs work and adds to the load. */
  @Test
  void aRareKeyStaysOnFewUpstreamsUnderLoad() {
    Driver d = new Driver(Driver.safe()).upstreams(12);
    Map<String, Set<Long>> upstreamsByKey = new HashMap<>();
    for (int i = 0; i < 4000; i++) {
      String key = "k" + i % 60;
      long to = Driver.sentTo(d.request(d.nextId(), "c", key));
      if (to >= 0) {
        upstreamsByKey.computeIfAbsent(key, k -> new HashSet<>()).add(to);
      }
      d.serveFor(Driver.MS, Status.SERVED, 200 * Driver.MS);
    }
    double mean = upstreamsByKey.values().stream().mapToInt(Set::size).average().getAsDouble();
    assertTrue(mean <= 3.5, "upstreams of a key: " + mean);
  }
}
