package cloverpulley.serve;

import cloverpulley.engine.Attempt;
import cloverpulley.engine.Engine;
import cloverpulley.engine.Exchange;
import cloverpulley.engine.LoadReport;
import cloverpulley.engine.Verdict;
import cloverpulley.Balancer.Status;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
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
  interface Reply {
    void answer(HttpResponseStatus status, long retryAfterNanos, CharSequence contentType, ByteBuf content);
  }

  /** What a front has for all of its exchanges. */
  record Front(Engine engine, UpstreamPool pool, boolean loadReports) {

    /** The load report of an answer. */
    Map<String, Double> load(FullHttpResponse answer) {
      return loadReports && answer != null ? LoadReport.of(answer.headers().get(LoadReport.HEADER)) : Map.of();
    }
  }

  private final Front front;
  private final FullHttpRequest request;
  private final Reply reply;
  private final Runnable forgotten;

  /** Takes over the request; {@code forgotten} is run when nothing is left of it. */
  HttpExchange(Facts facts, Front front, FullHttpRequest request, Reply reply, Runnable forgotten) {
    super(facts);
    this.front = front;
    this.request = request;
    this.reply = reply;
    this.forgotten = forgotten;
  }

  @Override
  protected Attempt.Sending start(Attempt attempt, SocketAddress address, long timeoutNanos) {
    Call call = new Call(attempt.upstream(), (status, answer) -> ended(attempt, status, answer));
    front.pool.start(call, address, forward(timeoutNanos), timeoutNanos);
    return () -> front.pool.cancel(call);
  }

  private void ended(Attempt attempt, Status status, FullHttpResponse answer) {
    FullHttpResponse served = status == Status.SERVED ? answer.retain() : null;
    front.engine.attemptEnded(attempt, status, front.load(answer), () -> {
      if (served != null) {
        if (!isEnded()) {
          end();
          reply.answer(HttpResponseStatus.OK, 0, served.headers().get(HttpHeaderNames.CONTENT_TYPE), served.content());
        }
        served.release();
      }
    });
  }

  @Override
  protected void answer(Verdict verdict) {
    HttpResponseStatus status = verdict.refused() ? HttpResponseStatus.TOO_MANY_REQUESTS : switch (verdict.reason()) {
      case DEADLINE -> HttpResponseStatus.GATEWAY_TIMEOUT;
      case STOPPING -> HttpResponseStatus.INTERNAL_SERVER_ERROR;
      default -> HttpResponseStatus.BAD_GATEWAY;
    };
    reply.answer(status, verdict.retryAfterNanos(), null, Unpooled.EMPTY_BUFFER);
  }

  @Override
  protected void released() {
    request.release();
  }

  @Override
  protected void forgotten() {
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
    if (request.content().isReadable()) {
      headers.set(HttpHeaderNames.CONTENT_LENGTH, request.content().readableBytes());
    }
    return new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, request.method(), request.uri(),
        request.content().retainedDuplicate(), headers, EmptyHttpHeaders.INSTANCE);
  }
}
