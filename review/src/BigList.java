import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.UUID;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;

/** A fleet of the largest size that the pages name, whose discovery writes indented lists. Rule `drain`. */
final class BigList {

  private static final int UPSTREAMS = 3200;
  private static final int INDENT = 8;
  /** What discovery has to tell counts as told so much later at the latest; then the grace, and the slack on sockets. */
  private static final long TOLD_MS = 6000;
  private static final long GRACE_MS = 2000;
  private static final long SLACK_MS = 50;

  public static void main(String[] args) throws Exception {
    Rig.run(110, BigList::run);
  }

  private static void run(Rig rig) throws Exception {
    Set<String> draining = new HashSet<>();
    Map<String, Long> drainedAt = Rig.concurrent();
    AtomicInteger late = new AtomicInteger();
    AtomicInteger sent = new AtomicInteger();
    Rig.Handler handler = r -> {
      sent.incrementAndGet();
      Long since = drainedAt.get(r.upstream);
      if (since != null && r.atMs - since > TOLD_MS + GRACE_MS + SLACK_MS) {
        late.incrementAndGet();
        rig.note("request " + r.id() + " reaches " + r.upstream + " " + (r.atMs - since) + " ms after discovery had that it drains");
      }
      r.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
      return true;
    };
    Random random = new Random(51);
    Selector selector = Selector.open();
    List<Map<String, Object>> members = new ArrayList<>();
    for (int i = 0; i < UPSTREAMS; i++) {
      String id = "quote-web-" + new UUID(random.nextLong(), random.nextLong());
      ServerSocketChannel listener = ServerSocketChannel.open();
      listener.bind(new InetSocketAddress(Rig.loopback(), 0), 64);
      listener.configureBlocking(false);
      listener.register(selector, SelectionKey.OP_ACCEPT, id);
      Map<String, Object> m = Rig.member(id, "127.0.0.1:" + listener.socket().getLocalPort(), "ready");
      m.put("cell", i / 6);
      m.put("size", Math.round((0.51 + random.nextDouble()) * 1e4) / 1e4);
      members.add(m);
    }
    Rig.daemon(() -> {
      while (true) {
        selector.select();
        for (SelectionKey key : selector.selectedKeys()) {
          SocketChannel s = ((ServerSocketChannel) key.channel()).accept();
          if (s != null) {
            s.configureBlocking(true);
            Socket socket = s.socket();
            socket.setTcpNoDelay(true);
            Rig.daemon(() -> Rig.serveUpstream(socket, (String) key.attachment(), handler, new AtomicInteger()));
          }
        }
        selector.selectedKeys().clear();
      }
    });
    Rig.Discovery discovery = rig.new Discovery(60, members, INDENT);
    rig.note(UPSTREAMS + " upstreams; the whole list has " + discovery.whole().length() + " bytes, " + discovery.whole().length() / UPSTREAMS + " an upstream");
    int port = Rig.freePort();
    rig.balancer("n0", Rig.config(port, discovery.port(), Rig.list(41, true, members, 0),
        Rig.settings(Rig.category("rate-lookup", "idempotent", "all", 5000, 400, 2000))), port, Map.of());
    Rig.sleep(3000);
    if (Rig.TROUBLE) {
      List<Map<String, Object>> changed = new ArrayList<>();
      for (int i = 0; i < UPSTREAMS; i += 4) {
        Map<String, Object> m = new java.util.LinkedHashMap<>(members.get(i));
        m.put("phase", "draining");
        changed.add(m);
        draining.add((String) m.get("id"));
      }
      long now = Rig.ms();
      draining.forEach(id -> drainedAt.put(id, now));
      discovery.change(changed);
      rig.note("discovery has that " + changed.size() + " of " + UPSTREAMS + " upstreams drain");
    }
    AtomicInteger served = new AtomicInteger();
    AtomicInteger other = new AtomicInteger();
    for (int i = 0; i < 600; i++) { // 30 s
      String id = "9b1f03aa5c7e" + (1000 + i);
      Rig.daemon(() -> {
        try (Rig.Client c = new Rig.Client(port)) {
          c.socket.setSoTimeout(5000);
          c.send(Rig.request("GET", id, "rate-lookup", 2000, "Cookie: sid=" + Integer.toHexString(id.hashCode()) + "\r\n", null));
          (c.answer().status == 200 ? served : other).incrementAndGet();
        }
      });
      Rig.sleep(50);
    }
    Rig.sleep(2500);
    rig.noteLog("n0");
    String figures = served + " served, " + other + " answered otherwise, " + sent + " attempts, " + late + " of them at upstreams that drain, over "
        + (TOLD_MS + GRACE_MS + SLACK_MS) + " ms after discovery had it; " + discovery.calls + " calls to discovery";
    if (served.get() < 100) {
      rig.end(2, "too few requests were served; " + figures);
    }
    rig.end(late.get() > 0 ? 1 : 0, (late.get() > 0 ? "rule drain broken: " : "rule drain held: ") + figures);
  }
}
