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
 * The program's own records: one JSON object a line for each call, from when it has ended. A thread of its own writes; past a
 * bound of what waits, records are dropped and the next line says how many. A file that has reached its size is kept once,
 * under its name and {@code .1}.
 */
final class RecordsFile implements AutoCloseable {

  /** Where no records are kept. */
  static final RecordsFile NONE = new RecordsFile();

  private static final Logger LOG = Logger.getLogger(RecordsFile.class.getName());

  private static final int MOST_WAITING = 65_536;
  private static final long POLL_MILLIS = 100;
  private static final long CLOSE_MILLIS = 2000;
  private static final long CLOCK_MICROS = 1000;

  /**
   * One call.
   *
   * @param atMicros Unix time at which it came, in microseconds
   * @param keyHash of its key; 0 for none
   * @param word the outcome of its attempt, or the reason why it had none
   * @param upstream the module's number; 0 for none
   */
  record Call(long atMicros, String className, String tenant, long keyHash, long hintMicros, String word, boolean sent,
      long upstream, long latencyMicros) {}

  private final Path file;
  private final long mostBytes;
  private final BlockingQueue<Call> waiting = new ArrayBlockingQueue<>(MOST_WAITING);
  private final AtomicLong dropped = new AtomicLong();
  private final Thread writer;
  private volatile boolean closed;

  private RecordsFile() {
    file = null;
    mostBytes = 0;
    writer = null;
  }

  RecordsFile(Path file, long mostBytes) {
    this.file = file;
    this.mostBytes = mostBytes;
    writer = new Thread(this::write, "records");
    writer.setDaemon(true);
    writer.start();
  }

  boolean isKept() {
    return file != null;
  }

  void add(Call call) {
    if (file != null && !waiting.offer(call)) {
      dropped.incrementAndGet();
    }
  }

  private void write() {
    try {
      while (!closed || !waiting.isEmpty()) {
        try (Writer out = new BufferedWriter(
            Files.newBufferedWriter(file, StandardOpenOption.CREATE, StandardOpenOption.APPEND))) {
          long size = Files.size(file);
          while (size < mostBytes && (!closed || !waiting.isEmpty())) {
            Call call = waiting.poll(POLL_MILLIS, TimeUnit.MILLISECONDS);
            if (call == null) {
              out.flush();
              continue;
            }
            String line = line(call, dropped.getAndSet(0));
            size += line.length();
            out.write(line);
          }
        }
        if (Files.size(file) >= mostBytes) {
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

  private static String line(Call c, long dropped) throws IOException {
    StringWriter text = new StringWriter();
    try (JsonGenerator g = new JsonFactory().createGenerator(text)) {
      g.writeStartObject();
      g.writeNumberField("at_us", c.atMicros());
      g.writeStringField("class", c.className());
      g.writeStringField("tenant", c.tenant() == null ? "" : c.tenant());
      g.writeStringField("key", Long.toHexString(c.keyHash()));
      g.writeNumberField("hint_us", c.hintMicros());
      g.writeStringField(c.sent() ? "outcome" : "reason", c.word());
      g.writeStringField("upstream", Long.toHexString(c.upstream()));
      g.writeNumberField("latency_us", c.latencyMicros());
      if (dropped > 0) {
        g.writeNumberField("dropped_before", dropped);
      }
      g.writeEndObject();
    }
    return text.append('\n').toString();
  }

  /** FNV-1a, never 0; 0 for none. Keys themselves are not kept. */
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
    return System.currentTimeMillis() * CLOCK_MICROS;
  }

  /** Writes what waits. */
  @Override
  public void close() {
    closed = true;
    if (writer != null) {
      try {
        writer.join(CLOSE_MILLIS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }
}
