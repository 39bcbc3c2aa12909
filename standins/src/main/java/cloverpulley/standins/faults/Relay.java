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
 * A link between two processes over TCP on loopback, that can be slow, and cut whole or one way. A cut is silent, as a network's is: what is
 * sent is taken and goes nowhere, connections stay open. Once it is healed, connections that lost something are reset.
 */
public final class Relay implements AutoCloseable {

  private static final int MOST_CONNECTIONS = 256;
  private static final int PIECE = 16 * 1024;

  /** What passes: both ways, to the target only, back only, or nothing. */
  public enum Direction { BOTH, TO_TARGET, FROM_TARGET, NONE }

  private final ServerSocket listener = new ServerSocket(0, 128, InetAddress.getLoopbackAddress());
  private final InetSocketAddress target;
  private final Set<Link> links = ConcurrentHashMap.newKeySet();
  private volatile Direction passes = Direction.BOTH;
  private volatile long delayMillis;
  private volatile long bytes;

  private final class Link {
    private final Socket near;
    private final Socket far = new Socket();
    private volatile boolean lossy;

    Link(Socket near) {
      this.near = near;
    }

    void run() {
      try {
        near.setTcpNoDelay(true);
        far.setTcpNoDelay(true);
        far.connect(target, 1000);
        thread(() -> pump(far.getInputStream(), near.getOutputStream(), false));
        pump(near.getInputStream(), far.getOutputStream(), true);
      } catch (IOException e) {
        end();
      }
    }

    private void pump(InputStream in, OutputStream out, boolean toTarget) throws IOException {
      byte[] piece = new byte[PIECE];
      try {
        for (int n = in.read(piece); n >= 0; n = in.read(piece)) {
          Direction now = passes;
          if (now == Direction.BOTH || now == (toTarget ? Direction.TO_TARGET : Direction.FROM_TARGET)) {
            if (lossy) {
              break; // Something before this is missing: nobody may take the rest for all.
            }
            if (delayMillis > 0) {
              TimeUnit.MILLISECONDS.sleep(delayMillis);
            }
            bytes += n;
            out.write(piece, 0, n);
            out.flush();
          } else {
            lossy = true;
          }
        }
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      } finally {
        end();
      }
    }

    void end() {
      links.remove(this);
      try {
        near.setSoLinger(true, 0);
        near.close();
        far.close();
      } catch (IOException e) {
        return; // Ended already.
      }
    }
  }

  private interface Task {
    void run() throws IOException;
  }

  private static void thread(Task task) {
    Thread t = new Thread(() -> {
      try {
        task.run();
      } catch (IOException e) {
        return; // One side has gone.
      }
    }, "relay");
    t.setDaemon(true);
    t.start();
  }

  /** A link to this address, from wherever {@link #address} is connected to. */
  public Relay(InetSocketAddress target) throws IOException {
    this.target = target;
    thread(() -> {
      while (true) {
        Socket near = listener.accept();
        if (links.size() >= MOST_CONNECTIONS) {
          near.close();
          continue;
        }
        Link link = new Link(near);
        links.add(link);
        thread(link::run);
      }
    });
  }

  public InetSocketAddress address() {
    return (InetSocketAddress) listener.getLocalSocketAddress();
  }

  /** Cuts, or heals: then what lost something is reset. */
  public void allow(Direction what) {
    passes = what;
    if (what == Direction.BOTH) {
      links.stream().filter(l -> l.lossy).forEach(Link::end);
    }
  }

  /** Each piece takes so much longer. */
  public void delay(long millis) {
    delayMillis = millis;
  }

  /** Octets that came through so far. */
  public long bytes() {
    return bytes;
  }

  @Override
  public void close() throws IOException {
    listener.close();
    links.forEach(Link::end);
  }
}
