package cloverpulley.cli;

import java.util.concurrent.CountDownLatch;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** What the process is told from outside. */
final class Signals {

  private static final Logger LOG = LoggerFactory.getLogger(Signals.class);

  private Signals() {}

  /**
   * Opens at SIGTERM or SIGINT. A handler, not a shutdown hook: hooks run beside the one that ends logging, and the status would
   * tell of the signal.
   */
  static CountDownLatch term() {
    CountDownLatch term = new CountDownLatch(1);
    cloverpulley.engine.Signals.handle("TERM", term::countDown, LOG::warn);
    cloverpulley.engine.Signals.handle("INT", term::countDown, LOG::debug); // A shell ignores it for what runs in the background.
    return term;
  }

  /** Run at each SIGHUP. */
  static void onHup(Runnable task) {
    cloverpulley.engine.Signals.handle("HUP", task, LOG::warn);
  }
}
