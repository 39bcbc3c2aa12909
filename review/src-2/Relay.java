import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/** A link between a balancer and an upstream on which bytes take some time in each direction, as between two zones. */
final class Relay implements Closeable {

  private record Part(byte[] bytes, long dueNanos) {}

  private final ServerSocket listener = new ServerSocket(0, 1024, Stage.LOOPBACK);
  private final int target;
  private final long delayNanos;

  Relay(int target, long delayMillis) throws IOException {
    this.target = target;
    delayNanos = TimeUnit.MILLISECONDS.toNanos(delayMillis);
    Stage.daemon("relay", () -> {
      while (true) {
        Socket from = listener.accept();
        Stage.daemon("relay connection", () -> connect(from));
      }
    });
  }

  int port() {
    return listener.getLocalPort();
  }

  private void connect(Socket from) throws IOException {
    Socket to = new Socket();
    to.connect(new InetSocketAddress(Stage.LOOPBACK, target), 1000);
    pump(from, to);
    pump(to, from);
  }

  /** Passes bytes and the end of the stream on, in order, each after the link's time. */
  private void pump(Socket from, Socket to) throws IOException {
    from.setTcpNoDelay(true);
    to.setTcpNoDelay(true);
    LinkedBlockingQueue<Part> way = new LinkedBlockingQueue<>();
    Stage.daemon("relay in", () -> {
      InputStream in = from.getInputStream();
      byte[] buffer = new byte[16 * 1024];
      try {
        for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) {
          way.add(new Part(java.util.Arrays.copyOf(buffer, n), System.nanoTime() + delayNanos));
        }
      } finally {
        way.add(new Part(null, System.nanoTime() + delayNanos));
      }
    });
    Stage.daemon("relay out", () -> {
      try (from; to) {
        OutputStream out = to.getOutputStream();
        for (Part p = way.take(); p.bytes != null; p = way.take()) {
          TimeUnit.NANOSECONDS.sleep(p.dueNanos - System.nanoTime());
          out.write(p.bytes);
        }
        TimeUnit.NANOSECONDS.sleep(delayNanos);
      }
    });
  }

  @Override
  public void close() throws IOException {
    listener.close();
  }
}
