package cloverpulley.processor;

import cloverpulley.Balancer.Status;
import cloverpulley.Reason;
import cloverpulley.engine.Clock;
import cloverpulley.engine.LocalReply;
import cloverpulley.extproc.EncodedResponse;
import cloverpulley.extproc.ExtProc.HttpBody;
import cloverpulley.extproc.ExtProc.HttpHeaders;
import cloverpulley.extproc.ExtProc.ProcessingMode.BodySendMode;
import cloverpulley.extproc.ExtProc.ProcessingRequest;
import cloverpulley.extproc.ExtProc.ProcessingRequest.RequestCase;
import cloverpulley.extproc.ExtProc.ProtocolConfiguration;
import cloverpulley.incident.Entry;
import cloverpulley.records.Recorder;
import io.grpc.Metadata;
import io.grpc.ServerCall;
import java.net.SocketAddress;
import java.util.Map;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * One ext_proc stream: takes one request through its phases and replies to each message that expects a reply, in order. Used on the event
 * loop of its connection; decisions of the engine are posted to that loop. Requests one message at a time, so that a stream holds at most
 * one message, however much its caller sends.
 */
final class ProcessorStream extends ServerCall.Listener<ProcessingRequest> implements CallExchange.DecisionListener {

  /** The objects that all streams of a processor share. */
  record Shared(ProcessorConfig config, RequestParser requestParser, ResponseFactory responseFactory, ScheduledExecutorService engineLoop,
      CallDispatcher dispatcher, Clock clock, Counts counts, Recorder recorder) {}

  /** The state of a call. */
  private enum State { NEW, AWAITING_DECISION, DESTINATION_SENT, REVALIDATING, ENDED }

  /** Ratio of the message time-out within which the module must decide; after it come the engine's guard and that of the stream's loop. */
  private static final double DECISION_RATIO = 0.7;

  private final Shared shared;
  private final ServerCall<ProcessingRequest, EncodedResponse> call;
  private final StreamLoop streamLoop;
  private State state = State.NEW;
  private ProtocolConfiguration protocol = ProtocolConfiguration.getDefaultInstance();
  private RequestParser.ParsedRequest request;
  /** Set and used on the engine's loop only. */
  private CallExchange exchange;
  private HttpBody pendingBody;
  private boolean grpc;
  private boolean observabilityMode;
  /** Whether the caller has received a destination: from then on the attempt may run. */
  private boolean destinationDelivered;
  private boolean headersSent;
  private boolean halfClosed;
  /** Whether the engine holds this call and has not been notified of its end. */
  private boolean engineHoldsCall;
  private boolean closed;
  /** Back-pressure: the caller reads too slowly, so the next message is requested once the written ones have been flushed. */
  private boolean requestDeferred;
  private boolean decisionRecorded;
  private Status attemptStatus;
  private Map<String, Double> loadReport = Map.of();
  /** Size of the response body: its content length at first, then the bytes seen if the caller sends the body. */
  private long responseBytes;
  private boolean bodyChunkSeen;
  /** When the guard timer is due, by {@code System.nanoTime()}. */
  private long guardDueAt;
  private long lastMessageAt = System.nanoTime();
  private long receivedAt;

  ProcessorStream(Shared shared, ServerCall<ProcessingRequest, EncodedResponse> call, StreamLoop streamLoop) {
    this.shared = shared;
    this.call = call;
    this.streamLoop = streamLoop;
    call.request(1);
  }

  // ---- Messages from the caller --------------------------------------------------------------------------

  @Override
  public void onMessage(ProcessingRequest message) {
    lastMessageAt = System.nanoTime();
    if (closed) {
      return;
    }
    if (state == State.NEW) {
      observabilityMode = message.getObservabilityMode();
      protocol = message.getProtocolConfig();
      if (observabilityMode) {
        shared.counts.observedStreams.increment();
      }
    }
    if (observabilityMode) {
      // The caller expects no reply and selects the upstream itself, so the module is not notified.
      state = State.ENDED;
      requestNext();
    } else {
      handlePhase(message);
    }
  }

