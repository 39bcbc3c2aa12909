package cloverpulley.dns;

import java.net.InetAddress;
import java.net.UnknownHostException;
import java.util.regex.Pattern;

/** An address prefix such as 10.0.0.0/8 or 2001:db8::/32. */
record Prefix(byte[] address, int bits) {

  private static final Pattern IP_LITERAL = Pattern.compile("(?:\\d{1,3}\\.){3}\\d{1,3}|[0-9a-fA-F:.]*:[0-9a-fA-F:.]*");
  private static final long FNV = 0x100000001b3L;

  /** Parses a prefix; null if the text is none. */
  static Prefix of(String text) {
    int slash = text.indexOf('/');
    String host = slash < 0 ? text : text.substring(0, slash);
    if (!IP_LITERAL.matcher(host).matches()) {
      return null; // Guards against a DNS lookup by InetAddress.
    }
    try {
      byte[] address = InetAddress.getByName(host).getAddress();
      int addressBits = address.length * 8;
      int bits = slash < 0 ? addressBits : Integer.parseInt(text.substring(slash + 1));
      return bits < 0 || bits > addressBits ? null : new Prefix(address, bits);
    } catch (UnknownHostException | NumberFormatException e) {
      return null;
    }
  }

  boolean contains(InetAddress other) {
    byte[] o = other.getAddress();
    if (o.length != address.length) {
      return false;
    }
    for (int i = 0; i < bits; i++) {
      int mask = 0x80 >> i % 8;
      if ((o[i / 8] & mask) != (address[i / 8] & mask)) {
        return false;
      }
    }
    return true;
  }

  /** An FNV-1a hash of the network of an address: its first {@code bits4} (IPv4) or {@code bits6} (IPv6) bits. */
  static long networkKey(InetAddress address, int bits4, int bits6) {
    byte[] a = address.getAddress();
    int bits = a.length == 4 ? bits4 : bits6;
    long hash = 0xcbf29ce484222325L ^ a.length;
    for (int left = bits; left > 0; left -= 8) {
      int mask = left >= 8 ? 0xFF : 0xFF00 >> left;
      hash = (hash ^ a[(bits - left) / 8] & mask & 0xFF) * FNV;
    }
    return hash;
  }
}
