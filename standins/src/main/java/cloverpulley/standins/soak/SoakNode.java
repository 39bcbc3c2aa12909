package cloverpulley.standins.soak;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.stream.Stream;

/** A balancer node: all processes that listen on one address and share a folder. */
final class SoakNode {

  /** Name of the folder that the balancer creates inside the temporary folder. */
  private static final String SHARED = "ashdeck";

  final int number;
  final int port;
  final Path temporary;
  final List<SoakProcess> processes = new CopyOnWriteArrayList<>();
  private final Path folder;
  private final Path root;
  private final String run;
  private final FaultShim shim;
  private final long seed;
  private volatile String config;
  private int started;

  SoakNode(int number, Path folder, Path root, FaultShim shim, long seed) throws IOException {
    this.number = number;
    this.folder = Files.createDirectories(folder.resolve("n" + number));
    this.temporary = Files.createDirectories(this.folder.resolve("tmp"));
    this.root = root;
    this.run = Files.readString(root.resolve("deploy/balancer.toml")).replaceAll("(?s).*\\nrun = '''(.*?)'''.*", "$1");
    this.shim = shim;
    this.seed = seed;
    this.port = freePort();
  }

  static int freePort() throws IOException {
    try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return free.getLocalPort();
    }
  }

  /** Replaces the configuration file atomically. Processes read it at their start and on SIGHUP. */
  void configure(String text) throws IOException {
    config = text;
    Path newFile = folder.resolve("made.json");
    Files.writeString(newFile, text);
    Files.move(newFile, folder.resolve("config.json"), StandardCopyOption.ATOMIC_MOVE);
  }

  Path log() {
    return folder.resolve("log");
  }

  /** Starts another process next to those running. */
  SoakProcess start() throws IOException {
    int management = freePort();
    FaultShim.Control faults = shim.control(folder, temporary, seed * 31 + started);
    ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", run).directory(root.toFile())
        .redirectOutput(ProcessBuilder.Redirect.appendTo(log().toFile())).redirectError(ProcessBuilder.Redirect.appendTo(log().toFile()));
    builder.environment().put("ROUTER_CONFIG", folder.resolve("config.json").toString());
    builder.environment().put("ROUTER_MANAGEMENT", "127.0.0.1:" + management);
    builder.environment().put("TMPDIR", temporary.toString());
    builder.environment().put("JAVA_TOOL_OPTIONS", "-Djava.io.tmpdir=" + temporary);
    builder.environment().putAll(faults.environment());
    SoakProcess process = new SoakProcess(started++, builder.start(), management, faults);
    processes.add(process);
    return process;
  }

  /** Returns the running process that was started last and not killed; null if there is none. */
  SoakProcess newest() {
    SoakProcess newest = null;
    for (SoakProcess p : processes) {
      newest = p.isAlive() && p.signal != SoakProcess.Signal.KILL ? p : newest;
    }
    return newest;
  }

  List<SoakProcess> alive() {
    return processes.stream().filter(SoakProcess::isAlive).toList();
  }

  /** Deletes the balancer's files in the temporary folder, as a platform may do at a start. */
  void emptyFolder() {
    Path shared = temporary.resolve(SHARED);
    for (int i = 0; i < 5 && Files.exists(shared); i++) {
      try (Stream<Path> files = Files.walk(shared)) {
        for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
          Files.deleteIfExists(file);
        }
      } catch (IOException | UncheckedIOException e) {
        continue; // A process wrote to the folder in the meantime.
      }
    }
  }

  void close() {
    processes.forEach(p -> p.process.destroyForcibly());
  }
}
