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
 * Reads one segment, as far as it can be read: without an index (its writer was killed, or still writes) by its frames, past a spoilt
 * block to the next one that fits its checksum, up to a tail that was cut off. What it costs is told.
 */
final class SegmentReader implements AutoCloseable {

  private static final int MOST_FOOTER = 256 << 20;
  private static final int STRIDE = 1 << 20;
  private static final int MOST_NAME = 2048;

  /** What was not as it was written. */
  record Damage(int spoiltBlocks, long lostOctets, long tornOctets) {}

  private final FileChannel channel;
  private final long length;
  private final Origin origin;
  private final String front;
  private final long dataAt;
  private SegmentIndex index;
  private int spoilt;
  private long lost;
  private long torn;

  /** @throws CorruptSegmentException where it is no segment, or one of a version that is not known */
  SegmentReader(Path file) throws IOException {
    channel = FileChannel.open(file, StandardOpenOption.READ);
    try {
      length = channel.size();
      byte[] magic = read(0, SegmentWriter.MAGIC.length);
      if (!Arrays.equals(magic, 0, 7, SegmentWriter.MAGIC, 0, 7)) {
        throw new CorruptSegmentException("no segment of records");
      } else if (magic[7] != SegmentWriter.MAGIC[7]) {
        throw new CorruptSegmentException("of version " + magic[7] + ", this program reads version " + SegmentWriter.MAGIC[7]);
      }
      Frame head = frame(SegmentWriter.MAGIC.length);
      if (head == null || head.type() != Frame.HEADER || head.stored() > 4 * MOST_NAME) {
        throw new CorruptSegmentException("without a header");
      }
      byte[] whole = read(SegmentWriter.MAGIC.length, Frame.SIZE + head.stored());
      if (!head.fits(whole, 0)) {
        throw new CorruptSegmentException("with a spoilt header");
      }
      VarintBuffer in = new VarintBuffer(Arrays.copyOfRange(whole, Frame.SIZE, whole.length), head.stored());
      String instance = in.text(MOST_NAME);
      origin = new Origin(instance, in.signed());
      front = in.text(MOST_NAME);
      dataAt = SegmentWriter.MAGIC.length + Frame.SIZE + head.stored();
      index = footer();
    } catch (IOException e) {
      channel.close();
      throw e;
    }
  }

  Origin origin() {
    return origin;
  }

  String front() {
    return front;
  }

  /** Whether its writer ended it in order. */
  boolean isWhole() {
    return index != null;
  }

  private byte[] read(long at, int count) throws IOException {
    if (at < 0 || at + count > length) {
      throw new CorruptSegmentException("cut off");
    }
    ByteBuffer b = ByteBuffer.allocate(count);
    while (b.hasRemaining()) {
      if (channel.read(b, at + b.position()) < 0) {
        throw new CorruptSegmentException("cut off");
      }
    }
    return b.array();
  }

  private Frame frame(long at) throws IOException {
    return at + Frame.SIZE > length ? null : Frame.read(ByteBuffer.wrap(read(at, Frame.SIZE)));
  }

  /** The index at its end; null where there is none that fits its checksum. */
  private SegmentIndex footer() {
    try {
      ByteBuffer t = ByteBuffer.wrap(read(length - SegmentWriter.TRAILER, SegmentWriter.TRAILER));
      CRC32C crc = new CRC32C();
      crc.update(t.array(), 0, 12);
      if (t.getInt(16) != SegmentWriter.TRAILER_MAGIC || t.getInt(12) != (int) crc.getValue()) {
        return null;
      }
      long at = t.getLong(0);
      Frame f = frame(at);
      if (f == null || f.type() != Frame.FOOTER || f.raw() > MOST_FOOTER) {
        return null;
      }
      byte[] whole = read(at, Frame.SIZE + f.stored());
      return f.fits(whole, 0) ? SegmentIndex.read(unpack(f, whole)) : null;
    } catch (IOException e) {
      return null; // Then it is read by its frames.
    }
  }

