package cloverpulley.config;

import java.util.List;
import java.util.stream.Collectors;

/** A file of the operators can't be used; the message has one line for each thing that is wrong. */
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
