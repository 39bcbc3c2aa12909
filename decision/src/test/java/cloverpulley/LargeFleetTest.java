package cloverpulley;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cloverpulley.Balancer.Action;
import cloverpulley.Balancer.Contract;
import cloverpulley.Balancer.DedupScope;
import cloverpulley.Balancer.Effect;
import cloverpulley.Balancer.Endpoint;
import cloverpulley.Balancer.Limits;
import cloverpulley.Balancer.ListKind;
import cloverpulley.Balancer.Penalties;
import cloverpulley.Balancer.Settings;
import cloverpulley.Balancer.State;
import cloverpulley.Balancer.Status;
import cloverpulley.Balancer.Watch;
import cloverpulley.Balancer.WeightKind;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** What many balancers do together, each knowing the settings' count of them and what it sees itself; a virtual clock. */
class LargeFleetTest {

  private static final long MS = Driver.MS;
  private static final int BALANCERS = 14;
  private static final double COLD_FROM = 0.3;
  private static final long WARM_MS = 8000;
  private static final long FALL_MS = 3000;
  private static final double FALL_MULTIPLE = 3;

  private static Settings settings(int me) {
    return new Settings(me, BALANCERS, "a", List.of(Driver.type("c", Effect.SAFE, DedupScope.ALL)), List.of(),
        new Limits(true, false, false, true, true, 1000 * MS, 4, 10_000, 1, 200 * MS),
        new Contract(8 * MS, 10_000 * MS, 250 * MS, COLD_FROM, WARM_MS * MS, FALL_MULTIPLE, FALL_MS * MS),
        new Penalties(0, 0, 0), true, WeightKind.NONE, 0.2, true, MS);
  }

  private static List<Driver> balancers(long seed) {
    List<Driver> all = new ArrayList<>();
    for (int i = 0; i < BALANCERS; i++) {
      all.add(new Driver(settings(i), seed * 1000 + i));
    }
    return all;
  }

