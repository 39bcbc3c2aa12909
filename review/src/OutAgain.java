import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * During an upgrade an upstream is called offline and online at the old process, then offline again, with the disruption at the new process at once,
 * without it at the old one. Nothing may go to it later than 2 s after the last yes.
 */
final class OutAgain {

  private static final long GRACE_MS = 2000 + 50;
  private static final int REQUESTS = 300;

  private OutAgain() {}

  public static void main(String[] args) throws Exception {
    Rig.run(60, OutAgain::run);
  }

  private static void run(Rig rig) throws Exception {
    AtomicInteger toOut = new AtomicInteger();
    long[] yes = {Long.MAX_VALUE};
    List<Map<String, Object>> members = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      members.add(rig.new Upstream("s-" + i, r -> {
        if (r.upstream.equals("s-1") && yes[0] != Long.MAX_VALUE && r.atMs - yes[0] > GRACE_MS) {
          rig.note("s-1 gets " + r.id() + ", " + (r.atMs - yes[0]) + " ms after the last yes");
          toOut.incrementAndGet();
        }
        r.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi");
        return true;
      }).member("ready"));
    }
    Rig.Discovery discovery = rig.new Discovery(41, members, 0);
    int listen = Rig.freePort();
    String config = Rig.config(listen, discovery.port(), "{\"revision\":1,\"complete\":true,\"members\":[]}",
        Rig.settings(Rig.category("rate-lookup", "idempotent", "cell", 0, 400, 2000)));
    String scratch = java.nio.file.Files.createDirectories(rig.temp.resolve("shared-tmp")).toString();
    int oldDoor = Rig.freePort();
    int newDoor = Rig.freePort();
    rig.balancer("old", config, listen, Map.of("ROUTER_NAME", "n0", "TMPDIR", scratch, "ROUTER_MANAGEMENT", "127.0.0.1:" + oldDoor));
    rig.balancer("new", config, listen, Map.of("ROUTER_NAME", "n0", "TMPDIR", scratch, "ROUTER_MANAGEMENT", "127.0.0.1:" + newDoor));
    int ready = 0;
    for (int i = 0; i < 120 && ready != 200; i++) {
      Rig.sleep(50);
      try {
        ready = call(rig, newDoor, "GET", "/control/ready");
      } catch (IOException e) {
        ready = 0; // The new process does not listen yet.
      }
    }
    String path = "/control/upstreams/s-1/";
    boolean all = call(rig, oldDoor, "POST", path + "offline") == 200;
    Rig.sleep(1000);
    all &= call(rig, oldDoor, "POST", path + "online") == 200;
    all &= call(rig, Rig.TROUBLE ? newDoor : oldDoor, "POST", path + "offline") == 200;
    yes[0] = Rig.ms();
    if (!all) {
      rig.end(2, "a call was answered no");
    }
    int served = 0;
    for (int i = 0; i < REQUESTS; i++) {
      Rig.sleep(20);
      try (Rig.Client c = new Rig.Client(listen)) {
        c.send(Rig.request("GET", String.format("%016x", 0x51000 + i), "rate-lookup", 2000, "", null));
        served += c.answer().status == 200 ? 1 : 0;
      }
    }
    rig.note("requests " + REQUESTS + ", served " + served);
    rig.end(toOut.get() > 0 ? 1 : 0, toOut + " of " + REQUESTS + " requests went to an upstream that was out");
  }

  private static int call(Rig rig, int door, String method, String path) throws IOException {
    try (Rig.Client c = new Rig.Client(door)) {
      c.socket.setSoTimeout(1000);
      c.send(method + " " + path + " HTTP/1.1\r\nHost: n0\r\nContent-Length: 0\r\n\r\n");
      int status = c.answer().status;
      rig.note(method + " " + path + " at door " + door + ": " + status);
      return status;
    }
  }
}
