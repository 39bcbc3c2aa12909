package cloverpulley.serve;

import cloverpulley.Balancer.Status;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.util.concurrent.Future;

/** One request on its way to an upstream; it ends exactly once. */
final class Call {

  /** Told how a call ended; the answer is there where one came, and is the pool's to release. */
  interface Ended {
    void ended(Status status, FullHttpResponse answer);
  }

  final long upstream;
  private final Ended ended;
  /** The connection it is on, from when one is opened or reused until the call ends. */
  Channel channel;
  Future<?> timeout;
  /** Its last byte has left: from here on it may have run. */
  boolean written;
  private boolean done;

  Call(long upstream, Ended ended) {
    this.upstream = upstream;
    this.ended = ended;
  }

  boolean isDone() {
    return done;
  }

  /** Ends it, if nothing has yet. */
  void end(Status status, FullHttpResponse answer) {
    if (!done) {
      done = true;
      channel = null;
      if (timeout != null) {
        timeout.cancel(false);
      }
      ended.ended(status, answer);
    }
  }
}
