package cloverpulley.engine;

/** Counts the open sockets against what the process may hold. */
public final class SocketBudget {

  /** Descriptors of the process itself: jar, standard streams, selector, listeners, discovery before and after a move. */
  private static final int OWN = 24;
  /**
   * Kept free: up to 16 connections are accepted before any is closed for them, and a closed one keeps its descriptor until
   * the next look at all sockets. Without one the acceptor would rest for a second.
   */
  private static final int SPARE = 32;
  /** The part of the rest that clients may hold while others could go: each request needs one more to an upstream. */
  private static final double CLIENT_PART = 0.5;

  private final int all;
  private int limit;
  private int most;
  private volatile int open;

  public SocketBudget(int limit) {
    all = limit;
    setUsedElsewhere(0);
  }

  /** Another process that shares the limit holds so many; 0 for none. */
  public void setUsedElsewhere(int descriptors) {
    limit = all - descriptors;
    most = limit - OWN - SPARE;
  }

  /** What this process holds, its own beside sockets included. May be asked from any thread. */
  public int used() {
    return open + OWN;
  }

  /** Whether another process shares the limit. */
  public boolean isShared() {
    return limit < all;
  }

  /** Whether it holds more than so much of all. */
  public boolean isAbove(double part) {
    return used() > all * part;
  }

  /** One more is open; each is to be told closed once. */
  public void opened() {
    open++;
  }

  public void closed() {
    open--;
  }

  /** Whether one more may be opened. */
  public boolean hasCapacity() {
    return open < most;
  }

  /** Whether the spare ones are nearly gone as well. */
  public boolean isNearlyExhausted() {
    return open > limit - OWN - SPARE / 2;
  }

  /** How many connections of clients may be kept. */
  public int maxClientConnections() {
    return (int) ((all - OWN - SPARE) * CLIENT_PART); // Also beside another process: who comes here could not be moved there.
  }
}
