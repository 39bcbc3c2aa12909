package cloverpulley.dns.client;

import java.security.SecureRandom;

/** Numbers that nobody can foresee (RFC 5452, 9.2), drawn from the system's generator in blocks: one call for each would be slow. */
final class BufferedSecureRandom {

  private static final int BLOCK = 4096;

  private final SecureRandom source = new SecureRandom();
  private final byte[] block = new byte[BLOCK];
  private int at = BLOCK;

  /** An octet, 0 to 255. */
  int octet() {
    if (at == BLOCK) {
      source.nextBytes(block);
      at = 0;
    }
    return block[at++] & 0xFF;
  }

  /** A number of 16 bits. */
  int id() {
    return octet() << 8 | octet();
  }

  /** A number below {@code bound}, which is 65,536 at most; the bias of the remainder is below 1/65,536 of it. */
  int below(int bound) {
    return id() % bound;
  }

  /** The name with its letters' cases drawn (draft-vixie-dnsext-dns0x20). */
  byte[] mix(byte[] name) {
    byte[] mixed = name.clone();
    int bits = 0;
    int left = 0;
    for (int i = 0; i < mixed.length; i++) {
      int letter = mixed[i] | 0x20;
      if (letter >= 'a' && letter <= 'z') {
        if (left == 0) {
          bits = octet();
          left = 8;
        }
        mixed[i] = (byte) ((bits & 1) == 0 ? letter : letter & ~0x20);
        bits >>= 1;
        left--;
      }
    }
    return mixed;
  }
}
