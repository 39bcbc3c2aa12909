package cloverpulley;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cloverpulley.Balancer.Action;
import cloverpulley.Balancer.DedupScope;
import cloverpulley.Balancer.Effect;
import cloverpulley.Balancer.Endpoint;
import cloverpulley.Balancer.ListKind;
import cloverpulley.Balancer.Reject;
import cloverpulley.Balancer.Send;
import cloverpulley.Balancer.State;
import cloverpulley.Balancer.Status;
import cloverpulley.Balancer.UpstreamSetOffline;
import cloverpulley.Balancer.UpstreamSetOnline;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** An upstream that an operator sets offline and brings back online, on a virtual clock. */
class OfflineTest {

  private static final long MS = Driver.MS;
  private static final long X = 101;

  private static Endpoint up(long id, long started, State state) {
    return new Endpoint(id, "a", 0, state, started, 1);
  }

  /** Sends requests with random keys for a while, each served after 20 ms; returns the times of attempts at the upstream. */
  private static List<Long> sendsTo(long upstream, Driver d, long millis) {
    List<Long> sends = new ArrayList<>();
    SplittableRandom random = new SplittableRandom(5);
    for (long t = 0; t < millis; t += 5) {
      String id = d.nextId();
      for (Action a : d.request(id, "c", "k" + random.nextInt(1000))) {
        if (a instanceof Send s && s.upstream() == upstream) {
          sends.add(d.now);
        }
      }
      d.serveFor(5 * MS, Status.SERVED, 20 * MS);
    }
    return sends;
  }

  @Test
  void itGetsNoRequestsWhateverTheListSays() {
    Driver d = new Driver(Driver.safe()).upstreams(4);
    assertTrue(!sendsTo(X, d, 500).isEmpty());
    d.step(new UpstreamSetOffline(X, 0));
    assertEquals(List.of(), sendsTo(X, d, 500));
    d.list(ListKind.DELTA, up(X, 0, State.READY));
    assertEquals(List.of(), sendsTo(X, d, 500));
    d.list(ListKind.DELTA, up(X, 0, State.GONE));
    d.list(ListKind.DELTA, up(X, d.now, State.READY));
    assertEquals(List.of(), sendsTo(X, d, 500));
    d.list(ListKind.FULL, up(100, 0, State.READY), up(X, d.now, State.READY), up(102, 0, State.READY));
    assertEquals(List.of(), sendsTo(X, d, 500));
    d.step(new UpstreamSetOffline(X, 0));
    d.step(new UpstreamSetOnline(X));
    assertTrue(!sendsTo(X, d, 2000).isEmpty(), "setting it online once ends setting it offline twice");
  }

  /** The last ready upstream may be set offline, too: its requests are rejected, not sent. */
  @Test
  void withoutReadyUpstreamsRequestsAreRejected() {
    Driver d = new Driver(Driver.safe()).upstreams(1);
    d.step(new UpstreamSetOffline(100, 0));
    List<Action> actions = new ArrayList<>(d.request("r", "c", "k"));
    actions.addAll(d.pass(2000 * MS));
    assertTrue(Driver.has(actions, Reject.class) && !Driver.has(actions, Send.class), actions::toString);
  }

  /** An upstream is set offline before it was ever listed, as may happen in a successor, and online while it is not listed. */
  @Test
  void itNeedNotBeListed() {
    Driver d = new Driver(Driver.safe());
    d.step(new UpstreamSetOffline(X, 0));
    d.upstreams(4);
    assertEquals(List.of(), sendsTo(X, d, 500));
    d.list(ListKind.DELTA, up(X, 0, State.GONE));
    d.step(new UpstreamSetOnline(X));
    d.list(ListKind.DELTA, up(X, 0, State.READY));
    assertTrue(!sendsTo(X, d, 500).isEmpty());
  }

  /** It gets no retries or hedged requests either; attempts that are in flight there continue. */
  @Test
  void aRetryGoesElsewhere() {
    Driver d = new Driver(Driver.safe()).upstreams(2);
    List<Action> sent = d.request("r", "c", "k");
    long first = Driver.sentTo(sent);
    long other = first == 100 ? 101 : 100;
    d.step(new UpstreamSetOffline(other, 0));
    List<Action> after = new ArrayList<>(d.end("r", first, Status.ERROR, 5 * MS));
    after.addAll(d.pass(2000 * MS));
    assertTrue(after.stream().noneMatch(a -> a instanceof Send s && s.upstream() == other), after::toString);
  }

  /** Whether the list reports the restart before it is set online, after it or never: traffic returns within 5 s, in slow start. */
  @ParameterizedTest
  @ValueSource(strings = {"before", "after", "never"})
  void itComesBackInSlowStart(String reported) {
    Driver d = new Driver(Driver.safe()).upstreams(4);
    int warmedUp = sendsTo(X, d, 8000).size();
    d.step(new UpstreamSetOffline(X, 0));
    for (int i = 0; i < 3; i++) {
      sendsTo(X, d, 500);
    }
    long restarted = d.now;
    if (reported.equals("before")) {
      d.list(ListKind.DELTA, up(X, restarted, State.READY));
    }
    sendsTo(X, d, 1000);
    d.step(new UpstreamSetOnline(X));
    List<Long> sends = sendsTo(X, d, 1500);
    if (reported.equals("after")) {
      d.list(ListKind.DELTA, up(X, restarted, State.READY));
    }
    sends.addAll(sendsTo(X, d, 500));
    assertTrue(!sends.isEmpty(), "no attempt within 2 s");
    assertTrue(sends.size() < 0.75 * warmedUp / 4, sends.size() + " sends in 2 s, of " + warmedUp + " in 8 s while warmed up");
    int later = sendsTo(X, d, 10_000).size();
    assertTrue(later > 0.6 * warmedUp * 10 / 8, later + " sends in the last 10 s, of " + warmedUp + " in 8 s while warmed up");
  }

  /** Failures and slowness from before it was set offline do not count. */
  @Test
  void earlierFailuresDoNotKeepItEjected() {
    Driver d = new Driver(Driver.settings(false, List.of(), Driver.type("c", Effect.SAFE, DedupScope.ALL))).upstreams(4);
    for (int ms = 0; ms < 4000; ms += 5) {
      d.request(d.nextId(), "c", "k" + ms);
      d.pass(5 * MS);
      for (Driver.Sent s : List.copyOf(d.outstanding)) {
        if (d.outstanding.contains(s) && d.now - s.at() >= 20 * MS) {
          d.end(s, s.upstream() == X ? Status.ERROR : Status.SERVED, 20 * MS);
        }
      }
    }
    d.step(new UpstreamSetOffline(X, 0));
    sendsTo(X, d, 500);
    d.step(new UpstreamSetOnline(X));
    assertTrue(!sendsTo(X, d, 2000).isEmpty(), "it is still ejected");
  }
}
