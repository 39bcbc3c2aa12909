package cloverpulley.records;

import cloverpulley.incident.Entry;
import cloverpulley.incident.Origin;
import cloverpulley.incident.Query.Constraints;
import com.github.luben.zstd.Zstd;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.Consumer;
import java.util.zip.CRC32C;
import org.roaringbitmap.RoaringBitmap;

/**
 * Reads one segment as far as possible. Without an index (its writer was killed or is still writing) it scans the frames. After a corrupt
 * block it continues with the next one whose checksum matches, and it ignores a truncated end. {@link #damage} reports what was lost.
 */
final class SegmentReader implements AutoCloseable {

  private static final int MAX_INDEX_SIZE = 256 << 20;
  private static final int SCAN_CHUNK_BYTES = 1 << 20;
  private static final int MAX_NAME_BYTES = 2048;

  /**
   * Damage found while reading.
   *
   * @param lostBytes bytes skipped with corrupt blocks
   * @param truncatedBytes bytes after the last valid frame
   */
  record Damage(int corruptBlocks, long lostBytes, long truncatedBytes) {}

  private final FileChannel channel;
  private final long length;
  private final Origin origin;
  private final String frontend;
  private final long dataOffset;
  private SegmentIndex index;
  private int corruptBlocks;
  private long lostBytes;
  private long truncatedBytes;

  /** @throws CorruptSegmentException if the file is not a segment, has an unsupported version or a corrupt header */
  SegmentReader(Path file) throws IOException {
    channel = FileChannel.open(file, StandardOpenOption.READ);
    try {
      length = channel.size();
      byte[] magic = read(0, SegmentWriter.MAGIC.length);
      if (!Arrays.equals(magic, 0, 7, SegmentWriter.MAGIC, 0, 7)) {
        throw new CorruptSegmentException("not a records segment");
      } else if (magic[7] != SegmentWriter.MAGIC[7]) {
        throw new CorruptSegmentException("unsupported version " + magic[7] + ", expected version " + SegmentWriter.MAGIC[7]);
      }
      Frame header = readFrame(SegmentWriter.MAGIC.length);
      if (header == null || header.type() != Frame.HEADER || header.storedSize() > 4 * MAX_NAME_BYTES) {
        throw new CorruptSegmentException("missing header");
      }
      byte[] frame = read(SegmentWriter.MAGIC.length, Frame.SIZE + header.storedSize());
      if (!header.checksumMatches(frame, 0)) {
        throw new CorruptSegmentException("corrupt header");
      }
      VarintBuffer in = new VarintBuffer(Arrays.copyOfRange(frame, Frame.SIZE, frame.length), header.storedSize());
      String instance = in.readString(MAX_NAME_BYTES);
      origin = new Origin(instance, in.readSignedVarint());
      frontend = in.readString(MAX_NAME_BYTES);
      dataOffset = SegmentWriter.MAGIC.length + Frame.SIZE + header.storedSize();
      index = readIndex();
    } catch (IOException e) {
      channel.close();
      throw e;
    }
  }

  Origin origin() {
    return origin;
  }

  String frontend() {
    return frontend;
  }

  /** Whether the segment has a valid index, that is, whether its writer finished it. */
  boolean isComplete() {
    return index != null;
  }

  private byte[] read(long offset, int count) throws IOException {
    if (offset < 0 || offset + count > length) {
      throw new CorruptSegmentException("truncated");
    }
    ByteBuffer b = ByteBuffer.allocate(count);
    while (b.hasRemaining()) {
      if (channel.read(b, offset + b.position()) < 0) {
        throw new CorruptSegmentException("truncated");
      }
    }
    return b.array();
  }

  private Frame readFrame(long offset) throws IOException {
    return offset + Frame.SIZE > length ? null : Frame.read(ByteBuffer.wrap(read(offset, Frame.SIZE)));
  }

  /** Reads the index at the end of the file; null if there is none with a matching checksum. */
  private SegmentIndex readIndex() {
    try {
      ByteBuffer trailer = ByteBuffer.wrap(read(length - SegmentWriter.TRAILER_SIZE, SegmentWriter.TRAILER_SIZE));
      CRC32C crc = new CRC32C();
      crc.update(trailer.array(), 0, 12);
      if (trailer.getInt(16) != SegmentWriter.TRAILER_MAGIC || trailer.getInt(12) != (int) crc.getValue()) {
        return null;
      }
      long offset = trailer.getLong(0);
      Frame f = readFrame(offset);
      if (f == null || f.type() != Frame.FOOTER || f.rawSize() > MAX_INDEX_SIZE) {
        return null;
      }
      byte[] frame = read(offset, Frame.SIZE + f.storedSize());
      return f.checksumMatches(frame, 0) ? SegmentIndex.read(decompress(f, frame)) : null;
    } catch (IOException e) {
      return null; // The reader then scans the frames.
    }
  }

