package cloverpulley.cli;

import cloverpulley.config.BadFileException;
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
    description = "Runs the external processor: proxies call it for each attempt of a request (ext_proc over gRPC).",
    footer = {"", "Prints 'process listening on HOST:PORT' once it serves. SIGTERM stops it in order, SIGHUP reads the list of",
      "servers again where the file holds one."})
final class ProcessCommand implements Callable<Integer> {

  private static final Logger LOG = Logger.getLogger(ProcessCommand.class.getName());

  /** Held, or the levels set on them may be forgotten. */
  private static final List<Logger> QUIET =
      List.of(Logger.getLogger("io.grpc.internal"), Logger.getLogger("io.grpc.netty"), Logger.getLogger("io.netty"));

  @Option(names = "--config", paramLabel = "FILE", required = true, description = "the operators' file")
  private Path config;

  @Override
  public Integer call() throws BadFileException, IOException, InterruptedException {
    OperatorsConfig operators = OperatorsConfig.read(config);
    Logs.configure(operators.log());
    if (operators.processor() == null) {
      throw new IOException(config + ": processor: expected [[class]] and [fleet] for it, got [dns] alone");
    }
    // Guards the log: what a caller sends that can't be read would write a stack into it each time.
    QUIET.forEach(logger -> logger.setLevel(Level.OFF));
    Logs.quiet(QUIET.stream().map(Logger::getName).toArray(String[]::new));
    ProcessorServer server;
    Warmup.run(operators.processor(), operators.settings(), operators.processor().warmUpCalls());
    Recorder recorder = Recorder.open(operators.records(), "process", operators.settings());
    try {
      server = ProcessorServer.start(operators.processor(), operators.settings(), operators.fleet(),
          new SecureRandom().nextLong(), recorder, operators.quota());
    } catch (IOException e) {
      throw new IOException("can't listen at " + operators.processor().listen() + ": " + cause(e), e);
    }
    CountDownLatch term = Signals.term();
    Signals.onHup(() -> reload(server));
    System.out.println("process listening on " + server.address().getAddress().getHostAddress() + ":"
        + server.address().getPort());
    Publisher publisher = operators.publish() == null ? null : Publisher.startSelf(operators.publish(), server.address().getPort(),
        System.currentTimeMillis(), operators.fleet() == null ? List.of() : operators.fleet().list().members());
    term.await();
    if (publisher != null) {
      publisher.withdraw(); // First of all: who looks for us should not find us any more.
      publisher.close();
    }
    server.stop();
    recorder.close();
    return 0;
  }

  private static String cause(Throwable e) {
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
        server.quotas(read.quota().plan());
      }
      if (read.fleet() != null && read.fleet().isWritten()) {
        server.listed(read.fleet().list());
        LOG.info(() -> "list of servers read again: " + read.fleet().list().members().size());
      }
    } catch (BadFileException | IllegalStateException e) {
      LOG.warning("not taken, all stays as it was: " + e.getMessage());
    }
  }
}
