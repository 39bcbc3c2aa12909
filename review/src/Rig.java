import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.File;
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
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Parts that the cases of the review share: the record, stand-ins for upstreams, discovery and clients, and the balancer as a process of its own,
 * started with the command of deploy/balancer.toml. All sockets are on 127.0.0.1.
 */
final class Rig implements AutoCloseable {

  /** Whether the disruption takes place; TROUBLE=0 runs the same without it. */
  static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

  /** The process's status for a broken rule, which case.sh turns into 1: a Java machine that can't start ends with 1 by itself. */
  private static final int BROKEN = 10;

  private static final long START = System.nanoTime();

  final Path temp;
  final List<Process> processes = new CopyOnWriteArrayList<>();
  private final PrintWriter record;

  Rig() throws IOException {
    temp = Path.of(System.getenv("REVIEW_TEMP"));
    record = new PrintWriter(Files.newBufferedWriter(Path.of(System.getenv("REVIEW_RECORD"))), true);
    Runtime.getRuntime().addShutdownHook(new Thread(() -> processes.forEach(Process::destroyForcibly)));
    note("case starts, TROUBLE=" + (TROUBLE ? 1 : 0));
  }

  /** Milliseconds since the start of the case. */
  static long ms() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - START);
  }

  synchronized void note(String text) {
    record.printf(Locale.ROOT, "%8d ms  %s%n", ms(), text);
  }

  /** Ends the case: 0 if the rule held, 1 if it was broken, 2 if the case could not run. */
  void end(int status, String verdict) {
    note("verdict: " + verdict + "; exit " + status);
    System.out.println(verdict);
    close();
    System.out.flush();
    Runtime.getRuntime().halt(status == 1 ? BROKEN : status);
  }

  @Override
  public void close() {
    for (Process p : processes) {
      p.destroyForcibly();
      try {
        p.waitFor(5, TimeUnit.SECONDS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }

  interface Body {
    void run(Rig rig) throws Exception;
  }

  /** Runs a case; whatever keeps it from running ends it with 2. */
  static void run(int maxSeconds, Body body) throws Exception {
    Rig rig = new Rig();
    Thread limit = new Thread(() -> {
      sleep(maxSeconds * 1000L);
      rig.end(2, "the case did not end within " + maxSeconds + " s");
    });
    limit.setDaemon(true);
    limit.start();
    try {
      body.run(rig);
    } catch (Throwable e) {
      e.printStackTrace();
      rig.end(2, "the case could not run: " + e);
    }
  }

  static void sleep(long millis) {
    try {
      Thread.sleep(Math.max(0, millis));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  static InetAddress loopback() throws IOException {
    return InetAddress.getByAddress(new byte[] {127, 0, 0, 1});
  }

  static int freePort() throws IOException {
    try (ServerSocket s = new ServerSocket(0, 1, loopback())) {
      return s.getLocalPort();
    }
  }

  // ---- The balancer --------------------------------------------------------------------------------------------

  /** The class entries of a small deployment; the effect of each as in the operators' brief. */
  static String category(String name, String effect, String scope, long windowMs, long aimMs, long deadlineMs) {
    return "{\"name\":\"" + name + "\",\"effect\":\"" + effect + "\",\"dedup-scope\":\"" + scope + "\",\"window-ns\":" + windowMs * 1_000_000L
        + ",\"aim-ns\":" + aimMs * 1_000_000L + ",\"deadline-ns\":" + deadlineMs * 1_000_000L
        + ",\"gain\":1.0,\"late-worth\":0.0,\"stream\":false}";
  }

  /** Settings of one balancer, with the figures of the operators' brief and of the wire page's example. */
  static String settings(String... categories) {
    return "{\"me\":0,\"group-size\":1,\"zone\":\"almaty-dc1\",\"areas\":[\"almaty-dc1\"],\"registry-mode\":\"on_request\",\"weight-kind\":\"rough\","
        + "\"resolution-ns\":2000000,\"over-share-worth\":0.2,\"counted-by\":\"work\",\"domain\":{\"warm-keys\":true},"
        + "\"report\":{\"fields\":[],\"how\":\"none\"},\"categories\":[" + String.join(",", categories) + "],"
        + "\"projects\":[{\"name\":\"steppe-auto\",\"portion\":1.0,\"quota-per-s\":100000.0}],"
        + "\"contract\":{\"answer-slack-ns\":8000000,\"ask-within-ns\":10000000000,\"cold-from\":0.32,\"drain-grace-ns\":2000000000,"
        + "\"fall-multiple\":3.0,\"overload-for-ns\":3000000000,\"warm-within-ns\":8500000000},"
        + "\"limits\":{\"cancel\":true,\"probing\":true,\"peers\":false,\"second-copies\":true,\"retry-after\":true,"
        + "\"max-retry-after-ns\":2000000000,\"max-attempts\":6,\"most-held\":36257,\"multiplex\":1,\"connect-timeout-ns\":200000000,"
        + "\"conn-idle-ns\":5000000000,\"cpu-us-per-s\":1000000,\"cpu-us-per-request\":0.0}}";
  }

  static String config(int listen, int discovery, String known, String settings) {
    return "{\"name\":\"n0\",\"listen\":\"127.0.0.1:" + listen + "\",\"discovery\":\"127.0.0.1:" + discovery + "\",\"seed\":\"8c1f30d27a5be964\","
        + "\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},\"peers\":[],\"known\":" + known + ",\"settings\":" + settings + "}";
  }

  /** Starts a balancer with the command of the deploy file and waits until it says that it serves. */
  Process balancer(String name, String config, int listen, Map<String, String> more) throws IOException {
    Path file = temp.resolve(name + ".json");
    Files.writeString(file, config);
    Path scratch = Files.createDirectories(temp.resolve(name + "-tmp"));
    ProcessBuilder b = new ProcessBuilder("/bin/sh", "-c", System.getenv("REVIEW_RUN"));
    b.directory(new File(System.getenv("REVIEW_ROOT")));
    b.environment().put("ROUTER_CONFIG", file.toString());
    b.environment().put("ROUTER_NAME", name);
    b.environment().put("TMPDIR", scratch.toString());
    b.environment().putAll(more);
    b.redirectErrorStream(true).redirectOutput(temp.resolve(name + ".log").toFile());
    Process p = b.start();
    processes.add(p);
    note("balancer " + name + " starts, pid " + p.pid() + ", clients at 127.0.0.1:" + listen);
    long until = ms() + 30_000;
    while (ms() < until) {
      if (!p.isAlive()) {
        throw new IOException("balancer ended with " + p.exitValue() + ": " + Files.readString(temp.resolve(name + ".log")));
      }
      try (Client c = new Client(listen)) {
        c.socket.setSoTimeout(1000);
        c.send("GET /healthz HTTP/1.1\r\nHost: b\r\nConnection: close\r\n\r\n");
        if (c.answer().status == 200) {
          note("balancer " + name + " answers 200 to /healthz");
          return p;
        }
      } catch (IOException e) {
        // Not yet.
      }
      sleep(50);
    }
    throw new IOException("balancer not ready within 30 s");
  }

  void noteLog(String name) throws IOException {
    List<String> lines = Files.readAllLines(temp.resolve(name + ".log"));
    note("the log of " + name + " (" + lines.size() + " lines, the last 30):");
    lines.subList(Math.max(0, lines.size() - 30), lines.size()).forEach(l -> note("    " + (l.length() > 160 ? l.substring(0, 160) + " ..." : l)));
  }

  // ---- HTTP ----------------------------------------------------------------------------------------------------

  static final class Head {
    String start;
    final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);

    long length() {
      return headers.containsKey("Content-Length") ? Long.parseLong(headers.get("Content-Length").trim()) : -1;
    }

    boolean chunked() {
      return headers.getOrDefault("Transfer-Encoding", "").toLowerCase(Locale.ROOT).contains("chunked");
    }
  }

  static String line(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    for (int c = in.read(); c != '\n'; c = in.read()) {
      if (c < 0) {
        if (line.size() == 0) {
          return null;
        }
        throw new IOException("the connection ended within a line");
      }
      line.write(c);
    }
    String s = line.toString(StandardCharsets.ISO_8859_1);
    return s.endsWith("\r") ? s.substring(0, s.length() - 1) : s;
  }

  /** Reads a head; null at the end of the connection. */
  static Head head(InputStream in) throws IOException {
    Head h = new Head();
    h.start = line(in);
    if (h.start == null) {
      return null;
    }
    for (String l = line(in); l != null && !l.isEmpty(); l = line(in)) {
      int colon = l.indexOf(':');
      h.headers.put(l.substring(0, colon).trim(), l.substring(colon + 1).trim());
    }
    return h;
  }

  /** Reads a body by its length or chunks; one without either is empty in a request. */
  static byte[] body(InputStream in, Head h) throws IOException {
    if (!h.chunked()) {
      byte[] b = in.readNBytes((int) Math.max(0, h.length()));
      if (b.length < h.length()) {
        throw new IOException("the connection ended within a body, after " + b.length + " of " + h.length() + " bytes");
      }
      return b;
    }
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    while (true) {
      String size = line(in);
      if (size == null) {
        throw new IOException("the connection ended within a chunked body");
      }
      int n = Integer.parseInt(size.split(";")[0].trim(), 16);
      if (n == 0) {
        while (!line(in).isEmpty()) {
          // A trailer.
        }
        return out.toByteArray();
      }
      byte[] b = in.readNBytes(n);
      if (b.length < n) {
        throw new IOException("the connection ended within a chunk");
      }
      out.write(b);
      line(in);
    }
  }

  static final class Answer {
    int status;
    Head head;
    byte[] body;
  }

  /** A client's connection. */
  static final class Client implements AutoCloseable {
    final Socket socket;
    final InputStream in;
    final OutputStream out;

    Client(int port) throws IOException {
      this(port, 0);
    }

    Client(int port, int receiveBuffer) throws IOException {
      socket = new Socket();
      if (receiveBuffer > 0) {
        socket.setReceiveBufferSize(receiveBuffer);
      }
      socket.setTcpNoDelay(true);
      socket.connect(new InetSocketAddress(loopback(), port), 5000);
      in = new BufferedInputStream(socket.getInputStream(), 16 * 1024);
      out = socket.getOutputStream();
    }

    void send(String text) throws IOException {
      out.write(text.getBytes(StandardCharsets.ISO_8859_1));
      out.flush();
    }

    Answer answer() throws IOException {
      Answer a = new Answer();
      a.head = head(in);
      if (a.head == null) {
        throw new IOException("closed with no answer");
      }
      a.status = Integer.parseInt(a.head.start.split(" ")[1]);
      a.body = body(in, a.head);
      return a;
    }

    @Override
    public void close() throws IOException {
      socket.close();
    }
  }

  // ---- Upstreams -----------------------------------------------------------------------------------------------

  static final class Request {
    Head head;
    byte[] body;
    String upstream;
    long atMs;
    Socket socket;
    OutputStream out;

    String id() {
      return head.headers.get("X-Trace-Id");
    }

    void write(String text) throws IOException {
      out.write(text.getBytes(StandardCharsets.ISO_8859_1));
      out.flush();
    }
  }

  interface Handler {
    /** Answers a request; false closes the connection. */
    boolean handle(Request r) throws Exception;
  }

  /** Serves one connection of a stand-in upstream. */
  static void serveUpstream(Socket s, String id, Handler handler, AtomicInteger requests) throws Exception {
    try (s) {
      InputStream in = new BufferedInputStream(s.getInputStream());
      while (true) {
        Head h = head(in);
        if (h == null) {
          return;
        }
        Request r = new Request();
        r.head = h;
        r.body = body(in, h);
        r.atMs = ms();
        r.upstream = id;
        r.socket = s;
        r.out = s.getOutputStream();
        if (r.id() == null) { // A probe.
          r.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
          continue;
        }
        requests.incrementAndGet();
        if (!handler.handle(r)) {
          return;
        }
      }
    } catch (IOException e) {
      // The other side has gone.
    }
  }

  /** A stand-in upstream: one thread a connection. */
  final class Upstream {
    final String id;
    final ServerSocket listener;
    final AtomicInteger requests = new AtomicInteger();

    Upstream(String id, Handler handler) throws IOException {
      this.id = id;
      listener = new ServerSocket(0, 512, loopback());
      daemon(() -> {
        while (true) {
          Socket s = listener.accept();
          s.setTcpNoDelay(true);
          daemon(() -> serveUpstream(s, id, handler, requests));
        }
      });
    }

    int port() {
      return listener.getLocalPort();
    }

    Map<String, Object> member(String phase) {
      return Rig.member(id, "127.0.0.1:" + port(), phase);
    }
  }

  static Map<String, Object> member(String id, String address, String phase) {
    Map<String, Object> m = new LinkedHashMap<>();
    m.put("id", id);
    m.put("host_port", address);
    m.put("locality", "almaty-dc1");
    m.put("flavor", "small-2c");
    m.put("cell", 0);
    m.put("phase", phase);
    m.put("size", 1.0);
    m.put("up_since_ms", 0);
    return m;
  }

  interface Job {
    void run() throws Exception;
  }

  static Thread daemon(Job job) {
    Thread t = new Thread(() -> {
      try {
        job.run();
      } catch (Exception e) {
        // A stand-in's connection ended.
      }
    });
    t.setDaemon(true);
    t.start();
    return t;
  }

  // ---- Discovery -----------------------------------------------------------------------------------------------

  /** A list in discovery's form; an indent of 0 writes it on one line. */
  static String list(long revision, boolean complete, List<Map<String, Object>> members, int indent) {
    String nl = indent == 0 ? "" : "\n";
    String one = " ".repeat(indent);
    String colon = indent == 0 ? ":" : ": ";
    StringBuilder s = new StringBuilder("{" + nl + one + "\"revision\"" + colon + revision + "," + nl + one + "\"complete\"" + colon + complete + "," + nl
        + one + "\"members\"" + colon + "[" + nl);
    for (int i = 0; i < members.size(); i++) {
      s.append(one).append(one).append('{').append(nl);
      int k = 0;
      for (Map.Entry<String, Object> e : members.get(i).entrySet()) {
        s.append(one).append(one).append(one).append('"').append(e.getKey()).append('"').append(colon);
        s.append(e.getValue() instanceof String ? "\"" + e.getValue() + "\"" : e.getValue());
        s.append(++k < members.get(i).size() ? "," : "").append(nl);
      }
      s.append(one).append(one).append('}').append(i + 1 < members.size() ? "," : "").append(nl);
    }
    return s.append(one).append(']').append(nl).append('}').toString();
  }

  /** A stand-in discovery service: the list, and watches that get the whole list first and then each change. */
  final class Discovery {
    final ServerSocket listener;
    final int indent;
    private long revision;
    private final Map<String, Map<String, Object>> members = new LinkedHashMap<>();
    private final List<Watch> watches = new CopyOnWriteArrayList<>();
    final AtomicInteger calls = new AtomicInteger();

    private final class Watch {
      final OutputStream out;

      Watch(OutputStream out) {
        this.out = out;
      }

      synchronized void write(String text) {
        try {
          byte[] b = text.getBytes(StandardCharsets.UTF_8);
          out.write((Integer.toHexString(b.length) + "\r\n").getBytes(StandardCharsets.US_ASCII));
          out.write(b);
          out.write("\r\n".getBytes(StandardCharsets.US_ASCII));
          out.flush();
        } catch (IOException e) {
          watches.remove(this);
        }
      }
    }

    Discovery(long revision, List<Map<String, Object>> first, int indent) throws IOException {
      this.indent = indent;
      this.revision = revision;
      first.forEach(m -> members.put((String) m.get("id"), m));
      listener = new ServerSocket(0, 512, loopback());
      daemon(() -> {
        while (true) {
          Socket s = listener.accept();
          s.setTcpNoDelay(true);
          daemon(() -> serve(s));
        }
      });
      daemon(() -> {
        while (true) {
          sleep(2000);
          watches.forEach(w -> w.write("\n"));
        }
      });
    }

    int port() {
      return listener.getLocalPort();
    }

    synchronized String whole() {
      return list(revision, true, new ArrayList<>(members.values()), indent);
    }

    private void serve(Socket s) throws Exception {
      try (s) {
        InputStream in = new BufferedInputStream(s.getInputStream());
        OutputStream out = s.getOutputStream();
        Head h = head(in);
        if (h == null) {
          return;
        }
        int call = calls.incrementAndGet();
        String uri = h.start.split(" ")[1];
        note("discovery is asked, call " + call + ": GET " + uri);
        Watch w;
        synchronized (this) {
          String text = whole() + "\n";
          if (!uri.contains("follow=1")) {
            out.write(("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + text.getBytes(StandardCharsets.UTF_8).length
                + "\r\n\r\n" + text).getBytes(StandardCharsets.UTF_8));
            out.flush();
            return;
          }
          out.write("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
          w = new Watch(out);
          w.write(text);
          note("discovery has written the whole list, revision " + revision + ", " + text.length() + " bytes, to call " + call);
          watches.add(w);
        }
        in.read(); // Until the caller closes.
        watches.remove(w);
        note("call " + call + " was closed by the balancer");
      } catch (IOException e) {
        note("a call was reset by the balancer: " + e.getMessage());
      }
    }

    /** Changes the list and tells all watches. */
    synchronized void change(List<Map<String, Object>> changed) {
      revision++;
      changed.forEach(m -> {
        if (m.get("phase").equals("gone")) {
          members.remove((String) m.get("id"));
        } else {
          members.put((String) m.get("id"), m);
        }
      });
      String text = list(revision, false, changed, indent) + "\n";
      watches.forEach(w -> w.write(text));
    }
  }

  /** A request of a client; GET for a class that is safe to repeat, else POST. */
  static String request(String method, String id, String requestClass, long expiresMs, String more, String body) {
    return method + " /api HTTP/1.1\r\nHost: backend.local\r\nX-Trace-Id: " + id + "\r\nX-Qos: " + requestClass
        + "\r\nX-Customer: steppe-auto\r\nX-Expires-In-Ms: " + expiresMs + "\r\n" + more
        + (body == null ? "" : "Content-Length: " + body.length() + "\r\n") + "\r\n" + (body == null ? "" : body);
  }

  static <K, V> Map<K, V> concurrent() {
    return new ConcurrentHashMap<>();
  }
}
