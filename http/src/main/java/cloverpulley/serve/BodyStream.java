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

  /** So much may wait before its client is read no further. */
  private static final int MOST_WAITING = 32 * 1024;
  /** What one may hold of the direct memory: what waits, the read that passes its mark, and as much again at the upstream's socket. */
  static final int OCTETS = MOST_WAITING + 3 * Server.MAX_READ;
  /** Smaller pieces that have to wait are put together: each would else cost a buffer of its own. */
  private static final int SMALL = Server.MAX_READ / 2;

  private final ArrayDeque<ByteBuf> waiting = new ArrayDeque<>();
  private final Runnable demand;
  private Runnable over;
  private ByteBuf tail;
  private Runnable firstTaken;
  private Runnable ended;
  private int bytes;
  private boolean whole;
  private boolean dropped;
  private boolean taken;
  private Sink sink;

  /** {@code demand} is run when more is wanted than before, or less; {@code over} once nothing of it is held any more. */
  BodyStream(Runnable demand, Runnable over) {
    this.demand = demand;
    this.over = over;
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
    bytes += piece.readableBytes();
    if (piece.readableBytes() >= SMALL || waiting.isEmpty() && sink != null && sink.isWritable()) {
      tail = null;
      waiting.add(piece);
    } else {
      if (tail == null || tail.maxWritableBytes() < piece.readableBytes()) {
        tail = piece.alloc().buffer(SMALL, SMALL);
        waiting.add(tail);
      }
      tail.writeBytes(piece);
      piece.release();
    }
    flow();
    if (!wantsMore()) {
      demand.run(); // Guards the memory: its client is read no further until an upstream has taken some of it.
    }
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
      tail = piece == tail ? null : tail;
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
    tail = null;
    bytes = 0;
    sent();
    demand.run();
  }

  /** The last of it has left for an upstream, or is dropped. */
  void sent() {
    Runnable once = over;
    over = null;
    if (once != null) {
      once.run();
    }
  }
}
