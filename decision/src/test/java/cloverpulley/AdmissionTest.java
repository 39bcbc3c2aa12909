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

/** The admission rate curve, its window and the samples that it is based on. */
class AdmissionTest {

  private static double publishedRate(double meanMs) {
    return RateCurve.allowedRate(meanMs, 300, 18_000, 240, 4);
  }

  @Test
  void rateCurveMatchesThePublishedFigures() {
    assertEquals(240, publishedRate(0));
    assertEquals(240, publishedRate(300));
    assertEquals(177.3, publishedRate(5000), 0.1);
    assertEquals(122, publishedRate(9150), 0.001);
    assertEquals(4, publishedRate(18_000));
    assertEquals(4, publishedRate(99_000));
  }

  @Test
  void windowCountsAndExpires() {
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

  /** Sends requests at a rate that keeps a fixed number in flight, each served after the latency; returns the part rejected. */
  private static double rejectedRatio(Driver d, int requests, int inFlight, long latency, Status status) {
    return rejectedRatio(d, null, requests, inFlight, latency, status);
  }

  private static double rejectedRatio(Driver d, String tenant, int requests, int inFlight, long latency, Status status) {
    d.rejections.clear();
    for (int i = 0; i < requests; i++) {
      d.request(d.nextId(), "c", tenant, "k" + i % 50, 0);
      d.serveFor(latency / inFlight, status, latency);
    }
    return d.rejections.getOrDefault("r", 0) / (double) requests;
  }

  @Test
  void healthyFleetRejectsNothing() {
    assertEquals(0, rejectedRatio(new Driver(Driver.safe()).upstreams(5), 500, 5, 40 * Driver.MS, Status.SERVED));
  }

  @Test
  void overloadIsRejected() {
    Driver d = new Driver(Driver.safe()).upstreams(5);
    rejectedRatio(d, 300, 2, 40 * Driver.MS, Status.SERVED);
    assertTrue(rejectedRatio(d, 600, 30, 700 * Driver.MS, Status.SERVED) > 0.2);
  }

  /** A slow dependency must not cause rejections within a quota while no more requests are in flight than usual. */
  @Test
  void noRejectionWithinAQuotaBelowTheBaselineLoad() {
    Driver d = new Driver(Driver.settings(false, List.of(new Tenant("t", 1, 1000)),
        Driver.type("c", Effect.SAFE, DedupScope.ALL))).upstreams(5);
    rejectedRatio(d, "t", 2000, 10, 40 * Driver.MS, Status.SERVED);
    assertEquals(0, rejectedRatio(d, "t", 300, 4, 390 * Driver.MS, Status.SERVED), 0.02);
  }

  /** A fleet that is overloaded from the first second has no healthy baseline load: the rate curve must still reject. */
  @Test
  void withoutAHealthyBaselineTheRateCurveRejects() {
    Driver d = new Driver(Driver.settings(false, List.of(new Tenant("t", 1, 1000)),
        Driver.type("c", Effect.SAFE, DedupScope.ALL))).upstreams(40);
    assertTrue(rejectedRatio(d, "t", 300, 10, 390 * Driver.MS, Status.SERVED) > 0.2);
  }

  /** Without quotas the rate curve must relieve a collapsed fleet, however few requests are in flight. */
  @Test
  void withoutQuotasTheRateCurveRejectsEvenAtLowLoad() {
    Driver d = new Driver(Driver.safe()).upstreams(5);
    rejectedRatio(d, 2000, 10, 40 * Driver.MS, Status.SERVED);
    assertTrue(rejectedRatio(d, 300, 4, 390 * Driver.MS, Status.SERVED) > 0.2);
  }

  @Test
  void requestsOverAQuotaAreRejectedFirst() {
    Driver d = new Driver(Driver.settings(false, List.of(new Tenant("big", 0.5, 10), new Tenant("small", 0.5, 1000)),
        Driver.type("c", Effect.SAFE, DedupScope.ALL))).upstreams(5);
    for (int i = 0; i < 2000; i++) {
      for (String tenant : List.of("big", "small")) {
        d.request(tenant + d.nextId(), "c", tenant, "k" + i % 50, 0);
      }
      d.serveFor(20 * Driver.MS, Status.SERVED, 140 * Driver.MS);
    }
    assertTrue(d.rejections.getOrDefault("b", 0) > 300, "rejected over quota: " + d.rejections);
    assertEquals(0, d.rejections.getOrDefault("s", 0), "nothing is rejected within a quota");
  }

  /** With a small part of a quota, a few random arrivals must not count as over the quota. */
  @Test
  void randomArrivalsWithinAQuotaAreNotRejected() {
    Driver d = new Driver(Driver.settings(false, List.of(new Tenant("t", 1, 0.5)),
        Driver.type("c", Effect.SAFE, DedupScope.ALL))).upstreams(1);
    for (int i = 0; i < 200; i++) {
      // Slow enough to reject requests over a quota, but healthy for those within.
      d.request(d.nextId(), "c", "k" + i % 50);
      d.serveFor(190 * Driver.MS, Status.SERVED, 180 * Driver.MS);
    }
    for (int i = 0; i < 8; i++) {
      d.request("t" + d.nextId(), "c", "t", "k" + i, 0);
      d.serveFor(190 * Driver.MS, Status.SERVED, 180 * Driver.MS);
    }
    assertEquals(0, d.rejections.getOrDefault("t", 0));
  }

  /** Where one balancer gets far more than its equal part of all tenants' traffic, requests within a quota must not be rejected. */
  @Test
  void aBalancerWithMoreTrafficGetsMoreOfTheQuotas() {
    int all = rejectedOf("a", "a", "b", "c");
    int alone = rejectedOf("a", "a");
    assertTrue(all < alone / 2, "rejected " + all + " where all tenants exceed their part tenfold, " + alone + " where one does");
  }

  /** Returns the rejections of a tenant; each tenant has a quota of one request per second, and those that send use ten times as much. */
  private static int rejectedOf(String tenant, String... senders) {
    Driver d = new Driver(Driver.settings(false, List.of(new Tenant("a", 1, 1), new Tenant("b", 1, 1),
        new Tenant("c", 1, 1)), Driver.type("c", Effect.SAFE, DedupScope.ALL))).upstreams(5);
    for (int i = 0; i < 300; i++) {
      for (String t : senders) {
        d.request(t + d.nextId(), "c", t, "k" + i % 50, 0);
      }
      d.serveFor(100 * Driver.MS, Status.SERVED, 140 * Driver.MS);
    }
    return d.rejections.getOrDefault(tenant, 0);
  }

  /** Fast failures must not lower the mean latency and keep the admission rate at its maximum. */
  @Test
  void fastFailuresReduceTheRate() {
    Driver d = new Driver(Driver.safe()).upstreams(5);
    double rejected = rejectedRatio(d, 800, 10, 2 * Driver.MS, Status.ERROR);
    assertTrue(rejected > 0.3, "rejected " + rejected);
  }

  /** Bounds the memory where keys are always new: the window of a key is evicted once it has expired. */
  @Test
  void windowsOfIdleKeysAreEvicted() {
    Driver d = new Driver(Driver.safe()).upstreams(3);
    for (int i = 0; i < 2000; i++) {
      d.request(d.nextId(), "c", "k" + i);
      d.serveFor(10 * Driver.MS, Status.SERVED, 10 * Driver.MS);
    }
    int kept = ((Logic) d.module).windowCount();
    assertTrue(kept < 300, "a window of 1 s holds some 100 of 2,000 keys, but the windows kept are " + kept);
  }

  /** One huge hint must not make all other requests look light. */
  @Test
  void oneHugeHintDoesNotMakeOtherRequestsLight() {
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

  /** One attempt in eight that is reset at once is no overload: other upstreams can serve the requests. */
  @Test
  void resetsDoNotCountAsTheWholeDeadline() {
    Driver d = new Driver(Driver.safe()).upstreams(6);
    for (int i = 0; i < 1000; i++) {
      d.request(d.nextId(), "c", "k" + i % 20);
      if (i % 8 == 0 && !d.outstanding.isEmpty()) {
        d.end(d.outstanding.get(d.outstanding.size() - 1), Status.RESET, Driver.MS);
      }
      d.serveFor(10 * Driver.MS, Status.SERVED, 10 * Driver.MS);
    }
    int rejected = d.rejections.values().stream().mapToInt(n -> n).sum();
    assertTrue(rejected < 50, "rejected: " + rejected);
  }
}
