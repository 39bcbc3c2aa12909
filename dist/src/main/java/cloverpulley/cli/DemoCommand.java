package cloverpulley.cli;

import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

@Command(name = "demo", mixinStandardHelpOptions = true,
    description = "Starts stand-in servers, a stand-in proxy and the processor on loopback, runs a bounded load with a drain, a "
        + "crash and a restart, and prints the results; then does the same with DNS.")
final class DemoCommand implements Callable<Integer> {

  @Option(names = "--seconds", paramLabel = "N", defaultValue = "12", description = "duration, 8 to 120 (default: ${DEFAULT-VALUE})")
  private int seconds;

  @Option(names = "--rate", paramLabel = "N", defaultValue = "150",
      description = "requests per second, 10 to 1000 (default: ${DEFAULT-VALUE})")
  private int rate;

  @Override
  public Integer call() throws Exception {
    if (seconds < 8 || seconds > 120 || rate < 10 || rate > 1000) {
      throw new IllegalArgumentException("--seconds must be 8 to 120 and --rate 10 to 1000");
    }
    boolean passed = new Demo(seconds, rate).run(System.out);
    System.out.println();
    return new DnsDemo(seconds / 2, rate).run(System.out) && passed ? 0 : 1;
  }
}
