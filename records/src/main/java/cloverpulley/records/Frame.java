package cloverpulley.records;

import java.nio.ByteBuffer;
import java.util.zip.CRC32C;

/**
 * What stands before a block's octets: what it is, how long, of when. The checksum (CRC-32C, RFC 3720, B.4) covers frame and octets.
 *
 * @param stored octets in the file
 * @param raw octets once decompressed
 */
record Frame(byte type, int stored, int raw, int count, long least, long most, long firstSeq, int crc) {

  /** Of its fields, and of these with the checksum. */
  private static final int FIELDS = 41;
  static final int SIZE = FIELDS + 4;
  static final byte HEADER = 0;
  static final byte DATA = 1;
  static final byte FOOTER = 2;
  /** No block is larger, whatever a frame says. */
  static final int MOST_STORED = 16 << 20;
  static final int MOST_RAW = 64 << 20;
  static final int MAGIC = 0xB10CDA7A;

  /** Puts a frame and its octets together. */
  static byte[] write(byte type, byte[] octets, int stored, int raw, int count, long least, long most, long firstSeq) {
    ByteBuffer b = ByteBuffer.allocate(SIZE + stored);
    b.putInt(MAGIC).put(type).putInt(stored).putInt(raw).putInt(count).putLong(least).putLong(most).putLong(firstSeq).putInt(0);
    b.put(octets, 0, stored);
    b.putInt(FIELDS, sum(b.array(), 0, stored));
    return b.array();
  }

  private static int sum(byte[] whole, int from, int stored) {
    CRC32C crc = new CRC32C();
    crc.update(whole, from, FIELDS);
    crc.update(whole, from + SIZE, stored);
    return (int) crc.getValue();
  }

  /** The frame that begins there; null where none does. The octets are not checked yet. */
  static Frame read(ByteBuffer b) {
    if (b.remaining() < SIZE || b.getInt(b.position()) != MAGIC) {
      return null;
    }
    int p = b.position();
    Frame f = new Frame(b.get(p + 4), b.getInt(p + 5), b.getInt(p + 9), b.getInt(p + 13), b.getLong(p + 17), b.getLong(p + 25),
        b.getLong(p + 33), b.getInt(p + FIELDS));
    boolean sane = f.stored >= 0 && f.stored <= MOST_STORED && f.raw >= 0 && f.raw <= MOST_RAW && f.count >= 0 && f.count <= f.raw + 1;
    return sane ? f : null;
  }

  /** Whether the octets behind the frame are those that were written; both lie in {@code whole} from {@code from} on. */
  boolean fits(byte[] whole, int from) {
    return sum(whole, from, stored) == crc;
  }
}
