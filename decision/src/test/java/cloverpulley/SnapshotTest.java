package cloverpulley;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cloverpulley.Balancer.Endpoint;
import cloverpulley.Balancer.ListKind;
import cloverpulley.Balancer.ProcessCountChanged;
import cloverpulley.Balancer.PublishSnapshot;
import cloverpulley.Balancer.Send;
import cloverpulley.Balancer.SnapshotRequested;
import cloverpulley.Balancer.SnapshotRestored;
import cloverpulley.Balancer.State;
import cloverpulley.Balancer.Status;
import cloverpulley.Balancer.UpstreamSetOffline;
import cloverpulley.Balancer.UpstreamSetOnline;
import cloverpulley.state.BalancerSnapshot;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The state of an instance is restored by its successor, whatever the readings of their clocks. */
class SnapshotTest {

  private static final long MS = Driver.MS;

  private static BalancerSnapshot snapshot(Driver d) {
    return d.step(new SnapshotRequested()).stream().filter(PublishSnapshot.class::isInstance)
        .map(a -> ((PublishSnapshot) a).snapshot()).findFirst().get();
  }

  private static Driver successor(Driver of, Endpoint... list) {
    BalancerSnapshot snapshot = snapshot(of);
    Driver d = new Driver(Driver.safe(), 8);
    d.now = 5_000_000_000_000L;
    d.list(ListKind.CACHED, list);
    d.step(new SnapshotRestored(snapshot));
    return d;
  }

  private static int sendsTo(long upstream, Driver d, long millis) {
    int sends = 0;
    for (long t = 0; t < millis; t += 5) {
      sends += d.request(d.nextId(), "c", "k" + d.now).stream().anyMatch(a -> a instanceof Send s && s.upstream() == upstream) ? 1 : 0;
      d.serveFor(5 * MS, Status.SERVED, 20 * MS);
    }
    return sends;
  }

  /** An upstream was set online at the predecessor just before; the successor's list is older and shows no slow start. */
  @Test
  void aStartThatNoListReportsIsRestored() {
    Driver old = new Driver(Driver.safe()).upstreams(4);
    int warmedUp = sendsTo(101, old, 8000);
    old.step(new UpstreamSetOffline(101, 0));
    sendsTo(100, old, 1000);
    old.step(new UpstreamSetOnline(101));
    sendsTo(100, old, 200);
    Driver d = successor(old, Driver.up(100), Driver.up(101), Driver.up(102), Driver.up(103));
    int starting = sendsTo(101, d, 1500);
    assertTrue(starting > 0, "it gets no requests");
    assertTrue(starting < 0.6 * warmedUp * 1.5 / 8, starting + " sends in 1.5 s, of " + warmedUp + " in 8 s while warmed up");
  }

  /** Two processes together send an upstream in slow start no more than one alone would. */
  @Test
  void twoProcessesShareTheSlowStartBudget() {
    Driver old = new Driver(Driver.safe()).upstreams(4);
    sendsTo(101, old, 8000);
    old.list(ListKind.DELTA, new Endpoint(101, "a", 0, State.READY, old.now, 1));
    Driver d = successor(old, Driver.up(100), new Endpoint(101, "a", 0, State.READY, 4_999_999_000_000L, 1), Driver.up(102),
        Driver.up(103));
    old.step(new ProcessCountChanged(2));
    d.step(new ProcessCountChanged(2));
    Driver alone = new Driver(Driver.safe()).upstreams(4);
    sendsTo(101, alone, 8000);
    alone.list(ListKind.DELTA, new Endpoint(101, "a", 0, State.READY, alone.now, 1));
    int one = sendsTo(101, alone, 1500);
    int both = 0;
    for (int i = 0; i < 150; i++) { // Requests go to both processes in turn.
      both += sendsTo(101, old, 5) + sendsTo(101, d, 5);
      old.serveFor(5 * MS, Status.SERVED, 20 * MS);
      d.serveFor(5 * MS, Status.SERVED, 20 * MS);
    }
    assertTrue(both <= 1.25 * one + 1, both + " from both, " + one + " from one alone");
  }

  /** A failing upstream that the predecessor has ejected stays ejected. */
  @Test
  void anEjectionIsRestored() {
    Driver old = new Driver(Driver.safe()).upstreams(4);
    for (int ms = 0; ms < 2000; ms += 5) {
      old.request(old.nextId(), "c", "k" + ms);
      old.pass(5 * MS);
      for (Driver.Sent s : List.copyOf(old.outstanding)) {
        if (old.outstanding.contains(s) && old.now - s.at() >= 20 * MS) {
          old.end(s, s.upstream() == 101 ? Status.ERROR : Status.SERVED, 20 * MS);
        }
      }
    }
    BalancerSnapshot.UpstreamSnapshot bad = snapshot(old).upstreams().stream().filter(u -> u.upstream() == 101).findFirst().get();
    assertTrue(bad.ejectionNanosLeft() > 0, "it was not ejected, so the test proves nothing");
    Driver d = successor(old, Driver.up(100), Driver.up(101), Driver.up(102), Driver.up(103));
    long left = bad.ejectionNanosLeft() / MS;
    assertEquals(0, sendsTo(101, d, left - 10));
  }

  /** A snapshot without upstreams, or with upstreams that the successor does not know, does no harm. */
  @Test
  void anEmptySnapshotAndUnknownUpstreamsAreHarmless() {
    Driver old = new Driver(Driver.safe()).upstreams(8);
    sendsTo(101, old, 1000);
    Driver d = successor(old, Driver.up(500));
    assertTrue(sendsTo(500, d, 500) > 50);
    Driver fresh = successor(new Driver(Driver.safe()), Driver.up(500));
    assertTrue(sendsTo(500, fresh, 500) > 50);
  }
}
