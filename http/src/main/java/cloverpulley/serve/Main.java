package cloverpulley.serve;

import cloverpulley.Logic;
import cloverpulley.engine.EngineListener;
import cloverpulley.engine.Signals;
import java.io.IOException;
import java.io.PrintStream;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import java.util.logging.Level;
import java.util.logging.Logger;

/** Entry point of the balancer. */
public final class Main {

  /** Whether clients may have connected: before that SIGTERM ends the process at once. */
  private enum Phase { STARTING, LISTENING, ENDED }

  private Main() {}

  /**
   * Serves until SIGTERM, which ends the process with status 0; returns 1 if it can't start. SIGHUP reloads the configuration.
   */
  public static int run(Map<String, String> environment, PrintStream err) {
    System.setProperty("java.util.logging.SimpleFormatter.format", "%1$tFT%1$tT.%1$tL %4$s %5$s%6$s%n");
    Thread.setDefaultUncaughtExceptionHandler((thread, e) -> Logger.getLogger(Main.class.getName()).log(Level.SEVERE,
        "thread " + thread.getName() + " ended", e));
    CompletableFuture<Server> started = new CompletableFuture<>();
    // A handler, not a shutdown hook: hooks run concurrently with the one that ends logging, and the exit status would be the signal's.
    Consumer<String> warn = Logger.getLogger(Main.class.getName())::warning;
    AtomicReference<Phase> phase = new AtomicReference<>(Phase.STARTING);
    Signals.handle("TERM", () -> {
      if (phase.compareAndSet(Phase.STARTING, Phase.ENDED)) {
        warn.accept("SIGTERM received before serving");
        Runtime.getRuntime().halt(0); // No client has connected. Accepting any now would leave them to the SIGKILL that follows.
      }
      started.thenAccept(s -> new Thread(s::stop, "stop").start());
    }, warn);
    // Without a handler SIGHUP ends the virtual machine. An early SIGHUP takes effect once the balancer serves.
    Signals.handle("HUP", () -> started.thenAccept(s -> s.reload(() -> Config.read(environment))), warn);
    try {
      Config config = Config.read(environment);
      started.complete(Server.start(config, n -> new Logic(config.settings(), config.seed() + n), null, EngineListener.NO_OP,
          s -> phase.compareAndSet(Phase.STARTING, Phase.LISTENING)));
    } catch (IOException | RuntimeException | Error e) {
      err.println("can't start: " + Config.describeFailure(e));
      return 1;
    }
    started.join().await();
    return 0;
  }
}
