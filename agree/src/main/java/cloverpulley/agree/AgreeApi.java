package cloverpulley.agree;

import cloverpulley.outs.Command;
import cloverpulley.outs.Heartbeat;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import io.microraft.exception.CannotReplicateException;
import io.microraft.exception.NotLeaderException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Function;

/**
 * Where a voter is asked, over HTTP/1.1: POST a command, GET the ledger or who has not acted. 421 with Leader: ask that one; 503: nobody
 * leads; 504: not known whether it came through, ask the same again.
 */
public final class AgreeApi implements AutoCloseable {

  static final String PATH = "/v1/outs";
  static final String ACTED = PATH + "/acted";
  static final String VOTERS = PATH + "/voters";
  static final String LEADER = "Leader";
  private static final int MOST_BODY = 64 * 1024;
  private static final int THREADS = 8;
  private static final int MOST_WAITING = 1024;
  private static final int BACKLOG = 512;
  /** A caller waits for 3 s; within this it hears that nothing is known. */
  private static final long ANSWER_MILLIS = 2000;

  static {
    System.setProperty("sun.net.httpserver.nodelay", "true");
    System.setProperty("sun.net.httpserver.maxReqTime", "5");
    System.setProperty("sun.net.httpserver.maxRspTime", "5");
    System.setProperty("sun.net.httpserver.maxIdleConnections", "2000");
  }

  private final Voter voter;
  private final HttpServer server;
  private final ThreadPoolExecutor threads;
  private long madeFor = -1;
  private byte[] made;

  /** Listens at once. */
  public AgreeApi(Voter voter, InetSocketAddress listen) throws IOException {
    this.voter = voter;
    server = HttpServer.create(listen, BACKLOG);
    threads = new ThreadPoolExecutor(THREADS, THREADS, 1, TimeUnit.MINUTES, new ArrayBlockingQueue<>(MOST_WAITING), task -> {
      Thread t = new Thread(task, "ledger api");
      t.setDaemon(true);
      return t;
    }, new ThreadPoolExecutor.CallerRunsPolicy()); // Past it nobody new is heard until there is room.
    server.setExecutor(threads);
    server.createContext(PATH, this::serve);
    server.start();
  }

  public InetSocketAddress address() {
    return server.getAddress();
  }

  private void serve(HttpExchange x) throws IOException {
    try (x) {
      x.getResponseHeaders().set(LEADER, voter.leader());
      Map<String, String> query = query(x.getRequestURI().getRawQuery());
      if (!voter.isActive()) {
        answer(x, 503, "this voter's file could not be written, it takes no part");
      } else if (x.getRequestMethod().equals("POST") && x.getRequestURI().getPath().equals(PATH)) {
        command(x, Command.class, voter::command);
      } else if (x.getRequestMethod().equals("POST") && x.getRequestURI().getPath().equals(VOTERS)) {
        command(x, Replace.class, r -> voter.replace(r.from(), r.to()));
      } else if (!x.getRequestMethod().equals("GET")) {
        answer(x, 405, "GET and POST only");
      } else if (x.getRequestURI().getPath().equals(PATH)) {
        look(x, query);
      } else if (x.getRequestURI().getPath().equals(ACTED)) {
        answer(x, voter.isLeader() ? 200 : 421, Json.write(voter.laggingInstances(number(query.get("index")))));
      } else {
        answer(x, 404, "no such path");
      }
    } catch (IllegalArgumentException e) {
      answer(x, 400, String.valueOf(e.getMessage()));
    }
  }

  private <T> void command(HttpExchange x, Class<T> type, Function<T, CompletableFuture<?>> take) throws IOException {
    byte[] body = body(x.getRequestBody());
    if (body == null) {
      answer(x, 413, "longer than " + MOST_BODY + " octets");
      return;
    }
    T c;
    try {
      c = Json.read(body, type);
    } catch (IOException e) {
      answer(x, 400, "no command: " + e.getMessage().lines().findFirst().orElse(""));
      return;
    }
    try {
      answer(x, 200, Json.write(take.apply(c).get(ANSWER_MILLIS, TimeUnit.MILLISECONDS)));
    } catch (TimeoutException e) {
      answer(x, 504, "no majority answers: not known whether it came through, ask the same again");
    } catch (ExecutionException e) {
      boolean elsewhere = e.getCause() instanceof NotLeaderException;
      boolean full = e.getCause() instanceof CannotReplicateException;
      answer(x, elsewhere ? voter.leader().isEmpty() ? 503 : 421 : full ? 503 : 504,
          elsewhere ? "this voter does not lead" : full ? "too much waits for a majority" : "not known whether it came through, ask the same again");
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static byte[] body(InputStream in) throws IOException {
    byte[] body = in.readNBytes(MOST_BODY + 1);
    return body.length > MOST_BODY ? null : body;
  }

  private void look(HttpExchange x, Map<String, String> query) throws IOException {
    String name = query.getOrDefault("name", "");
    if (!name.isEmpty() && !AgreeConfig.isName(name)) {
      answer(x, 400, "name: expected letters, digits and . : # - _");
      return;
    }
    if (!name.isEmpty()) {
      List<String> groups = Arrays.stream(query.getOrDefault("groups", "").split(",")).filter(AgreeConfig::isName).limit(Command.MAX_GROUPS).toList();
      String process = query.getOrDefault("process", "");
      if (!process.isEmpty() && !AgreeConfig.isName(process)) {
        answer(x, 400, "process: expected letters, digits and . : # - _");
        return;
      }
      voter.recordHeartbeat(name, new Heartbeat(process, groups, number(query.get("acted")), Double.parseDouble(query.getOrDefault("refused", "0"))));
    }
    if (!voter.isCaughtUp()) {
      answer(x, 503, "this voter has not caught up since its start");
    } else if (query.containsKey("whole")) {
      answer(x, 200, Json.write(voter.state()));
    } else if (voter.index() == number(query.get("since"))) {
      x.sendResponseHeaders(204, -1);
    } else {
      answer(x, 200, slim());
    }
  }

  /** Made once for an index, however many look. */
  private synchronized byte[] slim() {
    cloverpulley.outs.LedgerState s = voter.state();
    if (s.index() != madeFor) {
      made = Json.write(s.instanceView());
      madeFor = s.index();
    }
    return made;
  }

  private static long number(String text) {
    return text == null ? -1 : Long.parseLong(text);
  }

  private static Map<String, String> query(String raw) {
    Map<String, String> query = new HashMap<>();
    for (String part : raw == null ? new String[0] : raw.split("&")) {
      int at = part.indexOf('=');
      query.put(at < 0 ? part : part.substring(0, at), at < 0 ? "" : URLDecoder.decode(part.substring(at + 1), StandardCharsets.UTF_8));
    }
    return query;
  }

  private static void answer(HttpExchange x, int status, String text) throws IOException {
    answer(x, status, (text + "\n").getBytes(StandardCharsets.UTF_8));
  }

  private static void answer(HttpExchange x, int status, byte[] body) throws IOException {
    x.sendResponseHeaders(status, body.length);
    x.getResponseBody().write(body);
  }

  @Override
  public void close() {
    server.stop(0);
    threads.shutdownNow();
  }
}
