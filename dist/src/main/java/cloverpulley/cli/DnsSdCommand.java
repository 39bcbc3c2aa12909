package cloverpulley.cli;

import cloverpulley.config.BadFileException;
import cloverpulley.dnssd.DnsSdView;
import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

@Command(name = "dnssd", mixinStandardHelpOptions = true, description = "Shows what the resolvers of [fleet.dnssd] say, and what is believed of it and why.",
    subcommands = {DnsSdCommand.Browse.class, DnsSdCommand.Watch.class, DnsSdCommand.Explain.class})
final class DnsSdCommand implements Runnable {

  @CommandLine.Spec
  private CommandLine.Model.CommandSpec spec;

  @Override
  public void run() {
    throw new CommandLine.ParameterException(spec.commandLine(), "expected browse, watch or explain");
  }

  /** What all of them read. */
  abstract static class View implements Callable<Integer> {

    @Option(names = "--config", paramLabel = "FILE", required = true, description = "the operators' file")
    private Path config;

    @Option(names = "--wait", paramLabel = "MS", defaultValue = "5000", description = "how long a first list may take (${DEFAULT-VALUE})")
    private long waitMillis;

    @Override
    public Integer call() throws BadFileException, IOException, InterruptedException {
      OperatorsConfig operators = OperatorsConfig.read(config);
      if (operators.dnssd() == null) {
        throw new IOException(config + ": fleet.dnssd: expected a table [fleet.dnssd], got nothing");
      }
      try (DnsSdView view = new DnsSdView(operators.dnssd())) {
        boolean found = view.awaitFirstList(waitMillis);
        int status = show(view);
        if (!found) {
          throw new IOException("no list in " + waitMillis + " ms");
        }
        return status;
      }
    }

    abstract int show(DnsSdView view) throws InterruptedException;
  }

  @Command(name = "browse", mixinStandardHelpOptions = true, description = "The servers as they are believed, and how many each resolver names.")
  static final class Browse extends View {
    @Override
    int show(DnsSdView view) {
      view.browse().forEach(System.out::println);
      return 0;
    }
  }

  @Command(name = "watch", mixinStandardHelpOptions = true, description = "Every change of what is believed, as it comes, with its reason.")
  static final class Watch extends View {

    @Option(names = "--seconds", paramLabel = "S", defaultValue = "0", description = "how long; 0: until it is ended")
    private long seconds;

    @Override
    int show(DnsSdView view) throws InterruptedException {
      view.watch(System.out::println, seconds);
      return 0;
    }
  }

  @Command(name = "explain", mixinStandardHelpOptions = true, description = "What each resolver says of one instance, what is believed and why.")
  static final class Explain extends View {

    @Parameters(paramLabel = "NAME", description = "the instance, whole or its first label")
    private String name;

    @Override
    int show(DnsSdView view) {
      view.explain(name).forEach(System.out::println);
      return 0;
    }
  }
}
