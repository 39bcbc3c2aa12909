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

/** One process of a balancer, started by the deploy file's command; what it holds is counted from outside. */
final class SoakProcess {

  /** A caller of the management endpoint waits for so long. */
  private static final int CALL_MILLIS = 1000;

  /** What was done to a process that may end it. */
  enum Signal { NONE, TERM, KILL }

  final int number;
  final Process process;
  final int managementPort;
  final FaultShim.Control faults;
  final long startedNanos = System.nanoTime();
  volatile Signal signal = Signal.NONE;
  volatile long signalNanos;
  volatile long readyNanos;
  /** Until when its own socket calls fail, and some time after. */
  volatile long troubledUntilNanos;
  volatile boolean endSeen;

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

  void hangUp() throws IOException, InterruptedException {
    new ProcessBuilder("kill", "-HUP", Long.toString(process.pid())).start().waitFor();
  }

  /** A call of the management endpoint; its status, or 0 for none in time. */
  int call(String call) {
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), managementPort), CALL_MILLIS);
      socket.setSoTimeout(CALL_MILLIS);
      socket.getOutputStream().write((call + " HTTP/1.1\r\nHost: x\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
      String line = new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII)).readLine();
      return line == null ? 0 : Integer.parseInt(line.split(" ")[1]);
    } catch (IOException | RuntimeException e) {
      return 0;
    }
  }

  /** Its proportional share of resident memory, in kilobytes; 0 once it has gone. */
  long memoryKb() {
    try (Stream<String> lines = Files.lines(Path.of("/proc", Long.toString(process.pid()), "smaps_rollup"))) {
      return lines.filter(l -> l.startsWith("Pss:")).mapToLong(l -> Long.parseLong(l.replaceAll("\\D", ""))).sum();
    } catch (IOException | RuntimeException e) {
      return 0;
    }
  }

  /** File descriptors that it holds; 0 once it has gone. */
  int descriptors() {
    try (Stream<Path> files = Files.list(Path.of("/proc", Long.toString(process.pid()), "fd"))) {
      return (int) files.count();
    } catch (IOException | RuntimeException e) {
      return 0;
    }
  }

  /** Whether it was told to end at least so long ago and has not. */
  boolean isOverdue(long nanos) {
    return signal == Signal.TERM && process.isAlive() && System.nanoTime() - signalNanos > nanos;
  }

  boolean awaitEnd(long millis) throws InterruptedException {
    return process.waitFor(millis, TimeUnit.MILLISECONDS);
  }
}
