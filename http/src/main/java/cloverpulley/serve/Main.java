package cloverpulley.serve;

import cloverpulley.engine.Signals;
import java.io.IOException;
import java.io.PrintStream;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.logging.Logger;

/** Entry point of the real balancer. */
public final class Main {

  private Main() {}

  /**
   * Serves until SIGTERM, which ends the process with status 0; returns 1 where it can't start. SIGHUP makes it read its
   * configuration again.
   */
  public static int run(Map<String, String> environment, PrintStream err) {
    System.setProperty("java.util.logging.SimpleFormatter.format", "%1$tFT%1$tT.%1$tL %4$s %5$s%6$s%n");
    CompletableFuture<Server> started = new CompletableFuture<>();
    // A handler, not a shutdown hook: hooks run beside the one that ends logging, and the status would tell of the signal.
    Consumer<String> complaint = Logger.getLogger(Main.class.getName())::warning;
    Signals.handle("TERM", () -> started.thenAccept(s -> new Thread(s::stop, "stop").start()), complaint);
    // Without a handler SIGHUP ends the virtual machine. One that comes early is carried out once the balancer serves.
    Signals.handle("HUP", () -> started.thenAccept(s -> s.reload(() -> Config.read(environment))), complaint);
    try {
      started.complete(Server.start(Config.read(environment)));
    } catch (IOException | RuntimeException e) {
      err.println("can't start: " + Config.complaint(e));
      return 1;
    }
    started.join().await();
    return 0;
  }
}
