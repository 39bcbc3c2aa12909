package cloverpulley.standins.soak;

import cloverpulley.standins.StandInUpstream;
import cloverpulley.standins.StandInUpstream.Answer;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.FullHttpRequest;
import java.util.Queue;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Predicate;

/** An upstream server with a fixed id that can be restarted. Records the requests received. */
final class SoakServer {

  /**
   * A request received completely.
   *
   * @param node number of the balancer that the client sent it to
   * @param expiresMillis the remaining time that the balancer sent in the request
   * @param ran whether it was executed rather than rejected
   */
  record Received(String server, String id, int node, long atNanos, long expiresMillis, boolean ran) {}

  final String id;
  final Queue<Received> received = new ConcurrentLinkedQueue<>();
  private final EventLoopGroup group;
  private final int maxDelayMillis;
  private final int rejectedPerMille;
  private StandInUpstream server;
  volatile boolean hangs;
  /** The requests, by their id, that it leaves without an answer for a minute. */
  volatile Predicate<String> hangsFor = requestId -> false;

  SoakServer(String id, EventLoopGroup group, SplittableRandom random) {
    this.id = id;
    this.group = group;
    maxDelayMillis = random.nextInt(10, 60);
    rejectedPerMille = random.nextInt(0, 20);
    start();
  }

  /** Starts the server on a new port. */
  void start() {
    hangs = false;
    server = new StandInUpstream(group, this::answer);
  }

  /** Simulates a crash, which resets all connections. */
  void stop() {
    server.close();
  }

  String address() {
    return server.address();
  }

  private Answer answer(FullHttpRequest request) {
    ThreadLocalRandom random = ThreadLocalRandom.current();
    boolean full = !hangs && random.nextInt(1000) < rejectedPerMille;
    String requestId = request.headers().get("x-trace-id", "");
    String expires = request.headers().get("x-expires-in-ms", "0");
    received.add(new Received(id, requestId, SoakClients.nodeOf(requestId), System.nanoTime(), Long.parseLong(expires), !full));
    if (hangs || hangsFor.test(requestId)) {
      return Answer.ok(60_000);
    }
    return full ? Answer.full() : random.nextInt(1000) < 5 ? Answer.status(500) : Answer.ok(random.nextInt(2, maxDelayMillis));
  }
}
