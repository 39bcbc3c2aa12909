package cloverpulley.names;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cloverpulley.Balancer.Effect;
import cloverpulley.Balancer.Status;
import cloverpulley.names.TtlPolicy.Config;
import cloverpulley.names.TtlPolicy.Freshness;
import java.util.Set;
import org.junit.jupiter.api.Test;

class TtlPolicyTest {

  private static final long SECOND = 1_000_000_000L;
  private final TtlPolicy policy = new TtlPolicy(new Config(3600, 60, 100, 0.1, 2));

  @Test
  void ttlsAreCapped() {
    assertEquals(3600, policy.cacheTtl(1_000_000, false));
    assertEquals(60, policy.cacheTtl(1_000_000, true));
    assertEquals(0, policy.cacheTtl(-1, false));
  }

  @Test
  void answersAreFreshThenStaleThenExpired() {
    assertEquals(Freshness.FRESH, policy.classify(5 * SECOND, 0, 10, 0));
    assertEquals(Freshness.FRESH, policy.classify(10 * SECOND - 1, 0, 10, 1), "only one hit");
    assertEquals(Freshness.PREFETCH, policy.classify(9 * SECOND, 0, 10, 2));
    assertEquals(Freshness.STALE, policy.classify(10 * SECOND, 0, 10, 2));
    assertEquals(Freshness.STALE, policy.classify(110 * SECOND - 1, 0, 10, 2));
    assertEquals(Freshness.EXPIRED, policy.classify(110 * SECOND, 0, 10, 2));
  }

  @Test
  void missingCapabilitiesExpire() {
    ServerCapabilities traits = new ServerCapabilities(10);
    assertTrue(traits.mayUseEdns(0, 1) && traits.mayMixCase(0, 1));
    traits.markNoEdns(0, 1);
    traits.markCaseNotPreserved(5, 1);
    assertFalse(traits.mayUseEdns(9, 1));
    assertTrue(traits.mayUseEdns(10, 1));
    assertFalse(traits.mayMixCase(14, 1));
    assertTrue(traits.mayMixCase(0, 2));
    traits.retainAll(Set.of(2L));
    assertTrue(traits.mayMixCase(14, 1));
  }

  @Test
  void onlyRefusedProvesThatNothingRanAndOnlyIfConfigured() {
    for (int rcode = 0; rcode < 24; rcode++) {
      for (Effect effect : Effect.values()) {
        assertFalse(RcodeMapping.toStatus(effect, rcode, false).provesNotRun());
        assertEquals(rcode == 5, RcodeMapping.toStatus(effect, rcode, true).provesNotRun());
      }
    }
    assertEquals(Status.ERROR, RcodeMapping.toStatus(Effect.SAFE, 2, false));
    assertEquals(Status.ERROR, RcodeMapping.toStatus(Effect.UNSAFE, 2, false));
    assertEquals(Status.SERVED, RcodeMapping.toStatus(Effect.UNSAFE, 6, false), "YXDOMAIN is the server's final answer");
    assertEquals(Status.SERVED, RcodeMapping.toStatus(Effect.SAFE, 3, false));
  }
}
