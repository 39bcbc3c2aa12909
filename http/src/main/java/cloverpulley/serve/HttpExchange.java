package cloverpulley.serve;

import cloverpulley.Balancer.Effect;
import cloverpulley.Balancer.Status;
import cloverpulley.engine.Attempt;
import cloverpulley.engine.Engine;
import cloverpulley.engine.Exchange;
import cloverpulley.engine.LoadReport;
import cloverpulley.engine.LocalReply;
import cloverpulley.handover.RequestIdClaims;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.AsciiString;
import java.net.SocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/** A client request over HTTP: forwards it to upstreams through the pool and returns the response to the client. */
final class HttpExchange extends Exchange {

  /** Headers that apply to a single connection and are not forwarded. */
  private static final List<AsciiString> HOP_BY_HOP = List.of(HttpHeaderNames.CONNECTION,
      AsciiString.cached("keep-alive"), AsciiString.cached("proxy-connection"), HttpHeaderNames.TE,
      HttpHeaderNames.TRAILER, HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderNames.UPGRADE, HttpHeaderNames.EXPECT);

  /** Sends the final response to the client; a no-op if the client is gone. The caller keeps ownership of the content. */
  interface ClientResponder {
    /** Checks whether the client is still connected. */
    ClientPresence clientPresence();

    void sendResponse(HttpResponseStatus status, long retryAfterNanos, CharSequence contentType, ByteBuf content);

    /** Begins a streamed final response; {@code length} is -1 if unknown, {@code writable} runs when the client can receive more. */
    ResponseStream beginStream(CharSequence contentType, long length, Runnable writable);
  }

  /** The client's side of a streamed response. */
  interface ResponseStream {
    boolean isWritable();

    /** Writes a part of the body and takes ownership of it; {@code onWritten} runs once it is written or can't be. */
    void write(ByteBuf content, Runnable onWritten);

    void end();

    /** Closes the connection of a response that can't be completed, so that the client notices. */
    void abort();
  }

  /** Collaborators shared by all exchanges of a frontend. */
  record Context(Engine engine, UpstreamPool pool, boolean loadReports) {

    /** The load report of a response; empty without one. */
    Map<String, Double> loadReport(FullHttpResponse response) {
      return loadReports && response != null ? LoadReport.parse(response.headers().get(LoadReport.HEADER)) : Map.of();
    }
  }

  private final Context context;
  /** Null once it has ended: an attempt in flight may outlast it for long, and needs the request no more. */
  private FullHttpRequest request;
  private final ClientResponder responder;
  private final RequestIdClaims.Claim idClaim;
  /** The part of the body not received yet when the request is accepted; null if there is none. */
  private final BodyStream bodyStream;
  /** How long the client still waits, while its body is being read; null for a request that was received completely. */
  private final LongSupplier clientRemaining;
  private final List<Call> calls = new ArrayList<>(1);
  private Call currentCall;
  /** Attempts at upstreams whose process may have been replaced: in which deduplication group they ran is not known. */
  private final Set<Attempt> sentToUncertain = new HashSet<>(1);
  private ResponseStream responseStream;

  /**
   * Takes ownership of the request; {@code clientRemaining} tells how long the client still waits while its body is being read; {@code idClaim} is
   * released once the engine has removed the exchange.
   */
  HttpExchange(RequestInfo info, Context context, FullHttpRequest request, LongSupplier clientRemaining, ClientResponder responder, RequestIdClaims.Claim idClaim) {
    super(info);
    bodyStream = request instanceof StreamedRequest s ? s.bodyStream : null;
    this.clientRemaining = clientRemaining;
    this.context = context;
    this.request = request;
    this.responder = responder;
    this.idClaim = idClaim;
  }

  @Override
  protected Attempt.CancelHandle startAttempt(Attempt attempt, SocketAddress address, long timeoutNanos) {
    if (!checkClientConnected() || !isSafeAt(attempt)) {
      context.engine.attemptEnded(attempt, Status.NOT_SENT, Map.of(), () -> { });
      return () -> { };
    }
    if (bodyStream != null && (bodyStream.isConsumed() || currentCall != null && !currentCall.isDone())) {
      // The beginning of the body is discarded or in use by another attempt, so the request can't be sent a second time.
      context.engine.attemptEnded(attempt, Status.NOT_SENT, Map.of(), () -> { });
      return () -> { };
    }
    AttemptResponse handler = new AttemptResponse(attempt);
    long sendWithinNanos = attempt.sendBy() > 0 ? attempt.sendBy() - attempt.sentAt() : 0;
    Call call = new Call(attempt.upstream(), handler::completed, handler, bodyStream, clientRemaining, sendWithinNanos);
    handler.call = call;
    currentCall = call;
    calls.add(call);
    context.pool.start(call, address, upstreamRequest(bodyStream == null ? timeoutNanos : Math.min(timeoutNanos, clientRemaining.getAsLong())), timeoutNanos);
    return () -> context.pool.cancel(call);
  }

  /**
   * Checks whether the client still waits, so that no abandoned request is forwarded. If it is gone, the engine is notified of that before the
   * attempt ends; if that can't be told, the attempt is not sent.
   */
  private boolean checkClientConnected() {
    ClientPresence presence = isEnded() ? ClientPresence.GONE : responder.clientPresence();
    if (!isEnded() && presence == ClientPresence.GONE) {
      context.engine.clientGone(this);
    }
    return !isEnded() && presence == ClientPresence.CONNECTED;
  }

