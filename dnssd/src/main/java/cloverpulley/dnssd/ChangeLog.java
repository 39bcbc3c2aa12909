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
 * Logs every change of the server list with its reason, as one line of JSON. A dedicated thread writes; if its queue is full, lines
 * are dropped and the next line contains their number. A file that has reached its maximum size is rotated once, to {@code FILE.1}.
 */
final class ChangeLog implements AutoCloseable {

  private static final Logger LOG = Logger.getLogger(ChangeLog.class.getName());
  private static final int MAX_QUEUED = 100_000;

  private final Path file;
  private final long maxBytes;
  private final AtomicLong dropped = new AtomicLong();
  private final ThreadPoolExecutor writer;
  private boolean failing;

  /** Creates a log; {@code file} is null if changes are not logged. */
  ChangeLog(Path file, long maxBytes) {
    this.file = file;
    this.maxBytes = maxBytes;
    writer = file == null ? null : new ThreadPoolExecutor(1, 1, 0, TimeUnit.SECONDS, new ArrayBlockingQueue<>(MAX_QUEUED), task -> {
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
      if (Files.exists(file) && Files.size(file) >= maxBytes) {
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

  static String json(Change c, long droppedBefore) throws IOException {
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
      if (droppedBefore > 0) {
        g.writeNumberField("lost_before", droppedBefore);
      }
      g.writeEndObject();
    }
    return text.toString();
  }

  /** Waits up to one second for queued lines to be written. */
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
