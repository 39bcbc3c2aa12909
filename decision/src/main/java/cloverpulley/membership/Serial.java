package cloverpulley.membership;

/** Serial number arithmetic (RFC 1982) on 32-bit zone serials. */
public final class Serial {

  private Serial() {}

  /** Whether {@code a} precedes {@code b}; if they differ by exactly 2^31, neither does (RFC 1982, 3.2). */
  public static boolean isOlder(long a, long b) {
    long ahead = b - a & 0xFFFF_FFFFL;
    return ahead != 0 && ahead < 0x8000_0000L;
  }
}
