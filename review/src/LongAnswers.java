import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** Clients ask for answers of 200 kB. No server breaks one off, so each has to arrive whole. */
final class LongAnswers {

  static final int BYTES = 200_000;
  private static final int REQUESTS = 40;
  private static final int PAUSE_MILLIS = 100;

  /** Writes an answer of {@link #BYTES}. */
  interface Writer {
    void write(OutputStream out) throws Exception;
  }

  private LongAnswers() {}

  static boolean holds(Lab lab, Writer writer) throws Exception {
    AtomicInteger ran = new AtomicInteger();
    AtomicInteger cutOff = new AtomicInteger();
    Lab.Service service = (request, out) -> {
      ran.incrementAndGet();
      lab.say(request.server().id + " runs " + request.id());
      try {
        writer.write(out);
        lab.say(request.server().id + " has given the whole answer to " + request.id());
      } catch (IOException e) {
        cutOff.incrementAndGet();
        lab.say(request.server().id + " is cut off in its answer to " + request.id() + ": " + e.getMessage());
        throw e;
      }
    };
    List<Lab.Server> servers = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      servers.add(lab.new Server("s-" + i, service));
    }
    lab.startBalancer("{\"name\":\"book\",\"effect\":\"at_most_once\",\"aim-ns\":750000000,\"deadline-ns\":3000000000}", Lab.entries(servers));

    CountDownLatch done = new CountDownLatch(REQUESTS);
    AtomicInteger whole = new AtomicInteger();
    Map<String, String> notServed = new ConcurrentHashMap<>();
    for (int i = 0; i < REQUESTS; i++) {
      String id = "c" + i;
      lab.thread(id, () -> {
        try (Socket socket = lab.connect()) {
          lab.say(id + " is sent");
          socket.getOutputStream().write(Lab.requestHead("POST", id, "book", 3000, 0));
          InputStream in = new BufferedInputStream(socket.getInputStream());
          String head = Lab.readHead(in);
          int status = Lab.status(head);
          int got = -1;
          try {
            got = head.isEmpty() ? -1 : Lab.readBody(in, head);
          } catch (IOException e) {
            lab.say(id + ": " + e.getMessage());
          }
          lab.say(id + " is answered " + status + (got < 0 ? ", and its connection ends before the answer does" : ", whole with " + got + " bytes"));
          if (status == 200 && got == BYTES) {
            whole.incrementAndGet();
          } else if (status != 429 && status != 503) {
            notServed.put(id, "" + status); // A refusal is not a loss; it is not seen where the request has run.
          }
        } finally {
          done.countDown();
        }
      });
      Thread.sleep(PAUSE_MILLIS);
    }
    if (!done.await(60, TimeUnit.SECONDS)) {
      throw new IllegalStateException("the clients did not finish");
    }
    Thread.sleep(1000);
    lab.tell("requests " + REQUESTS + ", run " + ran + ", answered whole " + whole + "; cut off while their server still gave: " + notServed.size()
        + " (writes that failed at servers: " + cutOff + ")");
    return notServed.isEmpty();
  }
}
