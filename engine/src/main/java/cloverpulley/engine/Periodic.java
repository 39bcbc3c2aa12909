package cloverpulley.engine;

import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.logging.Level;
import java.util.logging.Logger;

/** Periodic tasks. A run that throws is logged and does not stop the schedule, as it would with a plain executor. */
public final class Periodic {

  private static final Logger LOG = Logger.getLogger(Periodic.class.getName());

  private Periodic() {}

  /** Runs {@code work} on an executor, {@code millis} milliseconds after the previous run has ended, until the executor shuts down. */
  public static void every(ScheduledExecutorService executor, long millis, Runnable work) {
    executor.scheduleWithFixedDelay(() -> run(work), millis, millis, TimeUnit.MILLISECONDS);
  }

  private static void run(Runnable work) {
    try {
      work.run();
    } catch (RuntimeException | Error e) {
      LOG.log(Level.SEVERE, "periodic task failed; it will run again", e);
    }
  }
}