  private void handlePhase(ProcessingRequest message) {
    RequestCase phase = message.getRequestCase();
    if (phase == RequestCase.REQUEST_HEADERS) {
      if (state == State.NEW) {
        requestHeaders(message.getRequestHeaders());
      } else {
        protocolError(io.grpc.Status.INVALID_ARGUMENT, "request_headers came twice");
      }
    } else if (phase == RequestCase.REQUEST_NOT_SET) {
      protocolError(io.grpc.Status.UNIMPLEMENTED, "a phase that is not known here");
    } else if (state == State.NEW) {
      // Without the request headers nothing is known of the request and no safe decision is possible.
      protocolError(io.grpc.Status.FAILED_PRECONDITION, "request_headers have to come first: the processing mode must send them");
    } else {
      switch (phase) {
        case REQUEST_BODY -> requestBody(message.getRequestBody());
        case REQUEST_TRAILERS -> reply(ResponseFactory.REQUEST_TRAILERS);
        case RESPONSE_HEADERS -> responseHeaders(message);
        case RESPONSE_BODY -> {
          HttpBody body = message.getResponseBody();
          responseBytes = (bodyChunkSeen ? responseBytes : 0) + body.getBody().size();
          bodyChunkSeen = true;
          reply(ResponseFactory.body(body, false, protocol.getResponseBodyMode()));
          if (body.getEndOfStream()) {
            responseEnded();
          }
        }
        default -> {
          reply(ResponseFactory.RESPONSE_TRAILERS);
          responseEnded();
        }
      }
    }
  }

  private void requestHeaders(HttpHeaders message) {
    shared.counts.calls.increment();
    Headers headers = new Headers(message.getHeaders());
    String contentType = headers.get("content-type");
    grpc = contentType != null && contentType.startsWith("application/grpc");
    RequestParser.Result result = shared.requestParser.parse(headers);
    if (result instanceof RequestParser.InvalidRequest invalid) {
      shared.counts.countLocalReply(Reason.BAD_REQUEST);
      recordDecision(Reason.BAD_REQUEST.code(), Entry.FAILED);
      finish(shared.responseFactory.invalid(invalid.status(), invalid.message(), Reason.BAD_REQUEST.code(), grpc));
      return;
    }
    request = (RequestParser.ParsedRequest) result;
    receivedAt = shared.clock.now();
    awaitDecision(State.AWAITING_DECISION);
    engineHoldsCall = true;
    long answerBy = receivedAt + (long) (shared.config.messageTimeoutNanos() * DECISION_RATIO);
    shared.engineLoop.execute(() -> exchange = shared.dispatcher.acceptCall(request, receivedAt, answerBy, this));
  }

  /** Waits for a decision; the guard timer ensures a reply before the message time-out even if the engine is stalled. */
  private void awaitDecision(State nextState) {
    state = nextState;
    guardDueAt = streamLoop.startGuard(this);
  }

  /** Whether it still awaits the decision whose guard timer is due at {@code dueAt}. */
  boolean awaitsDecision(long dueAt) {
    return guardDueAt == dueAt && !closed && (state == State.AWAITING_DECISION || state == State.REVALIDATING);
  }

  /** The engine has not decided in time and may be stalled: a later decision is ignored. */
  void onGuardTimeout() {
    shared.counts.guardTimeouts.increment();
    recordDecision(Reason.DEADLINE.code(), Entry.FAILED);
    finish(shared.responseFactory.localReply(LocalReply.failed(Reason.DEADLINE), grpc));
    notifyCallerGone();
  }

