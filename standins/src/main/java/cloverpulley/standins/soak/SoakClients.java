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
 * Clients of the balancers on persistent connections. They record the outcome of each request. If a reused connection closes before the first
 * byte of a response, the request is sent once more on a new connection, as HTTP allows.
 */
final class SoakClients implements AutoCloseable {

  /** The outcome of a request. */
  enum End { ANSWERED, LEFT, UNANSWERED, NOT_CONNECTED }

  /**
   * A request that was sent.
   *
   * @param fresh whether it was the first on its connection
   * @param endNanos when the response arrived, the client disconnected or the connection failed
   */
  record SentRequest(String id, int node, RequestKind kind, boolean fresh, long sentNanos, long endNanos, long expiresMillis, End end, int status) {}

  /** The request classes of {@link SoakSettings}. */
  enum RequestKind { LOOKUP, ISSUE, ORDER }

  private static final long RESPONSE_GRACE_MILLIS = 700;
  private static final int MAX_PAUSE_MILLIS = 40;

  private final List<SoakNode> nodes;
  private final long maxDeadlineMillis;
  private final List<Thread> threads = new ArrayList<>();
  final Map<String, SentRequest> requests = new ConcurrentHashMap<>();
  /** Number of requests on reused connections that were sent once more. */
  final AtomicInteger resent = new AtomicInteger();
  private final AtomicLong ids = new AtomicLong();
  private volatile boolean stopped;

  SoakClients(List<SoakNode> nodes, int clients, long maxDeadlineMillis, SplittableRandom randoms) {
    this.nodes = nodes;
    this.maxDeadlineMillis = maxDeadlineMillis;
    for (int i = 0; i < clients; i++) {
      SplittableRandom random = randoms.split();
      SoakNode node = nodes.get(i % nodes.size());
      Thread thread = new Thread(() -> sendRequests(node, random), "client " + i);
      thread.setDaemon(true);
      thread.start();
      threads.add(thread);
    }
  }

  /** Returns the number of the node that a request was sent to, which its id contains; -1 if it does not. */
  static int nodeOf(String id) {
    int dash = id.indexOf('-');
    return dash < 2 ? -1 : Integer.parseInt(id.substring(1, dash));
  }

  /** Keeps the given number of idle connections open and replaces those that the balancer closes. */
  void openIdleConnections(SoakNode node, int connections) {
    Thread thread = new Thread(() -> {
      List<Socket> idle = new ArrayList<>();
      while (!stopped) {
        idle.removeIf(SoakClients::hasEnded);
        try {
          while (idle.size() < connections && !stopped) {
            Socket socket = new Socket(InetAddress.getLoopbackAddress(), node.port);
            socket.setSoTimeout(1);
            idle.add(socket);
          }
        } catch (IOException e) {
          pause(MAX_PAUSE_MILLIS); // No process is listening between two starts.
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

  private void sendRequests(SoakNode node, SplittableRandom random) {
    Socket socket = null;
    while (!stopped) {
      socket = sendRequest(node, socket, random, false);
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
      return; // The socket is discarded either way.
    }
  }

  /** Sends a request and returns the connection to reuse for the next one, or null. */
  private Socket sendRequest(SoakNode node, Socket reusable, SplittableRandom random, boolean isRetry) {
    RequestKind kind = RequestKind.values()[random.nextInt(RequestKind.values().length)];
    long expires = Math.max(50, maxDeadlineMillis * random.nextInt(2, 11) / 10);
    boolean disconnectsEarly = random.nextInt(100) < 2;
    String id = "n" + node.number + "-" + ids.incrementAndGet();
    Socket socket = reusable;
    long sent = System.nanoTime();
    boolean fresh = reusable == null;
    try {
      if (fresh) {
        socket = new Socket();
        socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), node.port), (int) maxDeadlineMillis);
        socket.setTcpNoDelay(true);
      }
      socket.setSoTimeout((int) (disconnectsEarly ? random.nextInt(1, 30) : expires + RESPONSE_GRACE_MILLIS));
      sent = System.nanoTime();
      socket.getOutputStream().write(requestText(id, kind, expires, random).getBytes(StandardCharsets.US_ASCII));
      Response response = readResponse(socket.getInputStream());
      recordOutcome(new SentRequest(id, node.number, kind, fresh, sent, System.nanoTime(), expires, End.ANSWERED, response.status));
      if (response.keepAlive) {
        return socket;
      }
      socket.close();
      return null;
    } catch (ConnectException e) {
      recordOutcome(new SentRequest(id, node.number, kind, true, sent, System.nanoTime(), expires, End.NOT_CONNECTED, 0));
    } catch (SocketTimeoutException e) {
      close(socket);
      recordOutcome(new SentRequest(id, node.number, kind, fresh, sent, System.nanoTime(), expires, disconnectsEarly ? End.LEFT : End.UNANSWERED, 0));
    } catch (IOException e) {
      boolean isResent = !fresh && e instanceof EOFException && !isRetry;
      close(socket);
      if (!isResent) {
        recordOutcome(new SentRequest(id, node.number, kind, fresh, sent, System.nanoTime(), expires, End.UNANSWERED, 0));
      } else {
        resent.incrementAndGet();
        return sendRequest(node, null, random, true);
      }
    }
    return null;
  }

  private void recordOutcome(SentRequest request) {
    requests.put(request.id, request);
  }

  private static String requestText(String id, RequestKind kind, long expires, SplittableRandom random) {
    String head = (kind == RequestKind.LOOKUP ? "GET" : "POST") + " /api HTTP/1.1\r\nHost: x\r\nX-Trace-Id: " + id + "\r\nX-Qos: "
        + kind.name().toLowerCase(Locale.ROOT) + "\r\nX-Expires-In-Ms: " + expires + "\r\nCookie: sid=k" + random.nextInt(400) + "\r\n";
    String key = kind == RequestKind.ISSUE ? "Idempotency-Key: " + id + "\r\n" : "";
    return head + key + (kind == RequestKind.LOOKUP ? "\r\n" : "Content-Length: 4\r\n\r\nbody");
  }

  private record Response(int status, boolean keepAlive) {}

  /** Reads a response. Throws {@link EOFException} if the connection ended before its first byte. */
  private static Response readResponse(InputStream input) throws IOException {
    InputStream in = new BufferedInputStream(input, 512);
    String status = line(in, true);
    int length = 0;
    boolean keepAlive = true;
    for (String header = line(in, false); !header.isEmpty(); header = line(in, false)) {
      String lower = header.toLowerCase(Locale.ROOT);
      length = lower.startsWith("content-length:") ? Integer.parseInt(lower.substring(15).trim()) : length;
      keepAlive &= !lower.equals("connection: close");
    }
    in.skipNBytes(length);
    return new Response(Integer.parseInt(status.split(" ")[1]), keepAlive);
  }

  private static String line(InputStream in, boolean first) throws IOException {
    StringBuilder line = new StringBuilder();
    for (int b = read(in, first); b != '\n'; b = read(in, false)) {
      if (b < 0) {
        throw first && line.isEmpty() ? new EOFException("connection closed") : new IOException("truncated response");
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
      throw first ? new EOFException("connection reset") : e;
    }
  }

  @Override
  public void close() throws InterruptedException {
    stopped = true;
    for (Thread t : threads) {
      t.join();
    }
  }
}
