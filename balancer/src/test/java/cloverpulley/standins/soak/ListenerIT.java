package cloverpulley.standins.soak;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

@Timeout(value = 1, unit = TimeUnit.MINUTES)
class ListenerIT {

  @TempDir
  private Path folder;

  @ParameterizedTest
  @ValueSource(ints = {FaultShim.ACCEPT, FaultShim.NONBLOCK, FaultShim.ACCEPT | FaultShim.SOCKET | FaultShim.CONNECT})
  void theListenerSurvivesConnectionsThatCannotBeAccepted(int calls) throws Exception {
    EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    SoakServer server = new SoakServer("s-0", group, new SplittableRandom(1));
    SoakNode node = new SoakNode(0, folder, Path.of(System.getProperty("soak.root", "")).toAbsolutePath(), FaultShim.build(folder), 1);
    try {
      node.configure(SoakSettings.text(new Soak.Plan(null, 2, 0, 1, 192, 0, 0), node, SoakNode.freePort(), 3000, List.of(server), 0));
      SoakProcess process = node.start();
      while (process.call("GET /control/ready") != 200) {
        assertTrue(process.isAlive());
      }
      process.faults.failSockets(1000, calls);
      try (Socket rejected = new Socket(InetAddress.getLoopbackAddress(), node.port)) {
        while (process.faults.failed() == 0) {
          assertTrue(process.isAlive());
          Thread.onSpinWait();
        }
      }
      process.faults.failSockets(0, 0);
      assertTrue(health(node.port).startsWith("HTTP/1.1 200 "));
    } finally {
      node.close();
      server.stop();
      group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
  }

  private static String health(int port) throws IOException {
    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
      socket.setSoTimeout(20_000);
      socket.getOutputStream().write("GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
      return new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII)).readLine();
    }
  }
}
