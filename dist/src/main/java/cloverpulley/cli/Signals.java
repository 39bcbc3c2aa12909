package cloverpulley.cli;

import java.util.concurrent.CountDownLatch;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Signal handlers of the process. */
final class Signals {

  private static final Logger LOG = LoggerFactory.getLogger(Signals.class);

  private Signals() {}

  /**
   * Returns a latch that opens on SIGTERM or SIGINT. A signal handler instead of a shutdown hook: hooks run concurrently with the one that
   * stops logging, and the exit status would be that of the signal.
   */
  static CountDownLatch term() {
    CountDownLatch term = new CountDownLatch(1);
    cloverpulley.engine.Signals.handle("TERM", term::countDown, LOG::warn);
    cloverpulley.engine.Signals.handle("INT", term::countDown, LOG::debug); // Shells ignore SIGINT for background processes.
    return term;
  }

  /** Runs a task on each SIGHUP. */
  static void onHup(Runnable task) {
    cloverpulley.engine.Signals.handle("HUP", task, LOG::warn);
  }
}
