package cloverpulley.serve;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
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

/** A server on loopback whose every connection follows a script, byte for byte: an upstream or discovery. */
final class StubServer implements AutoCloseable {

  /** What a connection does; it is closed when the script returns. */
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
            connection.over.countDown();
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
        // The connection or the server was closed: the test is over or did so on purpose.
      }
    });
    thread.setDaemon(true);
    thread.start();
  }

  /** Answers every request alike. */
  static StubServer answering(String answer) throws IOException {
    return new StubServer(c -> {
      while (c.next() != null) {
        c.write(answer);
      }
    });
  }

  /** Answers no request before the latch is open. */
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

  /** Reads HTTP messages, a client's as well. */
  static final class Message {

    private Message() {}

    /** A message's head and body as they came; null at the end of the connection. */
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

  /** A connection that was accepted. */
  final class Connection {

    private final Socket socket;
    private final InputStream in;
    private final CountDownLatch over = new CountDownLatch(1);

    Connection(Socket socket) throws IOException {
      this.socket = socket;
      in = new BufferedInputStream(socket.getInputStream());
    }

    /** Waits for a request; null once the other side has closed. */
    String next() throws IOException {
      String request = Message.read(in);
      if (request != null) {
        requests.add(request);
      }
      return request;
    }

    /** Waits for a request's head alone. */
    String head() throws IOException {
      StringBuilder head = new StringBuilder();
      while (!head.toString().endsWith("\r\n\r\n")) {
        head.append((char) in.read());
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

    /** Ends the connection by a reset. */
    void reset() throws IOException {
      socket.setOption(StandardSocketOptions.SO_LINGER, 0);
      socket.close();
    }

    /** Waits until the script is through: its last read found the end, or it closed. */
    boolean awaitEnd() throws InterruptedException {
      return over.await(Rig.LIMIT_S, TimeUnit.SECONDS);
    }

    /** Waits until the other side closes; false if it says more first, or is still there at the limit. */
    boolean ends() {
      try {
        socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(Rig.LIMIT_S));
        return in.read() < 0;
      } catch (SocketTimeoutException e) {
        return false;
      } catch (IOException e) {
        return true; // Closed here too, or reset: over either way.
      }
    }
  }
}
