package cloverpulley.serve;

import java.util.ArrayDeque;

/**
 * Bytes of memory that one kind of work may hold over all connections. Who needs more than there is waits for its turn, first come
 * first served, and reads nothing meanwhile. One thread owns it.
 */
final class BufferBudget {

  /** A part of it, once it was given; what was given is given back exactly once. */
  final class Reservation {
    private final int octets;
    private final Runnable given;
    private boolean has;

    private Reservation(int octets, Runnable given) {
      this.octets = octets;
      this.given = given;
    }

    boolean isGranted() {
      return has;
    }

    /** Gives it back, or waits for it no longer; a second time nothing. */
    void release() {
      if (has) {
        has = false;
        held -= octets;
        serve();
      } else if (waiting.remove(this)) {
        serve(); // It may have been the one that the others stood behind.
      }
    }
  }

  private final long most;
  private long held;
  private final ArrayDeque<Reservation> waiting = new ArrayDeque<>();

  /** A budget of so many bytes; one reservation alone is always granted, however small the budget. */
  BufferBudget(long most) {
    this.most = most;
  }

  /** Asks for a reservation; {@code given} is run once it is there, unless it is there at once. */
  Reservation reserve(int octets, Runnable given) {
    Reservation reservation = new Reservation(octets, given);
    if (waiting.isEmpty() && serves(octets)) {
      reservation.has = true;
      held += octets;
    } else {
      waiting.add(reservation);
    }
    return reservation;
  }

  /** Takes so many octets, whether they are there or not. */
  void forceAcquire(long octets) {
    held += octets;
  }

  /** Whether so many octets are there. */
  boolean fits(long octets) {
    return held + octets <= most;
  }

  /** Gives back what was {@link #forceAcquire taken}. */
  void release(long octets) {
    held -= octets;
    serve();
  }

  private boolean serves(int octets) {
    return held == 0 || fits(octets);
  }

  private void serve() {
    for (Reservation first = waiting.peek(); first != null && serves(first.octets); first = waiting.peek()) {
      waiting.poll();
      first.has = true;
      held += first.octets;
      first.given.run();
    }
  }
}
