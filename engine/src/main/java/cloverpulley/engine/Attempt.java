package cloverpulley.engine;

/** One sending of a request: started by a front, and ended by it exactly once through {@link Engine#attemptEnded}. */
public final class Attempt {

  private final Exchange exchange;
  private final int number;
  private final long upstream;
  private final long sentAt;
  private final long sendBy;
  /** When the request had come whole, where that was after its sending began; else 0. */
  long wholeAt;
  /** How long its answer took to begin, where it is passed on while it comes; else -1. */
  long begunAfter = -1;
  CancelHandle sending;
  boolean ended;

  /** What a front does to stop waiting for an attempt; it still ends it, as called off or as never sent. */
  public interface CancelHandle {
    void cancel();
  }

  Attempt(Exchange exchange, int number, long upstream, long sentAt, long sendBy) {
    this.sendBy = sendBy;
    this.exchange = exchange;
    this.number = number;
    this.upstream = upstream;
    this.sentAt = sentAt;
  }

  public Exchange exchange() {
    return exchange;
  }

  /** Its place among the request's attempts, from 0, those of earlier calls among them. */
  public int number() {
    return number;
  }

  /** The module's number of the upstream. */
  public long upstream() {
    return upstream;
  }

  /** Clock reading by which its last byte has to have left, or it is not to be sent; 0 for whenever it can. */
  public long sendBy() {
    return sendBy;
  }

  /** Clock reading, in nanoseconds, at which the module had it sent. */
  public long sentAt() {
    return sentAt;
  }
}
