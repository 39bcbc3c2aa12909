package cloverpulley.load;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cloverpulley.config.ConfigFile;
import cloverpulley.load.Driver.Outcome;
import cloverpulley.load.Results.RequestStats;
import cloverpulley.standins.ScriptedHttp;
import cloverpulley.standins.ScriptedHttp.Behaviour;
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

/** Runs the generator against servers that stall, fail or reject: latencies are reported in full, and each request has exactly one outcome. */
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

  private static final String CLASSES = """
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
   * Guards against coordinated omission. During a stall of two seconds at 2,000 requests per second, 4,000 requests have their intended
   * start, and each waits for the rest of the stall. The corrected histogram has to contain all of that waiting time (4,000 requests with
   * a mean of 1 s). Measured from the actual sending over a few connections, only one long wait per connection would show.
   */
  @Test
  void aStallShowsInFull() throws Exception {
    try (ScriptedHttp server = new ScriptedHttp(group, Behaviour.SERVE)) {
      AtomicInteger second = new AtomicInteger();
      String classes = CLASSES.replace("[[load.tenant]]\nname = \"a\"", "[[load.tenant]]\nname = \"a\"");
      Plan plan = plan(server, 2000, 5, "process = \"constant\"\n" + classes);
      Results r = LoadRun.run(plan, x -> {
        if (second.incrementAndGet() == 1) {
          server.stall(2000);
        }
      });
      assertEquals(10_000, r.all.requests);
      assertEquals(10_000, r.all.outcomes[Outcome.SERVED.ordinal()]);
      long over = 0;
      double area = 0;
      for (HistogramIterationValue v : r.all.corrected.recordedValues()) {
        over += v.getValueIteratedTo() > 100_000 ? v.getCountAddedInThisIterationStep() : 0;
        area += v.getValueIteratedTo() / 1e6 * v.getCountAddedInThisIterationStep();
      }
      // Requests in the last tenth of a second of the stall wait less than 100 ms, so 3,800 remain; the total waiting time is 4,000 s.
      assertTrue(over >= 3700, "waited over 100 ms: " + over);
      assertTrue(area >= 3900, "total waiting time in seconds: " + area);
      assertTrue(r.all.corrected.getMaxValue() >= 1_900_000);
    }
  }

  /**
   * With too few connections, attempts wait for one during a stall. That time has to count; a closed loop that measures from the sending
   * would miss it.
   */
  @Test
  void waitingForAConnectionCountsAsLatency() throws Exception {
    try (ScriptedHttp server = new ScriptedHttp(group, Behaviour.SERVE)) {
      AtomicInteger second = new AtomicInteger();
      Plan wide = plan(server, 500, 3, "process = \"constant\"\n" + CLASSES);
      Plan narrow = new Plan(wide.seed(), wide.seconds(), wide.rate(), wide.process(), wide.bursts(), wide.shape(), wide.classes(),
          wide.tenants(), wide.keys(), new Plan.Target(Plan.Protocol.HTTP, server.address(), "/api", 4, 1000, "load.test."), wide.clients(),
          wide.maxLatenessMillis());
      Results r = LoadRun.run(narrow, x -> {
        if (second.incrementAndGet() == 1) {
          server.stall(1000);
        }
      });
      assertEquals(1500, r.all.outcomes[Outcome.SERVED.ordinal()]);
      assertTrue(r.all.corrected.getCountBetweenValues(100_000, Results.MAX_MICROS) >= 400, "every waiting request counts, not one per connection");
    }
  }

  /** Whatever the server does, each intended request has one outcome, and the server has received as many requests as were sent. */
  @ParameterizedTest
  @EnumSource(Behaviour.class)
  void eachRequestHasOneOutcome(Behaviour behaviour) throws Exception {
    try (ScriptedHttp server = new ScriptedHttp(group, behaviour)) {
      Results r = LoadRun.run(plan(server, 300, 1, behaviour == Behaviour.NEVER_RESPOND ? CLASSES.replace("20000", "700") : CLASSES), x -> { });
      assertEquals(r.all.requests, r.all.completed());
      assertEquals(r.all.requests, r.classes.stream().mapToLong(RequestStats::completed).sum());
      assertEquals(r.all.requests, r.tenants.stream().mapToLong(RequestStats::completed).sum());
      assertEquals(r.all.requests, r.seconds.stream().mapToLong(s -> s.intended).sum());
      assertEquals(r.attempts, r.seconds.stream().mapToLong(s -> s.sent).sum());
      Outcome expected = switch (behaviour) {
        case SERVE, RESPOND_EARLY -> Outcome.SERVED;
        case NEVER_RESPOND -> Outcome.TIMEOUT;
        case REJECT -> Outcome.REFUSED;
        default -> Outcome.BROKEN;
      };
      if (behaviour != Behaviour.RESPOND_EARLY) {
        assertEquals(r.all.requests, r.all.outcomes[expected.ordinal()], Map.of("requests", r.all.requests, "attempts", r.attempts).toString());
        assertEquals(r.attempts, server.requestCount());
      }
    }
  }

  @Test
  void serverOutageShowsAsFailedConnections() throws Exception {
    try (ScriptedHttp server = new ScriptedHttp(group, Behaviour.SERVE)) {
      AtomicInteger second = new AtomicInteger();
      Results r = LoadRun.run(plan(server, 200, 4, CLASSES), x -> {
        int now = second.incrementAndGet();
        if (now == 1) {
          group.execute(() -> new Thread(server::stop).start());
        } else if (now == 3) {
          new Thread(server::restart).start();
        }
      });
      assertEquals(r.all.requests, r.all.completed());
      assertTrue(r.all.outcomes[Outcome.NO_CONNECTION.ordinal()] > 100);
      assertTrue(r.all.outcomes[Outcome.SERVED.ordinal()] > 200);
    }
  }

  /** With a server that rejects everything, clients never make more attempts than the plan permits, and first attempts stay on schedule. */
  @Test
  void retriesStayWithinThePlan() throws Exception {
    try (ScriptedHttp server = new ScriptedHttp(group, Behaviour.REJECT)) {
      Results r = LoadRun.run(plan(server, 300, 1, CLASSES + "[load.clients]\nretries = 3\nback_off_ms = 20\nhonour_retry_after"
          + " = 0.5\n"), x -> { });
      assertEquals(4 * r.all.requests, r.attempts);
      assertEquals(r.attempts, server.requestCount());
      assertEquals(r.all.requests, r.all.outcomes[Outcome.REFUSED.ordinal()], "retries count with their first attempt");
      assertEquals(r.all.requests, r.seconds.get(0).intended);
    }
  }

  @Test
  void unsafeRequestIsNotRetriedAfterItMayHaveBeenExecuted() throws Exception {
    try (ScriptedHttp server = new ScriptedHttp(group, Behaviour.RESET_MID_RESPONSE)) {
      Results r = LoadRun.run(plan(server, 200, 1, CLASSES + "[load.clients]\nretries = 2\nback_off_ms = 5\n"), x -> { });
      assertEquals(3 * r.classes.get(0).requests + r.classes.get(1).requests, r.attempts);
    }
  }

  /** A pause of the generator itself is recorded as lateness and reported in the first line. */
  @Test
  void generatorReportsThatItFellBehind() throws Exception {
    try (ScriptedHttp server = new ScriptedHttp(group, Behaviour.SERVE)) {
      AtomicInteger second = new AtomicInteger();
      Results r = LoadRun.run(plan(server, 500, 3, CLASSES), x -> {
        if (second.incrementAndGet() == 1) {
          try {
            TimeUnit.MILLISECONDS.sleep(500); // Blocks the event loop, as a garbage collection or a busy neighbour would.
          } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
          }
        }
      });
      assertTrue(r.fellBehind());
      assertTrue(r.lateness.getMaxValue() >= 400_000);
      assertTrue(new Report(r).headline().startsWith("FELL BEHIND"));
      assertEquals(r.all.requests, r.all.completed());
    }
  }
}
