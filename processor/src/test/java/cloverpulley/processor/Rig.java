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

/** A processor on an ephemeral port, configured by a configuration file, and stand-ins for its callers and upstreams. */
final class Rig implements AutoCloseable {

  /** A generous time limit for expected events; no test passes because it expires. */
  static final int TIMEOUT_S = 60;

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

  /** The parsed configuration file. */
  record ParsedConfig(Settings settings, ProcessorConfig processor, FleetSource fleet) {

    static ParsedConfig read(Section file) {
      Settings settings = ServiceSection.read(file);
      return new ParsedConfig(settings, ProcessorConfig.read(file.table("processor"), 1), FleetSource.read(file.table("fleet")));
    }
  }

  final EventLoopGroup group = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
  private final List<AutoCloseable> resources = new ArrayList<>();
  ProcessorServer server;

  /** A static list of servers at these addresses; each pair of neighbours is one dedup group (cell). */
  static String servers(String... addresses) {
    StringBuilder text = new StringBuilder();
    for (int i = 0; i < addresses.length; i++) {
      text.append("[[fleet.server]]\nid = \"s").append(i).append("\"\naddress = \"").append(addresses[i])
          .append("\"\nzone = \"a\"\ncell = ").append(i / 2).append('\n');
    }
    return text.toString();
  }

  static ParsedConfig parsedConfig(String processor, String fleet) throws InvalidConfigException {
    return ConfigFile.parse("test", CLASSES + "[processor]\nlisten = \"127.0.0.1:0\"\n" + processor + "\n" + fleet,
        ParsedConfig::read);
  }

  /** Starts a processor; {@code processor} are additional lines of its section, tables last. */
  ProcessorServer start(String processor, String fleet) throws InvalidConfigException, IOException {
    ParsedConfig parsedConfig = parsedConfig(processor, fleet);
    server = closeLater(ProcessorServer.start(parsedConfig.processor, parsedConfig.settings, parsedConfig.fleet, 7));
    return server;
  }

  /** Starts a processor on the port of another, which may still be listening. */
  ProcessorServer start(String processor, String fleet, java.net.InetSocketAddress address) throws InvalidConfigException, IOException {
    ParsedConfig parsedConfig = ConfigFile.parse("test", CLASSES + "[processor]\nlisten = \"127.0.0.1:" + address.getPort() + "\"\n"
        + processor + "\n" + fleet, ParsedConfig::read);
    server = closeLater(ProcessorServer.start(parsedConfig.processor, parsedConfig.settings, parsedConfig.fleet, 8));
    return server;
  }

  ProcessorServer start(String processor, String fleet, Balancer balancer) throws InvalidConfigException, IOException {
    ParsedConfig parsedConfig = parsedConfig(processor, fleet);
    server = closeLater(ProcessorServer.start(parsedConfig.processor, parsedConfig.settings, parsedConfig.fleet, n -> balancer));
    return server;
  }

  StandInCaller caller() {
    return closeLater(new StandInCaller(server.address()));
  }

  <T extends AutoCloseable> T closeLater(T closeable) {
    resources.add(0, closeable);
    return closeable;
  }

  /** Waits until a condition holds. */
  static void await(String description, BooleanSupplier condition) throws InterruptedException {
    long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_S);
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() > deadline) {
        throw new AssertionError("timed out: " + description);
      }
      TimeUnit.MILLISECONDS.sleep(2);
    }
  }

  /** Waits until no call is pending, no attempt is in flight and no stream is open. */
  void awaitNoPendingCalls() throws InterruptedException {
    awaitNoPendingCallsExcept(0);
  }

  /** Waits until no call is pending, no attempt is in flight and {@code streams} streams are open. */
  void awaitNoPendingCallsExcept(int streams) throws InterruptedException {
    await("no call pending", () -> server.pendingCalls() == 0 && server.inFlightAttempts() == 0 && server.openStreams() == streams);
  }

  @Override
  public void close() throws Exception {
    for (AutoCloseable c : resources) {
      c.close();
    }
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }
}
