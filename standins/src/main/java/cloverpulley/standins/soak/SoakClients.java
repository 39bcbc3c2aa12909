package cloverpulley.standins.soak;

import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Clients of the balancers, on connections that they keep for as long as these stay open. Each keeps what became of each of its requests; a request on a
 * kept connection that ends before the first byte of an answer is sent once more on a new one, as HTTP allows.
 */
final class SoakClients implements AutoCloseable {

  /** What became of a request. */
  enum End { ANSWERED, LEFT, UNANSWERED, NOT_CONNECTED }

  /**
   * A request.
   *
   * @param fresh whether it was the first on its connection
   * @param endNanos when it was answered, left or its connection broke
   */
  record SentRequest(String id, int node, RequestKind kind, boolean fresh, long sentNanos, long endNanos, long expiresMillis, End end, int status) {}

  /** Classes of request, as the settings name them. */
  enum RequestKind { LOOKUP, ISSUE, ORDER }

  private static final long GRACE_MILLIS = 700;
  private static final int MAX_PAUSE_MILLIS = 40;

  private final List<SoakNode> nodes;
  private final long longestMillis;
  private final List<Thread> threads = new ArrayList<>();
  final Map<String, SentRequest> asked = new ConcurrentHashMap<>();
  /** Requests on kept connections that were sent once more. */
  final AtomicInteger resent = new AtomicInteger();
  private final AtomicLong ids = new AtomicLong();
  private volatile boolean over;

  SoakClients(List<SoakNode> nodes, int clients, long longestMillis, SplittableRandom seeds) {
    this.nodes = nodes;
    this.longestMillis = longestMillis;
    for (int i = 0; i < clients; i++) {
      SplittableRandom random = seeds.split();
      SoakNode node = nodes.get(i % nodes.size());
      Thread thread = new Thread(() -> ask(node, random), "client " + i);
      thread.setDaemon(true);
      thread.start();
      threads.add(thread);
    }
  }

  /** The node to which a request's id says that it was sent. */
  static int nodeOf(String id) {
    int dash = id.indexOf('-');
    return dash < 2 ? -1 : Integer.parseInt(id.substring(1, dash));
  }

  /** Keeps so many connections open that say nothing, each anew once the balancer has ended it. */
  void crowd(SoakNode node, int connections) {
    Thread thread = new Thread(() -> {
      List<Socket> idle = new ArrayList<>();
      while (!over) {
        idle.removeIf(SoakClients::hasEnded);
        try {
          while (idle.size() < connections && !over) {
            Socket socket = new Socket(InetAddress.getLoopbackAddress(), node.port);
            socket.setSoTimeout(1);
            idle.add(socket);
          }
        } catch (IOException e) {
          pause(MAX_PAUSE_MILLIS); // Between two processes.
        }
      }
      idle.forEach(SoakClients::close);
    }, "crowd");
    thread.setDaemon(true);
    thread.start();
    threads.add(thread);
  }

  private static boolean hasEnded(Socket socket) {
    try {
      return socket.getInputStream().read() < 0 && closed(socket);
    } catch (SocketTimeoutException e) {
      return false;
    } catch (IOException e) {
      return closed(socket);
    }
  }

  private static boolean closed(Socket socket) {
    close(socket);
    return true;
  }

  private void ask(SoakNode node, SplittableRandom random) {
    Socket socket = null;
    while (!over) {
      socket = once(node, socket, random, false);
      pause(random.nextInt(1, MAX_PAUSE_MILLIS));
    }
    close(socket);
  }

