package cloverpulley.standins.faults;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/**
 * A TCP relay on loopback that can delay data, or drop it in one or both directions. As in a network partition, dropped data is read and
 * discarded while connections stay open. Once the partition heals, connections that lost data are reset.
 */
public final class Relay implements AutoCloseable {

  private static final int MAX_CONNECTIONS = 256;
  private static final int BUFFER_BYTES = 16 * 1024;

  /** The directions in which data is forwarded. */
  public enum Direction { BOTH, TO_TARGET, FROM_TARGET, NONE }

  private final ServerSocket listener = new ServerSocket(0, 128, InetAddress.getLoopbackAddress());
  private final InetSocketAddress target;
  private final Set<Connection> connections = ConcurrentHashMap.newKeySet();
  private volatile Direction allowed = Direction.BOTH;
  private volatile long delayMillis;
  private volatile long bytes;

  private final class Connection {
    private final Socket client;
    private final Socket server = new Socket();
    private volatile boolean lostData;

    Connection(Socket client) {
      this.client = client;
    }

    void run() {
      try {
        client.setTcpNoDelay(true);
        server.setTcpNoDelay(true);
        server.connect(target, 1000);
        startThread(() -> pump(server.getInputStream(), client.getOutputStream(), false));
        pump(client.getInputStream(), server.getOutputStream(), true);
      } catch (IOException e) {
        reset();
      }
    }

    private void pump(InputStream in, OutputStream out, boolean toTarget) throws IOException {
      byte[] buffer = new byte[BUFFER_BYTES];
      try {
        for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) {
          Direction current = allowed;
          if (current == Direction.BOTH || current == (toTarget ? Direction.TO_TARGET : Direction.FROM_TARGET)) {
            if (lostData) {
              break; // Earlier data was dropped: the receiver must not take the rest for the complete stream.
            }
            if (delayMillis > 0) {
              TimeUnit.MILLISECONDS.sleep(delayMillis);
            }
            bytes += n;
            out.write(buffer, 0, n);
            out.flush();
          } else {
            lostData = true;
          }
        }
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      } finally {
        reset();
      }
    }

    void reset() {
      connections.remove(this);
      try {
        client.setSoLinger(true, 0);
        client.close();
        server.close();
      } catch (IOException e) {
        return; // Closed already.
      }
    }
  }

  private interface Task {
    void run() throws IOException;
  }

  private static void startThread(Task task) {
    Thread t = new Thread(() -> {
      try {
        task.run();
      } catch (IOException e) {
        return; // One side closed the connection.
      }
    }, "relay");
    t.setDaemon(true);
    t.start();
  }

  /** Starts a relay that forwards connections made to {@link #address} to the target. */
  public Relay(InetSocketAddress target) throws IOException {
    this.target = target;
    startThread(() -> {
      while (true) {
        Socket client = listener.accept();
        if (connections.size() >= MAX_CONNECTIONS) {
          client.close();
          continue;
        }
        Connection connection = new Connection(client);
        connections.add(connection);
        startThread(connection::run);
      }
    });
  }

  public InetSocketAddress address() {
    return (InetSocketAddress) listener.getLocalSocketAddress();
  }

  /** Sets the directions that are forwarded. {@code BOTH} heals a partition and resets the connections that lost data. */
  public void allow(Direction direction) {
    allowed = direction;
    if (direction == Direction.BOTH) {
      connections.stream().filter(c -> c.lostData).forEach(Connection::reset);
    }
  }

  /** Delays each buffer that is forwarded by the given time. */
  public void delay(long millis) {
    delayMillis = millis;
  }

  /** Returns the number of bytes forwarded so far. */
  public long bytes() {
    return bytes;
  }

  @Override
  public void close() throws IOException {
    listener.close();
    connections.forEach(Connection::reset);
  }
}
