package cloverpulley.bench;

import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Clients that send requests until closed, on keep-alive and on single-use connections, and count the outcome of each. A connection that is
 * closed before the first byte of the response counts as reset; if it was reused, the request is retried once on a new connection, as HTTP
 * allows. Any other request without a complete response counts as lost.
 */
final class RequestLoad implements AutoCloseable {

  private static final int KEEP_ALIVE_CLIENTS = 12;
  private static final int SINGLE_USE_CLIENTS = 4;
  private static final long PAUSE_MILLIS = 20;
  private static final int TIMEOUT_MILLIS = 10_000;

  private final int port;
  private final AtomicLong answered = new AtomicLong();
  private final AtomicLong lost = new AtomicLong();
  private final AtomicLong reset = new AtomicLong();
  private final List<Thread> threads = new ArrayList<>();
  private volatile boolean stopped;

  RequestLoad(int port) {
    this.port = port;
    for (int i = 0; i < KEEP_ALIVE_CLIENTS + SINGLE_USE_CLIENTS; i++) {
      int client = i;
      Thread t = new Thread(() -> runClient(client, client < KEEP_ALIVE_CLIENTS), "client " + i);
      t.setDaemon(true);
      t.start();
      threads.add(t);
    }
  }

  long answered() {
    return answered.get();
  }

  long lost() {
    return lost.get();
  }

  long reset() {
    return reset.get();
  }

  private void runClient(int client, boolean keepAlive) {
    Socket socket = null;
    for (long n = 0; !stopped; n++) {
      String text = "GET /api HTTP/1.1\r\nHost: x\r\nX-Trace-Id: c" + client + "-" + n + "\r\nX-Qos: lookup\r\nX-Expires-In-Ms: 2000\r\n"
          + "Cookie: sid=k" + (client * 31 + n) % 500 + "\r\n\r\n";
      boolean reused = socket != null;
      try {
        socket = sendRequest(socket, text, keepAlive);
        answered.incrementAndGet();
      } catch (EOFException e) {
        reset.incrementAndGet();
        socket = reused ? retry(text, keepAlive) : null;
      } catch (IOException e) {
        lost.incrementAndGet();
        socket = null;
      }
      try {
        TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  private Socket retry(String text, boolean keepAlive) {
    try {
      Socket socket = sendRequest(null, text, keepAlive);
      answered.incrementAndGet();
      return socket;
    } catch (IOException e) {
      lost.incrementAndGet();
      return null;
    }
  }

  /** Sends a request and returns the connection for the next one; null if it was closed. */
  private Socket sendRequest(Socket connection, String text, boolean keepAlive) throws IOException {
    Socket socket = connection == null ? new Socket(InetAddress.getLoopbackAddress(), port) : connection;
    try {
      socket.setSoTimeout(TIMEOUT_MILLIS);
      socket.setTcpNoDelay(true);
      try {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
      } catch (IOException e) {
        throw new EOFException();
      }
      boolean keptOpen = readResponse(new BufferedInputStream(socket.getInputStream())) && keepAlive;
      if (!keptOpen) {
        socket.close();
      }
      return keptOpen ? socket : null;
    } catch (IOException e) {
      socket.close();
      throw e;
    }
  }

  /** Reads a response and returns whether the connection stays open. */
  private static boolean readResponse(InputStream in) throws IOException {
    String status = readLine(in);
    int length = 0;
    boolean keptOpen = true;
    for (String header = readLine(in); !header.isEmpty(); header = readLine(in)) {
      String lower = header.toLowerCase(Locale.ROOT);
      length = lower.startsWith("content-length:") ? Integer.parseInt(lower.substring(15).trim()) : length;
      keptOpen &= !lower.equals("connection: close");
    }
    in.skipNBytes(length);
    if (!status.startsWith("HTTP/1.1 200") && !status.startsWith("HTTP/1.1 429")) {
      throw new IOException(status);
    }
    return keptOpen;
  }

  private static String readLine(InputStream in) throws IOException {
    StringBuilder s = new StringBuilder();
    int b;
    try {
      b = in.read();
    } catch (SocketException e) {
      throw new EOFException();
    }
    for (; b != '\n'; b = in.read()) {
      if (b < 0) {
        throw s.isEmpty() ? new EOFException() : new IOException("response truncated");
      } else if (b != '\r') {
        s.append((char) b);
      }
    }
    return s.toString();
  }

  @Override
  public void close() throws InterruptedException {
    stopped = true;
    for (Thread t : threads) {
      t.join();
    }
  }

  @Override
  public String toString() {
    return "answered " + answered + ", lost " + lost + ", reset " + reset;
  }
}