  private void requestBody(HttpBody body) {
    boolean buffered = protocol.getRequestBodyMode() == BodySendMode.BUFFERED
        || protocol.getRequestBodyMode() == BodySendMode.BUFFERED_PARTIAL;
    if (buffered && state == State.DESTINATION_SENT) {
      // The caller has forwarded nothing yet, and the body may have taken long: the upstream may be draining by now.
      pendingBody = body;
      awaitDecision(State.REVALIDATING);
      long answerBy = shared.clock.now() + (long) (shared.config.messageTimeoutNanos() * DECISION_RATIO);
      shared.engineLoop.execute(() -> revalidateUpstream(answerBy));
    } else {
      reply(ResponseFactory.body(body, true, protocol.getRequestBodyMode()));
    }
  }

  private void revalidateUpstream(long answerBy) {
    if (!shared.dispatcher.isUpstreamReady(exchange)) {
      exchange = shared.dispatcher.reselect(exchange, answerBy);
      return;
    }
    streamLoop.execute(() -> {
      if (state == State.REVALIDATING && !closed) {
        state = State.DESTINATION_SENT;
        reply(ResponseFactory.body(pendingBody, true, protocol.getRequestBodyMode()));
        endIfHalfClosed();
      }
    });
  }

  private void responseHeaders(ProcessingRequest message) {
    HttpHeaders headersMessage = message.getResponseHeaders();
    Headers headers = new Headers(headersMessage.getHeaders());
    Status status = ResponseClassifier.status(headers, message.getAttributesMap());
    reply(ResponseFactory.RESPONSE_HEADERS);
    if (status != null && attemptStatus == null) {
      attemptStatus = status;
      loadReport = ResponseClassifier.loadReport(headers);
      responseBytes = headersMessage.getEndOfStream() ? 0 : ResponseClassifier.contentLength(headers);
      if (headersMessage.getEndOfStream() || protocol.getResponseBodyMode() == BodySendMode.NONE) {
        responseEnded();
      }
    }
  }

  private void responseEnded() {
    if (state == State.DESTINATION_SENT) {
      state = State.ENDED;
      engineHoldsCall = false;
      Status finalStatus = attemptStatus == null ? Status.CANCELLED : attemptStatus;
      Map<String, Double> finalLoadReport = loadReport;
      long finalBytes = attemptStatus == null ? -1 : responseBytes;
      shared.engineLoop.execute(() -> shared.dispatcher.finishAttempt(exchange, finalStatus, finalLoadReport, finalBytes));
    }
  }

  /** The caller sends no more messages: the request is finished there. */
  @Override
  public void onHalfClose() {
    halfClosed = true;
    endIfHalfClosed();
  }

  /** Closes a half-closed stream, but not before an outstanding decision has been sent. */
  private void endIfHalfClosed() {
    if (halfClosed && state != State.AWAITING_DECISION && state != State.REVALIDATING) {
      responseEnded();
      close(io.grpc.Status.OK);
    }
  }

  /** The caller has cancelled the stream, or its connection is lost. */
  @Override
  public void onCancel() {
    streamEnded();
  }

  @Override
  public void onComplete() {
    streamEnded();
  }

  @Override
  public void onReady() {
    if (requestDeferred && !closed) {
      requestDeferred = false;
      call.request(1);
    }
  }

  // ---- Decisions of the engine ---------------------------------------------------------------------------

  @Override
  public void onUpstreamSelected(CallExchange x, SocketAddress address) {
    streamLoop.execute(() -> {
      if (closed || state != State.AWAITING_DECISION && state != State.REVALIDATING) {
        shared.engineLoop.execute(() -> shared.dispatcher.onUndelivered(x));
        return;
      }
      boolean inBody = state == State.REVALIDATING;
      state = State.DESTINATION_SENT;
      destinationDelivered = true;
      recordDecision("served", Entry.SERVED);
      reply(streamLoop.destination(address, inBody, protocol));
      endIfHalfClosed();
    });
  }

  @Override
  public void onLocalReply(LocalReply reply) {
    streamLoop.execute(() -> endCall(shared.responseFactory.localReply(reply, grpc), reply.reason().code(), reply.rejected() ? Entry.REFUSED
        : Entry.FAILED));
  }

  @Override
  public void onInvalid(int status, String message, String reason) {
    streamLoop.execute(() -> endCall(shared.responseFactory.invalid(status, message, reason, grpc), reason, Entry.FAILED));
  }

