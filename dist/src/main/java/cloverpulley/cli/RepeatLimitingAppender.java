package cloverpulley.cli;

import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.spi.LoggingEvent;
import ch.qos.logback.core.Appender;
import ch.qos.logback.core.AppenderBase;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Passes on a message's first few repeats in a window and counts the others; the count, exact, follows when the window is over (with the
 * next message of any kind) or the log ends. Messages that differ in figures alone are repeats. Guards the log, and the loop that waits
 * for it, against what somebody outside can cause a thousand times a second.
 */
final class RepeatLimitingAppender extends AppenderBase<ILoggingEvent> {

  /** Kinds of messages in a window; more are passed on without counting. */
  private static final int MOST_KINDS = 1000;
  private static final int MOST_KEY = 200;

  private static final class Seen {
    private final ILoggingEvent first;
    private final long since;
    private long count;

    Seen(ILoggingEvent first) {
      this.first = first;
      since = first.getTimeStamp();
    }
  }

  private final Appender<ILoggingEvent> to;
  private final int most;
  private final long windowMillis;
  private final Map<String, Seen> kinds = new LinkedHashMap<>();

  RepeatLimitingAppender(Appender<ILoggingEvent> to, int most, long windowMillis) {
    this.to = to;
    this.most = most;
    this.windowMillis = windowMillis;
  }

  @Override
  protected void append(ILoggingEvent e) {
    tell(e.getTimeStamp() - windowMillis);
    String message = e.getFormattedMessage();
    String key = e.getLevel() + e.getLoggerName() + ' '
        + (message.length() <= MOST_KEY ? message : message.substring(0, MOST_KEY)).replaceAll("\\d+", "#");
    Seen seen = kinds.get(key);
    if (seen == null && kinds.size() < MOST_KINDS) {
      seen = new Seen(e);
      kinds.put(key, seen);
    }
    if (seen == null || ++seen.count <= most) {
      to.doAppend(e);
    }
  }

  /** The windows that began at or before a time are over. */
  private void tell(long beganBefore) {
    Iterator<Seen> all = kinds.values().iterator();
    while (all.hasNext()) {
      Seen s = all.next();
      if (s.since > beganBefore) {
        return; // In the order of their beginnings.
      }
      all.remove();
      if (s.count > most) {
        LoggingEvent told = new LoggingEvent();
        told.setLoggerName(s.first.getLoggerName());
        told.setLevel(s.first.getLevel());
        told.setThreadName(s.first.getThreadName());
        told.setTimeStamp(s.since + windowMillis);
        told.setMessage("repeated=" + (s.count - most) + " more like: " + s.first.getFormattedMessage());
        to.doAppend(told);
      }
    }
  }

  @Override
  public void stop() {
    tell(Long.MAX_VALUE);
    super.stop();
    to.stop();
  }
}
