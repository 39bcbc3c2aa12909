package cloverpulley;

import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;
import java.util.Map;

/** Entry point of the real balancer and of the simulator adapter, which share the decision module. */
public final class Main {

  private Main() {}

  /** Runs the command named by the only argument. */
  public static void main(String[] args) throws IOException {
    System.exit(run(args, System.getenv(), System.in, System.out, System.err));
  }

  /** Returns the exit status: 0 for success, 1 for malformed input or configuration, 2 for a wrong command line. */
  static int run(String[] args, Map<String, String> environment, InputStream in, PrintStream out, PrintStream err)
      throws IOException {
    return switch (args.length == 1 ? args[0] : "") {
      case "serve" -> cloverpulley.serve.Main.run(environment, err);
      case "drill" -> cloverpulley.drill.Main.run(in, out, err);
      default -> {
        err.println("usage: java -jar cloverpulley.jar serve|drill");
        err.println("  serve   run one balancer, configured by the file $ROUTER_CONFIG, until SIGTERM");
        err.println("  drill   read batches of events from standard input, write actions to standard output");
        yield 2;
      }
    };
  }
}
