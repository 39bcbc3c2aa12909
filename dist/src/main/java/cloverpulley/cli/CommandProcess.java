package cloverpulley.cli;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;

/** An {@code ashdeck} command in a child process, so that it can be stopped and killed as in production. */
final class CommandProcess implements AutoCloseable {

  private static final String LISTENING = " listening on ";
  private static final long STOP_LIMIT_S = 30;

  private final Process process;
  private final InetSocketAddress address;

  /** Starts {@code ashdeck COMMAND} and returns once it listens; its standard error is appended to {@code log}. */
  CommandProcess(String command, Path config, Path log) throws IOException {
    process = new ProcessBuilder(Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-XX:+UseSerialGC",
        "-XX:TieredStopAtLevel=1", "-cp", System.getProperty("java.class.path"), Main.class.getName(), command, "--config",
        config.toString()).redirectError(ProcessBuilder.Redirect.appendTo(log.toFile())).start();
    String line = new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8)).readLine();
    if (line == null || !line.startsWith(command + LISTENING)) {
      process.destroyForcibly();
      throw new IOException(command + " did not start, see " + log);
    }
    int colon = line.lastIndexOf(':');
    address = new InetSocketAddress(line.substring(command.length() + LISTENING.length(), colon), Integer.parseInt(line.substring(colon + 1)));
  }

  InetSocketAddress address() {
    return address;
  }

  /** Sends SIGTERM. */
  void terminate() {
    process.destroy();
  }

  /** Sends SIGKILL. */
  void kill() {
    process.destroyForcibly();
  }

  /** Waits for the process to exit and returns its status; kills it and returns -1 after the time limit. */
  int await() throws InterruptedException {
    if (!process.waitFor(STOP_LIMIT_S, TimeUnit.SECONDS)) {
      process.destroyForcibly();
      return -1;
    }
    return process.exitValue();
  }

  @Override
  public void close() {
    process.destroyForcibly();
  }
}
