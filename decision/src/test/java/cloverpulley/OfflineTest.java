package cloverpulley;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cloverpulley.Balancer.Action;
import cloverpulley.Balancer.UpstreamSetOnline;
import cloverpulley.Balancer.DedupScope;
import cloverpulley.Balancer.Effect;
import cloverpulley.Balancer.Endpoint;
import cloverpulley.Balancer.ListKind;
import cloverpulley.Balancer.Reject;
import cloverpulley.Balancer.Send;
import cloverpulley.Balancer.State;
import cloverpulley.Balancer.Status;
import cloverpulley.Balancer.UpstreamSetOffline;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** An upstream that an operator takes out and calls back, on a virtual clock. */
class OfflineTest {

  private static final long MS = Driver.MS;
  private static final long X = 101;

  private static Endpoint up(long id, long started, State state) {
    return new Endpoint(id, "a", 0, state, started, 1);
  }

  /** Requests of ever new keys for a while, each served after 20 ms; the times at which one went to the upstream. */
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
  void nothingGoesToItWhateverTheListSays() {
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
    assertTrue(!sendsTo(X, d, 2000).isEmpty(), "one call back ends two calls out");
  }

  /** The last one that is ready may be taken out too: its requests are refused, not sent. */
  @Test
  void withoutAnyLeftRequestsAreRefused() {
    Driver d = new Driver(Driver.safe()).upstreams(1);
    d.step(new UpstreamSetOffline(100, 0));
    List<Action> actions = new ArrayList<>(d.request("r", "c", "k"));
    actions.addAll(d.pass(2000 * MS));
    assertTrue(Driver.has(actions, Reject.class) && !Driver.has(actions, Send.class), actions::toString);
  }

  /** Taken out before it was ever listed, as a successor may learn of it, and called back while it is not listed. */
  @Test
  void itNeedsNoList() {
    Driver d = new Driver(Driver.safe());
    d.step(new UpstreamSetOffline(X, 0));
    d.upstreams(4);
    assertEquals(List.of(), sendsTo(X, d, 500));
    d.list(ListKind.DELTA, up(X, 0, State.GONE));
    d.step(new UpstreamSetOnline(X));
    d.list(ListKind.DELTA, up(X, 0, State.READY));
    assertTrue(!sendsTo(X, d, 500).isEmpty());
  }

  /** Retries don't go to it either, nor do second copies: what was in flight there goes on. */
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

  /** Whether the list tells of the restart before the call back, after it or never: work returns within 5 s, gently. */
  @ParameterizedTest
  @ValueSource(strings = {"before", "after", "never"})
  void itComesBackCold(String told) {
    Driver d = new Driver(Driver.safe()).upstreams(4);
    int warm = sendsTo(X, d, 8000).size();
    d.step(new UpstreamSetOffline(X, 0));
    for (int i = 0; i < 3; i++) {
      sendsTo(X, d, 500);
    }
    long restarted = d.now;
    if (told.equals("before")) {
      d.list(ListKind.DELTA, up(X, restarted, State.READY));
    }
    sendsTo(X, d, 1000);
    d.step(new UpstreamSetOnline(X));
    List<Long> sends = sendsTo(X, d, 1500);
    if (told.equals("after")) {
      d.list(ListKind.DELTA, up(X, restarted, State.READY));
    }
    sends.addAll(sendsTo(X, d, 500));
    assertTrue(!sends.isEmpty(), "nothing went to it within 2 s");
    assertTrue(sends.size() < 0.75 * warm / 4, sends.size() + " sends in 2 s, of " + warm + " in 8 s while warm");
    int later = sendsTo(X, d, 10_000).size();
    assertTrue(later > 0.6 * warm * 10 / 8, later + " sends in 10 s at last, of " + warm + " in 8 s while warm");
  }

  /** What it did before it was taken out, failures and slowness, is not held against it. */
  @Test
  void itIsNotLeftOutForWhatItDidBefore() {
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
    assertTrue(!sendsTo(X, d, 2000).isEmpty(), "an ejection kept it away");
  }
}
