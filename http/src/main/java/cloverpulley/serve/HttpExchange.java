package cloverpulley.serve;

import cloverpulley.Balancer.Status;
import cloverpulley.engine.Attempt;
import cloverpulley.engine.Engine;
import cloverpulley.engine.Exchange;
import cloverpulley.engine.LoadReport;
import cloverpulley.engine.LocalReply;
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
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** A client's request over HTTP: goes on to upstreams through the pool, and its answer back to where it came from. */
final class HttpExchange extends Exchange {

  /** Headers that speak of one connection, not of the request. */
  private static final List<AsciiString> HOP_BY_HOP = List.of(HttpHeaderNames.CONNECTION,
      AsciiString.cached("keep-alive"), AsciiString.cached("proxy-connection"), HttpHeaderNames.TE,
      HttpHeaderNames.TRAILER, HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderNames.UPGRADE, HttpHeaderNames.EXPECT);

  /** Gives the one final answer to the client; a no-op where the client is gone. The content stays the caller's. */
  interface ClientResponder {
    /** Whether the client is still there, as far as its connection tells now. */
    boolean isClientConnected();

    void sendResponse(HttpResponseStatus status, long retryAfterNanos, CharSequence contentType, ByteBuf content);

    /** Begins the final answer, which is passed on while it comes; {@code length} is -1 where it is not known. */
    ResponseStream beginStream(CharSequence contentType, long length, Runnable writable);
  }

  /** The client's side of an answer that is passed on. */
  interface ResponseStream {
    boolean isWritable();

    /** Takes over a piece. */
    void write(ByteBuf piece);

    void end();

    /** It will not be whole: ends the connection, so that the client can tell. */
    void abort();
  }

  /** What a front has for all of its exchanges. */
  record Context(Engine engine, UpstreamPool pool, boolean loadReports) {

    /** The load report of an answer. */
    Map<String, Double> load(FullHttpResponse answer) {
      return loadReports && answer != null ? LoadReport.parse(answer.headers().get(LoadReport.HEADER)) : Map.of();
    }
  }

  private final Context front;
  private final FullHttpRequest request;
  private final ClientResponder reply;
  private final Runnable forgotten;
  /** What of its body is still to come when it is taken; null for nothing. */
  private final BodyStream rest;
  private final long waitNanos;
  private Call sending;
  private ResponseStream passing;

  /** Takes over the request; {@code waitNanos} is how long its client waits, {@code forgotten} is run when nothing is left of it. */
  HttpExchange(RequestInfo info, Context front, FullHttpRequest request, long waitNanos, ClientResponder reply, Runnable forgotten) {
    super(info);
    rest = request instanceof StreamedRequest s ? s.rest : null;
    this.waitNanos = waitNanos;
    this.front = front;
    this.request = request;
    this.reply = reply;
    this.forgotten = forgotten;
  }

  @Override
  protected Attempt.CancelHandle startAttempt(Attempt attempt, SocketAddress address, long timeoutNanos) {
    if (!isClientConnected()) {
      front.engine.attemptEnded(attempt, Status.NOT_SENT, Map.of(), () -> { });
      return () -> { };
    }
    if (rest != null && (rest.isConsumed() || sending != null && !sending.isDone())) {
      // Its beginning is gone, or is being sent: a second copy of it can't be.
      front.engine.attemptEnded(attempt, Status.NOT_SENT, Map.of(), () -> { });
      return () -> { };
    }
    Answer answer = new Answer(attempt);
    long leaves = attempt.sendBy() > 0 ? attempt.sendBy() - attempt.sentAt() : 0;
    Call call = new Call(attempt.upstream(), answer::ended, answer, rest, waitNanos, leaves);
    answer.call = call;
    sending = call;
    front.pool.start(call, address, forward(rest == null ? timeoutNanos : Math.min(timeoutNanos, waitNanos)), timeoutNanos);
    return () -> front.pool.cancel(call);
  }

