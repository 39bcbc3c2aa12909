package cloverpulley.bench;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Memory of a balancer with many long answers in flight to clients that read slowly. */
final class LongResponses {

  private static final int ANSWERS = 100;
  private static final int BYTES = 32 << 20;
  private static final int PIECE = 64 * 1024;
  private static final int LOOKS = 50;
  private static final long PAUSE_MILLIS = 100;

  private LongResponses() {}

  /** The most that was resident, in megabytes. */
  static double residentMb() throws Exception {
    try (ServerSocket upstream = new ServerSocket(0, 256, InetAddress.getLoopbackAddress());
        BalancerDeployment operated = new BalancerDeployment(List.of("127.0.0.1:" + upstream.getLocalPort()))) {
      thread(() -> {
        while (true) {
          Socket socket = upstream.accept();
          thread(() -> serve(socket));
        }
      });
      operated.start();
      operated.awaitReady(0);
      List<Socket> clients = new ArrayList<>();
      for (int i = 0; i < ANSWERS; i++) {
        Socket client = new Socket(InetAddress.getLoopbackAddress(), operated.port());
        client.setReceiveBufferSize(PIECE);
        client.getOutputStream().write(("GET /api HTTP/1.1\r\nHost: x\r\nX-Trace-Id: l" + i + "\r\nX-Qos: lookup\r\n\r\n")
            .getBytes(StandardCharsets.US_ASCII));
        clients.add(client);
        TimeUnit.MILLISECONDS.sleep(5);
      }
      double most = 0;
      byte[] piece = new byte[PIECE];
      for (int i = 0; i < LOOKS; i++) {
        for (Socket client : clients) {
          if (client.getInputStream().available() > 0) {
            client.getInputStream().read(piece);
          }
        }
        most = Math.max(most, operated.residentMb());
        TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
      }
      int flowing = 0;
      for (Socket client : clients) {
        flowing += client.getInputStream().available() > 0 ? 1 : 0;
        client.close();
      }
      if (flowing < ANSWERS / 2) {
        throw new IOException("only " + flowing + " answers were in flight: the figure would not be that of " + ANSWERS);
      }
      return most;
    }
  }

  private interface Task {
    void run() throws IOException;
  }

  private static void thread(Task task) {
    Thread thread = new Thread(() -> {
      try {
        task.run();
      } catch (IOException e) {
        return; // The measurement is over.
      }
    });
    thread.setDaemon(true);
    thread.start();
  }

  private static void serve(Socket socket) throws IOException {
    try (socket) {
      InputStream in = socket.getInputStream();
      int ends = 0;
      for (int b = in.read(); b >= 0; b = in.read()) {
        ends = b == '\r' || b == '\n' ? ends + 1 : 0;
        if (ends == 4) {
          socket.getOutputStream().write(("HTTP/1.1 200 OK\r\nContent-Length: " + BYTES + "\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
          byte[] piece = new byte[PIECE];
          for (int at = 0; at < BYTES; at += PIECE) {
            socket.getOutputStream().write(piece);
          }
        }
      }
    }
  }
}
