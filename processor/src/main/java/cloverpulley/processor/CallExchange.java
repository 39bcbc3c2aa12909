package cloverpulley.processor;

import cloverpulley.engine.Attempt;
import cloverpulley.engine.Exchange;
import cloverpulley.engine.LocalReply;
import java.net.SocketAddress;
import java.util.concurrent.Future;

/**
 * The exchange of one call. The proxy makes its only attempt, once it has received the destination. Used on the engine's loop only;
 * the listener posts to the event loop of its stream.
 */
final class CallExchange extends Exchange {

  final RequestParser.ParsedRequest request;
  final DecisionListener listener;
  private final CallDispatcher dispatcher;
  Attempt attempt;
  Future<?> timeout;
  /** Whether it holds a quota grant, which is released exactly once. */
  boolean quotaGranted;
  long quotaGrant;
  long quotaGrantedAt;
  double expectedResponseBytes;
  /** Size of the response body as seen or announced by the proxy; below 0 if there was no response. */
  long responseBytes = -1;

  /** Receives the decision on a call. Each method is called at most once, on the engine's loop. */
  interface DecisionListener {

    /** The module selected an upstream for the attempt. */
    void onUpstreamSelected(CallExchange x, SocketAddress address);

    /** The call ends with a reply of the balancer's own. */
    void onLocalReply(LocalReply reply);

    /** The call can't be accepted: the HTTP status, an error message and the reason code to reply with. */
    void onInvalid(int status, String message, String reason);
  }

  CallExchange(RequestInfo info, RequestParser.ParsedRequest request, DecisionListener listener, CallDispatcher dispatcher) {
    super(info);
    this.request = request;
    this.listener = listener;
    this.dispatcher = dispatcher;
  }

  /** The key by which response sizes are estimated for quotas: class and tenant. */
  String responseSizeKey() {
    return responseSizeKey(request);
  }

  static String responseSizeKey(RequestParser.ParsedRequest request) {
    return request.requestClass().name() + ' ' + request.tenant();
  }

  @Override
  public String clientRequestId() {
    return request.id();
  }

  @Override
  protected Attempt.CancelHandle startAttempt(Attempt newAttempt, SocketAddress address, long timeoutNanos) {
    attempt = newAttempt;
    return dispatcher.onAttemptStarted(this, address, timeoutNanos);
  }

  @Override
  protected void onRemoved() {
    dispatcher.settleQuota(this);
  }

  @Override
  protected void respond(LocalReply reply) {
    dispatcher.recordLocalReply(this, reply);
    listener.onLocalReply(reply);
  }
}
