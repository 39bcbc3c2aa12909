package cloverpulley.quota.service;

import cloverpulley.quota.Quotas.NodeSnapshot;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.zip.CRC32C;

/**
 * What nodes have used and are owed, kept over a restart: an append-only file of frames, each a batch of nodes' whole states at one time
 * under a CRC-32C, so that reading them in order and keeping the last of each node is the recovery, and reading one twice does no harm.
 * Past its bound the file is written anew with the last states alone, beside the old one, and put in its place in one step. A torn tail is
 * cut off; a spoilt frame is passed over to the next that fits, and counted: what was in it is taken from the frame before, which says
 * less used and more owed by what came between.
 */
public final class QuotaJournal implements AutoCloseable {

  private static final long MAGIC = 0x4153_4851_5543_0001L; // "ASHQ", and the version at its end.
  private static final int FRAME = 0x51F0_A3E7;
  private static final int HEAD = 20;
  private static final int MOST_FRAME = 64 << 20;
  private static final int MOST_LANES = 16;
  private static final int BATCH = 10_000;
  /** What nobody charged for so long has filled again in every window there may be; debts older than that are forgiven. */
  private static final long KEPT_MILLIS = 3_600_000;

  /** A node's state and when it was that. */
  public record TimestampedSnapshot(NodeSnapshot snapshot, long unixMillis) {}

  /** What was found. */
  public record Recovery(List<TimestampedSnapshot> snapshots, int frames, int corruptFrames, long truncatedBytes) {}

  /** Where octets go, so that a test can take a disk's part. */
  interface Disk {
    FileChannel open(Path file) throws IOException;
  }

