package cloverpulley.serve;

import io.netty.channel.ChannelFuture;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.logging.Logger;

/** Binding of a listener's address, where the system may refuse for now what it grants a moment later. */
final class Binding {

  private static final Logger LOG = Logger.getLogger(Binding.class.getName());

  /** How long it is tried: a predecessor has gone by then. */
  private static final long MAX_MILLIS = 4000;
  private static final long RETRY_MILLIS = 50;
  /** The system's words for addresses that can't be had at any time (EADDRNOTAVAIL, EACCES). */
  private static final List<String> PERMANENT_ERRORS = List.of("Cannot assign requested address", "Permission denied");

  private Binding() {}

  /** Whether it is of no use to try again. */
  static boolean isPermanent(Throwable cause) {
    String message = String.valueOf(cause.getMessage());
    return PERMANENT_ERRORS.stream().anyMatch(message::contains);
  }

  /** Binds, again and again where that fails for now; throws the last failure. Not to be called on an event loop. */
  static ChannelFuture bind(String what, Supplier<ChannelFuture> attempt) {
    long begun = System.nanoTime();
    for (boolean first = true; ; first = false) {
      ChannelFuture bound = attempt.get().awaitUninterruptibly();
      if (bound.isSuccess()) {
        return bound;
      }
      if (isPermanent(bound.cause()) || System.nanoTime() - begun > TimeUnit.MILLISECONDS.toNanos(MAX_MILLIS)) {
        return bound.syncUninterruptibly();
      }
      if (first) {
        LOG.warning(what + " can't be bound yet, it is tried again: " + bound.cause());
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
