package cloverpulley.standins.faults;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients that ask balancers without end, one request after the other, on a new connection where the last was closed between two. What is
 * neither an answer 200 nor a refusal is lost, and so is a connection that ends with a request open, unless its balancer was killed.
 */
public final class ContinuousClients implements AutoCloseable {

  private static final int LIMIT_MILLIS = 10_000;

  private final long paceMillis;
  private final AtomicInteger answered = new AtomicInteger();
  private final AtomicInteger lost = new AtomicInteger();
  private final AtomicInteger clients = new AtomicInteger();
  private volatile boolean over;

  /** Each client rests for so long after an answer. */
  public ContinuousClients(long paceMillis) {
    this.paceMillis = paceMillis;
  }

  /** One more client, at this balancer until that is killed. */
  public void addClient(Instance instance) throws IOException, InterruptedException {
    InetSocketAddress address = instance.address("balance");
    String name = instance.name() + "-" + clients.incrementAndGet() + "-";
    Thread thread = new Thread(() -> ask(instance, address, name), "client " + name);
    thread.setDaemon(true);
    thread.start();
  }

  private void ask(Instance instance, InetSocketAddress address, String name) {
    int number = 0;
    while (!over) {
      try (Socket s = new Socket(address.getAddress(), address.getPort())) {
        s.setSoTimeout(LIMIT_MILLIS);
        for (int status = -1; status != 0 && !over; TimeUnit.MILLISECONDS.sleep(paceMillis)) {
          s.getOutputStream().write(("GET /api HTTP/1.1\r\nHost: b\r\nX-Trace-Id: " + name + number++ + "\r\nX-Qos: lookup\r\nCookie: sid=k"
              + number % 50 + "\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
          status = answer(s.getInputStream());
          if (status != 0) {
            answered.incrementAndGet();
            lost.addAndGet(status == 200 || status == 429 || status == 503 ? 0 : 1);
          } // Else it was closed between two requests: this one was never read.
        }
      } catch (IOException e) {
        if (!instance.isAlive()) {
          return; // It has gone: what it held is the client's to ask again, elsewhere.
        }
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  /** An answer's status; 0 for the connection's end. */
  private static int answer(InputStream in) throws IOException {
    StringBuilder head = new StringBuilder();
    while (head.length() < 4 || !head.substring(head.length() - 4).equals("\r\n\r\n")) {
      int b = in.read();
      if (b < 0) {
        return 0;
      }
      head.append((char) b);
    }
    int at = head.toString().toLowerCase(java.util.Locale.ROOT).indexOf("content-length: ");
    in.readNBytes(at < 0 ? 0 : Integer.parseInt(head.substring(at + 16, head.indexOf("\r", at))));
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
    over = true;
  }
}
