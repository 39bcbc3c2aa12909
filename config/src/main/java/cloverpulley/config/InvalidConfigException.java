package cloverpulley.config;

import java.util.List;
import java.util.stream.Collectors;

/** A configuration file is invalid; the message has one line for each problem. */
public final class InvalidConfigException extends Exception {

  private static final long serialVersionUID = 1L;

  private final transient List<Problems.Problem> problems;

  public InvalidConfigException(String file, List<Problems.Problem> problems) {
    super(problems.stream().map(p -> file + ": " + p).collect(Collectors.joining("\n")));
    this.problems = problems;
  }

  public List<Problems.Problem> problems() {
    return problems == null ? List.of() : problems;
  }
}
