import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CountDownLatch;

/**
 * A balancer starts anew with its last list. Meanwhile an upstream has left, and one of another group listens at its address. A keyed request that ran
 * there may not be sent again into the group of the upstream that has left.
 */
public final class OldList {

  private static final int REQUESTS = 120;
  private static final int RESET_MILLIS = 1200;

  private OldList() {}

  public static void main(String[] args) throws IOException {
    Stage.main(args, OldList::play);
  }

  private static int play(Stage stage) throws Exception {
    Groups groups = new Groups(stage, Stage.ISSUE.windowMillis());
    Stage.Behaviour sound = (up, request, socket, out) -> {
      if (request.line().startsWith("POST")) {
        groups.run(up, request);
      }
      Stage.sleep(30);
      Stage.write(out, Stage.ok(request.id()));
    };
    Stage.Behaviour resets = (up, request, socket, out) -> {
      groups.run(up, request);
      Stage.sleep(RESET_MILLIS);
      Stage.reset(socket);
    };
    int port = Stage.freePort();
    Stage.Discovery discovery = stage.new Discovery();
    // The balancer's last list: s-1 to s-3 are group 1, s-4 and s-5 group 2.
    discovery.set("s-1", "127.0.0.1:" + port, 1, "ready", 0);
    for (int i = 2; i <= 5; i++) {
      discovery.set(stage.new Upstream("s-" + i, i <= 3 ? 1 : 2, sound), "ready");
    }
    Stage.Config config = new Stage.Config();
    config.known = discovery.whole();
    if (stage.trouble) {
      discovery.set("s-1", "127.0.0.1:" + port, 1, "gone", 0);
      discovery.set(stage.new Upstream("s-9", 2, port, resets), "ready");
      stage.note("s-1 of group 1 has left, s-9 of group 2 listens at its address, and discovery knows it");
    } else {
      stage.new Upstream("s-1", 1, port, resets);
    }
    discovery.turn = new CountDownLatch(1); // Its call comes to its turn once the requests have been sent.
    config.discovery = discovery.address();
    Stage.Balancer balancer = stage.start(config, null);
    balancer.awaitHealthy();
    Map<String, Integer> ends = new TreeMap<>();
    List<Thread> clients = new ArrayList<>();
    for (int i = 0; i < REQUESTS; i++) {
      clients.add(Stage.daemon("client " + i, () -> {
        try (Stage.Client client = new Stage.Client(balancer.port)) {
          String id = Stage.newId();
          stage.trace("sent " + id);
          client.send(Stage.head(Stage.ISSUE, id, 3000, 0));
          String end = client.outcome(4000);
          stage.trace("answered " + id + " " + end);
          synchronized (ends) {
            ends.merge(end, 1, Integer::sum);
          }
        }
      }));
      Stage.sleep(2);
    }
    discovery.turn.countDown();
    stage.note("the requests have been sent, discovery answers the balancer's call");
    for (Thread client : clients) {
      client.join();
    }
    Stage.sleep(500);
    int twice = groups.noteRepeated();
    synchronized (ends) {
      stage.note("answers to " + REQUESTS + " keyed requests: " + ends);
    }
    return groups.count() < REQUESTS / 2 ? 2 : twice > 0 ? 1 : 0;
  }
}
