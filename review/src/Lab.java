import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.StringJoiner;
import java.util.concurrent.TimeUnit;

/**
 * The parts that the cases share: the balancer as a process of its own, a discovery service, servers and the record. All addresses are
 * loopback addresses. Takes from the environment: REVIEW_ROOT, REVIEW_RUN (the run command of the deploy file), REVIEW_RECORD, REVIEW_TEMP
 * and TROUBLE.
 */
final class Lab implements AutoCloseable {

  /** The exit statuses; Java itself ends with 1 where it cannot start, so a broken rule has another. */
  private static final int HELD = 0;
  private static final int BROKEN = 10;
  private static final int COULD_NOT_RUN = 2;
  private static final long LONGEST_RUN_MILLIS = 110_000;
  /** After this a server closes an idle connection, as the settings say. */
  private static final int IDLE_MILLIS = 5000;
  private static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();

  /** A case: returns whether the rule held. */
  interface Case {
    boolean holds(Lab lab) throws Exception;
  }

  interface Body {
    void run() throws Exception;
  }

  /** Answers one request, and may close the connection. */
  interface Service {
    void serve(Request request, OutputStream out) throws Exception;
  }

  /** A request as a server got it; {@code begunAt} is when its first byte came. */
  record Request(Server server, String id, double begunAt, int bodyBytes) {}

  final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
  private final long start = System.nanoTime();
  private final Path temp = Path.of(System.getenv("REVIEW_TEMP"));
  private final PrintWriter record;
  private final List<Closeable> open = Collections.synchronizedList(new ArrayList<>());
  private final Discovery discovery;
  private volatile Process balancer;
  private int listen;

  private Lab() throws IOException {
    record = new PrintWriter(Files.newBufferedWriter(Path.of(System.getenv("REVIEW_RECORD"))));
    discovery = new Discovery();
  }

  /** Runs a case and ends this process with its result. */
  static void run(Case c) throws IOException {
    Lab lab = new Lab();
    Runtime.getRuntime().addShutdownHook(new Thread(lab::close));
    lab.thread("limit", () -> {
      Thread.sleep(LONGEST_RUN_MILLIS);
      lab.tell("the case could not run: it took too long");
      lab.close();
      Runtime.getRuntime().halt(COULD_NOT_RUN);
    });
    int status = COULD_NOT_RUN;
    try {
      lab.say("TROUBLE=" + (lab.trouble ? 1 : 0));
      boolean holds = c.holds(lab);
      if (holds && lab.balancerEnded()) {
        throw new IOException("the balancer has ended");
      }
      lab.recordLog();
      lab.tell(holds ? "the rule held" : "the rule was broken");
      status = holds ? HELD : BROKEN;
    } catch (Exception e) {
      lab.recordLog();
      lab.tell("the case could not run: " + e);
    }
    lab.close();
    Runtime.getRuntime().halt(status);
  }

  // ---- Record --------------------------------------------------------------------------------------------

  /** Seconds since the start. */
  double now() {
    return (System.nanoTime() - start) / 1e9;
  }

  /** Writes a line to the record. */
  void say(String text) {
    synchronized (record) {
      record.println(String.format(Locale.ROOT, "%8.3f %s", now(), text));
    }
  }

  /** Writes a line to the record and prints it. */
  void tell(String text) {
    say(text);
    System.out.println(text);
  }

  private void recordLog() {
    try {
      for (String line : Files.readAllLines(temp.resolve("balancer.log"))) {
        say("balancer's log: " + line);
      }
    } catch (IOException e) {
      say("no log of the balancer: " + e);
    }
  }

