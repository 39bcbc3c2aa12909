package cloverpulley.drill;

import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;

/** Entry point of the wire adapter. */
public final class Main {

  private Main() {}

  /** Runs {@code drill}: events on standard input, actions on standard output, until the input ends. */
  public static void main(String[] args) throws IOException {
    System.exit(run(args, System.in, System.out, System.err));
  }

  /** The exit status: 0 at the end of the input, 1 for malformed input, 2 for a wrong command line. */
  static int run(String[] args, InputStream in, PrintStream out, PrintStream err) throws IOException {
    if (args.length != 1 || !args[0].equals("drill")) {
      err.println("usage: java -jar cloverpulley.jar drill");
      err.println("  drill   read batches of events from standard input, write actions to standard output");
      return 2;
    }
    try {
      new Link(in, out).run();
      return 0;
    } catch (WireException e) {
      err.println(e.getMessage());
      return 1;
    }
  }
}
