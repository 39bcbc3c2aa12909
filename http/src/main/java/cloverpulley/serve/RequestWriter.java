package cloverpulley.serve;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;

/** Writes requests to one upstream connection: whole, or as their body arrives from the client. Confined to the event loop. */
final class RequestWriter {

  /** Notified of the end of a request. */
  interface Listener {
    /** The last byte has been written to the socket; or, without success, the request can't be completed any more. */
    void requestWritten(Call call, boolean success);
  }

  private final Channel channel;
  private final Listener listener;

  RequestWriter(Channel channel, Listener listener) {
    this.channel = channel;
    this.listener = listener;
  }

  /** Writes a call's request, of which it takes ownership, and what its client's body stream brings. */
  void write(Call call, FullHttpRequest request) {
    if (call.bodyStream == null) {
      channel.writeAndFlush(request).addListener(f -> listener.requestWritten(call, f.isSuccess()));
      return;
    }
    channel.write(new DefaultHttpRequest(HttpVersion.HTTP_1_1, request.method(), request.uri(), request.headers()));
    channel.writeAndFlush(new DefaultHttpContent(request.content())).addListener(f -> {
      if (!f.isSuccess()) {
        listener.requestWritten(call, false);
      }
    });
    call.bodyStream.attach(new UpstreamSink(call));
  }

  /** Passes a client's body stream on. */
  private final class UpstreamSink implements BodyStream.Sink {

    private final Call call;

    UpstreamSink(Call call) {
      this.call = call;
    }

    @Override
    public boolean isWritable() {
      return channel.isWritable();
    }

    @Override
    public void write(ByteBuf content, Runnable onWritten) {
      channel.writeAndFlush(new DefaultHttpContent(content)).addListener(f -> onWritten.run());
    }

    @Override
    public void end() {
      channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT).addListener(f -> listener.requestWritten(call, f.isSuccess()));
    }
  }
}
