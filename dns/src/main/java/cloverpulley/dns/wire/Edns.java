package cloverpulley.dns.wire;

import java.util.Arrays;

/**
 * What an OPT record says (RFC 6891). Options that are not known are skipped.
 *
 * @param udpSize what the sender can take over UDP, 512 at least
 * @param extended the upper bits of the response code
 * @param dnssecOk the DO bit
 * @param cookie option 10 (RFC 7873); null where none came
 * @param keepalive whether option 11 came (RFC 7828)
 * @param at where the record starts
 * @param end where it ends
 */
public record Edns(int udpSize, int extended, int version, boolean dnssecOk, byte[] cookie, boolean keepalive, byte[] tenant,
    int at, int end) {

  public static final int OPT = 41;
  static final int COOKIE = 10;
  static final int KEEPALIVE = 11;
  static final int ERROR = 15;
  /** The size without the options: root, type, class, TTL, length. */
  static final int LEAST = 11;
  private static final int LEAST_UDP = 512;
  private static final int DO = 0x8000;

  /** Reads the record at {@code at}, whose bounds have been checked. */
  static Edns read(byte[] b, int at, int end, int tenantOption) throws MalformedException {
    byte[] cookie = null;
    byte[] tenant = null;
    boolean keepalive = false;
    int i = at + LEAST;
    while (i < end) {
      if (i + 4 > end || i + 4 + Message.get16(b, i + 2) > end) {
        throw new MalformedException("an option runs over the end of its record");
      }
      int code = Message.get16(b, i);
      int length = Message.get16(b, i + 2);
      if (code == COOKIE) {
        if (length != 8 && (length < 16 || length > 40)) {
          throw new MalformedException("a cookie of a length that there is not"); // RFC 7873, 5.2.2
        }
        cookie = cookie == null ? Arrays.copyOfRange(b, i + 4, i + 4 + length) : cookie;
      } else if (code == KEEPALIVE) {
        keepalive = true;
      } else if (code == tenantOption && tenantOption > 0) {
        tenant = Arrays.copyOfRange(b, i + 4, i + 4 + length);
      }
      i += 4 + length;
    }
    int ttl = at + 5;
    return new Edns(Math.max(LEAST_UDP, Message.get16(b, at + 3)), b[ttl] & 0xFF, b[ttl + 1] & 0xFF,
        (Message.get16(b, ttl + 2) & DO) != 0, cookie, keepalive, tenant, at, end);
  }

  /** An OPT record under way. */
  public static final class Writer {

    private final byte[] to = new byte[512];
    private int length = LEAST;

    /** With no options yet. */
    public Writer(int udpSize, int extended, boolean dnssecOk) {
      Message.put16(to, 1, OPT);
      Message.put16(to, 3, udpSize);
      to[5] = (byte) extended;
      Message.put16(to, 7, dnssecOk ? DO : 0);
    }

    private int option(int code, int octets) {
      Message.put16(to, length, code);
      Message.put16(to, length + 2, octets);
      int at = length + 4;
      length = at + octets;
      return at;
    }

    /** A client's cookie and ours after it. */
    public Writer cookie(byte[] cookie) {
      System.arraycopy(cookie, 0, to, option(COOKIE, cookie.length), cookie.length);
      return this;
    }

    /** How long an idle connection stays, in units of 100 ms. */
    public Writer keepalive(int tenths) {
      Message.put16(to, option(KEEPALIVE, 2), Math.min(0xFFFF, tenths));
      return this;
    }

    /** An extended error (RFC 8914) with its text, of which 100 octets are kept. */
    public Writer error(int code, String text) {
      byte[] octets = text.getBytes(java.nio.charset.StandardCharsets.US_ASCII);
      int kept = Math.min(100, octets.length);
      int at = option(ERROR, 2 + kept);
      Message.put16(to, at, code);
      System.arraycopy(octets, 0, to, at + 2, kept);
      return this;
    }

    /** The record. */
    public byte[] bytes() {
      Message.put16(to, 9, length - LEAST);
      return Arrays.copyOf(to, length);
    }
  }
}
