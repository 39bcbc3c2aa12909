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
 * One stream of a caller: one request through its phases, and one reply to each message that wants one, in order. Lives on
 * the loop of its connection; what the engine says comes by a post to that loop. One message at a time is asked for, so that
 * a stream holds no more than one, however much its caller sends.
 */
final class ProcessorStream extends ServerCall.Listener<ProcessingRequest> implements CallExchange.Caller {

  /** What all streams of a processor share. */
  record Shared(ProcessorConfig config, RequestParser mapping, ResponseFactory replies, ScheduledExecutorService engineLoop, CallDispatcher calls,
      Clock clock, Counts counts, Recorder recorder) {}

  /** Where a call stands. */
  private enum State { NEW, ASKED, SENT, RECHECKING, ENDED }

  /** The part of the message time-out in which the module has to have decided; then comes the engine's guard, then the loop's. */
  private static final double DECIDE_PART = 0.7;

  private final Shared shared;
  private final ServerCall<ProcessingRequest, EncodedResponse> call;
  private final StreamLoop loop;
  private State state = State.NEW;
  private ProtocolConfiguration protocol = ProtocolConfiguration.getDefaultInstance();
  private RequestParser.Call request;
  /** Set on the engine's loop and used there only. */
  private CallExchange exchange;
  private HttpBody rechecked;
  private boolean grpc;
  private boolean observing;
  /** The caller has been told a destination: from here on the attempt may run. */
  private boolean told;
  private boolean begun;
  private boolean halfClosed;
  /** The engine holds something for this stream, and has not been told that it is over. */
  private boolean held;
  private boolean closed;
  /** The caller reads too slowly: nothing more is asked for until what was written has gone. */
  private boolean owesRequest;
  private boolean verdictRecorded;
  private Status outcome;
  private Map<String, Double> load = Map.of();
  /** Octets of the answer's body: as its head states them, then as they are seen where pieces of it come here. */
  private long octets;
  private boolean pieces;
  /** When the guard is due, {@code System.nanoTime()}. */
  private long guardAt;
  private long heardAt = System.nanoTime();
  private long receivedAt;

  ProcessorStream(Shared shared, ServerCall<ProcessingRequest, EncodedResponse> call, StreamLoop loop) {
    this.shared = shared;
    this.call = call;
    this.loop = loop;
    call.request(1);
  }

  // ---- What the caller sends -----------------------------------------------------------------------------

  @Override
  public void onMessage(ProcessingRequest message) {
    heardAt = System.nanoTime();
    if (closed) {
      return;
    }
    if (state == State.NEW) {
      observing = message.getObservabilityMode();
      protocol = message.getProtocolConfig();
      if (observing) {
        shared.counts.observed.increment();
      }
    }
    if (observing) {
      // Nobody waits for a reply, and what a caller only shows it sends where it likes: the module is not told.
      state = State.ENDED;
      askForMore();
    } else {
      take(message);
    }
  }

  private void take(ProcessingRequest message) {
    RequestCase phase = message.getRequestCase();
    if (phase == RequestCase.REQUEST_HEADERS) {
      if (state == State.NEW) {
        requestHeaders(message.getRequestHeaders());
      } else {
        broken(io.grpc.Status.INVALID_ARGUMENT, "request_headers came twice");
      }
    } else if (phase == RequestCase.REQUEST_NOT_SET) {
      broken(io.grpc.Status.UNIMPLEMENTED, "a phase that is not known here");
    } else if (state == State.NEW) {
      // Guards the rules: without the request's headers nothing is known of it, and nothing can be decided.
      broken(io.grpc.Status.FAILED_PRECONDITION, "request_headers have to come first: the processing mode must send them");
    } else {
      switch (phase) {
        case REQUEST_BODY -> requestBody(message.getRequestBody());
        case REQUEST_TRAILERS -> reply(ResponseFactory.REQUEST_TRAILERS);
        case RESPONSE_HEADERS -> responseHeaders(message);
        case RESPONSE_BODY -> {
          HttpBody body = message.getResponseBody();
          octets = (pieces ? octets : 0) + body.getBody().size();
          pieces = true;
          reply(ResponseFactory.body(body, false, protocol.getResponseBodyMode()));
          if (body.getEndOfStream()) {
            answerEnded();
          }
        }
        default -> {
          reply(ResponseFactory.RESPONSE_TRAILERS);
          answerEnded();
        }
      }
    }
  }

