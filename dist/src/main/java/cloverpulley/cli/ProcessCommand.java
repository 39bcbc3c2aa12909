package cloverpulley.cli;

import cloverpulley.config.InvalidConfigException;
import cloverpulley.dnssd.Publisher;
import cloverpulley.processor.ProcessorServer;
import cloverpulley.processor.Warmup;
import cloverpulley.records.Recorder;
import java.io.IOException;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.logging.Level;
import java.util.logging.Logger;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

@Command(name = "process", mixinStandardHelpOptions = true,
    description = "Runs the external processor that proxies call for each attempt of a request (ext_proc over gRPC).",
    footer = {"", "Prints 'process listening on HOST:PORT' once it serves. SIGTERM shuts it down gracefully, SIGHUP reloads the",
      "server list if the file contains one."})
final class ProcessCommand implements Callable<Integer> {

  private static final Logger LOG = Logger.getLogger(ProcessCommand.class.getName());

  /** Strong references: java.util.logging holds loggers weakly, and their levels would be lost with them. */
  private static final List<Logger> SILENCED_LOGGERS =
      List.of(Logger.getLogger("io.grpc.internal"), Logger.getLogger("io.grpc.netty"), Logger.getLogger("io.netty"));

  @Option(names = "--config", paramLabel = "FILE", required = true, description = "the operators' file")
  private Path config;

  @Override
  public Integer call() throws InvalidConfigException, IOException, InterruptedException {
    OperatorsConfig operators = OperatorsConfig.read(config);
    Logs.configure(operators.log());
    if (operators.processor() == null) {
      throw new IOException(config + ": processor: expected [[class]] and [fleet] for it, got [dns] only");
    }
    // Each malformed message from a caller would otherwise log a stack trace.
    SILENCED_LOGGERS.forEach(logger -> logger.setLevel(Level.OFF));
    Logs.disable(SILENCED_LOGGERS.stream().map(Logger::getName).toArray(String[]::new));
    ProcessorServer server;
    Warmup.run(operators.processor(), operators.settings(), operators.processor().warmUpCalls());
    Recorder recorder = Recorder.open(operators.records(), "process", operators.settings());
    try {
      server = ProcessorServer.start(operators.processor(), operators.settings(), operators.fleet(),
          new SecureRandom().nextLong(), recorder, operators.quota());
    } catch (IOException e) {
      throw new IOException("can't listen at " + operators.processor().listen() + ": " + rootCauseMessage(e), e);
    }
    CountDownLatch term = Signals.term();
    Signals.onHup(() -> reload(server));
    System.out.println("process listening on " + server.address().getAddress().getHostAddress() + ":"
        + server.address().getPort());
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

  private static String rootCauseMessage(Throwable e) {
    Throwable last = e;
    while (last.getCause() != null) {
      last = last.getCause();
    }
    return last.getMessage();
  }

  private void reload(ProcessorServer server) {
    try {
      OperatorsConfig read = OperatorsConfig.read(config);
      if (read.quota() != null) {
        server.updateQuotas(read.quota().plan());
      }
      if (read.fleet() != null && read.fleet().isStatic()) {
        server.updateServerList(read.fleet().list());
        LOG.info(() -> "server list reloaded: " + read.fleet().list().members().size());
      }
    } catch (InvalidConfigException | IllegalStateException e) {
      LOG.warning("reload rejected, the previous configuration stays in effect: " + e.getMessage());
    }
  }
}
