package cloverpulley.serve;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/** The clients' connections by what they are doing and since when; says which go when time or descriptors run out. */
final class Clients {

  /** What a connection does; in the order in which they are shed, and one that is served, or was while its body comes, never is. */
  enum State { LEAVING, READING, IDLE, UPLOADING, SERVED }

  /** A client's connection. */
  interface Client {
    /** It has not sent a whole request in time. */
    void onTimeout();

    void close();

    /** A part of a request has come. */
    boolean hasPartialRequest();
  }

  /** A client is owed an error or a close 3 s after it connected if nothing whole has come by then; it may take 2 s for a head, and
   * pause for as long within a body. */
  static final long READ_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(2500);
  /** After an error a client has this long to read it: closing at once, over what it still sends, would destroy it. */
  private static final long LINGER_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
  /** A sweep that comes so long after the last tells of this process's own pause, not of its clients. */
  private static final long MAX_SWEEP_GAP_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
  /** A client that has not asked for this long won't miss its connection. */
  private static final long IDLE_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(60);

  /** The time of the last move comes first in each, so that the longest in a state is at its head. */
  private final Map<State, Map<Client, Long>> since = new EnumMap<>(State.class);

  private final LongSupplier clock;
  private long sweptAt;

  Clients() {
    this(System::nanoTime);
  }

  /** {@code clock} counts nanoseconds and does not go back. */
  Clients(LongSupplier clock) {
    this.clock = clock;
    sweptAt = clock.getAsLong();
    for (State state : State.values()) {
      since.put(state, new LinkedHashMap<>());
    }
  }

  int count() {
    int count = 0;
    for (Map<Client, Long> clients : since.values()) {
      count += clients.size();
    }
    return count;
  }

  /** It does something else from now on; a state that it is in already starts anew. */
  void setState(Client client, State to) {
    remove(client);
    since.get(to).put(client, clock.getAsLong());
  }

  /** It is read again: it could do nothing while it was not, and what it sent meanwhile has not been seen yet. */
  void readResumed(Client client) {
    for (State state : List.of(State.READING, State.UPLOADING)) {
      if (is(client, state)) {
        setState(client, state);
        return;
      }
    }
  }

  boolean is(Client client, State state) {
    return since.get(state).containsKey(client);
  }

  void remove(Client client) {
    for (Map<Client, Long> clients : since.values()) {
      if (clients.remove(client) != null) {
        return;
      }
    }
  }

  /** Closes the one that is missed least; false if all are being served. Closing it has to remove it. */
  boolean closeLeastUseful() {
    for (State state : State.values()) {
      if (state.compareTo(State.UPLOADING) < 0 && !since.get(state).isEmpty()) {
        since.get(state).keySet().iterator().next().close();
        return true;
      }
    }
    return false;
  }

  /** Ends what has gone on for too long. */
  void closeTimedOut() {
    long now = clock.getAsLong();
    boolean late = now - sweptAt > MAX_SWEEP_GAP_NANOS;
    sweptAt = now;
    if (late) {
      return; // Guards clients whose bytes lie in their sockets while this process stood still: one more turn reads them.
    }
    inStateLongerThan(State.LEAVING, LINGER_NANOS).forEach(Client::close);
    inStateLongerThan(State.READING, READ_TIMEOUT_NANOS).forEach(Client::onTimeout);
    inStateLongerThan(State.UPLOADING, READ_TIMEOUT_NANOS).forEach(Client::onTimeout);
    inStateLongerThan(State.IDLE, IDLE_TIMEOUT_NANOS).forEach(Client::close);
  }

  private List<Client> inStateLongerThan(State state, long nanos) {
    long now = clock.getAsLong();
    List<Client> found = new ArrayList<>();
    for (Map.Entry<Client, Long> entry : since.get(state).entrySet()) {
      if (now - entry.getValue() <= nanos) {
        break;
      }
      found.add(entry.getKey());
    }
    return found;
  }

  /** Closes all, whatever they are owed. */
  void closeAll() {
    for (State state : State.values()) {
      List.copyOf(since.get(state).keySet()).forEach(Client::close);
    }
  }

  /**
   * Closes all that are owed nothing and have begun no request. Guards a request whose last bytes are on their way while this is decided: what
   * has begun comes in whole and is answered, or its time ends.
   */
  void closeWithoutRequest() {
    for (State state : List.of(State.READING, State.IDLE)) {
      List.copyOf(since.get(state).keySet()).stream().filter(c -> !c.hasPartialRequest()).forEach(Client::close);
    }
  }
}
