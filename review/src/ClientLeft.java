import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Three of ten servers are cut off: connections to them never come up. Clients send a long request of a class that is unsafe to repeat, and
 * close their connection. No attempt may begin more than 0.1 s after that.
 */
final class ClientLeft {

  private static final int REQUESTS = 160;
  private static final int PAUSE_MILLIS = 200;
  /** In chunks: 256 KiB and about 100 KiB more. */
  private static final int CHUNK_BYTES = 16 * 1024;
  private static final int CHUNKS = 22;
  /** 0.1 s, and the 50 ms by which each limit is longer on sockets. */
  private static final double LONGEST = 0.150;

  private ClientLeft() {}

  public static void main(String[] args) throws Exception {
    Lab.run(ClientLeft::holds);
  }

  private static boolean holds(Lab lab) throws Exception {
    Map<String, Double> closed = new ConcurrentHashMap<>();
    Map<String, Double> late = new ConcurrentHashMap<>();
    AtomicInteger ran = new AtomicInteger();
    Lab.Service service = (request, out) -> {
      ran.incrementAndGet();
      Double left = closed.get(request.id());
      double after = left == null ? 0 : request.begunAt() - left;
      lab.say(String.format(Locale.ROOT, "%s runs %s, whole with %d bytes; its first byte came %s", request.server().id, request.id(),
          request.bodyBytes(), after <= 0 ? "before its client left" : String.format(Locale.ROOT, "%.3f s after its client had left", after)));
      if (after > LONGEST) {
        late.put(request.id(), after);
      }
      out.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".getBytes());
    };
    List<Lab.Server> servers = new ArrayList<>();
    for (int i = 0; i < 10; i++) {
      servers.add(lab.trouble && i >= 7 ? lab.new Server("s-" + i) : lab.new Server("s-" + i, service));
    }
    lab.startBalancer("{\"name\":\"book\",\"effect\":\"at_most_once\",\"aim-ns\":750000000,\"deadline-ns\":3000000000}", Lab.entries(servers));

    CountDownLatch done = new CountDownLatch(REQUESTS);
    byte[] head = new String(Lab.requestHead("POST", "ID", "book", 3000, 0), StandardCharsets.US_ASCII)
        .replace("Content-Length: 0", "Transfer-Encoding: chunked").getBytes(StandardCharsets.US_ASCII);
    byte[] chunk = Lab.join((Integer.toHexString(CHUNK_BYTES) + "\r\n").getBytes(StandardCharsets.US_ASCII), new byte[CHUNK_BYTES],
        "\r\n".getBytes(StandardCharsets.US_ASCII));
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    for (int i = 0; i < CHUNKS; i++) {
      body.writeBytes(chunk);
    }
    body.writeBytes("0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
    for (int i = 0; i < REQUESTS; i++) {
      String id = "c" + i;
      lab.thread(id, () -> {
        try (Socket socket = lab.connect()) {
          OutputStream out = socket.getOutputStream();
          out.write(new String(head, StandardCharsets.US_ASCII).replace("ID", id).getBytes(StandardCharsets.US_ASCII));
          body.writeTo(out);
          socket.close();
          closed.put(id, lab.now());
          lab.say(id + " has sent its request and left");
        } finally {
          done.countDown();
        }
      });
      Thread.sleep(PAUSE_MILLIS);
    }
    if (!done.await(20, TimeUnit.SECONDS)) {
      throw new IllegalStateException("the clients did not finish");
    }
    Thread.sleep(3500);
    double most = late.values().stream().mapToDouble(d -> d).max().orElse(0);
    lab.tell(String.format(Locale.ROOT, "requests %d, run %d; begun more than %.3f s after their clients had left: %d, the latest after %.3f s", REQUESTS, ran.get(), LONGEST,
        late.size(), most));
    return late.isEmpty();
  }
}
