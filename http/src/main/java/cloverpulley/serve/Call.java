package cloverpulley.serve;

import cloverpulley.Balancer.Status;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.util.concurrent.EventExecutor;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

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
  /** Within this time its last byte has to leave, or it is called off; 0 for whenever it can. */
  final long leavesNanos;
  private final long madeAt = System.nanoTime();
  /** When it is given up, on the clock of {@link System#nanoTime}. */
  private long givenUpAt = Long.MAX_VALUE;
  /** Reads the answer on, as far as there is room. */
  Runnable reading = () -> { };
  /** The connection it is on, from when one is opened or reused until the call ends. */
  Channel channel;
  Future<?> timeout;
  private Future<?> leaves;
  /** Its last byte has left: from here on it may have run. */
  boolean written;
  private boolean done;

  Call(long upstream, Ended ended, Passing passing, BodyStream rest, long stallNanos, long leavesNanos) {
    this.leavesNanos = leavesNanos;
    this.stallNanos = stallNanos;
    this.upstream = upstream;
    this.ended = ended;
    this.passing = passing;
    this.rest = rest;
  }

  /** It is given up so many nanoseconds from now. */
  void givenUpIn(long nanos) {
    givenUpAt = System.nanoTime() + nanos;
  }

  /** Tells the upstream what is left of its time: to come up took its connection a part of it. */
  void tellTimeLeft(FullHttpRequest request) {
    String told = request.headers().get(Frontend.EXPIRES);
    if (told != null) {
      long left = TimeUnit.NANOSECONDS.toMillis(givenUpAt - System.nanoTime());
      request.headers().set(Frontend.EXPIRES, Math.max(1, Math.min(Long.parseLong(told), left)));
    }
  }

  /** More of the answer can be taken. */
  void goOn() {
    if (channel != null) {
      reading.run();
    }
  }

  /** Has it called off where its last byte has not left in time. Guards the window of repeats: a connection may come up late, a long body leave slowly. */
  void leavesInTime(EventExecutor loop, Runnable callOff) {
    if (leavesNanos > 0) {
      leaves = loop.schedule(() -> {
        if (!written) {
          callOff.run();
        }
      }, leavesNanos, TimeUnit.NANOSECONDS);
    }
  }

  /** Whether there is still time for its last byte to leave. */
  boolean mayLeave() {
    return leavesNanos == 0 || System.nanoTime() - madeAt < leavesNanos;
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
      if (leaves != null) {
        leaves.cancel(false);
      }
      if (rest != null) {
        rest.attach(null);
      }
      ended.ended(status, answer);
    }
  }
}
