package cloverpulley.serve;

import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import java.util.concurrent.TimeUnit;

/**
 * Decides when the body of a response is passed on to its client, and what becomes of it when the client's time is up before it is complete.
 *
 * <p>Of a response of up to {@link #MAX_SHORT_BYTES} the last byte has to be in time, of a longer one the first; and once a response has begun to be
 * passed on, only its end or a break tells the client what became of it. So a response is begun only where it is known which of the two it is: a
 * long one may go on without a limit, and a short one can be ended soon after the client's time. One of unknown length is kept until it is complete
 * or longer than a short one.
 */
final class ResponseForwarding {

  /** The longest body of a response whose last byte has to be in time. Responses of up to this length are buffered. */
  static final int MAX_SHORT_BYTES = 64 * 1024;
  /**
   * How long after its client's time a response may still become complete or known to be long, if it can be long or has begun to be passed on: an
   * answer counts until half a second after that, and a process may be held up for 0.15 s.
   */
  static final long LATE_GRACE_NANOS = TimeUnit.MILLISECONDS.toNanos(350);
  /** A response with a shorter body is buffered whole even if the memory for responses is used up. */
  private static final int ALWAYS_BUFFERED_BYTES = 8 * 1024;

  private ResponseForwarding() {}

  /** What is known of the length of a response. */
  enum Length {
    /** At most {@link #MAX_SHORT_BYTES}. */
    SHORT,
    /** More than that. */
    LONG,
    /** It ends with its last chunk or with its connection, and may be either. */
    UNKNOWN;

    /** The length of a response of which so many bytes of the body have arrived. */
    static Length of(HttpResponse head, long bodyBytes) {
      long declared = HttpUtil.getContentLength(head, -1L);
      if (Math.max(declared, bodyBytes) > MAX_SHORT_BYTES) {
        return LONG;
      }
      return declared >= 0 ? SHORT : UNKNOWN;
    }
  }

  /** What is done with content that arrives. */
  enum OnContent {
    /** It is kept until the response is complete. */
    BUFFER,
    /** It is kept, and nothing more is read until there is memory. */
    BUFFER_AND_PAUSE,
    /** It is passed on, and so is all that follows. */
    STREAM
  }

  /** What is done with a response that has not begun to be passed on, or goes on, when its client's time is up. */
  enum AtDeadline {
    /** It fails now. */
    FAIL,
    /** It fails after {@link #LATE_GRACE_NANOS}, unless it is complete or known to be long by then. */
    AWAIT
  }

  /** Decides on content of a response that is not streamed yet; {@code memoryShort} tells that the memory for responses is used up. */
  static OnContent onContent(Length length, long bodyBytes, boolean memoryShort) {
    if (length == Length.LONG) {
      return OnContent.STREAM;
    }
    if (!memoryShort || bodyBytes <= ALWAYS_BUFFERED_BYTES) {
      return OnContent.BUFFER;
    }
    return length == Length.SHORT ? OnContent.STREAM : OnContent.BUFFER_AND_PAUSE;
  }

  /** Decides on a response that is incomplete when its client's time is up. One that would only be late fails at once. */
  static AtDeadline atDeadline(Length length, boolean streaming) {
    return streaming || length != Length.SHORT ? AtDeadline.AWAIT : AtDeadline.FAIL;
  }
}
