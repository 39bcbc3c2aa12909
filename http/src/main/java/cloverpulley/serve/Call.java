package cloverpulley.serve;

import cloverpulley.Balancer.Status;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.util.concurrent.Future;

/** One request on its way to an upstream; it ends exactly once. */
final class Call {

  /** Told how a call ended; the answer is there where one came, and is the pool's to release. */
  interface Ended {
    void ended(Status status, FullHttpResponse answer);
  }

  /** Takes an answer that is too long to be held, while it comes. */
  interface Passing {
    /** Whether there is still a client for it: asked before anything is sent on a connection that had to be made first. */
    boolean isWanted();

    /** It begins with this head; false where it is not wanted, and then nothing of it is told. */
    boolean begins(HttpResponse head);

    /** A piece, which is taken over; false to be told no more until {@link Call#goOn}. */
    boolean piece(ByteBuf piece);
  }

  final long upstream;
  private final Ended ended;
  /** Null where answers have to be short. */
  final Passing passing;
  /** What of the request's body is still to come; null for nothing. */
  final BodyStream rest;
  /** How long the upstream may take nothing of such a body. */
  final long stallNanos;
  /** Reads the answer on, as far as there is room. */
  Runnable reading = () -> { };
  /** The connection it is on, from when one is opened or reused until the call ends. */
  Channel channel;
  Future<?> timeout;
  /** Its last byte has left: from here on it may have run. */
  boolean written;
  private boolean done;

  Call(long upstream, Ended ended, Passing passing, BodyStream rest, long stallNanos) {
    this.stallNanos = stallNanos;
    this.upstream = upstream;
    this.ended = ended;
    this.passing = passing;
    this.rest = rest;
  }

  /** More of the answer can be taken. */
  void goOn() {
    if (channel != null) {
      reading.run();
    }
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
      if (rest != null) {
        rest.attach(null);
      }
      ended.ended(status, answer);
    }
  }
}
