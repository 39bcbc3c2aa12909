package cloverpulley.fleet;

import cloverpulley.Balancer.State;
import cloverpulley.discovery.ListDecoder;
import cloverpulley.engine.ServerList;
import cloverpulley.engine.ServerList.Server;
import cloverpulley.wire.Fields;
import cloverpulley.wire.WireException;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.StringWriter;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.logging.Logger;
import java.util.zip.CRC32C;

/**
 * Caches the latest server list in a file, in the format of the discovery service; a successor starts with it. A dedicated thread writes
 * the file atomically, and only the latest list.
 */
public final class HeldList implements AutoCloseable {

  private static final Logger LOG = Logger.getLogger(HeldList.class.getName());

  /** The checksum detects a file that is truncated or altered but can still be parsed. */
  private static final String CHECKSUM_PREFIX = "\ncrc32c ";

  /** How long after a failure the write is retried. */
  private static final long RETRY_MILLIS = 500;

  private final Path file;
  private final AtomicReference<ServerList> pending = new AtomicReference<>();
  /** Used by the writer thread only. */
  private boolean failing;
  private final ScheduledThreadPoolExecutor writer = new ScheduledThreadPoolExecutor(1, task -> {
    Thread thread = new Thread(task, "cached list");
    thread.setDaemon(true);
    return thread;
  });

  public HeldList(Path file) {
    this.file = file;
    writer.setExecuteExistingDelayedTasksAfterShutdownPolicy(false);
  }

  /** Reads the list; empty if there is no file or it is invalid. An invalid file is logged and does not prevent a start. */
  public static ServerList read(Path file) {
    if (file == null || !Files.exists(file)) {
      return ServerList.EMPTY;
    }
    try {
      return ListDecoder.list(Fields.parse(new JsonFactory(), "list", verifyChecksum(Files.readString(file))));
    } catch (IOException | WireException e) {
      LOG.warning("cached list " + file + " can't be read, starting without it: " + e.getMessage());
      return ServerList.EMPTY;
    }
  }

  /** Verifies and removes the checksum, which is on a line of its own; files of older versions have none. */
  private static String verifyChecksum(String content) throws IOException {
    int checksumAt = content.lastIndexOf(CHECKSUM_PREFIX);
    if (checksumAt < 0) {
      return content;
    }
    String list = content.substring(0, checksumAt);
    if (!content.substring(checksumAt).equals(checksumLine(list))) {
      throw new IOException("checksum mismatch");
    }
    return list;
  }

  private static String checksumLine(String list) {
    CRC32C crc = new CRC32C();
    crc.update(list.getBytes(StandardCharsets.UTF_8));
    return CHECKSUM_PREFIX + Long.toHexString(crc.getValue()) + "\n";
  }

  public void write(ServerList list) {
    if (file != null && pending.getAndSet(list) == null) {
      writer.execute(this::writeLatest);
    }
  }

  private void writeLatest() {
    ServerList list = pending.getAndSet(null);
    if (list == null) {
      return;
    }
    try {
      Files.createDirectories(file.toAbsolutePath().getParent());
      Path temporary = file.resolveSibling(file.getFileName() + ".part");
      String content = toJson(list);
      Files.writeString(temporary, content + checksumLine(content));
      Files.move(temporary, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
      failing = false;
    } catch (IOException | RuntimeException e) {
      if (!failing) {
        LOG.warning("cached list can't be written to " + file + ", retrying: " + e);
      }
      failing = true;
      if (pending.compareAndSet(null, list)) {
        writer.schedule(this::writeLatest, RETRY_MILLIS, TimeUnit.MILLISECONDS);
      }
    }
  }

  public static String toJson(ServerList list) throws IOException {
    StringWriter out = new StringWriter();
    try (JsonGenerator json = new JsonFactory().createGenerator(out)) {
      json.writeStartObject();
      json.writeNumberField("revision", list.revision());
      json.writeBooleanField("complete", true);
      json.writeArrayFieldStart("members");
      for (Server server : list.members()) {
        InetSocketAddress address = (InetSocketAddress) server.address();
        String host = address.getAddress().getHostAddress();
        json.writeStartObject();
        json.writeStringField("id", server.id());
        json.writeStringField("host_port", (host.contains(":") ? "[" + host + "]" : host) + ":" + address.getPort());
        json.writeStringField("locality", server.zone());
        json.writeNumberField("cell", server.cell());
        json.writeStringField("phase", server.state() == State.READY ? "ready" : "draining");
        json.writeNumberField("size", server.size());
        json.writeNumberField("up_since_ms", server.upSinceMillis());
        json.writeEndObject();
      }
      json.writeEndArray();
      json.writeEndObject();
    }
    return out.toString();
  }

  /** Waits until the latest list is written; idempotent. */
  @Override
  public void close() {
    if (writer.isShutdown()) {
      return;
    }
    writer.execute(this::writeLatest); // Retries a failed write at once.
    writer.shutdown();
    try {
      writer.awaitTermination(1, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
