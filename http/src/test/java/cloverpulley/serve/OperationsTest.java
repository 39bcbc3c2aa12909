package cloverpulley.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cloverpulley.Balancer.EndpointUpdate;
import cloverpulley.Balancer.Fail;
import cloverpulley.Balancer.Request;
import cloverpulley.Balancer.UpstreamSetOffline;
import cloverpulley.Balancer.UpstreamSetOnline;
import cloverpulley.Reason;
import cloverpulley.handover.ProcessRegistry;
import cloverpulley.serve.Rig.Client;
import cloverpulley.serve.Rig.Script;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.DirectoryNotEmptyException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** The management endpoint, upstreams that operators take offline, and two processes of one balancer. */
@Timeout(value = 2 * Rig.LIMIT_S, unit = TimeUnit.SECONDS)
class OperationsTest {

  private static final String HEALTH = "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n";

  @TempDir
  private Path folder;

  private Config config(String listen, String... members) throws IOException {
    String text = Rig.text("127.0.0.1:1", Rig.list(1, true, members), "on_request", 200, 1024, "\"management\":\"127.0.0.1:0\",");
    return Config.parse(text.replace("\"listen\":\"127.0.0.1:0\"", "\"listen\":\"" + listen + "\""),
        Map.of("TMPDIR", folder.toString()));
  }

