package cloverpulley.standins.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against clients that end the process with few bytes: text in many short lines or chunks takes many times its length of heap. */
@Timeout(value = 2, unit = TimeUnit.MINUTES)
class HeaderMemoryIT {

  private static final int CLIENTS = 300;
  /** A head may have 8,192 bytes; a line of this test has 5. */
  private static final int LINES = 1_500;
  /** A client that has sent no complete request gets an error or a close by then. */
  private static final int INCOMPLETE_MILLIS = 3_000;
  private static final int SLACK_MILLIS = 1_000;
  private static final String BAD = "bad";

  /** What a client sends at once before it stops and stays. */
  private enum Shape {
    UNFINISHED_HEAD, REQUEST, UNFINISHED_TRAILERS, HEAD_OF_LONG_BODY, SHORT_CHUNKS, REQUESTS_BEHIND_BODY;

    String text(int client) {
      String lines = lines();
      String post = "POST /api HTTP/1.1\r\nHost: x\r\nX-Qos: issue\r\nIdempotency-Key: k" + client + "\r\nX-Trace-Id: n0-" + BAD + client + "\r\n";
      String chunked = post + "Transfer-Encoding: chunked\r\n\r\n";
      return switch (this) {
        case UNFINISHED_HEAD -> "GET /api HTTP/1.1\r\n" + lines;
        case REQUEST -> post + lines + "\r\n";
        case UNFINISHED_TRAILERS -> chunked + "1\r\nx\r\n0\r\n" + lines;
        case HEAD_OF_LONG_BODY -> post + lines + "Content-Length: 1000000\r\n\r\n";
        case SHORT_CHUNKS -> chunked + body(64 * 1024) + "1\r\nx\r\n".repeat(8_000);
        case REQUESTS_BEHIND_BODY -> chunked + body(64 * 1024) + "0\r\n\r\n" + "GET / HTTP/1.1\r\n\r\n".repeat(2_000);
      };
    }

    private static String lines() {
      StringBuilder lines = new StringBuilder();
      for (int i = 0; i < LINES; i++) {
        lines.append((char) ('a' + i % 26)).append(":b\r\n");
      }
      return lines.toString();
    }

    private static String body(int length) {
      return Integer.toHexString(length) + "\r\n" + "x".repeat(length) + "\r\n";
    }
  }

  @TempDir
  private Path folder;

