package cloverpulley.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cloverpulley.Balancer.ListKind;
import cloverpulley.Balancer.State;
import cloverpulley.engine.Clock;
import cloverpulley.engine.Fleet;
import cloverpulley.engine.ServerList;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Start times of servers, which their source reports by a wall clock that may be stepped. */
class WallClockTest {

  private static final long UNIX = 1_800_000_000_000L;
  private static final long HOUR = 3_600_000;
  private static final long MAX_AGE = TimeUnit.SECONDS.toNanos(2);

  private final AtomicLong nanos = new AtomicLong(1_000_000);
  private final Clock clock = new Clock(nanos::get, UNIX);
  private final Fleet fleet = new Fleet(clock);

  private long started(ListKind kind, int revision, long upSinceMillis) {
    ServerList list = new ServerList(revision, kind != ListKind.DELTA,
        List.of(new ServerList.Server("s-1", new InetSocketAddress("127.0.0.1", 1), "a", 0, State.READY, 1, upSinceMillis)));
    return fleet.update(kind, list).endpoints().get(0).startedNanos();
  }

  @ParameterizedTest
  @ValueSource(longs = {0, -HOUR, -5000, 5000, HOUR})
  void restartIsRecentWhateverTheClockStep(long step) {
    started(ListKind.CACHED, 1, 0);
    started(ListKind.FULL, 2, 0);
    nanos.addAndGet(TimeUnit.MINUTES.toNanos(1));
    long start = started(ListKind.DELTA, 3, UNIX + 60_000 + step);
    assertTrue(start <= clock.now() && start >= clock.now() - MAX_AGE, "it started " + (clock.now() - start) + " ns ago");
    nanos.addAndGet(TimeUnit.SECONDS.toNanos(5));
    assertEquals(start, started(ListKind.FULL, 4, UNIX + 60_000 + step), "a repeated report is not another start");
    assertEquals(clock.now() - start, fleet.ageNanos(fleet.numberOf("s-1")));
  }

  @Test
  void startInTheFutureCountsAsNow() {
    assertEquals(clock.now(), started(ListKind.CACHED, 1, UNIX + HOUR));
  }

  @Test
  void startFromPredecessorOverridesWallClock() {
    nanos.addAndGet(TimeUnit.HOURS.toNanos(2));
    fleet.recordStart(new ServerList.Server("s-1", new InetSocketAddress("127.0.0.1", 1), "a", 0, State.READY, 1, UNIX), TimeUnit.SECONDS.toNanos(3));
    assertEquals(clock.now() - TimeUnit.SECONDS.toNanos(3), started(ListKind.CACHED, 1, UNIX));
  }
}
