package cloverpulley.serve;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpRequest;

/** A request whose body is too long to buffer: its content is the beginning, {@link #bodyStream} streams the remainder. */
final class StreamedRequest extends DefaultFullHttpRequest {

  final BodyStream bodyStream;
  /** There was no upload capacity in time: the request gets an error and its body is discarded. */
  final boolean rejected;

  StreamedRequest(HttpRequest head, ByteBuf beginning, BodyStream bodyStream, boolean rejected) {
    super(head.protocolVersion(), head.method(), head.uri(), beginning, head.headers(), EmptyHttpHeaders.INSTANCE);
    this.bodyStream = bodyStream;
    this.rejected = rejected;
  }
}
