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
import java.util.function.LongSupplier;

/** One HTTP request to an upstream and its response. It ends exactly once. */
final class Call {

  /** Notified of the outcome. The response is null unless a buffered one was received; the pool releases it. */
  interface CompletionHandler {
    void completed(Status status, FullHttpResponse response);
  }

  /** Receives a response that is too long to buffer, as it arrives. */
  interface ResponseConsumer {
    /** Whether a client still waits for the response. Checked before the request is written to a newly opened connection. */
    boolean isWanted();

    /** The body of the response has begun to arrive and is not complete. */
    void responseBegan();

    /** The response has begun, and nothing of it has arrived for a while. The call goes on. */
    void responseStalled();

    /** The client's time is up, and the response may be long: the call goes on for so long. Returns false if it is of no use any more. */
    boolean deadlineExtended(long nanos);

    /** Offers the response head; returns false to decline the response, and then no body is delivered. */
    boolean responseStarted(HttpResponse head);

    /**
     * Takes ownership of a part of the body; returns false to pause reading until {@link Call#resume}. {@code onWritten} runs once the part has
     * been written to the client, or never will be.
     */
    boolean bodyReceived(ByteBuf content, Runnable onWritten);
  }

  final long upstream;
  private final CompletionHandler completion;
  /** Receives a streamed response; null if the response has to fit the buffer. */
  final ResponseConsumer responseConsumer;
  /** The part of the request body that has not been received yet; null if there is none. */
  final BodyStream bodyStream;
  /** How long the client still waits, while {@link #bodyStream} is being read; null without one. */
  private final LongSupplier clientRemaining;
  /** The call is cancelled unless its last byte is written within this time; 0 for no limit. */
  final long sendWithinNanos;
  private final long createdAt = System.nanoTime();
  /** When the call times out, on the clock of {@link System#nanoTime}. */
  private long expiresAt = Long.MAX_VALUE;
  /** Resumes reading the response. */
  Runnable onResume = () -> { };
  /** Stops keeping the response, see {@link #discardResponse}. */
  Runnable onDiscardResponse = () -> { };
  /** Nobody waits for the response any more. */
  private boolean responseDiscarded;
  /** The call's connection, from when one is opened or reused until the call ends. */
  Channel channel;
  Future<?> timeout;
  private Future<?> sendTimeout;
  /** Whether the last byte has been written; from then on the request may have run. */
  boolean written;
  private boolean done;

  Call(long upstream, CompletionHandler completion, ResponseConsumer responseConsumer, BodyStream bodyStream, LongSupplier clientRemaining,
      long sendWithinNanos) {
    this.sendWithinNanos = sendWithinNanos;
    this.clientRemaining = clientRemaining;
    this.upstream = upstream;
    this.completion = completion;
    this.responseConsumer = responseConsumer;
    this.bodyStream = bodyStream;
  }

  /** Sets the timeout to so many nanoseconds from now. */
  void expireIn(long nanos) {
    expiresAt = System.nanoTime() + nanos;
  }

  /** The time until the timeout; negative once it has passed. */
  long nanosToExpiry() {
    return expiresAt - System.nanoTime();
  }

  /** Lowers the deadline header to the time that is left after connecting. */
  void updateExpiresHeader(FullHttpRequest request) {
    String original = request.headers().get(RequestHeaders.EXPIRES);
    if (original != null) {
      long untilTimeout = nanosToExpiry();
      long remaining = TimeUnit.NANOSECONDS.toMillis(clientRemaining == null ? untilTimeout : Math.min(untilTimeout, clientRemaining.getAsLong()));
      request.headers().set(RequestHeaders.EXPIRES, Math.max(1, Math.min(Long.parseLong(original), remaining)));
    }
  }

  /** Continues delivering the response after a pause. */
  void resume() {
    if (channel != null) {
      onResume.run();
    }
  }

  /**
   * Nobody waits for the response any more: the rest of it is read and dropped, and takes no memory that other responses need. The call ends as
   * before, with the status of the response or when its time is over.
   */
  void discardResponse() {
    if (!done && !responseDiscarded) {
      responseDiscarded = true;
      onDiscardResponse.run();
    }
  }

  boolean isResponseDiscarded() {
    return responseDiscarded;
  }

  /**
   * Cancels the call if its last byte is not written in time. A slow connect or a slow upload could otherwise complete a retry after the end of
   * the window in which upstreams recognize duplicates.
   */
  void scheduleSendTimeout(EventExecutor loop, Runnable cancel) {
    if (sendWithinNanos > 0) {
      sendTimeout = loop.schedule(() -> {
        if (!written) {
          cancel.run();
        }
      }, sendWithinNanos, TimeUnit.NANOSECONDS);
    }
  }

  /** Whether the time limit for writing the last byte has not passed yet. */
  boolean canStillBeSent() {
    return sendWithinNanos == 0 || System.nanoTime() - createdAt < sendWithinNanos;
  }

  boolean isDone() {
    return done;
  }

  /** Ends the call; a no-op if it has already ended. */
  void end(Status status, FullHttpResponse response) {
    if (!done) {
      done = true;
      channel = null;
      if (timeout != null) {
        timeout.cancel(false);
      }
      if (sendTimeout != null) {
        sendTimeout.cancel(false);
      }
      if (bodyStream != null) {
        bodyStream.attach(null);
      }
      completion.completed(status, response);
    }
  }
}
