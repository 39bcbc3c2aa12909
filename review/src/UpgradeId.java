import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A bad client sends the ids of other clients' open requests, whose class is unsafe to repeat. With the disruption that happens during an upgrade:
 * the open requests are held by the old process, which has got SIGTERM, and the bad client connects to the new one.
 */
final class UpgradeId {

  private static final int SERVERS = 4;
  private static final int REQUESTS = 12;
  /** How long a server works on a usual request: well within the deadline. */
  private static final long WORK_MS = 1800;
  private static final int EXPIRES_MS = 3000;

  private UpgradeId() {}

  public static void main(String[] args) throws Exception {
    Rig.run(60, UpgradeId::run);
  }

  private static void run(Rig rig) throws Exception {
    Map<String, List<String>> runs = Rig.concurrent();
    List<Map<String, Object>> members = new ArrayList<>();
    for (int i = 0; i < SERVERS; i++) {
      members.add(rig.new Upstream("s-" + i, r -> {
        List<String> of = runs.computeIfAbsent(r.id(), k -> new CopyOnWriteArrayList<>());
        of.add(r.upstream + " at " + r.atMs);
        rig.note("server " + r.upstream + " begins " + r.id() + (of.size() > 1 ? ", for the second time" : ""));
        Rig.sleep(WORK_MS);
        r.write("HTTP/1.1 200 OK\r\nContent-Length: 16\r\n\r\n" + r.id());
        return true;
      }).member("ready"));
    }
    Rig.Discovery discovery = rig.new Discovery(41, members, 0);
    int listen = Rig.freePort();
    String settings = Rig.settings(Rig.category("rate-lookup", "idempotent", "cell", 0, 400, 2000),
        Rig.category("contract-sign", "at_most_once", "cell", 0, 750, 3000));
    String config = Rig.config(listen, discovery.port(), "{\"revision\":1,\"complete\":true,\"members\":[]}", settings);
    String scratch = java.nio.file.Files.createDirectories(rig.temp.resolve("shared-tmp")).toString();
    int oldDoor = Rig.freePort();
    Process old = rig.balancer("old", config, listen, Map.of("ROUTER_NAME", "n0", "TMPDIR", scratch, "ROUTER_MANAGEMENT", "127.0.0.1:" + oldDoor));
    awaitYes(rig, oldDoor);

    // Usual clients, whose connections are kept and lead to the old process.
    List<Rig.Client> usual = new ArrayList<>();
    for (int i = 0; i < REQUESTS; i++) {
      usual.add(new Rig.Client(listen));
    }
    if (Rig.TROUBLE) {
      int newDoor = Rig.freePort();
      rig.balancer("new", config, listen, Map.of("ROUTER_NAME", "n0", "TMPDIR", scratch, "ROUTER_MANAGEMENT", "127.0.0.1:" + newDoor));
      awaitYes(rig, newDoor);
    }
    Random random = new Random(51);
    List<String> ids = new ArrayList<>();
    AtomicInteger served = new AtomicInteger();
    List<Thread> threads = new ArrayList<>();
    for (Rig.Client c : usual) {
      String id = String.format("%016x", random.nextLong());
      ids.add(id);
      c.socket.setSoTimeout(8000);
      c.send(Rig.request("POST", id, "contract-sign", EXPIRES_MS, "", "x".repeat(212)));
      rig.note("usual client sends " + id);
      threads.add(Rig.daemon(() -> {
        Rig.Answer a = c.answer();
        rig.note("usual client's " + id + " is answered " + a.status);
        served.addAndGet(a.status == 200 ? 1 : 0);
      }));
    }
    Rig.sleep(200);
    if (Rig.TROUBLE) {
      rig.note("SIGTERM to the old process");
      old.destroy();
      Rig.sleep(300);
    }
    for (String id : ids) {
      Rig.Client c = new Rig.Client(listen);
      c.socket.setSoTimeout(8000);
      c.send(Rig.request("POST", id, "contract-sign", EXPIRES_MS, "", "x".repeat(212)));
      rig.note("bad client sends " + id);
      threads.add(Rig.daemon(() -> {
        Rig.Answer a = c.answer();
        rig.note("bad client's " + id + " is answered " + a.status);
        c.close();
      }));
    }
    for (Thread t : threads) {
      t.join(9000);
    }
    if (Rig.TROUBLE) {
      old.waitFor(5, java.util.concurrent.TimeUnit.SECONDS);
      rig.note("old process " + (old.isAlive() ? "still runs" : "ended with " + old.exitValue()));
    }
    rig.noteLog("old");
    int twice = 0;
    int once = 0;
    for (String id : ids) {
      int n = runs.getOrDefault(id, List.of()).size();
      once += n == 1 ? 1 : 0;
      if (n > 1) {
        twice++;
        rig.note(id + " ran " + n + " times: " + runs.get(id));
      }
    }
    if (served.get() < REQUESTS) {
      rig.note("only " + served + " of " + REQUESTS + " usual requests were served");
    }
    if (once + twice < REQUESTS) {
      rig.end(2, "only " + (once + twice) + " of " + REQUESTS + " usual requests ran");
    }
    rig.end(twice > 0 ? 1 : 0, twice + " of " + REQUESTS + " requests that are unsafe to repeat ran twice");
  }

  /** Waits until the process says that it is ready. */
  private static void awaitYes(Rig rig, int door) throws IOException {
    long until = Rig.ms() + 6000;
    while (Rig.ms() < until) {
      try (Rig.Client c = new Rig.Client(door)) {
        c.socket.setSoTimeout(1000);
        c.send("GET /control/ready HTTP/1.1\r\nHost: n0\r\n\r\n");
        if (c.answer().status == 200) {
          rig.note("the process at door " + door + " says yes");
          return;
        }
      } catch (IOException e) {
        // Not yet.
      }
      Rig.sleep(50);
    }
    throw new IOException("no yes within 6 s");
  }
}
