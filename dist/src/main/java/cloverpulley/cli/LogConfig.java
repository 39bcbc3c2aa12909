package cloverpulley.cli;

import cloverpulley.config.Section;
import java.util.Map;

/**
 * Logging settings: the section {@code [log]} of the operators' file.
 *
 * @param repeats how many messages that differ only in numbers are written per window; the others are counted
 */
record LogConfig(Level level, Format format, int repeats, long windowMillis) {

  /** Log levels, from the most to the least verbose. */
  enum Level { DEBUG, INFO, WARN, ERROR }

  /** Text lines, JSON objects, or text on a terminal and JSON otherwise. */
  enum Format { AUTO, TEXT, JSON }

  /** In effect until a file has been read. */
  static final LogConfig DEFAULT = new LogConfig(Level.INFO, Format.AUTO, 10, 10_000);

  private static final Map<String, Level> LEVELS =
      Map.of("debug", Level.DEBUG, "info", Level.INFO, "warn", Level.WARN, "error", Level.ERROR);
  private static final Map<String, Format> FORMATS = Map.of("auto", Format.AUTO, "text", Format.TEXT, "json", Format.JSON);

  static LogConfig read(Section s) {
    return new LogConfig(s.oneOf("level", LEVELS, DEFAULT.level), s.oneOf("format", FORMATS, DEFAULT.format),
        (int) s.integer("repeats", 1, 1_000_000, DEFAULT.repeats), s.integer("window_ms", 100, 3_600_000, DEFAULT.windowMillis));
  }
}
