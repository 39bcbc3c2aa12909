package cloverpulley;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

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
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Many long uploads concurrent with small requests, in a process started by the deploy file's run command with its limits. Guards against twelve
 * concurrent uploads exhausting the direct memory, which closed every connection, including discovery's.
 */
@Timeout(value = 3, unit = TimeUnit.MINUTES)
class UploadsIT {

  private static final int BLOCK = 64 * 1024;
  private static final int LENGTH = 16 << 20;

  @TempDir
  private Path folder;

  private final ExecutorService threads = Executors.newCachedThreadPool(task -> {
    Thread thread = new Thread(task);
    thread.setDaemon(true);
    return thread;
  });
  private final List<AutoCloseable> open = new ArrayList<>();
  private final AtomicInteger watches = new AtomicInteger();
  private int port;

  enum Reads { AT_ONCE, SLOWLY, NOT_AT_ALL }

  private interface Script {
    void run(Socket socket) throws Exception;
  }

  private String server(Script script) throws IOException {
    ServerSocket listener = new ServerSocket(0, 512, InetAddress.getLoopbackAddress());
    open.add(listener);
    threads.execute(() -> {
      while (!listener.isClosed()) {
        try {
          Socket socket = listener.accept();
          threads.execute(() -> {
            try (socket) {
              script.run(socket);
            } catch (Exception e) {
              // The balancer closed the connection, or the test has ended.
            }
          });
        } catch (IOException e) {
          return;
        }
      }
    });
    return "127.0.0.1:" + listener.getLocalPort();
  }

  private static String head(InputStream in) throws IOException {
    StringBuilder head = new StringBuilder();
    while (head.length() < 4 || !head.substring(head.length() - 4).equals("\r\n\r\n")) {
      int b = in.read();
      if (b < 0) {
        return null;
      }
      head.append((char) b);
    }
    return head.toString();
  }

  private static void skip(InputStream in, long bytes, Reads how) throws Exception {
    byte[] block = new byte[BLOCK];
    for (long left = bytes; left > 0;) {
      int n = in.read(block, 0, (int) Math.min(left, block.length));
      if (n < 0) {
        throw new IOException("closed early");
      }
      left -= n;
      if (how == Reads.SLOWLY) {
        Thread.sleep(1); // Limits the stand-in to about 30 MB per second.
      }
    }
  }

