package cloverpulley.records;

import java.nio.ByteBuffer;
import java.util.zip.CRC32C;

/**
 * The header of a frame, which precedes its payload: type, sizes, time range and checksum. The checksum (CRC-32C, RFC 3720, B.4) covers
 * the header and the payload.
 *
 * @param storedSize bytes of the payload in the file
 * @param rawSize bytes of the payload after decompression
 * @param count records in the payload
 * @param minTime time of the earliest record, in microseconds of Unix time
 * @param maxTime time of the latest record, in microseconds of Unix time
 * @param firstSeq sequence number of the first record
 */
record Frame(byte type, int storedSize, int rawSize, int count, long minTime, long maxTime, long firstSeq, int crc) {

  /** Size of the fields before the checksum. */
  private static final int CRC_OFFSET = 41;
  /** Size of the whole header. */
  static final int SIZE = CRC_OFFSET + 4;
  static final byte HEADER = 0;
  static final byte DATA = 1;
  static final byte FOOTER = 2;
  /** Upper bounds that limit allocations if a header is corrupt. */
  static final int MAX_STORED_SIZE = 16 << 20;
  static final int MAX_RAW_SIZE = 64 << 20;
  static final int MAGIC = 0xB10CDA7A;

  /** Returns the bytes of a frame: the header followed by the payload. */
  static byte[] write(byte type, byte[] payload, int storedSize, int rawSize, int count, long minTime, long maxTime, long firstSeq) {
    ByteBuffer b = ByteBuffer.allocate(SIZE + storedSize);
    b.putInt(MAGIC).put(type).putInt(storedSize).putInt(rawSize).putInt(count).putLong(minTime).putLong(maxTime).putLong(firstSeq).putInt(0);
    b.put(payload, 0, storedSize);
    b.putInt(CRC_OFFSET, checksum(b.array(), 0, storedSize));
    return b.array();
  }

  private static int checksum(byte[] buffer, int offset, int storedSize) {
    CRC32C crc = new CRC32C();
    crc.update(buffer, offset, CRC_OFFSET);
    crc.update(buffer, offset + SIZE, storedSize);
    return (int) crc.getValue();
  }

  /** Parses the header at the buffer's position; null if there is no valid one. The checksum is not verified here. */
  static Frame read(ByteBuffer b) {
    if (b.remaining() < SIZE || b.getInt(b.position()) != MAGIC) {
      return null;
    }
    int p = b.position();
    Frame f = new Frame(b.get(p + 4), b.getInt(p + 5), b.getInt(p + 9), b.getInt(p + 13), b.getLong(p + 17), b.getLong(p + 25),
        b.getLong(p + 33), b.getInt(p + CRC_OFFSET));
    boolean valid = f.storedSize >= 0 && f.storedSize <= MAX_STORED_SIZE && f.rawSize >= 0 && f.rawSize <= MAX_RAW_SIZE
        && f.count >= 0 && f.count <= f.rawSize + 1;
    return valid ? f : null;
  }

  /** Whether the checksum matches the header and payload that start at {@code offset} in {@code buffer}. */
  boolean checksumMatches(byte[] buffer, int offset) {
    return checksum(buffer, offset, storedSize) == crc;
  }
}
