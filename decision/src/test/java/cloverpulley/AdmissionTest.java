package cloverpulley;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cloverpulley.Balancer.DedupScope;
import cloverpulley.Balancer.Effect;
import cloverpulley.Balancer.Status;
import cloverpulley.Balancer.Tenant;
import cloverpulley.Window.Metric;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The straight line, its window and what it is fed with. */
class AdmissionTest {

  private static double published(double meanMs) {
    return Logic.allowedRate(meanMs, 300, 18_000, 240, 4);
  }

  @Test
  void lineMatchesThePublishedFigures() {
    assertEquals(240, published(0));
    assertEquals(240, published(300));
    assertEquals(177.3, published(5000), 0.1);
    assertEquals(122, published(9150), 0.001);
    assertEquals(4, published(18_000));
    assertEquals(4, published(99_000));
  }

  @Test
  void windowCountsAndForgets() {
    Window w = new Window(1200, 0);
    assertEquals(0, w.mean(0), "an empty window is healthy");
    w.add(0, Metric.ADMITTED, 1);
    w.add(150, Metric.SAMPLES, 1);
    w.add(150, Metric.LATENCY_SUM, 6);
    w.add(650, Metric.SAMPLES, 1);
    w.add(650, Metric.LATENCY_SUM, 2);
    assertEquals(1, w.total(1199, Metric.ADMITTED));
    assertEquals(0, w.total(1200, Metric.ADMITTED));
    assertEquals(4, w.mean(1250), 1e-9);
    assertEquals(2, w.mean(1300), 1e-9);
    assertEquals(0, w.mean(90_000), 1e-9);
  }

  /** Serves at a rate with a fixed number out, each answer after the latency; the share refused. */
  private static double refusedShare(Driver d, int requests, int out, long latency, Status status) {
    return refusedShare(d, null, requests, out, latency, status);
  }

  private static double refusedShare(Driver d, String tenant, int requests, int out, long latency, Status status) {
    d.refusals.clear();
    for (int i = 0; i < requests; i++) {
      d.request(d.nextId(), "c", tenant, "k" + i % 50, 0);
      d.serveFor(latency / out, status, latency);
    }
    return d.refusals.getOrDefault("r", 0) / (double) requests;
  }

  @Test
  void healthyFleetRefusesNothing() {
    assertEquals(0, refusedShare(new Driver(Driver.safe()).upstreams(5), 500, 5, 40 * Driver.MS, Status.SERVED));
  }

  @Test
  void overloadIsRefusedWithRetryAfter() {
    Driver d = new Driver(Driver.safe()).upstreams(5);
    refusedShare(d, 300, 2, 40 * Driver.MS, Status.SERVED);
    assertTrue(refusedShare(d, 600, 30, 700 * Driver.MS, Status.SERVED) > 0.2);
  }

  /** Guards work inside a quota: with few out, a slow dependency is not an overload of its making. */
  @Test
  void noRefusalInsideAQuotaWhileNoMoreIsOutThanUsual() {
    Driver d = new Driver(Driver.settings(false, List.of(new Tenant("t", 1, 1000)),
        Driver.type("c", Effect.SAFE, DedupScope.ALL))).upstreams(5);
    refusedShare(d, "t", 2000, 10, 40 * Driver.MS, Status.SERVED);
    assertEquals(0, refusedShare(d, "t", 300, 4, 390 * Driver.MS, Status.SERVED), 0.02);
  }

  /** Guards against an overload from the first second, in which nothing healthy was ever seen to be usual. */
  @Test
  void withoutAHealthyTimeNothingIsUsualAndTheLineRefuses() {
    Driver d = new Driver(Driver.settings(false, List.of(new Tenant("t", 1, 1000)),
        Driver.type("c", Effect.SAFE, DedupScope.ALL))).upstreams(40);
    assertTrue(refusedShare(d, "t", 300, 10, 390 * Driver.MS, Status.SERVED) > 0.2);
  }

  /** Guards against a collapsed fleet that nobody relieves: without quotas the line refuses, however few are out. */
  @Test
  void withoutQuotasTheLineRefusesThoughFewAreOut() {
    Driver d = new Driver(Driver.safe()).upstreams(5);
    refusedShare(d, 2000, 10, 40 * Driver.MS, Status.SERVED);
    assertTrue(refusedShare(d, 300, 4, 390 * Driver.MS, Status.SERVED) > 0.2);
  }

  @Test
  void excessOverAQuotaIsRefusedFirst() {
    Driver d = new Driver(Driver.settings(false, List.of(new Tenant("big", 0.5, 10), new Tenant("small", 0.5, 1000)),
        Driver.type("c", Effect.SAFE, DedupScope.ALL))).upstreams(5);
    for (int i = 0; i < 2000; i++) {
      for (String tenant : List.of("big", "small")) {
        d.request(tenant + d.nextId(), "c", tenant, "k" + i % 50, 0);
      }
      d.serveFor(20 * Driver.MS, Status.SERVED, 140 * Driver.MS);
    }
    assertTrue(d.refusals.getOrDefault("b", 0) > 300, "excess refused: " + d.refusals);
    assertEquals(0, d.refusals.getOrDefault("s", 0), "inside its quota nothing is refused");
  }

