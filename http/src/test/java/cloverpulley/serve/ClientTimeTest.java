package cloverpulley.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** When a client's time starts to run, on a virtual clock. */
class ClientTimeTest {

  private static final long MS = 1_000_000;
  private static final long WAIT = 1000 * MS;
  private static final long FULL = 80_000;

  private long now = 5000 * MS;
  private final ClientTime time = new ClientTime(() -> now);

  private void read(boolean emptied) {
    time.read(100);
    time.readEnded(emptied);
  }

  private void inspectAt(long at, long unread) {
    now = at;
    time.inspected(unread);
  }

  @Test
  void aClientThatIsReadAsItSendsLosesNothing() {
    for (; now < 9000 * MS; now += 100 * MS) {
      read(true);
    }
    assertEquals(WAIT, time.remaining(WAIT));
    time.read(100);
    assertEquals(9000 * MS, time.earliest());
  }

  @Test
  void timeRunsFromTheFirstByteThatWasNotReadAtOnce() {
    read(false);
    now = 5300 * MS;
    read(false);
    assertEquals(5000 * MS, time.earliest());
    assertEquals(700 * MS, time.remaining(WAIT));
  }

  @Test
  void timeRunsWhileTheSocketIsNotReadAndItsWindowIsFull() {
    read(true);
    now = 5100 * MS;
    time.paused();
    inspectAt(5200 * MS, FULL);
    inspectAt(5600 * MS, FULL);
    assertEquals(500 * MS, time.remaining(WAIT));
    now = 5700 * MS;
    time.resumed();
    for (; now < 5900 * MS; now += 5 * MS) {
      time.read(60_000);
      time.readEnded(true);
    }
    assertEquals(200 * MS, time.remaining(WAIT), "a window that opens again empties the socket for a moment");
    for (; now < 6000 * MS; now += 10 * MS) {
      read(true);
    }
    assertEquals(WAIT, time.remaining(WAIT), "a client of 10 kB a second sends as it likes");
  }

  @Test
  void theNextRequestAfterAPauseHasItsOwnTime() {
    read(true);
    time.paused();
    now = 5700 * MS;
    time.resumed();
    read(true);
    now = 9000 * MS;
    time.read(100);
    assertEquals(9000 * MS, time.earliest());
  }

  @Test
  void aSlowClientBesideASlowUpstreamLosesNothing() {
    time.paused();
    inspectAt(5100 * MS, 0);
    inspectAt(5200 * MS, 0);
    assertEquals(5200 * MS, time.earliest(), "it has sent nothing since the pause");
    inspectAt(5900 * MS, 10);
    assertEquals(5200 * MS, time.earliest());
    inspectAt(6500 * MS, 20);
    assertEquals(5900 * MS, time.earliest(), "it has sent more since then");
    inspectAt(7000 * MS, 20);
    assertEquals(5900 * MS, time.earliest(), "it may have sent all");
  }

  @Test
  void bytesThatWaitedForTheWindowAreNoSignOfAClientThatStillSends() {
    read(false);
    now = 5100 * MS;
    time.paused();
    inspectAt(5110 * MS, 0);
    inspectAt(5130 * MS, FULL);
    inspectAt(5500 * MS, 2 * FULL);
    assertEquals(5000 * MS, time.earliest());
  }

  @Test
  void anUnknownNumberOfUnreadBytesStopsNoClock() {
    time.paused();
    inspectAt(5400 * MS, -1);
    inspectAt(5800 * MS, -1);
    assertEquals(200 * MS, time.remaining(WAIT));
    assertEquals(0, time.idleNanos());
  }

  @Test
  void onlyAClientWithAnIncompleteBodyIsIdle() {
    time.paused();
    inspectAt(5100 * MS, 0);
    inspectAt(5900 * MS, 0);
    assertEquals(800 * MS, time.idleNanos());
    inspectAt(6000 * MS, 20);
    assertEquals(0, time.idleNanos());
  }
}
