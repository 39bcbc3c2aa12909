package cloverpulley.serve;

import io.netty.channel.ChannelFuture;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.logging.Logger;

/** Binds a listener's address, with retries while a failure may be temporary. */
final class Binding {

  private static final Logger LOG = Logger.getLogger(Binding.class.getName());

  /** How long binding is retried; a predecessor has exited by then. */
  private static final long MAX_MILLIS = 4000;
  private static final long RETRY_MILLIS = 50;
  /** The operating system's messages for failures that are permanent (EADDRNOTAVAIL, EACCES). */
  private static final List<String> PERMANENT_ERRORS = List.of("Cannot assign requested address", "Permission denied");

  private Binding() {}

  /** Whether retrying is useless. */
  static boolean isPermanent(Throwable cause) {
    String message = String.valueOf(cause.getMessage());
    return PERMANENT_ERRORS.stream().anyMatch(message::contains);
  }

  /** Binds, with retries after temporary failures; throws the last failure. Must not be called on an event loop. */
  static ChannelFuture bind(String name, Supplier<ChannelFuture> attempt) {
    long startedAt = System.nanoTime();
    for (boolean first = true; ; first = false) {
      ChannelFuture bound = attempt.get().awaitUninterruptibly();
      if (bound.isSuccess()) {
        return bound;
      }
      if (isPermanent(bound.cause()) || System.nanoTime() - startedAt > TimeUnit.MILLISECONDS.toNanos(MAX_MILLIS)) {
        return bound.syncUninterruptibly();
      }
      if (first) {
        LOG.warning(name + " cannot be bound yet, retrying: " + bound.cause());
      }
      try {
        TimeUnit.MILLISECONDS.sleep(RETRY_MILLIS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return bound.syncUninterruptibly();
      }
    }
  }
}
