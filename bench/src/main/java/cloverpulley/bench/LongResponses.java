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

/** Measures the memory of a balancer with many long responses in flight to slow readers. */
final class LongResponses {

  private static final int RESPONSES = 100;
  private static final int RESPONSE_BYTES = 32 << 20;
  private static final int CHUNK_BYTES = 64 * 1024;
  private static final int SAMPLES = 50;
  private static final long PAUSE_MILLIS = 100;

  private LongResponses() {}

  /** Peak resident memory in megabytes. */
  static double peakResidentMb() throws Exception {
    try (ServerSocket upstream = new ServerSocket(0, 256, InetAddress.getLoopbackAddress());
        BalancerDeployment deployment = new BalancerDeployment(List.of("127.0.0.1:" + upstream.getLocalPort()))) {
      startThread(() -> {
        while (true) {
          Socket socket = upstream.accept();
          startThread(() -> serve(socket));
        }
      });
      deployment.start();
      deployment.awaitReady(0);
      List<Socket> clients = new ArrayList<>();
      for (int i = 0; i < RESPONSES; i++) {
        Socket client = new Socket(InetAddress.getLoopbackAddress(), deployment.port());
        client.setReceiveBufferSize(CHUNK_BYTES);
        client.getOutputStream().write(("GET /api HTTP/1.1\r\nHost: x\r\nX-Trace-Id: l" + i + "\r\nX-Qos: lookup\r\n\r\n")
            .getBytes(StandardCharsets.US_ASCII));
        clients.add(client);
        TimeUnit.MILLISECONDS.sleep(5);
      }
      double peak = 0;
      byte[] chunk = new byte[CHUNK_BYTES];
      for (int i = 0; i < SAMPLES; i++) {
        for (Socket client : clients) {
          if (client.getInputStream().available() > 0) {
            client.getInputStream().read(chunk);
          }
        }
        peak = Math.max(peak, deployment.residentMb());
        TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
      }
      int active = 0;
      for (Socket client : clients) {
        active += client.getInputStream().available() > 0 ? 1 : 0;
        client.close();
      }
      if (active < RESPONSES / 2) {
        throw new IOException("only " + active + " responses were in flight, too few to measure " + RESPONSES);
      }
      return peak;
    }
  }

  private interface Task {
    void run() throws IOException;
  }

  private static void startThread(Task task) {
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
      int lineEndCharacters = 0;
      for (int b = in.read(); b >= 0; b = in.read()) {
        lineEndCharacters = b == '\r' || b == '\n' ? lineEndCharacters + 1 : 0;
        if (lineEndCharacters == 4) {
          socket.getOutputStream().write(("HTTP/1.1 200 OK\r\nContent-Length: " + RESPONSE_BYTES + "\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
          byte[] chunk = new byte[CHUNK_BYTES];
          for (int written = 0; written < RESPONSE_BYTES; written += CHUNK_BYTES) {
            socket.getOutputStream().write(chunk);
          }
        }
      }
    }
  }
}
