package cloverpulley.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;

import cloverpulley.serve.Clients.State;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

/** Timeouts of client connections, on a simulated clock. */
class ClientsTest {

  private static final long CHECK_INTERVAL = TimeUnit.MILLISECONDS.toNanos(100);

  private final AtomicLong now = new AtomicLong();
  private final Clients clients = new Clients(now::get);

  private static final class CountingClient implements Clients.Client {
    private int timeouts;
    private int closes;

    @Override
    public void onTimeout() {
      timeouts++;
    }

    @Override
    public void close() {
      closes++;
    }

    @Override
    public boolean hasPartialRequest() {
      return false;
    }

    @Override
    public boolean isReceiving() {
      return false;
    }
  }

  /** Advances the clock, with a check for timeouts every 100 ms. */
  private void advance(long nanos) {
    for (long until = now.get() + nanos; now.get() < until;) {
      now.addAndGet(CHECK_INTERVAL);
      clients.closeTimedOut();
    }
  }

  @Test
  void resumedReadRestartsTimeout() {
    for (State state : new State[] {State.READING, State.UPLOADING}) {
      CountingClient paused = new CountingClient();
      clients.setState(paused, state);
      advance(Clients.READ_TIMEOUT_NANOS);
      assertEquals(0, paused.timeouts, "just in time");
      clients.readResumed(paused); // Data sent while it was not read has not been seen yet.
      advance(CHECK_INTERVAL);
      assertEquals(0, paused.timeouts, "closed although a slow upstream had paused its body");
      advance(Clients.READ_TIMEOUT_NANOS);
      assertEquals(1, paused.timeouts, "times out after a full period");
      clients.remove(paused);
    }
  }

  @Test
  void resumedReadLeavesOtherStatesUnchanged() {
    CountingClient served = new CountingClient();
    clients.setState(served, State.SERVED);
    clients.readResumed(served);
    assertEquals(true, clients.is(served, State.SERVED));
    CountingClient gone = new CountingClient();
    clients.readResumed(gone);
    assertEquals(1, clients.count(), "a closed connection is not added");
  }

  @Test
  void stallOfProcessDoesNotTimeOutClients() {
    CountingClient reading = new CountingClient();
    clients.setState(reading, State.READING);
    now.addAndGet(TimeUnit.SECONDS.toNanos(3));
    clients.closeTimedOut();
    assertEquals(0, reading.timeouts, "data in its socket is read first");
    advance(CHECK_INTERVAL);
    assertEquals(1, reading.timeouts, "it has sent nothing in the meantime");
    CountingClient leaving = new CountingClient();
    clients.setState(leaving, State.LEAVING);
    advance(TimeUnit.SECONDS.toNanos(1));
    assertEquals(1, leaving.closes > 0 ? 1 : 0);
  }
}
