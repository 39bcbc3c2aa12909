package cloverpulley.standins.soak;

import cloverpulley.standins.StandInUpstream;
import cloverpulley.standins.StandInUpstream.Answer;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.FullHttpRequest;
import java.util.Queue;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ThreadLocalRandom;

/** A server behind the balancers under one id, which may be restarted; keeps what it was sent. */
final class SoakServer {

  /**
   * A request that has come whole.
   *
   * @param node the balancer that its client sent it to
   * @param expiresMillis the time that the balancer told
   * @param ran whether it was begun, and not turned away
   */
  record Received(String server, String id, int node, long atNanos, long expiresMillis, boolean ran) {}

  final String id;
  final Queue<Received> received = new ConcurrentLinkedQueue<>();
  private final EventLoopGroup group;
  private final int slowestMillis;
  private final int turnedAwayParts;
  private StandInUpstream server;
  volatile boolean hangs;

  SoakServer(String id, EventLoopGroup group, SplittableRandom random) {
    this.id = id;
    this.group = group;
    slowestMillis = random.nextInt(10, 60);
    turnedAwayParts = random.nextInt(0, 20);
    start();
  }

  /** Starts anew, at another port. */
  void start() {
    hangs = false;
    server = new StandInUpstream(group, this::answer);
  }

  /** Dies. */
  void stop() {
    server.close();
  }

  String address() {
    return server.address();
  }

  private Answer answer(FullHttpRequest request) {
    ThreadLocalRandom random = ThreadLocalRandom.current();
    boolean full = !hangs && random.nextInt(1000) < turnedAwayParts;
    String requestId = request.headers().get("x-trace-id", "");
    String expires = request.headers().get("x-expires-in-ms", "0");
    received.add(new Received(id, requestId, SoakClients.nodeOf(requestId), System.nanoTime(), Long.parseLong(expires), !full));
    if (hangs) {
      return Answer.ok(60_000);
    }
    return full ? Answer.full() : random.nextInt(1000) < 5 ? Answer.status(500) : Answer.ok(random.nextInt(2, slowestMillis));
  }
}
