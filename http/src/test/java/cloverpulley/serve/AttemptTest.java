package cloverpulley.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cloverpulley.Balancer.AnswerStalled;
import cloverpulley.Balancer.Cancel;
import cloverpulley.Balancer.ClientGone;
import cloverpulley.Balancer.CloseIdle;
import cloverpulley.Balancer.EndpointUpdate;
import cloverpulley.Balancer.Fail;
import cloverpulley.Balancer.ListKind;
import cloverpulley.Balancer.Outcome;
import cloverpulley.Balancer.Probe;
import cloverpulley.Balancer.ProbeResult;
import cloverpulley.Balancer.Request;
import cloverpulley.Balancer.Send;
import cloverpulley.Balancer.Status;
import cloverpulley.Balancer.UpstreamSetOffline;
import cloverpulley.Balancer.Watch;
import cloverpulley.Reason;
import cloverpulley.serve.Rig.Client;
import cloverpulley.serve.Rig.Script;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Outcomes of attempts, depending on what the upstream does on its connection. */
@Timeout(value = 2 * Rig.LIMIT_S, unit = TimeUnit.SECONDS)
class AttemptTest {

  private static final String UNREACHABLE_DISCOVERY = "127.0.0.1:1";
  private static final long ATTEMPT_TIMEOUT = TimeUnit.SECONDS.toNanos(30);

  private static Config singleUpstream(String upstream) throws IOException {
    return Rig.config(UNREACHABLE_DISCOVERY, Rig.list(1, true, Rig.member("s-1", upstream, "ready")));
  }

  /** An upstream whose host does not respond: its accept queue is full, so that new connections are never established. */
  static final class UnresponsiveServer implements AutoCloseable {
    private final ServerSocket listener;
    private final List<Socket> connections = new ArrayList<>();

    UnresponsiveServer() throws IOException {
      this(new ServerSocket(0, 1, InetAddress.getLoopbackAddress()));
    }

    /** The same for a given listener with a short accept queue. */
    UnresponsiveServer(ServerSocket listener) throws IOException {
      this.listener = listener;
      while (true) {
        Socket socket = new Socket();
        connections.add(socket);
        try {
          socket.connect(listener.getLocalSocketAddress(), 300);
        } catch (SocketTimeoutException e) {
          return;
        }
      }
    }

    String address() {
      return "127.0.0.1:" + listener.getLocalPort();
    }

    /** Accepts and closes the connections that fill the queue, and returns the first one from the balancer, which was pending until then. */
    Socket acceptPending() throws IOException {
      listener.setSoTimeout((int) TimeUnit.SECONDS.toMillis(Rig.LIMIT_S));
      while (true) {
        Socket accepted = listener.accept();
        if (connections.stream().noneMatch(w -> w.getLocalPort() == accepted.getPort())) {
          return accepted;
        }
        accepted.close();
      }
    }

    @Override
    public void close() throws IOException {
      for (Socket socket : connections) {
        socket.close();
      }
      listener.close();
    }
  }

