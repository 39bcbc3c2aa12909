package cloverpulley.records;

import cloverpulley.incident.Entry;
import cloverpulley.incident.Origin;
import com.github.luben.zstd.Zstd;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.zip.CRC32C;

/**
 * Writes one segment: a header, blocks, and at its proper end an index and where that begins. Each block leaves whole or not at all as
 * far as a reader can tell: one that was cut off does not fit its checksum.
 */
final class SegmentWriter implements AutoCloseable {

  /** "ASHREC", and the version of the format. A reader passes over segments of a version it does not know. */
  static final byte[] MAGIC = {'A', 'S', 'H', 'R', 'E', 'C', 0, 1};
  static final int TRAILER = 20;
  static final int TRAILER_MAGIC = 0xE9DF007E;
  /** A block holds so many octets before compression: larger ones compress better, and cost more to look into. */
  static final int BLOCK = 64 << 10;
  /** Level 1: what more would save is not worth its time beside the service. */
  private static final int LEVEL = 1;
  static final String SUFFIX = ".rec";

  /** Where octets go; a file, or what a test has in its place. */
  interface Sink extends AutoCloseable {
    void write(ByteBuffer b) throws IOException;

    void force() throws IOException;

    @Override
    void close() throws IOException;
  }

  /** Opens a sink for a new file. */
  interface Opener {
    Sink open(Path file) throws IOException;
  }

  /** Files, as they are. */
  static final Opener FILES = file -> {
    FileChannel channel = FileChannel.open(file, StandardOpenOption.CREATE_NEW, StandardOpenOption.WRITE);
    return new Sink() {
      @Override
      public void write(ByteBuffer b) throws IOException {
        while (b.hasRemaining()) {
          channel.write(b);
        }
      }

      @Override
      public void force() throws IOException {
        channel.force(false);
      }

      @Override
      public void close() throws IOException {
        channel.close();
      }
    };
  };

  private final Sink out;
  private final SegmentIndex index = new SegmentIndex();
  private final Rows.Writer rows = new Rows.Writer(BLOCK + (BLOCK >> 1));
  private byte[] packed = new byte[(int) Zstd.compressBound(2 * BLOCK)];
  private long size;

  SegmentWriter(Opener opener, Path file, Origin origin, String front) throws IOException {
    out = opener.open(file);
    VarintBuffer head = new VarintBuffer(256);
    head.text(origin.instance());
    head.signed(origin.start());
    head.text(front);
    byte[] frame = Frame.write(Frame.HEADER, head.array(), head.size(), head.size(), 0, origin.start(), origin.start(), 0);
    ByteBuffer b = ByteBuffer.allocate(MAGIC.length + frame.length).put(MAGIC).put(frame);
    write(b.flip());
  }

  private void write(ByteBuffer b) throws IOException {
    int n = b.remaining();
    out.write(b);
    size += n;
  }

  /** Octets written. */
  long size() {
    return size;
  }

  void add(Entry e) throws IOException {
    rows.add(e);
    index.add(e);
    if (rows.out.size() >= BLOCK) {
      flush();
    }
  }

  /** Writes the block that is being filled, if anything is in it. */
  void flush() throws IOException {
    if (rows.count == 0) {
      return;
    }
    int raw = rows.out.size();
    long bound = Zstd.compressBound(raw);
    packed = packed.length < bound ? new byte[(int) bound] : packed;
    long stored = Zstd.compressByteArray(packed, 0, packed.length, rows.out.array(), 0, raw, LEVEL);
    if (Zstd.isError(stored)) {
      throw new IOException("can't compress: " + Zstd.getErrorName(stored));
    }
    SegmentIndex.Block block = new SegmentIndex.Block(size, rows.least, rows.most, rows.count, rows.firstSeq);
    write(ByteBuffer.wrap(Frame.write(Frame.DATA, packed, (int) stored, raw, rows.count, rows.least, rows.most, rows.firstSeq)));
    index.close(block);
    rows.clear();
  }

  void force() throws IOException {
    out.force();
  }

  /** Ends it in order: the last block, the index, and where that is. */
  void finish() throws IOException {
    flush();
    byte[] footer = index.write();
    byte[] stored = Zstd.compress(footer, LEVEL);
    long at = size;
    write(ByteBuffer.wrap(Frame.write(Frame.FOOTER, stored, stored.length, footer.length, 0, 0, 0, 0)));
    ByteBuffer trailer = ByteBuffer.allocate(TRAILER).putLong(at).putInt((int) (size - at));
    CRC32C crc = new CRC32C();
    crc.update(trailer.array(), 0, 12);
    write(trailer.putInt((int) crc.getValue()).putInt(TRAILER_MAGIC).flip());
    out.force();
  }

  /** Lets go of the file, whatever is in it. */
  @Override
  public void close() throws IOException {
    out.close();
  }

  /** The name of a segment: told apart by instance, life and number, and in order by them. */
  static String name(Origin origin, long number) {
    String safe = origin.instance().replaceAll("[^A-Za-z0-9_-]", "_");
    return String.format("%s-%016d-%08d%s", safe.length() <= 64 ? safe : safe.substring(0, 64), origin.start(), number, SUFFIX);
  }

  static boolean isSegment(Path file) {
    return file.getFileName().toString().endsWith(SUFFIX);
  }

}
