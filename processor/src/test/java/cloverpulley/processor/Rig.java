package cloverpulley.processor;

import cloverpulley.Balancer;
import cloverpulley.Balancer.Settings;
import cloverpulley.config.ConfigFile;
import cloverpulley.config.InvalidConfigException;
import cloverpulley.config.Section;
import cloverpulley.config.ServiceSection;
import cloverpulley.fleet.FleetSource;
import cloverpulley.standins.StandInCaller;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/** A processor on an ephemeral port, made from an operators' file, and what stands in for those it meets. */
final class Rig implements AutoCloseable {

  /** A generous limit for what has to happen: no test passes by its running out. */
  static final int LIMIT_S = 60;

  static final String CLASSES = """
      [[class]]
      name = "safe"
      effect = "safe"
      aim_ms = 20000
      deadline_ms = 40000
      [[class]]
      name = "keyed"
      effect = "keyed"
      dedup_window_ms = 4000
      aim_ms = 20000
      deadline_ms = 40000
      [[class]]
      name = "unsafe"
      effect = "unsafe"
      aim_ms = 20000
      deadline_ms = 40000
      [[class]]
      name = "brief"
      effect = "safe"
      aim_ms = 200
      deadline_ms = 400
      [service]
      zone = "a"
      """;

  /** What a file says, read. */
  record Told(Settings settings, ProcessorConfig processor, FleetSource fleet) {

    static Told read(Section file) {
      Settings settings = ServiceSection.read(file);
      return new Told(settings, ProcessorConfig.read(file.table("processor"), 1), FleetSource.read(file.table("fleet")));
    }
  }

  final EventLoopGroup group = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
  private final List<AutoCloseable> closing = new ArrayList<>();
  ProcessorServer server;

  /** The lines of a list of servers at these addresses; each is a dedup group with the next one, in pairs. */
  static String servers(String... addresses) {
    StringBuilder text = new StringBuilder();
    for (int i = 0; i < addresses.length; i++) {
      text.append("[[fleet.server]]\nid = \"s").append(i).append("\"\naddress = \"").append(addresses[i])
          .append("\"\nzone = \"a\"\ncell = ").append(i / 2).append('\n');
    }
    return text.toString();
  }

  static Told told(String processor, String fleet) throws InvalidConfigException {
    return ConfigFile.parse("test", CLASSES + "[processor]\nlisten = \"127.0.0.1:0\"\n" + processor + "\n" + fleet,
        Told::read);
  }

  /** Starts a processor; {@code processor} are further lines of its section, tables last. */
  ProcessorServer start(String processor, String fleet) throws InvalidConfigException, IOException {
    Told told = told(processor, fleet);
    server = keep(ProcessorServer.start(told.processor, told.settings, told.fleet, 7));
    return server;
  }

  /** Starts one on the port of another, which may still listen there. */
  ProcessorServer start(String processor, String fleet, java.net.InetSocketAddress same) throws InvalidConfigException, IOException {
    Told told = ConfigFile.parse("test", CLASSES + "[processor]\nlisten = \"127.0.0.1:" + same.getPort() + "\"\n"
        + processor + "\n" + fleet, Told::read);
    server = keep(ProcessorServer.start(told.processor, told.settings, told.fleet, 8));
    return server;
  }

  ProcessorServer start(String processor, String fleet, Balancer module) throws InvalidConfigException, IOException {
    Told told = told(processor, fleet);
    server = keep(ProcessorServer.start(told.processor, told.settings, told.fleet, n -> module));
    return server;
  }

  StandInCaller caller() {
    return keep(new StandInCaller(server.address()));
  }

  <T extends AutoCloseable> T keep(T closeable) {
    closing.add(0, closeable);
    return closeable;
  }

  /** Waits for something that has to come about. */
  static void await(String what, BooleanSupplier condition) throws InterruptedException {
    long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(LIMIT_S);
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() > until) {
        throw new AssertionError("never: " + what);
      }
      TimeUnit.MILLISECONDS.sleep(2);
    }
  }

  /** Nothing is left of any call, and no stream. */
  void awaitNoPendingCalls() throws InterruptedException {
    awaitNoPendingCallsExcept(0);
  }

  /** Nothing is left of any call; so many streams are still open. */
  void awaitNoPendingCallsExcept(int streams) throws InterruptedException {
    await("nothing in hand", () -> server.pendingCalls() == 0 && server.inFlightAttempts() == 0 && server.openStreams() == streams);
  }

  @Override
  public void close() throws Exception {
    for (AutoCloseable c : closing) {
      c.close();
    }
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }
}
