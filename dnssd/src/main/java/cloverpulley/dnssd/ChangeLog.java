package cloverpulley.dnssd;

import cloverpulley.membership.Change;
import cloverpulley.membership.Member;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.StringWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.logging.Logger;

/**
 * The program's own records of what was believed when and why: a line of JSON for each change. A thread of its own writes; past a
 * bound of what waits, lines are dropped and the next one says how many. A file that has its size is kept once, as {@code FILE.1}.
 */
final class ChangeLog implements AutoCloseable {

  private static final Logger LOG = Logger.getLogger(ChangeLog.class.getName());
  private static final int MOST_WAITING = 100_000;

  private final Path file;
  private final long mostBytes;
  private final AtomicLong dropped = new AtomicLong();
  private final ThreadPoolExecutor writer;
  private boolean failing;

  /** {@code file} null for no records. */
  ChangeLog(Path file, long mostBytes) {
    this.file = file;
    this.mostBytes = mostBytes;
    writer = file == null ? null : new ThreadPoolExecutor(1, 1, 0, TimeUnit.SECONDS, new ArrayBlockingQueue<>(MOST_WAITING), task -> {
      Thread thread = new Thread(task, "dns-sd records");
      thread.setDaemon(true);
      return thread;
    }, (task, pool) -> dropped.incrementAndGet());
  }

  void add(Change c) {
    LOG.fine(c::toString);
    if (file != null) {
      writer.execute(() -> write(c));
    }
  }

  private void write(Change c) {
    try {
      if (Files.exists(file) && Files.size(file) >= mostBytes) {
        Files.move(file, file.resolveSibling(file.getFileName() + ".1"), StandardCopyOption.REPLACE_EXISTING);
      }
      Files.writeString(file, json(c, dropped.getAndSet(0)) + "\n", StandardCharsets.UTF_8, StandardOpenOption.CREATE,
          StandardOpenOption.APPEND);
      failing = false;
    } catch (IOException e) {
      if (!failing) {
        LOG.warning("records of dns-sd can't be written to " + file + ": " + e);
      }
      failing = true;
    }
  }

  static String json(Change c, long lost) throws IOException {
    Member m = c.member();
    StringWriter text = new StringWriter();
    try (JsonGenerator g = new JsonFactory().createGenerator(text)) {
      g.writeStartObject();
      g.writeNumberField("at_ms", c.at());
      g.writeStringField("id", m.id());
      g.writeStringField("instance", m.instance());
      g.writeStringField("address", m.address());
      g.writeNumberField("port", m.port());
      g.writeStringField("phase", m.phase().name().toLowerCase(java.util.Locale.ROOT));
      g.writeStringField("why", c.reason().code());
      if (c.resolver() >= 0) {
        g.writeNumberField("resolver", c.resolver());
      }
      g.writeNumberField("up_since_ms", m.upSince());
      if (lost > 0) {
        g.writeNumberField("lost_before", lost);
      }
      g.writeEndObject();
    }
    return text.toString();
  }

  /** Waits until what was said is written. */
  @Override
  public void close() {
    if (writer != null) {
      writer.shutdown();
      try {
        writer.awaitTermination(1, TimeUnit.SECONDS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }
}
