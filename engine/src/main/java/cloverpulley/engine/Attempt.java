package cloverpulley.engine;

/** One attempt to send a request to an upstream. A frontend starts it and ends it exactly once, through {@link Engine#attemptEnded}. */
public final class Attempt {

  private final Exchange exchange;
  private final int number;
  private final long upstream;
  private final long sentAt;
  private final long sendBy;
  /** Clock reading at which the request's body was complete, if that was after this attempt had started; else 0. */
  long bodyEndedAt;
  /** How long the first bytes of its answer's body took to arrive, if that was not complete then; else -1. */
  long answerBeganAfterNanos = -1;
  /** How long its answer took to start, if it is streamed to the client; else -1. */
  long answerStartedAfterNanos = -1;
  CancelHandle cancelHandle;
  boolean ended;
  /** Whether its upstream may have run the request; until it has ended nothing else is known. */
  boolean mayHaveRun = true;

  /** Stops a frontend's attempt; the frontend still reports its end, as cancelled or as not sent. */
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

  /** Whether its upstream may have run the request, or may yet. */
  public boolean mayHaveRun() {
    return mayHaveRun;
  }

  /** Its index among the request's attempts, from 0, counting those of earlier calls. */
  public int number() {
    return number;
  }

  /** The module's number for the upstream. */
  public long upstream() {
    return upstream;
  }

  /** Clock reading by which its last byte must have been written, or it must not be sent; 0 for no limit. */
  public long sendBy() {
    return sendBy;
  }

  /** Clock reading, in nanoseconds, at which the module sent it. */
  public long sentAt() {
    return sentAt;
  }
}
