package cloverpulley.serve;

import cloverpulley.Balancer.ListKind;
import cloverpulley.Balancer.Settings;
import cloverpulley.Logic;
import cloverpulley.engine.Engine;
import cloverpulley.engine.EngineListener;
import cloverpulley.engine.Fleet;
import cloverpulley.engine.ServerList;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/** The HTTP balancer embedded in another program: the same front end and engine as the platform's, with a supplied source of endpoint lists. */
public final class EmbeddedBalancer {

  /** Opens the source of endpoint lists. */
  public interface ListSourceFactory {
    /** Opens the source on the loop that it is confined to. */
    Engine.ListSource open(EventLoop loop, Fleet fleet, BiConsumer<ListKind, ServerList> onListUpdate);
  }

  /**
   * The options of a balancer.
   *
   * @param management the address of the management endpoint; null for none
   * @param shared the folder shared with a predecessor or successor; null for none
   * @param sockets the limit on descriptors for clients and upstreams
   * @param memoryBytes the memory from which the buffer limits are derived
   * @param known the initial endpoint list
   * @param idleNanos the idle time after which an upstream may close a connection
   * @param listener notified of the engine's events
   * @param beforeListen run once the engine exists, before clients can connect
   */
  public record Options(String name, InetSocketAddress listen, InetSocketAddress management, Path shared, int sockets, long memoryBytes,
      ServerList known, Settings settings, long idleNanos, long seed, ListSourceFactory listSourceFactory,
      EngineListener listener, Consumer<OfflineControl> beforeListen) {}

  /** Takes upstreams offline and online for a disruption that the fleet has agreed on. */
  public interface OfflineControl {
    /**
     * Takes an upstream offline, whatever the lists say; it has been so for {@code forNanos} already.
     *
     * @return completes once the module has been notified
     */
    CompletableFuture<Void> setOffline(String id, long forNanos);

    /** Brings an upstream online, in slow start, unless a management call has taken it offline as well. */
    CompletableFuture<Void> setOnline(String id);
  }

  private final Server server;

  private EmbeddedBalancer(Server server) {
    this.server = server;
  }

  /** Starts a balancer and returns once it listens. */
  public static EmbeddedBalancer start(Options options) {
    Config config = new Config(options.name(), options.listen(), null, options.seed(), options.sockets(), options.memoryBytes(), null,
        List.of(), null, options.known(), options.settings(), options.idleNanos(), false, options.management(), options.shared(), null);
    return new EmbeddedBalancer(Server.start(config, n -> new Logic(options.settings(), options.seed() + n),
        options.listSourceFactory(), options.listener(), s -> options.beforeListen().accept(new OfflineControl() {
      @Override
      public CompletableFuture<Void> setOffline(String id, long forNanos) {
        return s.setAgreedOffline(id, forNanos);
      }

      @Override
      public CompletableFuture<Void> setOnline(String id) {
        return s.setAgreedOnline(id);
      }
    })));
  }

  public InetSocketAddress address() {
    return server.address();
  }

  /** The address of the management endpoint; null for none. */
  public InetSocketAddress managementAddress() {
    return server.hasManagement() ? server.managementAddress() : null;
  }

  /** Replaces the endpoint list, after a configuration file has changed. */
  public CompletableFuture<Void> updateServerList(ServerList list) {
    return server.runOnLoop(engine -> engine.serverListUpdated(ListKind.FULL, list));
  }

  /** The number of attempts in flight, as the engine counts them. */
  public CompletableFuture<Integer> inFlight() {
    CompletableFuture<Integer> count = new CompletableFuture<>();
    server.runOnLoop(engine -> count.complete(engine.inFlightAttempts()));
    return count;
  }

  /** Shuts down gracefully and returns once no client is left. */
  public void stop() {
    server.stop();
  }
}
