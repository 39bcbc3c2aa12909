package cloverpulley.processor;

import cloverpulley.engine.Attempt;
import cloverpulley.engine.Exchange;
import cloverpulley.engine.LocalReply;
import java.net.SocketAddress;
import java.util.concurrent.Future;

/**
 * A caller's call: its one attempt is made by the caller, once it has been told where. Lives on the engine's loop, speaks to
 * its stream by posting to the stream's own.
 */
final class CallExchange extends Exchange {

  final RequestParser.Call call;
  final Caller caller;
  private final CallDispatcher calls;
  Attempt attempt;
  Future<?> timeout;
  /** What its quota granted, to be given back once. */
  boolean granted;
  long grant;
  long grantedAt;
  double expectedOctets;
  /** Octets of the answer's body that the caller spoke of; below 0 while there was none. */
  long octets = -1;

  /** The side that the caller sees; each is called once at most, on the engine's loop. */
  interface Caller {

    /** The module has the attempt sent there. */
    void send(CallExchange x, SocketAddress address);

    /** The module has ended the call. */
    void end(LocalReply verdict);

    /** The call can't be taken: the status to answer, what is wrong and the word for it. */
    void bad(int status, String what, String reason);
  }

  CallExchange(RequestInfo info, RequestParser.Call call, Caller caller, CallDispatcher calls) {
    super(info);
    this.call = call;
    this.caller = caller;
    this.calls = calls;
  }

  /** Like which others it is answered: class and partner. */
  String kind() {
    return kind(call);
  }

  static String kind(RequestParser.Call call) {
    return call.type().name() + ' ' + call.tenant();
  }

  @Override
  public String clientRequestId() {
    return call.id();
  }

  @Override
  protected Attempt.CancelHandle startAttempt(Attempt started, SocketAddress address, long timeoutNanos) {
    attempt = started;
    return calls.started(this, address, timeoutNanos);
  }

  @Override
  protected void onRemoved() {
    calls.forgotten(this);
  }

  @Override
  protected void respond(LocalReply verdict) {
    calls.answered(this, verdict);
    caller.end(verdict);
  }
}
