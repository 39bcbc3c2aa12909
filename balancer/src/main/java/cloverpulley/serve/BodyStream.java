package cloverpulley.serve;

import io.netty.buffer.ByteBuf;
import java.util.ArrayDeque;

/**
 * What is still to come of a request's body that is longer than is kept: what has come waits here until an attempt takes it, and is gone
 * with that. The client's socket is to be read while {@link #wantsMore}. All of it runs on the loop.
 */
final class BodyStream {

  /** Where the body goes. */
  interface Sink {
    boolean isWritable();

    /** Takes over a piece. */
    void write(ByteBuf piece);

    /** It was the last. */
    void end();
  }

  /** So much may wait. */
  private static final int MOST_WAITING = 64 * 1024;

  private final ArrayDeque<ByteBuf> waiting = new ArrayDeque<>();
  private final Runnable demand;
  private Runnable firstTaken;
  private Runnable ended;
  private int bytes;
  private boolean whole;
  private boolean dropped;
  private boolean taken;
  private Sink sink;

  /** {@code demand} is run when more is wanted than before. */
  BodyStream(Runnable demand) {
    this.demand = demand;
  }

  /** Who is told when the first piece is taken, after which the body can't be sent again, and when the last has come. */
  void listen(Runnable onFirstTaken, Runnable onEnd) {
    firstTaken = onFirstTaken;
    ended = onEnd;
    if (whole) {
      ended.run();
    }
  }

  /** A piece has come. */
  void add(ByteBuf piece) {
    if (dropped) {
      piece.release();
      return;
    }
    waiting.add(piece);
    bytes += piece.readableBytes();
    flow();
  }

  /** The last has come. */
  void end() {
    whole = true;
    if (ended != null) {
      ended.run();
    }
    flow();
  }

  /** Whether the whole body has come. */
  boolean isWhole() {
    return whole;
  }

  /** Whether pieces of it are gone, so that no further attempt can have it. */
  boolean isTaken() {
    return taken;
  }

  boolean wantsMore() {
    return dropped || bytes < MOST_WAITING;
  }

  /** An attempt takes what there is and what comes; null when it has ended. */
  void attach(Sink to) {
    sink = to;
    flow();
  }

  /** Passes on what waits, for as long as the attempt can take it. */
  void flow() {
    boolean wanted = wantsMore();
    while (sink != null && sink.isWritable() && !waiting.isEmpty()) {
      if (!taken) {
        taken = true;
        if (firstTaken != null) {
          firstTaken.run();
        }
      }
      ByteBuf piece = waiting.poll();
      bytes -= piece.readableBytes();
      sink.write(piece);
    }
    if (sink != null && whole && waiting.isEmpty()) {
      Sink done = sink;
      sink = null;
      done.end();
    }
    if (!wanted && wantsMore()) {
      demand.run();
    }
  }

  /** Nobody needs it any more: what comes is dropped. */
  void drop() {
    if (dropped) {
      return;
    }
    dropped = true;
    sink = null;
    waiting.forEach(ByteBuf::release);
    waiting.clear();
    bytes = 0;
    demand.run();
  }
}
