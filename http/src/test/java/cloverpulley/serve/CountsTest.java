package cloverpulley.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** The counts that a balancer logs each second, compared with what a client and an upstream observed. */
@Timeout(value = 2 * Rig.LIMIT_S, unit = TimeUnit.SECONDS)
class CountsTest {

  private static final Logger LOG = Logger.getLogger(Counts.class.getName());

  /** Reads log lines until the counts of a key sum up to the expected number. */
  private static void await(BlockingQueue<String> lines, StringBuilder seen, String key, int expected)
      throws InterruptedException {
    while (sum(seen, key) < expected) {
      String line = lines.poll(Rig.LIMIT_S, TimeUnit.SECONDS);
      assertTrue(line != null, key + " stayed at " + sum(seen, key) + " in " + seen);
      seen.append(line).append('\n');
    }
  }

  private static int sum(CharSequence lines, String key) {
    Matcher m = Pattern.compile("(?<=[ ])" + key + "=(\\d+)").matcher(lines);
    int sum = 0;
    while (m.find()) {
      sum += Integer.parseInt(m.group(1));
    }
    return sum;
  }

  @Test
  void sumOfLinesCoversEveryRequestAndConnection() throws Exception {
    String full = "HTTP/1.1 503 Service Unavailable\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n";
    LogLines lines = new LogLines();
    LOG.addHandler(lines);
    try (StubServer stub = new StubServer(c -> {
      for (int i = 0; c.next() != null; i++) {
        c.write(i == 0 ? full : StubServer.ok("served"));
      }
    }); Rig rig = new Rig(Rig.config("127.0.0.1:1", Rig.list(41, true, Rig.member("s-a", stub.address(), "ready"))));
        Rig.Client client = rig.client()) {
      int served = 0;
      for (int i = 0; i < 5; i++) {
        served += client.ask(Rig.get("id-" + i, "")).startsWith("HTTP/1.1 200") ? 1 : 0;
      }
      StringBuilder seen = new StringBuilder();
      await(lines.queue, seen, "taken", 5);
      await(lines.queue, seen, "served", served);
      await(lines.queue, seen, "ended_full", 1);
      await(lines.queue, seen, "no_room_for_new", 1);
      await(lines.queue, seen, "list_unanswered", 1);
      assertEquals(5, sum(seen, "taken"), seen::toString);
      assertEquals(served, sum(seen, "served"), seen::toString);
      assertEquals(sum(seen, "no_room_for_new"), sum(seen, "ended_full"), seen::toString);
      assertTrue(sum(seen, "opened") >= 1 && seen.indexOf("opened=") > 0 && seen.indexOf(":s-a*") > 0, seen::toString);
      assertEquals(0, sum(seen, "cold"), "it started long ago");
    } finally {
      LOG.removeHandler(lines);
    }
  }

  /** An outdated list and an empty one are ignored, and counted as such. */
  @Test
  void ignoredListsAreCounted() throws Exception {
    LogLines lines = new LogLines();
    String known = Rig.list(41, true, Rig.member("s-a", "127.0.0.1:1", "ready"));
    LOG.addHandler(lines);
    try (StubServer discovery = new StubServer(c -> {
      c.next();
      c.write(DiscoveryFixture.watch(Rig.list(40, true, Rig.member("s-old", "127.0.0.1:2", "ready"))));
      c.write(DiscoveryFixture.chunk(Rig.list(50, true)));
      c.write(DiscoveryFixture.chunk(Rig.list(42, false)));
      c.next();
    }); Rig rig = new Rig(Rig.config(discovery.address(), known))) {
      StringBuilder seen = new StringBuilder();
      await(lines.queue, seen, "list_ignored", 2);
      assertEquals(2, sum(seen, "list_ignored"), seen::toString);
      assertEquals(1, sum(seen, "list_lines"), seen::toString);
    } finally {
      LOG.removeHandler(lines);
    }
  }

  @Test
  void namesCannotInjectLogLines() {
    assertEquals("s-5be2a07c", Counts.logName("s-5be2a07c"));
    assertEquals("a?INFO?counts?taken?9?b?1", Counts.logName("a\nINFO counts taken=9,b*1"));
    assertEquals(32, Counts.logName("x".repeat(100_000)).length());
  }

  /** Collects the log lines. */
  private static final class LogLines extends Handler {
    final BlockingQueue<String> queue = new LinkedBlockingQueue<>();

    @Override
    public void publish(LogRecord entry) {
      queue.add(entry.getMessage());
    }

    @Override
    public void flush() {}

    @Override
    public void close() {}
  }
}
