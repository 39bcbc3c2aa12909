import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Upstreams that take a moment in the middle of a long answer. Rule `lost`: what the upstream still gives is not cut off. Only requests of an unsafe
 * class have long answers here, so that each runs once and its answer is the only one there is; between them short ones of a safe class keep coming.
 */
final class Stall {

  private static final int REQUESTS = 40;
  private static final int LENGTH = 256 * 1024;
  /** What is written of a chunked answer before the pause. */
  private static final int FIRST = 16 * 1024;
  private static final long PAUSE_MS = 1000;

  public static void main(String[] args) throws Exception {
    Rig.run(100, Stall::run);
  }

  private static byte[] bytes(String id) {
    byte[] b = new byte[LENGTH];
    for (int i = 0; i < b.length; i++) {
      b[i] = (byte) ('a' + (id.hashCode() + i) % 26);
    }
    return b;
  }

  private static void run(Rig rig) throws Exception {
    Map<String, String> attempts = Rig.concurrent();
    Rig.Handler handler = r -> {
      if (r.head.start.startsWith("GET")) {
        r.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
        return true;
      }
      byte[] b = bytes(r.id());
      boolean chunked = r.id().endsWith("4") || r.id().endsWith("8");
      long began = Rig.ms();
      try {
        if (chunked) {
          r.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + Integer.toHexString(FIRST) + "\r\n");
          r.out.write(b, 0, FIRST);
          r.write("\r\n");
        } else {
          r.write("HTTP/1.1 200 OK\r\nContent-Length: " + LENGTH + "\r\n\r\n");
        }
        if (Rig.TROUBLE) {
          Rig.sleep(PAUSE_MS);
        }
        if (chunked) {
          r.write(Integer.toHexString(LENGTH - FIRST) + "\r\n");
          r.out.write(b, FIRST, LENGTH - FIRST);
          r.write("\r\n0\r\n\r\n");
        } else {
          r.out.write(b);
          r.out.flush();
        }
        // A connection that the balancer has closed in the pause is noticed by reading.
        r.socket.setSoTimeout(20);
        int next;
        try {
          next = r.socket.getInputStream().available() > 0 ? 0 : r.socket.getInputStream().read();
        } catch (java.net.SocketTimeoutException e) {
          next = 0;
        }
        r.socket.setSoTimeout(0);
        if (next != 0) {
          throw new IOException("closed by the balancer");
        }
        attempts.merge(r.id(), "whole at " + r.upstream, (x, y) -> x + "; " + y);
      } catch (IOException e) {
        attempts.merge(r.id(), "cut off at " + r.upstream + " after " + (Rig.ms() - began) + " ms", (x, y) -> x + "; " + y);
        return false;
      }
      return false;
    };
    List<Map<String, Object>> members = new ArrayList<>();
    List<Rig.Upstream> upstreams = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      Rig.Upstream u = rig.new Upstream("s-" + i, handler);
      upstreams.add(u);
      members.add(u.member("ready"));
    }
    Rig.Discovery discovery = rig.new Discovery(41, members, 0);
    int port = Rig.freePort();
    rig.balancer("n0", Rig.config(port, discovery.port(), Rig.list(41, true, members, 0), Rig.settings(
        Rig.category("draft-save", "idempotent", "all", 5000, 750, 4000),
        Rig.category("contract-pack", "at_most_once", "all", 4000, 2000, 6000))), port, Map.of());
    Rig.sleep(1000);
    AtomicInteger whole = new AtomicInteger();
    AtomicInteger refused = new AtomicInteger();
    AtomicInteger failed = new AtomicInteger();
    List<Thread> threads = new ArrayList<>();
    for (int i = 0; i < REQUESTS; i++) {
      String id = "9b1f03aa5c7e" + (1000 + i);
      boolean unsafe = i % 2 == 0;
      threads.add(Rig.daemon(() -> {
        long sent = Rig.ms();
        String end;
        try (Rig.Client c = new Rig.Client(port)) {
          c.socket.setSoTimeout(8000);
          c.send(unsafe ? Rig.request("POST", id, "contract-pack", 6000, "", "pack " + id) : Rig.request("GET", id, "draft-save", 4000, "", null));
          Rig.Answer a = c.answer();
          boolean right = a.status == 200 && java.util.Arrays.equals(a.body, unsafe ? bytes(id) : new byte[] {'o', 'k'});
          if (unsafe) {
            (right ? whole : a.status == 429 || a.status == 503 ? refused : failed).incrementAndGet();
          }
          end = right ? "200, whole" : String.valueOf(a.status);
        } catch (IOException e) {
          failed.addAndGet(unsafe ? 1 : 0);
          end = e.toString();
        }
        rig.note("request " + id + (unsafe ? " contract-pack (unsafe)" : " draft-save (safe)") + " -> " + end + " after " + (Rig.ms() - sent) + " ms");
      }));
      Rig.sleep(250);
    }
    for (Thread t : threads) {
      t.join(10_000);
    }
    Rig.sleep(1000);
    int cut = 0;
    for (Map.Entry<String, String> e : new java.util.TreeMap<>(attempts).entrySet()) {
      rig.note("attempts of " + e.getKey() + ": " + e.getValue());
      cut += e.getValue().contains("cut off") && !e.getValue().contains("whole") ? 1 : 0;
    }
    rig.noteLog("n0");
    String figures = REQUESTS / 2 + " unsafe requests: " + whole + " served whole, " + refused + " refused, " + failed + " failed; " + cut
        + " ran and were cut off by the balancer while the upstream still gave the answer";
    if (attempts.isEmpty()) {
      rig.end(2, "no request reached an upstream; " + figures);
    }
    rig.end(cut > 0 ? 1 : 0, (cut > 0 ? "rule lost broken: " : "rule lost held: ") + figures);
  }
}
