package cloverpulley.serve;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** Streams a response body to the client as it arrives from the upstream. The head has already been written. */
final class StreamedResponse implements HttpExchange.ResponseStream {

  /** A client that reads nothing of a response for this long is considered gone. */
  private static final long STALL_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(30);

  private final Channel channel;
  private final Runnable onWritable;
  private final Runnable onLastWrite;
  private final Consumer<Boolean> onEnded;
  private Future<?> stallTimer;
  /** Parts that the client's socket has not accepted yet, and when it last accepted one. */
  private int pendingWrites;
  private long lastWrittenAt;

  /**
   * {@code onWritable} runs when the client can receive more again, {@code onLastWrite} before the last write, and {@code onEnded} receives
   * whether everything was written.
   */
  StreamedResponse(Channel channel, Runnable onWritable, Runnable onLastWrite, Consumer<Boolean> onEnded) {
    this.channel = channel;
    this.onWritable = onWritable;
    this.onLastWrite = onLastWrite;
    this.onEnded = onEnded;
  }

  @Override
  public boolean isWritable() {
    return channel.isWritable();
  }

  void writabilityChanged() {
    if (channel.isWritable()) {
      onWritable.run();
    }
  }

  private void scheduleStallCheck(long nanos) {
    stallTimer = channel.eventLoop().schedule(this::checkStall, nanos, TimeUnit.NANOSECONDS);
  }

  private void checkStall() {
    stallTimer = null;
    long remaining = STALL_TIMEOUT_NANOS - (System.nanoTime() - lastWrittenAt);
    if (pendingWrites > 0 && remaining <= 0) {
      abort();
    } else if (pendingWrites > 0) {
      scheduleStallCheck(remaining);
    }
  }

  void cancelStallTimer() {
    if (stallTimer != null) {
      stallTimer.cancel(false);
      stallTimer = null;
    }
  }

  @Override
  public void write(ByteBuf content, Runnable onWritten) {
    if (pendingWrites == 0) {
      lastWrittenAt = System.nanoTime();
    }
    pendingWrites++;
    channel.writeAndFlush(new DefaultHttpContent(content)).addListener(f -> {
      pendingWrites--;
      lastWrittenAt = System.nanoTime();
      onWritten.run();
    });
    if (pendingWrites > 0 && stallTimer == null) {
      scheduleStallCheck(STALL_TIMEOUT_NANOS);
    }
  }

  @Override
  public void end() {
    onLastWrite.run();
    channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT).addListener(f -> {
      cancelStallTimer();
      onEnded.accept(f.isSuccess());
    });
  }

  @Override
  public void abort() {
    cancelStallTimer();
    channel.close();
  }
}
