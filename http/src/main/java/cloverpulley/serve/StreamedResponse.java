package cloverpulley.serve;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** An answer on its way to the client while it comes, behind its head. */
final class StreamedResponse implements HttpExchange.ResponseStream {

  /** A client that reads nothing of an answer for this long has let go of it. */
  private static final long STALLED_MILLIS = 30_000;

  private final Channel channel;
  private final Runnable writable;
  private final Runnable ending;
  private final Consumer<Boolean> ended;
  private Future<?> stalled;

  /**
   * {@code writable} is run when the client takes more again, {@code ending} when the last piece is handed over, and {@code ended} is told
   * whether all of it was written.
   */
  StreamedResponse(Channel channel, Runnable writable, Runnable ending, Consumer<Boolean> ended) {
    this.channel = channel;
    this.writable = writable;
    this.ending = ending;
    this.ended = ended;
  }

  @Override
  public boolean isWritable() {
    boolean can = channel.isWritable();
    if (!can && stalled == null) {
      stalled = channel.eventLoop().schedule(this::abort, STALLED_MILLIS, TimeUnit.MILLISECONDS);
    }
    return can;
  }

  void writabilityChanged() {
    if (channel.isWritable() && stalled != null) {
      cancelStallTimer();
      writable.run();
    }
  }

  /** Nobody waits for its client any more. */
  void cancelStallTimer() {
    if (stalled != null) {
      stalled.cancel(false);
      stalled = null;
    }
  }

  @Override
  public void write(ByteBuf piece) {
    channel.writeAndFlush(new DefaultHttpContent(piece));
  }

  @Override
  public void end() {
    ending.run();
    channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT).addListener(f -> {
      cancelStallTimer();
      ended.accept(f.isSuccess());
    });
  }

  @Override
  public void abort() {
    cancelStallTimer();
    channel.close();
  }
}
