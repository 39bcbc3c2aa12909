package cloverpulley.serve;

import java.io.IOException;
import java.io.PrintStream;
import java.util.Map;

/** Entry point of the real balancer. */
public final class Main {

  private Main() {}

  /** Serves until SIGTERM, which ends the process with status 0; returns 1 where it can't start. */
  public static int run(Map<String, String> environment, PrintStream err) {
    System.setProperty("java.util.logging.SimpleFormatter.format", "%1$tFT%1$tT.%1$tL %4$s %5$s%6$s%n");
    Server server;
    try {
      server = Server.start(Config.read(environment));
    } catch (IOException | RuntimeException e) {
      err.println("can't start: " + e.toString().lines().findFirst().orElse(""));
      return 1;
    }
    // A hook, so that the process's own handling of signals stays; halt, or the status would tell of the signal.
    Runtime.getRuntime().addShutdownHook(new Thread(() -> {
      server.stop();
      Runtime.getRuntime().halt(0);
    }, "stop"));
    server.await();
    return 1;
  }
}
