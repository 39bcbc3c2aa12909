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
 * Clients that ask without end, on kept connections and on ever new ones, and count what becomes of each request. A kept connection that
 * ends before the first octet of an answer is asked anew once, as HTTP has it, and counted as reset; anything else without a whole answer is lost.
 */
final class RequestLoad implements AutoCloseable {

  private static final int KEEPING = 12;
  private static final int FRESH = 4;
  private static final long PAUSE_MILLIS = 20;
  private static final int WAIT_MILLIS = 10_000;

  private final int port;
  private final AtomicLong answered = new AtomicLong();
  private final AtomicLong lost = new AtomicLong();
  private final AtomicLong reset = new AtomicLong();
  private final List<Thread> threads = new ArrayList<>();
  private volatile boolean over;

  RequestLoad(int port) {
    this.port = port;
    for (int i = 0; i < KEEPING + FRESH; i++) {
      int client = i;
      Thread t = new Thread(() -> ask(client, client < KEEPING), "client " + i);
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

  private void ask(int client, boolean keeps) {
    Socket socket = null;
    for (long n = 0; !over; n++) {
      String text = "GET /api HTTP/1.1\r\nHost: x\r\nX-Trace-Id: c" + client + "-" + n + "\r\nX-Qos: lookup\r\nX-Expires-In-Ms: 2000\r\n"
          + "Cookie: sid=k" + (client * 31 + n) % 500 + "\r\n\r\n";
      boolean kept = socket != null;
      try {
        socket = once(socket, text, keeps);
        answered.incrementAndGet();
      } catch (EOFException e) {
        reset.incrementAndGet();
        socket = kept ? again(text, keeps) : null;
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

  private Socket again(String text, boolean keeps) {
    try {
      Socket socket = once(null, text, keeps);
      answered.incrementAndGet();
      return socket;
    } catch (IOException e) {
      lost.incrementAndGet();
      return null;
    }
  }

  /** The connection to ask on next; null where it ends. */
  private Socket once(Socket on, String text, boolean keeps) throws IOException {
    Socket socket = on == null ? new Socket(InetAddress.getLoopbackAddress(), port) : on;
    try {
      socket.setSoTimeout(WAIT_MILLIS);
      socket.setTcpNoDelay(true);
      try {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
      } catch (IOException e) {
        throw new EOFException();
      }
      boolean stays = answer(new BufferedInputStream(socket.getInputStream())) && keeps;
      if (!stays) {
        socket.close();
      }
      return stays ? socket : null;
    } catch (IOException e) {
      socket.close();
      throw e;
    }
  }

  /** Reads one; whether the connection stays. */
  private static boolean answer(InputStream in) throws IOException {
    String status = line(in);
    int length = 0;
    boolean stays = true;
    for (String header = line(in); !header.isEmpty(); header = line(in)) {
      String lower = header.toLowerCase(Locale.ROOT);
      length = lower.startsWith("content-length:") ? Integer.parseInt(lower.substring(15).trim()) : length;
      stays &= !lower.equals("connection: close");
    }
    in.skipNBytes(length);
    if (!status.startsWith("HTTP/1.1 200") && !status.startsWith("HTTP/1.1 429")) {
      throw new IOException(status);
    }
    return stays;
  }

  private static String line(InputStream in) throws IOException {
    StringBuilder s = new StringBuilder();
    int b;
    try {
      b = in.read();
    } catch (SocketException e) {
      throw new EOFException();
    }
    for (; b != '\n'; b = in.read()) {
      if (b < 0) {
        throw s.isEmpty() ? new EOFException() : new IOException("cut off");
      } else if (b != '\r') {
        s.append((char) b);
      }
    }
    return s.toString();
  }

  @Override
  public void close() throws InterruptedException {
    over = true;
    for (Thread t : threads) {
      t.join();
    }
  }

  @Override
  public String toString() {
    return "answered " + answered + ", lost " + lost + ", reset " + reset;
  }
}
