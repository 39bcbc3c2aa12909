package cloverpulley.dns;

import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.util.Arrays;

/**
 * DNS cookies (RFC 7873) in the interoperable format for servers that share an address (RFC 9018). A client that returns a valid server
 * cookie has proven its address.
 */
final class Cookies {

  private static final int CLIENT_LENGTH = 8;
  private static final int COOKIE_LENGTH = 24;
  private static final int VERSION = 1;
  private static final int MAX_AGE_S = 3600;
  private static final int MAX_FUTURE_S = 300;

  private final long k0;
  private final long k1;

  /** {@code secret} has 16 bytes. */
  Cookies(byte[] secret) {
    ByteBuffer b = ByteBuffer.wrap(secret).order(ByteOrder.LITTLE_ENDIAN);
    k0 = b.getLong();
    k1 = b.getLong();
  }

  /** Creates the cookie to send: the client cookie followed by a new server cookie. */
  byte[] create(byte[] received, byte[] address, long unixSeconds) {
    byte[] cookie = Arrays.copyOf(received, COOKIE_LENGTH);
    Arrays.fill(cookie, CLIENT_LENGTH, COOKIE_LENGTH, (byte) 0);
    cookie[CLIENT_LENGTH] = VERSION;
    ByteBuffer.wrap(cookie).putInt(12, (int) unixSeconds);
    ByteBuffer.wrap(cookie).order(ByteOrder.LITTLE_ENDIAN).putLong(16, hash(cookie, address));
    return cookie;
  }

  /** Whether a server cookie was issued to this address within the last hour (RFC 9018, 4.3). */
  boolean isValid(byte[] cookie, byte[] address, long unixSeconds) {
    if (cookie.length != COOKIE_LENGTH || cookie[CLIENT_LENGTH] != VERSION) {
      return false;
    }
    int age = (int) unixSeconds - ByteBuffer.wrap(cookie).getInt(12); // Serial number arithmetic: correct past 2106.
    return age <= MAX_AGE_S && age >= -MAX_FUTURE_S
        && ByteBuffer.wrap(cookie).order(ByteOrder.LITTLE_ENDIAN).getLong(16) == hash(cookie, address);
  }

  /** The hash over client cookie, version, reserved bytes, timestamp and address. */
  private long hash(byte[] cookie, byte[] address) {
    byte[] input = Arrays.copyOf(cookie, 16 + address.length);
    System.arraycopy(address, 0, input, 16, address.length);
    return sipHash(input);
  }

  /** SipHash-2-4 (Aumasson and Bernstein, 2012). */
  long sipHash(byte[] input) {
    long[] v = {k0 ^ 0x736f6d6570736575L, k1 ^ 0x646f72616e646f6dL, k0 ^ 0x6c7967656e657261L, k1 ^ 0x7465646279746573L};
    ByteBuffer b = ByteBuffer.wrap(input).order(ByteOrder.LITTLE_ENDIAN);
    while (b.remaining() >= 8) {
      long m = b.getLong();
      v[3] ^= m;
      rounds(v, 2);
      v[0] ^= m;
    }
    long last = (long) input.length << 56;
    for (int i = 0; b.hasRemaining(); i++) {
      last |= (b.get() & 0xFFL) << 8 * i;
    }
    v[3] ^= last;
    rounds(v, 2);
    v[0] ^= last;
    v[2] ^= 0xFF;
    rounds(v, 4);
    return v[0] ^ v[1] ^ v[2] ^ v[3];
  }

  private static void rounds(long[] v, int count) {
    for (int i = 0; i < count; i++) {
      v[0] += v[1];
      v[1] = Long.rotateLeft(v[1], 13) ^ v[0];
      v[0] = Long.rotateLeft(v[0], 32);
      v[2] += v[3];
      v[3] = Long.rotateLeft(v[3], 16) ^ v[2];
      v[0] += v[3];
      v[3] = Long.rotateLeft(v[3], 21) ^ v[0];
      v[2] += v[1];
      v[1] = Long.rotateLeft(v[1], 17) ^ v[2];
      v[2] = Long.rotateLeft(v[2], 32);
    }
  }
}
