package cloverpulley.cli;

import cloverpulley.config.InvalidConfigException;
import cloverpulley.dnssd.Publisher;
import cloverpulley.dns.DnsServer;
import cloverpulley.dns.Warmup;
import cloverpulley.records.Recorder;
import java.io.IOException;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.logging.Logger;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

@Command(name = "dns", mixinStandardHelpOptions = true,
    description = "Answers and forwards DNS queries over UDP and TCP as configured in [dns] of the operators' file.",
    footer = {"", "Prints 'dns listening on HOST:PORT' once it serves. SIGTERM shuts it down gracefully, SIGHUP reloads the server lists",
      "if the file contains them."})
final class DnsCommand implements Callable<Integer> {

  private static final Logger LOG = Logger.getLogger(DnsCommand.class.getName());

  @Option(names = "--config", paramLabel = "FILE", required = true, description = "the operators' file")
  private Path config;

  @Override
  public Integer call() throws InvalidConfigException, IOException, InterruptedException {
    OperatorsConfig operators = OperatorsConfig.read(config);
    Logs.configure(operators.log());
    if (operators.dns() == null) {
      throw new IOException(config + ": dns: expected a table [dns], got nothing");
    }
    Warmup.run(operators.dns(), operators.dns().warmUpQueries());
    Recorder recorder = Recorder.open(operators.records(), "dns", operators.dns().settings());
    DnsServer server = DnsServer.start(operators.dns(), operators.fleet(), new SecureRandom().nextLong(), recorder,
        operators.quota());
    CountDownLatch term = Signals.term();
    Signals.onHup(() -> reload(server));
    System.out.println("dns listening on " + server.address().getAddress().getHostAddress() + ":" + server.address().getPort());
    Publisher publisher = operators.publish() == null ? null : Publisher.startSelf(operators.publish(), server.address().getPort(),
        System.currentTimeMillis(), operators.fleet() == null ? List.of() : operators.fleet().list().members());
    term.await();
    if (publisher != null) {
      publisher.withdraw(); // First, so that clients stop discovering this instance.
      publisher.close();
    }
    server.stop();
    recorder.close();
    return 0;
  }

  private void reload(DnsServer server) {
    try {
      OperatorsConfig read = OperatorsConfig.read(config);
      if (read.quota() != null) {
        server.updateQuotas(read.quota().plan());
      }
      if (read.dns() != null) {
        boolean servers = read.dns().fleet() != null && read.dns().fleet().isStatic();
        boolean shown = read.fleet() != null && read.fleet().isStatic();
        server.updateEndpoints(servers ? read.dns().fleet().list() : null, shown ? read.fleet().list() : null);
        LOG.info("server lists reloaded");
      }
    } catch (InvalidConfigException | IllegalStateException e) {
      LOG.warning("reload rejected, the previous configuration stays in effect: " + e.getMessage());
    }
  }
}