  /** A head of many short lines, then the body in single bytes, from a server. */
  private static void answerSlowly(Socket socket) {
    try (socket) {
      socket.getOutputStream().write(("HTTP/1.1 200 OK\r\n" + Shape.lines() + "Content-Length: 60000\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
      for (int i = 0; i < 60_000; i++) {
        socket.getOutputStream().write('x');
        TimeUnit.MILLISECONDS.sleep(100);
      }
    } catch (IOException e) {
      return; // The balancer has closed the connection.
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static ServerSocket slowServer() throws IOException {
    ServerSocket listener = new ServerSocket(0, CLIENTS, InetAddress.getLoopbackAddress());
    daemon(() -> {
      while (!listener.isClosed()) {
        try {
          Socket accepted = listener.accept();
          daemon(() -> answerSlowly(accepted));
        } catch (IOException e) {
          return; // The test has ended.
        }
      }
    });
    return listener;
  }

  private static void daemon(Runnable task) {
    Thread thread = new Thread(task);
    thread.setDaemon(true);
    thread.start();
  }

  @Test
  void manyShortLinesOfAnswersDoNotEndTheProcess() throws Exception {
    EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    List<Socket> clients = new ArrayList<>();
    List<SoakServer> servers = new ArrayList<>();
    for (int i = 0; i < 8; i++) {
      servers.add(new SoakServer("s-" + i, group, new SplittableRandom(i)));
    }
    SoakNode node = new SoakNode(0, folder, Path.of(System.getProperty("soak.root", "")).toAbsolutePath(), FaultShim.build(folder), 1);
    try (ServerSocket slow = slowServer()) {
      String config = SoakSettings.text(new Soak.Plan(null, 2, 0, 1, 192, 0, 0), node, SoakNode.freePort(), 3000, servers, 0);
      for (SoakServer server : servers) {
        config = config.replace(server.address(), "127.0.0.1:" + slow.getLocalPort());
      }
      node.configure(config);
      SoakProcess process = node.start();
      while (process.call("GET /control/ready") != 200) {
        assertTrue(process.isAlive(), () -> log(node));
      }
      for (int i = 0; i < CLIENTS; i++) {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), node.port);
        clients.add(socket);
        send(socket, "GET /api HTTP/1.1\r\nHost: x\r\nX-Qos: lookup\r\nX-Trace-Id: n0-" + i + "\r\n\r\n");
      }
      for (Socket socket : clients) {
        socket.setSoTimeout(INCOMPLETE_MILLIS + SLACK_MILLIS);
        assertEquals('H', socket.getInputStream().read(), () -> "each request gets an answer\n" + log(node));
      }
      assertEquals(200, process.call("GET /control/ready"), () -> log(node));
    } finally {
      for (Socket s : clients) {
        s.close();
      }
      node.close();
      servers.forEach(SoakServer::stop);
      group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
  }

  @ParameterizedTest
  @CsvSource({"UNFINISHED_HEAD, 192", "UNFINISHED_HEAD, 128", "REQUEST, 192", "UNFINISHED_TRAILERS, 192", "HEAD_OF_LONG_BODY, 192",
      "SHORT_CHUNKS, 192", "REQUESTS_BEHIND_BODY, 192"})
  void manyShortLinesOrChunksDoNotEndTheProcess(Shape shape, int memoryMb) throws Exception {
    EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    List<Socket> clients = new ArrayList<>();
    SoakServer server = new SoakServer("s-0", group, new SplittableRandom(1));
    server.hangsFor = requestId -> requestId.contains(BAD);
    SoakNode node = new SoakNode(0, folder, Path.of(System.getProperty("soak.root", "")).toAbsolutePath(), FaultShim.build(folder), 1);
    try {
      node.configure(SoakSettings.text(new Soak.Plan(null, 2, 0, 1, memoryMb, 0, 0), node, SoakNode.freePort(), 3000, List.of(server), 0));
      SoakProcess process = node.start();
      while (process.call("GET /control/ready") != 200) {
        assertTrue(process.isAlive(), () -> log(node));
      }
      long peakKb = 0;
      for (int i = 0; i < CLIENTS; i++) {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), node.port);
        clients.add(socket);
        send(socket, shape.text(i));
        peakKb = i % 50 == 0 ? Math.max(peakKb, process.memoryKb()) : peakKb;
      }
      long sentNanos = System.nanoTime();
      assertTrue(usualRequestIsAnswered(node), () -> shape + ": a usual request got no answer\n" + log(node));
      if (shape == Shape.UNFINISHED_HEAD || shape == Shape.UNFINISHED_TRAILERS) {
        for (Socket socket : clients) {
          awaitAnswerOrClose(socket, sentNanos);
        }
      }
      peakKb = Math.max(peakKb, process.memoryKb());
      assertTrue(usualRequestIsAnswered(node), () -> shape + ": a usual request got no answer\n" + log(node));
      assertEquals(200, process.call("GET /control/ready"), () -> log(node));
      long finalPeakKb = peakKb;
      assertTrue(finalPeakKb <= memoryMb * 1024L, () -> finalPeakKb + " KB");
    } finally {
      for (Socket s : clients) {
        s.close();
      }
      node.close();
      server.stop();
      group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
  }

  /** Sends a request with an ordinary head; whether it gets the balancer's answer, whatever it is. */
  private static boolean usualRequestIsAnswered(SoakNode node) {
    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), node.port)) {
      socket.setSoTimeout(INCOMPLETE_MILLIS + SLACK_MILLIS);
      StringBuilder text = new StringBuilder("GET /api HTTP/1.1\r\nHost: x\r\nX-Trace-Id: n0-" + System.nanoTime() + "\r\nX-Qos: lookup\r\n");
      for (int i = 0; i < 8; i++) {
        text.append("X-Line-").append(i).append(": ").append("v".repeat(40)).append("\r\n");
      }
      send(socket, text.append("\r\n").toString());
      byte[] status = socket.getInputStream().readNBytes("HTTP/1.1 200".length());
      String answer = new String(status, StandardCharsets.US_ASCII);
      return answer.startsWith("HTTP/1.1 ") && !answer.endsWith("431");
    } catch (IOException e) {
      return false;
    }
  }

  private static void awaitAnswerOrClose(Socket socket, long sentNanos) throws IOException {
    long elapsedMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sentNanos);
    socket.setSoTimeout((int) Math.max(SLACK_MILLIS, INCOMPLETE_MILLIS + SLACK_MILLIS - elapsedMillis));
    try {
      socket.getInputStream().read();
    } catch (SocketTimeoutException e) {
      throw e;
    } catch (IOException e) {
      return; // Reset: it is closed.
    }
  }

  /** Sends a text. The balancer may close the connection meanwhile. */
  private static void send(Socket socket, String text) {
    try {
      socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    } catch (IOException e) {
      return;
    }
  }

  private static String log(SoakNode node) {
    try {
      return Files.readString(node.log());
    } catch (IOException e) {
      return e.toString();
    }
  }
}
