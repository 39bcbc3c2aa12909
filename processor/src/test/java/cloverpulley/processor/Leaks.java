package cloverpulley.processor;

import io.netty.buffer.PooledByteBufAllocator;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/** Collects the reports of Netty's leak detector; the tests run with it at level paranoid. */
final class Leaks {

  private static final String DETECTOR = "io.netty.util.ResourceLeakDetector";
  /** Number of allocations after a garbage collection: the detector reports leaks when a buffer is allocated. */
  private static final int ALLOCATIONS = 200;

  private static final List<String> REPORTS = new CopyOnWriteArrayList<>();
  /** A strong reference: otherwise the logger and its handler might be garbage collected. */
  private static final Logger LOGGER = Logger.getLogger(DETECTOR);

  static {
    LOGGER.addHandler(new Handler() {
      @Override
      public void publish(LogRecord logRecord) {
        REPORTS.add(logRecord.getMessage());
      }

      @Override
      public void flush() {}

      @Override
      public void close() {}
    });
  }

  private Leaks() {}

  /** The reports of buffers that were not released, since the class was first used. */
  static List<String> reports() {
    for (int i = 0; i < 3; i++) {
      System.gc();
      for (int allocation = 0; allocation < ALLOCATIONS; allocation++) {
        PooledByteBufAllocator.DEFAULT.buffer(16).release();
      }
    }
    return REPORTS;
  }
}
