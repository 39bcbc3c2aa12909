package cloverpulley.cli;

import cloverpulley.config.InvalidConfigException;
import cloverpulley.dnssd.DnsSdView;
import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

@Command(name = "dnssd", mixinStandardHelpOptions = true,
    description = "Shows what the resolvers of [fleet.dnssd] report, which members are accepted, and why.",
    subcommands = {DnsSdCommand.Browse.class, DnsSdCommand.Watch.class, DnsSdCommand.Explain.class})
final class DnsSdCommand implements Runnable {

  @CommandLine.Spec
  private CommandLine.Model.CommandSpec spec;

  @Override
  public void run() {
    throw new CommandLine.ParameterException(spec.commandLine(), "expected browse, watch or explain");
  }

  /** The common base: connects to the resolvers of the operators' file and shows a view of them. */
  abstract static class View implements Callable<Integer> {

    @Option(names = "--config", paramLabel = "FILE", required = true, description = "the operators' file")
    private Path config;

    @Option(names = "--wait", paramLabel = "MS", defaultValue = "5000",
        description = "how long to wait for the first list (default: ${DEFAULT-VALUE})")
    private long waitMillis;

    @Override
    public Integer call() throws InvalidConfigException, IOException, InterruptedException {
      OperatorsConfig operators = OperatorsConfig.read(config);
      if (operators.dnssd() == null) {
        throw new IOException(config + ": fleet.dnssd: expected a table [fleet.dnssd], got nothing");
      }
      try (DnsSdView view = new DnsSdView(operators.dnssd())) {
        boolean received = view.awaitFirstList(waitMillis);
        int status = show(view);
        if (!received) {
          throw new IOException("no list received within " + waitMillis + " ms");
        }
        return status;
      }
    }

    abstract int show(DnsSdView view) throws InterruptedException;
  }

  @Command(name = "browse", mixinStandardHelpOptions = true, description = "Lists the accepted servers and how many each resolver reports.")
  static final class Browse extends View {
    @Override
    int show(DnsSdView view) {
      view.browse().forEach(System.out::println);
      return 0;
    }
  }

  @Command(name = "watch", mixinStandardHelpOptions = true,
      description = "Prints every change of the accepted servers as it happens, with its reason.")
  static final class Watch extends View {

    @Option(names = "--seconds", paramLabel = "S", defaultValue = "0", description = "how long to watch; 0: until interrupted")
    private long seconds;

    @Override
    int show(DnsSdView view) throws InterruptedException {
      view.watch(System.out::println, seconds);
      return 0;
    }
  }

  @Command(name = "explain", mixinStandardHelpOptions = true,
      description = "Shows what each resolver reports about one instance, what is accepted and why.")
  static final class Explain extends View {

    @Parameters(paramLabel = "NAME", description = "the instance, its full name or its first label")
    private String name;

    @Override
    int show(DnsSdView view) {
      view.explain(name).forEach(System.out::println);
      return 0;
    }
  }
}
