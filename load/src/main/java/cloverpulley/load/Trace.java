package cloverpulley.load;

import cloverpulley.load.Driver.Outcome;
import java.io.BufferedInputStream;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.zip.CRC32;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.DeflaterOutputStream;
import java.util.zip.Inflater;

/**
 * Binary format for traces of requests, version 1. A trace starts with eight bytes of magic ({@code ASHTRC} and the version as two digits),
 * followed by blocks up to the end of the file. A block consists of a kind (one byte, N or R), the length of its content as stored
 * (4 bytes), the CRC-32 of the content as stored (4 bytes) and the content, deflated.
 *
 * <p>An N block defines names of classes and tenants in the order of their indexes: a byte C or T, the length (2 bytes) and the name in UTF-8.
 *
 * <p>An R block holds the time of its first record in microseconds (8 bytes) and then the records: the time since the previous record, class,
 * tenant (variable-length integers, 7 bits per byte, low-order bits first), the hash of the key (8 bytes, 0 for none), the work hint in
 * microseconds, the size in bytes and the latency in microseconds (variable-length integers), and the outcome (one byte).
 *
 * <p>Fixed-size numbers are big-endian. Each R block can be decoded independently once the names are known, and a writer that crashes loses
 * only its last block.
 */
public final class Trace {

  static final byte[] MAGIC = "ASHTRC01".getBytes(StandardCharsets.US_ASCII);
  private static final int BLOCK_HEADER_BYTES = 9;
  private static final int MAX_BLOCK_BYTES = 1 << 20;
  private static final int MAX_CONTENT_BYTES = 4 << 20;
  private static final int MAX_NAMES = 10_000;
  private static final int MAX_NAME_BYTES = 128;
  private static final int MAX_BLOCK_RECORDS = 2048;
  private static final long MAX_BLOCK_MICROS = 1_000_000;

  private Trace() {}

  /**
   * One request.
   *
   * @param atMicros time since the start of the trace; never decreases
   * @param keyHash hash of the key, 0 for none; keys themselves are not stored
   */
  public record Entry(long atMicros, String className, String tenant, long keyHash, long hintMicros, int bytes, long latencyMicros,
      Outcome outcome) {}

  /** The FNV-1a hash of a key; never 0. */
  public static long hash(String key) {
    long hash = 0xcbf29ce484222325L;
    for (byte b : key.getBytes(StandardCharsets.UTF_8)) {
      hash = (hash ^ (b & 0xff)) * 0x100000001b3L;
    }
    return hash == 0 ? 1 : hash;
  }

  /** Writes a trace. A block is completed and flushed once it spans a second or holds 2048 records. Not thread-safe. */
  public static final class Writer implements AutoCloseable {

    private final DataOutputStream out;
    private final Map<String, Integer> classes = new LinkedHashMap<>();
    private final Map<String, Integer> tenants = new LinkedHashMap<>();
    private ByteArrayOutputStream names = new ByteArrayOutputStream();
    private ByteArrayOutputStream records = new ByteArrayOutputStream();
    private int count;
    private long blockAt;
    private long last;

    public Writer(OutputStream out) throws IOException {
      this.out = new DataOutputStream(out);
      this.out.write(MAGIC);
    }

    /** Adds a request. One that is earlier than the previous one gets the time of the previous one. */
    public void add(Entry e) throws IOException {
      long at = Math.max(last, Math.max(0, e.atMicros()));
      if (count > 0 && (count == MAX_BLOCK_RECORDS || at - blockAt >= MAX_BLOCK_MICROS)) {
        flush();
      }
      if (count == 0) {
        blockAt = at;
        last = at;
        for (int shift = 56; shift >= 0; shift -= 8) {
          records.write((int) (at >>> shift));
        }
      }
      varint(records, at - last);
      varint(records, indexOf(classes, 'C', e.className()));
      varint(records, indexOf(tenants, 'T', e.tenant()));
      for (int shift = 56; shift >= 0; shift -= 8) {
        records.write((int) (e.keyHash() >>> shift));
      }
      varint(records, Math.max(0, e.hintMicros()));
      varint(records, Math.max(0, e.bytes()));
      varint(records, Math.max(0, e.latencyMicros()));
      records.write(e.outcome().ordinal());
      last = at;
      count++;
    }

    private int indexOf(Map<String, Integer> indexes, char kind, String name) throws IOException {
      Integer existing = indexes.get(name);
      if (existing != null) {
        return existing;
      }
      byte[] text = name.getBytes(StandardCharsets.UTF_8);
      if (text.length > MAX_NAME_BYTES || indexes.size() >= MAX_NAMES) {
        throw new IOException("name too long, or too many names: " + name);
      }
      names.write(kind);
      names.write(text.length >> 8);
      names.write(text.length);
      names.write(text);
      indexes.put(name, indexes.size());
      return indexes.size() - 1;
    }

    private static void varint(ByteArrayOutputStream out, long value) {
      long rest = value;
      while (rest > 0x7f) {
        out.write((int) (rest & 0x7f | 0x80));
        rest >>>= 7;
      }
      out.write((int) rest);
    }

    /** Writes all requests that have been added, so that readers of the stream see them. */
    public void flush() throws IOException {
      if (names.size() > 0) {
        block('N', names.toByteArray());
        names = new ByteArrayOutputStream();
      }
      if (count > 0) {
        block('R', records.toByteArray());
        records = new ByteArrayOutputStream();
        count = 0;
      }
      out.flush();
    }

