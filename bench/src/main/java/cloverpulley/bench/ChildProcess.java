package cloverpulley.bench;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** A server or load generator in a separate JVM, with its CPU time and resident memory. */
final class ChildProcess implements AutoCloseable {

  private final Process process;
  private final BufferedReader out;

  ChildProcess(List<String> jvmOptions, Class<?> main, String... args) throws IOException {
    this(List.of(), jvmOptions, main, args);
  }

  /** {@code commandPrefix} is put before the command, for example {@code taskset} to bind the process to a core. */
  ChildProcess(List<String> commandPrefix, List<String> jvmOptions, Class<?> main, String... args) throws IOException {
    List<String> command = new ArrayList<>(commandPrefix);
    command.addAll(List.of(Path.of(System.getProperty("java.home"), "bin", "java").toString()));
    command.addAll(jvmOptions);
    command.addAll(List.of("-cp", System.getProperty("java.class.path"), main.getName()));
    command.addAll(List.of(args));
    process = new ProcessBuilder(command).redirectError(ProcessBuilder.Redirect.DISCARD).start();
    out = new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8));
  }

  /** Reads the port that the process prints as its first line. */
  int readPort() throws IOException {
    String line = out.readLine();
    if (line == null || !line.startsWith("port ")) {
      throw new IOException("server did not start: " + line);
    }
    return Integer.parseInt(line.substring(5));
  }

  /** Writes a line to the standard input of the process. */
  void writeLine(String line) throws IOException {
    process.getOutputStream().write((line + "\n").getBytes(StandardCharsets.UTF_8));
    process.getOutputStream().flush();
  }

  /** The next line that the process prints; null at the end of its output. */
  String readLine() throws IOException {
    return out.readLine();
  }

  /** Total CPU time so far, in microseconds. */
  double cpuMicros() {
    return process.info().totalCpuDuration().orElseThrow().toNanos() / 1e3;
  }

  /** Resident memory in megabytes. */
  double residentMb() throws IOException {
    return residentMb(process.pid());
  }

  static double residentMb(long pid) throws IOException {
    for (String line : Files.readAllLines(Path.of("/proc", Long.toString(pid), "status"))) {
      if (line.startsWith("VmRSS:")) {
        return Long.parseLong(line.replaceAll("\\D", "")) / 1024.0;
      }
    }
    throw new IOException("VmRSS is missing from /proc/PID/status");
  }

  @Override
  public void close() {
    process.destroyForcibly();
  }

  static String json(String... namesAndValues) {
    StringBuilder text = new StringBuilder("{");
    for (int i = 0; i < namesAndValues.length; i += 2) {
      text.append(i > 0 ? "," : "").append('"').append(namesAndValues[i]).append("\":").append(namesAndValues[i + 1]);
    }
    return text.append('}').toString();
  }

  static String figure(double value) {
    return String.format(Locale.ROOT, "%.3f", value);
  }
}