  /** Ends the call unless it already has a decision: a call gets exactly one, whatever the engine reports later (rule 1). */
  private void endCall(EncodedResponse finalReply, String outcomeCode, int result) {
    engineHoldsCall = false;
    if (state == State.AWAITING_DECISION || state == State.REVALIDATING) {
      recordDecision(outcomeCode, result);
      finish(finalReply);
    }
  }

  // ---- Replies -------------------------------------------------------------------------------------------

  /** Sends an immediate response, the last message of the stream. */
  private void finish(EncodedResponse finalReply) {
    if (!closed) {
      state = State.ENDED;
      write(finalReply);
      close(io.grpc.Status.OK);
    }
  }

  /** Records the first decision on a call: anything after its destination concerns the attempt. */
  private void recordDecision(String outcomeCode, int result) {
    if (decisionRecorded || !shared.recorder.isOn()) {
      return;
    }
    decisionRecorded = true;
    shared.recorder.recordAnswer(0, request == null ? null : request.id(), request == null ? null : request.requestClass().name(),
        request == null ? null : request.tenant(), outcomeCode, result, request == null ? 0 : shared.clock.now() - receivedAt);
  }

  private void reply(EncodedResponse reply) {
    if (!closed) {
      write(reply);
      requestNext();
    }
  }

  /** Sends the stream's headers together with its first message: on their own they would take a packet. */
  private void write(EncodedResponse reply) {
    if (!headersSent) {
      headersSent = true;
      call.sendHeaders(new Metadata());
    }
    call.sendMessage(reply);
  }

  private void requestNext() {
    if (call.isReady()) {
      call.request(1);
    } else {
      requestDeferred = true;
    }
  }

  private void protocolError(io.grpc.Status status, String message) {
    shared.counts.protocolErrors.increment();
    close(status.withDescription(message));
    notifyCallerGone();
  }

  private void close(io.grpc.Status status) {
    if (!closed) {
      closed = true;
      call.close(status, new Metadata());
    }
  }

  // ---- Termination ---------------------------------------------------------------------------------------

  private void streamEnded() {
    if (state == State.AWAITING_DECISION && !closed) {
      recordDecision("gone", Entry.GONE);
    }
    closed = true;
    streamLoop.unregister(this);
    notifyCallerGone();
  }

  /** Notifies the engine that the caller is gone; what that means depends on the state of the call. */
  private void notifyCallerGone() {
    if (!engineHoldsCall) {
      return;
    }
    engineHoldsCall = false;
    boolean delivered = destinationDelivered;
    shared.engineLoop.execute(() -> {
      if (exchange != null) {
        shared.dispatcher.onCallerGone(exchange, delivered);
      }
    });
  }

  /** Closes the stream if it is idle: each stream holds memory, and a caller may open very many. */
  void checkIdle(long now) {
    ProcessorConfig.Limits limits = shared.config.limits();
    boolean noMessageYet = state == State.NEW;
    long maxIdleNanos = TimeUnit.MILLISECONDS.toNanos(noMessageYet ? limits.firstMessageMillis() : limits.streamIdleMillis());
    if (closed || now - lastMessageAt < maxIdleNanos) {
      return;
    }
    if (noMessageYet) {
      protocolError(io.grpc.Status.DEADLINE_EXCEEDED, "nothing came on this stream");
    } else {
      close(io.grpc.Status.OK); // The caller has its decision and proceeds without the processor.
      notifyCallerGone();
    }
  }

  /** Ends the stream at shutdown; an undecided call gets a final reply first. */
  void stop() {
    if (!closed && (state == State.AWAITING_DECISION || state == State.REVALIDATING)) {
      recordDecision(Reason.STOPPING.code(), Entry.FAILED);
      finish(shared.responseFactory.localReply(LocalReply.failed(Reason.STOPPING), grpc));
    } else {
      close(io.grpc.Status.OK);
    }
    notifyCallerGone();
  }
}
