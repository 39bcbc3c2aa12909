package cloverpulley.drill;

import cloverpulley.wire.WireException;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;

/** Entry point of the wire adapter. */
public final class Main {

  private Main() {}

  /** Answers events until the input ends; the exit status is then 0, and 1 for malformed input. */
  public static int run(InputStream in, PrintStream out, PrintStream err) throws IOException {
    try {
      new Link(in, out).run();
      return 0;
    } catch (WireException e) {
      err.println(e.getMessage());
      return 1;
    }
  }
}
