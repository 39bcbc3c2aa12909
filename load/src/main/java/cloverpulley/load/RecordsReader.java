package cloverpulley.load;

import cloverpulley.load.Driver.Outcome;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.io.RandomAccessFile;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Comparator;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Makes a trace of a front's records, as they stand or while they are being written. Records are written when their calls end:
 * they are put back in the order of their coming within a bound. Lines that can't be read are counted and left out.
 */
public final class RecordsReader {

  private static final int MOST_LINE = 64 << 10;
  /** Records held to be put in order; at 2,000 a second some thirty seconds. */
  private static final int MOST_HELD = 65_536;
  private static final long POLL_MILLIS = 50;
  private static final Set<String> REFUSED = Set.of("over_rate", "table_full", "no_upstream", "no_room", "attempts",
      "retry_budget", "record_full", "quota");
  private static final Map<String, Outcome> OUTCOMES = Map.of("served", Outcome.SERVED, "full", Outcome.REFUSED, "timeout",
      Outcome.TIMEOUT, "connect_failed", Outcome.NO_CONNECTION, "reset", Outcome.BROKEN, "cancelled", Outcome.TIMEOUT);

  /** What was read. */
  public record Count(long requests, long unreadable, long dropped) {}

  private final PriorityQueue<Trace.Entry> held = new PriorityQueue<>(Comparator.comparingLong(Trace.Entry::atMicros));
  private final Trace.Writer out;
  private long first = -1;
  private long requests;
  private long unreadable;
  private long dropped;

  private RecordsReader(OutputStream out) throws IOException {
    this.out = new Trace.Writer(out);
  }

  /** Makes a trace of what is in the file now. */
  public static Count convert(Path records, OutputStream out) throws IOException, InterruptedException {
    return read(records, out, 0, 0);
  }

  /** Makes a trace of what is written to the file from now on, for so long. */
  public static Count follow(Path records, OutputStream out, double seconds) throws IOException, InterruptedException {
    return read(records, out, Files.exists(records) ? Files.size(records) : 0, seconds);
  }

  private static Count read(Path records, OutputStream out, long from, double seconds) throws IOException, InterruptedException {
    RecordsReader reader = new RecordsReader(out);
    long until = System.nanoTime() + (long) (seconds * 1e9);
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    long at = from;
    byte[] piece = new byte[1 << 16];
    boolean last = false;
    while (!last) {
      last = System.nanoTime() >= until; // What was there by then is read once more.
      if (Files.exists(records)) {
        // A file that is shorter than what was read of it is another one, begun since.
        at = Files.size(records) < at ? 0 : at;
        try (RandomAccessFile file = new RandomAccessFile(records.toFile(), "r")) {
          file.seek(at);
          for (int n = file.read(piece); n > 0; n = file.read(piece)) {
            at += n;
            reader.take(piece, n, line);
          }
        }
      }
      if (!last) {
        TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
      }
    }
    return reader.finish();
  }

  private void take(byte[] piece, int n, ByteArrayOutputStream line) throws IOException {
    for (int i = 0; i < n; i++) {
      if (piece[i] != '\n') {
        if (line.size() < MOST_LINE) {
          line.write(piece[i]);
        }
      } else if (line.size() > 0) {
        take(line.toString(StandardCharsets.UTF_8));
        line.reset();
      }
    }
  }

  private void take(String line) throws IOException {
    Map<String, String> f = new HashMap<>();
    try (JsonParser p = new JsonFactory().createParser(line)) {
      for (JsonToken t = p.nextToken(); t != null; t = p.nextToken()) {
        if (t.isScalarValue()) {
          f.put(p.currentName(), p.getText());
        }
      }
      String outcome = f.get("outcome");
      Outcome word = outcome != null ? OUTCOMES.getOrDefault(outcome, Outcome.FAILED)
          : REFUSED.contains(f.getOrDefault("reason", "")) ? Outcome.REFUSED : Outcome.FAILED;
      Trace.Entry e = new Trace.Entry(Long.parseLong(f.get("at_us")), f.get("class"), f.get("tenant"),
          Long.parseUnsignedLong(f.get("key"), 16), Long.parseLong(f.get("hint_us")), 0, Long.parseLong(f.get("latency_us")),
          word);
      if (e.className() == null || e.tenant() == null) {
        throw new IllegalArgumentException("no class or tenant");
      }
      dropped += Long.parseLong(f.getOrDefault("dropped_before", "0"));
      held.add(e);
    } catch (IOException | IllegalArgumentException e) {
      unreadable++;
    }
    if (held.size() > MOST_HELD) {
      write();
    }
  }

  private void write() throws IOException {
    Trace.Entry e = held.poll();
    first = first < 0 ? e.atMicros() : first;
    out.add(new Trace.Entry(e.atMicros() - first, e.className(), e.tenant(), e.keyHash(), e.hintMicros(), e.bytes(),
        e.latencyMicros(), e.outcome()));
    requests++;
  }

  private Count finish() throws IOException {
    while (!held.isEmpty()) {
      write();
    }
    out.close();
    return new Count(requests, unreadable, dropped);
  }
}
