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
 * The list last held, kept in a file in discovery's form: a successor starts with it. Written by a thread of its own, whole
 * or not at all, the latest list only.
 */
public final class HeldList implements AutoCloseable {

  private static final Logger LOG = Logger.getLogger(HeldList.class.getName());

  /** Guards against a file that was cut off or changed where it still can be read. */
  private static final String SUM = "\ncrc32c ";

  /** How long after a failure it is tried again. */
  private static final long AGAIN_MILLIS = 500;

  private final Path file;
  private final AtomicReference<ServerList> next = new AtomicReference<>();
  /** Used by the writer alone. */
  private boolean failing;
  private final ScheduledThreadPoolExecutor writer = new ScheduledThreadPoolExecutor(1, task -> {
    Thread thread = new Thread(task, "held list");
    thread.setDaemon(true);
    return thread;
  });

  public HeldList(Path file) {
    this.file = file;
    writer.setExecuteExistingDelayedTasksAfterShutdownPolicy(false);
  }

  /** The list in the file; none where there is none, or it can't be read: that is said and no reason not to start. */
  public static ServerList read(Path file) {
    if (file == null || !Files.exists(file)) {
      return ServerList.EMPTY;
    }
    try {
      return ListDecoder.list(Fields.parse(new JsonFactory(), "list", checked(Files.readString(file))));
    } catch (IOException | WireException e) {
      LOG.warning("the list held in " + file + " can't be read, starting without: " + e.getMessage());
      return ServerList.EMPTY;
    }
  }

  /** The list without its checksum, which is on a line of its own; files from before there was one have none. */
  private static String checked(String text) throws IOException {
    int at = text.lastIndexOf(SUM);
    if (at < 0) {
      return text;
    }
    String list = text.substring(0, at);
    if (!text.substring(at).equals(sum(list))) {
      throw new IOException("its checksum does not fit what it holds");
    }
    return list;
  }

  private static String sum(String list) {
    CRC32C crc = new CRC32C();
    crc.update(list.getBytes(StandardCharsets.UTF_8));
    return SUM + Long.toHexString(crc.getValue()) + "\n";
  }

  public void write(ServerList list) {
    if (file != null && next.getAndSet(list) == null) {
      writer.execute(this::writeLatest);
    }
  }

  private void writeLatest() {
    ServerList list = next.getAndSet(null);
    if (list == null) {
      return;
    }
    try {
      Files.createDirectories(file.toAbsolutePath().getParent());
      Path part = file.resolveSibling(file.getFileName() + ".part");
      String text = text(list);
      Files.writeString(part, text + sum(text));
      Files.move(part, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
      failing = false;
    } catch (IOException | RuntimeException e) {
      if (!failing) {
        LOG.warning("the list held can't be written to " + file + ", it is tried again: " + e);
      }
      failing = true;
      if (next.compareAndSet(null, list)) {
        writer.schedule(this::writeLatest, AGAIN_MILLIS, TimeUnit.MILLISECONDS);
      }
    }
  }

  public static String text(ServerList list) throws IOException {
    StringWriter text = new StringWriter();
    try (JsonGenerator g = new JsonFactory().createGenerator(text)) {
      g.writeStartObject();
      g.writeNumberField("revision", list.revision());
      g.writeBooleanField("complete", true);
      g.writeArrayFieldStart("members");
      for (Server s : list.members()) {
        InetSocketAddress address = (InetSocketAddress) s.address();
        String host = address.getAddress().getHostAddress();
        g.writeStartObject();
        g.writeStringField("id", s.id());
        g.writeStringField("host_port", (host.contains(":") ? "[" + host + "]" : host) + ":" + address.getPort());
        g.writeStringField("locality", s.zone());
        g.writeNumberField("cell", s.cell());
        g.writeStringField("phase", s.state() == State.READY ? "ready" : "draining");
        g.writeNumberField("size", s.size());
        g.writeNumberField("up_since_ms", s.upSinceMillis());
        g.writeEndObject();
      }
      g.writeEndArray();
      g.writeEndObject();
    }
    return text.toString();
  }

  /** Waits until the latest list is written; a second time nothing. */
  @Override
  public void close() {
    if (writer.isShutdown()) {
      return;
    }
    writer.execute(this::writeLatest); // What waits for its next try has it now.
    writer.shutdown();
    try {
      writer.awaitTermination(1, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
