package cloverpulley.cli;

import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.spi.LoggingEvent;
import ch.qos.logback.core.Appender;
import ch.qos.logback.core.AppenderBase;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Forwards the first few repeats of a message in a window and counts the others. The exact count is logged when the window has ended (with
 * the next message of any kind) or logging stops. Messages that differ only in numbers are repeats. Protects the log, and the event loop
 * that waits for it, from messages that an outsider can trigger a thousand times per second.
 */
final class RepeatLimitingAppender extends AppenderBase<ILoggingEvent> {

  /** Maximum number of distinct messages that are tracked; others are forwarded uncounted. */
  private static final int MAX_WINDOWS = 1000;
  private static final int MAX_KEY_LENGTH = 200;

  private static final class Window {
    private final ILoggingEvent first;
    private final long startMillis;
    private long count;

    Window(ILoggingEvent first) {
      this.first = first;
      startMillis = first.getTimeStamp();
    }
  }

  private final Appender<ILoggingEvent> delegate;
  private final int maxRepeats;
  private final long windowMillis;
  private final Map<String, Window> windows = new LinkedHashMap<>();

  RepeatLimitingAppender(Appender<ILoggingEvent> delegate, int maxRepeats, long windowMillis) {
    this.delegate = delegate;
    this.maxRepeats = maxRepeats;
    this.windowMillis = windowMillis;
  }

  @Override
  protected void append(ILoggingEvent e) {
    closeWindows(e.getTimeStamp() - windowMillis);
    String message = e.getFormattedMessage();
    String key = e.getLevel() + e.getLoggerName() + ' '
        + (message.length() <= MAX_KEY_LENGTH ? message : message.substring(0, MAX_KEY_LENGTH)).replaceAll("\\d+", "#");
    Window window = windows.get(key);
    if (window == null && windows.size() < MAX_WINDOWS) {
      window = new Window(e);
      windows.put(key, window);
    }
    if (window == null || ++window.count <= maxRepeats) {
      delegate.doAppend(e);
    }
  }

  /** Closes the windows that started at or before a time, and logs their counts. */
  private void closeWindows(long lastStartMillis) {
    Iterator<Window> iterator = windows.values().iterator();
    while (iterator.hasNext()) {
      Window window = iterator.next();
      if (window.startMillis > lastStartMillis) {
        return; // Windows are in the order of their start times.
      }
      iterator.remove();
      if (window.count > maxRepeats) {
        LoggingEvent summary = new LoggingEvent();
        summary.setLoggerName(window.first.getLoggerName());
        summary.setLevel(window.first.getLevel());
        summary.setThreadName(window.first.getThreadName());
        summary.setTimeStamp(window.startMillis + windowMillis);
        summary.setMessage("repeated=" + (window.count - maxRepeats) + " similar to: " + window.first.getFormattedMessage());
        delegate.doAppend(summary);
      }
    }
  }

  @Override
  public void stop() {
    closeWindows(Long.MAX_VALUE);
    super.stop();
    delegate.stop();
  }
}
