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
 * Journal of the quota state over restarts. An append-only file of frames; each frame holds complete snapshots of a batch of nodes at one
 * time and a CRC-32C. Recovery reads the frames in order and keeps the last snapshot of each node; reading a frame twice does no harm.
 * Beyond a size limit the file is compacted: the latest snapshots are written to a new file that replaces the old one atomically. A
 * truncated frame at the end is cut off. A corrupt frame is skipped up to the next valid one and counted; its nodes are recovered from an
 * earlier frame, which understates usage and overstates credit by what happened in between.
 */
public final class QuotaJournal implements AutoCloseable {

  private static final long MAGIC = 0x4153_4851_5543_0001L; // "ASHQUC" and the version in the last two bytes.
  private static final int FRAME_MAGIC = 0x51F0_A3E7;
  private static final int HEADER_BYTES = 20;
  private static final int MAX_FRAME_BYTES = 64 << 20;
  private static final int MAX_LANES = 16;
  private static final int COMPACTION_BATCH = 10_000;
  /** A node without charges for this long has been refilled in every possible window; older credit is dropped. */
  private static final long RETENTION_MILLIS = 3_600_000;

  public record TimestampedSnapshot(NodeSnapshot snapshot, long unixMillis) {}

  /** Result of recovery: the latest snapshot of each node, and what was found in the file. */
  public record Recovery(List<TimestampedSnapshot> snapshots, int frames, int corruptFrames, long truncatedBytes) {}

  /** Opens the files, so that tests can inject disk errors. */
  interface FileOpener {
    FileChannel open(Path file) throws IOException;
  }

