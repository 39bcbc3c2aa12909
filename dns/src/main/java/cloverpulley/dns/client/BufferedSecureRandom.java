package cloverpulley.dns.client;

import java.security.SecureRandom;

/** Unpredictable numbers (RFC 5452, 9.2) from SecureRandom, fetched in blocks because one call per number would be slow. */
final class BufferedSecureRandom {

  private static final int BUFFER_SIZE = 4096;

  private final SecureRandom source = new SecureRandom();
  private final byte[] buffer = new byte[BUFFER_SIZE];
  private int at = BUFFER_SIZE;

  /** A byte, 0 to 255. */
  int nextByte() {
    if (at == BUFFER_SIZE) {
      source.nextBytes(buffer);
      at = 0;
    }
    return buffer[at++] & 0xFF;
  }

  /** A 16-bit message id. */
  int id() {
    return nextByte() << 8 | nextByte();
  }

  /** A number below {@code bound}, which is 65,536 at most; the bias of the remainder is below 1/65,536 of it. */
  int below(int bound) {
    return id() % bound;
  }

  /** The name with randomized letter case (draft-vixie-dnsext-dns0x20). */
  byte[] randomizeCase(byte[] name) {
    byte[] randomized = name.clone();
    int bits = 0;
    int bitsLeft = 0;
    for (int i = 0; i < randomized.length; i++) {
      int letter = randomized[i] | 0x20;
      if (letter >= 'a' && letter <= 'z') {
        if (bitsLeft == 0) {
          bits = nextByte();
          bitsLeft = 8;
        }
        randomized[i] = (byte) ((bits & 1) == 0 ? letter : letter & ~0x20);
        bits >>= 1;
        bitsLeft--;
      }
    }
    return randomized;
  }
}