  private static final Disk REAL = file -> FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.WRITE,
      StandardOpenOption.READ);

  private final Path file;
  private final String installation;
  private final long most;
  private final boolean force;
  private final Disk disk;
  private final Map<String, TimestampedSnapshot> last = new LinkedHashMap<>();
  private FileChannel out;
  private long size;

  /**
   * @param installation what this file belongs to, such as the names of the lanes: another's is refused
   * @param most octets at which the file is written anew
   * @param force whether each batch is forced to the disk
   */
  public QuotaJournal(Path file, String installation, long most, boolean force) {
    this(file, installation, most, force, REAL);
  }

  QuotaJournal(Path file, String installation, long most, boolean force, Disk disk) {
    this.file = file;
    this.installation = installation;
    this.most = most;
    this.force = force;
    this.disk = disk;
  }

  /**
   * Reads what there is, cuts a torn tail off, and goes on behind it.
   *
   * @throws IOException where it can't be read or written, or belongs to another installation
   */
  public Recovery open() throws IOException {
    if (file.toAbsolutePath().getParent() != null) {
      Files.createDirectories(file.toAbsolutePath().getParent());
    }
    out = disk.open(file);
    byte[] all = new byte[(int) Math.min(out.size(), Integer.MAX_VALUE - 16)];
    ByteBuffer b = ByteBuffer.wrap(all);
    while (b.hasRemaining() && out.read(b, b.position()) >= 0) {
      continue;
    }
    byte[] name = installation.getBytes(java.nio.charset.StandardCharsets.UTF_8);
    if (all.length < 12 + name.length) {
      begin(out, name);
      return new Recovery(List.of(), 0, 0, all.length);
    }
    ByteBuffer head = ByteBuffer.wrap(all);
    if (head.getLong() != MAGIC || head.getInt() != name.length || !head.slice(12, name.length).equals(ByteBuffer.wrap(name))) {
      out.close();
      throw new IOException(file + ": no journal of this installation's quotas, or of another version; it is left as it is");
    }
    return recover(all, 12 + name.length);
  }

  private Recovery recover(byte[] all, int from) throws IOException {
    int frames = 0;
    int corruptFrames = 0;
    int end = from;
    int at = from;
    boolean lost = false;
    while (at + HEAD <= all.length) {
      ByteBuffer h = ByteBuffer.wrap(all, at, HEAD);
      int magic = h.getInt();
      int length = h.getInt();
      long millis = h.getLong();
      boolean fits = magic == FRAME && length >= 0 && length <= MOST_FRAME && at + HEAD + length <= all.length
          && h.getInt() == sum(all, at, length);
      if (!fits) {
        corruptFrames += lost ? 0 : 1;
        lost = true;
        at++;
        continue;
      }
      lost = false;
      for (NodeSnapshot k : read(all, at + HEAD, length)) {
        last.remove(k.path());
        last.put(k.path(), new TimestampedSnapshot(k, millis));
      }
      frames++;
      at += HEAD + length;
      end = at;
    }
    // What follows the last frame that fits was cut off in its writing: no spoilt frame, but a tail.
    corruptFrames -= lost ? 1 : 0;
    out.truncate(end);
    out.position(end);
    size = end;
    return new Recovery(new ArrayList<>(last.values()), frames, corruptFrames, all.length - end);
  }

  private static int sum(byte[] all, int at, int length) {
    CRC32C crc = new CRC32C();
    crc.update(all, at, 16);
    crc.update(all, at + HEAD, length);
    return (int) crc.getValue();
  }

  private void begin(FileChannel to, byte[] name) throws IOException {
    to.truncate(0);
    ByteBuffer b = ByteBuffer.allocate(12 + name.length).putLong(MAGIC).putInt(name.length).put(name).flip();
    size = b.remaining();
    write(to, b, 0);
    to.position(size);
  }

  private static void write(FileChannel to, ByteBuffer b, long at) throws IOException {
    long p = at;
    while (b.hasRemaining()) {
      p += to.write(b, p);
    }
  }

  /** Appends the states of nodes that have changed, all of one time. */
  public void append(long unixMillis, Collection<NodeSnapshot> changed) throws IOException {
    if (changed.isEmpty()) {
      return;
    }
    if (out == null) {
      if (size == 0) {
        throw new IOException(file + ": the journal is not open");
      }
      out = disk.open(file); // Written anew, and then not to be opened: it may be now.
    }
    ByteBuffer frame = frame(unixMillis, changed);
    write(out, frame, size);
    size += frame.limit();
    changed.forEach(k -> {
      last.remove(k.path());
      last.put(k.path(), new TimestampedSnapshot(k, unixMillis));
    });
    if (force) {
      out.force(false);
    }
    if (size > most) {
      compact(unixMillis);
    }
  }

  private static ByteBuffer frame(long unixMillis, Collection<NodeSnapshot> of) throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    DataOutputStream d = new DataOutputStream(bytes);
    d.writeInt(of.size());
    for (NodeSnapshot k : of) {
      d.writeUTF(k.path());
      d.writeByte(k.used().length);
      for (int i = 0; i < k.used().length; i++) {
        d.writeFloat((float) k.used()[i]);
        d.writeFloat((float) k.lag()[i]);
        d.writeFloat((float) k.credit()[i]);
        d.writeFloat((float) k.windowUsage()[i]);
      }
    }
    byte[] body = bytes.toByteArray();
    ByteBuffer b = ByteBuffer.allocate(HEAD + body.length).putInt(FRAME).putInt(body.length).putLong(unixMillis).putInt(0).put(body);
    b.putInt(16, sum(b.array(), 0, body.length));
    return b.flip();
  }

  private static List<NodeSnapshot> read(byte[] all, int at, int length) throws IOException {
    List<NodeSnapshot> snapshots = new ArrayList<>();
    DataInputStream d = new DataInputStream(new ByteArrayInputStream(all, at, length));
    int n = d.readInt();
    for (int i = 0; i < n; i++) {
      String path = d.readUTF();
      int lanes = d.readUnsignedByte();
      if (lanes > MOST_LANES) {
        throw new IOException("more lanes than there may be");
      }
      double[][] f = new double[4][lanes];
      for (int j = 0; j < lanes; j++) {
        for (int k = 0; k < 4; k++) {
          f[k][j] = d.readFloat();
        }
      }
      snapshots.add(new NodeSnapshot(path, f[0], f[1], f[2], f[3]));
    }
    return snapshots;
  }

  /** Written anew beside the old one, and in its place in one step: at any moment one of the two is whole. */
  private void compact(long unixMillis) throws IOException {
    Path part = file.resolveSibling(file.getFileName() + ".part");
    Files.deleteIfExists(part);
    long before = size;
    try (FileChannel next = disk.open(part)) {
      begin(next, installation.getBytes(java.nio.charset.StandardCharsets.UTF_8));
      last.values().removeIf(t -> t.unixMillis < unixMillis - KEPT_MILLIS);
      // In batches of one time each; most are of few times, for what is charged is charged again.
      Map<Long, List<NodeSnapshot>> byTime = new TreeMap<>();
      last.values().forEach(t -> byTime.computeIfAbsent(t.unixMillis, k -> new ArrayList<>()).add(t.snapshot));
      for (Map.Entry<Long, List<NodeSnapshot>> e : byTime.entrySet()) {
        for (int i = 0; i < e.getValue().size(); i += BATCH) {
          ByteBuffer b = frame(e.getKey(), e.getValue().subList(i, Math.min(e.getValue().size(), i + BATCH)));
          write(next, b, size);
          size += b.limit();
        }
      }
      next.force(true);
    } catch (IOException e) {
      size = before; // The old one goes on.
      throw e;
    }
    try {
      Files.move(part, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    } catch (IOException e) {
      size = before;
      throw e;
    }
    // The old one has no name any more: nothing may go there.
    FileChannel old = out;
    out = null;
    old.close();
    out = disk.open(file);
  }

  long size() {
    return size;
  }

  @Override
  public void close() throws IOException {
    if (out != null) {
      out.force(false);
      out.close();
      out = null;
    }
  }
}