  private void requestHeaders(HttpHeaders message) {
    shared.counts.calls.increment();
    Headers headers = new Headers(message.getHeaders());
    String type = headers.get("content-type");
    grpc = type != null && type.startsWith("application/grpc");
    RequestParser.Read read = shared.mapping.read(headers);
    if (read instanceof RequestParser.Bad bad) {
      shared.counts.count(Reason.BAD_REQUEST);
      answered(Reason.BAD_REQUEST.code(), Entry.FAILED);
      finish(shared.replies.bad(bad.status(), bad.what(), Reason.BAD_REQUEST.code(), grpc));
      return;
    }
    request = (RequestParser.Call) read;
    receivedAt = shared.clock.now();
    guarded(State.ASKED);
    held = true;
    long answerBy = receivedAt + (long) (shared.config.messageTimeoutNanos() * DECIDE_PART);
    shared.engineLoop.execute(() -> exchange = shared.calls.take(request, receivedAt, answerBy, this));
  }

  /** A verdict is awaited, and there before the message time-out whatever the engine does. */
  private void guarded(State awaiting) {
    state = awaiting;
    guardAt = loop.guard(this);
  }

  /** Whether it still awaits the verdict whose guard is due then. */
  boolean awaits(long dueAt) {
    return guardAt == dueAt && !closed && (state == State.ASKED || state == State.RECHECKING);
  }

  /** The engine has no verdict in time: it may be stalled, and what it says later is not used. */
  void overdue() {
    shared.counts.guarded.increment();
    answered(Reason.DEADLINE.code(), Entry.FAILED);
    finish(shared.replies.end(LocalReply.failed(Reason.DEADLINE), grpc));
    hangUp();
  }

  private void requestBody(HttpBody body) {
    boolean held = protocol.getRequestBodyMode() == BodySendMode.BUFFERED
        || protocol.getRequestBodyMode() == BodySendMode.BUFFERED_PARTIAL;
    if (held && state == State.SENT) {
      // The caller has sent nothing on yet, however long the body took: the destination may have been drained since.
      rechecked = body;
      guarded(State.RECHECKING);
      long answerBy = shared.clock.now() + (long) (shared.config.messageTimeoutNanos() * DECIDE_PART);
      shared.engineLoop.execute(() -> recheck(answerBy));
    } else {
      reply(ResponseFactory.body(body, true, protocol.getRequestBodyMode()));
    }
  }

  private void recheck(long answerBy) {
    if (!shared.calls.stillStands(exchange)) {
      exchange = shared.calls.takeAgain(exchange, answerBy);
      return;
    }
    loop.execute(() -> {
      if (state == State.RECHECKING && !closed) {
        state = State.SENT;
        reply(ResponseFactory.body(rechecked, true, protocol.getRequestBodyMode()));
        endIfHalfClosed();
      }
    });
  }

  private void responseHeaders(ProcessingRequest message) {
    HttpHeaders head = message.getResponseHeaders();
    Headers headers = new Headers(head.getHeaders());
    Status status = ResponseClassifier.status(headers, message.getAttributesMap());
    reply(ResponseFactory.RESPONSE_HEADERS);
    if (status != null && outcome == null) {
      outcome = status;
      load = ResponseClassifier.load(headers);
      octets = head.getEndOfStream() ? 0 : ResponseClassifier.octets(headers);
      if (head.getEndOfStream() || protocol.getResponseBodyMode() == BodySendMode.NONE) {
        answerEnded();
      }
    }
  }

  private void answerEnded() {
    if (state == State.SENT) {
      state = State.ENDED;
      held = false;
      Status ended = outcome == null ? Status.CANCELLED : outcome;
      Map<String, Double> report = load;
      long body = outcome == null ? -1 : octets;
      shared.engineLoop.execute(() -> shared.calls.ended(exchange, ended, report, body));
    }
  }

  /** The caller has said all: the request is over there. */
  @Override
  public void onHalfClose() {
    halfClosed = true;
    endIfHalfClosed();
  }

  /** What a caller that says nothing more is still owed is its verdict. */
  private void endIfHalfClosed() {
    if (halfClosed && state != State.ASKED && state != State.RECHECKING) {
      answerEnded();
      close(io.grpc.Status.OK);
    }
  }

  /** The caller has hung up, or its connection broke. */
  @Override
  public void onCancel() {
    over();
  }

  @Override
  public void onComplete() {
    over();
  }

  @Override
  public void onReady() {
    if (owesRequest && !closed) {
      owesRequest = false;
      call.request(1);
    }
  }

