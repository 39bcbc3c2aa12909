package cloverpulley.bench;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/** A balancer that operators operate: the processes that the deploy file's {@code run} started, one address, one shared folder. */
final class BalancerDeployment implements AutoCloseable {

  private static final int WAIT_MILLIS = 10_000;
  private static final AtomicLong IDS = new AtomicLong();

  private record Started(Process process, int door) {}

  private final Path folder = Files.createTempDirectory("operated");
  private final Path config = folder.resolve("config.json");
  private final Path shared = Files.createDirectory(folder.resolve("tmp"));
  private final String run = Files.readString(Path.of("deploy/balancer.toml")).replaceAll("(?s).*\\nrun = '''(.*?)'''.*", "$1");
  private final String text;
  private final int port = freePort();
  private final List<Started> started = new ArrayList<>();

  BalancerDeployment(List<String> upstreams) throws IOException {
    String members = IntStream.range(0, upstreams.size())
        .mapToObj(i -> "{\"id\":\"s-" + i + "\",\"host_port\":\"" + upstreams.get(i) + "\",\"phase\":\"ready\"}")
        .collect(Collectors.joining(",", "\"members\": [", "]"));
    text = Files.readString(Path.of("deploy/example.json")).replaceFirst("\"listen\": *\"[^\"]*\"", "\"listen\": \"127.0.0.1:" + port + "\"")
        .replaceFirst("\"memory_mb\": *[0-9]+", "\"memory_mb\": 208").replaceFirst("\"management\": *\"[^\"]*\",", "")
        .replace("\"members\": []", members);
    settings("first", "2000000000");
  }

  private static int freePort() throws IOException {
    try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return free.getLocalPort();
    }
  }

  int port() {
    return port;
  }

  /** Writes settings with one more class. */
  synchronized void settings(String name, String deadline) throws IOException {
    Path made = folder.resolve("made.json");
    Files.writeString(made, text.replaceFirst("\"categories\": *\\[", "\"categories\": [{\"name\":\"" + name
        + "\",\"effect\":\"idempotent\",\"aim-ns\":400000000,\"deadline-ns\":" + deadline + "},"));
    Files.move(made, config, StandardCopyOption.ATOMIC_MOVE);
  }

  /** Starts a process beside those that are. */
  synchronized void start() throws IOException {
    int door = freePort();
    ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", run).redirectOutput(ProcessBuilder.Redirect.DISCARD)
        .redirectError(ProcessBuilder.Redirect.appendTo(folder.resolve("log").toFile()));
    builder.environment().put("ROUTER_CONFIG", config.toString());
    builder.environment().put("ROUTER_MANAGEMENT", "127.0.0.1:" + door);
    builder.environment().put("TMPDIR", shared.toString());
    started.add(new Started(builder.start(), door));
  }

  private synchronized Started newest() {
    return started.get(started.size() - 1);
  }

  /** Waits until the newest says yes. */
  void awaitReady(int number) throws IOException, InterruptedException {
    for (int i = 0; i < WAIT_MILLIS / 10; i++) {
      try {
        if (call("GET /control/ready").equals("200")) {
          return;
        }
      } catch (IOException e) {
        // It does not listen yet.
      }
      TimeUnit.MILLISECONDS.sleep(10);
    }
    throw new IOException("process " + number + " did not get ready");
  }

  /** Ends the oldest as a platform does; its status has to be 0. */
  void stopOldest() throws IOException, InterruptedException {
    Started oldest;
    synchronized (this) {
      oldest = started.remove(0);
    }
    oldest.process.destroy();
    if (!oldest.process.waitFor(WAIT_MILLIS, TimeUnit.MILLISECONDS) || oldest.process.exitValue() != 0) {
      throw new IOException("the old process did not end well");
    }
  }

  void hangUp() throws IOException, InterruptedException {
    new ProcessBuilder("kill", "-HUP", Long.toString(newest().process.pid())).start().waitFor();
  }

  double residentMb() throws IOException {
    double sum = 0;
    for (Started s : List.copyOf(started)) {
      sum += ChildProcess.residentMb(s.process.pid());
    }
    return sum;
  }

  /** A caller at the newest's door. */
  Socket caller() throws IOException {
    Socket socket = new Socket(InetAddress.getLoopbackAddress(), newest().door);
    socket.setSoTimeout(WAIT_MILLIS);
    return socket;
  }

  /** A call at the newest's door; its status. */
  String call(String call) throws IOException {
    try (Socket socket = caller()) {
      return Integer.toString(status(socket, call + " HTTP/1.1\r\nHost: x\r\n\r\n"));
    }
  }

  /** A request of a class; its status. */
  int ask(String className) throws IOException {
    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
      socket.setSoTimeout(WAIT_MILLIS);
      return status(socket, "GET /api HTTP/1.1\r\nHost: x\r\nX-Trace-Id: b" + IDS.incrementAndGet() + "\r\nX-Qos: " + className
          + "\r\nConnection: close\r\n\r\n");
    }
  }

  private static int status(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    String line = new String(socket.getInputStream().readNBytes(12), StandardCharsets.US_ASCII);
    if (line.length() < 12) {
      throw new IOException("no answer");
    }
    return Integer.parseInt(line.substring(9));
  }

  @Override
  public void close() throws IOException {
    for (Started s : started) {
      s.process.destroyForcibly();
    }
    try (Stream<Path> files = Files.walk(folder)) {
      for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
        Files.deleteIfExists(file);
      }
    }
  }
}
