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

/** The HTTP balancer as a part of another program: the same front and engine as the platform's, told where its lists come from. */
public final class EmbeddedBalancer {

  /** Where lists come from. */
  public interface ListSourceFactory {
    /** Opens the source, on the loop, where all of it runs. */
    Engine.ListSource open(EventLoop loop, Fleet fleet, BiConsumer<ListKind, ServerList> onListUpdate);
  }

  /**
   * What it is told at its start.
   *
   * @param management where operators' calls come to; null for nowhere
   * @param shared the folder that a successor beside it sees too; null for none
   * @param sockets descriptors it may hold, clients' and upstreams'
   * @param memoryBytes what its bounds are counted from
   * @param known the list it starts with
   * @param idleNanos after this an upstream may close a connection that stands idle
   * @param listener told of what happens
   * @param beforeListen run once there is an engine, before clients are heard
   */
  public record Options(String name, InetSocketAddress listen, InetSocketAddress management, Path shared, int sockets, long memoryBytes,
      ServerList known, Settings settings, long idleNanos, long seed, ListSourceFactory listSourceFactory, EngineListener listener, Consumer<OfflineControl> beforeListen) {}

  /** What the fleet's agreement does to it. */
  public interface OfflineControl {
    /**
     * Nothing new goes to this upstream any more, whatever lists say; it was out for so long already.
     *
     * @return done once the module has been told
     */
    CompletableFuture<Void> setOffline(String id, long forNanos);

    /** It may serve again, and is taken for cold; out it stays where the management endpoint says so. */
    CompletableFuture<Void> setOnline(String id);
  }

  private final Server server;

  private EmbeddedBalancer(Server server) {
    this.server = server;
  }

  /** Starts one and returns once it listens. */
  public static EmbeddedBalancer start(Options options) {
    Config config = new Config(options.name(), options.listen(), null, options.seed(), options.sockets(), options.memoryBytes(), null, List.of(), null, options.known(),
        options.settings(), options.idleNanos(), false, options.management(), options.shared(), null);
    return new EmbeddedBalancer(Server.start(config, n -> new Logic(options.settings(), options.seed() + n), options.listSourceFactory(), options.listener(), s -> options.beforeListen().accept(new OfflineControl() {
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

  /** Where operators call; null for nowhere. */
  public InetSocketAddress managementAddress() {
    return server.hasManagement() ? server.managementAddress() : null;
  }

  /** A list that was written in a file has changed. */
  public CompletableFuture<Void> updateServerList(ServerList list) {
    return server.runOnLoop(engine -> engine.serverListUpdated(ListKind.FULL, list));
  }

  /** Attempts under way now, by the engine's own count. */
  public CompletableFuture<Integer> inFlight() {
    CompletableFuture<Integer> count = new CompletableFuture<>();
    server.runOnLoop(engine -> count.complete(engine.inFlightAttempts()));
    return count;
  }

  /** Leaves in order, and returns once no client is left. */
  public void stop() {
    server.stop();
  }
}
