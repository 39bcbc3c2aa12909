package cloverpulley.drill;

import cloverpulley.wire.WireException;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;

/** Entry point of the simulator adapter. */
public final class Main {

  private Main() {}

  /** Processes events until the input ends. Returns the exit status: 0, or 1 for malformed input. */
  public static int run(InputStream in, PrintStream out, PrintStream err) throws IOException {
    try {
      new SimulatorAdapter(in, out).run();
      return 0;
    } catch (WireException e) {
      err.println(e.getMessage());
      return 1;
    }
  }
}
