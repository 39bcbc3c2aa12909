import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** Some clients take seconds to read long answers; others ask at the same time and read at once. Rule `lost`: nothing is held back for 2 s. */
final class Held {

  private static final int SLOW = 140;
  private static final int QUICK = 12;
  private static final int SLOW_BYTES = 8 << 20;
  private static final int QUICK_BYTES = 1 << 20;
  private static final long SLOW_MS = 6000;
  /** The pages' bound, and the slack on sockets. */
  private static final long BOUND_MS = 2000 + 50;

  public static void main(String[] args) throws Exception {
    Rig.run(100, Held::run);
  }

  private static void run(Rig rig) throws Exception {
    byte[] slow = new byte[SLOW_BYTES];
    byte[] quick = new byte[QUICK_BYTES];
    Map<String, Long> written = Rig.concurrent();
    Rig.Handler handler = r -> {
      byte[] b = r.id().startsWith("51") ? slow : quick;
      r.write("HTTP/1.1 200 OK\r\nContent-Length: " + b.length + "\r\n\r\n");
      r.out.write(b);
      r.out.flush();
      written.put(r.id(), Rig.ms());
      return true;
    };
    List<Map<String, Object>> members = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      members.add(rig.new Upstream("s-" + i, handler).member("ready"));
    }
    Rig.Discovery discovery = rig.new Discovery(41, members, 0);
    int port = Rig.freePort();
    rig.balancer("n0", Rig.config(port, discovery.port(), Rig.list(41, true, members, 0),
        Rig.settings(Rig.category("contract-pack", "deduplicated", "cell", 4000, 2000, 6000))), port, Map.of());
    Rig.sleep(1000);
    AtomicInteger slowWhole = new AtomicInteger();
    List<Thread> threads = new ArrayList<>();
    for (int i = 0; i < SLOW; i++) {
      String id = "51aa03aa5c7e" + (1000 + i);
      threads.add(Rig.daemon(() -> {
        try (Rig.Client c = new Rig.Client(port, 16 * 1024)) {
          c.send(Rig.request("POST", id, "contract-pack", 6000, "Idempotency-Key: k" + id + "\r\n", "pack"));
          Rig.Head h = Rig.head(c.in);
          if (Rig.TROUBLE) {
            Rig.sleep(SLOW_MS);
          }
          skip(c, h.length());
          slowWhole.incrementAndGet();
        } catch (IOException e) {
          rig.note("slow request " + id + ": " + e);
        }
      }));
      Rig.sleep(10);
    }
    rig.note(SLOW + " requests were sent by clients that " + (Rig.TROUBLE ? "read nothing of the body for " + SLOW_MS + " ms" : "read at once"));
    AtomicInteger whole = new AtomicInteger();
    AtomicInteger held = new AtomicInteger();
    AtomicInteger other = new AtomicInteger();
    AtomicLong longest = new AtomicLong();
    for (int i = 0; i < QUICK; i++) {
      String id = "9b1f03aa5c7e" + (1000 + i);
      threads.add(Rig.daemon(() -> {
        long sent = Rig.ms();
        try (Rig.Client c = new Rig.Client(port)) {
          c.socket.setSoTimeout(20_000);
          c.send(Rig.request("POST", id, "contract-pack", 6000, "Idempotency-Key: k" + id + "\r\n", "pack"));
          Rig.Head h = Rig.head(c.in);
          if (!h.start.contains(" 200 ")) {
            other.incrementAndGet();
            rig.note("request " + id + " -> " + h.start);
            return;
          }
          long first = Rig.ms();
          long gap = skip(c, h.length());
          longest.accumulateAndGet(gap, Math::max);
          boolean broken = gap > BOUND_MS && written.containsKey(id) && written.get(id) < Rig.ms() - BOUND_MS;
          (broken ? held : whole).incrementAndGet();
          rig.note("request " + id + " -> 200, head after " + (first - sent) + " ms, upstream had written all after " + (written.get(id) - sent)
              + " ms, client had all after " + (Rig.ms() - sent) + " ms, longest wait within the body " + gap + " ms");
        } catch (IOException e) {
          other.incrementAndGet();
          rig.note("request " + id + ": " + e);
        }
      }));
      Rig.sleep(20);
    }
    for (Thread t : threads) {
      t.join(30_000);
    }
    rig.noteLog("n0");
    String figures = QUICK + " requests of clients that read at once: " + whole + " passed on without a break, " + held + " held back for over " + BOUND_MS
        + " ms after the upstream had written all, " + other + " answered otherwise; longest wait within a body " + longest + " ms; " + slowWhole + " of " + SLOW
        + " answers of the others came whole";
    if (whole.get() + held.get() == 0) {
      rig.end(2, "no request was served; " + figures);
    }
    rig.end(held.get() > 0 ? 1 : 0, (held.get() > 0 ? "rule lost broken: " : "rule lost held: ") + figures);
  }

  /** Reads a body and drops it; returns the longest wait for bytes, in milliseconds. */
  private static long skip(Rig.Client c, long length) throws IOException {
    byte[] b = new byte[64 * 1024];
    long gap = 0;
    long last = Rig.ms();
    for (long got = 0; got < length; ) {
      int n = c.in.read(b);
      if (n < 0) {
        throw new IOException("the connection ended after " + got + " of " + length + " bytes");
      }
      got += n;
      gap = Math.max(gap, Rig.ms() - last);
      last = Rig.ms();
    }
    return gap;
  }
}
