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

/** A balancer service as deployed: processes started by the deploy file's {@code run}, which share one address and one folder. */
final class BalancerDeployment implements AutoCloseable {

  private static final int TIMEOUT_MILLIS = 10_000;
  private static final AtomicLong REQUEST_IDS = new AtomicLong();

  private record RunningProcess(Process process, int managementPort) {}

  private final Path folder = Files.createTempDirectory("operated");
  private final Path config = folder.resolve("config.json");
  private final Path sharedFolder = Files.createDirectory(folder.resolve("tmp"));
  private final String startCommand = Files.readString(Path.of("deploy/balancer.toml")).replaceAll("(?s).*\\nrun = '''(.*?)'''.*", "$1");
  private final String configTemplate;
  private final int port = freePort();
  private final List<RunningProcess> running = new ArrayList<>();

  BalancerDeployment(List<String> upstreams) throws IOException {
    String members = IntStream.range(0, upstreams.size())
        .mapToObj(i -> "{\"id\":\"s-" + i + "\",\"host_port\":\"" + upstreams.get(i) + "\",\"phase\":\"ready\"}")
        .collect(Collectors.joining(",", "\"members\": [", "]"));
    configTemplate = Files.readString(Path.of("deploy/example.json")).replaceFirst("\"listen\": *\"[^\"]*\"", "\"listen\": \"127.0.0.1:" + port
        + "\"")
        .replaceFirst("\"memory_mb\": *[0-9]+", "\"memory_mb\": 208").replaceFirst("\"management\": *\"[^\"]*\",", "")
        .replace("\"members\": []", members);
    writeSettings("first", "2000000000");
  }

  private static int freePort() throws IOException {
    try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return free.getLocalPort();
    }
  }

  int port() {
    return port;
  }

  /** Writes the settings with an additional request class. */
  synchronized void writeSettings(String name, String deadline) throws IOException {
    Path newConfig = folder.resolve("made.json");
    Files.writeString(newConfig, configTemplate.replaceFirst("\"categories\": *\\[", "\"categories\": [{\"name\":\"" + name
        + "\",\"effect\":\"idempotent\",\"aim-ns\":400000000,\"deadline-ns\":" + deadline + "},"));
    Files.move(newConfig, config, StandardCopyOption.ATOMIC_MOVE);
  }

  /** Starts another process next to those already running. */
  synchronized void start() throws IOException {
    int managementPort = freePort();
    ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", startCommand).redirectOutput(ProcessBuilder.Redirect.DISCARD)
        .redirectError(ProcessBuilder.Redirect.appendTo(folder.resolve("log").toFile()));
    builder.environment().put("ROUTER_CONFIG", config.toString());
    builder.environment().put("ROUTER_MANAGEMENT", "127.0.0.1:" + managementPort);
    builder.environment().put("TMPDIR", sharedFolder.toString());
    running.add(new RunningProcess(builder.start(), managementPort));
  }

  private synchronized RunningProcess newest() {
    return running.get(running.size() - 1);
  }

  /** Waits until the newest process reports ready. */
  void awaitReady(int number) throws IOException, InterruptedException {
    for (int i = 0; i < TIMEOUT_MILLIS / 10; i++) {
      try {
        if (request("GET /control/ready").equals("200")) {
          return;
        }
      } catch (IOException e) {
        // The process does not listen yet.
      }
      TimeUnit.MILLISECONDS.sleep(10);
    }
    throw new IOException("process " + number + " did not become ready");
  }

  /** Terminates the oldest process with SIGTERM, as the platform does; its exit status must be 0. */
  void stopOldest() throws IOException, InterruptedException {
    RunningProcess oldest;
    synchronized (this) {
      oldest = running.remove(0);
    }
    oldest.process.destroy();
    if (!oldest.process.waitFor(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS) || oldest.process.exitValue() != 0) {
      throw new IOException("the oldest process did not exit with status 0");
    }
  }

  void reloadSettings() throws IOException, InterruptedException {
    new ProcessBuilder("kill", "-HUP", Long.toString(newest().process.pid())).start().waitFor();
  }

  double residentMb() throws IOException {
    double sum = 0;
    for (RunningProcess s : List.copyOf(running)) {
      sum += ChildProcess.residentMb(s.process.pid());
    }
    return sum;
  }

  /** Opens a connection to the management port of the newest process. */
  Socket connectToManagement() throws IOException {
    Socket socket = new Socket(InetAddress.getLoopbackAddress(), newest().managementPort);
    socket.setSoTimeout(TIMEOUT_MILLIS);
    return socket;
  }

  /** Sends a request to the management port of the newest process and returns its status. */
  String request(String request) throws IOException {
    try (Socket socket = connectToManagement()) {
      return Integer.toString(status(socket, request + " HTTP/1.1\r\nHost: x\r\n\r\n"));
    }
  }

  /** Sends a client request of the given class and returns its status. */
  int requestOfClass(String className) throws IOException {
    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
      socket.setSoTimeout(TIMEOUT_MILLIS);
      return status(socket, "GET /api HTTP/1.1\r\nHost: x\r\nX-Trace-Id: b" + REQUEST_IDS.incrementAndGet() + "\r\nX-Qos: " + className
          + "\r\nConnection: close\r\n\r\n");
    }
  }

  private static int status(Socket socket, String request) throws IOException {
    socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
    String line = new String(socket.getInputStream().readNBytes(12), StandardCharsets.US_ASCII);
    if (line.length() < 12) {
      throw new IOException("incomplete response");
    }
    return Integer.parseInt(line.substring(9));
  }

  @Override
  public void close() throws IOException {
    for (RunningProcess s : running) {
      s.process.destroyForcibly();
    }
    try (Stream<Path> files = Files.walk(folder)) {
      for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
        Files.deleteIfExists(file);
      }
    }
  }
}
