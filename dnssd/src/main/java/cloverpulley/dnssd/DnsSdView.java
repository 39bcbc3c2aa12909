package cloverpulley.dnssd;

import cloverpulley.engine.ServerList;
import cloverpulley.membership.Member;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** Inspects what the resolvers report, for the command line: a source like that of a frontend, on its own thread. */
public final class DnsSdView implements AutoCloseable {

  private static final long POLL_MILLIS = 20;

  private final DnsSdConfig config;
  private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final EventLoop loop = group.next();
  private final DnsSdSource source;

  /** Starts reading. */
  public DnsSdView(DnsSdConfig config) {
    this.config = config.withoutSideEffects();
    source = runOnLoop(() -> new DnsSdSource(loop, this.config, ServerList.EMPTY, () -> 0, (kind, list) -> { },
        new java.security.SecureRandom().nextLong()));
  }

  /** Runs a task on the source's event loop and waits for its result. */
  public <T> T runOnLoop(Callable<T> task) {
    try {
      return loop.submit(task).get();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException(e);
    } catch (ExecutionException e) {
      throw new IllegalStateException(e.getCause());
    }
  }

  /** The source; may only be used within {@link #runOnLoop}. */
  public DnsSdSource source() {
    return source;
  }

  /** Waits for a first list; returns false on timeout. */
  public boolean awaitFirstList(long millis) throws InterruptedException {
    long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
    while (!runOnLoop(source::isReady)) {
      if (System.nanoTime() > deadline) {
        return false;
      }
      TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
    }
    return true;
  }

  /** The current server list, and the number of instances that each resolver lists. */
  public List<String> browse() {
    return runOnLoop(() -> {
      List<String> lines = new ArrayList<>();
      for (DnsSdConfig.Browse b : config.browses()) {
        List<Set<String>> listed = source.listed(b.name());
        for (int i = 0; i < listed.size(); i++) {
          lines.add(b.name() + ": resolver " + i + " at " + text(config.resolvers().get(i).address()) + " names " + listed.get(i).size());
        }
      }
      for (Member m : source.members()) {
        lines.add(String.format("%-9s %-22s zone=%s cell=%d size=%s up_since=%s %s", m.phase().name().toLowerCase(java.util.Locale.ROOT),
            m.address() + ":" + m.port(), m.zone().isEmpty() ? "-" : m.zone(), m.cell(), m.size(),
            m.upSince() == 0 ? "long_ago" : Instant.ofEpochMilli(m.upSince()), m.instance()));
      }
      source.problems().forEach(p -> lines.add("ignored: " + p));
      return lines;
    });
  }

  private static String text(java.net.InetSocketAddress a) {
    return a.getAddress().getHostAddress() + ":" + a.getPort();
  }

  /** Reports the current list and every change from now on; returns after the given seconds, or never if 0. */
  public void watch(Consumer<String> line, long seconds) throws InterruptedException {
    runOnLoop(() -> {
      source.members().forEach(m -> line.accept(Instant.now() + " " + m.phase().name().toLowerCase(java.util.Locale.ROOT) + " " + m.id()));
      source.onChange(c -> line.accept(Instant.ofEpochMilli(c.at()) + " " + c.member().phase().name().toLowerCase(java.util.Locale.ROOT)
          + " " + c.member().id() + " why=" + c.reason().code() + (c.resolver() < 0 ? "" : " resolver=" + c.resolver())));
      return null;
    });
    if (seconds > 0) {
      TimeUnit.SECONDS.sleep(seconds);
    } else {
      new CountDownLatch(1).await();
    }
  }

  /** What each resolver reports about the instances with this name or first label. */
  public List<String> explain(String name) {
    return runOnLoop(() -> {
      Set<String> known = new java.util.TreeSet<>();
      for (DnsSdConfig.Browse b : config.browses()) {
        source.listed(b.name()).forEach(known::addAll);
      }
      source.members().forEach(m -> known.add(m.instance()));
      String wanted = name.toLowerCase(java.util.Locale.ROOT);
      List<String> matches = known.stream().filter(n -> n.equals(wanted) || n.equals(wanted + '.') || n.startsWith(wanted + '.')).toList();
      List<String> lines = new ArrayList<>();
      matches.forEach(n -> lines.addAll(source.explain(n)));
      return matches.isEmpty() ? List.of(name + ": no resolver lists it") : lines;
    });
  }

  @Override
  public void close() {
    runOnLoop(() -> {
      source.close();
      return null;
    });
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly(1000);
  }
}