  @ParameterizedTest
  @CsvSource(delimiter = '|', value = {
    "HTTP/1.1 200 OK~Content-Length: 2~~ok | SERVED",
    "HTTP/1.1 200 OK~Transfer-Encoding: chunked~~2~ok~0~~ | SERVED",
    "HTTP/1.1 100 Continue~~HTTP/1.1 200 OK~Content-Length: 2~~ok | SERVED",
    "HTTP/1.1 500 Internal Server Error~Content-Length: 0~~ | ERROR",
    "HTTP/1.1 503 Service Unavailable~Content-Length: 0~~ | ERROR",
    "HTTP/1.1 503 Service Unavailable~X-Never-Ran: 1~Content-Length: 0~~ | FULL",
    "HTTP/1.1 504 Gateway Timeout~X-Never-Ran: 1~Content-Length: 0~~ | FULL",
    "HTTP/1.1 200 OK~Content-Length: 20~~cut short | RESET",
    "HTTP/1.1 200 OK~Transfer-Encoding: chunked~~9~cut | RESET",
    "HTTP/1.1 200 OK~~ok | SERVED",
    "HTTP/1.1 200 OK~no colon here~Content-Length: 2~~ok | RESET",
    "HTTP/1.1 200 OK~Name : 1~Content-Length: 2~~ok | RESET",
    "HTTP/1.1 200 OK~Content-Length: 2~Content-Length: 3~~ok | RESET",
    "HTTP/1.1 200 OK~Content-Length: -2~~ok | RESET",
    "HTTP/1.1 200 OK~Content-Length: 2~Transfer-Encoding: chunked~~2~ok~0~~ | RESET",
    "HTTP/1.1 200 OK~Content-Length: 65537~~ | RESET",
    "garbage~~ | RESET",
    "'' | RESET"})
  void responseDeterminesAttemptOutcome(String rawResponse, Status status) throws Exception {
    Script module = new Script(ATTEMPT_TIMEOUT);
    try (StubServer upstream = new StubServer(c -> {
      c.next();
      c.write(rawResponse.replace("~", "\r\n"));
    }); Rig rig = new Rig(singleUpstream(upstream.address()), module); Client client = rig.client()) {
      String response = client.ask(Rig.get("t", ""));
      Outcome outcome = module.next(Outcome.class);
      assertEquals(status, outcome.status());
      assertEquals(status == Status.SERVED, outcome.finished());
      assertTrue(status == Status.SERVED ? response.startsWith("HTTP/1.1 200 ") && response.endsWith("\r\n\r\nok")
          : response.startsWith("HTTP/1.1 502 "), response);
    }
  }

  /** What can't become a good response ends its attempt, though the connection stays open: the client must not wait until its deadline. */
  @ParameterizedTest
  @CsvSource(delimiter = '|', value = {
    "noise without a line's end | RESET",
    "HTTP/1.1 200 OK~Content-Length: 3000000000~~and it keeps coming | RESET",
    "HTTP/1.1 500 Oh~~no length and no end | ERROR"})
  void badResponseOnOpenConnectionEndsAttempt(String rawResponse, Status status) throws Exception {
    Script module = new Script(ATTEMPT_TIMEOUT);
    try (StubServer upstream = stalling(rawResponse); Rig rig = new Rig(singleUpstream(upstream.address()), module); Client client = rig.client()) {
      assertTrue(client.ask(Rig.get("t", "")).startsWith("HTTP/1.1 502 "));
      assertEquals(status, module.next(Outcome.class).status());
      assertTrue(upstream.connections.take().ends(), "the connection is closed");
    }
  }

  /** What may yet become a good response is left to the module, which learns of the pause long before the client's deadline. */
  @ParameterizedTest
  @ValueSource(strings = {
    "HTTP/1.1 200 OK~X-Endless: ",
    "HTTP/1.1 200 OK~Content-Length: 20~~short",
    "HTTP/1.1 200 OK~Transfer-Encoding: chunked~~5~short"})
  void moduleDecidesOnIncompleteResponseOnOpenConnection(String rawResponse) throws Exception {
    Script[] module = new Script[1];
    module[0] = new Script((event, out) -> {
      if (event instanceof Request r) {
        out.accept(new Send(r.id(), module[0].upstreams.get(0), ATTEMPT_TIMEOUT));
      } else if (event instanceof AnswerStalled s) {
        out.accept(new Fail(s.id(), Reason.MAY_HAVE_RUN));
        out.accept(new Cancel(s.id(), s.attempt()));
      }
    });
    try (StubServer upstream = stalling(rawResponse); Rig rig = new Rig(singleUpstream(upstream.address()), module[0]); Client client = rig.client()) {
      assertTrue(client.ask(Rig.get("t", "")).startsWith("HTTP/1.1 502 "));
      assertEquals(Status.CANCELLED, module[0].next(Outcome.class).status());
      assertTrue(upstream.connections.take().ends(), "the connection is closed");
    }
  }

