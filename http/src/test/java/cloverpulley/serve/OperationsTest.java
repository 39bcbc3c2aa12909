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

  /** An address at which two processes may listen. */
  private static String free() throws IOException {
    try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return "127.0.0.1:" + free.getLocalPort();
    }
  }

  private static Socket caller(Server server) throws IOException {
    Socket socket = new Socket(InetAddress.getLoopbackAddress(), server.managementAddress().getPort());
    socket.setSoTimeout(Rig.LIMIT_S * 1000);
    return socket;
  }

  private static String call(Server server, String call) throws IOException {
    try (Socket socket = caller(server)) {
      socket.getOutputStream().write((call + " HTTP/1.1\r\nHost: x\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1));
      BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
      String answer = StubServer.Message.read(in);
      assertEquals(-1, in.read(), "one call to a connection");
      return answer.split(" ")[1];
    }
  }

  @Test
  void whoIsOutGetsNothingUntilCalledBack() throws Exception {
    try (StubServer a = StubServer.answering(StubServer.ok("a")); StubServer b = StubServer.answering(StubServer.ok("b"));
        Rig rig = new Rig(config("127.0.0.1:0", Rig.member("s-a", a.address(), "ready"),
            Rig.member("s-b", b.address(), "ready"))); Client client = rig.client()) {
      assertEquals("200", call(rig.server, "GET /control/ready"));
      assertEquals("200", call(rig.server, "POST /control/upstreams/s-a/offline"));
      assertEquals("200", call(rig.server, "POST /control/upstreams/s-a/offline"));
      for (int i = 0; i < 30; i++) {
        assertTrue(client.ask(Rig.get("r" + i, "Cookie: sid=k" + i + "\r\n")).endsWith("b"));
      }
      assertTrue(a.requests.isEmpty(), "something went to it after the yes");
      assertEquals("200", call(rig.server, "POST /control/upstreams/s-b/offline"));
      assertEquals("503", call(rig.server, "GET /control/ready"), "nobody is left to serve");
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
  void everyCallGetsItsAnswer(String call, String status) throws Exception {
    try (Rig rig = new Rig(config("127.0.0.1:0", Rig.member("s-a", "127.0.0.1:1", "ready")))) {
      assertEquals(status, call(rig.server, call));
      assertEquals("404", call(rig.server, "POST /control/upstreams/" + "x".repeat(900) + "/offline"));
      assertEquals("400", call(rig.server, "POST /control/upstreams/" + "x".repeat(10_000) + "/offline"));
    }
  }

  /** Callers that say nothing, or half, hold no room from others. */
  @Test
  void whoFinishesNoCallKeepsNobodyOut() throws Exception {
    List<Socket> idle = new ArrayList<>();
    try (Rig rig = new Rig(config("127.0.0.1:0", Rig.member("s-a", "127.0.0.1:1", "ready")))) {
      for (int i = 0; i < 3 * ManagementServer.MAX_CONNECTIONS; i++) {
        Socket socket = caller(rig.server);
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

  /** The promise is this process's, whatever becomes of the folder; only a call ends it. */
  @Test
  void aCallIsKeptThroughAFolderThatIsAwayOrEmptied() throws Exception {
    Script module = new Script((event, out) -> { });
    String[] members = {Rig.member("s-a", "127.0.0.1:1", "ready"), Rig.member("s-b", "127.0.0.1:2", "ready")};
    Path shared = folder.resolve("ashdeck");
    try (Rig rig = new Rig(config("127.0.0.1:0", members), module)) {
      module.next(EndpointUpdate.class);
      remove(shared);
      Files.createFile(shared);
      assertEquals("200", call(rig.server, "POST /control/upstreams/s-a/offline"));
      assertEquals("200", call(rig.server, "GET /control/ready"), "the management endpoint is open");
      long a = module.next(UpstreamSetOffline.class).upstream();
      Files.delete(shared);
      Script successor = new Script((event, out) -> { });
      try (Rig fresh = new Rig(config("127.0.0.1:0", members), successor)) {
        assertEquals(a, successor.next(UpstreamSetOffline.class).upstream(), "a successor in an emptied folder");
      }
      remove(shared);
      awaitFile(shared.resolve("out"));
      assertEquals("200", call(rig.server, "POST /control/upstreams/s-b/offline"));
      assertEquals("200", call(rig.server, "POST /control/upstreams/s-b/online"));
      assertEquals(List.of(module.next(UpstreamSetOnline.class).upstream()), List.of(module.upstreams.get(1)), "only a call puts one online");
    }
  }

  private static void remove(Path tree) throws IOException {
    try (Stream<Path> files = Files.walk(tree)) {
      for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
        Files.deleteIfExists(file);
      }
    } catch (UncheckedIOException | DirectoryNotEmptyException e) {
      remove(tree); // The other thread wrote there meanwhile.
    }
  }

  private static void awaitFile(Path file) {
    while (!Files.exists(file)) {
      Thread.onSpinWait();
    }
  }

  /** A predecessor that leaves holds its address for a while: a start beside it serves, and takes calls once it has gone. */
  @Test
  void aStartWhoseManagementAddressIsStillTakenServesAndTakesItLater() throws Exception {
    String address = free();
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

  /** What one process is told binds both, and the one that starts later. */
  @Test
  void bothProcessesKeepWhatEitherWasTold() throws Exception {
    String address = free();
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
   * The first leaves to the second under clients that ask without a pause on kept connections, and while others wait that the system has
   * accepted for it and it has not: every request has its answer, and no connection is reset or left unread. No connection is being
   * made while the listener closes: what the system does then is not this program's.
   */
  @Test
  void aSuccessorTakesOverWithoutALostRequest() throws Exception {
    String address = free();
    CountDownLatch held = new CountDownLatch(1);
    CountDownLatch go = new CountDownLatch(1);
    Script module = new Script((event, out) -> {
      if (event instanceof Request r) {
        held.countDown();
        await(go); // Its loop accepts nobody meanwhile.
        out.accept(new Fail(r.id(), Reason.NO_ROOM));
      }
    });
    try (Rig old = new Rig(config(address, Rig.member("s-a", "127.0.0.1:1", "ready")), module);
        Rig fresh = new Rig(config(address, Rig.member("s-a", "127.0.0.1:1", "ready")))) {
      List<Asking> clients = new ArrayList<>();
      for (int i = 0; i < 8; i++) {
        clients.add(new Asking(fresh));
      }
      clients.forEach(Thread::start);
      for (Asking c : clients) {
        c.awaitAnswers(50);
      }
      List<Client> askers = new ArrayList<>();
      while (held.getCount() > 0) { // The system deals connections to both: one comes to the first at last.
        askers.add(fresh.client().write(Rig.get("r" + askers.size(), "")));
        held.await(20, TimeUnit.MILLISECONDS);
      }
      List<Client> waiting = new ArrayList<>();
      for (int i = 0; i < 40; i++) {
        waiting.add(fresh.client().write(HEALTH));
      }
      Thread stop = new Thread(old.server::stop);
      stop.start();
      while (!call(old.server, "GET /control/ready").equals("503")) {
        Thread.onSpinWait();
      }
      go.countDown();
      for (Client c : waiting) {
        String answer = c.answer();
        assertTrue(answer != null && answer.startsWith("HTTP/1.1 200 "), () -> "answered with " + answer);
        c.close();
      }
      for (Client c : askers) {
        assertTrue(c.answer() != null);
        c.close();
      }
      stop.join();
      for (Asking c : clients) {
        c.awaitAnswers(50);
        c.over = true;
        c.join();
        assertEquals(null, c.failure);
      }
    }
  }

  /** SIGTERM to both at once, with requests in hand at both: each has its answer, and both end. */
  @Test
  void toldToEndBothAnswerWhatTheyHold() throws Exception {
    String address = free();
    CountDownLatch done = new CountDownLatch(1);
    try (StubServer upstream = StubServer.holding(done)) {
      Script first = new Script(0);
      Script second = new Script(0);
      String member = Rig.member("s-a", upstream.address(), "ready");
      try (Rig old = new Rig(config(address, member), first); Rig fresh = new Rig(config(address, member), second)) {
        List<Client> clients = new ArrayList<>();
        for (int i = 0; i < 32; i++) { // The system deals connections to both.
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

  /** A successor that has not said yes, or died before it did, is left nothing: who still comes to the first is served there. */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void aSuccessorThatDoesNotServeIsNotLeftTo(boolean dead) throws Exception {
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

  /** A client that asks until it is told to end. */
  private static final class Asking extends Thread {
    private final Rig rig;
    private volatile boolean over;
    private volatile Exception failure;
    private final Semaphore answers = new Semaphore(0);

    Asking(Rig rig) {
      this.rig = rig;
    }

    @Override
    public void run() {
      try {
        Client client = null;
        while (!over) {
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
