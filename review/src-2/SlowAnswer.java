import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * An upstream takes seconds to write an answer whose length is not told ahead. With "long" the answer has over 64 KiB and must not be cut off while the
 * upstream gives it; with "short" it has less, and must be whole or have failed in its client's time.
 */
public final class SlowAnswer {

  private static final int REQUESTS = 8;
  private static final int SHORT_BYTES = 40 * 1024;
  private static final int LONG_BYTES = 320 * 1024;
  private static final int FIRST_BYTES = 20 * 1024;
  /** A client's time, and how much later an answer still counts: half a second, and the 50 ms by which each limit is longer on sockets. */
  private static final int CLIENT_MILLIS = 2000;
  private static final int LATE_MILLIS = 550;

  private SlowAnswer() {}

  public static void main(String[] args) throws IOException {
    Stage.main(args, stage -> play(stage, args[1].equals("long")));
  }

  private static void chunk(OutputStream out, int bytes) throws IOException {
    byte[] body = new byte[bytes];
    Arrays.fill(body, (byte) 'x');
    out.write(Stage.ascii(Integer.toHexString(bytes) + "\r\n"));
    out.write(body);
    Stage.write(out, "\r\n");
  }

  private static void answerLong(Stage stage, OutputStream out) throws Exception {
    chunk(out, FIRST_BYTES);
    Stage.sleep(stage.trouble ? 1400 : 0);
    chunk(out, 1024);
    Stage.sleep(stage.trouble ? 1800 : 0);
    for (int sent = FIRST_BYTES + 1024; sent < LONG_BYTES; sent += 1024) {
      chunk(out, 1024);
    }
  }

  private static void answerShort(Stage stage, OutputStream out) throws Exception {
    chunk(out, FIRST_BYTES);
    for (int sent = FIRST_BYTES; sent < SHORT_BYTES; sent += 1024) {
      Stage.sleep(stage.trouble ? 250 : 0);
      chunk(out, 1024);
    }
  }

  private static int play(Stage stage, boolean isLong) throws Exception {
    Map<String, String> atUpstream = new ConcurrentHashMap<>();
    Stage.Discovery discovery = stage.new Discovery();
    for (int i = 0; i < 3; i++) {
      discovery.set(stage.new Upstream("s-" + i, 1, (up, request, socket, out) -> {
        try {
          Stage.write(out, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
          if (isLong) {
            answerLong(stage, out);
          } else {
            answerShort(stage, out);
          }
          Stage.write(out, "0\r\n\r\n");
          atUpstream.put(request.id(), up.id + " wrote the whole answer until " + stage.millis() + " ms");
        } catch (IOException e) {
          atUpstream.put(request.id(), up.id + " was writing when its connection ended, noticed at " + stage.millis() + " ms");
          throw e;
        }
      }), "ready");
    }
    Stage.Config config = new Stage.Config();
    config.discovery = discovery.address();
    Stage.Balancer balancer = stage.start(config, null);
    balancer.awaitHealthy();
    AtomicInteger broken = new AtomicInteger();
    AtomicInteger ran = new AtomicInteger();
    List<Thread> clients = new ArrayList<>();
    for (int i = 0; i < REQUESTS; i++) {
      clients.add(Stage.daemon("client " + i, () -> {
        String verdict = isLong ? receiveLong(stage, balancer, atUpstream) : receiveShort(stage, balancer, atUpstream);
        ran.incrementAndGet();
        if (verdict != null) {
          broken.incrementAndGet();
          stage.note("BROKEN: " + verdict);
        }
      }));
      Stage.sleep(100);
    }
    for (Thread client : clients) {
      client.join();
    }
    stage.note(broken + " of " + REQUESTS + " requests lost");
    return ran.get() < REQUESTS ? 2 : broken.get() > 0 ? 1 : 0;
  }

  /** Sends a request; returns what is wrong with its long answer, or null. */
  private static String receiveLong(Stage stage, Stage.Balancer balancer, Map<String, String> atUpstream) throws Exception {
    String id = Stage.newId();
    try (Stage.Client client = new Stage.Client(balancer.port)) {
      long sent = stage.millis();
      stage.trace("sent " + id);
      client.send(Stage.head(Stage.LOOKUP, id, CLIENT_MILLIS, 0));
      client.socket.setSoTimeout(10_000);
      byte[] first = client.in.readNBytes(16);
      long firstAt = stage.millis() - sent;
      int status = first.length < 16 ? 0 : Integer.parseInt(new String(first, 9, 3));
      if (status != 200) {
        stage.note(id + ": status " + status + " after " + firstAt + " ms");
        return status == 0 ? id + " has no answer" : null;
      }
      int more = readToEnd(client.in);
      long endAt = stage.millis() - sent;
      Stage.sleep(2500);
      String what = id + ": 200, first bytes after " + firstAt + " ms, " + (16 + Math.abs(more)) + " bytes " + (more < 0 ? "and then the end of the connection" : "whole")
          + " after " + endAt + " ms; " + atUpstream.get(id);
      stage.note(what);
      return more < 0 ? what : null;
    }
  }

  /** Reads a chunked answer on; returns its bytes, negative if the connection ended before it was whole. */
  private static int readToEnd(InputStream in) throws IOException {
    int bytes = 0;
    StringBuilder end = new StringBuilder();
    byte[] buffer = new byte[8192];
    try {
      for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) {
        bytes += n;
        end.append(new String(buffer, 0, n, java.nio.charset.StandardCharsets.ISO_8859_1));
        end.delete(0, Math.max(0, end.length() - 7));
        if (end.toString().endsWith("\r\n0\r\n\r\n")) {
          return bytes;
        }
      }
    } catch (java.net.SocketException e) {
      return -bytes - 1;
    }
    return -bytes - 1;
  }

  /** Sends a request; returns what is wrong with its short answer, or null. */
  private static String receiveShort(Stage stage, Stage.Balancer balancer, Map<String, String> atUpstream) throws Exception {
    String id = Stage.newId();
    try (Stage.Client client = new Stage.Client(balancer.port)) {
      long sent = stage.millis();
      stage.trace("sent " + id);
      client.send(Stage.head(Stage.LOOKUP, id, CLIENT_MILLIS, 0));
      String outcome = client.outcome(10_000);
      long took = stage.millis() - sent;
      Stage.sleep(300);
      String what = id + ": " + outcome + ", " + took + " ms after it was sent with " + CLIENT_MILLIS + " ms left; " + atUpstream.get(id);
      stage.note(what);
      // An answer that ends short of its length has failed; only a whole one that comes too late, and none at all, are lost.
      return took > CLIENT_MILLIS + LATE_MILLIS && !outcome.startsWith("end of the connection in") ? what : null;
    }
  }
}
