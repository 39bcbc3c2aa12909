package cloverpulley.records;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** A buffer of whole numbers in as few octets as they need (LEB128; signed ones in zigzag order) and of texts; it grows as it is written. */
final class VarintBuffer {

  private byte[] bytes;
  private int at;
  private final int end;

  VarintBuffer(int capacity) {
    bytes = new byte[capacity];
    end = -1;
  }

  /** For reading. */
  VarintBuffer(byte[] from, int length) {
    bytes = from;
    end = length;
  }

  int size() {
    return at;
  }

  byte[] array() {
    return bytes;
  }

  void clear() {
    at = 0;
  }

  boolean hasMore() {
    return at < end;
  }

  private void room(int more) {
    if (at + more > bytes.length) {
      bytes = Arrays.copyOf(bytes, Math.max(at + more, bytes.length * 2));
    }
  }

  void number(long n) {
    room(10);
    long left = n;
    while ((left & ~0x7FL) != 0) {
      bytes[at++] = (byte) (left & 0x7F | 0x80);
      left >>>= 7;
    }
    bytes[at++] = (byte) left;
  }

  void signed(long n) {
    number(n << 1 ^ n >> 63);
  }

  void fixed(long n) {
    room(8);
    for (int i = 0; i < 8; i++) {
      bytes[at++] = (byte) (n >>> 8 * i);
    }
  }

  void text(String s) {
    byte[] b = s.getBytes(StandardCharsets.UTF_8);
    number(b.length);
    octets(b, b.length);
  }

  void octets(byte[] b, int length) {
    room(length);
    System.arraycopy(b, 0, bytes, at, length);
    at += length;
  }

  // ---- Reading: whatever comes, an exception and no more than what is there --------------------------------

  private void need(int n) throws CorruptSegmentException {
    if (n < 0 || at + n > end) {
      throw new CorruptSegmentException("cut off");
    }
  }

  long number() throws CorruptSegmentException {
    long n = 0;
    for (int shift = 0; shift < 64; shift += 7) {
      need(1);
      byte b = bytes[at++];
      n |= (long) (b & 0x7F) << shift;
      if (b >= 0) {
        return n;
      }
    }
    throw new CorruptSegmentException("a number without an end");
  }

  long signed() throws CorruptSegmentException {
    long n = number();
    return n >>> 1 ^ -(n & 1);
  }

  /** A number within bounds, both included. */
  int number(int least, int most) throws CorruptSegmentException {
    long n = number();
    if (n < least || n > most) {
      throw new CorruptSegmentException("a number out of its bounds");
    }
    return (int) n;
  }

  long fixed() throws CorruptSegmentException {
    need(8);
    long n = 0;
    for (int i = 0; i < 8; i++) {
      n |= (bytes[at++] & 0xFFL) << 8 * i;
    }
    return n;
  }

  String text(int most) throws CorruptSegmentException {
    int length = number(0, most);
    need(length);
    String s = new String(bytes, at, length, StandardCharsets.UTF_8);
    at += length;
    return s;
  }

  byte[] octets(int most) throws CorruptSegmentException {
    int length = number(0, most);
    need(length);
    byte[] b = Arrays.copyOfRange(bytes, at, at + length);
    at += length;
    return b;
  }
}
