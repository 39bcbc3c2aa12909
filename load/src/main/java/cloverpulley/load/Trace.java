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
 * Traces of requests, version 1. Eight bytes of magic ({@code ASHTRC} and the version as two digits), then blocks until the
 * file's end. A block: kind (one byte, N or R), length of its content (4 bytes), CRC-32 of the content as stored (4 bytes),
 * content, deflated. A block N names classes and tenants in the order of their numbers: a byte C or T, length (2 bytes), UTF-8.
 * A block R holds records one after another, whose times start anew in each block at the microsecond in its first 8 bytes:
 * time since the record before, class, tenant (variable-length integers, 7 bits a byte, low first), hash of the key (8 bytes, 0
 * for none), work hinted at in microseconds, bytes, latency in microseconds (variable), outcome (one byte). Numbers are
 * big-endian. Each block can be read by itself once the names are known, and a writer that dies loses the last one only.
 */
public final class Trace {

  static final byte[] MAGIC = "ASHTRC01".getBytes(StandardCharsets.US_ASCII);
  private static final int HEAD = 9;
  private static final int MOST_BLOCK = 1 << 20;
  private static final int MOST_CONTENT = 4 << 20;
  private static final int MOST_NAMES = 10_000;
  private static final int MOST_NAME = 128;
  private static final int BLOCK_RECORDS = 2048;
  private static final long BLOCK_MICROS = 1_000_000;

  private Trace() {}

  /**
   * One request.
   *
   * @param atMicros since the trace's start; never less than the one before
   * @param keyHash 0 for none: keys themselves are not kept
   */
  public record Entry(long atMicros, String className, String tenant, long keyHash, long hintMicros, int bytes, long latencyMicros,
      Outcome outcome) {}

  /** FNV-1a of a key, never 0. */
  public static long hash(String key) {
    long hash = 0xcbf29ce484222325L;
    for (byte b : key.getBytes(StandardCharsets.UTF_8)) {
      hash = (hash ^ (b & 0xff)) * 0x100000001b3L;
    }
    return hash == 0 ? 1 : hash;
  }

  /** Writes a trace; every block is whole in the stream once it has a second or two thousand records. One thread. */
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

    /** Adds a request; one that is earlier than the one before counts as of the same time. */
    public void add(Entry e) throws IOException {
      long at = Math.max(last, Math.max(0, e.atMicros()));
      if (count > 0 && (count == BLOCK_RECORDS || at - blockAt >= BLOCK_MICROS)) {
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
      varint(records, number(classes, 'C', e.className()));
      varint(records, number(tenants, 'T', e.tenant()));
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

    private int number(Map<String, Integer> numbers, char kind, String name) throws IOException {
      Integer known = numbers.get(name);
      if (known != null) {
        return known;
      }
      byte[] text = name.getBytes(StandardCharsets.UTF_8);
      if (text.length > MOST_NAME || numbers.size() >= MOST_NAMES) {
        throw new IOException("a name too long, or too many of them: " + name);
      }
      names.write(kind);
      names.write(text.length >> 8);
      names.write(text.length);
      names.write(text);
      numbers.put(name, numbers.size());
      return numbers.size() - 1;
    }

    private static void varint(ByteArrayOutputStream out, long value) {
      long rest = value;
      while (rest > 0x7f) {
        out.write((int) (rest & 0x7f | 0x80));
        rest >>>= 7;
      }
      out.write((int) rest);
    }

    /** Writes what has been added: readers see it from here on. */
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
      ByteArrayOutputStream packed = new ByteArrayOutputStream();
      Deflater deflater = new Deflater(Deflater.BEST_SPEED);
      try (DeflaterOutputStream deflating = new DeflaterOutputStream(packed, deflater)) {
        deflating.write(content);
      } finally {
        deflater.end();
      }
      CRC32 crc = new CRC32();
      crc.update(packed.toByteArray());
      out.writeByte(kind);
      out.writeInt(packed.size());
      out.writeInt((int) crc.getValue());
      packed.writeTo(out);
    }

    @Override
    public void close() throws IOException {
      flush();
      out.close();
    }
  }

  /** Reads a trace block by block, up to its end or to the first damage. One thread; holds one block. */
  public static final class Reader implements AutoCloseable {

    private final DataInputStream in;
    private final List<String> classes = new ArrayList<>();
    private final List<String> tenants = new ArrayList<>();
    private final List<Entry> block = new ArrayList<>();
    private int next;
    private long offset = MAGIC.length;
    private long read;
    private String damage;

    /** Opens a trace; a stream that is none is refused. */
    public Reader(InputStream in) throws IOException {
      this.in = new DataInputStream(new BufferedInputStream(in));
      byte[] magic = this.in.readNBytes(MAGIC.length);
      if (!java.util.Arrays.equals(magic, MAGIC)) {
        throw new IOException("not a trace of version 1");
      }
    }

    /** The next request; null at the trace's end and at the first damage. */
    public Entry next() throws IOException {
      while (next == block.size() && damage == null) {
        if (!readBlock()) {
          return null;
        }
      }
      if (next == block.size()) {
        return null;
      }
      read++;
      return block.get(next++);
    }

    /** Where and why reading stopped before the end; null where it did not. */
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
        if (kind != 'N' && kind != 'R' || length < 0 || length > MOST_BLOCK) {
          throw new DataFormatException("not the head of a block");
        }
        byte[] packed = in.readNBytes(length);
        if (packed.length < length) {
          throw new EOFException();
        }
        CRC32 sum = new CRC32();
        sum.update(packed);
        if ((int) sum.getValue() != crc) {
          throw new DataFormatException("its sum does not fit");
        }
        byte[] content = inflate(packed);
        if (kind == 'N') {
          readNames(content);
        } else {
          readRecords(content);
        }
        offset += HEAD + length;
        return true;
      } catch (EOFException e) {
        damaged("cut off");
      } catch (DataFormatException e) {
        damaged(e.getMessage() == null ? "spoilt" : e.getMessage());
      }
      return false;
    }

    private void damaged(String what) {
      block.clear();
      damage = "block at byte " + offset + ": " + what + "; " + read + " requests read before it";
    }

    private static byte[] inflate(byte[] packed) throws DataFormatException {
      Inflater inflater = new Inflater();
      try {
        inflater.setInput(packed);
        ByteArrayOutputStream content = new ByteArrayOutputStream();
        byte[] piece = new byte[8192];
        while (!inflater.finished()) {
          int n = inflater.inflate(piece);
          if (n == 0 && !inflater.finished() || content.size() + n > MOST_CONTENT) {
            throw new DataFormatException("its content does not end, or is too large");
          }
          content.write(piece, 0, n);
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
          throw new DataFormatException("a name is cut off");
        }
        int length = (content[at + 1] & 0xff) << 8 | content[at + 2] & 0xff;
        List<String> to = content[at] == 'C' ? classes : content[at] == 'T' ? tenants : null;
        if (to == null || length > MOST_NAME || at + 3 + length > content.length || to.size() >= MOST_NAMES) {
          throw new DataFormatException("a name that is none");
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
            throw new DataFormatException("a record that is none");
          }
          block.add(new Entry(at, classes.get((int) type), tenants.get((int) tenant), key, hint, (int) size, latency,
              Outcome.values()[outcome]));
        }
      } catch (IOException e) {
        throw new DataFormatException("a record is cut off");
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
      throw new DataFormatException("a number without end");
    }

    @Override
    public void close() throws IOException {
      in.close();
    }
  }
}
