import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Long answers in a deployment that does not permit attempts to be called off. With the disruption one client in 68 leaves in the middle of
 * its answer. The clients that stay have to get their answers whole, with no pause of 2 s that their server did not make.
 */
final class LeftAnswers {

  private static final int SERVERS = 6;
  private static final int BYTES = 200_000;
  /** A server gives an answer in this many pieces, the first at once, with this pause between two. */
  private static final int PIECES = 20;
  private static final long PAUSE_MS = 25;
  private static final int PER_SECOND = 150;
  private static final int SECONDS = 65;
  /** One request in so many is of a client that leaves: 1.47% of them; the site file allows 1.5% (impatient). */
  private static final int LEAVES = 68;
  /** Clients hold a third of the descriptors at most for requests. */
  private static final int MAX_CLIENTS = 1024 / 3 - 10;
  /** The limit of the page, and the slack of the protocol page. */
  private static final long HELD_MS = 2000 + 50;
  private static final int EXPIRES_MS = 5000;
  /** A client that gets nothing for this long goes: well after the rule is broken. */
  private static final int GIVE_UP_MS = 6000;

  /** A connection that a client keeps. */
  private static final ConcurrentLinkedQueue<Rig.Client> KEPT = new ConcurrentLinkedQueue<>();

  private LeftAnswers() {}

  public static void main(String[] args) throws Exception {
    Rig.run(115, LeftAnswers::run);
  }

  private static void run(Rig rig) throws Exception {
    Map<String, Long> given = Rig.concurrent();
    List<Rig.Upstream> servers = new ArrayList<>();
    List<Map<String, Object>> members = new ArrayList<>();
    AtomicInteger taken = new AtomicInteger();
    for (int i = 0; i < SERVERS; i++) {
      Rig.Upstream server = rig.new Upstream("s-" + i, r -> {
        r.write("HTTP/1.1 200 OK\r\nContent-Length: " + BYTES + "\r\n\r\n");
        for (int piece = 0; piece < PIECES; piece++) {
          Rig.sleep(piece == 0 ? 0 : PAUSE_MS);
          r.out.write(new byte[BYTES / PIECES]);
          r.out.flush();
        }
        given.put(r.id(), Rig.ms());
        taken.incrementAndGet();
        return true;
      });
      servers.add(server);
      Map<String, Object> m = server.member("ready");
      m.put("locality", "north");
      members.add(m);
    }
    Rig.Discovery discovery = rig.new Discovery(41, members, 0);
    int listen = Rig.freePort();
    // As in deploy/sites/parcel-hub: cancel = false, second_copies = false, max_attempts = 2 and the other figures.
    String settings = Rig.settings(Rig.category("route-build", "idempotent", "cell", 0, 1500, 5000))
        .replace("\"cancel\":true", "\"cancel\":false").replace("\"second-copies\":true", "\"second-copies\":false")
        .replace("\"max-attempts\":6", "\"max-attempts\":2").replace("almaty-dc1", "north").replace("\"weight-kind\":\"rough\"", "\"weight-kind\":\"none\"")
        .replace("\"conn-idle-ns\":5000000000", "\"conn-idle-ns\":7000000000").replace("\"connect-timeout-ns\":200000000", "\"connect-timeout-ns\":300000000")
        .replace("\"drain-grace-ns\":2000000000", "\"drain-grace-ns\":1200000000").replace("\"fall-multiple\":3.0", "\"fall-multiple\":2.5")
        .replace("\"overload-for-ns\":3000000000", "\"overload-for-ns\":2500000000").replace("\"max-retry-after-ns\":2000000000", "\"max-retry-after-ns\":1500000000");
    Process balancer = rig.balancer("n0", Rig.config(listen, discovery.port(), "{\"revision\":1,\"complete\":true,\"members\":[]}", settings),
        listen, Map.of());
    while (discovery.calls.get() == 0) {
      Rig.sleep(20);
    }
    Rig.sleep(200);

    AtomicInteger whole = new AtomicInteger();
    AtomicInteger left = new AtomicInteger();
    AtomicInteger refused = new AtomicInteger();
    AtomicInteger broken = new AtomicInteger();
    AtomicInteger skipped = new AtomicInteger();
    Semaphore clients = new Semaphore(MAX_CLIENTS);
    Random ids = new Random(51);
    long start = Rig.ms();
    List<Thread> threads = new ArrayList<>();
    for (int i = 0; i < PER_SECOND * SECONDS; i++) {
      Rig.sleep(start + i * 1000L / PER_SECOND - Rig.ms());
      String id = String.format("%016x", ids.nextLong());
      boolean leaves = Rig.TROUBLE && i % LEAVES == LEAVES - 1;
      if (!clients.tryAcquire()) {
        skipped.incrementAndGet(); // All clients are busy; none sends more than one request at a time.
        continue;
      }
      threads.add(Rig.daemon(() -> {
        try {
          ask(rig, listen, id, leaves, given, whole, left, refused, broken);
        } finally {
          clients.release();
        }
      }));
      if (i % PER_SECOND == 0) {
        rig.note("so far sent " + (i + 1 - skipped.get()) + ", answered whole " + whole + ", left " + left + ", refused " + refused + ", broken "
            + broken + "; run and given whole by servers " + taken);
      }
    }
    for (Thread t : threads) {
      t.join(GIVE_UP_MS + 4000);
    }
    Rig.sleep(5000);
    AtomicInteger lone = new AtomicInteger();
    ask(rig, listen, String.format("%016x", ids.nextLong()), false, given, lone, left, refused, broken);
    rig.note("a lone client that asked 5 s after all others had gone got " + (lone.get() == 1 ? "its answer whole" : "no whole answer"));
    whole.addAndGet(lone.get());
    rig.noteLog("n0");
    rig.note("requests " + PER_SECOND * SECONDS + ", not sent as all clients were busy " + skipped + ", whole answers " + whole + ", clients that left "
        + left + ", refused " + refused + ", held back or cut off " + broken + ", given whole by servers " + taken);
    if (!balancer.isAlive()) {
      rig.end(1, "the balancer ended with " + balancer.exitValue());
    }
    if (!Rig.TROUBLE && whole.get() < PER_SECOND * SECONDS * 9 / 10) {
      rig.end(2, "without the disruption only " + whole + " whole answers");
    }
    rig.end(broken.get() > 0 ? 1 : 0, broken + " of " + (whole.get() + broken.get()) + " answers were held back for 2 s or cut off");
  }

