import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Beside usual clients 300 bad ones connect, send three quarters of what a head may have, in short lines, and stop. The balancer owes each of
 * them an error or a close, and has to go on serving the usual ones.
 */
final class HeldHeads {

  private static final int USUAL = 4;
  private static final int REQUESTS = 100;
  private static final int PAUSE_MILLIS = 50;
  private static final int BAD = 300;
  private static final int LINES = 1500;

  private HeldHeads() {}

  public static void main(String[] args) throws Exception {
    Lab.run(HeldHeads::holds);
  }

  private static boolean holds(Lab lab) throws Exception {
    Lab.Service service = (request, out) -> {
      lab.say(request.server().id + " runs " + request.id());
      Thread.sleep(20);
      out.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok".getBytes());
    };
    List<Lab.Server> servers = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      servers.add(lab.new Server("s-" + i, service));
    }
    lab.startBalancer("{\"name\":\"lookup\",\"effect\":\"idempotent\",\"aim-ns\":400000000,\"deadline-ns\":2000000000}", Lab.entries(servers));

    AtomicInteger served = new AtomicInteger();
    AtomicInteger otherwise = new AtomicInteger();
    AtomicInteger unanswered = new AtomicInteger();
    CountDownLatch done = new CountDownLatch(USUAL);
    for (int c = 0; c < USUAL; c++) {
      String client = "c" + c;
      lab.thread(client, () -> {
        for (int i = 0; i < REQUESTS; i++) {
          String id = client + "-" + i;
          int status = 0;
          try (Socket socket = lab.connect()) {
            lab.say(id + " is sent");
            socket.getOutputStream().write(Lab.requestHead("GET", id, "lookup", 2000, 0));
            InputStream in = socket.getInputStream();
            status = Lab.status(Lab.readHead(in));
            lab.say(id + " is answered " + status);
          } catch (IOException e) {
            lab.say(id + ": " + e.getMessage());
          }
          (status == 200 ? served : status > 0 ? otherwise : unanswered).incrementAndGet();
          Thread.sleep(PAUSE_MILLIS);
        }
        done.countDown();
      });
    }
    Thread.sleep(1500);
    List<Socket> bad = new ArrayList<>();
    if (lab.trouble) {
      StringBuilder head = new StringBuilder("GET /api HTTP/1.1\r\n");
      for (int i = 0; i < LINES; i++) {
        head.append((char) ('a' + i % 26)).append(":b\r\n");
      }
      byte[] bytes = head.toString().getBytes();
      try {
        for (int i = 0; i < BAD; i++) {
          Socket socket = lab.connect();
          bad.add(socket);
          socket.getOutputStream().write(bytes);
          lab.say("bad client " + i + " has sent " + bytes.length + " bytes of a head");
        }
      } catch (IOException e) {
        lab.say("a bad client: " + e.getMessage());
      }
      lab.tell("bad clients connected: " + bad.size() + ", each sent " + bytes.length + " bytes of a head");
    }
    if (!done.await(60, TimeUnit.SECONDS)) {
      throw new IllegalStateException("the clients did not finish");
    }
    for (Socket socket : bad) {
      socket.close();
    }
    boolean ended = lab.balancerEnded();
    lab.tell("usual requests served " + served + ", answered otherwise " + otherwise + ", without an answer " + unanswered
        + (ended ? "; the balancer's process has ended by itself" : "; the balancer's process goes on"));
    return !ended;
  }
}
