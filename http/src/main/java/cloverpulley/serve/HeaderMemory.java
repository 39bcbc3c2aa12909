package cloverpulley.serve;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;
import io.netty.handler.codec.http.TooLongHttpHeaderException;

/**
 * Counts the heap that the headers and trailers of one connection take, from when their first line is decoded until they are released. Counting
 * starts with the first line, not with the complete head, as a sender may stop in the middle of one; and it goes by lines and text, since a
 * short line takes many times its length. Each connection may hold {@link #ALLOWANCE_BYTES}; what exceeds that has to fit in a budget for all
 * connections, or the decoder fails the message with a {@link TooLongHttpHeaderException}. Confined to the event loop.
 */
final class HeaderMemory implements HttpHeadersFactory {

  /** The headers that a connection may hold whatever the others hold: an ordinary request takes 3 KiB. */
  static final int ALLOWANCE_BYTES = 8 * 1024;
  /** The headers of all connections beyond their allowance may take the heap divided by this. */
  private static final int HEAP_DIVISOR = 8;
  /** The estimated heap of a message without its header lines, and of each line beyond its text, in bytes. */
  private static final int MESSAGE_BYTES = 1024;
  private static final int LINE_BYTES = 192;

  private static final DefaultHttpHeadersFactory VALIDATING = DefaultHttpHeadersFactory.headersFactory();

  /** The headers or the trailers of one message. */
  private final class CountedHeaders extends DefaultHttpHeaders {

    private long bytes;

    CountedHeaders() {
      super(VALIDATING.getNameValidator(), VALIDATING.getValueValidator());
      acquire(MESSAGE_BYTES);
    }

    /** Adds a decoded line; fails if there is no memory for it. */
    @Override
    public HttpHeaders add(CharSequence name, Object value) {
      long lineBytes = LINE_BYTES + name.length() + value.toString().length();
      if (heldBytes + lineBytes > ALLOWANCE_BYTES && !budget.fits(lineBytes)) {
        throw new TooLongHttpHeaderException("the headers of all connections take too much memory");
      }
      acquire(lineBytes);
      return super.add(name, value);
    }

    private void acquire(long moreBytes) {
      bytes += moreBytes;
      heldBytes += moreBytes;
      budget.acquire(moreBytes);
    }

    private void release() {
      long released = Math.min(bytes, heldBytes);
      bytes = 0;
      heldBytes -= released;
      budget.release(released);
    }
  }

  private final BufferBudget budget;
  private long heldBytes;

  /** Creates the count of one connection; {@code budget} is shared by all connections of its kind. */
  HeaderMemory(BufferBudget budget) {
    this.budget = budget;
  }

  /** Creates a budget for the headers of all connections of one kind. */
  static BufferBudget newBudget() {
    return new BufferBudget(Runtime.getRuntime().maxMemory() / HEAP_DIVISOR);
  }

  /** A decoder's configuration that counts the headers and trailers it decodes. */
  HttpDecoderConfig decoderConfig() {
    return new HttpDecoderConfig().setHeadersFactory(this).setTrailersFactory(this);
  }

  @Override
  public HttpHeaders newHeaders() {
    return new CountedHeaders();
  }

  @Override
  public HttpHeaders newEmptyHeaders() {
    return VALIDATING.newEmptyHeaders();
  }

  /** Releases headers that are no longer referenced; no effect on headers that are not counted or were released before. */
  static void release(HttpHeaders headers) {
    if (headers instanceof CountedHeaders counted) {
      counted.release();
    }
  }

  /** Releases all headers of the connection, those of an incomplete message included. */
  void releaseAll() {
    budget.release(heldBytes);
    heldBytes = 0;
  }
}
