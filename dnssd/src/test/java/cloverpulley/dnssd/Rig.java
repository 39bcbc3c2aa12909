package cloverpulley.dnssd;

import cloverpulley.Balancer.ListKind;
import cloverpulley.Balancer.State;
import cloverpulley.config.ConfigFile;
import cloverpulley.config.InvalidConfigException;
import cloverpulley.engine.ServerList;
import cloverpulley.engine.ServerList.Server;
import cloverpulley.standins.StandInZone;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/** A source on its own event loop, with stand-in zones as resolvers. Applies the updates to a list as a frontend does. */
final class Rig implements AutoCloseable {

  /** A generous timeout for conditions that must come true; no test passes because it expires. */
  static final int TIMEOUT_S = 30;
  static final String ORIGIN = "example.";
  static final String SERVICE = "_quote._tcp.example.";
  /** Short intervals, so that what takes seconds in production takes a fraction of a second in tests. */
  static final String FAST_SETTINGS = "poll_ms = 50\nleast_ttl_ms = 50\nback_off_ms = 20\nmost_back_off_ms = 100\nask_ms = 400\n";
  static final String TRUST_SECTION = "[fleet.dnssd.trust]\nfirst_wait_ms = 300\nsettle_ms = 200\nconfirm_ms = 400\nlone_wait_ms = 60000\n";

  final EventLoopGroup group = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
  final Map<String, Server> list = new ConcurrentSkipListMap<>();
  private final List<AutoCloseable> closing = new ArrayList<>();
  private volatile long revision;
  /** The number of servers on the first list. */
  volatile int firstListSize;
  DnsSdSource source;

  StandInZone zone() {
    return keep(new StandInZone(group, ORIGIN));
  }

  /** The settings for these resolvers; {@code settings} are added to {@code [fleet.dnssd]}, {@code tables} follow at the end. */
  static String section(String settings, String tables, StandInZone... zones) {
    StringBuilder text = new StringBuilder("[fleet.dnssd]\ndomains = [\"example\"]\n" + FAST_SETTINGS + settings + "\n");
    for (StandInZone z : zones) {
      text.append("[[fleet.dnssd.resolver]]\naddress = \"127.0.0.1:").append(z.address().getPort()).append("\"\n");
    }
    return text + TRUST_SECTION + tables;
  }

  static DnsSdConfig config(String text) throws InvalidConfigException {
    return ConfigFile.parse("test", text, file -> DnsSdConfig.read(file.table("fleet").table("dnssd")));
  }

  DnsSdSource start(StandInZone... zones) throws Exception {
    return start(section("", "", zones), ServerList.EMPTY);
  }

  DnsSdSource start(String text, ServerList cached) throws Exception {
    DnsSdConfig config = config(text);
    var loop = group.next();
    source = loop.submit(() -> {
      DnsSdSource s = new DnsSdSource(loop, config, cached, () -> revision, this::applyUpdate, 7);
      s.watch(true);
      return s;
    }).get();
    DnsSdSource started = source;
    closing.add(0, () -> loop.submit(started::close).get());
    return source;
  }

  private void applyUpdate(ListKind kind, ServerList update) {
    if (kind == ListKind.FULL) {
      list.clear();
    }
    firstListSize = firstListSize == 0 ? update.members().size() : firstListSize;
    if (kind == ListKind.FULL || kind == ListKind.DELTA && !update.members().isEmpty()) {
      if (update.revision() <= revision) {
        throw new AssertionError("revision " + update.revision() + " after " + revision);
      }
      revision = update.revision();
    }
    for (Server s : update.members()) {
      if (s.state() == State.GONE) {
        list.remove(s.id());
      } else {
        list.put(s.id(), s);
      }
    }
  }

  /** The listed server with this instance label; null if there is none. */
  Server server(String label) {
    return list.values().stream().filter(s -> s.id().startsWith(label + '.' + SERVICE)).findFirst().orElse(null);
  }

  State state(String label) {
    Server s = server(label);
    return s == null ? null : s.state();
  }

  int port(String label) {
    Server s = server(label);
    return s == null ? 0 : ((InetSocketAddress) s.address()).getPort();
  }

  long readyCount() {
    return list.values().stream().filter(s -> s.state() == State.READY).count();
  }

  <T extends AutoCloseable> T keep(T closeable) {
    closing.add(0, closeable);
    return closeable;
  }

  static void await(String description, BooleanSupplier condition) throws InterruptedException {
    long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_S);
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() > deadline) {
        throw new AssertionError("timed out waiting for: " + description);
      }
      TimeUnit.MILLISECONDS.sleep(2);
    }
  }

  /** Waits for this many further queries for a name, after which the resolver's answers have been processed. */
  static void awaitQueries(StandInZone zone, String name, int times) throws InterruptedException {
    long before = queryCount(zone, name);
    await(name + " to be queried", () -> queryCount(zone, name) >= before + times);
  }

  private static long queryCount(StandInZone zone, String name) {
    return zone.server().seen().stream().filter(s -> s.name().equals(name)).count();
  }

  @Override
  public void close() throws Exception {
    for (AutoCloseable c : closing) {
      c.close();
    }
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }
}
