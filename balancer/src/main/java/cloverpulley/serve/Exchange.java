package cloverpulley.serve;

import cloverpulley.Balancer.RequestClass;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.AsciiString;
import io.netty.util.concurrent.Future;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A client's request in hand, from when it is taken until it is answered and its last attempt has ended. */
final class Exchange {

  /** Headers that speak of one connection, not of the request. */
  private static final List<AsciiString> HOP_BY_HOP = List.of(HttpHeaderNames.CONNECTION,
      AsciiString.cached("keep-alive"), AsciiString.cached("proxy-connection"), HttpHeaderNames.TE,
      HttpHeaderNames.TRAILER, HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderNames.UPGRADE, HttpHeaderNames.EXPECT);

  /** Gives the one final answer to the client; a no-op where the client is gone. The content stays the caller's. */
  interface Reply {
    void answer(HttpResponseStatus status, long retryAfterNanos, CharSequence contentType, ByteBuf content);
  }

  /** The client's id: no two requests in hand have the same. */
  final String traceId;
  /** What the module is told of it; the id is given by the node, for a client may use its own again. */
  final RequestClass type;
  final String tenant;
  final String key;
  final long hintNanos;
  final boolean retry;
  /** When the client gives up, less the way back to it. */
  final long deadline;
  final List<Attempt> attempts = new ArrayList<>(1);
  String id;
  Future<?> guard;
  int outstanding;
  private final FullHttpRequest request;
  private final Reply reply;
  private boolean ended;

  /** One sending. */
  static final class Attempt {
    final int number;
    final long sentAt;
    Call call;

    Attempt(int number, long sentAt) {
      this.number = number;
      this.sentAt = sentAt;
    }
  }

  /** Takes over the request. */
  Exchange(String traceId, RequestClass type, String tenant, String key, long hintNanos, boolean retry, long deadline,
      FullHttpRequest request, Reply reply) {
    this.traceId = traceId;
    this.type = type;
    this.tenant = tenant;
    this.key = key;
    this.hintNanos = hintNanos;
    this.retry = retry;
    this.deadline = deadline;
    this.request = request;
    this.reply = reply;
  }

  /** Whether it has its answer, or the client has gone. */
  boolean isEnded() {
    return ended;
  }

  /** Ends it without an answer: the client has gone. */
  void abandon() {
    if (!ended) {
      ended = true;
      request.release();
      guard.cancel(false);
    }
  }

  void answer(HttpResponseStatus status, long retryAfterNanos, CharSequence contentType, ByteBuf content) {
    abandon();
    reply.answer(status, retryAfterNanos, contentType, content);
  }

  /** The request as it goes to an upstream. */
  FullHttpRequest forward(long timeoutNanos) {
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