  Thread thread(String name, Body body) {
    Thread thread = new Thread(null, () -> {
      try {
        body.run();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      } catch (Exception e) {
        say(name + ": " + e);
      }
    }, name, 256 * 1024);
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  // ---- The balancer --------------------------------------------------------------------------------------

  private static int freePort() throws IOException {
    try (ServerSocket s = new ServerSocket(0, 1, LOOPBACK)) {
      return s.getLocalPort();
    }
  }

  /** Starts the balancer with these classes and servers and waits until it is ready. */
  void startBalancer(String categories, String members) throws Exception {
    listen = freePort();
    discovery.members = members;
    Path config = temp.resolve("config.json");
    Files.writeString(config, """
        {"name":"n0","listen":"127.0.0.1:%d","discovery":"127.0.0.1:%d","management":"127.0.0.1:%d","seed":"8c1f30d27a5be964",
         "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
         "known":{"revision":1,"complete":true,"members":[%s]},
         "settings":{"me":0,"group-size":1,"zone":"a","registry-mode":"on_request","weight-kind":"rough","resolution-ns":2000000,
          "categories":[%s],
          "projects":[{"name":"acme","portion":1.0,"quota-per-s":100000.0}],
          "contract":{"answer-slack-ns":8000000,"ask-within-ns":10000000000,"drain-grace-ns":2000000000,"cold-from":0.32,
           "warm-within-ns":8500000000,"fall-multiple":3.0,"overload-for-ns":3000000000},
          "limits":{"cancel":true,"probing":true,"peers":false,"second-copies":true,"retry-after":true,"max-retry-after-ns":2000000000,
           "max-attempts":6,"connect-timeout-ns":200000000,"conn-idle-ns":%d000000}}}
        """.formatted(listen, discovery.server.getLocalPort(), freePort(), members, categories, IDLE_MILLIS));
    ProcessBuilder command = new ProcessBuilder("/bin/sh", "-c", System.getenv("REVIEW_RUN"))
        .directory(Path.of(System.getenv("REVIEW_ROOT")).toFile()).redirectErrorStream(true)
        .redirectOutput(temp.resolve("balancer.log").toFile());
    command.environment().put("ROUTER_NAME", "n0");
    command.environment().put("ROUTER_LISTEN", "127.0.0.1:" + listen);
    command.environment().put("ROUTER_DISCOVERY", "127.0.0.1:" + discovery.server.getLocalPort());
    command.environment().put("ROUTER_CONFIG", config.toString());
    command.environment().put("TMPDIR", Files.createDirectories(temp.resolve("tmp")).toString());
    balancer = command.start();
    for (int i = 0; i < 300; i++) {
      if (!balancer.isAlive()) {
        throw new IOException("the balancer ended with status " + balancer.exitValue());
      }
      try (Socket s = connect()) {
        s.getOutputStream().write("GET /healthz HTTP/1.1\r\nHost: b\r\nConnection: close\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
        if (status(readHead(s.getInputStream())) == 200) {
          say("the balancer is ready, process " + balancer.pid());
          return;
        }
      } catch (IOException e) {
        // Not yet.
      }
      Thread.sleep(100);
    }
    throw new IOException("the balancer was not ready within 30 s");
  }

  /** Whether the balancer's process has ended by itself. */
  boolean balancerEnded() {
    if (!balancer.isAlive()) {
      say("the balancer's process has ended with status " + balancer.exitValue());
    }
    return !balancer.isAlive();
  }

  /** A client's connection to the balancer. */
  Socket connect() throws IOException {
    return connect(0);
  }

  /** As above, with a receive buffer of so many bytes; 0 for the usual one. */
  Socket connect(int receiveBuffer) throws IOException {
    Socket s = new Socket();
    if (receiveBuffer > 0) {
      s.setReceiveBufferSize(receiveBuffer);
    }
    s.setTcpNoDelay(true);
    s.setSoTimeout(60_000);
    s.connect(new InetSocketAddress(LOOPBACK, listen), 2000);
    return s;
  }

  // ---- HTTP ----------------------------------------------------------------------------------------------

  /** The head of a client's request. */
  static byte[] requestHead(String method, String id, String requestClass, int expiresMillis, int bodyBytes) {
    return (method + " /api HTTP/1.1\r\nHost: backend.local\r\nX-Trace-Id: " + id + "\r\nX-Qos: " + requestClass + "\r\nX-Customer: acme\r\n"
        + "X-Expires-In-Ms: " + expiresMillis + "\r\n" + (method.equals("GET") ? "" : "Content-Length: " + bodyBytes + "\r\n") + "\r\n")
        .getBytes(StandardCharsets.US_ASCII);
  }

  /** Reads a message's body; returns its length, or -1 if the connection ends before its end. */
  static int readBody(InputStream in, String head) throws IOException {
    String length = header(head, "Content-Length");
    if (length != null) {
      int expected = Integer.parseInt(length);
      return in.readNBytes(expected).length < expected ? -1 : expected;
    }
    if (!"chunked".equalsIgnoreCase(header(head, "Transfer-Encoding"))) {
      return 0;
    }
    for (int total = 0; ; ) {
      StringBuilder line = new StringBuilder();
      for (int c = in.read(); c != '\n'; c = in.read()) {
        if (c < 0) {
          return -1;
        }
        line.append((char) c);
      }
      int size = Integer.parseInt(line.toString().trim(), 16);
      if (in.readNBytes(size + 2).length < size + 2) {
        return -1;
      }
      if (size == 0) {
        return total;
      }
      total += size;
    }
  }

  /** Reads a head; empty if the connection ends before its end. */
  static String readHead(InputStream in) throws IOException {
    StringBuilder head = new StringBuilder();
    for (int c = in.read(); c >= 0; c = in.read()) {
      head.append((char) c);
      if (c == '\n' && head.toString().endsWith("\r\n\r\n")) {
        return head.toString();
      }
    }
    return "";
  }

  /** The status of an answer; 0 for no answer. */
  static int status(String head) {
    return head.isEmpty() ? 0 : Integer.parseInt(head.substring(9, 12));
  }

  static String header(String head, String name) {
    for (String line : head.split("\r\n")) {
      if (line.toLowerCase(Locale.ROOT).startsWith(name.toLowerCase(Locale.ROOT) + ":")) {
        return line.substring(name.length() + 1).trim();
      }
    }
    return null;
  }

  // ---- Servers -------------------------------------------------------------------------------------------

  /** A server of the fleet. */
  final class Server {
    final String id;
    private final ServerSocket socket;

    /** Starts a server that listens and serves. */
    Server(String id, Service service) throws IOException {
      this.id = id;
      socket = new ServerSocket(0, 512, LOOPBACK);
      open.add(socket);
      thread(id, () -> {
        while (true) {
          Socket accepted = socket.accept();
          open.add(accepted);
          thread(id, () -> {
            try (accepted) {
              serve(accepted, service);
            } catch (IOException e) {
              // The balancer closed the connection, or it was idle for too long.
            } finally {
              open.remove(accepted);
            }
          });
        }
      });
    }

    /** A server that is cut off: connections to it never come up, since others fill its queue and nobody accepts them. */
    Server(String id) throws IOException {
      this.id = id;
      socket = new ServerSocket(0, 1, LOOPBACK);
      open.add(socket);
      for (int i = 0; i < 8; i++) {
        Socket filler = new Socket();
        try {
          filler.connect(socket.getLocalSocketAddress(), 300);
          open.add(filler);
        } catch (IOException e) {
          filler.close();
          say(id + " is cut off: connections to it do not come up any more");
          return;
        }
      }
      throw new IOException(id + " could not be cut off");
    }

    private void serve(Socket accepted, Service service) throws Exception {
      accepted.setTcpNoDelay(true);
      InputStream in = new BufferedInputStream(accepted.getInputStream());
      while (!accepted.isClosed()) {
        accepted.setSoTimeout(IDLE_MILLIS);
        in.mark(1);
        if (in.read() < 0) {
          return;
        }
        in.reset();
        double begunAt = now();
        accepted.setSoTimeout(60_000);
        String head = readHead(in);
        int bodyBytes = head.isEmpty() ? -1 : readBody(in, head);
        if (bodyBytes < 0) {
          return; // It broke off before its last byte, so it is not begun.
        }
        if (head.startsWith("GET /healthz ")) {
          accepted.getOutputStream().write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
        } else {
          service.serve(new Request(this, header(head, "X-Trace-Id"), begunAt, bodyBytes), accepted.getOutputStream());
        }
      }
    }

    String entry() {
      return "{\"id\":\"%s\",\"host_port\":\"127.0.0.1:%d\",\"locality\":\"a\",\"flavor\":\"m\",\"cell\":0,\"phase\":\"ready\",\"size\":1.0,\"up_since_ms\":0}"
          .formatted(id, socket.getLocalPort());
    }
  }

  static String entries(List<Server> servers) {
    StringJoiner entries = new StringJoiner(",");
    servers.forEach(s -> entries.add(s.entry()));
    return entries.toString();
  }

  // ---- Discovery -----------------------------------------------------------------------------------------

  /** The discovery service: answers a call with the whole list; a watch then gets an empty line every 2 s, as nothing changes. */
  private final class Discovery {
    private final ServerSocket server = new ServerSocket(0, 64, LOOPBACK);
    private volatile String members = "";

    Discovery() throws IOException {
      open.add(server);
      thread("discovery", () -> {
        while (true) {
          Socket accepted = server.accept();
          open.add(accepted);
          thread("discovery", () -> {
            try (accepted) {
              answer(accepted);
            } catch (IOException e) {
              // The balancer closed the connection.
            }
          });
        }
      });
    }

    private void answer(Socket accepted) throws IOException, InterruptedException {
      String head = readHead(new BufferedInputStream(accepted.getInputStream()));
      OutputStream out = accepted.getOutputStream();
      String list = "{\"revision\":1,\"complete\":true,\"members\":[" + members + "]}\n";
      if (!head.contains("follow=1")) {
        out.write(("HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n" + list).getBytes(StandardCharsets.US_ASCII));
        return;
      }
      out.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
      for (String line = list; ; line = "\n") {
        out.write((Integer.toHexString(line.length()) + "\r\n" + line + "\r\n").getBytes(StandardCharsets.US_ASCII));
        Thread.sleep(2000);
      }
    }
  }

  // ---- End -----------------------------------------------------------------------------------------------

  /** Ends the balancer and closes all sockets. */
  @Override
  public synchronized void close() {
    Process running = balancer;
    if (running != null && running.isAlive()) {
      running.destroyForcibly();
      try {
        running.waitFor(5, TimeUnit.SECONDS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
    for (Closeable c : List.copyOf(open)) {
      try {
        c.close();
      } catch (IOException e) {
        // Closed already.
      }
    }
    synchronized (record) {
      record.flush();
    }
  }

  /** Reads exactly so many bytes of a body. */
  static String readText(InputStream in, int bytes) throws IOException {
    byte[] body = in.readNBytes(bytes);
    if (body.length < bytes) {
      throw new EOFException("the answer broke off after " + body.length + " of " + bytes + " bytes");
    }
    return new String(body, StandardCharsets.ISO_8859_1);
  }

  /** Joins parts of a message. */
  static byte[] join(byte[]... parts) {
    ByteArrayOutputStream all = new ByteArrayOutputStream();
    for (byte[] part : parts) {
      all.writeBytes(part);
    }
    return all.toByteArray();
  }
}
