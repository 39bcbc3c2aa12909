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

/** Several balancers in front of the same upstreams, over loopback sockets. */
@Timeout(value = 2 * Rig.LIMIT_S, unit = TimeUnit.SECONDS)
class MultipleBalancersTest {

  private static final String NEVER_RAN_RESPONSE = "HTTP/1.1 503 Service Unavailable\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n";

  private final ExecutorService executor = Executors.newCachedThreadPool();
  private final List<AutoCloseable> resources = new ArrayList<>();
  /** How often each request was started, by trace id. */
  private final Map<String, Integer> startsById = new ConcurrentHashMap<>();

  @AfterEach
  void close() throws Exception {
    for (AutoCloseable c : resources) {
      c.close();
    }
    executor.shutdownNow();
  }

  private <T extends AutoCloseable> T closeAfterTest(T resource) {
    resources.add(resource);
    return resource;
  }

  private static String traceId(String request) {
    return request.replaceAll("(?s).*X-Trace-Id: (\\S+).*", "$1");
  }

  /** An upstream that serves up to {@code maxConnections} connections and rejects the first request on every further one. */
  private StubServer upstream(int maxConnections, AtomicInteger rejections) throws IOException {
    AtomicInteger connections = new AtomicInteger();
    return closeAfterTest(new StubServer(c -> {
      boolean hasCapacity = connections.incrementAndGet() <= maxConnections;
      try {
        for (String request = c.next(); request != null; request = c.next()) {
          if (!hasCapacity) {
            rejections.incrementAndGet();
            c.write(NEVER_RAN_RESPONSE);
            return;
          }
          startsById.merge(traceId(request), 1, Integer::sum);
          c.write(StubServer.ok(traceId(request)));
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
      all.add(closeAfterTest(new Rig(Rig.config("127.0.0.1:1", Rig.list(41, true, members)))));
    }
    return all;
  }

  private static void awaitAll(List<Future<Void>> running) throws Exception {
    for (Future<Void> f : running) {
      f.get(Rig.LIMIT_S, TimeUnit.SECONDS);
    }
  }

  /**
   * Idle connections of one balancer use up the connection limit for the others. Rejected requests are served by another upstream, no
   * client is rejected while there is capacity, and an upstream at its limit is not flooded with attempts.
   */
  @Test
  void connectionLimitedUpstreamsServeAllBalancers() throws Exception {
    AtomicInteger rejections = new AtomicInteger();
    AtomicInteger served = new AtomicInteger();
    StubServer limitedUpstream = upstream(2, rejections);
    StubServer unlimitedUpstream = upstream(Integer.MAX_VALUE, rejections);
    List<Future<Void>> running = new ArrayList<>();
    int requests = 150;
    int clients = 0;
    for (Rig balancer : balancers(4, limitedUpstream, unlimitedUpstream)) {
      for (int c = 0; c < 3; c++) {
        String name = "c" + clients++ + "-";
        running.add(executor.submit(() -> {
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
    awaitAll(running);
    assertTrue(rejections.get() > 0, "the limited upstream never reached its limit, so the test proves nothing");
    assertEquals(clients * requests, served.get(), "rejections by upstreams: " + rejections);
    assertTrue(rejections.get() <= clients * requests * 0.8, "too many rejected attempts: " + rejections + " for " + clients * requests);
  }

  /** Four of five balancers stop under load. Each accepted request gets exactly one response, its own, and requests not accepted never run. */
  @Test
  void balancersStopUnderLoad() throws Exception {
    AtomicInteger unusedRejections = new AtomicInteger();
    List<Rig> all = balancers(5, upstream(Integer.MAX_VALUE, unusedRejections), upstream(Integer.MAX_VALUE, unusedRejections));
    Rig surviving = all.get(4);
    CountDownLatch underLoad = new CountDownLatch(200);
    Set<String> unansweredIds = ConcurrentHashMap.newKeySet();
    AtomicInteger responses = new AtomicInteger();
    AtomicInteger stopped = new AtomicInteger();
    List<Future<Void>> running = new ArrayList<>();
    for (int c = 0; c < 20; c++) {
      Rig first = all.get(c % 5);
      String name = "c" + c + "-";
      Callable<Void> client = () -> {
        Rig.Client connection = first.client();
        for (int i = 0; stopped.get() < 4 || i < 50; i++) {
          String answer;
          try {
            answer = connection.ask(Rig.get(name + i, ""));
          } catch (IOException e) {
            answer = null; // Its connection was closed before the request was read.
          }
          if (answer == null) {
            unansweredIds.add(name + i);
            connection.close();
            connection = surviving.client();
          } else {
            responses.incrementAndGet();
            boolean isOwnResponse = answer.startsWith("HTTP/1.1 200") && answer.endsWith(name + i);
            boolean isRejection = answer.startsWith("HTTP/1.1 429") || answer.startsWith("HTTP/1.1 503");
            assertTrue(isOwnResponse || isRejection && answer.contains("etry-"), name + i + " got " + answer);
          }
          underLoad.countDown();
        }
        connection.close();
        return null;
      };
      running.add(executor.submit(client));
    }
    assertTrue(underLoad.await(Rig.LIMIT_S, TimeUnit.SECONDS));
    for (int i = 0; i < 4; i++) {
      Rig stopping = all.get(i);
      running.add(executor.submit(() -> {
        stopping.server.stop();
        stopped.incrementAndGet();
        return null;
      }));
    }
    awaitAll(running);
    assertTrue(responses.get() > 1000, "responses: " + responses);
    for (String traceId : unansweredIds) {
      assertFalse(startsById.containsKey(traceId), traceId + " has run but got no response");
    }
    startsById.forEach((traceId, times) -> assertEquals(1, times, traceId + " was started more than once"));
  }
}
