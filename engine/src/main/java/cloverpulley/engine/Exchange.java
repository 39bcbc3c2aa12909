package cloverpulley.engine;

import cloverpulley.Balancer.PriorAttempt;
import cloverpulley.Balancer.RequestClass;
import java.net.SocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Future;

/**
 * A request in hand, from when a front takes it until it is answered and its last attempt has ended. Each front brings its
 * own kind, which knows how to start an attempt and how to give the final answer. All of it runs on the engine's loop.
 */
public abstract class Exchange {

  /**
   * What the module is told of a request.
   *
   * @param tenant null for none
   * @param key null for none
   * @param hintNanos a guess at the work; 0 for none
   * @param retry whether the client says that it asked before
   * @param deadline clock reading at which an answer is of no more use
   * @param answerBy clock reading by which the module has to have sent it on or ended it; 0 for the deadline alone
   * @param priorAttempts attempts of earlier calls for the same request, the oldest first
   */
  public record RequestInfo(RequestClass requestClass, String tenant, String key, long hintNanos, boolean retry, long deadline,
      long answerBy, List<PriorAttempt> priorAttempts) {}

  private final RequestInfo info;
  final List<Attempt> attempts = new ArrayList<>(1);
  String id;
  long number;
  /** Whether its end has been told to the engine's witness. */
  boolean told;
  Future<?> guard;
  int outstanding;
  /** As the settings had it when it was taken. */
  int maxAttempts;
  /** Clock reading at which an answer is of no more use; that of the request info until the body has come whole. */
  long deadline;
  /** The attempt whose answer is passed on while it comes; null for none. */
  Attempt passing;
  private boolean ended;

  protected Exchange(RequestInfo info) {
    this.info = info;
    deadline = info.deadline();
  }

  /** Whether an answer is passed on while it comes: there will be no other. */
  public final boolean isStreaming() {
    return passing != null;
  }

  public final RequestInfo info() {
    return info;
  }

  /** The engine's name for it, in records; null before it is taken. */
  public final String id() {
    return id;
  }

  /** The engine's number for it, from 1; 0 before it is taken. */
  public final long number() {
    return number;
  }

  /** What its caller calls it; null where it names none. */
  public String clientRequestId() {
    return null;
  }

  /** Whether it has its final answer, or the client has gone. */
  public final boolean isEnded() {
    return ended;
  }

  /** Marks it as ended: the final answer is given, or nobody waits for one. What it kept for sending may be let go. */
  public final void end() {
    if (!ended) {
      ended = true;
      if (guard != null) {
        guard.cancel(false);
      }
      onEnded();
    }
  }

  /**
   * Starts an attempt. Whatever becomes of it is told once through {@link Engine#attemptEnded}, which may be called from in
   * here.
   *
   * @param timeoutNanos how long to wait for its end, connecting included
   */
  protected abstract Attempt.CancelHandle startAttempt(Attempt attempt, SocketAddress address, long timeoutNanos);

  /** Gives the final answer to the client; called once, and never after {@link #end}. */
  protected abstract void respond(LocalReply verdict);

  /** It has ended: nothing will be sent for it any more. */
  protected void onEnded() {}

  /** Nothing is left of it in the engine: its last attempt has ended as well. */
  protected void onRemoved() {}
}