  /** An upstream that writes this to each request, and then nothing more. */
  private static StubServer stalling(String rawResponse) throws IOException {
    return new StubServer(c -> {
      c.next();
      c.write(rawResponse.replace("~", "\r\n"));
      new CountDownLatch(1).await();
    });
  }

  @Test
  void endlessInformationalResponsesResetAttempt() throws Exception {
    Script module = new Script(ATTEMPT_TIMEOUT);
    try (StubServer upstream = StubServer.answering("HTTP/1.1 103 Early Hints\r\n\r\n".repeat(100));
        Rig rig = new Rig(singleUpstream(upstream.address()), module); Client client = rig.client()) {
      client.ask(Rig.get("t", ""));
      assertEquals(Status.RESET, module.next(Outcome.class).status());
    }
  }

  /** Bytes after the end of a response must not be taken for the response to the next request on that connection. */
  @ParameterizedTest
  @CsvSource(delimiter = '|', value = {"true", "false"})
  void surplusBytesAreNotTakenForNextResponse(boolean sameWrite) throws Exception {
    Script module = new Script(ATTEMPT_TIMEOUT);
    String surplus = StubServer.ok("surplus");
    try (StubServer upstream = new StubServer(c -> {
      String request = c.next();
      String response = StubServer.ok(request.contains("X-Trace-Id: t1") ? "first" : "second");
      c.write(sameWrite ? response + surplus : response);
      if (!sameWrite) {
        c.write(surplus);
      }
      c.next();
    }); Rig rig = new Rig(singleUpstream(upstream.address()), module); Client client = rig.client()) {
      assertTrue(client.ask(Rig.get("t1", "")).endsWith("\r\n\r\nfirst"));
      assertTrue(upstream.connections.take().awaitEnd(), "the balancer closes the connection");
      assertTrue(client.ask(Rig.get("t2", "")).endsWith("\r\n\r\nsecond"));
    }
  }

  /** Guards against a second copy over a long link that is taken for the response to the request it crosses (review/6). */
  @Test
  void secondCopyThatCrossesTheNextRequestIsNotTakenForItsResponse() throws Exception {
    long linkNanos = TimeUnit.MILLISECONDS.toNanos(40);
    long restNanos = TimeUnit.MILLISECONDS.toNanos(12);
    try (StubServer upstream = new StubServer(c -> {
      String answer = "";
      long answeredAt = 0;
      for (String request = c.next(); request != null; request = c.next()) {
        boolean crosses = !answer.isEmpty() && System.nanoTime() - answeredAt < linkNanos;
        c.write(crosses ? answer : ""); // Sent before the request came to the upstream, at the other end of the link.
        LockSupport.parkNanos(linkNanos);
        answer = StubServer.ok(request.replaceAll("(?s).*X-Trace-Id: (\\w+).*", "$1"));
        c.write(answer);
        answeredAt = System.nanoTime();
      }
    }); Rig rig = new Rig(singleUpstream(upstream.address()), new Script(ATTEMPT_TIMEOUT)); Client client = rig.client()) {
      for (int i = 0; i < 5; i++) {
        String answer = client.ask(Rig.get("t" + i, ""));
        assertTrue(answer.endsWith("\r\n\r\nt" + i), answer);
        LockSupport.parkNanos(restNanos);
      }
    }
  }

  /** The beginning of a second response right behind the first, cut off anywhere, would otherwise wait in the decoder for the next request. */
  @ParameterizedTest
  @ValueSource(ints = {1, 9, 17, 18, 30, 37, 39, 43})
  void beginningOfSecondResponseIsNotTakenForNextResponse(int length) throws Exception {
    String surplus = StubServer.ok("surplus");
    try (StubServer upstream = new StubServer(c -> {
      for (String request = c.next(); request != null; request = c.next()) {
        c.write(request.contains("X-Trace-Id: t-first") ? StubServer.ok("first") + surplus.substring(0, length) : StubServer.ok("next"));
      }
    }); Rig rig = new Rig(singleUpstream(upstream.address()), new Script(ATTEMPT_TIMEOUT)); Client client = rig.client()) {
      assertTrue(client.ask(Rig.get("t-first", "")).endsWith("\r\n\r\nfirst"));
      StubServer.Connection first = upstream.connections.take();
      for (int i = 0; !first.hasEnded() || i < 100; i++) {
        assertTrue(client.ask(Rig.get("t" + i, "")).endsWith("\r\n\r\nnext"));
      }
    }
  }

