package cloverpulley.agree;

import cloverpulley.outs.Command;
import cloverpulley.outs.Heartbeat;
import cloverpulley.outs.LedgerState;
import cloverpulley.outs.Reply;
import cloverpulley.outs.VoterReplacement;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.HttpURLConnection;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** Client of the voters' API: tries the last known leader first, then the others. Not thread-safe. */
public final class AgreeClient {

  private static final int CONNECT_MILLIS = 300;
  private static final int READ_MILLIS = 3000;
  private static final int MAX_RESPONSE_BYTES = Codec.MAX_MESSAGE_BYTES;
  private static final long RETRY_MILLIS = 50;
  private static final int MAX_STEPS = 10;

  /** No voter is reachable, there is no leader, or the outcome is unknown. */
  public static final class NoMajorityException extends IOException {
    private static final long serialVersionUID = 1L;

    NoMajorityException(String message) {
      super(message);
    }
  }

  private record Response(int status, byte[] body, String leader) {}

  private final List<AgreeConfig.VoterAddress> voters;
  private String leader = "";
  private boolean hasLeader;
  private long bodyBytes;

  public AgreeClient(List<AgreeConfig.VoterAddress> voters) {
    this.voters = voters;
  }

  /** The last known leader; empty for none. */
  public String leader() {
    return leader;
  }

  /** Bytes of request and response bodies so far. */
  public long bodyBytes() {
    return bodyBytes;
  }

  /**
   * Executes a command and retries while there is no leader. A command whose outcome is unknown is sent again unchanged: requests for permits
   * have a unique name, and the other commands are idempotent.
   *
   * @param timeoutMillis how long to retry
   * @throws NoMajorityException if no leader committed the command in time
   * @throws IllegalArgumentException if a voter rejects the command as malformed
   */
  public Reply command(Command c, long timeoutMillis) throws IOException {
    return post(AgreeApi.PATH, Json.write(c), Reply.class, timeoutMillis);
  }

  /**
   * Replaces one voter by another, one membership change at a time. A repeated call continues where an interrupted one stopped.
   *
   * @param timeoutMillis how long to retry each change
   * @param onStep receives each change that was made
   */
  public VoterReplacement.Next replace(String from, String to, long timeoutMillis, Consumer<VoterReplacement.Next> onStep) throws IOException {
    byte[] request = Json.write(new Replace(from, to));
    for (int i = 0; i < MAX_STEPS; i++) {
      VoterReplacement.Next next = post(AgreeApi.VOTERS_PATH, request, VoterReplacement.Next.class, timeoutMillis);
      if (next.isFinal()) {
        return next;
      }
      onStep.accept(next);
    }
    throw new NoMajorityException("more membership changes than a replacement needs: another client changes the voters as well");
  }

  private <T> T post(String path, byte[] body, Class<T> type, long timeoutMillis) throws IOException {
    long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
    String lastError = "no voter is reachable";
    do {
      for (AgreeConfig.VoterAddress v : votersLeaderFirst()) {
        try {
          Response r = send(v.api(), "POST", path, body);
          if (r.status() == 200) {
            leader = v.name();
            return Json.read(r.body(), type);
          } else if (r.status() == 400 || r.status() == 413) {
            throw new IllegalArgumentException(describe(r));
          }
          lastError = v.name() + ": " + describe(r);
          if (!r.leader().isEmpty() && !r.leader().equals(leader)) {
            leader = r.leader();
            break; // Continue with the leader that it named.
          }
        } catch (IOException e) {
          lastError = v.name() + ": " + e.getMessage();
        }
      }
      try {
        TimeUnit.MILLISECONDS.sleep(RETRY_MILLIS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        break;
      }
    } while (System.nanoTime() < until);
    throw new NoMajorityException(lastError);
  }

  /** Sends a heartbeat and returns the state, or null if it has not changed since the log index {@code since}. */
  public LedgerState poll(String name, Heartbeat heartbeat, long since) throws IOException {
    return get("?name=" + name + "&process=" + heartbeat.process()
        + "&groups=" + URLEncoder.encode(String.join(",", heartbeat.groups()), StandardCharsets.UTF_8)
        + "&acted=" + heartbeat.acted() + "&refused=" + heartbeat.refused() + "&since=" + since);
  }

  /** The complete state of the ledger. */
  public LedgerState fullState() throws IOException {
    return get("?whole=1");
  }

  /** Whether the last state came from a voter that knows a leader; otherwise a newer state may exist on other voters. */
  boolean hasLeader() {
    return hasLeader;
  }

  private LedgerState get(String query) throws IOException {
    String lastError = "no voter is reachable";
    Response leaderless = null;
    for (AgreeConfig.VoterAddress v : votersLeaderFirst()) {
      try {
        Response r = send(v.api(), "GET", AgreeApi.PATH + query, null);
        boolean isSuccess = r.status() == 200 || r.status() == 204;
        if (isSuccess && !r.leader().isEmpty()) {
          leader = r.leader();
          hasLeader = true;
          return parseState(r);
        } else if (isSuccess && leaderless == null) {
          leaderless = r; // Another voter may know the leader.
        }
        lastError = v.name() + ": " + describe(r);
      } catch (IOException e) {
        lastError = v.name() + ": " + e.getMessage();
      }
    }
    if (leaderless == null) {
      throw new NoMajorityException(lastError);
    }
    hasLeader = false;
    return parseState(leaderless);
  }

  private static LedgerState parseState(Response r) throws IOException {
    return r.status() == 204 ? null : Json.read(r.body(), LedgerState.class);
  }

  /** Instances that have not applied the ledger up to the index, according to the leader. */
  public List<String> laggingInstances(long index) throws IOException {
    for (AgreeConfig.VoterAddress v : votersLeaderFirst()) {
      try {
        Response r = send(v.api(), "GET", AgreeApi.ACTED_PATH + "?index=" + index, null);
        if (r.status() == 200) {
          return Arrays.asList(Json.read(r.body(), String[].class));
        }
      } catch (IOException e) {
        continue; // The next one may be the leader by now.
      }
    }
    throw new NoMajorityException("there is no leader");
  }

  private List<AgreeConfig.VoterAddress> votersLeaderFirst() {
    List<AgreeConfig.VoterAddress> all = new ArrayList<>(voters);
    all.sort((x, y) -> Boolean.compare(y.name().equals(leader), x.name().equals(leader)));
    return all;
  }

  private static String describe(Response r) {
    return r.status() + " " + new String(r.body(), StandardCharsets.UTF_8).trim();
  }

  private Response send(InetSocketAddress at, String method, String path, byte[] body) throws IOException {
    String host = at.getAddress().getHostAddress();
    HttpURLConnection c = (HttpURLConnection) URI.create("http://" + (host.contains(":") ? "[" + host + "]" : host) + ":" + at.getPort() + path)
        .toURL().openConnection();
    c.setConnectTimeout(CONNECT_MILLIS);
    c.setReadTimeout(READ_MILLIS);
    c.setRequestMethod(method);
    if (body != null) {
      c.setDoOutput(true);
      c.setFixedLengthStreamingMode(body.length);
      try (OutputStream out = c.getOutputStream()) {
        out.write(body);
      }
      bodyBytes += body.length;
    }
    int status = c.getResponseCode();
    try (InputStream in = status < 400 ? c.getInputStream() : c.getErrorStream()) {
      byte[] response = in == null ? new byte[0] : in.readNBytes(MAX_RESPONSE_BYTES);
      bodyBytes += response.length;
      String header = c.getHeaderField(AgreeApi.LEADER_HEADER);
      return new Response(status, response, header == null ? "" : header);
    }
  }
}