  // ---- What the engine says ------------------------------------------------------------------------------

  @Override
  public void send(CallExchange x, SocketAddress address) {
    loop.execute(() -> {
      if (closed || state != State.ASKED && state != State.RECHECKING) {
        shared.engineLoop.execute(() -> shared.calls.undelivered(x));
        return;
      }
      boolean inBody = state == State.RECHECKING;
      state = State.SENT;
      told = true;
      answered("served", Entry.SERVED);
      reply(loop.send(address, inBody, protocol));
      endIfHalfClosed();
    });
  }

  @Override
  public void end(LocalReply verdict) {
    loop.execute(() -> endedBy(shared.replies.end(verdict, grpc), verdict.reason().code(), verdict.rejected() ? Entry.REFUSED
        : Entry.FAILED));
  }

  @Override
  public void bad(int status, String what, String reason) {
    loop.execute(() -> endedBy(shared.replies.bad(status, what, reason, grpc), reason, Entry.FAILED));
  }

  /** Guards rule 1: a call that has its verdict gets no second one, whatever the engine comes to say of it. */
  private void endedBy(EncodedResponse last, String word, int kind) {
    held = false;
    if (state == State.ASKED || state == State.RECHECKING) {
      answered(word, kind);
      finish(last);
    }
  }

  // ---- Replies -------------------------------------------------------------------------------------------

  /** An answer in the upstream's place: the last word on the stream. */
  private void finish(EncodedResponse last) {
    if (!closed) {
      state = State.ENDED;
      write(last);
      close(io.grpc.Status.OK);
    }
  }

  /** Records the verdict, the first one of a call: what is said of it after its destination is the attempt's. */
  private void answered(String word, int kind) {
    if (verdictRecorded || !shared.recorder.isOn()) {
      return;
    }
    verdictRecorded = true;
    shared.recorder.recordAnswer(0, request == null ? null : request.id(), request == null ? null : request.type().name(),
        request == null ? null : request.tenant(), word, kind, request == null ? 0 : shared.clock.now() - receivedAt);
  }

  private void reply(EncodedResponse reply) {
    if (!closed) {
      write(reply);
      askForMore();
    }
  }

  /** The stream's own headers leave with its first message: by themselves they would cost a packet of their own. */
  private void write(EncodedResponse reply) {
    if (!begun) {
      begun = true;
      call.sendHeaders(new Metadata());
    }
    call.sendMessage(reply);
  }

  private void askForMore() {
    if (call.isReady()) {
      call.request(1);
    } else {
      owesRequest = true;
    }
  }

  private void broken(io.grpc.Status status, String what) {
    shared.counts.broken.increment();
    close(status.withDescription(what));
    hangUp();
  }

  private void close(io.grpc.Status status) {
    if (!closed) {
      closed = true;
      call.close(status, new Metadata());
    }
  }

  // ---- Ends ----------------------------------------------------------------------------------------------

  private void over() {
    if (state == State.ASKED && !closed) {
      answered("gone", Entry.GONE);
    }
    closed = true;
    loop.left(this);
    hangUp();
  }

  /** Tells the engine that nobody is there any more; it knows what that means for the call. */
  private void hangUp() {
    if (!held) {
      return;
    }
    held = false;
    boolean maySend = told;
    shared.engineLoop.execute(() -> {
      if (exchange != null) {
        shared.calls.gone(exchange, maySend);
      }
    });
  }

  /** Guards against streams that say nothing: a stream holds memory, and a caller may open very many. */
  void checkSilence(long now) {
    ProcessorConfig.Limits limits = shared.config.limits();
    boolean fresh = state == State.NEW;
    long most = TimeUnit.MILLISECONDS.toNanos(fresh ? limits.firstMessageMillis() : limits.streamIdleMillis());
    if (closed || now - heardAt < most) {
      return;
    }
    if (fresh) {
      broken(io.grpc.Status.DEADLINE_EXCEEDED, "nothing came on this stream");
    } else {
      close(io.grpc.Status.OK); // The caller goes on without us: its verdict has been given.
      hangUp();
    }
  }

  /** The processor ends: a call that has its verdict is let go, one that has none gets it. */
  void stop() {
    if (!closed && (state == State.ASKED || state == State.RECHECKING)) {
      answered(Reason.STOPPING.code(), Entry.FAILED);
      finish(shared.replies.end(LocalReply.failed(Reason.STOPPING), grpc));
    } else {
      close(io.grpc.Status.OK);
    }
    hangUp();
  }
}
