package cloverpulley.serve;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpRequest;

/** A request whose body is longer than is kept: its content is the beginning, the rest comes. */
final class StreamedRequest extends DefaultFullHttpRequest {

  final BodyStream rest;
  /** There was no room for it in time: it is to be answered so, and what comes of it dropped. */
  final boolean rejected;

  StreamedRequest(HttpRequest head, ByteBuf beginning, BodyStream rest, boolean rejected) {
    super(head.protocolVersion(), head.method(), head.uri(), beginning, head.headers(), EmptyHttpHeaders.INSTANCE);
    this.rest = rest;
    this.rejected = rejected;
  }
}
