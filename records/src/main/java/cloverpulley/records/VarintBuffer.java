package cloverpulley.records;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** A buffer of variable-length integers (LEB128, signed ones zigzag-encoded), fixed-size integers and strings; it grows while written. */
final class VarintBuffer {

  private byte[] bytes;
  private int position;
  private final int limit;

  VarintBuffer(int capacity) {
    bytes = new byte[capacity];
    limit = -1;
  }

  /** Wraps the first {@code length} bytes for reading. */
  VarintBuffer(byte[] source, int length) {
    bytes = source;
    limit = length;
  }

  int size() {
    return position;
  }

  byte[] array() {
    return bytes;
  }

  void clear() {
    position = 0;
  }

  boolean hasRemaining() {
    return position < limit;
  }

  private void ensureCapacity(int additional) {
    if (position + additional > bytes.length) {
      bytes = Arrays.copyOf(bytes, Math.max(position + additional, bytes.length * 2));
    }
  }

  void writeVarint(long n) {
    ensureCapacity(10);
    long remaining = n;
    while ((remaining & ~0x7FL) != 0) {
      bytes[position++] = (byte) (remaining & 0x7F | 0x80);
      remaining >>>= 7;
    }
    bytes[position++] = (byte) remaining;
  }

  void writeSignedVarint(long n) {
    writeVarint(n << 1 ^ n >> 63);
  }

  /** Writes 8 bytes in little-endian order. */
  void writeFixed64(long n) {
    ensureCapacity(8);
    for (int i = 0; i < 8; i++) {
      bytes[position++] = (byte) (n >>> 8 * i);
    }
  }

  /** Writes the length in bytes and the string in UTF-8. */
  void writeString(String s) {
    byte[] utf8 = s.getBytes(StandardCharsets.UTF_8);
    writeVarint(utf8.length);
    writeBytes(utf8, utf8.length);
  }

  void writeBytes(byte[] source, int length) {
    ensureCapacity(length);
    System.arraycopy(source, 0, bytes, position, length);
    position += length;
  }

  // ---- Reading: invalid input causes a CorruptSegmentException; nothing is read beyond the limit ------------

  private void requireRemaining(int n) throws CorruptSegmentException {
    if (n < 0 || position + n > limit) {
      throw new CorruptSegmentException("truncated");
    }
  }

  long readVarint() throws CorruptSegmentException {
    long n = 0;
    for (int shift = 0; shift < 64; shift += 7) {
      requireRemaining(1);
      byte b = bytes[position++];
      n |= (long) (b & 0x7F) << shift;
      if (b >= 0) {
        return n;
      }
    }
    throw new CorruptSegmentException("varint longer than 10 bytes");
  }

  long readSignedVarint() throws CorruptSegmentException {
    long n = readVarint();
    return n >>> 1 ^ -(n & 1);
  }

  /** Reads a varint that must be within {@code min} and {@code max}, both inclusive. */
  int readVarint(int min, int max) throws CorruptSegmentException {
    long n = readVarint();
    if (n < min || n > max) {
      throw new CorruptSegmentException("number out of range");
    }
    return (int) n;
  }

  long readFixed64() throws CorruptSegmentException {
    requireRemaining(8);
    long n = 0;
    for (int i = 0; i < 8; i++) {
      n |= (bytes[position++] & 0xFFL) << 8 * i;
    }
    return n;
  }

  String readString(int maxBytes) throws CorruptSegmentException {
    int length = readVarint(0, maxBytes);
    requireRemaining(length);
    String s = new String(bytes, position, length, StandardCharsets.UTF_8);
    position += length;
    return s;
  }

  byte[] readBytes(int maxBytes) throws CorruptSegmentException {
    int length = readVarint(0, maxBytes);
    requireRemaining(length);
    byte[] b = Arrays.copyOfRange(bytes, position, position + length);
    position += length;
    return b;
  }
}
