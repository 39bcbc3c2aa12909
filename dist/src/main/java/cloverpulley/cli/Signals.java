package cloverpulley.cli;

import java.util.concurrent.CountDownLatch;
import sun.misc.Signal;

/** What the process is told from outside. */
final class Signals {

  private Signals() {}

  /**
   * Opens at SIGTERM or SIGINT. A handler, not a shutdown hook: hooks run beside the one that ends logging, and the status would
   * tell of the signal.
   */
  static CountDownLatch term() {
    CountDownLatch term = new CountDownLatch(1);
    Signal.handle(new Signal("TERM"), signal -> term.countDown());
    Signal.handle(new Signal("INT"), signal -> term.countDown());
    return term;
  }

  /** Run at each SIGHUP. */
  static void onHup(Runnable task) {
    Signal.handle(new Signal("HUP"), signal -> task.run());
  }
}