  /** An informational response and what follows it in the same read must not break off the final response, wherever the reads are cut. */
  @ParameterizedTest
  @ValueSource(ints = {0, 1, 5, 20, 60, 100_000})
  void informationalResponseIsFollowedByFinalResponse(int lengthBehind) throws Exception {
    String response = StubServer.ok("x".repeat(200_000));
    CountDownLatch begun = new CountDownLatch(1);
    try (StubServer upstream = new StubServer(c -> {
      c.next();
      c.write("HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + response.substring(0, lengthBehind));
      begun.await();
      c.write(response.substring(lengthBehind));
      c.next();
    }); Rig rig = new Rig(singleUpstream(upstream.address()), new Script(ATTEMPT_TIMEOUT)); Client client = rig.client();
        Client other = rig.client()) {
      client.write(Rig.get("t", ""));
      assertNotNull(upstream.requests.poll(Rig.LIMIT_S, TimeUnit.SECONDS));
      for (int i = 0; i < 20; i++) {
        other.ask("GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n"); // Iterations of the loop, in which it reads what the upstream has written.
      }
      begun.countDown();
      String answer = client.answer();
      assertTrue(answer.startsWith("HTTP/1.1 200 ") && answer.endsWith("x".repeat(1000)), () -> answer.substring(0, 100));
    }
  }

  /** A connection with unread input must not be reused, even before the event loop has read it. */
  @Test
  void unreadInputIsDetected() throws Exception {
    try (ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
      try {
        UpstreamSocket socket = (UpstreamSocket) new Bootstrap().group(group).channelFactory(UpstreamSocket::new)
            .option(ChannelOption.AUTO_READ, false).handler(new ChannelInboundHandlerAdapter())
            .connect(listener.getLocalSocketAddress()).sync().channel();
        try (Socket peer = listener.accept()) {
          assertTrue(socket.isInputEmpty());
          peer.getOutputStream().write(1);
          while (socket.isInputEmpty()) {
            Thread.onSpinWait();
          }
        }
      } finally {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
      }
    }
  }

  @Test
  void refusedConnectionIsConnectFailed() throws Exception {
    String closed;
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      closed = "127.0.0.1:" + socket.getLocalPort();
    }
    Script module = new Script(ATTEMPT_TIMEOUT);
    try (Rig rig = new Rig(singleUpstream(closed), module); Client client = rig.client()) {
      client.ask(Rig.get("t", ""));
      assertEquals(Status.CONNECT_FAILED, module.next(Outcome.class).status());
    }
  }

  @Test
  void connectToUnresponsiveServerTimesOut() throws Exception {
    Script module = new Script(ATTEMPT_TIMEOUT);
    try (UnresponsiveServer upstream = new UnresponsiveServer(); Rig rig = new Rig(singleUpstream(upstream.address()), module);
        Client client = rig.client()) {
      client.ask(Rig.get("t", ""));
      assertEquals(Status.CONNECT_FAILED, module.next(Outcome.class).status());
    }
  }

  @Test
  void attemptTimeoutIncludesConnecting() throws Exception {
    Script module = new Script(TimeUnit.MILLISECONDS.toNanos(100));
    try (UnresponsiveServer upstream = new UnresponsiveServer(); Rig rig = new Rig(Rig.config(UNREACHABLE_DISCOVERY, Rig.list(1, true,
        Rig.member("s-1", upstream.address(), "ready")), "on_request", 1000 * Rig.LIMIT_S, 1024, ""), module);
        Client client = rig.client()) {
      client.ask(Rig.get("t", ""));
      assertEquals(Status.CONNECT_FAILED, module.next(Outcome.class).status(), "the request was never written");
    }
  }

