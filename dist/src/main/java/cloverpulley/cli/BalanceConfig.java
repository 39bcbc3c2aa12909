package cloverpulley.cli;

import cloverpulley.config.Section;
import java.net.InetSocketAddress;
import java.nio.file.Path;

/**
 * {@code [balance]} of the operators' file.
 *
 * @param management the door; null for none
 * @param folder what a successor beside this process sees too; null for none
 * @param sockets descriptors it may hold
 * @param idleMillis after this an upstream may close a connection that stands idle
 * @param agreeMillis how long a start waits for the ledger to be heard; then it serves without, and says so
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
