package cloverpulley.bench;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

/** A balancer process of a checkout, started by the deploy file's {@code run}; the constructor returns once it is healthy. */
final class BalancerProcess implements AutoCloseable {

  private static final int MAX_START_SECONDS = 30;
  private static final int CLIENTS = 8;
  private static final int SESSION_KEYS = 500;

  private final Process process;
  private final Path config;
  private final int port;
  /** Time from process start until healthy. */
  final double startMillis;

  /** {@code upstreams} are {@code host:port} addresses. */
  BalancerProcess(Path root, List<String> upstreams) throws IOException, InterruptedException {
    try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      port = free.getLocalPort();
    }
    String startCommand = Files.readString(root.resolve("deploy/balancer.toml")).replaceAll("(?s).*\\nrun = '''(.*?)'''.*", "$1");
    config = Files.createTempFile("platform", ".json");
    String members = upstreams.stream().map(a -> "{\"id\":\"s-" + a + "\",\"host_port\":\"" + a + "\",\"phase\":\"ready\"}")
        .collect(Collectors.joining(",", "\"members\": [", "]"));
    Files.writeString(config, Files.readString(root.resolve("deploy/example.json")).replaceFirst("\"management\": *\"[^\"]*\",", "").replace("127.0.0.1:0", "127.0.0.1:" + port)
        .replace("\"members\": []", members));
    ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", startCommand).directory(root.toFile())
        .redirectError(ProcessBuilder.Redirect.DISCARD).redirectOutput(ProcessBuilder.Redirect.DISCARD);
    builder.environment().put("ROUTER_CONFIG", config.toString());
    long startNanos = System.nanoTime();
    process = builder.start();
    while (!isHealthy()) {
      if (!process.isAlive() || System.nanoTime() - startNanos > TimeUnit.SECONDS.toNanos(MAX_START_SECONDS)) {
        close();
        throw new IOException("the balancer of " + root + " did not start");
      }
      TimeUnit.MILLISECONDS.sleep(2);
    }
    startMillis = (System.nanoTime() - startNanos) / 1e6;
  }

  double residentMb() throws IOException {
    return ChildProcess.residentMb(process.pid());
  }

  double cpuMicros() {
    return process.info().totalCpuDuration().orElseThrow().toNanos() / 1e3;
  }

  private boolean isHealthy() {
    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
      OutputStream out = socket.getOutputStream();
      out.write("GET /healthz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
      InputStream in = socket.getInputStream();
      return new String(in.readNBytes(12), StandardCharsets.US_ASCII).equals("HTTP/1.1 200");
    } catch (IOException e) {
      return false; // Not listening yet.
    }
  }

  /** Sends this many requests in a closed loop of several clients and returns how many were served. */
  int sendRequests(int requests) throws Exception {
    ExecutorService threads = Executors.newFixedThreadPool(CLIENTS);
    try {
      List<Future<Integer>> results = new ArrayList<>();
      for (int c = 0; c < CLIENTS; c++) {
        int client = c;
        Callable<Integer> task = () -> sendRequests(client, requests / CLIENTS);
        results.add(threads.submit(task));
      }
      int served = 0;
      for (Future<Integer> f : results) {
        served += f.get();
      }
      return served;
    } finally {
      threads.shutdownNow();
    }
  }

  private int sendRequests(int client, int requests) throws IOException {
    int served = 0;
    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
      socket.setTcpNoDelay(true);
      InputStream in = new BufferedInputStream(socket.getInputStream());
      for (int i = 0; i < requests; i++) {
        String text = "GET /api HTTP/1.1\r\nHost: x\r\nX-Trace-Id: " + client + "-" + i + "-" + System.nanoTime()
            + "\r\nX-Qos: lookup\r\nX-Expires-In-Ms: 2000\r\nCookie: sid=k" + (client * 31 + i) % SESSION_KEYS + "\r\n\r\n";
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
        served += isServed(in) ? 1 : 0;
      }
    }
    return served;
  }

  private static boolean isServed(InputStream in) throws IOException {
    boolean ok = readLine(in).startsWith("HTTP/1.1 200");
    int length = 0;
    for (String header = readLine(in); !header.isEmpty(); header = readLine(in)) {
      String lower = header.toLowerCase(Locale.ROOT);
      length = lower.startsWith("content-length:") ? Integer.parseInt(lower.substring(15).trim()) : length;
    }
    in.skipNBytes(length);
    return ok;
  }

  private static String readLine(InputStream in) throws IOException {
    StringBuilder s = new StringBuilder();
    for (int b = in.read(); b != '\n'; b = in.read()) {
      if (b < 0) {
        throw new IOException("the balancer closed a connection");
      } else if (b != '\r') {
        s.append((char) b);
      }
    }
    return s.toString();
  }

  @Override
  public void close() throws IOException {
    try {
      process.destroyForcibly().waitFor();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    Files.deleteIfExists(config);
  }
}
