package cloverpulley.standins.soak;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/** A balancer process started by the deploy file's command. Its memory and file descriptors are read from /proc. */
final class SoakProcess {

  /** Timeout of calls to the management endpoint. */
  private static final int CALL_TIMEOUT_MILLIS = 1000;

  /** The signal sent to a process to end it, if any. */
  enum Signal { NONE, TERM, KILL }

  final int number;
  final Process process;
  final int managementPort;
  final FaultShim.Control faults;
  final long startedNanos = System.nanoTime();
  volatile Signal signal = Signal.NONE;
  volatile long signalNanos;
  volatile long readyNanos;
  /** Time until which socket faults are injected into the process, plus some time to recover. */
  volatile long faultyUntilNanos;
  volatile boolean exitChecked;

  SoakProcess(int number, Process process, int managementPort, FaultShim.Control faults) {
    this.number = number;
    this.process = process;
    this.managementPort = managementPort;
    this.faults = faults;
  }

  boolean isAlive() {
    return process.isAlive();
  }

  void terminate() {
    signalNanos = System.nanoTime();
    signal = Signal.TERM;
    process.destroy();
  }

  void kill() {
    signalNanos = System.nanoTime();
    signal = Signal.KILL;
    process.destroyForcibly();
  }

  void sendSighup() throws IOException, InterruptedException {
    new ProcessBuilder("kill", "-HUP", Long.toString(process.pid())).start().waitFor();
  }

  /** Calls the management endpoint and returns the HTTP status, or 0 if none arrives in time. */
  int call(String call) {
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), managementPort), CALL_TIMEOUT_MILLIS);
      socket.setSoTimeout(CALL_TIMEOUT_MILLIS);
      socket.getOutputStream().write((call + " HTTP/1.1\r\nHost: x\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
      String line = new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII)).readLine();
      return line == null ? 0 : Integer.parseInt(line.split(" ")[1]);
    } catch (IOException | RuntimeException e) {
      return 0;
    }
  }

  /** Returns the proportional set size in kilobytes; 0 once the process has exited. */
  long memoryKb() {
    try (Stream<String> lines = Files.lines(Path.of("/proc", Long.toString(process.pid()), "smaps_rollup"))) {
      return lines.filter(l -> l.startsWith("Pss:")).mapToLong(l -> Long.parseLong(l.replaceAll("\\D", ""))).sum();
    } catch (IOException | RuntimeException e) {
      return 0;
    }
  }

  /** Returns the number of open file descriptors; 0 once the process has exited. */
  int descriptors() {
    try (Stream<Path> files = Files.list(Path.of("/proc", Long.toString(process.pid()), "fd"))) {
      return (int) files.count();
    } catch (IOException | RuntimeException e) {
      return 0;
    }
  }

  /** Whether SIGTERM was sent longer ago than the given time and the process is still running. */
  boolean isOverdue(long nanos) {
    return signal == Signal.TERM && process.isAlive() && System.nanoTime() - signalNanos > nanos;
  }

  boolean awaitExit(long millis) throws InterruptedException {
    return process.waitFor(millis, TimeUnit.MILLISECONDS);
  }
}