  @Test
  void connectingAttemptIsNotSentOnceUpstreamDrains() throws Exception {
    CountDownLatch drain = new CountDownLatch(1);
    try (UnresponsiveServer upstream = new UnresponsiveServer(); StubServer discovery = new StubServer(c -> {
      c.next();
      drain.await();
      c.write(DiscoveryFixture.watch(Rig.list(2, false, Rig.member("s-1", upstream.address(), "draining"))));
      c.next();
    })) {
      Script module = new Script((event, out) -> {
        if (event instanceof EndpointUpdate n && n.kind() == ListKind.CACHED) {
          out.accept(new Watch(true));
        } else if (event instanceof Request r) {
          out.accept(new Send(r.id(), DiscoveryFixture.number("s-1"), 0));
        } else if (event instanceof Outcome outcome) {
          out.accept(new Fail(outcome.id(), Reason.NO_ROOM));
        }
      });
      Config config = Rig.config(discovery.address(), Rig.list(1, true, Rig.member("s-1", upstream.address(), "ready")),
          "on_request", 1000 * Rig.LIMIT_S, 1024, "");
      try (Rig rig = new Rig(config, module); Client client = rig.client()) {
        client.write(Rig.get("t", ""));
        module.next(Request.class);
        drain.countDown();
        assertEquals(Status.NOT_SENT, module.next(Outcome.class).status());
      }
    }
  }

  /**
   * The fleet has marked the upstream offline and connecting attempts have been cancelled, but the module has not been notified yet and
   * starts another attempt. It must not be written.
   */
  @Test
  void attemptStartedBetweenSetOfflineAndNotificationIsNotSent() throws Exception {
    String[] requestId = new String[1];
    Script module = new Script((event, out) -> {
      if (event instanceof Request r) {
        requestId[0] = r.id();
      } else if (event instanceof UpstreamSetOffline) {
        out.accept(new Send(requestId[0], DiscoveryFixture.number("s-1"), 0));
      } else if (event instanceof Outcome outcome && !outcome.finished()) {
        out.accept(new Fail(outcome.id(), Reason.NO_ROOM));
      }
    });
    try (StubServer upstream = StubServer.answering(StubServer.ok("x")); Rig rig = new Rig(singleUpstream(upstream.address()), module);
        Client client = rig.client()) {
      client.write(Rig.get("t", ""));
      module.next(Request.class);
      rig.server.runOnLoop(engine -> engine.setOffline("s-1", 0));
      assertEquals(Status.NOT_SENT, module.next(Outcome.class).status());
      assertTrue(client.answer().startsWith("HTTP/1.1 502 "));
      assertTrue(upstream.requests.isEmpty(), "the upstream receives nothing");
    }
  }

  @Test
  void connectingAttemptIsNotSentOnceClientIsGone() throws Exception {
    Script module = cancelOnClientGone();
    try (UnresponsiveServer upstream = new UnresponsiveServer(); Rig rig = new Rig(Rig.config(UNREACHABLE_DISCOVERY, Rig.list(1, true,
        Rig.member("s-1", upstream.address(), "ready")), "on_request", 1000 * Rig.LIMIT_S, 1024, ""), module)) {
      try (Client client = rig.client()) {
        client.write(Rig.get("t", ""));
        module.next(Request.class);
      }
      module.next(ClientGone.class);
      assertEquals(Status.NOT_SENT, module.next(Outcome.class).status());
    }
  }

  /** Sends every request, and cancels it when its client is gone. */
  private static Script cancelOnClientGone() {
    return new Script((event, out) -> {
      if (event instanceof Request r) {
        out.accept(new Send(r.id(), DiscoveryFixture.number("s-1"), 0));
      } else if (event instanceof ClientGone g) {
        out.accept(new Cancel(g.id(), 0));
      }
    });
  }

