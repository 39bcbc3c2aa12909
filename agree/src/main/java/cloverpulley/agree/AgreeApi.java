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
 * HTTP/1.1 API of a voter: POST a command, GET the ledger or the instances that have not applied it. Status 421: the header Leader names the
 * voter to ask; 503: no leader, or this voter can't answer; 504: the outcome is unknown, the same command has to be repeated.
 */
public final class AgreeApi implements AutoCloseable {

  static final String PATH = "/v1/outs";
  static final String ACTED_PATH = PATH + "/acted";
  static final String VOTERS_PATH = PATH + "/voters";
  static final String LEADER_HEADER = "Leader";
  private static final int MAX_BODY_BYTES = 64 * 1024;
  private static final int THREADS = 8;
  private static final int MAX_QUEUED = 1024;
  private static final int BACKLOG = 512;
  /** Below the client's read timeout of 3 s, so that the client receives the status 504. */
  private static final long COMMAND_TIMEOUT_MILLIS = 2000;

  static {
    System.setProperty("sun.net.httpserver.nodelay", "true");
    System.setProperty("sun.net.httpserver.maxReqTime", "5");
    System.setProperty("sun.net.httpserver.maxRspTime", "5");
    System.setProperty("sun.net.httpserver.maxIdleConnections", "2000");
  }

  private final Voter voter;
  private final HttpServer server;
  private final ThreadPoolExecutor threads;
  private long cachedIndex = -1;
  private byte[] cachedView;

  /** Listens at once. */
  public AgreeApi(Voter voter, InetSocketAddress listen) throws IOException {
    this.voter = voter;
    server = HttpServer.create(listen, BACKLOG);
    threads = new ThreadPoolExecutor(THREADS, THREADS, 1, TimeUnit.MINUTES, new ArrayBlockingQueue<>(MAX_QUEUED), task -> {
      Thread t = new Thread(task, "ledger api");
      t.setDaemon(true);
      return t;
    }, new ThreadPoolExecutor.CallerRunsPolicy()); // With a full queue the dispatcher thread handles requests itself and accepts nothing new.
    server.setExecutor(threads);
    server.createContext(PATH, this::handle);
    server.start();
  }

  public InetSocketAddress address() {
    return server.getAddress();
  }

  private void handle(HttpExchange x) throws IOException {
    try (x) {
      x.getResponseHeaders().set(LEADER_HEADER, voter.leader());
      Map<String, String> query = parseQuery(x.getRequestURI().getRawQuery());
      if (!voter.isActive()) {
        respond(x, 503, "this voter's file could not be written, it takes no part");
      } else if (x.getRequestMethod().equals("POST") && x.getRequestURI().getPath().equals(PATH)) {
        handleCommand(x, Command.class, voter::command);
      } else if (x.getRequestMethod().equals("POST") && x.getRequestURI().getPath().equals(VOTERS_PATH)) {
        handleCommand(x, Replace.class, r -> voter.replace(r.from(), r.to()));
      } else if (!x.getRequestMethod().equals("GET")) {
        respond(x, 405, "GET and POST only");
      } else if (x.getRequestURI().getPath().equals(PATH)) {
        handlePoll(x, query);
      } else if (x.getRequestURI().getPath().equals(ACTED_PATH)) {
        respond(x, voter.isLeader() ? 200 : 421, Json.write(voter.laggingInstances(parseIndex(query.get("index")))));
      } else {
        respond(x, 404, "no such path");
      }
    } catch (IllegalArgumentException e) {
      respond(x, 400, String.valueOf(e.getMessage()));
    }
  }

  private <T> void handleCommand(HttpExchange x, Class<T> type, Function<T, CompletableFuture<?>> handler) throws IOException {
    byte[] body = readBody(x.getRequestBody());
    if (body == null) {
      respond(x, 413, "longer than " + MAX_BODY_BYTES + " octets");
      return;
    }
    T c;
    try {
      c = Json.read(body, type);
    } catch (IOException e) {
      respond(x, 400, "no command: " + e.getMessage().lines().findFirst().orElse(""));
      return;
    }
    try {
      respond(x, 200, Json.write(handler.apply(c).get(COMMAND_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)));
    } catch (TimeoutException e) {
      respond(x, 504, "no majority answers: not known whether it came through, ask the same again");
    } catch (ExecutionException e) {
      boolean notLeader = e.getCause() instanceof NotLeaderException;
      boolean overloaded = e.getCause() instanceof CannotReplicateException;
      respond(x, notLeader ? voter.leader().isEmpty() ? 503 : 421 : overloaded ? 503 : 504,
          notLeader ? "this voter does not lead" : overloaded ? "too much waits for a majority"
              : "not known whether it came through, ask the same again");
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static byte[] readBody(InputStream in) throws IOException {
    byte[] body = in.readNBytes(MAX_BODY_BYTES + 1);
    return body.length > MAX_BODY_BYTES ? null : body;
  }

  private void handlePoll(HttpExchange x, Map<String, String> query) throws IOException {
    String name = query.getOrDefault("name", "");
    if (!name.isEmpty() && !AgreeConfig.isName(name)) {
      respond(x, 400, "name: expected letters, digits and . : # - _");
      return;
    }
    if (!name.isEmpty()) {
      List<String> groups = Arrays.stream(query.getOrDefault("groups", "").split(",")).filter(AgreeConfig::isName).limit(Command.MAX_GROUPS).toList();
      String process = query.getOrDefault("process", "");
      if (!process.isEmpty() && !AgreeConfig.isName(process)) {
        respond(x, 400, "process: expected letters, digits and . : # - _");
        return;
      }
      voter.recordHeartbeat(name, new Heartbeat(process, groups, parseIndex(query.get("acted")),
          Double.parseDouble(query.getOrDefault("refused", "0"))));
    }
    if (!voter.isCaughtUp()) {
      respond(x, 503, "this voter has not caught up since its start");
    } else if (query.containsKey("whole")) {
      respond(x, 200, Json.write(voter.state()));
    } else if (voter.index() == parseIndex(query.get("since"))) {
      x.sendResponseHeaders(204, -1);
    } else {
      respond(x, 200, cachedInstanceView());
    }
  }

  /** The instance view as JSON, serialized once per log index for all instances. */
  private synchronized byte[] cachedInstanceView() {
    cloverpulley.outs.LedgerState s = voter.state();
    if (s.index() != cachedIndex) {
      cachedView = Json.write(s.instanceView());
      cachedIndex = s.index();
    }
    return cachedView;
  }

  private static long parseIndex(String text) {
    return text == null ? -1 : Long.parseLong(text);
  }

  private static Map<String, String> parseQuery(String raw) {
    Map<String, String> query = new HashMap<>();
    for (String part : raw == null ? new String[0] : raw.split("&")) {
      int at = part.indexOf('=');
      query.put(at < 0 ? part : part.substring(0, at), at < 0 ? "" : URLDecoder.decode(part.substring(at + 1), StandardCharsets.UTF_8));
    }
    return query;
  }

  private static void respond(HttpExchange x, int status, String text) throws IOException {
    respond(x, status, (text + "\n").getBytes(StandardCharsets.UTF_8));
  }

  private static void respond(HttpExchange x, int status, byte[] body) throws IOException {
    x.sendResponseHeaders(status, body.length);
    x.getResponseBody().write(body);
  }

  @Override
  public void close() {
    server.stop(0);
    threads.shutdownNow();
  }
}
