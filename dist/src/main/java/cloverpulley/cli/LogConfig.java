package cloverpulley.cli;

import cloverpulley.config.Section;
import java.util.Map;

/**
 * How the program logs: {@code [log]} of the operators' file.
 *
 * @param repeats of messages that differ in figures alone, so many are written in a window; the others are counted
 */
record LogConfig(Level level, Format format, int repeats, long windowMillis) {

  /** From the most to the least that is said. */
  enum Level { DEBUG, INFO, WARN, ERROR }

  /** Lines for people, JSON objects, or by whether standard error is a terminal. */
  enum Format { AUTO, TEXT, JSON }

  /** Before any file has been read. */
  static final LogConfig USUAL = new LogConfig(Level.INFO, Format.AUTO, 10, 10_000);

  private static final Map<String, Level> LEVELS =
      Map.of("debug", Level.DEBUG, "info", Level.INFO, "warn", Level.WARN, "error", Level.ERROR);
  private static final Map<String, Format> FORMATS = Map.of("auto", Format.AUTO, "text", Format.TEXT, "json", Format.JSON);

  static LogConfig read(Section s) {
    return new LogConfig(s.oneOf("level", LEVELS, USUAL.level), s.oneOf("format", FORMATS, USUAL.format),
        (int) s.integer("repeats", 1, 1_000_000, USUAL.repeats), s.integer("window_ms", 100, 3_600_000, USUAL.windowMillis));
  }
}
