package cloverpulley.serve;

import cloverpulley.Balancer.Settings;
import cloverpulley.discovery.ListDecoder;
import cloverpulley.engine.ServerList;
import cloverpulley.wire.Fields;
import cloverpulley.wire.SchemaValidator;
import cloverpulley.wire.SettingsDecoder;
import cloverpulley.wire.WireException;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonProcessingException;
import java.io.EOFException;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The configuration of a balancer.
 *
 * @param peerListen null if balancers don't exchange messages
 * @param peersAll null if there is no broadcast address
 * @param idleNanos the idle time after which an upstream may close a connection
 * @param loadReports whether upstreams report their load
 * @param management the address of the management endpoint; null for none
 * @param source the document that the configuration was read from
 * @param shared the folder shared with other processes of this balancer; null for none
 */
record Config(String name, InetSocketAddress listen, InetSocketAddress discovery, long seed, int sockets, long memoryBytes,
    InetSocketAddress peerListen, List<InetSocketAddress> peers, InetSocketAddress peersAll, ServerList known,
    Settings settings, long idleNanos, boolean loadReports, InetSocketAddress management, Path shared,
    Fields source) {

  /** Keys of the file that may be missing on a reload: the initial list is needed only at the start. */
  private static final Set<String> OPTIONAL_KEYS = Set.of("known");
  private static final int DEFAULT_SOCKETS = 1024;
  private static final int DEFAULT_MEMORY_MB = 192;
  private static final long DEFAULT_IDLE_NANOS = 5_000_000_000L;

  /**
   * Reads the file that the environment names. The file takes precedence, the environment supplies only what it lacks: the file
   * may have been replaced since the program was started, its environment cannot be.
   */
  static Config read(Map<String, String> environment) throws IOException {
    String path = environment.get("ROUTER_CONFIG");
    if (path == null) {
      throw new WireException("ROUTER_CONFIG is not set");
    }
    return parse(Files.readString(Path.of(path)), environment);
  }

  /** Throws an {@link IOException} for an incomplete text, and a {@link RuntimeException} that names the key for an invalid one. */
  static Config parse(String text, Map<String, String> environment) throws IOException {
    if (text.isBlank()) {
      throw new EOFException("configuration: empty");
    }
    Fields f = Fields.parse(new JsonFactory(), "config", text);
    List<InetSocketAddress> peers = new ArrayList<>();
    if (f.has("peers")) {
      for (String peer : f.texts("peers")) {
        peers.add(ListDecoder.address("peers", peer));
      }
    }
    if (!f.has("settings")) {
      throw new WireException("field config.settings: expected an object, got nothing");
    }
    Fields settings = f.nested("settings");
    return new Config(
        text(f, "name", environment.get("ROUTER_NAME")),
        ListDecoder.address("listen", text(f, "listen", environment.get("ROUTER_LISTEN"))),
        ListDecoder.address("discovery", text(f, "discovery", environment.get("ROUTER_DISCOVERY"))),
        seed(f.text("seed")), f.nested("limits").int32("sockets", DEFAULT_SOCKETS),
        f.nested("limits").integer("memory_mb", DEFAULT_MEMORY_MB) << 20,
        f.has("peer_listen") ? ListDecoder.address("peer_listen", f.text("peer_listen")) : null, peers,
        f.has("peers_all") ? ListDecoder.address("peers_all", f.text("peers_all")) : null,
        f.has("known") ? ListDecoder.list(f.nested("known")) : ServerList.EMPTY,
        SettingsDecoder.settings(settings), settings.nested("limits").integer("conn-idle-ns", DEFAULT_IDLE_NANOS),
        !settings.nested("report").text("how", "none").equals("none"), management(f, environment),
        environment.containsKey("TMPDIR") ? Path.of(environment.get("TMPDIR"), "ashdeck") : null, f);
  }

  /** Checks that this configuration can replace another: it has every key of that one. Throws a {@link WireException} otherwise. */
  void checkCanReplace(Config before) {
    SchemaValidator.check(before.source, source, OPTIONAL_KEYS);
  }

  private static InetSocketAddress management(Fields f, Map<String, String> environment) {
    String text = f.text("management", environment.getOrDefault("ROUTER_MANAGEMENT", ""));
    return text.isEmpty() ? null : ListDecoder.address("management", text);
  }

  private static String text(Fields f, String name, String fallback) {
    return f.has(name) || fallback == null ? f.text(name) : fallback;
  }

  /** Describes in one line why a file cannot be used. */
  static String describeFailure(Throwable e) {
    String message = e instanceof WireException || e instanceof IllegalArgumentException ? e.getMessage()
        : e instanceof EOFException ? e.getMessage()
        : e instanceof JsonProcessingException j ? "configuration: not JSON: " + j.getOriginalMessage() : e.toString();
    return message.lines().findFirst().orElse("");
  }

  private static long seed(String hex) {
    try {
      return Long.parseUnsignedLong(hex, 16);
    } catch (NumberFormatException e) {
      throw new WireException("field config.seed: expected up to 16 hex digits, got \"" + hex + "\"");
    }
  }
}
