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
  private static final long YOUNG = TimeUnit.MILLISECONDS.toNanos(100);
  private static final long OLD = TimeUnit.MILLISECONDS.toNanos(1000);
  private static final long OLDER = TimeUnit.MILLISECONDS.toNanos(3000);

  @Test
  void whatBreaksAtAnAgeIsNotUsedAtThatAgeNorBeyond() {
    IdleReusePolicy reuse = new IdleReusePolicy();
    for (int i = 0; i < 3; i++) {
      assertTrue(reuse.isReusable(0, OLD), "too few to tell");
      reuse.recordReuse(0, OLD, true);
    }
    assertFalse(reuse.isReusable(0, OLD));
    assertFalse(reuse.isReusable(0, OLDER));
    assertTrue(reuse.isReusable(0, YOUNG));
  }

  @Test
  void aFewThatBreakAmongManyThatHoldAreNotTheirAge() {
    IdleReusePolicy reuse = new IdleReusePolicy();
    for (int i = 0; i < 40; i++) {
      reuse.recordReuse(0, OLD, i % 10 == 0);
    }
    assertTrue(reuse.isReusable(0, OLD));
  }

  @Test
  void itIsTriedAgainInTime() {
    IdleReusePolicy reuse = new IdleReusePolicy();
    for (int i = 0; i < 5; i++) {
      reuse.recordReuse(0, OLD, true);
    }
    assertFalse(reuse.isReusable(SECOND, OLD));
    assertTrue(reuse.isReusable(60 * SECOND, OLD));
  }

  /** An upstream that forgets its connections as soon as they stand idle: most of what is asked is still served. */
  @Test
  @Timeout(value = 2 * Rig.LIMIT_S, unit = TimeUnit.SECONDS)
  void connectionsThatBreakWhenUsedAgainAreNotUsedAgain() throws Exception {
    int asked = 400;
    int broken = 0;
    try (StubServer upstream = new StubServer(c -> {
      c.next();
      c.write(StubServer.ok("ok"));
      c.next();
    }); Rig rig = new Rig(Rig.config("127.0.0.1:1", Rig.list(1, true, Rig.member("s-1", upstream.address(), "ready"))),
        new Script(TimeUnit.SECONDS.toNanos(30))); Client client = rig.client()) {
      for (int i = 0; i < asked; i++) {
        broken += client.ask(Rig.get("t" + i, "")).startsWith("HTTP/1.1 200 ") ? 0 : 1;
      }
    }
    assertTrue(broken < asked / 10, broken + " of " + asked + " broke");
  }
}