  private static byte[] decompress(Frame f, byte[] frame) throws CorruptSegmentException {
    byte[] raw = new byte[f.rawSize()];
    long n = Zstd.decompressByteArray(raw, 0, raw.length, frame, Frame.SIZE, f.storedSize());
    if (Zstd.isError(n) || n != f.rawSize()) {
      throw new CorruptSegmentException("decompression of a block failed");
    }
    return raw;
  }

  /**
   * Passes all records of the blocks that may contain matches to the consumer, in the order in which they were written. The caller has to
   * test each record, as a block also contains others.
   *
   * @param clockOffset added to the records' times before they are compared
   * @return number of blocks read
   */
  int read(Constraints constraints, long clockOffset, boolean useIndex, Consumer<Entry> consumer) throws IOException {
    if (index == null || !useIndex) {
      return scan(constraints, clockOffset, consumer);
    }
    RoaringBitmap matchingBlocks = index.matchingBlocks(constraints, clockOffset);
    int blocks = 0;
    for (int i : matchingBlocks) {
      SegmentIndex.Block b = index.blocks().get(i);
      Frame f = readFrame(b.offset());
      if (f == null || f.type() != Frame.DATA || !readBlock(b.offset(), f, consumer)) {
        corruptBlocks++;
        lostBytes += f == null ? 0 : f.storedSize() + Frame.SIZE;
      }
      blocks++;
    }
    return blocks;
  }

  /** Reads the block at an offset and returns whether it is valid; the records of an invalid one are not passed on. */
  private boolean readBlock(long offset, Frame f, Consumer<Entry> consumer) throws IOException {
    if (offset + Frame.SIZE + f.storedSize() > length) {
      return false;
    }
    byte[] frame = read(offset, Frame.SIZE + f.storedSize());
    if (!f.checksumMatches(frame, 0)) {
      return false;
    }
    try {
      List<Entry> rows = new ArrayList<>(f.count());
      Rows.read(origin, f.firstSeq(), f.count(), decompress(f, frame), f.rawSize(), rows::add);
      rows.forEach(consumer);
      return true;
    } catch (CorruptSegmentException e) {
      return false;
    }
  }

  private int scan(Constraints constraints, long clockOffset, Consumer<Entry> consumer) throws IOException {
    int blocks = 0;
    long offset = dataOffset;
    while (offset < length) {
      Frame f = readFrame(offset);
      if (f != null && f.type() == Frame.FOOTER) {
        break;
      }
      boolean complete = f != null && f.type() == Frame.DATA && offset + Frame.SIZE + f.storedSize() <= length;
      boolean inRange = complete && f.maxTime() + clockOffset >= constraints.from() && f.minTime() + clockOffset <= constraints.to();
      if (complete && !inRange && hasValidChecksum(offset, f)) {
        offset += Frame.SIZE + f.storedSize();
        continue;
      }
      if (complete && inRange && readBlock(offset, f, consumer)) {
        blocks++;
        offset += Frame.SIZE + f.storedSize();
        continue;
      }
      long next = findNextFrame(offset + 1);
      if (next < 0) {
        truncatedBytes += length - offset;
        break;
      }
      corruptBlocks++;
      lostBytes += next - offset;
      offset = next;
    }
    return blocks;
  }

  /**
   * Whether the checksum of a frame matches. Blocks that are skipped by their time range are checked too, because the header of a corrupt
   * block can't be trusted.
   */
  private boolean hasValidChecksum(long offset, Frame f) throws IOException {
    return f.checksumMatches(read(offset, Frame.SIZE + f.storedSize()), 0);
  }

  /** Offset of the next frame with a matching checksum, data block or index; -1 if there is none. */
  private long findNextFrame(long from) throws IOException {
    for (long offset = from; offset < length; offset += SCAN_CHUNK_BYTES) {
      int n = (int) Math.min(SCAN_CHUNK_BYTES + 3, length - offset);
      ByteBuffer b = ByteBuffer.wrap(read(offset, n));
      for (int i = 0; i + 4 <= n; i++) {
        if (b.getInt(i) == Frame.MAGIC) {
          Frame f = readFrame(offset + i);
          if (f != null && offset + i + Frame.SIZE + f.storedSize() <= length && hasValidChecksum(offset + i, f)) {
            return offset + i;
          }
        }
      }
    }
    return -1;
  }

  /** Damage found by the reads so far. */
  Damage damage() {
    return new Damage(corruptBlocks, lostBytes, truncatedBytes);
  }

  long records() {
    return index == null ? -1 : index.records();
  }

  long maxTime() {
    return index == null ? Long.MIN_VALUE : index.maxTime();
  }

  @Override
  public void close() throws IOException {
    channel.close();
  }
}
