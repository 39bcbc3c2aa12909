import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/** Good answers of 256 KiB with a 1xx answer ahead, written in one go. Rule `lost`: the connection is not ended with no whole answer. */
final class Informational {

  private static final int REQUESTS = 40;
  private static final int LENGTH = 256 * 1024;

  public static void main(String[] args) throws Exception {
    Rig.run(100, Informational::run);
  }

  private static byte[] bytes(String id) {
    byte[] b = new byte[LENGTH];
    for (int i = 0; i < b.length; i++) {
      b[i] = (byte) ('a' + (id.hashCode() + i) % 26);
    }
    return b;
  }

  private static void run(Rig rig) throws Exception {
    Map<String, String> ran = Rig.concurrent();
    Rig.Handler handler = r -> {
      String ahead = !Rig.TROUBLE ? "" : r.id().hashCode() % 2 == 0 ? "HTTP/1.1 102 Processing\r\n\r\n" : "HTTP/1.1 103 Early Hints\r\nLink: </quote.css>; rel=preload\r\n\r\n";
      byte[] head = (ahead + "HTTP/1.1 200 OK\r\nContent-Type: application/pdf\r\nContent-Length: " + LENGTH + "\r\n\r\n").getBytes("ISO-8859-1");
      byte[] all = Arrays.copyOf(head, head.length + LENGTH);
      System.arraycopy(bytes(r.id()), 0, all, head.length, LENGTH);
      ran.merge(r.id(), r.upstream, (x, y) -> x + ", " + y);
      r.out.write(all);
      r.out.flush();
      return true;
    };
    List<Map<String, Object>> members = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      members.add(rig.new Upstream("s-" + i, handler).member("ready"));
    }
    Rig.Discovery discovery = rig.new Discovery(41, members, 0);
    int port = Rig.freePort();
    rig.balancer("n0", Rig.config(port, discovery.port(), Rig.list(41, true, members, 0), Rig.settings(
        Rig.category("draft-save", "idempotent", "all", 5000, 750, 4000),
        Rig.category("contract-pack", "at_most_once", "all", 4000, 2000, 6000))), port, Map.of());
    Rig.sleep(1000);
    AtomicInteger whole = new AtomicInteger();
    AtomicInteger lost = new AtomicInteger();
    AtomicInteger failed = new AtomicInteger();
    AtomicInteger refused = new AtomicInteger();
    for (int i = 0; i < REQUESTS; i++) {
      String id = "9b1f03aa5c7e" + (1000 + i);
      boolean unsafe = i % 2 == 0;
      long sent = Rig.ms();
      String end;
      try (Rig.Client c = new Rig.Client(port)) {
        c.socket.setSoTimeout(8000);
        c.send(unsafe ? Rig.request("POST", id, "contract-pack", 6000, "", "pack " + id) : Rig.request("GET", id, "draft-save", 4000, "", null));
        Rig.Answer a = c.answer();
        boolean right = a.status == 200 && Arrays.equals(a.body, bytes(id));
        (right ? whole : a.status == 429 || a.status == 503 ? refused : failed).incrementAndGet();
        end = right ? "200, whole" : String.valueOf(a.status);
      } catch (IOException e) {
        lost.incrementAndGet();
        end = e.getMessage();
      }
      rig.note("request " + id + (unsafe ? " contract-pack (unsafe)" : " draft-save (safe)") + " -> " + end + " after " + (Rig.ms() - sent) + " ms; ran at "
          + ran.get(id));
      Rig.sleep(150);
    }
    rig.noteLog("n0");
    String figures = REQUESTS + " requests: " + whole + " served whole, " + refused + " refused, " + failed + " failed, " + lost
        + " lost (the connection ended with no whole answer); " + ran.size() + " ran";
    if (ran.isEmpty()) {
      rig.end(2, "no request reached an upstream; " + figures);
    }
    rig.end(lost.get() > 0 ? 1 : 0, (lost.get() > 0 ? "rule lost broken: " : "rule lost held: ") + figures);
  }
}
