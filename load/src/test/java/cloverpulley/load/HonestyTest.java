package cloverpulley.load;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cloverpulley.config.ConfigFile;
import cloverpulley.load.Driver.Outcome;
import cloverpulley.load.Results.Tally;
import cloverpulley.standins.ScriptedHttp;
import cloverpulley.standins.ScriptedHttp.Manner;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.HdrHistogram.HistogramIterationValue;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** The generator against servers that stall, break and storm: nothing is hidden, and each request has one outcome. */
@Timeout(value = 2, unit = TimeUnit.MINUTES)
class HonestyTest {

  private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

  @AfterEach
  void end() {
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  static Plan plan(ScriptedHttp server, double rate, double seconds, String more) throws Exception {
    return ConfigFile.parse("plan", "[load]\nseed = 7\nrate = " + rate + "\nseconds = " + seconds + "\n" + more
        + "\n[load.target]\naddress = \"127.0.0.1:" + server.address().getPort() + "\"\nconnections = 8000\n", Plan::read);
  }

  private static final String TYPES = """
      [[load.class]]
      name = "safe"
      effect = "safe"
      aim_ms = 400
      deadline_ms = 20000
      share = 3
      [[load.class]]
      name = "unsafe"
      effect = "unsafe"
      aim_ms = 400
      deadline_ms = 20000
      [[load.tenant]]
      name = "a"
      share = 2
      portion = 0.6
      [[load.tenant]]
      name = "b"
      portion = 0.4
      """;

  /**
   * Two seconds of stall at 2,000 a second: 4,000 requests are intended within it and wait for what is left of it. The corrected
   * histogram holds the stall's whole area (mean 1 s x 4,000); one that counts from the real sending, over few connections,
   * would see one long wait on each.
   */
  @Test
  void aStallShowsInFull() throws Exception {
    try (ScriptedHttp server = new ScriptedHttp(group, Manner.SERVE)) {
      AtomicInteger second = new AtomicInteger();
      String few = TYPES.replace("[[load.tenant]]\nname = \"a\"", "[[load.tenant]]\nname = \"a\"");
      Plan plan = plan(server, 2000, 5, "process = \"constant\"\n" + few);
      Results r = LoadRun.play(plan, x -> {
        if (second.incrementAndGet() == 1) {
          server.stall(2000);
        }
      });
      assertEquals(10_000, r.all.asked);
      assertEquals(10_000, r.all.outcomes[Outcome.SERVED.ordinal()]);
      long over = 0;
      double area = 0;
      for (HistogramIterationValue v : r.all.corrected.recordedValues()) {
        over += v.getValueIteratedTo() > 100_000 ? v.getCountAddedInThisIterationStep() : 0;
        area += v.getValueIteratedTo() / 1e6 * v.getCountAddedInThisIterationStep();
      }
      // Those of its last tenth of a second waited less: 3,800, and an area of 4,000 s in milliseconds of request time.
      assertTrue(over >= 3700, "waited over 100 ms: " + over);
      assertTrue(area >= 3900, "request seconds lost: " + area);
      assertTrue(r.all.corrected.getMaxValue() >= 1_900_000);
    }
  }

  /** With fewer connections than a stall needs, tries wait for one: the naive clock of a closed loop would not see them. */
  @Test
  void whatWaitsInTheClientIsChargedToo() throws Exception {
    try (ScriptedHttp server = new ScriptedHttp(group, Manner.SERVE)) {
      AtomicInteger second = new AtomicInteger();
      Plan wide = plan(server, 500, 3, "process = \"constant\"\n" + TYPES);
      Plan narrow = new Plan(wide.seed(), wide.seconds(), wide.rate(), wide.process(), wide.bursts(), wide.shape(), wide.types(),
          wide.tenants(), wide.keys(), new Plan.Target(Plan.Protocol.HTTP, server.address(), "/api", 4, 1000, "load.test."), wide.clients(),
          wide.lateMillis());
      Results r = LoadRun.play(narrow, x -> {
        if (second.incrementAndGet() == 1) {
          server.stall(1000);
        }
      });
      assertEquals(1500, r.all.outcomes[Outcome.SERVED.ordinal()]);
      assertTrue(r.all.corrected.getCountBetweenValues(100_000, Results.MOST_MICROS) >= 400, "all of them, not four");
    }
  }

  /** Whatever the server does, each intended request has one outcome, and what it says it began is what was sent. */
  @ParameterizedTest
  @EnumSource(Manner.class)
  void eachRequestHasOneOutcome(Manner manner) throws Exception {
    try (ScriptedHttp server = new ScriptedHttp(group, manner)) {
      Results r = LoadRun.play(plan(server, 300, 1, manner == Manner.NEVER_ANSWER ? TYPES.replace("20000", "700") : TYPES), x -> { });
      assertEquals(r.all.asked, r.all.ended());
      assertEquals(r.all.asked, r.types.stream().mapToLong(Tally::ended).sum());
      assertEquals(r.all.asked, r.tenants.stream().mapToLong(Tally::ended).sum());
      assertEquals(r.all.asked, r.seconds.stream().mapToLong(s -> s.intended).sum());
      assertEquals(r.tries, r.seconds.stream().mapToLong(s -> s.sent).sum());
      Outcome expected = switch (manner) {
        case SERVE, ANSWER_EARLY -> Outcome.SERVED;
        case NEVER_ANSWER -> Outcome.TIMEOUT;
        case REFUSE -> Outcome.REFUSED;
        default -> Outcome.BROKEN;
      };
      if (manner != Manner.ANSWER_EARLY) {
        assertEquals(r.all.asked, r.all.outcomes[expected.ordinal()], Map.of("asked", r.all.asked, "tries", r.tries).toString());
        assertEquals(r.tries, server.began());
      }
    }
  }

  @Test
  void aServerThatIsAwayForAWhileCostsWhatItCosts() throws Exception {
    try (ScriptedHttp server = new ScriptedHttp(group, Manner.SERVE)) {
      AtomicInteger second = new AtomicInteger();
      Results r = LoadRun.play(plan(server, 200, 4, TYPES), x -> {
        int now = second.incrementAndGet();
        if (now == 1) {
          group.execute(() -> new Thread(server::goAway).start());
        } else if (now == 3) {
          new Thread(server::comeBack).start();
        }
      });
      assertEquals(r.all.asked, r.all.ended());
      assertTrue(r.all.outcomes[Outcome.NO_CONNECTION.ordinal()] > 100);
      assertTrue(r.all.outcomes[Outcome.SERVED.ordinal()] > 200);
    }
  }

  /** A refusing server and clients that come back: never more tries than the plan permits, firsts at their intended times. */
  @Test
  void aRetryStormStaysWithinItsPlan() throws Exception {
    try (ScriptedHttp server = new ScriptedHttp(group, Manner.REFUSE)) {
      Results r = LoadRun.play(plan(server, 300, 1, TYPES + "[load.clients]\nretries = 3\nback_off_ms = 20\nhonour_retry_after"
          + " = 0.5\n"), x -> { });
      assertEquals(4 * r.all.asked, r.tries);
      assertEquals(r.tries, server.began());
      assertEquals(r.all.asked, r.all.outcomes[Outcome.REFUSED.ordinal()], "folded into their firsts");
      assertEquals(r.all.asked, r.seconds.get(0).intended);
    }
  }

  @Test
  void anUnsafeRequestIsNotAskedAgainAfterItMayHaveRun() throws Exception {
    try (ScriptedHttp server = new ScriptedHttp(group, Manner.RESET_IN_ANSWER)) {
      Results r = LoadRun.play(plan(server, 200, 1, TYPES + "[load.clients]\nretries = 2\nback_off_ms = 5\n"), x -> { });
      assertEquals(3 * r.types.get(0).asked + r.types.get(1).asked, r.tries);
    }
  }

  /** The generator's own stop is lateness, said in the first line. */
  @Test
  void aGeneratorThatFallsBehindSaysSo() throws Exception {
    try (ScriptedHttp server = new ScriptedHttp(group, Manner.SERVE)) {
      AtomicInteger second = new AtomicInteger();
      Results r = LoadRun.play(plan(server, 500, 3, TYPES), x -> {
        if (second.incrementAndGet() == 1) {
          try {
            TimeUnit.MILLISECONDS.sleep(500); // On the loop itself, as a collection or a busy neighbour would stop it.
          } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
          }
        }
      });
      assertTrue(r.fellBehind());
      assertTrue(r.lateness.getMaxValue() >= 400_000);
      assertTrue(new Report(r).headline().startsWith("FELL BEHIND"));
      assertEquals(r.all.asked, r.all.ended());
    }
  }
}
