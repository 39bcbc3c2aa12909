package cloverpulley.cli;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.PatternLayoutEncoder;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.encoder.Encoder;
import cloverpulley.incident.tool.Sanitizer;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.util.Locale;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import net.logstash.logback.composite.AbstractJsonProvider;
import net.logstash.logback.encoder.LogstashEncoder;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.bridge.SLF4JBridgeHandler;

/**
 * Logging of all commands: SLF4J and Logback, with {@code java.util.logging} bridged to them. Logs go to standard error, as text lines or as
 * one JSON object per line with the event's name and each {@code key=value} pair of the message as a field of its own.
 */
final class Logs {

  private static final String PATTERN = "%d{yyyy-MM-dd'T'HH:mm:ss.SSS} %level %plain%n";
  private static final Pattern FIELD = Pattern.compile("(?<![\\w.])([a-z][a-z0-9_]{0,40})=([^\\s,;]{1,200})");
  private static final Pattern INTEGER = Pattern.compile("-?\\d{1,15}");
  private static final int MAX_FIELDS = 64;
  private static final int MAX_EVENT_LENGTH = 60;

  private Logs() {}

  /** Configures logging; may be called again to reconfigure it. */
  static void configure(LogConfig config) {
    LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
    context.reset();
    ConsoleAppender<ILoggingEvent> out = new ConsoleAppender<>();
    out.setContext(context);
    out.setTarget("System.err");
    boolean json = config.format() == LogConfig.Format.JSON || config.format() == LogConfig.Format.AUTO && System.console() == null;
    out.setEncoder(json ? json(context) : text(context));
    out.start();
    RepeatLimitingAppender repeats = new RepeatLimitingAppender(out, config.repeats(), config.windowMillis());
    repeats.setContext(context);
    repeats.start();
    ch.qos.logback.classic.Logger root = context.getLogger(Logger.ROOT_LOGGER_NAME);
    root.setLevel(Level.valueOf(config.level().name()));
    root.addAppender(repeats);
    SLF4JBridgeHandler.removeHandlersForRootLogger();
    SLF4JBridgeHandler.install();
    // Filters at the source, because the bridge converts every record that java.util.logging lets through.
    java.util.logging.Logger.getLogger("").setLevel(switch (config.level()) {
      case DEBUG -> java.util.logging.Level.FINE;
      case INFO -> java.util.logging.Level.INFO;
      case WARN -> java.util.logging.Level.WARNING;
      case ERROR -> java.util.logging.Level.SEVERE;
    });
  }

  private static Encoder<ILoggingEvent> text(LoggerContext context) {
    PatternLayoutEncoder encoder = new PatternLayoutEncoder();
    encoder.setContext(context);
    // Replaces control and bidirectional characters, so that untrusted input in a message can't manipulate a terminal.
    encoder.setPattern(PATTERN.replace("%plain", "%replace(%msg){'[\\p{Cc}\\u202A-\\u202E\\u2066-\\u2069]','?'}"));
    encoder.start();
    return encoder;
  }

  private static Encoder<ILoggingEvent> json(LoggerContext context) {
    LogstashEncoder encoder = new LogstashEncoder();
    encoder.setContext(context);
    encoder.setIncludeContext(false);
    encoder.setVersion(null);
    encoder.getFieldNames().setLevelValue("[ignore]");
    encoder.getFieldNames().setVersion("[ignore]");
    encoder.addProvider(new AbstractJsonProvider<ILoggingEvent>() {
      @Override
      public void writeTo(JsonGenerator g, ILoggingEvent e) throws IOException {
        g.writeStringField("event", event(e.getLoggerName(), e.getFormattedMessage()));
        g.writeObjectFieldStart("fields");
        Matcher m = FIELD.matcher(e.getFormattedMessage());
        java.util.Set<String> seen = new java.util.HashSet<>();
        while (m.find() && seen.size() < MAX_FIELDS) {
          if (!seen.add(m.group(1))) {
            continue; // Many parsers reject JSON objects with duplicate keys.
          }
          if (INTEGER.matcher(m.group(2)).matches()) {
            g.writeNumberField(m.group(1), Long.parseLong(m.group(2)));
          } else {
            g.writeStringField(m.group(1), m.group(2));
          }
        }
        g.writeEndObject();
      }
    });
    encoder.start();
    return encoder;
  }

  /** Returns the event's name: the logger's simple name and the message's words up to the first digit or punctuation mark. */
  static String event(String logger, String message) {
    String source = logger == null ? "" : logger.substring(logger.lastIndexOf('.') + 1).toLowerCase(Locale.ROOT);
    StringBuilder words = new StringBuilder();
    for (char c : Sanitizer.printable(message).toCharArray()) {
      if (Character.isLetter(c)) {
        words.append(Character.toLowerCase(c));
      } else if (c == ' ' || c == '\'') {
        if (words.length() > 0 && words.charAt(words.length() - 1) != '_') {
          words.append('_');
        }
      } else {
        break;
      }
      if (words.length() >= MAX_EVENT_LENGTH) {
        break;
      }
    }
    while (words.length() > 0 && words.charAt(words.length() - 1) == '_') {
      words.setLength(words.length() - 1);
    }
    return words.length() == 0 ? source : source + "." + words;
  }

  /** Turns off loggers by name, for libraries that log directly through SLF4J, such as Netty. */
  static void disable(String... names) {
    LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
    for (String name : names) {
      context.getLogger(name).setLevel(Level.OFF);
    }
  }

  /** Stops logging and writes the counts of suppressed repeats. */
  static void stop() {
    if (LoggerFactory.getILoggerFactory() instanceof LoggerContext context) {
      context.stop();
    }
  }
}
