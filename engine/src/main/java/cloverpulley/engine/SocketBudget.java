package cloverpulley.engine;

/** Counts the open sockets against the process's limit on file descriptors. */
public final class SocketBudget {

  /** Descriptors of the process itself: jar, standard streams, selector, listeners, discovery connections before and after an address change. */
  private static final int OWN_DESCRIPTORS = 24;
  /**
   * Descriptors kept free: up to 16 connections are accepted before any is closed to make room, and a closed one keeps its descriptor
   * until the next select. With no free descriptor the acceptor would pause for a second.
   */
  private static final int SPARE_DESCRIPTORS = 32;
  /** The share of the rest up to which clients are accepted without closing another connection: each request needs a socket to an upstream too. */
  private static final double CLIENT_RATIO = 0.5;

  private final int processLimit;
  private int limit;
  private int maxOpen;
  private volatile int open;

  public SocketBudget(int limit) {
    processLimit = limit;
    setUsedElsewhere(0);
  }

  /** Sets how many descriptors other processes that share the limit hold; 0 for none. */
  public void setUsedElsewhere(int descriptors) {
    limit = processLimit - descriptors;
    maxOpen = limit - OWN_DESCRIPTORS - SPARE_DESCRIPTORS;
  }

  /** Descriptors that this process holds, including those that are not sockets. Safe to call from any thread. */
  public int used() {
    return open + OWN_DESCRIPTORS;
  }

  /** Whether another process shares the limit. */
  public boolean isShared() {
    return limit < processLimit;
  }

  /** Whether this process holds more than the given share of the limit. */
  public boolean isAbove(double ratio) {
    return used() > processLimit * ratio;
  }

  /** One more socket is open; each must be reported as {@link #closed} once. */
  public void opened() {
    open++;
  }

  public void closed() {
    open--;
  }

  /** Whether one more socket may be opened. */
  public boolean hasCapacity() {
    return open < maxOpen;
  }

  /** Whether half of the spare descriptors are in use as well. */
  public boolean isNearlyExhausted() {
    return open > limit - OWN_DESCRIPTORS - SPARE_DESCRIPTORS / 2;
  }

  /** How many client connections may be kept. Not reduced while another process shares the limit: clients of this one can't be moved there. */
  public int maxClientConnections() {
    return (int) ((processLimit - OWN_DESCRIPTORS - SPARE_DESCRIPTORS) * CLIENT_RATIO);
  }
}
