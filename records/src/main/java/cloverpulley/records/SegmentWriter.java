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
 * Writes one segment: a header, data blocks and, once it is finished, an index and a trailer with the position of the index. To a reader a
 * block is either complete or absent, because a truncated one fails its checksum.
 */
final class SegmentWriter implements AutoCloseable {

  /** "ASHREC", a zero byte and the format version. A reader skips segments of an unsupported version. */
  static final byte[] MAGIC = {'A', 'S', 'H', 'R', 'E', 'C', 0, 1};
  static final int TRAILER_SIZE = 20;
  static final int TRAILER_MAGIC = 0xE9DF007E;
  /** Size of a block before compression: larger blocks compress better, but a query has to decompress more. */
  static final int BLOCK_SIZE = 64 << 10;
  /** Level 1: higher levels save little space for the CPU time that they take from the service. */
  private static final int COMPRESSION_LEVEL = 1;
  static final String SUFFIX = ".rec";

  /** Destination of the segment's bytes: a file, or a replacement in tests. */
  interface Sink extends AutoCloseable {
    void write(ByteBuffer b) throws IOException;

    void force() throws IOException;

    @Override
    void close() throws IOException;
  }

  /** Creates a file and opens a sink for it. */
  interface Opener {
    Sink open(Path file) throws IOException;
  }

  /** Opens regular files. */
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

  private final Sink sink;
  private final SegmentIndex index = new SegmentIndex();
  private final Rows.Writer rows = new Rows.Writer(BLOCK_SIZE + (BLOCK_SIZE >> 1));
  private byte[] compressed = new byte[(int) Zstd.compressBound(2 * BLOCK_SIZE)];
  private long size;

  SegmentWriter(Opener opener, Path file, Origin origin, String frontend) throws IOException {
    sink = opener.open(file);
    VarintBuffer header = new VarintBuffer(256);
    header.writeString(origin.instance());
    header.writeSignedVarint(origin.start());
    header.writeString(frontend);
    byte[] frame = Frame.write(Frame.HEADER, header.array(), header.size(), header.size(), 0, origin.start(), origin.start(), 0);
    ByteBuffer b = ByteBuffer.allocate(MAGIC.length + frame.length).put(MAGIC).put(frame);
    write(b.flip());
  }

  private void write(ByteBuffer b) throws IOException {
    int n = b.remaining();
    sink.write(b);
    size += n;
  }

  /** Bytes written so far. */
  long size() {
    return size;
  }

  void add(Entry e) throws IOException {
    rows.add(e);
    index.add(e);
    if (rows.buffer.size() >= BLOCK_SIZE) {
      flush();
    }
  }

  /** Writes the current block, unless it is empty. */
  void flush() throws IOException {
    if (rows.count == 0) {
      return;
    }
    int rawSize = rows.buffer.size();
    long bound = Zstd.compressBound(rawSize);
    compressed = compressed.length < bound ? new byte[(int) bound] : compressed;
    long storedSize = Zstd.compressByteArray(compressed, 0, compressed.length, rows.buffer.array(), 0, rawSize, COMPRESSION_LEVEL);
    if (Zstd.isError(storedSize)) {
      throw new IOException("compression failed: " + Zstd.getErrorName(storedSize));
    }
    SegmentIndex.Block block = new SegmentIndex.Block(size, rows.minTime, rows.maxTime, rows.count, rows.firstSeq);
    write(ByteBuffer.wrap(Frame.write(Frame.DATA, compressed, (int) storedSize, rawSize, rows.count, rows.minTime, rows.maxTime, rows.firstSeq)));
    index.closeBlock(block);
    rows.clear();
  }

  void force() throws IOException {
    sink.force();
  }

  /** Finishes the segment: writes the last block, the index and the trailer, and forces the file to the disk. */
  void finish() throws IOException {
    flush();
    byte[] rawIndex = index.write();
    byte[] storedIndex = Zstd.compress(rawIndex, COMPRESSION_LEVEL);
    long indexOffset = size;
    write(ByteBuffer.wrap(Frame.write(Frame.FOOTER, storedIndex, storedIndex.length, rawIndex.length, 0, 0, 0, 0)));
    ByteBuffer trailer = ByteBuffer.allocate(TRAILER_SIZE).putLong(indexOffset).putInt((int) (size - indexOffset));
    CRC32C crc = new CRC32C();
    crc.update(trailer.array(), 0, 12);
    write(trailer.putInt((int) crc.getValue()).putInt(TRAILER_MAGIC).flip());
    sink.force();
  }

  /** Closes the file, whether or not the segment is finished. */
  @Override
  public void close() throws IOException {
    sink.close();
  }

  /** The file name of a segment: instance, incarnation and number; names sort in this order. */
  static String fileName(Origin origin, long number) {
    String sanitized = origin.instance().replaceAll("[^A-Za-z0-9_-]", "_");
    return String.format("%s-%016d-%08d%s", sanitized.length() <= 64 ? sanitized : sanitized.substring(0, 64), origin.start(), number, SUFFIX);
  }

  static boolean isSegment(Path file) {
    return file.getFileName().toString().endsWith(SUFFIX);
  }

}
