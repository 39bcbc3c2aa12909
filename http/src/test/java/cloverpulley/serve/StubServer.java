package cloverpulley.serve;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.net.StandardSocketOptions;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/** A server on loopback whose connections follow a script byte for byte: an upstream or a discovery server. */
final class StubServer implements AutoCloseable {

  /** The behaviour of a connection, which is closed when the script returns. */
  interface Script {
    void run(Connection connection) throws IOException, InterruptedException;
  }

  final BlockingQueue<String> requests = new LinkedBlockingQueue<>();
  final BlockingQueue<Connection> connections = new LinkedBlockingQueue<>();
  private final List<Socket> open = new CopyOnWriteArrayList<>();
  private final ServerSocket listener;

  StubServer(Script script) throws IOException {
    listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    start(() -> {
      while (true) {
        Socket socket = listener.accept();
        open.add(socket);
        Connection connection = new Connection(socket);
        connections.add(connection);
        start(() -> {
          try (socket) {
            script.run(connection);
          } finally {
            connection.finished.countDown();
          }
        });
      }
    });
  }

  private interface Task {
    void run() throws IOException, InterruptedException;
  }

  private static void start(Task task) {
    Thread thread = new Thread(() -> {
      try {
        task.run();
      } catch (IOException | InterruptedException e) {
        // The connection or the server was closed, on purpose or because the test has ended.
      }
    });
    thread.setDaemon(true);
    thread.start();
  }

  /** Sends the same response to every request. */
  static StubServer answering(String answer) throws IOException {
    return new StubServer(c -> {
      while (c.next() != null) {
        c.write(answer);
      }
    });
  }

  /** Answers requests only after the latch has opened. */
  static StubServer holding(CountDownLatch open) throws IOException {
    return new StubServer(c -> {
      while (c.next() != null) {
        open.await();
        c.write(ok("x"));
      }
    });
  }

  static String ok(String body) {
    return "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
  }

  String address() {
    return "127.0.0.1:" + ((InetSocketAddress) listener.getLocalSocketAddress()).getPort();
  }

  @Override
  public void close() throws IOException {
    listener.close();
    for (Socket socket : open) {
      socket.close();
    }
  }

  /** Reads HTTP messages, for servers and clients. */
  static final class Message {

    private Message() {}

    /** A message's head and body as received; null at the end of the connection. */
    static String read(InputStream in) throws IOException {
      ByteArrayOutputStream bytes = new ByteArrayOutputStream();
      while (!bytes.toString(StandardCharsets.ISO_8859_1).endsWith("\r\n\r\n")) {
        int b = in.read();
        if (b < 0) {
          return null;
        }
        bytes.write(b);
      }
      for (String line : bytes.toString(StandardCharsets.ISO_8859_1).split("\r\n")) {
        if (line.toLowerCase(java.util.Locale.ROOT).startsWith("content-length:")) {
          bytes.write(in.readNBytes(Integer.parseInt(line.substring(15).trim())));
        }
      }
      return bytes.toString(StandardCharsets.ISO_8859_1);
    }
  }

  /** An accepted connection. */
  final class Connection {

    private final Socket socket;
    private final InputStream in;
    private final CountDownLatch finished = new CountDownLatch(1);

    Connection(Socket socket) throws IOException {
      this.socket = socket;
      in = new BufferedInputStream(socket.getInputStream());
    }

    /** Waits for a request; null once the peer has closed the connection. */
    String next() throws IOException {
      String request = Message.read(in);
      if (request != null) {
        requests.add(request);
      }
      return request;
    }

    /** Waits for the head of a request. */
    String head() throws IOException {
      StringBuilder head = new StringBuilder();
      while (!head.toString().endsWith("\r\n\r\n")) {
        int b = in.read();
        if (b < 0) {
          throw new EOFException("in a head");
        }
        head.append((char) b);
      }
      return head.toString();
    }

    InputStream in() {
      return in;
    }

    void write(String text) throws IOException {
      socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
      socket.getOutputStream().flush();
    }

    /** Resets the connection. */
    void reset() throws IOException {
      socket.setOption(StandardSocketOptions.SO_LINGER, 0);
      socket.close();
    }

    /** Waits until the script has returned: its last read found the end of the connection, or it closed it. */
    boolean awaitEnd() throws InterruptedException {
      return finished.await(Rig.LIMIT_S, TimeUnit.SECONDS);
    }

    /** Whether the script has returned. */
    boolean hasEnded() {
      return finished.getCount() == 0;
    }

    /** Waits until the peer closes the connection; false if it sends more data first, or is still connected at the timeout. */
    boolean ends() {
      try {
        socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(Rig.LIMIT_S));
        return in.read() < 0;
      } catch (SocketTimeoutException e) {
        return false;
      } catch (IOException e) {
        return true; // Closed on this side as well, or reset: ended in either case.
      }
    }
  }
}
