import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.EOFException;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * What the cases of the second review share: the record, a temporary folder, balancer processes started with the `run` command of the deploy file, and
 * stand-ins for clients, upstreams and discovery over plain sockets on loopback. Standard library only.
 */
final class Stage implements Closeable {

  static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();
  /** Ends the whole play, should anything hang. */
  private static final long MAX_SECONDS = 110;

  final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
  final Path folder;
  private final long startedAt = System.nanoTime();
  private final List<String> record = new ArrayList<>();
  private final Path recordFile;
  private final List<Closeable> open = new ArrayList<>();
  private final List<Process> processes = new ArrayList<>();

  Stage(Path caseFolder) throws IOException {
    folder = Files.createTempDirectory("ashdeck-review");
    recordFile = caseFolder.resolve("record.txt");
    Thread hook = new Thread(this::endProcesses);
    Runtime.getRuntime().addShutdownHook(hook);
    daemon("watchdog", () -> {
      TimeUnit.SECONDS.sleep(MAX_SECONDS);
      note("the play took longer than " + MAX_SECONDS + " s");
      finish(2);
    });
    note(trouble ? "with the disruption" : "without the disruption (TROUBLE=0)");
  }

  /** A play: returns the exit status. */
  interface Play {
    int run(Stage stage) throws Exception;
  }

  /** Runs a play in the case's folder, the only argument, and exits with its status: 1 broken, 0 held, 2 could not run. */
  static void main(String[] args, Play play) throws IOException {
    Stage stage = new Stage(Path.of(args[0]));
    int status;
    try {
      status = play.run(stage);
    } catch (Exception | Error e) {
      stage.note("the case could not run: " + e);
      for (StackTraceElement at : e.getStackTrace()) {
        stage.note("  " + at);
      }
      status = 2;
    }
    stage.finish(status);
  }