  /** A keyed request may be repeated only in its deduplication group, to which a process that has replaced another may not belong. */
  private boolean isSafeAt(Attempt attempt) {
    boolean uncertain = context.pool.mayBeReplaced(attempt.upstream());
    if (uncertain) {
      sentToUncertain.add(attempt);
    }
    return info().requestClass().effect() == Effect.SAFE || !isRepeat(attempt)
        || !uncertain && sentToUncertain.stream().noneMatch(earlier -> earlier != attempt && earlier.mayHaveRun());
  }

  /** The request body is complete: a pending attempt may wait for a response for {@code remainingNanos} from now. */
  void bodyEnded(long deadline, long remainingNanos) {
    context.engine.bodyEnded(this, deadline);
    if (currentCall != null && responseStream == null) {
      context.pool.updateTimeout(currentCall, remainingNanos);
    }
  }

  /** Handles the response to one attempt. */
  private final class AttemptResponse implements Call.ResponseConsumer {
    private final Attempt attempt;
    private Call call;
    private boolean streaming;

    AttemptResponse(Attempt attempt) {
      this.attempt = attempt;
    }

    @Override
    public boolean isWanted() {
      return checkClientConnected() && isSafeAt(attempt);
    }

    @Override
    public void responseBegan() {
      context.engine.answerBegan(attempt);
    }

    @Override
    public void responseStalled() {
      context.engine.answerStalled(attempt);
    }

    @Override
    public boolean deadlineExtended(long nanos) {
      return context.engine.extendDeadline(attempt, nanos);
    }

    @Override
    public boolean responseStarted(HttpResponse head) {
      if (!context.engine.answerStarted(attempt)) {
        return false;
      }
      streaming = true;
      calls.stream().filter(other -> other != call).forEach(Call::discardResponse);
      responseStream = responder.beginStream(head.headers().get(HttpHeaderNames.CONTENT_TYPE), HttpUtil.getContentLength(head, -1L), call::resume);
      return true;
    }

    @Override
    public boolean bodyReceived(ByteBuf content, Runnable onWritten) {
      responseStream.write(content, onWritten);
      return responseStream.isWritable();
    }

    private void endStream(Status status) {
      if (status == Status.SERVED) {
        responseStream.end();
      } else {
        responseStream.abort();
      }
    }

    private void completed(Status status, FullHttpResponse response) {
      if (streaming) {
        if (!isEnded()) {
          endStream(status);
        }
        context.engine.attemptEnded(attempt, status, Map.of(), HttpExchange.this::end);
        return;
      }
      FullHttpResponse served = status == Status.SERVED ? response.retain() : null;
      context.engine.attemptEnded(attempt, status, context.loadReport(response), () -> {
        if (served != null) {
          if (!isEnded() && !isStreaming()) {
            end();
            responder.sendResponse(HttpResponseStatus.OK, 0, served.headers().get(HttpHeaderNames.CONTENT_TYPE), served.content());
          }
          served.release();
        }
      });
    }
  }

  @Override
  protected void respond(LocalReply reply) {
    if (responseStream != null) {
      responseStream.abort(); // A response has begun; it can't be replaced by an error.
      return;
    }
    HttpResponseStatus status = reply.rejected() ? HttpResponseStatus.TOO_MANY_REQUESTS : switch (reply.reason()) {
      case DEADLINE -> HttpResponseStatus.GATEWAY_TIMEOUT;
      case STOPPING -> HttpResponseStatus.INTERNAL_SERVER_ERROR;
      default -> HttpResponseStatus.BAD_GATEWAY;
    };
    responder.sendResponse(status, reply.retryAfterNanos(), null, Unpooled.EMPTY_BUFFER);
  }

  @Override
  protected void onEnded() {
    request.release();
    request = null;
    calls.forEach(Call::discardResponse); // Attempts that may not be cancelled go on; without a client nothing resumes their responses.
    if (bodyStream != null) {
      bodyStream.discard();
      calls.forEach(context.pool::cancelUnwritten); // The rest of the body will not follow, so the upstream can't run the request.
    }
  }

  @Override
  protected void onRemoved() {
    if (mayHaveRun() && info().requestClass().effect() != Effect.SAFE) {
      idClaim.useUp(); // Its effect must not come about again, whoever sends the id.
    } else {
      idClaim.release();
    }
  }

  /** The request as it is forwarded to an upstream. */
  private FullHttpRequest upstreamRequest(long timeoutNanos) {
    HttpHeaders headers = new DefaultHttpHeaders().set(request.headers());
    for (String connectionHeader : request.headers().getAll(HttpHeaderNames.CONNECTION)) {
      for (String name : connectionHeader.split(",")) {
        headers.remove(name.trim());
      }
    }
    HOP_BY_HOP.forEach(headers::remove);
    headers.set(RequestHeaders.EXPIRES, Math.max(1, TimeUnit.NANOSECONDS.toMillis(timeoutNanos)));
    if (bodyStream != null && !headers.contains(HttpHeaderNames.CONTENT_LENGTH)) {
      headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
    } else if (bodyStream == null && request.content().isReadable()) {
      headers.set(HttpHeaderNames.CONTENT_LENGTH, request.content().readableBytes());
    }
    return new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, request.method(), request.uri(),
        request.content().retainedDuplicate(), headers, EmptyHttpHeaders.INSTANCE);
  }
}
