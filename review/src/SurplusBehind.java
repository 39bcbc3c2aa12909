import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Servers that turn away one request in five, unseen, and serve the others. One answer in five has more right behind it: the beginning of a
 * second copy, broken off at any place. The class is unsafe to repeat: no request may run twice.
 */
final class SurplusBehind {

  private static final int CLIENTS = 4;
  private static final int REQUESTS = 400;
  private static final int PAUSE_MILLIS = 40;

  private SurplusBehind() {}

  public static void main(String[] args) throws Exception {
    Lab.run(SurplusBehind::holds);
  }

  private static boolean holds(Lab lab) throws Exception {
    Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
    Random random = new Random(51);
    Lab.Service service = (request, out) -> {
      boolean turnedAway;
      double place;
      synchronized (random) {
        turnedAway = random.nextInt(5) == 0;
        place = lab.trouble && random.nextInt(5) == 0 ? random.nextDouble() : 0;
      }
      String body = turnedAway ? "" : "booked " + request.id();
      String answer = (turnedAway ? "HTTP/1.1 503 Service Unavailable\r\nX-Never-Ran: 1\r\n" : "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n")
          + "Date: Fri, 04 Dec 2026 12:00:00 GMT\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
      String behind = answer.substring(0, (int) (place * answer.length()));
      if (!turnedAway) {
        runs.computeIfAbsent(request.id(), id -> new AtomicInteger()).incrementAndGet();
      }
      lab.say(request.server().id + (turnedAway ? " turns away " : " runs ") + request.id()
          + (behind.isEmpty() ? "" : ", and sends behind its answer: " + behind.replace("\r\n", "|")));
      out.write((answer + behind).getBytes(StandardCharsets.US_ASCII)); // One write: it comes in one piece.
    };
    List<Lab.Server> servers = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      servers.add(lab.new Server("s-" + i, service));
    }
    lab.startBalancer("{\"name\":\"book\",\"effect\":\"at_most_once\",\"aim-ns\":750000000,\"deadline-ns\":3000000000}", Lab.entries(servers));

    Map<String, AtomicInteger> answers = new ConcurrentHashMap<>();
    AtomicInteger notTheirs = new AtomicInteger();
    CountDownLatch done = new CountDownLatch(CLIENTS);
    for (int c = 0; c < CLIENTS; c++) {
      String client = "c" + c;
      lab.thread(client, () -> {
        Socket socket = null;
        try {
          for (int i = 0; i < REQUESTS; i++) {
            socket = socket == null ? lab.connect() : socket;
            String id = client + "-" + i;
            lab.say(id + " is sent");
            socket.getOutputStream().write(Lab.requestHead("POST", id, "book", 3000, 0));
            InputStream in = socket.getInputStream();
            String head = Lab.readHead(in);
            String body = head.isEmpty() ? "" : Lab.readText(in, Integer.parseInt(Lab.header(head, "Content-Length")));
            lab.say(id + " is answered " + Lab.status(head) + " " + body);
            answers.computeIfAbsent("" + Lab.status(head), s -> new AtomicInteger()).incrementAndGet();
            if (Lab.status(head) == 200 && !body.equals("booked " + id)) {
              notTheirs.incrementAndGet();
            }
            if (head.isEmpty() || "close".equalsIgnoreCase(Lab.header(head, "Connection"))) {
              socket.close();
              socket = null;
            }
            Thread.sleep(PAUSE_MILLIS);
          }
        } finally {
          done.countDown();
        }
      });
    }
    if (!done.await(80, TimeUnit.SECONDS)) {
      throw new IllegalStateException("the clients did not finish");
    }
    Thread.sleep(500);
    List<String> twice = runs.entrySet().stream().filter(e -> e.getValue().get() > 1).map(Map.Entry::getKey).sorted().toList();
    twice.forEach(id -> lab.say(id + " ran " + runs.get(id) + " times"));
    lab.tell("requests " + CLIENTS * REQUESTS + ", answers by status " + new TreeMap<>(answers) + "; ran more than once: " + twice.size()
        + "; answered 200 with what no server made for them: " + notTheirs + " (not judged)");
    return twice.isEmpty();
  }
}
