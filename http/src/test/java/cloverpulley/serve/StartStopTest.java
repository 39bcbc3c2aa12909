package cloverpulley.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cloverpulley.Balancer.Settings;
import cloverpulley.serve.Warmup.Count;
import java.io.IOException;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class StartStopTest {

  private static Settings settings() throws IOException {
    return Config.read(Map.of("ROUTER_CONFIG", "deploy/example.json")).settings();
  }

  /** Bounded by the clock it made 17 of its 2,000 requests at half a core, and left the code cold. */
  @Test
  void allItsRequestsAreAnsweredHoweverLongThatTakes() throws IOException {
    assertEquals(Warmup.REQUESTS, Warmup.run(settings(), Warmup.REQUESTS, TimeUnit.MINUTES.toMillis(1)).answered());
  }

  /** Once cut short its clients went on for seconds, refused by a balancer whose upstream was closed. */
  @Test
  void cutShortItAsksNothingMore() throws IOException {
    Count count = Warmup.run(settings(), Warmup.REQUESTS, 0);
    assertTrue(count.asked() < Warmup.REQUESTS, () -> "went on after its end: " + count);
  }

  /** A third of its attempts was taken for broken, and its upstreams were left out: with long aims nothing is refused else. */
  @Test
  void itsUpstreamsServeAll() throws IOException {
    Settings settings = Rig.config("127.0.0.1:1", Rig.list(1, true)).settings();
    Count count = Warmup.run(settings, Warmup.REQUESTS, TimeUnit.MINUTES.toMillis(1));
    assertEquals(new Count(Warmup.REQUESTS, Warmup.REQUESTS, Warmup.REQUESTS), count);
  }

  /** SIGKILL may come 0.7 s after the longest deadline, counted from SIGTERM: all has its answer by then. */
  @Test
  void whatIsInHandIsAnsweredBeforeTheProcessMayBeKilled() throws IOException {
    String text = Rig.text("127.0.0.1:1", Rig.list(1, true), "on_request", 200, 1024, "");
    Settings brief = Config.parse(text.replace("40000000000", "1940000000"), Map.of()).settings();
    assertTrue(Server.stopMillis(brief) < 1940 + 700);
    assertTrue(Server.stopMillis(Config.parse(text, Map.of()).settings()) < 3000 + 700);
  }
}