  private static void pause(long millis) {
    try {
      TimeUnit.MILLISECONDS.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static void close(Socket socket) {
    try {
      if (socket != null) {
        socket.close();
      }
    } catch (IOException e) {
      return; // It is of no use any more either way.
    }
  }

  /** One request; the connection to ask on next, or null. */
  private Socket once(SoakNode node, Socket kept, SplittableRandom random, boolean again) {
    RequestKind kind = RequestKind.values()[random.nextInt(RequestKind.values().length)];
    long expires = Math.max(50, longestMillis * random.nextInt(2, 11) / 10);
    boolean leaves = random.nextInt(100) < 2;
    String id = "n" + node.number + "-" + ids.incrementAndGet();
    Socket socket = kept;
    long sent = System.nanoTime();
    boolean fresh = kept == null;
    try {
      if (fresh) {
        socket = new Socket();
        socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), node.port), (int) longestMillis);
        socket.setTcpNoDelay(true);
      }
      socket.setSoTimeout((int) (leaves ? random.nextInt(1, 30) : expires + GRACE_MILLIS));
      sent = System.nanoTime();
      socket.getOutputStream().write(text(id, kind, expires, random).getBytes(StandardCharsets.US_ASCII));
      Answer answer = answer(socket.getInputStream());
      keep(new SentRequest(id, node.number, kind, fresh, sent, System.nanoTime(), expires, End.ANSWERED, answer.status));
      if (answer.stays) {
        return socket;
      }
      socket.close();
      return null;
    } catch (ConnectException e) {
      keep(new SentRequest(id, node.number, kind, true, sent, System.nanoTime(), expires, End.NOT_CONNECTED, 0));
    } catch (SocketTimeoutException e) {
      close(socket);
      keep(new SentRequest(id, node.number, kind, fresh, sent, System.nanoTime(), expires, leaves ? End.LEFT : End.UNANSWERED, 0));
    } catch (IOException e) {
      boolean resend = !fresh && e instanceof EOFException && !again;
      close(socket);
      if (!resend) {
        keep(new SentRequest(id, node.number, kind, fresh, sent, System.nanoTime(), expires, End.UNANSWERED, 0));
      } else {
        resent.incrementAndGet();
        return once(node, null, random, true);
      }
    }
    return null;
  }

  private void keep(SentRequest request) {
    asked.put(request.id, request);
  }

  private static String text(String id, RequestKind kind, long expires, SplittableRandom random) {
    String head = (kind == RequestKind.LOOKUP ? "GET" : "POST") + " /api HTTP/1.1\r\nHost: x\r\nX-Trace-Id: " + id + "\r\nX-Qos: "
        + kind.name().toLowerCase(Locale.ROOT) + "\r\nX-Expires-In-Ms: " + expires + "\r\nCookie: sid=k" + random.nextInt(400) + "\r\n";
    String key = kind == RequestKind.ISSUE ? "Idempotency-Key: " + id + "\r\n" : "";
    return head + key + (kind == RequestKind.LOOKUP ? "\r\n" : "Content-Length: 4\r\n\r\nbody");
  }

  private record Answer(int status, boolean stays) {}

  /** Reads one. {@link EOFException} where the connection ended before its first byte. */
  private static Answer answer(InputStream from) throws IOException {
    InputStream in = new BufferedInputStream(from, 512);
    String status = line(in, true);
    int length = 0;
    boolean stays = true;
    for (String header = line(in, false); !header.isEmpty(); header = line(in, false)) {
      String lower = header.toLowerCase(Locale.ROOT);
      length = lower.startsWith("content-length:") ? Integer.parseInt(lower.substring(15).trim()) : length;
      stays &= !lower.equals("connection: close");
    }
    in.skipNBytes(length);
    return new Answer(Integer.parseInt(status.split(" ")[1]), stays);
  }

  private static String line(InputStream in, boolean first) throws IOException {
    StringBuilder line = new StringBuilder();
    for (int b = read(in, first); b != '\n'; b = read(in, false)) {
      if (b < 0) {
        throw first && line.isEmpty() ? new EOFException("ended") : new IOException("cut off");
      } else if (b != '\r') {
        line.append((char) b);
      }
    }
    return line.toString();
  }

  private static int read(InputStream in, boolean first) throws IOException {
    try {
      return in.read();
    } catch (SocketTimeoutException e) {
      throw e;
    } catch (IOException e) {
      throw first ? new EOFException("reset") : e;
    }
  }

  @Override
  public void close() throws InterruptedException {
    over = true;
    for (Thread t : threads) {
      t.join();
    }
  }
}
