package cloverpulley.processor;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.BufferedWriter;
import java.io.IOException;
import java.io.StringWriter;
import java.io.Writer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.logging.Logger;

/**
 * Writes one JSON line for each call that has ended. A dedicated thread writes them; when its queue is full, records are dropped and
 * the next line states how many. A file that reaches its maximum size is renamed to {@code NAME.1}, replacing the previous one.
 */
final class RecordsFile implements AutoCloseable {

  /** Discards all records. */
  static final RecordsFile NONE = new RecordsFile();

  private static final Logger LOG = Logger.getLogger(RecordsFile.class.getName());

  private static final int MAX_QUEUED = 65_536;
  private static final long POLL_MILLIS = 100;
  private static final long CLOSE_TIMEOUT_MILLIS = 2000;
  private static final long MICROS_PER_MILLI = 1000;

  /**
   * The record of one call.
   *
   * @param atMicros Unix time at which it arrived, in microseconds
   * @param keyHash hash of its key; 0 for none
   * @param outcome the outcome of its attempt, or the reason why it had none
   * @param upstream the module's number for the upstream; 0 for none
   */
  record CallRecord(long atMicros, String className, String tenant, long keyHash, long hintMicros, String outcome, boolean sent,
      long upstream, long latencyMicros) {}

  private final Path file;
  private final long maxBytes;
  private final BlockingQueue<CallRecord> queue = new ArrayBlockingQueue<>(MAX_QUEUED);
  private final AtomicLong dropped = new AtomicLong();
  private final Thread writer;
  private volatile boolean closed;

  private RecordsFile() {
    file = null;
    maxBytes = 0;
    writer = null;
  }

  RecordsFile(Path file, long maxBytes) {
    this.file = file;
    this.maxBytes = maxBytes;
    writer = new Thread(this::write, "records");
    writer.setDaemon(true);
    writer.start();
  }

  boolean isEnabled() {
    return file != null;
  }

  void add(CallRecord call) {
    if (file != null && !queue.offer(call)) {
      dropped.incrementAndGet();
    }
  }

  private void write() {
    try {
      while (!closed || !queue.isEmpty()) {
        try (Writer out = new BufferedWriter(
            Files.newBufferedWriter(file, StandardOpenOption.CREATE, StandardOpenOption.APPEND))) {
          long size = Files.size(file);
          while (size < maxBytes && (!closed || !queue.isEmpty())) {
            CallRecord call = queue.poll(POLL_MILLIS, TimeUnit.MILLISECONDS);
            if (call == null) {
              out.flush();
              continue;
            }
            String line = toJsonLine(call, dropped.getAndSet(0));
            size += line.length();
            out.write(line);
          }
        }
        if (Files.size(file) >= maxBytes) {
          Files.move(file, file.resolveSibling(file.getFileName() + ".1"), StandardCopyOption.REPLACE_EXISTING);
        }
      }
    } catch (IOException e) {
      LOG.warning("records are not kept any more: " + e);
      closed = true;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static String toJsonLine(CallRecord call, long dropped) throws IOException {
    StringWriter text = new StringWriter();
    try (JsonGenerator g = new JsonFactory().createGenerator(text)) {
      g.writeStartObject();
      g.writeNumberField("at_us", call.atMicros());
      g.writeStringField("class", call.className());
      g.writeStringField("tenant", call.tenant() == null ? "" : call.tenant());
      g.writeStringField("key", Long.toHexString(call.keyHash()));
      g.writeNumberField("hint_us", call.hintMicros());
      g.writeStringField(call.sent() ? "outcome" : "reason", call.outcome());
      g.writeStringField("upstream", Long.toHexString(call.upstream()));
      g.writeNumberField("latency_us", call.latencyMicros());
      if (dropped > 0) {
        g.writeNumberField("dropped_before", dropped);
      }
      g.writeEndObject();
    }
    return text.append('\n').toString();
  }

  /** The FNV-1a hash of a key, never 0; 0 for no key. Keys themselves are not recorded. */
  static long hash(String key) {
    if (key == null) {
      return 0;
    }
    long hash = 0xcbf29ce484222325L;
    for (int i = 0; i < key.length(); i++) {
      hash = (hash ^ key.charAt(i)) * 0x100000001b3L;
    }
    return hash == 0 ? 1 : hash;
  }

  static long nowMicros() {
    return System.currentTimeMillis() * MICROS_PER_MILLI;
  }

  /** Writes the queued records. */
  @Override
  public void close() {
    closed = true;
    if (writer != null) {
      try {
        writer.join(CLOSE_TIMEOUT_MILLIS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }
}