  /** Looks whether the client still waits. Guards against sending on what nobody waits for; the end is told before the attempt's own. */
  private boolean isClientConnected() {
    if (!isEnded() && !reply.isClientConnected()) {
      front.engine.clientGone(this);
    }
    return !isEnded();
  }

  /** The body has come whole: what waits for an answer waits for so much longer. */
  void bodyEnded(long deadline, long leftNanos) {
    front.engine.bodyEnded(this, deadline);
    if (sending != null && passing == null) {
      front.pool.updateTimeout(sending, leftNanos);
    }
  }

  /** What comes back on one attempt. */
  private final class Answer implements Call.Passing {
    private final Attempt attempt;
    private Call call;
    private boolean begun;

    Answer(Attempt attempt) {
      this.attempt = attempt;
    }

    @Override
    public boolean isWanted() {
      return isClientConnected();
    }

    @Override
    public boolean begins(HttpResponse head) {
      if (!front.engine.answerStarted(attempt)) {
        return false;
      }
      begun = true;
      passing = reply.beginStream(head.headers().get(HttpHeaderNames.CONTENT_TYPE), HttpUtil.getContentLength(head, -1L), call::goOn);
      return true;
    }

    @Override
    public boolean piece(ByteBuf piece) {
      passing.write(piece);
      return passing.isWritable();
    }

    private void ended(Status status, FullHttpResponse answer) {
      if (begun) {
        if (status == Status.SERVED) {
          passing.end();
        } else {
          passing.abort();
        }
        front.engine.attemptEnded(attempt, status, Map.of(), HttpExchange.this::end);
        return;
      }
      FullHttpResponse served = status == Status.SERVED ? answer.retain() : null;
      front.engine.attemptEnded(attempt, status, front.load(answer), () -> {
        if (served != null) {
          if (!isEnded() && !isStreaming()) {
            end();
            reply.sendResponse(HttpResponseStatus.OK, 0, served.headers().get(HttpHeaderNames.CONTENT_TYPE), served.content());
          }
          served.release();
        }
      });
    }
  }

  @Override
  protected void respond(LocalReply verdict) {
    if (passing != null) {
      passing.abort(); // An answer has begun, and there is no other.
      return;
    }
    HttpResponseStatus status = verdict.rejected() ? HttpResponseStatus.TOO_MANY_REQUESTS : switch (verdict.reason()) {
      case DEADLINE -> HttpResponseStatus.GATEWAY_TIMEOUT;
      case STOPPING -> HttpResponseStatus.INTERNAL_SERVER_ERROR;
      default -> HttpResponseStatus.BAD_GATEWAY;
    };
    reply.sendResponse(status, verdict.retryAfterNanos(), null, Unpooled.EMPTY_BUFFER);
  }

  @Override
  protected void onEnded() {
    request.release();
    if (rest != null) {
      rest.discard();
    }
  }

  @Override
  protected void onRemoved() {
    forgotten.run();
  }

  /** The request as it goes to an upstream. */
  private FullHttpRequest forward(long timeoutNanos) {
    HttpHeaders headers = new DefaultHttpHeaders().set(request.headers());
    for (String named : request.headers().getAll(HttpHeaderNames.CONNECTION)) {
      for (String name : named.split(",")) {
        headers.remove(name.trim());
      }
    }
    HOP_BY_HOP.forEach(headers::remove);
    headers.set(Frontend.EXPIRES, Math.max(1, TimeUnit.NANOSECONDS.toMillis(timeoutNanos)));
    if (rest != null && !headers.contains(HttpHeaderNames.CONTENT_LENGTH)) {
      headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
    } else if (rest == null && request.content().isReadable()) {
      headers.set(HttpHeaderNames.CONTENT_LENGTH, request.content().readableBytes());
    }
    return new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, request.method(), request.uri(),
        request.content().retainedDuplicate(), headers, EmptyHttpHeaders.INSTANCE);
  }
}