  /** Guards against a small part of a quota, in which a few requests by chance would be called excess. */
  @Test
  void chanceArrivalsInsideAQuotaAreNotExcess() {
    Driver d = new Driver(Driver.settings(false, List.of(new Tenant("t", 1, 0.5)),
        Driver.type("c", Effect.SAFE, DedupScope.ALL))).upstreams(1);
    for (int i = 0; i < 200; i++) {
      // Slow enough for the line of excess, healthy for that of in-share work.
      d.request(d.nextId(), "c", "k" + i % 50);
      d.serveFor(190 * Driver.MS, Status.SERVED, 180 * Driver.MS);
    }
    for (int i = 0; i < 8; i++) {
      d.request("t" + d.nextId(), "c", "t", "k" + i, 0);
      d.serveFor(190 * Driver.MS, Status.SERVED, 180 * Driver.MS);
    }
    assertEquals(0, d.refusals.getOrDefault("t", 0));
  }

  /** Guards in-share work where one balancer gets far more than its even part of the traffic, of all tenants. */
  @Test
  void aBalancerThatCarriesMoreThanItsPartHasMoreOfTheQuotas() {
    int all = refusedOf("a", "a", "b", "c");
    int alone = refusedOf("a", "a");
    assertTrue(all < alone / 2, "refused " + all + " where all ask ten times their parts, " + alone + " where one does");
  }

  /** Refusals of tenant a, each tenant's part being one a second, where each of some asks for ten. */
  private static int refusedOf(String tenant, String... asking) {
    Driver d = new Driver(Driver.settings(false, List.of(new Tenant("a", 1, 1), new Tenant("b", 1, 1),
        new Tenant("c", 1, 1)), Driver.type("c", Effect.SAFE, DedupScope.ALL))).upstreams(5);
    for (int i = 0; i < 300; i++) {
      for (String t : asking) {
        d.request(t + d.nextId(), "c", t, "k" + i % 50, 0);
      }
      d.serveFor(100 * Driver.MS, Status.SERVED, 140 * Driver.MS);
    }
    return d.refusals.getOrDefault(tenant, 0);
  }

  /** Guards against quick failures that pull a mean down and keep a rate at full. */
  @Test
  void quickFailuresCountAsTheClassLimit() {
    Driver d = new Driver(Driver.safe()).upstreams(5);
    double refused = refusedShare(d, 800, 10, 2 * Driver.MS, Status.ERROR);
    assertTrue(refused > 0.3, "refused " + refused);
  }

  /** Guards the memory of long days: keys are ever new, and what is kept of one goes once it tells nothing any more. */
  @Test
  void keysThatAreIdleForAWindowAreForgotten() {
    Driver d = new Driver(Driver.safe()).upstreams(3);
    for (int i = 0; i < 2000; i++) {
      d.request(d.nextId(), "c", "k" + i);
      d.serveFor(10 * Driver.MS, Status.SERVED, 10 * Driver.MS);
    }
    int kept = ((Logic) d.module).windowCount();
    assertTrue(kept < 300, "a window of 1 s holds some 100 of 2,000 keys, and the keys kept are " + kept);
  }

  /** Guards the loads of all others from one hint that is out of all proportion. */
  @Test
  void oneHugeHintDoesNotMakeTheOthersLight() {
    int usual = sentAtOnceAfter(20 * Driver.MS);
    assertEquals(usual, sentAtOnceAfter(1_000_000_000_000_000L), usual / 2);
  }

  private static int sentAtOnceAfter(long odd) {
    Driver d = new Driver(Driver.safe()).upstreams(1);
    for (int i = 0; i < 500; i++) {
      d.request(d.nextId(), "c", null, "k" + i % 10, i == 495 ? odd : 20 * Driver.MS);
      d.serveFor(20 * Driver.MS, Status.SERVED, 20 * Driver.MS);
    }
    int sent = 0;
    for (int i = 0; i < 30; i++) {
      sent += Driver.sentTo(d.request(d.nextId(), "c", null, "k" + i, 20 * Driver.MS)) >= 0 ? 1 : 0;
    }
    return sent;
  }

  /** Guards work that others can do: one attempt in eight that is reset at once is no overload. */
  @Test
  void resetsAreNotChargedTheWholeDeadline() {
    Driver d = new Driver(Driver.safe()).upstreams(6);
    for (int i = 0; i < 1000; i++) {
      d.request(d.nextId(), "c", "k" + i % 20);
      if (i % 8 == 0 && !d.outstanding.isEmpty()) {
        d.end(d.outstanding.get(d.outstanding.size() - 1), Status.RESET, Driver.MS);
      }
      d.serveFor(10 * Driver.MS, Status.SERVED, 10 * Driver.MS);
    }
    int refused = d.refusals.values().stream().mapToInt(n -> n).sum();
    assertTrue(refused < 50, "refused: " + refused);
  }
}
