package cloverpulley.dns.wire;

import java.util.Arrays;

/**
 * A parsed OPT record (RFC 6891). Unknown options are skipped.
 *
 * @param udpSize the sender's UDP payload size, at least 512
 * @param extendedRcode the upper bits of the response code
 * @param dnssecOk the DO bit
 * @param cookie option 10 (RFC 7873), the first if there are several; null if absent
 * @param keepalive whether option 11 is present (RFC 7828)
 * @param tenant the data of the configured tenant option, the last if there are several; null if absent
 * @param at offset of the record in the message
 * @param end offset after the record
 */
public record Edns(int udpSize, int extendedRcode, int version, boolean dnssecOk, byte[] cookie, boolean keepalive, byte[] tenant,
    int at, int end) {

  public static final int OPT = 41;
  static final int COOKIE = 10;
  static final int KEEPALIVE = 11;
  static final int ERROR = 15;
  /** The length without options: root name, type, class, TTL, data length. */
  static final int FIXED_LENGTH = 11;
  private static final int MIN_UDP_SIZE = 512;
  private static final int DO = 0x8000;

  /**
   * Reads the record at {@code at}, whose bounds have been checked.
   *
   * @param tenantOption the code of the option that names a tenant; 0 for none
   */
  static Edns read(byte[] b, int at, int end, int tenantOption) throws MalformedException {
    byte[] cookie = null;
    byte[] tenant = null;
    boolean keepalive = false;
    int i = at + FIXED_LENGTH;
    while (i < end) {
      if (i + 4 > end || i + 4 + Message.get16(b, i + 2) > end) {
        throw new MalformedException("EDNS option extends past the end of its record");
      }
      int code = Message.get16(b, i);
      int length = Message.get16(b, i + 2);
      if (code == COOKIE) {
        if (length != 8 && (length < 16 || length > 40)) {
          throw new MalformedException("invalid cookie length"); // RFC 7873, 5.2.2
        }
        cookie = cookie == null ? Arrays.copyOfRange(b, i + 4, i + 4 + length) : cookie;
      } else if (code == KEEPALIVE) {
        keepalive = true;
      } else if (code == tenantOption && tenantOption > 0) {
        tenant = Arrays.copyOfRange(b, i + 4, i + 4 + length);
      }
      i += 4 + length;
    }
    int ttlOffset = at + 5;
    return new Edns(Math.max(MIN_UDP_SIZE, Message.get16(b, at + 3)), b[ttlOffset] & 0xFF, b[ttlOffset + 1] & 0xFF,
        (Message.get16(b, ttlOffset + 2) & DO) != 0, cookie, keepalive, tenant, at, end);
  }

  /** Builds an OPT record. */
  public static final class Writer {

    private final byte[] to = new byte[512];
    private int length = FIXED_LENGTH;

    /** Starts a record without options. */
    public Writer(int udpSize, int extendedRcode, boolean dnssecOk) {
      Message.put16(to, 1, OPT);
      Message.put16(to, 3, udpSize);
      to[5] = (byte) extendedRcode;
      Message.put16(to, 7, dnssecOk ? DO : 0);
    }

    private int option(int code, int octets) {
      Message.put16(to, length, code);
      Message.put16(to, length + 2, octets);
      int at = length + 4;
      length = at + octets;
      return at;
    }

    /** Adds a cookie: the client cookie followed by the server cookie. */
    public Writer cookie(byte[] cookie) {
      System.arraycopy(cookie, 0, to, option(COOKIE, cookie.length), cookie.length);
      return this;
    }

    /** Adds the idle timeout of a connection, in units of 100 ms. */
    public Writer keepalive(int tenths) {
      Message.put16(to, option(KEEPALIVE, 2), Math.min(0xFFFF, tenths));
      return this;
    }

    /** Adds an extended error (RFC 8914) with its text, cut to 100 octets. */
    public Writer error(int code, String text) {
      byte[] octets = text.getBytes(java.nio.charset.StandardCharsets.US_ASCII);
      int textLength = Math.min(100, octets.length);
      int at = option(ERROR, 2 + textLength);
      Message.put16(to, at, code);
      System.arraycopy(octets, 0, to, at + 2, textLength);
      return this;
    }

    /** The finished record. */
    public byte[] bytes() {
      Message.put16(to, 9, length - FIXED_LENGTH);
      return Arrays.copyOf(to, length);
    }
  }
}
