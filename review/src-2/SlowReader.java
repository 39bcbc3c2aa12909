import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * A keyed request with a body runs at one upstream, which then resets the connection. The repeat goes to an upstream of the same group that takes seconds to
 * read. Its last byte may not come after the group's window.
 */
public final class SlowReader {

  private static final int REQUESTS = 24;
  private static final int BODY_BYTES = 200 * 1024;
  private static final int RESET_MILLIS = 2200;
  private static final int BYTES_PER_SECOND = 64_000;

  private SlowReader() {}

  public static void main(String[] args) throws IOException {
    Stage.main(args, SlowReader::play);
  }

  private static int play(Stage stage) throws Exception {
    Groups groups = new Groups(stage, Stage.PACK.windowMillis());
    Stage.Discovery discovery = stage.new Discovery();
    List<Stage.Upstream> slow = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      boolean resets = i < 2;
      Stage.Upstream u = stage.new Upstream("s-" + i, 1, (up, request, socket, out) -> {
        boolean ran = groups.run(up, request);
        if (resets && ran) {
          Stage.sleep(RESET_MILLIS);
          Stage.reset(socket);
        } else {
          Stage.sleep(30);
          Stage.write(out, Stage.ok(request.id()));
        }
      });
      if (!resets) {
        slow.add(u);
      }
      discovery.set(u, "ready");
    }
    Stage.Config config = new Stage.Config();
    config.discovery = discovery.address();
    Stage.Balancer balancer = stage.start(config, null);
    balancer.awaitHealthy();
    String body = "x".repeat(BODY_BYTES);
    Map<String, Integer> ends = new TreeMap<>();
    List<Thread> clients = new ArrayList<>();
    for (int i = 0; i < REQUESTS; i++) {
      clients.add(Stage.daemon("client " + i, () -> {
        try (Stage.Client client = new Stage.Client(balancer.port)) {
          String id = Stage.newId();
          stage.trace("sent " + id);
          client.send(Stage.head(Stage.PACK, id, 6000, BODY_BYTES) + body);
          String end = client.outcome(7000);
          stage.trace("answered " + id + " " + end);
          synchronized (ends) {
            ends.merge(end, 1, Integer::sum);
          }
        }
      }));
      Stage.sleep(60);
    }
    Stage.sleep(200);
    if (stage.trouble) {
      slow.forEach(u -> u.bytesPerSecond = BYTES_PER_SECOND);
      stage.note("all requests have been sent; two upstreams read " + BYTES_PER_SECOND + " bytes a second from now on");
    }
    for (Thread client : clients) {
      client.join();
    }
    Stage.sleep(4000);
    int twice = groups.noteRepeated();
    stage.note("answers to " + REQUESTS + " keyed requests: " + ends);
    return groups.count() < REQUESTS / 2 ? 2 : twice > 0 ? 1 : 0;
  }
}
