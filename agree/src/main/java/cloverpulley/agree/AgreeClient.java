package cloverpulley.agree;

import cloverpulley.outs.Command;
import cloverpulley.outs.Reply;
import cloverpulley.outs.State;
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

/** Asks the voters: first who led last, then the others in turn. One thread at a time. */
public final class AgreeClient {

  private static final int CONNECT_MILLIS = 300;
  private static final int READ_MILLIS = 3000;
  private static final int MOST_ANSWER = Codec.MOST_BYTES;
  private static final long AGAIN_MILLIS = 50;

  /** Nobody could be asked, or nobody knows. */
  public static final class NoMajority extends IOException {
    private static final long serialVersionUID = 1L;

    NoMajority(String message) {
      super(message);
    }
  }

  private record Answer(int status, byte[] body, String leader) {}

  private final List<AgreeConfig.VoterAt> voters;
  private String leader = "";
  private long octets;

  public AgreeClient(List<AgreeConfig.VoterAt> voters) {
    this.voters = voters;
  }

  /** Who led when it was asked last; empty for nobody. */
  public String leader() {
    return leader;
  }

  /** Octets of bodies sent and got so far. */
  public long octets() {
    return octets;
  }

  /**
   * Has a command taken, asking again for as long as it takes a new leader to be found. A command that is not known to have come through is
   * asked again as it is: asks have names, and the other commands may be repeated.
   *
   * @param forMillis how long to try
   * @throws NoMajority where nobody answered for all
   * @throws IOException where it was turned down as malformed
   */
  public Reply command(Command c, long forMillis) throws IOException {
    long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(forMillis);
    String last = "no voter answers";
    do {
      for (AgreeConfig.VoterAt v : inTurn()) {
        try {
          Answer a = call(v.api(), "POST", AgreeApi.PATH, Json.write(c));
          if (a.status() == 200) {
            leader = v.name();
            return Json.read(a.body(), Reply.class);
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
    throw new NoMajority(last);
  }

  /** Looks, and is heard with that; null where nothing changed since {@code since}. */
  public State look(String name, List<String> groups, long acted, long since) throws IOException {
    return look("?name=" + name + "&groups=" + URLEncoder.encode(String.join(",", groups), StandardCharsets.UTF_8) + "&acted=" + acted
        + "&since=" + since);
  }

  /** The whole ledger. */
  public State whole() throws IOException {
    return look("?whole=1");
  }

  private State look(String query) throws IOException {
    String last = "no voter answers";
    for (AgreeConfig.VoterAt v : inTurn()) {
      try {
        Answer a = call(v.api(), "GET", AgreeApi.PATH + query, null);
        if (a.status() == 200 || a.status() == 204) {
          leader = a.leader().isEmpty() ? v.name() : a.leader();
          return a.status() == 204 ? null : Json.read(a.body(), State.class);
        }
        last = v.name() + ": " + text(a);
      } catch (IOException e) {
        last = v.name() + ": " + e.getMessage();
      }
    }
    throw new NoMajority(last);
  }

  /** Who has not acted on all up to an index, by who leads. */
  public List<String> notActed(long index) throws IOException {
    for (AgreeConfig.VoterAt v : inTurn()) {
      try {
        Answer a = call(v.api(), "GET", AgreeApi.ACTED + "?index=" + index, null);
        if (a.status() == 200) {
          return Arrays.asList(Json.read(a.body(), String[].class));
        }
      } catch (IOException e) {
        continue; // The next may lead by now.
      }
    }
    throw new NoMajority("nobody leads");
  }

  private List<AgreeConfig.VoterAt> inTurn() {
    List<AgreeConfig.VoterAt> all = new ArrayList<>(voters);
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
