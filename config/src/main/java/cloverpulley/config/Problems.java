package cloverpulley.config;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** All that is wrong with a file, in the order of its lines. */
public final class Problems {

  /** More than this is not a file with errors but another file. */
  private static final int MOST = 100;

  /**
   * One of them.
   *
   * @param key the full key, as the file would write it; empty where it is the file as a whole
   * @param line from 1; 0 where no line is at fault, as with a key that is missing
   */
  public record Problem(String key, int line, String what) {
    @Override
    public String toString() {
      return (line > 0 ? "line " + line + ": " : "") + (key.isEmpty() ? "" : key + ": ") + what;
    }
  }

  private final List<Problem> all = new ArrayList<>();

  public void add(String key, int line, String what) {
    if (all.size() < MOST) {
      all.add(new Problem(key, line, what));
    }
  }

  public boolean isEmpty() {
    return all.isEmpty();
  }

  /** Those found so far; what no line is at fault for comes first. */
  public List<Problem> all() {
    return all.stream().sorted(Comparator.comparingInt(Problem::line)).toList();
  }
}