  private static void ask(Rig rig, int listen, String id, boolean leaves, Map<String, Long> given, AtomicInteger whole, AtomicInteger left,
      AtomicInteger refused, AtomicInteger broken) throws Exception {
    long sent = Rig.ms();
    Rig.Client c = KEPT.poll();
    boolean kept = c != null;
    Rig.Head head = null;
    for (int i = 0; head == null && i < 2; i++) {
      try {
        c = c == null ? new Rig.Client(listen) : c;
        c.socket.setSoTimeout(GIVE_UP_MS);
        c.send(Rig.request("GET", id, "route-build", EXPIRES_MS, "", null));
        head = Rig.head(c.in);
      } catch (IOException e) {
        rig.note(id + " no answer: " + e);
      }
      if (head == null) {
        c.close();
        c = null;
        if (!kept) {
          break; // Only what crosses the close of a resting connection is sent once more.
        }
        kept = false;
      }
    }
    if (head == null) {
      rig.note(id + " sent at " + sent + " got no answer");
      broken.incrementAndGet();
      return;
    }
    int status = Integer.parseInt(head.start.split(" ")[1]);
    if (status != 200) {
      Rig.body(c.in, head);
      rig.note(id + " sent at " + sent + " answered " + status);
      refused.incrementAndGet();
      KEPT.add(c);
      return;
    }
    long last = Rig.ms();
    long begun = last;
    long gap = 0;
    int got = 0;
    byte[] buffer = new byte[16 * 1024];
    String end = "";
    while (got < BYTES) {
      int n;
      try {
        n = c.in.read(buffer, 0, Math.min(buffer.length, BYTES - got));
      } catch (IOException e) {
        end = " then " + e;
        n = -1;
      }
      long now = Rig.ms();
      gap = Math.max(gap, now - last);
      if (n < 0) {
        break;
      }
      last = now;
      got += n;
      if (leaves && got > BYTES / 10) {
        c.close();
        rig.note(id + " sent at " + sent + " LEFT after " + got + " bytes");
        left.incrementAndGet();
        return;
      }
    }
    boolean held = gap >= HELD_MS || got < BYTES;
    if (held) {
      rig.note(id + " sent at " + sent + " begun at " + begun + " got " + got + " bytes, longest pause " + gap + ", its server gave all at "
          + given.get(id) + end + " BROKEN");
    }
    (held ? broken : whole).incrementAndGet();
    if (got == BYTES && !"close".equalsIgnoreCase(head.headers.get("Connection"))) {
      KEPT.add(c);
    } else {
      c.close();
    }
  }
}