  /** A free address, at which two processes may listen. */
  private static String freeAddress() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return "127.0.0.1:" + socket.getLocalPort();
    }
  }

  private static Socket connect(Server server) throws IOException {
    Socket socket = new Socket(InetAddress.getLoopbackAddress(), server.managementAddress().getPort());
    socket.setSoTimeout(Rig.LIMIT_S * 1000);
    return socket;
  }

  private static String call(Server server, String call) throws IOException {
    try (Socket socket = connect(server)) {
      socket.getOutputStream().write((call + " HTTP/1.1\r\nHost: x\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1));
      BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
      String answer = StubServer.Message.read(in);
      assertEquals(-1, in.read(), "one call per connection");
      return answer.split(" ")[1];
    }
  }

  @Test
  void offlineUpstreamGetsNoRequestsUntilOnline() throws Exception {
    try (StubServer a = StubServer.answering(StubServer.ok("a")); StubServer b = StubServer.answering(StubServer.ok("b"));
        Rig rig = new Rig(config("127.0.0.1:0", Rig.member("s-a", a.address(), "ready"),
            Rig.member("s-b", b.address(), "ready"))); Client client = rig.client()) {
      assertEquals("200", call(rig.server, "GET /control/ready"));
      assertEquals("200", call(rig.server, "POST /control/upstreams/s-a/offline"));
      assertEquals("200", call(rig.server, "POST /control/upstreams/s-a/offline"));
      for (int i = 0; i < 30; i++) {
        assertTrue(client.ask(Rig.get("r" + i, "Cookie: sid=k" + i + "\r\n")).endsWith("b"));
      }
      assertTrue(a.requests.isEmpty(), "a request went to it after the call was confirmed");
      assertEquals("200", call(rig.server, "POST /control/upstreams/s-b/offline"));
      assertEquals("503", call(rig.server, "GET /control/ready"), "no upstream is left");
      assertEquals("200", call(rig.server, "POST /control/upstreams/s-b/online"));
      assertEquals("200", call(rig.server, "POST /control/upstreams/s-a/online"));
      for (int i = 0; a.requests.isEmpty(); i++) {
        client.ask(Rig.get("q" + i, "Cookie: sid=k" + i + "\r\n"));
      }
    }
  }

  @ParameterizedTest
  @CsvSource({"GET /control/upstreams/s-a/offline, 405", "POST /control/ready, 405", "POST /control/upstreams/s-x/offline, 404",
    "POST /control/upstreams/s-x/online, 404", "POST /control/upstreams//offline, 404", "POST /control/upstreams/s-a, 404",
    "POST /control/upstreams/s-a/away, 404", "POST /control/upstreams/%zz/offline, 400", "GET /, 404", "nonsense, 400",
    "POST /control/upstreams/%73-a/offline, 200"})
  void everyCallIsAnswered(String call, String status) throws Exception {
    try (Rig rig = new Rig(config("127.0.0.1:0", Rig.member("s-a", "127.0.0.1:1", "ready")))) {
      assertEquals(status, call(rig.server, call));
      assertEquals("404", call(rig.server, "POST /control/upstreams/" + "x".repeat(900) + "/offline"));
      assertEquals("400", call(rig.server, "POST /control/upstreams/" + "x".repeat(10_000) + "/offline"));
    }
  }

  /** Connections without a complete call do not keep other callers out. */
  @Test
  void incompleteCallsDoNotBlockOthers() throws Exception {
    List<Socket> idle = new ArrayList<>();
    try (Rig rig = new Rig(config("127.0.0.1:0", Rig.member("s-a", "127.0.0.1:1", "ready")))) {
      for (int i = 0; i < 3 * ManagementServer.MAX_CONNECTIONS; i++) {
        Socket socket = connect(rig.server);
        idle.add(socket);
        socket.getOutputStream().write("GET /control/re".substring(0, i % 15).getBytes(StandardCharsets.ISO_8859_1));
        assertEquals("200", call(rig.server, "GET /control/ready"));
      }
    } finally {
      for (Socket socket : idle) {
        socket.close();
      }
    }
  }

  /** The process keeps a confirmed change, whatever happens to the folder; only another call reverts it. */
  @Test
  void offlineUpstreamStaysOfflineWithoutFolder() throws Exception {
    Script module = new Script((event, out) -> { });
    String[] members = {Rig.member("s-a", "127.0.0.1:1", "ready"), Rig.member("s-b", "127.0.0.1:2", "ready")};
    Path shared = folder.resolve("ashdeck");
    try (Rig rig = new Rig(config("127.0.0.1:0", members), module)) {
      module.next(EndpointUpdate.class);
      deleteTree(shared);
      Files.createFile(shared);
      assertEquals("200", call(rig.server, "POST /control/upstreams/s-a/offline"));
      assertEquals("200", call(rig.server, "GET /control/ready"), "the management endpoint is open");
      long a = module.next(UpstreamSetOffline.class).upstream();
      Files.delete(shared);
      Script successor = new Script((event, out) -> { });
      try (Rig fresh = new Rig(config("127.0.0.1:0", members), successor)) {
        assertEquals(a, successor.next(UpstreamSetOffline.class).upstream(), "a successor that starts with an emptied folder");
      }
      deleteTree(shared);
      awaitFile(shared.resolve("out"));
      assertEquals("200", call(rig.server, "POST /control/upstreams/s-b/offline"));
      assertEquals("200", call(rig.server, "POST /control/upstreams/s-b/online"));
      assertEquals(List.of(module.next(UpstreamSetOnline.class).upstream()), List.of(module.upstreams.get(1)), "only a call puts one online");
    }
  }

  private static void deleteTree(Path tree) throws IOException {
    try (Stream<Path> files = Files.walk(tree)) {
      for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
        Files.deleteIfExists(file);
      }
    } catch (UncheckedIOException | DirectoryNotEmptyException e) {
      deleteTree(tree); // Another thread wrote to it meanwhile.
    }
  }

  private static void awaitFile(Path file) {
    while (!Files.exists(file)) {
      Thread.onSpinWait();
    }
  }

  /** A predecessor that is leaving holds its address for a while: a new process serves at once, and takes calls after it has exited. */
  @Test
  void startServesWhileManagementAddressIsInUse() throws Exception {
    String address = freeAddress();
    try (ServerSocket predecessor = new ServerSocket(Integer.parseInt(address.split(":")[1]), 1, InetAddress.getLoopbackAddress());
        Rig rig = new Rig(managedAt(address)); Client client = rig.client()) {
      assertTrue(client.ask(HEALTH).startsWith("HTTP/1.1 200 "));
      predecessor.close();
      String answer = null;
      while (answer == null) {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), Integer.parseInt(address.split(":")[1]))) {
          socket.getOutputStream().write("GET /control/ready HTTP/1.1\r\nHost: x\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
          answer = StubServer.Message.read(new BufferedInputStream(socket.getInputStream()));
        } catch (ConnectException e) {
          Thread.onSpinWait();
        }
      }
      assertTrue(answer.startsWith("HTTP/1.1 200 "), answer);
    }
  }

  private Config managedAt(String address) throws IOException {
    String text = Rig.text("127.0.0.1:1", Rig.list(1, true, Rig.member("s-a", "127.0.0.1:1", "ready")), "on_request", 200, 1024,
        "\"management\":\"" + address + "\",");
    return Config.parse(text, Map.of("TMPDIR", folder.toString()));
  }

  /** A change made at one process applies to both, including one that starts later. */
  @Test
  void changesApplyToBothProcesses() throws Exception {
    String address = freeAddress();
    Script first = new Script((event, out) -> { });
    Script second = new Script((event, out) -> { });
    String[] members = {Rig.member("s-a", "127.0.0.1:1", "ready"), Rig.member("s-b", "127.0.0.1:2", "ready")};
    try (Rig old = new Rig(config(address, members), first)) {
      first.next(EndpointUpdate.class);
      assertEquals("200", call(old.server, "POST /control/upstreams/s-a/offline"));
      long a = first.next(UpstreamSetOffline.class).upstream();
      try (Rig fresh = new Rig(config(address, members), second)) {
        assertEquals(a, second.next(UpstreamSetOffline.class).upstream());
        assertEquals("200", call(fresh.server, "POST /control/upstreams/s-b/offline"));
        long b = first.next(UpstreamSetOffline.class).upstream();
        assertEquals(b, second.next(UpstreamSetOffline.class).upstream());
        assertEquals("200", call(old.server, "POST /control/upstreams/s-b/online"));
        assertEquals(b, second.next(UpstreamSetOnline.class).upstream());
        assertEquals("200", call(fresh.server, "POST /control/upstreams/s-a/online"));
        assertEquals(b, first.next(UpstreamSetOnline.class).upstream());
        assertEquals(a, first.next(UpstreamSetOnline.class).upstream());
      }
    }
  }

  /**
   * The first process hands over to the second while clients send requests without a pause on persistent connections, and others wait in
   * its accept queue: every request is answered, and no connection is reset or left unread. No connection is established while the
   * listener closes, since the operating system decides what happens then.
   */
  @Test
  void successorTakesOverWithoutLosingRequests() throws Exception {
    String address = freeAddress();
    CountDownLatch blocked = new CountDownLatch(1);
    CountDownLatch unblocked = new CountDownLatch(1);
    Script module = new Script((event, out) -> {
      if (event instanceof Request r) {
        blocked.countDown();
        await(unblocked); // Blocks the loop, which accepts no connection meanwhile.
        out.accept(new Fail(r.id(), Reason.NO_ROOM));
      }
    });
    try (Rig old = new Rig(config(address, Rig.member("s-a", "127.0.0.1:1", "ready")), module);
        Rig fresh = new Rig(config(address, Rig.member("s-a", "127.0.0.1:1", "ready")))) {
      List<RequestLoop> clients = new ArrayList<>();
      for (int i = 0; i < 8; i++) {
        clients.add(new RequestLoop(fresh));
      }
      clients.forEach(Thread::start);
      for (RequestLoop c : clients) {
        c.awaitAnswers(50);
      }
      List<Client> requestClients = new ArrayList<>();
      while (blocked.getCount() > 0) { // The operating system distributes connections: one reaches the first process eventually.
        requestClients.add(fresh.client().write(Rig.get("r" + requestClients.size(), "")));
        blocked.await(20, TimeUnit.MILLISECONDS);
      }
      List<Client> healthClients = new ArrayList<>();
      for (int i = 0; i < 40; i++) {
        healthClients.add(fresh.client().write(HEALTH));
      }
      Thread stop = new Thread(old.server::stop);
      stop.start();
      while (!call(old.server, "GET /control/ready").equals("503")) {
        Thread.onSpinWait();
      }
      unblocked.countDown();
      for (Client c : healthClients) {
        String answer = c.answer();
        assertTrue(answer != null && answer.startsWith("HTTP/1.1 200 "), () -> "answered with " + answer);
        c.close();
      }
      for (Client c : requestClients) {
        assertTrue(c.answer() != null);
        c.close();
      }
      stop.join();
      for (RequestLoop c : clients) {
        c.awaitAnswers(50);
        c.finished = true;
        c.join();
        assertEquals(null, c.failure);
      }
    }
  }

  /** SIGTERM to both processes at once, with requests in progress at both: each is answered, and both stop. */
  @Test
  void bothProcessesAnswerRequestsInProgressOnStop() throws Exception {
    String address = freeAddress();
    CountDownLatch done = new CountDownLatch(1);
    try (StubServer upstream = StubServer.holding(done)) {
      Script first = new Script(0);
      Script second = new Script(0);
      String member = Rig.member("s-a", upstream.address(), "ready");
      try (Rig old = new Rig(config(address, member), first); Rig fresh = new Rig(config(address, member), second)) {
        List<Client> clients = new ArrayList<>();
        for (int i = 0; i < 32; i++) { // The operating system distributes connections to both.
          clients.add(fresh.client().write(Rig.get("r" + i, "")));
          upstream.requests.take();
        }
        Thread one = new Thread(old.server::stop);
        Thread other = new Thread(fresh.server::stop);
        one.start();
        other.start();
        old.server.awaitStopping();
        fresh.server.awaitStopping();
        done.countDown();
        for (Client c : clients) {
          String answer = c.answer();
          assertTrue(answer != null && answer.startsWith("HTTP/1.1 200 "), () -> "answered with " + answer);
        }
        one.join(TimeUnit.SECONDS.toMillis(Rig.LIMIT_S));
        other.join(TimeUnit.SECONDS.toMillis(Rig.LIMIT_S));
        assertTrue(!one.isAlive() && !other.isAlive());
      }
    }
  }

  /** A successor that does not serve yet, or died before it did, takes nothing over: new clients are served by the first process. */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void predecessorKeepsServingUntilSuccessorServes(boolean dead) throws Exception {
    try (StubServer upstream = StubServer.answering(StubServer.ok("x")); Rig old = new Rig(config("127.0.0.1:0", Rig.member("s-a", upstream.address(), "ready")))) {
      ProcessRegistry successor = ProcessRegistry.of(folder.resolve("ashdeck"), System.nanoTime() + 1_000_000_000, 1);
      successor.refresh(ProcessRegistry.Lifecycle.STARTING, 0);
      if (dead) {
        successor.close();
      }
      Thread stop = new Thread(old.server::stop);
      stop.start();
      old.server.awaitStopping();
      try (Client late = old.client()) {
        assertTrue(late.ask(Rig.get("late", "")).startsWith("HTTP/1.1 200 "));
      }
      stop.join(TimeUnit.SECONDS.toMillis(Rig.LIMIT_S));
      assertTrue(!stop.isAlive());
      successor.close();
    }
  }

  private static void await(CountDownLatch latch) {
    try {
      latch.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** A client that sends requests until it is stopped. */
  private static final class RequestLoop extends Thread {
    private final Rig rig;
    private volatile boolean finished;
    private volatile Exception failure;
    private final Semaphore answers = new Semaphore(0);

    RequestLoop(Rig rig) {
      this.rig = rig;
    }

    @Override
    public void run() {
      try {
        Client client = null;
        while (!finished) {
          client = client == null ? rig.client() : client;
          String answer = client.ask(HEALTH);
          if (answer == null || !answer.startsWith("HTTP/1.1 200 ")) {
            throw new IOException("answered with " + answer);
          }
          answers.release();
          if (answer.toLowerCase(Locale.ROOT).contains("connection: close")) {
            client.close();
            client = null;
          }
        }
      } catch (IOException e) {
        failure = e;
      }
    }

    void awaitAnswers(int n) throws InterruptedException {
      while (failure == null && isAlive() && !answers.tryAcquire(n, 50, TimeUnit.MILLISECONDS)) {
        Thread.onSpinWait();
      }
    }
  }
}
