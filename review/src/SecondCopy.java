import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;

/** Upstreams that write some answers a second time, some milliseconds late. Rule `lost`: a client gets the answer made for its request only. */
final class SecondCopy {

  private static final int CLIENTS = 24;
  private static final int RATE = 280;
  private static final long RUN_MS = 80_000;
  /** One of so many answers comes twice. */
  private static final int EVERY = 4;
  private static final int LEAST_US = 5_000;
  private static final int MOST_US = 12_000;

  public static void main(String[] args) throws Exception {
    Rig.run(110, SecondCopy::run);
  }

  private static void run(Rig rig) throws Exception {
    AtomicInteger copies = new AtomicInteger();
    AtomicInteger left = new AtomicInteger();
    Random seeds = new Random(51);
    ThreadLocal<Random> random = ThreadLocal.withInitial(() -> new Random(seeds.nextLong()));
    Map<String, String> ran = Rig.concurrent();
    Map<String, String> answered = Rig.concurrent();
    Rig.Handler handler = r -> {
      ran.merge(r.id(), r.upstream + " at " + r.atMs, (x, y) -> x + ", " + y);
      Random g = random.get();
      Rig.sleep(8 + g.nextInt(20));
      String body = "quote for " + r.id();
      String answer = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
      r.write(answer);
      if (g.nextInt(EVERY) == 0 && Rig.TROUBLE) {
        long due = System.nanoTime() + 1000L * (LEAST_US + g.nextInt(MOST_US - LEAST_US));
        while (System.nanoTime() < due && r.socket.getInputStream().available() == 0) {
          LockSupport.parkNanos(50_000);
        }
        // Only where nothing else waits on the connection.
        if (r.socket.getInputStream().available() == 0) {
          r.write(answer);
          copies.incrementAndGet();
          ran.merge(r.id(), "answer written again at " + Rig.ms(), (x, y) -> x + ", " + y);
        } else {
          left.incrementAndGet();
        }
      }
      return true;
    };
    List<Map<String, Object>> members = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      members.add(rig.new Upstream("s-" + i, handler).member("ready"));
    }
    Rig.Discovery discovery = rig.new Discovery(41, members, 0);
    int port = Rig.freePort();
    rig.balancer("n0", Rig.config(port, discovery.port(), Rig.list(41, true, members, 0),
        Rig.settings(Rig.category("rate-lookup", "idempotent", "all", 5000, 400, 2000))), port, Map.of());
    Rig.sleep(1000);
    AtomicInteger right = new AtomicInteger();
    AtomicInteger foreign = new AtomicInteger();
    AtomicInteger other = new AtomicInteger();
    long end = Rig.ms() + RUN_MS;
    List<Thread> threads = new ArrayList<>();
    for (int i = 0; i < CLIENTS; i++) {
      int number = i;
      threads.add(Rig.daemon(() -> {
        Random g = new Random(number);
        Rig.Client c = null;
        for (int n = 0; Rig.ms() < end; n++) {
          String id = String.format("9b1f03aa%02x%06x", number, n);
          long sent = Rig.ms();
          String outcome = "no answer";
          try {
            if (c == null) {
              c = new Rig.Client(port);
              c.socket.setSoTimeout(5000);
            }
            c.send(Rig.request("GET", id, "rate-lookup", 2000, "Cookie: sid=" + Integer.toHexString(g.nextInt(800)) + "\r\n", null));
            Rig.Answer a = c.answer();
            String body = new String(a.body);
            outcome = a.status + " " + body;
            if (a.status != 200) {
              other.incrementAndGet();
            } else if (body.equals("quote for " + id)) {
              right.incrementAndGet();
            } else {
              foreign.incrementAndGet();
              rig.note("request " + id + " -> 200 with \"" + body + "\"");
            }
          } catch (IOException e) {
            other.incrementAndGet();
            c = null;
          }
          answered.put(id, "sent at " + sent + ", " + outcome + " at " + Rig.ms());
          Rig.sleep((long) (-Math.log(1 - g.nextDouble()) * Math.max(1, 1000.0 * CLIENTS / RATE - 22)));
        }
      }));
    }
    for (Thread t : threads) {
      t.join();
    }
    rig.noteLog("n0");
    rig.note("each request: when it was sent, what was answered, where it ran (ms)");
    for (Map.Entry<String, String> e : new java.util.TreeMap<>(answered).entrySet()) {
      rig.note(e.getKey() + " " + e.getValue() + "; ran at " + ran.get(e.getKey()));
    }
    String figures = right + " requests served with their own answer, " + foreign + " with the answer of another request, " + other + " answered otherwise; "
        + copies + " answers were written a second time, " + LEAST_US / 1000 + " to " + MOST_US / 1000 + " ms late, " + left + " were not, as a request had come";
    if (right.get() == 0) {
      rig.end(2, "no request was served; " + figures);
    }
    rig.end(foreign.get() > 0 ? 1 : 0, (foreign.get() > 0 ? "rule lost broken: " : "rule lost held: ") + figures);
  }
}
