package cloverpulley.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;

import cloverpulley.serve.Clients.State;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

/** Whose time runs out, on a clock of the test's own. */
class ClientsTest {

  private static final long SWEEP = TimeUnit.MILLISECONDS.toNanos(100);

  private final AtomicLong now = new AtomicLong();
  private final Clients clients = new Clients(now::get);

  private static final class Counted implements Clients.Client {
    private int overdue;
    private int closed;

    @Override
    public void overdue() {
      overdue++;
    }

    @Override
    public void close() {
      closed++;
    }

    @Override
    public boolean hasPartialRequest() {
      return false;
    }
  }

  /** Time goes on for so long, with a sweep each 100 ms. */
  private void pass(long nanos) {
    for (long until = now.get() + nanos; now.get() < until;) {
      now.addAndGet(SWEEP);
      clients.closeTimedOut();
    }
  }

  @Test
  void whoIsReadAgainHasItsTimeAgain() {
    for (State state : new State[] {State.READING, State.UPLOADING}) {
      Counted held = new Counted();
      clients.setState(held, state);
      pass(Clients.READ_TIMEOUT_NANOS);
      assertEquals(0, held.overdue, "just in time");
      clients.readResumed(held); // What it sent while it was not read has not been seen yet.
      pass(SWEEP);
      assertEquals(0, held.overdue, "a body that was held by an upstream's doing had its connection closed");
      pass(Clients.READ_TIMEOUT_NANOS);
      assertEquals(1, held.overdue, "and no longer than that");
      clients.remove(held);
    }
  }

  @Test
  void whoIsServedOrIdleIsNotTouchedByBeingReadAgain() {
    Counted served = new Counted();
    clients.setState(served, State.SERVED);
    clients.readResumed(served);
    assertEquals(true, clients.is(served, State.SERVED));
    Counted gone = new Counted();
    clients.readResumed(gone);
    assertEquals(1, clients.count(), "one that is closed is not kept");
  }

  @Test
  void aPauseOfThisProcessIsNotItsClients() {
    Counted reading = new Counted();
    clients.setState(reading, State.READING);
    now.addAndGet(TimeUnit.SECONDS.toNanos(3));
    clients.closeTimedOut();
    assertEquals(0, reading.overdue, "what lies in its socket is read first");
    pass(SWEEP);
    assertEquals(1, reading.overdue, "it sent nothing meanwhile either");
    Counted leaving = new Counted();
    clients.setState(leaving, State.LEAVING);
    pass(TimeUnit.SECONDS.toNanos(1));
    assertEquals(1, leaving.closed > 0 ? 1 : 0);
  }
}