  /** All start at once and discovery fails each call: later calls are spread by each one's own seed, and bounded in sum. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void callsThatFailAreSpreadAndBounded(long seed) {
    List<Driver> all = balancers(seed);
    Map<Long, Integer> calls = new TreeMap<>();
    all.forEach(d -> assertTrue(Driver.has(d.list(ListKind.CACHED, Driver.up(1)), Watch.class)));
    all.forEach(d -> d.list(ListKind.FAILED));
    for (long ms = 10; ms <= 20_000; ms += 10) {
      for (Driver d : all) {
        if (Driver.has(d.pass(10 * MS), Watch.class)) {
          calls.merge(ms / 100, 1, Integer::sum);
          d.list(ListKind.FAILED);
        }
      }
    }
    int sum = calls.values().stream().mapToInt(n -> n).sum();
    int most = calls.values().stream().mapToInt(n -> n).max().orElse(0);
    assertTrue(sum >= BALANCERS * 10 && sum <= BALANCERS * 35, "seed " + seed + ": calls in 20 s " + sum);
    assertTrue(most <= BALANCERS * 2 / 3, "seed " + seed + ": within 0.1 s " + most + " of " + BALANCERS);
  }

  /**
   * Rule 4 by all together: seven in twelve upstreams are replaced at once by cold ones. What a warm one was sent is what it can
   * do at least, so that no cold one may get three times its part of that within any window of the rule.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4})
  void aColdOneIsNotPushedOverByAllTogether(long seed) {
    List<Driver> all = balancers(seed);
    SplittableRandom random = new SplittableRandom(seed);
    List<Endpoint> warm = new ArrayList<>();
    for (long id = 1; id <= 12; id++) {
      warm.add(Driver.up(id));
    }
    all.forEach(d -> d.list(ListKind.CACHED, warm.toArray(new Endpoint[0])));
    Map<Long, List<Long>> before = play(all, random, 10_000);
    double usual = before.values().stream().mapToInt(List::size).sum() / 12.0 / 10;
    long started = all.get(0).now;
    List<Endpoint> changes = new ArrayList<>();
    for (long id = 1; id <= 7; id++) {
      changes.add(new Endpoint(id, "a", 0, State.GONE, 0, 1));
      changes.add(new Endpoint(100 + id, "a", 0, State.READY, started, 1));
    }
    all.forEach(d -> d.list(ListKind.DELTA, changes.toArray(new Endpoint[0])));
    Map<Long, List<Long>> after = play(all, random, 10_000);
    int cold = 0;
    for (long id = 101; id <= 107; id++) {
      List<Long> sends = after.getOrDefault(id, List.of());
      cold += sends.isEmpty() ? 0 : 1;
      for (int i = 0, from = 0; i < sends.size(); i++) {
        while (sends.get(i) - sends.get(from) > FALL_MS * MS) {
          from++;
        }
        double part = Math.min(1, COLD_FROM + (1 - COLD_FROM) * (sends.get(from) - started) / (WARM_MS * MS));
        double most = FALL_MULTIPLE * part * usual * FALL_MS / 1000;
        assertTrue(i - from + 1 <= most, "seed " + seed + ": " + (i - from + 1) + " sent to " + id + " within 3 s, most " + most);
      }
    }
    assertEquals(7, cold, "cold ones are used");
  }

  /** All balancers serve 10 ms requests at some 90 a second each; what each upstream was sent by all, and when. */
  private static Map<Long, List<Long>> play(List<Driver> all, SplittableRandom random, long millis) {
    Map<Long, List<Long>> sends = new HashMap<>();
    for (long end = all.get(0).now + millis * MS; all.get(0).now < end; ) {
      for (Driver d : all) {
        if (random.nextInt(100) < 90) {
          d.request(d.nextId(), "c", "k" + random.nextInt(500));
        }
        d.pass(10 * MS);
        for (Driver.Sent s : List.copyOf(d.outstanding)) {
          sends.computeIfAbsent(s.upstream(), u -> new ArrayList<>()).add(s.at());
          d.end(s, Status.SERVED, d.now - s.at());
        }
      }
    }
    sends.values().forEach(times -> times.sort(null));
    return sends;
  }

  /** Two upstreams are replaced each second for ten minutes: nothing is kept of those that went. */
  @Test
  void whatWentIsForgotten() throws ReflectiveOperationException {
    Driver d = new Driver(settings(0), 7);
    for (long id = 0; id < 60; id++) {
      d.list(id == 0 ? ListKind.CACHED : ListKind.DELTA, Driver.up(id));
    }
    for (long id = 60; id < 60 + 1200; id++) {
      d.list(ListKind.DELTA, new Endpoint(id - 60, "a", 0, State.GONE, 0, 1), new Endpoint(id, "a", 0, State.READY, d.now, 1));
      List<Action> sent = d.request(d.nextId(), "c", "k" + id);
      d.serveFor(500 * MS, Status.SERVED, 20 * MS);
      assertTrue(Driver.sentTo(sent) >= 0, "nothing could take request " + id);
    }
    assertEquals(60, ((Logic) d.module).upstreamCount());
    assertTrue(((Logic) d.module).windowCount() < 100, "windows: " + ((Logic) d.module).windowCount());
  }

  /** One answer among six that took nearly five times its aim: all of the next ten were refused where the bare mean decided. */
  @Test
  void oneSlowAnswerAmongFewSwingsNoLine() {
    Driver d = new Driver(settings(0), 7).upstreams(60);
    String slow = d.nextId();
    long at = Driver.sentTo(d.request(slow, "c", "slow"));
    d.pass(1500 * MS);
    for (int i = 0; i < 5; i++) {
      assertTrue(d.serve("k" + i, 80 * MS) >= 0);
    }
    d.end(slow, at, Status.SERVED, 1900 * MS);
    int refused = 0;
    for (int i = 0; i < 10; i++) {
      refused += d.serve("again" + i, 20 * MS) < 0 ? 1 : 0;
    }
    assertTrue(refused <= 2, "refused after one slow answer: " + refused + " of 10");
  }
}
