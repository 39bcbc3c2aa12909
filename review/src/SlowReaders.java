import java.io.InputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients ask for answers of 4 MB and take some seconds to read them. Meanwhile others ask for answers of 200 kB and read them at once: what
 * a server has given may not be held back from them for 2 s.
 */
final class SlowReaders {

  private static final int SLOW = 160;
  private static final int READY = 20;
  private static final int LONG_BYTES = 4 << 20;
  private static final int SHORTER_BYTES = 200 * 1024;
  /** How long a slow reader takes small pieces before it reads the rest at full speed. */
  private static final double SLOW_SECONDS = 7;
  /** 2 s, and the 50 ms by which each limit is longer on sockets. */
  private static final double LONGEST = 2.050;

  private SlowReaders() {}

  public static void main(String[] args) throws Exception {
    Lab.run(SlowReaders::holds);
  }

  private static boolean holds(Lab lab) throws Exception {
    Map<String, Double> given = new ConcurrentHashMap<>();
    Lab.Service service = (request, out) -> {
      int length = request.id().startsWith("slow") ? LONG_BYTES : request.id().startsWith("ready") ? SHORTER_BYTES : 100;
      out.write(("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: " + length + "\r\n\r\n").getBytes());
      byte[] piece = new byte[16 * 1024];
      for (int left = length; left > 0; left -= piece.length) {
        out.write(piece, 0, Math.min(left, piece.length));
      }
      given.put(request.id(), lab.now());
      lab.say(request.server().id + " has given all of " + request.id());
    };
    List<Lab.Server> servers = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      servers.add(lab.new Server("s-" + i, service));
    }
    lab.startBalancer("{\"name\":\"lookup\",\"effect\":\"idempotent\",\"aim-ns\":400000000,\"deadline-ns\":2000000000}", Lab.entries(servers));

    CountDownLatch done = new CountDownLatch(SLOW + READY);
    AtomicInteger heldBack = new AtomicInteger();
    AtomicInteger whole = new AtomicInteger();
    AtomicInteger begun = new AtomicInteger();
    for (int i = 0; i < SLOW + READY; i++) {
      boolean slow = i < SLOW;
      String id = (slow ? "slow" : "ready") + i;
      if (i == SLOW) {
        Thread.sleep(1000);
        lab.tell("answers begun to the readers of 4 MB: " + begun);
      }
      lab.thread(id, () -> {
        try (Socket socket = lab.connect(slow && lab.trouble ? 16 * 1024 : 0)) {
          socket.getOutputStream().write(Lab.requestHead("GET", id, "lookup", 2000, 0));
          InputStream in = socket.getInputStream();
          String head = Lab.readHead(in);
          if (Lab.status(head) != 200) {
            lab.say(id + " is answered " + Lab.status(head));
            return;
          }
          begun.incrementAndGet();
          double first = lab.now();
          int length = Integer.parseInt(Lab.header(head, "Content-Length"));
          int got = 0;
          byte[] piece = new byte[8 * 1024];
          for (int n = 0; got < length && n >= 0; got += Math.max(0, n)) {
            if (slow && lab.trouble && lab.now() < first + SLOW_SECONDS) {
              Thread.sleep(100);
            }
            n = in.read(piece);
          }
          double last = lab.now();
          Double all = given.get(id);
          lab.say(String.format(Locale.ROOT, "%s got its first byte at %.3f, the last of %d at %.3f; its server had given all at %.3f", id, first, got, last,
              all == null ? Double.NaN : all));
          whole.addAndGet(got == length ? 1 : 0);
          if (!slow && all != null && last - Math.max(first, all) > LONGEST) {
            heldBack.incrementAndGet();
          }
        } finally {
          done.countDown();
        }
      });
      Thread.sleep(10);
    }
    if (!done.await(80, TimeUnit.SECONDS)) {
      throw new IllegalStateException("the clients did not finish");
    }
    lab.tell(String.format(Locale.ROOT, "whole answers %d of %d; held back for more than %.3f s from a client that reads at once: %d of %d", whole.get(), SLOW + READY,
        LONGEST, heldBack.get(), READY));
    return heldBack.get() == 0;
  }
}
