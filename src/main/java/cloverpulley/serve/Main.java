package cloverpulley.serve;

import cloverpulley.wire.WireException;
import com.fasterxml.jackson.core.JsonProcessingException;
import java.io.IOException;
import java.io.PrintStream;
import java.util.Map;
import sun.misc.Signal;

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
      String what = e instanceof WireException || e instanceof IllegalArgumentException ? e.getMessage()
          : e instanceof JsonProcessingException j ? "configuration: not JSON: " + j.getOriginalMessage() : e.toString();
      err.println("can't start: " + what.lines().findFirst().orElse(""));
      return 1;
    }
    // A handler, not a shutdown hook: hooks run beside the one that ends logging, and the status would tell of the signal.
    Signal.handle(new Signal("TERM"), signal -> new Thread(server::stop, "stop").start());
    server.await();
    return 0;
  }
}
