package cloverpulley.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Several balancers before the same upstreams, over loopback sockets. */
@Timeout(value = 2 * Rig.LIMIT_S, unit = TimeUnit.SECONDS)
class MultipleBalancersTest {

  private static final String TURNED_AWAY = "HTTP/1.1 503 Service Unavailable\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n";

  private final ExecutorService threads = Executors.newCachedThreadPool();
  private final List<AutoCloseable> open = new ArrayList<>();
  /** How often each request was begun, by its id. */
  private final Map<String, Integer> begun = new ConcurrentHashMap<>();

  @AfterEach
  void close() throws Exception {
    for (AutoCloseable c : open) {
      c.close();
    }
    threads.shutdownNow();
  }

  private <T extends AutoCloseable> T keep(T made) {
    open.add(made);
    return made;
  }

  private static String id(String request) {
    return request.replaceAll("(?s).*X-Trace-Id: (\\S+).*", "$1");
  }

  /** An upstream that holds so many connections and turns away the first request on any more. */
  private StubServer upstream(int most, AtomicInteger turnedAway) throws IOException {
    AtomicInteger connections = new AtomicInteger();
    return keep(new StubServer(c -> {
      boolean room = connections.incrementAndGet() <= most;
      try {
        for (String request = c.next(); request != null; request = c.next()) {
          if (!room) {
            turnedAway.incrementAndGet();
            c.write(TURNED_AWAY);
            return;
          }
          begun.merge(id(request), 1, Integer::sum);
          c.write(StubServer.ok(id(request)));
        }
      } finally {
        connections.decrementAndGet();
      }
    }));
  }

  private List<Rig> balancers(int n, StubServer... upstreams) throws IOException {
    String[] members = new String[upstreams.length];
    for (int i = 0; i < members.length; i++) {
      members[i] = Rig.member("s-" + i, upstreams[i].address(), "ready");
    }
    List<Rig> all = new ArrayList<>();
    for (int i = 0; i < n; i++) {
      all.add(keep(new Rig(Rig.config("127.0.0.1:1", Rig.list(41, true, members)))));
    }
    return all;
  }

  private static void await(List<Future<Void>> running) throws Exception {
    for (Future<Void> f : running) {
      f.get(Rig.LIMIT_S, TimeUnit.SECONDS);
    }
  }

  /**
   * Idle connections of one balancer take the room of the others. Who is turned away is served elsewhere, nobody is refused while
   * there is room, and what has no room is not hammered.
   */
  @Test
  void upstreamsWithFewConnectionsServeAllOfThem() throws Exception {
    AtomicInteger turnedAway = new AtomicInteger();
    AtomicInteger served = new AtomicInteger();
    StubServer scarce = upstream(2, turnedAway);
    StubServer roomy = upstream(Integer.MAX_VALUE, turnedAway);
    List<Future<Void>> running = new ArrayList<>();
    int requests = 150;
    int clients = 0;
    for (Rig balancer : balancers(4, scarce, roomy)) {
      for (int c = 0; c < 3; c++) {
        String name = "c" + clients++ + "-";
        running.add(threads.submit(() -> {
          try (Rig.Client client = balancer.client()) {
            for (int i = 0; i < requests; i++) {
              String answer = client.ask(Rig.get(name + i, ""));
              served.addAndGet(answer.startsWith("HTTP/1.1 200") && answer.endsWith(name + i) ? 1 : 0);
            }
          }
          return null;
        }));
      }
    }
    await(running);
    assertTrue(turnedAway.get() > 0, "the scarce one was never full: this shows nothing");
    assertEquals(clients * requests, served.get(), "turned away " + turnedAway);
    assertTrue(turnedAway.get() <= clients * requests * 0.8, "hammered: " + turnedAway + " for " + clients * requests);
  }

  /** Four of five balancers stop under load: each request taken has its one answer, its own, and what was not taken did not run. */
  @Test
  void mostStopUnderLoad() throws Exception {
    AtomicInteger none = new AtomicInteger();
    List<Rig> all = balancers(5, upstream(Integer.MAX_VALUE, none), upstream(Integer.MAX_VALUE, none));
    Rig stays = all.get(4);
    CountDownLatch loaded = new CountDownLatch(200);
    Set<String> unanswered = ConcurrentHashMap.newKeySet();
    AtomicInteger answered = new AtomicInteger();
    AtomicInteger stopped = new AtomicInteger();
    List<Future<Void>> running = new ArrayList<>();
    for (int c = 0; c < 20; c++) {
      Rig first = all.get(c % 5);
      String name = "c" + c + "-";
      Callable<Void> client = () -> {
        Rig.Client to = first.client();
        for (int i = 0; stopped.get() < 4 || i < 50; i++) {
          String answer;
          try {
            answer = to.ask(Rig.get(name + i, ""));
          } catch (IOException e) {
            answer = null; // Its connection was closed before the request was read.
          }
          if (answer == null) {
            unanswered.add(name + i);
            to.close();
            to = stays.client();
          } else {
            answered.incrementAndGet();
            boolean ours = answer.startsWith("HTTP/1.1 200") && answer.endsWith(name + i);
            boolean refused = answer.startsWith("HTTP/1.1 429") || answer.startsWith("HTTP/1.1 503");
            assertTrue(ours || refused && answer.contains("etry-"), name + i + " got " + answer);
          }
          loaded.countDown();
        }
        to.close();
        return null;
      };
      running.add(threads.submit(client));
    }
    assertTrue(loaded.await(Rig.LIMIT_S, TimeUnit.SECONDS));
    for (int i = 0; i < 4; i++) {
      Rig stops = all.get(i);
      running.add(threads.submit(() -> {
        stops.server.stop();
        stopped.incrementAndGet();
        return null;
      }));
    }
    await(running);
    assertTrue(answered.get() > 1000, "answered " + answered);
    for (String id : unanswered) {
      assertFalse(begun.containsKey(id), id + " has run and was never answered");
    }
    begun.forEach((id, times) -> assertEquals(1, times, id + " was begun so often"));
  }
}
