package cloverpulley.serve;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/** The client connections by state and time in it; selects the connections to close on a timeout or when descriptors run out. */
final class Clients {

  /**
   * The state of a connection, in the order in which connections are closed when descriptors run out. One that has a request in progress, or
   * still sends the body of one, is never closed for that. LEAVING is a lingering close after an error.
   */
  enum State { LEAVING, READING, IDLE, UPLOADING, SERVED }

  /** A client connection. */
  interface Client {
    /** The client has not sent a complete request in time. */
    void onTimeout();

    void close();

    /** Whether a part of a request has arrived. */
    boolean hasPartialRequest();

    /** Whether a response has begun and is not complete. */
    boolean isReceiving();
  }

  /**
   * The contract allows a client 2 s for a head and pauses of 2 s within a body, and requires an error or a close 3 s after it connected if it
   * has sent no complete request by then. The timeout is between the two.
   */
  static final long READ_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(2500);
  /**
   * How long a client may read an error response. Closing with unread data from the client would reset the connection, and the response
   * would be lost.
   */
  private static final long LINGER_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
  /** A longer gap between two checks means that this process stalled, not its clients. */
  private static final long MAX_SWEEP_GAP_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
  /** A connection without a request for this long is closed. */
  private static final long IDLE_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(60);

  /** The connections of each state with the time at which they entered it, the oldest first. */
  private final Map<State, Map<Client, Long>> since = new EnumMap<>(State.class);

  private final LongSupplier clock;
  private long sweptAt;

  Clients() {
    this(System::nanoTime);
  }

  /** Creates an empty set; {@code clock} is monotonic, in nanoseconds. */
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

  /** Sets the state of a connection; the time in the state restarts even if it is the same. */
  void setState(Client client, State to) {
    remove(client);
    since.get(to).put(client, clock.getAsLong());
  }

  /**
   * Restarts the timeout of a connection that is read again: its client could make no progress while it was not read, and what it sent
   * meanwhile has not been seen yet.
   */
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

  /** Closes the connection that is least useful to its client; false if all have requests in progress. Its close() has to remove it. */
  boolean closeLeastUseful() {
    for (State state : State.values()) {
      if (state.compareTo(State.UPLOADING) < 0 && !since.get(state).isEmpty()) {
        since.get(state).keySet().iterator().next().close();
        return true;
      }
    }
    return false;
  }

  /** Ends connections that have been in a state for too long. */
  void closeTimedOut() {
    long now = clock.getAsLong();
    boolean stalled = now - sweptAt > MAX_SWEEP_GAP_NANOS;
    sweptAt = now;
    if (stalled) {
      return; // After a stall clients' bytes may wait in their sockets; they are read before the next check.
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

  /** Closes all connections, including those with requests in progress. */
  void closeAll() {
    for (State state : State.values()) {
      List.copyOf(since.get(state).keySet()).forEach(Client::close);
    }
  }

  /** Closes all connections on which no response has begun that is not complete. */
  void closeAllButReceiving() {
    for (State state : State.values()) {
      List.copyOf(since.get(state).keySet()).stream().filter(c -> !c.isReceiving()).forEach(Client::close);
    }
  }

  /**
   * Closes the connections without a request, complete or partial. A partial one is kept, since the rest of it may be on its way: it
   * completes and is answered, or times out.
   */
  void closeWithoutRequest() {
    for (State state : List.of(State.READING, State.IDLE)) {
      List.copyOf(since.get(state).keySet()).stream().filter(c -> !c.hasPartialRequest()).forEach(Client::close);
    }
  }
}
