package cloverpulley.bench;

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
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * What the platform's program costs before its first request: the size of its jar, the time from its start by the deploy
 * file's {@code run} until {@code /healthz} answers 200, and its memory then. With {@code --against FOLDER}, a build of another
 * version is measured by turns with this one.
 */
public final class PlatformBench {

  private static final int MOST_WAIT_S = 30;

  private PlatformBench() {}

  /** {@code [--starts N] [--against FOLDER]}. */
  public static void main(String[] args) throws IOException, InterruptedException {
    List<String> given = Arrays.asList(args);
    int starts = given.contains("--starts") ? Integer.parseInt(given.get(given.indexOf("--starts") + 1)) : 5;
    List<Path> roots = new ArrayList<>(List.of(Path.of("").toAbsolutePath()));
    if (given.contains("--against")) {
      roots.add(Path.of(given.get(given.indexOf("--against") + 1)).toAbsolutePath());
    }
    List<List<Double>> millis = new ArrayList<>();
    List<List<Double>> resident = new ArrayList<>();
    roots.forEach(r -> {
      millis.add(new ArrayList<>());
      resident.add(new ArrayList<>());
    });
    for (int i = 0; i < starts; i++) {
      for (int r = 0; r < roots.size(); r++) {
        start(roots.get(r), millis.get(r), resident.get(r));
      }
    }
    List<String> figures = new ArrayList<>();
    for (int r = 0; r < roots.size(); r++) {
      String at = r == 0 ? "" : "against_";
      figures.addAll(List.of(at + "jar_bytes", Long.toString(Files.size(jar(roots.get(r)))), at + "start_ms",
          Child.figure(median(millis.get(r))), at + "resident_mb", Child.figure(median(resident.get(r)))));
      System.out.println(roots.get(r).getFileName() + ": start " + millis.get(r) + " ms, resident " + resident.get(r) + " MB");
    }
    System.out.println(Child.json(figures.toArray(String[]::new)));
  }

  private static Path jar(Path root) {
    Path moved = root.resolve("balancer/target/cloverpulley.jar");
    return Files.exists(moved) ? moved : root.resolve("target/cloverpulley.jar");
  }

  private static double median(List<Double> values) {
    return values.stream().sorted().toList().get(values.size() / 2);
  }

  private static void start(Path root, List<Double> millis, List<Double> resident) throws IOException, InterruptedException {
    int port;
    try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      port = free.getLocalPort();
    }
    String run = Files.readString(root.resolve("deploy/balancer.toml")).replaceAll("(?s).*\\nrun = '''(.*?)'''.*", "$1");
    Path config = Files.createTempFile("platform", ".json");
    Files.writeString(config, Files.readString(root.resolve("deploy/example.json")).replace("127.0.0.1:0", "127.0.0.1:" + port)
        .replace("\"members\": []", "\"members\": [{\"id\":\"s\",\"host_port\":\"127.0.0.1:1\",\"phase\":\"ready\"}]"));
    ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", run).directory(root.toFile())
        .redirectError(ProcessBuilder.Redirect.DISCARD).redirectOutput(ProcessBuilder.Redirect.DISCARD);
    builder.environment().put("ROUTER_CONFIG", config.toString());
    long begun = System.nanoTime();
    Process process = builder.start();
    try {
      while (!healthy(port)) {
        if (!process.isAlive() || System.nanoTime() - begun > TimeUnit.SECONDS.toNanos(MOST_WAIT_S)) {
          throw new IOException("the balancer of " + root + " did not start");
        }
        TimeUnit.MILLISECONDS.sleep(2);
      }
      millis.add(Math.round((System.nanoTime() - begun) / 1e4) / 100.0);
      for (String line : Files.readAllLines(Path.of("/proc", Long.toString(process.pid()), "status"))) {
        if (line.startsWith("VmRSS:")) {
          resident.add(Math.round(Long.parseLong(line.replaceAll("\\D", "")) / 102.4) / 10.0);
        }
      }
    } finally {
      process.destroyForcibly().waitFor();
      Files.delete(config);
    }
  }

  private static boolean healthy(int port) {
    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
      OutputStream out = socket.getOutputStream();
      out.write("GET /healthz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
      InputStream in = socket.getInputStream();
      return new String(in.readNBytes(12), StandardCharsets.US_ASCII).equals("HTTP/1.1 200");
    } catch (IOException e) {
      return false; // Not there yet.
    }
  }
}
