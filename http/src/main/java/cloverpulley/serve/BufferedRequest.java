package cloverpulley.serve;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpRequest;

/** A request that has come in whole, from which moment its client's time counts, also while it waits behind earlier ones of its connection. */
final class BufferedRequest extends DefaultFullHttpRequest {

  private final long receivedAt = System.nanoTime();

  BufferedRequest(HttpRequest head, ByteBuf body) {
    super(head.protocolVersion(), head.method(), head.uri(), body, head.headers(), EmptyHttpHeaders.INSTANCE);
  }

  /** What is left of a time that began when it was whole, in nanoseconds; 0 for nothing. */
  static long remainingNanos(HttpRequest request, long nanos) {
    return request instanceof BufferedRequest buffered ? Math.max(0, nanos - (System.nanoTime() - buffered.receivedAt)) : nanos;
  }
}
