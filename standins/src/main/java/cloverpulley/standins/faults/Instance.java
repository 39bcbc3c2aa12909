package cloverpulley.standins.faults;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/** A process of the program that is started, paused, killed and started again, as machines do it to it. */
public final class Instance implements AutoCloseable {

  private static final long LIMIT_S = 60;

  private final String name;
  private final List<String> command;
  private final Path log;
  private Process process;
  private Map<String, CompletableFuture<InetSocketAddress>> listening = Map.of();

  /** {@code command} starts it; its log goes to a file. */
  public Instance(String name, List<String> command, Path log) {
    this.name = name;
    this.command = List.copyOf(command);
    this.log = log;
  }

  public String name() {
    return name;
  }

  /** Starts it and returns at once. */
  public Instance start() throws IOException {
    process = new ProcessBuilder(command).redirectError(ProcessBuilder.Redirect.appendTo(log.toFile())).start();
    Map<String, CompletableFuture<InetSocketAddress>> heard = new ConcurrentHashMap<>();
    listening = heard;
    Process mine = process;
    Thread reads = new Thread(() -> {
      try (BufferedReader out = new BufferedReader(new InputStreamReader(mine.getInputStream(), StandardCharsets.UTF_8))) {
        for (String line = out.readLine(); line != null; line = out.readLine()) {
          int at = line.indexOf(" listening on ");
          int colon = line.lastIndexOf(':');
          if (at > 0 && colon > at) {
            heard.computeIfAbsent(line.substring(0, at), k -> new CompletableFuture<>())
                .complete(new InetSocketAddress(line.substring(at + 14, colon), Integer.parseInt(line.substring(colon + 1))));
          }
        }
      } catch (IOException e) {
        return; // It has ended.
      }
    }, "output of " + name);
    reads.setDaemon(true);
    reads.start();
    return this;
  }

  /** Where its listener of this name is, once it serves. */
  public InetSocketAddress address(String listener) throws IOException, InterruptedException {
    CompletableFuture<InetSocketAddress> there = listening.computeIfAbsent(listener, k -> new CompletableFuture<>());
    process.onExit().thenRun(() -> there.completeExceptionally(new IOException(name + " has ended, see its log")));
    try {
      return there.get(LIMIT_S, TimeUnit.SECONDS);
    } catch (ExecutionException | TimeoutException e) {
      throw new IOException(name + " does not serve: " + log(), e);
    }
  }

  public boolean isAlive() {
    return process != null && process.isAlive();
  }

  public long pid() {
    return process.pid();
  }

  /** All that it has logged, in all its lives. */
  public String log() throws IOException {
    return Files.exists(log) ? Files.readString(log) : "";
  }

  /** SIGTERM; its status, or -1 where it did not end. */
  public int terminate() throws InterruptedException {
    process.destroy();
    return process.waitFor(LIMIT_S, TimeUnit.SECONDS) ? process.exitValue() : -1;
  }

  /** SIGKILL. */
  public void kill() throws InterruptedException {
    process.destroyForcibly();
    process.waitFor();
  }

  /** SIGSTOP: it stands still, its sockets open. */
  public void pause() throws IOException, InterruptedException {
    signal("STOP");
  }

  /** SIGCONT. */
  public void resume() throws IOException, InterruptedException {
    signal("CONT");
  }

  private void signal(String what) throws IOException, InterruptedException {
    int status = new ProcessBuilder("kill", "-" + what, Long.toString(process.pid())).start().waitFor();
    if (status != 0) {
      throw new IOException("kill -" + what + " " + name + " ended with " + status);
    }
  }

  /** Octets of memory that it has resident now, shared ones divided among those that share them. */
  public long residentBytes() throws IOException {
    for (String line : Files.readAllLines(Path.of("/proc", Long.toString(process.pid()), "smaps_rollup"))) {
      if (line.startsWith("Pss:")) {
        return Long.parseLong(line.replaceAll("\\D", "")) * 1024;
      }
    }
    throw new IOException("no Pss");
  }

  @Override
  public void close() {
    if (process != null) {
      process.destroyForcibly();
    }
  }
}
