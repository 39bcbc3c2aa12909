package cloverpulley.serve;

import static org.junit.jupiter.api.Assertions.assertNotNull;

import cloverpulley.Balancer;
import cloverpulley.Balancer.Action;
import cloverpulley.Balancer.EndpointUpdate;
import cloverpulley.Balancer.Event;
import cloverpulley.Balancer.Outcome;
import cloverpulley.Balancer.Request;
import cloverpulley.Balancer.Send;
import cloverpulley.Reason;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** A balancer on ephemeral loopback ports, with a scripted or the real decision module, and clients for it. */
final class Rig implements AutoCloseable {

  /** A generous timeout for expected events; no test passes because it expires. */
  static final int LIMIT_S = 60;

  private static final String CLASS = "{\"name\":\"%s\",\"effect\":\"%s\",\"dedup-scope\":\"cell\","
      + "\"window-ns\":2000000000,\"aim-ns\":20000000000,\"deadline-ns\":40000000000}";

  /** A decision module that follows a script and records its events. */
  static final class Script implements Balancer {

    interface Step {
      void on(Event event, Consumer<Action> out);
    }

    final BlockingQueue<Event> events = new LinkedBlockingQueue<>();
    final List<Long> upstreams = new ArrayList<>();
    /** The time of the event that is being handled. */
    long now;
    private final Step step;

    Script(Step step) {
      this.step = step;
    }

    /** Sends every request to the first upstream, and fails it if that upstream does not serve it. */
    Script(long timeoutNanos) {
      this.step = (event, out) -> {
        if (event instanceof Request r) {
          out.accept(new Send(r.id(), upstreams.get(0), timeoutNanos));
        } else if (event instanceof Outcome o && !o.finished()) {
          out.accept(new Fail(o.id(), Reason.NO_ROOM));
        }
      };
    }

    @Override
    public void handle(long nowNanos, Event event, Consumer<Action> out) {
      if (event instanceof EndpointUpdate update) {
        update.endpoints().stream().map(Endpoint::upstream).filter(u -> !upstreams.contains(u)).forEach(upstreams::add);
      }
      events.add(event);
      now = nowNanos;
      step.on(event, out);
    }

    /** Waits for the next event of a type and discards all others before it. */
    <T extends Event> T next(Class<T> kind) throws InterruptedException {
      while (true) {
        Event event = events.poll(LIMIT_S, TimeUnit.SECONDS);
        assertNotNull(event, "no " + kind.getSimpleName() + " received");
        if (kind.isInstance(event)) {
          return kind.cast(event);
        }
      }
    }
  }

  /** A client connection. */
  static final class Client implements AutoCloseable {

    final Socket socket;
    private final InputStream in;

    Client(Server server) throws IOException {
      socket = new Socket(InetAddress.getLoopbackAddress(), server.address().getPort());
      socket.setSoTimeout(LIMIT_S * 1000);
      in = new BufferedInputStream(socket.getInputStream());
    }

    Client write(String text) throws IOException {
      socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
      socket.getOutputStream().flush();
      return this;
    }

    /** Reads the next response; null once the balancer has closed the connection. */
    String answer() throws IOException {
      return StubServer.Message.read(in);
    }

    String ask(String text) throws IOException {
      return write(text).answer();
    }

    @Override
    public void close() throws IOException {
      socket.close();
    }
  }

  final Server server;

  Rig(Config config, Balancer module) throws IOException {
    server = Server.start(config, n -> module);
  }

  Rig(Config config) {
    server = Server.start(config);
  }

  Client client() throws IOException {
    return new Client(server);
  }

  @Override
  public void close() {
    server.shutDown();
  }

  /** A request of the safe class with further header lines, each ended by CRLF. */
  static String get(String id, String lines) {
    return "GET /api?q=1 HTTP/1.1\r\nHost: backend.local\r\nX-Trace-Id: " + id + "\r\nX-Qos: safe\r\n" + lines + "\r\n";
  }

  static String post(String id, String lines, String body) {
    return "POST /api HTTP/1.1\r\nHost: backend.local\r\nX-Trace-Id: " + id + "\r\nX-Qos: keyed\r\n" + lines
        + "Content-Length: " + body.length() + "\r\n\r\n" + body;
  }

  static String member(String id, String address, String phase) {
    return "{\"id\":\"" + id + "\",\"host_port\":\"" + address + "\",\"locality\":\"a\",\"flavor\":\"m\",\"cell\":0,"
        + "\"phase\":\"" + phase + "\",\"size\":1.0,\"up_since_ms\":0}";
  }

  static String list(int revision, boolean complete, String... members) {
    return "{\"revision\":" + revision + ",\"complete\":" + complete + ",\"members\":[" + String.join(",", members)
        + "]}";
  }

  static Config config(String discovery, String known) throws IOException {
    return config(discovery, known, "on_request", 200, 1024, "");
  }

  static Config config(String discovery, String known, String mode, int connectTimeoutMillis, int sockets, String more)
      throws IOException {
    return Config.parse(text(discovery, known, mode, connectTimeoutMillis, sockets, more), Map.of());
  }

  static String text(String discovery, String known, String mode, int connectTimeoutMillis, int sockets, String more) {
    return "{\"name\":\"n0\",\"listen\":\"127.0.0.1:0\",\"discovery\":\"" + discovery + "\","
        + "\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":" + sockets + "},"
        + more + "\"known\":" + known + ",\"settings\":{\"zone\":\"a\",\"me\":0,\"registry-mode\":\"" + mode + "\","
        + "\"categories\":[" + String.format(CLASS, "safe", "idempotent") + ","
        + String.format(CLASS, "keyed", "deduplicated") + "],\"limits\":{\"cancel\":true,\"probing\":true,"
        + "\"peers\":true,\"second-copies\":true,\"retry-after\":true,\"max-retry-after-ns\":2000000000,"
        + "\"max-attempts\":6,\"connect-timeout-ns\":" + connectTimeoutMillis * 1_000_000L + "},"
        + "\"report\":{\"how\":\"answers\"}}}";
  }
}
