package cloverpulley.agree;

import io.microraft.RaftEndpoint;
import io.microraft.model.message.RaftMessage;
import io.microraft.transport.Transport;
import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Raft's messages between voters over TCP: one connection each way, frames with their length. What can't be sent now is dropped, for Raft
 * sends again what matters; what waits for a peer is bounded in count and octets. Who speaks for another fleet, or is no voter, is
 * turned away. Unsigned: it belongs on a network of one's own.
 */
final class RaftLink implements Transport, AutoCloseable {

  private static final Logger LOG = LoggerFactory.getLogger(RaftLink.class);

  private static final int HELLO = 0x4153_4C31; // "ASL1"
  private static final int MOST_WAITING = 256;
  private static final int MOST_CONNECTIONS = 64;
  private static final int CONNECT_MILLIS = 500;
  private static final int HELLO_MILLIS = 2000;
  private static final int IDLE_MILLIS = 30_000;
  private static final long AGAIN_MILLIS = 100;

  /** What waits for one peer, and the thread that sends it. */
  private final class Line extends Thread {
    private final String to;
    private final InetSocketAddress address;
    private final LinkedBlockingQueue<byte[]> waiting = new LinkedBlockingQueue<>(MOST_WAITING);
    private final Semaphore octets = new Semaphore(Codec.MOST_BYTES);
    private volatile boolean connected;
    private volatile Socket socket;

    Line(String to, InetSocketAddress address) {
      super("raft to " + to);
      this.to = to;
      this.address = address;
      setDaemon(true);
    }

    void offer(byte[] message) {
      if (octets.tryAcquire(message.length) && !waiting.offer(message)) {
        octets.release(message.length);
      }
    }

    @Override
    public void run() {
      while (!closed) {
        try (Socket s = new Socket()) {
          socket = s;
          s.setTcpNoDelay(true);
          s.connect(address, CONNECT_MILLIS);
          DataOutputStream out = new DataOutputStream(new BufferedOutputStream(s.getOutputStream()));
          out.writeInt(HELLO);
          out.writeUTF(fleet);
          out.writeUTF(me);
          out.writeUTF(to);
          connected = true;
          while (!closed) {
            byte[] next = waiting.take();
            octets.release(next.length);
            out.writeInt(next.length);
            out.write(next);
            if (waiting.isEmpty()) {
              out.flush();
            }
          }
        } catch (IOException e) {
          connected = false;
          LOG.debug("to {}: {}", to, e.toString());
        } catch (InterruptedException e) {
          return;
        }
        rest();
      }
    }

    private void rest() {
      try {
        TimeUnit.MILLISECONDS.sleep(AGAIN_MILLIS);
        for (byte[] old = waiting.poll(); old != null; old = waiting.poll()) {
          octets.release(old.length); // Words of before the break: Raft has newer ones.
        }
      } catch (InterruptedException e) {
        interrupt();
      }
    }
  }

  private final String fleet;
  private final String me;
  private final Codec codec;
  private final Consumer<RaftMessage> to;
  private final Map<String, Line> lines = new ConcurrentHashMap<>();
  private final Set<Socket> accepted = ConcurrentHashMap.newKeySet();
  private final ServerSocket listener;
  private volatile boolean closed;

  /**
   * Listens, and begins to connect.
   *
   * @param peers where the other voters are, by name
   * @param to told of each message, on threads of this one's
   */
  RaftLink(String fleet, String me, InetSocketAddress listen, Map<String, InetSocketAddress> peers, Codec codec, Consumer<RaftMessage> to)
      throws IOException {
    this.fleet = fleet;
    this.me = me;
    this.codec = codec;
    this.to = to;
    listener = new ServerSocket();
    listener.setReuseAddress(true);
    listener.bind(listen, MOST_CONNECTIONS);
    peers.forEach((name, address) -> lines.put(name, new Line(name, address)));
  }

  void start() {
    lines.values().forEach(Thread::start);
    Thread accepts = new Thread(this::accept, "raft accept");
    accepts.setDaemon(true);
    accepts.start();
  }

  InetSocketAddress address() {
    return (InetSocketAddress) listener.getLocalSocketAddress();
  }

  private void accept() {
    while (!closed) {
      try {
        Socket s = listener.accept();
        if (accepted.size() >= MOST_CONNECTIONS) {
          s.close();
          continue;
        }
        accepted.add(s);
        Thread reads = new Thread(() -> read(s), "raft from " + s.getRemoteSocketAddress());
        reads.setDaemon(true);
        reads.start();
      } catch (IOException e) {
        if (!closed) {
          LOG.warn("the voters' port: {}", e.toString());
        }
      }
    }
  }

  private void read(Socket s) {
    try (s) {
      s.setTcpNoDelay(true);
      s.setSoTimeout(HELLO_MILLIS);
      DataInputStream in = new DataInputStream(new BufferedInputStream(s.getInputStream()));
      if (in.readInt() != HELLO) {
        throw new IOException("no voter's connection");
      }
      String theirs = in.readUTF();
      String from = in.readUTF();
      String meant = in.readUTF();
      if (!theirs.equals(fleet) || !lines.containsKey(from) || !meant.equals(me)) {
        throw new IOException("\"" + from + "\" of fleet \"" + theirs + "\" for \"" + meant + "\"");
      }
      s.setSoTimeout(IDLE_MILLIS);
      while (!closed) {
        int length = in.readInt();
        if (length < 1 || length > Codec.MOST_BYTES) {
          throw new IOException("a message of " + length);
        }
        byte[] message = in.readNBytes(length);
        if (message.length < length) {
          return;
        }
        RaftMessage m = codec.read(message);
        if (!m.getSender().getId().equals(from)) {
          throw new IOException("a message of " + m.getSender().getId() + " from " + from);
        }
        to.accept(m);
      }
    } catch (IOException e) {
      LOG.debug("from {}: {}", s.getRemoteSocketAddress(), e.toString());
    } finally {
      accepted.remove(s);
    }
  }

  @Override
  public void send(RaftEndpoint target, RaftMessage message) {
    Line line = lines.get((String) target.getId());
    if (line != null) {
      try {
        line.offer(codec.write(message));
      } catch (IOException e) {
        LOG.warn("not sent to {}: {}", target.getId(), e.toString());
      }
    }
  }

  @Override
  public boolean isReachable(RaftEndpoint endpoint) {
    Line line = lines.get((String) endpoint.getId());
    return line != null && line.connected;
  }

  @Override
  public void close() throws IOException {
    closed = true;
    listener.close();
    for (Line line : lines.values()) {
      line.interrupt();
      if (line.socket != null) {
        line.socket.close();
      }
    }
    for (Socket s : accepted) {
      s.close();
    }
  }
}
