package cloverpulley.serve;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.RecvByteBufAllocator;
import java.util.function.BooleanSupplier;

/**
 * The size of reads. Bounded per iteration of the event loop, so that a long body does not delay small requests, and small while the memory for
 * bodies is used up: each connection then goes on in small steps, rather than some of them at full speed and the others not at all.
 */
final class BoundedReceiveAllocator extends AdaptiveRecvByteBufAllocator {

  private static final int MIN_READ = 512;
  private static final int INITIAL_READ = 2048;
  private static final int READS_PER_ITERATION = 2;
  /** The size of the only read of an iteration while memory is short. */
  private static final int SHORT_READ = 4 * 1024;

  private final BooleanSupplier memoryShort;

  BoundedReceiveAllocator(BooleanSupplier memoryShort) {
    super(MIN_READ, INITIAL_READ, Server.MAX_READ);
    this.memoryShort = memoryShort;
    maxMessagesPerRead(READS_PER_ITERATION);
  }

  @Override
  @SuppressWarnings("deprecation") // The supertype's only method.
  public RecvByteBufAllocator.Handle newHandle() {
    return new DelegatingHandle(super.newHandle()) {
      @Override
      public ByteBuf allocate(ByteBufAllocator allocator) {
        return memoryShort.getAsBoolean() ? allocator.ioBuffer(SHORT_READ) : super.allocate(allocator);
      }

      @Override
      public boolean continueReading() {
        return !memoryShort.getAsBoolean() && super.continueReading();
      }
    };
  }
}
