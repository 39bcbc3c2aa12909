package cloverpulley.standins.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

@Timeout(value = 2, unit = TimeUnit.MINUTES)
class CrowdIT {

  private static final int CLIENTS = 300;
  private static final int REQUESTS = 33;

  @TempDir
  private Path folder;

  /** A request with about 7 KB of headers in a hundred lines. */
  private static String request(int client, int number) {
    StringBuilder text = new StringBuilder("GET /api HTTP/1.1\r\nHost: x\r\nX-Trace-Id: n0-" + client * REQUESTS + number + "\r\nX-Qos: lookup\r\n");
    for (int i = 0; i < 100; i++) {
      text.append("X-Line-").append(i).append(": ").append("v".repeat(55)).append("\r\n");
    }
    return text.append("\r\n").toString();
  }

  @ParameterizedTest
  @ValueSource(ints = {128, 192})
  void manyClientsThatSendManyRequestsAtOnceDoNotEndTheProcess(int memoryMb) throws Exception {
    EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    List<Socket> clients = new ArrayList<>();
    SoakServer server = new SoakServer("s-0", group, new SplittableRandom(1));
    server.hangs = true;
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
        for (int n = 0; n < REQUESTS; n++) {
          if (!send(socket, request(i, n))) {
            break;
          }
        }
        peakKb = Math.max(peakKb, process.memoryKb());
      }
      assertEquals(200, process.call("GET /control/ready"), () -> log(node));
      assertTrue(process.isAlive(), () -> log(node));
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

  /** Whether the balancer accepted it: the connection of a client that pipelines too much is closed. */
  private static boolean send(Socket socket, String text) {
    try {
      socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
      return true;
    } catch (IOException e) {
      return false;
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
