package cloverpulley.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cloverpulley.Balancer.Settings;
import cloverpulley.serve.Warmup.Count;
import java.io.IOException;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class WarmupTest {

  private static Settings settings() throws IOException {
    return Config.read(Map.of("ROUTER_CONFIG", "deploy/example.json")).settings();
  }

  /** Bounded by the clock it made 17 of its 2,000 requests at half a core, and left the code cold. */
  @Test
  void allItsRequestsAreAnsweredHoweverLongThatTakes() throws IOException {
    assertEquals(new Count(Warmup.REQUESTS, Warmup.REQUESTS), Warmup.run(settings(), TimeUnit.MINUTES.toMillis(1)));
  }

  /** Once cut short its clients went on for seconds, refused by a balancer whose upstream was closed. */
  @Test
  void cutShortItAsksNothingMore() throws IOException {
    Count count = Warmup.run(settings(), 0);
    assertTrue(count.asked() < Warmup.REQUESTS, () -> "went on after its end: " + count);
  }
}
