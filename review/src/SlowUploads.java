import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients send bodies of 4 MB at 64 kB a second. Meanwhile others send a body of 300 kB at once and wait for 480 ms: they have to get a final
 * answer by half a second after that.
 */
final class SlowUploads {

  private static final int SLOW = 100;
  private static final int READY = 20;
  private static final int LONG_BYTES = 4 << 20;
  private static final int SHORTER_BYTES = 300_000;
  private static final int EXPIRES_MILLIS = 480;
  /** The client's time, half a second, and the 50 ms by which each limit is longer on sockets. */
  private static final double LONGEST = 0.480 + 0.500 + 0.050;

  private SlowUploads() {}

  public static void main(String[] args) throws Exception {
    Lab.run(SlowUploads::holds);
  }

  private static boolean holds(Lab lab) throws Exception {
    Lab.Service service = (request, out) -> {
      lab.say(request.server().id + " runs " + request.id());
      out.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok".getBytes());
    };
    List<Lab.Server> servers = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      servers.add(lab.new Server("s-" + i, service));
    }
    lab.startBalancer("{\"name\":\"book\",\"effect\":\"at_most_once\",\"aim-ns\":750000000,\"deadline-ns\":3000000000}", Lab.entries(servers));

    CountDownLatch done = new CountDownLatch(READY);
    AtomicInteger late = new AtomicInteger();
    Map<String, AtomicInteger> answers = new ConcurrentHashMap<>();
    for (int i = 0; i < SLOW; i++) {
      String id = "slow" + i;
      lab.thread(id, () -> {
        try (Socket socket = lab.connect()) {
          OutputStream out = socket.getOutputStream();
          out.write(Lab.requestHead("POST", id, "book", 3000, LONG_BYTES));
          byte[] piece = new byte[64 * 1024 / 10];
          int sent = 0;
          for (; sent < LONG_BYTES; sent += piece.length) {
            if (lab.trouble) {
              Thread.sleep(100);
            }
            out.write(piece, 0, Math.min(piece.length, LONG_BYTES - sent));
            if (socket.getInputStream().available() > 0) {
              break;
            }
          }
          lab.say(id + " is answered " + Lab.status(Lab.readHead(socket.getInputStream())) + " after " + sent + " bytes");
        }
      });
      Thread.sleep(10);
    }
    Thread.sleep(4000);
    for (int i = 0; i < READY; i++) {
      String id = "ready" + i;
      lab.thread(id, () -> {
        try (Socket socket = lab.connect()) {
          OutputStream out = socket.getOutputStream();
          out.write(Lab.join(Lab.requestHead("POST", id, "book", EXPIRES_MILLIS, SHORTER_BYTES), new byte[SHORTER_BYTES]));
          double sent = lab.now();
          InputStream in = socket.getInputStream();
          int status = Lab.status(Lab.readHead(in));
          double after = lab.now() - sent;
          lab.say(String.format(Locale.ROOT, "%s wrote its last byte at %.3f, is answered %d after %.3f s", id, sent, status, after));
          answers.computeIfAbsent("" + status, s -> new AtomicInteger()).incrementAndGet();
          if (after > LONGEST) {
            late.incrementAndGet();
          }
        } finally {
          done.countDown();
        }
      });
      Thread.sleep(200);
    }
    if (!done.await(20, TimeUnit.SECONDS)) {
      throw new IllegalStateException("the clients did not finish");
    }
    lab.tell(String.format(Locale.ROOT, "answers by status %s; later than %.3f s after the last byte: %d of %d", new TreeMap<>(answers), LONGEST, late.get(), READY));
    return late.get() == 0;
  }
}