  @Test
  void cancelledAttemptClosesConnection() throws Exception {
    Script module = cancelOnClientGone();
    try (StubServer upstream = new StubServer(c -> {
      c.next();
      new CountDownLatch(1).await(); // Neither responds nor closes; only the balancer can.
    }); Rig rig = new Rig(singleUpstream(upstream.address()), module)) {
      StubServer.Connection connection;
      try (Client client = rig.client()) {
        client.write(Rig.get("t", ""));
        assertNotNull(upstream.requests.poll(Rig.LIMIT_S, TimeUnit.SECONDS));
        connection = upstream.connections.take();
      }
      assertEquals(Status.CANCELLED, module.next(Outcome.class).status());
      assertTrue(connection.ends());
    }
  }

  @Test
  void timedOutAttemptClosesConnectionAndDropsLateResponse() throws Exception {
    Script module = new Script(TimeUnit.MILLISECONDS.toNanos(200));
    CountDownLatch late = new CountDownLatch(1);
    try (StubServer upstream = new StubServer(c -> {
      if (c.next().contains("X-Trace-Id: slow")) {
        late.await();
        c.write(StubServer.ok("late"));
      } else {
        c.write(StubServer.ok("fresh"));
      }
    }); Rig rig = new Rig(singleUpstream(upstream.address()), module); Client client = rig.client()) {
      assertTrue(client.ask(Rig.get("slow", "")).startsWith("HTTP/1.1 502 "));
      assertEquals(Status.TIMEOUT, module.next(Outcome.class).status());
      StubServer.Connection slow = upstream.connections.take();
      assertTrue(slow.ends(), "closed before a response");
      late.countDown();
      assertTrue(client.ask(Rig.get("next", "")).endsWith("\r\n\r\nfresh"));
      assertEquals(1, upstream.connections.size(), "on a new connection");
      assertEquals(Status.SERVED, module.next(Outcome.class).status());
    }
  }

  @Test
  void connectionClosedByUpstreamIsNotReused() throws Exception {
    Script module = new Script(ATTEMPT_TIMEOUT);
    try (StubServer upstream = new StubServer(c -> {
      c.next();
      c.write(StubServer.ok("x"));
    }); Rig rig = new Rig(singleUpstream(upstream.address()), module); Client client = rig.client()) {
      client.ask(Rig.get("t1", ""));
      assertTrue(upstream.connections.take().ends());
      client.ask(Rig.get("t2", ""));
      assertEquals(Status.SERVED, module.next(Outcome.class).status());
      assertEquals(Status.SERVED, module.next(Outcome.class).status());
    }
  }

  @Test
  void idleConnectionsAreClosedBeforeUpstreamIdleTimeout() throws Exception {
    Script module = new Script(ATTEMPT_TIMEOUT);
    try (StubServer upstream = StubServer.answering(StubServer.ok("x")); Rig rig = new Rig(singleUpstream(upstream.address()), module);
        Client client = rig.client()) {
      client.ask(Rig.get("t1", ""));
      StubServer.Connection connection = upstream.connections.take();
      upstream.requests.take();
      assertNull(upstream.requests.poll(Rig.LIMIT_S, TimeUnit.MILLISECONDS));
      assertTrue(connection.awaitEnd(), "closed without action by the upstream");
    }
  }

  @Test
  void attemptsBeyondLimitAreNotSent() throws Exception {
    Script module = new Script((event, out) -> {
      if (event instanceof Request r) {
        out.accept(new Send(r.id(), DiscoveryFixture.number("s-1"), 0));
      } else if (event instanceof Outcome outcome && outcome.attempt() < 6) {
        out.accept(new Send(outcome.id(), DiscoveryFixture.number("s-1"), 0));
      } else if (event instanceof Outcome outcome) {
        out.accept(new Fail(outcome.id(), Reason.NO_ROOM));
      }
    });
    try (StubServer upstream = StubServer.answering("HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n");
        Rig rig = new Rig(singleUpstream(upstream.address()), module); Client client = rig.client()) {
      client.ask(Rig.get("t", ""));
      for (int i = 0; i < 6; i++) {
        assertEquals(Status.ERROR, module.next(Outcome.class).status());
      }
      assertEquals(Status.NOT_SENT, module.next(Outcome.class).status());
      assertEquals(6, upstream.requests.size());
    }
  }