    private void block(char kind, byte[] content) throws IOException {
      ByteArrayOutputStream compressed = new ByteArrayOutputStream();
      Deflater deflater = new Deflater(Deflater.BEST_SPEED);
      try (DeflaterOutputStream deflating = new DeflaterOutputStream(compressed, deflater)) {
        deflating.write(content);
      } finally {
        deflater.end();
      }
      CRC32 crc = new CRC32();
      crc.update(compressed.toByteArray());
      out.writeByte(kind);
      out.writeInt(compressed.size());
      out.writeInt((int) crc.getValue());
      compressed.writeTo(out);
    }

    @Override
    public void close() throws IOException {
      flush();
      out.close();
    }
  }

  /** Reads a trace up to its end or to the first damaged block, holding one block in memory. Not thread-safe. */
  public static final class Reader implements AutoCloseable {

    private final DataInputStream in;
    private final List<String> classes = new ArrayList<>();
    private final List<String> tenants = new ArrayList<>();
    private final List<Entry> block = new ArrayList<>();
    private int next;
    private long offset = MAGIC.length;
    private long recordsRead;
    private String damage;

    /** Opens a trace; throws if the stream is not a trace of this version. */
    public Reader(InputStream in) throws IOException {
      this.in = new DataInputStream(new BufferedInputStream(in));
      byte[] magic = this.in.readNBytes(MAGIC.length);
      if (!java.util.Arrays.equals(magic, MAGIC)) {
        throw new IOException("not a trace of version 1");
      }
    }

    /** The next request; null at the end of the trace and at the first damaged block. */
    public Entry next() throws IOException {
      while (next == block.size() && damage == null) {
        if (!readBlock()) {
          return null;
        }
      }
      if (next == block.size()) {
        return null;
      }
      recordsRead++;
      return block.get(next++);
    }

    /** Where and why reading stopped early; null if the trace is intact so far. */
    public String damage() {
      return damage;
    }

    private boolean readBlock() throws IOException {
      block.clear();
      next = 0;
      int kind = in.read();
      if (kind < 0) {
        return false;
      }
      try {
        int length = in.readInt();
        int crc = in.readInt();
        if (kind != 'N' && kind != 'R' || length < 0 || length > MAX_BLOCK_BYTES) {
          throw new DataFormatException("invalid block header");
        }
        byte[] compressed = in.readNBytes(length);
        if (compressed.length < length) {
          throw new EOFException();
        }
        CRC32 checksum = new CRC32();
        checksum.update(compressed);
        if ((int) checksum.getValue() != crc) {
          throw new DataFormatException("checksum mismatch");
        }
        byte[] content = inflate(compressed);
        if (kind == 'N') {
          readNames(content);
        } else {
          readRecords(content);
        }
        offset += BLOCK_HEADER_BYTES + length;
        return true;
      } catch (EOFException e) {
        markDamaged("truncated");
      } catch (DataFormatException e) {
        markDamaged(e.getMessage() == null ? "spoilt" : e.getMessage());
      }
      return false;
    }

    private void markDamaged(String reason) {
      block.clear();
      damage = "block at byte " + offset + ": " + reason + "; " + recordsRead + " requests read before it";
    }

    private static byte[] inflate(byte[] compressed) throws DataFormatException {
      Inflater inflater = new Inflater();
      try {
        inflater.setInput(compressed);
        ByteArrayOutputStream content = new ByteArrayOutputStream();
        byte[] chunk = new byte[8192];
        while (!inflater.finished()) {
          int n = inflater.inflate(chunk);
          if (n == 0 && !inflater.finished() || content.size() + n > MAX_CONTENT_BYTES) {
            throw new DataFormatException("compressed content is incomplete or too large");
          }
          content.write(chunk, 0, n);
        }
        return content.toByteArray();
      } finally {
        inflater.end();
      }
    }

    private void readNames(byte[] content) throws DataFormatException {
      int at = 0;
      while (at < content.length) {
        if (at + 3 > content.length) {
          throw new DataFormatException("truncated name");
        }
        int length = (content[at + 1] & 0xff) << 8 | content[at + 2] & 0xff;
        List<String> to = content[at] == 'C' ? classes : content[at] == 'T' ? tenants : null;
        if (to == null || length > MAX_NAME_BYTES || at + 3 + length > content.length || to.size() >= MAX_NAMES) {
          throw new DataFormatException("invalid name");
        }
        to.add(new String(content, at + 3, length, StandardCharsets.UTF_8));
        at += 3 + length;
      }
    }

    private void readRecords(byte[] content) throws DataFormatException {
      DataInputStream bytes = new DataInputStream(new ByteArrayInputStream(content));
      try {
        long at = bytes.readLong();
        while (bytes.available() > 0) {
          at += varint(bytes);
          long type = varint(bytes);
          long tenant = varint(bytes);
          long key = bytes.readLong();
          long hint = varint(bytes);
          long size = varint(bytes);
          long latency = varint(bytes);
          int outcome = bytes.readUnsignedByte();
          if (at < 0 || type >= classes.size() || tenant >= tenants.size() || outcome >= Outcome.values().length
              || size > Integer.MAX_VALUE) {
            throw new DataFormatException("invalid record");
          }
          block.add(new Entry(at, classes.get((int) type), tenants.get((int) tenant), key, hint, (int) size, latency,
              Outcome.values()[outcome]));
        }
      } catch (IOException e) {
        throw new DataFormatException("truncated record");
      }
    }

    private static long varint(DataInputStream in) throws IOException, DataFormatException {
      long value = 0;
      for (int shift = 0; shift < 63; shift += 7) {
        int b = in.readUnsignedByte();
        value |= (long) (b & 0x7f) << shift;
        if (b < 0x80) {
          return value;
        }
      }
      throw new DataFormatException("variable-length integer is too long");
    }

    @Override
    public void close() throws IOException {
      in.close();
    }
  }
}
