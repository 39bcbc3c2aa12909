import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/** Clients leave while their long bodies wait for room in the balancer. Rule `lost`: no attempt begins more than 0.1 s after the close. */
final class Left {

  private static final int SLOW = 90;
  private static final int LEAVING = 12;
  /** 300 KiB at 80 kB a second; the pages allow 64. */
  private static final int SLOW_BYTES = 300 * 1024;
  private static final int LEAVING_BYTES = 400 * 1024;
  private static final long LEAVE_AFTER_MS = 300;
  /** The pages' bound, and the slack on sockets. */
  private static final long BOUND_MS = 100 + 50;

  public static void main(String[] args) throws Exception {
    Rig.run(100, Left::run);
  }

  private static String head(String id, int length) {
    return Rig.request("POST", id, "contract-pack", 6000, "Content-Length: " + length + "\r\n", null);
  }

  private static void run(Rig rig) throws Exception {
    Map<String, Long> left = Rig.concurrent();
    AtomicInteger after = new AtomicInteger();
    Rig.Handler handler = r -> {
      Long at = left.get(r.id());
      if (at != null && r.atMs - at > BOUND_MS) {
        after.incrementAndGet();
        rig.note("request " + r.id() + " begins at " + r.upstream + " " + (r.atMs - at) + " ms after its client had closed the connection");
      }
      r.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
      return true;
    };
    List<Map<String, Object>> members = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      members.add(rig.new Upstream("s-" + i, handler).member("ready"));
    }
    Rig.Discovery discovery = rig.new Discovery(41, members, 0);
    int port = Rig.freePort();
    rig.balancer("n0", Rig.config(port, discovery.port(), Rig.list(41, true, members, 0),
        Rig.settings(Rig.category("contract-pack", "at_most_once", "all", 4000, 2000, 6000))), port, Map.of());
    Rig.sleep(1000);
    AtomicInteger ok = new AtomicInteger();
    AtomicInteger refused = new AtomicInteger();
    List<Thread> threads = new ArrayList<>();
    for (int i = 0; i < SLOW; i++) {
      String id = "51aa03aa5c7e" + (1000 + i);
      threads.add(Rig.daemon(() -> {
        try (Rig.Client c = new Rig.Client(port)) {
          c.socket.setSoTimeout(10_000);
          c.send(head(id, SLOW_BYTES));
          byte[] piece = new byte[8 * 1024];
          for (int at = 0; at < SLOW_BYTES; at += piece.length) {
            c.out.write(piece, 0, Math.min(piece.length, SLOW_BYTES - at));
            Rig.sleep(100);
          }
          int s = c.answer().status;
          (s == 200 ? ok : refused).incrementAndGet();
        }
      }));
      Rig.sleep(20);
    }
    Rig.sleep(500);
    for (int i = 0; i < LEAVING; i++) {
      String id = "9b1f03aa5c7e" + (1000 + i);
      threads.add(Rig.daemon(() -> {
        try (Rig.Client c = new Rig.Client(port)) {
          c.socket.setSoTimeout(10_000);
          c.send(head(id, LEAVING_BYTES));
          c.out.write(new byte[LEAVING_BYTES]);
          rig.note("client of " + id + " has written all");
          if (Rig.TROUBLE) {
            Rig.sleep(LEAVE_AFTER_MS);
            left.put(id, Rig.ms());
            c.close();
            rig.note("client of " + id + " has closed");
          } else {
            rig.note("client of " + id + " got " + c.answer().status);
          }
        }
      }));
      Rig.sleep(100);
    }
    for (Thread t : threads) {
      t.join(15_000);
    }
    Rig.sleep(1000);
    rig.noteLog("n0");
    String figures = LEAVING + " clients " + (Rig.TROUBLE ? "left" : "stayed") + ", " + after + " of their requests began at an upstream over " + BOUND_MS
        + " ms after the close; of " + SLOW + " slow uploads " + ok + " were served, " + refused + " answered otherwise";
    if (ok.get() == 0) {
      rig.end(2, "no upload was served; " + figures);
    }
    rig.end(after.get() > 0 ? 1 : 0, (after.get() > 0 ? "rule lost broken: " : "rule lost held: ") + figures);
  }
}