  @Test
  void loadReportOfResponseReachesModule() throws Exception {
    Script module = new Script(ATTEMPT_TIMEOUT);
    try (StubServer upstream = StubServer.answering("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n"
        + "Endpoint-Load-Metrics: TEXT inflight=7, queue=odd, util=0.61\r\n\r\n");
        Rig rig = new Rig(singleUpstream(upstream.address()), module); Client client = rig.client()) {
      client.ask(Rig.get("t", ""));
      assertEquals(Map.of("inflight", 7.0, "util", 0.61), module.next(Outcome.class).load());
    }
  }

  @Test
  void probesRequestHealthWithoutTraceId() throws Exception {
    Script module = new Script((event, out) -> {
      if (event instanceof Request r) {
        out.accept(new Probe(DiscoveryFixture.number("s-1")));
        out.accept(new CloseIdle(DiscoveryFixture.number("s-1")));
        out.accept(new Fail(r.id(), Reason.NO_ROOM));
      }
    });
    try (StubServer upstream = StubServer.answering(StubServer.ok("x")); Rig rig = new Rig(singleUpstream(upstream.address()), module);
        Client client = rig.client()) {
      client.ask(Rig.get("t", ""));
      assertEquals(Status.SERVED, module.next(ProbeResult.class).status());
      String probe = upstream.requests.take();
      assertTrue(probe.startsWith("GET /healthz HTTP/1.1\r\n") && !probe.contains("X-Trace-Id"), probe);
      client.ask(Rig.get("t2", ""));
      assertTrue(upstream.connections.take().awaitEnd(), "CloseIdle closes its idle connections");
    }
  }

  @Test
  void socketBudgetClosesIdleConnectionsThenFailsAttempts() throws Exception {
    Script module = new Script((event, out) -> {
      if (event instanceof Request r) {
        out.accept(new Send(r.id(), DiscoveryFixture.number("true".equals(r.tenant()) ? "s-2" : "s-1"), 0));
      } else if (event instanceof Outcome outcome && !outcome.finished()) {
        out.accept(new Fail(outcome.id(), Reason.NO_ROOM));
      }
    });
    CountDownLatch done = new CountDownLatch(1);
    try (StubServer idle = StubServer.answering(StubServer.ok("x")); StubServer busy = new StubServer(c -> {
      c.next();
      done.await();
    }); Rig rig = new Rig(Rig.config(UNREACHABLE_DISCOVERY, Rig.list(1, true, Rig.member("s-1", idle.address(), "ready"),
        Rig.member("s-2", busy.address(), "ready")), "on_request", 200, 62, ""), module);
        Client first = rig.client(); Client second = rig.client(); Client third = rig.client()) {
      // The budget leaves six sockets: three for clients, three for upstreams.
      first.ask(Rig.get("t1", ""));
      assertEquals(Status.SERVED, module.next(Outcome.class).status());
      List<Client> clients = List.of(second, third, first);
      for (int i = 0; i < 3; i++) {
        clients.get(i).write(Rig.get("busy" + i, "X-Customer: true\r\n"));
        assertNotNull(busy.requests.poll(Rig.LIMIT_S, TimeUnit.SECONDS), "the idle connection was closed for the third attempt");
      }
      try (Client last = rig.client()) {
        last.ask(Rig.get("t4", "X-Customer: true\r\n"));
      }
      assertEquals(Status.CONNECT_FAILED, module.next(Outcome.class).status(), "no idle connection is left to close");
      done.countDown();
    }
  }
}
