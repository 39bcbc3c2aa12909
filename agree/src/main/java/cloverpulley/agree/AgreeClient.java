package cloverpulley.agree;

import cloverpulley.outs.Command;
import cloverpulley.outs.Heartbeat;
import cloverpulley.outs.VoterReplacement;
import cloverpulley.outs.Reply;
import cloverpulley.outs.LedgerState;
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

/** Asks the voters: first who led last, then the others in turn. One thread at a time. */
public final class AgreeClient {

  private static final int CONNECT_MILLIS = 300;
  private static final int READ_MILLIS = 3000;
  private static final int MOST_ANSWER = Codec.MOST_BYTES;
  private static final long AGAIN_MILLIS = 50;
  private static final int MOST_CHANGES = 10;

  /** Nobody could be asked, or nobody knows. */
  public static final class NoMajorityException extends IOException {
    private static final long serialVersionUID = 1L;

    NoMajorityException(String message) {
      super(message);
    }
  }

  private record Answer(int status, byte[] body, String leader) {}

  private final List<AgreeConfig.VoterAddress> voters;
  private String leader = "";
  private boolean led;
  private long octets;

  public AgreeClient(List<AgreeConfig.VoterAddress> voters) {
    this.voters = voters;
  }

  /** Who led when it was asked last; empty for nobody. */
  public String leader() {
    return leader;
  }

  /** Octets of bodies sent and got so far. */
  public long bodyBytes() {
    return octets;
  }

  /**
   * Has a command taken, asking again for as long as it takes a new leader to be found. A command that is not known to have come through is
   * asked again as it is: asks have names, and the other commands may be repeated.
   *
   * @param forMillis how long to try
   * @throws NoMajorityException where nobody answered for all
   * @throws IOException where it was turned down as malformed
   */
  public Reply command(Command c, long forMillis) throws IOException {
    return post(AgreeApi.PATH, Json.write(c), Reply.class, forMillis);
  }

  /**
   * Has one voter take another's place, change by change; asked again it goes on where it stands.
   *
   * @param forMillis how long to try each change
   * @param told is told each change that was made
   */
  public VoterReplacement.Next replace(String from, String to, long forMillis, Consumer<VoterReplacement.Next> told) throws IOException {
    byte[] ask = Json.write(new Replace(from, to));
    for (int i = 0; i < MOST_CHANGES; i++) {
      VoterReplacement.Next next = post(AgreeApi.VOTERS, ask, VoterReplacement.Next.class, forMillis);
      if (next.isFinal()) {
        return next;
      }
      told.accept(next);
    }
    throw new NoMajorityException("more changes than there can be: somebody else changes the voters too");
  }

  private <T> T post(String path, byte[] body, Class<T> type, long forMillis) throws IOException {
    long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(forMillis);
    String last = "no voter answers";
    do {
      for (AgreeConfig.VoterAddress v : inTurn()) {
        try {
          Answer a = call(v.api(), "POST", path, body);
          if (a.status() == 200) {
            leader = v.name();
            return Json.read(a.body(), type);
          } else if (a.status() == 400 || a.status() == 413) {
            throw new IllegalArgumentException(text(a));
          }
          last = v.name() + ": " + text(a);
          if (!a.leader().isEmpty() && !a.leader().equals(leader)) {
            leader = a.leader();
            break; // It knows better whom to ask.
          }
        } catch (IOException e) {
          last = v.name() + ": " + e.getMessage();
        }
      }
      try {
        TimeUnit.MILLISECONDS.sleep(AGAIN_MILLIS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        break;
      }
    } while (System.nanoTime() < until);
    throw new NoMajorityException(last);
  }

  /** Looks, and is heard with that; null where nothing changed since {@code since}. */
  public LedgerState poll(String name, Heartbeat as, long since) throws IOException {
    return look("?name=" + name + "&process=" + as.process() + "&groups=" + URLEncoder.encode(String.join(",", as.groups()), StandardCharsets.UTF_8)
        + "&acted=" + as.acted() + "&refused=" + as.refused() + "&since=" + since);
  }

  /** The whole ledger. */
  public LedgerState fullState() throws IOException {
    return look("?whole=1");
  }

  /** Whether the last look was answered by a voter that knows who leads: by one that does not, the ledger may have gone on elsewhere. */
  boolean isLed() {
    return led;
  }

  private LedgerState look(String query) throws IOException {
    String last = "no voter answers";
    Answer alone = null;
    for (AgreeConfig.VoterAddress v : inTurn()) {
      try {
        Answer a = call(v.api(), "GET", AgreeApi.PATH + query, null);
        boolean good = a.status() == 200 || a.status() == 204;
        if (good && !a.leader().isEmpty()) {
          leader = a.leader();
          led = true;
          return state(a);
        } else if (good && alone == null) {
          alone = a; // Another may know more.
        }
        last = v.name() + ": " + text(a);
      } catch (IOException e) {
        last = v.name() + ": " + e.getMessage();
      }
    }
    if (alone == null) {
      throw new NoMajorityException(last);
    }
    led = false;
    return state(alone);
  }

  private static LedgerState state(Answer a) throws IOException {
    return a.status() == 204 ? null : Json.read(a.body(), LedgerState.class);
  }

  /** Who has not acted on all up to an index, by who leads. */
  public List<String> laggingInstances(long index) throws IOException {
    for (AgreeConfig.VoterAddress v : inTurn()) {
      try {
        Answer a = call(v.api(), "GET", AgreeApi.ACTED + "?index=" + index, null);
        if (a.status() == 200) {
          return Arrays.asList(Json.read(a.body(), String[].class));
        }
      } catch (IOException e) {
        continue; // The next may lead by now.
      }
    }
    throw new NoMajorityException("nobody leads");
  }

  private List<AgreeConfig.VoterAddress> inTurn() {
    List<AgreeConfig.VoterAddress> all = new ArrayList<>(voters);
    all.sort((x, y) -> Boolean.compare(y.name().equals(leader), x.name().equals(leader)));
    return all;
  }

  private static String text(Answer a) {
    return a.status() + " " + new String(a.body(), StandardCharsets.UTF_8).trim();
  }

  private Answer call(InetSocketAddress at, String method, String path, byte[] body) throws IOException {
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
      octets += body.length;
    }
    int status = c.getResponseCode();
    try (InputStream in = status < 400 ? c.getInputStream() : c.getErrorStream()) {
      byte[] got = in == null ? new byte[0] : in.readNBytes(MOST_ANSWER);
      octets += got.length;
      String who = c.getHeaderField(AgreeApi.LEADER);
      return new Answer(status, got, who == null ? "" : who);
    }
  }
}
