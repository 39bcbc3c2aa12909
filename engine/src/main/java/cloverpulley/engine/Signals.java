package cloverpulley.engine;

import java.util.function.Consumer;
import sun.misc.Signal;
import sun.misc.SignalHandler;

/** What the process is told from outside by signals. */
public final class Signals {

  private Signals() {}

  /**
   * Runs a task at each signal of this name. Guards against who starts the program with the signal ignored, as nohup and some init scripts
   * do: the virtual machine then leaves it so without a word, and whoever sends it believes that it was heard.
   *
   * @param name such as HUP
   * @param complaint told one line where the signal can't be heard
   */
  public static void handle(String name, Runnable task, Consumer<String> complaint) {
    if (Signal.handle(new Signal(name), signal -> task.run()) == SignalHandler.SIG_IGN) {
      complaint.accept("SIG" + name + " can't be heard: whoever started this process has it ignored (nohup does)");
    }
  }
}
