import java.io.InputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** Servers answer with no length and end the connection in order once the answer is whole. Half of these answers at least have to be forwarded. */
final class NoLength {

  private static final int REQUESTS = 100;
  private static final int PAUSE_MILLIS = 100;

  private NoLength() {}

  public static void main(String[] args) throws Exception {
    Lab.run(NoLength::holds);
  }

  private static boolean holds(Lab lab) throws Exception {
    AtomicInteger whole = new AtomicInteger();
    Lab.Service service = (request, out) -> {
      String body = "booked " + request.id();
      lab.say(request.server().id + " runs " + request.id());
      out.write(("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n" + (lab.trouble ? "Connection: close" : "Content-Length: " + body.length()) + "\r\n\r\n" + body)
          .getBytes());
      whole.incrementAndGet();
      if (lab.trouble) {
        out.close(); // Nothing is unread, so the connection ends with FIN.
      }
    };
    List<Lab.Server> servers = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      servers.add(lab.new Server("s-" + i, service));
    }
    lab.startBalancer("{\"name\":\"book\",\"effect\":\"at_most_once\",\"aim-ns\":750000000,\"deadline-ns\":3000000000}", Lab.entries(servers));

    CountDownLatch done = new CountDownLatch(REQUESTS);
    AtomicInteger forwarded = new AtomicInteger();
    for (int i = 0; i < REQUESTS; i++) {
      String id = "c" + i;
      lab.thread(id, () -> {
        try (Socket socket = lab.connect()) {
          socket.getOutputStream().write(Lab.requestHead("POST", id, "book", 3000, 0));
          InputStream in = socket.getInputStream();
          String head = Lab.readHead(in);
          String length = Lab.header(head, "Content-Length");
          String body = head.isEmpty() ? "" : length == null ? new String(in.readAllBytes()) : Lab.readText(in, Integer.parseInt(length));
          lab.say(id + " is answered " + Lab.status(head) + " " + body);
          if (Lab.status(head) == 200 && body.contains("booked " + id)) {
            forwarded.incrementAndGet();
          }
        } finally {
          done.countDown();
        }
      });
      Thread.sleep(PAUSE_MILLIS);
    }
    if (!done.await(20, TimeUnit.SECONDS)) {
      throw new IllegalStateException("the clients did not finish");
    }
    lab.tell("requests " + REQUESTS + ", answers that servers gave whole " + whole + ", forwarded " + forwarded);
    return forwarded.get() * 2 >= whole.get();
  }
}
