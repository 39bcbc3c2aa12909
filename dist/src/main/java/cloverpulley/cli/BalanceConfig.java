package cloverpulley.cli;

import cloverpulley.config.Section;
import java.net.InetSocketAddress;
import java.nio.file.Path;

/**
 * The section {@code [balance]} of the operators' file.
 *
 * @param management address of the management server; null for none
 * @param folder folder shared with a successor process; null for none
 * @param sockets maximum number of open socket descriptors
 * @param idleMillis idle time after which an upstream may close a connection
 * @param agreeMillis how long startup waits for the first sync of the ledger; afterwards it logs a warning and serves without it
 */
record BalanceConfig(InetSocketAddress listen, InetSocketAddress management, Path folder, int sockets, int memoryMb, long idleMillis,
    long agreeMillis) {

  static BalanceConfig read(Section s) {
    String folder = s.string("folder", "");
    return new BalanceConfig(s.address("listen", "127.0.0.1:8000"), s.has("management") ? s.address("management", null) : null,
        folder.isEmpty() ? null : Path.of(folder), (int) s.integer("sockets", 32, 1 << 20, 1024), (int) s.integer("memory_mb", 16, 1 << 20, 192),
        s.integer("idle_ms", 100, 3_600_000, 5000), s.integer("agree_ms", 0, 600_000, 2000));
  }
}