  private static byte[] unpack(Frame f, byte[] whole) throws CorruptSegmentException {
    byte[] raw = new byte[f.raw()];
    long n = Zstd.decompressByteArray(raw, 0, raw.length, whole, Frame.SIZE, f.stored());
    if (Zstd.isError(n) || n != f.raw()) {
      throw new CorruptSegmentException("a block that can't be decompressed");
    }
    return raw;
  }

  /**
   * Gives all records of blocks that may hold what fits, in the order in which they were written; whoever asks has to look at each.
   *
   * @param shift added to the records' times before they are compared
   * @return blocks read
   */
  int read(Constraints needs, long shift, boolean useIndex, Consumer<Entry> to) throws IOException {
    if (index == null || !useIndex) {
      return scan(needs, shift, to);
    }
    RoaringBitmap fitting = index.fitting(needs, shift);
    int blocks = 0;
    for (int i : fitting) {
      SegmentIndex.Block b = index.blocks().get(i);
      Frame f = frame(b.offset());
      if (f == null || f.type() != Frame.DATA || !block(b.offset(), f, to)) {
        spoilt++;
        lost += f == null ? 0 : f.stored() + Frame.SIZE;
      }
      blocks++;
    }
    return blocks;
  }

  /** Whether the block there is as it was written; its records are given only then. */
  private boolean block(long at, Frame f, Consumer<Entry> to) throws IOException {
    if (at + Frame.SIZE + f.stored() > length) {
      return false;
    }
    byte[] whole = read(at, Frame.SIZE + f.stored());
    if (!f.fits(whole, 0)) {
      return false;
    }
    try {
      List<Entry> rows = new ArrayList<>(f.count());
      Rows.read(origin, f.firstSeq(), f.count(), unpack(f, whole), f.raw(), rows::add);
      rows.forEach(to);
      return true;
    } catch (CorruptSegmentException e) {
      return false;
    }
  }

  private int scan(Constraints needs, long shift, Consumer<Entry> to) throws IOException {
    int blocks = 0;
    long at = dataAt;
    while (at < length) {
      Frame f = frame(at);
      if (f != null && f.type() == Frame.FOOTER) {
        break;
      }
      boolean inside = f != null && f.type() == Frame.DATA && at + Frame.SIZE + f.stored() <= length;
      boolean wanted = inside && f.most() + shift >= needs.from() && f.least() + shift <= needs.to();
      if (inside && !wanted && sound(at, f)) {
        at += Frame.SIZE + f.stored();
        continue;
      }
      if (inside && wanted && block(at, f, to)) {
        blocks++;
        at += Frame.SIZE + f.stored();
        continue;
      }
      long next = next(at + 1);
      if (next < 0) {
        torn += length - at;
        break;
      }
      spoilt++;
      lost += next - at;
      at = next;
    }
    return blocks;
  }

  /** A block that is passed over by what its frame says of its time has to be one. */
  private boolean sound(long at, Frame f) throws IOException {
    return f.fits(read(at, Frame.SIZE + f.stored()), 0);
  }

  /** Where the next block begins that fits its checksum, or the index; below 0 where there is none. */
  private long next(long from) throws IOException {
    for (long at = from; at < length; at += STRIDE) {
      int n = (int) Math.min(STRIDE + 3, length - at);
      ByteBuffer b = ByteBuffer.wrap(read(at, n));
      for (int i = 0; i + 4 <= n; i++) {
        if (b.getInt(i) == Frame.MAGIC) {
          Frame f = frame(at + i);
          if (f != null && at + i + Frame.SIZE + f.stored() <= length && sound(at + i, f)) {
            return at + i;
          }
        }
      }
    }
    return -1;
  }

  /** What reading it until now has found. */
  Damage damage() {
    return new Damage(spoilt, lost, torn);
  }

  long records() {
    return index == null ? -1 : index.records();
  }

  long most() {
    return index == null ? Long.MIN_VALUE : index.most();
  }

  @Override
  public void close() throws IOException {
    channel.close();
  }
}