  /** Answers small requests at once and reads long ones as {@code how} says. */
  private void upstream(Socket socket, Reads how) throws Exception {
    InputStream in = new BufferedInputStream(socket.getInputStream(), BLOCK);
    for (String head = head(in); head != null; head = head(in)) {
      Matcher length = Pattern.compile("(?i)content-length: *(\\d+)").matcher(head);
      if (head.toLowerCase().contains("transfer-encoding: chunked")) {
        if (how == Reads.NOT_AT_ALL) {
          Thread.sleep(TimeUnit.MINUTES.toMillis(2)); // Until the balancer closes the connection.
        }
        while (true) {
          StringBuilder line = new StringBuilder();
          for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0) {
              throw new IOException("closed early");
            }
            line.append((char) b);
          }
          int n = Integer.parseInt(line.toString().trim(), 16);
          skip(in, n + 2, how);
          if (n == 0) {
            break;
          }
        }
      } else if (length.find() && Integer.parseInt(length.group(1)) > 0) {
        if (how == Reads.NOT_AT_ALL) {
          Thread.sleep(TimeUnit.MINUTES.toMillis(2));
        }
        skip(in, Integer.parseInt(length.group(1)), how);
      }
      socket.getOutputStream().write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok".getBytes(StandardCharsets.US_ASCII));
    }
  }

  private static String list(List<String> addresses) {
    StringBuilder members = new StringBuilder();
    for (int i = 0; i < addresses.size(); i++) {
      members.append(i == 0 ? "" : ",").append("{\"id\":\"s-").append(i).append("\",\"host_port\":\"").append(addresses.get(i))
          .append("\",\"locality\":\"a\",\"flavor\":\"m\",\"cell\":0,\"phase\":\"ready\",\"size\":1.0,\"up_since_ms\":0}");
    }
    return "{\"revision\":41,\"complete\":true,\"members\":[" + members + "]}";
  }

  private void discovery(Socket socket, String list) throws Exception {
    InputStream in = new BufferedInputStream(socket.getInputStream());
    OutputStream out = socket.getOutputStream();
    for (String head = head(in); head != null; head = head(in)) {
      if (head.contains("follow")) {
        watches.incrementAndGet();
        String line = list + "\n";
        out.write(("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + Integer.toHexString(line.length()) + "\r\n" + line + "\r\n")
            .getBytes(StandardCharsets.US_ASCII));
        while (true) {
          Thread.sleep(500);
          out.write("1\r\n\n\r\n".getBytes(StandardCharsets.US_ASCII));
        }
      }
      out.write(("HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n" + list).getBytes(StandardCharsets.US_ASCII));
    }
  }

  private Process serve(Reads how, int deadlineMillis) throws Exception {
    List<String> upstreams = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      upstreams.add(server(s -> upstream(s, how)));
    }
    String list = list(upstreams);
    String discovery = server(s -> discovery(s, list));
    String config = Files.readString(Path.of("deploy/example.json"))
        .replace("127.0.0.1:8500", discovery).replaceFirst("\"known\": \\{[^}]*\\}", "\"known\": " + Matcher.quoteReplacement(list))
        .replace("\"deadline-ns\": 3000000000", "\"deadline-ns\": " + TimeUnit.MILLISECONDS.toNanos(deadlineMillis))
        .replace("\"aim-ns\": 750000000", "\"aim-ns\": " + TimeUnit.MILLISECONDS.toNanos(deadlineMillis / 2));
    Files.writeString(folder.resolve("config"), config);
    Matcher run = Pattern.compile("(?m)^run = '''(.*)'''$").matcher(Files.readString(Path.of("deploy/balancer.toml")));
    assertTrue(run.find());
    ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", run.group(1)).redirectErrorStream(true)
        .redirectOutput(folder.resolve("log").toFile());
    builder.environment().put("ROUTER_CONFIG", folder.resolve("config").toString());
    builder.environment().put("TMPDIR", Files.createDirectories(folder.resolve("tmp")).toString());
    Process process = builder.start();
    Pattern serves = Pattern.compile("serves at /127.0.0.1:(\\d+)");
    for (Matcher m = serves.matcher(log()); port == 0; m = serves.matcher(log())) {
      assertTrue(process.isAlive(), log());
      Thread.sleep(10);
      port = m.find() ? Integer.parseInt(m.group(1)) : 0;
    }
    return process;
  }

  private String log() throws IOException {
    return Files.readString(folder.resolve("log"), StandardCharsets.UTF_8);
  }

  private Socket connect() throws IOException {
    Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
    socket.setSoTimeout(90_000);
    return socket;
  }

  /**
   * Sends a body as fast as the socket accepts it, then reads and returns the status. Returns "ended" if none came, and "left" if the client
   * disconnected after {@code stopAt} bytes.
   */
  private String upload(int number, boolean chunked, int stopAt) throws IOException {
    long from = System.nanoTime();
    try (Socket socket = connect()) {
      OutputStream out = socket.getOutputStream();
      byte[] block = new byte[BLOCK];
      try {
        out.write(("POST /api HTTP/1.1\r\nHost: b\r\nX-Trace-Id: u" + number + "\r\nX-Qos: issue\r\nX-Customer: acme\r\nCookie: sid=k"
            + number + "\r\nIdempotency-Key: k" + number + "\r\n"
            + (chunked ? "Transfer-Encoding: chunked" : "Content-Length: " + LENGTH) + "\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
        for (int sent = 0; sent < LENGTH; sent += BLOCK) {
          if (sent >= stopAt) {
            return "left";
          }
          if (chunked) {
            out.write((Integer.toHexString(BLOCK) + "\r\n").getBytes(StandardCharsets.US_ASCII));
          }
          out.write(block);
          if (chunked) {
            out.write("\r\n".getBytes(StandardCharsets.US_ASCII));
          }
        }
        if (chunked) {
          out.write("0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
        }
      } catch (IOException e) {
        // The balancer answered before the whole body was sent and closed the connection: the answer can still be read.
      }
      String head = head(socket.getInputStream());
      return head == null ? "ended" : head.substring(9, 12);
    } catch (IOException e) {
      System.out.printf("upload %d ended after %d ms: %s%n", number, TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - from), e);
      return "ended";
    }
  }

  private long[] sendSmallRequests(AtomicBoolean until, int minRequests, Map<String, Integer> statuses) throws IOException {
    List<Long> nanos = new ArrayList<>();
    try (Socket socket = connect()) {
      for (int i = 0; i < minRequests || !until.get(); i++) {
        long from = System.nanoTime();
        socket.getOutputStream().write(("GET /api HTTP/1.1\r\nHost: b\r\nX-Trace-Id: g" + from + "\r\nX-Qos: lookup\r\nX-Customer: acme\r\n\r\n")
            .getBytes(StandardCharsets.US_ASCII));
        String head = head(socket.getInputStream());
        nanos.add(System.nanoTime() - from);
        statuses.merge(head == null ? "ended" : head.substring(9, 12), 1, Integer::sum);
        if (head == null) {
          break;
        }
        Matcher length = Pattern.compile("(?i)content-length: *(\\d+)").matcher(head);
        socket.getInputStream().readNBytes(length.find() ? Integer.parseInt(length.group(1)) : 0);
        Thread.sleep(5); // The client's pause between requests.
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    return nanos.stream().mapToLong(n -> n).sorted().toArray();
  }

  @ParameterizedTest
  @CsvSource({"12,AT_ONCE,false", "12,SLOWLY,true", "48,AT_ONCE,true", "48,SLOWLY,false", "48,NOT_AT_ALL,false", "200,AT_ONCE,false",
      "200,NOT_AT_ALL,true"})
  void everyUploadIsAnswered(int uploads, Reads how, boolean chunked) throws Exception {
    Process process = serve(how, how == Reads.NOT_AT_ALL ? 3000 : 30_000);
    try {
      Map<String, Integer> smallStatuses = new TreeMap<>();
      long[] before = sendSmallRequests(new AtomicBoolean(true), 100, smallStatuses);
      AtomicBoolean stopped = new AtomicBoolean();
      CompletableFuture<long[]> concurrent = new CompletableFuture<>();
      threads.execute(() -> {
        try {
          concurrent.complete(sendSmallRequests(stopped, 50, smallStatuses));
        } catch (IOException e) {
          concurrent.completeExceptionally(e);
        }
      });
      List<CompletableFuture<String>> all = new ArrayList<>();
      for (int i = 0; i < uploads; i++) {
        int number = i;
        CompletableFuture<String> status = new CompletableFuture<>();
        all.add(status);
        threads.execute(() -> {
          try {
            status.complete(upload(number, chunked, number % 8 == 7 ? LENGTH / 2 : LENGTH + 1));
          } catch (IOException e) {
            status.completeExceptionally(e);
          }
        });
      }
      Map<String, Integer> statuses = new TreeMap<>();
      for (CompletableFuture<String> status : all) {
        statuses.merge(status.get(), 1, Integer::sum);
      }
      stopped.set(true);
      long[] during = concurrent.get();
      String rss = Files.readAllLines(Path.of("/proc/" + process.pid() + "/status")).stream().filter(l -> l.startsWith("VmHWM")).findFirst()
          .orElse("");
      System.out.printf("%d uploads, %s, %s: %s; small %s, p99 %.2f ms alone, %.2f ms concurrent, ratio %.1f; %s%n", uploads, how,
          chunked ? "chunked" : "length", statuses, smallStatuses, p99(before) / 1e6, p99(during) / 1e6, (double) p99(during) / p99(before), rss);
      assertFalse(log().contains("OutOfMemoryError") || log().contains("Cannot reserve"), log());
      String logText = log();
      assertFalse(statuses.containsKey("ended"), () -> "no answer: " + statuses + "; end of the log: "
          + logText.substring(Math.max(0, logText.length() - 4000)));
      assertFalse(smallStatuses.containsKey("ended"), smallStatuses::toString);
      assertFalse(log().contains("connection lost"), log());
    } finally {
      process.destroy();
      assertTrue(process.waitFor(1, TimeUnit.MINUTES));
      for (AutoCloseable c : open) {
        c.close();
      }
      threads.shutdownNow();
    }
    assertEquals(0, process.exitValue());
  }

  private static long p99(long[] sorted) {
    return sorted[(int) (0.99 * (sorted.length - 1))];
  }
}
