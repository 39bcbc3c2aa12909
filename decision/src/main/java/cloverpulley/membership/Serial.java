package cloverpulley.membership;

/** Serial number arithmetic (RFC 1982) on the 32 bits of a zone's serial. */
public final class Serial {

  private Serial() {}

  /** Whether {@code a} is older than {@code b}; of two that are half the circle apart neither is. */
  public static boolean isOlder(long a, long b) {
    long ahead = b - a & 0xFFFF_FFFFL;
    return ahead != 0 && ahead < 0x8000_0000L;
  }
}
