package cloverpulley.cli;

import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.ExitCode;

/** The {@code ashdeck} command: 0 at a proper end, 1 for bad input or configuration, 2 for a wrong command line. */
@Command(name = "ashdeck", mixinStandardHelpOptions = true, version = "ashdeck 0.1.0",
    description = "Routes requests to fleets of servers, and says so to proxies that ask.",
    subcommands = {BalanceCommand.class, OutsCommand.class, ProcessCommand.class, DnsCommand.class, DnsSdCommand.class, CheckCommand.class, DemoCommand.class, LoadCommand.class,
      IncidentCommand.class, QuotaCommand.class, ModelCommand.class},
    footer = {"", "Exit status: 0 at a proper end, 1 for bad input or configuration, 2 for a wrong command line.",
      "The balancer of the platform is a program of its own, see deploy/balancer.toml."})
public final class Main implements Runnable {

  private Main() {}

  /** Runs a command and ends the process with its status. */
  public static void main(String[] args) {
    Logs.configure(LogConfig.USUAL);
    int status = run(args);
    Logs.stop();
    System.exit(status);
  }

  /** Runs a command; its exit status. */
  static int run(String... args) {
    return new CommandLine(new Main()).setCaseInsensitiveEnumValuesAllowed(true)
        .setExecutionExceptionHandler((e, commandLine, parsed) -> {
          // One line for each thing that is wrong: a stack says nothing to who wrote the file.
          commandLine.getErr().println(e.getMessage() == null ? e.toString() : e.getMessage());
          return ExitCode.SOFTWARE;
        }).execute(args);
  }

  @Override
  public void run() {
    CommandLine.usage(this, System.out);
  }
}
