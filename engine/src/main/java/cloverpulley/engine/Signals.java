package cloverpulley.engine;

import java.util.function.Consumer;
import sun.misc.Signal;
import sun.misc.SignalHandler;

/** Handlers for operating system signals. */
public final class Signals {

  private Signals() {}

  /**
   * Runs a task at each signal of this name. Reports if the program was started with the signal ignored, as nohup and some init scripts
   * do: the JVM then silently leaves it ignored, and whoever sends it would believe that it was handled.
   *
   * @param name such as HUP
   * @param warning receives one line if the signal is ignored
   */
  public static void handle(String name, Runnable task, Consumer<String> warning) {
    if (Signal.handle(new Signal(name), signal -> task.run()) == SignalHandler.SIG_IGN) {
      warning.accept("SIG" + name + " is ignored: the process was started with it ignored, as by nohup");
    }
  }
}
