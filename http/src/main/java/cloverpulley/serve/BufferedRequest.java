package cloverpulley.serve;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpRequest;

/** A request that was received completely. Its deadline counts from that moment, even while it waits behind pipelined requests. */
final class BufferedRequest extends DefaultFullHttpRequest {

  private final long receivedAt = System.nanoTime();

  BufferedRequest(HttpRequest head, ByteBuf body) {
    super(head.protocolVersion(), head.method(), head.uri(), body, head.headers(), EmptyHttpHeaders.INSTANCE);
  }

  /** The part of a period that remains, in nanoseconds, if it started when the request was complete; at least 0. */
  static long remainingNanos(HttpRequest request, long nanos) {
    return request instanceof BufferedRequest buffered ? Math.max(0, nanos - (System.nanoTime() - buffered.receivedAt)) : nanos;
  }
}
