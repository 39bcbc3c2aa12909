import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Long answers. With the disruption their servers take 6 s to give them, in pieces; 240 are under way at a time. Each has to get through whole, with
 * no pause of 2 s that its server did not make.
 */
final class SlowGivers {

  private static final int SERVERS = 6;
  private static final int BYTES = 200_000;
  private static final int PIECES = 20;
  private static final long PAUSE_MS = Rig.TROUBLE ? 300 : 10;
  private static final int PER_SECOND = 40;
  private static final int SECONDS = 25;
  /** The limit of the page, and the slack of the protocol page. */
  private static final long HELD_MS = 2000 + 50;
  private static final int EXPIRES_MS = 3000;

  private SlowGivers() {}

  public static void main(String[] args) throws Exception {
    Rig.run(100, SlowGivers::run);
  }

  private static void run(Rig rig) throws Exception {
    Map<String, Long> given = Rig.concurrent();
    Map<String, Long> longest = Rig.concurrent();
    List<Map<String, Object>> members = new ArrayList<>();
    for (int i = 0; i < SERVERS; i++) {
      members.add(rig.new Upstream("s-" + i, r -> {
        r.write("HTTP/1.1 200 OK\r\nContent-Length: " + BYTES + "\r\n\r\n");
        long last = Rig.ms();
        long pause = 0;
        for (int piece = 0; piece < PIECES; piece++) {
          Rig.sleep(piece == 0 ? 0 : PAUSE_MS);
          r.out.write(new byte[BYTES / PIECES]);
          r.out.flush();
          pause = Math.max(pause, Rig.ms() - last);
          last = Rig.ms();
        }
        longest.put(r.id(), pause);
        given.put(r.id(), Rig.ms());
        return true;
      }).member("ready"));
    }
    Rig.Discovery discovery = rig.new Discovery(41, members, 0);
    int listen = Rig.freePort();
    rig.balancer("n0", Rig.config(listen, discovery.port(), "{\"revision\":1,\"complete\":true,\"members\":[]}",
        Rig.settings(Rig.category("draft-save", "idempotent", "cell", 0, 750, 3000))), listen, Map.of());
    while (discovery.calls.get() == 0) {
      Rig.sleep(20);
    }
    Rig.sleep(200);
    AtomicInteger whole = new AtomicInteger();
    AtomicInteger other = new AtomicInteger();
    AtomicInteger broken = new AtomicInteger();
    AtomicInteger open = new AtomicInteger();
    AtomicInteger mostOpen = new AtomicInteger();
    Random ids = new Random(51);
    List<Thread> threads = new ArrayList<>();
    long start = Rig.ms();
    for (int i = 0; i < PER_SECOND * SECONDS; i++) {
      Rig.sleep(start + i * 1000L / PER_SECOND - Rig.ms());
      String id = String.format("%016x", ids.nextLong());
      threads.add(Rig.daemon(() -> {
        mostOpen.accumulateAndGet(open.incrementAndGet(), Math::max);
        long sent = Rig.ms();
        try (Rig.Client c = new Rig.Client(listen)) {
          c.socket.setSoTimeout(15_000);
          c.send(Rig.request("GET", id, "draft-save", EXPIRES_MS, "", null));
          Rig.Head head = Rig.head(c.in);
          if (head == null || !head.start.contains(" 200")) {
            rig.note(id + " sent at " + sent + " answered " + (head == null ? "with a close" : head.start));
            other.incrementAndGet();
            return;
          }
          long begun = Rig.ms();
          long last = begun;
          long pause = 0;
          int got = 0;
          byte[] buffer = new byte[16 * 1024];
          String end = "";
          try {
            for (int n = 0; n >= 0 && got < BYTES; got += Math.max(0, n)) {
              n = c.in.read(buffer, 0, Math.min(buffer.length, BYTES - got));
              pause = Math.max(pause, Rig.ms() - last);
              last = Rig.ms();
            }
          } catch (IOException e) {
            pause = Math.max(pause, Rig.ms() - last);
            end = " " + e;
          }
          boolean bad = got < BYTES || pause >= HELD_MS;
          rig.note(id + " sent at " + sent + " begun at " + begun + " got " + got + " bytes, longest pause " + pause + ", the server's "
              + longest.get(id) + ", given whole at " + given.get(id) + end + (bad ? " BROKEN" : ""));
          (bad ? broken : whole).incrementAndGet();
        } finally {
          open.decrementAndGet();
        }
      }));
    }
    for (Thread t : threads) {
      t.join(20_000);
    }
    rig.noteLog("n0");
    rig.note("requests " + threads.size() + ", most at a time " + mostOpen + ", whole in time " + whole + ", held back or cut off " + broken
        + ", other answers " + other + ", given whole by servers " + given.size());
    if (whole.get() + broken.get() < threads.size() / 2) {
      rig.end(2, "only " + (whole.get() + broken.get()) + " of " + threads.size() + " requests got a long answer");
    }
    rig.end(broken.get() > 0 ? 1 : 0, broken + " of " + (whole.get() + broken.get()) + " long answers were held back for 2 s or cut off");
  }
}
