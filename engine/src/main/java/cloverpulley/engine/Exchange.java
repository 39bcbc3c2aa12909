package cloverpulley.engine;

import cloverpulley.Balancer.PriorAttempt;
import cloverpulley.Balancer.RequestClass;
import java.net.SocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Future;

/**
 * A pending request, from when a frontend accepts it until it is answered and its last attempt has ended. Each frontend has its own
 * subclass, which starts attempts and sends the final answer. Used on the engine's loop only.
 */
public abstract class Exchange {

  /**
   * The properties of a request that the module decides by.
   *
   * @param tenant null for none
   * @param key null for none
   * @param hintNanos estimate of the work; 0 for none
   * @param retry whether the client marked the request as a retry
   * @param deadline clock reading at which an answer is of no more use
   * @param answerBy clock reading by which the module must have forwarded or ended it; 0 if only the deadline applies
   * @param priorAttempts attempts made by earlier calls for the same request, oldest first
   * @param bodyBytes length of the body, or the most that it may have; 0 if an upstream gets it in no time
   */
  public record RequestInfo(RequestClass requestClass, String tenant, String key, long hintNanos, boolean retry, long deadline,
      long answerBy, List<PriorAttempt> priorAttempts, long bodyBytes) {

    /** A request without a body. */
    public RequestInfo(RequestClass requestClass, String tenant, String key, long hintNanos, boolean retry, long deadline, long answerBy,
        List<PriorAttempt> priorAttempts) {
      this(requestClass, tenant, key, hintNanos, retry, deadline, answerBy, priorAttempts, 0);
    }
  }

  private final RequestInfo info;
  final List<Attempt> attempts = new ArrayList<>(1);
  String id;
  long number;
  /** Whether its end has been reported to the engine's listener. */
  boolean endReported;
  Future<?> deadlineTimer;
  int outstanding;
  /** From the settings in force when it was accepted. */
  int maxAttempts;
  /** Clock reading at which an answer is of no more use; replaced once a body that is still arriving is complete. */
  long deadline;
  /** The attempt whose answer is being streamed to the client; null for none. */
  Attempt streamingAttempt;
  private boolean ended;

  protected Exchange(RequestInfo info) {
    this.info = info;
    deadline = info.deadline();
  }

  /** Whether an answer is being streamed to the client: no other can follow. */
  public final boolean isStreaming() {
    return streamingAttempt != null;
  }

  public final RequestInfo info() {
    return info;
  }

  /** Its id within the engine; null before it is accepted. */
  public final String id() {
    return id;
  }

  /** Its number within the engine, from 1, by which records refer to it; 0 before it is accepted. */
  public final long number() {
    return number;
  }

  /** The id that the client gave the request; null if it gave none. */
  public String clientRequestId() {
    return null;
  }

  /** Whether an upstream may have run it, or may yet. */
  public final boolean mayHaveRun() {
    return attempts.stream().anyMatch(a -> a.mayHaveRun);
  }

  /** Whether an attempt repeats work that an earlier attempt, or another one in flight, may have done. */
  public final boolean isRepeat(Attempt attempt) {
    return attempts.stream().anyMatch(a -> a != attempt && a.mayHaveRun) || info.priorAttempts().stream().anyMatch(PriorAttempt::mayHaveRun);
  }

  /** Whether it has its final answer or the client has disconnected. */
  public final boolean isEnded() {
    return ended;
  }

  /** Marks it as ended: the final answer has been sent, or nobody waits for one. Resources kept for sending are released. */
  public final void end() {
    if (!ended) {
      ended = true;
      if (deadlineTimer != null) {
        deadlineTimer.cancel(false);
      }
      onEnded();
    }
  }

  /**
   * Starts an attempt. Its end is reported once, through {@link Engine#attemptEnded}, which may be called from within this method.
   *
   * @param timeoutNanos how long to wait for its end, including the time to connect
   */
  protected abstract Attempt.CancelHandle startAttempt(Attempt attempt, SocketAddress address, long timeoutNanos);

  /** Sends the client a final answer of the balancer's own; called at most once, and not if the frontend has ended the request itself. */
  protected abstract void respond(LocalReply reply);

  /** Called when it ends: nothing will be sent for it any more. */
  protected void onEnded() {}

  /** Called when the engine drops it: its last attempt has ended as well. */
  protected void onRemoved() {}
}
