package cloverpulley.serve;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpRequest;

/** A request whose body is too long to buffer: its content is the beginning, {@link #rest} streams the remainder. */
final class StreamedRequest extends DefaultFullHttpRequest {

  final BodyStream rest;
  /** There was no upload capacity in time: the request gets an error and its body is discarded. */
  final boolean rejected;

  StreamedRequest(HttpRequest head, ByteBuf beginning, BodyStream rest, boolean rejected) {
    super(head.protocolVersion(), head.method(), head.uri(), beginning, head.headers(), EmptyHttpHeaders.INSTANCE);
    this.rest = rest;
    this.rejected = rejected;
  }
}
