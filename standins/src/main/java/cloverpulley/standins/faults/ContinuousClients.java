package cloverpulley.standins.faults;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients that continuously send requests to balancers, one at a time. They open a new connection if the balancer closed the last one between
 * two requests. Responses other than 200 and rejections (429, 503) are counted as lost. A request without complete
 * response headers is not counted: its client reconnects, or stops if the balancer was killed.
 */
public final class ContinuousClients implements AutoCloseable {

  private static final int READ_TIMEOUT_MILLIS = 10_000;

  private final long pauseMillis;
  private final AtomicInteger answered = new AtomicInteger();
  private final AtomicInteger lost = new AtomicInteger();
  private final AtomicInteger clients = new AtomicInteger();
  private volatile boolean closed;

  /** Each client pauses for the given time after each response. */
  public ContinuousClients(long pauseMillis) {
    this.pauseMillis = pauseMillis;
  }

  /** Starts a client of this balancer, which runs until the balancer is killed. */
  public void addClient(Instance instance) throws IOException, InterruptedException {
    InetSocketAddress address = instance.address("balance");
    String name = instance.name() + "-" + clients.incrementAndGet() + "-";
    Thread thread = new Thread(() -> run(instance, address, name), "client " + name);
    thread.setDaemon(true);
    thread.start();
  }

  private void run(Instance instance, InetSocketAddress address, String name) {
    int number = 0;
    while (!closed) {
      try (Socket s = new Socket(address.getAddress(), address.getPort())) {
        s.setSoTimeout(READ_TIMEOUT_MILLIS);
        for (int status = -1; status != 0 && !closed; TimeUnit.MILLISECONDS.sleep(pauseMillis)) {
          s.getOutputStream().write(("GET /api HTTP/1.1\r\nHost: b\r\nX-Trace-Id: " + name + number++ + "\r\nX-Qos: lookup\r\nCookie: sid=k"
              + number % 50 + "\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
          status = answer(s.getInputStream());
          if (status != 0) {
            answered.incrementAndGet();
            lost.addAndGet(status == 200 || status == 429 || status == 503 ? 0 : 1);
          } // Otherwise the connection ended, as when the balancer closed it between two requests without reading this one.
        }
      } catch (IOException e) {
        if (!instance.isAlive()) {
          return; // The balancer was killed: a real client would retry its open request elsewhere.
        }
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  /** Reads a response and returns its status; 0 if the connection ended before the end of its headers. */
  private static int answer(InputStream in) throws IOException {
    StringBuilder head = new StringBuilder();
    while (head.length() < 4 || !head.substring(head.length() - 4).equals("\r\n\r\n")) {
      int b = in.read();
      if (b < 0) {
        return 0;
      }
      head.append((char) b);
    }
    int lengthStart = head.toString().toLowerCase(java.util.Locale.ROOT).indexOf("content-length: ");
    in.readNBytes(lengthStart < 0 ? 0 : Integer.parseInt(head.substring(lengthStart + 16, head.indexOf("\r", lengthStart))));
    return Integer.parseInt(head.substring(9, 12));
  }

  public int answered() {
    return answered.get();
  }

  public int lost() {
    return lost.get();
  }

  @Override
  public void close() {
    closed = true;
  }
}
