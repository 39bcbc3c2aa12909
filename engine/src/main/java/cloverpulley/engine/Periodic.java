package cloverpulley.engine;

import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.logging.Level;
import java.util.logging.Logger;

/** Work that is done again and again: a run that throws is logged and is not the last, as it would be for a plain executor. */
public final class Periodic {

  private static final Logger LOG = Logger.getLogger(Periodic.class.getName());

  private Periodic() {}

  /** Runs {@code work} on an executor, so many milliseconds after the run before has ended, for as long as the executor lives. */
  public static void every(ScheduledExecutorService executor, long millis, Runnable work) {
    executor.scheduleWithFixedDelay(() -> run(work), millis, millis, TimeUnit.MILLISECONDS);
  }

  private static void run(Runnable work) {
    try {
      work.run();
    } catch (RuntimeException | Error e) {
      LOG.log(Level.SEVERE, "periodic work failed and goes on", e);
    }
  }
}
