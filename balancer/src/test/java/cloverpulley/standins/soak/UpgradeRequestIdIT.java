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
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against a request that runs twice in an upgrade: a client that sends the id of another client's open request must be refused by both
 * processes, whichever holds the request.
 */
@Timeout(value = 2, unit = TimeUnit.MINUTES)
class UpgradeRequestIdIT {

  private static final int REQUESTS = 12;
  private static final int ANSWER_MILLIS = 10_000;
  private static final int DEADLINE_MILLIS = 20_000;

  @TempDir
  private Path folder;
  private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final List<Socket> sockets = new ArrayList<>();
  private final List<SoakServer> servers = new ArrayList<>();
  private SoakNode node;
  private SoakProcess old;

  @BeforeEach
  void start() throws Exception {
    for (int i = 0; i < 4; i++) {
      SoakServer server = new SoakServer("s-" + i, group, new SplittableRandom(i));
      server.hangs = true;
      servers.add(server);
    }
    node = new SoakNode(0, folder, Path.of(System.getProperty("soak.root", "")).toAbsolutePath(), FaultShim.build(folder), 1);
    node.configure(SoakSettings.text(new Soak.Plan(null, 2, 0, 1, 192, 0, 0), node, SoakNode.freePort(), DEADLINE_MILLIS, servers, 0));
    old = startProcess();
  }

  @AfterEach
  void stop() throws IOException {
    for (Socket socket : sockets) {
      socket.close();
    }
    node.close();
    servers.forEach(SoakServer::stop);
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private SoakProcess startProcess() throws IOException {
    SoakProcess process = node.start();
    while (process.call("GET /control/ready") != 200) {
      assertTrue(process.isAlive(), "the process ended");
    }
    return process;
  }

  /** Connections of clients; with two processes the system distributes them to both. */
  private List<Socket> connect() throws IOException {
    List<Socket> connected = new ArrayList<>();
    for (int i = 0; i < REQUESTS; i++) {
      Socket socket = new Socket(InetAddress.getLoopbackAddress(), node.port);
      socket.setSoTimeout(ANSWER_MILLIS);
      connected.add(socket);
    }
    sockets.addAll(connected);
    return connected;
  }

  /** Sends a request that is unsafe to repeat on each connection. */
  private static void send(List<Socket> clients, String name) throws IOException {
    for (int i = 0; i < clients.size(); i++) {
      clients.get(i).getOutputStream().write(("POST /api HTTP/1.1\r\nHost: x\r\nX-Qos: order\r\nContent-Length: 1\r\nX-Trace-Id: n0-" + name + i
          + "\r\n\r\nx").getBytes(StandardCharsets.US_ASCII));
    }
  }

  /** Waits until the servers have received all requests of a name, and returns how often each was. */
  private Map<String, Long> awaitRuns(String name) {
    while (true) {
      Map<String, Long> runs = servers.stream().flatMap(s -> s.received.stream()).filter(r -> r.id().startsWith("n0-" + name))
          .collect(Collectors.groupingBy(SoakServer.Received::id, Collectors.counting()));
      if (runs.size() == REQUESTS) {
        return runs;
      }
    }
  }

  private static void assertConflicts(List<Socket> clients) throws IOException {
    for (Socket client : clients) {
      String status = new String(client.getInputStream().readNBytes("HTTP/1.1 409".length()), StandardCharsets.US_ASCII);
      assertEquals("HTTP/1.1 409", status);
      client.getInputStream().skip(client.getInputStream().available());
    }
  }

  private void assertRanOnce(String name) {
    awaitRuns(name).forEach((id, runs) -> assertEquals(1, runs, id));
  }

  @Test
  void bothProcessesKnowTheIdsOfEither() throws Exception {
    List<Socket> toOld = connect();
    List<Socket> badToOld = connect();
    send(toOld, "before");
    awaitRuns("before");
    startProcess();
    List<Socket> toEither = connect();
    send(toEither, "between");
    awaitRuns("between");
    send(badToOld, "between");
    assertConflicts(badToOld);
    List<Socket> badToEither = connect();
    send(badToEither, "before");
    assertConflicts(badToEither);
    old.terminate();
    while (old.call("GET /control/ready") == 200) {
      assertTrue(old.isAlive());
    }
    List<Socket> badToNew = connect();
    send(badToNew, "before");
    assertConflicts(badToNew);
    assertRanOnce("before");
    assertRanOnce("between");
  }

  @Test
  void anEmptiedFolderHidesNoId() throws Exception {
    List<Socket> toOld = connect();
    send(toOld, "held");
    awaitRuns("held");
    node.emptyFolder();
    startProcess();
    node.emptyFolder();
    List<Socket> bad = connect();
    send(bad, "held");
    assertConflicts(bad);
    assertRanOnce("held");
  }

  /** The first run has ended, its client has left, and the process that forwarded it has gone, too. */
  @Test
  void theIdOfARunWhoseClientLeftStaysUsed() throws Exception {
    List<Socket> leavers = connect();
    send(leavers, "left");
    awaitRuns("left");
    for (Socket leaver : leavers) {
      leaver.close();
    }
    servers.forEach(SoakServer::stop);
    startProcess();
    List<Socket> toEither = connect();
    send(toEither, "left");
    assertConflicts(toEither);
    old.terminate();
    assertTrue(old.awaitExit(ANSWER_MILLIS), "the old process goes on");
    List<Socket> toNew = connect();
    send(toNew, "left");
    assertConflicts(toNew);
    assertRanOnce("left");
  }
}
