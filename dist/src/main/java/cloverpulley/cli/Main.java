package cloverpulley.cli;

import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.ExitCode;

/** The {@code ashdeck} command. Exit status: 0 on success, 1 for bad input or configuration, 2 for an invalid command line. */
@Command(name = "ashdeck", mixinStandardHelpOptions = true, version = "ashdeck 0.1.0",
    description = "Balances requests across fleets of servers, as a balancer, a DNS forwarder or an external processor of proxies.",
    subcommands = {BalanceCommand.class, OutsCommand.class, ProcessCommand.class, DnsCommand.class, DnsSdCommand.class,
      CheckCommand.class, DemoCommand.class, LoadCommand.class, IncidentCommand.class, QuotaCommand.class, ModelCommand.class},
    footer = {"", "Exit status: 0 on success, 1 for bad input or configuration, 2 for an invalid command line.",
      "The platform's balancer is a separate program, see deploy/balancer.toml."})
public final class Main implements Runnable {

  private Main() {}

  /** Runs a command and exits with its status. */
  public static void main(String[] args) {
    Logs.configure(LogConfig.DEFAULT);
    int status = run(args);
    Logs.stop();
    System.exit(status);
  }

  /** Runs a command and returns its exit status. */
  static int run(String... args) {
    return new CommandLine(new Main()).setCaseInsensitiveEnumValuesAllowed(true)
        .setExecutionExceptionHandler((e, commandLine, parsed) -> {
          // One line per error: a stack trace is no help to the author of a configuration file.
          commandLine.getErr().println(e.getMessage() == null ? e.toString() : e.getMessage());
          return ExitCode.SOFTWARE;
        }).execute(args);
  }

  @Override
  public void run() {
    CommandLine.usage(this, System.out);
  }
}
