package cloverpulley.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.spi.LoggingEvent;
import ch.qos.logback.core.read.ListAppender;
import cloverpulley.config.ConfigFile;
import cloverpulley.config.InvalidConfigException;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.logging.Logger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class LogsTest {

  private final PrintStream originalErr = System.err;

  @AfterEach
  void restore() {
    System.setErr(originalErr);
    Logs.configure(LogConfig.DEFAULT);
  }

  private static String captureLog(LogConfig.Format format, LogConfig.Level level, Runnable action) {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    System.setErr(new PrintStream(out, true, StandardCharsets.UTF_8));
    Logs.configure(new LogConfig(level, format, 3, 60_000));
    action.run();
    Logs.stop();
    return out.toString(StandardCharsets.UTF_8);
  }

  @Test
  void jsonLinesHaveEventAndFields() throws Exception {
    Logger log = Logger.getLogger("cloverpulley.dns.DnsServer");
    String text = captureLog(LogConfig.Format.JSON, LogConfig.Level.INFO, () -> {
      log.info("stopped: queries=17 over_rate=2 word=a\u001bb queries=3");
      log.fine("below the level");
    });
    assertEquals(1, text.lines().count(), text);
    Map<String, String> fields = new HashMap<>();
    try (JsonParser p = new JsonFactory().createParser(text)) {
      for (JsonToken t = p.nextToken(); t != null; t = p.nextToken()) {
        if (t.isScalarValue()) {
          fields.put(p.currentName(), p.getText());
        }
      }
    }
    assertEquals("dnsserver.stopped", fields.get("event"));
    assertEquals("17", fields.get("queries"));
    assertEquals("2", fields.get("over_rate"));
    assertEquals("INFO", fields.get("level"));
    assertTrue(fields.containsKey("@timestamp"), fields.toString());
    assertFalse(text.contains("\u001b"), text);
  }

  @Test
  void textLinesContainNoControlCharacters() {
    String text = captureLog(LogConfig.Format.TEXT, LogConfig.Level.INFO, () -> Logger.getLogger("x.Y").warning("tenant \u001b[2J\r\nnew line"));
    assertEquals(1, text.lines().count(), text);
    assertTrue(text.contains("WARN tenant ?[2J??new line"), text);
  }

  @Test
  void levelIsConfigurable() {
    String text = captureLog(LogConfig.Format.TEXT, LogConfig.Level.WARN, () -> {
      Logger.getLogger("x.Y").info("quiet");
      Logger.getLogger("x.Y").severe("loud");
    });
    assertTrue(text.contains("loud") && !text.contains("quiet"), text);
  }

  @Test
  void repeatsAreCountedExactly() {
    ListAppender<ILoggingEvent> delegate = new ListAppender<>();
    delegate.start();
    RepeatLimitingAppender appender = new RepeatLimitingAppender(delegate, 3, 1000);
    appender.start();
    for (int i = 0; i < 1000; i++) {
      appender.doAppend(event(i, "connection " + i + " fails"));
    }
    appender.doAppend(event(999, "something else"));
    appender.doAppend(event(1000, "connection 5 fails")); // The window has ended: its count is logged and a new window starts.
    appender.stop();
    List<String> messages = delegate.list.stream().map(ILoggingEvent::getFormattedMessage).toList();
    assertEquals(List.of("connection 0 fails", "connection 1 fails", "connection 2 fails", "something else",
        "repeated=997 similar to: connection 0 fails", "connection 5 fails"), messages);
  }

  private static ILoggingEvent event(long at, String message) {
    LoggingEvent e = new LoggingEvent();
    e.setLevel(Level.WARN);
    e.setLoggerName("x");
    e.setTimeStamp(at);
    e.setMessage(message);
    return e;
  }

  @Test
  void sectionIsValidated() throws InvalidConfigException {
    assertEquals(LogConfig.Format.JSON, ConfigFile.parse("f", "[log]\nformat = \"json\"", s -> LogConfig.read(s.table("log"))).format());
    InvalidConfigException e = org.junit.jupiter.api.Assertions.assertThrows(InvalidConfigException.class,
        () -> ConfigFile.parse("f", "[log]\nlevel = \"loud\"\nwindow_ms = 1\nx = 2", s -> LogConfig.read(s.table("log"))));
    for (String part : List.of("log.level", "log.window_ms", "log.x")) {
      assertTrue(e.getMessage().contains(part), e.getMessage());
    }
  }
}