  private static final FileOpener DEFAULT_OPENER = file -> FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.WRITE,
      StandardOpenOption.READ);

  private final Path file;
  private final String installation;
  private final long maxBytes;
  private final boolean force;
  private final FileOpener opener;
  private final Map<String, TimestampedSnapshot> latest = new LinkedHashMap<>();
  private FileChannel channel;
  private long size;

  /**
   * @param installation identity of the installation, such as its lanes; a file of another one is rejected
   * @param maxBytes size beyond which the file is compacted
   * @param force whether each write is forced to the disk
   */
  public QuotaJournal(Path file, String installation, long maxBytes, boolean force) {
    this(file, installation, maxBytes, force, DEFAULT_OPENER);
  }

  QuotaJournal(Path file, String installation, long maxBytes, boolean force, FileOpener opener) {
    this.file = file;
    this.installation = installation;
    this.maxBytes = maxBytes;
    this.force = force;
    this.opener = opener;
  }

  /**
   * Recovers the state from the file, cuts off a truncated frame at the end and continues to write behind it.
   *
   * @throws IOException if the file can't be read or written, or belongs to another installation
   */
  public Recovery open() throws IOException {
    if (file.toAbsolutePath().getParent() != null) {
      Files.createDirectories(file.toAbsolutePath().getParent());
    }
    channel = opener.open(file);
    byte[] bytes = new byte[(int) Math.min(channel.size(), Integer.MAX_VALUE - 16)];
    ByteBuffer buffer = ByteBuffer.wrap(bytes);
    while (buffer.hasRemaining() && channel.read(buffer, buffer.position()) >= 0) {
      continue;
    }
    byte[] name = installation.getBytes(java.nio.charset.StandardCharsets.UTF_8);
    if (bytes.length < 12 + name.length) {
      writeHeader(channel, name);
      return new Recovery(List.of(), 0, 0, bytes.length);
    }
    ByteBuffer header = ByteBuffer.wrap(bytes);
    if (header.getLong() != MAGIC || header.getInt() != name.length || !header.slice(12, name.length).equals(ByteBuffer.wrap(name))) {
      channel.close();
      throw new IOException(file + ": not a quota journal of this installation, or one of another version; the file is left unchanged");
    }
    return recover(bytes, 12 + name.length);
  }

  private Recovery recover(byte[] bytes, int from) throws IOException {
    int frames = 0;
    int corruptFrames = 0;
    int end = from;
    int at = from;
    boolean inCorruptRegion = false;
    while (at + HEADER_BYTES <= bytes.length) {
      ByteBuffer header = ByteBuffer.wrap(bytes, at, HEADER_BYTES);
      int magic = header.getInt();
      int length = header.getInt();
      long unixMillis = header.getLong();
      boolean valid = magic == FRAME_MAGIC && length >= 0 && length <= MAX_FRAME_BYTES && at + HEADER_BYTES + length <= bytes.length
          && header.getInt() == checksum(bytes, at, length);
      if (!valid) {
        corruptFrames += inCorruptRegion ? 0 : 1;
        inCorruptRegion = true;
        at++;
        continue;
      }
      inCorruptRegion = false;
      for (NodeSnapshot s : decodeFrame(bytes, at + HEADER_BYTES, length)) {
        latest.remove(s.path());
        latest.put(s.path(), new TimestampedSnapshot(s, unixMillis));
      }
      frames++;
      at += HEADER_BYTES + length;
      end = at;
    }
    // Bytes behind the last valid frame are a truncated write, not a corrupt frame.
    corruptFrames -= inCorruptRegion ? 1 : 0;
    channel.truncate(end);
    channel.position(end);
    size = end;
    return new Recovery(new ArrayList<>(latest.values()), frames, corruptFrames, bytes.length - end);
  }

  private static int checksum(byte[] bytes, int at, int length) {
    CRC32C crc = new CRC32C();
    crc.update(bytes, at, 16);
    crc.update(bytes, at + HEADER_BYTES, length);
    return (int) crc.getValue();
  }

  private void writeHeader(FileChannel target, byte[] name) throws IOException {
    target.truncate(0);
    ByteBuffer buffer = ByteBuffer.allocate(12 + name.length).putLong(MAGIC).putInt(name.length).put(name).flip();
    size = buffer.remaining();
    writeFully(target, buffer, 0);
    target.position(size);
  }

  private static void writeFully(FileChannel target, ByteBuffer buffer, long at) throws IOException {
    long p = at;
    while (buffer.hasRemaining()) {
      p += target.write(buffer, p);
    }
  }

  /** Appends snapshots of changed nodes, all taken at one time. */
  public void append(long unixMillis, Collection<NodeSnapshot> snapshots) throws IOException {
    if (snapshots.isEmpty()) {
      return;
    }
    if (channel == null) {
      if (size == 0) {
        throw new IOException(file + ": the journal is not open");
      }
      channel = opener.open(file); // The file could not be reopened after a compaction; try again.
    }
    ByteBuffer frame = encodeFrame(unixMillis, snapshots);
    writeFully(channel, frame, size);
    size += frame.limit();
    snapshots.forEach(s -> {
      latest.remove(s.path());
      latest.put(s.path(), new TimestampedSnapshot(s, unixMillis));
    });
    if (force) {
      channel.force(false);
    }
    if (size > maxBytes) {
      compact(unixMillis);
    }
  }

  private static ByteBuffer encodeFrame(long unixMillis, Collection<NodeSnapshot> snapshots) throws IOException {
    ByteArrayOutputStream output = new ByteArrayOutputStream();
    DataOutputStream data = new DataOutputStream(output);
    data.writeInt(snapshots.size());
    for (NodeSnapshot s : snapshots) {
      data.writeUTF(s.path());
      data.writeByte(s.used().length);
      for (int i = 0; i < s.used().length; i++) {
        data.writeFloat((float) s.used()[i]);
        data.writeFloat((float) s.lag()[i]);
        data.writeFloat((float) s.credit()[i]);
        data.writeFloat((float) s.windowUsage()[i]);
      }
    }
    byte[] body = output.toByteArray();
    ByteBuffer buffer = ByteBuffer.allocate(HEADER_BYTES + body.length).putInt(FRAME_MAGIC).putInt(body.length).putLong(unixMillis)
        .putInt(0).put(body);
    buffer.putInt(16, checksum(buffer.array(), 0, body.length));
    return buffer.flip();
  }

  private static List<NodeSnapshot> decodeFrame(byte[] bytes, int at, int length) throws IOException {
    List<NodeSnapshot> snapshots = new ArrayList<>();
    DataInputStream data = new DataInputStream(new ByteArrayInputStream(bytes, at, length));
    int count = data.readInt();
    for (int i = 0; i < count; i++) {
      String path = data.readUTF();
      int lanes = data.readUnsignedByte();
      if (lanes > MAX_LANES) {
        throw new IOException("more lanes than supported");
      }
      double[][] values = new double[4][lanes];
      for (int j = 0; j < lanes; j++) {
        for (int k = 0; k < 4; k++) {
          values[k][j] = data.readFloat();
        }
      }
      snapshots.add(new NodeSnapshot(path, values[0], values[1], values[2], values[3]));
    }
    return snapshots;
  }

  /** Writes the latest snapshots to a new file and replaces the old one atomically: one of the two is complete at any time. */
  private void compact(long unixMillis) throws IOException {
    Path temporary = file.resolveSibling(file.getFileName() + ".part");
    Files.deleteIfExists(temporary);
    long previousSize = size;
    try (FileChannel target = opener.open(temporary)) {
      writeHeader(target, installation.getBytes(java.nio.charset.StandardCharsets.UTF_8));
      latest.values().removeIf(t -> t.unixMillis < unixMillis - RETENTION_MILLIS);
      // One frame per time and batch. There are few different times, because active nodes are charged again.
      Map<Long, List<NodeSnapshot>> byTime = new TreeMap<>();
      latest.values().forEach(t -> byTime.computeIfAbsent(t.unixMillis, k -> new ArrayList<>()).add(t.snapshot));
      for (Map.Entry<Long, List<NodeSnapshot>> e : byTime.entrySet()) {
        for (int i = 0; i < e.getValue().size(); i += COMPACTION_BATCH) {
          ByteBuffer buffer = encodeFrame(e.getKey(), e.getValue().subList(i, Math.min(e.getValue().size(), i + COMPACTION_BATCH)));
          writeFully(target, buffer, size);
          size += buffer.limit();
        }
      }
      target.force(true);
    } catch (IOException e) {
      size = previousSize; // The old file stays in use.
      throw e;
    }
    try {
      Files.move(temporary, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    } catch (IOException e) {
      size = previousSize;
      throw e;
    }
    // The old file is unlinked and must not be written any more.
    FileChannel old = channel;
    channel = null;
    old.close();
    channel = opener.open(file);
  }

  long size() {
    return size;
  }

  @Override
  public void close() throws IOException {
    if (channel != null) {
      channel.force(false);
      channel.close();
      channel = null;
    }
  }
}