  long millis() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedAt);
  }

  /** Adds a line to the record. */
  void note(String text) {
    String line = String.format("%7d ms  %s", millis(), text);
    synchronized (record) {
      record.add(line);
    }
    System.out.println(line);
  }

  /** Adds a line to the record alone: one for each request sent, answered and run. */
  void trace(String text) {
    String line = String.format("%7d ms  %s", millis(), text);
    synchronized (record) {
      record.add(line);
    }
  }

  synchronized void finish(int status) {
    note(status == 0 ? "RESULT: the rule held" : status == 1 ? "RESULT: the rule was broken" : "RESULT: the case could not run");
    close();
    try {
      synchronized (record) {
        Files.write(recordFile, record);
      }
    } catch (IOException e) {
      System.out.println(e);
    }
    Runtime.getRuntime().halt(status);
  }

  @Override
  public void close() {
    for (Closeable c : List.copyOf(open)) {
      quietly(c);
    }
    endProcesses();
    try (Stream<Path> all = Files.walk(folder)) {
      all.sorted(Comparator.reverseOrder()).map(Path::toFile).forEach(File::delete);
    } catch (IOException e) {
      System.out.println(e);
    }
  }

  private void endProcesses() {
    processes.forEach(p -> {
      p.descendants().forEach(ProcessHandle::destroyForcibly);
      p.destroyForcibly();
    });
  }

  static void quietly(Closeable c) {
    try {
      c.close();
    } catch (IOException e) {
      return;
    }
  }

  /** A task that may fail. */
  interface Task {
    void run() throws Exception;
  }

  static Thread daemon(String name, Task task) {
    Thread t = new Thread(() -> {
      try {
        task.run();
      } catch (Exception e) {
        if (System.getenv("VERBOSE") != null) {
          System.out.println(name + ": " + e);
        }
      }
    }, name);
    t.setDaemon(true);
    t.start();
    return t;
  }

  static void sleep(long millis) throws InterruptedException {
    Thread.sleep(Math.max(0, millis));
  }

  static int freePort() throws IOException {
    try (ServerSocket s = new ServerSocket(0, 1, LOOPBACK)) {
      return s.getLocalPort();
    }
  }

  // ---- HTTP messages -------------------------------------------------------------------------------------

  /** A message's first line, its headers by name in lower case, and its body. */
  record Message(String line, Map<String, String> headers, byte[] body) {

    String header(String name) {
      return headers.getOrDefault(name, "");
    }

    String id() {
      return header("x-trace-id");
    }

    int status() {
      return Integer.parseInt(line.split(" ")[1]);
    }
  }

  /** Reads a line without its end; null at the end of the stream before its first byte. */
  static String readLine(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    for (int b = in.read(); ; b = in.read()) {
      if (b < 0) {
        if (line.size() == 0) {
          return null;
        }
        throw new EOFException("in a line");
      }
      if (b == '\n') {
        return line.toString(StandardCharsets.ISO_8859_1).stripTrailing();
      }
      line.write(b);
    }
  }

  /** Reads a message; null at the end of the stream before its first byte. */
  static Message read(InputStream in) throws IOException {
    String line = readLine(in);
    while (line != null && line.isEmpty()) {
      line = readLine(in);
    }
    if (line == null) {
      return null;
    }
    Map<String, String> headers = new LinkedHashMap<>();
    for (String h = readLine(in); ; h = readLine(in)) {
      if (h == null) {
        throw new EOFException("in a head");
      }
      if (h.isEmpty()) {
        break;
      }
      int colon = h.indexOf(':');
      headers.put(h.substring(0, colon).trim().toLowerCase(), h.substring(colon + 1).trim());
    }
    return new Message(line, headers, body(line, headers, in));
  }

  private static byte[] body(String line, Map<String, String> headers, InputStream in) throws IOException {
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    if (headers.getOrDefault("transfer-encoding", "").equalsIgnoreCase("chunked")) {
      while (true) {
        String size = readLine(in);
        if (size == null) {
          throw new EOFException("in a body");
        }
        int n = Integer.parseInt(size.split(";")[0].trim(), 16);
        readFully(in, n, body);
        readLine(in);
        if (n == 0) {
          return body.toByteArray();
        }
      }
    }
    if (headers.containsKey("content-length")) {
      readFully(in, Integer.parseInt(headers.get("content-length")), body);
    } else if (line.startsWith("HTTP/")) {
      for (int b = in.read(); b >= 0; b = in.read()) {
        body.write(b);
      }
    }
    return body.toByteArray();
  }

  private static void readFully(InputStream in, int n, ByteArrayOutputStream to) throws IOException {
    byte[] part = in.readNBytes(n);
    if (part.length < n) {
      throw new EOFException("in a body");
    }
    to.write(part);
  }

  static byte[] ascii(String text) {
    return text.getBytes(StandardCharsets.ISO_8859_1);
  }

  static void write(OutputStream out, String text) throws IOException {
    out.write(ascii(text));
    out.flush();
  }

  static String ok(String body) {
    return "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
  }

  // ---- Upstreams -----------------------------------------------------------------------------------------

  /** How an upstream answers a request that has come whole. */
  interface Behaviour {
    void answer(Upstream upstream, Message request, Socket socket, OutputStream out) throws Exception;
  }

  /** A request that an upstream received whole. */
  record Run(String upstream, String id, long atMillis, long atNanos, int expires) {}

  /** An upstream: a connection carries one request at a time; each request is recorded when its last byte has come. */
  final class Upstream implements Closeable {
    final String id;
    final int cell;
    final List<Run> runs = new ArrayList<>();
    volatile Behaviour behaviour;
    /** How fast it reads; 0 for at once. */
    volatile int bytesPerSecond;
    private ServerSocket listener;
    private final int port;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();

    Upstream(String id, int cell, Behaviour behaviour) throws IOException {
      this(id, cell, 0, behaviour);
    }

    Upstream(String id, int cell, int port, Behaviour behaviour) throws IOException {
      this.id = id;
      this.cell = cell;
      this.behaviour = behaviour;
      listener = new ServerSocket();
      listener.setReuseAddress(true);
      listener.bind(new InetSocketAddress(LOOPBACK, port), 1024);
      this.port = listener.getLocalPort();
      open.add(this);
      daemon(id, this::accept);
    }

    int port() {
      return port;
    }

    private void accept() throws IOException {
      while (true) {
        Socket s = listener.accept();
        sockets.add(s);
        daemon(id + " connection", () -> serve(s));
      }
    }

    private void serve(Socket s) throws Exception {
      try (s) {
        s.setTcpNoDelay(true);
        InputStream in = new BufferedInputStream(paced(s.getInputStream()), 4096);
        OutputStream out = s.getOutputStream();
        for (Message m = read(in); m != null; m = read(in)) {
          if (m.line().contains("/healthz")) {
            write(out, ok("ok"));
            continue;
          }
          synchronized (runs) {
            runs.add(new Run(id, m.id(), millis(), System.nanoTime(), Integer.parseInt(m.headers().getOrDefault("x-expires-in-ms", "0"))));
          }
          trace("run " + m.id() + " at " + id);
          behaviour.answer(this, m, s, out);
        }
      } finally {
        sockets.remove(s);
      }
    }

    private InputStream paced(InputStream in) {
      return new java.io.FilterInputStream(in) {
        @Override
        public int read(byte[] to, int offset, int length) throws IOException {
          int n = super.read(to, offset, length);
          if (n > 0 && bytesPerSecond > 0) {
            try {
              TimeUnit.NANOSECONDS.sleep(n * 1_000_000_000L / bytesPerSecond);
            } catch (InterruptedException e) {
              throw new IOException(e);
            }
          }
          return n;
        }
      };
    }

    List<Run> runs() {
      synchronized (runs) {
        return List.copyOf(runs);
      }
    }

    /** The process dies: connections are reset and new ones are refused. */
    @Override
    public void close() throws IOException {
      listener.close();
      for (Socket s : sockets) {
        reset(s);
      }
    }
  }

  static void reset(Socket s) {
    try {
      s.setSoLinger(true, 0);
      s.close();
    } catch (IOException e) {
      return;
    }
  }

  // ---- Discovery -----------------------------------------------------------------------------------------

  /** A discovery service: the whole list on request, and watches that get each change, and an empty line every 2 s. */
  final class Discovery implements Closeable {
    private static final long MAX_CALL_MILLIS = 1900;
    private final ServerSocket listener = new ServerSocket(0, 1024, LOOPBACK);
    private final Map<String, String> members = new LinkedHashMap<>();
    private final Map<String, Long> changedAt = new LinkedHashMap<>();
    private final Set<OutputStream> watches = ConcurrentHashMap.newKeySet();
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private long revision = 41;
    /** The zone of the upstreams. */
    String zone = "a";
    /** What a call waits for in turn before it is answered, for {@link #MAX_CALL_MILLIS} at most; null for nothing. */
    volatile java.util.concurrent.CountDownLatch turn;
    /** How a list is written; cases may change the white space. */
    volatile java.util.function.UnaryOperator<String> layout = t -> t;

    Discovery() throws IOException {
      open.add(this);
      daemon("discovery", () -> {
        while (true) {
          Socket s = listener.accept();
          sockets.add(s);
          daemon("discovery call", () -> serve(s));
        }
      });
      daemon("discovery beat", () -> {
        while (true) {
          sleep(2000);
          synchronized (this) {
            send("");
          }
        }
      });
    }

    String address() {
      return "127.0.0.1:" + listener.getLocalPort();
    }

    private String member(String id, String address, int cell, String phase, long upSinceMillis) {
      return "{\"id\":\"" + id + "\",\"host_port\":\"" + address + "\",\"locality\":\"" + zone + "\",\"flavor\":\"m\",\"cell\":" + cell + ",\"phase\":\"" + phase
          + "\",\"size\":1.0,\"up_since_ms\":" + upSinceMillis + "}";
    }

    synchronized void set(String id, String address, int cell, String phase, long upSinceMillis) {
      String member = member(id, address, cell, phase, upSinceMillis);
      members.put(id, member);
      if (phase.equals("gone")) {
        members.remove(id);
      }
      revision++;
      changedAt.put(id, revision);
      send(list(false, member));
    }

    void set(Upstream u, String phase) {
      set(u.id, "127.0.0.1:" + u.port(), u.cell, phase, 0);
    }

    synchronized long revision() {
      return revision;
    }

    synchronized String whole() {
      return list(true, String.join(",", members.values()));
    }

    synchronized int watchCount() {
      return watches.size();
    }

    private String list(boolean complete, String entries) {
      return layout.apply("{\"revision\":" + revision + ",\"complete\":" + complete + ",\"members\":[" + entries + "]}");
    }

    private void send(String text) {
      for (OutputStream out : watches) {
        try {
          chunk(out, text + "\n");
        } catch (IOException e) {
          watches.remove(out);
        }
      }
    }

    private static void chunk(OutputStream out, String text) throws IOException {
      write(out, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
    }

    private void serve(Socket s) throws Exception {
      try (s) {
        s.setTcpNoDelay(true);
        InputStream in = new BufferedInputStream(s.getInputStream());
        OutputStream out = s.getOutputStream();
        for (Message m = read(in); m != null; m = read(in)) {
          if (turn != null) {
            turn.await(MAX_CALL_MILLIS, TimeUnit.MILLISECONDS);
          }
          synchronized (this) {
            if (m.line().contains("follow=1")) {
              write(out, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
              chunk(out, whole() + "\n");
              watches.add(out);
            } else {
              write(out, ok(whole()));
            }
          }
        }
      } finally {
        sockets.remove(s);
      }
    }

    @Override
    public void close() throws IOException {
      listener.close();
      sockets.forEach(Stage::quietly);
    }
  }

  // ---- Balancers -----------------------------------------------------------------------------------------

  /** A class of requests, for the settings. */
  record RequestClass(String name, String effect, String scope, long windowMillis, long aimMillis, long deadlineMillis) {
    String json() {
      return "{\"name\":\"" + name + "\",\"effect\":\"" + effect + "\",\"dedup-scope\":\"" + scope + "\",\"window-ns\":" + windowMillis + "000000,\"aim-ns\":"
          + aimMillis + "000000,\"deadline-ns\":" + deadlineMillis + "000000,\"gain\":1.0,\"late-worth\":0.0,\"stream\":false}";
    }
  }

  static final RequestClass LOOKUP = new RequestClass("lookup", "idempotent", "all", 5000, 400, 2000);
  static final RequestClass ISSUE = new RequestClass("issue", "deduplicated", "cell", 2000, 750, 3000);
  static final RequestClass PACK = new RequestClass("pack", "deduplicated", "cell", 4000, 2000, 6000);

  /** A balancer's configuration: settings like those of a small deployment. */
  static final class Config {
    int memoryMb = 192;
    /** Its number among the balancers of the tier, and how many there are. */
    int me;
    int balancers = 1;
    int sockets = 1024;
    String listen;
    String discovery;
    String known = "{\"revision\":0,\"complete\":true,\"members\":[]}";
    String limits = "\"cancel\":true,\"probing\":true,\"peers\":false,\"second-copies\":true,\"retry-after\":true,\"max-retry-after-ns\":2000000000,"
        + "\"max-attempts\":6,\"most-held\":20000,\"multiplex\":1,\"connect-timeout-ns\":200000000,\"conn-idle-ns\":5000000000";
    long drainGraceMillis = 2000;
    List<RequestClass> classes = new ArrayList<>(List.of(LOOKUP, ISSUE, PACK));

    String json() {
      List<String> all = classes.stream().map(RequestClass::json).toList();
      return "{\"name\":\"n" + me + "\",\"listen\":\"" + listen + "\",\"discovery\":\"" + discovery + "\",\"seed\":\"8c1f30d27a5be964\",\n"
          + "\"limits\":{\"cores\":1.0,\"memory_mb\":" + memoryMb + ",\"sockets\":" + sockets + "},\n\"known\":" + known + ",\n"
          + "\"settings\":{\"me\":" + me + ",\"group-size\":" + balancers + ",\"zone\":\"a\",\"areas\":[\"a\",\"b\"],\"registry-mode\":\"on_request\",\n\"categories\":["
          + String.join(",\n", all) + "],\n\"projects\":[{\"name\":\"acme\",\"portion\":1.0,\"quota-per-s\":100000.0}],\n\"limits\":{" + limits + "},\n"
          + "\"contract\":{\"answer-slack-ns\":8000000,\"ask-within-ns\":10000000000,\"cold-from\":0.32,\"drain-grace-ns\":" + drainGraceMillis
          + "000000,\"fall-multiple\":3.0,\"overload-for-ns\":3000000000,\"warm-within-ns\":8500000000},\n"
          + "\"domain\":{\"warm-keys\":true},\"weight-kind\":\"rough\",\"report\":{\"fields\":[],\"how\":\"none\"},\"resolution-ns\":2000000}}\n";
    }
  }

  /** A balancer process. */
  final class Balancer implements Closeable {
    final Process process;
    final int port;
    final String management;
    final Path log;

    Balancer(Process process, int port, String management, Path log) {
      this.process = process;
      this.port = port;
      this.management = management;
      this.log = log;
    }

    void signal(String name) throws Exception {
      note("SIG" + name + " to balancer " + process.pid());
      new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).inheritIO().start().waitFor();
    }

    String logText() throws IOException {
      return Files.readString(log);
    }

    /** Waits until its health check says 200. */
    void awaitHealthy() throws Exception {
      long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
      while (System.nanoTime() < until) {
        if (!process.isAlive()) {
          throw new IOException("the balancer ended: " + logText());
        }
        try (Client c = new Client(port)) {
          c.send("GET /healthz HTTP/1.1\r\nHost: backend.local\r\n\r\n");
          if (c.receive(1000).status() == 200) {
            note("balancer " + process.pid() + " is healthy");
            return;
          }
        } catch (IOException e) {
          if (!process.isAlive()) {
            throw new IOException("the balancer ended: " + logText());
          }
        }
        sleep(50);
      }
      throw new IOException("the balancer is not healthy after 30 s: " + logText());
    }

    /** Makes a management call; returns the status. */
    int call(String method, String path) throws Exception {
      try (Socket s = new Socket()) {
        s.connect(address(management), 1000);
        s.setSoTimeout(1000);
        write(s.getOutputStream(), method + " " + path + " HTTP/1.1\r\nHost: control\r\n\r\n");
        return read(new BufferedInputStream(s.getInputStream())).status();
      }
    }

    @Override
    public void close() {
      process.destroyForcibly();
    }
  }

  static InetSocketAddress address(String text) {
    int colon = text.lastIndexOf(':');
    return new InetSocketAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
  }

  /** The value of a key of the deploy file. */
  static String deploy(String key) throws IOException {
    Matcher m = Pattern.compile("^" + key + " = (?:'''(.*?)'''|\"(.*?)\")", Pattern.MULTILINE | Pattern.DOTALL)
        .matcher(Files.readString(Path.of("deploy/balancer.toml")));
    if (!m.find()) {
      throw new IOException("deploy/balancer.toml has no " + key);
    }
    return m.group(1) != null ? m.group(1) : m.group(2);
  }

  Path writeConfig(Config config) throws IOException {
    Path file = folder.resolve("config-" + config.me + ".json");
    Path part = folder.resolve("config.part");
    Files.writeString(part, config.json());
    Files.move(part, file, java.nio.file.StandardCopyOption.ATOMIC_MOVE, java.nio.file.StandardCopyOption.REPLACE_EXISTING);
    return file;
  }

  private int started;

  /** Starts a balancer with the command of the deploy file, from the repository's root; {@code management} is null for none. */
  Balancer start(Config config, String management) throws IOException {
    if (config.listen == null) {
      config.listen = "127.0.0.1:" + freePort();
    }
    Path file = writeConfig(config);
    Path log = folder.resolve("balancer-" + started++ + ".log");
    Path temporary = folder.resolve("tmp-" + config.me);
    Files.createDirectories(temporary);
    ProcessBuilder b = new ProcessBuilder("/bin/sh", "-c", deploy("run")).redirectErrorStream(true).redirectOutput(log.toFile());
    Map<String, String> env = b.environment();
    env.keySet().removeIf(k -> k.startsWith("ROUTER_") || k.equals("TROUBLE"));
    env.put("ROUTER_NAME", "n" + config.me);
    env.put("ROUTER_LISTEN", config.listen);
    env.put("ROUTER_DISCOVERY", config.discovery);
    env.put("ROUTER_CONFIG", file.toString());
    env.put("TMPDIR", temporary.toString());
    if (management != null) {
      env.put("ROUTER_MANAGEMENT", management);
    }
    Process p = b.start();
    processes.add(p);
    note("started balancer " + p.pid() + " at " + config.listen + (management == null ? "" : ", management at " + management));
    return new Balancer(p, address(config.listen).getPort(), management, log);
  }

  // ---- Clients -------------------------------------------------------------------------------------------

  private static final java.util.concurrent.atomic.AtomicLong IDS = new java.util.concurrent.atomic.AtomicLong(System.nanoTime());

  /** A new id, as clients give one to each request. */
  static String newId() {
    return String.format("%016x", IDS.incrementAndGet() * 0x9E3779B97F4A7C15L);
  }

  /** The head of a request; a GET for a class that is safe to repeat, a POST with a key else. */
  static String head(RequestClass c, String id, long expiresMillis, int bodyLength) {
    boolean safe = c.effect().equals("idempotent");
    return (safe ? "GET" : "POST") + " /api HTTP/1.1\r\nHost: backend.local\r\nX-Trace-Id: " + id + "\r\nX-Qos: " + c.name()
        + "\r\nX-Customer: acme\r\nCookie: sid=" + id + "\r\nX-Expires-In-Ms: " + expiresMillis + "\r\n"
        + (c.effect().equals("deduplicated") ? "Idempotency-Key: key-" + id + "\r\n" : "")
        + (safe ? "" : "Content-Length: " + bodyLength + "\r\n") + "\r\n";
  }

  /** A client's connection. */
  static final class Client implements Closeable {
    final Socket socket = new Socket();
    final InputStream in;
    final OutputStream out;

    Client(int port) throws IOException {
      socket.setTcpNoDelay(true);
      socket.connect(new InetSocketAddress(LOOPBACK, port), 2000);
      in = new BufferedInputStream(socket.getInputStream(), 1 << 16);
      out = socket.getOutputStream();
    }

    void send(String text) throws IOException {
      write(out, text);
    }

    /** The next answer; an EOFException if the connection ends before, a SocketTimeoutException if nothing comes for so long. */
    Message receive(int millis) throws IOException {
      socket.setSoTimeout(millis);
      Message m = read(in);
      if (m == null) {
        throw new EOFException("closed with no answer");
      }
      return m;
    }

    /** What became of a request: the status, or how the wait ended. */
    String outcome(int millis) {
      try {
        Message m = receive(millis);
        return m.status() + " with " + m.body().length + " bytes";
      } catch (SocketTimeoutException e) {
        return "nothing for " + millis + " ms";
      } catch (IOException e) {
        return e instanceof EOFException ? "end of the connection " + e.getMessage() : e.toString();
      }
    }

    @Override
    public void close() throws IOException {
      socket.close();
    }
  }
}
