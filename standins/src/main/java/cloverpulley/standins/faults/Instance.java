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

/** A process of the program that a test can start, pause, kill and restart. */
public final class Instance implements AutoCloseable {

  private static final long TIMEOUT_S = 60;

  private final String name;
  private final List<String> command;
  private final Path log;
  private Process process;
  private Map<String, CompletableFuture<InetSocketAddress>> listening = Map.of();

  /** Creates an instance that {@code command} starts and whose standard error is appended to {@code log}. */
  public Instance(String name, List<String> command, Path log) {
    this.name = name;
    this.command = List.copyOf(command);
    this.log = log;
  }

  public String name() {
    return name;
  }

  /** Starts the process without waiting for it to serve. */
  public Instance start() throws IOException {
    process = new ProcessBuilder(command).redirectError(ProcessBuilder.Redirect.appendTo(log.toFile())).start();
    Map<String, CompletableFuture<InetSocketAddress>> addresses = new ConcurrentHashMap<>();
    listening = addresses;
    Process started = process;
    Thread reader = new Thread(() -> {
      try (BufferedReader out = new BufferedReader(new InputStreamReader(started.getInputStream(), StandardCharsets.UTF_8))) {
        for (String line = out.readLine(); line != null; line = out.readLine()) {
          int at = line.indexOf(" listening on ");
          int colon = line.lastIndexOf(':');
          if (at > 0 && colon > at) {
            addresses.computeIfAbsent(line.substring(0, at), k -> new CompletableFuture<>())
                .complete(new InetSocketAddress(line.substring(at + 14, colon), Integer.parseInt(line.substring(colon + 1))));
          }
        }
      } catch (IOException e) {
        return; // The process has exited.
      }
    }, "output of " + name);
    reader.setDaemon(true);
    reader.start();
    return this;
  }

  /** Waits until the listener of this name serves and returns its address. */
  public InetSocketAddress address(String listener) throws IOException, InterruptedException {
    CompletableFuture<InetSocketAddress> address = listening.computeIfAbsent(listener, k -> new CompletableFuture<>());
    process.onExit().thenRun(() -> address.completeExceptionally(new IOException(name + " has exited, see its log")));
    try {
      return address.get(TIMEOUT_S, TimeUnit.SECONDS);
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

  /** Returns the log of all starts of this instance. */
  public String log() throws IOException {
    return Files.exists(log) ? Files.readString(log) : "";
  }

  /** Sends SIGTERM and returns the exit status, or -1 if the process does not exit in time. */
  public int terminate() throws InterruptedException {
    process.destroy();
    return process.waitFor(TIMEOUT_S, TimeUnit.SECONDS) ? process.exitValue() : -1;
  }

  /** Sends SIGKILL and waits for the process to exit. */
  public void kill() throws InterruptedException {
    process.destroyForcibly();
    process.waitFor();
  }

  /** Sends SIGSTOP: the process is suspended with its sockets open. */
  public void pause() throws IOException, InterruptedException {
    signal("STOP");
  }

  /** Sends SIGCONT. */
  public void resume() throws IOException, InterruptedException {
    signal("CONT");
  }

  private void signal(String signalName) throws IOException, InterruptedException {
    int status = new ProcessBuilder("kill", "-" + signalName, Long.toString(process.pid())).start().waitFor();
    if (status != 0) {
      throw new IOException("kill -" + signalName + " " + name + " exited with status " + status);
    }
  }

  /** Returns the proportional set size (PSS) in bytes. */
  public long residentBytes() throws IOException {
    for (String line : Files.readAllLines(Path.of("/proc", Long.toString(process.pid()), "smaps_rollup"))) {
      if (line.startsWith("Pss:")) {
        return Long.parseLong(line.replaceAll("\\D", "")) * 1024;
      }
    }
    throw new IOException("smaps_rollup has no Pss line");
  }

  @Override
  public void close() {
    if (process != null) {
      process.destroyForcibly();
    }
  }
}
