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
 * Converts the records file of a front end to a trace, either as it is or while it is being written. Records are written when their calls
 * end, so they are sorted by arrival time again, within a bounded buffer. Lines that cannot be parsed are counted and skipped.
 */
public final class RecordsReader {

  private static final int MAX_LINE_BYTES = 64 << 10;
  /** Records buffered for sorting: about thirty seconds at 2,000 per second. */
  private static final int MAX_BUFFERED = 65_536;
  private static final long POLL_MILLIS = 50;
  private static final Set<String> REJECT_REASONS = Set.of("over_rate", "table_full", "no_upstream", "no_room", "attempts",
      "retry_budget", "record_full", "quota");
  private static final Map<String, Outcome> OUTCOMES = Map.of("served", Outcome.SERVED, "full", Outcome.REFUSED, "timeout",
      Outcome.TIMEOUT, "connect_failed", Outcome.NO_CONNECTION, "reset", Outcome.BROKEN, "cancelled", Outcome.TIMEOUT);

  /** Counters of a conversion. */
  public record Summary(long requests, long unreadable, long dropped) {}

  private final PriorityQueue<Trace.Entry> buffer = new PriorityQueue<>(Comparator.comparingLong(Trace.Entry::atMicros));
  private final Trace.Writer out;
  private long firstMicros = -1;
  private long requests;
  private long unreadable;
  private long dropped;

  private RecordsReader(OutputStream out) throws IOException {
    this.out = new Trace.Writer(out);
  }

  /** Converts the current content of the file. */
  public static Summary convert(Path records, OutputStream out) throws IOException, InterruptedException {
    return read(records, out, 0, 0);
  }

  /** Converts what is appended to the file from now on, for the given time. */
  public static Summary follow(Path records, OutputStream out, double seconds) throws IOException, InterruptedException {
    return read(records, out, Files.exists(records) ? Files.size(records) : 0, seconds);
  }

  private static Summary read(Path records, OutputStream out, long from, double seconds) throws IOException, InterruptedException {
    RecordsReader reader = new RecordsReader(out);
    long deadline = System.nanoTime() + (long) (seconds * 1e9);
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    long position = from;
    byte[] chunk = new byte[1 << 16];
    boolean last = false;
    while (!last) {
      last = System.nanoTime() >= deadline; // Reads once more after the deadline, to include all that was written before it.
      if (Files.exists(records)) {
        // A file that is shorter than the current position was replaced or truncated: starts again at its beginning.
        position = Files.size(records) < position ? 0 : position;
        try (RandomAccessFile file = new RandomAccessFile(records.toFile(), "r")) {
          file.seek(position);
          for (int n = file.read(chunk); n > 0; n = file.read(chunk)) {
            position += n;
            reader.splitLines(chunk, n, line);
          }
        }
      }
      if (!last) {
        TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
      }
    }
    return reader.finish();
  }

  private void splitLines(byte[] chunk, int n, ByteArrayOutputStream line) throws IOException {
    for (int i = 0; i < n; i++) {
      if (chunk[i] != '\n') {
        if (line.size() < MAX_LINE_BYTES) {
          line.write(chunk[i]);
        }
      } else if (line.size() > 0) {
        addRecord(line.toString(StandardCharsets.UTF_8));
        line.reset();
      }
    }
  }

  private void addRecord(String line) throws IOException {
    Map<String, String> fields = new HashMap<>();
    try (JsonParser p = new JsonFactory().createParser(line)) {
      for (JsonToken t = p.nextToken(); t != null; t = p.nextToken()) {
        if (t.isScalarValue()) {
          fields.put(p.currentName(), p.getText());
        }
      }
      String outcomeName = fields.get("outcome");
      Outcome outcome = outcomeName != null ? OUTCOMES.getOrDefault(outcomeName, Outcome.FAILED)
          : REJECT_REASONS.contains(fields.getOrDefault("reason", "")) ? Outcome.REFUSED : Outcome.FAILED;
      Trace.Entry e = new Trace.Entry(Long.parseLong(fields.get("at_us")), fields.get("class"), fields.get("tenant"),
          Long.parseUnsignedLong(fields.get("key"), 16), Long.parseLong(fields.get("hint_us")), 0,
          Long.parseLong(fields.get("latency_us")), outcome);
      if (e.className() == null || e.tenant() == null) {
        throw new IllegalArgumentException("no class or tenant");
      }
      dropped += Long.parseLong(fields.getOrDefault("dropped_before", "0"));
      buffer.add(e);
    } catch (IOException | IllegalArgumentException e) {
      unreadable++;
    }
    if (buffer.size() > MAX_BUFFERED) {
      write();
    }
  }

  private void write() throws IOException {
    Trace.Entry e = buffer.poll();
    firstMicros = firstMicros < 0 ? e.atMicros() : firstMicros;
    out.add(new Trace.Entry(e.atMicros() - firstMicros, e.className(), e.tenant(), e.keyHash(), e.hintMicros(), e.bytes(),
        e.latencyMicros(), e.outcome()));
    requests++;
  }

  private Summary finish() throws IOException {
    while (!buffer.isEmpty()) {
      write();
    }
    out.close();
    return new Summary(requests, unreadable, dropped);
  }
}
