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
 * Raft transport between voters over TCP: one connection in each direction, with length-prefixed messages. A message that can't be sent now is
 * dropped, since Raft retries; the queue to each peer is bounded in messages and bytes. Connections of another fleet or of an unknown voter
 * are rejected. There is no authentication: use it on a private network only.
 */
final class RaftLink implements Transport, AutoCloseable {

  private static final Logger LOG = LoggerFactory.getLogger(RaftLink.class);

  private static final int HELLO_MAGIC = 0x4153_4C31; // "ASL1"
  private static final int MAX_QUEUED = 256;
  private static final int MAX_CONNECTIONS = 64;
  private static final int CONNECT_MILLIS = 500;
  private static final int HELLO_MILLIS = 2000;
  private static final int IDLE_MILLIS = 30_000;
  private static final long RECONNECT_MILLIS = 100;

  /** The connection to a peer: the queue of messages and the thread that sends them. */
  private final class PeerConnection extends Thread {
    private final String peer;
    private final InetSocketAddress address;
    private final LinkedBlockingQueue<byte[]> queue = new LinkedBlockingQueue<>(MAX_QUEUED);
    private final Semaphore freeBytes = new Semaphore(Codec.MAX_MESSAGE_BYTES);
    private volatile boolean connected;
    private volatile Socket socket;

    PeerConnection(String peer, InetSocketAddress address) {
      super("raft to " + peer);
      this.peer = peer;
      this.address = address;
      setDaemon(true);
    }

    void offer(byte[] message) {
      if (freeBytes.tryAcquire(message.length) && !queue.offer(message)) {
        freeBytes.release(message.length);
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
          out.writeInt(HELLO_MAGIC);
          out.writeUTF(fleet);
          out.writeUTF(localName);
          out.writeUTF(peer);
          connected = true;
          while (!closed) {
            byte[] next = queue.take();
            freeBytes.release(next.length);
            out.writeInt(next.length);
            out.write(next);
            if (queue.isEmpty()) {
              out.flush();
            }
          }
        } catch (IOException e) {
          connected = false;
          LOG.debug("to {}: {}", peer, e.toString());
        } catch (InterruptedException e) {
          return;
        }
        backOff();
      }
    }

    private void backOff() {
      try {
        TimeUnit.MILLISECONDS.sleep(RECONNECT_MILLIS);
        for (byte[] old = queue.poll(); old != null; old = queue.poll()) {
          freeBytes.release(old.length); // Messages from before the failure are obsolete; Raft sends newer ones.
        }
      } catch (InterruptedException e) {
        interrupt();
      }
    }
  }

  private final String fleet;
  private final String localName;
  private final Codec codec;
  private final Consumer<RaftMessage> handler;
  private final Map<String, PeerConnection> connections = new ConcurrentHashMap<>();
  private final Set<Socket> accepted = ConcurrentHashMap.newKeySet();
  private final ServerSocket listener;
  private volatile boolean closed;

  /**
   * Binds the listener.
   *
   * @param peers addresses of the other voters, by name
   * @param handler receives each message, on a reader thread
   */
  RaftLink(String fleet, String localName, InetSocketAddress listen, Map<String, InetSocketAddress> peers, Codec codec, Consumer<RaftMessage> handler)
      throws IOException {
    this.fleet = fleet;
    this.localName = localName;
    this.codec = codec;
    this.handler = handler;
    listener = new ServerSocket();
    listener.setReuseAddress(true);
    listener.bind(listen, MAX_CONNECTIONS);
    peers.forEach((name, address) -> connections.put(name, new PeerConnection(name, address)));
  }

  void start() {
    connections.values().forEach(Thread::start);
    Thread acceptor = new Thread(this::accept, "raft accept");
    acceptor.setDaemon(true);
    acceptor.start();
  }

  InetSocketAddress address() {
    return (InetSocketAddress) listener.getLocalSocketAddress();
  }

  private void accept() {
    while (!closed) {
      try {
        Socket s = listener.accept();
        if (accepted.size() >= MAX_CONNECTIONS) {
          s.close();
          continue;
        }
        accepted.add(s);
        Thread reader = new Thread(() -> read(s), "raft from " + s.getRemoteSocketAddress());
        reader.setDaemon(true);
        reader.start();
      } catch (IOException e) {
        if (!closed) {
          LOG.warn("accepting a connection of a voter failed: {}", e.toString());
        }
      }
    }
  }

  private void read(Socket s) {
    try (s) {
      s.setTcpNoDelay(true);
      s.setSoTimeout(HELLO_MILLIS);
      DataInputStream in = new DataInputStream(new BufferedInputStream(s.getInputStream()));
      if (in.readInt() != HELLO_MAGIC) {
        throw new IOException("not the connection of a voter");
      }
      String otherFleet = in.readUTF();
      String sender = in.readUTF();
      String recipient = in.readUTF();
      if (!otherFleet.equals(fleet) || !connections.containsKey(sender) || !recipient.equals(localName)) {
        throw new IOException("\"" + sender + "\" of fleet \"" + otherFleet + "\" for \"" + recipient + "\"");
      }
      s.setSoTimeout(IDLE_MILLIS);
      while (!closed) {
        int length = in.readInt();
        if (length < 1 || length > Codec.MAX_MESSAGE_BYTES) {
          throw new IOException("invalid message length " + length);
        }
        byte[] message = in.readNBytes(length);
        if (message.length < length) {
          return;
        }
        RaftMessage m = codec.read(message);
        if (!m.getSender().getId().equals(sender)) {
          throw new IOException("message of " + m.getSender().getId() + " from " + sender);
        }
        handler.accept(m);
      }
    } catch (IOException e) {
      LOG.debug("from {}: {}", s.getRemoteSocketAddress(), e.toString());
    } finally {
      accepted.remove(s);
    }
  }

  @Override
  public void send(RaftEndpoint target, RaftMessage message) {
    PeerConnection connection = connections.get((String) target.getId());
    if (connection != null) {
      try {
        connection.offer(codec.write(message));
      } catch (IOException e) {
        LOG.warn("message to {} not sent: {}", target.getId(), e.toString());
      }
    }
  }

  @Override
  public boolean isReachable(RaftEndpoint endpoint) {
    PeerConnection connection = connections.get((String) endpoint.getId());
    return connection != null && connection.connected;
  }

  @Override
  public void close() throws IOException {
    closed = true;
    listener.close();
    for (PeerConnection connection : connections.values()) {
      connection.interrupt();
      if (connection.socket != null) {
        connection.socket.close();
      }
    }
    for (Socket s : accepted) {
      s.close();
    }
  }
}
