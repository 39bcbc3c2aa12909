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

/** A source on a loop of its own with stand-in zones for resolvers; what it tells is kept as a front would. */
final class Rig implements AutoCloseable {

  /** A generous limit for what has to happen: no test passes by its running out. */
  static final int LIMIT_S = 30;
  static final String ORIGIN = "example.";
  static final String SERVICE = "_quote._tcp.example.";
  /** Quick figures: what takes seconds in service takes a fraction of one here. */
  static final String QUICK = "poll_ms = 50\nleast_ttl_ms = 50\nback_off_ms = 20\nmost_back_off_ms = 100\nask_ms = 400\n";
  static final String TRUST = "[fleet.dnssd.trust]\nfirst_wait_ms = 300\nsettle_ms = 200\nconfirm_ms = 400\nlone_wait_ms = 60000\n";

  final EventLoopGroup group = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
  final Map<String, Server> list = new ConcurrentSkipListMap<>();
  private final List<AutoCloseable> closing = new ArrayList<>();
  private volatile long revision;
  /** How many the first list had. */
  volatile int firstList;
  DnsSdSource source;

  StandInZone zone() {
    return keep(new StandInZone(group, ORIGIN));
  }

  /** The section for these resolvers; {@code more} are keys of {@code [fleet.dnssd]}, {@code tables} come after. */
  static String section(String more, String tables, StandInZone... zones) {
    StringBuilder text = new StringBuilder("[fleet.dnssd]\ndomains = [\"example\"]\n" + QUICK + more + "\n");
    for (StandInZone z : zones) {
      text.append("[[fleet.dnssd.resolver]]\naddress = \"127.0.0.1:").append(z.address().getPort()).append("\"\n");
    }
    return text + TRUST + tables;
  }

  static DnsSdConfig config(String text) throws InvalidConfigException {
    return ConfigFile.parse("test", text, file -> DnsSdConfig.read(file.table("fleet").table("dnssd")));
  }

  DnsSdSource start(StandInZone... zones) throws Exception {
    return start(section("", "", zones), ServerList.EMPTY);
  }

  DnsSdSource start(String text, ServerList held) throws Exception {
    DnsSdConfig config = config(text);
    var loop = group.next();
    source = loop.submit(() -> {
      DnsSdSource s = new DnsSdSource(loop, config, held, () -> revision, this::told, 7);
      s.watch(true);
      return s;
    }).get();
    DnsSdSource mine = source;
    closing.add(0, () -> loop.submit(mine::close).get());
    return source;
  }

  private void told(ListKind kind, ServerList news) {
    if (kind == ListKind.FULL) {
      list.clear();
    }
    firstList = firstList == 0 ? news.members().size() : firstList;
    if (kind == ListKind.FULL || kind == ListKind.DELTA && !news.members().isEmpty()) {
      if (news.revision() <= revision) {
        throw new AssertionError("revision " + news.revision() + " after " + revision);
      }
      revision = news.revision();
    }
    for (Server s : news.members()) {
      if (s.state() == State.GONE) {
        list.remove(s.id());
      } else {
        list.put(s.id(), s);
      }
    }
  }

  /** The server that an instance's label has on the list; null for none. */
  Server of(String label) {
    return list.values().stream().filter(s -> s.id().startsWith(label + '.' + SERVICE)).findFirst().orElse(null);
  }

  State state(String label) {
    Server s = of(label);
    return s == null ? null : s.state();
  }

  int port(String label) {
    Server s = of(label);
    return s == null ? 0 : ((InetSocketAddress) s.address()).getPort();
  }

  long ready() {
    return list.values().stream().filter(s -> s.state() == State.READY).count();
  }

  <T extends AutoCloseable> T keep(T closeable) {
    closing.add(0, closeable);
    return closeable;
  }

  static void await(String what, BooleanSupplier condition) throws InterruptedException {
    long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(LIMIT_S);
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() > until) {
        throw new AssertionError("never: " + what);
      }
      TimeUnit.MILLISECONDS.sleep(2);
    }
  }

  /** Waits until a resolver has been asked so many times more for a name: what it says has then been heard. */
  static void awaitAsked(StandInZone zone, String name, int times) throws InterruptedException {
    long before = asked(zone, name);
    await(name + " is asked for", () -> asked(zone, name) >= before + times);
  }

  private static long asked(StandInZone zone, String name) {
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
