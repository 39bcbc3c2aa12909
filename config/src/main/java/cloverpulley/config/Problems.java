package cloverpulley.config;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** The problems found in a configuration file. */
public final class Problems {

  /** Bounds the list: a file with more problems is probably not a configuration file at all. */
  private static final int MAX_PROBLEMS = 100;

  /**
   * One problem.
   *
   * @param key the full key, as written in the file; empty for the file as a whole
   * @param line the line, from 1; 0 if no line is to blame, as for a missing key
   */
  public record Problem(String key, int line, String message) {
    @Override
    public String toString() {
      return (line > 0 ? "line " + line + ": " : "") + (key.isEmpty() ? "" : key + ": ") + message;
    }
  }

  private final List<Problem> problems = new ArrayList<>();

  public void add(String key, int line, String message) {
    if (problems.size() < MAX_PROBLEMS) {
      problems.add(new Problem(key, line, message));
    }
  }

  public boolean isEmpty() {
    return problems.isEmpty();
  }

  /** The problems found so far, sorted by line; those without a line come first. */
  public List<Problem> sorted() {
    return problems.stream().sorted(Comparator.comparingInt(Problem::line)).toList();
  }
}
