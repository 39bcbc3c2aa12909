package cloverpulley;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cloverpulley.Balancer.Action;
import cloverpulley.Balancer.DedupScope;
import cloverpulley.Balancer.Effect;
import cloverpulley.Balancer.Fail;
import cloverpulley.Balancer.Limits;
import cloverpulley.Balancer.RequestClass;
import cloverpulley.Balancer.Send;
import cloverpulley.Balancer.Settings;
import cloverpulley.Balancer.SettingsChanged;
import cloverpulley.Balancer.Status;
import cloverpulley.Balancer.UpstreamSetOffline;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Settings that change between two requests, on a virtual clock. */
class SettingsChangedTest {

  private static final long MS = Driver.MS;

  private static Settings settings(int attempts, RequestClass... classes) {
    Settings s = Driver.settings(false, List.of(), classes);
    Limits l = s.limits();
    return new Settings(s.selfId(), s.groupSize(), s.zone(), s.classes(), s.tenants(), new Limits(l.cancel(), l.probes(), l.peers(),
        l.hedging(), l.retryAfter(), l.maxRetryAfterNanos(), attempts, l.maxPending(), l.streamsPerConnection(),
        l.connectTimeoutNanos()), s.contract(), s.penalties(), s.listOnRequest(), s.weightKind(), s.overShareWorth(), s.warmKeys(),
        s.tickNanos());
  }

  private static RequestClass type(String name, Effect effect) {
    return Driver.type(name, effect, DedupScope.ALL);
  }

  private static int sends(List<Action> actions) {
    return (int) actions.stream().filter(Send.class::isInstance).count();
  }

  /** Ends an attempt with an error after which it may have run; returns whether the request is retried. */
  private static boolean isRetried(Driver d, String id, long at) {
    return sends(d.end(id, at, Status.ERROR, 5 * MS)) > 0;
  }

  @Test
  void pendingRequestsKeepTheirEffectAndNewOnesGetTheNewOne() {
    Driver d = new Driver(settings(4, type("c", Effect.SAFE), type("d", Effect.UNSAFE))).upstreams(4);
    long safe = Driver.sentTo(d.request("r1", "c", "k1"));
    long unsafe = Driver.sentTo(d.request("r2", "d", "k2"));
    d.step(new SettingsChanged(settings(4, type("c", Effect.UNSAFE), type("d", Effect.SAFE))));
    long later = Driver.sentTo(d.request("r3", "c", "k3"));
    assertTrue(isRetried(d, "r1", safe), "accepted as safe");
    assertFalse(isRetried(d, "r2", unsafe), "accepted as unsafe: a retry could run it twice");
    assertFalse(isRetried(d, "r3", later), "unsafe from here on");
  }

  @Test
  void pendingRequestsOfARemovedClassContinueAndANewClassIsServed() {
    Driver d = new Driver(settings(4, type("c", Effect.SAFE))).upstreams(4);
    long at = Driver.sentTo(d.request("r1", "c", "k1"));
    d.step(new SettingsChanged(settings(4, type("new", Effect.SAFE))));
    assertTrue(isRetried(d, "r1", at));
    assertTrue(Driver.sentTo(d.request("r2", "new", "k1")) > 0);
    assertThrows(IllegalArgumentException.class, () -> d.request("r3", "c", "k1"));
  }

  @Test
  void theAttemptLimitIsThatAtAcceptance() {
    Driver d = new Driver(settings(3, type("c", Effect.SAFE))).upstreams(8);
    List<Action> first = new ArrayList<>(d.request("r1", "c", "k1"));
    d.step(new SettingsChanged(settings(1, type("c", Effect.SAFE))));
    List<Action> second = new ArrayList<>(d.request("r2", "c", "k2"));
    for (int i = 0; i < 8; i++) {
      for (Driver.Sent s : List.copyOf(d.outstanding)) {
        (s.id().equals("r1") ? first : second).addAll(d.end(s, Status.ERROR, MS));
      }
    }
    assertEquals(3, sends(first));
    assertEquals(1, sends(second));
  }

  /** Statistics, offline upstreams and requests in flight must survive; a new instance would lose them. */
  @Test
  void stateIsKept() {
    Driver d = new Driver(settings(4, type("c", Effect.SAFE))).upstreams(4);
    d.step(new UpstreamSetOffline(101, 0));
    for (int i = 0; i < 400; i++) {
      d.request(d.nextId(), "c", "k" + i);
      d.pass(5 * MS);
    }
    d.step(new SettingsChanged(settings(4, type("c", Effect.SAFE), type("d", Effect.SAFE))));
    for (int i = 0; i < 200; i++) {
      assertTrue(d.request(d.nextId(), "d", "k" + i).stream().noneMatch(a -> a instanceof Send s && s.upstream() == 101));
    }
    assertTrue(!d.outstanding.isEmpty(), "no request was pending, so the test proves nothing");
    List<Action> ends = new ArrayList<>();
    for (Driver.Sent s : List.copyOf(d.outstanding)) {
      ends.addAll(d.end(s, Status.SERVED, 5 * MS));
    }
    assertTrue(ends.stream().noneMatch(Fail.class::isInstance), "each pending request still gets its one answer");
  }

  @Test
  void duplicateClassNamesAreRejected() {
    assertThrows(IllegalArgumentException.class, () -> settings(4, type("c", Effect.SAFE), type("c", Effect.UNSAFE)));
  }
}
