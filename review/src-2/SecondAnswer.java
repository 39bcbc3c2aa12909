import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** An upstream in another zone sends a second copy of an answer some milliseconds after the first. Its answer must reach no other request. */
public final class SecondAnswer {

  private static final int LINK_MILLIS = 12;
  private static final int COPY_MILLIS = 13;
  private static final int BALANCERS = 4;
  /** Clients of each balancer. */
  private static final int CLIENTS = 3;
  private static final int THINK_MILLIS = 10;
  private static final int SECONDS = 12;
  /** One of so many answers gets a second copy, but none in the first two seconds. */
  private static final int ONE_OF = 40;

  private SecondAnswer() {}

  public static void main(String[] args) throws IOException {
    Stage.main(args, SecondAnswer::play);
  }

  private static int play(Stage stage) throws Exception {
    AtomicInteger answers = new AtomicInteger();
    AtomicInteger copies = new AtomicInteger();
    long[] calmUntil = {Long.MAX_VALUE};
    Stage.Discovery discovery = stage.new Discovery();
    discovery.zone = "b";
    for (int i = 0; i < 2; i++) {
      Stage.Upstream u = stage.new Upstream("s-" + i, 1, (up, request, socket, out) -> {
        Stage.sleep(20);
        String answer = Stage.ok(request.id());
        Stage.write(out, answer);
        if (stage.trouble && stage.millis() > calmUntil[0] && answers.incrementAndGet() % ONE_OF == 0) {
          Stage.sleep(COPY_MILLIS);
          if (socket.getInputStream().available() == 0) { // Nothing else waits on the connection.
            Stage.write(out, answer);
            if (copies.incrementAndGet() <= 20) {
              stage.note(up.id + " sent a second copy of the answer to " + request.id() + ", " + COPY_MILLIS + " ms after the first");
            }
          }
        }
      });
      discovery.set(u.id, "127.0.0.1:" + new Relay(u.port(), LINK_MILLIS).port(), 1, "ready", 0);
    }
    List<Stage.Balancer> balancers = new ArrayList<>();
    for (int i = 0; i < BALANCERS; i++) {
      Stage.Config config = new Stage.Config();
      config.me = i;
      config.balancers = BALANCERS;
      config.discovery = discovery.address();
      balancers.add(stage.start(config, null));
    }
    for (Stage.Balancer b : balancers) {
      b.awaitHealthy();
    }
    calmUntil[0] = stage.millis() + 2000;
    long end = stage.millis() + SECONDS * 1000L;
    AtomicInteger served = new AtomicInteger();
    AtomicInteger other = new AtomicInteger();
    AtomicInteger foreign = new AtomicInteger();
    List<Thread> clients = new ArrayList<>();
    for (int i = 0; i < CLIENTS * BALANCERS; i++) {
      Stage.Balancer balancer = balancers.get(i % BALANCERS);
      String about = Stage.newId(); // What all requests of a client are about.
      clients.add(Stage.daemon("client " + i, () -> {
        while (stage.millis() < end) {
          try (Stage.Client client = new Stage.Client(balancer.port)) {
            while (stage.millis() < end) {
              String id = Stage.newId();
              stage.trace("sent " + id);
              client.send(Stage.head(Stage.LOOKUP, id, 2000, 0).replace("sid=" + id, "sid=" + about));
              Stage.Message answer = client.receive(2500);
              String body = new String(answer.body(), StandardCharsets.ISO_8859_1);
              stage.trace("answered " + id + " " + answer.status() + " " + body);
              if (answer.status() != 200) {
                other.incrementAndGet();
              } else if (body.equals(id)) {
                served.incrementAndGet();
              } else if (foreign.incrementAndGet() <= 20) {
                stage.note("BROKEN: request " + id + " was answered 200 with the body " + body + ", the answer made for another request");
              }
              Stage.sleep(THINK_MILLIS);
            }
          } catch (IOException e) {
            stage.trace("a client's connection ended: " + e);
            other.incrementAndGet();
          }
        }
      }));
    }
    for (Thread client : clients) {
      client.join();
    }
    stage.note(served + " requests served with their own answer, " + foreign + " with another's, " + other + " not served; " + copies + " second copies");
    if (served.get() < 100 || stage.trouble && copies.get() == 0) {
      return 2;
    }
    return foreign.get() > 0 ? 1 : 0;
  }
}
