package cloverpulley.serve;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cloverpulley.serve.Rig.Client;
import cloverpulley.serve.Rig.Script;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

class IdleReusePolicyTest {

  private static final long SECOND = TimeUnit.SECONDS.toNanos(1);
  private static final long SHORT_IDLE = TimeUnit.MILLISECONDS.toNanos(100);
  private static final long LONG_IDLE = TimeUnit.MILLISECONDS.toNanos(1000);
  private static final long LONGER_IDLE = TimeUnit.MILLISECONDS.toNanos(3000);

  @Test
  void idleTimesThatBreakConnectionsAreAvoided() {
    IdleReusePolicy reuse = new IdleReusePolicy();
    for (int i = 0; i < 3; i++) {
      assertTrue(reuse.isReusable(0, LONG_IDLE), "too few samples");
      reuse.recordReuse(0, LONG_IDLE, true);
    }
    assertFalse(reuse.isReusable(0, LONG_IDLE));
    assertFalse(reuse.isReusable(0, LONGER_IDLE));
    assertTrue(reuse.isReusable(0, SHORT_IDLE));
  }

  @Test
  void occasionalBreaksDoNotExcludeIdleTime() {
    IdleReusePolicy reuse = new IdleReusePolicy();
    for (int i = 0; i < 40; i++) {
      reuse.recordReuse(0, LONG_IDLE, i % 10 == 0);
    }
    assertTrue(reuse.isReusable(0, LONG_IDLE));
  }

  @Test
  void samplesDecayOverTime() {
    IdleReusePolicy reuse = new IdleReusePolicy();
    for (int i = 0; i < 5; i++) {
      reuse.recordReuse(0, LONG_IDLE, true);
    }
    assertFalse(reuse.isReusable(SECOND, LONG_IDLE));
    assertTrue(reuse.isReusable(60 * SECOND, LONG_IDLE));
  }

  /** Most requests are served even if the upstream drops every connection as soon as it is idle. */
  @Test
  @Timeout(value = 2 * Rig.LIMIT_S, unit = TimeUnit.SECONDS)
  void reuseStopsWhenReusedConnectionsBreak() throws Exception {
    int requests = 400;
    int failures = 0;
    try (StubServer upstream = new StubServer(c -> {
      c.next();
      c.write(StubServer.ok("ok"));
      c.next();
    }); Rig rig = new Rig(Rig.config("127.0.0.1:1", Rig.list(1, true, Rig.member("s-1", upstream.address(), "ready"))),
        new Script(TimeUnit.SECONDS.toNanos(30))); Client client = rig.client()) {
      for (int i = 0; i < requests; i++) {
        failures += client.ask(Rig.get("t" + i, "")).startsWith("HTTP/1.1 200 ") ? 0 : 1;
      }
    }
    assertTrue(failures < requests / 10, failures + " of " + requests + " requests failed");
  }
}
